"""Tests of the dispatch of queued requests: their order, fairness, expiry and cost."""

from __future__ import annotations

from dataclasses import replace

import conftest
import pytest
from conftest import SETTINGS, Rig, arrive_many, finals, sends

from lemonridge.scheduling.actions import Reject
from lemonridge.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
    PeerUsageReported,
    TimerFired,
)


def dispatch_order(rig: Rig, count: int) -> list[str]:
    """Ends one attempt at a time, and returns the requests in the order in which they are sent."""
    order: list[str] = []
    in_flight = [request for request, _ in rig.scheduler.open_attempts]
    while len(order) < count and in_flight:
        rig.now_us += 1_000
        rig.end_attempt(in_flight.pop(0))
        order += rig.sent_requests()
        in_flight += rig.sent_requests()
    return order


def test_request_is_sent_at_once_while_the_endpoint_has_a_free_slot(rig: Rig) -> None:
    assert rig.arrive() in rig.sent_requests()


def test_full_endpoint_does_not_block_the_volumes_other_shards(rig: Rig) -> None:
    arrive_many(rig, 20, 1, shard=0)

    assert rig.arrive(1, shard=1) in rig.sent_requests()


def test_volume_with_a_reservation_is_sent_before_a_surge_of_another_volume(rig: Rig) -> None:
    surge = arrive_many(rig, 40, 1)
    reserved = rig.arrive(2, plan=2)

    assert reserved in dispatch_order(rig, 2)
    assert len(surge) == 40


def test_second_pass_shares_slots_by_reservation(rig: Rig) -> None:
    for volume in (1, 2):
        rig.scheduler.limits.volumes.pop(volume, None)
    small_reservation = arrive_many(rig, 60, 1, units=8.0)
    large_reservation = arrive_many(rig, 60, 2, plan=2, units=8.0)
    order = dispatch_order(rig, 40)
    ratio = len([request for request in order if request in large_reservation]) / max(
        1, len([request for request in order if request in small_reservation])
    )

    assert 2.0 < ratio < 4.5


def test_plan_without_reservation_is_served_by_weight(rig: Rig) -> None:
    arrive_many(rig, 30, 1)
    unreserved = arrive_many(rig, 30, 3, plan=3)

    assert any(request in unreserved for request in dispatch_order(rig, 20))


def test_peer_usage_in_a_response_is_debited(make_rig) -> None:
    rig = make_rig(reports_peer_usage=True)
    first = rig.arrive(hosts=2)
    balance_before = rig.volume(1).balance
    rig.end_attempt(first, peer_units=5.0)

    assert rig.volume(1).balance == balance_before - 5.0


def test_without_peer_usage_a_reservation_is_split_evenly(rig: Rig) -> None:
    arrive_many(rig, 10, 1, hosts=2)
    volume = rig.volume(1)
    volume.balance = 0.0
    rig.now_us += 500_000
    rig.scheduler.context.now_us = rig.now_us
    volume.credit(rig.now_us, SETTINGS.largest_request_units)

    assert abs(volume.balance - 10.0 / 2 * 0.5) < 1e-6


def test_reported_peer_usage_is_debited_and_its_time_recorded(rig: Rig) -> None:
    rig.arrive(1, plan=0)
    volume = rig.volume(1)
    balance_before = volume.balance
    rig.handle(PeerUsageReported(1, 3.0))

    assert volume.balance == pytest.approx(balance_before - 3.0) and volume.peer_usage_at_us == rig.now_us


def test_slow_response_does_not_starve_an_endpoint(rig: Rig) -> None:
    request = rig.arrive(cls=1, key=1)
    rig.now_us += 450_000
    rig.end_attempt(request, latency_us=450_000)

    assert rig.arrive() in rig.sent_requests()
    assert rig.arrive() not in rig.sent_requests()


def test_shorter_objective_is_sent_first_within_a_volume(rig: Rig) -> None:
    arrive_many(rig, 2, 1)
    long_objective = [rig.arrive(cls=2) for _ in range(3)]
    short_objective = rig.arrive(cls=0)

    assert dispatch_order(rig, 4) == [short_objective, *long_objective]


def test_long_queue_of_expired_requests_is_rejected_at_once(rig: Rig) -> None:
    rig.now_us += 1_000_000
    rig.update_list(("a", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)
    rig.scheduler.queues.rotation_by_shard.clear()
    endpoint = rig.endpoint("a")
    endpoint.window, endpoint.open_attempts = 1.0, 1  # no free slot: all requests are queued
    requests = [rig.arrive(units=8.0) for _ in range(3000)]
    endpoint.open_attempts, endpoint.slow_start_sent.units = 0, 100.0
    rig.now_us += 290_000
    answers = finals(rig.handle(TimerFired()))

    assert set(requests) <= set(answers)


def test_highest_priority_is_sent_first_and_a_disconnected_request_blocks_nothing(rig: Rig) -> None:
    rig.endpoint("a").window = 1.0
    first = rig.arrive()
    write = rig.arrive(cls=1, key=5)
    read = rig.arrive()
    disconnected = rig.arrive()
    rig.handle(ClientDisconnected(disconnected))
    rig.now_us += 20_000
    rig.end_attempt(first, latency_us=100_000)
    assert rig.sent_requests() == [read]
    rig.end_attempt(read, latency_us=100_000)

    assert rig.sent_requests() == [write]
    assert not rig.volume(1).queued_requests


def test_suspended_queue_is_not_visited_until_its_limit_has_capacity(make_rig):
    """The queue leaves the rotation, returns by its timer, and sends as soon as the bucket has capacity."""
    rig = make_rig(hosts=1)
    rig.advance(4_000_000)
    for _ in range(5):
        request = rig.arrive(plan=1, units=8.0)
        assert rig.sent_requests() == [request]
        rig.end_attempt(request)
    queued = rig.arrive(plan=1, units=8.0)
    volume = rig.volume(1)
    queue = volume.queues[0]
    assert not rig.sent_requests() and queue.suspended and not rig.scheduler.queues.rotation_by_shard
    visited = []
    expire = rig.scheduler.queues.expire
    rig.scheduler.queues.expire = lambda queue, endpoint=None: (
        visited.append(queue),
        expire(queue, endpoint),
    )
    for _ in range(10):
        rig.end_attempt(rig.arrive(volume=2))

    assert queue not in visited
    assert queued not in sends(rig.advance(150_000))
    assert queued in sends(rig.advance(80_000))


def test_request_of_a_suspended_queue_is_rejected_once_it_is_late(make_rig):
    """The bucket would have had capacity in time, but the tokens are drawn before."""
    rig = make_rig(hosts=1)
    rig.advance(4_000_000)
    for _ in range(5):
        rig.end_attempt(rig.arrive(plan=1, units=8.0))
    queued = rig.arrive(plan=1, units=8.0)
    volume = rig.volume(1)
    assert volume.queues[0].suspended
    volume.bucket.tokens -= 30.0  # like returned units that are drawn again
    actions = rig.advance(400_000)

    assert finals(actions) == {queued: Reject} and not volume.queued_requests and not volume.queues[0].on_time


def test_queues_are_dispatched_once_per_cycle(rig):
    """Timers of attempts within a dispatch cycle do not dispatch any queue."""
    for volume in range(40):
        rig.arrive(volume=volume, shard=volume % 2)
    dispatched = []
    dispatch = rig.scheduler.queues.dispatch
    rig.scheduler.queues.dispatch = lambda shard: (dispatched.append(shard), dispatch(shard))
    for _ in range(100):
        rig.now_us += 100
        rig.handle(TimerFired())

    assert len(dispatched) <= 2 * len(rig.scheduler.queues.rotation_by_shard) + 2


def test_attempt_that_cannot_end_before_the_deadline_is_not_sent() -> None:
    """Guards against failing a request that never ran.

    A write whose objective equals its deadline is retried until the deadline if the node is unreachable. An
    attempt that started shortly before the deadline would still be open when the deadline passes, and the
    request would fail.
    """
    write = replace(conftest.WRITE, latency_objective_us=1_000_000, deadline_us=1_000_000)
    settings = replace(SETTINGS, classes=(conftest.READ, write, conftest.ORDER), max_attempts=4)
    for seed in range(1, 21):
        rig = Rig(settings, seed)
        rig.update_list(("a", 0))
        request = rig.arrive(cls=1)
        deadline_us, attempts_us, actions = rig.now_us + 1_000_000, [], []
        while rig.now_us < deadline_us and request not in finals(actions):
            if request in sends(rig.actions):
                attempts_us.append(rig.now_us)
                actions += rig.end_attempt(request, AttemptResult.CONNECT_FAILED, latency_us=100)
            rig.now_us += 1_000
            actions += rig.handle(TimerFired())
        assert max(attempts_us) <= deadline_us - 10_000, seed
        assert finals(actions) == {request: Reject}


def test_unmarked_request_with_little_time_is_served_if_clients_mark_retries(make_rig) -> None:
    """A request with 600 of 1,500 ms left may be sent after requests that are on time, not rejected."""
    rig = make_rig(clients_mark_retries=True, classes=(SETTINGS.classes[0],))
    rig.end_attempt(rig.arrive())  # the longest time left seen is now the deadline of the class
    rig.endpoint("a").window = 1.0
    in_flight = rig.arrive()
    first = rig.arrive(2, left_us=600_000)
    rig.now_us += 1_000
    second = rig.arrive(2)
    rig.end_attempt(in_flight)
    sent = rig.sent_requests()
    while len(sent) < 2:
        rig.end_attempt(sent[-1])
        sent += rig.sent_requests()

    assert sorted(sent) == sorted([first, second])
    assert not {first, second} & set(finals(rig.actions))
