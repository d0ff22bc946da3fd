"""The demand for budgets: decaying rates by key. Pure."""

from __future__ import annotations

from math import exp

from lemonridge.fleet.quota_ledger import BudgetKey

DEMAND_DECAY_US = 700_000
SLOW_START_DECAY_US = 4_000_000  # an endpoint in slow start sees a request of one broker now and then
DEMAND_HEADROOM = 1.3  # of the measured rate: what is wanted, so that demand can grow
RATES_MAX = 8192  # past it the keys without demand for the longest make room


class DemandEstimator:
    """Units a second by budget, decaying exponentially with a time constant of `decay_us`."""

    def __init__(self, decay_us: int = DEMAND_DECAY_US) -> None:
        self._decay_us = decay_us
        self._rates: dict[BudgetKey, tuple[float, int]] = {}  # units a second, and at what time

    def add(self, key: BudgetKey, units: float, now_us: int, rate_max: float) -> None:
        """A request for `units` arrived.

        The rate is remembered up to `rate_max` units a second alone, past which nothing more is of use: a
        flood that has moved elsewhere would otherwise keep what it borrowed.
        """
        rate = min(rate_max, self.rate(key, now_us) + units * 1e6 / self._decay_us)
        self._rates.pop(key, None)  # the latest stands last
        self._rates[key] = (rate, now_us)
        if len(self._rates) > RATES_MAX:
            del self._rates[next(iter(self._rates))]

    def rate(self, key: BudgetKey, now_us: int) -> float:
        """The present rate, in units a second; 0 for a key without demand."""
        rate, at_us = self._rates.get(key, (0.0, now_us))
        return rate * exp(min(0, at_us - now_us) / self._decay_us)

    def keys(self) -> list[BudgetKey]:
        """The budgets with demand, those with the latest demand last."""
        return list(self._rates)

    def forget(self, key: BudgetKey) -> None:
        """Drop what is known of a budget."""
        self._rates.pop(key, None)
