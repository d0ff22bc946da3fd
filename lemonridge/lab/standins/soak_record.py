"""The record of a soak drill by its clients, nodes and discovery; times are in seconds of one event loop."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

ANNOUNCE_LIMIT_S = 6.0  # a change in discovery counts as announced after this time at the latest
STALL_MARGIN_S = 0.01  # data that arrived during a stall of the drill's process is read within this time


@dataclass(frozen=True, slots=True)
class SoakClass:
    """One request class, as configured in the settings.

    Attributes:
        name: Name of the class.
        semantics: Idempotency of its requests, as in the settings.
        group: Scope of the deduplication, as in the settings.
        window_s: Deduplication window in seconds.
        deadline_s: Deadline in seconds.
        writes: Whether its requests write.
    """

    name: str
    semantics: str
    group: str
    window_s: float
    deadline_s: float
    writes: bool


@dataclass(slots=True, eq=False)
class SoakRequest:
    """One request as its client saw it.

    Attributes:
        request_id: Id of the request.
        cls: Its class.
        volume: Number of its volume.
        limited: Whether the volume's plan has a limit.
        units: Size in units.
        deadline_s: Deadline in seconds.
        sent_at: Time at which the last byte was written.
        disconnected_at: Time at which the client closed the connection, if it did.
        ended_at: Time of the response's last byte or of the connection's end.
        status: Status of the response; 0 for no response.
        is_pipelined: Whether an earlier request was open on the same connection.
        previous_answered_at: For a pipelined request, the time at which the earlier request was answered;
            responses are sent in the order of the requests.
        killed: Whether the request was open when the broker got SIGKILL.
        late_at_kill: Whether it was killed and had arrived more than 0.7 s after SIGTERM.
    """

    request_id: str
    cls: SoakClass
    volume: int
    limited: bool
    units: int
    deadline_s: float
    sent_at: float = 0.0
    disconnected_at: float | None = None
    ended_at: float | None = None
    status: int = 0
    is_pipelined: bool = False
    previous_answered_at: float = 0.0
    killed: bool = False
    late_at_kill: bool = False


@dataclass(slots=True)
class SoakAttempt:
    """One attempt as its node saw it.

    Attributes:
        request_id: Id of the request.
        node: Name of the node.
        shard: Shard of the node.
        zone: Zone of the node.
        started_at: Time of the first byte.
        deadline_ms: Remaining time that the broker stated (`x-deadline-ms`), in milliseconds.
        received_at: Time of the last byte.
        ended_at: Time at which the attempt was answered or its connection ended.
        never_ran: Whether the node rejected the attempt without running it.
        served: Whether the node answered it with 200.
    """

    request_id: str
    node: str
    shard: int
    zone: str
    started_at: float
    deadline_ms: int
    received_at: float | None = None
    ended_at: float | None = None
    never_ran: bool = False
    served: bool = False


@dataclass(slots=True)
class SoakRecord:
    """The record of a whole run.

    Attributes:
        requests: Requests by id.
        attempts: All attempts.
        drains: By node, the times at which each drain was announced and at which it ended.
        starts: By node, the times of each restart and of its announcement.
        crashes: Number of unexpected ends of the program.
        stops: Times at which the program was sent SIGTERM.
        processor_waits: The times at which the program was seen to have waited for a processor, with the
            seconds that it had waited since the sample before.
        stalls: Start and end times of the periods in which the drill's own process was stalled.
    """

    requests: dict[str, SoakRequest] = field(default_factory=dict)
    attempts: list[SoakAttempt] = field(default_factory=list)
    drains: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    starts: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    crashes: int = 0
    stops: list[float] = field(default_factory=list)
    processor_waits: list[tuple[float, float]] = field(default_factory=list)
    stalls: list[tuple[float, float]] = field(default_factory=list)

    def earliest_time(self, seen_at: float) -> float:
        """Returns the earliest time at which an event observed at `seen_at` may have occurred.

        Events during a stall of the drill's process are observed only after it.
        """
        for began_at, ended_at in self.stalls:
            if began_at <= seen_at <= ended_at + STALL_MARGIN_S:
                return began_at
        return seen_at

    def processor_wait_s(self, began_at: float, ended_at: float) -> float:
        """Returns how long the program waited for a processor in a period, in seconds."""
        return sum(waited_s for at, waited_s in self.processor_waits if began_at <= at <= ended_at)
