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
    total, end = 0.0, rig.now_us + span
    while rig.now_us < end:
        name = rig.arrive(1, plan=1, units=2.0, hosts=hosts)
        if name in rig.sent_requests():
            total += 2.0
        for request, _ in list(rig.scheduler.open_attempts):
            rig.end_attempt(request)
            total += 2.0 * len(rig.sent_requests())
        rig.now_us += 10_000
    return total


def test_limit_is_split_evenly_and_a_restart_starts_empty() -> None:
    for _ in range(2):  # the second is the same host after a restart: again nothing to spend
        rig = Rig(SETTINGS)
        rig.update_list(("a", 0))
        assert drawn(rig, 500_000, 2) <= 20.0 / 2 * 0.5 + 1e-6


def test_limit_holds_over_any_window_after_idling() -> None:
    rig = Rig(SETTINGS)
    rig.update_list(("a", 0))
    rig.handle()
    rig.advance(20_000_000, step=1_000_000)

    assert drawn(rig, 1_000_000, 2) <= (40.0 + 4.0) / 2 + 20.0 / 2 * 1.0 + 1e-6


def test_request_over_the_limit_is_rejected_at_once(rig: Rig) -> None:
    ids = arrive_many(rig, 20, 1, plan=1, units=8.0)

    assert finals(rig.actions) == {ids[-1]: Reject}


def test_idle_volume_is_kept_until_its_bucket_is_full(rig: Rig) -> None:
    rig.now_us += 10_000_000
    rig.arrive(1, plan=1)
    volume = rig.volume(1)
    rig.end_attempt("r1")
    slow = replace(SETTINGS, plans=(SETTINGS.plans[0], VolumePlan(10.0, 5.0, 1.0, 0.01, 40.0, 4.0)))
    volume.use_settings(1, volume.hosts, slow, rig.now_us)
    rig.advance(70_000_000, step=1_000_000)
    assert 1 in rig.scheduler.limits.volumes
    volume.use_settings(1, volume.hosts, SETTINGS, rig.now_us)
    rig.advance(40_000_000, step=1_000_000)

    assert 1 not in rig.scheduler.limits.volumes


def test_only_the_first_attempt_draws_from_the_limit(rig: Rig) -> None:
    rig.now_us += 10_000_000
    name = rig.arrive(1, plan=1, units=4.0)
    level = rig.volume(1).bucket.tokens
    rig.end_attempt(name, AttemptResult.QUEUE_FULL)
    rig.advance(100_000)

    assert (name, 1) in rig.scheduler.open_attempts
    assert rig.volume(1).bucket.refill(rig.now_us) >= level


def test_quota_holds_to_its_end_and_the_next_from_then_on(rig: Rig) -> None:
    rig.arrive(1, plan=1)
    bucket = rig.volume(1).bucket
    bucket.tokens = 0.0
    rig.handle(QuotaChanged(SharedBudget.LIMIT, 1, 0.9, rig.now_us + 1_000_000, 0.1, rig.now_us))
    limit = SETTINGS.plans[1].limit

    assert bucket.refill(rig.now_us + 2_000_000) == pytest.approx(
        min(bucket.capacity, limit * (0.9 + 0.1)), rel=1e-6
    )


def test_quota_set_before_the_first_request_counts(rig: Rig) -> None:
    rig.handle(QuotaChanged(SharedBudget.LIMIT, 7, 0.02, 0, 0.02, rig.now_us))
    rig.arrive(7, plan=1)

    assert rig.volume(7).bucket.quota.at(rig.now_us) == 0.02


def test_limit_counts_a_request_when_it_reaches_the_endpoint() -> None:
    """Units in flight for a while that then arrive at once find no bucket that has refilled meanwhile."""
    rig = confirming_rig()
    for shard in (0, 1):
        rig.arrive(1, shard=shard, plan=1, units=5.0)
        rig.now_us += 1_000_000  # time to fill up again
        rig.volume(1).bucket.refill(rig.now_us)
    assert [rig.scheduler.may_begin(rig.now_us, name, 0) for name in ("r1", "r2")] == [True, True]
    bucket = rig.volume(1).bucket
    assert bucket.tokens == pytest.approx(bucket.capacity - 10.0)
    rig.now_us += 100_000
    # Nothing shows yet that they have arrived.
    assert bucket.refill(rig.now_us) == pytest.approx(bucket.capacity - 10.0)
    for name in ("r1", "r2"):
        rig.end_attempt(name)
    rig.now_us += 100_000

    # From here on it refills.
    assert bucket.refill(rig.now_us) == pytest.approx(bucket.capacity - 10.0 + 20.0 * 0.1)


def test_units_that_never_left_are_drawn_again_at_the_retry() -> None:
    rig = confirming_rig()
    name = rig.arrive(1, plan=1, units=5.0)
    bucket = rig.volume(1).bucket
    assert bucket.tokens == bucket.capacity - 5.0

    def ended(number: int, result: AttemptResult, begun: bool) -> float:
        """The tokens after the end of an attempt, which is retried unless it is the last."""
        rig.handle(AttemptEnded(name, number, "a", result, 0, False, None, None, None, begun))
        tokens = bucket.refill(rig.now_us)
        assert number == 2 or sends(rig.advance(3_000_000)) == [name]
        return tokens

    assert ended(0, AttemptResult.CONNECT_FAILED, False) == bucket.capacity  # as if it had not been sent
    assert rig.scheduler.may_begin(rig.now_us, name, 1) and bucket.refill(rig.now_us) == pytest.approx(
        bucket.capacity - 5.0
    )
    assert ended(1, AttemptResult.RESET, True) == pytest.approx(bucket.capacity - 5.0)
    # The attempt before may have arrived.
    assert ended(2, AttemptResult.CONNECT_FAILED, False) == pytest.approx(bucket.capacity - 5.0)
    rig.handle(ClientDisconnected(name))

    assert bucket.in_flight == 0.0 and bucket.refill(rig.now_us + 1_000_000) == bucket.capacity
    assert rig.volume(1).units_not_drawn == 0.0


def test_units_in_flight_at_a_handover_reserve_capacity_at_the_successor() -> None:
    """A silent endpoint was sent 40 of 44 units, which may all arrive as late as their deadlines allow."""
    before, after = confirming_rig(), confirming_rig()
    for endpoint in "ab":
        before.endpoint(endpoint).window = after.endpoint(endpoint).window = 100.0
    names = [before.arrive(1, plan=1, units=4.0) for _ in range(10)]
    assert len(before.scheduler.open_attempts) == len(names)
    after.now_us = before.now_us
    after.scheduler.import_limits(after.now_us, before.scheduler.export_limits())

    def sent_in_one_moment() -> float:
        asked_for = {after.arrive(1, plan=1, units=4.0, shard=1) for _ in range(11)}
        out = asked_for & {name for name, _ in after.scheduler.open_attempts}
        for name in asked_for:
            if name in out:
                after.end_attempt(name)
            after.handle(ClientDisconnected(name))
        return 4.0 * len(out)

    after.now_us += 10_000_000
    assert sent_in_one_moment() <= 4.0
    after.now_us += 13_000_000  # what the one before had sent is over, and the bucket has filled since

    assert sent_in_one_moment() >= 40.0


def test_uncertain_units_stay_in_flight_until_a_response() -> None:
    """A silent endpoint never received what it was sent, which this host cannot know: all of it may arrive
    with the retries, beside whatever a bucket that had refilled would release."""
    rig = confirming_rig()
    rig.endpoint("a").window = rig.endpoint("b").window = 100.0
    names = [rig.arrive(1, plan=1, units=4.0) for _ in range(10)]
    bucket = rig.volume(1).bucket
    assert len(rig.scheduler.open_attempts) == len(names) and bucket.capacity == 44.0
    rig.now_us += 5_000_000  # time to fill up again
    for name in names:
        assert rig.scheduler.may_begin(rig.now_us, name, 0)
        rig.end_attempt(name, AttemptResult.RESET)
    sent = sends(rig.advance(2_000_000))
    assert sorted(sent) == sorted(names)
    for _ in range(11):
        name = rig.arrive(1, plan=1, units=4.0, shard=1)
        if name in {request for request, _ in rig.scheduler.open_attempts}:
            sent.append(name)

    assert 4.0 * len(set(sent)) <= bucket.capacity  # all that an endpoint may count now


def test_client_that_leaves_during_a_connect_releases_its_units() -> None:
    """Units that are returned after the end of their request must not count as still to be drawn."""
    rig = confirming_rig()
    for end in (lambda name: ClientDisconnected(name), lambda name: None):
        name = rig.arrive(1, plan=1, units=5.0)
        if event := end(name):
            rig.handle(event)
        else:
            rig.advance(21_000_000)  # past its deadline
        rig.handle(AttemptEnded(name, 0, "a", AttemptResult.NOT_SENT, 0, True, None, None, None, False))
        volume = rig.volume(1)
        assert volume.units_not_drawn == 0.0 and volume.bucket.in_flight == 0.0
