"""Tests of the slow start of endpoints that have started or restarted."""

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


def send_during_slow_start(rig: Rig, span_us: int, shard: int = 2) -> float:
    """Lets a request arrive every 10 ms for `span_us`, and returns the units sent to endpoint `n`."""
    total, end_us = 0.0, rig.now_us + span_us
    while rig.now_us < end_us:
        rig.arrive(5, shard=shard)
        total += len(rig.sent_requests())
        for request, attempt in list(rig.scheduler.open_attempts):
            rig.attempts[request] = attempt
            rig.end_attempt(request, endpoint="n")
            total += len(rig.sent_requests())
        rig.now_us += 10_000
    return total


def test_new_endpoint_gets_this_hosts_share_of_its_slow_start_budget(rig: Rig) -> None:
    rig.update_list(("n", 2), kind=EndpointListUpdate.DELTA)

    assert 1 <= send_during_slow_start(rig, 990_000) <= SETTINGS.slow_start_units / SETTINGS.hosts


def test_recent_start_in_a_cached_list_is_a_slow_start() -> None:
    rig = Rig(SETTINGS)
    rig.update_list(("n", 2, EndpointState.ACTIVE, START - 1))

    assert 1 <= send_during_slow_start(rig, 990_000) <= SETTINGS.slow_start_units / SETTINGS.hosts


def test_host_that_starts_during_a_slow_start_uses_it_by_demand() -> None:
    """The host's equal share is smaller than one request, and it has no baseline traffic at the shard.

    Demand above the base rate of the volume does not count.
    """
    rig = Rig(replace(SETTINGS, hosts=40, slow_start_units=1.0))
    rig.update_list(("n", 2, EndpointState.ACTIVE, START - 4_000_000))

    assert 3 <= send_during_slow_start(rig, 4_000_000) <= 2 * 4 * SETTINGS.plans[0].base_rate < 4 * 100


def test_bucket_of_a_slow_start_saves_a_burst_only_in_a_large_fleet() -> None:
    for hosts, saves_burst in ((40, True), (4, False)):
        rig = Rig(replace(SETTINGS, hosts=hosts, slow_start_units=1.0))
        rig.update_list(("a", 0))
        for _ in range(40):
            rig.now_us += 250_000
            rig.end_attempt(rig.arrive(units=2.0))
        rig.update_list(("a", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)
        rig.now_us += 9_000_000
        rig.arrive(units=2.0)
        endpoint = rig.endpoint("a")
        assert (endpoint.slow_start_tokens > 2.0) is saves_burst and endpoint.slow_start_rate > 0


def test_new_object_skips_an_endpoint_whose_slow_start_budget_is_exhausted(rig: Rig) -> None:
    rig.update_list(("n", 2), kind=EndpointListUpdate.DELTA)
    for endpoint_id in "ab":
        rig.endpoint(endpoint_id).window = 1.5
    (
        rig.endpoint("n").window,
        rig.endpoint("n").slow_start_tokens,
    ) = (
        8.0,
        -4.0,
    )

    assert rig.arrive(shard=-1) in rig.sent_requests() and rig.endpoint("n").open_attempts == 0


def test_restart_detected_by_failed_connects_begins_a_slow_start(rig: Rig) -> None:
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


def test_limit_applies_in_a_slow_start_and_a_draining_endpoint_gets_no_requests() -> None:
    rig = Rig(SETTINGS)
    rig.update_list(("n", 2, EndpointState.ACTIVE, START - 1))
    rig.arrive(1, plan=1, shard=2, hosts=2)
    assert (
        not rig.sent_requests()
    )  # the slow start allows the request, the empty bucket of the limit does not
    rig.now_us += 200_000
    assert len(sends(rig.handle(TimerFired()))) == 1
    rig.update_list(("n", 2, EndpointState.DRAINING, START - 1), kind=EndpointListUpdate.DELTA)
    rig.arrive(2, shard=2)

    assert not rig.sent_requests() and not sends(rig.advance(1_000_000))


def test_baseline_traffic_is_kept_while_an_endpoint_drains_and_is_removed(rig: Rig) -> None:
    for _ in range(20):
        rig.now_us += 500_000
        rig.end_attempt(rig.arrive(units=2.0))
    last = rig.arrive(units=2.0)
    rig.update_list(("a", 0, EndpointState.DRAINING), kind=EndpointListUpdate.DELTA)
    units_before = rig.scheduler.slow_start.baseline_traffic[0].units
    rig.now_us += 50_000
    rig.end_attempt(last)  # the response to an open attempt must not end the freeze of the average
    rig.now_us += 15_000_000
    rig.update_list(("c", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)

    assert rig.scheduler.slow_start.baseline_traffic[0].units == units_before > 0


def test_host_without_baseline_traffic_has_an_equal_share_of_a_slow_start() -> None:
    """The host has little baseline traffic at the shard, but knows the latency from another shard."""
    rig = Rig(replace(SETTINGS, hosts=40, slow_start_units=1.0))
    rig.update_list(("a", 0), ("b", 1))
    rig.end_attempt(rig.arrive(units=2.0), latency_us=100_000)
    for _ in range(10):
        rig.now_us += 1_000_000
        rig.end_attempt(rig.arrive(shard=1, units=2.0), endpoint="b", latency_us=100_000)
    rig.update_list(("a", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)
    rig.now_us += 1_000_000
    rig.arrive(units=2.0)
    core_rate = 2.0 / 100_000  # units per microsecond

    assert rig.endpoint("a").slow_start_rate == pytest.approx(0.5 * core_rate / 40 * 0.5 * 2.5 * 0.2, rel=0.2)


def test_peer_reports_older_than_a_restart_do_not_begin_another_slow_start(rig: Rig) -> None:
    rig.advance(5_000_000)
    started_us = rig.now_us
    rig.update_list(("a", 0, EndpointState.ACTIVE, started_us), kind=EndpointListUpdate.DELTA)
    rig.handle(PeerHealthReported("a", 3, True, started_us - 500_000))  # observed before the restart
    rig.advance(800_000)
    # Also observed before the restart, but with a later time: messages are delayed and clocks differ.
    rig.handle(PeerHealthReported("a", 3, True, started_us + 200_000))
    request = rig.arrive()
    rig.advance(300_000)
    if request in rig.scheduler.requests:
        rig.end_attempt(request)
    assert rig.endpoint("a").slow_start_began_us == started_us
    rig.advance(2_000_000)
    rig.handle(PeerHealthReported("a", 2, True, rig.now_us - 100_000))

    assert rig.endpoint("a").connect_failures  # after a later report the next request is a probe


def test_borrowed_quota_raises_the_rate_of_a_slow_start(rig: Rig) -> None:
    rig.update_list(("a", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)
    endpoint = rig.endpoint("a")
    rig.now_us += 1_000_000
    rig.scheduler.context.now_us = rig.now_us
    assert rig.scheduler.slow_start.in_slow_start(endpoint)
    own_rate = endpoint.slow_start_rate
    rig.handle(QuotaChanged(SharedBudget.SLOW_START, "a", 5e-5, rig.now_us + 1_000_000, -1.0, rig.now_us))
    rig.scheduler.slow_start.in_slow_start(endpoint)
    assert endpoint.slow_start_rate > own_rate
    rig.now_us += 1_000_000
    rig.scheduler.context.now_us = rig.now_us
    rig.scheduler.slow_start.in_slow_start(endpoint)

    assert endpoint.slow_start_rate == 0.0  # this host lends its whole share
