"""Two events that cross, forced one before the other: docs/crossings.md has a row for each."""

from __future__ import annotations

import asyncio
import socket

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


class Leaving(CrossingCase):
    """A client that leaves while its request waits for its first attempt."""

    facts = {"limits": {"connect-timeout-us": 1_900_000}}

    async def hold_the_node(self) -> asyncio.Event:
        """Keep the node's window full, so that what comes waits in the module."""
        free = asyncio.Event()

        async def held(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            reply(writer)

        self.node.script = held
        for _ in range(2):
            client = await self.connect()
            client.writer.write(client.text())
        await self.node.until(lambda: len(self.node.seen) == 2)
        return free

    async def gone(self, count: int = 1) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while (await self.program.counters()).get("answers.gone", 0) < count:
                pass

    async def seen_after(self, free: asyncio.Event) -> set[str]:
        """The ids that the node has seen once a request that came later is answered."""
        free.set()
        self.assertEqual((await self.client.ask(X_Request_Id="00000000000000ff")).status, 200)
        return {message.headers["x-request-id"] for message in self.node.seen}

    async def test_what_waits_in_the_module_is_not_sent_on(self) -> None:
        free = await self.hold_the_node()
        for end in ("close", "shutdown"):  # TCP tells neither from the other
            client = await self.connect()
            client.writer.write(client.text(X_Request_Id="00000000000000aa"))
            await self.settled()
            client.writer.close() if end == "close" else client.writer.write_eof()
            await self.gone(1 if end == "close" else 2)
        self.assertNotIn("00000000000000aa", await self.seen_after(free))

    async def test_what_waits_behind_a_reader_that_is_paused_is_not_sent_on(self) -> None:
        free = await self.hold_the_node()
        client = await self.connect()
        client.writer.write(client.text(X_Request_Id="00000000000000aa"))
        await self.settled()
        client.writer.write(client.text(X_Request_Id="00000000000000bb") + b"x" * (1 << 20))
        await self.settled()
        client.writer.transport.abort()
        await self.gone()
        seen = await self.seen_after(free)
        self.assertFalse({"00000000000000aa", "00000000000000bb"} & seen)

    async def test_what_waits_for_a_connection_to_a_node_is_not_sent_on(self) -> None:
        with socket.socket() as late:  # its backlog is full: a further connect waits
            late.bind(("127.0.0.1", 0))
            late.listen(0)
            fill = [socket.socket() for _ in range(3)]
            for one in fill:
                one.setblocking(False)
                one.connect_ex(late.getsockname())
            self.register.set("s-2", late.getsockname()[1], shard=1)
            await self.program.line("node=s-2")
            client = await self.connect()
            client.writer.write(client.text(shard=1, X_Request_Id="00000000000000aa"))
            async with asyncio.timeout(PATIENCE_S):
                while (await self.program.counters()).get("connections.opened", 0) < 1:
                    pass
            client.writer.close()
            await self.gone()
            late.setblocking(False)
            loop = asyncio.get_running_loop()
            for one in fill:
                one.close()
            async with asyncio.timeout(PATIENCE_S):
                while (await self.program.counters()).get("attempts.moot", 0) < 1:
                    pass
                for _ in fill:  # nothing but these ever came, and none of them says a word
                    try:
                        accepted = late.accept()[0]
                    except BlockingIOError:
                        break
                    with accepted:
                        accepted.setblocking(False)
                        self.assertEqual(await loop.sock_recv(accepted, 1), b"")
        self.assertEqual((await self.program.counters()).get("attempts.sent", 0), 0)
