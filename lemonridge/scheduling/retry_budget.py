"""The budget of retries of one host (WIRE, rule 7)."""

from __future__ import annotations

from collections import deque


class RetryBudget:
    """This host's retries and requests within a sliding window. All times are microseconds."""

    def __init__(self) -> None:
        self._requests_us: deque[int] = deque()
        self._retries_us: deque[int] = deque()

    def record_request(self, now_us: int, window_us: int) -> None:
        """Counts a request; those before the window are forgotten, also while nothing is retried."""
        self._requests_us.append(now_us)
        while self._requests_us and self._requests_us[0] <= now_us - window_us:
            self._requests_us.popleft()

    def record_retry(self, now_us: int) -> None:
        """Counts a retry."""
        self._retries_us.append(now_us)

    def allows(self, now_us: int, window_us: int, floor: float, ratio: float) -> bool:
        """Whether one more retry is within the budget.

        Args:
            now_us: The present time.
            window_us: The length of the window that ends now.
            floor: Retries that are allowed without any requests.
            ratio: Retries that each request in the window allows beside them.
        """
        _drop_before(self._retries_us, now_us - window_us)
        _drop_before(self._requests_us, now_us - window_us + 1)
        return len(self._retries_us) + 1 <= floor + ratio * len(self._requests_us)


def _drop_before(times_us: deque[int], start_us: int) -> None:
    while times_us and times_us[0] < start_us:
        times_us.popleft()
