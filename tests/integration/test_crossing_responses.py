"""Two events that cross at a response: resets, cancelled attempts, floods."""

from __future__ import annotations

import asyncio
import contextlib
import resource
from pathlib import Path

from crossing_cases import CrossingCase
from harness import (
    TIMEOUT_S,
    Message,
    Server,
    read_message,
    reply,
    reset,
)


class Answers(CrossingCase):
    """What a node sends, and how its connection ends."""

    async def test_a_reset_is_no_end_of_an_answer_without_a_length(self) -> None:
        async def script(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if len(server.requests) > 1:
                reply(writer, b"whole")
                return
            writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\nhal")
            await self.wait_until_processed()  # its head has been read, and the body is waited for
            reset(writer)

        self.node.script = script
        answer = await self.client.request()
        self.assertEqual((answer.status, answer.body), (200, b"whole"))
        self.assertEqual((await self.program.counters())["attempts.reset"], 1)

    async def test_a_long_answer_without_a_length_that_is_reset_is_seen_to_be_cut(self) -> None:
        begun = b"x" * (1 << 17)
        read = asyncio.Event()

        async def script(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + begun)
            await read.wait()
            reset(writer)

        self.node.script = script
        self.client.writer.write(self.client.encode_request())
        async with asyncio.timeout(TIMEOUT_S):
            await self.client.reader.readuntil(b"\r\n\r\n")
            await self.client.reader.readexactly(1 << 16)
            read.set()
            rest = await self.client.reader.read()  # to the end of the connection
        self.assertFalse(rest.endswith(b"0\r\n\r\n"))  # without the last chunk


class GivenUp(CrossingCase):
    """An attempt that ends while its request is still being written."""

    async def test_what_is_not_written_yet_of_an_attempt_is_dropped(self) -> None:
        free, ended, count = asyncio.Event(), asyncio.Event(), 0

        async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal count
            await free.wait()  # it takes no more than the system does
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(1 << 20):
                    count += len(part)
            writer.close()
            ended.set()

        node = await asyncio.start_server(hang, "127.0.0.1", 0, limit=1 << 12)
        self.addCleanup(node.close)
        self.discovery.set_endpoint("s-2", node.sockets[0].getsockname()[1], shard=1)
        await self.program.wait_for_line("endpoint=s-2")
        body = b"x" * (20 << 20)  # more than the system holds of it
        answer = await self.client.request("new-write", shard=1, body=body, X_Deadline_Ms="500")
        self.assertNotEqual(answer.status, 200)
        free.set()
        async with asyncio.timeout(TIMEOUT_S):
            await ended.wait()
        self.assertTrue(0 < count < len(body))

    async def test_a_node_that_answers_early_gets_no_more_beside_the_next_attempt(self) -> None:
        free, ended, counts = asyncio.Event(), asyncio.Event(), [0, 0]

        async def full_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            number = 1 if counts[0] else 0
            await reader.readuntil(b"\r\n\r\n")
            counts[number] += 1
            if number == 0:
                reply(writer, status=503, X_Not_Run="1")
                await free.wait()
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(1 << 20):
                    counts[number] += len(part)
                    if counts[1] > len(body):
                        reply(writer, b"whole")
            writer.close()
            if number == 0:
                ended.set()

        body = b"x" * (20 << 20)
        node = await asyncio.start_server(full_once, "127.0.0.1", 0, limit=1 << 12)
        self.addCleanup(node.close)
        self.discovery.set_endpoint("s-2", node.sockets[0].getsockname()[1], shard=1)
        await self.program.wait_for_line("endpoint=s-2")
        answer = await self.client.request("new-write", shard=1, body=body)
        self.assertEqual((answer.status, answer.body), (200, b"whole"))
        free.set()
        async with asyncio.timeout(TIMEOUT_S):
            await ended.wait()
        self.assertLess(counts[0], len(body))


class Floods(CrossingCase):
    """Clients that send much at once."""

    def resident(self) -> int:
        """Bytes of memory that the program holds."""
        text = Path(f"/proc/{self.program.process.pid}/statm").read_text()
        return int(text.split()[1]) * resource.getpagesize()

    async def test_what_is_held_of_a_flood_has_its_bound(self) -> None:
        free = asyncio.Event()

        async def held(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            reply(writer)

        self.node.script = held
        before, clients = self.resident(), [await self.connect(wait_until_ready=False) for _ in range(120)]
        for client in clients:
            client.writer.write(
                client.encode_request() + b"x" * (1 << 20)
            )  # a request, and no other behind it
        for _ in range(3):
            await self.wait_until_processed()
        # 120 requests that are open, and READ and AHEAD for each; unbounded reads made it 28 MB.
        self.assertLess(self.resident() - before, 14 << 20)
        free.set()
        for client in clients[:20]:
            client.writer.transport.abort()  # some go at once
        async with asyncio.timeout(TIMEOUT_S):
            for client in clients[20:]:
                self.assertIn((await read_message(client.reader)).status, (200, 503))
        self.assertEqual((await (await self.connect()).request()).status, 200)
