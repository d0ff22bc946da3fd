"""Tests of the slow-start budget of a node (NOTES: it binds on every day, however few or many brokers run).

Schedulers send to simulated disk nodes in virtual time, with more demand than the nodes can serve. As on the
page, the check counts the requests at each node, in units of the mean request, in every window of
`overload_window_us`. The maximum is what the settings allow for the node's capacity at the end of the window,
plus the page's slack.
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
CORES, UNIT_US = 2, 5_000  # an endpoint serves 400 units per second at full capacity
QUEUE_LENGTH = 2
WARM_UP_US = 2_500_000  # time before the endpoint restarts, in which brokers measure their baseline traffic
BROKERS = (1, 2, 9, 200)


def budget_with_slack(calls: float) -> float:
    """Returns the page's budget plus its slack for random variation."""
    return calls + 2 * calls**0.5 + 2 if calls >= 30 else calls + 3 * calls**0.5 + 3


@dataclass
class DiskEndpoint:
    """A simulated disk node.

    Attributes:
        name: The id of the endpoint.
        started_us: The time of the last restart, or None if the node has never restarted.
        open_calls: The number of calls that are queued or being served.
        core_free_at_us: The time at which each core is free, as a heap.
        recent: The time and units of the calls in the current window.
        peak_fraction: The highest number of calls in a window, as a fraction of the allowed number.
    """

    name: str
    started_us: int | None = None
    open_calls: int = 0
    core_free_at_us: list[int] = field(default_factory=lambda: [0] * CORES)
    recent: deque[tuple[int, float]] = field(default_factory=deque)
    peak_fraction: float = 0.0

    def capacity_fraction(self, now_us: int) -> float:
        if self.started_us is None:
            return 1.0
        return min(1.0, INITIAL_FRACTION + (1 - INITIAL_FRACTION) * (now_us - self.started_us) / RAMP_US)

    def restart(self, now_us: int) -> None:
        self.started_us = now_us
        self.recent.clear()

    def receive(self, units: float, now_us: int) -> int | None:
        """Records a call; returns the time of its answer, or None if the queue is full."""
        capacity = self.capacity_fraction(now_us)
        if capacity < 1.0:
            self.recent.append((now_us, units))
            while self.recent[0][0] <= now_us - OVERLOAD_WINDOW_US:
                self.recent.popleft()
            calls = sum(units for _, units in self.recent) / MEAN_UNITS
            budget = OVERLOAD_MULTIPLE * capacity * CORES * OVERLOAD_WINDOW_US / UNIT_US / MEAN_UNITS
            self.peak_fraction = max(self.peak_fraction, calls / budget_with_slack(budget))
        if self.open_calls >= CORES + QUEUE_LENGTH:
            return None
        self.open_calls += 1
        begin_us = max(now_us, heapq.heappop(self.core_free_at_us))
        end_us = begin_us + int(units * UNIT_US / capacity)
        heapq.heappush(self.core_free_at_us, end_us)
        return end_us


class VirtualDay:
    """Brokers that send random requests to the nodes of one shard, in virtual time.

    Args:
        brokers: The number of brokers.
        endpoints: The number of nodes.
        seed: The seed of the random arrivals.
        load: The demand as a multiple of the capacity of one node.
    """

    def __init__(self, brokers: int, endpoints: int, seed: int, load: float) -> None:
        self.random, self.now_us, self.event_count = Random(f"{seed}/day"), 1_000_000_000, 0
        self.start_us = self.now_us
        initial_budget = OVERLOAD_MULTIPLE * INITIAL_FRACTION * CORES * OVERLOAD_WINDOW_US / UNIT_US
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
            slow_start_units=0.6 * initial_budget,
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

    def schedule(self, after_us: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now_us + int(after_us), self.event_count, callback))

    def start(self, number: int) -> None:
        """Starts or restarts a broker; its only initial state is the endpoint list."""
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
        """Restarts a node, or adds a new one, and immediately sends the change to every broker."""
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
        """Sends a request to a random broker, and schedules the next arrival."""
        self.event_count += 1
        number, units = self.random.choice(list(self.brokers)), float(self.random.randint(1, 3))
        name = f"r{self.event_count}"
        self.units[name] = units
        deadline_us = self.now_us + self.settings.classes[0].deadline_us
        self.deliver(number, RequestArrived(name, 0, number % 7, deadline_us, None, 0, 0, units, 1))
        self.schedule(self.random.expovariate(1 / self.mean_gap_us), self.arrive)

    def send(self, number: int, action: Send) -> None:
        """Begins an attempt half a millisecond after the decision to send it; its answer takes as long."""
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
        latency_us = (answered_us or self.now_us) - self.now_us + 1000

        def end() -> None:
            endpoint.open_calls -= answered_us is not None
            if self.incarnations[number] == incarnation:
                ended = AttemptEnded(
                    action.request,
                    attempt,
                    endpoint.name,
                    result,
                    latency_us,
                    result is AttemptResult.OK,
                    None,
                    None,
                    None,
                    begun,
                )
                self.deliver(number, ended)

        self.schedule(latency_us, end)

    def run(self, span_us: int) -> None:
        """Runs the simulation for `span_us`."""
        until_us = self.now_us + span_us
        while self.events and self.events[0][0] <= until_us:
            self.now_us, _, callback = heapq.heappop(self.events)
            callback()
        self.now_us = until_us

    def check(self) -> None:
        """Checks that no node received more than its budget, and that each received a part of the budget.

        The lower bound detects unused budget, as there is always more demand.
        """
        for endpoint in self.endpoints.values():
            assert 0.15 < endpoint.peak_fraction <= 1.0, (endpoint.name, endpoint.peak_fraction)


def test_check_detects_an_exceeded_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check must fail for 200 brokers that ignore the slow start."""
    monkeypatch.setattr(SlowStart, "in_slow_start", lambda self, endpoint: False)
    day = VirtualDay(200, 1, 6, load=3.0)
    day.run(WARM_UP_US)
    day.restart("n0")
    day.run(RAMP_US // 2)
    with pytest.raises(AssertionError):
        day.check()


@pytest.mark.parametrize("brokers", BROKERS)
def test_node_restarting_under_twice_its_load_is_sent_no_more_than_the_budget(
    brokers: int,
) -> None:
    day = VirtualDay(brokers, 1, 1, load=2.0)
    day.run(WARM_UP_US)
    day.restart("n0")
    day.run(RAMP_US)
    day.check()


@pytest.mark.parametrize("brokers", BROKERS)
def test_node_that_restarts_twice_begins_a_new_slow_start(brokers: int) -> None:
    day = VirtualDay(brokers, 1, 3, load=2.0)
    day.run(WARM_UP_US)
    for _ in range(2):
        day.restart("n0")
        day.run(2_500_000)
    day.run(RAMP_US // 2)
    day.check()


@pytest.mark.parametrize("brokers", BROKERS)
def test_each_of_two_nodes_of_one_shard_has_its_own_slow_start(brokers: int) -> None:
    day = VirtualDay(brokers, 2, 4, load=3.0)
    day.run(WARM_UP_US)
    day.restart("n0")
    day.run(1_000_000)
    day.restart("n1")
    day.run(1_000_000)
    day.restart("n2")  # a third node joins
    day.run(RAMP_US // 2)
    day.check()


@pytest.mark.parametrize("brokers", BROKERS)
def test_brokers_that_join_and_leave_during_a_slow_start_do_not_exceed_the_budget(brokers: int) -> None:
    day = VirtualDay(brokers, 1, 5, load=2.0)
    day.run(WARM_UP_US)
    day.restart("n0")
    for step in range(16):
        day.run(250_000)
        number = step % brokers
        if brokers > 1 and number in day.brokers and step % 2:
            day.stop(number)
        for stopped in range(brokers):
            if stopped not in day.brokers and stopped != number:  # it was stopped in the previous step
                day.start(stopped)
        if brokers == 1 and step % 4 == 0:
            day.start(0)
    day.run(RAMP_US // 2)
    day.check()
