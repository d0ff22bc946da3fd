"""Two events that cross at a response: resets, abandoned attempts, floods of requests."""

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


class TruncatedResponses(CrossingCase):
    """A node resets its connection within a response that has no Content-Length."""

    async def test_reset_does_not_complete_a_response_without_length(self) -> None:
        async def script(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if len(server.requests) > 1:
                reply(writer, b"whole")
                return
            writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\nhal")
            await self.wait_until_processed()  # the program has read the head and waits for the body
            reset(writer)

        self.node.script = script
        answer = await self.client.request()
        self.assertEqual((answer.status, answer.body), (200, b"whole"))
        self.assertEqual((await self.program.counters())["attempts.reset"], 1)

    async def test_reset_of_a_long_response_without_length_omits_the_last_chunk(self) -> None:
        sent_part = b"x" * (1 << 17)
        client_has_read = asyncio.Event()

        async def script(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + sent_part)
            await client_has_read.wait()
            reset(writer)

        self.node.script = script
        self.client.writer.write(self.client.encode_request())
        async with asyncio.timeout(TIMEOUT_S):
            await self.client.reader.readuntil(b"\r\n\r\n")
            await self.client.reader.readexactly(1 << 16)
            client_has_read.set()
            rest = await self.client.reader.read()  # to the end of the connection
        self.assertFalse(rest.endswith(b"0\r\n\r\n"))  # the last chunk would mark it as complete


class AbandonedAttempts(CrossingCase):
    """An attempt that ends while its request is still being written."""

    async def test_unwritten_data_of_a_timed_out_attempt_is_dropped(self) -> None:
        may_continue, ended, count = asyncio.Event(), asyncio.Event(), 0

        async def read_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal count
            await may_continue.wait()  # until then only the system's buffers take data
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(1 << 20):
                    count += len(part)
            writer.close()
            ended.set()

        node = await asyncio.start_server(read_late, "127.0.0.1", 0, limit=1 << 12)
        self.addCleanup(node.close)
        self.discovery.set_endpoint("s-2", node.sockets[0].getsockname()[1], shard=1)
        await self.program.wait_for_line("endpoint=s-2")
        body = b"x" * (20 << 20)  # more than the system's buffers hold
        answer = await self.client.request("new-write", shard=1, body=body, X_Deadline_Ms="500")
        self.assertNotEqual(answer.status, 200)
        may_continue.set()
        async with asyncio.timeout(TIMEOUT_S):
            await ended.wait()
        self.assertTrue(0 < count < len(body))

    async def test_node_that_replies_early_receives_no_more_during_the_next_attempt(self) -> None:
        may_continue, ended, counts = asyncio.Event(), asyncio.Event(), [0, 0]

        async def reject_first_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            number = 1 if counts[0] else 0
            await reader.readuntil(b"\r\n\r\n")
            counts[number] += 1
            if number == 0:
                reply(writer, status=503, X_Not_Run="1")
                await may_continue.wait()
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(1 << 20):
                    counts[number] += len(part)
                    if counts[1] > len(body):
                        reply(writer, b"whole")
            writer.close()
            if number == 0:
                ended.set()

        body = b"x" * (20 << 20)
        node = await asyncio.start_server(reject_first_connection, "127.0.0.1", 0, limit=1 << 12)
        self.addCleanup(node.close)
        self.discovery.set_endpoint("s-2", node.sockets[0].getsockname()[1], shard=1)
        await self.program.wait_for_line("endpoint=s-2")
        answer = await self.client.request("new-write", shard=1, body=body)
        self.assertEqual((answer.status, answer.body), (200, b"whole"))
        may_continue.set()
        async with asyncio.timeout(TIMEOUT_S):
            await ended.wait()
        self.assertLess(counts[0], len(body))


class ClientFloods(CrossingCase):
    """Many clients send large amounts of data at the same time."""

    def resident_bytes(self) -> int:
        """Returns the resident memory of the program in bytes."""

        text = Path(f"/proc/{self.program.process.pid}/statm").read_text()
        return int(text.split()[1]) * resource.getpagesize()

    async def test_memory_held_for_flooding_clients_is_bounded(self) -> None:
        may_continue = asyncio.Event()

        async def reply_late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_continue.wait()
            reply(writer)

        self.node.script = reply_late
        bytes_before, clients = (
            self.resident_bytes(),
            [await self.connect(wait_until_ready=False) for _ in range(120)],
        )
        for client in clients:
            # A request, followed by 1 MiB that contains no complete request.

            client.writer.write(client.encode_request() + b"x" * (1 << 20))
        for _ in range(3):
            await self.wait_until_processed()
        # 120 open requests and up to READ_BYTES + READ_AHEAD_BYTES for each; unbounded reads took 28 MB.
        self.assertLess(self.resident_bytes() - bytes_before, 14 << 20)
        may_continue.set()
        for client in clients[:20]:
            client.writer.transport.abort()  # these do not wait for a response

        async with asyncio.timeout(TIMEOUT_S):
            for client in clients[20:]:
                self.assertIn((await read_message(client.reader)).status, (200, 503))
        self.assertEqual((await (await self.connect()).request()).status, 200)
