"""The order of requests with the same ordering key while the process is replaced."""

from __future__ import annotations

from conftest import Rig, sends

from lemonridge.scheduling.actions import Action, EndTurn, GrantTurn, RequestTurn, Turn
from lemonridge.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    PredecessorGone,
    PredecessorOrdersKeys,
    SuccessorGone,
    SuccessorTurnEnded,
    SuccessorTurnRequested,
    TurnGranted,
)

KEY, OTHER_KEY = 5, 6
QUARANTINE_US = 100_000  # of the rig's settings


def turns(actions: list[Action]) -> list[Turn]:
    return [action for action in actions if isinstance(action, (RequestTurn, EndTurn, GrantTurn))]


def arrive(rig: Rig, key: int = KEY) -> tuple[str, list[Action]]:
    """Returns a request that arrives, and the actions of its arrival."""
    request = rig.arrive(cls=1, key=key)
    return request, rig.actions


# The predecessor


def test_turn_is_granted_at_once_if_its_key_is_free(rig: Rig) -> None:
    assert turns(rig.handle(SuccessorTurnRequested(KEY, 7))) == [GrantTurn(7)]


def test_turn_waits_for_earlier_requests_and_later_ones_wait_for_it(rig: Rig) -> None:
    first, _ = arrive(rig)
    assert turns(rig.handle(SuccessorTurnRequested(KEY, 7))) == []
    second, _ = arrive(rig)
    without_turn, actions = arrive(rig, OTHER_KEY)
    assert without_turn in sends(actions)
    actions = rig.end_attempt(first)
    assert (turns(actions), second in sends(actions)) == ([GrantTurn(7)], False)
    assert second in sends(rig.handle(SuccessorTurnEnded(7)))


def test_turn_waits_for_the_quarantine_of_its_key(rig: Rig) -> None:
    first, _ = arrive(rig)
    rig.handle(SuccessorTurnRequested(KEY, 7))
    assert turns(rig.end_attempt(first, AttemptResult.TIMEOUT) + rig.advance(90_000)) == []
    assert turns(rig.advance(30_000)) == [GrantTurn(7)]


def test_turn_that_is_not_needed_any_more_holds_nobody_back(rig: Rig) -> None:
    first, _ = arrive(rig)
    rig.handle(SuccessorTurnRequested(KEY, 7))
    second, _ = arrive(rig)
    rig.handle(SuccessorTurnEnded(7))
    assert second in sends(rig.end_attempt(first))
    rig.end_attempt(second)
    assert rig.scheduler.lifecycle.key_order.is_idle()


def test_repeated_turn_and_unknown_end_change_nothing(rig: Rig) -> None:
    rig.handle(SuccessorTurnRequested(KEY, 7))
    assert turns(rig.handle(SuccessorTurnRequested(KEY, 7), SuccessorTurnEnded(8))) == []
    rig.handle(SuccessorTurnEnded(7))
    assert rig.scheduler.lifecycle.key_order.is_idle()


def test_turns_of_a_successor_that_is_gone_end_and_granted_ones_leave_a_quarantine(rig: Rig) -> None:
    rig.handle(SuccessorTurnRequested(KEY, 1), SuccessorTurnRequested(KEY, 2))
    waiting, _ = arrive(rig)
    open_request, _ = arrive(rig, OTHER_KEY)
    rig.handle(SuccessorTurnRequested(OTHER_KEY, 3))
    behind_ungranted, _ = arrive(rig, OTHER_KEY)
    assert waiting not in sends(rig.handle(SuccessorGone()) + rig.advance(90_000))
    assert behind_ungranted in sends(rig.end_attempt(open_request))
    assert waiting in sends(rig.advance(30_000))


# The successor


def test_request_is_sent_when_its_turn_is_granted(rig: Rig) -> None:
    rig.handle(PredecessorOrdersKeys())
    first, actions = arrive(rig)
    assert (turns(actions), sends(actions)) == ([RequestTurn(KEY, 1)], [])
    second, actions = arrive(rig)
    assert turns(actions) == [RequestTurn(KEY, 2)]
    assert sends(rig.handle(TurnGranted(1))) == [first]
    actions = rig.end_attempt(first)
    assert (turns(actions), sends(actions)) == ([EndTurn(1)], [])
    assert sends(rig.handle(TurnGranted(2))) == [second]


def test_request_without_a_key_needs_no_turn(rig: Rig) -> None:
    rig.handle(PredecessorOrdersKeys())
    request = rig.arrive(cls=0)
    assert (request in sends(rig.actions), turns(rig.actions)) == (True, [])


def test_turn_ends_after_the_quarantine_that_an_attempt_leaves(rig: Rig) -> None:
    rig.handle(PredecessorOrdersKeys())
    first, _ = arrive(rig)
    rig.handle(TurnGranted(1))
    assert turns(rig.end_attempt(first, AttemptResult.TIMEOUT) + rig.advance(90_000)) == []
    assert turns(rig.advance(30_000)) == [EndTurn(1)]


def test_request_that_ends_before_its_turn_gives_it_back(rig: Rig) -> None:
    rig.handle(PredecessorOrdersKeys())
    first, _ = arrive(rig)
    assert turns(rig.handle(ClientDisconnected(first))) == [EndTurn(1)]
    assert turns(rig.handle(TurnGranted(1))) == []
    assert rig.scheduler.lifecycle.key_order.is_idle()


def test_request_is_answered_at_its_deadline_if_no_turn_comes(rig: Rig) -> None:
    rig.handle(PredecessorOrdersKeys())
    arrive(rig)
    assert turns(rig.advance(10_000_000, step=100_000)) == [EndTurn(1)]
    assert not rig.scheduler.requests


def test_requests_are_sent_without_turns_after_the_predecessor_has_ended(rig: Rig) -> None:
    rig.handle(PredecessorOrdersKeys())
    granted, _ = arrive(rig)
    rig.handle(TurnGranted(1))
    behind, _ = arrive(rig)
    waiting, _ = arrive(rig, OTHER_KEY)
    assert sends(rig.handle(PredecessorGone(may_still_run=False)) + rig.advance(90_000)) == []
    assert sends(rig.advance(30_000)) == [waiting]  # its key may have been in quarantine there
    assert sends(rig.end_attempt(granted)) == [behind]
    rig.end_attempt(waiting)
    rig.end_attempt(behind)
    later, actions = arrive(rig, 8)
    assert (sends(actions), turns(actions)) == ([later], [])


def test_key_is_not_in_quarantine_after_the_end_of_a_predecessor_that_had_granted_its_turn(rig: Rig) -> None:
    rig.handle(PredecessorOrdersKeys())
    granted, _ = arrive(rig)
    rig.handle(TurnGranted(1))
    behind, _ = arrive(rig)
    rig.handle(PredecessorGone(may_still_run=False))
    assert sends(rig.end_attempt(granted)) == [behind]


def test_all_keys_are_in_quarantine_if_attempts_of_the_predecessor_may_still_run(rig: Rig) -> None:
    rig.handle(PredecessorOrdersKeys())
    rig.handle(PredecessorGone(may_still_run=True))
    request, actions = arrive(rig)
    assert sends(actions + rig.advance(90_000)) == []
    assert sends(rig.advance(30_000)) == [request]


def test_turns_of_a_second_successor_pass_through_its_predecessor(rig: Rig) -> None:
    rig.handle(PredecessorOrdersKeys())
    assert turns(rig.handle(SuccessorTurnRequested(KEY, 9))) == [RequestTurn(KEY, 1)]
    assert turns(rig.handle(TurnGranted(1))) == [GrantTurn(9)]
    assert turns(rig.handle(SuccessorTurnEnded(9))) == [EndTurn(1)]
    assert rig.scheduler.lifecycle.key_order.is_idle()
