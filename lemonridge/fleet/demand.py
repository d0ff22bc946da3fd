"""Estimates the demand for budgets as exponentially decaying rates. Performs no I/O."""

from __future__ import annotations

from math import exp

from lemonridge.fleet.quota_ledger import BudgetKey

DEMAND_DECAY_US = 700_000
SLOW_START_DECAY_US = 4_000_000  # longer, since a broker rarely sends requests to an endpoint in slow start
DEMAND_HEADROOM = 1.3  # multiple of the measured rate that is requested, so that demand can grow
RATES_MAX = 8192  # beyond it, the key with the oldest last request is evicted


class DemandEstimator:
    """Estimates units a second by budget with exponential decay of time constant `decay_us`."""

    def __init__(self, decay_us: int = DEMAND_DECAY_US) -> None:
        self._decay_us = decay_us
        self._rates: dict[BudgetKey, tuple[float, int]] = {}  # units a second, and the time of that rate

    def add(self, key: BudgetKey, units: float, now_us: int, rate_max: float) -> None:
        """Adds a request for `units`.

        The stored rate is capped at `rate_max` units a second, the highest rate that can be used. Without the
        cap, this broker would hold its loans long after a flood of requests has moved to another broker.
        """
        rate = min(rate_max, self.rate(key, now_us) + units * 1e6 / self._decay_us)
        self._rates.pop(key, None)  # the most recently updated entry is the last one
        self._rates[key] = (rate, now_us)
        if len(self._rates) > RATES_MAX:
            del self._rates[next(iter(self._rates))]

    def rate(self, key: BudgetKey, now_us: int) -> float:
        """Returns the current rate in units a second; 0 for a key without demand."""
        rate, at_us = self._rates.get(key, (0.0, now_us))
        return rate * exp(min(0, at_us - now_us) / self._decay_us)

    def keys(self) -> list[BudgetKey]:
        """Returns the budgets with demand, the most recently updated last."""
        return list(self._rates)

    def forget(self, key: BudgetKey) -> None:
        """Drops the rate of a budget."""
        self._rates.pop(key, None)
