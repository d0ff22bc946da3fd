"""Tests of the time between the decision to send an attempt and its first byte, while a connection opens."""

from __future__ import annotations

from conftest import SETTINGS, confirming_rig, sends

from lemonridge.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
)


def test_retry_with_an_idempotency_key_does_not_begin_after_its_deduplication_window() -> None:
    rig = confirming_rig()
    request, sent_us = rig.arrive(cls=1), rig.now_us
    assert rig.scheduler.may_begin(rig.now_us, request, 0)
    rig.now_us += 1_500_000
    actions = rig.end_attempt(request, AttemptResult.RESET) + rig.advance(400_000)
    assert sends(actions) == [request]
    window_us = SETTINGS.classes[1].deduplication_window_us

    assert rig.scheduler.may_begin(sent_us + window_us - SETTINGS.tick_us, request, 1)
    assert not rig.scheduler.may_begin(sent_us + window_us + 1, request, 1)


def test_attempt_of_a_finished_request_does_not_begin() -> None:
    rig = confirming_rig()
    request = rig.arrive()
    assert rig.scheduler.may_begin(rig.now_us, request, 0)
    rig.handle(ClientDisconnected(request))

    assert not rig.scheduler.may_begin(rig.now_us, request, 0) and not rig.scheduler.may_begin(
        rig.now_us, "never", 0
    )


def test_slow_start_that_began_after_the_decision_is_checked_and_counted() -> None:
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
