"""NOTES: the budget of a server in slow start binds on every day, however few or many brokers run.

Schedulers stand before disk nodes in virtual time, with more demand than the nodes bear. The judge counts
what comes to each node, as the page does: N calls of mean work in any window of `overload_window_us`, N being
what the settings allow a node that is as warm as it is at the window's end, with the page's slack.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import pytest
from conftest import BIG, SETTINGS

from lemonridge import Scheduler
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
from lemonridge.scheduling.slow_start import SlowStart

RAMP_US = 6_000_000
OVERLOAD_WINDOW_US = 1_000_000
OVERLOAD_MULTIPLE = 2.5
INITIAL_FRACTION = 0.2
MEAN_UNITS = 2.0
CORES, UNIT_US = 2, 5_000  # an endpoint does 400 units a second when it is warm
QUEUE_LENGTH = 2
WARM_UP_US = 2_500_000  # before the endpoint restarts: brokers learn their baseline traffic
BROKERS = (1, 2, 9, 200)


def allowed(calls: float) -> float:
    """The page's budget with its slack for chance."""
    return calls + 2 * calls**0.5 + 2 if calls >= 30 else calls + 3 * calls**0.5 + 3


@dataclass
class DiskEndpoint:
    """One disk node; `started_us` is None while it is warm from the first."""

    name: str
    started_us: int | None = None
    open_calls: int = 0
    core_free_at_us: list[int] = field(default_factory=lambda: [0] * CORES)
    recent: deque[tuple[int, float]] = field(default_factory=deque)
    worst_fraction: float = 0.0  # calls in a window, as a part of what is allowed: the worst one

    def capacity_fraction(self, now_us: int) -> float:
        if self.started_us is None:
            return 1.0
        return min(1.0, INITIAL_FRACTION + (1 - INITIAL_FRACTION) * (now_us - self.started_us) / RAMP_US)

    def restart(self, now_us: int) -> None:
        self.started_us = now_us
        self.recent.clear()

    def receive(self, units: float, now_us: int) -> int | None:
        """Judge what comes; when it will be answered, or None where it is turned away."""
        capacity = self.capacity_fraction(now_us)
        if capacity < 1.0:
            self.recent.append((now_us, units))
            while self.recent[0][0] <= now_us - OVERLOAD_WINDOW_US:
                self.recent.popleft()
            calls = sum(units for _, units in self.recent) / MEAN_UNITS
            bearable = OVERLOAD_MULTIPLE * capacity * CORES * OVERLOAD_WINDOW_US / UNIT_US / MEAN_UNITS
            self.worst_fraction = max(self.worst_fraction, calls / allowed(bearable))
        if self.open_calls >= CORES + QUEUE_LENGTH:
            return None
        self.open_calls += 1
        begin = max(now_us, heapq.heappop(self.core_free_at_us))
        end = begin + int(units * UNIT_US / capacity)
        heapq.heappush(self.core_free_at_us, end)
        return end


class VirtualDay:
    """Brokers before the nodes of one shard, in virtual time."""

    def __init__(self, brokers: int, endpoints: int, seed: int, load: float) -> None:
        self.random, self.now_us, self.event_count = Random(f"{seed}/day"), 1_000_000_000, 0
        self.begun_us = self.now_us
        bearable = OVERLOAD_MULTIPLE * INITIAL_FRACTION * CORES * OVERLOAD_WINDOW_US / UNIT_US
        self.settings = replace(
            SETTINGS,
            hosts=brokers,
            plans=(BIG,),
            mean_request_units=MEAN_UNITS,
            largest_request_units=3.0,
            overload_multiple=OVERLOAD_MULTIPLE,
            slow_start_initial_fraction=INITIAL_FRACTION,
            slow_start_ramp_us=RAMP_US,
            overload_window_us=OVERLOAD_WINDOW_US,
            slow_start_units=0.6 * bearable,
            max_attempts=4,
        )
        self.endpoints = {f"n{number}": DiskEndpoint(f"n{number}") for number in range(endpoints)}
        self.brokers: dict[int, Scheduler] = {}
        self.incarnations: dict[int, int] = {}
        self.units: dict[str, float] = {}
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.mean_gap_us = 1e6 * MEAN_UNITS / (load * CORES * 1e6 / UNIT_US)
        for number in range(brokers):
            self.start(number)
        self.schedule(0, self.arrive)

    def schedule(self, after_us: float, work: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now_us + int(after_us), self.event_count, work))

    def start(self, number: int) -> None:
        """A broker begins, or begins anew with nothing but the list."""
        self.incarnations[number] = self.incarnations.get(number, 0) + 1
        self.brokers[number] = Scheduler(
            self.settings, number * 1000 + self.incarnations[number], host_confirms_start=True
        )
        self.deliver(number, EndpointsChanged(EndpointListUpdate.CACHED, self.list_entries()))

    def stop(self, number: int) -> None:
        self.incarnations[number] += 1
        del self.brokers[number]

    def list_entries(self) -> tuple[Endpoint, ...]:
        return tuple(
            Endpoint(endpoint.name, 0, 0, EndpointState.ACTIVE, endpoint.started_us or 0)
            for endpoint in self.endpoints.values()
        )

    def restart(self, name: str) -> None:
        """A node begins anew, and every broker is told at once."""
        self.endpoints.setdefault(name, DiskEndpoint(name)).restart(self.now_us)
        for number in list(self.brokers):
            self.deliver(number, EndpointsChanged(EndpointListUpdate.DELTA, self.list_entries()))

    def deliver(self, number: int, event: Event) -> None:
        for action in self.brokers[number].handle(self.now_us, [event]):
            if isinstance(action, Send):
                self.send(number, action)
            elif isinstance(action, SetTimer):
                self.schedule(
                    action.at_us - self.now_us,
                    lambda incarnation=self.incarnations[number]: self.on_timer(number, incarnation),
                )

    def on_timer(self, number: int, incarnation: int) -> None:
        if self.incarnations[number] == incarnation:
            self.deliver(number, TimerFired())

    def arrive(self) -> None:
        """The next request, at any broker; the next one follows by chance."""
        self.event_count += 1
        number, units = self.random.choice(list(self.brokers)), float(self.random.randint(1, 3))
        name = f"r{self.event_count}"
        self.units[name] = units
        deadline = self.now_us + self.settings.classes[0].deadline_us
        self.deliver(number, RequestArrived(name, 0, number % 7, deadline, None, 0, 0, units, 1))
        self.schedule(self.random.expovariate(1 / self.mean_gap_us), self.arrive)

    def send(self, number: int, action: Send) -> None:
        """An attempt begins half a millisecond after its decision, and its answer takes as long."""
        attempt = self.brokers[number].requests[action.request].attempts_sent - 1
        incarnation = self.incarnations[number]
        self.schedule(500, lambda: self.begin(number, incarnation, action, attempt))

    def begin(self, number: int, incarnation: int, action: Send, attempt: int) -> None:
        if self.incarnations[number] != incarnation:
            return
        begun = self.brokers[number].may_begin(self.now_us, action.request, attempt)
        endpoint, units = self.endpoints[action.endpoint_id], self.units[action.request]
        answered_us = endpoint.receive(units, self.now_us) if begun else None
        result = (
            AttemptResult.OK if answered_us else AttemptResult.QUEUE_FULL if begun else AttemptResult.NOT_SENT
        )
        lag = (answered_us or self.now_us) - self.now_us + 1000

        def end() -> None:
            endpoint.open_calls -= answered_us is not None
            if self.incarnations[number] == incarnation:
                ended = AttemptEnded(
                    action.request,
                    attempt,
                    endpoint.name,
                    result,
                    lag,
                    result is AttemptResult.OK,
                    None,
                    None,
                    None,
                    begun,
                )
                self.deliver(number, ended)

        self.schedule(lag, end)

    def run(self, span_us: int) -> None:
        """Play on for a while."""
        until = self.now_us + span_us
        while self.events and self.events[0][0] <= until:
            self.now_us, _, work = heapq.heappop(self.events)
            work()
        self.now_us = until

    def check(self) -> None:
        """No node was sent more than the page allows, and each got a part of it: there was more to send."""
        for endpoint in self.endpoints.values():
            assert 0.15 < endpoint.worst_fraction <= 1.0, (endpoint.name, endpoint.worst_fraction)


def test_the_judge_sees_a_budget_that_is_passed(monkeypatch: pytest.MonkeyPatch) -> None:
    """200 brokers that do not know of a slow start."""
    monkeypatch.setattr(SlowStart, "in_slow_start", lambda self, endpoint: False)
    day = VirtualDay(200, 1, 6, load=3.0)
    day.run(WARM_UP_US)
    day.restart("n0")
    day.run(RAMP_US // 2)
    with pytest.raises(AssertionError):
        day.check()


@pytest.mark.parametrize("brokers", BROKERS)
def test_a_node_that_restarts_under_twice_its_load_is_sent_no_more_than_the_page_allows(
    brokers: int,
) -> None:
    day = VirtualDay(brokers, 1, 1, load=2.0)
    day.run(WARM_UP_US)
    day.restart("n0")
    day.run(RAMP_US)
    day.check()


@pytest.mark.parametrize("brokers", BROKERS)
def test_a_node_that_restarts_twice_begins_its_slow_start_anew(brokers: int) -> None:
    day = VirtualDay(brokers, 1, 3, load=2.0)
    day.run(WARM_UP_US)
    for _ in range(2):
        day.restart("n0")
        day.run(2_500_000)
    day.run(RAMP_US // 2)
    day.check()


@pytest.mark.parametrize("brokers", BROKERS)
def test_each_of_two_nodes_of_one_shard_has_a_slow_start_of_its_own(brokers: int) -> None:
    day = VirtualDay(brokers, 2, 4, load=3.0)
    day.run(WARM_UP_US)
    day.restart("n0")
    day.run(1_000_000)
    day.restart("n1")
    day.run(1_000_000)
    day.restart("n2")  # a third one joins
    day.run(RAMP_US // 2)
    day.check()


@pytest.mark.parametrize("brokers", BROKERS)
def test_brokers_that_join_and_leave_beside_a_slow_start_pass_no_budget(brokers: int) -> None:
    day = VirtualDay(brokers, 1, 5, load=2.0)
    day.run(WARM_UP_US)
    day.restart("n0")
    for step in range(16):
        day.run(250_000)
        number = step % brokers
        if brokers > 1 and number in day.brokers and step % 2:
            day.stop(number)
        for stopped in range(brokers):
            if stopped not in day.brokers and stopped != number:  # it was stopped a step ago
                day.start(stopped)
        if brokers == 1 and step % 4 == 0:
            day.start(0)
    day.run(RAMP_US // 2)
    day.check()
