"""Which requests are attempted again."""

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


def grouped(group: DeduplicationScope) -> Rig:
    write = RequestClass(
        500_000, 4_000_000, IdempotencyKind.WITH_IDEMPOTENCY_KEY, group, 2_000_000, False, 2.0
    )
    rig = Rig(replace(SETTINGS, classes=(write,)))
    zones = (Endpoint("a", 0, 0, EndpointState.ACTIVE, 0), Endpoint("b", 0, 1, EndpointState.ACTIVE, 0))
    rig.handle(EndpointsChanged(EndpointListUpdate.CACHED, zones))
    return rig


def lose_one(make, cls: int, **changes: object) -> tuple[Rig, str, list[Action]]:
    """An attempt at `a` without an answer, while others there are answered as usual."""
    rig = make(**changes)
    rig.endpoint("a").window = 4.0
    for _ in range(4):
        rig.end_attempt(rig.arrive(2, units=1.0))
    lost = rig.arrive(1, cls=cls, key=9)
    seen: list[Action] = []
    for _ in range(12):
        rig.now_us += 20_000
        other = rig.arrive(2)
        rig.now_us += 20_000
        seen += rig.end_attempt(other)
        if any(isinstance(action, Cancel) for action in seen):
            break
    return rig, lost, seen


def test_non_idempotent_request_that_may_have_run_fails(rig: Rig) -> None:
    for result in (AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED):
        name = rig.arrive(cls=2)
        actions = rig.end_attempt(name, result) + rig.advance(200_000)
        assert finals(actions) == {name: Fail} and not sends(actions)
        rig.now_us += 3_000_000


def test_non_idempotent_request_that_never_ran_is_retried(rig: Rig) -> None:
    name = rig.arrive(cls=2)
    actions = rig.end_attempt(name, AttemptResult.QUEUE_FULL) + rig.advance(200_000)

    assert sends(actions) == [name]


def test_idempotency_key_is_retried_in_its_shard_and_window_alone(make) -> None:
    rig = make(max_attempts=9)
    name = rig.arrive(cls=1, key=7)
    rig.end_attempt(name, AttemptResult.RESET)
    assert name in sends(rig.advance(100_000))
    rig.now_us = START + 2_100_000
    actions = rig.end_attempt(name, AttemptResult.RESET) + rig.advance(100_000)

    assert name not in sends(actions) and finals(actions) == {name: Fail}


def test_idempotency_key_is_rejected_before_it_can_have_run(rig: Rig) -> None:
    arrive_many(rig, 2, 1)
    name = rig.arrive(cls=1, key=9)

    assert finals(rig.advance(700_000))[name] is Reject


def test_idempotent_request_is_rejected_after_max_attempts(make) -> None:
    rig = make(max_attempts=1)
    name = rig.arrive()

    assert finals(rig.end_attempt(name, AttemptResult.RESET)) == {name: Reject}


def test_never_two_attempts_at_once(rig: Rig) -> None:
    name = rig.arrive()
    rig.advance(200_000)

    assert list(rig.scheduler.open_attempts) == [(name, 0)]


def test_retry_budget_bounds_retries(make) -> None:
    rig = make(
        retry_budget_window_us=5_000_000, retry_budget_floor=2.0, retry_budget_ratio=0.1, max_attempts=9
    )
    again = 0
    for volume in range(10):
        name = rig.arrive(volume)
        assert name in rig.sent_requests()
        again += sends(rig.end_attempt(name, AttemptResult.ERROR) + rig.advance(60_000)).count(name)
        if (name, 1) in rig.scheduler.open_attempts:
            rig.end_attempt(name)

    assert 2 <= again <= 3


def test_zone_scope_keeps_a_retry_in_its_zone() -> None:
    rig = grouped(DeduplicationScope.ZONE)
    name = rig.arrive()
    first = next(a.endpoint_id for a in rig.actions if isinstance(a, Send))
    rig.endpoint(first).state = EndpointState.DRAINING
    actions = rig.end_attempt(name, AttemptResult.RESET, endpoint=first) + rig.advance(1_000_000)

    assert name not in sends(actions) and finals(actions) == {name: Fail}


def test_scope_all_is_retried_anywhere_and_may_be_rejected() -> None:
    rig = grouped(DeduplicationScope.ALL)
    name = rig.arrive()
    first = next(a.endpoint_id for a in rig.actions if isinstance(a, Send))
    rig.endpoint(first).state = EndpointState.DRAINING
    actions = rig.end_attempt(name, AttemptResult.RESET, endpoint=first) + rig.advance(200_000)

    assert sends(actions) == [name]
    assert finals(rig.end_attempt(name, AttemptResult.TIMEOUT)) == {name: Reject}


def test_requests_of_the_budget_are_forgotten_without_retries(make) -> None:
    rig = make(retry_budget_window_us=5_000_000, retry_budget_floor=3.0, retry_budget_ratio=0.1)
    for _ in range(400):
        rig.now_us += 50_000
        rig.end_attempt(rig.arrive())

    assert len(rig.scheduler.retries.retry_budget._requests_us) <= 100


def test_lost_response_is_cancelled_and_retried_in_time(make) -> None:
    for cls in (0, 1):  # safe, and keyed within its cell and memory
        rig, lost, seen = lose_one(make, cls, may_cancel=True)
        assert Cancel(lost, 0) in seen, cls
        rig.end_attempt(lost, AttemptResult.CANCELLED)
        assert lost in rig.sent_requests()
        assert (lost, 1) in rig.scheduler.open_attempts and (
            lost,
            0,
        ) not in rig.scheduler.open_attempts  # never two at once


def test_lost_response_is_left_alone_where_no_retry_is_allowed(make) -> None:
    empty_budget = {"retry_budget_window_us": 5_000_000, "retry_budget_floor": 0.0, "retry_budget_ratio": 0.0}
    for cls, changes in ((2, {}), (0, {"may_cancel": False}), (0, empty_budget), (0, {"max_attempts": 1})):
        _, lost, seen = lose_one(make, cls, **{"may_cancel": True, **changes})
        assert not [a for a in seen if isinstance(a, Cancel)], (cls, changes)
        assert lost not in sends(seen)


def test_slow_endpoint_gets_no_retries(make) -> None:
    rig = make(may_cancel=True)
    for _ in range(4):
        rig.end_attempt(rig.arrive(2))
    names = [rig.arrive(1), rig.arrive(2)]
    seen = rig.advance(1_400_000)

    assert not [a for a in seen if isinstance(a, Cancel)]
    assert not set(names) & set(sends(seen))


def test_new_object_that_may_have_been_written_is_retried_at_its_endpoint(make) -> None:
    """Only there a repeat is discarded; another endpoint may have more free slots by then."""
    rig = make(classes=(replace(SETTINGS.classes[1], sequential=False),))
    name = rig.arrive(shard=-1)
    first = next(action.endpoint_id for action in rig.actions if isinstance(action, Send))
    rig.endpoint(first).window -= 0.9
    rig.end_attempt(name, AttemptResult.RESET, endpoint=first)
    again = [action for action in rig.advance(200_000) if isinstance(action, Send)]

    assert [action.endpoint_id for action in again] == [first]


def test_retries_wait_for_the_quota_of_the_fleet(make) -> None:
    rig = make(retry_rate=1.0, hosts=2, max_attempts=4)
    rig.advance(3_000_000)
    first, second = rig.arrive(), rig.arrive()
    again = sends(rig.end_attempt(first, AttemptResult.ERROR) + rig.advance(60_000))
    assert again == [first]
    assert not sends(rig.end_attempt(second, AttemptResult.ERROR) + rig.advance(60_000))
    rig.handle(QuotaChanged(SharedBudget.RETRIES, 0, 1.0, rig.now_us + 5_000_000, 0.5, rig.now_us))
    rig.advance(1_100_000)
    third = rig.arrive()

    assert sends(rig.end_attempt(third, AttemptResult.ERROR) + rig.advance(60_000)) == [third]
