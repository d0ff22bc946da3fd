"""Tests that the body of a request leaves memory with its attempt, however the attempt ends."""

from __future__ import annotations

import asyncio
import gc
import sys
import unittest
from types import SimpleNamespace

from harness import Message, Server, reply

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.errors import AttemptError
from lemonridge.core.model import Attempt, Request
from lemonridge.net.http_client import Payload
from lemonridge.net.http_endpoints import HttpEndpoints
from lemonridge.net.http_response import StreamedResponse

BODY_BYTES = 5_000_000  # more than the system's buffers take of a node that does not read
CLOSED_PORT = 1
ATTEMPT_MAX_S = 0.3


async def serve(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
    reply(writer, b"data")


async def turn_away(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
    reply(writer, status=503, X_Not_Run="1")


async def fail(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
    reply(writer, b"failed", status=500)


async def reset(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def reply_malformed(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 abc\r\n\r\n")


async def truncate(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\nabc")
    await writer.drain()
    writer.close()


async def hang(_: Server, __: Message, ___: asyncio.StreamWriter) -> None:
    pass


async def hang_after_the_head(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\nabc")


async def serve_long(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
    reply(writer, b"x" * 1_000_000)


async def serve_long_in_chunks(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n186A0\r\n" + b"x" * 100_000 + b"\r\n")


async def serve_long_until_close(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + b"x" * 200_000)
    await writer.drain()
    writer.close()


SCRIPTS = (
    serve,
    turn_away,
    fail,
    reset,
    reply_malformed,
    truncate,
    hang,
    hang_after_the_head,
    serve_long,
    serve_long_in_chunks,
    serve_long_until_close,
)


class AttemptMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Makes attempts without the collector of cycles, so that a cycle keeps its objects in memory."""

    async def asyncSetUp(self) -> None:
        self.node = await Server(serve).start()
        self.port = self.node.port
        self.clock = Clock(asyncio.get_running_loop())
        platform = SimpleNamespace(connect_us=250_000, keepalive_us=500_000, in_flight_field="busy_reqs")
        self.endpoints = HttpEndpoints(self, self.clock, platform, Counters())  # type: ignore[arg-type]
        self.addAsyncCleanup(self.endpoints.close)
        gc.disable()
        self.addCleanup(gc.enable)

    def address(self, _: str) -> str:
        return f"127.0.0.1:{self.port}"

    async def assert_body_is_freed_after_an_attempt(self, may_begin: bool = True) -> None:
        body = bytes(BODY_BYTES)
        references_before = sys.getrefcount(body)
        await self.attempt(body, may_begin)
        self.node.requests.clear()
        async with asyncio.timeout(1.0):  # the connection is closed some iterations later
            while sys.getrefcount(body) > references_before:
                await asyncio.sleep(0)

    async def attempt(self, body: bytes, may_begin: bool) -> None:
        payload = Payload("PUT", "/read/1/2", {}, body)
        request = Request(0, 1, self.clock.now_us() + 2_000_000, 2, 0, 0, 2.0, 1, payload)
        try:
            async with asyncio.timeout(ATTEMPT_MAX_S):
                outcome = await self.endpoints.attempt(Attempt(request, 0, "s-1", lambda: may_begin))
        except (AttemptError, TimeoutError):
            return
        if isinstance(outcome.reply, StreamedResponse):
            outcome.reply.close()

    # Guards against bodies that stay in memory after failed attempts, in cycles of error and traceback.
    async def test_body_is_freed_however_the_node_answers(self) -> None:
        for script in SCRIPTS:
            with self.subTest(script=script.__name__):
                self.node.script = script
                await self.assert_body_is_freed_after_an_attempt()

    async def test_body_is_freed_if_the_node_refuses_the_connection(self) -> None:
        self.port = CLOSED_PORT
        await self.assert_body_is_freed_after_an_attempt()

    async def test_body_is_freed_if_the_node_does_not_read_it(self) -> None:
        async def pause(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]

        listener = await asyncio.start_server(pause, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        self.port = listener.sockets[0].getsockname()[1]
        await self.assert_body_is_freed_after_an_attempt()

    async def test_body_is_freed_if_the_attempt_is_suppressed(self) -> None:
        await self.assert_body_is_freed_after_an_attempt(may_begin=False)
