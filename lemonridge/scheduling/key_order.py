"""Serial execution of requests with the same ordering key, in order of arrival (WIRE, rule 6).

While a process of this host is replaced, both processes receive requests. The predecessor then keeps the
order of both: the successor asks it for a turn for each request of a key, runs the request when the turn is
granted, and ends the turn when the request is over.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lemonridge.scheduling.actions import EndTurn, GrantTurn, RequestTurn
from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.timers import KeyQuarantineEnded


@dataclass(slots=True, eq=False)
class _Entry:
    """A request of a key, or a turn of the successor.

    Attributes:
        key: The ordering key.
        number: The number under which the predecessor knows the entry.
        request: The request; None for a turn of the successor.
        successor_turn: The number under which the successor knows its turn.
        asks_predecessor: Whether the predecessor was asked for a turn.
        granted: Whether the entry needs no turn of the predecessor, or has it.
        passed_on: Whether the successor has been granted its turn.
        ended: Whether the successor has ended its turn.
    """

    key: int
    number: int
    request: Request | None = None
    successor_turn: int = 0
    asks_predecessor: bool = False
    granted: bool = True
    passed_on: bool = False
    ended: bool = False

    @property
    def over(self) -> bool:
        """Whether the entry is over and has no open attempt."""
        if self.request is None:
            return self.ended
        return self.request.done and self.request.open_endpoint is None


class KeyOrder:
    """Keeps the requests of each ordering key in order of arrival, and the keys that are in quarantine."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._entries_by_key: dict[int, deque[_Entry]] = {}
        self._quarantined_until_us: dict[int, int] = {}
        self._asks_predecessor = False
        self._entries_by_number: dict[int, _Entry] = {}  # for which the predecessor was asked
        self._successor_turns: dict[int, _Entry] = {}
        self._all_quarantined_until_us = 0
        self._last_number = 0

    def is_idle(self) -> bool:
        """Returns whether no request, turn or quarantine is left."""
        return not (
            self._entries_by_key
            or self._quarantined_until_us
            or self._entries_by_number
            or self._successor_turns
        )

    def add(self, request: Request) -> bool:
        """Adds an arriving request; returns whether it may be queued now."""
        if request.key is None:
            return True
        self._add_entry(request.key, request)
        return self._next_ready_of(request.key) is request

    def quarantine(self, key: int) -> None:
        """Delays the next request of a key after an attempt that may still be running at its endpoint."""
        self._quarantine_until(key, self._context.now_us + self._context.settings.key_quarantine_us)

    def end_quarantine(self, key: int) -> Request | None:
        """Ends the quarantine of a key, unless it was extended.

        Returns:
            The request that may be queued now, or None.
        """
        if self._is_quarantined(key):
            return None
        self._quarantined_until_us.pop(key, None)
        return self._next_ready_of(key)

    def next_ready(self, request: Request) -> Request | None:
        """Returns the request with the same ordering key that may be queued now, or None.

        All earlier requests with the key must be closed and have no open attempt, and the key must not be in
        quarantine.
        """
        return None if request.key is None else self._next_ready_of(request.key)

    # This process is the successor

    def ask_predecessor(self) -> None:
        """Asks the predecessor for a turn for each request from now on."""
        self._asks_predecessor = True

    def grant(self, number: int) -> Request | None:
        """Takes note that the predecessor has granted a turn.

        Returns:
            The request that may be queued now, or None.
        """
        entry = self._entries_by_number.get(number)
        if entry is None:  # it has ended meanwhile
            return None
        entry.granted = True
        return self._next_ready_of(entry.key)

    def stop_asking(self, may_still_run: bool) -> list[Request]:
        """Keeps the order alone, because the predecessor is gone.

        Args:
            may_still_run: Whether attempts of the predecessor may still run at endpoints. All keys are then
                in quarantine. A key whose first turn was not granted is in any case, as it may have been in
                quarantine there.

        Returns:
            The requests that may be queued now.
        """
        self._asks_predecessor = False
        if may_still_run:
            now_us = self._context.now_us
            self._all_quarantined_until_us = now_us + self._context.settings.key_quarantine_us
        keys = dict.fromkeys(entry.key for entry in self._entries_by_number.values())
        for key in keys:
            if not self._entries_by_key[key][0].granted:
                self.quarantine(key)
        for entry in self._entries_by_number.values():
            entry.granted, entry.asks_predecessor = True, False
        self._entries_by_number.clear()
        return [request for key in keys if (request := self._next_ready_of(key)) is not None]

    # This process is the predecessor

    def add_successor_turn(self, key: int, turn: int) -> None:
        """Adds a turn that the successor has asked for."""
        if turn in self._successor_turns:
            return
        entry = self._add_entry(key, None)
        entry.successor_turn = turn
        self._successor_turns[turn] = entry
        self._next_ready_of(key)

    def end_successor_turn(self, turn: int) -> Request | None:
        """Ends a turn of the successor; returns the request that may be queued now, or None."""
        entry = self._successor_turns.pop(turn, None)
        if entry is None:
            return None
        entry.ended = True
        return self._next_ready_of(entry.key)

    def drop_successor_turns(self) -> list[Request]:
        """Ends all turns of the successor, which is gone; what it has sent may still run.

        Returns:
            The requests that may be queued now.
        """
        entries = list(self._successor_turns.values())
        self._successor_turns.clear()
        for entry in entries:
            entry.ended = True
            if entry.passed_on:
                self.quarantine(entry.key)
        keys = dict.fromkeys(entry.key for entry in entries)
        return [request for key in keys if (request := self._next_ready_of(key)) is not None]

    # Entries

    def _add_entry(self, key: int, request: Request | None) -> _Entry:
        """Adds an entry behind those of its key, and asks the predecessor for its turn if there is one."""
        self._last_number += 1
        entry = _Entry(key, self._last_number, request)
        if self._asks_predecessor:
            entry.asks_predecessor, entry.granted = True, False
            self._entries_by_number[entry.number] = entry
            self._context.actions.append(RequestTurn(key, entry.number))
        self._entries_by_key.setdefault(key, deque()).append(entry)
        if self._all_quarantined_until_us > self._context.now_us and key not in self._quarantined_until_us:
            self._quarantine_until(key, self._all_quarantined_until_us)
        return entry

    def _quarantine_until(self, key: int, until_us: int) -> None:
        self._quarantined_until_us[key] = until_us
        self._context.set_timer(until_us, KeyQuarantineEnded(key))

    def _is_quarantined(self, key: int) -> bool:
        return self._quarantined_until_us.get(key, 0) > self._context.now_us

    def _next_ready_of(self, key: int) -> Request | None:
        """Removes the entries that are over, and passes the turn on to the first one that is left.

        Returns:
            The request that may be queued now; None if there is none, or if it has been queued.
        """
        entries = self._entries_by_key.get(key)
        if entries is None or self._is_quarantined(key):
            return None
        while entries and entries[0].over:
            self._remove(entries.popleft())
        if not entries:
            del self._entries_by_key[key]
            return None
        first = entries[0]
        if not first.granted:
            return None
        if first.request is not None:
            return None if first.request.queued or first.request.attempts_sent else first.request
        if not first.passed_on:
            first.passed_on = True
            self._context.actions.append(GrantTurn(first.successor_turn))
        return None

    def _remove(self, entry: _Entry) -> None:
        """Ends the turn of an entry that is over at the predecessor."""
        if entry.asks_predecessor:
            self._entries_by_number.pop(entry.number, None)
            self._context.actions.append(EndTurn(entry.number))
