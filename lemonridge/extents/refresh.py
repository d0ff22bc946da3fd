"""When extents are read again from the source: one refresh in flight at a time, shared by all who need it.

Pure. A refresh in flight may have been read before the move that a waiter met, so a waiter is answered by the
first refresh that starts after its request. However many wait, and for however many extents, one refresh is
in flight at a time and two starts are an interval apart; each failure in a row doubles the interval.
"""

from __future__ import annotations

from dataclasses import dataclass, field

REFRESH_INTERVAL_US = 5_000  # between the starts of two refreshes
REFRESH_INTERVAL_MAX_US = 1_000_000  # upper bound of the backoff after failures
BATCH_EXTENTS_MAX = 64  # of one refresh; etcd accepts 128 operations in a transaction
WAITING_EXTENTS_MAX = 4096  # further extents are not refreshed
FAILURES_COUNTED_MAX = 16  # past it the interval is at its upper bound

ExtentKey = tuple[int, int]  # volume, first block of the extent


@dataclass(slots=True)
class RefreshBatch:
    """One refresh: its number and the extents that it reads."""

    number: int
    keys: tuple[ExtentKey, ...]


@dataclass(slots=True)
class RefreshQueue:
    """The extents that wait for a refresh, the refresh in flight, and when the next may start.

    Attributes:
        interval_us: Time between the starts of two refreshes while none fails.
        last_number: Number of the last batch that started.
        running: The batch in flight.
        earliest_start_us: The next batch starts no earlier.
        consecutive_failures: Failed refreshes since the last good one, at most `FAILURES_COUNTED_MAX`.
        waiting: For each waiting extent the number of the batch that will read it.
    """

    interval_us: int = REFRESH_INTERVAL_US
    last_number: int = 0
    running: RefreshBatch | None = None
    earliest_start_us: int = 0
    consecutive_failures: int = 0
    waiting: dict[ExtentKey, int] = field(default_factory=dict)

    def enqueue(self, key: ExtentKey) -> int | None:
        """Request a refresh of an extent.

        Returns:
            The number of the batch that will read it, or None where `WAITING_EXTENTS_MAX` wait already.
        """
        queued_in = self.waiting.get(key)
        if queued_in is not None:
            return queued_in
        if len(self.waiting) >= WAITING_EXTENTS_MAX:
            return None
        number = self.last_number + 1 + len(self.waiting) // BATCH_EXTENTS_MAX
        self.waiting[key] = number
        return number

    def next_start_us(self) -> int | None:
        """When the next batch may start; None where nothing waits or one is in flight."""
        return self.earliest_start_us if self.waiting and self.running is None else None

    def start_batch(self, now_us: int) -> RefreshBatch | None:
        """Start the next batch; None where nothing waits, one is in flight, or the interval is not over."""
        start_us = self.next_start_us()
        if start_us is None or now_us < start_us:
            return None
        self.last_number += 1
        keys = tuple(key for key, number in self.waiting.items() if number <= self.last_number)
        for key in keys:
            del self.waiting[key]
        self.running = RefreshBatch(self.last_number, keys)
        self.earliest_start_us = now_us + self.interval_us
        return self.running

    def finish_batch(self, now_us: int, succeeded: bool) -> int:
        """Record the end of the batch in flight. A failure doubles the interval, a success resets it.

        Returns:
            The batch's number, whose waiters can be answered.
        """
        assert self.running is not None
        number, self.running = self.running.number, None
        if succeeded:
            self.consecutive_failures = 0
            return number
        self.consecutive_failures = min(self.consecutive_failures + 1, FAILURES_COUNTED_MAX)
        backoff_us = self.interval_us << self.consecutive_failures
        self.earliest_start_us = now_us + min(REFRESH_INTERVAL_MAX_US, backoff_us)
        return number
