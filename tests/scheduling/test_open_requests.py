"""Tests of the maximum number of open requests: which queued requests are rejected in a surge."""

from __future__ import annotations

from conftest import Rig, arrive_many, finals, sends

from lemonridge.scheduling.actions import Reject, RejectReason


def overload_rejections(actions: list) -> list[str]:
    return [
        action.request
        for action in actions
        if isinstance(action, Reject) and action.reason is RejectReason.OVERLOADED
    ]


def queue_requests_at_full_endpoint(rig: Rig, count: int) -> list[str]:
    """Fills the endpoint's window, then queues `count` more requests and returns their ids."""
    while sends(rig.actions) or not rig.scheduler.open_attempts:
        rig.arrive(volume=1)
    return arrive_many(rig, count, volume=1)


def test_without_a_maximum_no_request_is_rejected_as_overload(rig: Rig) -> None:
    queue_requests_at_full_endpoint(rig, 200)

    assert overload_rejections(rig.actions) == []
    assert len(rig.scheduler.requests) >= 200


def test_above_the_maximum_the_request_whose_objective_ends_last_is_rejected_on_arrival(rig: Rig) -> None:
    """Guards against a surge that occupies all connections with requests queued until their objectives."""
    queue_requests_at_full_endpoint(rig, 5)
    rig.scheduler.open_requests_max = len(rig.scheduler.requests)
    rig.now_us += 1_000

    late = rig.arrive(volume=1)

    assert overload_rejections(rig.actions) == [late]
    assert len(rig.scheduler.requests) == rig.scheduler.open_requests_max


def test_request_of_higher_priority_displaces_one_of_lower_priority(rig: Rig) -> None:
    queue_requests_at_full_endpoint(rig, 3)
    low_priority = rig.arrive(volume=1, cls=1)  # priority weight 2, among reads with weight 3
    rig.scheduler.open_requests_max = len(rig.scheduler.requests)

    high_priority = rig.arrive(volume=1)

    assert overload_rejections(rig.actions) == [low_priority]
    assert high_priority in rig.scheduler.requests


def test_request_in_flight_is_not_rejected_above_the_maximum(rig: Rig) -> None:
    queued = queue_requests_at_full_endpoint(rig, 3)
    in_flight = {request for request, _ in rig.scheduler.open_attempts}
    rig.scheduler.open_requests_max = 0

    rig.advance(1)

    assert set(queued) <= set(finals(rig.actions))
    assert set(rig.scheduler.requests) == in_flight


def test_volume_within_its_reservation_displaces_one_that_has_exceeded_it(rig: Rig) -> None:
    queue_requests_at_full_endpoint(rig, 3)  # requests of the volume that fills the endpoint
    rig.scheduler.open_requests_max = len(rig.scheduler.requests)

    other_volume = rig.arrive(volume=2)

    assert len(overload_rejections(rig.actions)) == 1
    assert other_volume in rig.scheduler.requests
