"""What clients, nodes and discovery see in a soak. Times are seconds of one event loop's clock."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

ANNOUNCE_LIMIT_S = 6.0  # whatever discovery has to tell counts as told then at the latest
STALL_MARGIN_S = 0.01  # what came while the judge was held up has been read by then


@dataclass(frozen=True, slots=True)
class SoakClass:
    """One class of request, as its settings say."""

    name: str
    semantics: str
    group: str
    window_s: float
    deadline_s: float
    writes: bool


@dataclass(slots=True, eq=False)
class SoakRequest:
    """One request as its client saw it."""

    request_id: str
    cls: SoakClass
    volume: int
    limited: bool
    units: int
    deadline_s: float
    sent_at: float = 0.0  # its last byte was written
    disconnected_at: float | None = None  # the client closed
    ended_at: float | None = None  # its answer's last byte, or the end of its connection
    status: int = 0  # 0: no answer
    is_pipelined: bool = False  # another request of its connection was open before it
    previous_answered_at: float = 0.0  # then: when that one was answered, as answers come in turn
    killed: bool = False  # SIGKILL found it
    late_at_kill: bool = False  # and it had come more than 0.7 s after SIGTERM


@dataclass(slots=True)
class SoakAttempt:
    """One attempt as its node saw it."""

    request_id: str
    node: str
    shard: int
    zone: str
    started_at: float  # its first byte
    deadline_ms: int
    received_at: float | None = None  # its last byte
    ended_at: float | None = None  # answered, or its connection ended
    never_ran: bool = False  # turned away
    served: bool = False


@dataclass(slots=True)
class SoakRecord:
    """A whole run."""

    requests: dict[str, SoakRequest] = field(default_factory=dict)
    attempts: list[SoakAttempt] = field(default_factory=list)
    # By node: when a drain was told and when it ended; when a start was and when it was told.
    drains: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    starts: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    crashes: int = 0
    stalls: list[tuple[float, float]] = field(default_factory=list)  # from when until when the judge was

    def earliest_time(self, seen_at: float) -> float:
        """When what was seen then may have happened: a judge that was held up sees it late."""
        for began_at, ended_at in self.stalls:
            if began_at <= seen_at <= ended_at + STALL_MARGIN_S:
                return began_at
        return seen_at
