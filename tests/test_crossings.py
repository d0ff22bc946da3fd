"""Two events that cross, forced one before the other: docs/crossings.md has a row for each."""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
import signal
import socket
import unittest
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from harness import (
    PATIENCE_S,
    Client,
    Initiator,
    IscsiCase,
    Message,
    PlatformCase,
    Register,
    Server,
    Target,
    cdb,
    read_message,
    reply,
    reset,
    serve_ok,
)

from lemonridge.core.counters import Counters
from lemonridge.iscsi import scsi
from lemonridge.iscsi.keys import Agreed
from lemonridge.iscsi.pdu import FINAL, Op, Pdu
from lemonridge.iscsi.runner import Runner
from lemonridge.iscsi.task import Task


def full_backlog(late: socket.socket) -> list[socket.socket]:
    """Listen, and keep the backlog full: a further connect waits until what is given back is closed."""
    late.bind(("127.0.0.1", 0))
    late.listen(0)
    fill = [socket.socket() for _ in range(3)]
    for one in fill:
        one.setblocking(False)
        one.connect_ex(late.getsockname())
    return fill


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
        self.register.set("s-2", node.sockets[0].getsockname()[1], shard=1)
        await self.program.line("endpoint=s-2")
        body = b"x" * (20 << 20)  # more than the system holds of it
        answer = await self.client.ask("new-write", shard=1, body=body, X_Deadline_Ms="500")
        self.assertNotEqual(answer.status, 200)
        free.set()
        async with asyncio.timeout(PATIENCE_S):
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
        self.register.set("s-2", node.sockets[0].getsockname()[1], shard=1)
        await self.program.line("endpoint=s-2")
        answer = await self.client.ask("new-write", shard=1, body=body)
        self.assertEqual((answer.status, answer.body), (200, b"whole"))
        free.set()
        async with asyncio.timeout(PATIENCE_S):
            await ended.wait()
        self.assertLess(counts[0], len(body))


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
            await self.program.counted("answers.gone", 1 if end == "close" else 2)
        self.assertNotIn("00000000000000aa", await self.seen_after(free))

    async def test_what_waits_while_the_program_ends_is_not_sent_on(self) -> None:
        free = await self.hold_the_node()
        client = await self.connect()
        client.writer.write(client.text(X_Request_Id="00000000000000aa"))
        await self.settled()
        ending = asyncio.create_task(self.program.end())
        await self.program.line("event=stopping")
        client.writer.close()
        await self.program.counted("answers.gone")
        free.set()
        self.assertEqual(await ending, 0)
        self.assertEqual(len(self.node.seen), 2)  # those that it held

    async def test_what_waits_behind_a_reader_that_is_paused_is_not_sent_on(self) -> None:
        free = await self.hold_the_node()
        client = await self.connect()
        client.writer.write(client.text(X_Request_Id="00000000000000aa"))
        await self.settled()
        client.writer.write(client.text(X_Request_Id="00000000000000bb") + b"x" * (1 << 20))
        await self.settled()
        client.writer.transport.abort()
        await self.program.counted("answers.gone")
        seen = await self.seen_after(free)
        self.assertFalse({"00000000000000aa", "00000000000000bb"} & seen)

    async def test_what_waits_for_a_connection_to_a_node_is_not_sent_on(self) -> None:
        with socket.socket() as late:
            fill = full_backlog(late)
            self.register.set("s-2", late.getsockname()[1], shard=1)
            await self.program.line("endpoint=s-2")
            client = await self.connect()
            client.writer.write(client.text(shard=1, X_Request_Id="00000000000000aa"))
            await self.program.counted("connections.opened")
            client.writer.close()
            await self.program.counted("answers.gone")
            late.setblocking(False)
            loop = asyncio.get_running_loop()
            for one in fill:
                one.close()
            await self.program.counted("attempts.not_sent")
            async with asyncio.timeout(PATIENCE_S):
                for _ in fill:  # nothing but these ever came, and none of them says a word
                    try:
                        accepted = late.accept()[0]
                    except BlockingIOError:
                        break
                    with accepted:
                        accepted.setblocking(False)
                        self.assertEqual(await loop.sock_recv(accepted, 1), b"")
        self.assertEqual((await self.program.counters()).get("attempts.sent", 0), 0)


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
        before, clients = self.resident(), [await self.connect(ready=False) for _ in range(120)]
        for client in clients:
            client.writer.write(client.text() + b"x" * (1 << 20))  # a request, and no other behind it
        for _ in range(3):
            await self.settled()
        # 120 requests that are open, and READ and AHEAD for each; unbounded reads made it 28 MB.
        self.assertLess(self.resident() - before, 14 << 20)
        free.set()
        for client in clients[:20]:
            client.writer.transport.abort()  # some go at once
        async with asyncio.timeout(PATIENCE_S):
            for client in clients[20:]:
                self.assertIn((await read_message(client.reader)).status, (200, 503))
        self.assertEqual((await (await self.connect()).ask()).status, 200)


DRAIN_S = 0.55  # nothing new so long after a drain is told: the settings' 500 ms and the protocol's 50


class Watches(CrossingCase):
    """A list that does not come while nodes begin to drain. An agent that pushes has told what it has."""

    async def drained_after(self, since_s: float) -> float:
        """How long after a moment on the loop's clock the drain of the node was taken up."""
        await self.program.line("state=draining")
        return asyncio.get_running_loop().time() - since_s

    async def watching(self) -> int:
        """A watch is open; how many calls there were up to it."""
        await self.discovery.until(lambda: "after=" in self.discovery.seen[-1].start)
        return len(self.discovery.seen)

    async def test_a_watch_that_falls_silent_is_opened_anew_before_its_news_count_as_told(self) -> None:
        await self.watching()
        await self.register.fall_silent()
        silent_s = asyncio.get_running_loop().time()
        self.register.set("s-1", self.node.port, health="draining")
        stale = self.register.answer(False, [{**self.register.rows["s-1"], "health": "up"}])
        self.register.silent = False  # as it is for the calls that come now
        self.assertLess(await self.drained_after(silent_s), 6.0)
        for writer in self.register.muted:  # what comes on the watch that was given up is not read
            reply(writer, stale)
        await self.settled()
        client = await self.connect()
        self.assertNotEqual((await client.ask(X_Deadline_Ms="300")).status, 200)
        self.assertFalse(self.node.seen)

    async def test_an_agent_that_is_silent_is_heard_at_once_when_it_speaks_again(self) -> None:
        calls = await self.watching()
        await self.register.fall_silent()
        reset(self.register.muted[0])
        await self.discovery.until(lambda: len(self.discovery.seen) >= calls + 3)  # each is given up in turn
        self.register.set("s-1", self.node.port, health="draining")
        self.register.silent = False
        self.assertLess(await self.drained_after(asyncio.get_running_loop().time()), DRAIN_S)

    async def test_a_discovery_that_moves_is_heard_though_its_first_answer_never_comes(self) -> None:
        register = Register()
        register.silent = True
        register.set("s-1", self.node.port, health="draining")
        elsewhere = await Server(register.script).start()
        told = json.loads(Path(self.config).read_text())
        Path(self.config).write_text(json.dumps({**told, "discovery": f"127.0.0.1:{elsewhere.port}"}))
        self.program.process.send_signal(signal.SIGHUP)
        moved_s = asyncio.get_running_loop().time()
        await elsewhere.until(lambda: bool(elsewhere.seen))
        register.silent = False
        self.assertLess(await self.drained_after(moved_s), 4.0)

    async def test_a_drain_that_crosses_the_reset_of_the_watch_is_heard(self) -> None:
        await self.watching()
        await self.register.fall_silent()
        self.register.set("s-1", self.node.port, health="draining")
        self.register.silent = False
        reset(self.register.muted[0])
        self.assertLess(await self.drained_after(asyncio.get_running_loop().time()), DRAIN_S)

    async def test_a_spoilt_list_changes_nothing_and_is_asked_for_again(self) -> None:
        row = {**self.register.rows["s-1"], "dial": "127.0.0.1:1", "block": 1}  # taken in, it would show
        good = {"seq": 9, "whole": True, "hosts": [row]}
        spoilt = [
            {**good, "seq": "9"},
            {**good, "seq": True},
            {**good, "whole": "false"},
            {**good, "whole": None},
            {**good, "hosts": {"s-1": row}},
            {**good, "hosts": "s"},
            {**good, "hosts": [row, None]},
            [good],
            *(
                {**good, "hosts": [row, {**row, **change}]}
                for change in (
                    {"host": None},
                    {"host": ""},
                    {"dial": None},
                    {"dial": "nowhere"},
                    {"dial": "127.0.0.1:x"},
                    {"block": "1"},
                    {"block": True},
                    {"health": "well"},
                    {"health": ["up"]},
                    {"born_ms": "1"},
                )
            ),
        ]
        texts = [json.dumps(one).encode() for one in spoilt]
        endless = json.dumps(good).replace('"born_ms": 0', '"born_ms": 1e999')
        texts += [texts[0][:40], b"", b"\xff", endless.encode()]
        bodies = [b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(one), one) for one in texts]
        chunk = b"100000\r\n" + b" " * (1 << 20) + b"\r\n"  # of a list that does not end
        bodies.append(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * 5)
        calls = await self.watching()
        self.register.broken = list(bodies)
        self.register.set("s-2", self.node.port)  # ends the watch
        await self.discovery.until(lambda: len(self.discovery.seen) >= calls + len(bodies) + 2)
        self.assertEqual((await self.client.ask()).status, 200)
        self.assertTrue(all("after=" not in one.start for one in self.discovery.seen[calls + 1 : -1]))
        self.assertNotIn("seq=9", "".join(self.program.lines))

    async def test_a_list_that_has_begun_may_take_longer_than_a_silence(self) -> None:
        await self.watching()
        await self.register.fall_silent()
        self.register.set("s-1", self.node.port, health="draining")
        text = self.register.answer(True, list(self.register.rows.values()))
        calls: list[asyncio.StreamWriter] = []

        async def slowly(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if "after=" in message.start and "wait_ms=1 " not in message.start:  # a watch
                return
            calls.append(writer)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text[:9]))
            await asyncio.sleep(0.4)  # the time that a call without any answer has is 0.25 s
            writer.write(text[9:])

        self.discovery.script = slowly
        reset(self.register.muted[0])
        await self.drained_after(0.0)
        self.assertEqual(len(calls), 1)

    async def test_a_list_may_come_indented_and_in_pieces(self) -> None:
        await self.watching()
        self.register.set("s-1", self.node.port, health="draining")
        text = self.register.answer(True, list(self.register.rows.values()), indent=2)
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (len(text[at : at + 7]), text[at : at + 7]) for at in range(0, len(text), 7)
        )
        head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.register.broken = [head + chunks + b"0\r\n\r\n"]
        self.register.set("s-2", self.node.port, health="removed")
        self.assertLess(await self.drained_after(asyncio.get_running_loop().time()), DRAIN_S)


class Dials(CrossingCase):
    """A connection to a node that comes up late, across what happens meanwhile."""

    facts = {"limits": {"connect-timeout-us": 1_900_000}}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.late = socket.socket()
        self.addCleanup(self.late.close)
        self.fill = full_backlog(self.late)
        self.register.set("s-2", self.late.getsockname()[1], shard=1)
        await self.program.line("endpoint=s-2")

    async def come_up(self) -> Server:
        """The node takes connections from here on."""
        for one in self.fill:
            one.close()
        node = Server(serve_ok)
        node.listener = await asyncio.start_server(node._serve, sock=self.late)
        return node

    async def test_nothing_is_sent_once_the_deadline_has_passed(self) -> None:
        answer = await self.client.ask(shard=1, X_Deadline_Ms="300")
        self.assertEqual(answer.status, 503)
        node = await self.come_up()
        self.assertEqual((await self.client.ask()).status, 200)
        self.assertFalse(node.seen)
        self.assertEqual((await self.program.counters())["attempts.sent"], 1)

    async def test_nothing_is_sent_once_a_drain_is_told(self) -> None:
        asking = asyncio.create_task(self.client.ask(shard=1, X_Deadline_Ms="1200"))
        await self.program.counted("connections.opened")
        self.register.set("s-2", self.late.getsockname()[1], shard=1, health="draining")
        await self.program.line("state=draining")
        node = await self.come_up()
        self.assertEqual((await asking).status, 503)
        self.assertFalse(node.seen)

    async def test_what_was_taken_before_the_end_is_still_served(self) -> None:
        asking = asyncio.create_task(self.client.ask(shard=1))
        await self.program.counted("connections.opened")
        ending = asyncio.create_task(self.program.end())
        await self.program.line("event=stopping")
        await self.come_up()
        self.assertEqual((await asking).status, 200)
        self.assertEqual(await ending, 0)


class Initiators(IscsiCase):
    """The same before the iSCSI front and its nodes."""

    changes = {"connect_timeout_ms = 250": "connect_timeout_ms = 1900"}

    async def asks(self, block: int, taken: int) -> Initiator:
        """An initiator that asks for a block, and whose command is taken."""
        session = await self.session()
        session.command(cdb(0x28, block, 512), read=512)
        await self.program.counted("commands.taken", taken)
        return session

    async def leaves(self, session: Initiator) -> None:
        session.writer.transport.abort()
        await self.program.counted("answers.gone", 1)

    async def hold_the_node(self) -> tuple[Initiator, list[int]]:
        """Two commands that fill the node's window for a while."""
        session = await self.session()
        self.target.delay = 1.0
        held = [session.command(cdb(0x28, block, 512), read=512) for block in (1, 2)]
        async with asyncio.timeout(PATIENCE_S):
            while len(self.target.begun) < 2:
                await asyncio.sleep(0)
        return session, held

    async def test_what_waits_while_the_program_ends_is_not_sent_on(self) -> None:
        session, held = await self.hold_the_node()
        leaver = await self.asks(9, taken=3)
        ending = asyncio.create_task(self.program.end())
        await self.program.line("event=stopping")
        await self.leaves(leaver)
        self.assertEqual([(await session.answer(tag))[0] for tag in held], [0, 0])
        self.assertEqual(await ending, 0)
        self.assertEqual([block for _, block, _ in self.target.begun], [1, 2])

    async def test_what_waits_in_the_module_is_not_sent_on(self) -> None:
        session, held = await self.hold_the_node()
        await self.leaves(await self.asks(9, taken=3))
        self.assertEqual([(await session.answer(tag))[0] for tag in held], [0, 0])
        self.target.delay = 0.0
        self.assertEqual((await session.read(3, 512))[0], 0)
        self.assertEqual([block for _, block, _ in self.target.begun], [1, 2, 3])

    async def test_what_waits_for_a_connection_to_a_node_is_not_sent_on(self) -> None:
        late = socket.socket()
        self.addCleanup(late.close)
        fill = full_backlog(late)
        address = f"127.0.0.1:{late.getsockname()[1]}"
        self.etcd.put("/lr/nodes/n1", {**self.target.row(0), "address": address})
        await self.program.line(f"address={address}")
        await self.leaves(await self.asks(9, taken=1))
        for one in fill:
            one.close()
        after = await Target().start(late)
        session = await self.session()  # its command takes the connection that was being made
        self.assertEqual((await session.read(3, 512))[0], 0)
        self.assertEqual([block for _, block, _ in after.begun], [3])

    async def test_a_session_that_ends_with_its_login_carries_nothing(self) -> None:
        """A command written to it would wait for its deadline, and count as one that may have run."""
        self.target.hangs_up = True
        session = await self.session()
        status, _, _ = await session.write(5, bytes(512))
        self.assertEqual(status, 0x08)  # busy: it never ran, and whoever asks may ask again
        told = await self.program.counters()
        self.assertEqual((told.get("attempts.sent", 0), told["attempts.connect_failed"] > 0), (0, True))
        self.assertEqual(self.target.begun, [])


class Reassigned(unittest.IsolatedAsyncioTestCase):
    """TASK REASSIGN at recovery level 2 beside the end of the command's life, in one turn of the loop."""

    async def responses(self, *, ended_first: bool) -> int:
        """How many SCSI responses the new connection carries."""
        agreed = Agreed(recovery=2)
        sent: list[Pdu] = []
        connection = SimpleNamespace(agreed=agreed, over=False, send=lambda pdu, **_: sent.append(pdu))
        front = SimpleNamespace(loop=asyncio.get_running_loop(), counters=Counters())
        pdu = Pdu(Op.SCSI_COMMAND, FINAL, tag=7)
        task = Task(pdu, scsi.Command(0, b"", True, False, 512), 0, None)
        session: Any = SimpleNamespace(front=front, agreed=agreed, tasks={7: task})
        runner = Runner(session)
        good = scsi.Reply(scsi.Status.GOOD, b"x" * 512)
        if ended_first:
            runner.respond(task, good)
        manage = Pdu(Op.TASK_MANAGEMENT, words=[7, 0, 0, 0, 0, 0, 0])
        self.assertEqual(runner.reassign(connection, manage), 0)  # type: ignore[arg-type]
        if not ended_first:
            runner.respond(task, good)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return sum(pdu.opcode == Op.SCSI_RESPONSE for pdu in sent)

    async def test_a_command_that_ends_before_its_reassignment_is_answered_once(self) -> None:
        self.assertEqual(await self.responses(ended_first=True), 1)

    async def test_a_command_that_ends_in_the_turn_of_its_reassignment_is_answered_once(self) -> None:
        self.assertEqual(await self.responses(ended_first=False), 1)
