"""Tests of the selection of an endpoint for a request."""

from __future__ import annotations

from conftest import SETTINGS, Rig

from lemonridge.scheduling.actions import Send
from lemonridge.scheduling.events import (
    EndpointListUpdate,
)


def endpoints_of_new_objects(endpoints: int, seed: int) -> set[str]:
    """Returns the endpoints to which a host sends 2,000 new objects, one after another.

    Args:
        endpoints: The number of endpoints in the list.
        seed: The seed of the host.
    """
    rig = Rig(SETTINGS, seed)
    rig.update_list(*((f"n{number}", number) for number in range(endpoints)))
    chosen = set()
    for _ in range(2_000):
        request = rig.arrive(shard=-1)
        (sent,) = [action for action in rig.actions if isinstance(action, Send)]
        chosen.add(sent.endpoint_id)
        rig.now_us += 5_000
        rig.end_attempt(request, endpoint=sent.endpoint_id)
    return chosen


def test_new_object_is_sent_to_any_endpoint(rig: Rig) -> None:
    assert rig.arrive(shard=-1) in rig.sent_requests()


def test_all_endpoints_are_candidates_if_few_and_a_sample_if_many(make_rig):
    rig = make_rig(hosts=1)
    rig.update_list(*((f"n{n}", n) for n in range(400)), kind=EndpointListUpdate.SNAPSHOT)
    chosen = {rig.scheduler.health.pick(-1).id for _ in range(300)}
    assert len(chosen) > 100
    candidates = list(rig.scheduler.endpoint_list.candidates())
    assert len(candidates) == 16
    rig.update_list(*((f"n{n}", n) for n in range(20)), kind=EndpointListUpdate.SNAPSHOT)

    assert len(list(rig.scheduler.endpoint_list.candidates())) >= 20


def test_new_objects_of_a_host_go_to_a_bounded_subset() -> None:
    """STANDING, last table: 2.5 times the connections, plus 40, at sixteen times the endpoints."""
    few, many = endpoints_of_new_objects(200, 1), endpoints_of_new_objects(3_200, 1)
    assert len(many) <= 2.5 * len(few) + 40
    other_host = endpoints_of_new_objects(3_200, 2)

    assert len(many & other_host) < len(many) / 2  # hosts use different subsets
