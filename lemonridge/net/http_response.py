"""What a node sends: one strictly read answer to each request, and not a byte more."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from lemonridge.net import http_headers
from lemonridge.net.sockets import BODY_MAX, LONG_MAX, BrokenError

log = logging.getLogger(__name__)

INFORMATIONAL_MAX = 16  # 1xx answers in front of one
BODILESS = (204, 304)
STALL_S = 10.0  # a node that sends nothing more of a long answer for so long is lost


class AnswerReader(ResponseHandler):
    """The reading end of a connection to a node, in front of aiohttp's parser.

    Guards the clients against what a node was not asked for: bytes right behind an answer or on an idle
    connection would be read as the answer to the next request, and the lenient parser makes something of
    much that is spoilt. An answer without a length is whole at the end of its connection, if it says that
    this follows and the end is an orderly one: one that was cut short would look the same.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head: bytearray | None = None  # of the answer that is waited for
        self._left: int | None = 0  # of its body; None: as its chunks say
        self._informational = 0
        self._until_end = False  # the body ends with the connection
        self.rested_at = 0.0  # on the loop's clock, before which it is not to be used again

    def set_response_params(self, **params: Any) -> None:
        """Aiohttp calls this for each request, before it is sent."""
        super().set_response_params(**params)
        self._head, self._left, self._informational = bytearray(), 0, 0

    def data_received(self, data: bytes) -> None:
        if not data:  # aiohttp's parser, which had paused, goes on with what it has kept
            super().data_received(data)
            return
        if self.transport is None:
            return
        if self._head is not None:
            self._head += data
            try:
                data = self._take_head(self._head)
            except http_headers.BadMessageError as error:
                self._spoilt(str(error))
                return
        if self._left is None:
            super().data_received(data)
            return
        if part := data[: self._left]:
            self._left -= len(part)
            super().data_received(part)
        if len(part) < len(data):
            self._surplus()

    def _take_head(self, head: bytearray) -> bytes:
        """Pass on the head of the answer, without those of 1xx in front; the bytes behind it."""
        while (end := head.find(http_headers.END)) >= 0:
            text = bytes(head[: end + 4])
            del head[: end + 4]
            told = http_headers.answer(text)
            status, length, chunked = told.code, told.length, told.chunked
            if 100 <= status < 200 and status != 101 and self._informational < INFORMATIONAL_MAX:
                self._informational += 1
                continue
            if status < 200:
                raise http_headers.BadMessageError(502, "a protocol that was not asked for")
            if status in BODILESS:
                length = 0
            self._until_end = length is None and not chunked
            if (self._until_end and not told.closes) or (length or 0) > LONG_MAX:
                raise http_headers.BadMessageError(502, "a body without a length, or too long")
            self._head, self._left = None, None if chunked else length
            super().data_received(text)
            return bytes(head)
        if len(head) > http_headers.HEAD_MAX:
            raise http_headers.BadMessageError(502, "the head is too long")
        return b""

    def close(self) -> None:
        """End the connection. What of a request the system has not taken yet is dropped: else a node that
        reads on would get the whole of an attempt that was given up, beside the next or after the answer.
        """
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.abort()
        super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None and self._until_end:
            error = BrokenError("cut short")
            self.set_exception(error)
            if self._payload is not None:  # the head is taken, and the parser would call this end a whole one
                self._payload.set_exception(error)
        super().connection_lost(exc)

    def _spoilt(self, why: str) -> None:
        log.debug("answer spoilt", extra={"why": why})
        transport = self.transport
        self.set_exception(BrokenError(why))
        if transport is not None:
            transport.abort()

    def _surplus(self) -> None:
        """More came than belongs to the answer, which is good: the connection is not used again."""
        self.force_close()
        transport = self.transport
        if transport is not None:
            transport.pause_reading() if self._buffer else transport.close()


class LongAnswer:
    """An answer over 64 KiB that is still coming: what has come, and the rest as it comes.

    No more of it is held than the connection's buffer. It is passed on only while someone reads it, so a slow
    client slows its node down and nobody else.
    """

    def __init__(self, response: aiohttp.ClientResponse, begun: bytes) -> None:
        self._response, self._begun = response, begun
        self.length = response.content_length
        self._count = 0

    async def parts(self) -> AsyncIterator[bytes]:
        """Every byte in order; `BrokenError` where the answer does not become whole."""
        loop = asyncio.get_running_loop()
        try:
            part = self._begun
            self._begun = b""
            while True:
                self._count += len(part)
                if self._count > LONG_MAX:
                    raise BrokenError("too long")
                if part:
                    yield part
                async with asyncio.timeout_at(loop.time() + STALL_S):
                    part = await self._response.content.readany()
                if not part and self._response.content.at_eof():
                    break
            if self.length is not None and self._count != self.length:
                raise BrokenError("cut short")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise BrokenError(str(error)) from error
        finally:
            self.close()

    def close(self) -> None:
        """Give up what has not been read; a connection with nothing left to read stays of use."""
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


async def gather(response: aiohttp.ClientResponse) -> bytes | LongAnswer:
    """The whole body, or, once it is known to be long, what can be passed on as it comes."""
    if (response.content_length or 0) > BODY_MAX:
        return LongAnswer(response, b"")
    body = bytearray()
    while part := await response.content.readany():
        body += part
        if len(body) > BODY_MAX:
            return LongAnswer(response, bytes(body))
    return bytes(body)
