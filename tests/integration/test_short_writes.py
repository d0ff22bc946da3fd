"""Short writes and reads, and endpoints that read slowly."""

from __future__ import annotations

import asyncio
import functools

from fault_cases import FaultCase
from harness import (
    Message,
    PlatformCase,
    Server,
    reply,
)


class ShortWrites(FaultCase):
    """NOTES: reads and writes may be short; a broken connection may show as ETIMEDOUT or EHOSTUNREACH."""

    async def test_64_kib_both_ways_by_short_writes_and_reads(self) -> None:
        async def echo(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            reply(writer, message.body)

        self.node.script = echo
        body = bytes(range(256)) * 256
        for most in (999, 61):
            with self.subTest(most=most):
                self.faults.set(send_at_most=most)
                answer = await self.client.request("new-write", body=body, shard=-1)
                self.assertEqual((answer.status, answer.body), (200, body))

    async def test_a_connection_that_breaks_in_any_way_is_a_reset(self) -> None:
        """What is safe is sent again."""
        for name in ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "EPIPE"):
            with self.subTest(error=name):
                before = len(self.node.requests)
                self.node.script = functools.partial(self.break_once, name)
                self.assertEqual((await self.client.request()).status, 200)
                self.assertEqual(len(self.node.requests) - before, 2)

    async def break_once(
        self, name: str, node: Server, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        """The program's read of the answer fails; that of the next attempt does not."""
        self.faults.set(recv=name, recv_ports=[self.node.port])
        node.script = self.mended
        reply(writer)

    async def mended(self, _: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        self.faults.set()
        reply(writer)


class SlowReaders(PlatformCase):
    """STANDING: the time that an attempt tells its node is at most what is left, with 0.15 s of slack."""

    async def test_a_body_of_64_kib_to_a_node_that_reads_slowly(self) -> None:
        """The head is true as it comes, however long the body takes."""
        loop = asyncio.get_running_loop()
        heads: list[tuple[float, int]] = []

        async def slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            heads.append((loop.time(), int(head.partition("x-deadline-ms: ")[2].split("\r")[0])))
            for _ in range(64):
                await reader.readexactly(1024)
                await asyncio.sleep(0.005)
            reply(writer)

        slow = await asyncio.start_server(slowly, "127.0.0.1", 0, limit=1024)
        self.addCleanup(slow.close)
        port = slow.sockets[0].getsockname()[1]
        self.discovery.set_endpoint("s-1", port)
        await self.program.wait_for_line(
            f":{port}"
        )  # its new address; the line of its first one may be read late
        sent_at = loop.time()
        answer = await self.client.request("new-write", shard=-1, body=b"x" * 65_536, X_Deadline_Ms="2000")
        self.assertEqual(answer.status, 200)
        ((came_at, told_ms),) = heads
        self.assertLessEqual(told_ms, 2000 - (came_at - sent_at) * 1000 + 150)
