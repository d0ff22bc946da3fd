"""Slow start of an endpoint that has started anew: what this host may send to it (WIRE, rule 4).

An endpoint in slow start fails under the load that all hosts send it together. Each host keeps to an even
part of what any such endpoint bears, or to its own baseline traffic there scaled by the slowest ramp that the
settings allow. All hosts together were served within the endpoint's full capacity, so the parts add up to no
more than it bears (the operators' notes).
"""

from __future__ import annotations

from collections import defaultdict

from lemonridge.scheduling.actions import SlowStartBegan
from lemonridge.scheduling.context import SMALL_FLEET_HOSTS, DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.rate_estimators import DecayingAverage
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.token_bucket import QuotaSchedule

SLOW_START_FRACTION = 0.5  # part of the load that overloads the endpoint which all hosts together use
SLOW_START_FRACTION_GROWS_AT = 1.5  # times its initial capacity: from there on that part grows
SLOW_START_BURST_DIVISOR = 4.0  # in a large fleet a host saves up the mean of all hosts divided by this


class SlowStart:
    """Each endpoint's slow start, and what paces it: this host's baseline traffic to each shard.

    Attributes:
        baseline_traffic: By shard, in units a microsecond.
        warm_latency_us: The average latency of a request of mean size at warm endpoints; 0: not known.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.baseline_traffic: defaultdict[int, DecayingAverage] = defaultdict(
            lambda: DecayingAverage(context.started_us or 0)
        )
        self.warm_latency_us = 0.0

    def begin(self, endpoint: TrackedEndpoint, began_us: int) -> None:
        """Begins the slow start of an endpoint that started at `began_us`.

        Its bucket starts with a random debt, where that of a busy endpoint would stand at any moment: hosts
        that all have requests waiting would otherwise send their first ones together.
        """
        context, settings = self._context, self._context.settings
        baseline = self.baseline_traffic[endpoint.shard]
        baseline.decay_to(min(context.now_us, began_us))
        baseline.frozen = True
        endpoint.slow_start_began_us = began_us
        endpoint.slow_start_refilled_us = context.now_us
        endpoint.window = context.initial_window
        # From here on the slow start paces it, not the probes.
        endpoint.connect_failures = endpoint.probe_count = endpoint.next_probe_us = 0
        mean_units = settings.mean_request_units or settings.largest_request_units
        endpoint.slow_start_tokens = -mean_units * context.random.random()
        endpoint.borrowed_quota = QuotaSchedule(0.0)
        context.actions.append(
            SlowStartBegan(
                endpoint.id,
                endpoint.shard,
                began_us,
                self._own_rate(endpoint) * 1e6,
                began_us + settings.slow_start_ramp_us,
            )
        )

    def freeze_baseline_traffic(self, shard: int) -> None:
        """Keeps a shard's baseline traffic as it is while its endpoint does not serve as baseline."""
        baseline = self.baseline_traffic[shard]
        baseline.decay_to(self._context.now_us)
        baseline.frozen = True

    def in_slow_start(self, endpoint: TrackedEndpoint) -> bool:
        """Whether an endpoint is in slow start; refills this host's bucket there.

        The endpoint's capacity is taken as it was one overload window ago: it has at least that now.
        """
        if endpoint.slow_start_began_us is None:
            return False
        now_us, settings = self._context.now_us, self._context.settings
        if now_us >= endpoint.slow_start_began_us + settings.slow_start_ramp_us:
            endpoint.slow_start_began_us = None
            endpoint.slow_start_sent.clear()
            return False
        endpoint.slow_start_sent.drop_before(now_us - settings.overload_window_us)
        initial = settings.slow_start_initial_fraction
        aged_us = max(0, now_us - endpoint.slow_start_began_us - settings.overload_window_us)
        endpoint.capacity_fraction = initial + (1 - initial) * (aged_us / settings.slow_start_ramp_us)
        self._refill(endpoint)
        return True

    def _refill(self, endpoint: TrackedEndpoint) -> None:
        """Refills this host's bucket: its own rate and what it borrows, times the load the endpoint bears.

        In a large fleet the bucket may save up a burst, as programs ask in bursts; it is bounded so that the
        sum of many hosts stays within twice its mean.
        """
        now_us, settings = self._context.now_us, self._context.settings
        capacity = endpoint.capacity_fraction
        growth = capacity / (SLOW_START_FRACTION_GROWS_AT * settings.slow_start_initial_fraction or 1.0)
        fraction = min(1.0, SLOW_START_FRACTION * max(1.0, growth))
        load = fraction * settings.overload_multiple * capacity
        own = self._own_rate(endpoint)
        endpoint.slow_start_rate = max(0.0, own + endpoint.borrowed_quota.at(now_us)) * load
        most = 0.0
        if settings.hosts > SMALL_FLEET_HOSTS:
            most = (
                endpoint.slow_start_rate
                * settings.overload_window_us
                * settings.hosts
                / SLOW_START_BURST_DIVISOR
            )
        since_us = endpoint.slow_start_refilled_us
        earned = own * (now_us - since_us) + endpoint.borrowed_quota.integral(since_us, now_us)
        endpoint.slow_start_tokens = min(most, endpoint.slow_start_tokens + max(0.0, earned) * load)
        endpoint.slow_start_refilled_us = now_us

    def wait_us(self, endpoint: TrackedEndpoint, request: Request) -> int:
        """How long until an endpoint may be sent a request, in microseconds; 0 is now.

        It may be sent within an even part of what the settings allow all hosts in an overload window,
        scaled by its capacity, or while this host's bucket there has no debt.
        """
        if not self.in_slow_start(endpoint):
            return 0
        now_us, settings = self._context.now_us, self._context.settings
        remaining_us = (endpoint.slow_start_began_us or 0) + settings.slow_start_ramp_us - now_us
        initial = settings.slow_start_initial_fraction
        growth = endpoint.capacity_fraction / initial if initial else 1.0
        even_units = settings.slow_start_units / settings.hosts * growth
        rate, tokens = endpoint.slow_start_rate, endpoint.slow_start_tokens
        if endpoint.slow_start_sent.units + request.units <= even_units or (rate and tokens >= 0):
            return 0
        if request.units <= even_units * 2:
            remaining_us = min(remaining_us, settings.overload_window_us)
        return max(1, min(remaining_us, int(-tokens / rate) if rate else remaining_us))

    def _own_rate(self, endpoint: TrackedEndpoint) -> float:
        """What this host would send to the endpoint if it were warm, in units a microsecond.

        Its baseline traffic there, or an even part of half of what one core serves, for a host whose volumes
        have just been moved to it.
        """
        settings = self._context.settings
        even = 0.0
        if self.warm_latency_us:
            even = SLOW_START_FRACTION * settings.mean_request_units / self.warm_latency_us / settings.hosts
        return max(self.baseline_traffic[endpoint.shard].rate(), even)
