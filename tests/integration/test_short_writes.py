"""Short writes and reads, and nodes that read slowly."""

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
    """NOTES: reads and writes may be short; a broken connection may cause ETIMEDOUT or EHOSTUNREACH."""

    async def test_64_kib_in_both_directions_pass_by_short_writes_and_reads(self) -> None:
        async def echo(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            reply(writer, message.body)

        self.node.script = echo
        body = bytes(range(256)) * 256
        for max_bytes in (999, 61):
            with self.subTest(max_bytes=max_bytes):
                self.faults.set(send_at_most=max_bytes)
                answer = await self.client.request("new-write", body=body, shard=-1)
                self.assertEqual((answer.status, answer.body), (200, body))

    async def test_every_error_of_a_broken_connection_is_retried_like_a_reset(self) -> None:
        """The request is idempotent and is therefore sent again."""
        for name in ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "EPIPE"):
            with self.subTest(error=name):
                requests_before = len(self.node.requests)
                self.node.script = functools.partial(self.fail_next_read, name)
                self.assertEqual((await self.client.request()).status, 200)
                self.assertEqual(len(self.node.requests) - requests_before, 2)

    async def fail_next_read(
        self, name: str, node: Server, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Replies, and makes the program's read of this response fail but not that of the next attempt."""
        self.faults.set(recv=name, recv_ports=[self.node.port])
        node.script = self.end_fault_and_reply
        reply(writer)

    async def end_fault_and_reply(self, _: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        self.faults.set()
        reply(writer)


class SlowNodes(PlatformCase):
    """STANDING: the deadline that an attempt forwards is at most the remaining time plus 0.15 s."""

    async def test_deadline_is_correct_when_the_head_arrives_at_a_slowly_reading_node(self) -> None:
        """The forwarded deadline is that at the arrival of the head, however long the 64 KiB body takes."""
        loop = asyncio.get_running_loop()
        heads: list[tuple[float, int]] = []

        async def read_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            heads.append((loop.time(), int(head.partition("x-deadline-ms: ")[2].split("\r")[0])))
            for _ in range(64):
                await reader.readexactly(1024)
                await asyncio.sleep(0.005)
            reply(writer)

        slow_node = await asyncio.start_server(read_slowly, "127.0.0.1", 0, limit=1024)
        self.addCleanup(slow_node.close)
        port = slow_node.sockets[0].getsockname()[1]
        self.discovery.set_endpoint("s-1", port)
        # The log line of the new address; that of the first address may come late.
        await self.program.wait_for_line(f":{port}")
        sent_at = loop.time()
        answer = await self.client.request("new-write", shard=-1, body=b"x" * 65_536, X_Deadline_Ms="2000")
        self.assertEqual(answer.status, 200)
        ((received_at, forwarded_ms),) = heads
        self.assertLessEqual(forwarded_ms, 2000 - (received_at - sent_at) * 1000 + 150)
