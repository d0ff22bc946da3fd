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
    total, end = 0.0, rig.now_us + span
    while rig.now_us < end:
        rig.arrive(5, shard=shard)
        total += len(rig.sent_requests())
        for request, attempt in list(rig.scheduler.open_attempts):
            rig.attempts[request] = attempt
            rig.end_attempt(request, endpoint="n")
            total += len(rig.sent_requests())
        rig.now_us += 10_000
    return total


def test_new_endpoint_gets_this_hosts_part_of_its_slow_start(rig: Rig) -> None:
    rig.update_list(("n", 2), kind=EndpointListUpdate.DELTA)

    assert 1 <= cold_sends(rig, 990_000) <= SETTINGS.slow_start_units / SETTINGS.hosts


def test_recent_start_in_a_cached_list_is_a_slow_start() -> None:
    rig = Rig(SETTINGS)
    rig.update_list(("n", 2, EndpointState.ACTIVE, START - 1))

    assert 1 <= cold_sends(rig, 990_000) <= SETTINGS.slow_start_units / SETTINGS.hosts


def test_host_that_starts_beside_a_slow_start_uses_it_by_demand() -> None:
    """One of many hosts: its even part holds no request, and it was served nothing there before. What it is
    asked for beyond the volume's rate does not count."""
    rig = Rig(replace(SETTINGS, hosts=40, slow_start_units=1.0))
    rig.update_list(("n", 2, EndpointState.ACTIVE, START - 4_000_000))

    assert 3 <= cold_sends(rig, 4_000_000) <= 2 * 4 * SETTINGS.plans[0].base_rate < 4 * 100


def test_bucket_of_a_slow_start_saves_a_burst_in_a_large_fleet_alone() -> None:
    for hosts, saved in ((40, True), (4, False)):
        rig = Rig(replace(SETTINGS, hosts=hosts, slow_start_units=1.0))
        rig.update_list(("a", 0))
        for _ in range(40):
            rig.now_us += 250_000
            rig.end_attempt(rig.arrive(units=2.0))
        rig.update_list(("a", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)
        rig.now_us += 9_000_000
        rig.arrive(units=2.0)
        endpoint = rig.endpoint("a")
        assert (endpoint.slow_start_tokens > 2.0) is saved and endpoint.slow_start_rate > 0


def test_new_object_skips_a_slow_start_whose_budget_is_used_up(rig: Rig) -> None:
    rig.update_list(("n", 2), kind=EndpointListUpdate.DELTA)
    for name in "ab":
        rig.endpoint(name).window = 1.5
    (
        rig.endpoint("n").window,
        rig.endpoint("n").slow_start_tokens,
    ) = (
        8.0,
        -4.0,
    )

    assert rig.arrive(shard=-1) in rig.sent_requests() and rig.endpoint("n").open_attempts == 0


def test_unnoticed_restart_is_a_slow_start(rig: Rig) -> None:
    for _ in range(3):
        rig.arrive()
        for request, attempt in list(rig.scheduler.open_attempts):
            rig.attempts[request] = attempt
            rig.end_attempt(request, AttemptResult.CONNECT_FAILED)
        rig.now_us += 700_000
    rig.arrive()
    for request, attempt in list(rig.scheduler.open_attempts):
        rig.attempts[request] = attempt
        rig.end_attempt(request)

    assert rig.endpoint("a").slow_start_began_us is not None


def test_request_too_large_for_a_slow_start_is_rejected_and_blocks_nothing(rig: Rig) -> None:
    rig.update_list(("n", 2), kind=EndpointListUpdate.DELTA)
    large = rig.arrive(5, shard=2, units=8.0)

    assert finals(rig.actions) == {large: Reject}
    assert rig.arrive(5, shard=2) in rig.sent_requests()


def test_limit_holds_in_a_slow_start_and_draining_prevails() -> None:
    rig = Rig(SETTINGS)
    rig.update_list(("n", 2, EndpointState.ACTIVE, START - 1))
    rig.arrive(1, plan=1, shard=2, hosts=2)
    assert not rig.sent_requests()  # the slow start allows it, the empty bucket does not
    rig.now_us += 200_000
    assert len(sends(rig.handle(TimerFired()))) == 1
    rig.update_list(("n", 2, EndpointState.DRAINING, START - 1), kind=EndpointListUpdate.DELTA)
    rig.arrive(2, shard=2)

    assert not rig.sent_requests() and not sends(rig.advance(1_000_000))


def test_usual_traffic_is_kept_while_an_endpoint_drains_and_is_removed(rig: Rig) -> None:
    for _ in range(20):
        rig.now_us += 500_000
        rig.end_attempt(rig.arrive(units=2.0))
    last = rig.arrive(units=2.0)
    rig.update_list(("a", 0, EndpointState.DRAINING), kind=EndpointListUpdate.DELTA)
    before = rig.scheduler.slow_start.baseline_traffic[0].units
    rig.now_us += 50_000
    rig.end_attempt(last)  # what was out still comes back, and must not start the fading again
    rig.now_us += 15_000_000
    rig.update_list(("c", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)

    assert rig.scheduler.slow_start.baseline_traffic[0].units == before > 0


def test_host_without_usual_traffic_has_an_even_part_of_a_slow_start() -> None:
    """It was served little there, and much elsewhere, by which it knows what a core serves."""
    rig = Rig(replace(SETTINGS, hosts=40, slow_start_units=1.0))
    rig.update_list(("a", 0), ("b", 1))
    rig.end_attempt(rig.arrive(units=2.0), latency_us=100_000)
    for _ in range(10):
        rig.now_us += 1_000_000
        rig.end_attempt(rig.arrive(shard=1, units=2.0), endpoint="b", latency_us=100_000)
    rig.update_list(("a", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)
    rig.now_us += 1_000_000
    rig.arrive(units=2.0)
    core = 2.0 / 100_000  # units a microsecond

    assert rig.endpoint("a").slow_start_rate == pytest.approx(0.5 * core / 40 * 0.5 * 2.5 * 0.2, rel=0.2)


def test_peer_reports_from_before_a_start_do_not_begin_it_again(rig: Rig) -> None:
    rig.advance(5_000_000)
    born = rig.now_us
    rig.update_list(("a", 0, EndpointState.ACTIVE, born), kind=EndpointListUpdate.DELTA)
    rig.handle(PeerHealthReported("a", 3, True, born - 500_000))  # they saw it dead
    rig.advance(800_000)
    rig.handle(PeerHealthReported("a", 3, True, born + 200_000))  # words take their time, and clocks differ
    name = rig.arrive()
    rig.advance(300_000)
    if name in rig.scheduler.requests:
        rig.end_attempt(name)
    assert rig.endpoint("a").slow_start_began_us == born
    rig.advance(2_000_000)
    rig.handle(PeerHealthReported("a", 2, True, rig.now_us - 100_000))

    assert rig.endpoint("a").connect_failures  # of later ones the next request is a try


def test_borrowed_quota_raises_the_rate_of_a_slow_start(rig: Rig) -> None:
    rig.update_list(("a", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)
    endpoint = rig.endpoint("a")
    rig.now_us += 1_000_000
    rig.scheduler.context.now_us = rig.now_us
    assert rig.scheduler.slow_start.in_slow_start(endpoint)
    own = endpoint.slow_start_rate
    rig.handle(QuotaChanged(SharedBudget.SLOW_START, "a", 5e-5, rig.now_us + 1_000_000, -1.0, rig.now_us))
    rig.scheduler.slow_start.in_slow_start(endpoint)
    assert endpoint.slow_start_rate > own
    rig.now_us += 1_000_000
    rig.scheduler.context.now_us = rig.now_us
    rig.scheduler.slow_start.in_slow_start(endpoint)

    assert endpoint.slow_start_rate == 0.0  # all of its own is lent
