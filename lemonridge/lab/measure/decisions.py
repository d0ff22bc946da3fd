"""Measures the CPU time of a decision by the number of endpoints.

The scheduler runs alone, with the events of one broker. The load of each endpoint is the same, so the rate
of requests grows with the number of endpoints; the cost of each request must not.
"""

from __future__ import annotations

import heapq
import time
from random import Random

from lemonridge.scheduling import Scheduler
from lemonridge.scheduling.actions import Send, SetTimer
from lemonridge.scheduling.context import ANY_SHARD
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
    Event,
    RequestArrived,
    TimerFired,
)
from lemonridge.scheduling.settings import (
    DeduplicationScope,
    IdempotencyKind,
    RequestClass,
    Settings,
    VolumePlan,
)

ROUNDS = 3  # measurements of each number of endpoints, in turns; the best one counts
BROKERS = 8
REQUESTS_PER_ENDPOINT_S = 25
MIN_LATENCY_US = 20_000
MAX_LATENCY_US = 60_000
TIME_LEFT_US = 2_000_000  # of each request
VOLUMES_PER_ENDPOINT = 5
READ = RequestClass(300_000, 2_500_000, IdempotencyKind.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 2.0)
WRITE = RequestClass(
    400_000, 2_000_000, IdempotencyKind.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 2.0
)
PLANS = (VolumePlan(10.0, 8.0, 1.0, 0.0, 0.0, 0.0), VolumePlan(5.0, 0.0, 1.0, 20.0, 24.0, 0.0))


def settings(brokers: int) -> Settings:
    """Returns the settings of a fleet of `brokers` brokers."""
    return Settings(
        hosts=brokers,
        classes=(READ, WRITE),
        plans=PLANS,
        polls_endpoint_list=False,
        largest_request_units=6.0,
        mean_request_units=2.0,
        slow_start_units=8.0,
        overload_multiple=2.5,
        reports_peer_usage=False,
        usage_meter_period_us=0,
        max_attempts=4,
        may_cancel=True,
        max_backoff_us=500_000,
        tick_us=2_000,
        poll_within_us=0,
        slow_start_initial_fraction=0.2,
        slow_start_ramp_us=17_000_000,
        overload_window_us=1_000_000,
        drain_grace_us=500_000,
        retry_budget_window_us=0,
        retry_budget_floor=0.0,
        retry_budget_ratio=0.0,
        key_quarantine_us=0,
        retry_rate=0.0,
    )


class _Endpoints:
    """Stand-ins that answer each attempt after a random latency, in virtual time."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._due: list[tuple[int, int, AttemptEnded]] = []
        self._attempts: dict[str, int] = {}  # by request

    def send(self, send: Send, now_us: int) -> None:
        """Starts an attempt, which ends after a random latency."""
        attempt = self._attempts.get(send.request, 0)
        self._attempts[send.request] = attempt + 1
        latency_us = self._random.randrange(MIN_LATENCY_US, MAX_LATENCY_US)
        ended = AttemptEnded(
            send.request, attempt, send.endpoint_id, AttemptResult.OK, latency_us, True, None, None, None
        )
        order = len(self._attempts) * 8 + attempt
        heapq.heappush(self._due, (now_us + latency_us, order, ended))

    def ended(self, now_us: int) -> list[Event]:
        """Returns the events of the attempts that have ended since the last call."""
        events: list[Event] = []
        while self._due and self._due[0][0] <= now_us:
            events.append(heapq.heappop(self._due)[2])
        return events


def cost_us(nodes: int, seed: int, new_share: float = 0.3, requests: int = 20_000) -> float:
    """Measures the time of `Scheduler.handle` for each request, in microseconds.

    Args:
        nodes: The number of endpoints, each the only one of its shard.
        seed: The seed of the requests and latencies.
        new_share: The fraction of requests for new objects.
        requests: The number of requests.
    """
    random, scheduler = Random(seed), Scheduler(settings(BROKERS), seed)
    endpoints = _Endpoints(random)
    now_us, spent_s = 1_000_000_000, 0.0
    entries = tuple(Endpoint(f"n{number}", number, 0, EndpointState.ACTIVE, 0) for number in range(nodes))
    scheduler.handle(now_us, [EndpointsChanged(EndpointListUpdate.CACHED, entries)])
    gap_us = max(1, int(1_000_000 / (REQUESTS_PER_ENDPOINT_S * nodes)))
    timer_us: int | None = None
    for number in range(1, requests + 1):
        now_us += gap_us
        events = endpoints.ended(now_us)
        if timer_us is not None and timer_us <= now_us:
            events.append(TimerFired())
            timer_us = None
        events.append(_request(random, number, nodes, new_share, now_us))
        began_s = time.perf_counter()
        actions = scheduler.handle(now_us, events)
        spent_s += time.perf_counter() - began_s
        for action in actions:
            if isinstance(action, Send):
                endpoints.send(action, now_us)
            elif isinstance(action, SetTimer):
                timer_us = action.at_us
    return spent_s / requests * 1e6


def _request(random: Random, number: int, nodes: int, new_share: float, now_us: int) -> RequestArrived:
    """Draws a request; requests for new objects belong to the class that is not idempotent."""
    shard = ANY_SHARD if random.random() < new_share else random.randrange(nodes)
    plan = random.randrange(len(PLANS))
    volume = random.randrange(nodes * VOLUMES_PER_ENDPOINT) * len(PLANS) + plan
    cls = int(shard == ANY_SHARD)
    return RequestArrived(f"r{number}", shard, volume, now_us + TIME_LEFT_US, None, cls, plan, 2.0, 2)


def ratio(seed: int, small: int = 8, large: int = 1000) -> dict[str, object]:
    """Compares the cost at two numbers of endpoints: the best of `ROUNDS` measurements of each, in turns."""
    small_us, large_us = [], []
    for number in range(ROUNDS):
        small_us.append(cost_us(small, seed + number))
        large_us.append(cost_us(large, seed + number))
    return {
        "bench": "decisions",
        "nodes_small": small,
        "nodes_large": large,
        "us_small": round(min(small_us), 2),
        "us_large": round(min(large_us), 2),
        "ratio": round(min(large_us) / min(small_us), 2),
    }
