"""The clients' connections: their bytes, their number and their age.

aiohttp's handler stands behind each connection and is given whole requests only, one at a time. A client
that sends nothing, or what cannot be read, costs no handler, no parser and no task.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from enum import IntEnum
from http import HTTPStatus

from aiohttp import web

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.net import http_headers
from lemonridge.net.sockets import LONG_MAX, has_no_unread_data, peer_has_closed
from lemonridge.operate.lifecycle import Lifecycle, Phase

WAIT_S = 2.0  # a connection with no open request may be closed after that
HEAD_S = 2.3  # a client may take 2 s for a head; one that is owed an error has it, or the end, within 3 s
BODY_S = 1.0  # and for a body, beyond what it takes at the least rate
BODY_RATE = 64_000  # bytes a second
KEEP_S = 10.0  # an idle one is kept so long while there is room
ROOMY = 1 / 8  # of the sockets: with no more clients than that there is room
TIGHT = 0.25  # of the sockets: past it a new one takes the place of one that can be spared
SHARE = 0.5  # of the sockets: more are not held; the rest is for the nodes
LINGER_S = 0.5  # from the end of what is sent to a client to the close: it reads that, and ends its side
SPEAK_S = 0.1  # for a connection that came just before the end to bring its request
UNTAKEN_S = 5.0  # how long a client may leave its answer unread
SWEEP_S = 0.25
LOOKED_AT = 8  # of a state, for one that can be spared: a crowd must not cost a look at all of it
SHORT = 16 * 1024  # a body that is not counted against the long ones
AHEAD = 16 * 1024  # bytes behind an open request, before they are left in the socket
READ = 32 * 1024  # bytes that are read at once, and so the most beyond that: asyncio would read 256 KiB
LOOK_S = 0.1  # how often it is looked for the end of a connection that is not read meanwhile


class State(IntEnum):
    """What a connection does."""

    LEAVING = 0  # it has its last answer, and is given a moment to read it
    FRESH = 1  # it has never asked
    PARTIAL = 2  # its next request has begun
    IDLE = 3
    BUSY = 4  # its request is open


# In this order connections make room for a new one, if they have been there for so long: who connects to
# ask does so at once, and what has begun is about to be whole. A client may take its time for a head or a
# body only while there is room.
EVICTION_AGE_S = {State.LEAVING: 0.0, State.FRESH: 0.005, State.PARTIAL: 0.05, State.IDLE: 0.5}


class ConnectionTable:
    """Every connection of a front, by state, the longest there first."""

    def __init__(self, clock: Clock, counters: Counters, lifecycle: Lifecycle) -> None:
        self.clock, self.counters, self.lifecycle = clock, counters, lifecycle
        self._loop = asyncio.get_running_loop()
        self._states: tuple[dict[Connection, float], ...] = tuple({} for _ in State)
        self._sockets = self.buffer_max = 0  # until it is configured
        self.buffered = 0
        self.promised = 0  # bytes of bodies that have begun, by what they say of their length
        self._timer = self._loop.call_at(self._loop.time() + SWEEP_S, self._sweep)

    def configure(self, sockets: int, buffer_max: int) -> None:
        """How many sockets the program may hold, and how many bytes of requests that are not whole."""
        self._sockets, self.buffer_max = sockets, buffer_max

    def __len__(self) -> int:
        return sum(map(len, self._states))

    def move(self, connection: Connection, state: State | None) -> None:
        """A connection has come to a state; None where it has ended."""
        if connection.state is not None:
            del self._states[connection.state][connection]
        connection.state = state
        if state is not None:
            self._states[state][connection] = self._loop.time()

    def admit(self, connection: Connection) -> None:
        """Take in a new connection, in place of the one that can best be spared.

        Guards the descriptors: without them nothing is accepted and no node is reached. The usual clients
        keep to a third of them, counting connections that others asked on once and left open, so room is
        made well before.
        """
        self.counters["clients.connected"] += 1
        self.move(connection, State.FRESH)
        if len(self) <= self._sockets * TIGHT:
            return
        now = self._loop.time()
        for state, age in EVICTION_AGE_S.items():
            for longest, since in itertools.islice(self._states[state].items(), LOOKED_AT):
                if since >= now - age:
                    break
                if longest.has_no_unread_data() and not longest.unsent:
                    self.counters["clients.evicted"] += 1
                    self.counters[f"clients.evicted.{state.name.lower()}"] += 1
                    if state is State.PARTIAL:  # its last byte may be on its way: it is owed an answer
                        longest.refuse(503, "too many connections to wait for the rest of this request")
                    else:
                        longest.abort()
                    return
        if len(self) > self._sockets * SHARE:
            self.counters["clients.evicted"] += 1
            connection.abort()

    @property
    def busy(self) -> bool:
        """Whether a request is open, or an answer may still be on its way."""
        return bool(self._states[State.BUSY] or self._states[State.LEAVING])

    def changed(self) -> None:
        """The lifecycle's state has changed: look again at once when connections are to be closed."""
        self._timer.cancel()
        self._sweep()

    def close_waiting(self, patient: bool) -> bool:
        """End the connections that have no open request and on which nothing waits to be read; whether some
        are left. To be `patient` lets what has begun become whole, and who has just come speak.
        """
        now, left = self._loop.time(), False
        for state in (State.FRESH, State.PARTIAL, State.IDLE):
            for connection, since in list(self._states[state].items()):
                speaks = state is State.PARTIAL or (state is State.FRESH and since > now - SPEAK_S)
                if (patient and speaks) or not connection.has_no_unread_data():
                    left = True
                else:
                    connection.close()
        return left

    def _sweep(self) -> None:
        """End what has waited for too long."""
        now = self._loop.time()
        self._timer = self._loop.call_at(now + SWEEP_S, self._sweep)
        if self.clock.now_us() >= self.lifecycle.close_idle_from_us:
            self.close_waiting(patient=True)
        keep = KEEP_S if len(self) <= self._sockets * ROOMY else WAIT_S
        for connection in list(self._states[State.PARTIAL]):
            spent = connection.patience_at < now and connection.has_no_unread_data()
            if spent or connection.patience_at < now - SWEEP_S:
                self.counters["clients.expired"] += 1
                connection.close()
        for state, limit in ((State.LEAVING, LINGER_S), (State.FRESH, WAIT_S), (State.IDLE, keep)):
            for connection, since in list(self._states[state].items()):
                if since > now - limit:
                    break
                if state is State.LEAVING and connection.unsent and connection.left_at > now - UNTAKEN_S:
                    self.move(connection, State.LEAVING)  # its client is slow: it has its moment behind that
                elif state is State.LEAVING:
                    connection.abort()
                elif connection.has_no_unread_data():  # else its next request crosses this end: it is served
                    self.counters["clients.expired"] += 1
                    connection.close()
        for connection in list(self._states[State.BUSY]):
            if connection.stuck_at is not None and connection.stuck_at < now - UNTAKEN_S:
                self.counters["clients.expired"] += 1
                connection.abort()


class ClosingTransport(asyncio.Transport):
    """A connection's transport as aiohttp's handler has it: it ends as the connection says."""

    def __init__(self, connection: Connection, transport: asyncio.Transport) -> None:
        super().__init__()
        self._connection, self._transport = connection, transport
        self.write, self.writelines = transport.write, transport.writelines  # type: ignore[method-assign]
        self.is_closing = transport.is_closing  # type: ignore[method-assign]

    def get_extra_info(self, name: str, default: object = None) -> object:
        return self._transport.get_extra_info(name, default)

    def pause_reading(self) -> None:
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._transport.resume_reading()

    def abort(self) -> None:
        self._connection.abort()

    def close(self) -> None:
        self._connection.close()


class Connection(asyncio.Protocol):
    """One client's connection, between its socket and aiohttp's handler."""

    def __init__(
        self, table: ConnectionTable, server: web.Server, by_handler: dict[object, Connection]
    ) -> None:
        self._table, self._server, self._by_handler = table, server, by_handler
        self._handler: web.RequestHandler | None = None
        self._data = bytearray()
        self._searched = 0  # of the data, for the end of a head
        self._head: http_headers.Head | None = None  # of the request that has begun, once it is there
        self._chunks: http_headers.Chunks | None = None  # where its body comes in chunks
        self._body = bytearray()
        self._promised = 0  # bytes of its body
        self.body = b""  # of the open request
        self.patience_at = 0.0  # until when the request that has begun may take, on the loop's clock
        self._over = self._paused = self._ending = False
        self.state: State | None = None  # the table keeps it
        # It came when the program was to end: it is not kept.
        self.late = table.lifecycle.phase is Phase.STOPPING
        self.arrived_us = 0  # when the last byte of the open request came
        self._received = 0  # bytes so far
        # How many bytes had come when: a request that waits behind another has its time from its last byte.
        self._arrivals: deque[tuple[int, int]] = deque()
        self._paused_us = 0  # since when what comes next may have waited in the system
        self.stuck_at: float | None = None  # since when the client has not taken what is written
        self.left_at = 0.0  # when its last answer was given up to the system, on the loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.max_size = READ  # type: ignore[attr-defined]  # of asyncio's own for sockets
        self._transport = transport
        self._table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._over = True
        self._table.buffered -= len(self._data) + len(self._body)
        self._table.promised -= self._promised
        self._table.move(self, None)
        if self._handler is not None:
            self._by_handler.pop(self._handler, None)
            self._handler.connection_lost(exc)

    def pause_writing(self) -> None:
        self.stuck_at = asyncio.get_running_loop().time()
        if self._handler is not None:
            self._handler.pause_writing()

    def resume_writing(self) -> None:
        self.stuck_at = None
        if self._handler is not None:
            self._handler.resume_writing()

    def data_received(self, data: bytes) -> None:
        if self._over:
            return  # it is dropped
        if not self._data and self.state in (State.IDLE, State.FRESH):
            self._begin()
        self._received += len(data)
        self._arrivals.append((self._received, self._paused_us or self._table.clock.now_us()))
        self._paused_us = 0
        self._data += data
        self._table.buffered += len(data)
        if self.state is not State.BUSY:
            self._next()
        elif len(self._data) > AHEAD and not self._paused:
            self._paused, self._paused_us = True, self._table.clock.now_us()
            self._transport.pause_reading()
            self._look()

    def _look(self) -> None:
        """See the end of a connection that is not read: the loop would tell of it behind all that waits there
        only, and until then the request of a client that has left would be sent on.
        """
        if self._over or not self._paused or self._transport.is_closing():
            return
        if peer_has_closed(self._transport):
            self._transport.abort()
        else:
            asyncio.get_running_loop().call_later(LOOK_S, self._look)

    def answered(self, keep: bool) -> None:
        """The answer to the open request is written, or can't be."""
        if self._over or not keep:
            self._over = True
            return
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        self._table.promised -= self._promised
        self.body, self._promised = b"", 0
        if self._data:
            self._begin()
            asyncio.get_running_loop().call_soon(self._next)
        else:
            self._table.move(self, State.IDLE)

    def _begin(self) -> None:
        """The next request begins."""
        self.patience_at = asyncio.get_running_loop().time() + HEAD_S
        self._table.move(self, State.PARTIAL)

    def refuse(self, status: int, text: str) -> None:
        """Answer what must not go further, and end the connection: where its next request begins is not
        known. It is not read any more, and closed a moment later: at once, TCP would take the answer back
        from a client that still sends.
        """
        self._table.counters["requests.bad"] += 1
        body = f"{text}\n".encode()
        head = f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Length: {len(body)}\r\n"
        self._transport.write(head.encode() + b"Connection: close\r\n\r\n" + body)
        self._over = self._ending = True
        self._table.buffered -= len(self._data) + len(self._body)
        self._data, self._body = bytearray(), bytearray()
        self.left_at = asyncio.get_running_loop().time()
        if status != HTTPStatus.SERVICE_UNAVAILABLE:  # who may come back is read from, to have its answer
            self._transport.pause_reading()
        self._transport.write_eof()
        self._table.move(self, State.LEAVING)

    def has_no_unread_data(self) -> bool:
        """Whether nothing waits to be read; to end the connection then loses no request unread."""
        return self._transport.is_closing() or has_no_unread_data(self._transport)

    def abandoned(self) -> bool:
        """Whether the client has ended its side, also where that lies behind what is not read yet."""
        return peer_has_closed(self._transport)

    @property
    def unsent(self) -> bool:
        """Whether the system has not taken all that is written: to abort the connection now would cut an
        answer short.
        """
        return self._transport.get_write_buffer_size() > 0

    def close(self) -> None:
        """Take nothing more, end what is sent, and close once the client has ended its side too: a close over
        bytes that are not read resets the connection, and the last answer may go with it (RFC 9112, 9.6).
        """
        self._over = True
        if self._ending or self._transport.is_closing():
            return
        self._ending, self.left_at = True, asyncio.get_running_loop().time()
        if self._paused:
            self._paused = False
            self._transport.resume_reading()  # to be dropped
        self._table.move(self, State.LEAVING)
        self._transport.write_eof()

    def abort(self) -> None:
        """It counts no more, though the loop tells of its end a turn later only."""
        self._over = True
        self._table.move(self, None)
        self._transport.abort()

    def _next(self) -> None:
        """Hand over the next request, once it is whole."""
        if self._over or self.state is State.BUSY:
            return
        try:
            if (self._head is None and not self._take_head()) or not self._take_body():
                return
        except http_headers.BadMessageError as error:
            self.refuse(error.status, str(error))
            return
        assert self._head is not None
        message = self._head.bare()
        self.body, self.arrived_us = bytes(self._body), self._arrived()
        self._table.buffered -= len(self._body)
        self._body, self._head, self._chunks, self._searched = bytearray(), None, None, 0
        if self._handler is None:
            self._handler = self._server()
            self._by_handler[self._handler] = self
            self._handler.connection_made(ClosingTransport(self, self._transport))
        self._table.move(self, State.BUSY)
        self._handler.data_received(message)

    def _arrived(self) -> int:
        """When the last byte of the request that is whole now came."""
        consumed = self._received - len(self._data)
        while self._arrivals and self._arrivals[0][0] < consumed:
            self._arrivals.popleft()
        return self._arrivals[0][1]

    def _take_head(self) -> bool:
        """Read the head of the next request; False where it is not whole yet."""
        while self._data.startswith(b"\r\n") and len(self._data) > 2:  # an empty line before it is allowed
            self._drop(2)
        end = self._data.find(http_headers.END, max(0, self._searched - 3))
        if end < 0 or end > http_headers.HEAD_MAX:
            self._searched = len(self._data)
            if len(self._data) > http_headers.HEAD_MAX:
                raise http_headers.BadMessageError(431, "the head is too long")
            return False
        head = http_headers.request(bytes(self._data[: end + 4]))
        if (head.length or 0) > LONG_MAX:
            raise http_headers.BadMessageError(413, "a body holds 32 MiB at most")
        self._promise(head.length or 0)
        self._drop(end + 4)
        self._head, self._chunks = head, http_headers.Chunks() if head.length is None else None
        body_s = BODY_S + (head.length or 0) / BODY_RATE
        self.patience_at = max(self.patience_at, asyncio.get_running_loop().time() + body_s)
        if head.fields.get(b"expect") == [b"100-continue"] and not self._data and head.length != 0:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def _take_body(self) -> bool:
        """Take what has come of the body; whether it is whole."""
        assert self._head is not None
        before = len(self._data) + len(self._body)
        if self._chunks is not None:
            had = len(self._body)
            self._chunks.feed(self._data, self._body)
            self._promise(len(self._body) - had)
            self.patience_at += (len(self._body) - had) / BODY_RATE
            whole = self._chunks.whole
        else:
            want = (self._head.length or 0) - len(self._body)
            if want > 0:
                self._body += self._data[:want]
                del self._data[:want]
            whole = len(self._body) == self._head.length
        self._table.buffered += len(self._data) + len(self._body) - before
        if not whole and len(self._body) > LONG_MAX:
            raise http_headers.BadMessageError(413, "a body holds 32 MiB at most")
        return whole

    def _promise(self, count: int) -> None:
        """So many bytes of a body are to come: what cannot be held whole is refused before it has come. Short
        bodies have room beside the long ones, for as many as there can be connections.
        """
        if self._promised + count > SHORT and self._table.promised + count > self._table.buffer_max:
            self._table.counters["requests.no_room"] += 1
            raise http_headers.BadMessageError(503, "too much is on its way")
        self._promised += count
        self._table.promised += count

    def _drop(self, count: int) -> None:
        del self._data[:count]
        self._table.buffered -= count
