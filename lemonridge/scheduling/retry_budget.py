"""The retry budget of one host (WIRE, rule 7)."""

from __future__ import annotations

from collections import deque


class RetryBudget:
    """Counts this host's retries and requests within a sliding window. All times are microseconds."""

    def __init__(self) -> None:
        self._requests_us: deque[int] = deque()
        self._retries_us: deque[int] = deque()

    def record_request(self, now_us: int, window_us: int) -> None:
        """Records a request, and removes requests before the window, even if there are no retries."""
        self._requests_us.append(now_us)
        while self._requests_us and self._requests_us[0] <= now_us - window_us:
            self._requests_us.popleft()

    def record_retry(self, now_us: int) -> None:
        """Records a retry."""
        self._retries_us.append(now_us)

    def allows(self, now_us: int, window_us: int, floor: float, ratio: float) -> bool:
        """Returns whether one more retry is within the budget.

        Args:
            now_us: The current time.
            window_us: The length of the window, which ends now.
            floor: The number of retries allowed in the window regardless of requests.
            ratio: The number of additional retries allowed per request in the window.
        """
        _drop_before(self._retries_us, now_us - window_us)
        _drop_before(self._requests_us, now_us - window_us + 1)
        return len(self._retries_us) + 1 <= floor + ratio * len(self._requests_us)


def _drop_before(times_us: deque[int], start_us: int) -> None:
    while times_us and times_us[0] < start_us:
        times_us.popleft()
