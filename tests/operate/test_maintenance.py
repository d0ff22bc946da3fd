"""Tests of operators' bans applied to the endpoint list of discovery."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lemonridge.operate.maintenance import Maintenance
from lemonridge.scheduling.events import Endpoint, EndpointState


def endpoint(started_us: int = 0, state: EndpointState = EndpointState.ACTIVE) -> Endpoint:
    return Endpoint("s-1", 0, 0, state, started_us)


class MaintenanceTest(unittest.TestCase):
    def test_ban_overrides_discovery_until_it_is_ended(self) -> None:
        maintenance = Maintenance()
        self.assertFalse(maintenance.enable("s-1", 5))
        for now_us in (10, 20):
            self.assertTrue(maintenance.disable("s-1", now_us))
        for state in EndpointState:
            self.assertIsNot(maintenance.apply(endpoint(state=state)).state, EndpointState.ACTIVE)
        self.assertIs(maintenance.apply(endpoint(state=EndpointState.REMOVED)).state, EndpointState.REMOVED)
        self.assertTrue(maintenance.enable("s-1", 30))
        self.assertIs(maintenance.apply(endpoint()).state, EndpointState.ACTIVE)

    def test_endpoint_counts_as_started_at_end_of_ban_until_discovery_lists_restart(self) -> None:
        maintenance = Maintenance()
        maintenance.disable("s-1", 10)
        maintenance.enable("s-1", 30)

        self.assertEqual(maintenance.apply(endpoint(9)).started_us, 30)
        self.assertEqual(maintenance.apply(endpoint(25)).started_us, 25)

        maintenance.prune(["s-1"])
        self.assertEqual(maintenance.apply(endpoint(0)).started_us, 30)

        maintenance.prune([])
        self.assertEqual(maintenance.apply(endpoint(0)).started_us, 0)

    @given(
        st.lists(st.tuples(st.sampled_from(["disable", "enable", "prune", "hand_over"]), st.integers(0, 3)))
    )
    def test_bans_match_last_calls_through_pruning_and_handover(self, steps: list[tuple[str, int]]) -> None:
        maintenance, banned = Maintenance(), set()
        for now_us, (step, number) in enumerate(steps):
            endpoint_id = f"s-{number}"
            if step == "disable":
                maintenance.disable(endpoint_id, now_us)
                banned.add(endpoint_id)
            elif step == "enable":
                self.assertEqual(maintenance.enable(endpoint_id, now_us), endpoint_id in banned)
                banned.discard(endpoint_id)
            elif step == "prune":
                maintenance.prune([])  # no endpoint is listed any more: the bans stay
            else:
                successor = Maintenance()
                successor.replace_all(maintenance.export())
                maintenance = successor
            self.assertEqual(set(maintenance.export().banned), banned)
