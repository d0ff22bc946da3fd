"""The soak, short and seeded; the long one is started by hand (`drill soak`, docs/soak.md)."""

from __future__ import annotations

import asyncio
import unittest

from lemonridge.lab.drills import soak
from lemonridge.lab.soak_mutants import MUTANTS

SEEDS, SECONDS = (1, 2), 8.0
# A fault shows in half of the plays or more; the first play that finds it ends the search.
MUTANT_SEEDS = (5, 6, 7, 4, 2, 8)


class Soak(unittest.TestCase):
    def test_every_rule_holds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                _, found = asyncio.run(soak.run(soak.Options(seed, SECONDS)))
                self.assertEqual((dict(found.counts), found.notes), ({}, []))

    def test_planted_faults_are_found(self) -> None:
        """Those that depend on what is drawn the most; all nine by hand (docs/soak.md)."""
        for mutant in ("sends-to-draining", "sends-for-the-gone", "floods-cold-nodes"):
            with self.subTest(mutant=mutant):
                self.assertTrue(any(self.finds(mutant, seed) for seed in MUTANT_SEEDS))

    def finds(self, mutant: str, seed: int) -> bool:
        _, found = asyncio.run(soak.run(soak.Options(seed, SECONDS, mutant)))
        return found.counts[MUTANTS[mutant][1]] > 0
