"""Slow start of a node that recovers: what this host may send to it (WIRE, rule 4; the operators' notes).

A cold node falls over under what all hosts send it. Each host keeps to an even part of what any cold node
bears, or to its own usual traffic there scaled to the slowest ramp that the settings tell: what all hosts
were served was within the full capacity, so the parts add up to no more than it bears.
"""

from __future__ import annotations

from collections import defaultdict

from lemonridge.scheduling.actions import SlowStartBegan
from lemonridge.scheduling.context import SMALL_FLEET_HOSTS, DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.rate_estimators import DecayingAverage
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.token_bucket import QuotaSchedule

SLOW_START_FRACTION = 0.5  # part of what tips the coldest node over that all hosts use: speed against chance
SLOW_START_FRACTION_GROWS_AT = (
    1.5  # that part grows once a node is so many times as warm as the coldest: chance against speed
)
SLOW_START_BURST_DIVISOR = (
    4.0  # a host saves up this part of all hosts' mean at a cold node: use against chance
)


class SlowStart:
    """What this host was served at each shard, and its bucket at each node in slow start."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.usual_traffic: defaultdict[int, DecayingAverage] = defaultdict(
            lambda: DecayingAverage(context.started_us or 0)
        )  # by shard
        self.warm_latency_us = 0.0  # answer time of a request of mean size at warm nodes

    def begin(self, endpoint: TrackedEndpoint, born_us: int) -> None:
        """A slow start begins. The node's bucket starts where a busy one would stand at a random moment:
        hosts that all hold a backlog would otherwise send their first request together.
        """
        now_us, settings = self._context.now_us, self._context.settings
        usual = self.usual_traffic[endpoint.shard]
        usual.decay_to(min(now_us, born_us))
        usual.frozen = True
        endpoint.slow_start_began_us, endpoint.slow_start_refilled_us, endpoint.window = (
            born_us,
            now_us,
            self._context.initial_window,
        )
        endpoint.connect_failures = endpoint.probe_count = endpoint.next_probe_us = (
            0  # from here on the slow start paces it
        )
        endpoint.slow_start_tokens = (
            -(settings.mean_request_units or settings.largest_request_units) * self._context.random.random()
        )
        endpoint.borrowed_quota = QuotaSchedule(0.0)
        until_us = born_us + settings.slow_start_ramp_us
        own_units_s = self._own_rate(endpoint) * 1e6
        self._context.actions.append(
            SlowStartBegan(endpoint.id, endpoint.shard, born_us, own_units_s, until_us)
        )

    def freeze(self, shard: int) -> None:
        """The node of a shard serves no more as usual: what it served until now is what counts."""
        usual = self.usual_traffic[shard]
        usual.decay_to(self._context.now_us)
        usual.frozen = True

    def in_slow_start(self, endpoint: TrackedEndpoint) -> bool:
        """Whether a node is in slow start; this host's bucket there is brought up to date.

        Programs ask in runs, so a bucket may save up what keeps the sum of many hosts' within twice its mean.
        """
        if endpoint.slow_start_began_us is None:
            return False
        now_us, settings = self._context.now_us, self._context.settings
        if now_us >= endpoint.slow_start_began_us + settings.slow_start_ramp_us:
            endpoint.slow_start_began_us = None
            endpoint.slow_start_sent.clear()
            return False
        endpoint.slow_start_sent.drop_before(now_us - settings.overload_window_us)
        # At least so warm, a stretch of the rule ago.
        aged = (
            max(0, now_us - endpoint.slow_start_began_us - settings.overload_window_us)
            / settings.slow_start_ramp_us
        )
        endpoint.capacity_fraction = warm = (
            settings.slow_start_initial_fraction + (1 - settings.slow_start_initial_fraction) * aged
        )
        low = SLOW_START_FRACTION * max(
            1.0, warm / (SLOW_START_FRACTION_GROWS_AT * settings.slow_start_initial_fraction or 1.0)
        )
        part = min(1.0, low) * settings.overload_multiple * warm
        own = self._own_rate(endpoint)
        endpoint.slow_start_rate = max(0.0, own + endpoint.borrowed_quota.at(now_us)) * part
        top = (
            endpoint.slow_start_rate * settings.overload_window_us * settings.hosts / SLOW_START_BURST_DIVISOR
            if settings.hosts > SMALL_FLEET_HOSTS
            else 0.0
        )
        came = own * (now_us - endpoint.slow_start_refilled_us) + endpoint.borrowed_quota.integral(
            endpoint.slow_start_refilled_us, now_us
        )
        endpoint.slow_start_tokens = min(top, endpoint.slow_start_tokens + max(0.0, came) * part)
        endpoint.slow_start_refilled_us = now_us
        return True

    def wait_us(self, endpoint: TrackedEndpoint, request: Request) -> int:
        """How long until a node may be sent a request; 0 is now."""
        if not self.in_slow_start(endpoint):
            return 0
        now_us, settings = self._context.now_us, self._context.settings
        rest = (endpoint.slow_start_began_us or 0) + settings.slow_start_ramp_us - now_us
        warmer = (
            endpoint.capacity_fraction / settings.slow_start_initial_fraction
            if settings.slow_start_initial_fraction
            else 1.0
        )
        even = settings.slow_start_units / settings.hosts * warmer
        if endpoint.slow_start_sent.units + request.units <= even or (
            endpoint.slow_start_rate and endpoint.slow_start_tokens >= 0
        ):
            return 0
        if request.units <= even * 2:
            rest = min(rest, settings.overload_window_us)
        return max(
            1,
            min(
                rest,
                int(-endpoint.slow_start_tokens / endpoint.slow_start_rate)
                if endpoint.slow_start_rate
                else rest,
            ),
        )

    def _own_rate(self, endpoint: TrackedEndpoint) -> float:
        """What a warm node would get from this host, in units a microsecond: its usual traffic there, or an
        even part of half of what a core serves, for those whom the lead has just come to.
        """
        settings = self._context.settings
        even = (
            SLOW_START_FRACTION * settings.mean_request_units / self.warm_latency_us / settings.hosts
            if self.warm_latency_us
            else 0.0
        )
        return max(self.usual_traffic[endpoint.shard].rate(), even)
