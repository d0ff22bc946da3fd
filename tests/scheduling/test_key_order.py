"""Requests with one ordering key."""

from __future__ import annotations

from conftest import Rig, sends

from lemonridge.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
)


def test_one_key_runs_one_at_a_time_in_order(rig: Rig) -> None:
    first, second, third = (rig.ask(cls=1, key=5) for _ in range(3))
    other = rig.ask(cls=0)
    assert other in rig.sent()
    assert rig.end(first) and rig.sent() == [second]
    assert rig.end(second) and rig.sent() == [third]


def test_key_is_quarantined_after_an_attempt_that_may_still_run(rig: Rig) -> None:
    rig.ask(cls=1, key=5)
    second = rig.ask(cls=1, key=5)
    actions = rig.end("r1", AttemptResult.TIMEOUT)
    assert second not in sends(actions + rig.pass_time(90_000))
    assert second in sends(rig.pass_time(30_000))


def test_key_waits_for_an_open_attempt_of_a_finished_request(rig: Rig) -> None:
    first = rig.ask(cls=1, key=5)
    second = rig.ask(cls=1, key=5)
    rig.do(ClientDisconnected(first))
    assert second not in sends(rig.pass_time(100_000))
    rig.end(first)
    assert rig.sent() == [second]
