"""Calls to a server that falls silent at each point of its answer: all of them end."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from contextlib import aclosing
from unittest import mock

from lemonridge.net.deadline_session import DeadlineSession, HttpCall
from lemonridge.net.errors import AnswerCutError, AnswerTooLongError

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEAD_WITHIN_S = 0.2
SLACK_S = 5.0  # only a failing test waits so long
BYTES_MAX = 100


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def ignore_status(status: int) -> None:
    """Accepts each status."""


class DeadlineSessionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        for name, value_s in (("SILENCE_MAX_S", 0.2), ("ANSWER_MAX_S", 0.6)):
            patch = mock.patch(f"lemonridge.net.deadline_session.{name}", value_s)
            patch.start()
            self.addCleanup(patch.stop)
        self.parts: list[bytes] = []
        self.repeats_last, self.ends = False, False
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        self.http = DeadlineSession()
        self.addAsyncCleanup(self.http.close)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers with the parts, then repeats the last one, ends, or stays silent."""
        await reader.readuntil(b"\r\n\r\n")
        for part in self.parts:
            writer.write(part)
        while self.repeats_last and not writer.is_closing():
            await asyncio.sleep(0.05)
            writer.write(self.parts[-1])
        if not self.ends:
            await reader.read()
        writer.close()

    async def call(self) -> bytes:
        head_by_s = asyncio.get_running_loop().time() + HEAD_WITHIN_S
        return (await self.http.call(HttpCall(self.url, 1000), head_by_s)).body

    async def stream(self, lasts_s: float = 60.0) -> list[bytes]:
        """Returns the lines of a stream that ends by itself."""
        now_s = asyncio.get_running_loop().time()
        call, lines = HttpCall(self.url, BYTES_MAX, b"{}"), list[bytes]()
        stream = self.http.stream_lines(call, now_s + HEAD_WITHIN_S, now_s + lasts_s, ignore_status)
        async with aclosing(stream):
            async for line in stream:
                lines.append(line)
        return lines

    async def assert_ends(self, wait: Callable[[], object], error: type[Exception], *parts: bytes) -> None:
        self.parts = list(parts)
        async with asyncio.timeout(SLACK_S):
            with self.assertRaises(error):
                await wait()  # type: ignore[misc]

    async def test_call_ends_wherever_the_server_falls_silent(self) -> None:
        await self.assert_ends(self.call, TimeoutError)
        await self.assert_ends(self.call, TimeoutError, HEAD[:20])
        await self.assert_ends(self.call, TimeoutError, HEAD)
        await self.assert_ends(self.call, TimeoutError, HEAD, b"x")

    async def test_call_ends_though_the_answer_keeps_arriving(self) -> None:
        self.repeats_last = True
        await self.assert_ends(self.call, TimeoutError, HEAD, b"x")

    async def test_call_with_a_long_answer_fails(self) -> None:
        await self.assert_ends(self.call, AnswerTooLongError, HEAD.replace(b"1000", b"1001"), b"x" * 1001)

    async def test_stream_ends_wherever_the_server_falls_silent(self) -> None:
        await self.assert_ends(self.stream, TimeoutError)
        await self.assert_ends(self.stream, TimeoutError, STREAM_HEAD)
        await self.assert_ends(self.stream, TimeoutError, STREAM_HEAD, chunk(b"half a "))
        await self.assert_ends(self.stream, TimeoutError, STREAM_HEAD, chunk(b"one\nhalf a "))

    async def test_stream_ends_though_a_line_keeps_arriving(self) -> None:
        self.repeats_last = True
        await self.assert_ends(self.stream, TimeoutError, STREAM_HEAD, chunk(b"one\n"), chunk(b"x"))

    async def test_stream_with_a_long_line_fails(self) -> None:
        await self.assert_ends(self.stream, AnswerTooLongError, STREAM_HEAD, chunk(b"x" * (BYTES_MAX + 1)))

    async def test_stream_that_the_server_ends_fails(self) -> None:
        self.ends = True
        await self.assert_ends(self.stream, AnswerCutError, STREAM_HEAD, chunk(b"one\n"), b"0\r\n\r\n")

    async def test_stream_may_be_silent_between_lines_until_its_end(self) -> None:
        self.parts = [STREAM_HEAD, chunk(b"one\n\ntw"), chunk(b"o\nthree\n")]
        async with asyncio.timeout(SLACK_S):
            self.assertEqual(await self.stream(lasts_s=0.5), [b"one", b"two", b"three"])
