"""Tests of the checker of the policy drill."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

from lemonridge.lab.checkers.policy import ProposedChange, check
from lemonridge.lab.rig import FleetHarness, SiteSettings

SITE = SiteSettings(lease_ms=1000.0, short_deadline_broker=2)
Scene = Callable[[FleetHarness], Awaitable[None]]


class PolicyCheckerTest(unittest.TestCase):
    def test_reported_outcomes_are_compared_with_the_final_states(self) -> None:
        final_reports = [{"name": "a", "epoch": 2, "state": "x", "history": ["1 a: one", "2 a: two"]}] * 2
        proposals = [
            ProposedChange(note, 1, 0, 0, True, outcome=end, reported_at=1, epoch=epoch)
            for note, end, epoch in (("one", "in force", 1), ("two", "nowhere", 0), ("three", "in force", 2))
        ]
        findings = check([], proposals, final_reports, {}, 1, (), 1, 1, 1)
        self.assertEqual((findings.half_changes, findings.lost_changes), (1, 1))
        findings = check([], [], [*final_reports, {**final_reports[0], "state": "y"}], {}, 1, (), 1, 1, 1)
        self.assertEqual(findings.half_changes, 1)
