"""The one clock of a broker: Unix time in microseconds, advanced by the monotonic clock.

The node list gives start times in Unix time, and the decisions need a clock that never steps back,
so Unix time is read once, at the start.
"""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Unix microseconds, and their place on the event loop's own clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._base_us = time.time_ns() // 1000 - int(loop.time() * 1e6)

    def now_us(self) -> int:
        return self._base_us + int(self._loop.time() * 1e6)

    def loop_time(self, at_us: int) -> float:
        """The time on the event loop's clock at which `at_us` comes."""
        return (at_us - self._base_us) / 1e6
