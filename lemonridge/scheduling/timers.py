"""The timers of the decisions: one small type for each purpose, and the queue that orders them.

All times are whole microseconds of the host's clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop, heappush

from lemonridge.scheduling.requests import Request, VolumeQueue


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Subscribe to the endpoint list again, after a failed watch."""


@dataclass(frozen=True, slots=True)
class RequestDeadline:
    """A request's deadline: it gets its final answer unless a response has started."""

    request: Request


@dataclass(frozen=True, slots=True)
class RetryPauseEnded:
    """The pause before a request's next attempt is over."""

    request: Request


@dataclass(frozen=True, slots=True)
class AttemptOverdue:
    """An attempt has had no response for longer than its endpoint is usually silent."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class KeyQuarantineEnded:
    """The quarantine of an ordering key may be over."""

    key: int


@dataclass(frozen=True, slots=True)
class QueueResume:
    """A suspended queue is examined again: its limit has capacity, or its first request expires."""

    queue: VolumeQueue


Timer = (
    PollEndpointList | RequestDeadline | RetryPauseEnded | AttemptOverdue | KeyQuarantineEnded | QueueResume
)


class Timers:
    """A priority queue of timers: the earliest first, those of one moment in the order they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = 0

    def add(self, at_us: int, timer: Timer) -> None:
        """Sets a timer for a time."""
        self._count += 1
        heappush(self._heap, (at_us, self._count, timer))

    def pop_due(self, now_us: int) -> Iterator[Timer]:
        """Removes and yields the timers due at `now_us`, also those that are set while it runs."""
        while self._heap and self._heap[0][0] <= now_us:
            yield heappop(self._heap)[2]

    def next_us(self) -> int | None:
        """The time of the earliest timer, or None without any."""
        return self._heap[0][0] if self._heap else None
