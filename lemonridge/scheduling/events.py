"""The events that the host hands to the decisions.

All times are whole microseconds of the host's clock; units are the work units of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from lemonridge.scheduling.settings import Settings


class AttemptResult(IntEnum):
    """How an attempt ended.

    DATA_MIGRATED: the endpoint answered at once that it no longer has the data, and ran nothing.
    NOT_SENT: the attempt never left this host.
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
    """What a process hands over of a volume's limit, in units.

    Attributes:
        saved: What its successor has saved from the start.
        predecessor_debt: What it may itself still send to an endpoint.
        predecessor_debt_until_us: Until when, in Unix microseconds.
    """

    saved: float
    predecessor_debt: float = 0.0
    predecessor_debt_until_us: int = 0


class EndpointState(Enum):
    """What the endpoint list says of an endpoint."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "removed"


class SharedBudget(Enum):
    """What hosts share by quotas."""

    LIMIT = "limit"  # the limit of a volume
    SLOW_START = "slow start"  # what an endpoint in slow start bears
    RETRIES = "retries"  # the retries of all hosts


class EndpointListUpdate(Enum):
    """What an event of the endpoint list holds."""

    DELTA = "delta"
    SNAPSHOT = "snapshot"
    CACHED = "cached"
    WATCH_FAILED = "watch failed"


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request.

    Attributes:
        request: Its id, of which no other open request has the same.
        shard: Where its data is; -1 for a new object.
        volume: The volume's number.
        deadline_us: When its client gives up.
        key: Its ordering key; None where it has no order.
        cls: The place of its class in the settings.
        plan: The place of its volume's plan in the settings.
        units: What it is expected to cost.
        hosts: How many hosts serve the volume.
        repeat: The client has marked it as a retry.
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
    """The response to an attempt has started to stream; the deadline no longer applies."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        request: The request's id.
        attempt: The attempt's number, from 0.
        endpoint_id: Where it was sent.
        result: How it ended.
        latency_us: The time from its start to its end.
        finished: The request has its final answer by it.
        volume_units: What the volume has used at the endpoint; None where the response does not say.
        peer_units: What other hosts served the volume; None where the response does not say.
        endpoint_outstanding: Requests of all hosts at the endpoint; None where the response does not say.
        begun: A part of it was sent, or may have been; otherwise it uses nothing of a limit.
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
    """The data of a request is on another shard now; `shard` None: nobody can say which in time.

    A request whose attempt ended as DATA_MIGRATED waits for this event. It has no effect while an attempt
    is open.
    """

    request: str
    shard: int | None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits; the request needs no answer."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a `SetTimer` has come, or another reason to look at the timers."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list; `started_us` 0 is long ago."""

    endpoint_id: str
    shard: int
    zone: int
    state: EndpointState
    started_us: int


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """A full endpoint list, a change of it, or a failed watch without entries."""

    kind: EndpointListUpdate
    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings, by which the requests that follow number their classes and plans.

    Attributes:
        settings: The new settings.
        indices_unchanged: Classes and plans have kept their places, so open requests and volumes take the
            new plans too.
    """

    settings: Settings
    indices_unchanged: bool


@dataclass(frozen=True, slots=True)
class QuotaChanged:
    """This host's quota of a shared budget has changed.

    Attributes:
        budget: Which budget.
        name: The volume's number, the endpoint's id, or 0 for retries.
        part: The quota until `until_us`: a fraction of the limit or of the retries; at an endpoint in slow
            start what other hosts lend this one less what it lends, in units a microsecond.
        until_us: When `part` ends.
        after: The quota from then on.
        since_us: When this quota began; the one before counts up to then.
    """

    budget: SharedBudget
    name: int | str
    part: float
    until_us: int
    after: float
    since_us: int


@dataclass(frozen=True, slots=True)
class PeerUsageReported:
    """Other hosts served a volume some units of late; reported by all hosts that may serve it."""

    volume: int
    units: float


@dataclass(frozen=True, slots=True)
class PeerHealthReported:
    """Other hosts report that an endpoint gives no good response.

    Attributes:
        endpoint_id: The endpoint.
        sources: How many hosts have seen it themselves.
        agreed: They are enough for the endpoint to be probed.
        at_us: When they saw it, or later.
    """

    endpoint_id: str
    sources: int
    agreed: bool
    at_us: int


Event = (
    RequestArrived
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
