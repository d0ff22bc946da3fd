"""The conformance suite passes, and finds each fault that is planted between it and the front."""

from __future__ import annotations

import unittest

from lemonridge.lab.conform import suite
from lemonridge.lab.conform.faulty import FAULTS, Proxy
from lemonridge.lab.drills import iscsi as drill_iscsi


class Conforming(unittest.IsolatedAsyncioTestCase):
    async def test_every_case_passes(self) -> None:
        results = await suite.run("*", seed=1)
        self.assertGreaterEqual(len(results), 250)
        self.assertEqual([(one.name, one.why) for one in results if one.outcome != "passed"], [])

    async def test_each_planted_fault_is_found(self) -> None:
        self.assertGreaterEqual(len(FAULTS), 10)
        for fault in FAULTS:
            with self.subTest(fault=fault.name):
                proxy = Proxy(fault.spoil)
                results = await suite.run(fault.cases, seed=1, proxy=proxy.start)
                proxy.stop()
                self.assertIn("failed", {one.outcome for one in results}, results)

    async def test_the_drill_holds(self) -> None:
        figures, found = await drill_iscsi.Drill(drill_iscsi.Options(5, seconds=5.0)).run()
        self.assertTrue(drill_iscsi.passed(figures), (figures, found.notes))
