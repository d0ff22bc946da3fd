"""The actions that the decisions ask of the host, and the reasons of a rejection.

All times are whole microseconds of the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RejectReason(Enum):
    """Why a request was given up."""

    LIMIT_REACHED = "limit"  # its volume's limit has no room in time
    SLOW_START = "cold"  # its node is cold, and its part there is spent
    OBJECTIVE_MISSED = "late"  # no node had room before its aim
    ATTEMPTS_EXHAUSTED = "spent"  # it has no further attempt, by its class, its number or its time
    DEADLINE_EXCEEDED = "over"  # its deadline came
    ROUTE_UNKNOWN = "lost"  # nobody can say where its data is


@dataclass(frozen=True, slots=True)
class Send:
    """Make an attempt, until the client gives up."""

    request: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt; its `AttemptEnded` follows."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not done, a retry does no harm; come back after `backoff_us` (0: no advice)."""

    request: str
    backoff_us: int
    reason: RejectReason


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: str
    reason: RejectReason


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for `TimerFired` at or after a time."""

    at_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the changes of the node list from here on."""


@dataclass(frozen=True, slots=True)
class SlowStartBegan:
    """A node's cold spell began for this host; what is its own there, in units a second, until it is over."""

    endpoint_id: str
    shard: int
    began_us: int
    rate: float
    until_us: int


Action = Send | Cancel | Reject | Fail | SetTimer | Subscribe | SlowStartBegan
