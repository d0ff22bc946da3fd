"""Pins the decisions of the scheduler: a seeded closed loop of events must give the recorded actions.

Each scene drives one scheduler with events drawn from its seed: attempts that it sends end as drawn, timers
fire when it asked. The recording, `recorded_trace.txt`, holds one line for each round of 100 calls, with the
counts of actions by kind and a digest of all answers, and then the counts of events of the scene. The first
line that differs shows the place; the test prints what was decided in that round.

The test only compares. A change of behaviour that is meant is recorded, from the root of the tree, by

    python -m tests.scheduling.test_recorded_trace --record

Neither digests nor the loop depend on names of the code: only the first section below mentions them.
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

# The names of the code: settings, events and the plain form of actions

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
CONDITIONS = {
    "active": EndpointState.ACTIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
LISTS = {
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
SAFE, KEYED, ONCE = (
    IdempotencyKind.IDEMPOTENT,
    IdempotencyKind.WITH_IDEMPOTENCY_KEY,
    IdempotencyKind.NOT_IDEMPOTENT,
)
ALL, ZONE, CELL = DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.SHARD
CLASSES = (
    RequestClass(300_000, 1_500_000, SAFE, ALL, 0, False, 3.0),
    RequestClass(500_000, 4_000_000, KEYED, CELL, 2_000_000, True, 2.0),
    RequestClass(500_000, 2_000_000, ONCE, ALL, 0, False, 3.0),
    RequestClass(400_000, 3_000_000, KEYED, ZONE, 1_000_000, False, 1.0),
    RequestClass(400_000, 3_000_000, KEYED, ALL, 2_500_000, True, 1.0),
    RequestClass(600_000, 2_500_000, SAFE, ALL, 0, True, 4.0),
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
ASKING = replace(
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
    ASKING,
    hosts=40,
    max_attempts=4,
    retry_rate=400.0,
    key_quarantine_us=0,
    retry_budget_window_us=0,
    slow_start_units=40.0,
)
MANY_NODES = replace(FEW_HOSTS, hosts=10, mean_request_units=0.0, may_cancel=True, reports_peer_usage=True)


def other_settings(settings: Any, pick: Random) -> Any:
    """Settings as an operator may change them: hosts, attempts, and the figures of a limit."""
    limit = pick.choice((20.0, 60.0, 200.0))
    plans = (*PLANS[:1], VolumePlan(10.0, 5.0, 1.0, limit, 40.0, 4.0), *PLANS[2:])
    hosts = max(1, settings.hosts + pick.choice((-1, 0, 0, 1)))
    return replace(settings, plans=plans, hosts=hosts, max_attempts=pick.choice((2, 3, 5)))


def hosts_of(settings: Any) -> int:
    """How many hosts the settings tell."""
    return int(settings.hosts)


def plain_levels(levels: Any) -> list[tuple[int, float, float, int]]:
    """The limits that are handed over, by volume."""
    return [
        (name, one.saved, one.predecessor_debt, one.predecessor_debt_until_us)
        for name, one in sorted(levels.items())
    ]


def made_levels(rows: list[tuple[int, float, float, int]]) -> Any:
    """The limits that are taken over."""
    return {name: LimitLevel(saved, owed, until_us) for name, saved, owed, until_us in rows}


def plain(action: Any) -> tuple[Any, ...]:
    """An action as a literal tag and its values."""
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


class Driven:
    """The calls of a scheduler."""

    def __init__(self, settings: Any, seed: int, asked: bool) -> None:
        self._scheduler = Scheduler(settings, seed, asked)

    def handle(self, now_us: int, events: list[Any]) -> list[tuple[Any, ...]]:
        return [plain(action) for action in self._scheduler.handle(now_us, events)]

    def begins(self, now_us: int, request: str, attempt: int) -> bool:
        return self._scheduler.may_begin(now_us, request, attempt)

    def export_limits(self) -> list[tuple[int, float, float, int]]:
        return plain_levels(self._scheduler.export_limits())

    def import_limits(self, now_us: int, rows: list[tuple[int, float, float, int]]) -> None:
        self._scheduler.import_limits(now_us, made_levels(rows))


# The loop: no names of the code from here on

RECORDING = Path(__file__).with_name("recorded_trace.txt")
START_US = 50_000_000
ROUND = 100  # calls in one line of the recording
ACTIONS = ("send", "cancel", "refuse", "fail", "timer", "subscribe", "slow-start")
DEADLINES_US = (1_500_000, 4_000_000, 2_000_000, 3_000_000, 3_000_000, 2_500_000)  # by class
PHASES = ((4_000_000, 25_000), (400_000, 2_500), (4_000_000, 12_000), (33_000_000, 600_000))  # span, mean gap
MOODS: dict[str, tuple[tuple[str, ...], int, int]] = {  # results, and the shortest and longest answer time
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
CHANCES = {  # of what happens beside requests, as parts of one another
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
class Scene:
    """What one scheduler is driven with."""

    name: str
    seed: int
    settings: Any
    endpoints: int
    shards: int
    asked: bool
    rounds: int


SCENES = (
    Scene("few", 11, FEW_HOSTS, 6, 3, False, 80),
    Scene("asking", 22, ASKING, 20, 5, True, 130),
    Scene("many-hosts", 33, MANY_HOSTS, 8, 4, True, 130),
    Scene("many-nodes", 44, MANY_NODES, 45, 9, False, 80),
)


class Drive:
    """Draws events, gives them to a scheduler, and lets its actions take effect."""

    def __init__(self, scene: Scene) -> None:
        self.scene, self.settings, self.random = scene, scene.settings, Random(scene.seed)
        self.driven = Driven(scene.settings, scene.seed, scene.asked)
        self.now = START_US
        self.planned: list[tuple[int, int, str, tuple[Any, ...]]] = []
        self.count = self.requests = self.phase = 0
        self.held: list[Any] = []  # events that are given together
        self.timer_us: int | None = None
        self.attempts: dict[str, int] = {}
        self.out: dict[tuple[str, int], str] = {}  # attempts that are out, and their nodes
        self.endpoints = {f"n{i}": [i % scene.shards, i % 3, "active", 0] for i in range(scene.endpoints)}
        self.moods = dict.fromkeys(self.endpoints, "well")
        self.steps: list[tuple[Any, ...]] = []
        self.events: Counter[str] = Counter()

    def run(self) -> None:
        """Until the calls of all rounds are made."""
        self.take("listed", "whole", *self.entries("whole", list(self.endpoints)))
        for what in ("arrival", "aside", "phase"):
            self.plan(0, what)
        while len(self.steps) < self.scene.rounds * ROUND:
            at_us, _, what, values = heappop(self.planned)
            self.now = max(self.now, at_us)
            getattr(self, f"on_{what}")(*values)

    def plan(self, after_us: int, what: str, *values: Any) -> None:
        self.count += 1
        heappush(self.planned, (self.now + after_us, self.count, what, values))

    def take(self, tag: str, detail: str, *values: Any) -> None:
        """Give an event to the scheduler, sometimes together with those that follow."""
        self.events[f"{tag} {detail}".strip()] += 1
        self.held.append(EVENTS[tag](*values))
        if len(self.held) < 4 and self.random.random() < 0.2:
            self.plan(self.random.randrange(1_500), "flush")
        else:
            self.on_flush()

    def on_flush(self) -> None:
        if not self.held:
            return
        events, self.held = self.held, []
        actions = self.driven.handle(self.now, events)
        self.steps.append((self.now, *actions))
        for tag, *values in actions:
            if tag in ("send", "cancel", "timer", "subscribe"):
                getattr(self, f"act_{tag}")(*values)

    # The effects of actions

    def act_send(self, request: str, endpoint: str) -> None:
        attempt = self.attempts.get(request, 0)
        self.attempts[request] = attempt + 1
        self.out[request, attempt] = endpoint
        if self.scene.asked:
            late_us = 900_000 if self.random.random() < 0.45 else 30_000
            self.plan(self.random.randrange(late_us), "connected", request, attempt)
        else:
            self.on_fate(request, attempt)

    def act_cancel(self, request: str, attempt: int) -> None:
        self.plan(self.random.randrange(2_000), "end", request, attempt, "cancelled", 0)

    def act_timer(self, at_us: int) -> None:
        self.timer_us = at_us
        self.plan(at_us - self.now + self.random.choice((0, 0, 0, 400)), "timer", at_us)

    def act_subscribe(self) -> None:
        self.plan(self.random.randrange(50_000), "list", self.random.choice(("stale", "whole", "broken")))

    # Requests and attempts

    def on_arrival(self) -> None:
        for _ in range(self.random.choice((1, 1, 1, 2, 6))):
            self.arrive()
        self.plan(1 + self.random.randrange(2 * PHASES[self.phase][1]), "arrival")

    def arrive(self) -> None:
        pick = self.random
        self.requests += 1
        request, cls = f"r{self.requests}", pick.randrange(len(DEADLINES_US))
        left_us = DEADLINES_US[cls] if pick.random() < 0.8 else pick.randrange(50_000, DEADLINES_US[cls])
        shard = -1 if pick.random() < 0.15 else pick.randrange(self.scene.shards)
        volume = pick.randrange(24)
        key = pick.randrange(30) if pick.random() < 0.7 else None
        units = pick.choice((0.5, 1.0, 1.0, 2.0, 4.0, 8.0))
        hosts, repeat = pick.randint(1, hosts_of(self.settings)), pick.random() < 0.1
        values = (request, shard, volume, self.now + left_us, key, cls, volume % 4, units, hosts, repeat)
        self.take("arrived", "", *values)
        if pick.random() < 0.06:
            self.plan(pick.randrange(400_000), "gone", request)

    def on_gone(self, request: str) -> None:
        self.take("gone", "", request)

    def on_connected(self, request: str, attempt: int) -> None:
        """The host asks before the first byte of an attempt."""
        begins = self.driven.begins(self.now, request, attempt)
        self.steps.append((self.now, ("begins", request, attempt, begins)))
        self.events[f"begins {begins}"] += 1
        if begins:
            self.on_fate(request, attempt)
        else:
            self.on_end(request, attempt, "not sent", 0)

    def on_fate(self, request: str, attempt: int) -> None:
        """Draw how an attempt ends, by the mood of its node."""
        results, least_us, most_us = MOODS[self.moods[self.out[request, attempt]]]
        result, lag_us = self.random.choice(results), self.random.randint(least_us, most_us)
        if result == "ok" and self.random.random() < 0.1:
            self.plan(lag_us // 2, "started", request, attempt)
        self.plan(lag_us, "end", request, attempt, result, lag_us)

    def on_started(self, request: str, attempt: int) -> None:
        if (request, attempt) in self.out:
            self.take("started", "", request, attempt)

    def on_end(self, request: str, attempt: int, result: str, lag_us: int) -> None:
        if (endpoint := self.out.pop((request, attempt), None)) is None:
            return
        pick = self.random
        finished = result == "ok" or (result == "error" and pick.random() < 0.5)
        begun = result not in ("not sent", "connect failed") or pick.random() < 0.2
        elsewhere = pick.uniform(0.0, 6.0) if result == "ok" and pick.random() < 0.4 else None
        held = pick.uniform(0.0, 4.0 * hosts_of(self.settings)) if pick.random() < 0.3 else None
        told = (pick.randrange(5) if pick.random() < 0.3 else None, elsewhere, held)
        values = (request, attempt, endpoint, RESULTS[result], lag_us, finished, *told, begun)
        self.take("ended", result, *values)
        if result == "moved":
            self.plan(pick.randrange(60_000), "moved", request)

    def on_moved(self, request: str) -> None:
        shard = None if self.random.random() < 0.5 else self.random.randrange(self.scene.shards)
        self.take("moved", "unknown" if shard is None else "", request, shard)

    def on_timer(self, at_us: int) -> None:
        """A host has one timer: the last that was asked for."""
        if self.timer_us == at_us:
            self.timer_us = None
            self.take("timer fired", "")

    # What happens beside requests

    def on_phase(self) -> None:
        self.phase = (self.phase + 1) % len(PHASES)
        self.plan(PHASES[self.phase][0], "phase")

    def on_aside(self) -> None:
        what = self.random.choices(list(CHANCES), list(CHANCES.values()))[0]
        if what in LISTS:
            self.on_list(what)
        else:
            getattr(self, f"aside_{what}")()
        gap_us = max(25_000, min(PHASES[self.phase][1], 300_000))
        self.plan(self.random.randrange(2 * gap_us), "aside")

    def entries(self, kind: str, names: list[str]) -> tuple[Any, tuple[Any, ...]]:
        """The values of a list of these nodes."""
        made = []
        for name in names:
            shard, zone, condition, started_us = self.endpoints[name]
            made.append(EVENTS["entry"](name, shard, zone, CONDITIONS[condition], started_us))
        return LISTS[kind], tuple(made)

    def on_list(self, kind: str) -> None:
        names = list(self.endpoints)
        if kind == "patch":
            names = self.random.sample(names, 2)
            for name in names:
                self.change(name)
        elif kind == "broken":
            names = []
        elif self.random.random() < 0.5:
            names.remove(self.random.choice(names))
        for name in names:
            self.events[f"entry {self.endpoints[name][2]}"] += 1
        self.take("listed", kind, *self.entries(kind, names))

    def change(self, name: str) -> None:
        """One node leaves, comes back, starts anew or takes another shard."""
        pick, endpoint = self.random, self.endpoints[name]
        endpoint[2] = (
            "active" if endpoint[2] != "active" else pick.choice(("active",) * 4 + ("leaving", "left"))
        )
        if pick.random() < 0.1:
            endpoint[3] = self.now - pick.randrange(2_000_000)
        if pick.random() < 0.1:
            endpoint[0] = pick.randrange(self.scene.shards)

    def aside_mood(self) -> None:
        name = self.random.choice(list(self.endpoints))
        self.moods[name] = self.random.choice(("well",) * 7 + tuple(MOODS))

    def aside_configured(self) -> None:
        self.settings, same = other_settings(self.scene.settings, self.random), self.random.random() < 0.5
        self.take("configured", "same" if same else "anew", self.settings, same)

    def aside_sliced(self) -> None:
        pick, budget = self.random, self.random.choice(list(BUDGETS))
        name = {"limit": pick.randrange(28), "cold": pick.choice(list(self.endpoints)), "further": 0}[budget]
        least, most = (-2e-5, 5e-5) if budget == "cold" else (0.0, 1.0)
        part, after = pick.uniform(least, most), pick.uniform(least, most)
        until_us, since_us = self.now + pick.randrange(3_000_000), self.now - pick.randrange(20_000)
        self.take("sliced", budget, BUDGETS[budget], name, part, until_us, after, since_us)

    def aside_served(self) -> None:
        self.take("served", "", self.random.randrange(28), self.random.uniform(0.0, 10.0))

    def aside_judged(self) -> None:
        pick = self.random
        endpoint, at_us = pick.choice(list(self.endpoints)), self.now - pick.randrange(500_000)
        agreed = pick.random() < 0.5
        self.take("judged", "agreed" if agreed else "alone", endpoint, pick.randint(1, 4), agreed, at_us)

    def aside_handover(self) -> None:
        rows = self.driven.export_limits()
        self.steps.append((self.now, ("export", rows)))
        self.events["export"] += 1
        self.plan(self.random.randrange(300_000), "import", rows)

    def on_import(self, rows: list[tuple[int, float, float, int]]) -> None:
        """Other limits come back than went, among them of a volume that has not asked."""
        part = self.random.uniform(0.5, 1.0)
        rows = [(name, saved * part, owed, until_us) for name, saved, owed, until_us in rows]
        self.driven.import_limits(self.now, [*rows, (99, 5.0, 1.0, self.now + 1_000_000)])
        self.events["import"] += 1

    def aside_stray(self) -> None:
        """Events of requests that have ended, or are out."""
        request = f"r{self.random.randint(1, max(1, self.requests))}"
        if self.random.random() < 0.5:
            self.on_moved(request)
        else:
            values = (request, 9, "n0", RESULTS["ok"], 5, True, None, None, None)
            self.take("ended", "stray", *values)


# The recording


@cache
def driven(scene: Scene) -> Drive:
    """The scene, played once."""
    drive = Drive(scene)
    drive.run()
    return drive


def rounds_of(drive: Drive) -> list[list[tuple[Any, ...]]]:
    """The answers of each round."""
    whole = drive.scene.rounds * ROUND
    return [drive.steps[first : first + ROUND] for first in range(0, whole, ROUND)]


def line_of(scene: Scene, place: int, steps: list[tuple[Any, ...]]) -> str:
    """One round: how many actions of each kind, and the digest of its answers."""
    counts = Counter(action[0] for step in steps for action in step[1:])
    digest = zlib.crc32("\n".join(map(repr, steps)).encode())
    numbers = " ".join(str(counts[tag]) for tag in ACTIONS)
    return f"{scene.name} {place} | {numbers} | {digest:08x}"


def lines_of(scene: Scene) -> list[str]:
    """The scene as it is recorded."""
    drive = driven(scene)
    lines = [line_of(scene, place, steps) for place, steps in enumerate(rounds_of(drive))]
    events = ", ".join(f"{tag} {count}" for tag, count in sorted(drive.events.items()))
    return [*lines, f"{scene.name} events | {events}"]


def header() -> str:
    return f"# scene, round | {', '.join(ACTIONS)} | digest"


def recorded(scene: Scene) -> list[str]:
    lines = RECORDING.read_text().splitlines()
    return [line for line in lines if line.startswith(f"{scene.name} ")]


def difference(scene: Scene, now: list[str], before: list[str]) -> str:
    """The first line that differs, and what was decided there; nothing where all is as recorded."""
    if now == before:
        return ""
    shared = min(len(now), len(before))
    place = next((i for i in range(shared) if now[i] != before[i]), shared)
    text = [f"recorded: {''.join(before[place : place + 1])}", f"now:      {''.join(now[place : place + 1])}"]
    steps = rounds_of(driven(scene))
    return "\n".join([*text, *map(repr, steps[place] if place < len(steps) else [])])


@pytest.mark.parametrize("scene", SCENES, ids=lambda scene: scene.name)
def test_decisions_are_as_recorded(scene: Scene) -> None:
    found = difference(scene, lines_of(scene), recorded(scene))
    if found:
        pytest.fail(found, pytrace=False)


def test_each_kind_of_event_and_action_is_in_the_trace() -> None:
    """Common events by the thousand, rare ones by the hundred, and each reason to give up."""
    events, actions, reasons = totals()
    assert events["arrived"] >= 3_000 and events["ended ok"] >= 3_000 and events["timer fired"] >= 3_000
    rare = ["started", "gone", "moved", "moved unknown", "served", "judged agreed", "judged alone"]
    rare += ["configured same", "configured anew", "export", "import", "begins True", "begins False"]
    for tag, details in {"ended": RESULTS, "listed": LISTS, "entry": CONDITIONS, "sliced": BUDGETS}.items():
        rare += [f"{tag} {detail}" for detail in details]
    assert {tag: events[tag] for tag in rare if events[tag] < 100} == {}
    assert [tag for tag in ACTIONS if not actions[tag]] == []
    assert set(reasons) == set(REASONS.values())


def totals() -> tuple[Counter[str], Counter[str], Counter[str]]:
    """How many events, actions and reasons all scenes have."""
    events: Counter[str] = Counter()
    actions: Counter[str] = Counter()
    reasons: Counter[str] = Counter()
    for scene in SCENES:
        drive = driven(scene)
        events += drive.events
        for action in (action for step in drive.steps for action in step[1:]):
            actions[action[0]] += 1
            if action[0] in ("refuse", "fail"):
                reasons[action[-1]] += 1
    return events, actions, reasons


def record() -> None:
    """Write the recording anew."""
    lines = [line for scene in SCENES for line in lines_of(scene)]
    RECORDING.write_text("\n".join([header(), *lines]) + "\n")
    for counts in totals():
        print(dict(sorted(counts.items())))


if __name__ == "__main__" and sys.argv[1:] == ["--record"]:
    record()
