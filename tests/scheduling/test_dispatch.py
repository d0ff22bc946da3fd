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
    flying = [r for r, _ in rig.policy.open_attempts]
    while len(order) < count and flying:
        rig.now += 1_000
        rig.end(flying.pop(0))
        order += rig.sent()
        flying += rig.sent()
    return order


def test_request_is_sent_at_once_while_the_endpoint_has_a_free_slot(rig: Rig) -> None:
    assert rig.ask() in rig.sent()


def test_full_endpoint_does_not_block_the_volumes_other_shards(rig: Rig) -> None:
    arrive_many(rig, 20, 1, shard=0)
    assert rig.ask(1, shard=1) in rig.sent()


def test_reserved_volume_is_sent_before_a_surge_of_another(rig: Rig) -> None:
    surge = arrive_many(rig, 40, 1)
    quiet = rig.ask(2, plan=2)
    assert quiet in drain_order(rig, 2)
    assert len(surge) == 40


def test_second_pass_shares_slots_by_reservation(rig: Rig) -> None:
    for volume in (1, 2):
        rig.policy.limits.volumes.pop(volume, None)
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
    first = rig.ask(hosts=2)
    before = rig.policy.limits.volumes[1].balance
    rig.end(first, elsewhere=5.0)
    assert rig.policy.limits.volumes[1].balance == before - 5.0


def test_without_peer_usage_a_reservation_is_split_evenly(rig: Rig) -> None:
    arrive_many(rig, 10, 1, hosts=2)
    volume = rig.policy.limits.volumes[1]
    volume.balance = 0.0
    rig.now += 500_000
    rig.policy.context.now_us = rig.now
    volume.credit(rig.now, SETTINGS.largest_request_units)
    assert abs(volume.balance - 10.0 / 2 * 0.5) < 1e-6


def test_reported_peer_usage_is_debited_and_dated(rig: Rig) -> None:
    rig.ask(1, plan=0)
    volume = rig.policy.limits.volumes[1]
    before = volume.balance
    rig.do(PeerUsageReported(1, 3.0))
    assert volume.balance == pytest.approx(before - 3.0) and volume.peer_usage_at_us == rig.now


def test_slow_response_does_not_starve_an_endpoint(rig: Rig) -> None:
    name = rig.ask(cls=1, key=1)
    rig.now += 450_000
    rig.end(name, lag=450_000)
    assert rig.ask() in rig.sent()
    assert rig.ask() not in rig.sent()


def test_shorter_objective_is_sent_first_within_a_volume(rig: Rig) -> None:
    arrive_many(rig, 2, 1)
    once = [rig.ask(cls=2) for _ in range(3)]
    read = rig.ask(cls=0)
    assert drain_order(rig, 4) == [read, *once]


def test_long_queue_of_expired_requests_is_rejected_at_once(rig: Rig) -> None:
    rig.now += 1_000_000
    rig.listed(("a", 0, EndpointState.ACTIVE, rig.now), kind=EndpointListUpdate.DELTA)
    rig.policy.queues.rotation_by_shard.clear()
    endpoint = rig.policy.endpoint_list.endpoints["a"]
    endpoint.window, endpoint.open_attempts = 1.0, 1  # no room: all wait
    names = [rig.ask(units=8.0) for _ in range(3000)]
    endpoint.open_attempts, endpoint.slow_start_sent.units = 0, 100.0
    rig.now += 290_000
    gone = finals(rig.do(TimerFired()))
    assert set(names) <= set(gone)


def test_highest_priority_is_sent_first_and_expired_requests_block_nothing(rig: Rig) -> None:
    rig.policy.endpoint_list.endpoints["a"].window = 1.0
    first = rig.ask()
    write = rig.ask(cls=1, key=5)
    read = rig.ask()
    gone = rig.ask()
    rig.do(ClientDisconnected(gone))
    rig.now += 20_000
    rig.end(first, lag=100_000)
    assert rig.sent() == [read]
    rig.end(read, lag=100_000)
    assert rig.sent() == [write]
    assert not rig.policy.limits.volumes[1].queued_requests


def test_suspended_queue_is_not_visited_until_its_limit_has_capacity(make):
    """It leaves the rotation, comes back by its timer, and is sent as soon as the bucket holds it."""
    rig = make(hosts=1)
    rig.pass_time(4_000_000)
    for _ in range(5):
        name = rig.ask(plan=1, units=8.0)
        assert rig.sent() == [name]
        rig.end(name)
    waits = rig.ask(plan=1, units=8.0)
    volume = rig.policy.limits.volumes[1]
    lane = volume.queues[0]
    assert not rig.sent() and lane.suspended and not rig.policy.queues.rotation_by_shard
    weighed = []
    was = rig.policy.queues.expire
    rig.policy.queues.expire = lambda lane, endpoint=None: (weighed.append(lane), was(lane, endpoint))
    for _ in range(10):
        rig.end(rig.ask(volume=2))
    assert lane not in weighed
    assert waits not in sends(rig.pass_time(150_000))
    assert waits in sends(rig.pass_time(80_000))


def test_suspended_queue_is_rejected_once_it_is_late(make):
    """The bucket would have room in time, but another takes it first."""
    rig = make(hosts=1)
    rig.pass_time(4_000_000)
    for _ in range(5):
        rig.end(rig.ask(plan=1, units=8.0))
    waits = rig.ask(plan=1, units=8.0)
    volume = rig.policy.limits.volumes[1]
    assert volume.queues[0].suspended
    volume.bucket.tokens -= 30.0  # as a refund that is taken back
    seen = rig.pass_time(400_000)
    assert finals(seen) == {waits: Reject} and not volume.queued_requests and not volume.queues[0].on_time


def test_waiting_queues_are_visited_once_in_a_cycle(rig):
    """Timers of attempts in between visit nothing."""
    for volume in range(40):
        rig.ask(volume=volume, shard=volume % 2)
    visits = []
    was = rig.policy.queues.dispatch
    rig.policy.queues.dispatch = lambda shard: (visits.append(shard), was(shard))
    for _ in range(100):
        rig.now += 100
        rig.do(TimerFired())
    assert len(visits) <= 2 * len(rig.policy.queues.rotation_by_shard) + 2


def test_no_attempt_is_sent_that_cannot_end_before_the_deadline() -> None:
    """A write whose aim is its deadline, to a node that is not reached, is tried until the deadline: a try
    begun in its last moments would still be out when it passes, and fail what never ran."""
    aimed = replace(conftest.WRITE, latency_objective_us=1_000_000, deadline_us=1_000_000)
    settings = replace(SETTINGS, classes=(conftest.READ, aimed, conftest.ORDER), max_attempts=4)
    for seed in range(1, 21):
        rig = Rig(settings, seed)
        rig.listed(("a", 0))
        name = rig.ask(cls=1)
        deadline, begun, seen = rig.now + 1_000_000, [], []
        while rig.now < deadline and name not in finals(seen):
            if name in sends(rig.actions):
                begun.append(rig.now)
                seen += rig.end(name, AttemptResult.CONNECT_FAILED, lag=100)
            rig.now += 1_000
            seen += rig.do(TimerFired())
        assert max(begun) <= deadline - 10_000, seed
        assert finals(seen) == {name: Reject}


def test_unmarked_request_with_little_time_is_served_where_clients_mark_retries(make) -> None:
    """A client that gives 600 of 1,500 ms may leave behind what is in time, and is not refused for it."""
    rig = make(clients_mark_retries=True, classes=(SETTINGS.classes[0],))
    rig.end(rig.ask())  # the longest time that was seen is the class's
    rig.policy.endpoint_list.endpoints["a"].window = 1.0
    out = rig.ask()
    first = rig.ask(2, left=600_000)
    rig.now += 1_000
    second = rig.ask(2)
    rig.end(out)
    sent = rig.sent()
    while len(sent) < 2:
        rig.end(sent[-1])
        sent += rig.sent()
    assert sorted(sent) == sorted([first, second])
    assert not {first, second} & set(finals(rig.actions))
