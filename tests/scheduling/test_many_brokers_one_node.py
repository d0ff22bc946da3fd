"""Tests of many schedulers that send to one node: their load on it in slow start, and a limit."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from conftest import SETTINGS, START

from lemonridge import Scheduler
from lemonridge.net import discovery
from lemonridge.net.backoff import JITTER
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

CAPACITY = 80.0  # units per second of the node at full capacity
STEP_US = 20_000
WARM_UP_US = 20_000_000  # time at full capacity before the node stops
RAMP_US = SETTINGS.slow_start_ramp_us


class Fleet:
    """Hosts that each serve one volume, and one node that responds to all requests after 40 ms.

    Attributes:
        random: The source of random arrivals.
        hosts: The scheduler of each host.
        now_us: The current time.
        request_count: The number of requests so far.
        up: Whether the node accepts connections.
        open_attempts: The open attempts: end time, host, `Send` action and start time.
        attempts: The number of attempts of each request that have ended.
        received: The units that reached the node, with their times.
        units: The units of each request.
    """

    def __init__(self, hosts: int, seed: int = 5) -> None:
        settings = replace(SETTINGS, hosts=hosts, overload_multiple=2.5)
        self.random = random.Random(seed)
        self.hosts = [Scheduler(settings, seed * 1000 + n) for n in range(hosts)]
        self.now_us, self.request_count, self.up = START, 0, True
        self.open_attempts: list[tuple[int, int, Send, int]] = []
        self.attempts: dict[str, int] = {}
        self.received: list[tuple[int, float]] = []
        self.units: dict[str, float] = {}
        self.update_list(EndpointListUpdate.CACHED, 0)

    def update_list(
        self,
        kind: EndpointListUpdate,
        started_us: int,
        node: str = "a",
        state: EndpointState = EndpointState.ACTIVE,
        hosts: slice = slice(None),
    ) -> None:
        entry = Endpoint(node, 0, 0, state, started_us)
        for n, host in list(enumerate(self.hosts))[hosts]:
            self.perform(n, host.handle(self.now_us, [EndpointsChanged(kind, (entry,))]))

    def perform(self, n: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                if self.up:
                    self.received.append((self.now_us, self.units[action.request]))
                self.open_attempts.append((self.now_us + 40_000, n, action, self.now_us))

    def run(self, span_us: int, rate: float, surge: float = 1.0) -> None:
        """Runs for `span_us` with random arrivals.

        Args:
            span_us: The duration.
            rate: The demand of all hosts together, in units per second.
            surge: The factor by which one eighth of the hosts exceeds the demand of the others.
        """
        end_us = self.now_us + span_us
        while self.now_us < end_us:
            self.now_us += STEP_US
            due = [attempt for attempt in self.open_attempts if attempt[0] <= self.now_us]
            self.open_attempts = [attempt for attempt in self.open_attempts if attempt[0] > self.now_us]
            events: dict[int, list[Event]] = {n: [TimerFired()] for n in range(len(self.hosts))}
            for _, n, send, sent_us in due:
                attempt = self.attempts.get(send.request, 0)
                self.attempts[send.request] = attempt + 1
                result = AttemptResult.OK if self.up else AttemptResult.CONNECT_FAILED
                events[n].append(
                    AttemptEnded(
                        send.request,
                        attempt,
                        send.endpoint_id,
                        result,
                        self.now_us - sent_us,
                        self.up,
                        None,
                        None,
                        1.0 if self.up else None,
                    )
                )
            for n in range(len(self.hosts)):
                probability = rate / len(self.hosts) / 2.5 * STEP_US / 1e6 * (surge if n % 8 == 0 else 1.0)
                if self.random.random() < probability:
                    self.request_count += 1
                    request, units = (
                        f"r{self.request_count}",
                        self.random.choice([1.0, 1.0, 2.0, 2.0, 3.0, 6.0]),
                    )
                    self.units[request] = units
                    events[n].append(
                        RequestArrived(request, 0, n, self.now_us + 1_500_000, None, 0, 2, units, 1)
                    )
            for n, host in enumerate(self.hosts):
                self.perform(n, host.handle(self.now_us, events[n]))

    def peak_overload_fraction(self, started_us: int) -> float:
        """Returns the peak load in any overload window, as a fraction of the load at which the node fails."""
        peak = 0.0
        for window_start_us in range(started_us, started_us + RAMP_US, 100_000):
            window_end_us = window_start_us + SETTINGS.overload_window_us
            units = sum(units for at_us, units in self.received if window_start_us < at_us <= window_end_us)
            capacity_fraction = (
                SETTINGS.slow_start_initial_fraction
                + (1 - SETTINGS.slow_start_initial_fraction) * (window_start_us - started_us) / RAMP_US
            )
            peak = max(peak, units / (2.5 * capacity_fraction * CAPACITY))
        return peak

    def units_received(self, started_us: int) -> float:
        """Returns the units that reached the node during its slow start."""
        return sum(units for at_us, units in self.received if started_us < at_us <= started_us + RAMP_US)


def replace_node(hosts: int, delay_us: int = 0, surge: float = 1.0) -> tuple[Fleet, int]:
    """Drains the node and starts a new one, which the hosts learn of `delay_us` after its start.

    Returns:
        The fleet at the end of the new node's slow start, and the start time of the new node.
    """
    fleet = Fleet(hosts)
    fleet.run(WARM_UP_US, 60.0)
    fleet.update_list(EndpointListUpdate.DELTA, 0, state=EndpointState.DRAINING)
    fleet.run(1_000_000, 150.0)
    started_us = fleet.now_us
    fleet.run(delay_us, 150.0)
    fleet.received.clear()
    fleet.update_list(EndpointListUpdate.DELTA, started_us, node="b")
    fleet.run(RAMP_US - delay_us, 150.0, surge)
    return fleet, started_us


@pytest.mark.parametrize(
    ("hosts", "delay_us", "surge"), [(4, 0, 1.0), (120, 0, 1.0), (120, 3_000_000, 1.0), (120, 0, 6.0)]
)
def test_node_in_slow_start_is_used_and_not_overloaded(hosts: int, delay_us: int, surge: float) -> None:
    fleet, started_us = replace_node(hosts, delay_us, surge)
    assert fleet.peak_overload_fraction(started_us) < 1.0
    # The node is used during its ramp.
    assert fleet.units_received(started_us) > 0.2 * CAPACITY * RAMP_US / 1e6


def test_node_in_slow_start_is_overloaded_without_the_slow_start_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SlowStart, "wait_us", lambda self, node, request: 0)
    fleet, started_us = replace_node(120)
    assert fleet.peak_overload_fraction(started_us) > 1.0


def restart_node() -> tuple[Fleet, int]:
    """Restarts the node after 8 s of failed connects, without a change to the endpoint list.

    Returns:
        The fleet at the end of the node's slow start, and the restart time.
    """
    fleet = Fleet(120)
    fleet.run(WARM_UP_US, 60.0)
    fleet.up = False
    fleet.run(8_000_000, 150.0)
    fleet.up, started_us = True, fleet.now_us
    fleet.received.clear()
    fleet.run(RAMP_US, 400.0)
    return fleet, started_us


def test_restart_detected_only_by_failed_connects_begins_a_slow_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet, started_us = restart_node()
    # The first probes may coincide, as the hosts were not informed; after that the budget must hold.
    limited_peak = fleet.peak_overload_fraction(started_us)
    assert limited_peak < 1.6 and fleet.peak_overload_fraction(started_us + 1_000_000) < 1.0
    assert fleet.units_received(started_us) > 0.2 * CAPACITY * RAMP_US / 1e6
    monkeypatch.setattr(SlowStart, "wait_us", lambda self, node, request: 0)
    fleet, started_us = restart_node()
    assert fleet.peak_overload_fraction(started_us) > limited_peak + 0.5


def test_limit_holds_over_24_hosts_while_the_busiest_host_changes_and_hosts_restart() -> None:
    plan = VolumePlan(10.0, 5.0, 1.0, 60.0, 24 * 2 * 8.0, 38.4)
    settings = replace(SETTINGS, hosts=24, plans=(plan,))
    entry = Endpoint("a", 0, 0, EndpointState.ACTIVE, 0)
    rng, now_us = random.Random(3), START
    tokens, min_tokens, sent_units, sending_hosts = plan.burst, plan.burst, 0.0, set()

    def start(seed: int) -> Scheduler:
        host = Scheduler(settings, seed)
        host.handle(now_us, [EndpointsChanged(EndpointListUpdate.CACHED, (entry,))])
        return host

    hosts = [start(n) for n in range(24)]
    units: dict[str, float] = {}
    # One minute, in which the busiest host demands many times the limit and changes every 2 s.
    for step in range(6000):
        now_us += 10_000
        tokens = min(plan.burst, tokens + plan.limit / 100)
        busiest = step // 200 * 7 % 24
        if step % 500 == 499:
            hosts[rng.randrange(24)] = start(step)
        for n in {busiest, rng.randrange(24)}:
            request = f"{step}-{n}"
            units[request] = rng.choice([1.0, 2.0, 8.0])
            event = RequestArrived(request, 0, 1, now_us + 1_500_000, None, 0, 0, units[request], 24)
            for action in hosts[n].handle(now_us, [event]):
                if isinstance(action, Send):
                    tokens -= units[action.request]
                    sent_units += units[action.request]
                    sending_hosts.add(n)
                    attempt_ended = AttemptEnded(
                        action.request, 0, "a", AttemptResult.OK, 9_000, True, None, None, None
                    )
                    hosts[n].handle(now_us, [attempt_ended])
        min_tokens = min(min_tokens, tokens)
    assert min_tokens >= -plan.slack
    assert len(sending_hosts) == 24 and sent_units > 0.2 * plan.limit * 60


def discovery_answer_times(
    initial_backoff_s: float, max_backoff_s: float, spread_s: float, brokers: int = 40
) -> list[float]:
    """Returns when the call of each broker is answered within 40 s, in seconds.

    Discovery processes one call after another and takes 150 ms for each, including calls whose caller has
    given up after waiting for 2 s.

    Args:
        initial_backoff_s: The initial backoff.
        max_backoff_s: The maximum backoff.
        spread_s: The time over which the first calls are spread; 0 if all are made at once.
        brokers: The number of brokers.
    """
    rng, free_at, now, answer_times = random.Random(8), 0.0, 0.0, []
    calls = [(spread_s * rng.random(), n, 0) for n in range(brokers)]
    while calls and now < 40:
        now, n, failures = min(calls)
        calls.remove((now, n, failures))
        free_at = max(free_at, now) + 0.15
        if free_at <= now + 2:
            answer_times.append(free_at)
        else:
            backoff = min(max_backoff_s, initial_backoff_s * 2**failures) * rng.uniform(0.5, 1.5)
            calls.append((now + 2 + backoff, n, failures + 1))
    return answer_times


def test_calls_of_many_brokers_are_spread_so_that_discovery_can_answer_them() -> None:
    settings = replace(SETTINGS, hosts=40, polls_endpoint_list=True, poll_within_us=10_000_000)
    spread_s = discovery.first_poll_spread_s(settings)
    answer_times = discovery_answer_times(*discovery.backoff_bounds_s(settings), spread_s)
    assert len(answer_times) == 40 and sorted(answer_times)[35] < 10
    assert (
        len(
            discovery_answer_times(
                *discovery.backoff_bounds_s(replace(settings, polls_endpoint_list=False)), 0.0
            )
        )
        < 30
    )
    assert discovery.backoff_bounds_s(replace(settings, hosts=3))[0] < 0.5


@pytest.mark.parametrize("poll_within_us", [0, 400_000, 10_000_000, 30_000_000])
@pytest.mark.parametrize("hosts", [1, 3, 16, 40, 200])
def test_pauses_between_polls_leave_an_answer_its_time_before_a_change_counts_as_notified(
    hosts: int, poll_within_us: int
) -> None:
    settings = replace(SETTINGS, hosts=hosts, polls_endpoint_list=True, poll_within_us=poll_within_us)
    first_s, longest_s = discovery.backoff_bounds_s(settings)
    assert first_s <= longest_s
    assert longest_s * (1 + JITTER) + discovery.POLL_ANSWER_MAX_S <= 6.0
    assert discovery.first_poll_spread_s(settings) + discovery.POLL_ANSWER_MAX_S <= 6.0
    # With `poll_within_us` 0 the settings do not limit the time between polls.
    if poll_within_us:
        assert longest_s <= poll_within_us / 1e6 and first_s <= poll_within_us / 2e6
