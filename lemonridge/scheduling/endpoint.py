"""What this host knows of one endpoint."""

from __future__ import annotations

from lemonridge.scheduling.events import Endpoint
from lemonridge.scheduling.rate_estimators import SlidingWindow
from lemonridge.scheduling.token_bucket import QuotaSchedule


class TrackedEndpoint:
    """What this host knows of one node."""

    def __init__(self, entry: Endpoint, window: float) -> None:
        self.id, self.shard, self.zone = entry.endpoint_id, entry.shard, entry.zone
        self.state = entry.condition
        self.registered = False  # in the rotation of its shard and in the order of all
        self.slow_start_began_us: int | None = None  # start of a cold spell
        self.window, self.window_cut_us, self.cooldown_until_us, self.open_attempts = window, 0, 0, 0
        self.outstanding_by_report = 0.0  # requests of all hosts there, as last told
        self.latency_ewma_us, self.latency_deviation_us, self.largest_open_size = (
            0.0,
            0.0,
            1.0,
        )  # of a request of mean size; of the largest one out
        self.expected_responses = 0  # of those that are open: the silence of the others tells nothing
        self.silent_since_us: int | None = None  # since when such a one is out and nothing was heard
        self.next_probe_us, self.probe_count, self.connect_failures = 0, 0, 0
        self.unreachable_since_us = 0  # when it was first not reached since its last answer
        self.last_response_us = 0
        self.slow_start_sent = SlidingWindow()
        self.slow_start_tokens, self.slow_start_rate, self.slow_start_refilled_us, self.capacity_fraction = (
            0.0,
            0.0,
            0,
            1.0,
        )
        self.borrowed_quota = QuotaSchedule(
            0.0
        )  # to this host at a cold node, less what it lent: units a microsecond

    def expected_latency_us(self) -> float:
        return self.latency_ewma_us + self.latency_deviation_us  # with its spread

    def count_slow_start_units(self, now_us: int, units: float) -> int | None:
        """Count what it is sent while it is cold; the start of that spell, None where it is warm."""
        if self.slow_start_began_us is not None:
            self.slow_start_sent.add(now_us, units)
            self.slow_start_tokens -= units
        return self.slow_start_began_us
