"""The clients' connections by state: how many there may be, how old they get, and which one is evicted."""

from __future__ import annotations

import asyncio
import itertools
from enum import IntEnum
from typing import Protocol

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.operate.lifecycle import Lifecycle

IDLE_MAX_S = 2.0  # a connection without an open request may be closed after that
IDLE_MAX_UNCROWDED_S = 10.0  # the same, while there are few connections
UNCROWDED_FRACTION = 1 / 8  # of the sockets: with no more clients there are few
EVICTION_FRACTION = 0.25  # of the sockets: past it a new connection evicts another
CLIENTS_MAX_FRACTION = 0.5  # of the sockets: past it a new connection is closed; the rest is for endpoints
CLOSE_GRACE_S = 0.5  # from the end of what is sent to the close: the client reads it and closes its side
FIRST_BYTES_GRACE_S = 0.1  # for a connection that was made just before the end to bring its request
UNREAD_RESPONSE_MAX_S = 5.0  # how long a client may leave its response unread
SWEEP_INTERVAL_S = 0.25
EVICTION_CANDIDATES = 8  # of a state that are looked at: a crowd must not cost a look at all of it


class ConnectionState(IntEnum):
    """What a connection does."""

    CLOSING = 0  # it has its last response, and is given a moment to read it
    NEW = 1  # it has sent nothing yet
    RECEIVING = 2  # its next request has begun
    IDLE = 3
    SERVING = 4  # its request is open


# In this order connections are evicted for a new one, once they are that old: who connects to send does so at
# once, and what has begun is about to be complete. A client may take its time for a head or a body only while
# there are few connections.
EVICTION_AGE_S = {
    ConnectionState.CLOSING: 0.0,
    ConnectionState.NEW: 0.005,
    ConnectionState.RECEIVING: 0.05,
    ConnectionState.IDLE: 0.5,
}


class TableEntry(Protocol):
    """A connection, as the table handles it; moments are on the loop's clock."""

    state: ConnectionState | None  # the table sets it; None: it has ended
    receive_by_s: float  # when the request that has begun has to be complete
    response_unread_since_s: float | None  # since when the client does not read what is sent; None: it does
    closing_since_s: float  # when its last response was handed to the system

    @property
    def has_unsent_data(self) -> bool:
        """Whether the system has not taken all that is written."""
        ...

    def input_is_empty(self) -> bool:
        """Whether nothing waits to be read."""
        ...

    def reject(self, status: int, reason: str) -> None:
        """Answer with an error and close."""
        ...

    def close(self) -> None:
        """Close in order."""
        ...

    def abort(self) -> None:
        """End at once."""
        ...


class ConnectionTable:
    """Every connection of a front, by state, the one longest in it first.

    Counters: `clients.connected`, `clients.evicted` and `clients.evicted.STATE` (for a new connection),
    `clients.expired` (past its time).
    """

    def __init__(self, clock: Clock, counters: Counters, lifecycle: Lifecycle) -> None:
        self.clock, self.counters, self.lifecycle = clock, counters, lifecycle
        self._loop = asyncio.get_running_loop()
        # Of each state, the connections with the moment at which they came to it.
        self._states: tuple[dict[TableEntry, float], ...] = tuple({} for _ in ConnectionState)
        self._sockets = self.body_bytes_max = 0  # until it is configured
        self.buffered_bytes = 0  # of requests that are not complete
        self.announced_bytes = 0  # of bodies that have begun, by the length that they announce
        self._timer = self._loop.call_at(self._loop.time() + SWEEP_INTERVAL_S, self._sweep)

    def configure(self, sockets: int, body_bytes_max: int) -> None:
        """Set the limits: sockets of the process, and bytes of requests that are not complete."""
        self._sockets, self.body_bytes_max = sockets, body_bytes_max

    def __len__(self) -> int:
        return sum(map(len, self._states))

    def move(self, connection: TableEntry, state: ConnectionState | None) -> None:
        """Record that a connection came to a state; None where it has ended."""
        if connection.state is not None:
            del self._states[connection.state][connection]
        connection.state = state
        if state is not None:
            self._states[state][connection] = self._loop.time()

    def admit(self, connection: TableEntry) -> None:
        """Add a new connection; if there are many, evict the one that can best be spared.

        This guards the descriptors: without them nothing is accepted and no endpoint is reached. The usual
        clients keep to a third of them, counting connections that others sent on once and left open, so room
        is made well before.
        """
        self.counters["clients.connected"] += 1
        self.move(connection, ConnectionState.NEW)
        if len(self) <= self._sockets * EVICTION_FRACTION:
            return
        now_s = self._loop.time()
        for state, age_s in EVICTION_AGE_S.items():
            for candidate, since_s in itertools.islice(self._states[state].items(), EVICTION_CANDIDATES):
                if since_s >= now_s - age_s:
                    break
                if candidate.input_is_empty() and not candidate.has_unsent_data:
                    self.counters["clients.evicted"] += 1
                    self.counters[f"clients.evicted.{state.name.lower()}"] += 1
                    if state is ConnectionState.RECEIVING:  # its last byte may be on its way: answer it
                        candidate.reject(503, "too many connections to wait for the rest of this request")
                    else:
                        candidate.abort()
                    return
        if len(self) > self._sockets * CLIENTS_MAX_FRACTION:
            self.counters["clients.evicted"] += 1
            connection.abort()

    @property
    def busy(self) -> bool:
        """Whether a request is open, or a response may still be on its way."""
        return bool(self._states[ConnectionState.SERVING] or self._states[ConnectionState.CLOSING])

    def on_lifecycle_changed(self) -> None:
        """Apply a change of the lifecycle's state at once."""
        self._timer.cancel()
        self._sweep()

    def close_waiting(self, patient: bool) -> bool:
        """Close the connections that have no open request and on which nothing waits to be read.

        Args:
            patient: whether a request that has begun may become complete, and a new connection send its first
                bytes.

        Returns:
            Whether some are left.
        """
        now_s, left = self._loop.time(), False
        for state in (ConnectionState.NEW, ConnectionState.RECEIVING, ConnectionState.IDLE):
            for connection, since_s in list(self._states[state].items()):
                is_sending = state is ConnectionState.RECEIVING or (
                    state is ConnectionState.NEW and since_s > now_s - FIRST_BYTES_GRACE_S
                )
                if (patient and is_sending) or not connection.input_is_empty():
                    left = True
                else:
                    connection.close()
        return left

    def _sweep(self) -> None:
        """Close what has waited for too long, and go on so."""
        now_s = self._loop.time()
        self._timer = self._loop.call_at(now_s + SWEEP_INTERVAL_S, self._sweep)
        if self.clock.now_us() >= self.lifecycle.close_idle_from_us:
            self.close_waiting(patient=True)
        idle_max_s = IDLE_MAX_UNCROWDED_S if len(self) <= self._sockets * UNCROWDED_FRACTION else IDLE_MAX_S
        self._close_late_requests(now_s)
        self._end_closing(now_s)
        self._close_unused(ConnectionState.NEW, now_s - IDLE_MAX_S)
        self._close_unused(ConnectionState.IDLE, now_s - idle_max_s)
        for connection in list(self._states[ConnectionState.SERVING]):
            unread_since_s = connection.response_unread_since_s
            if unread_since_s is not None and unread_since_s < now_s - UNREAD_RESPONSE_MAX_S:
                self.counters["clients.expired"] += 1
                connection.abort()

    def _close_late_requests(self, now_s: float) -> None:
        for connection in list(self._states[ConnectionState.RECEIVING]):
            is_late = connection.receive_by_s < now_s and connection.input_is_empty()
            if is_late or connection.receive_by_s < now_s - SWEEP_INTERVAL_S:
                self.counters["clients.expired"] += 1
                connection.close()

    def _end_closing(self, now_s: float) -> None:
        for connection, since_s in list(self._states[ConnectionState.CLOSING].items()):
            if since_s > now_s - CLOSE_GRACE_S:
                break
            if connection.has_unsent_data and connection.closing_since_s > now_s - UNREAD_RESPONSE_MAX_S:
                self.move(connection, ConnectionState.CLOSING)  # its client is slow: its grace begins anew
            else:
                connection.abort()

    def _close_unused(self, state: ConnectionState, before_s: float) -> None:
        for connection, since_s in list(self._states[state].items()):
            if since_s > before_s:
                break
            if connection.input_is_empty():  # else its next request crosses this close: it is served
                self.counters["clients.expired"] += 1
                connection.close()
