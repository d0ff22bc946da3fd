"""Endpoint health and usage: which observations, reports and totals count."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_fleet import START_US

from lemonridge.fleet.health_gossip import (
    REPORT_MAX_AGE_US,
    LocalObservations,
    ObservedOutcome,
    PeerHealthReports,
    ReportedCondition,
)
from lemonridge.fleet.usage_totals import GROWTH_MAX_AGE_US, CounterKey, UsageKind, UsageTotals

SERVED = CounterKey(int(UsageKind.SERVED), 9)


class HealthReports(unittest.TestCase):
    def test_old_unknown_and_repeated_reports_are_ignored(self) -> None:
        reports = PeerHealthReports()
        self.assertIsNone(
            reports.record(1, 5, ReportedCondition.UNREACHABLE, 1, START_US - REPORT_MAX_AGE_US - 1, START_US)
        )
        self.assertIsNone(reports.record(1, 5, 99, 1, START_US, START_US))
        self.assertFalse(reports.record(1, 5, ReportedCondition.UNREACHABLE, 9, START_US, START_US).agreed)  # type: ignore[union-attr]
        # The same report again.
        self.assertIsNone(reports.record(1, 5, ReportedCondition.UNREACHABLE, 9, START_US, START_US))
        self.assertTrue(reports.record(2, 5, ReportedCondition.UNRESPONSIVE, 1, START_US, START_US).agreed)  # type: ignore[union-attr]
        self.assertIsNone(reports.summary(5, START_US + REPORT_MAX_AGE_US + 1))

    def test_endpoint_condition_follows_recent_observations(self) -> None:
        observations = LocalObservations()
        for _ in range(4):
            observations.record(5, ObservedOutcome.ERROR, START_US)
        self.assertEqual(
            [observation.condition for observation in observations.reportable(START_US)],
            [ReportedCondition.ERRORS],
        )
        for _ in range(4):
            observations.record(5, ObservedOutcome.GOOD, START_US)
        self.assertEqual(observations.reportable(START_US), [])
        observations.record(5, ObservedOutcome.CONNECT_FAILED, START_US)
        observations.record(5, ObservedOutcome.GOOD, START_US + 1_500_000)
        self.assertEqual(
            [observation.condition for observation in observations.reportable(START_US + 1_500_000)],
            [ReportedCondition.RESTARTED],
        )
        self.assertEqual(observations.reportable(START_US + 9_000_000), [])


class Usage(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_repeated_outdated_or_previous_incarnation_totals_add_nothing(self, seed: int) -> None:
        random, totals = Random(seed), UsageTotals()
        reports = [(incarnation, total) for incarnation in (1, 2) for total in range(0, 50_000, 1000)]
        totals.on_total(1, 1, SERVED, 0, START_US)
        units = 0.0
        for incarnation, total in reports:
            for _ in range(random.randrange(1, 3)):
                earlier = random.choice(reports[: reports.index((incarnation, total)) + 1])
                units += totals.on_total(1, earlier[0], SERVED, earlier[1], START_US)
            units += totals.on_total(1, incarnation, SERVED, total, START_US)
        self.assertEqual(units, 49 + 49)
        self.assertEqual(totals.on_total(1, 2, SERVED, 99_000, START_US + GROWTH_MAX_AGE_US + 1), 0.0)
