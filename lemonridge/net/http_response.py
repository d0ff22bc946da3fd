"""An endpoint's responses: one strictly parsed response to each request, and not a byte more."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from lemonridge.net import http_headers
from lemonridge.net.errors import ConnectionBrokenError, MessageRejectedError
from lemonridge.net.http_limits import BODY_MAX_BYTES, BUFFERED_BODY_MAX_BYTES, HEAD_MAX_BYTES
from lemonridge.net.sockets import input_is_empty

log = logging.getLogger(__name__)

INFORMATIONAL_MAX = 16  # 1xx responses in front of a final one (RFC 9110, 15.2)
BODILESS_STATUSES = (204, 304)  # RFC 9112, 6.3
STALL_S = 10.0  # an endpoint that sends nothing more of a streamed response for so long has failed


class ResponseReader(ResponseHandler):
    """The reading end of a connection to an endpoint, in front of aiohttp's parser.

    It guards clients against bytes that were not asked for: behind a response or on an idle connection they
    would be read as the response to the next request, and the lenient parser accepts much that is malformed.
    A response without a length is complete at the end of its connection, if it announces that end and the end
    is an orderly one: one that was cut short would look the same (RFC 9112, 8).
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head: bytearray | None = None  # so far, of the response that is awaited; None: it is parsed
        self._body_bytes_left: int | None = 0  # None: as the body's chunks or its connection's end say
        self._informational = 0
        self._ends_with_connection = False
        self.is_reused = False  # has carried a request before
        self.reusable = True  # False from the release of the connection to the end of its reuse delay
        self.reusable_at_s = 0.0  # when that delay ends, on the loop's clock

    def allow_reuse(self) -> None:
        """The reuse delay is over."""
        self.reusable = True

    def set_response_params(self, **params: Any) -> None:
        """Expect a response; aiohttp calls this for each request, before it is sent."""
        super().set_response_params(**params)
        self._head, self._body_bytes_left, self._informational = bytearray(), 0, 0

    def has_surplus(self) -> bool:
        """Whether something came on a reused connection before the request that awaits its response.

        Nothing of that request is written yet, so whatever came is no response to it; an end is no less
        reason not to write it.
        """
        if not self.is_reused:
            return False
        transport = self.transport
        read_already = self._head is None or len(self._head) > 0
        return transport is None or read_already or not input_is_empty(transport)

    def data_received(self, data: bytes) -> None:
        """Forward what belongs to the awaited response; anything else ends the connection."""
        if not data:  # aiohttp's parser, which had paused, goes on with what it has buffered
            super().data_received(data)
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
            super().data_received(data)
            return
        if part := data[: self._body_bytes_left]:
            self._body_bytes_left -= len(part)
            super().data_received(part)
        if len(part) < len(data):
            self._on_surplus()

    def _forward_head(self, buffer: bytearray) -> bytes:
        """Forward the head of the response, without 1xx in front; the bytes behind it."""
        while (end := buffer.find(http_headers.HEAD_END)) >= 0:
            text = bytes(buffer[: end + 4])
            del buffer[: end + 4]
            head = http_headers.parse_response_head(text)
            status, length = head.status, head.body_length
            if 100 <= status < 200 and status != 101 and self._informational < INFORMATIONAL_MAX:
                self._informational += 1
                continue
            if status < 200:
                raise MessageRejectedError(502, "a protocol that was not asked for")
            if status in BODILESS_STATUSES:
                length = 0
            self._ends_with_connection = length is None and not head.is_chunked
            if (self._ends_with_connection and not head.closes_connection) or (length or 0) > BODY_MAX_BYTES:
                raise MessageRejectedError(502, "a body without a length, or too long")
            self._head, self._body_bytes_left = None, None if head.is_chunked else length
            super().data_received(text)
            return bytes(buffer)
        if len(buffer) > HEAD_MAX_BYTES:
            raise MessageRejectedError(502, "the head is too long")
        return b""

    def close(self) -> None:
        """End the connection; bytes of a request that the system has not taken yet are dropped.

        Otherwise an endpoint that reads on would get all of an attempt that was cancelled, beside the next
        one or after the answer.
        """
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.abort()
        super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection has ended: with an error, a body that ends with it is not complete."""
        if exc is not None and self._ends_with_connection:
            error = ConnectionBrokenError("cut short")
            self.set_exception(error)
            if self._payload is not None:  # the parser has the head, and would take this end for a proper one
                self._payload.set_exception(error)
        super().connection_lost(exc)

    def _fail(self, reason: str) -> None:
        log.debug("response malformed, connection aborted", extra={"reason": reason})
        transport = self.transport
        self.set_exception(ConnectionBrokenError(reason))
        if transport is not None:
            transport.abort()

    def _on_surplus(self) -> None:
        """More arrived than belongs to the response, which is good: the connection is not reused."""
        self.force_close()
        transport = self.transport
        if transport is not None:
            transport.pause_reading() if self._buffer else transport.close()


class StreamedResponse:
    """A response over 64 KiB that is still arriving; `length` is None where its head gives none.

    No more of it is held than the connection's buffer, and it is read only while someone reads `parts`: a
    slow client slows down its endpoint's connection and nothing else.
    """

    def __init__(self, response: aiohttp.ClientResponse, first_part: bytes) -> None:
        self._response, self._first_part = response, first_part
        self.length = response.content_length
        self._forwarded_bytes = 0

    async def parts(self) -> AsyncIterator[bytes]:
        """Every byte in order.

        Raises:
            ConnectionBrokenError: the response does not become complete, or is too long.
        """
        loop = asyncio.get_running_loop()
        try:
            part = self._first_part
            self._first_part = b""
            while True:
                self._forwarded_bytes += len(part)
                if self._forwarded_bytes > BODY_MAX_BYTES:
                    raise ConnectionBrokenError("too long")
                if part:
                    yield part
                async with asyncio.timeout_at(loop.time() + STALL_S):
                    part = await self._response.content.readany()
                if not part and self._response.content.at_eof():
                    break
            if self.length is not None and self._forwarded_bytes != self.length:
                raise ConnectionBrokenError("cut short")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ConnectionBrokenError(str(error)) from error
        finally:
            self.close()

    def close(self) -> None:
        """Drop what has not been read; a connection with nothing left to read can be reused."""
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


async def read_body(response: aiohttp.ClientResponse) -> bytes | StreamedResponse:
    """The complete body, or a stream once it is known to be longer than `BUFFERED_BODY_MAX_BYTES`."""
    if (response.content_length or 0) > BUFFERED_BODY_MAX_BYTES:
        return StreamedResponse(response, b"")
    body = bytearray()
    while part := await response.content.readany():
        body += part
        if len(body) > BUFFERED_BODY_MAX_BYTES:
            return StreamedResponse(response, bytes(body))
    return bytes(body)
