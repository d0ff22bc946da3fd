"""The scheduler as one state machine: sameness, memory, new settings."""

from __future__ import annotations

from dataclasses import replace

from conftest import SETTINGS, Rig, arrive_many, sends

from lemonridge.scheduling.events import (
    AttemptResult,
    EndpointListUpdate,
    SettingsChanged,
    TimerFired,
)


def test_nothing_is_left_behind_over_many_cycles(rig: Rig) -> None:
    for turn in range(400):
        rig.arrive(turn, cls=turn % 3, plan=turn % 4, key=turn)
        for request, attempt in list(rig.scheduler.open_attempts):
            rig.attempts[request] = attempt
            rig.end_attempt(
                request, (AttemptResult.OK, AttemptResult.RESET, AttemptResult.QUEUE_FULL)[turn % 3]
            )
        rig.now_us += 20_000
    rig.update_list(("b", 1), kind=EndpointListUpdate.SNAPSHOT)
    for request, attempt in list(rig.scheduler.open_attempts):
        rig.attempts[request] = attempt
        rig.end_attempt(request)
    rig.advance(70_000_000, step=100_000)
    scheduler = rig.scheduler

    assert not (
        scheduler.requests
        or scheduler.open_attempts
        or scheduler.lifecycle.key_order._requests_by_key
        or scheduler.lifecycle.key_order._quarantined_until_us
    )
    assert not (
        scheduler.queues.rotation_by_shard or scheduler.context.timers.next_us() or scheduler.limits.volumes
    )
    assert list(scheduler.endpoint_list.endpoints) == ["b"]


def test_same_events_give_same_actions() -> None:
    logs = []
    for _ in range(2):
        rig = Rig(SETTINGS, 7)
        rig.update_list(("a", 0), ("b", 1))
        log = []
        for turn in range(200):
            rig.arrive(turn % 9, shard=turn % 2, cls=turn % 3, key=turn % 5)
            log += rig.actions
            rig.now_us += 7_000
            log += rig.handle(TimerFired())
        logs.append(log)

    assert logs[0] == logs[1]


def test_new_settings_apply_to_new_requests_and_keep_open_ones(rig: Rig) -> None:
    """A reload may renumber classes and plans and change a limit, without a new start of the module."""
    rig.now_us += 30_000_000
    held = rig.arrive(volume=2, cls=1)
    arrive_many(rig, 1, 9, plan=1)  # the bucket of volume 9 is full: 40 units and 4 of slack
    tight = replace(SETTINGS.plans[1], limit=2.0, burst=3.0, slack=0.0)
    rig.handle(SettingsChanged(replace(SETTINGS, classes=SETTINGS.classes[1::-1], plans=(tight,)), False))
    taken = arrive_many(rig, 4, 9, cls=1, plan=0, left_us=1_500_000)
    assert [name in rig.scheduler.requests for name in taken] == [True, True, True, False]
    assert rig.scheduler.requests[held].request_class is SETTINGS.classes[1]
    rig.end_attempt(held)

    assert held not in rig.scheduler.requests


def test_unchanged_plan_indices_apply_the_new_plans_at_once(rig: Rig) -> None:
    rig.advance(60_000_000)  # the bucket is full
    held = [rig.arrive(1, plan=1) for _ in range(60)]
    before = rig.volume(1).bucket.refill(rig.now_us)
    tight = replace(SETTINGS.plans[1], limit=1.0, burst=3.0, slack=0.0)
    rig.handle(
        SettingsChanged(replace(SETTINGS, plans=(SETTINGS.plans[0], tight, *SETTINGS.plans[2:])), True)
    )
    volume = rig.volume(1)
    assert volume.plan == tight and volume.bucket.refill(rig.now_us) <= min(before, 3.0)
    sent = len(sends(rig.advance(2_000_000)))
    assert sent <= 3 + 2, (sent, len(held))
    wide = (SETTINGS.plans[0], replace(tight, limit=1000.0, burst=100.0), *SETTINGS.plans[2:])
    rig.handle(SettingsChanged(replace(SETTINGS, plans=wide), True))

    assert not any(queue.suspended for queue in volume.queues.values())
