"""A short soak run with fixed seeds; the long one is started by hand (`drill soak`, docs/soak.md)."""

from __future__ import annotations

import asyncio
import unittest

import pytest

from lemonridge.lab.drills import soak
from lemonridge.lab.soak_mutants import MUTANTS

pytestmark = pytest.mark.serial

SEEDS, DURATION_S = (1, 2), 8.0
CRASH_SEED, CRASH_DURATION_S = 701, 5.0
# A fault is found in half of the runs or more, as a run of this time has several cold starts; the first run
# that finds it ends the search.
MUTANT_SEEDS, MUTANT_DURATION_S = (5, 6, 7, 4, 2, 8), 20.0


class SoakRun(unittest.TestCase):
    def test_every_rule_holds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                _, findings = asyncio.run(soak.run(soak.Options(seed, DURATION_S)))
                self.assertEqual((dict(findings.counts), findings.notes), ({}, []))

    def test_planted_faults_are_found(self) -> None:
        """Runs the mutants that depend on the seed the most; all nine are run by hand (docs/soak.md)."""
        for mutant in ("sends-to-draining", "sends-for-the-gone", "floods-cold-nodes"):
            with self.subTest(mutant=mutant):
                self.assertTrue(any(self.finds_fault(mutant, seed) for seed in MUTANT_SEEDS))

    def test_broker_that_ends_by_itself_is_counted(self) -> None:
        """Guards against a drill that breaks off where it should count a crash."""
        _, findings = asyncio.run(soak.run(soak.Options(CRASH_SEED, CRASH_DURATION_S, "dies-of-a-signal")))
        self.assertGreater(findings.counts["crashes"], 0)

    def finds_fault(self, mutant: str, seed: int) -> bool:
        """Returns whether a run with a mutant finds its fault."""
        _, findings = asyncio.run(soak.run(soak.Options(seed, MUTANT_DURATION_S, mutant)))
        return findings.counts[MUTANTS[mutant][1]] > 0
