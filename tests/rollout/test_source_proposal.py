"""Tests of when the plans of a source outside the fleet are proposed."""

from __future__ import annotations

import unittest

from lemonridge.lab.measure.rollout import policy, rejection
from lemonridge.rollout import policy_document
from lemonridge.rollout.source_proposal import PROPOSAL_STAGGER_US, RETRY_DELAY_US, SourceProposal
from lemonridge.scheduling.settings import VolumePlan

LEASE_MS, BROKERS = 1000, 3


class SourceProposals(unittest.TestCase):
    def test_brokers_propose_in_roster_order_until_the_plans_are_in_force(self) -> None:
        before, after = policy(24.0), policy(36.0)
        proposals = [SourceProposal(member) for member in range(3)]
        for proposal in proposals:
            proposal.set_plans({"basic": after.plan[0], "unknown": after.plan[1]})
            self.assertIn("plan 'basic' comes from etcd", rejection(proposal.check_no_conflict, before))
            self.assertEqual(rejection(proposal.check_no_conflict, after), "")
        self.assertEqual(
            [proposal.due_policy(before, 0) == after for proposal in proposals], [True, False, False]
        )
        self.assertEqual(proposals[2].due_policy(before, 2 * PROPOSAL_STAGGER_US), after)
        self.assertIsNone(proposals[0].due_policy(after, 5))
        self.assertIsNone(proposals[1].due_policy(before, 1))  # before its turn

    def test_rejected_plans_are_proposed_again_after_a_delay_or_once_they_change(self) -> None:
        proposal, before = SourceProposal(0), policy(24.0)
        proposal.set_plans({"basic": policy(36.0).plan[0]})
        self.assertIsNotNone(proposal.due_policy(before, 0))
        proposal.on_rejected(0)
        self.assertIsNone(proposal.due_policy(before, RETRY_DELAY_US - 1))
        proposal.set_plans({"basic": policy(36.0).plan[0]})  # the same plans again
        self.assertIsNone(proposal.due_policy(before, RETRY_DELAY_US - 1))
        self.assertIsNotNone(proposal.due_policy(before, RETRY_DELAY_US))
        proposal.on_rejected(RETRY_DELAY_US)
        proposal.set_plans({"basic": policy(30.0).plan[0]})
        self.assertIsNotNone(proposal.due_policy(before, RETRY_DELAY_US))

    def test_volume_plan_is_converted_to_a_document_plan(self) -> None:
        volume_plan = VolumePlan(1.0, 2.0, 3.0, 4.0, 5.0, 6.0)
        self.assertEqual(
            policy_document.plan_from_volume_plan("x", volume_plan),
            policy_document.Plan(
                name="x", base_rate=1.0, reserve=2.0, weight=3.0, limit=4.0, burst=5.0, slack=6.0
            ),
        )
