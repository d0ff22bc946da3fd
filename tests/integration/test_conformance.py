"""Runs the conformance suite and the iSCSI drill, and checks that the suite detects injected faults."""

from __future__ import annotations

import unittest

from lemonridge.lab.conform import suite
from lemonridge.lab.conform.faulty import FAULTS, Proxy
from lemonridge.lab.drills import iscsi as drill_iscsi


class ConformanceSuiteTest(unittest.IsolatedAsyncioTestCase):
    async def test_every_case_passes(self) -> None:
        results = await suite.run("*", seed=1)
        self.assertGreaterEqual(len(results), 250)
        self.assertEqual([(result.name, result.why) for result in results if result.outcome != "passed"], [])

    async def test_each_injected_fault_fails_a_case(self) -> None:
        self.assertGreaterEqual(len(FAULTS), 10)
        for fault in FAULTS:
            with self.subTest(fault=fault.name):
                proxy = Proxy(fault.corrupt)
                results = await suite.run(fault.cases, seed=1, proxy=proxy.start)
                proxy.stop()
                self.assertIn("failed", {result.outcome for result in results}, results)

    async def test_iscsi_drill_meets_all_criteria(self) -> None:
        figures, findings = await drill_iscsi.Drill(drill_iscsi.Options(5, seconds=5.0)).run()
        self.assertTrue(drill_iscsi.passed(figures), (figures, findings.notes))
