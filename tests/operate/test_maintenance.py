"""Operators' bans, applied to what discovery says."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lemonridge.operate.maintenance import Maintenance
from lemonridge.scheduling.events import Endpoint, EndpointState


def endpoint(started_us: int = 0, state: EndpointState = EndpointState.ACTIVE) -> Endpoint:
    return Endpoint("s-1", 0, 0, state, started_us)


class Bans(unittest.TestCase):
    def test_a_ban_overrides_discovery_until_it_is_ended_once(self) -> None:
        bans = Maintenance()
        self.assertFalse(bans.enable("s-1", 5))
        for now in (10, 20):
            self.assertTrue(bans.disable("s-1", now))
        for state in EndpointState:
            self.assertIsNot(bans.apply(endpoint(state=state)).state, EndpointState.ACTIVE)
        self.assertIs(bans.apply(endpoint(state=EndpointState.REMOVED)).state, EndpointState.REMOVED)
        self.assertTrue(bans.enable("s-1", 30))
        self.assertIs(bans.apply(endpoint()).state, EndpointState.ACTIVE)

    def test_a_returned_endpoint_counts_as_started_until_discovery_has_its_start(self) -> None:
        bans = Maintenance()
        bans.disable("s-1", 10)
        bans.enable("s-1", 30)

        self.assertEqual(bans.apply(endpoint(9)).started_us, 30)
        self.assertEqual(bans.apply(endpoint(25)).started_us, 25)

        bans.prune(["s-1"])
        self.assertEqual(bans.apply(endpoint(0)).started_us, 30)

        bans.prune([])
        self.assertEqual(bans.apply(endpoint(0)).started_us, 0)

    @given(st.lists(st.tuples(st.sampled_from(["disable", "enable", "prune", "hand"]), st.integers(0, 3))))
    def test_the_bans_are_those_of_the_last_calls(self, steps: list[tuple[str, int]]) -> None:
        bans, banned = Maintenance(), set()
        for now, (step, number) in enumerate(steps):
            endpoint_id = f"s-{number}"
            if step == "disable":
                bans.disable(endpoint_id, now)
                banned.add(endpoint_id)
            elif step == "enable":
                self.assertEqual(bans.enable(endpoint_id, now), endpoint_id in banned)
                banned.discard(endpoint_id)
            elif step == "prune":
                bans.prune([])  # nothing is listed any more: a ban stays
            else:
                after = Maintenance()
                after.replace_all(bans.export())
                bans = after
            self.assertEqual(set(bans.export().banned), banned)
