"""HTTP calls to servers that hold configuration and state, in which no wait can last for ever.

A server may accept a connection and stay silent, or fall silent at any byte of an answer, and TCP reports
neither. `DeadlineSession` is the only way to discovery and to etcd, and each of its calls takes the time by
which the answer must begin.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from types import TracebackType

import aiohttp

from lemonridge.net.errors import AnswerCutError, AnswerTooLongError, NetError
from lemonridge.net.http_client import plain_session

SILENCE_MAX_S = 1.0  # between two reads of an answer or of a line that has begun
ANSWER_MAX_S = 5.0  # from the first byte of an answer or of a line to its last, even if it keeps arriving
# The errors of a call, apart from what its caller makes of the status. OSError includes TimeoutError.
CALL_ERRORS = (aiohttp.ClientError, OSError, NetError)


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One call.

    Attributes:
        url: The URL.
        answer_bytes_max: The maximum length of the body, or of one line of a stream.
        body: The body of a POST; None for a GET.
    """

    url: str
    answer_bytes_max: int
    body: bytes | None = None

    @property
    def method(self) -> str:
        """The method, which follows from the body."""
        return "GET" if self.body is None else "POST"


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    body: bytes


class DeadlineSession:
    """An HTTP client to one server whose waits all end, whatever the server does.

    Use it as a context manager, or call `close`. All times are seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        self._session = plain_session(aiohttp.TCPConnector(limit=0, happy_eyeballs_delay=None))

    async def __aenter__(self) -> DeadlineSession:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def call(
        self, call: HttpCall, head_by_s: float, on_head: Callable[[int], None] | None = None
    ) -> HttpAnswer:
        """Makes a call and returns the complete answer.

        After an error the connection is closed, so that the rest of the answer is never read.

        Args:
            call: The call.
            head_by_s: When the connection must be up and the head of the answer must have arrived.
            on_head: Called with the status when the head has arrived; an error that it raises ends the call.

        Raises:
            TimeoutError: The head is late, the answer is silent for SILENCE_MAX_S, or it is incomplete after
                ANSWER_MAX_S.
            AnswerTooLongError: The body is longer than `answer_bytes_max`.
            aiohttp.ClientError: The connection broke, or the answer is not HTTP.
            OSError: The connection could not be opened.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout_at(head_by_s) as timeout, self._request(call) as response:
            complete_by_s = loop.time() + ANSWER_MAX_S
            if on_head is not None:
                on_head(response.status)
            timeout.reschedule(loop.time() + SILENCE_MAX_S)
            body = bytearray()
            async for part in response.content.iter_any():
                timeout.reschedule(min(complete_by_s, loop.time() + SILENCE_MAX_S))
                body += part
                if len(body) > call.answer_bytes_max:
                    raise AnswerTooLongError(f"the answer exceeds {call.answer_bytes_max} bytes")
            return HttpAnswer(response.status, bytes(body))

    async def stream_lines(
        self, call: HttpCall, first_line_by_s: float, end_s: float, on_head: Callable[[int], None]
    ) -> AsyncGenerator[bytes, None]:
        """Makes a call and yields the lines of its answer until `end_s`.

        Between two lines the server may be silent until `end_s`; within a line it may not.

        Args:
            call: The call.
            first_line_by_s: When the head must have arrived and the first line must have begun.
            end_s: When the call ends.
            on_head: Called with the status when the head has arrived; an error that it raises ends the call.

        Raises:
            TimeoutError: The first line is late, or a line that has begun is silent for SILENCE_MAX_S or
                incomplete after ANSWER_MAX_S.
            AnswerCutError: The answer ended.
            AnswerTooLongError: A line is longer than `answer_bytes_max`.
            aiohttp.ClientError: The connection broke, or the answer is not HTTP.
            OSError: The connection could not be opened.
        """
        async with asyncio.timeout_at(first_line_by_s):
            response = await self._request(call)
        try:
            on_head(response.status)
            lines = _LineReader(response.content, call.answer_bytes_max)
            complete = await lines.read(first_line_by_s)
            if not complete:
                raise TimeoutError("the answer has a head and no first line")
            while complete:
                for line in complete:
                    yield line
                complete = await lines.read(end_s)
        finally:
            response.close()

    def _request(self, call: HttpCall) -> aiohttp.client._RequestContextManager:
        return self._session.request(call.method, call.url, data=call.body, allow_redirects=False)


class _LineReader:
    """Reads the complete lines of a stream; `line_bytes_max` limits a line."""

    def __init__(self, content: aiohttp.StreamReader, line_bytes_max: int) -> None:
        self._content, self._line_bytes_max = content, line_bytes_max
        self._partial = bytearray()  # the line that has begun
        self._partial_by_s = 0.0  # when it must be complete

    async def read(self, end_s: float) -> list[bytes]:
        """Returns the next complete lines, without empty ones; none once `end_s` is over.

        Raises:
            TimeoutError: A line that has begun does not continue, or is incomplete after ANSWER_MAX_S.
            AnswerCutError: The answer ended.
            AnswerTooLongError: A line is too long.
        """
        while True:
            chunk = await self._read_chunk(end_s)
            if chunk is None:
                return []
            if lines := self._split(chunk):
                return lines

    async def _read_chunk(self, end_s: float) -> bytes | None:
        """Returns the next bytes; None if no line has begun until `end_s`."""
        loop = asyncio.get_running_loop()
        by_s = min(self._partial_by_s, loop.time() + SILENCE_MAX_S) if self._partial else end_s
        try:
            async with asyncio.timeout_at(by_s):
                chunk = await self._content.readany()
        except TimeoutError:
            if self._partial:
                raise
            return None
        if not chunk:
            raise AnswerCutError("the answer ended")
        return chunk

    def _split(self, chunk: bytes) -> list[bytes]:
        """Adds bytes to the line that has begun, and returns the lines that are complete."""
        if not self._partial:
            self._partial_by_s = asyncio.get_running_loop().time() + ANSWER_MAX_S
        first, *others = chunk.split(b"\n")
        self._partial += first
        complete = list[bytes]()
        for start_of_next in others:
            complete.append(bytes(self._partial).strip())
            self._partial = bytearray(start_of_next)
            self._partial_by_s = asyncio.get_running_loop().time() + ANSWER_MAX_S
        if len(self._partial) > self._line_bytes_max:
            raise AnswerTooLongError(f"a line exceeds {self._line_bytes_max} bytes")
        return [line for line in complete if line]
