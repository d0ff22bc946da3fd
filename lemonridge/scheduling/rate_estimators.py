"""Estimates of rates and demand from what was sent and asked for."""

from __future__ import annotations

from collections import deque
from math import exp

USUAL_TRAFFIC_TIME_CONSTANT_US = (
    10_000_000  # memory of a host's usual traffic to a shard: lasting against moving with the lead
)


class SlidingWindow:
    """The units of a sliding time."""

    def __init__(self) -> None:
        self._rows: deque[tuple[int, float]] = deque()
        self.units = 0.0

    def add(self, now_us: int, units: float) -> None:
        self._rows.append((now_us, units))
        self.units += units

    def drop_before(self, at_us: int) -> None:
        """Forget what was before."""
        while self._rows and self._rows[0][0] < at_us:
            self.units -= self._rows.popleft()[1]

    def clear(self) -> None:
        self._rows.clear()
        self.units = 0.0


class InRateDemand:
    """The part of what is asked for that lies inside a rate, with so much saved up."""

    def __init__(self, saved: float, now_us: int) -> None:
        self.tokens, self.at_us = saved, now_us

    def take_within(self, units: float, now_us: int, rate: float, top: float) -> float:
        level = min(top, self.tokens + rate * (now_us - self.at_us) / 1e6)
        part = min(units, level)
        self.tokens, self.at_us = level - part, now_us
        return part


class DecayingAverage:
    """What this host was served at one shard, fading while its node is warm; before, what was asked of it."""

    def __init__(self, born_us: int) -> None:
        self.units, self.span_us, self.at_us = 0.0, 0.0, born_us
        self.frozen = self.has_served = False

    def decay_to(self, to_us: int) -> None:
        if to_us > self.at_us:
            if not self.frozen:
                kept = exp((self.at_us - to_us) / USUAL_TRAFFIC_TIME_CONSTANT_US)
                self.units *= kept
                self.span_us = self.span_us * kept + USUAL_TRAFFIC_TIME_CONSTANT_US * (1 - kept)
            self.at_us = to_us

    def add(self, units: float, now_us: int) -> None:
        self.frozen = False
        self.decay_to(now_us)
        self.units += units

    def rate(self) -> float:
        """Units a microsecond."""
        return self.units / max(self.span_us, USUAL_TRAFFIC_TIME_CONSTANT_US / 10)
