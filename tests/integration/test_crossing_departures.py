"""A client that leaves, a drain or a deadline that crosses an attempt."""

from __future__ import annotations

import asyncio
import socket

from crossing_cases import CrossingCase
from harness import (
    TIMEOUT_S,
    Initiator,
    IscsiCase,
    Message,
    Server,
    Target,
    cdb,
    reply,
    serve_ok,
)


def full_backlog(late: socket.socket) -> list[socket.socket]:
    """Listen, and keep the backlog full: a further connect waits until what is given back is closed."""
    late.bind(("127.0.0.1", 0))
    late.listen(0)
    fill = [socket.socket() for _ in range(3)]
    for one in fill:
        one.setblocking(False)
        one.connect_ex(late.getsockname())
    return fill


class Leaving(CrossingCase):
    """A client that leaves while its request waits for its first attempt."""

    setting_overrides = {"limits": {"connect-timeout-us": 1_900_000}}

    async def hold_the_node(self) -> asyncio.Event:
        """Keep the node's window full, so that what comes waits in the module."""
        free = asyncio.Event()

        async def held(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            reply(writer)

        self.node.script = held
        for _ in range(2):
            client = await self.connect()
            client.writer.write(client.encode_request())
        await self.node.wait_until(lambda: len(self.node.requests) == 2)
        return free

    async def seen_after(self, free: asyncio.Event) -> set[str]:
        """The ids that the node has seen once a request that came later is answered."""
        free.set()
        self.assertEqual((await self.client.request(X_Request_Id="00000000000000ff")).status, 200)
        return {message.headers["x-request-id"] for message in self.node.requests}

    async def test_what_waits_in_the_module_is_not_sent_on(self) -> None:
        free = await self.hold_the_node()
        for end in ("close", "shutdown"):  # TCP tells neither from the other
            client = await self.connect()
            client.writer.write(client.encode_request(X_Request_Id="00000000000000aa"))
            await self.wait_until_processed()
            client.writer.close() if end == "close" else client.writer.write_eof()
            await self.program.wait_for_counter("answers.client_gone", 1 if end == "close" else 2)
        self.assertNotIn("00000000000000aa", await self.seen_after(free))

    async def test_what_waits_while_the_program_ends_is_not_sent_on(self) -> None:
        free = await self.hold_the_node()
        client = await self.connect()
        client.writer.write(client.encode_request(X_Request_Id="00000000000000aa"))
        await self.wait_until_processed()
        ending = asyncio.create_task(self.program.stop())
        await self.program.wait_for_line("event=stopping")
        client.writer.close()
        await self.program.wait_for_counter("answers.client_gone")
        free.set()
        self.assertEqual(await ending, 0)
        self.assertEqual(len(self.node.requests), 2)  # those that it held

    async def test_what_waits_behind_a_reader_that_is_paused_is_not_sent_on(self) -> None:
        free = await self.hold_the_node()
        client = await self.connect()
        client.writer.write(client.encode_request(X_Request_Id="00000000000000aa"))
        await self.wait_until_processed()
        client.writer.write(client.encode_request(X_Request_Id="00000000000000bb") + b"x" * (1 << 20))
        await self.wait_until_processed()
        client.writer.transport.abort()
        await self.program.wait_for_counter("answers.client_gone")
        seen = await self.seen_after(free)
        self.assertFalse({"00000000000000aa", "00000000000000bb"} & seen)

    async def test_what_waits_for_a_connection_to_a_node_is_not_sent_on(self) -> None:
        with socket.socket() as late:
            fill = full_backlog(late)
            self.discovery.set_endpoint("s-2", late.getsockname()[1], shard=1)
            await self.program.wait_for_line("endpoint=s-2")
            client = await self.connect()
            client.writer.write(client.encode_request(shard=1, X_Request_Id="00000000000000aa"))
            await self.program.wait_for_counter("connections.opened")
            client.writer.close()
            await self.program.wait_for_counter("answers.client_gone")
            late.setblocking(False)
            loop = asyncio.get_running_loop()
            for one in fill:
                one.close()
            await self.program.wait_for_counter("attempts.not_sent")
            async with asyncio.timeout(TIMEOUT_S):
                for _ in fill:  # nothing but these ever came, and none of them says a word
                    try:
                        accepted = late.accept()[0]
                    except BlockingIOError:
                        break
                    with accepted:
                        accepted.setblocking(False)
                        self.assertEqual(await loop.sock_recv(accepted, 1), b"")
        self.assertEqual((await self.program.counters()).get("attempts.sent", 0), 0)


class Dials(CrossingCase):
    """A connection to a node that comes up late, across what happens meanwhile."""

    setting_overrides = {"limits": {"connect-timeout-us": 1_900_000}}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.late = socket.socket()
        self.addCleanup(self.late.close)
        self.fill = full_backlog(self.late)
        self.discovery.set_endpoint("s-2", self.late.getsockname()[1], shard=1)
        await self.program.wait_for_line("endpoint=s-2")

    async def come_up(self) -> Server:
        """The node takes connections from here on."""
        for one in self.fill:
            one.close()
        node = Server(serve_ok)
        node.listener = await asyncio.start_server(node._serve, sock=self.late)
        return node

    async def test_nothing_is_sent_once_the_deadline_has_passed(self) -> None:
        answer = await self.client.request(shard=1, X_Deadline_Ms="300")
        self.assertEqual(answer.status, 503)
        node = await self.come_up()
        self.assertEqual((await self.client.request()).status, 200)
        self.assertFalse(node.requests)
        self.assertEqual((await self.program.counters())["attempts.sent"], 1)

    async def test_nothing_is_sent_once_a_drain_is_told(self) -> None:
        asking = asyncio.create_task(self.client.request(shard=1, X_Deadline_Ms="1200"))
        await self.program.wait_for_counter("connections.opened")
        self.discovery.set_endpoint("s-2", self.late.getsockname()[1], shard=1, health="draining")
        await self.program.wait_for_line("state=draining")
        node = await self.come_up()
        self.assertEqual((await asking).status, 503)
        self.assertFalse(node.requests)

    async def test_what_was_taken_before_the_end_is_still_served(self) -> None:
        asking = asyncio.create_task(self.client.request(shard=1))
        await self.program.wait_for_counter("connections.opened")
        ending = asyncio.create_task(self.program.stop())
        await self.program.wait_for_line("event=stopping")
        await self.come_up()
        self.assertEqual((await asking).status, 200)
        self.assertEqual(await ending, 0)


class Initiators(IscsiCase):
    """The same before the iSCSI front and its nodes."""

    config_replacements = {"connect_timeout_ms = 250": "connect_timeout_ms = 1900"}

    async def asks(self, block: int, taken: int) -> Initiator:
        """An initiator that asks for a block, and whose command is taken."""
        session = await self.open_session()
        session.command(cdb(0x28, block, 512), read=512)
        await self.program.wait_for_counter("commands.taken", taken)
        return session

    async def leaves(self, session: Initiator) -> None:
        session.writer.transport.abort()
        await self.program.wait_for_counter("answers.client_gone", 1)

    async def hold_the_node(self) -> tuple[Initiator, list[int]]:
        """Two commands that fill the node's window for a while."""
        session = await self.open_session()
        self.target.delay_s = 1.0
        held = [session.command(cdb(0x28, block, 512), read=512) for block in (1, 2)]
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.target.started_commands) < 2:
                await asyncio.sleep(0)
        return session, held

    async def test_what_waits_while_the_program_ends_is_not_sent_on(self) -> None:
        session, held = await self.hold_the_node()
        leaver = await self.asks(9, taken=3)
        ending = asyncio.create_task(self.program.stop())
        await self.program.wait_for_line("event=stopping")
        await self.leaves(leaver)
        self.assertEqual([(await session.answer(tag))[0] for tag in held], [0, 0])
        self.assertEqual(await ending, 0)
        self.assertEqual([block for _, block, _ in self.target.started_commands], [1, 2])

    async def test_what_waits_in_the_module_is_not_sent_on(self) -> None:
        session, held = await self.hold_the_node()
        await self.leaves(await self.asks(9, taken=3))
        self.assertEqual([(await session.answer(tag))[0] for tag in held], [0, 0])
        self.target.delay_s = 0.0
        self.assertEqual((await session.read(3, 512))[0], 0)
        self.assertEqual([block for _, block, _ in self.target.started_commands], [1, 2, 3])

    async def test_what_waits_for_a_connection_to_a_node_is_not_sent_on(self) -> None:
        late = socket.socket()
        self.addCleanup(late.close)
        fill = full_backlog(late)
        address = f"127.0.0.1:{late.getsockname()[1]}"
        self.etcd.put("/lr/nodes/n1", {**self.target.node_entry(0), "address": address})
        await self.program.wait_for_line(f"address={address}")
        await self.leaves(await self.asks(9, taken=1))
        for one in fill:
            one.close()
        after = await Target().start(late)
        session = await self.open_session()  # its command takes the connection that was being made
        self.assertEqual((await session.read(3, 512))[0], 0)
        self.assertEqual([block for _, block, _ in after.started_commands], [3])

    async def test_a_session_that_ends_with_its_login_carries_nothing(self) -> None:
        """A command written to it would wait for its deadline, and count as one that may have run."""
        self.target.closes_after_login = True
        session = await self.open_session()
        status, _, _ = await session.write(5, bytes(512))
        self.assertEqual(status, 0x08)  # busy: it never ran, and whoever asks may ask again
        told = await self.program.counters()
        self.assertEqual((told.get("attempts.sent", 0), told["attempts.connect_failed"] > 0), (0, True))
        self.assertEqual(self.target.started_commands, [])
