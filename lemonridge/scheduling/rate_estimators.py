"""Estimates of rates and of demand. All times are whole microseconds of the host's clock."""

from __future__ import annotations

from collections import deque
from math import exp

BASELINE_TIME_CONSTANT_US = 10_000_000


class SlidingWindow:
    """The units sent within a time that ends now.

    Attributes:
        units: Their sum.
    """

    def __init__(self) -> None:
        self._rows: deque[tuple[int, float]] = deque()
        self.units = 0.0

    def add(self, now_us: int, units: float) -> None:
        """Adds units that are sent now."""
        self._rows.append((now_us, units))
        self.units += units

    def drop_before(self, start_us: int) -> None:
        """Forgets what was sent before the window."""
        while self._rows and self._rows[0][0] < start_us:
            self.units -= self._rows.popleft()[1]

    def clear(self) -> None:
        """Forgets all."""
        self._rows.clear()
        self.units = 0.0


class InRateDemand:
    """The part of a volume's demand that lies within a rate, by a token bucket."""

    def __init__(self, tokens: float, now_us: int) -> None:
        self._tokens = tokens
        self._refilled_us = now_us

    def take_within(self, units: float, now_us: int, rate: float, capacity: float) -> float:
        """Takes what the bucket holds of a demand.

        Args:
            units: The units that are asked for.
            now_us: The present time.
            rate: How fast the bucket refills, in units a second.
            capacity: How many units it holds at most.

        Returns:
            The units within, at most `units`.
        """
        tokens = min(capacity, self._tokens + rate * (now_us - self._refilled_us) / 1e6)
        within = min(units, tokens)
        self._tokens, self._refilled_us = tokens - within, now_us
        return within


class DecayingAverage:
    """The rate at which this host is served at one shard, averaged with exponential decay.

    It counts the host's demand until it is served there for the first time. While `frozen`, time does not
    change it: what was served before the shard's endpoint drained or failed remains.

    Attributes:
        units: The units that count still.
        frozen: Time does not change it.
        has_served: The host was served at the shard.
    """

    def __init__(self, start_us: int) -> None:
        self.frozen = False
        self.has_served = False
        self.units = 0.0
        self._span_us = 0.0
        self._updated_us = start_us

    def decay_to(self, to_us: int) -> None:
        """Brings the average up to a time, unless it is later than that already."""
        if to_us > self._updated_us:
            if not self.frozen:
                kept = exp((self._updated_us - to_us) / BASELINE_TIME_CONSTANT_US)
                self.units *= kept
                self._span_us = self._span_us * kept + BASELINE_TIME_CONSTANT_US * (1 - kept)
            self._updated_us = to_us

    def add(self, units: float, now_us: int) -> None:
        """Adds units, and lets the average decay from here on."""
        self.frozen = False
        self.decay_to(now_us)
        self.units += units

    def rate(self) -> float:
        """The average, in units a microsecond; over a tenth of the time constant at least."""
        return self.units / max(self._span_us, BASELINE_TIME_CONSTANT_US / 10)
