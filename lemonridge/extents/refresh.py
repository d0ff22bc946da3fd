"""Schedules refreshes: reads of single extents from the source, which all waiting requests share.

The queue is pure: the caller passes the time. A refresh that is in flight may have read the extent before it
moved, so a request waits for the first refresh that starts after it was queued. At most one refresh is in
flight at a time, however many requests wait and however many extents they need, and the starts of two
refreshes are an interval apart. Each consecutive failure doubles the interval.
"""

from __future__ import annotations

from dataclasses import dataclass, field

REFRESH_INTERVAL_US = 5_000  # time between the starts of two refreshes
REFRESH_INTERVAL_MAX_US = 1_000_000  # upper bound of the backoff after failures
BATCH_EXTENTS_MAX = 64  # in one refresh; etcd accepts 128 operations in a transaction
WAITING_EXTENTS_MAX = 4096  # limit of queued extents; further ones are not refreshed
FAILURES_COUNTED_MAX = 16  # further failures leave the interval at its upper bound

ExtentKey = tuple[int, int]  # volume and first block of an extent


@dataclass(slots=True)
class RefreshBatch:
    """One refresh.

    Attributes:
        number: The number of the batch; batches are numbered from 1 in the order of their starts.
        keys: The extents that the refresh reads.
    """

    number: int
    keys: tuple[ExtentKey, ...]


@dataclass(slots=True)
class RefreshQueue:
    """The queue of extents to refresh, the refresh in flight, and the time when the next one may start.

    Attributes:
        interval_us: The time between the starts of two refreshes if none fails.
        last_number: The number of the batch that started last; 0 if none has started.
        batch_in_flight: The batch in flight; None if there is none.
        earliest_start_us: The earliest time when the next batch may start.
        consecutive_failures: The number of failed refreshes since the last successful one, up to
            `FAILURES_COUNTED_MAX`.
        waiting_extents: For each waiting extent, the number of the batch that will read it.
    """

    interval_us: int = REFRESH_INTERVAL_US
    last_number: int = 0
    batch_in_flight: RefreshBatch | None = None
    earliest_start_us: int = 0
    consecutive_failures: int = 0
    waiting_extents: dict[ExtentKey, int] = field(default_factory=dict)

    def enqueue(self, key: ExtentKey) -> int | None:
        """Queues a refresh of an extent.

        Returns:
            The number of the batch that will read the extent; None if `WAITING_EXTENTS_MAX` extents are
            already waiting.
        """
        existing_number = self.waiting_extents.get(key)
        if existing_number is not None:
            return existing_number
        if len(self.waiting_extents) >= WAITING_EXTENTS_MAX:
            return None
        number = self.last_number + 1 + len(self.waiting_extents) // BATCH_EXTENTS_MAX
        self.waiting_extents[key] = number
        return number

    def next_start_us(self) -> int | None:
        """Returns when the next batch may start; None if no extent is waiting or a batch is in flight."""
        return self.earliest_start_us if self.waiting_extents and self.batch_in_flight is None else None

    def start_batch(self, now_us: int) -> RefreshBatch | None:
        """Starts the next batch.

        Returns:
            The batch; None if no extent is waiting, a batch is in flight or the interval is not over.
        """
        start_us = self.next_start_us()
        if start_us is None or now_us < start_us:
            return None
        self.last_number += 1
        keys = tuple(key for key, number in self.waiting_extents.items() if number <= self.last_number)
        for key in keys:
            del self.waiting_extents[key]
        self.batch_in_flight = RefreshBatch(self.last_number, keys)
        self.earliest_start_us = now_us + self.interval_us
        return self.batch_in_flight

    def finish_batch(self, now_us: int, succeeded: bool) -> int:
        """Records the end of the batch in flight. A failure doubles the interval, a success resets it.

        Returns:
            The number of the batch that has ended; requests that wait for it can continue.
        """
        assert self.batch_in_flight is not None
        number, self.batch_in_flight = self.batch_in_flight.number, None
        if succeeded:
            self.consecutive_failures = 0
            return number
        self.consecutive_failures = min(self.consecutive_failures + 1, FAILURES_COUNTED_MAX)
        backoff_us = self.interval_us << self.consecutive_failures
        self.earliest_start_us = now_us + min(REFRESH_INTERVAL_MAX_US, backoff_us)
        return number
