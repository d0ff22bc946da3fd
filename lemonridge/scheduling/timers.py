"""What is to be looked at at its time."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from heapq import heappop, heappush


class TimerKind(Enum):
    """What a timer is for, and what it carries."""

    ASK = "ask"  # the list of nodes; nothing
    DEADLINE = "deadline"  # a request
    RETRY = "retry"  # a request
    OVERDUE = "overdue"  # an attempt: the request's id and its number
    KEY_REST = "key rest"  # an ordering key
    RESUME = "resume"  # a volume's queue


class Timers:
    """The earliest first, and in the order of asking within one moment."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, TimerKind, object]] = []
        self._count = 0

    def add(self, at_us: int, kind: TimerKind, what: object) -> None:
        self._count += 1
        heappush(self._heap, (at_us, self._count, kind, what))

    def pop_due(self, now_us: int) -> Iterator[tuple[TimerKind, object]]:
        """Take out what is due, also what is added meanwhile."""
        while self._heap and self._heap[0][0] <= now_us:
            _, _, kind, what = heappop(self._heap)
            yield kind, what

    def next_us(self) -> int | None:
        """When the earliest one is due."""
        return self._heap[0][0] if self._heap else None
