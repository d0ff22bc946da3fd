"""Detects that this process did not run for a while (SIGSTOP, or a machine that had no time for it)."""

from __future__ import annotations

import asyncio
import logging

from lemonridge.core.counters import Counters

log = logging.getLogger(__name__)

HEARTBEAT_PERIOD_S = 0.1
STALL_MIN_S = 0.3  # a heartbeat so much too late is a stall; well within the time that a drain allows
CATCH_UP_S = 0.03  # decisions wait so long after a stall, while the loop reads what came meanwhile


class StallDetector:
    """Pauses decisions after a stall.

    A process that goes on after a stall believes what it knew before, while drains and quota changes that it
    has not read yet are in force. It does nothing until `start`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, counters: Counters) -> None:
        self._loop, self._counters = loop, counters
        self._last_heartbeat_s: float | None = None  # on the event loop's clock; None before `start`
        self._paused_until_s = 0.0

    def start(self) -> None:
        """Begins the heartbeat, which goes on for as long as the loop runs."""
        last_heartbeat_s, self._last_heartbeat_s = self._last_heartbeat_s, self._loop.time()
        if last_heartbeat_s is not None:
            self._check(last_heartbeat_s)
        self._loop.call_later(HEARTBEAT_PERIOD_S, self.start)

    def paused_until_s(self) -> float | None:
        """When decisions may go on after a stall, in seconds of the loop's clock; None if they may now."""
        if self._last_heartbeat_s is None:
            return None
        self._check(self._last_heartbeat_s)
        return self._paused_until_s if self._loop.time() < self._paused_until_s else None

    def _check(self, last_heartbeat_s: float) -> None:
        now_s = self._loop.time()
        silent_s = now_s - last_heartbeat_s
        if silent_s > HEARTBEAT_PERIOD_S + STALL_MIN_S and now_s > self._paused_until_s:
            self._paused_until_s, self._last_heartbeat_s = now_s + CATCH_UP_S, now_s
            self._counters["loop.stopped"] += 1
            log.warning("process stalled", extra={"stalled_ms": int(silent_s * 1000)})
