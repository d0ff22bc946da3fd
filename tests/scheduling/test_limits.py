"""The limits of volumes."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import SETTINGS, Rig, arrive_many, confirming_rig, finals, sends

from lemonridge.scheduling.actions import Reject
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    QuotaChanged,
    SharedBudget,
)
from lemonridge.scheduling.settings import VolumePlan


def drawn(rig: Rig, span: int, hosts: int) -> float:
    total, end = 0.0, rig.now + span
    while rig.now < end:
        name = rig.ask(1, plan=1, units=2.0, hosts=hosts)
        if name in rig.sent():
            total += 2.0
        for request, _ in list(rig.policy.open_attempts):
            rig.end(request)
            total += 2.0 * len(rig.sent())
        rig.now += 10_000
    return total


def test_limit_is_split_evenly_and_a_restart_starts_empty() -> None:
    for _ in range(2):  # the second is the same host after a restart: again nothing to spend
        rig = Rig(SETTINGS)
        rig.listed(("a", 0))
        assert drawn(rig, 500_000, 2) <= 20.0 / 2 * 0.5 + 1e-6


def test_limit_holds_over_any_window_after_idling() -> None:
    rig = Rig(SETTINGS)
    rig.listed(("a", 0))
    rig.do()
    rig.pass_time(20_000_000, step=1_000_000)
    assert drawn(rig, 1_000_000, 2) <= (40.0 + 4.0) / 2 + 20.0 / 2 * 1.0 + 1e-6


def test_request_over_the_limit_is_rejected_at_once(rig: Rig) -> None:
    ids = arrive_many(rig, 20, 1, plan=1, units=8.0)
    assert finals(rig.actions) == {ids[-1]: Reject}


def test_idle_volume_is_kept_until_its_bucket_is_full(rig: Rig) -> None:
    rig.now += 10_000_000
    rig.ask(1, plan=1)
    volume = rig.policy.limits.volumes[1]
    rig.end("r1")
    slow = replace(SETTINGS, plans=(SETTINGS.plans[0], VolumePlan(10.0, 5.0, 1.0, 0.01, 40.0, 4.0)))
    volume.use_settings(1, volume.hosts, slow, rig.now)
    rig.pass_time(70_000_000, step=1_000_000)
    assert 1 in rig.policy.limits.volumes
    volume.use_settings(1, volume.hosts, SETTINGS, rig.now)
    rig.pass_time(40_000_000, step=1_000_000)
    assert 1 not in rig.policy.limits.volumes


def test_only_the_first_attempt_draws_from_the_limit(rig: Rig) -> None:
    rig.now += 10_000_000
    name = rig.ask(1, plan=1, units=4.0)
    level = rig.policy.limits.volumes[1].bucket.tokens
    rig.end(name, AttemptResult.QUEUE_FULL)
    rig.pass_time(100_000)
    assert (name, 1) in rig.policy.open_attempts
    assert rig.policy.limits.volumes[1].bucket.refill(rig.now) >= level


def test_quota_holds_to_its_end_and_the_next_from_then_on(rig: Rig) -> None:
    rig.ask(1, plan=1)
    bucket = rig.policy.limits.volumes[1].bucket
    bucket.tokens = 0.0
    rig.do(QuotaChanged(SharedBudget.LIMIT, 1, 0.9, rig.now + 1_000_000, 0.1, rig.now))
    limit = SETTINGS.plans[1].limit
    assert bucket.refill(rig.now + 2_000_000) == pytest.approx(
        min(bucket.capacity, limit * (0.9 + 0.1)), rel=1e-6
    )


def test_quota_set_before_the_first_request_counts(rig: Rig) -> None:
    rig.do(QuotaChanged(SharedBudget.LIMIT, 7, 0.02, 0, 0.02, rig.now))
    rig.ask(7, plan=1)
    assert rig.policy.limits.volumes[7].bucket.quota.at(rig.now) == 0.02


def test_limit_counts_a_request_when_it_reaches_the_endpoint() -> None:
    """What is on its way for a while and then comes at once finds no bucket that has filled up meanwhile."""
    rig = confirming_rig()
    for shard in (0, 1):
        rig.ask(1, shard=shard, plan=1, units=5.0)
        rig.now += 1_000_000  # time to fill up again
        rig.policy.limits.volumes[1].bucket.refill(rig.now)
    assert [rig.policy.begins(rig.now, name, 0) for name in ("r1", "r2")] == [True, True]
    bucket = rig.policy.limits.volumes[1].bucket
    assert bucket.tokens == pytest.approx(bucket.capacity - 10.0)
    rig.now += 100_000
    assert bucket.refill(rig.now) == pytest.approx(
        bucket.capacity - 10.0
    )  # nobody can say yet that they came
    for name in ("r1", "r2"):
        rig.end(name)
    rig.now += 100_000
    assert bucket.refill(rig.now) == pytest.approx(
        bucket.capacity - 10.0 + 20.0 * 0.1
    )  # from here on it fills


def test_units_that_never_left_are_drawn_again_at_the_retry() -> None:
    rig = confirming_rig()
    name = rig.ask(1, plan=1, units=5.0)
    bucket = rig.policy.limits.volumes[1].bucket
    assert bucket.tokens == bucket.capacity - 5.0

    def ended(number: int, result: AttemptResult, begun: bool) -> float:
        """The level after the end of an attempt, and another one after that."""
        rig.do(AttemptEnded(name, number, "a", result, 0, False, None, None, None, begun))
        level = bucket.refill(rig.now)
        assert number == 2 or sends(rig.pass_time(3_000_000)) == [name]
        return level

    assert ended(0, AttemptResult.CONNECT_FAILED, False) == bucket.capacity  # as if it had not been sent
    assert rig.policy.begins(rig.now, name, 1) and bucket.refill(rig.now) == pytest.approx(
        bucket.capacity - 5.0
    )
    assert ended(1, AttemptResult.RESET, True) == pytest.approx(bucket.capacity - 5.0)
    assert ended(2, AttemptResult.CONNECT_FAILED, False) == pytest.approx(
        bucket.capacity - 5.0
    )  # it may have come before
    rig.do(ClientDisconnected(name))
    assert bucket.in_flight == 0.0 and bucket.refill(rig.now + 1_000_000) == bucket.capacity
    assert rig.policy.limits.volumes[1].units_not_drawn == 0.0


def test_units_in_flight_at_a_handover_reserve_capacity_at_the_successor() -> None:
    """A silent node has been sent 40 of 44 units, which may all come as late as their deadlines allow."""
    before, after = confirming_rig(), confirming_rig()
    for endpoint in "ab":
        before.policy.endpoint_list.endpoints[endpoint].window = after.policy.endpoint_list.endpoints[
            endpoint
        ].window = 100.0
    names = [before.ask(1, plan=1, units=4.0) for _ in range(10)]
    assert len(before.policy.open_attempts) == len(names)
    after.now = before.now
    after.policy.import_limits(after.now, before.policy.export_limits())

    def sent_in_one_moment() -> float:
        asked_for = {after.ask(1, plan=1, units=4.0, shard=1) for _ in range(11)}
        out = asked_for & {name for name, _ in after.policy.open_attempts}
        for name in asked_for:
            if name in out:
                after.end(name)
            after.do(ClientDisconnected(name))
        return 4.0 * len(out)

    after.now += 10_000_000
    assert sent_in_one_moment() <= 4.0
    after.now += 13_000_000  # what the one before had sent is over, and the bucket has filled since
    assert sent_in_one_moment() >= 40.0


def test_uncertain_units_stay_in_flight_until_a_response() -> None:
    """Requests that a silent node has been sent never came to it; nobody here can know. All of them come
    with their repeats, behind whatever a bucket that had filled up would let go beside them."""
    rig = confirming_rig()
    rig.policy.endpoint_list.endpoints["a"].window = rig.policy.endpoint_list.endpoints["b"].window = 100.0
    names = [rig.ask(1, plan=1, units=4.0) for _ in range(10)]
    bucket, held = rig.policy.limits.volumes[1].bucket, len(rig.policy.open_attempts)
    assert held == len(names) and bucket.capacity == 44.0
    rig.now += 5_000_000  # time to fill up again
    for name in names:
        assert rig.policy.begins(rig.now, name, 0)
        rig.end(name, AttemptResult.RESET)
    come = sends(rig.pass_time(2_000_000))
    assert sorted(come) == sorted(names)
    for _ in range(11):
        if (name := rig.ask(1, plan=1, units=4.0, shard=1)) in {one for one, _ in rig.policy.open_attempts}:
            come.append(name)
    assert 4.0 * len(set(come)) <= bucket.capacity  # all that a node may count at this moment


def test_client_that_leaves_during_a_connect_releases_its_units() -> None:
    """Its units were given back, and nobody was left to ask for them again: a limit shrank for ever."""
    rig = confirming_rig()
    for end in (lambda name: ClientDisconnected(name), lambda name: None):
        name = rig.ask(1, plan=1, units=5.0)
        if told := end(name):
            rig.do(told)
        else:
            rig.pass_time(21_000_000)  # past its deadline
        rig.do(AttemptEnded(name, 0, "a", AttemptResult.NOT_SENT, 0, True, None, None, None, False))
        volume = rig.policy.limits.volumes[1]
        assert volume.units_not_drawn == 0.0 and volume.bucket.in_flight == 0.0
