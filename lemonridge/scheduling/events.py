"""The events that the host passes to the scheduler.

All times are integer microseconds of the host's clock; units are the work units of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from lemonridge.scheduling.settings import Settings


class AttemptResult(IntEnum):
    """The result of an attempt.

    Attributes:
        OK: The endpoint executed the request and responded.
        ERROR: The endpoint responded with an error.
        QUEUE_FULL: The endpoint rejected the request because its queue was full.
        TIMEOUT: The attempt ended without a response in time.
        CONNECT_FAILED: No connection to the endpoint could be opened.
        RESET: The connection was closed before the response was complete.
        CANCELLED: The host cancelled the attempt.
        NOT_SENT: The attempt never left this host.
        DATA_MIGRATED: The endpoint responded immediately that it no longer has the data, and executed
            nothing.
    """

    OK = 0
    ERROR = 1
    QUEUE_FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7
    DATA_MIGRATED = 8


@dataclass(frozen=True, slots=True)
class LimitLevel:
    """The state of a volume's limit that a process hands over to its successor.

    Attributes:
        saved: The units that the successor's token bucket starts with.
        predecessor_debt: The units that the predecessor may still send to endpoints.
        predecessor_debt_until_us: Until when it may send them, in Unix microseconds.
    """

    saved: float
    predecessor_debt: float = 0.0
    predecessor_debt_until_us: int = 0


class EndpointState(Enum):
    """The state of an endpoint in the endpoint list."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "removed"


class SharedBudget(Enum):
    """A budget that hosts share by quotas."""

    LIMIT = "limit"  # the limit of a volume
    SLOW_START = "slow start"  # the load that an endpoint in slow start can sustain
    RETRIES = "retries"  # the retry rate of all hosts


class EndpointListUpdate(Enum):
    """The kind of an `EndpointsChanged` event.

    Attributes:
        DELTA: Changed entries only.
        SNAPSHOT: A complete, current list.
        CACHED: A complete list that may be outdated.
        WATCH_FAILED: No entries: the watch of the list has failed.
    """

    DELTA = "delta"
    SNAPSHOT = "snapshot"
    CACHED = "cached"
    WATCH_FAILED = "watch failed"


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request of a client has arrived.

    Attributes:
        request: The id of the request, unique among open requests.
        shard: The shard that holds the data; -1 for a new object.
        volume: The number of the volume.
        deadline_us: The time at which the client gives up.
        key: The ordering key, or None if the request may run in any order.
        cls: The index of the request's class in the settings.
        plan: The index of the volume's plan in the settings.
        units: The expected cost of the request.
        hosts: The number of hosts that serve the volume.
        repeat: Whether the client has marked the request as a retry.
    """

    request: str
    shard: int
    volume: int
    deadline_us: int
    key: int | None
    cls: int
    plan: int
    units: float
    hosts: int
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response to an attempt has started to stream, so the deadline no longer applies.

    Attributes:
        request: The id of the request.
        attempt: The number of the attempt, starting at 0.
    """

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        request: The id of the request.
        attempt: The number of the attempt, starting at 0.
        endpoint_id: The id of the endpoint that the attempt was sent to.
        result: The result of the attempt.
        latency_us: The time from the start to the end of the attempt.
        finished: Whether the result is the final answer to the request.
        volume_units: The units of the volume used at the endpoint; None if not reported in the response.
        peer_units: The units that other hosts served for the volume; None if not reported in the response.
        endpoint_outstanding: The outstanding requests of all hosts at the endpoint; None if not reported in
            the response.
        begun: Whether any part of the attempt was sent or may have been sent. Otherwise the attempt does not
            count against a limit.
    """

    request: str
    attempt: int
    endpoint_id: str
    result: AttemptResult
    latency_us: int
    finished: bool
    volume_units: int | None
    peer_units: float | None
    endpoint_outstanding: float | None
    begun: bool = True


@dataclass(frozen=True, slots=True)
class DataMigrated:
    """The data of a request has migrated to another shard.

    A request whose attempt ended with DATA_MIGRATED waits for this event. The event has no effect while an
    attempt of the request is open.

    Attributes:
        request: The id of the request.
        shard: The new shard, or None if it cannot be determined in time.
    """

    request: str
    shard: int | None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected, so the request needs no answer.

    Attributes:
        request: The id of the request.
    """

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a `SetTimer` action has passed, or the timers have to be checked for another reason."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        endpoint_id: The id of the endpoint.
        shard: The shard of the endpoint.
        zone: The zone of the endpoint.
        state: The state of the endpoint.
        started_us: The time at which the endpoint started; 0 if that was long ago.
    """

    endpoint_id: str
    shard: int
    zone: int
    state: EndpointState
    started_us: int


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """The endpoint list has changed, or the watch of it has failed.

    Attributes:
        kind: The kind of the change.
        entries: The entries of the full list, or the changed entries; empty after a failed watch.
    """

    kind: EndpointListUpdate
    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The settings have changed; later requests use the indices of classes and plans in the new settings.

    Attributes:
        settings: The new settings.
        indices_unchanged: Whether classes and plans have kept their indices. If so, the new plans also apply
            to known volumes and their open requests.
    """

    settings: Settings
    indices_unchanged: bool


@dataclass(frozen=True, slots=True)
class QuotaChanged:
    """This host's quota of a shared budget has changed.

    Attributes:
        budget: The shared budget.
        name: The number of the volume, the id of the endpoint, or 0 for retries.
        part: The quota until `until_us`. For limits and retries it is a fraction of the total rate. For an
            endpoint in slow start it is the rate that other hosts lend this host, less the rate that this
            host lends, in units per microsecond.
        until_us: The time at which `part` ends.
        after: The quota from `until_us` on.
        since_us: The start time of this quota; the previous quota applies up to it.
    """

    budget: SharedBudget
    name: int | str
    part: float
    until_us: int
    after: float
    since_us: int


@dataclass(frozen=True, slots=True)
class PeerUsageReported:
    """Other hosts have recently served units for a volume; reported by all hosts that may serve the volume.

    Attributes:
        volume: The number of the volume.
        units: The units that other hosts served.
    """

    volume: int
    units: float


@dataclass(frozen=True, slots=True)
class PeerHealthReported:
    """Other hosts report that an endpoint does not respond successfully.

    Attributes:
        endpoint_id: The id of the endpoint.
        sources: The number of hosts that have observed this themselves.
        agreed: Whether these hosts are enough for the endpoint to be probed.
        at_us: The time of the observation, or a later time.
    """

    endpoint_id: str
    sources: int
    agreed: bool
    at_us: int


@dataclass(frozen=True, slots=True)
class PredecessorOrdersKeys:
    """The predecessor process keeps the order of requests with the same ordering key from now on."""


@dataclass(frozen=True, slots=True)
class PredecessorGone:
    """The predecessor process has ended.

    Attributes:
        may_still_run: Whether attempts of it may still run at endpoints.
    """

    may_still_run: bool


@dataclass(frozen=True, slots=True)
class TurnGranted:
    """The predecessor process has granted a turn.

    Attributes:
        turn: The number of the turn, chosen by this process.
    """

    turn: int


@dataclass(frozen=True, slots=True)
class SuccessorTurnRequested:
    """The successor process asks for the turn of a request with an ordering key.

    Attributes:
        key: The ordering key.
        turn: The number of the turn, chosen by the successor.
    """

    key: int
    turn: int


@dataclass(frozen=True, slots=True)
class SuccessorTurnEnded:
    """A turn of the successor process has ended, or is not needed any more.

    Attributes:
        turn: The number of the turn, chosen by the successor.
    """

    turn: int


@dataclass(frozen=True, slots=True)
class SuccessorGone:
    """The successor process has ended; what it has sent may still run at endpoints."""


TurnEvent = (
    PredecessorOrdersKeys
    | PredecessorGone
    | TurnGranted
    | SuccessorTurnRequested
    | SuccessorTurnEnded
    | SuccessorGone
)
Event = (
    TurnEvent
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | DataMigrated
    | ClientDisconnected
    | TimerFired
    | EndpointsChanged
    | SettingsChanged
    | QuotaChanged
    | PeerUsageReported
    | PeerHealthReported
)
