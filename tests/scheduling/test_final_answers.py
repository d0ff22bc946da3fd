"""Tests of final answers without a response: rejections, failures and their time."""

from __future__ import annotations

from conftest import SETTINGS, START, Rig, arrive_many, finals, sends

from lemonridge.scheduling.actions import Fail, Reject
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ResponseStarted,
)


def test_every_request_gets_one_answer_by_its_deadline() -> None:
    rig = Rig(SETTINGS)
    rig.update_list(("a", 0))
    requests = [rig.arrive(n % 5, cls=n % 3, key=n % 4) for n in range(60)]
    actions = rig.advance(5_000_000)
    answers = [action.request for action in actions if isinstance(action, (Reject, Fail))]

    assert sorted(answers) == sorted(requests)
    assert not rig.scheduler.requests


def test_request_that_cannot_be_in_time_is_rejected_early_with_backoff(rig: Rig) -> None:
    arrive_many(rig, 2, 1)
    late = rig.arrive()
    actions = rig.advance(400_000)
    answer = next(action for action in actions if isinstance(action, Reject) and action.request == late)

    assert 0 < answer.backoff_us <= SETTINGS.max_backoff_us


def test_request_past_its_objective_is_sent_after_those_that_can_meet_theirs(rig: Rig) -> None:
    """Less time left indicates a retry of the client or a shorter deadline, which is no reason to reject."""
    first = rig.arrive()
    second = rig.arrive(left_us=1_000_000)
    assert rig.sent_requests() == [second]  # the window allows two attempts
    late, on_time = rig.arrive(left_us=1_000_000), rig.arrive()

    assert not finals(rig.actions)
    assert sends(rig.end_attempt(first)) == [on_time]
    assert sends(rig.end_attempt(second)) == [late]


def test_request_past_its_objective_is_rejected_after_another_objective(rig: Rig) -> None:
    arrive_many(rig, 2, 1)
    late = rig.arrive(left_us=1_000_000)

    assert not finals(rig.advance(290_000))
    assert finals(rig.advance(20_000)) == {late: Reject}


def test_request_that_reached_no_endpoint_keeps_its_attempts_and_half_of_its_time(rig: Rig) -> None:
    """A connect that fails on the broker's host is not counted as an attempt.

    PROTOCOL: an attempt counts once its last byte has arrived.
    """
    request, attempt = rig.arrive(), 0
    while rig.now_us < START + 500_000:
        rig.handle(
            AttemptEnded(
                request, attempt, "a", AttemptResult.NOT_SENT, 0, False, None, None, None, begun=False
            )
        )
        attempt += 1
        while request not in rig.sent_requests():
            assert not finals(rig.advance(10_000))
    assert attempt > SETTINGS.max_attempts
    rig.handle(AttemptEnded(request, attempt, "a", AttemptResult.OK, 0, True, None, None, None))

    assert not rig.scheduler.requests


def test_events_of_finished_requests_are_ignored(rig: Rig) -> None:
    request = rig.arrive()
    rig.handle(ClientDisconnected(request))

    assert rig.handle(ClientDisconnected(request), ClientDisconnected("never")) == []
    assert not sends(rig.end_attempt(request))
    assert rig.handle(AttemptEnded("never", 0, "zz", AttemptResult.OK, 5, True, None, None, None)) == []


def test_started_response_has_no_deadline(rig: Rig) -> None:
    request = rig.arrive()
    rig.handle(ResponseStarted(request, 0))

    assert request not in finals(rig.advance(2_000_000))
