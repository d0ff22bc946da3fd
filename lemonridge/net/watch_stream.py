"""What the watches of an endpoint list share: an HTTP session and the backoff after a failure."""

from __future__ import annotations

import asyncio
import logging
from random import Random

import aiohttp

from lemonridge.core.counters import Counters
from lemonridge.net.http_client import plain_session

DOUBLINGS_MAX = 16  # keeps the exponent small; the longest pause is reached long before


def open_session() -> aiohttp.ClientSession:
    """A session for one source of the list."""
    return plain_session(aiohttp.TCPConnector(limit=0, happy_eyeballs_delay=None))


class Backoff:
    """Counts and logs the failures of one source, and pauses after each.

    The pause is doubled up to a limit and jittered, so that brokers which lost a source together do not
    return to it together. The counter is `NAME.failed`.
    """

    def __init__(
        self,
        name: str,
        log: logging.Logger,
        first_s: float,
        longest_s: float,
        random: Random,
        counters: Counters,
    ) -> None:
        self._name, self._log, self._first_s, self._longest_s = name, log, first_s, longest_s
        self._random, self._counters, self._failures = random, counters, 0

    def reset(self) -> None:
        """A call succeeded: the next failure pauses for the shortest time."""
        self._failures = 0

    async def wait_after(self, error: Exception) -> None:
        """Count and log a failure, and pause."""
        self._counters[f"{self._name}.failed"] += 1
        self._log.warning(f"{self._name} failed", extra={"error": f"{type(error).__name__}: {error}"})
        pause_s = min(self._longest_s, self._first_s * 2**self._failures)
        self._failures = min(self._failures + 1, DOUBLINGS_MAX)
        await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5))

    async def wait_before_first(self) -> None:
        """Pause before the first call, by the first pause at most."""
        await asyncio.sleep(self._first_s * self._random.random())
