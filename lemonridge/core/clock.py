"""The broker's clock: Unix time at the process start, advanced by the monotonic clock, in microseconds.

The scheduler needs a clock that never steps, so Unix time is read only once. The machine's wall clock may be
stepped before or after that; received Unix times are therefore converted with `wall_us` (see `start_times`).
"""

from __future__ import annotations

import asyncio
import time


class Clock:
    """A clock in microseconds since the Unix epoch that never steps.

    Args:
        loop: The event loop whose monotonic clock advances this clock.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._base_us = time.time_ns() // 1000 - int(loop.time() * 1e6)

    def now_us(self) -> int:
        """Returns the current time in microseconds."""
        return self._base_us + int(self._loop.time() * 1e6)

    @property
    def base_us(self) -> int:
        """This clock's time, in microseconds, at 0 of the machine's monotonic clock."""
        return self._base_us

    @staticmethod
    def wall_us() -> int:
        """Returns the machine's wall clock in Unix microseconds; it may be stepped at any time."""
        return time.time_ns() // 1000

    def loop_time(self, at_us: int) -> float:
        """Converts a time of this clock, in microseconds, to the event loop's clock, in seconds."""
        return (at_us - self._base_us) / 1e6
