"""A disconnect, a drain or a deadline that comes while an attempt is about to be sent."""

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


def fill_backlog(listener: socket.socket) -> list[socket.socket]:
    """Listens with a full backlog; returns the sockets whose close lets further connections through."""
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    return fillers


class DisconnectsWhileQueued(CrossingCase):
    """A client disconnects while its request waits for its first attempt."""

    setting_overrides = {"limits": {"connect-timeout-us": 1_900_000}}

    async def saturate_node(self) -> asyncio.Event:
        """Fills the node's window with unanswered requests, so that further requests are queued.

        Returns:
            The event on which the node replies.
        """
        may_reply = asyncio.Event()

        async def reply_later(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer)

        self.node.script = reply_later
        for _ in range(2):
            client = await self.connect()
            client.writer.write(client.encode_request())
        await self.node.wait_until(lambda: len(self.node.requests) == 2)
        return may_reply

    async def request_ids_at_node(self, may_reply: asyncio.Event) -> set[str]:
        """Lets the node reply; returns the ids that it has received once a later request is answered."""
        may_reply.set()
        self.assertEqual((await self.client.request(X_Request_Id="00000000000000ff")).status, 200)
        return {message.headers["x-request-id"] for message in self.node.requests}

    async def test_queued_request_of_disconnected_client_is_not_forwarded(self) -> None:
        may_reply = await self.saturate_node()
        for end in ("close", "shutdown"):  # the program receives the same FIN
            client = await self.connect()
            client.writer.write(client.encode_request(X_Request_Id="00000000000000aa"))
            await self.wait_until_processed()
            client.writer.close() if end == "close" else client.writer.write_eof()
            await self.program.wait_for_counter("answers.client_gone", 1 if end == "close" else 2)
        self.assertNotIn("00000000000000aa", await self.request_ids_at_node(may_reply))

    async def test_queued_request_of_disconnected_client_is_not_forwarded_during_shutdown(self) -> None:
        may_reply = await self.saturate_node()
        client = await self.connect()
        client.writer.write(client.encode_request(X_Request_Id="00000000000000aa"))
        await self.wait_until_processed()
        exit_task = asyncio.create_task(self.program.stop())
        await self.program.wait_for_line("event=stopping")
        client.writer.close()
        await self.program.wait_for_counter("answers.client_gone")
        may_reply.set()
        self.assertEqual(await exit_task, 0)
        self.assertEqual(len(self.node.requests), 2)  # those that saturated it

    async def test_queued_request_of_disconnected_client_with_paused_reader_is_not_forwarded(self) -> None:
        may_reply = await self.saturate_node()
        client = await self.connect()
        client.writer.write(client.encode_request(X_Request_Id="00000000000000aa"))
        await self.wait_until_processed()
        client.writer.write(client.encode_request(X_Request_Id="00000000000000bb") + b"x" * (1 << 20))
        await self.wait_until_processed()
        client.writer.transport.abort()
        await self.program.wait_for_counter("answers.client_gone")
        request_ids = await self.request_ids_at_node(may_reply)
        self.assertFalse({"00000000000000aa", "00000000000000bb"} & request_ids)

    async def test_request_waiting_for_a_node_connection_is_not_forwarded_after_disconnect(self) -> None:
        with socket.socket() as listener:
            fillers = fill_backlog(listener)
            self.discovery.set_endpoint("s-2", listener.getsockname()[1], shard=1)
            await self.program.wait_for_line("endpoint=s-2")
            client = await self.connect()
            client.writer.write(client.encode_request(shard=1, X_Request_Id="00000000000000aa"))
            await self.program.wait_for_counter("connections.opened")
            client.writer.close()
            await self.program.wait_for_counter("answers.client_gone")
            listener.setblocking(False)
            loop = asyncio.get_running_loop()
            for filler in fillers:
                filler.close()
            await self.program.wait_for_counter("attempts.not_sent")
            async with asyncio.timeout(TIMEOUT_S):
                for _ in fillers:  # no other connection has arrived, and these carry no data
                    try:
                        accepted = listener.accept()[0]
                    except BlockingIOError:
                        break
                    with accepted:
                        accepted.setblocking(False)
                        self.assertEqual(await loop.sock_recv(accepted, 1), b"")
        self.assertEqual((await self.program.counters()).get("attempts.sent", 0), 0)


class SlowNodeConnections(CrossingCase):
    """A connection to a node is established late, after an event that concerns its request."""

    setting_overrides = {"limits": {"connect-timeout-us": 1_900_000}}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.listener = socket.socket()
        self.addCleanup(self.listener.close)
        self.fillers = fill_backlog(self.listener)
        self.discovery.set_endpoint("s-2", self.listener.getsockname()[1], shard=1)
        await self.program.wait_for_line("endpoint=s-2")

    async def accept_connections(self) -> Server:
        """Makes the node accept connections from now on."""
        for filler in self.fillers:
            filler.close()
        node = Server(serve_ok)
        node.listener = await asyncio.start_server(node._serve, sock=self.listener)
        return node

    async def test_expired_request_is_not_sent_on_a_late_connection(self) -> None:
        answer = await self.client.request(shard=1, X_Deadline_Ms="300")
        self.assertEqual(answer.status, 503)
        node = await self.accept_connections()
        self.assertEqual((await self.client.request()).status, 200)
        self.assertFalse(node.requests)
        self.assertEqual((await self.program.counters())["attempts.sent"], 1)

    async def test_request_is_not_sent_on_a_late_connection_to_a_draining_node(self) -> None:
        response_task = asyncio.create_task(self.client.request(shard=1, X_Deadline_Ms="1200"))
        await self.program.wait_for_counter("connections.opened")
        self.discovery.set_endpoint("s-2", self.listener.getsockname()[1], shard=1, health="draining")
        await self.program.wait_for_line("state=draining")
        node = await self.accept_connections()
        self.assertEqual((await response_task).status, 503)
        self.assertFalse(node.requests)

    async def test_request_accepted_before_shutdown_is_served_on_a_late_connection(self) -> None:
        response_task = asyncio.create_task(self.client.request(shard=1))
        await self.program.wait_for_counter("connections.opened")
        exit_task = asyncio.create_task(self.program.stop())
        await self.program.wait_for_line("event=stopping")
        await self.accept_connections()
        self.assertEqual((await response_task).status, 200)
        self.assertEqual(await exit_task, 0)


class InitiatorDisconnectsWhileQueued(IscsiCase):
    """The same tests for the iSCSI front."""

    config_replacements = {"connect_timeout_ms = 250": "connect_timeout_ms = 1900"}

    async def start_read(self, block: int, accepted_count: int) -> Initiator:
        """Returns an initiator whose read of a block is the program's accepted command `accepted_count`."""
        session = await self.open_session()
        session.command(cdb(0x28, block, 512), read=512)
        await self.program.wait_for_counter("commands.taken", accepted_count)
        return session

    async def disconnect(self, session: Initiator) -> None:
        """Aborts the connection of an initiator and waits until the program has noticed it."""
        session.writer.transport.abort()
        await self.program.wait_for_counter("answers.client_gone", 1)

    async def saturate_node(self) -> tuple[Initiator, list[int]]:
        """Fills the node's window with two commands of 1 s; returns their session and task tags."""
        session = await self.open_session()
        self.target.delay_s = 1.0
        tags = [session.command(cdb(0x28, block, 512), read=512) for block in (1, 2)]
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.target.started_commands) < 2:
                await asyncio.sleep(0)
        return session, tags

    async def test_queued_command_of_disconnected_initiator_is_not_forwarded_during_shutdown(self) -> None:
        session, tags = await self.saturate_node()
        disconnecting = await self.start_read(9, accepted_count=3)
        exit_task = asyncio.create_task(self.program.stop())
        await self.program.wait_for_line("event=stopping")
        await self.disconnect(disconnecting)
        self.assertEqual([(await session.answer(tag))[0] for tag in tags], [0, 0])
        self.assertEqual(await exit_task, 0)
        self.assertEqual([block for _, block, _ in self.target.started_commands], [1, 2])

    async def test_queued_command_of_disconnected_initiator_is_not_forwarded(self) -> None:
        session, tags = await self.saturate_node()
        await self.disconnect(await self.start_read(9, accepted_count=3))
        self.assertEqual([(await session.answer(tag))[0] for tag in tags], [0, 0])
        self.target.delay_s = 0.0
        self.assertEqual((await session.read(3, 512))[0], 0)
        self.assertEqual([block for _, block, _ in self.target.started_commands], [1, 2, 3])

    async def test_command_waiting_for_a_node_connection_is_not_forwarded_after_disconnect(self) -> None:
        listener = socket.socket()
        self.addCleanup(listener.close)
        fillers = fill_backlog(listener)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.etcd.put("/lr/nodes/n1", {**self.target.node_entry(0), "address": address})
        await self.program.wait_for_line(f"address={address}")
        await self.disconnect(await self.start_read(9, accepted_count=1))
        for filler in fillers:
            filler.close()
        target = await Target().start(listener)
        session = await self.open_session()  # its command uses the connection opened for the first one
        self.assertEqual((await session.read(3, 512))[0], 0)
        self.assertEqual([block for _, block, _ in target.started_commands], [3])

    async def test_command_is_not_sent_on_a_session_closed_with_its_login(self) -> None:
        """Guards against a command that is written to a session which the target has closed.

        Such a command would wait for its deadline and then count as one that may have run.
        """
        self.target.closes_after_login = True
        session = await self.open_session()
        status, _, _ = await session.write(5, bytes(512))
        self.assertEqual(status, 0x08)  # BUSY: the command never ran and may be repeated
        counters = await self.program.counters()
        self.assertEqual(
            (counters.get("attempts.sent", 0), counters["attempts.connect_failed"] > 0), (0, True)
        )
        self.assertEqual(self.target.started_commands, [])
