"""What this host knows of one endpoint."""

from __future__ import annotations

from lemonridge.scheduling.events import Endpoint
from lemonridge.scheduling.rate_estimators import SlidingWindow
from lemonridge.scheduling.token_bucket import QuotaSchedule


class TrackedEndpoint:
    """The state of one endpoint, as this host sees it.

    Attributes:
        state: What the endpoint list says.
        registered: It is in the endpoint list, under its shard.
        window: How many attempts may be open there; below 1 it is a pause after each response.
        window_reduced_us: When the window was last reduced; results of earlier attempts no longer reduce it.
        cooldown_until_us: Until when a window below 1 pauses.
        open_attempts: Attempts of this host that count against the window.
        expected_responses: Of these, those with time enough for their silence to say something.
        silent_since_us: Since when such responses are out and none has come; None without any.
        outstanding_by_report: Requests of all hosts there, by its last load report.
        latency_ewma_us: The latency of a request of mean size, averaged; 0 before the first response.
        latency_deviation_us: The mean deviation of that.
        largest_open_size: The relative size of the largest open request.
        next_probe_us: When a suspect endpoint is probed next.
        probe_count: Probes since its last response, at most 16.
        connect_failures: Failed connects since its last response.
        unreachable_since_us: When the first of them failed.
        last_response_us: When its last response came.
        slow_start_began_us: The start of its slow start; None when it is warm.
        slow_start_sent: What was sent to it within the overload window of the settings, in units.
        slow_start_tokens: What this host may send to it in slow start, in units; negative is a debt.
        slow_start_rate: How fast that refills, in units a microsecond.
        slow_start_refilled_us: When it was last refilled.
        capacity_fraction: The part of its full capacity that it has at least.
        borrowed_quota: What other hosts lend this host there, less what it lends: units a microsecond.
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
        self.outstanding_by_report = 0.0
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
        """The usual latency of a request of mean size, with its deviation; 0 before the first response."""
        return self.latency_ewma_us + self.latency_deviation_us

    def expect_response(self, now_us: int) -> None:
        """Counts an attempt whose silence says something of the endpoint."""
        self.expected_responses += 1
        if self.silent_since_us is None:
            self.silent_since_us = now_us

    def restart_silence(self, now_us: int) -> None:
        """Counts silence from now on: the endpoint has responded, or an attempt no longer counts."""
        self.silent_since_us = now_us if self.expected_responses else None

    def count_slow_start_units(self, now_us: int, units: float) -> int | None:
        """Counts units that are sent in slow start; returns the start of it, None when it is warm."""
        if self.slow_start_began_us is not None:
            self.slow_start_sent.add(now_us, units)
            self.slow_start_tokens -= units
        return self.slow_start_began_us
