"""The client connections by state: their maximum number, their timeouts, and their eviction."""

from __future__ import annotations

import asyncio
from enum import Enum, IntEnum
from typing import Protocol

from lemonridge.config.platform import PlatformConfig
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.memory_budget import MemoryBudget
from lemonridge.net.http_limits import READ_MAX_BYTES, read_bytes
from lemonridge.net.parsing_queue import ParsedConnection, ParsingQueue
from lemonridge.net.peer_tally import PeerTally, Reason
from lemonridge.operate.lifecycle import Lifecycle

IDLE_MAX_S = 2.0  # idle timeout of a connection without an open request
IDLE_MAX_UNCROWDED_S = 10.0  # idle timeout while there are few connections
UNCROWDED_FRACTION = 1 / 8  # share of the sockets up to which connections count as few
EVICTION_FRACTION = 0.25  # share of the sockets above which a new connection evicts another
CLIENTS_MAX_FRACTION = 0.5  # share above which new connections get one rejection
TURNED_AWAY_MAX_FRACTION = 0.5625  # share above which new ones are closed; the rest is for endpoints
CLOSE_GRACE_S = 0.5  # from the end of the output to the close, for the client to read and close its side
FIRST_BYTES_GRACE_S = 0.1  # for the first request of a connection opened just before the stop
ROOM_WAIT_MAX_S = 0.1  # of new connections while no other one can be evicted
SILENT_NEW_AGE_S = 0.005  # of a new connection that is evicted where the next one would be turned away
SWEEP_INTERVAL_S = 0.25
EVICTION_CANDIDATES_MAX = 8  # connections examined per state, to bound the cost with many connections


TOO_MANY_CONNECTIONS = "too many connections"  # the reason that a client turned away receives


def client_read_bytes(platform: PlatformConfig) -> int:
    """Returns how many bytes may be read at once from clients, and from endpoints for them."""
    return read_bytes(platform.memory_bytes, int(platform.sockets * TURNED_AWAY_MAX_FRACTION) or 1)


class ConnectionState(IntEnum):
    """The state of a connection."""

    CLOSING = 0  # its last response is written, and the client has time to read it
    NEW = 1  # nothing has been received yet
    RECEIVING = 2  # its next request is partially received
    IDLE = 3  # between two requests
    SERVING = 4  # its request is open


class ExpiryCause(Enum):
    """Why a connection's time is over; the value is the last part of the counter's name."""

    IDLE = "idle"  # no request was sent
    INCOMPLETE = "incomplete"  # the rest of a request did not arrive
    UNREAD = "unread"  # a response is not read


# The states in the order of eviction, with the minimum time in the state, in seconds. A client that connects
# to send a request sends it after a round trip, and a partially received request is about to be complete.
# Only while there are few connections may a client take longer for a head or a body.
EVICTION_AGE_S = {
    ConnectionState.CLOSING: 0.01,
    ConnectionState.NEW: 0.1,
    ConnectionState.RECEIVING: 0.05,
    ConnectionState.IDLE: 0.5,
}


class TableEntry(ParsedConnection, Protocol):
    """A connection as seen by the table.

    Attributes:
        state: The state, set by the table; None once the connection has ended.
        turned_away: Whether its first request is rejected, as there are too many connections.
        writing_is_paused: Whether a response waits because the client reads it more slowly than it comes.
    """

    state: ConnectionState | None
    turned_away: bool
    writing_is_paused: bool

    @property
    def receive_by_s(self) -> float:
        """When the request being received must be complete, in seconds of the event loop's clock."""
        ...

    @property
    def peer(self) -> tuple[str, int]:
        """The client's address and port."""
        ...

    @property
    def has_unsent_data(self) -> bool:
        """Whether written data has not been accepted by the operating system yet."""
        ...

    def has_stopped_reading(self, now_s: float) -> bool:
        """Whether the client no longer reads the data that is written to it."""
        ...

    def input_is_empty(self) -> bool:
        """Whether there are no unread bytes, and none that wait to be parsed."""
        ...

    def reject(self, status: int, reason: str) -> None:
        """Answers with an error response and closes."""
        ...

    def close(self) -> None:
        """Closes without losing the last response."""
        ...

    def abort(self) -> None:
        """Resets the connection."""
        ...


def _may_be_evicted(connection: TableEntry, state: ConnectionState) -> bool:
    """Whether ending a connection loses neither a request nor a part of a response.

    The input of a closing connection is dropped, so it holds no request.
    """
    if connection.has_unsent_data:
        return False
    return state is ConnectionState.CLOSING or connection.input_is_empty()


class ConnectionTable:
    """All client connections of a front by state, ordered within a state by the time they entered it.

    Counters: `clients.connected`, `clients.evicted` and `clients.evicted.STATE` (closed in favour of a new
    connection), `clients.turned_away` (rejected or closed, as no other could be evicted), `clients.expired`
    and `clients.expired.CAUSE` (closed after a timeout).

    Args:
        clock: The broker's clock.
        counters: The process's counters.
        lifecycle: The drain, handover and stop of this process.

    Attributes:
        clock: The broker's clock.
        counters: The process's counters.
        lifecycle: The drain, handover and stop of this process.
        body_budget: Bounds the long bodies, by their announced lengths, from their heads until nothing needs
            them any more.
        parsing_queue: Shares the event loop's time among the connections.
        read_bytes: The maximum number of bytes per read of new connections.
        peer_tally: Reports to operators which clients are ended, delayed or rejected.
    """

    def __init__(self, clock: Clock, counters: Counters, lifecycle: Lifecycle) -> None:
        self.clock, self.counters, self.lifecycle = clock, counters, lifecycle
        self._loop = asyncio.get_running_loop()
        # For each state, its connections and the time at which each entered the state.
        self._states: tuple[dict[TableEntry, float], ...] = tuple({} for _ in ConnectionState)
        self._sockets_max = 0  # set by `configure`
        self.body_budget = MemoryBudget()
        self.parsing_queue = ParsingQueue(counters)
        self.peer_tally = PeerTally()
        self.read_bytes = READ_MAX_BYTES
        self._no_room_since_s: float | None = None  # since when new connections wait in the backlog
        self._skipped_candidates = [0] * len(ConnectionState)  # of each state, which could not be evicted
        self._timer = self._loop.call_at(self._loop.time() + SWEEP_INTERVAL_S, self._sweep)

    def configure(self, sockets: int, body_bytes_max: int, read_bytes: int = READ_MAX_BYTES) -> None:
        """Sets the limits.

        Args:
            sockets: The maximum number of sockets of the process.
            body_bytes_max: The maximum number of bytes of long bodies in the process.
            read_bytes: The maximum number of bytes per read of later connections.
        """
        self._sockets_max, self.body_budget.max_bytes = sockets, body_bytes_max
        self.read_bytes = read_bytes

    def __len__(self) -> int:
        """Returns the number of connections in any state."""
        return sum(map(len, self._states))

    def set_state(self, connection: TableEntry, state: ConnectionState | None) -> None:
        """Records a connection's change of state; None if it has ended."""
        if connection.state is not None:
            del self._states[connection.state][connection]
        connection.state = state
        if state is not None:
            self._states[state][connection] = self._loop.time()

    def has_room(self) -> bool:
        """Returns whether another connection may be accepted.

        At the limit, new connections wait in the backlog of the listening socket until one can be evicted, or
        until `ROOM_WAIT_MAX_S` have passed; then they are turned away.
        """
        if len(self) < self._sockets_max * TURNED_AWAY_MAX_FRACTION or self._evict_one():
            self._no_room_since_s = None
            return True
        if self._no_room_since_s is None:
            self._no_room_since_s = self._loop.time()
        return self._loop.time() >= self._no_room_since_s + ROOM_WAIT_MAX_S

    def admit(self, connection: TableEntry) -> None:
        """Adds a new connection, and evicts another one if there are many.

        The limit protects the file descriptors: without a free one, no client is accepted and no endpoint is
        reached. In normal operation clients use a third of them at most, including connections that were used
        once and left open, so eviction starts well before the limit.
        """
        self.counters["clients.connected"] += 1
        self.set_state(connection, ConnectionState.NEW)
        if len(self) <= self._sockets_max * EVICTION_FRACTION:
            return
        if not self._evict_one() and self._is_full:
            self._turn_away(connection)

    @property
    def _is_full(self) -> bool:
        """Whether there are so many connections that new ones are turned away."""
        return len(self) > self._sockets_max * CLIENTS_MAX_FRACTION

    def _evict_one(self) -> bool:
        """Ends a connection without a request in it; returns whether there was one.

        The request of a new connection may be in transit, so only a full table asks for one within
        `SILENT_NEW_AGE_S`: below that there is room to wait for it.
        """
        if any(self._evict_of_state(state, age_s) for state, age_s in EVICTION_AGE_S.items()):
            return True
        return self._is_full and self._evict_of_state(ConnectionState.NEW, SILENT_NEW_AGE_S)

    def _evict_of_state(self, state: ConnectionState, eviction_age_s: float) -> bool:
        """Ends one of the connections that have been in a state for a time; returns whether there was one."""
        for candidate in self._eviction_candidates(state, self._loop.time() - eviction_age_s):
            if _may_be_evicted(candidate, state):
                self._evict(candidate, state)
                self._skipped_candidates[state] = 0
                return True
            self._skipped_candidates[state] += 1
        return False

    def _eviction_candidates(self, state: ConnectionState, entered_before_s: float) -> list[TableEntry]:
        """Returns the next connections to examine of those that entered a state before a time, oldest first.

        Connections that could not be evicted are skipped, so that they do not prevent the eviction of others.
        """
        entries = self._states[state].items()
        old_enough = [connection for connection, since_s in entries if since_s < entered_before_s]
        if not old_enough:
            return []
        first = self._skipped_candidates[state] % len(old_enough)
        return old_enough[first : first + EVICTION_CANDIDATES_MAX]

    def _evict(self, candidate: TableEntry, state: ConnectionState) -> None:
        """Ends a connection in favour of a new one; after this, it is closing or has left the table."""
        self.counters["clients.evicted"] += 1
        self.counters[f"clients.evicted.{state.name.lower()}"] += 1
        self.peer_tally.note(Reason.EVICTED, candidate.peer)
        if state is ConnectionState.RECEIVING:  # its last byte may be in transit: send a response
            candidate.reject(503, "too many connections to wait for the rest of this request")
        else:
            candidate.abort()

    def _turn_away(self, connection: TableEntry) -> None:
        """Has the first request of a new connection rejected, as no other connection can be evicted.

        Its request may be in transit, so the connection is reset at once only if there are too many of them.
        """
        self.counters["clients.turned_away"] += 1
        self.peer_tally.note(Reason.TURNED_AWAY, connection.peer)
        if len(self) <= self._sockets_max * TURNED_AWAY_MAX_FRACTION:
            connection.turned_away = True
        elif connection.input_is_empty():
            self.counters["clients.evicted"] += 1
            connection.abort()
        else:
            connection.reject(503, TOO_MANY_CONNECTIONS)

    @property
    def busy(self) -> bool:
        """Whether a request is open, or a response may still be in transit.

        A connection is idle while the rest of its last response, which fits the buffer, waits for the client.
        """
        if self._states[ConnectionState.SERVING] or self._states[ConnectionState.CLOSING]:
            return True
        return any(connection.has_unsent_data for state in self._states for connection in state)

    def on_lifecycle_changed(self) -> None:
        """Applies a change of the lifecycle's state immediately."""
        self._timer.cancel()
        self._sweep()

    def close_inactive(self, allow_incomplete: bool) -> bool:
        """Closes the connections that have neither an open request nor unread input.

        Args:
            allow_incomplete: Whether a partially received request may still become complete, and a new
                connection may still send its first bytes.

        Returns:
            Whether some of these connections remain open.
        """
        now_s, some_remain = self._loop.time(), False
        for state in (ConnectionState.NEW, ConnectionState.RECEIVING, ConnectionState.IDLE):
            for connection, since_s in list(self._states[state].items()):
                expects_input = state is ConnectionState.RECEIVING or (
                    state is ConnectionState.NEW and since_s > now_s - FIRST_BYTES_GRACE_S
                )
                if (allow_incomplete and expects_input) or not connection.input_is_empty():
                    some_remain = True
                else:
                    connection.close()
        return some_remain

    def _sweep(self) -> None:
        """Closes the connections whose time is over, and schedules the next sweep."""
        now_s = self._loop.time()
        self._timer = self._loop.call_at(now_s + SWEEP_INTERVAL_S, self._sweep)
        self.peer_tally.log_period(now_s)
        if self.clock.now_us() >= self.lifecycle.close_idle_from_us:
            self.close_inactive(allow_incomplete=True)
        idle_max_s = (
            IDLE_MAX_UNCROWDED_S if len(self) <= self._sockets_max * UNCROWDED_FRACTION else IDLE_MAX_S
        )
        self._close_overdue_requests(now_s)
        self._abort_closing(now_s)
        self._close_expired(ConnectionState.NEW, now_s - IDLE_MAX_S)
        self._close_expired(ConnectionState.IDLE, now_s - idle_max_s)
        self._abort_unread_responses(now_s)

    def _note_expired(self, connection: TableEntry, cause: ExpiryCause) -> None:
        """Counts a connection that is ended because its time is over."""
        self.counters["clients.expired"] += 1
        self.counters[f"clients.expired.{cause.value}"] += 1
        self.peer_tally.note(Reason.IDLE if cause is ExpiryCause.IDLE else Reason.TOO_SLOW, connection.peer)

    def _abort_unread_responses(self, now_s: float) -> None:
        """Aborts the connections whose client has stopped reading in the middle of a response."""
        for connection in list(self._states[ConnectionState.SERVING]):
            if connection.writing_is_paused and connection.has_stopped_reading(now_s):
                self._note_expired(connection, ExpiryCause.UNREAD)
                connection.abort()

    def _close_overdue_requests(self, now_s: float) -> None:
        """Closes the connections whose request is not received within its time."""
        for connection in list(self._states[ConnectionState.RECEIVING]):
            if connection.waits_for_parsing:
                continue
            is_overdue = connection.receive_by_s < now_s and connection.input_is_empty()
            if is_overdue or connection.receive_by_s < now_s - SWEEP_INTERVAL_S:
                self._note_expired(connection, ExpiryCause.INCOMPLETE)
                connection.close()

    def _abort_closing(self, now_s: float) -> None:
        """Aborts closing connections after their grace time, which restarts while a client still reads."""
        for connection, since_s in list(self._states[ConnectionState.CLOSING].items()):
            if since_s > now_s - CLOSE_GRACE_S:
                break
            if connection.has_unsent_data and not connection.has_stopped_reading(now_s):
                self.set_state(connection, ConnectionState.CLOSING)  # a slow client: restart its grace time
            else:
                connection.abort()

    def _close_expired(self, state: ConnectionState, expired_before_s: float) -> None:
        """Closes the connections that entered a state before a time, unless they have unread input."""
        for connection, since_s in list(self._states[state].items()):
            if since_s > expired_before_s:
                break
            if connection.input_is_empty():  # otherwise a request has just arrived and is served
                self._note_expired(connection, ExpiryCause.IDLE)
                connection.close()
