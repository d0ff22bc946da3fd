"""Estimators of rates and of demand. All times are integer microseconds of the host's clock."""

from __future__ import annotations

from collections import deque
from math import exp

BASELINE_TIME_CONSTANT_US = 10_000_000


class SlidingWindow:
    """The units sent within a sliding time window that ends now.

    Attributes:
        units: The sum of the units in the window.
    """

    def __init__(self) -> None:
        self._entries: deque[tuple[int, float]] = deque()
        self.units = 0.0

    def add(self, now_us: int, units: float) -> None:
        """Adds units that are sent at `now_us`."""
        self._entries.append((now_us, units))
        self.units += units

    def drop_before(self, start_us: int) -> None:
        """Removes the units that were sent before `start_us`, the start of the window."""
        while self._entries and self._entries[0][0] < start_us:
            self.units -= self._entries.popleft()[1]

    def clear(self) -> None:
        """Removes all units."""
        self._entries.clear()
        self.units = 0.0


class DemandRateCap:
    """Caps the demand of a volume at a rate, by means of a token bucket."""

    __slots__ = ("_refilled_us", "_tokens")

    def __init__(self, tokens: float, now_us: int) -> None:
        self._tokens = tokens
        self._refilled_us = now_us

    def take_within_rate(self, units: float, now_us: int, rate: float, capacity: float) -> float:
        """Takes the part of a demand that the bucket covers.

        Args:
            units: The units of the demand.
            now_us: The current time.
            rate: The refill rate of the bucket, in units per second.
            capacity: The maximum number of units in the bucket.

        Returns:
            The units of the demand that are within the rate, at most `units`.
        """
        tokens = min(capacity, self._tokens + rate * (now_us - self._refilled_us) / 1e6)
        granted = min(units, tokens)
        self._tokens, self._refilled_us = tokens - granted, now_us
        return granted


class DecayingAverage:
    """The rate at which one shard serves this host, averaged with exponential decay.

    Until the shard serves this host for the first time, the average counts the host's demand instead. While
    `frozen`, the average does not decay, so that it keeps the rate from before the shard's endpoint drained
    or failed.

    Attributes:
        units: The decayed sum of the units.
        frozen: Whether the decay is suspended.
        was_served: Whether the shard has served this host.
    """

    def __init__(self, start_us: int) -> None:
        self.frozen = False
        self.was_served = False
        self.units = 0.0
        self._span_us = 0.0
        self._updated_us = start_us

    def decay_to(self, to_us: int) -> None:
        """Decays the average up to `to_us`, unless it has already been updated for a later time."""
        if to_us > self._updated_us:
            if not self.frozen:
                decay_factor = exp((self._updated_us - to_us) / BASELINE_TIME_CONSTANT_US)
                self.units *= decay_factor
                self._span_us = self._span_us * decay_factor + BASELINE_TIME_CONSTANT_US * (1 - decay_factor)
            self._updated_us = to_us

    def add(self, units: float, now_us: int) -> None:
        """Adds units, and ends a freeze of the average."""
        self.frozen = False
        self.decay_to(now_us)
        self.units += units

    def rate(self) -> float:
        """Returns the average in units per microsecond, taken over at least a tenth of the time constant."""
        return self.units / max(self._span_us, BASELINE_TIME_CONSTANT_US / 10)
