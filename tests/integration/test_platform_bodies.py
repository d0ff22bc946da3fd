"""Long bodies in both directions."""

from __future__ import annotations

import asyncio
import os
import signal

from harness import TIMEOUT_S, Message, PlatformCase, Server, reply, serve_ok

from lemonridge.net.http_chunks import ChunkedBodyDecoder

LONG = os.urandom(1 << 20) * 8  # 8 MiB


class Bodies(PlatformCase):
    async def whole(self, **changes: str) -> tuple[bytes, bytes]:
        """Ask on a connection that ends with the answer; the head and the rest of it."""
        client = await self.connect()
        client.writer.write(client.encode_request(Connection="close", **changes))
        async with asyncio.timeout(TIMEOUT_S):
            data = bytearray()
            while part := await client.reader.read(1 << 16):
                data += part
        head, _, rest = bytes(data).partition(b"\r\n\r\n")
        return head, rest

    async def test_long_answers_of_every_form_come_whole(self) -> None:
        async def counted(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            reply(writer, LONG)

        async def chunked(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            for at in range(0, len(LONG), 100_000):
                part = LONG[at : at + 100_000]
                writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
            writer.write(b"0\r\nX: 1\r\n\r\n")

        async def closing(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.0 200 X\r\n\r\n" + LONG)
            writer.close()

        for script in (counted, chunked, closing):
            with self.subTest(script=script.__name__):
                self.node.script = script
                head, rest = await self.whole()
                if b"transfer-encoding: chunked" in head.lower():
                    chunks, out = ChunkedBodyDecoder(), bytearray()
                    chunks.feed(bytearray(rest), out)
                    self.assertTrue(chunks.is_complete)
                    rest = bytes(out)
                self.assertTrue(rest == LONG, f"{len(rest)} of {len(LONG)} bytes")
        self.assertEqual((await self.program.counters()).get("answers.cut", 0), 0)

    async def test_the_first_bytes_leave_at_once_and_the_rest_as_fast_as_it_is_read(self) -> None:
        sent, long = 0, LONG * 4

        async def slow(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(long) + LONG[:1])
            await self.gate.wait()
            for at in range(1, len(long), 65536):
                writer.write(long[at : at + 65536])
                await writer.drain()
                sent = at

        self.gate = asyncio.Event()
        self.node.script = slow
        self.client.writer.write(self.client.encode_request(X_Deadline_Ms="300"))
        async with asyncio.timeout(TIMEOUT_S):
            await self.client.reader.readuntil(b"\r\n\r\n")
            self.assertEqual(await self.client.reader.readexactly(1), LONG[:1])
            other = await self.connect()  # a slow answer costs only its own connection
            self.node.script = serve_ok
            self.assertEqual((await other.request()).status, 200)
            self.gate.set()
            self.client.writer.transport.pause_reading()  # its own reader is full soon
            before = -1
            while before != sent:  # nobody reads, so the node is held up before all is sent
                before = sent
                await asyncio.sleep(0.3)
            self.assertLess(sent, len(long) - 65536)
            self.client.writer.transport.resume_reading()
            self.assertTrue(await self.client.reader.readexactly(len(long) - 1) == long[1:])
        self.assertEqual((await self.client.request()).status, 200)  # past its deadline, and kept

    async def test_an_answer_that_is_cut_shows_it_and_is_not_asked_for_again(self) -> None:
        async def cut(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 200000\r\n\r\n" + LONG[:100_000])
            await writer.drain()
            writer.close()

        self.node.script = cut
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await self.client.request()
        self.assertEqual(len(self.node.requests), 1)
        self.assertEqual((await self.program.counters())["answers.cut"], 1)

    async def test_a_client_that_leaves_midway_frees_its_node(self) -> None:
        async def endless(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG[:100_000])

        self.node.script = endless
        self.client.writer.write(self.client.encode_request())
        await self.client.reader.readuntil(b"\r\n\r\n")
        self.client.writer.transport.abort()
        await self.node.wait_until(lambda: not self.node.open_connections)
        self.assertEqual(await self.program.stop(signal.SIGTERM), 0)

    async def test_bodies_come_in_chunks_in_pieces_and_slowly(self) -> None:
        body = os.urandom(150_000)
        text = self.client.encode_request("new-write", body=b"", Transfer_Encoding="chunked")
        text += b"".join(b"%x;x=y\r\n%s\r\n" % (len(part), part) for part in (body[:70_000], body[70_000:]))
        answer = await self.client.exchange(text + b"0\r\nX: 1\r\n\r\n")
        self.assertEqual((answer.status, self.node.requests[-1].body), (200, body))
        self.assertNotIn("transfer-encoding", self.node.requests[-1].headers)
        text = self.client.encode_request("new-write", body=body)
        head = text.index(b"\r\n\r\n")
        for at in range(40):  # a head in single bytes
            self.client.writer.write(text[at : at + 1])
            await self.client.writer.drain()
        self.client.writer.write(text[40 : head + 100])
        await asyncio.sleep(3.0)  # longer than a head may take: a body has 64 kB a second
        answer = await self.client.exchange(text[head + 100 :])
        self.assertEqual((answer.status, self.node.requests[-1].body), (200, body))
        self.assertGreater(
            int(self.node.requests[-1].headers["x-deadline-ms"]), 1750
        )  # from the last byte on
        path = "http://app.svc/read/00000003b4d60021/7f3a9c21e0b4d655"
        self.assertEqual((await self.client.request(path=path)).status, 200)
        self.assertEqual(
            self.node.requests[-1].start_line, "GET /read/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1"
        )

    async def test_more_than_the_memory_has_room_for_is_refused_at_once(self) -> None:
        kept = []
        for _ in range(4):  # of 192 MB an eighth is for requests that are not whole
            client = await self.connect()
            client.writer.write(
                self.client.encode_request("new-write", Content_Length=str(8 << 20)) + LONG[: 7 << 20]
            )
            kept.append(client)
        answers = 0
        for client in kept:
            try:
                async with asyncio.timeout(1.0):
                    answers += (await client.reader.readline()).split()[1] == b"503"
            except TimeoutError:
                pass
        self.assertEqual(answers, 1)
        self.assertEqual((await self.client.request()).status, 200)
