"""Reads responses of endpoints: one strictly parsed response to each request, and no byte beyond it."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from lemonridge.net import http_headers
from lemonridge.net.errors import ConnectionBrokenError, MessageRejectedError
from lemonridge.net.http_limits import (
    BODY_MAX_BYTES,
    BUFFERED_BODY_MAX_BYTES,
    HEAD_MAX_BYTES,
    READ_MAX_BYTES,
)
from lemonridge.net.parsing_queue import ParsingAccount, ParsingQueue
from lemonridge.net.sockets import input_is_empty

log = logging.getLogger(__name__)

INFORMATIONAL_MAX = 16  # 1xx responses before a final response (RFC 9110, 15.2)
BODILESS_STATUSES = (204, 304)  # statuses without a body: RFC 9112, 6.3
READ_TURN_US = 1000.0  # of parsing, charged to a connection over its share before it reads on
READ_TURN_BYTES = 1024  # that such a connection reads then
STALL_S = 10.0  # a streamed response has failed if the endpoint sends nothing for this long


class ResponseReader(ResponseHandler):
    """Reads from a connection to an endpoint and filters the input of aiohttp's parser.

    It protects clients from unsolicited bytes: bytes after a response or on an idle connection would be
    parsed as the response to the next request, and aiohttp's lenient parser accepts many malformed responses.
    A response without a length is complete when its connection ends, provided that the head announces the
    close and the connection is closed without an error; otherwise it could not be distinguished from a
    truncated response (RFC 9112, 8).

    A chunked body may have a chunk for each byte, so that its parsing holds the event loop. A connection
    whose bodies have used more than its share of the loop waits in the queue before it reads on; it
    implements `ParsedConnection`.

    Args:
        loop: The event loop.
        parsing_queue: The queue of all connections to endpoints.
        read_bytes: The maximum number of bytes per read.

    Attributes:
        parsing: The time that the connection has used.
        waits_for_parsing: Whether it waits for its turn to read; set by the queue.
        is_reused: Whether the connection has carried an earlier request.
        reusable: False from the release of the connection until the end of its reuse delay.
        reusable_at_s: When the reuse delay ends, in seconds of the event loop's clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        parsing_queue: ParsingQueue,
        read_bytes: int = READ_MAX_BYTES,
    ) -> None:
        super().__init__(loop)
        self._parsing_queue, self._read_bytes = parsing_queue, read_bytes
        self.parsing = ParsingAccount(loop.time() * 1e6)
        self.waits_for_parsing = False
        self._charged_us = 0.0  # for the next read, in advance
        self._head: bytearray | None = None  # received part of the expected head; None once it is parsed
        self._body_bytes_left: int | None = 0  # None: the body ends with its last chunk or the connection
        self._informational_count = 0
        self._ends_with_connection = False
        self.is_reused = False
        self.reusable = True
        self.reusable_at_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bounds what is read at once, which a slow client may leave in memory for each of its responses."""
        super().connection_made(transport)
        self._set_read_bytes(self._read_bytes)

    def allow_reuse(self) -> None:
        """Ends the reuse delay."""
        self.reusable = True

    def set_response_params(self, **params: Any) -> None:
        """Prepares for a response; aiohttp calls this for each request, before sending it."""
        super().set_response_params(**params)
        self._head, self._body_bytes_left, self._informational_count = bytearray(), 0, 0

    def has_surplus(self) -> bool:
        """Whether a reused connection has received data, or has ended, before the current request is sent.

        No byte of the request has been written yet, so received data cannot be the response to it. If the
        connection has ended, the request must not be written either.
        """
        if not self.is_reused:
            return False
        transport = self.transport
        has_read_input = self._head is None or len(self._head) > 0
        return transport is None or has_read_input or not input_is_empty(transport)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resumes reading and parsing if they are paused, unless the connection is over its share.

        aiohttp calls this for each part that is taken from the body, and would start its parser each time.
        """
        if not self._reading_paused:
            return
        super().resume_reading(resume_parser)
        if self.waits_for_parsing and self.transport is not None:
            self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Forwards the expected response to aiohttp's parser; any other data ends the connection."""
        if not data:  # aiohttp's parser resumes after a pause with its own buffer
            self._parse_body(data)
            return
        if self.transport is None:
            return
        if self._head is not None:
            self._head += data
            try:
                data = self._forward_head(self._head)
            except MessageRejectedError as error:
                self._fail(str(error))
                return
        if self._body_bytes_left is None:
            self._parse_body(data)
            return
        if part := data[: self._body_bytes_left]:
            self._body_bytes_left -= len(part)
            super().data_received(part)
        if len(part) < len(data):
            self._handle_surplus()

    def _parse_body(self, data: bytes) -> None:
        """Forwards a part of a body whose length is not known; pauses a connection over its share."""
        began_s = time.thread_time()  # a wait for a processor is not the endpoint's
        super().data_received(data)
        used_us = 1e6 * (time.thread_time() - began_s)
        uncharged_us = max(0.0, used_us - self._charged_us)
        self._charged_us = 0.0
        if self.transport is None or self._payload is None or self._payload.is_eof():
            return
        self._parsing_queue.charge(self, uncharged_us)
        if self.waits_for_parsing:
            self.transport.pause_reading()
        self._set_read_bytes(READ_TURN_BYTES if self.waits_for_parsing else self._read_bytes)

    def parse(self) -> float:
        """Reads on in the next iteration of the event loop; returns the time charged, in microseconds."""
        self._charged_us = READ_TURN_US
        if self.transport is not None and not self._reading_paused:
            self.transport.resume_reading()
        return READ_TURN_US

    def _set_read_bytes(self, count: int) -> None:
        """Bounds what the transport reads at once."""
        self.transport.max_size = count  # type: ignore[union-attr]  # of asyncio's socket transport

    def _forward_head(self, buffer: bytearray) -> bytes:
        """Forwards the final head, without preceding 1xx responses.

        Returns:
            The received bytes after the head; empty while the head is not complete.

        Raises:
            MessageRejectedError: The head is malformed, too long, or not an acceptable response.
        """
        while (end := buffer.find(http_headers.HEAD_END)) >= 0:
            head_bytes = bytes(buffer[: end + 4])
            del buffer[: end + 4]
            head = http_headers.parse_response_head(head_bytes)
            status, length = head.status, head.body_length
            if 100 <= status < 200 and status != 101 and self._informational_count < INFORMATIONAL_MAX:
                self._informational_count += 1
                continue
            if status < 200:
                raise MessageRejectedError(
                    502,
                    "endpoint switched protocols without an Upgrade request, or sent more than "
                    f"{INFORMATIONAL_MAX} 1xx responses",
                )
            if status in BODILESS_STATUSES:
                length = 0
            self._ends_with_connection = length is None and not head.is_chunked
            if (self._ends_with_connection and not head.closes_connection) or (length or 0) > BODY_MAX_BYTES:
                raise MessageRejectedError(
                    502,
                    f"response body length is {length}, but must be given unless the connection closes, "
                    f"and be at most {BODY_MAX_BYTES}",
                )
            self._head, self._body_bytes_left = None, None if head.is_chunked else length
            super().data_received(head_bytes)
            return bytes(buffer)
        if len(buffer) > HEAD_MAX_BYTES:
            raise MessageRejectedError(502, f"response head exceeds {HEAD_MAX_BYTES} bytes")
        return b""

    def close(self) -> None:
        """Closes the connection and discards bytes of a request that are still in the write buffer.

        Otherwise an endpoint that continues to read would receive the complete request of a cancelled
        attempt, at the same time as the next attempt or after the final answer.
        """
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.abort()
        super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handles the end of the connection.

        If it ended with an error, a body that is delimited by the end of the connection is incomplete.
        """
        self._parsing_queue.discard(self)
        if exc is not None and self._ends_with_connection:
            error = ConnectionBrokenError("connection failed before the end of the response body")
            self.set_exception(error)
            if self._payload is not None:  # the parser has the head and would accept this as a regular end
                self._payload.set_exception(error)
        super().connection_lost(exc)

    def _fail(self, reason: str) -> None:
        """Aborts the connection because of a malformed response."""
        log.debug("malformed response, endpoint connection aborted", extra={"reason": reason})
        transport = self.transport
        self.set_exception(ConnectionBrokenError(reason))
        if transport is not None:
            transport.abort()

    def _handle_surplus(self) -> None:
        """Prevents the reuse of the connection: data followed the response, which is itself valid."""
        self.force_close()
        transport = self.transport
        if transport is not None:
            transport.pause_reading() if self._buffer else transport.close()


class StreamedResponse:
    """A response larger than 64 KiB that is still being received.

    Only the connection's read buffer is held in memory, and it is filled only while `parts` is consumed, so
    that a slow client slows down only the endpoint connection of its own response.

    Args:
        response: The response, whose head has been read.
        first_part: The bytes of the body that have been read already.

    Attributes:
        length: The length of the body in bytes; None if the head does not give it.
    """

    def __init__(self, response: aiohttp.ClientResponse, first_part: bytes) -> None:
        self._response, self._next_part = response, first_part
        self.length = response.content_length
        self._forwarded_bytes = 0

    async def parts(self) -> AsyncIterator[bytes]:
        """Yields the bytes of the body in order.

        Raises:
            ConnectionBrokenError: The response does not become complete, or exceeds the maximum body size.
        """
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._forwarded_bytes += len(self._next_part)
                if self._forwarded_bytes > BODY_MAX_BYTES:
                    raise ConnectionBrokenError(f"response body exceeds {BODY_MAX_BYTES} bytes")
                if self._next_part:
                    yield self._take_next_part()
                async with asyncio.timeout_at(loop.time() + STALL_S):
                    self._next_part = await self._response.content.readany()
                if not self._next_part and self._response.content.at_eof():
                    break
            if self.length is not None and self._forwarded_bytes != self.length:
                raise ConnectionBrokenError(
                    f"response body ended after {self._forwarded_bytes} of {self.length} bytes"
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ConnectionBrokenError(str(error)) from error
        finally:
            self.close()

    def _take_next_part(self) -> bytes:
        """Returns the next part without keeping it in memory while it is passed on."""
        part, self._next_part = self._next_part, b""
        return part

    def close(self) -> None:
        """Discards the unread rest; the connection can be reused if the body was read to its end."""
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


async def read_body(response: aiohttp.ClientResponse) -> bytes | StreamedResponse:
    """Returns the complete body, or a stream if it exceeds `BUFFERED_BODY_MAX_BYTES`.

    Args:
        response: The response, whose head has been read.

    Raises:
        aiohttp.ClientError: The connection broke before the end of the body.
    """
    if (response.content_length or 0) > BUFFERED_BODY_MAX_BYTES:
        return StreamedResponse(response, b"")
    body = bytearray()
    while part := await response.content.readany():
        body += part
        if len(body) > BUFFERED_BODY_MAX_BYTES:
            return StreamedResponse(response, bytes(body))
    return bytes(body)
