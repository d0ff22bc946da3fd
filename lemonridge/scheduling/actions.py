"""The actions that the scheduler requests from the host, and the reasons for rejections.

All times are integer microseconds of the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RejectReason(Enum):
    """Why a request was rejected, and which method decides it. The values are part of the counter names.

    Attributes:
        LIMIT_EXCEEDED: The limit of the volume has no capacity in time: `Admission.exceeds_limit`.
        SLOW_START: The endpoint is in slow start, and the wait for this host's budget is too long:
            `VolumeQueues.expire`.
        OBJECTIVE_MISSED: No endpoint had a free slot in time, or the limit of the volume had no capacity
            after the request was admitted: `VolumeQueues.expire`. `VolumeQueues.may_wait_until_us` determines
            how long the request waits.
        ATTEMPTS_EXHAUSTED: The request's class, its number of attempts, the retry budgets or the time left
            allow no retry: `RetryRules.another_attempt_allowed`.
        OVERLOADED: More requests are open than the host may hold: `RequestLifecycle.shed_load`.
        DEADLINE_EXCEEDED: The deadline passed without a response: `Scheduler._on_request_deadline`.
        ROUTE_UNKNOWN: The shard that holds the data is not known in time:
            `RequestLifecycle.handle_migration`.
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
    """Send an attempt to an endpoint. The attempt lasts until the deadline of the request at most.

    Attributes:
        request: The id of the request.
        endpoint_id: The id of the endpoint.
    """

    request: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; the host reports its end with an `AttemptEnded` event.

    Attributes:
        request: The id of the request.
        attempt: The number of the attempt, starting at 0.
    """

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request is rejected, and the client can safely retry it.

    Attributes:
        request: The id of the request.
        backoff_us: After how many microseconds the client should retry (Retry-After); 0 if none is given.
        reason: The reason for the rejection.
    """

    request: str
    backoff_us: int
    reason: RejectReason


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and it may have been executed.

    Attributes:
        request: The id of the request.
        reason: The reason for the failure.
    """

    request: str
    reason: RejectReason


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send a `TimerFired` event at or after a given time.

    Attributes:
        at_us: The time.
    """

    at_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Watch the endpoint list, and report its changes as `EndpointsChanged` events."""


@dataclass(frozen=True, slots=True)
class SlowStartBegan:
    """The slow start of an endpoint has begun; this host may lend its share of the budget to other hosts.

    Attributes:
        endpoint_id: The id of the endpoint.
        shard: The shard of the endpoint.
        began_us: The time at which the endpoint started.
        rate: The rate of this host's share, in units per second.
        until_us: The time at which the slow start ends.
    """

    endpoint_id: str
    shard: int
    began_us: int
    rate: float
    until_us: int


@dataclass(frozen=True, slots=True)
class RequestTurn:
    """Ask the predecessor process for the turn of a request with an ordering key.

    Attributes:
        key: The ordering key.
        turn: The number of the turn, chosen by this process.
    """

    key: int
    turn: int


@dataclass(frozen=True, slots=True)
class EndTurn:
    """Tell the predecessor process that a turn has ended, or is not needed any more.

    Attributes:
        turn: The number of the turn, chosen by this process.
    """

    turn: int


@dataclass(frozen=True, slots=True)
class GrantTurn:
    """Grant the successor process a turn.

    Attributes:
        turn: The number of the turn, chosen by the successor.
    """

    turn: int


Turn = RequestTurn | EndTurn | GrantTurn
Action = Send | Cancel | Reject | Fail | SetTimer | Subscribe | SlowStartBegan | Turn
