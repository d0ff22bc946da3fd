"""A client's connection: parses received bytes into complete requests and writes the responses.

The front receives only complete requests, one at a time. A client that sends nothing, or something that
cannot be parsed, does not occupy a task.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from lemonridge.core.memory_budget import Reservation
from lemonridge.net import http_headers
from lemonridge.net.client_output import ClientOutput
from lemonridge.net.connection_table import TOO_MANY_CONNECTIONS, ConnectionState, ConnectionTable
from lemonridge.net.errors import BuffersFullError, MessageRejectedError
from lemonridge.net.http_limits import BODY_MAX_BYTES
from lemonridge.net.parsing_queue import ParsingAccount
from lemonridge.net.peer_tally import Reason
from lemonridge.net.receive_deadline import ReceiveDeadline
from lemonridge.net.received_input import ReceivedInput
from lemonridge.net.request_decoder import DecodeStatus, RequestDecoder
from lemonridge.net.sockets import input_is_empty, peer_has_closed
from lemonridge.operate.lifecycle import Phase

# Of the bytes per read, that may be buffered beyond an open request before reading is paused, and of a
# streamed response before its next part waits.
BUFFERED_FRACTION = 1 / 2
RESPONSE_BUFFER_READS = 3  # reads' worth of unread responses before the next request waits
CLOSE_CHECK_INTERVAL_S = 0.1  # interval of checks for a disconnect while reading is paused
# The estimated cost of a read, and of resuming to read, in microseconds of the event loop's time.
READ_COST_US = 30.0
RESUME_COST_US = 5.0
# Input that is read and dropped after the last response. A client that is still sending would otherwise be
# reset and could lose the response (RFC 9112, 9.6).
DROPPED_BYTES_MAX = 128 * 1024
DROPPED_BODY_BYTES_MAX = BODY_MAX_BYTES  # after a rejected body, all of which the client may send first


class Connection(asyncio.Protocol):
    """One client's connection, from which requests are read one at a time, each followed by its response.

    Counters: `requests.bad` (rejected as malformed), `requests.buffers_full` (rejected because buffered
    bodies reached their limit).

    Args:
        table: All client connections.
        on_request: Called with this connection when a request is complete.
        on_disconnect: Called with this connection when it has ended.

    Attributes:
        head: The head of the open request.
        body: The body of the open request.
        arrived_us: When the last byte of the open request arrived, in microseconds of the broker's clock.
        state: See `TableEntry`.
        accepted_late: Whether the connection was accepted while the process stops; it is closed after its
            first response.
        turned_away: See `TableEntry`.
        writing_is_paused: See `TableEntry`.
        parsing: See `ParsedConnection`.
        waits_for_parsing: See `ParsedConnection`.
    """

    def __init__(
        self,
        table: ConnectionTable,
        on_request: Callable[[Connection], None],
        on_disconnect: Callable[[Connection], None],
    ) -> None:
        self._table, self._on_request, self._on_disconnect = table, on_request, on_disconnect
        self._loop = asyncio.get_running_loop()
        self._read_bytes = table.read_bytes
        self._received = ReceivedInput(int(self._read_bytes * BUFFERED_FRACTION))
        self._decoder = RequestDecoder(self._received, table.body_budget)
        self._receive_deadline = ReceiveDeadline()
        self.head: http_headers.RequestHead
        self.body = b""
        self._drops_input = self._reading_is_paused = self._is_closing = False
        self._droppable_bytes = DROPPED_BYTES_MAX  # left to be read and dropped
        self.state: ConnectionState | None = None
        self.accepted_late = table.lifecycle.phase is Phase.STOPPING
        self.arrived_us = 0
        self._paused_since_us = 0  # later bytes may have waited since this time; 0: not paused
        self._close_check: asyncio.TimerHandle | None = None  # while reading is paused
        self.parsing = ParsingAccount(self._loop.time() * 1e6)
        self.waits_for_parsing = False
        self.writing_is_paused = self.turned_away = False
        self._ends_when_read = False  # the response is written, but the client has not read all of it
        self._write_waiter: asyncio.Future[None] | None = None  # set while `drain` waits

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the new connection to the table."""
        assert isinstance(transport, asyncio.Transport)
        transport.max_size = self._read_bytes  # type: ignore[attr-defined]  # of asyncio's socket transport
        self._transport = transport
        self._output = ClientOutput(transport)
        self._limit_response_buffer()
        self._table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the ended connection from the table and releases its buffers."""
        self._stop_input()
        self._decoder.release_body()
        self._table.set_state(self, None)
        self._on_disconnect(self)

    @property
    def body_reservation(self) -> Reservation:
        """The memory reserved for the body of the request being received, or open."""
        return self._decoder.reservation

    @property
    def receive_by_s(self) -> float:
        """See `TableEntry`."""
        return self._receive_deadline.at_s

    @property
    def peer(self) -> tuple[str, int]:
        """The client's address and port."""
        address = self._transport.get_extra_info("peername")
        return (str(address[0]), int(address[1])) if isinstance(address, tuple) else ("unknown", 0)

    def note(self, reason: Reason) -> None:
        """Reports to operators why this connection was ended or delayed, or its request rejected."""
        self._table.peer_tally.note(reason, self.peer)

    # Input

    def data_received(self, data: bytes) -> None:
        """Buffers the received bytes and passes on a request once it is complete."""
        if self._drops_input:
            self._drop(len(data))
            return
        receives_body = self._decoder.only_appends
        if not self._received.data and self.state in (ConnectionState.IDLE, ConnectionState.NEW):
            self._begin_request()
        self._received.append(data, self._paused_since_us or self._table.clock.now_us())
        self._paused_since_us = 0
        self._receive_deadline.note_received(self._loop.time(), len(data))
        if receives_body:
            self._table.parsing_queue.charge(self, READ_COST_US + self.parse())
        elif self.state is not ConnectionState.SERVING:
            self._table.parsing_queue.submit(self)
        self._adjust_reading()

    def _drop(self, count: int) -> None:
        """Counts dropped input; beyond a bound it is not even read any more."""
        self._droppable_bytes -= count
        if self._droppable_bytes >= 0:
            self._table.parsing_queue.charge(self, READ_COST_US)
        self._adjust_reading()

    def _adjust_reading(self) -> None:
        """Pauses reading while the input is not needed yet, and resumes it.

        That is while enough is buffered that cannot be parsed yet, and while a connection that is over its
        share sends a body or input that is dropped.
        """
        if self._drops_input:
            pauses = self.waits_for_parsing or self._droppable_bytes < 0
        elif self._decoder.only_appends:
            pauses = self.waits_for_parsing
        else:
            cannot_parse = self.waits_for_parsing or self.state is ConnectionState.SERVING
            pauses = cannot_parse and self._received.is_full
        if pauses and not self._reading_is_paused:
            if self.waits_for_parsing:
                self.note(Reason.OVER_SHARE)
            self._reading_is_paused, self._paused_since_us = True, self._table.clock.now_us()
            self._transport.pause_reading()
            self._check_for_close()
        elif not pauses and self._reading_is_paused:
            self._reading_is_paused = False
            self._cancel_close_check()
            self._transport.resume_reading()

    def _check_for_close(self) -> None:
        """Detects that the client has disconnected while reading from it is paused.

        The event loop would report the end of the connection only after all unread bytes, and until then the
        request of a disconnected client would be forwarded.
        """
        if self._transport.is_closing():
            return
        if peer_has_closed(self._transport):
            self._transport.abort()
        else:
            self._close_check = self._loop.call_later(CLOSE_CHECK_INTERVAL_S, self._check_for_close)

    def _cancel_close_check(self) -> None:
        if self._close_check is not None:
            self._close_check.cancel()
            self._close_check = None

    def _stop_input(self) -> None:
        """Drops all further input, and what is buffered."""
        self._drops_input = True
        self._cancel_close_check()
        self._table.parsing_queue.discard(self)
        self._received.clear()

    def _begin_request(self) -> None:
        """Starts to receive the next request."""
        self._receive_deadline.begin_head(self._loop.time())
        self._table.set_state(self, ConnectionState.RECEIVING)

    def parse(self) -> float:
        """Parses a bounded part of the input and passes on the next request once it is complete.

        Returns:
            The estimated cost, in microseconds of the event loop's time.
        """
        if self._drops_input or self.state is ConnectionState.SERVING:
            self._adjust_reading()
            return RESUME_COST_US
        decoder, awaits_body = self._decoder, self._decoder.head is not None
        try:
            status = decoder.step()
        except MessageRejectedError as error:
            is_full = isinstance(error, BuffersFullError)
            self._table.counters["requests.buffers_full"] += is_full
            self.note(Reason.BUFFERS_FULL if is_full else Reason.MALFORMED)
            self.reject(error.status, str(error))
            return decoder.step_cost_us
        if decoder.head is not None and not awaits_body and status is not DecodeStatus.COMPLETE:
            self._receive_deadline.begin_body(self._loop.time(), decoder.head.body_length)
            if decoder.expects_continue():
                self._output.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if status is DecodeStatus.COMPLETE and self.turned_away:
            self.reject(HTTPStatus.SERVICE_UNAVAILABLE, TOO_MANY_CONNECTIONS)
        elif status is DecodeStatus.COMPLETE:
            self._pass_on()
        elif status is DecodeStatus.CAN_CONTINUE:
            self._table.parsing_queue.defer(self)
        else:
            self._received.forget_arrivals()  # the last byte of the request comes with a later read
        self._adjust_reading()
        return decoder.step_cost_us

    def _pass_on(self) -> None:
        """Passes the complete request to the front."""
        head = self._decoder.head
        assert head is not None
        self.head, self.body = head, bytes(self._decoder.body)
        self.arrived_us = self._received.consumed_until_us()
        self._decoder.begin_next()
        self._table.set_state(self, ConnectionState.SERVING)
        self._on_request(self)

    def input_is_empty(self) -> bool:
        """Whether there are no unread bytes, so that closing the connection loses no request."""
        return not self.waits_for_parsing and (
            self._transport.is_closing() or input_is_empty(self._transport)
        )

    def client_has_left(self) -> bool:
        """Whether the client has closed its side, even if unread bytes precede the close."""
        return peer_has_closed(self._transport)

    # Output

    def pause_writing(self) -> None:
        """Notes that the client reads its response more slowly than it comes; called by asyncio."""
        self.writing_is_paused = True
        self._output.restart_progress()

    def resume_writing(self) -> None:
        """Resumes waiting writers once the client has read enough; called by asyncio."""
        self.writing_is_paused = False
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        if self._ends_when_read:
            self._ends_when_read = False
            self._response_ended(keeps_alive=True)

    def write(self, data: bytes) -> bool:
        """Writes a part of the open response; returns False if the client has disconnected."""
        return self._output.write(data)

    def _limit_response_buffer(self) -> None:
        """Bounds what the client may leave unread of its responses before its next request is read."""
        self._transport.set_write_buffer_limits(high=RESPONSE_BUFFER_READS * self._read_bytes)

    def limit_write_buffer(self) -> None:
        """Bounds what is held of the open response, the parts of which come faster than a client may read."""
        self._transport.set_write_buffer_limits(high=int(self._read_bytes * BUFFERED_FRACTION))

    async def drain(self) -> None:
        """Waits until the client has read enough that more can be written."""
        if self.writing_is_paused:
            self._write_waiter = self._loop.create_future()
            await self._write_waiter

    def end_response(self, keeps_alive: bool) -> None:
        """Ends the open response, all of which has been written.

        Args:
            keeps_alive: Whether the connection stays open once the client has read the response.
        """
        if keeps_alive and self.writing_is_paused:
            self._ends_when_read = True
        else:
            self._response_ended(keeps_alive)

    def _response_ended(self, keeps_alive: bool) -> None:
        """Continues with the next request, or closes the connection."""
        self.body = b""
        self._decoder.release_body()
        if self._drops_input or not keeps_alive:
            self.close()
            return
        self._limit_response_buffer()
        if self._received.data:
            self._begin_request()
            self._table.parsing_queue.defer(self)
        else:
            self._table.set_state(self, ConnectionState.IDLE)
        self._adjust_reading()

    def has_stopped_reading(self, now_s: float) -> bool:
        """Whether the client no longer reads the data that is written to it; see `ClientOutput`."""
        return self._output.has_stopped_reading(now_s)

    @property
    def has_unsent_data(self) -> bool:
        """Whether written bytes remain in this process's buffer: an abort would truncate the response."""
        return self._output.unsent_bytes > 0

    # End

    def reject(self, status: int, reason: str) -> None:
        """Answers a request that is not forwarded, and ends the connection.

        No further request can be read, because it is unknown where the next one starts.

        Args:
            status: The status code.
            reason: The text of the body, which the client receives.
        """
        self._table.counters["requests.bad"] += 1
        self._table.counters[f"requests.bad.{status}"] += 1
        body = f"{reason}\n".encode()
        head = f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Length: {len(body)}\r\n"
        self._output.write(head.encode() + b"Connection: close\r\n\r\n" + body)
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._droppable_bytes = DROPPED_BODY_BYTES_MAX
        self._decoder.release_body()
        self.close()

    def close(self) -> None:
        """Ignores further input, ends the output, and closes once the client has closed its side too.

        Closing a connection with unread bytes resets it, and the last response may be lost (RFC 9112, 9.6).
        """
        self._stop_input()
        if self._is_closing or self._transport.is_closing():
            return
        self._is_closing = True
        self._adjust_reading()  # the input is dropped
        self._table.set_state(self, ConnectionState.CLOSING)
        self._output.end()

    def abort(self) -> None:
        """Resets the connection and removes it from the table immediately.

        The event loop calls `connection_lost` only in its next iteration.
        """
        self._stop_input()
        self._table.set_state(self, None)
        self._transport.abort()
