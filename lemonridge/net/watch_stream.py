"""What the watches of the node list share: a plain client, and the pause after a failure."""

from __future__ import annotations

import asyncio
import logging
from random import Random

import aiohttp

from lemonridge.core.counters import Counters
from lemonridge.net.sockets import session


def client() -> aiohttp.ClientSession:
    """A client for one source of the list."""
    return session(aiohttp.TCPConnector(limit=0, happy_eyeballs_delay=None))


class Backoff:
    """Counts and logs failures, and pauses after each: doubled up to a limit, and jittered, so that
    brokers which lost a source together do not return to it together.
    """

    def __init__(
        self, name: str, log: logging.Logger, first_s: float, top_s: float, random: Random, counters: Counters
    ) -> None:
        self._name, self._log, self._first_s, self._top_s = name, log, first_s, top_s
        self._random, self._counters, self._failed = random, counters, 0

    def worked(self) -> None:
        self._failed = 0

    async def failed(self, error: Exception) -> None:
        self._counters[f"{self._name}.failed"] += 1
        self._log.warning(f"{self._name} failed", extra={"error": f"{type(error).__name__}: {error}"})
        pause = min(self._top_s, self._first_s * 2**self._failed)
        self._failed = min(self._failed + 1, 16)
        await asyncio.sleep(pause * self._random.uniform(0.5, 1.5))

    async def spread(self) -> None:
        """Pause before the first call, by the first pause at most."""
        await asyncio.sleep(self._first_s * self._random.random())
