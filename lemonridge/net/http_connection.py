"""A client's connection: its bytes, from the socket to complete requests, and the bytes of its responses.

The front gets complete requests only, one at a time. A client that sends nothing, or what cannot be read,
costs no task.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

from lemonridge.net import http_headers
from lemonridge.net.connection_table import ConnectionState, ConnectionTable
from lemonridge.net.errors import MessageRejectedError
from lemonridge.net.http_chunks import ChunkedBodyDecoder
from lemonridge.net.http_limits import BODY_MAX_BYTES, HEAD_MAX_BYTES
from lemonridge.net.sockets import input_is_empty, peer_has_closed
from lemonridge.operate.lifecycle import Phase

HEAD_MAX_S = 2.3  # a client may take 2 s for a head; one that is owed an error has it, or the end, within 3 s
BODY_MARGIN_S = 1.0  # for a body, beyond what it takes at the lowest rate
BODY_MIN_BYTES_PER_S = 64_000
SHORT_BODY_BYTES = 16 * 1024  # a body up to that is not counted against the limit of the long ones
READ_AHEAD_BYTES = 16 * 1024  # behind an open request, before they are left in the socket
READ_BYTES = 32 * 1024  # read at once, and so the most beyond that: asyncio would read 256 KiB
CLOSE_CHECK_INTERVAL_S = 0.1  # for the end of a connection that is not read meanwhile


class Connection(asyncio.Protocol):
    """One client's connection: requests are read from it one by one, and each gets its response.

    Counters: `requests.bad` (rejected by their bytes), `requests.buffers_full` (rejected for their length).

    Args:
        table: All connections.
        on_request: Called with each request that is complete.
        on_disconnect: Called once the connection has ended.

    Attributes:
        head: Of the open request.
        body: Of the open request.
        arrived_us: When the last byte of the open request arrived.
    """

    def __init__(
        self,
        table: ConnectionTable,
        on_request: Callable[[Connection], None],
        on_disconnect: Callable[[Connection], None],
    ) -> None:
        self._table, self._on_request, self._on_disconnect = table, on_request, on_disconnect
        self._data = bytearray()  # not parsed yet
        self._searched_bytes = 0  # of the data, for the end of a head
        self._head: http_headers.RequestHead | None = None  # of the request that has begun, once it is parsed
        self._chunks: ChunkedBodyDecoder | None = None  # where its body is chunked
        self._body = bytearray()
        self._announced_bytes = 0  # of its body
        self.head: http_headers.RequestHead
        self.body = b""
        self.receive_by_s = 0.0  # when the request that has begun has to be complete, on the loop's clock
        self._drops_input = self._reading_is_paused = self._is_closing = False
        self.state: ConnectionState | None = None  # the table sets it
        # Whether it was accepted while the process stops: it is closed after its first response.
        self.accepted_late = table.lifecycle.phase is Phase.STOPPING
        self.arrived_us = 0
        self._received_bytes = 0
        # How many bytes had arrived when: a request that waits behind another has its time from its last
        # byte.
        self._arrivals: deque[tuple[int, int]] = deque()
        self._paused_since_us = 0  # since when what comes next may have waited in the system; 0: it has not
        self.response_unread_since_s: float | None = None  # as in `TableEntry`
        self.closing_since_s = 0.0  # the same
        self._ends_once_read = False  # the open response is written, and the client has not read it yet
        self._write_waiter: asyncio.Future[None] | None = None  # of `drain`

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there."""
        assert isinstance(transport, asyncio.Transport)
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]  # of asyncio's own for sockets
        self._transport = transport
        self._table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """The socket has ended."""
        self._drops_input = True
        self._table.buffered_bytes -= len(self._data) + len(self._body)
        self._table.announced_bytes -= self._announced_bytes
        self._table.move(self, None)
        self._on_disconnect(self)

    def pause_writing(self) -> None:
        """The client does not read what is sent."""
        self.response_unread_since_s = asyncio.get_running_loop().time()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.response_unread_since_s = None
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        if self._ends_once_read:
            self._ends_once_read = False
            self._response_ended(keeps_alive=True)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes, and hand over a request once it is complete."""
        if self._drops_input:
            return
        if not self._data and self.state in (ConnectionState.IDLE, ConnectionState.NEW):
            self._begin_request()
        self._received_bytes += len(data)
        self._arrivals.append((self._received_bytes, self._paused_since_us or self._table.clock.now_us()))
        self._paused_since_us = 0
        self._data += data
        self._table.buffered_bytes += len(data)
        if self.state is not ConnectionState.SERVING:
            self._next_request()
        elif len(self._data) > READ_AHEAD_BYTES and not self._reading_is_paused:
            self._reading_is_paused, self._paused_since_us = True, self._table.clock.now_us()
            self._transport.pause_reading()
            self._check_for_close()

    def _check_for_close(self) -> None:
        """Notice the end of a connection that is not read.

        The loop would report it behind all that waits there only, and until then the request of a client that
        has left would be sent on.
        """
        if self._drops_input or not self._reading_is_paused or self._transport.is_closing():
            return
        if peer_has_closed(self._transport):
            self._transport.abort()
        else:
            asyncio.get_running_loop().call_later(CLOSE_CHECK_INTERVAL_S, self._check_for_close)

    def write(self, data: bytes) -> bool:
        """Write a part of the open response; False where the client has left."""
        if self._transport.is_closing():
            return False
        self._transport.write(data)
        return True

    async def drain(self) -> None:
        """Wait until the client has read enough for more to be written."""
        if self.response_unread_since_s is not None:
            self._write_waiter = asyncio.get_running_loop().create_future()
            await self._write_waiter

    def end_response(self, keeps_alive: bool) -> None:
        """The open response is written; `keeps_alive`: the connection goes on once its client has read it."""
        if keeps_alive and self.response_unread_since_s is not None:
            self._ends_once_read = True
        else:
            self._response_ended(keeps_alive)

    def _response_ended(self, keeps_alive: bool) -> None:
        """Go on with the next request, or close."""
        if self._drops_input or not keeps_alive:
            self.close()
            return
        if self._reading_is_paused:
            self._reading_is_paused = False
            self._transport.resume_reading()
        self._table.announced_bytes -= self._announced_bytes
        self.body, self._announced_bytes = b"", 0
        if self._data:
            self._begin_request()
            asyncio.get_running_loop().call_soon(self._next_request)
        else:
            self._table.move(self, ConnectionState.IDLE)

    def _begin_request(self) -> None:
        """The next request begins."""
        self.receive_by_s = asyncio.get_running_loop().time() + HEAD_MAX_S
        self._table.move(self, ConnectionState.RECEIVING)

    def reject(self, status: int, reason: str) -> None:
        """Answer what must not go further, and close: where the next request begins is not known.

        The connection is not read any more, and closed a moment later: at once, TCP would take the response
        back from a client that still sends (RFC 9112, 9.6).
        """
        self._table.counters["requests.bad"] += 1
        body = f"{reason}\n".encode()
        head = f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Length: {len(body)}\r\n"
        self._transport.write(head.encode() + b"Connection: close\r\n\r\n" + body)
        self._drops_input = self._is_closing = True
        self._table.buffered_bytes -= len(self._data) + len(self._body)
        self._data, self._body = bytearray(), bytearray()
        self.closing_since_s = asyncio.get_running_loop().time()
        if status != HTTPStatus.SERVICE_UNAVAILABLE:  # a client that may retry is read, so that it reads this
            self._transport.pause_reading()
        self._transport.write_eof()
        self._table.move(self, ConnectionState.CLOSING)

    def input_is_empty(self) -> bool:
        """Whether nothing waits to be read; to close the connection then loses no request."""
        return self._transport.is_closing() or input_is_empty(self._transport)

    def client_has_left(self) -> bool:
        """Whether the client has closed its side, also where that lies behind what is not read yet."""
        return peer_has_closed(self._transport)

    @property
    def has_unsent_data(self) -> bool:
        """Whether the system has not taken all that is written: an abort now would cut a response short."""
        return self._transport.get_write_buffer_size() > 0

    def close(self) -> None:
        """Read nothing more, end what is sent, and close once the client has closed its side too.

        A close over bytes that are not read resets the connection, and the last response may be lost with it
        (RFC 9112, 9.6).
        """
        self._drops_input = True
        if self._is_closing or self._transport.is_closing():
            return
        self._is_closing, self.closing_since_s = True, asyncio.get_running_loop().time()
        if self._reading_is_paused:
            self._reading_is_paused = False
            self._transport.resume_reading()  # to be dropped
        self._table.move(self, ConnectionState.CLOSING)
        self._transport.write_eof()

    def abort(self) -> None:
        """End at once; the table forgets it now, though the loop reports the end a turn later only."""
        self._drops_input = True
        self._table.move(self, None)
        self._transport.abort()

    def _next_request(self) -> None:
        """Hand over the next request, once it is complete."""
        if self._drops_input or self.state is ConnectionState.SERVING:
            return
        try:
            if (self._head is None and not self._read_head()) or not self._read_body():
                return
        except MessageRejectedError as error:
            self.reject(error.status, str(error))
            return
        assert self._head is not None
        self.head, self.body, self.arrived_us = self._head, bytes(self._body), self._arrival_us()
        self._table.buffered_bytes -= len(self._body)
        self._body, self._head, self._chunks, self._searched_bytes = bytearray(), None, None, 0
        self._table.move(self, ConnectionState.SERVING)
        self._on_request(self)

    def _arrival_us(self) -> int:
        """When the last byte of the request that is complete now arrived."""
        consumed = self._received_bytes - len(self._data)
        while self._arrivals and self._arrivals[0][0] < consumed:
            self._arrivals.popleft()
        return self._arrivals[0][1]

    def _read_head(self) -> bool:
        """Parse the head of the next request; False where it is not complete yet."""
        while self._data.startswith(b"\r\n") and len(self._data) > 2:  # an empty line: RFC 9112, 2.2
            self._drop(2)
        end = self._data.find(http_headers.HEAD_END, max(0, self._searched_bytes - 3))
        if end < 0 or end > HEAD_MAX_BYTES:
            self._searched_bytes = len(self._data)
            if len(self._data) > HEAD_MAX_BYTES:
                raise MessageRejectedError(431, "the head is too long")
            return False
        head = http_headers.parse_request_head(bytes(self._data[: end + 4]))
        length = head.body_length or 0
        if length > BODY_MAX_BYTES:
            raise MessageRejectedError(413, "a body holds 32 MiB at most")
        self._announce(length)
        self._drop(end + 4)
        self._head, self._chunks = head, ChunkedBodyDecoder() if head.body_length is None else None
        body_max_s = BODY_MARGIN_S + length / BODY_MIN_BYTES_PER_S
        self.receive_by_s = max(self.receive_by_s, asyncio.get_running_loop().time() + body_max_s)
        # RFC 9110, 10.1.1
        expects_continue = head.fields.get(b"expect") == [b"100-continue"]
        if expects_continue and not self._data and head.body_length != 0:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def _read_body(self) -> bool:
        """Read what has arrived of the body; whether it is complete."""
        assert self._head is not None
        before = len(self._data) + len(self._body)
        if self._chunks is not None:
            had = len(self._body)
            self._chunks.feed(self._data, self._body)
            self._announce(len(self._body) - had)
            self.receive_by_s += (len(self._body) - had) / BODY_MIN_BYTES_PER_S
            is_complete = self._chunks.is_complete
        else:
            missing = (self._head.body_length or 0) - len(self._body)
            if missing > 0:
                self._body += self._data[:missing]
                del self._data[:missing]
            is_complete = len(self._body) == self._head.body_length
        self._table.buffered_bytes += len(self._data) + len(self._body) - before
        if not is_complete and len(self._body) > BODY_MAX_BYTES:
            raise MessageRejectedError(413, "a body holds 32 MiB at most")
        return is_complete

    def _announce(self, count: int) -> None:
        """Count the bytes of a body that are to come, or reject the request if they cannot be buffered.

        Short bodies have room beside the long ones, for as many as there can be connections.
        """
        is_long = self._announced_bytes + count > SHORT_BODY_BYTES
        if is_long and self._table.announced_bytes + count > self._table.body_bytes_max:
            self._table.counters["requests.buffers_full"] += 1
            raise MessageRejectedError(503, "too much is on its way")
        self._announced_bytes += count
        self._table.announced_bytes += count

    def _drop(self, count: int) -> None:
        del self._data[:count]
        self._table.buffered_bytes -= count
