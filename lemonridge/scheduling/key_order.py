"""Requests with one ordering key: one at a time, in order of arrival (WIRE, rule 6)."""

from __future__ import annotations

from collections import deque

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.timers import KeyQuarantineEnded


class KeyOrder:
    """The requests of each ordering key in order of arrival, and the keys in quarantine."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._lines: dict[int, deque[Request]] = {}
        self._quarantined_until_us: dict[int, int] = {}

    def add(self, request: Request) -> bool:
        """Adds a request that has arrived; returns whether it may be queued now."""
        if request.key is None:
            return True
        line = self._lines.setdefault(request.key, deque())
        line.append(request)
        return len(line) == 1 and self._quarantined_until_us.get(request.key, 0) <= self._context.now_us

    def quarantine(self, key: int) -> None:
        """Holds the next request of a key back after an attempt that may still run at its endpoint."""
        until_us = self._context.now_us + self._context.settings.key_quarantine_us
        self._quarantined_until_us[key] = until_us
        self._context.set_timer(until_us, KeyQuarantineEnded(key))

    def end_quarantine(self, key: int) -> Request | None:
        """Ends a quarantine unless it was extended; returns the request that may be queued now."""
        if self._quarantined_until_us.get(key, 0) > self._context.now_us:
            return None
        self._quarantined_until_us.pop(key, None)
        return self.next_ready(self._lines[key][0]) if key in self._lines else None

    def next_ready(self, request: Request) -> Request | None:
        """Returns the request with the same key that may be queued now, if there is one.

        Those before it are over, with their attempts, and its key is not in quarantine.
        """
        key = request.key
        if key is None:
            return None
        line = self._lines.get(key)
        if line is None:
            return None
        while line and line[0].done and line[0].open_endpoint is None:
            line.popleft()
        if not line:
            del self._lines[key]
            return None
        first = line[0]
        quarantined = self._quarantined_until_us.get(key, 0) > self._context.now_us
        return first if not first.queued and not first.attempts_sent and not quarantined else None
