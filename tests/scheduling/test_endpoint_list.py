"""Changes of the endpoint list."""

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


def test_failed_watch_is_polled_again_with_backoff_and_jitter(make) -> None:
    gaps = []
    for seed in (1, 2):
        settings = make(polls_endpoint_list=True).settings
        rig = Rig(settings, seed)
        assert [a for a in rig.update_list(("a", 0)) if isinstance(a, Subscribe)]
        times = []
        for _ in range(4):
            rig.handle(EndpointsChanged(EndpointListUpdate.WATCH_FAILED, ()))
            start = rig.now_us
            while not any(isinstance(a, Subscribe) for a in rig.advance(10_000)):
                pass
            times.append(rig.now_us - start)
        assert times[0] < times[1] < times[2] < times[3]
        gaps.append(times)

    assert gaps[0] != gaps[1]
