"""Regression test of the scheduler: a seeded closed loop of events must give the recorded actions.

Each scenario drives one scheduler with random events from its seed: attempts that the scheduler sends end
with a random result, and timers fire when the scheduler has requested it. The recording,
`recorded_trace.txt`, contains one line for each round of 100 calls, with the counts of actions by kind and a
digest of all results, followed by the counts of the scenario's events. If a line differs, the test prints the
first such line and the results of that round.

The test only compares. After an intended change of behaviour, update the recording from the root of the tree
with

    python -m tests.scheduling.test_recorded_trace --record

Neither the digests nor the loop depend on names of the scheduler's code; only the first section below uses
them. The tags of events, results and actions are part of the recording.
"""

from __future__ import annotations

import sys
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import cache
from heapq import heappop, heappush
from pathlib import Path
from random import Random
from typing import Any

import pytest

from lemonridge import Scheduler
from lemonridge.scheduling.actions import (
    Cancel,
    Fail,
    Reject,
    RejectReason,
    Send,
    SetTimer,
    SlowStartBegan,
    Subscribe,
)
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    DataMigrated,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
    LimitLevel,
    PeerHealthReported,
    PeerUsageReported,
    QuotaChanged,
    RequestArrived,
    ResponseStarted,
    SettingsChanged,
    SharedBudget,
    TimerFired,
)
from lemonridge.scheduling.settings import (
    DeduplicationScope,
    IdempotencyKind,
    RequestClass,
    Settings,
    VolumePlan,
)

# Mapping between the recording's tags and the scheduler's types; settings and serialization of actions

EVENTS: dict[str, Callable[..., Any]] = {
    "arrived": RequestArrived,
    "started": ResponseStarted,
    "ended": AttemptEnded,
    "moved": DataMigrated,
    "gone": ClientDisconnected,
    "timer fired": TimerFired,
    "entry": Endpoint,
    "listed": EndpointsChanged,
    "configured": SettingsChanged,
    "sliced": QuotaChanged,
    "served": PeerUsageReported,
    "judged": PeerHealthReported,
}
RESULTS = {
    "ok": AttemptResult.OK,
    "error": AttemptResult.ERROR,
    "full": AttemptResult.QUEUE_FULL,
    "timeout": AttemptResult.TIMEOUT,
    "connect failed": AttemptResult.CONNECT_FAILED,
    "reset": AttemptResult.RESET,
    "cancelled": AttemptResult.CANCELLED,
    "not sent": AttemptResult.NOT_SENT,
    "moved": AttemptResult.DATA_MIGRATED,
}
ENDPOINT_STATES = {
    "active": EndpointState.ACTIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
LIST_UPDATES = {
    "patch": EndpointListUpdate.DELTA,
    "whole": EndpointListUpdate.SNAPSHOT,
    "stale": EndpointListUpdate.CACHED,
    "broken": EndpointListUpdate.WATCH_FAILED,
}
BUDGETS = {"limit": SharedBudget.LIMIT, "cold": SharedBudget.SLOW_START, "further": SharedBudget.RETRIES}
REASONS = {
    RejectReason.LIMIT_EXCEEDED: "limit",
    RejectReason.SLOW_START: "cold",
    RejectReason.OBJECTIVE_MISSED: "late",
    RejectReason.ATTEMPTS_EXHAUSTED: "spent",
    RejectReason.DEADLINE_EXCEEDED: "over",
    RejectReason.ROUTE_UNKNOWN: "lost",
}
IDEMPOTENT, WITH_KEY, NOT_IDEMPOTENT = (
    IdempotencyKind.IDEMPOTENT,
    IdempotencyKind.WITH_IDEMPOTENCY_KEY,
    IdempotencyKind.NOT_IDEMPOTENT,
)
ALL, ZONE, SHARD = DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.SHARD
CLASSES = (
    RequestClass(300_000, 1_500_000, IDEMPOTENT, ALL, 0, False, 3.0),
    RequestClass(500_000, 4_000_000, WITH_KEY, SHARD, 2_000_000, True, 2.0),
    RequestClass(500_000, 2_000_000, NOT_IDEMPOTENT, ALL, 0, False, 3.0),
    RequestClass(400_000, 3_000_000, WITH_KEY, ZONE, 1_000_000, False, 1.0),
    RequestClass(400_000, 3_000_000, WITH_KEY, ALL, 2_500_000, True, 1.0),
    RequestClass(600_000, 2_500_000, IDEMPOTENT, ALL, 0, True, 4.0),
)
PLANS = (  # base rate, reserve, weight, limit, burst, slack
    VolumePlan(10.0, 10.0, 1.0, 0.0, 0.0, 0.0),
    VolumePlan(10.0, 5.0, 1.0, 60.0, 40.0, 4.0),
    VolumePlan(30.0, 30.0, 3.0, 0.0, 0.0, 0.0),
    VolumePlan(10.0, 0.0, 2.0, 200.0, 100.0, 0.0),
)
FEW_HOSTS = Settings(
    hosts=2,
    classes=CLASSES,
    plans=PLANS,
    polls_endpoint_list=False,
    largest_request_units=8.0,
    mean_request_units=2.0,
    slow_start_units=10.0,
    overload_multiple=2.5,
    reports_peer_usage=False,
    usage_meter_period_us=0,
    max_attempts=3,
    may_cancel=False,
    max_backoff_us=1_000_000,
    tick_us=2_000,
    poll_within_us=0,
    slow_start_initial_fraction=0.2,
    slow_start_ramp_us=5_000_000,
    overload_window_us=1_000_000,
    drain_grace_us=250_000,
    retry_budget_window_us=0,
    retry_budget_floor=0.0,
    retry_budget_ratio=0.0,
    key_quarantine_us=100_000,
    retry_rate=0.0,
)
POLLING_HOSTS = replace(
    FEW_HOSTS,
    hosts=3,
    polls_endpoint_list=True,
    poll_within_us=3_000_000,
    reports_peer_usage=True,
    max_attempts=5,
    may_cancel=True,
    retry_budget_window_us=5_000_000,
    retry_budget_floor=5.0,
    retry_budget_ratio=0.2,
    retry_rate=60.0,
    clients_mark_retries=True,
)
MANY_HOSTS = replace(
    POLLING_HOSTS,
    hosts=40,
    max_attempts=4,
    retry_rate=400.0,
    key_quarantine_us=0,
    retry_budget_window_us=0,
    slow_start_units=40.0,
)
MANY_ENDPOINTS = replace(
    FEW_HOSTS, hosts=10, mean_request_units=0.0, may_cancel=True, reports_peer_usage=True
)


def changed_settings(settings: Any, rng: Random) -> Any:
    """Returns settings with changes that an operator may make: hosts, attempts, and the rate of a limit."""
    limit = rng.choice((20.0, 60.0, 200.0))
    plans = (*PLANS[:1], VolumePlan(10.0, 5.0, 1.0, limit, 40.0, 4.0), *PLANS[2:])
    hosts = max(1, settings.hosts + rng.choice((-1, 0, 0, 1)))
    return replace(settings, plans=plans, hosts=hosts, max_attempts=rng.choice((2, 3, 5)))


def host_count(settings: Any) -> int:
    """Returns the number of hosts in the settings."""
    return int(settings.hosts)


def serialize_levels(levels: Any) -> list[tuple[int, float, float, int]]:
    """Returns the exported limits as tuples, sorted by volume."""
    return [
        (volume, level.saved, level.predecessor_debt, level.predecessor_debt_until_us)
        for volume, level in sorted(levels.items())
    ]


def deserialize_levels(levels: list[tuple[int, float, float, int]]) -> Any:
    """Returns the limits to import, by volume."""
    return {volume: LimitLevel(saved, debt, until_us) for volume, saved, debt, until_us in levels}


def serialize_action(action: Any) -> tuple[Any, ...]:
    """Returns an action as a literal tag and its values."""
    if isinstance(action, Send):
        return "send", action.request, action.endpoint_id
    if isinstance(action, Cancel):
        return "cancel", action.request, action.attempt
    if isinstance(action, Reject):
        return "refuse", action.request, action.backoff_us, REASONS[action.reason]
    if isinstance(action, Fail):
        return "fail", action.request, REASONS[action.reason]
    if isinstance(action, SetTimer):
        return "timer", action.at_us
    if isinstance(action, Subscribe):
        return ("subscribe",)
    assert isinstance(action, SlowStartBegan)
    return "slow-start", action.endpoint_id, action.shard, action.began_us, action.rate, action.until_us


class SchedulerAdapter:
    """Calls a scheduler, and returns its results in serialized form."""

    def __init__(self, settings: Any, seed: int, confirms_start: bool) -> None:
        self._scheduler = Scheduler(settings, seed, confirms_start)

    def handle(self, now_us: int, events: list[Any]) -> list[tuple[Any, ...]]:
        return [serialize_action(action) for action in self._scheduler.handle(now_us, events)]

    def may_begin(self, now_us: int, request: str, attempt: int) -> bool:
        return self._scheduler.may_begin(now_us, request, attempt)

    def export_limits(self) -> list[tuple[int, float, float, int]]:
        return serialize_levels(self._scheduler.export_limits())

    def import_limits(self, now_us: int, levels: list[tuple[int, float, float, int]]) -> None:
        self._scheduler.import_limits(now_us, deserialize_levels(levels))


# The loop; no names of the scheduler's code from here on

RECORDING = Path(__file__).with_name("recorded_trace.txt")
START_US = 50_000_000
CALLS_PER_ROUND = 100  # calls in one line of the recording
ACTIONS = ("send", "cancel", "refuse", "fail", "timer", "subscribe", "slow-start")
DEADLINES_US = (1_500_000, 4_000_000, 2_000_000, 3_000_000, 3_000_000, 2_500_000)  # by class
LOAD_PHASES = (  # duration, and the mean interval between arrivals
    (4_000_000, 25_000),
    (400_000, 2_500),
    (4_000_000, 12_000),
    (33_000_000, 600_000),
)
ENDPOINT_BEHAVIOURS: dict[str, tuple[tuple[str, ...], int, int]] = {  # results, min and max latency
    "well": (
        ("ok",) * 30 + ("error", "moved", "cancelled", "reset", "not sent", "connect failed", "timeout"),
        4_000,
        40_000,
    ),
    "slow": (("ok",) * 12 + ("timeout",), 60_000, 900_000),
    "full": (("full", "full", "ok"), 1_000, 60_000),
    "down": (("connect failed",) * 9 + ("not sent",), 300, 3_000),
    "silent": (("timeout", "timeout", "ok"), 900_000, 2_500_000),
    "flaky": (tuple(RESULTS), 2_000, 90_000),
}
SIDE_EVENT_WEIGHTS = {  # relative frequencies of the events other than requests and attempts
    "mood": 14,
    "patch": 5,
    "whole": 2,
    "stale": 2,
    "broken": 3,
    "configured": 7,
    "sliced": 10,
    "served": 4,
    "judged": 7,
    "handover": 3,
    "stray": 6,
}


@dataclass(frozen=True)
class Scenario:
    """The parameters of one run."""

    name: str
    seed: int
    settings: Any
    endpoints: int
    shards: int
    confirms_start: bool
    rounds: int


SCENARIOS = (
    Scenario("few", 11, FEW_HOSTS, 6, 3, False, 80),
    Scenario("asking", 22, POLLING_HOSTS, 20, 5, True, 130),
    Scenario("many-hosts", 33, MANY_HOSTS, 8, 4, True, 130),
    Scenario("many-nodes", 44, MANY_ENDPOINTS, 45, 9, False, 80),
)


class TraceDriver:
    """Generates random events, passes them to a scheduler, and simulates the effects of its actions."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.settings, self.random = scenario, scenario.settings, Random(scenario.seed)
        self.scheduler = SchedulerAdapter(scenario.settings, scenario.seed, scenario.confirms_start)
        self.now_us = START_US
        self.scheduled: list[tuple[int, int, str, tuple[Any, ...]]] = []
        self.sequence_number = self.request_count = self.phase = 0
        self.pending_events: list[Any] = []  # events to pass in one call
        self.timer_us: int | None = None
        self.attempts: dict[str, int] = {}
        self.open_attempts: dict[tuple[str, int], str] = {}  # the endpoint of each open attempt
        self.endpoints = {
            f"n{i}": [i % scenario.shards, i % 3, "active", 0] for i in range(scenario.endpoints)
        }
        self.behaviours = dict.fromkeys(self.endpoints, "well")
        self.steps: list[tuple[Any, ...]] = []
        self.events: Counter[str] = Counter()

    def run(self) -> None:
        """Runs until the calls of all rounds have been made."""
        self.emit_event("listed", "whole", *self.list_event_values("whole", list(self.endpoints)))
        for handler_name in ("arrival", "aside", "phase"):
            self.schedule(0, handler_name)
        while len(self.steps) < self.scenario.rounds * CALLS_PER_ROUND:
            at_us, _, handler_name, values = heappop(self.scheduled)
            self.now_us = max(self.now_us, at_us)
            getattr(self, f"on_{handler_name}")(*values)

    def schedule(self, after_us: int, handler_name: str, *values: Any) -> None:
        self.sequence_number += 1
        heappush(self.scheduled, (self.now_us + after_us, self.sequence_number, handler_name, values))

    def emit_event(self, tag: str, detail: str, *values: Any) -> None:
        """Passes an event to the scheduler, sometimes in one call with the events that follow."""
        self.events[f"{tag} {detail}".strip()] += 1
        self.pending_events.append(EVENTS[tag](*values))
        if len(self.pending_events) < 4 and self.random.random() < 0.2:
            self.schedule(self.random.randrange(1_500), "flush")
        else:
            self.on_flush()

    def on_flush(self) -> None:
        if not self.pending_events:
            return
        events, self.pending_events = self.pending_events, []
        actions = self.scheduler.handle(self.now_us, events)
        self.steps.append((self.now_us, *actions))
        for tag, *values in actions:
            if tag in ("send", "cancel", "timer", "subscribe"):
                getattr(self, f"act_{tag}")(*values)

    # The effects of actions

    def act_send(self, request: str, endpoint: str) -> None:
        attempt = self.attempts.get(request, 0)
        self.attempts[request] = attempt + 1
        self.open_attempts[request, attempt] = endpoint
        if self.scenario.confirms_start:
            max_delay_us = 900_000 if self.random.random() < 0.45 else 30_000
            self.schedule(self.random.randrange(max_delay_us), "connected", request, attempt)
        else:
            self.draw_result(request, attempt)

    def act_cancel(self, request: str, attempt: int) -> None:
        self.schedule(self.random.randrange(2_000), "end", request, attempt, "cancelled", 0)

    def act_timer(self, at_us: int) -> None:
        self.timer_us = at_us
        self.schedule(at_us - self.now_us + self.random.choice((0, 0, 0, 400)), "timer", at_us)

    def act_subscribe(self) -> None:
        self.schedule(self.random.randrange(50_000), "list", self.random.choice(("stale", "whole", "broken")))

    # Requests and attempts

    def on_arrival(self) -> None:
        for _ in range(self.random.choice((1, 1, 1, 2, 6))):
            self.emit_arrival()
        self.schedule(1 + self.random.randrange(2 * LOAD_PHASES[self.phase][1]), "arrival")

    def emit_arrival(self) -> None:
        rng = self.random
        self.request_count += 1
        request, cls = f"r{self.request_count}", rng.randrange(len(DEADLINES_US))
        left_us = DEADLINES_US[cls] if rng.random() < 0.8 else rng.randrange(50_000, DEADLINES_US[cls])
        shard = -1 if rng.random() < 0.15 else rng.randrange(self.scenario.shards)
        volume = rng.randrange(24)
        key = rng.randrange(30) if rng.random() < 0.7 else None
        units = rng.choice((0.5, 1.0, 1.0, 2.0, 4.0, 8.0))
        hosts, repeat = rng.randint(1, host_count(self.settings)), rng.random() < 0.1
        values = (request, shard, volume, self.now_us + left_us, key, cls, volume % 4, units, hosts, repeat)
        self.emit_event("arrived", "", *values)
        if rng.random() < 0.06:
            self.schedule(rng.randrange(400_000), "gone", request)

    def on_gone(self, request: str) -> None:
        self.emit_event("gone", "", request)

    def on_connected(self, request: str, attempt: int) -> None:
        """Asks the scheduler before the first byte of an attempt whether the attempt may begin."""
        may_begin = self.scheduler.may_begin(self.now_us, request, attempt)
        self.steps.append((self.now_us, ("begins", request, attempt, may_begin)))
        self.events[f"begins {may_begin}"] += 1
        if may_begin:
            self.draw_result(request, attempt)
        else:
            self.on_end(request, attempt, "not sent", 0)

    def draw_result(self, request: str, attempt: int) -> None:
        """Draws the result and latency of an attempt, according to the behaviour of its endpoint."""
        results, min_latency_us, max_latency_us = ENDPOINT_BEHAVIOURS[
            self.behaviours[self.open_attempts[request, attempt]]
        ]
        result, latency_us = self.random.choice(results), self.random.randint(min_latency_us, max_latency_us)
        if result == "ok" and self.random.random() < 0.1:
            self.schedule(latency_us // 2, "started", request, attempt)
        self.schedule(latency_us, "end", request, attempt, result, latency_us)

    def on_started(self, request: str, attempt: int) -> None:
        if (request, attempt) in self.open_attempts:
            self.emit_event("started", "", request, attempt)

    def on_end(self, request: str, attempt: int, result: str, latency_us: int) -> None:
        if (endpoint := self.open_attempts.pop((request, attempt), None)) is None:
            return
        rng = self.random
        finished = result == "ok" or (result == "error" and rng.random() < 0.5)
        begun = result not in ("not sent", "connect failed") or rng.random() < 0.2
        peer_units = rng.uniform(0.0, 6.0) if result == "ok" and rng.random() < 0.4 else None
        outstanding = rng.uniform(0.0, 4.0 * host_count(self.settings)) if rng.random() < 0.3 else None
        reported_usage = (rng.randrange(5) if rng.random() < 0.3 else None, peer_units, outstanding)
        values = (request, attempt, endpoint, RESULTS[result], latency_us, finished, *reported_usage, begun)
        self.emit_event("ended", result, *values)
        if result == "moved":
            self.schedule(rng.randrange(60_000), "moved", request)

    def on_moved(self, request: str) -> None:
        shard = None if self.random.random() < 0.5 else self.random.randrange(self.scenario.shards)
        self.emit_event("moved", "unknown" if shard is None else "", request, shard)

    def on_timer(self, at_us: int) -> None:
        """Fires the timer unless the scheduler has since requested another: a host has a single timer."""
        if self.timer_us == at_us:
            self.timer_us = None
            self.emit_event("timer fired", "")

    # Events other than requests and attempts

    def on_phase(self) -> None:
        self.phase = (self.phase + 1) % len(LOAD_PHASES)
        self.schedule(LOAD_PHASES[self.phase][0], "phase")

    def on_aside(self) -> None:
        """Emits a random event that belongs to no request or attempt, and schedules the next one."""
        handler_name = self.random.choices(list(SIDE_EVENT_WEIGHTS), list(SIDE_EVENT_WEIGHTS.values()))[0]
        if handler_name in LIST_UPDATES:
            self.on_list(handler_name)
        else:
            getattr(self, f"aside_{handler_name}")()
        gap_us = max(25_000, min(LOAD_PHASES[self.phase][1], 300_000))
        self.schedule(self.random.randrange(2 * gap_us), "aside")

    def list_event_values(self, kind: str, names: list[str]) -> tuple[Any, tuple[Any, ...]]:
        """Returns the values of an endpoint-list event with the named endpoints."""
        list_entries = []
        for name in names:
            shard, zone, state, started_us = self.endpoints[name]
            list_entries.append(EVENTS["entry"](name, shard, zone, ENDPOINT_STATES[state], started_us))
        return LIST_UPDATES[kind], tuple(list_entries)

    def on_list(self, kind: str) -> None:
        names = list(self.endpoints)
        if kind == "patch":
            names = self.random.sample(names, 2)
            for name in names:
                self.change_endpoint(name)
        elif kind == "broken":
            names = []
        elif self.random.random() < 0.5:
            names.remove(self.random.choice(names))
        for name in names:
            self.events[f"entry {self.endpoints[name][2]}"] += 1
        self.emit_event("listed", kind, *self.list_event_values(kind, names))

    def change_endpoint(self, name: str) -> None:
        """Changes one endpoint: it drains, is removed, returns, restarts or moves to another shard."""
        rng, endpoint = self.random, self.endpoints[name]
        endpoint[2] = (
            "active" if endpoint[2] != "active" else rng.choice(("active",) * 4 + ("leaving", "left"))
        )
        if rng.random() < 0.1:
            endpoint[3] = self.now_us - rng.randrange(2_000_000)
        if rng.random() < 0.1:
            endpoint[0] = rng.randrange(self.scenario.shards)

    def aside_mood(self) -> None:
        name = self.random.choice(list(self.endpoints))
        self.behaviours[name] = self.random.choice(("well",) * 7 + tuple(ENDPOINT_BEHAVIOURS))

    def aside_configured(self) -> None:
        self.settings, unchanged = (
            changed_settings(self.scenario.settings, self.random),
            self.random.random() < 0.5,
        )
        self.emit_event("configured", "same" if unchanged else "anew", self.settings, unchanged)

    def aside_sliced(self) -> None:
        rng, budget = self.random, self.random.choice(list(BUDGETS))
        name = {"limit": rng.randrange(28), "cold": rng.choice(list(self.endpoints)), "further": 0}[budget]
        min_part, max_part = (-2e-5, 5e-5) if budget == "cold" else (0.0, 1.0)
        part, after = rng.uniform(min_part, max_part), rng.uniform(min_part, max_part)
        until_us, since_us = self.now_us + rng.randrange(3_000_000), self.now_us - rng.randrange(20_000)
        self.emit_event("sliced", budget, BUDGETS[budget], name, part, until_us, after, since_us)

    def aside_served(self) -> None:
        self.emit_event("served", "", self.random.randrange(28), self.random.uniform(0.0, 10.0))

    def aside_judged(self) -> None:
        rng = self.random
        endpoint, at_us = rng.choice(list(self.endpoints)), self.now_us - rng.randrange(500_000)
        agreed = rng.random() < 0.5
        self.emit_event("judged", "agreed" if agreed else "alone", endpoint, rng.randint(1, 4), agreed, at_us)

    def aside_handover(self) -> None:
        levels = self.scheduler.export_limits()
        self.steps.append((self.now_us, ("export", levels)))
        self.events["export"] += 1
        self.schedule(self.random.randrange(300_000), "import", levels)

    def on_import(self, levels: list[tuple[int, float, float, int]]) -> None:
        """Imports limits that differ from the exported ones, including one of a volume without requests."""
        part = self.random.uniform(0.5, 1.0)
        levels = [(volume, saved * part, debt, until_us) for volume, saved, debt, until_us in levels]
        self.scheduler.import_limits(self.now_us, [*levels, (99, 5.0, 1.0, self.now_us + 1_000_000)])
        self.events["import"] += 1

    def aside_stray(self) -> None:
        """Passes an unexpected event of a request that has ended or has an open attempt."""
        request = f"r{self.random.randint(1, max(1, self.request_count))}"
        if self.random.random() < 0.5:
            self.on_moved(request)
        else:
            values = (request, 9, "n0", RESULTS["ok"], 5, True, None, None, None)
            self.emit_event("ended", "stray", *values)


# The recording


@cache
def run_scenario(scenario: Scenario) -> TraceDriver:
    """Returns the driver of a finished run; each scenario runs once."""
    driver = TraceDriver(scenario)
    driver.run()
    return driver


def split_into_rounds(driver: TraceDriver) -> list[list[tuple[Any, ...]]]:
    """Returns the results of each round."""
    total_calls = driver.scenario.rounds * CALLS_PER_ROUND
    return [driver.steps[first : first + CALLS_PER_ROUND] for first in range(0, total_calls, CALLS_PER_ROUND)]


def format_round(scenario: Scenario, round_index: int, steps: list[tuple[Any, ...]]) -> str:
    """Returns the line of one round: the number of actions of each kind, and the digest of its results."""
    counts = Counter(action[0] for step in steps for action in step[1:])
    digest = zlib.crc32("\n".join(map(repr, steps)).encode())
    numbers = " ".join(str(counts[tag]) for tag in ACTIONS)
    return f"{scenario.name} {round_index} | {numbers} | {digest:08x}"


def format_trace(scenario: Scenario) -> list[str]:
    """Returns all lines of a scenario in the format of the recording."""
    driver = run_scenario(scenario)
    lines = [
        format_round(scenario, round_index, steps)
        for round_index, steps in enumerate(split_into_rounds(driver))
    ]
    events = ", ".join(f"{tag} {count}" for tag, count in sorted(driver.events.items()))
    return [*lines, f"{scenario.name} events | {events}"]


def recording_header() -> str:
    return f"# scene, round | {', '.join(ACTIONS)} | digest"


def read_recording(scenario: Scenario) -> list[str]:
    lines = RECORDING.read_text().splitlines()
    return [line for line in lines if line.startswith(f"{scenario.name} ")]


def describe_difference(scenario: Scenario, current: list[str], recording: list[str]) -> str:
    """Returns the first line that differs and the results of its round; empty if nothing differs."""
    if current == recording:
        return ""
    common_length = min(len(current), len(recording))
    index = next((i for i in range(common_length) if current[i] != recording[i]), common_length)
    text = [
        f"recorded: {''.join(recording[index : index + 1])}",
        f"now:      {''.join(current[index : index + 1])}",
    ]
    steps = split_into_rounds(run_scenario(scenario))
    return "\n".join([*text, *map(repr, steps[index] if index < len(steps) else [])])


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_decisions_are_as_recorded(scenario: Scenario) -> None:
    found = describe_difference(scenario, format_trace(scenario), read_recording(scenario))
    if found:
        pytest.fail(found, pytrace=False)


def test_each_kind_of_event_and_action_is_in_the_trace() -> None:
    """Common events occur at least 3,000 times, rare ones 100 times, and every action and reason occurs."""
    events, actions, reasons = count_totals()
    assert events["arrived"] >= 3_000 and events["ended ok"] >= 3_000 and events["timer fired"] >= 3_000
    rare = ["started", "gone", "moved", "moved unknown", "served", "judged agreed", "judged alone"]
    rare += ["configured same", "configured anew", "export", "import", "begins True", "begins False"]
    for tag, details in {
        "ended": RESULTS,
        "listed": LIST_UPDATES,
        "entry": ENDPOINT_STATES,
        "sliced": BUDGETS,
    }.items():
        rare += [f"{tag} {detail}" for detail in details]
    assert {tag: events[tag] for tag in rare if events[tag] < 100} == {}
    assert [tag for tag in ACTIONS if not actions[tag]] == []
    assert set(reasons) == set(REASONS.values())


def count_totals() -> tuple[Counter[str], Counter[str], Counter[str]]:
    """Returns the counts of the events, actions and reasons of all scenarios."""
    events: Counter[str] = Counter()
    actions: Counter[str] = Counter()
    reasons: Counter[str] = Counter()
    for scenario in SCENARIOS:
        driver = run_scenario(scenario)
        events += driver.events
        for action in (action for step in driver.steps for action in step[1:]):
            actions[action[0]] += 1
            if action[0] in ("refuse", "fail"):
                reasons[action[-1]] += 1
    return events, actions, reasons


def write_recording() -> None:
    """Overwrites the recording with the current decisions."""
    lines = [line for scenario in SCENARIOS for line in format_trace(scenario)]
    RECORDING.write_text("\n".join([recording_header(), *lines]) + "\n")
    for counts in count_totals():
        print(dict(sorted(counts.items())))


if __name__ == "__main__" and sys.argv[1:] == ["--record"]:
    write_recording()
