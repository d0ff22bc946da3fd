"""What a node sends: one strictly read answer to each request, and not a byte more."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from lemonridge.net import heads
from lemonridge.net.wire import BODY_MAX

log = logging.getLogger(__name__)

INFORMATIONAL_MAX = 16  # 1xx answers in front of one
BODILESS = (204, 304)


class BrokenError(aiohttp.ClientError):
    """A connection broke, or brought what is no answer. Not one of the errors after which aiohttp sends a
    request again."""


class AnswerReader(ResponseHandler):
    """The reading end of a connection to a node, in front of aiohttp's parser.

    Guards the clients against what a node was not asked for: bytes right behind an answer or on an idle
    connection would be read as the answer to the next request, and the lenient parser makes something of
    much that is spoilt. An answer that does not tell its length is spoilt too, since one that was cut
    short would look the same.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head: bytearray | None = None  # of the answer that is waited for
        self._left: int | None = 0  # of its body; None: as its chunks say
        self._informational = 0
        self.rested_at = 0.0  # on the loop's clock, before which it is not to be used again

    def set_response_params(self, **params: Any) -> None:
        """aiohttp calls this for each request, before it is sent."""
        super().set_response_params(**params)
        self._head, self._left, self._informational = bytearray(), 0, 0

    def data_received(self, data: bytes) -> None:
        if self.transport is None:
            return
        if self._head is not None:
            self._head += data
            try:
                data = self._take_head(self._head)
            except heads.BadMessageError as error:
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
        while (end := head.find(heads.END)) >= 0:
            text = bytes(head[: end + 4])
            del head[: end + 4]
            status, length, chunked = heads.answer(text)
            if 100 <= status < 200 and status != 101 and self._informational < INFORMATIONAL_MAX:
                self._informational += 1
                continue
            if status < 200:
                raise heads.BadMessageError(502, "a protocol that was not asked for")
            if status in BODILESS:
                length = 0
            if (length is None and not chunked) or (length or 0) > BODY_MAX:
                raise heads.BadMessageError(502, "a body without a length, or too long")
            self._head, self._left = None, None if chunked else length
            super().data_received(text)
            return bytes(head)
        if len(head) > heads.HEAD_MAX:
            raise heads.BadMessageError(502, "the head is too long")
        return b""

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
