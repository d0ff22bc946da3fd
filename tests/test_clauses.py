"""Clauses of the pages at their limits, on the real program; docs/terms-audit.md names them row by row."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import signal
import socket
import struct
from typing import Any

from harness import (
    FACTS,
    PATIENCE_S,
    Client,
    Message,
    PlatformCase,
    Server,
    read_message,
    reply,
    serve_ok,
)
from test_faults import HELD_S, FaultCase, drained, pause
from test_iscsi_rude import READ, FrontCase

GONE_S = 0.1  # STANDING: an attempt that begins later after a client's close is a break
ANSWER_SLACK_S = 0.5  # STANDING: up to so long after its time an answer only earns nothing
SLACK_S = 0.05  # PROTOCOL: every time limit on sockets is so much longer


class ClientsThatLeave(PlatformCase):
    """STANDING: a client that closes its connection has gone."""

    async def attempts_after(self, behind: bytes, resets: bool) -> list[float]:
        """A node turns requests away; the client leaves while the program is held up. When, after the close,
        attempts begin."""
        loop, begun = asyncio.get_running_loop(), list[float]()

        async def busy(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            begun.append(loop.time())
            await asyncio.sleep(0.03)
            reply(writer, status=503, X_Not_Run="1")

        self.node.script = busy
        client = socket.create_connection(("127.0.0.1", self.port))
        client.send(self.client.text() + behind)
        await self.node.until(lambda: bool(begun))
        self.program.process.send_signal(signal.SIGSTOP)
        if resets:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        closed_at = loop.time()
        await pause(closed_at + HELD_S)
        self.program.process.send_signal(signal.SIGCONT)
        await pause(closed_at + 0.5)
        return [at - closed_at for at in begun if at > closed_at]

    async def test_nothing_begins_for_one_that_has_gone(self) -> None:
        half = self.client.text()[:40]
        for behind in (b"", half, half + b"x" * 60_000, self.client.text() * 400):
            for resets in (False, True):
                with self.subTest(behind=len(behind), resets=resets):
                    late = [at for at in await self.attempts_after(behind, resets) if at > GONE_S]
                    self.assertEqual(late, [])


class InitiatorsThatLeave(FrontCase):
    """The same on the iSCSI front, at a level at which a command ends with its connection."""

    async def test_nothing_begins_for_one_that_has_gone(self) -> None:
        peer = await self.peer()
        await peer.good(READ, read=4096)
        before = len(self.node.begun)
        self.program.process.send_signal(signal.SIGSTOP)
        peer.command(READ, read=4096)
        await peer.writer.drain()
        peer.close()
        await pause(asyncio.get_running_loop().time() + HELD_S)
        self.program.process.send_signal(signal.SIGCONT)
        await pause(asyncio.get_running_loop().time() + 0.3)
        self.assertEqual(len(self.node.begun), before)


class LittleTime(PlatformCase):
    """STANDING: requests with very little time left; PROTOCOL: 64 KiB both ways, any form, in any pieces."""

    async def test_each_gets_its_answer(self) -> None:
        loop = asyncio.get_running_loop()
        for text in ("1", "2", "5", "10", "20", "40", "999999999"):
            with self.subTest(deadline_ms=text):
                began = loop.time()
                answer = await self.client.ask(X_Deadline_Ms=text)
                self.assertIn(answer.status, (200, 503))
                self.assertLess(loop.time() - began, min(int(text), 1000) / 1000 + ANSWER_SLACK_S)

    async def test_one_that_waits_behind_another_has_its_time_from_its_last_byte(self) -> None:
        """Two at once on a connection: the first takes 0.6 s, the second would wait for 0.3 s."""

        async def slowly(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.6)
            reply(writer)

        self.node.script = slowly
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self.client.writer.write(self.client.text() + self.client.text(X_Deadline_Ms="300"))
        async with asyncio.timeout(PATIENCE_S):
            statuses = [(await read_message(self.client.reader)).status for _ in range(2)]
        self.assertEqual(statuses, [200, 503])
        self.assertLess(loop.time() - sent_at, 0.3 + ANSWER_SLACK_S + SLACK_S)
        self.assertEqual(len(self.node.seen), 1)

    async def test_a_node_that_drops_them_without_a_word_costs_no_answer(self) -> None:
        async def silent(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            pass

        self.node.script = silent
        loop = asyncio.get_running_loop()
        for cls in ("read", "new-write"):
            for text in ("30", "60", "200"):
                with self.subTest(cls=cls, deadline_ms=text):
                    began = loop.time()
                    client = await self.connect()
                    answer = await client.ask(cls, X_Deadline_Ms=text)
                    self.assertIn(answer.status, (502, 503))
                    self.assertLess(loop.time() - began, int(text) / 1000 + ANSWER_SLACK_S)

    async def test_those_that_a_node_drops_close_it_to_no_other(self) -> None:
        """A quiet broker: two requests with 30 ms, which the node drops without a word, then one with 2 s."""

        async def drops(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if int(message.headers["x-deadline-ms"]) >= 50:
                await serve_ok(server, message, writer)

        self.node.script = drops
        loop = asyncio.get_running_loop()
        self.assertEqual((await self.client.ask()).status, 200)
        for _ in range(2):
            await pause(loop.time() + 0.25)
            client = await self.connect()
            self.assertEqual((await client.ask(X_Deadline_Ms="30")).status, 503)
        asked_at = loop.time()
        self.assertEqual((await self.client.ask()).status, 200)
        self.assertLess(loop.time() - asked_at, FACTS["classes"][0]["aim-us"] / 1e6)

    async def test_64_kib_both_ways_in_pieces_of_one_byte(self) -> None:
        body = bytes(range(256)) * 256

        async def echo(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            reply(writer, message.body)

        self.node.script = echo
        text = self.client.text("new-write", body=body)
        head = text.index(b"\r\n\r\n") + 4
        for at in range(head):
            self.client.writer.write(text[at : at + 1])
            await self.client.writer.drain()
        for at in range(head, len(text), 97):
            self.client.writer.write(text[at : at + 97])
            await self.client.writer.drain()
        async with asyncio.timeout(PATIENCE_S):
            answer = await read_message(self.client.reader)
        self.assertEqual((answer.status, answer.body), (200, body))


class LittleTimeBeforeALargeFleet(PlatformCase):
    """PROTOCOL: a node turns away, with 503 or 504 and X-Not-Run, also what is already over."""

    facts = {"fleet-size": 40}

    async def test_those_that_a_node_turns_away_close_it_to_no_other(self) -> None:
        async def turns_away(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if int(message.headers["x-deadline-ms"]) >= 50:
                await serve_ok(server, message, writer)
            else:
                reply(writer, status=504, X_Not_Run="1")

        self.node.script = turns_away
        loop = asyncio.get_running_loop()
        self.assertEqual((await self.client.ask()).status, 200)
        for _ in range(2):
            client = await self.connect()
            self.assertEqual((await client.ask(X_Deadline_Ms="30")).status, 503)
        asked_at = loop.time()
        self.assertEqual((await self.client.ask()).status, 200)
        self.assertLess(loop.time() - asked_at, FACTS["classes"][0]["aim-us"] / 1e6)


class RepeatsInAWindow(PlatformCase):
    """WIRE, rule 2: what may have run is sent again only as its class allows, also where all goes wrong."""

    facts = {
        "classes": [
            FACTS["classes"][0],
            {**FACTS["classes"][1], "group": "all", "memory-span-us": 300_000},
            {**FACTS["classes"][1], "name": "once-only", "semantics": "once"},
        ],
        "family-info": {"class-writes": [False, True, True]},
    }

    async def begun(self, cls: str, held_s: float = 0.0) -> tuple[list[float], Message]:
        """When attempts come to a node that resets each once it is whole, and the client's answer."""
        loop, begun = asyncio.get_running_loop(), list[float]()

        async def breaks(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            begun.append(loop.time())
            if held_s and len(begun) == 1:
                self.program.process.send_signal(signal.SIGSTOP)
                writer.transport.abort()
                await asyncio.sleep(held_s)
                self.program.process.send_signal(signal.SIGCONT)
                return
            writer.transport.abort()

        self.node.script = breaks
        client = await self.connect()
        method = "GET" if cls == "read" else "PUT"
        answer = await client.ask(cls, shard=-1, Idempotency_Key="k", method=method)
        return begun, answer

    async def test_a_key_is_sent_again_within_its_window_alone(self) -> None:
        begun, answer = await self.begun("new-write")
        self.assertLessEqual(begun[-1] - begun[0], 0.3 + SLACK_S)
        self.assertIn(answer.status, (502, 503))
        begun, _ = await self.begun("new-write", held_s=0.35)
        self.assertEqual(len(begun), 1)  # the window was over when the program went on

    async def test_what_may_run_once_is_never_sent_again_nor_refused(self) -> None:
        for held_s in (0.0, HELD_S):
            begun, answer = await self.begun("once-only", held_s)
            self.assertEqual((len(begun), answer.status), (1, 502))

    async def test_at_most_four_attempts_and_never_two_at_once(self) -> None:
        begun, answer = await self.begun("read")
        self.assertLessEqual(len(begun), 4)
        self.assertIn(answer.status, (502, 503))


class WordedByTheBroker(PlatformCase):
    """Every code that the broker words itself, on a connection that the client can still read."""

    async def test_each_code_is_a_whole_answer_and_no_refusal_of_what_may_have_run(self) -> None:
        path = "/read/00000003b4d60021/7f3a9c21e0b4d655"
        for changes, status in (
            ({"path": "/read/3/4"}, 404),
            ({"method": "PUT"}, 405),
            ({"X_Class": None}, 400),
            ({"cls": "new-write", "Content_Length": str(40 << 20)}, 413),
            ({"path": path + "?" + "x" * 70_000}, 431),
        ):
            with self.subTest(status=status):
                client = await Client(self.port).open()
                answer: Message = await client.ask(**changes)  # type: ignore[arg-type]
                self.assertEqual(answer.status, status)
                async with asyncio.timeout(PATIENCE_S):
                    self.assertEqual(await client.reader.read(), b"")
                client.writer.close()
        self.assertEqual(self.node.seen, [])

    async def test_an_id_that_is_open_gets_409_and_harms_the_first_one_in_nothing(self) -> None:
        async def slowly(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.1)
            reply(writer)

        self.node.script = slowly
        other = await self.connect()
        text = self.client.text()
        self.client.writer.write(text)
        await self.node.until(lambda: bool(self.node.seen))
        self.assertEqual((await other.raw(text)).status, 409)
        async with asyncio.timeout(PATIENCE_S):
            self.assertEqual((await read_message(self.client.reader)).status, 200)
        self.assertEqual(len(self.node.seen), 1)


class ToldInEachWay(FaultCase):
    """A drain counts as told, whatever happens to the watch around it: 0.5 s, or 6 s after a silence."""

    async def test_after_a_broken_watch(self) -> None:
        for writer in list(self.discovery.writers):
            writer.transport.abort()
        await self.within(0.5)

    async def test_by_a_slow_first_byte(self) -> None:
        """Discovery that is crowded: the head of each answer comes 1.2 s late."""
        plain = self.register.script

        async def late(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if "wait_ms=1 " in message.start or "after" not in message.start:
                await asyncio.sleep(1.2)
            await plain(server, message, writer)

        self.discovery.script = late
        for writer in list(self.discovery.writers):
            writer.transport.abort()
        await drained(self)

    async def test_twice_in_a_row_and_with_the_program_held_up(self) -> None:
        self.register.set("s-1", self.node.port, health="draining")
        self.register.set("s-1", self.node.port)
        await self.within(0.5, held_s=HELD_S)

    async def within(self, grace_s: float, held_s: float = 0.0) -> None:
        """No attempt begins later than the grace after discovery has written the drain."""
        loop = asyncio.get_running_loop()
        begun: list[float] = []

        async def recorded(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            begun.append(loop.time())
            reply(writer)

        self.node.script = recorded
        self.register.set("s-1", self.node.port, health="draining")
        told_at = loop.time()
        if held_s:
            self.program.process.send_signal(signal.SIGSTOP)
        clients = [await Client(self.port).open() for _ in range(20)]
        for client in clients:
            client.writer.write(client.text())
        if held_s:
            await pause(told_at + held_s)
            self.program.process.send_signal(signal.SIGCONT)
        while loop.time() < told_at + grace_s + 0.3:
            with contextlib.suppress(ConnectionError):
                await self.client.ask(X_Deadline_Ms="60")
            await asyncio.sleep(0.01)
        for client in clients:
            client.writer.transport.abort()
        self.assertEqual([at - told_at for at in begun if at > told_at + grace_s + SLACK_S], [])


class Unread(PlatformCase):
    """A request that was read in part makes room by an answer: its last byte may be on its way."""

    sockets = 64

    async def test_a_partial_request_that_makes_room_is_answered(self) -> None:
        async def silent(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            pass

        self.node.script = silent
        slow = await Client(self.port).open()
        slow.writer.write(slow.text()[:60])
        await pause(asyncio.get_running_loop().time() + 0.1)
        crowd: list[Any] = []
        for _ in range(20):  # all of them have a request open: none can be spared
            crowd.append(await Client(self.port).open())
            crowd[-1].writer.write(crowd[-1].text())
        async with asyncio.timeout(PATIENCE_S):
            answer = await read_message(slow.reader)
        self.assertEqual(answer.status, 503)
        for client in [slow, *crowd]:
            client.writer.close()


class Outages(PlatformCase):
    """STANDING: while discovery is down the agent learns nothing; what it gets at its return counts."""

    async def test_a_drain_that_begins_as_an_outage_ends_is_heard_in_time(self) -> None:
        loop = asyncio.get_running_loop()
        for step in range(4):  # at four moments of the pause between two calls
            with self.subTest(step=step):
                self.register.set("s-1", self.node.port)
                await drained_or_not(self, 200)
                self.discovery.listener.close()
                for writer in list(self.discovery.writers):
                    writer.transport.abort()
                await pause(loop.time() + 1.0 + 0.07 * step)
                self.register.set("s-1", self.node.port, health="draining")
                await self.discovery.start()
                returned_at, begun = loop.time(), self.record()
                while loop.time() < returned_at + 1.2:
                    with contextlib.suppress(ConnectionError):
                        await self.client.ask(X_Deadline_Ms="60")
                    await asyncio.sleep(0.01)
                self.assertEqual([at for at in begun if at - returned_at > 0.5 + SLACK_S], [])
                self.node.script = serve_ok

    def record(self) -> list[float]:
        """When attempts come from now on."""
        loop, begun = asyncio.get_running_loop(), list[float]()

        async def recorded(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            begun.append(loop.time())
            reply(writer)

        self.node.script = recorded
        return begun

    async def test_a_drain_after_sigterm_is_kept_up_to_the_end(self) -> None:
        """The watch goes on up to the end of the process, and is opened anew where it breaks."""
        loop, begun = asyncio.get_running_loop(), self.record()
        self.program.process.send_signal(signal.SIGTERM)
        told_at = loop.time() + 0.1
        told = False
        while self.program.process.returncode is None and loop.time() < told_at + 4:
            if not told and loop.time() >= told_at:
                told, told_at = True, loop.time()
                for writer in list(self.discovery.writers):
                    writer.transport.abort()
                self.register.set("s-1", self.node.port, health="draining")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                client = await Client(self.port).open()
                await client.ask(X_Deadline_Ms="60")
                client.writer.close()
            await asyncio.sleep(0.01)
        self.assertTrue(begun)
        self.assertEqual([at for at in begun if at - told_at > 0.5 + SLACK_S], [])


async def drained_or_not(case: PlatformCase, status: int) -> None:
    """Ask until an answer has this status."""
    async with asyncio.timeout(PATIENCE_S):
        while (await case.client.ask(X_Deadline_Ms="300")).status != status:
            await asyncio.sleep(0.01)


class Restarts(PlatformCase):
    """WIRE, rule 2, across a restart: a broker keeps nothing, so nothing that it sent is sent again."""

    facts = RepeatsInAWindow.facts

    async def test_what_a_killed_broker_had_sent_is_not_sent_again(self) -> None:
        loop, begun = asyncio.get_running_loop(), list[str]()

        async def hangs(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            begun.append(message.headers["x-request-id"])

        self.node.script = hangs
        clients = [await self.connect() for _ in range(2)]
        for client, cls in zip(clients, ("once-only", "new-write")):
            client.writer.write(client.text(cls, shard=-1, Idempotency_Key="k", method="PUT"))
        await self.node.until(lambda: len(begun) == 2)
        await self.program.end(signal.SIGKILL)
        self.node.script = serve_ok
        await self.launch()
        self.assertEqual((await (await self.connect()).ask()).status, 200)
        await pause(loop.time() + 0.5)
        came = [message.headers.get("x-request-id") for message in self.node.seen]
        self.assertEqual([came.count(name) for name in begun], [1, 1])


class ShortWrites(FaultCase):
    """NOTES: reads and writes may be short; a broken connection may show as ETIMEDOUT or EHOSTUNREACH."""

    async def test_64_kib_both_ways_by_short_writes_and_reads(self) -> None:
        async def echo(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            reply(writer, message.body)

        self.node.script = echo
        body = bytes(range(256)) * 256
        for most in (999, 61):
            with self.subTest(most=most):
                self.faults.set(send_at_most=most)
                answer = await self.client.ask("new-write", body=body, shard=-1)
                self.assertEqual((answer.status, answer.body), (200, body))

    async def test_a_connection_that_breaks_in_any_way_is_a_reset(self) -> None:
        """What is safe is sent again."""
        for name in ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "EPIPE"):
            with self.subTest(error=name):
                before = len(self.node.seen)
                self.node.script = functools.partial(self.break_once, name)
                self.assertEqual((await self.client.ask()).status, 200)
                self.assertEqual(len(self.node.seen) - before, 2)

    async def break_once(
        self, name: str, node: Server, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        """The program's read of the answer fails; that of the next attempt does not."""
        self.faults.set(recv=name, recv_ports=[self.node.port])
        node.script = self.mended
        reply(writer)

    async def mended(self, _: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        self.faults.set()
        reply(writer)


class SlowReaders(PlatformCase):
    """STANDING: the time that an attempt tells its node is at most what is left, with 0.15 s of slack."""

    async def test_a_body_of_64_kib_to_a_node_that_reads_slowly(self) -> None:
        """The head is true as it comes, however long the body takes."""
        loop = asyncio.get_running_loop()
        heads: list[tuple[float, int]] = []

        async def slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            heads.append((loop.time(), int(head.partition("x-deadline-ms: ")[2].split("\r")[0])))
            for _ in range(64):
                await reader.readexactly(1024)
                await asyncio.sleep(0.005)
            reply(writer)

        slow = await asyncio.start_server(slowly, "127.0.0.1", 0, limit=1024)
        self.addCleanup(slow.close)
        port = slow.sockets[0].getsockname()[1]
        self.register.set("s-1", port)
        await self.program.line(f":{port}")  # its new address; the line of its first one may be read late
        sent_at = loop.time()
        answer = await self.client.ask("new-write", shard=-1, body=b"x" * 65_536, X_Deadline_Ms="2000")
        self.assertEqual(answer.status, 200)
        ((came_at, told_ms),) = heads
        self.assertLessEqual(told_ms, 2000 - (came_at - sent_at) * 1000 + 150)


class LongPolls(PlatformCase):
    """STANDING: what a silent long poll misses counts as told 2 s after its wait is over."""

    facts = {"discovery": "ask"}
    WAIT_S, TOLD_S = 60.0, 2.0

    async def test_a_drain_that_a_silent_long_poll_missed_is_heard_in_time(self) -> None:
        """It takes the whole wait of the page: no shorter one shows what is done at its end."""
        loop = asyncio.get_running_loop()
        for writer in list(self.discovery.writers):
            writer.transport.abort()  # the poll that is open may have been there for a while
        before = len(self.discovery.seen)
        await self.discovery.until(lambda: len(self.discovery.seen) > before)
        polled_at = loop.time()
        await self.register.fall_silent()
        self.register.silent = False  # as it is for the calls that come now
        self.register.set("s-1", self.node.port, health="draining")
        await pause(polled_at + self.WAIT_S + self.TOLD_S + 0.5)
        client, before = await self.connect(ready=False), len(self.node.seen)
        self.assertEqual((await client.ask(X_Deadline_Ms="300")).status, 503)
        self.assertEqual(len(self.node.seen), before)
