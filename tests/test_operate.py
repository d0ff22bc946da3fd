"""Operators' calls, maintenance of nodes and the life of the process: pure, and on the real program."""

from __future__ import annotations

import asyncio
import signal
import socket
import unittest
from typing import Any

from harness import PATIENCE_S, ROOT, Message, PlatformCase, Program, Server, free_port, reply
from hypothesis import given
from hypothesis import strategies as st

from lemonridge.operate import lifecycle as times
from lemonridge.operate.admin_calls import LINE_MAX, AdminCall, AdminRequest, parse
from lemonridge.operate.errors import BadCallError
from lemonridge.operate.lifecycle import NEVER_US, Lifecycle, Phase
from lemonridge.operate.maintenance import Maintenance
from lemonridge.scheduling.events import Endpoint, EndpointState


class Calls(unittest.TestCase):
    def test_each_call_is_read_with_its_words_and_nothing_more(self) -> None:
        for call in (AdminCall.READY, AdminCall.DRAIN, AdminCall.RESUME):
            self.assertEqual(parse(call.value.encode() + b"\r\n"), AdminRequest(call))
        self.assertEqual(parse(b"disable-server  s-5be2a07c"), AdminRequest(AdminCall.DISABLE, "s-5be2a07c"))
        for line, why in (
            (b"", "empty"),
            (b"stop", "unknown"),
            (b"READY", "unknown"),
            (b"drain now", "further"),
            (b"disable-server", "one node id"),
            (b"enable-server a b", "one node id"),
            (b"ready \xff", "plain"),
            (b"disable-server \x01", "read"),
            (b"x" * (LINE_MAX + 1), "long"),
        ):
            with self.subTest(line=line), self.assertRaisesRegex(BadCallError, why):
                parse(line)

    @given(st.binary(max_size=2 * LINE_MAX))
    def test_any_bytes_are_a_call_or_get_one_plain_line(self, line: bytes) -> None:
        try:
            parse(line)
        except BadCallError as error:
            self.assertNotIn("\n", str(error))


def entry(started_us: int = 0, condition: EndpointState = EndpointState.ACTIVE) -> Endpoint:
    return Endpoint("s-1", 0, 0, condition, started_us)


class Bans(unittest.TestCase):
    def test_a_ban_lies_over_what_discovery_says_until_it_is_called_back_once(self) -> None:
        bans = Maintenance()
        self.assertFalse(bans.enable("s-1", 5))
        for now in (10, 20):
            self.assertTrue(bans.disable("s-1", now))
        for condition in EndpointState:
            self.assertIsNot(bans.apply(entry(condition=condition)).condition, EndpointState.ACTIVE)
        self.assertIs(bans.apply(entry(condition=EndpointState.REMOVED)).condition, EndpointState.REMOVED)
        self.assertTrue(bans.enable("s-1", 30))
        self.assertIs(bans.apply(entry()).condition, EndpointState.ACTIVE)

    def test_a_node_that_is_back_is_cold_from_the_call_until_discovery_tells_its_start(self) -> None:
        bans = Maintenance()
        bans.disable("s-1", 10)
        bans.enable("s-1", 30)
        self.assertEqual(bans.apply(entry(9)).started_us, 30)
        self.assertEqual(bans.apply(entry(25)).started_us, 25)
        bans.prune(["s-1"])
        self.assertEqual(bans.apply(entry(0)).started_us, 30)
        bans.prune([])
        self.assertEqual(bans.apply(entry(0)).started_us, 0)

    @given(st.lists(st.tuples(st.sampled_from(["disable", "enable", "prune", "hand"]), st.integers(0, 3))))
    def test_what_is_out_is_what_was_called_out_last(self, steps: list[tuple[str, int]]) -> None:
        bans, out = Maintenance(), set()
        for now, (step, number) in enumerate(steps):
            node = f"s-{number}"
            if step == "disable":
                bans.disable(node, now)
                out.add(node)
            elif step == "enable":
                self.assertEqual(bans.enable(node, now), node in out)
                out.discard(node)
            elif step == "prune":
                bans.prune([])  # nothing is listed any more: a ban stays
            else:
                after = Maintenance()
                after.replace_all(bans.banned(), bans.returned())
                bans = after
            self.assertEqual(set(bans.banned()), out)


S = 1_000_000


class Lives(unittest.TestCase):
    def test_the_table_of_the_end_is_what_the_schedule_says(self) -> None:
        """docs/shutdown.md, worked out anew."""
        text = (ROOT / "docs" / "shutdown.md").read_text()
        rows = [
            [int(cell) for cell in line.strip("| ").split(" | ")]
            for line in text.splitlines()
            if line.startswith("| ") and line[2].isdigit()
        ]
        self.assertGreater(len(rows), 10)
        for longest_ms, *told in rows:
            plan = times.stop_schedule(longest_ms * 1000)
            worked_out = (
                plan.close_after_answer_from_us,
                plan.accept_until_us,
                plan.request_complete_by_us,
                plan.answer_by_us,
                plan.kill_earliest_us,
            )
            self.assertEqual(told, [one // 1000 for one in worked_out])

    def test_a_drain_ends_every_connection_before_four_seconds(self) -> None:
        lifecycle = Lifecycle(6 * S)
        self.assertTrue(lifecycle.drain(10 * S) and lifecycle.drain(13 * S))  # the first call sets the times
        self.assertFalse(lifecycle.ready)
        self.assertTrue(lifecycle.allows_keep_alive(11 * S))
        self.assertFalse(lifecycle.allows_keep_alive(12 * S))
        self.assertLess(lifecycle.close_idle_from_us, 14 * S - times.DRAIN_YOUNG_REQUESTS_US // 4)
        self.assertLess(lifecycle.answer_by_us(12 * S), 14 * S)
        self.assertEqual(lifecycle.answer_by_us(11 * S), NEVER_US)  # it may take its whole time
        self.assertTrue(lifecycle.resume())
        self.assertTrue(lifecycle.ready and lifecycle.allows_keep_alive(15 * S))
        self.assertEqual((lifecycle.close_idle_from_us, lifecycle.answer_by_us(13 * S)), (NEVER_US, NEVER_US))

    def test_all_that_came_after_the_signal_is_answered_before_sigkill(self) -> None:
        for longest in (S, 6 * S):
            lifecycle = Lifecycle(longest)
            lifecycle.stop(10 * S)
            killed = 10 * S + min(longest, 3 * S) + 700_000
            self.assertLess(lifecycle.answer_by_us(10 * S), killed)
            self.assertEqual(lifecycle.answer_by_us(10 * S - 1), NEVER_US)
            self.assertLessEqual(lifecycle.close_idle_from_us, lifecycle.answer_by_us(10 * S))
            self.assertFalse(lifecycle.drain(11 * S) or lifecycle.resume() or lifecycle.hand_over(11 * S))

    def test_the_process_that_was_replaced_speaks_as_its_successor_does(self) -> None:
        lifecycle = Lifecycle(S)
        lifecycle.hand_over(10 * S)
        self.assertTrue(lifecycle.ready)
        self.assertFalse(lifecycle.allows_keep_alive(10 * S))
        self.assertEqual(lifecycle.close_idle_from_us, NEVER_US)
        lifecycle.stop(12 * S)
        self.assertTrue(lifecycle.ready)
        self.assertLess(lifecycle.close_idle_from_us, NEVER_US)

    @given(
        st.lists(
            st.tuples(st.sampled_from(["drain", "resume", "hand", "back", "stop"]), st.integers(0, 5 * S)),
            max_size=12,
        )
    )
    def test_whatever_happens_an_end_is_final_and_a_drain_is_kept(self, steps: list[tuple[str, int]]) -> None:
        lifecycle, now, stopped, drained = Lifecycle(2 * S), 0, False, False
        for step, later in steps:
            now += later
            if step == "drain":
                drained = lifecycle.drain(now) or drained
            elif step == "resume":
                drained = drained and not lifecycle.resume()
            elif step == "hand":
                lifecycle.hand_over(now)
            elif step == "back":
                lifecycle.undo_handover()
            else:
                lifecycle.stop(now)
                stopped = True
            self.assertEqual(lifecycle.phase is Phase.STOPPING, stopped)
            if drained:
                self.assertFalse(lifecycle.ready)
                self.assertFalse(lifecycle.allows_keep_alive(now + 4 * S))
                self.assertLess(lifecycle.close_idle_from_us, now + 4 * S)
            if stopped:
                self.assertLess(lifecycle.close_idle_from_us, now + 4 * S)


async def call(port: int, line: str, **options: Any) -> str:
    """One call of an operator; its answer."""
    async with asyncio.timeout(PATIENCE_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(line.encode() + options.get("end", b"\n"))
        if options.get("shut"):
            writer.write_eof()
        answer = await reader.read()
        writer.close()
    return answer.decode()


class OperatedCase(PlatformCase):
    """The program with a second address to listen on."""

    async def launch(self, known: dict[str, Any] | None = None) -> None:
        self.admin = free_port()
        self.environment = {"ROUTER_ADMIN_ADDR": f"127.0.0.1:{self.admin}", **self.environment}
        await super().launch(known)

    async def yes(self, line: str) -> None:
        self.assertTrue((await call(self.admin, line)).startswith("ACK"), line)

    async def no(self, line: str) -> None:
        self.assertTrue((await call(self.admin, line)).startswith("NAK"), line)


class Operated(OperatedCase):
    async def test_calls_get_one_line_each_and_rude_callers_hold_up_nobody(self) -> None:
        silent = [await asyncio.open_connection("127.0.0.1", self.admin) for _ in range(50)]
        for _, writer in silent[:10]:
            writer.write(b"rea")
        await self.yes("ready")
        for line in (
            "",
            "halt",
            "ready now",
            "disable-server",
            "disable-server nobody",
            "enable-server nobody",
            "x" * 5000,
        ):
            await self.no(line)
        self.assertTrue((await call(self.admin, "ready", end=b"", shut=True)).startswith("ACK"))
        self.assertEqual((await call(self.admin, "ready\nstop\n")).count("\n"), 1)
        counted = await self.program.counters()
        self.assertGreater(counted["calls.evicted"], 0)
        self.assertEqual(counted["calls.declined"], 7)
        for _, writer in silent:
            writer.close()

    async def test_a_node_that_is_out_gets_nothing_whatever_discovery_says(self) -> None:
        other = await Server(self.node.script).start()
        self.assertEqual((await self.client.ask()).status, 200)
        await self.yes("disable-server s-1")
        await self.yes("disable-server s-1")
        before = len(self.node.seen)
        for health in ("draining", "up"):
            self.register.set("s-1", self.node.port, health=health)
            self.assertIn("state=", await self.program.line('event="endpoint listed"'))
            self.assertEqual((await self.client.ask(X_Deadline_Ms="300")).status, 503)
        self.register.set("s-1", other.port)  # it is back at another address
        await self.program.line('event="endpoint listed"')
        self.assertEqual((await self.client.ask(X_Deadline_Ms="300")).status, 503)
        await self.yes("enable-server s-1")
        self.assertEqual((await self.client.ask()).status, 200)
        self.assertEqual((len(self.node.seen), len(other.seen)), (before, 1))

    async def test_a_ban_during_a_retry_sends_it_nowhere(self) -> None:
        banned = asyncio.Event()

        async def script(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await self.yes("disable-server s-1")
            banned.set()
            reply(writer, status=500)

        self.node.script = script
        answer = await self.client.ask(X_Deadline_Ms="500")
        self.assertTrue(banned.is_set())
        self.assertIn(answer.status, (502, 503))
        self.assertEqual(len(self.node.seen), 1)

    async def test_a_drain_loses_nothing_and_ends_every_connection(self) -> None:
        hold = asyncio.Event()

        async def held(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await hold.wait()
            reply(writer)

        kept, idle = await self.connect(), await self.connect()
        self.node.script = held
        open_request = asyncio.create_task(self.client.ask())
        await self.node.until(lambda: bool(self.node.seen))
        await self.yes("drain")
        await self.yes("drain")
        ready = await (await self.connect(ready=False)).raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(ready.status, 503)
        hold.set()
        self.assertEqual((await open_request).status, 200)
        self.assertEqual((await (await self.connect(ready=False)).ask()).status, 200)  # one that still comes
        while (await kept.ask()).headers.get("connection") != "close":
            pass  # it stays of use for a while, and its last answer says so
        async with asyncio.timeout(times.DRAIN_COMPLETE_US / 1e6):
            self.assertEqual(await idle.reader.read(), b"")
        await self.yes("ready")  # it could serve
        await self.yes("resume")
        await self.connect()  # it is ready again

    async def test_a_resume_and_a_signal_are_taken_at_any_point_of_a_drain(self) -> None:
        await self.yes("drain")
        await self.yes("resume")
        self.assertNotEqual((await self.client.ask()).headers.get("connection"), "close")
        await self.yes("resume")
        await self.yes("drain")
        self.assertEqual(await self.program.end(signal.SIGTERM), 0)


class Addresses(PlatformCase):
    async def test_an_address_that_cannot_be_had_is_one_plain_line(self) -> None:
        taken = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        port = taken.getsockname()[1]
        for environment in (
            {"ROUTER_ADMIN_ADDR": f"127.0.0.1:{port}"},
            {"ROUTER_PASSED_SOCKET": "0"},
            {"ROUTER_PASSED_SOCKET": "five"},
            {"ROUTER_ADMIN_ADDR": "here"},
        ):
            with self.subTest(environment=environment):
                program = await Program().start("serve", ROUTER_CONFIG=self.config, **environment)
                async with asyncio.timeout(PATIENCE_S):
                    self.assertEqual(await program.process.wait(), 2)
                await program.reader
                plain = [line for line in program.lines if line.startswith("lemonridge: ")]
                self.assertEqual(len(plain), 1, program.lines)
                self.assertNotIn("Traceback", "".join(program.lines))
