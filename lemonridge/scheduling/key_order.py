"""Requests of one ordering key: one at a time, in order of arrival (WIRE, rule 6)."""

from __future__ import annotations

from collections import deque

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.timers import TimerKind


class KeyOrder:
    """The line of each key that has requests, and the keys that rest."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._lines: dict[int, deque[Request]] = {}
        self._quarantined_until_us: dict[int, int] = {}  # until when, after an attempt that may run on

    def add(self, request: Request) -> bool:
        """Line a request up; whether its turn has come."""
        if request.key is None:
            return True
        line = self._lines.setdefault(request.key, deque())
        line.append(request)
        return len(line) == 1 and self._quarantined_until_us.get(request.key, 0) <= self._context.now_us

    def quarantine(self, key: int) -> None:
        """An attempt may run on: the next of this key waits until it must be over."""
        self._quarantined_until_us[key] = self._context.now_us + self._context.settings.key_quarantine_us
        self._context.set_timer(self._quarantined_until_us[key], TimerKind.KEY_REST, key)

    def end_quarantine(self, key: int) -> Request | None:
        """A rest may be over; the request whose turn has come."""
        if self._quarantined_until_us.get(key, 0) > self._context.now_us:
            return None
        self._quarantined_until_us.pop(key, None)
        return self.next_ready(self._lines[key][0]) if key in self._lines else None

    def next_ready(self, request: Request) -> Request | None:
        """The request of the same key whose turn has come: those before are over and the key has rested."""
        if (key := request.key) is None or (line := self._lines.get(key)) is None:
            return None
        while line and line[0].done and line[0].open_endpoint is None:
            line.popleft()
        if not line:
            del self._lines[key]
        elif (
            not line[0].queued
            and not line[0].attempts_sent
            and self._quarantined_until_us.get(key, 0) <= self._context.now_us
        ):
            return line[0]
        return None
