"""Long request and response bodies."""

from __future__ import annotations

import asyncio
import os
import select
import signal

import pytest
from harness import TIMEOUT_S, Client, Message, PlatformCase, Server, reply, serve_ok

from lemonridge.net.http_chunks import ChunkedBodyDecoder

pytestmark = pytest.mark.serial

LONG_BODY = os.urandom(1 << 20) * 8  # 8 MiB
MEMORY_MAX_BYTES = 192 << 20  # DEPLOY: the limits reach at most 192 MB


class LongBodies(PlatformCase):
    async def read_until_close(self, **changes: str) -> tuple[bytes, bytes]:
        """Sends a request with `Connection: close`; returns the head and the rest of the response."""
        client = await self.connect()
        client.writer.write(client.encode_request(Connection="close", **changes))
        async with asyncio.timeout(TIMEOUT_S):
            data = bytearray()
            while part := await client.reader.read(1 << 16):
                data += part
        head, _, rest = bytes(data).partition(b"\r\n\r\n")
        return head, rest

    async def test_long_responses_of_every_framing_are_forwarded_completely(self) -> None:
        async def content_length(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            reply(writer, LONG_BODY)

        async def chunked(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            for start in range(0, len(LONG_BODY), 100_000):
                part = LONG_BODY[start : start + 100_000]
                writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
            writer.write(b"0\r\nX: 1\r\n\r\n")

        async def until_close(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.0 200 X\r\n\r\n" + LONG_BODY)
            writer.close()

        for script in (content_length, chunked, until_close):
            with self.subTest(script=script.__name__):
                self.node.script = script
                head, rest = await self.read_until_close()
                if b"transfer-encoding: chunked" in head.lower():
                    decoder, decoded = ChunkedBodyDecoder(), bytearray()
                    decoder.feed(bytearray(rest), decoded)
                    self.assertTrue(decoder.is_complete)
                    rest = bytes(decoded)
                self.assertTrue(rest == LONG_BODY, f"{len(rest)} of {len(LONG_BODY)} bytes")
        self.assertEqual((await self.program.counters()).get("answers.cut", 0), 0)

    async def test_first_bytes_are_forwarded_at_once_and_the_rest_as_fast_as_it_is_read(self) -> None:
        sent, long_body = 0, LONG_BODY * 4

        async def reply_in_parts(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(long_body) + LONG_BODY[:1])
            await self.may_continue.wait()
            for start in range(1, len(long_body), 65536):
                writer.write(long_body[start : start + 65536])
                await writer.drain()
                sent = start

        self.may_continue = asyncio.Event()
        self.node.script = reply_in_parts
        self.client.writer.write(self.client.encode_request(X_Deadline_Ms="300"))
        async with asyncio.timeout(TIMEOUT_S):
            await self.client.reader.readuntil(b"\r\n\r\n")
            self.assertEqual(await self.client.reader.readexactly(1), LONG_BODY[:1])
            other_client = await self.connect()  # a slow response does not delay other connections
            self.node.script = serve_ok
            self.assertEqual((await other_client.request()).status, 200)
            self.may_continue.set()
            self.client.writer.transport.pause_reading()
            sent_before = -1
            while sent_before != sent:  # the client does not read, so the node must stop before the end
                sent_before = sent
                await asyncio.sleep(0.3)
            self.assertLess(sent, len(long_body) - 65536)
            self.client.writer.transport.resume_reading()
            self.assertTrue(await self.client.reader.readexactly(len(long_body) - 1) == long_body[1:])
        # The connection stays open after the deadline.
        self.assertEqual((await self.client.request()).status, 200)

    async def test_truncated_response_is_reported_as_truncated_and_not_retried(self) -> None:
        async def truncate(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 200000\r\n\r\n" + LONG_BODY[:100_000])
            await writer.drain()
            writer.close()

        self.node.script = truncate
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await self.client.request()
        self.assertEqual(len(self.node.requests), 1)
        self.assertEqual((await self.program.counters())["answers.cut"], 1)

    async def test_disconnect_during_a_response_closes_the_connection_to_the_node(self) -> None:
        async def reply_partly(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(
                b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:100_000]
            )

        self.node.script = reply_partly
        self.client.writer.write(self.client.encode_request())
        await self.client.reader.readuntil(b"\r\n\r\n")
        self.client.writer.transport.abort()
        await self.node.wait_until(lambda: not self.node.open_connections)
        self.assertEqual(await self.program.stop(signal.SIGTERM), 0)

    async def test_chunked_split_and_slow_request_bodies_are_accepted(self) -> None:
        body = os.urandom(150_000)
        text = self.client.encode_request("new-write", body=b"", Transfer_Encoding="chunked")
        text += b"".join(b"%x;x=y\r\n%s\r\n" % (len(part), part) for part in (body[:70_000], body[70_000:]))
        answer = await self.client.exchange(text + b"0\r\nX: 1\r\n\r\n")
        self.assertEqual((answer.status, self.node.requests[-1].body), (200, body))
        self.assertNotIn("transfer-encoding", self.node.requests[-1].headers)
        text = self.client.encode_request("new-write", body=body)
        head = text.index(b"\r\n\r\n")
        for start in range(40):  # a head in single bytes
            self.client.writer.write(text[start : start + 1])
            await self.client.writer.drain()
        self.client.writer.write(text[40 : head + 100])
        await asyncio.sleep(3.0)  # longer than the limit for a head; a body may take 1 s for each 64 kB
        answer = await self.client.exchange(text[head + 100 :])
        self.assertEqual((answer.status, self.node.requests[-1].body), (200, body))
        # The deadline counts from the last byte of the request.
        self.assertGreater(int(self.node.requests[-1].headers["x-deadline-ms"]), 1750)
        path = "http://app.svc/read/00000003b4d60021/7f3a9c21e0b4d655"
        self.assertEqual((await self.client.request(path=path)).status, 200)
        self.assertEqual(
            self.node.requests[-1].start_line, "GET /read/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1"
        )

    async def test_request_beyond_the_memory_for_partial_requests_is_rejected_at_once(self) -> None:
        clients = []
        for _ in range(4):  # an eighth of 192 MB is for partial requests
            client = await self.connect()
            client.writer.write(
                self.client.encode_request("new-write", Content_Length=str(8 << 20)) + LONG_BODY[: 7 << 20]
            )
            clients.append(client)
        rejections = 0
        for client in clients:
            try:
                async with asyncio.timeout(1.0):
                    rejections += (await client.reader.readline()).split()[1] == b"503"
            except TimeoutError:
                pass
        self.assertEqual(rejections, 1)
        self.assertEqual((await self.client.request()).status, 200)

    # Guards against bodies over the limit: those of departed clients were not counted while still being sent.
    async def test_body_of_a_departed_client_counts_until_its_attempt_ends(self) -> None:
        may_answer = asyncio.Event()

        async def answer_when_allowed(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_answer.wait()
            reply(writer)

        self.node.script = answer_when_allowed
        body = LONG_BODY * 2  # 16 MiB; the limit is an eighth of 192 MB
        leaving = await self.connect()
        leaving.writer.write(leaving.encode_request("new-write", body=body))
        await self.node.wait_until(lambda: len(self.node.requests) == 1)
        leaving.writer.transport.abort()
        await self.program.wait_for_counter("answers.client_gone")
        rejected = await self.connect()
        answer = await rejected.exchange(rejected.encode_request("new-write", Content_Length=str(len(body))))
        self.assertEqual(answer.status, 503)
        may_answer.set()
        await self.program.wait_for_counter("attempts.ok")
        self.assertEqual((await self.client.request("new-write", body=body)).status, 200)

    # Guards against a broker killed for its memory: answered bodies waited for the collector of cycles.
    async def test_bodies_one_after_another_stay_within_the_memory(self) -> None:
        body = LONG_BODY * 2
        for _ in range(16):
            self.assertEqual((await self.client.request("new-write", body=body)).status, 200)
            self.node.requests.clear()
            self.assertLess(self.program.anonymous_memory_bytes(), MEMORY_MAX_BYTES)


SLOW_BYTES_PER_S = 200_000  # the page's lowest rate is 64 kB a second
SLOW_S = 9.0
UNREAD_RESPONSES = 40
RESPONSE_HELD_MAX_BYTES = 128 * 1024  # docs/operate/daily.md, with what the allocator adds


class SlowReaders(PlatformCase):
    """Clients that read a long response slowly, and some that do not read at all."""

    body = LONG_BODY

    async def reply_in_form(self, _: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        """Replies in the form that the first part of the path's last element names."""
        if message.start_line.split()[1].endswith("1"):
            reply(writer, self.body)
        elif message.start_line.split()[1].endswith("2"):
            writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(self.body), self.body))
        else:
            writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + self.body)
            writer.close()

    async def connect_unbuffered(self) -> Client:
        """Returns a client that leaves its input in the system's buffer until it reads."""
        client = await self.connect()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        return client

    async def read_slowly(self, number: int, **headers: str) -> int:
        """Reads a response slowly and then to its end; returns how many bytes came."""
        client = await self.connect_unbuffered()
        path = f"/read/00000003b4d60021/{number:016x}"
        client.writer.write(client.encode_request(path=path, Connection="close", **headers))
        loop, connection = asyncio.get_running_loop(), client.writer.get_extra_info("socket")
        received_bytes, start_s = 0, loop.time()
        poll = select.poll()
        poll.register(connection.fileno(), select.POLLIN)
        while True:
            if (
                loop.time() < start_s + SLOW_S
                and received_bytes >= (loop.time() - start_s) * SLOW_BYTES_PER_S
            ):
                await asyncio.sleep(0.05)
                continue
            if not poll.poll(0):
                await asyncio.sleep(0)
                continue
            part = os.read(connection.fileno(), 16384)
            if not part:
                return received_bytes
            received_bytes += len(part)

    # Guards against long responses cut off for slow clients: a full buffer of the system hid their reading.
    async def test_slow_client_receives_a_long_response_of_every_form(self) -> None:
        self.node.script = self.reply_in_form
        async with asyncio.timeout(4 * SLOW_S):
            received = await asyncio.gather(*(self.read_slowly(number) for number in (1, 2, 3)))
        for number, received_bytes in enumerate(received, 1):
            with self.subTest(form=number):
                self.assertGreaterEqual(received_bytes, len(LONG_BODY))
        self.assertEqual((await self.program.counters()).get("clients.expired", 0), 0)

    # Guards against a broker over its memory: each slow reader held over 0.5 MB of its response.
    async def test_many_unread_long_responses_hold_little_memory(self) -> None:
        self.node.script, self.body = self.reply_in_form, LONG_BODY[: 2 << 20]
        memory_before = self.program.anonymous_memory_bytes()
        for number in range(UNREAD_RESPONSES):
            client = await self.connect_unbuffered()
            path = f"/read/{number:016x}/{number % 3 + 1:016x}"
            client.writer.write(client.encode_request(path=path))
            await self.node.wait_until(lambda count=number + 1: len(self.node.requests) == count)
        await asyncio.sleep(1.0)  # each response goes on until all buffers of its way are full
        growth_bytes = self.program.anonymous_memory_bytes() - memory_before
        self.assertLess(growth_bytes, UNREAD_RESPONSES * RESPONSE_HELD_MAX_BYTES)

    async def test_client_that_does_not_read_its_response_loses_its_connection(self) -> None:
        self.node.script = self.reply_in_form
        client = await self.connect_unbuffered()
        client.writer.write(client.encode_request(path=f"/read/00000003b4d60021/{1:016x}"))
        start_s = asyncio.get_running_loop().time()
        await self.node.wait_until(lambda: len(self.node.requests) == 1)
        async with asyncio.timeout(3 * TIMEOUT_S):
            while not (await self.program.counters()).get("clients.expired"):
                await asyncio.sleep(0.1)
        self.assertGreater(asyncio.get_running_loop().time() - start_s, 5.0)
        await self.node.wait_until(lambda: not self.node.open_connections)
