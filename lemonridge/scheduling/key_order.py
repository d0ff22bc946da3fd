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
        self._rests: dict[int, int] = {}  # until when, after an attempt that may run on

    def arrive(self, request: Request) -> bool:
        """Line a request up; whether its turn has come."""
        if request.key is None:
            return True
        line = self._lines.setdefault(request.key, deque())
        line.append(request)
        return len(line) == 1 and self._rests.get(request.key, 0) <= self._context.now

    def rest(self, key: int) -> None:
        """An attempt may run on: the next of this key waits until it must be over."""
        self._rests[key] = self._context.now + self._context.settings.key_quarantine_us
        self._context.at(self._rests[key], TimerKind.KEY_REST, key)

    def rested(self, key: int) -> Request | None:
        """A rest may be over; the request whose turn has come."""
        if self._rests.get(key, 0) > self._context.now:
            return None
        self._rests.pop(key, None)
        return self.next(self._lines[key][0]) if key in self._lines else None

    def next(self, request: Request) -> Request | None:
        """The request of the same key whose turn has come: those before are over and the key has rested."""
        if (key := request.key) is None or (line := self._lines.get(key)) is None:
            return None
        while line and line[0].done and line[0].open is None:
            line.popleft()
        if not line:
            del self._lines[key]
        elif not line[0].queued and not line[0].sent and self._rests.get(key, 0) <= self._context.now:
            return line[0]
        return None
