"""The conformance suite passes against the iSCSI front and detects faults planted between the two."""

from __future__ import annotations

import unittest

from lemonridge.lab.conform import suite
from lemonridge.lab.conform.faulty import FAULTS, Proxy
from lemonridge.lab.drills import iscsi as drill_iscsi


class Conformance(unittest.IsolatedAsyncioTestCase):
    async def test_every_case_passes(self) -> None:
        results = await suite.run("*", seed=1)
        self.assertGreaterEqual(len(results), 250)
        self.assertEqual([(result.name, result.why) for result in results if result.outcome != "passed"], [])

    async def test_suite_detects_each_planted_fault(self) -> None:
        self.assertGreaterEqual(len(FAULTS), 10)
        for fault in FAULTS:
            with self.subTest(fault=fault.name):
                proxy = Proxy(fault.spoil)
                results = await suite.run(fault.cases, seed=1, proxy=proxy.start)
                proxy.stop()
                self.assertIn("failed", {result.outcome for result in results}, results)

    async def test_drill_meets_every_rule(self) -> None:
        figures, findings = await drill_iscsi.Drill(drill_iscsi.Options(5, seconds=5.0)).run()
        self.assertTrue(drill_iscsi.held(figures), (figures, findings.notes))
