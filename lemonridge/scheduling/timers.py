"""The scheduler's internal timers: one type for each purpose, and the priority queue that holds them.

All times are integer microseconds of the host's clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from lemonridge.scheduling.requests import Request, VolumeQueue

CLOSED_REQUESTS_MIN = 1024  # closed requests before their timers are removed


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """The endpoint list has to be polled again after a failed watch."""


@dataclass(frozen=True, slots=True)
class RequestDeadline:
    """A request has reached its deadline and gets its final answer, unless a response has started."""

    request: Request


@dataclass(frozen=True, slots=True)
class RetryPauseEnded:
    """The pause before the next attempt of a request has ended."""

    request: Request


@dataclass(frozen=True, slots=True)
class AttemptOverdue:
    """An attempt has had no response for longer than the silence limit of its endpoint."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class KeyQuarantineEnded:
    """The quarantine of an ordering key ends, unless it was extended."""

    key: int


@dataclass(frozen=True, slots=True)
class QueueResume:
    """A suspended queue has to be checked again: its limit has capacity, or one of its requests expires."""

    queue: VolumeQueue


Timer = (
    PollEndpointList | RequestDeadline | RetryPauseEnded | AttemptOverdue | KeyQuarantineEnded | QueueResume
)


def _is_of_closed_request(timer: Timer) -> bool:
    """Whether a timer has no effect any more, because its request is closed."""
    return isinstance(timer, (RequestDeadline, RetryPauseEnded)) and timer.request.done


class Timers:
    """A priority queue of timers, ordered by time and, for equal times, by insertion.

    Attributes:
        drops_closed_requests: Whether the timers of closed requests are removed once they are most of all.
            Otherwise they stay until they are due, and so do the requests that are rejected at once.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = 0
        self.drops_closed_requests = False
        self._closed_requests = 0  # since closed requests were last removed

    def add(self, at_us: int, timer: Timer) -> None:
        """Adds a timer for the given time."""
        self._count += 1
        heappush(self._heap, (at_us, self._count, timer))

    def note_closed_request(self) -> None:
        """Notes that a request was closed, and removes the timers of closed requests if they are many."""
        self._closed_requests += 1
        is_due = self._closed_requests >= max(CLOSED_REQUESTS_MIN, len(self._heap) // 2)
        if not self.drops_closed_requests or not is_due:
            return
        self._closed_requests = 0
        self._heap = [entry for entry in self._heap if not _is_of_closed_request(entry[2])]
        heapify(self._heap)

    def pop_due(self, now_us: int) -> Iterator[Timer]:
        """Removes and yields all timers due at `now_us`, including those added during the iteration."""
        while self._heap and self._heap[0][0] <= now_us:
            yield heappop(self._heap)[2]

    def next_us(self) -> int | None:
        """Returns the time of the earliest timer, or None if there are no timers."""
        return self._heap[0][0] if self._heap else None
