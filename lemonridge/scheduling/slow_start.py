"""Slow start: limits what this host sends to a restarted endpoint (WIRE, rule 4).

An endpoint in slow start has a reduced capacity, and the combined load of all hosts can make it fail. Each
host therefore sends at most an equal share of the load that any such endpoint can sustain, or its own
baseline traffic to the endpoint, scaled by the slowest ramp that the settings allow. The baseline traffic of
all hosts together was served within the full capacity of the endpoint, so the sum of their shares does not
exceed what it can sustain (the operators' notes).
"""

from __future__ import annotations

from collections import defaultdict

from lemonridge.scheduling.actions import SlowStartBegan
from lemonridge.scheduling.context import SMALL_FLEET_HOSTS, DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.rate_estimators import DecayingAverage
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.token_bucket import QuotaSchedule

SLOW_START_FRACTION = 0.5  # fraction of the overload threshold that all hosts together use
SLOW_START_FRACTION_GROWS_AT = 1.5  # multiple of the initial capacity above which the fraction grows
SLOW_START_BURST_DIVISOR = 4.0  # large fleets: burst capacity is all hosts' mean per window, over this


class SlowStart:
    """Manages the slow starts of all endpoints, based on this host's baseline traffic to each shard.

    Attributes:
        baseline_traffic: The baseline traffic of this host by shard, in units per microsecond.
        warm_latency_us: The average latency of a request of mean size at endpoints that are not in slow
            start, in microseconds; 0 if it is not known yet.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.baseline_traffic: defaultdict[int, DecayingAverage] = defaultdict(
            lambda: DecayingAverage(context.started_us or 0)
        )
        self.warm_latency_us = 0.0

    def begin(self, endpoint: TrackedEndpoint, began_us: int) -> None:
        """Begins the slow start of an endpoint that started at `began_us`.

        The bucket starts with a random debt, in the range that the bucket of a busy endpoint has at any time.
        Otherwise all hosts with queued requests would send their first request at the same time.
        """
        context, settings = self._context, self._context.settings
        baseline = self.baseline_traffic[endpoint.shard]
        baseline.decay_to(min(context.now_us, began_us))
        baseline.frozen = True
        endpoint.slow_start_began_us = began_us
        endpoint.slow_start_refilled_us = context.now_us
        endpoint.window = context.initial_window
        # From now on the slow-start budget limits the requests to the endpoint, not the probe schedule.
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
        """Freezes the baseline traffic of a shard while its endpoint does not serve normal traffic."""
        baseline = self.baseline_traffic[shard]
        baseline.decay_to(self._context.now_us)
        baseline.frozen = True

    def in_slow_start(self, endpoint: TrackedEndpoint) -> bool:
        """Returns whether an endpoint is in slow start; if so, refills this host's bucket for it.

        The capacity is computed for one overload window earlier, as a lower bound of the current capacity.
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
        elapsed_us = max(0, now_us - endpoint.slow_start_began_us - settings.overload_window_us)
        endpoint.capacity_fraction = initial + (1 - initial) * (elapsed_us / settings.slow_start_ramp_us)
        self._refill(endpoint)
        return True

    def _refill(self, endpoint: TrackedEndpoint) -> None:
        """Refills this host's bucket for an endpoint.

        The refill rate is this host's own rate plus its borrowed quota, multiplied by the load factor that
        the endpoint can sustain. In a large fleet the bucket may accumulate a burst, because clients send
        requests in bursts. The burst is limited so that the total of many hosts stays within twice its mean.
        """
        now_us, settings = self._context.now_us, self._context.settings
        capacity = endpoint.capacity_fraction
        growth = capacity / (SLOW_START_FRACTION_GROWS_AT * settings.slow_start_initial_fraction or 1.0)
        fraction = min(1.0, SLOW_START_FRACTION * max(1.0, growth))
        load_factor = fraction * settings.overload_multiple * capacity
        own_rate = self._own_rate(endpoint)
        endpoint.slow_start_rate = max(0.0, own_rate + endpoint.borrowed_quota.at(now_us)) * load_factor
        max_tokens = 0.0
        if settings.hosts > SMALL_FLEET_HOSTS:
            max_tokens = (
                endpoint.slow_start_rate
                * settings.overload_window_us
                * settings.hosts
                / SLOW_START_BURST_DIVISOR
            )
        since_us = endpoint.slow_start_refilled_us
        refill = own_rate * (now_us - since_us) + endpoint.borrowed_quota.integral(since_us, now_us)
        endpoint.slow_start_tokens = min(
            max_tokens, endpoint.slow_start_tokens + max(0.0, refill) * load_factor
        )
        endpoint.slow_start_refilled_us = now_us

    def wait_us(self, endpoint: TrackedEndpoint, request: Request) -> int:
        """Returns how long a request has to wait for the slow-start budget of an endpoint.

        A request may be sent if it fits into this host's equal share of the units that the settings allow all
        hosts per overload window, scaled by the endpoint's capacity. It may also be sent while this host's
        bucket for the endpoint has no debt.

        Args:
            endpoint: The endpoint.
            request: The request.

        Returns:
            The wait in microseconds; 0 if the request may be sent now.
        """
        if not self.in_slow_start(endpoint):
            return 0
        now_us, settings = self._context.now_us, self._context.settings
        remaining_us = (endpoint.slow_start_began_us or 0) + settings.slow_start_ramp_us - now_us
        initial = settings.slow_start_initial_fraction
        growth = endpoint.capacity_fraction / initial if initial else 1.0
        share_units = settings.slow_start_units / settings.hosts * growth
        rate, tokens = endpoint.slow_start_rate, endpoint.slow_start_tokens
        if endpoint.slow_start_sent.units + request.units <= share_units or (rate and tokens >= 0):
            return 0
        if request.units <= share_units * 2:
            remaining_us = min(remaining_us, settings.overload_window_us)
        return max(1, min(remaining_us, int(-tokens / rate) if rate else remaining_us))

    def _own_rate(self, endpoint: TrackedEndpoint) -> float:
        """Returns the rate at which this host would send to an endpoint that is not in slow start.

        The rate is the larger of this host's baseline traffic to the shard and an equal share of half the
        rate that one core serves. The latter applies to a host whose volumes have just been moved to it.

        Returns:
            The rate in units per microsecond.
        """
        settings = self._context.settings
        equal_share_rate = 0.0
        if self.warm_latency_us:
            equal_share_rate = (
                SLOW_START_FRACTION * settings.mean_request_units / self.warm_latency_us / settings.hosts
            )
        return max(self.baseline_traffic[endpoint.shard].rate(), equal_share_rate)
