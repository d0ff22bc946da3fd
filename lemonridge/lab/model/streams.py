"""Named, seeded random streams (common random numbers: Law, "Simulation Modeling and Analysis", 11.2).

Each kind of draw has its own stream, so that a change in one part of the model does not affect the draws of
others: the same clients send the same requests at the same times with every scheduler.
"""

from __future__ import annotations

import zlib

import numpy as np

BLOCK_SIZE = 4096


class Stream:
    """A random stream that draws in blocks, since the cost per call of numpy's generators dominates."""

    def __init__(self, seed: int, name: str) -> None:
        self.generator = np.random.Generator(
            np.random.PCG64(np.random.SeedSequence((seed, zlib.crc32(name.encode()))))
        )
        self._uniform: list[float] = []
        self._exponential: list[float] = []
        self._normal: list[float] = []

    def uniform(self) -> float:
        """Draws evenly from 0 to 1."""
        if not self._uniform:
            self._uniform = self.generator.random(BLOCK_SIZE).tolist()
        return self._uniform.pop()

    def between(self, low: float, high: float) -> float:
        """Draws evenly from `low` to `high`."""
        return low + (high - low) * self.uniform()

    def exponential(self) -> float:
        """Draws from the exponential distribution with mean 1."""
        if not self._exponential:
            self._exponential = self.generator.standard_exponential(BLOCK_SIZE).tolist()
        return self._exponential.pop()

    def normal(self) -> float:
        """Draws from the standard normal distribution."""
        if not self._normal:
            self._normal = self.generator.standard_normal(BLOCK_SIZE).tolist()
        return self._normal.pop()

    def below(self, count: int) -> int:
        """Draws an integer evenly from 0 to `count` - 1."""
        return int(self.uniform() * count)


class Streams:
    """The streams of one run, created by name on first use."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._streams: dict[str, Stream] = {}

    def __getitem__(self, name: str) -> Stream:
        if name not in self._streams:
            self._streams[name] = Stream(self._seed, name)
        return self._streams[name]
