"""Endpoints that have started anew."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import SETTINGS, START, Rig, finals, sends

from lemonridge.scheduling.actions import Reject
from lemonridge.scheduling.events import (
    AttemptResult,
    EndpointListUpdate,
    EndpointState,
    PeerHealthReported,
    QuotaChanged,
    SharedBudget,
    TimerFired,
)


def cold_sends(rig: Rig, span: int, shard: int = 2) -> float:
    total, end = 0.0, rig.now + span
    while rig.now < end:
        rig.ask(5, shard=shard)
        total += len(rig.sent())
        for request, attempt in list(rig.policy.open_attempts):
            rig.tries[request] = attempt
            rig.end(request, endpoint="n")
            total += len(rig.sent())
        rig.now += 10_000
    return total


def test_new_endpoint_gets_this_hosts_part_of_its_slow_start(rig: Rig) -> None:
    rig.listed(("n", 2), kind=EndpointListUpdate.DELTA)
    assert 1 <= cold_sends(rig, 990_000) <= SETTINGS.slow_start_units / SETTINGS.hosts


def test_recent_start_in_a_cached_list_is_a_slow_start() -> None:
    rig = Rig(SETTINGS)
    rig.listed(("n", 2, EndpointState.ACTIVE, START - 1))
    assert 1 <= cold_sends(rig, 990_000) <= SETTINGS.slow_start_units / SETTINGS.hosts


def test_host_that_starts_beside_a_slow_start_uses_it_by_demand() -> None:
    """One of many hosts: its even part holds no request, and it was served nothing there before. What it is
    asked for beyond the volume's rate does not count."""
    rig = Rig(replace(SETTINGS, hosts=40, slow_start_units=1.0))
    rig.listed(("n", 2, EndpointState.ACTIVE, START - 4_000_000))
    assert 3 <= cold_sends(rig, 4_000_000) <= 2 * 4 * SETTINGS.plans[0].base_rate < 4 * 100


def test_bucket_of_a_slow_start_saves_a_burst_in_a_large_fleet_alone() -> None:
    for hosts, saved in ((40, True), (4, False)):
        rig = Rig(replace(SETTINGS, hosts=hosts, slow_start_units=1.0))
        rig.listed(("a", 0))
        for _ in range(40):
            rig.now += 250_000
            rig.end(rig.ask(units=2.0))
        rig.listed(("a", 0, EndpointState.ACTIVE, rig.now), kind=EndpointListUpdate.DELTA)
        rig.now += 9_000_000
        rig.ask(units=2.0)
        endpoint = rig.policy.endpoint_list.endpoints["a"]
        assert (endpoint.slow_start_tokens > 2.0) is saved and endpoint.slow_start_rate > 0


def test_new_object_skips_a_slow_start_whose_budget_is_used_up(rig: Rig) -> None:
    rig.listed(("n", 2), kind=EndpointListUpdate.DELTA)
    for name in "ab":
        rig.policy.endpoint_list.endpoints[name].window = 1.5
    (
        rig.policy.endpoint_list.endpoints["n"].window,
        rig.policy.endpoint_list.endpoints["n"].slow_start_tokens,
    ) = (
        8.0,
        -4.0,
    )
    assert rig.ask(shard=-1) in rig.sent() and rig.policy.endpoint_list.endpoints["n"].open_attempts == 0


def test_unnoticed_restart_is_a_slow_start(rig: Rig) -> None:
    for _ in range(3):
        rig.ask()
        for request, attempt in list(rig.policy.open_attempts):
            rig.tries[request] = attempt
            rig.end(request, AttemptResult.CONNECT_FAILED)
        rig.now += 700_000
    rig.ask()
    for request, attempt in list(rig.policy.open_attempts):
        rig.tries[request] = attempt
        rig.end(request)
    assert rig.policy.endpoint_list.endpoints["a"].slow_start_began_us is not None


def test_request_too_large_for_a_slow_start_is_rejected_and_blocks_nothing(rig: Rig) -> None:
    rig.listed(("n", 2), kind=EndpointListUpdate.DELTA)
    large = rig.ask(5, shard=2, units=8.0)
    assert finals(rig.actions) == {large: Reject}
    assert rig.ask(5, shard=2) in rig.sent()


def test_limit_holds_in_a_slow_start_and_draining_prevails() -> None:
    rig = Rig(SETTINGS)
    rig.listed(("n", 2, EndpointState.ACTIVE, START - 1))
    rig.ask(1, plan=1, shard=2, hosts=2)
    assert not rig.sent()  # cold allows it, the empty bucket does not
    rig.now += 200_000
    assert len(sends(rig.do(TimerFired()))) == 1
    rig.listed(("n", 2, EndpointState.DRAINING, START - 1), kind=EndpointListUpdate.DELTA)
    rig.ask(2, shard=2)
    assert not rig.sent() and not sends(rig.pass_time(1_000_000))


def test_usual_traffic_is_kept_while_an_endpoint_drains_and_is_removed(rig: Rig) -> None:
    for _ in range(20):
        rig.now += 500_000
        rig.end(rig.ask(units=2.0))
    last = rig.ask(units=2.0)
    rig.listed(("a", 0, EndpointState.DRAINING), kind=EndpointListUpdate.DELTA)
    before = rig.policy.slow_start.usual_traffic[0].units
    rig.now += 50_000
    rig.end(last)  # what was out still comes back, and must not start the fading again
    rig.now += 15_000_000
    rig.listed(("c", 0, EndpointState.ACTIVE, rig.now), kind=EndpointListUpdate.DELTA)
    assert rig.policy.slow_start.usual_traffic[0].units == before > 0


def test_host_without_usual_traffic_has_an_even_part_of_a_slow_start() -> None:
    """It was served little there, and much elsewhere, by which it knows what a core serves."""
    rig = Rig(replace(SETTINGS, hosts=40, slow_start_units=1.0))
    rig.listed(("a", 0), ("b", 1))
    rig.end(rig.ask(units=2.0), lag=100_000)
    for _ in range(10):
        rig.now += 1_000_000
        rig.end(rig.ask(shard=1, units=2.0), endpoint="b", lag=100_000)
    rig.listed(("a", 0, EndpointState.ACTIVE, rig.now), kind=EndpointListUpdate.DELTA)
    rig.now += 1_000_000
    rig.ask(units=2.0)
    core = 2.0 / 100_000  # units a microsecond
    assert rig.policy.endpoint_list.endpoints["a"].slow_start_rate == pytest.approx(
        0.5 * core / 40 * 0.5 * 2.5 * 0.2, rel=0.2
    )


def test_peer_reports_from_before_a_start_do_not_begin_it_again(rig: Rig) -> None:
    rig.pass_time(5_000_000)
    born = rig.now
    rig.listed(("a", 0, EndpointState.ACTIVE, born), kind=EndpointListUpdate.DELTA)
    rig.do(PeerHealthReported("a", 3, True, born - 500_000))  # they saw it dead
    rig.pass_time(800_000)
    rig.do(PeerHealthReported("a", 3, True, born + 200_000))  # words take their time, and clocks differ
    name = rig.ask()
    rig.pass_time(300_000)
    if name in rig.policy.requests:
        rig.end(name)
    assert rig.policy.endpoint_list.endpoints["a"].slow_start_began_us == born
    rig.pass_time(2_000_000)
    rig.do(PeerHealthReported("a", 2, True, rig.now - 100_000))
    assert rig.policy.endpoint_list.endpoints["a"].connect_failures  # of later ones the next request is a try


def test_borrowed_quota_raises_the_rate_of_a_slow_start(rig: Rig) -> None:
    rig.listed(("a", 0, EndpointState.ACTIVE, rig.now), kind=EndpointListUpdate.DELTA)
    endpoint = rig.policy.endpoint_list.endpoints["a"]
    rig.now += 1_000_000
    rig.policy.context.now_us = rig.now
    assert rig.policy.slow_start.in_slow_start(endpoint)
    own = endpoint.slow_start_rate
    rig.do(QuotaChanged(SharedBudget.SLOW_START, "a", 5e-5, rig.now + 1_000_000, -1.0, rig.now))
    rig.policy.slow_start.in_slow_start(endpoint)
    assert endpoint.slow_start_rate > own
    rig.now += 1_000_000
    rig.policy.context.now_us = rig.now
    rig.policy.slow_start.in_slow_start(endpoint)
    assert endpoint.slow_start_rate == 0.0  # all of its own is lent
