"""What this host knows of one endpoint."""

from __future__ import annotations

from lemonridge.scheduling.events import Endpoint
from lemonridge.scheduling.rate_estimators import SlidingWindow
from lemonridge.scheduling.token_bucket import QuotaShare


class TrackedEndpoint:
    """What this host knows of one node."""

    def __init__(self, entry: Endpoint, window: float) -> None:
        self.id, self.shard, self.zone = entry.endpoint_id, entry.shard, entry.zone
        self.condition = entry.condition
        self.listed = False  # in the rotation of its shard and in the order of all
        self.born_us: int | None = None  # start of a cold spell
        self.window, self.cut_us, self.rest_us, self.open = window, 0, 0, 0
        self.held = 0.0  # requests of all hosts there, as last told
        self.lag, self.dev, self.size = 0.0, 0.0, 1.0  # of a request of mean size; of the largest one out
        self.awaited = 0  # of those that are open: the silence of the others tells nothing
        self.quiet_us: int | None = None  # since when such a one is out and nothing was heard
        self.probe_us, self.probes, self.connect_failures = 0, 0, 0
        self.down_us = 0  # when it was first not reached since its last answer
        self.heard_us = 0
        self.cold_sent = SlidingWindow()
        self.cold_level, self.cold_rate, self.cold_us, self.warm = 0.0, 0.0, 0, 1.0
        self.lent = QuotaShare(0.0)  # to this host at a cold node, less what it lent: units a microsecond

    def usual(self) -> float:
        return self.lag + self.dev  # with its spread

    def count(self, now: int, units: float) -> int | None:
        """Count what it is sent while it is cold; the start of that spell, None where it is warm."""
        if self.born_us is not None:
            self.cold_sent.add(now, units)
            self.cold_level -= units
        return self.born_us
