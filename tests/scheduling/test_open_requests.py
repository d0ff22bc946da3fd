"""The bound on open requests: which waiting requests a surge rejects."""

from __future__ import annotations

from conftest import Rig, arrive_many, finals, sends

from lemonridge.scheduling.actions import Reject, RejectReason


def overloaded(actions: list) -> list[str]:
    return [
        one.request for one in actions if isinstance(one, Reject) and one.reason is RejectReason.OVERLOADED
    ]


def arrivals_at_a_full_endpoint(rig: Rig, count: int) -> list[str]:
    """Waiting requests: the endpoint's window is full."""
    while sends(rig.actions) or not rig.scheduler.open_attempts:
        rig.arrive(volume=1)
    return arrive_many(rig, count, volume=1)


def test_without_a_bound_nothing_is_rejected_for_the_number_of_open_requests(rig: Rig) -> None:
    arrivals_at_a_full_endpoint(rig, 200)

    assert overloaded(rig.actions) == []
    assert len(rig.scheduler.requests) >= 200


def test_past_the_bound_the_request_whose_objective_ends_last_is_rejected_as_it_arrives(rig: Rig) -> None:
    """Guards against a surge that holds all connections with requests that wait for their objectives."""
    arrivals_at_a_full_endpoint(rig, 5)
    rig.scheduler.open_requests_max = len(rig.scheduler.requests)
    rig.now_us += 1_000

    late = rig.arrive(volume=1)

    assert overloaded(rig.actions) == [late]
    assert len(rig.scheduler.requests) == rig.scheduler.open_requests_max


def test_a_heavier_request_takes_the_place_of_a_lighter_one(rig: Rig) -> None:
    arrivals_at_a_full_endpoint(rig, 3)
    light = rig.arrive(volume=1, cls=1)  # of priority weight 2, among reads of 3
    rig.scheduler.open_requests_max = len(rig.scheduler.requests)

    heavy = rig.arrive(volume=1)

    assert overloaded(rig.actions) == [light]
    assert heavy in rig.scheduler.requests


def test_what_is_in_flight_is_never_rejected_for_the_bound(rig: Rig) -> None:
    waiting = arrivals_at_a_full_endpoint(rig, 3)
    in_flight = {request for request, _ in rig.scheduler.open_attempts}
    rig.scheduler.open_requests_max = 0

    rig.advance(1)

    assert set(waiting) <= set(finals(rig.actions))
    assert set(rig.scheduler.requests) == in_flight


def test_a_volume_that_has_used_its_reservation_up_yields_to_one_that_has_not(rig: Rig) -> None:
    arrivals_at_a_full_endpoint(rig, 3)  # of the volume that fills the endpoint
    rig.scheduler.open_requests_max = len(rig.scheduler.requests)

    other = rig.arrive(volume=2)

    assert len(overloaded(rig.actions)) == 1
    assert other in rig.scheduler.requests
