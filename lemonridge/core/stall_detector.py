"""Detects that this process was not running for a while (SIGSTOP, or an overloaded machine)."""

from __future__ import annotations

import asyncio
import logging

from lemonridge.core.counters import Counters

log = logging.getLogger(__name__)

HEARTBEAT_PERIOD_S = 0.1
STALL_MIN_S = 0.3  # delay of a heartbeat that counts as a stall; well below the time that a drain allows
CATCH_UP_S = 0.03  # pause of decisions after a stall, in which the event loop reads the pending input


class StallDetector:
    """Pauses decisions after a stall of the process.

    A process that resumes after a stall has outdated state: drains and quota changes may be in force that it
    has not read yet. The detector is inactive until `start` is called.

    Args:
        loop: The event loop to monitor.
        counters: Counts the stalls.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, counters: Counters) -> None:
        self._loop, self._counters = loop, counters
        self._last_heartbeat_s: float | None = None  # on the event loop's clock; None before `start`
        self._paused_until_s = 0.0

    def start(self) -> None:
        """Starts the heartbeat, which reschedules itself for as long as the event loop runs."""
        last_heartbeat_s, self._last_heartbeat_s = self._last_heartbeat_s, self._loop.time()
        if last_heartbeat_s is not None:
            self._check(last_heartbeat_s)
        self._loop.call_later(HEARTBEAT_PERIOD_S, self.start)

    def paused_until_s(self) -> float | None:
        """Returns the end of the pause in seconds of the loop's clock; None if decisions are not paused."""
        if self._last_heartbeat_s is None:
            return None
        self._check(self._last_heartbeat_s)
        return self._paused_until_s if self._loop.time() < self._paused_until_s else None

    def _check(self, last_heartbeat_s: float) -> None:
        """Starts a pause of decisions if the last heartbeat is too long ago."""
        now_s = self._loop.time()
        since_heartbeat_s = now_s - last_heartbeat_s
        if since_heartbeat_s > HEARTBEAT_PERIOD_S + STALL_MIN_S and now_s > self._paused_until_s:
            self._paused_until_s, self._last_heartbeat_s = now_s + CATCH_UP_S, now_s
            self._counters["loop.stopped"] += 1
            log.warning("process stalled", extra={"stalled_ms": int(since_heartbeat_s * 1000)})
