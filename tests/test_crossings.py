"""Two events that cross, forced one before the other: docs/crossings.md has a row for each."""

from __future__ import annotations

import asyncio

from harness import PATIENCE_S, Client, Message, PlatformCase, Server, reply, reset


class CrossingCase(PlatformCase):
    async def settled(self) -> None:
        """All that has come to the program so far has been read and acted on: a round trip that begins now
        takes a later turn of its loop, and the second one a turn after what that turn began."""
        other = await Client(self.port).open()
        for _ in range(2):
            await other.raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        other.writer.close()


class Answers(CrossingCase):
    """What a node sends, and how its connection ends."""

    async def test_a_reset_is_no_end_of_an_answer_without_a_length(self) -> None:
        async def script(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if len(server.seen) > 1:
                reply(writer, b"whole")
                return
            writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\nhal")
            await self.settled()  # its head has been read, and the body is waited for
            reset(writer)

        self.node.script = script
        answer = await self.client.ask()
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
        self.client.writer.write(self.client.text())
        async with asyncio.timeout(PATIENCE_S):
            await self.client.reader.readuntil(b"\r\n\r\n")
            await self.client.reader.readexactly(1 << 16)
            read.set()
            rest = await self.client.reader.read()  # to the end of the connection
        self.assertFalse(rest.endswith(b"0\r\n\r\n"))  # without the last chunk
