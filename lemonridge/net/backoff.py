"""The backoff after a failed call to a source of the endpoint list."""

from __future__ import annotations

import asyncio
import logging
from random import Random

from lemonridge.core.counters import Counters

JITTER = 0.5  # part of a pause by which it may be shorter or longer
DOUBLINGS_MAX = 16  # limits the exponent; the longest pause is reached long before


class Backoff:
    """Counts and logs the failures of one source, and pauses after each of them.

    The pause doubles up to a maximum, with jitter, so that brokers that lost a source at the same time do not
    reconnect at the same time. The counter is `NAME.failed`.

    Args:
        name: The name of the source, in the log and in the counter.
        log: Receives the failures.
        first_s: The first pause, in seconds.
        longest_s: The longest pause, in seconds.
        random: The random generator of the jitter.
        counters: The process's counters.
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
        """Resets the pause to the shortest after a successful call."""
        self._failures = 0

    async def wait_after(self, error: Exception, call_began_s: float | None = None) -> None:
        """Counts and logs a failure, and pauses.

        Args:
            error: The failure.
            call_began_s: When the failed call began (event loop's clock), if the pause counts from then; None
                if it counts from now.
        """
        self._counters[f"{self._name}.failed"] += 1
        self._log.warning(f"{self._name} failed", extra={"error": f"{type(error).__name__}: {error}"})
        pause_s = min(self._longest_s, self._first_s * 2**self._failures)
        self._failures = min(self._failures + 1, DOUBLINGS_MAX)
        elapsed_s = 0.0 if call_began_s is None else asyncio.get_running_loop().time() - call_began_s
        await asyncio.sleep(pause_s * self._random.uniform(1 - JITTER, 1 + JITTER) - elapsed_s)

    async def wait_before_first(self, spread_s: float) -> None:
        """Pauses before the first call, for a random time up to `spread_s` seconds."""
        await asyncio.sleep(spread_s * self._random.random())
