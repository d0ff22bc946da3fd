"""Which waiting request is sent next, and what waiting costs."""

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


def drain_order(rig: Rig, count: int) -> list[str]:
    """Answer one request at a time and list what is sent in turn."""
    order: list[str] = []
    flying = [r for r, _ in rig.scheduler.open_attempts]
    while len(order) < count and flying:
        rig.now_us += 1_000
        rig.end_attempt(flying.pop(0))
        order += rig.sent_requests()
        flying += rig.sent_requests()
    return order


def test_request_is_sent_at_once_while_the_endpoint_has_a_free_slot(rig: Rig) -> None:
    assert rig.arrive() in rig.sent_requests()


def test_full_endpoint_does_not_block_the_volumes_other_shards(rig: Rig) -> None:
    arrive_many(rig, 20, 1, shard=0)

    assert rig.arrive(1, shard=1) in rig.sent_requests()


def test_reserved_volume_is_sent_before_a_surge_of_another(rig: Rig) -> None:
    surge = arrive_many(rig, 40, 1)
    quiet = rig.arrive(2, plan=2)

    assert quiet in drain_order(rig, 2)
    assert len(surge) == 40


def test_second_pass_shares_slots_by_reservation(rig: Rig) -> None:
    for volume in (1, 2):
        rig.scheduler.limits.volumes.pop(volume, None)
    small = arrive_many(rig, 60, 1, units=8.0)
    large = arrive_many(rig, 60, 2, plan=2, units=8.0)
    order = drain_order(rig, 40)
    ratio = len([r for r in order if r in large]) / max(1, len([r for r in order if r in small]))

    assert 2.0 < ratio < 4.5


def test_plan_without_reservation_is_served_by_weight(rig: Rig) -> None:
    arrive_many(rig, 30, 1)
    bare = arrive_many(rig, 30, 3, plan=3)

    assert any(r in bare for r in drain_order(rig, 20))


def test_peer_usage_in_a_response_is_debited(make) -> None:
    rig = make(reports_peer_usage=True)
    first = rig.arrive(hosts=2)
    before = rig.volume(1).balance
    rig.end_attempt(first, peer_units=5.0)

    assert rig.volume(1).balance == before - 5.0


def test_without_peer_usage_a_reservation_is_split_evenly(rig: Rig) -> None:
    arrive_many(rig, 10, 1, hosts=2)
    volume = rig.volume(1)
    volume.balance = 0.0
    rig.now_us += 500_000
    rig.scheduler.context.now_us = rig.now_us
    volume.credit(rig.now_us, SETTINGS.largest_request_units)

    assert abs(volume.balance - 10.0 / 2 * 0.5) < 1e-6


def test_reported_peer_usage_is_debited_and_dated(rig: Rig) -> None:
    rig.arrive(1, plan=0)
    volume = rig.volume(1)
    before = volume.balance
    rig.handle(PeerUsageReported(1, 3.0))

    assert volume.balance == pytest.approx(before - 3.0) and volume.peer_usage_at_us == rig.now_us


def test_slow_response_does_not_starve_an_endpoint(rig: Rig) -> None:
    name = rig.arrive(cls=1, key=1)
    rig.now_us += 450_000
    rig.end_attempt(name, latency_us=450_000)

    assert rig.arrive() in rig.sent_requests()
    assert rig.arrive() not in rig.sent_requests()


def test_shorter_objective_is_sent_first_within_a_volume(rig: Rig) -> None:
    arrive_many(rig, 2, 1)
    once = [rig.arrive(cls=2) for _ in range(3)]
    read = rig.arrive(cls=0)

    assert drain_order(rig, 4) == [read, *once]


def test_long_queue_of_expired_requests_is_rejected_at_once(rig: Rig) -> None:
    rig.now_us += 1_000_000
    rig.update_list(("a", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)
    rig.scheduler.queues.rotation_by_shard.clear()
    endpoint = rig.endpoint("a")
    endpoint.window, endpoint.open_attempts = 1.0, 1  # no room: all wait
    names = [rig.arrive(units=8.0) for _ in range(3000)]
    endpoint.open_attempts, endpoint.slow_start_sent.units = 0, 100.0
    rig.now_us += 290_000
    gone = finals(rig.handle(TimerFired()))

    assert set(names) <= set(gone)


def test_highest_priority_is_sent_first_and_expired_requests_block_nothing(rig: Rig) -> None:
    rig.endpoint("a").window = 1.0
    first = rig.arrive()
    write = rig.arrive(cls=1, key=5)
    read = rig.arrive()
    gone = rig.arrive()
    rig.handle(ClientDisconnected(gone))
    rig.now_us += 20_000
    rig.end_attempt(first, latency_us=100_000)
    assert rig.sent_requests() == [read]
    rig.end_attempt(read, latency_us=100_000)

    assert rig.sent_requests() == [write]
    assert not rig.volume(1).queued_requests


def test_suspended_queue_is_not_visited_until_its_limit_has_capacity(make):
    """It leaves the rotation, comes back by its timer, and is sent as soon as the bucket holds it."""
    rig = make(hosts=1)
    rig.advance(4_000_000)
    for _ in range(5):
        name = rig.arrive(plan=1, units=8.0)
        assert rig.sent_requests() == [name]
        rig.end_attempt(name)
    waits = rig.arrive(plan=1, units=8.0)
    volume = rig.volume(1)
    queue = volume.queues[0]
    assert not rig.sent_requests() and queue.suspended and not rig.scheduler.queues.rotation_by_shard
    visited = []
    was = rig.scheduler.queues.expire
    rig.scheduler.queues.expire = lambda queue, endpoint=None: (visited.append(queue), was(queue, endpoint))
    for _ in range(10):
        rig.end_attempt(rig.arrive(volume=2))

    assert queue not in visited
    assert waits not in sends(rig.advance(150_000))
    assert waits in sends(rig.advance(80_000))


def test_suspended_queue_is_rejected_once_it_is_late(make):
    """The bucket would have room in time, but another takes it first."""
    rig = make(hosts=1)
    rig.advance(4_000_000)
    for _ in range(5):
        rig.end_attempt(rig.arrive(plan=1, units=8.0))
    waits = rig.arrive(plan=1, units=8.0)
    volume = rig.volume(1)
    assert volume.queues[0].suspended
    volume.bucket.tokens -= 30.0  # as a refund that is taken back
    seen = rig.advance(400_000)

    assert finals(seen) == {waits: Reject} and not volume.queued_requests and not volume.queues[0].on_time


def test_waiting_queues_are_visited_once_in_a_cycle(rig):
    """Timers of attempts in between visit nothing."""
    for volume in range(40):
        rig.arrive(volume=volume, shard=volume % 2)
    visits = []
    was = rig.scheduler.queues.dispatch
    rig.scheduler.queues.dispatch = lambda shard: (visits.append(shard), was(shard))
    for _ in range(100):
        rig.now_us += 100
        rig.handle(TimerFired())

    assert len(visits) <= 2 * len(rig.scheduler.queues.rotation_by_shard) + 2


def test_no_attempt_is_sent_that_cannot_end_before_the_deadline() -> None:
    """A write whose aim is its deadline, to a node that is not reached, is tried until the deadline: a try
    begun in its last moments would still be out when it passes, and fail what never ran."""
    aimed = replace(conftest.WRITE, latency_objective_us=1_000_000, deadline_us=1_000_000)
    settings = replace(SETTINGS, classes=(conftest.READ, aimed, conftest.ORDER), max_attempts=4)
    for seed in range(1, 21):
        rig = Rig(settings, seed)
        rig.update_list(("a", 0))
        name = rig.arrive(cls=1)
        deadline, begun, seen = rig.now_us + 1_000_000, [], []
        while rig.now_us < deadline and name not in finals(seen):
            if name in sends(rig.actions):
                begun.append(rig.now_us)
                seen += rig.end_attempt(name, AttemptResult.CONNECT_FAILED, latency_us=100)
            rig.now_us += 1_000
            seen += rig.handle(TimerFired())
        assert max(begun) <= deadline - 10_000, seed
        assert finals(seen) == {name: Reject}


def test_unmarked_request_with_little_time_is_served_where_clients_mark_retries(make) -> None:
    """A client that gives 600 of 1,500 ms may leave behind what is in time, and is not refused for it."""
    rig = make(clients_mark_retries=True, classes=(SETTINGS.classes[0],))
    rig.end_attempt(rig.arrive())  # the longest time that was seen is the class's
    rig.endpoint("a").window = 1.0
    out = rig.arrive()
    first = rig.arrive(2, left_us=600_000)
    rig.now_us += 1_000
    second = rig.arrive(2)
    rig.end_attempt(out)
    sent = rig.sent_requests()
    while len(sent) < 2:
        rig.end_attempt(sent[-1])
        sent += rig.sent_requests()

    assert sorted(sent) == sorted([first, second])
    assert not {first, second} & set(finals(rig.actions))
