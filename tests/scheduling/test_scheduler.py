"""Tests of the scheduler as a whole: determinism, cleanup of its state, and new settings."""

from __future__ import annotations

from dataclasses import replace

from conftest import SETTINGS, Rig, arrive_many, sends

from lemonridge.scheduling.events import (
    AttemptResult,
    EndpointListUpdate,
    SettingsChanged,
    TimerFired,
)


def test_no_state_remains_after_many_requests(rig: Rig) -> None:
    for step in range(400):
        rig.arrive(step, cls=step % 3, plan=step % 4, key=step)
        for request, attempt in list(rig.scheduler.open_attempts):
            rig.attempts[request] = attempt
            rig.end_attempt(
                request, (AttemptResult.OK, AttemptResult.RESET, AttemptResult.QUEUE_FULL)[step % 3]
            )
        rig.now_us += 20_000
    rig.update_list(("b", 1), kind=EndpointListUpdate.SNAPSHOT)
    for request, attempt in list(rig.scheduler.open_attempts):
        rig.attempts[request] = attempt
        rig.end_attempt(request)
    rig.advance(70_000_000, step=100_000)
    scheduler = rig.scheduler

    assert not (scheduler.requests or scheduler.open_attempts or not scheduler.lifecycle.key_order.is_idle())
    assert not (
        scheduler.queues.rotation_by_shard or scheduler.context.timers.next_us() or scheduler.limits.volumes
    )
    assert list(scheduler.endpoint_list.endpoints) == ["b"]


def test_same_events_give_same_actions() -> None:
    actions_by_run = []
    for _ in range(2):
        rig = Rig(SETTINGS, 7)
        rig.update_list(("a", 0), ("b", 1))
        actions = []
        for step in range(200):
            rig.arrive(step % 9, shard=step % 2, cls=step % 3, key=step % 5)
            actions += rig.actions
            rig.now_us += 7_000
            actions += rig.handle(TimerFired())
        actions_by_run.append(actions)

    assert actions_by_run[0] == actions_by_run[1]


def test_new_settings_apply_to_new_requests_and_keep_open_ones(rig: Rig) -> None:
    """A reload may change the indices of classes and plans, and a limit, without a scheduler restart."""
    rig.now_us += 30_000_000
    open_request = rig.arrive(volume=2, cls=1)
    arrive_many(rig, 1, 9, plan=1)  # the bucket of volume 9 is full: 40 units and 4 of slack
    low_limit = replace(SETTINGS.plans[1], limit=2.0, burst=3.0, slack=0.0)
    rig.handle(SettingsChanged(replace(SETTINGS, classes=SETTINGS.classes[1::-1], plans=(low_limit,)), False))
    new_requests = arrive_many(rig, 4, 9, cls=1, plan=0, left_us=1_500_000)
    assert [request in rig.scheduler.requests for request in new_requests] == [True, True, True, False]
    assert rig.scheduler.requests[open_request].request_class is SETTINGS.classes[1]
    rig.end_attempt(open_request)

    assert open_request not in rig.scheduler.requests


def test_unchanged_plan_indices_apply_the_new_plans_at_once(rig: Rig) -> None:
    rig.advance(60_000_000)  # the bucket is full
    requests = [rig.arrive(1, plan=1) for _ in range(60)]
    tokens_before = rig.volume(1).bucket.refill(rig.now_us)
    low_limit = replace(SETTINGS.plans[1], limit=1.0, burst=3.0, slack=0.0)
    rig.handle(
        SettingsChanged(replace(SETTINGS, plans=(SETTINGS.plans[0], low_limit, *SETTINGS.plans[2:])), True)
    )
    volume = rig.volume(1)
    assert volume.plan == low_limit and volume.bucket.refill(rig.now_us) <= min(tokens_before, 3.0)
    sent = len(sends(rig.advance(2_000_000)))
    assert sent <= 3 + 2, (sent, len(requests))
    high_limit_plans = (
        SETTINGS.plans[0],
        replace(low_limit, limit=1000.0, burst=100.0),
        *SETTINGS.plans[2:],
    )
    rig.handle(SettingsChanged(replace(SETTINGS, plans=high_limit_plans), True))

    assert not any(queue.suspended for queue in volume.queues.values())
