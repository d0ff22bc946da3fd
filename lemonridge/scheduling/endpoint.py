"""The state of one endpoint, as observed by this host."""

from __future__ import annotations

from lemonridge.scheduling.events import Endpoint
from lemonridge.scheduling.rate_estimators import SlidingWindow
from lemonridge.scheduling.token_bucket import QuotaSchedule


class TrackedEndpoint:
    """The state of one endpoint, as observed by this host.

    Attributes:
        id: The id of the endpoint.
        shard: The shard of the endpoint.
        zone: The zone of the endpoint.
        state: The state of the endpoint in the endpoint list.
        registered: Whether the endpoint is registered in `EndpointList`, under its shard.
        window: How many attempts may be open at the endpoint. A window below 1 means a pause after each
            response.
        window_reduced_us: The time of the last reduction of the window. The results of attempts that were
            sent earlier do not reduce it again.
        cooldown_until_us: The time at which the pause ends if the window is below 1.
        open_attempts: The number of open attempts of this host that count against the window.
        expected_responses: The number of those attempts whose missing response counts against the endpoint.
        silent_since_us: The start of the time during which responses have been expected and none has arrived,
            or None if no response is expected.
        reported_outstanding: The outstanding requests of all hosts at the endpoint, by its last load report.
        latency_ewma_us: The moving average of the latency of a request of mean size; 0 before the first
            response.
        latency_deviation_us: The moving average of the absolute deviation from `latency_ewma_us`.
        largest_open_size: The relative size of the largest open request.
        next_probe_us: The earliest time of the next probe, if the endpoint is suspect.
        probe_count: The number of probes since the last response, at most 16.
        connect_failures: The number of failed connects since the last response.
        unreachable_since_us: The time of the first of these failures.
        last_response_us: The time of the last response.
        slow_start_began_us: The start time of the slow start, or None if the endpoint is not in slow start.
        slow_start_sent: The units that this host sent within the overload window of the settings.
        slow_start_tokens: The units that this host may send during the slow start; a negative value is a
            debt.
        slow_start_rate: The refill rate of `slow_start_tokens`, in units per microsecond.
        slow_start_refilled_us: The time at which `slow_start_tokens` was last refilled.
        capacity_fraction: A lower bound of the current capacity, as a fraction of the full capacity.
        borrowed_quota: The rate that other hosts lend this host at the endpoint, less the rate that this host
            lends, in units per microsecond.
    """

    def __init__(self, entry: Endpoint, window: float) -> None:
        self.id, self.shard, self.zone = entry.endpoint_id, entry.shard, entry.zone
        self.state = entry.state
        self.registered = False
        self.window = window
        self.window_reduced_us = 0
        self.cooldown_until_us = 0
        self.open_attempts = 0
        self.expected_responses = 0
        self.silent_since_us: int | None = None
        self.reported_outstanding = 0.0
        self.latency_ewma_us = 0.0
        self.latency_deviation_us = 0.0
        self.largest_open_size = 1.0
        self.next_probe_us = 0
        self.probe_count = 0
        self.connect_failures = 0
        self.unreachable_since_us = 0
        self.last_response_us = 0
        self.slow_start_began_us: int | None = None
        self.slow_start_sent = SlidingWindow()
        self.slow_start_tokens = 0.0
        self.slow_start_rate = 0.0
        self.slow_start_refilled_us = 0
        self.capacity_fraction = 1.0
        self.borrowed_quota = QuotaSchedule(0.0)

    def expected_latency_us(self) -> float:
        """Returns the average latency of a request of mean size plus its deviation; 0 before any response."""
        return self.latency_ewma_us + self.latency_deviation_us

    def expect_response(self, now_us: int) -> None:
        """Records an attempt whose missing response counts against the endpoint."""
        self.expected_responses += 1
        if self.silent_since_us is None:
            self.silent_since_us = now_us

    def restart_silence(self, now_us: int) -> None:
        """Measures silence from now on, after a response or when an attempt no longer counts."""
        self.silent_since_us = now_us if self.expected_responses else None

    def count_slow_start_units(self, now_us: int, units: float) -> int | None:
        """Counts units against the slow-start budget, if the endpoint is in slow start.

        Args:
            now_us: The current time.
            units: The units that are sent.

        Returns:
            The start time of the slow start, or None if the endpoint is not in slow start.
        """
        if self.slow_start_began_us is not None:
            self.slow_start_sent.add(now_us, units)
            self.slow_start_tokens -= units
        return self.slow_start_began_us
