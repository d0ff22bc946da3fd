"""Named, seeded streams of draws (common random numbers: Law, "Simulation Modeling and Analysis", 11.2).

Each kind of draw has a stream of its own, so that a change of the design leaves what others draw alone: the
same clients ask for the same at the same times, whatever decides.
"""

from __future__ import annotations

import zlib

import numpy as np

BLOCK_SIZE = 4096


class Stream:
    """Draws in blocks: numpy's generators cost more a call than a draw."""

    def __init__(self, seed: int, name: str) -> None:
        self.generator = np.random.Generator(
            np.random.PCG64(np.random.SeedSequence((seed, zlib.crc32(name.encode()))))
        )
        self._uniform: list[float] = []
        self._exponential: list[float] = []
        self._normal: list[float] = []

    def uniform(self) -> float:
        """From 0 to 1."""
        if not self._uniform:
            self._uniform = self.generator.random(BLOCK_SIZE).tolist()
        return self._uniform.pop()

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.uniform()

    def exponential(self) -> float:
        """With mean 1."""
        if not self._exponential:
            self._exponential = self.generator.standard_exponential(BLOCK_SIZE).tolist()
        return self._exponential.pop()

    def normal(self) -> float:
        if not self._normal:
            self._normal = self.generator.standard_normal(BLOCK_SIZE).tolist()
        return self._normal.pop()

    def below(self, count: int) -> int:
        return int(self.uniform() * count)


class Streams:
    """The streams of one run."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._streams: dict[str, Stream] = {}

    def __getitem__(self, name: str) -> Stream:
        if name not in self._streams:
            self._streams[name] = Stream(self._seed, name)
        return self._streams[name]
