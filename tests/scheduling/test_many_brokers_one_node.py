"""Many instances of the module against one node: what they send it together while it is cold."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from conftest import SETTINGS, START

from lemonridge import Scheduler
from lemonridge.net import discovery
from lemonridge.scheduling.actions import Action, Send
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
from lemonridge.scheduling.settings import VolumePlan
from lemonridge.scheduling.slow_start import SlowStart

CAPACITY = 80.0  # units a second of the warm node
SLOT_US = 20_000
FAIL_US = 20_000_000  # when the node goes, after a warm stretch
RAMP_US = SETTINGS.slow_start_ramp_us


class Fleet:
    """Hosts that each hold a volume at one node; the node answers all after 40 ms."""

    def __init__(self, hosts: int, seed: int = 5) -> None:
        facts = replace(SETTINGS, hosts=hosts, overload_multiple=2.5)
        self.random = random.Random(seed)
        self.hosts = [Scheduler(facts, seed * 1000 + n) for n in range(hosts)]
        self.now, self.count, self.up = START, 0, True
        self.out: list[tuple[int, int, Send, int]] = []
        self.tries: dict[str, int] = {}
        self.sent: list[tuple[int, float]] = []  # what reached the node, and when
        self.units: dict[str, float] = {}
        self.tell(EndpointListUpdate.CACHED, 0)

    def tell(
        self,
        kind: EndpointListUpdate,
        started_us: int,
        node: str = "a",
        state: EndpointState = EndpointState.ACTIVE,
        hosts: slice = slice(None),
    ) -> None:
        entry = Endpoint(node, 0, 0, state, started_us)
        for n, host in list(enumerate(self.hosts))[hosts]:
            self.take(n, host.handle(self.now, [EndpointsChanged(kind, (entry,))]))

    def take(self, n: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                if self.up:
                    self.sent.append((self.now, self.units[action.request]))
                self.out.append((self.now + 40_000, n, action, self.now))

    def run(self, span: int, rate: float, surge: float = 1.0) -> None:
        """`rate` units a second from all hosts together; an eighth of the hosts ask `surge` times as much."""
        end = self.now + span
        while self.now < end:
            self.now += SLOT_US
            due = [item for item in self.out if item[0] <= self.now]
            self.out = [item for item in self.out if item[0] > self.now]
            events: dict[int, list[Event]] = {n: [TimerFired()] for n in range(len(self.hosts))}
            for _, n, send, at in due:
                attempt = self.tries.get(send.request, 0)
                self.tries[send.request] = attempt + 1
                result = AttemptResult.OK if self.up else AttemptResult.CONNECT_FAILED
                events[n].append(
                    AttemptEnded(
                        send.request,
                        attempt,
                        send.endpoint_id,
                        result,
                        self.now - at,
                        self.up,
                        None,
                        None,
                        1.0 if self.up else None,
                    )
                )
            for n in range(len(self.hosts)):
                mean = rate / len(self.hosts) / 2.5 * SLOT_US / 1e6 * (surge if n % 8 == 0 else 1.0)
                if self.random.random() < mean:
                    self.count += 1
                    name, units = f"r{self.count}", self.random.choice([1.0, 1.0, 2.0, 2.0, 3.0, 6.0])
                    self.units[name] = units
                    events[n].append(RequestArrived(name, 0, n, self.now + 1_500_000, None, 0, 2, units, 1))
            for n, host in enumerate(self.hosts):
                self.take(n, host.handle(self.now, events[n]))

    def worst(self, born_us: int) -> float:
        """The most of the node's allowance that was used within any stretch of the stated length."""
        worst = 0.0
        for start in range(born_us, born_us + RAMP_US, 100_000):
            end = start + SETTINGS.overload_window_us
            units = sum(u for at, u in self.sent if start < at <= end)
            warm = (
                SETTINGS.slow_start_initial_fraction
                + (1 - SETTINGS.slow_start_initial_fraction) * (start - born_us) / RAMP_US
            )
            worst = max(worst, units / (2.5 * warm * CAPACITY))
        return worst

    def served(self, born_us: int) -> float:
        return sum(u for at, u in self.sent if born_us < at <= born_us + RAMP_US)


def replaced(hosts: int, late_us: int = 0, surge: float = 1.0) -> tuple[Fleet, int]:
    """A node goes and its successor comes, told `late_us` after its start."""
    fleet = Fleet(hosts)
    fleet.run(FAIL_US, 60.0)
    fleet.tell(EndpointListUpdate.DELTA, 0, state=EndpointState.DRAINING)
    fleet.run(1_000_000, 150.0)
    born = fleet.now
    fleet.run(late_us, 150.0)
    fleet.sent.clear()
    fleet.tell(EndpointListUpdate.DELTA, born, node="b")
    fleet.run(RAMP_US - late_us, 150.0, surge)
    return fleet, born


@pytest.mark.parametrize(
    ("hosts", "late_us", "surge"), [(4, 0, 1.0), (120, 0, 1.0), (120, 3_000_000, 1.0), (120, 0, 6.0)]
)
def test_cold_node_is_used_and_not_pushed_over(hosts: int, late_us: int, surge: float) -> None:
    fleet, born = replaced(hosts, late_us, surge)
    assert fleet.worst(born) < 1.0
    assert fleet.served(born) > 0.2 * CAPACITY * RAMP_US / 1e6  # a cold node is of use during its ramp


def test_without_the_guard_a_cold_node_is_pushed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "wait_us", lambda self, node, request: 0)
    fleet, born = replaced(120)
    assert fleet.worst(born) > 1.0


def restarted() -> tuple[Fleet, int]:
    """A node that is down for 8 s and comes back with no word from the list."""
    fleet = Fleet(120)
    fleet.run(FAIL_US, 60.0)
    fleet.up = False
    fleet.run(8_000_000, 150.0)
    fleet.up, born = True, fleet.now
    fleet.sent.clear()
    fleet.run(RAMP_US, 400.0)
    return fleet, born


def test_restart_seen_only_by_failed_connects_is_taken_for_cold(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet, born = restarted()
    # The first tries of hosts that were told nothing may come close together; what follows must hold.
    guarded = fleet.worst(born)
    assert guarded < 1.6 and fleet.worst(born + 1_000_000) < 1.0
    assert fleet.served(born) > 0.2 * CAPACITY * RAMP_US / 1e6
    monkeypatch.setattr(SlowStart, "wait_us", lambda self, node, request: 0)
    fleet, born = restarted()
    assert fleet.worst(born) > guarded + 0.5


def test_limit_holds_over_24_hosts_while_the_lead_moves_and_hosts_restart() -> None:
    plan = VolumePlan(10.0, 5.0, 1.0, 60.0, 24 * 2 * 8.0, 38.4)
    facts = replace(SETTINGS, hosts=24, plans=(plan,))
    entry = Endpoint("a", 0, 0, EndpointState.ACTIVE, 0)
    chance, now = random.Random(3), START
    store, lowest, sent, spread = plan.burst, plan.burst, 0.0, set()

    def start(seed: int) -> Scheduler:
        host = Scheduler(facts, seed)
        host.handle(now, [EndpointsChanged(EndpointListUpdate.CACHED, (entry,))])
        return host

    hosts = [start(n) for n in range(24)]
    units: dict[str, float] = {}
    for step in range(6000):  # a minute; one lead asks for many times the limit and moves each two seconds
        now += 10_000
        store = min(plan.burst, store + plan.limit / 100)
        lead = step // 200 * 7 % 24
        if step % 500 == 499:
            hosts[chance.randrange(24)] = start(step)
        for n in {lead, chance.randrange(24)}:
            name = f"{step}-{n}"
            units[name] = chance.choice([1.0, 2.0, 8.0])
            event = RequestArrived(name, 0, 1, now + 1_500_000, None, 0, 0, units[name], 24)
            for action in hosts[n].handle(now, [event]):
                if isinstance(action, Send):
                    store -= units[action.request]
                    sent += units[action.request]
                    spread.add(n)
                    ended = AttemptEnded(
                        action.request, 0, "a", AttemptResult.OK, 9_000, True, None, None, None
                    )
                    hosts[n].handle(now, [ended])
        lowest = min(lowest, store)
    assert lowest >= -plan.slack
    assert len(spread) == 24 and sent > 0.2 * plan.limit * 60


def answered(first_s: float, top_s: float, spread: bool, brokers: int = 40) -> list[float]:
    """When each broker's call is answered, of 40 s: a discovery that takes 150 ms for each call in turn, also
    for those whose caller has given up after 2 s in the line."""
    chance, line, now, told = random.Random(8), 0.0, 0.0, []
    calls = [(first_s * chance.random() if spread else 0.0, n, 0) for n in range(brokers)]
    while calls and now < 40:
        now, n, failed = min(calls)
        calls.remove((now, n, failed))
        line = max(line, now) + 0.15
        if line <= now + 2:
            told.append(line)
        else:
            pause = min(top_s, first_s * 2**failed) * chance.uniform(0.5, 1.5)
            calls.append((now + 2 + pause, n, failed + 1))
    return told


def test_many_brokers_calls_are_spread_so_that_discovery_can_answer_them() -> None:
    asked = replace(SETTINGS, hosts=40, polls_endpoint_list=True, poll_within_us=10_000_000)
    told = answered(*discovery.backoff_bounds_s(asked), True)
    assert len(told) == 40 and sorted(told)[35] < 10
    assert len(answered(*discovery.backoff_bounds_s(replace(asked, polls_endpoint_list=False)), False)) < 30
    assert discovery.backoff_bounds_s(replace(asked, hosts=3))[0] < 0.5
    # the settings need not say
    assert discovery.backoff_bounds_s(replace(asked, poll_within_us=0)) == (4.0, 8.0)
