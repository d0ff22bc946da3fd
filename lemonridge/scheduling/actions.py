"""The actions that the decisions ask of the host, and the reasons of a rejection.

All times are whole microseconds of the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RejectReason(Enum):
    """Why a request was rejected, and where that is decided; the values are the words of the counters.

    Attributes:
        LIMIT_EXCEEDED: Its volume's limit has no capacity in time: `Admission.exceeds_limit`.
        SLOW_START: Its endpoint is in slow start, and the wait for this host's budget there is too long:
            `VolumeQueues.expire`.
        OBJECTIVE_MISSED: No endpoint had a free slot in time, or the volume's limit stayed empty after the
            request was admitted: `VolumeQueues.expire`, and `VolumeQueues.may_wait_until_us` for how long it
            waits.
        ATTEMPTS_EXHAUSTED: Its class, its attempts, the budgets or its time allow no retry:
            `RetryRules.another_attempt_allowed`.
        OVERLOADED: More requests are open than the host may hold: `RequestLifecycle.shed_load`.
        DEADLINE_EXCEEDED: Its deadline came without a response: `Scheduler._on_request_deadline`.
        ROUTE_UNKNOWN: Nobody can say in time where its data is: `RequestLifecycle.migrate`.
    """

    LIMIT_EXCEEDED = "limit_exceeded"
    SLOW_START = "slow_start"
    OBJECTIVE_MISSED = "objective_missed"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ROUTE_UNKNOWN = "route_unknown"


@dataclass(frozen=True, slots=True)
class Send:
    """Make an attempt, which lasts until the request's deadline at most."""

    request: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; its `AttemptEnded` follows."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not done, and a retry does no harm.

    Attributes:
        request: The request's id.
        backoff_us: When the client should come back (Retry-After); 0: no advice.
        reason: Why.
    """

    request: str
    backoff_us: int
    reason: RejectReason


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, and it may have run."""

    request: str
    reason: RejectReason


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send `TimerFired` at or after a time."""

    at_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Watch the endpoint list, and send its changes as `EndpointsChanged`."""


@dataclass(frozen=True, slots=True)
class SlowStartBegan:
    """An endpoint's slow start has begun for this host, which may lend its part to others.

    Attributes:
        endpoint_id: The endpoint.
        shard: Its shard.
        began_us: When the endpoint started.
        rate: This host's part there, in units a second.
        until_us: When the slow start ends.
    """

    endpoint_id: str
    shard: int
    began_us: int
    rate: float
    until_us: int


Action = Send | Cancel | Reject | Fail | SetTimer | Subscribe | SlowStartBegan
