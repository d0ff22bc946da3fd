"""Tests of the limits of volumes."""

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


def units_sent(rig: Rig, span_us: int, hosts: int) -> float:
    """Returns the units sent for a limited volume within `span_us`, with more demand than the limit."""
    total, end_us = 0.0, rig.now_us + span_us
    while rig.now_us < end_us:
        request = rig.arrive(1, plan=1, units=2.0, hosts=hosts)
        if request in rig.sent_requests():
            total += 2.0
        for open_request, _ in list(rig.scheduler.open_attempts):
            rig.end_attempt(open_request)
            total += 2.0 * len(rig.sent_requests())
        rig.now_us += 10_000
    return total


def test_limit_is_split_evenly_and_a_restart_starts_empty() -> None:
    for _ in range(2):  # the second run is the host after a restart, again with an empty bucket
        rig = Rig(SETTINGS)
        rig.update_list(("a", 0))
        assert units_sent(rig, 500_000, 2) <= 20.0 / 2 * 0.5 + 1e-6


def test_limit_holds_over_any_window_after_idling() -> None:
    rig = Rig(SETTINGS)
    rig.update_list(("a", 0))
    rig.handle()
    rig.advance(20_000_000, step=1_000_000)

    assert units_sent(rig, 1_000_000, 2) <= (40.0 + 4.0) / 2 + 20.0 / 2 * 1.0 + 1e-6


def test_request_over_the_limit_is_rejected_at_once(rig: Rig) -> None:
    requests = arrive_many(rig, 20, 1, plan=1, units=8.0)

    assert finals(rig.actions) == {requests[-1]: Reject}


def test_idle_volume_is_kept_until_its_bucket_is_full(rig: Rig) -> None:
    rig.now_us += 10_000_000
    rig.arrive(1, plan=1)
    volume = rig.volume(1)
    rig.end_attempt("r1")
    slow_refill = replace(SETTINGS, plans=(SETTINGS.plans[0], VolumePlan(10.0, 5.0, 1.0, 0.01, 40.0, 4.0)))
    volume.use_settings(1, volume.hosts, slow_refill, rig.now_us)
    rig.advance(70_000_000, step=1_000_000)
    assert 1 in rig.scheduler.limits.volumes
    volume.use_settings(1, volume.hosts, SETTINGS, rig.now_us)
    rig.advance(40_000_000, step=1_000_000)

    assert 1 not in rig.scheduler.limits.volumes


def test_only_the_first_attempt_draws_from_the_limit(rig: Rig) -> None:
    rig.now_us += 10_000_000
    request = rig.arrive(1, plan=1, units=4.0)
    tokens = rig.volume(1).bucket.tokens
    rig.end_attempt(request, AttemptResult.QUEUE_FULL)
    rig.advance(100_000)

    assert (request, 1) in rig.scheduler.open_attempts
    assert rig.volume(1).bucket.refill(rig.now_us) >= tokens


def test_quota_applies_until_its_end_and_the_following_quota_afterwards(rig: Rig) -> None:
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
    """Units in flight reduce the capacity, so that they do not arrive in addition to a refilled bucket."""
    rig = confirming_rig()
    for shard in (0, 1):
        rig.arrive(1, shard=shard, plan=1, units=5.0)
        rig.now_us += 1_000_000  # long enough for the bucket to refill
        rig.volume(1).bucket.refill(rig.now_us)
    assert [rig.scheduler.may_begin(rig.now_us, request, 0) for request in ("r1", "r2")] == [True, True]
    bucket = rig.volume(1).bucket
    assert bucket.tokens == pytest.approx(bucket.capacity - 10.0)
    rig.now_us += 100_000
    # No response has confirmed yet that the requests have arrived.
    assert bucket.refill(rig.now_us) == pytest.approx(bucket.capacity - 10.0)
    for request in ("r1", "r2"):
        rig.end_attempt(request)
    rig.now_us += 100_000

    # The bucket refills once the responses have arrived.
    assert bucket.refill(rig.now_us) == pytest.approx(bucket.capacity - 10.0 + 20.0 * 0.1)


def test_units_of_an_attempt_that_never_started_are_drawn_again_by_the_retry() -> None:
    rig = confirming_rig()
    request = rig.arrive(1, plan=1, units=5.0)
    bucket = rig.volume(1).bucket
    assert bucket.tokens == bucket.capacity - 5.0

    def end_attempt(number: int, result: AttemptResult, begun: bool) -> float:
        """Ends an attempt, lets the next one follow unless it is the last, and returns the tokens."""
        rig.handle(AttemptEnded(request, number, "a", result, 0, False, None, None, None, begun))
        tokens = bucket.refill(rig.now_us)
        assert number == 2 or sends(rig.advance(3_000_000)) == [request]
        return tokens

    # The units are returned, as the attempt has not begun.
    assert end_attempt(0, AttemptResult.CONNECT_FAILED, False) == bucket.capacity
    assert rig.scheduler.may_begin(rig.now_us, request, 1) and bucket.refill(rig.now_us) == pytest.approx(
        bucket.capacity - 5.0
    )
    assert end_attempt(1, AttemptResult.RESET, True) == pytest.approx(bucket.capacity - 5.0)
    # The previous attempt may have arrived.
    assert end_attempt(2, AttemptResult.CONNECT_FAILED, False) == pytest.approx(bucket.capacity - 5.0)
    rig.handle(ClientDisconnected(request))

    assert bucket.in_flight == 0.0 and bucket.refill(rig.now_us + 1_000_000) == bucket.capacity
    assert rig.volume(1).units_not_drawn == 0.0


def test_units_in_flight_at_a_handover_reserve_capacity_at_the_successor() -> None:
    """40 of 44 units were sent to a silent endpoint, and may all arrive as late as their deadlines allow."""
    predecessor, successor = confirming_rig(), confirming_rig()
    for endpoint in "ab":
        predecessor.endpoint(endpoint).window = successor.endpoint(endpoint).window = 100.0
    requests = [predecessor.arrive(1, plan=1, units=4.0) for _ in range(10)]
    assert len(predecessor.scheduler.open_attempts) == len(requests)
    successor.now_us = predecessor.now_us
    successor.scheduler.import_limits(successor.now_us, predecessor.scheduler.export_limits())

    def units_sent_at_once() -> float:
        arrived = {successor.arrive(1, plan=1, units=4.0, shard=1) for _ in range(11)}
        sent = arrived & {request for request, _ in successor.scheduler.open_attempts}
        for request in arrived:
            if request in sent:
                successor.end_attempt(request)
            successor.handle(ClientDisconnected(request))
        return 4.0 * len(sent)

    successor.now_us += 10_000_000
    assert units_sent_at_once() <= 4.0
    successor.now_us += 13_000_000  # the predecessor's requests have ended, and the bucket has been refilled

    assert units_sent_at_once() >= 40.0


def test_uncertain_units_stay_in_flight_until_a_response() -> None:
    """Guards against exceeding the limit after attempts that ended without a response.

    This host cannot know whether a silent endpoint has received the first attempts. All of their units may
    arrive together with the retries, in addition to the units of a bucket that had been refilled in the
    meantime.
    """
    rig = confirming_rig()
    rig.endpoint("a").window = rig.endpoint("b").window = 100.0
    requests = [rig.arrive(1, plan=1, units=4.0) for _ in range(10)]
    bucket = rig.volume(1).bucket
    assert len(rig.scheduler.open_attempts) == len(requests) and bucket.capacity == 44.0
    rig.now_us += 5_000_000  # long enough for the bucket to refill
    for request in requests:
        assert rig.scheduler.may_begin(rig.now_us, request, 0)
        rig.end_attempt(request, AttemptResult.RESET)
    sent = sends(rig.advance(2_000_000))
    assert sorted(sent) == sorted(requests)
    for _ in range(11):
        request = rig.arrive(1, plan=1, units=4.0, shard=1)
        if request in {open_request for open_request, _ in rig.scheduler.open_attempts}:
            sent.append(request)

    assert 4.0 * len(set(sent)) <= bucket.capacity  # the maximum that an endpoint may count now


def test_client_that_disconnects_during_a_connect_releases_its_units() -> None:
    """Units that are returned after the end of their request must not be counted as units to be drawn."""
    rig = confirming_rig()
    for end_event in (lambda request: ClientDisconnected(request), lambda request: None):
        request = rig.arrive(1, plan=1, units=5.0)
        if event := end_event(request):
            rig.handle(event)
        else:
            rig.advance(21_000_000)  # past the deadline of the request
        rig.handle(AttemptEnded(request, 0, "a", AttemptResult.NOT_SENT, 0, True, None, None, None, False))
        volume = rig.volume(1)
        assert volume.units_not_drawn == 0.0 and volume.bucket.in_flight == 0.0
