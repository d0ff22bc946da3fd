"""Operators' calls to the running program."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Any

from harness import TIMEOUT_S, Message, PlatformCase, Program, Server, free_port, reply

from lemonridge.operate import lifecycle as times


async def call(port: int, line: str, **options: Any) -> str:
    """One call of an operator; its answer."""
    async with asyncio.timeout(TIMEOUT_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(line.encode() + options.get("end", b"\n"))
        if options.get("shut"):
            writer.write_eof()
        answer = await reader.read()
        writer.close()
    return answer.decode()


class OperatorsCase(PlatformCase):
    """The program with a second address to listen on."""

    async def launch(self, known_list: dict[str, Any] | None = None) -> None:
        self.admin = free_port()
        self.environment = {"ROUTER_ADMIN_ADDR": f"127.0.0.1:{self.admin}", **self.environment}
        await super().launch(known_list)

    async def expect_ack(self, line: str) -> None:
        self.assertTrue((await call(self.admin, line)).startswith("ACK"), line)

    async def expect_nak(self, line: str) -> None:
        self.assertTrue((await call(self.admin, line)).startswith("NAK"), line)


class OperatorsCalls(OperatorsCase):
    async def test_each_call_gets_one_line_and_silent_callers_delay_nobody(self) -> None:
        silent_callers = [await asyncio.open_connection("127.0.0.1", self.admin) for _ in range(50)]
        for _, writer in silent_callers[:10]:
            writer.write(b"rea")
        await self.expect_ack("ready")
        for line in (
            "",
            "halt",
            "ready now",
            "disable-server",
            "disable-server nobody",
            "enable-server nobody",
            "x" * 5000,
        ):
            await self.expect_nak(line)

        self.assertTrue((await call(self.admin, "ready", end=b"", shut=True)).startswith("ACK"))
        self.assertEqual((await call(self.admin, "ready\nstop\n")).count("\n"), 1)
        counters = await self.program.counters()
        self.assertGreater(counters["calls.evicted"], 0)
        self.assertEqual(counters["calls.declined"], 7)
        for _, writer in silent_callers:
            writer.close()

    async def test_a_banned_endpoint_gets_nothing_whatever_discovery_says(self) -> None:
        other = await Server(self.node.script).start()
        self.assertEqual((await self.client.request()).status, 200)
        await self.expect_ack("disable-server s-1")
        await self.expect_ack("disable-server s-1")
        before = len(self.node.requests)

        for health in ("draining", "up"):
            self.discovery.set_endpoint("s-1", self.node.port, health=health)
            self.assertIn("state=", await self.program.wait_for_line('event="endpoint listed"'))
            self.assertEqual((await self.client.request(X_Deadline_Ms="300")).status, 503)

        self.discovery.set_endpoint("s-1", other.port)  # it is back at another address
        await self.program.wait_for_line('event="endpoint listed"')
        self.assertEqual((await self.client.request(X_Deadline_Ms="300")).status, 503)

        await self.expect_ack("enable-server s-1")
        self.assertEqual((await self.client.request()).status, 200)
        self.assertEqual((len(self.node.requests), len(other.requests)), (before, 1))

    async def test_a_ban_during_a_retry_sends_it_nowhere(self) -> None:
        banned = asyncio.Event()

        async def script(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await self.expect_ack("disable-server s-1")
            banned.set()
            reply(writer, status=500)

        self.node.script = script

        answer = await self.client.request(X_Deadline_Ms="500")

        self.assertTrue(banned.is_set())
        self.assertIn(answer.status, (502, 503))
        self.assertEqual(len(self.node.requests), 1)

    async def test_a_drain_loses_nothing_and_ends_every_connection(self) -> None:
        may_reply = asyncio.Event()

        async def reply_late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer)

        kept_client, idle_client = await self.connect(), await self.connect()
        self.node.script = reply_late
        open_request = asyncio.create_task(self.client.request())
        await self.node.wait_until(lambda: bool(self.node.requests))
        await self.expect_ack("drain")
        await self.expect_ack("drain")
        ready = await (await self.connect(wait_until_ready=False)).exchange(
            b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        self.assertEqual(ready.status, 503)
        may_reply.set()
        self.assertEqual((await open_request).status, 200)
        self.assertEqual(
            (await (await self.connect(wait_until_ready=False)).request()).status, 200
        )  # one that still comes
        while (await kept_client.request()).headers.get("connection") != "close":
            pass  # it stays of use for a while, and its last answer says so
        async with asyncio.timeout(times.DRAIN_COMPLETE_US / 1e6):
            self.assertEqual(await idle_client.reader.read(), b"")
        await self.expect_ack("ready")  # it could serve
        await self.expect_ack("resume")
        await self.connect()  # it is ready again

    async def test_a_resume_and_a_signal_are_taken_at_any_point_of_a_drain(self) -> None:
        await self.expect_ack("drain")
        await self.expect_ack("resume")
        self.assertNotEqual((await self.client.request()).headers.get("connection"), "close")
        await self.expect_ack("resume")
        await self.expect_ack("drain")
        self.assertEqual(await self.program.stop(signal.SIGTERM), 0)


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
                async with asyncio.timeout(TIMEOUT_S):
                    self.assertEqual(await program.process.wait(), 2)
                await program.reader
                plain = [line for line in program.lines if line.startswith("lemonridge: ")]
                self.assertEqual(len(plain), 1, program.lines)
                self.assertNotIn("Traceback", "".join(program.lines))
