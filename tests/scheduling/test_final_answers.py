"""What a request is answered without a response, and when."""

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
    ids = [rig.arrive(v % 5, cls=v % 3, key=v % 4) for v in range(60)]
    seen = rig.advance(5_000_000)
    answers = [a.request for a in seen if isinstance(a, (Reject, Fail))]

    assert sorted(answers) == sorted(ids)
    assert not rig.scheduler.requests


def test_request_that_cannot_be_in_time_is_rejected_early_with_backoff(rig: Rig) -> None:
    arrive_many(rig, 2, 1)
    late = rig.arrive()
    seen = rig.advance(400_000)
    answer = next(a for a in seen if isinstance(a, Reject) and a.request == late)

    assert 0 < answer.backoff_us <= SETTINGS.max_backoff_us


def test_request_past_its_objective_is_sent_after_those_that_can_meet_theirs(rig: Rig) -> None:
    """Less time left may be a client's repeat, or a client that waits less: it is no reason to refuse."""
    first = rig.arrive()
    repeat = rig.arrive(left_us=1_000_000)
    assert rig.sent_requests() == [repeat]  # the window has room for two
    waits, fresh = rig.arrive(left_us=1_000_000), rig.arrive()

    assert not finals(rig.actions)
    assert sends(rig.end_attempt(first)) == [fresh]
    assert sends(rig.end_attempt(repeat)) == [waits]


def test_request_past_its_objective_is_rejected_after_another_objective(rig: Rig) -> None:
    arrive_many(rig, 2, 1)
    waits = rig.arrive(left_us=1_000_000)

    assert not finals(rig.advance(290_000))
    assert finals(rig.advance(20_000)) == {waits: Reject}


def test_request_that_reached_no_endpoint_keeps_its_attempts_and_half_of_its_time(rig: Rig) -> None:
    """A connect that fails on the broker's own machine is no attempt (PROTOCOL: one counts once its last byte
    has come)."""
    name, tries = rig.arrive(), 0
    while rig.now_us < START + 500_000:
        rig.handle(
            AttemptEnded(name, tries, "a", AttemptResult.NOT_SENT, 0, False, None, None, None, begun=False)
        )
        tries += 1
        while name not in rig.sent_requests():
            assert not finals(rig.advance(10_000))
    assert tries > SETTINGS.max_attempts
    rig.handle(AttemptEnded(name, tries, "a", AttemptResult.OK, 0, True, None, None, None))

    assert not rig.scheduler.requests


def test_events_of_finished_requests_are_ignored(rig: Rig) -> None:
    name = rig.arrive()
    rig.handle(ClientDisconnected(name))

    assert rig.handle(ClientDisconnected(name), ClientDisconnected("never")) == []
    assert not sends(rig.end_attempt(name))
    assert rig.handle(AttemptEnded("never", 0, "zz", AttemptResult.OK, 5, True, None, None, None)) == []


def test_started_response_has_no_deadline(rig: Rig) -> None:
    name = rig.arrive()
    rig.handle(ResponseStarted(name, 0))

    assert name not in finals(rig.advance(2_000_000))
