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
    name, sent_us = rig.ask(cls=1), rig.now
    assert rig.policy.begins(rig.now, name, 0)
    rig.now += 1_500_000
    actions = rig.end(name, AttemptResult.RESET) + rig.pass_time(400_000)
    assert sends(actions) == [name]
    window_us = SETTINGS.classes[1].deduplication_window_us
    assert rig.policy.begins(sent_us + window_us - SETTINGS.tick_us, name, 1)
    assert not rig.policy.begins(sent_us + window_us + 1, name, 1)


def test_nothing_begins_for_a_finished_request() -> None:
    rig = confirming_rig()
    name = rig.ask()
    assert rig.policy.begins(rig.now, name, 0)
    rig.do(ClientDisconnected(name))
    assert not rig.policy.begins(rig.now, name, 0) and not rig.policy.begins(rig.now, "never", 0)


def test_slow_start_that_began_meanwhile_is_checked_and_counted() -> None:
    rig = confirming_rig()
    first, second = rig.ask(units=8.0), rig.ask(2, units=8.0)
    rig.listed(("a", 0, EndpointState.ACTIVE, rig.now), kind=EndpointListUpdate.DELTA)
    endpoint = rig.policy.endpoint_list.endpoints["a"]
    assert endpoint.slow_start_sent.units == 0.0
    assert rig.policy.begins(rig.now, first, 0) and endpoint.slow_start_sent.units == 8.0
    assert rig.policy.begins(rig.now, first, 0) and endpoint.slow_start_sent.units == 8.0  # counted once
    assert not rig.policy.begins(rig.now, second, 0)
