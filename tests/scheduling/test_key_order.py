"""Tests of requests with the same ordering key."""

from __future__ import annotations

from conftest import Rig, sends

from lemonridge.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
)


def test_requests_of_one_key_run_one_at_a_time_in_order(rig: Rig) -> None:
    first, second, third = (rig.arrive(cls=1, key=5) for _ in range(3))
    without_key = rig.arrive(cls=0)

    assert without_key in rig.sent_requests()
    assert rig.end_attempt(first) and rig.sent_requests() == [second]
    assert rig.end_attempt(second) and rig.sent_requests() == [third]


def test_key_is_quarantined_after_an_attempt_that_may_still_run(rig: Rig) -> None:
    rig.arrive(cls=1, key=5)
    second = rig.arrive(cls=1, key=5)
    actions = rig.end_attempt("r1", AttemptResult.TIMEOUT)

    assert second not in sends(actions + rig.advance(90_000))
    assert second in sends(rig.advance(30_000))


def test_key_waits_for_an_open_attempt_of_a_finished_request(rig: Rig) -> None:
    first = rig.arrive(cls=1, key=5)
    second = rig.arrive(cls=1, key=5)
    rig.handle(ClientDisconnected(first))
    assert second not in sends(rig.advance(100_000))
    rig.end_attempt(first)

    assert rig.sent_requests() == [second]
