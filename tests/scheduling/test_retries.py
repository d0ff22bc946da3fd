"""Tests of retries: which requests are retried, where and when."""

from __future__ import annotations

from dataclasses import replace

from conftest import SETTINGS, START, Rig, arrive_many, finals, sends

from lemonridge.scheduling.actions import Action, Cancel, Fail, Reject, Send
from lemonridge.scheduling.events import (
    AttemptResult,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
    QuotaChanged,
    SharedBudget,
)
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind, RequestClass


def rig_with_deduplication_scope(scope: DeduplicationScope) -> Rig:
    write = RequestClass(
        500_000, 4_000_000, IdempotencyKind.WITH_IDEMPOTENCY_KEY, scope, 2_000_000, False, 2.0
    )
    rig = Rig(replace(SETTINGS, classes=(write,)))
    endpoints = (Endpoint("a", 0, 0, EndpointState.ACTIVE, 0), Endpoint("b", 0, 1, EndpointState.ACTIVE, 0))
    rig.handle(EndpointsChanged(EndpointListUpdate.CACHED, endpoints))
    return rig


def lose_response(make_rig, cls: int, **changes: object) -> tuple[Rig, str, list[Action]]:
    """Sends one request to `a` that gets no response, while other requests there are answered as usual.

    Returns:
        The rig, the request without a response, and the actions of the scheduler.
    """
    rig = make_rig(**changes)
    rig.endpoint("a").window = 4.0
    for _ in range(4):
        rig.end_attempt(rig.arrive(2, units=1.0))
    lost = rig.arrive(1, cls=cls, key=9)
    actions: list[Action] = []
    for _ in range(12):
        rig.now_us += 20_000
        other = rig.arrive(2)
        rig.now_us += 20_000
        actions += rig.end_attempt(other)
        if any(isinstance(action, Cancel) for action in actions):
            break
    return rig, lost, actions


def test_non_idempotent_request_that_may_have_run_fails(rig: Rig) -> None:
    for result in (AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED):
        request = rig.arrive(cls=2)
        actions = rig.end_attempt(request, result) + rig.advance(200_000)
        assert finals(actions) == {request: Fail} and not sends(actions)
        rig.now_us += 3_000_000


def test_non_idempotent_request_that_never_ran_is_retried(rig: Rig) -> None:
    request = rig.arrive(cls=2)
    actions = rig.end_attempt(request, AttemptResult.QUEUE_FULL) + rig.advance(200_000)

    assert sends(actions) == [request]


def test_request_with_an_idempotency_key_is_retried_only_in_its_shard_and_window(make_rig) -> None:
    rig = make_rig(max_attempts=9)
    request = rig.arrive(cls=1, key=7)
    rig.end_attempt(request, AttemptResult.RESET)
    assert request in sends(rig.advance(100_000))
    rig.now_us = START + 2_100_000
    actions = rig.end_attempt(request, AttemptResult.RESET) + rig.advance(100_000)

    assert request not in sends(actions) and finals(actions) == {request: Fail}


def test_request_with_an_idempotency_key_that_cannot_have_run_is_rejected(rig: Rig) -> None:
    arrive_many(rig, 2, 1)
    request = rig.arrive(cls=1, key=9)

    assert finals(rig.advance(700_000))[request] is Reject


def test_idempotent_request_is_rejected_after_max_attempts(make_rig) -> None:
    rig = make_rig(max_attempts=1)
    request = rig.arrive()

    assert finals(rig.end_attempt(request, AttemptResult.RESET)) == {request: Reject}


def test_request_never_has_two_open_attempts(rig: Rig) -> None:
    request = rig.arrive()
    rig.advance(200_000)

    assert list(rig.scheduler.open_attempts) == [(request, 0)]


def test_retry_budget_bounds_retries(make_rig) -> None:
    rig = make_rig(
        retry_budget_window_us=5_000_000, retry_budget_floor=2.0, retry_budget_ratio=0.1, max_attempts=9
    )
    retries = 0
    for volume in range(10):
        request = rig.arrive(volume)
        assert request in rig.sent_requests()
        retries += sends(rig.end_attempt(request, AttemptResult.ERROR) + rig.advance(60_000)).count(request)
        if (request, 1) in rig.scheduler.open_attempts:
            rig.end_attempt(request)

    assert 2 <= retries <= 3


def test_zone_scope_keeps_a_retry_in_its_zone() -> None:
    rig = rig_with_deduplication_scope(DeduplicationScope.ZONE)
    request = rig.arrive()
    first = next(action.endpoint_id for action in rig.actions if isinstance(action, Send))
    rig.endpoint(first).state = EndpointState.DRAINING
    actions = rig.end_attempt(request, AttemptResult.RESET, endpoint=first) + rig.advance(1_000_000)

    assert request not in sends(actions) and finals(actions) == {request: Fail}


def test_request_with_scope_all_is_retried_anywhere_and_may_be_rejected() -> None:
    rig = rig_with_deduplication_scope(DeduplicationScope.ALL)
    request = rig.arrive()
    first = next(action.endpoint_id for action in rig.actions if isinstance(action, Send))
    rig.endpoint(first).state = EndpointState.DRAINING
    actions = rig.end_attempt(request, AttemptResult.RESET, endpoint=first) + rig.advance(200_000)

    assert sends(actions) == [request]
    assert finals(rig.end_attempt(request, AttemptResult.TIMEOUT)) == {request: Reject}


def test_retry_budget_removes_old_requests_without_retries(make_rig) -> None:
    rig = make_rig(retry_budget_window_us=5_000_000, retry_budget_floor=3.0, retry_budget_ratio=0.1)
    for _ in range(400):
        rig.now_us += 50_000
        rig.end_attempt(rig.arrive())

    assert len(rig.scheduler.retries.retry_budget._requests_us) <= 100


def test_attempt_with_a_lost_response_is_cancelled_and_retried_in_time(make_rig) -> None:
    for cls in (0, 1):  # idempotent; with an idempotency key, in its shard and deduplication window
        rig, lost, actions = lose_response(make_rig, cls, may_cancel=True)
        assert Cancel(lost, 0) in actions, cls
        rig.end_attempt(lost, AttemptResult.CANCELLED)
        assert lost in rig.sent_requests()
        assert (lost, 1) in rig.scheduler.open_attempts and (
            lost,
            0,
        ) not in rig.scheduler.open_attempts  # only one attempt is open at a time


def test_attempt_with_a_lost_response_is_not_cancelled_if_no_retry_is_allowed(make_rig) -> None:
    empty_budget = {"retry_budget_window_us": 5_000_000, "retry_budget_floor": 0.0, "retry_budget_ratio": 0.0}
    for cls, changes in ((2, {}), (0, {"may_cancel": False}), (0, empty_budget), (0, {"max_attempts": 1})):
        _, lost, actions = lose_response(make_rig, cls, **{"may_cancel": True, **changes})
        assert not [action for action in actions if isinstance(action, Cancel)], (cls, changes)
        assert lost not in sends(actions)


def test_slow_endpoint_gets_no_retries(make_rig) -> None:
    rig = make_rig(may_cancel=True)
    for _ in range(4):
        rig.end_attempt(rig.arrive(2))
    requests = [rig.arrive(1), rig.arrive(2)]
    actions = rig.advance(1_400_000)

    assert not [action for action in actions if isinstance(action, Cancel)]
    assert not set(requests) & set(sends(actions))


def test_new_object_that_may_have_been_written_is_retried_at_its_endpoint(make_rig) -> None:
    """Only that endpoint discards a duplicate, even if another endpoint has more free slots by then."""
    rig = make_rig(classes=(replace(SETTINGS.classes[1], sequential=False),))
    request = rig.arrive(shard=-1)
    first = next(action.endpoint_id for action in rig.actions if isinstance(action, Send))
    rig.endpoint(first).window -= 0.9
    rig.end_attempt(request, AttemptResult.RESET, endpoint=first)
    retries = [action for action in rig.advance(200_000) if isinstance(action, Send)]

    assert [action.endpoint_id for action in retries] == [first]


def test_retries_wait_for_the_quota_of_the_fleet(make_rig) -> None:
    rig = make_rig(retry_rate=1.0, hosts=2, max_attempts=4)
    rig.advance(3_000_000)
    first, second = rig.arrive(), rig.arrive()
    retried = sends(rig.end_attempt(first, AttemptResult.ERROR) + rig.advance(60_000))
    assert retried == [first]
    assert not sends(rig.end_attempt(second, AttemptResult.ERROR) + rig.advance(60_000))
    rig.handle(QuotaChanged(SharedBudget.RETRIES, 0, 1.0, rig.now_us + 5_000_000, 0.5, rig.now_us))
    rig.advance(1_100_000)
    third = rig.arrive()

    assert sends(rig.end_attempt(third, AttemptResult.ERROR) + rig.advance(60_000)) == [third]
