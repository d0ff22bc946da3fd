"""The budget of retries of one host."""

from __future__ import annotations

from collections import deque


class RetryBudget:
    """How many attempts past the first were made, and requests taken, within a time up to now."""

    def __init__(self) -> None:
        self._taken: deque[int] = deque()
        self._made: deque[int] = deque()

    def took(self, now: int, span_us: int) -> None:
        self._taken.append(now)
        while self._taken and self._taken[0] <= now - span_us:  # also while nothing is sent again
            self._taken.popleft()

    def made(self, now: int) -> None:
        self._made.append(now)

    def allows(self, now: int, span_us: int, free: float, ratio: float) -> bool:
        """Whether one more is within `free` and a `ratio` of what was taken."""
        for marks, start in ((self._made, now - span_us), (self._taken, now - span_us + 1)):
            while marks and marks[0] < start:
                marks.popleft()
        return len(self._made) + 1 <= free + ratio * len(self._taken)
