"""What is wanted of budgets: rates that fade, by key. Pure."""

from __future__ import annotations

from math import exp

from lemonridge.fleet.quota_lending import Key

DEMAND_DECAY_US = (
    700_000  # memory of a rate: a lead that moves each second must be followed, single requests not
)
SLOW_START_DECAY_US = (
    4_000_000  # of what is asked for at a cold node, where a broker sees a request now and then
)
DEMAND_HEADROOM = (
    1.3  # so much more than what was asked for is wanted: room to grow into, against what others lack
)
RATES_MAX = 8192  # keys that are kept; past it the ones that were not asked for the longest make room


class DemandEstimator:
    """Units a second by key, fading."""

    def __init__(self, fade_us: int = DEMAND_DECAY_US) -> None:
        self._fade_us = fade_us
        self._rates: dict[Key, tuple[float, int]] = {}

    def add(self, key: Key, units: float, now_us: int, top: float) -> None:
        """Units were asked for. Past `top` a second nothing more is wanted, so what is asked beyond it must
        not be remembered either: a flood that has moved on would else hold what it borrowed.
        """
        rate = min(top, self.rate(key, now_us) + units * 1e6 / self._fade_us)
        self._rates.pop(key, None)  # the latest stands last
        self._rates[key] = (rate, now_us)
        if len(self._rates) > RATES_MAX:
            del self._rates[next(iter(self._rates))]

    def rate(self, key: Key, now_us: int) -> float:
        """Units a second."""
        rate, at_us = self._rates.get(key, (0.0, now_us))
        return rate * exp(min(0, at_us - now_us) / self._fade_us)

    def known(self) -> list[Key]:
        return list(self._rates)

    def forget(self, key: Key) -> None:
        self._rates.pop(key, None)
