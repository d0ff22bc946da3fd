"""Serial execution of requests with the same ordering key, in order of arrival (WIRE, rule 6)."""

from __future__ import annotations

from collections import deque

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.timers import KeyQuarantineEnded


class KeyOrder:
    """Keeps the requests of each ordering key in order of arrival, and the keys that are in quarantine."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._requests_by_key: dict[int, deque[Request]] = {}
        self._quarantined_until_us: dict[int, int] = {}

    def add(self, request: Request) -> bool:
        """Adds an arriving request; returns whether it may be queued now."""
        if request.key is None:
            return True
        pending = self._requests_by_key.setdefault(request.key, deque())
        pending.append(request)
        return len(pending) == 1 and self._quarantined_until_us.get(request.key, 0) <= self._context.now_us

    def quarantine(self, key: int) -> None:
        """Delays the next request of a key after an attempt that may still be running at its endpoint."""
        until_us = self._context.now_us + self._context.settings.key_quarantine_us
        self._quarantined_until_us[key] = until_us
        self._context.set_timer(until_us, KeyQuarantineEnded(key))

    def end_quarantine(self, key: int) -> Request | None:
        """Ends the quarantine of a key, unless it was extended.

        Returns:
            The request that may be queued now, or None.
        """
        if self._quarantined_until_us.get(key, 0) > self._context.now_us:
            return None
        self._quarantined_until_us.pop(key, None)
        return self.next_ready(self._requests_by_key[key][0]) if key in self._requests_by_key else None

    def next_ready(self, request: Request) -> Request | None:
        """Returns the request with the same ordering key that may be queued now, or None.

        All earlier requests with the key must be closed and have no open attempt, and the key must not be in
        quarantine.
        """
        key = request.key
        if key is None:
            return None
        pending = self._requests_by_key.get(key)
        if pending is None:
            return None
        while pending and pending[0].done and pending[0].open_endpoint is None:
            pending.popleft()
        if not pending:
            del self._requests_by_key[key]
            return None
        first = pending[0]
        quarantined = self._quarantined_until_us.get(key, 0) > self._context.now_us
        return first if not first.queued and not first.attempts_sent and not quarantined else None
