"""The budget of retries of one host."""

from __future__ import annotations

from collections import deque


class RetryBudget:
    """How many attempts past the first were made, and requests taken, within a time up to now."""

    def __init__(self) -> None:
        self._requests_us: deque[int] = deque()
        self._retries_us: deque[int] = deque()

    def record_request(self, now_us: int, span_us: int) -> None:
        self._requests_us.append(now_us)
        while (
            self._requests_us and self._requests_us[0] <= now_us - span_us
        ):  # also while nothing is sent again
            self._requests_us.popleft()

    def record_retry(self, now_us: int) -> None:
        self._retries_us.append(now_us)

    def allows(self, now_us: int, span_us: int, free: float, ratio: float) -> bool:
        """Whether one more is within `free` and a `ratio` of what was taken."""
        for marks, start in ((self._retries_us, now_us - span_us), (self._requests_us, now_us - span_us + 1)):
            while marks and marks[0] < start:
                marks.popleft()
        return len(self._retries_us) + 1 <= free + ratio * len(self._requests_us)
