"""The events that the host hands to the decisions.

All times are whole microseconds of the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from lemonridge.scheduling.settings import Settings


class AttemptResult(IntEnum):
    """How an attempt ended. MOVED: the node said at once that it has the data no longer, and ran nothing."""

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
    """What a process hands over of a volume's limit, in units: what its successor has saved from the start,
    and what it may itself still bring to a node, until when (Unix microseconds).
    """

    saved: float
    owed: float = 0.0
    owed_until_us: int = 0


class EndpointState(Enum):
    """What the list says of a node."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "removed"


class SharedBudget(Enum):
    """What hosts share in slices."""

    LIMIT = "limit"  # a volume's limit
    SLOW_START = "slow start"  # what a cold node bears
    RETRIES = "retries"  # further attempts


class EndpointListUpdate(Enum):
    """What a list event holds."""

    DELTA = "delta"
    SNAPSHOT = "snapshot"
    CACHED = "cached"
    WATCH_FAILED = "watch failed"


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; `shard` -1 is a new object, `key` None has no order."""

    request: str
    shard: int
    volume: int
    deadline_us: int
    key: int | None
    cls: int
    plan: int
    units: float
    hosts: int
    repeat: bool = False  # a client's repeat, where clients mark them


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer to an attempt began to stream; the deadline no longer runs."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt ended; what the answer told, or None: `used` and `elsewhere` of the volume, and
    `held`, the requests of all hosts at the node by its own report. `begun`: a part of it was sent, or may
    have been; one that never was takes nothing from a limit.
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
    """The data of a request lies elsewhere now; `shard` None: nobody can say where in time. Without effect
    while an attempt is out; after one that ended as MOVED it is what the request waits for.
    """

    request: str
    shard: int | None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits; nothing is owed."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer fired."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of the node list; `started_us` 0 is long ago."""

    endpoint_id: str
    shard: int
    zone: int
    condition: EndpointState
    started_us: int


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """News of the node list."""

    kind: EndpointListUpdate
    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings, from here on; the arrivals that follow count classes and plans by them. `same`: these
    stand where they stood, so what waits goes by the new plans too.
    """

    settings: Settings
    indices_unchanged: bool


@dataclass(frozen=True, slots=True)
class QuotaChanged:
    """What this host may use of a budget since a moment ago: `part` until `until_us`, `after` from then on.

    `name` is a volume, a node, or 0. Parts are of the limit, or of the further attempts; at a cold node they
    are what others lend to this host there, less what it lends, in units a microsecond.
    """

    budget: SharedBudget
    name: int | str
    part: float
    until_us: int
    after: float
    since_us: int


@dataclass(frozen=True, slots=True)
class PeerUsageReported:
    """Other hosts served a volume some units of late; they were told of by all who may serve it."""

    volume: int
    units: float


@dataclass(frozen=True, slots=True)
class PeerHealthReported:
    """Other hosts say that nothing good comes from a node: so many that have seen it themselves, `at_us` or
    later.
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
