"""Between the decision and the first byte: a connection takes time to open."""

from __future__ import annotations

from conftest import SETTINGS, confirming_rig, sends

from lemonridge.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
)


def test_retry_with_a_key_does_not_begin_past_its_window() -> None:
    rig = confirming_rig()
    name, sent_us = rig.arrive(cls=1), rig.now_us
    assert rig.scheduler.may_begin(rig.now_us, name, 0)
    rig.now_us += 1_500_000
    actions = rig.end_attempt(name, AttemptResult.RESET) + rig.advance(400_000)
    assert sends(actions) == [name]
    window_us = SETTINGS.classes[1].deduplication_window_us

    assert rig.scheduler.may_begin(sent_us + window_us - SETTINGS.tick_us, name, 1)
    assert not rig.scheduler.may_begin(sent_us + window_us + 1, name, 1)


def test_nothing_begins_for_a_finished_request() -> None:
    rig = confirming_rig()
    name = rig.arrive()
    assert rig.scheduler.may_begin(rig.now_us, name, 0)
    rig.handle(ClientDisconnected(name))

    assert not rig.scheduler.may_begin(rig.now_us, name, 0) and not rig.scheduler.may_begin(
        rig.now_us, "never", 0
    )


def test_slow_start_that_began_meanwhile_is_checked_and_counted() -> None:
    rig = confirming_rig()
    first, second = rig.arrive(units=8.0), rig.arrive(2, units=8.0)
    rig.update_list(("a", 0, EndpointState.ACTIVE, rig.now_us), kind=EndpointListUpdate.DELTA)
    endpoint = rig.endpoint("a")

    assert endpoint.slow_start_sent.units == 0.0
    assert rig.scheduler.may_begin(rig.now_us, first, 0) and endpoint.slow_start_sent.units == 8.0
    assert (
        rig.scheduler.may_begin(rig.now_us, first, 0) and endpoint.slow_start_sent.units == 8.0
    )  # counted once
    assert not rig.scheduler.may_begin(rig.now_us, second, 0)
