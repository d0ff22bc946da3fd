"""Operators' calls to the running program."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Any

from harness import TIMEOUT_S, Message, PlatformCase, Program, Server, free_port, reply

from lemonridge.operate import lifecycle as times


async def call(port: int, line: str, **options: Any) -> str:
    """Sends one operator's call and returns the reply."""
    async with asyncio.timeout(TIMEOUT_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(line.encode() + options.get("end", b"\n"))
        if options.get("shut"):
            writer.write_eof()
        answer = await reader.read()
        writer.close()
    return answer.decode()


class OperatorsCase(PlatformCase):
    """A program with an address for operators' calls."""

    async def launch(self, known_list: dict[str, Any] | None = None) -> None:
        self.admin = free_port()
        self.environment = {"ROUTER_ADMIN_ADDR": f"127.0.0.1:{self.admin}", **self.environment}
        await super().launch(known_list)

    async def expect_ack(self, line: str) -> None:
        self.assertTrue((await call(self.admin, line)).startswith("ACK"), line)

    async def expect_nak(self, line: str) -> None:
        self.assertTrue((await call(self.admin, line)).startswith("NAK"), line)


class OperatorCalls(OperatorsCase):
    async def test_each_call_gets_one_line_and_silent_callers_delay_no_other(self) -> None:
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

    async def test_banned_endpoint_receives_no_request_after_discovery_updates(self) -> None:
        other_node = await Server(self.node.script).start()
        self.assertEqual((await self.client.request()).status, 200)
        await self.expect_ack("disable-server s-1")
        await self.expect_ack("disable-server s-1")
        requests_before = len(self.node.requests)

        for health in ("draining", "up"):
            self.discovery.set_endpoint("s-1", self.node.port, health=health)
            self.assertIn("state=", await self.program.wait_for_line('event="endpoint listed"'))
            self.assertEqual((await self.client.request(X_Deadline_Ms="300")).status, 503)

        self.discovery.set_endpoint("s-1", other_node.port)  # a new address of the same endpoint
        await self.program.wait_for_line('event="endpoint listed"')
        self.assertEqual((await self.client.request(X_Deadline_Ms="300")).status, 503)

        await self.expect_ack("enable-server s-1")
        self.assertEqual((await self.client.request()).status, 200)
        self.assertEqual((len(self.node.requests), len(other_node.requests)), (requests_before, 1))

    async def test_endpoint_banned_during_an_attempt_receives_no_retry(self) -> None:
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

    async def test_drain_call_serves_all_requests_and_closes_every_connection(self) -> None:
        may_reply = asyncio.Event()

        async def reply_late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer)

        busy_client, idle_client = await self.connect(), await self.connect()
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
        # A new connection is still served.
        self.assertEqual((await (await self.connect(wait_until_ready=False)).request()).status, 200)
        while (await busy_client.request()).headers.get("connection") != "close":
            pass  # the connection is served for a while, up to a response that closes it

        async with asyncio.timeout(times.DRAIN_COMPLETE_US / 1e6):
            self.assertEqual(await idle_client.reader.read(), b"")
        await self.expect_ack("ready")  # the program could still serve
        await self.expect_ack("resume")
        await self.connect()  # waits until the program is ready again

    async def test_resume_and_sigterm_are_accepted_during_a_drain(self) -> None:
        await self.expect_ack("drain")
        await self.expect_ack("resume")
        self.assertNotEqual((await self.client.request()).headers.get("connection"), "close")
        await self.expect_ack("resume")
        await self.expect_ack("drain")
        self.assertEqual(await self.program.stop(signal.SIGTERM), 0)


class InvalidAddresses(PlatformCase):
    async def test_invalid_or_occupied_address_is_reported_in_one_line(self) -> None:
        occupied = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(occupied.close)
        port = occupied.getsockname()[1]
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
                error_lines = [line for line in program.lines if line.startswith("lemonridge: ")]
                self.assertEqual(len(error_lines), 1, program.lines)
                self.assertNotIn("Traceback", "".join(program.lines))
