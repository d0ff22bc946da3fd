"""CPU a decision against the number of nodes: the module alone, fed with what a broker of such a fleet sees.

The load per node is held, so that a larger fleet brings more requests; the cost of each must not grow with
it.
"""

from __future__ import annotations

import heapq
import time
from random import Random

from lemonridge.scheduling import Scheduler
from lemonridge.scheduling.actions import Send, SetTimer
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

ROUNDS, PER_NODE = 3, 40
READ = RequestClass(300_000, 2_500_000, IdempotencyKind.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 2.0)
WRITE = RequestClass(
    400_000, 2_000_000, IdempotencyKind.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 2.0
)
PLANS = (VolumePlan(10.0, 8.0, 1.0, 0.0, 0.0, 0.0), VolumePlan(5.0, 0.0, 1.0, 20.0, 24.0, 0.0))


def settings(brokers: int) -> Settings:
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


def cost_us(nodes: int, seed: int, new_share: float = 0.3, requests: int = 20_000) -> float:
    """Microseconds of `handle` a request: 25 requests a second a node, answered after 20 to 60 ms."""
    random, scheduler = Random(seed), Scheduler(settings(8), seed)
    now, spent, count = 1_000_000_000, 0.0, 0
    due: list[tuple[int, int, AttemptEnded]] = []
    entries = tuple(Endpoint(f"n{n}", n, 0, EndpointState.ACTIVE, 0) for n in range(nodes))
    scheduler.handle(now, [EndpointsChanged(EndpointListUpdate.CACHED, entries)])
    tries: dict[str, int] = {}
    step = max(1, int(1_000_000 / (25 * nodes)))
    wake: int | None = None
    while count < requests:
        now += step
        count += 1
        events: list[Event] = []
        while due and due[0][0] <= now:
            events.append(heapq.heappop(due)[2])
        if wake is not None and wake <= now:
            events.append(TimerFired())
            wake = None
        shard = -1 if random.random() < new_share else random.randrange(nodes)
        plan = random.randrange(2)
        volume = random.randrange(nodes * 5) * 2 + plan
        events.append(
            RequestArrived(f"r{count}", shard, volume, now + 2_000_000, None, int(shard < 0), plan, 2.0, 2)
        )
        began = time.perf_counter()
        actions = scheduler.handle(now, events)
        spent += time.perf_counter() - began
        for action in actions:
            if isinstance(action, Send):
                number = tries.get(action.request, 0)
                tries[action.request] = number + 1
                lag = random.randrange(20_000, 60_000)
                ended = AttemptEnded(
                    action.request, number, action.endpoint_id, AttemptResult.OK, lag, True, None, None, None
                )
                heapq.heappush(due, (now + lag, len(tries) * 8 + number, ended))
            elif isinstance(action, SetTimer):
                wake = action.at_us
    return spent / requests * 1e6


def ratio(seed: int, small: int = 8, large: int = 1000) -> dict[str, object]:
    """The better of some rounds of each, by turns."""
    fast, slow = [], []
    for number in range(ROUNDS):
        fast.append(cost_us(small, seed + number))
        slow.append(cost_us(large, seed + number))
    return {
        "bench": "decisions",
        "nodes_small": small,
        "nodes_large": large,
        "us_small": round(min(fast), 2),
        "us_large": round(min(slow), 2),
        "ratio": round(min(slow) / min(fast), 2),
    }
