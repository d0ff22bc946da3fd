"""The broker's one clock: Unix time at the start, advanced by the monotonic clock, in microseconds.

The scheduler needs a clock that never steps, so Unix time is read once. The machine's wall clock may be
stepped before or later; times that come in Unix time are placed by `wall_us` (see `start_times`).
"""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Microseconds since the Unix epoch, and their place on the event loop's clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._base_us = time.time_ns() // 1000 - int(loop.time() * 1e6)

    def now_us(self) -> int:
        """The time now, in microseconds."""
        return self._base_us + int(self._loop.time() * 1e6)

    @property
    def base_us(self) -> int:
        """This clock's time when the monotonic clock, which all processes of a machine share, was 0."""
        return self._base_us

    @staticmethod
    def wall_us() -> int:
        """Unix time by the machine's wall clock now, in microseconds; it may be stepped at any time."""
        return time.time_ns() // 1000

    def loop_time(self, at_us: int) -> float:
        """The time of the event loop's clock, in seconds, at which this clock shows `at_us`."""
        return (at_us - self._base_us) / 1e6
