"""Tests of changes to the endpoint list and of its polling."""

from __future__ import annotations

from conftest import Rig

from lemonridge.scheduling.actions import Subscribe
from lemonridge.scheduling.events import (
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
)


def test_draining_endpoint_gets_no_new_request(rig: Rig) -> None:
    rig.update_list(("a", 0, EndpointState.DRAINING), kind=EndpointListUpdate.DELTA)
    assert rig.arrive() not in rig.sent_requests()
    rig.update_list(("a", 0, EndpointState.REMOVED), ("c", 0), kind=EndpointListUpdate.DELTA)

    assert "c" in rig.scheduler.endpoint_list.endpoints and "a" not in rig.scheduler.endpoint_list.endpoints


def test_endpoint_missing_from_a_full_list_is_removed(rig: Rig) -> None:
    rig.update_list(("b", 1), kind=EndpointListUpdate.SNAPSHOT)

    assert rig.arrive() not in rig.sent_requests()


def test_failed_watch_is_polled_again_with_backoff_and_jitter(make_rig) -> None:
    delays_by_seed = []
    for seed in (1, 2):
        settings = make_rig(polls_endpoint_list=True).settings
        rig = Rig(settings, seed)
        assert [action for action in rig.update_list(("a", 0)) if isinstance(action, Subscribe)]
        delays_us = []
        for _ in range(4):
            rig.handle(EndpointsChanged(EndpointListUpdate.WATCH_FAILED, ()))
            start_us = rig.now_us
            while not any(isinstance(action, Subscribe) for action in rig.advance(10_000)):
                pass
            delays_us.append(rig.now_us - start_us)
        assert delays_us[0] < delays_us[1] < delays_us[2] < delays_us[3]
        delays_by_seed.append(delays_us)

    assert delays_by_seed[0] != delays_by_seed[1]
