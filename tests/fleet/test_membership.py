"""Membership: declared deaths, refutations and network partitions."""

from __future__ import annotations

import unittest

from virtual_fleet import START_US, VirtualFleet

from lemonridge.fleet.datagrams import MembershipUpdate, MemberState
from lemonridge.lab.measure.membership import measure_scheme


class Membership(unittest.TestCase):
    def test_death_is_detected_by_all_within_seconds_without_false_deaths(self) -> None:
        for count, loss, slow in ((3, 0.0, False), (16, 0.3, False), (16, 0.0, True)):
            figures = measure_scheme(count, loss, "swim", slow=slow)
            self.assertEqual((figures["accused"], figures["known_to"]), (0, count - 1), figures)
            self.assertLess(figures["all_s"], 8.0)
            self.assertLess(figures["bytes_s"], 800)

    def test_stalled_member_refutes_its_death_with_a_new_state_version(self) -> None:
        fleet = VirtualFleet(4)
        fleet.run(3.0)
        fleet.down.add(0)
        fleet.run(8.0)
        self.assertEqual(
            {fleet.members[n].membership.members[0].state for n in (1, 2, 3)}, {MemberState.DEAD}
        )
        fleet.down.clear()
        fleet.run(6.0)
        self.assertEqual({fleet.members[n].membership.members[0].state for n in (1, 2, 3)}, {MemberState.UP})
        self.assertGreater(fleet.members[0].membership.suspicions_of_self, 0)
        self.assertGreater(fleet.members[0].membership.state_version, 1)
        # The stalled member declared no other member dead.
        self.assertEqual(fleet.members[0].membership.members[1].deaths, 0)

    def test_partitioned_halves_declare_each_other_dead_and_recover_after_the_partition(self) -> None:
        fleet = VirtualFleet(6)
        fleet.run(3.0)
        fleet.cut_links = {
            (sender, receiver)
            for sender in range(6)
            for receiver in range(6)
            if (sender < 3) != (receiver < 3)
        }
        fleet.run(12.0)
        self.assertEqual(fleet.members[0].membership.members[5].state, MemberState.DEAD)
        self.assertEqual(fleet.members[0].membership.members[1].state, MemberState.UP)
        fleet.cut_links.clear()
        fleet.run(8.0)
        for n, member in enumerate(fleet.members):
            self.assertEqual(
                {member.membership.members[other].state for other in range(6) if other != n}, {MemberState.UP}
            )

    def test_member_is_superseded_by_a_later_incarnation_of_itself(self) -> None:
        fleet = VirtualFleet(3)
        fleet.members[0].membership.on_update(
            1, MembershipUpdate(0, START_US // 1000 + 10**6, 0, MemberState.UP), fleet.now_us
        )
        self.assertTrue(fleet.members[0].membership.superseded)
