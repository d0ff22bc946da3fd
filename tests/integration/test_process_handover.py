"""A successor takes over under load, and what may go wrong meanwhile."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path

from fault_cases import sleep_until
from harness import (
    PLATFORM_SETTINGS,
    TIMEOUT_S,
    Client,
    Message,
    PlatformCase,
    Program,
    Server,
    StandInDiscovery,
    free_port,
    read_message,
    reply,
    serve_ok,
)
from test_operators import call

LIMIT_UNITS = 8.0  # a second, and at once


class ReplacementCase(PlatformCase):
    """A program at a passed listening socket, which a successor can take over from."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.passed = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.passed.close)
        self.passed.set_inheritable(True)
        self.admin = free_port()
        self.environment = self.environment_of(self.admin)
        await super().asyncSetUp()

    def environment_of(self, admin: int) -> dict[str, str]:
        """What a process with this operators' port is started with."""
        return {
            "ROUTER_PASSED_SOCKET": str(self.passed.fileno()),
            "TMPDIR": self.folder,
            "ROUTER_ADMIN_ADDR": f"127.0.0.1:{admin}",
        }

    async def start_successor(self, **environment: str) -> tuple[Program, int]:
        """Starts a successor and waits until it is ready; returns it and its operators' port."""
        admin = free_port()
        program = await Program().start(
            "serve",
            inherited_fd=self.passed.fileno(),
            ROUTER_CONFIG=self.config,
            **{**self.environment_of(admin), **environment},
        )
        self.addAsyncCleanup(program.stop, signal.SIGKILL)
        await program.wait_for_line("operators call at")
        async with asyncio.timeout(TIMEOUT_S):
            while not (await call(admin, "ready")).startswith("ACK"):
                await asyncio.sleep(0)
        return program, admin


class Replacement(ReplacementCase):
    """What holds over a replacement, whatever goes wrong meanwhile."""

    async def test_under_load_no_request_finds_a_closed_listener(self) -> None:
        replaced, statuses = asyncio.Event(), []

        async def ask(client: Client) -> None:
            while not replaced.is_set():
                answer = await client.request(X_Deadline_Ms="2000")
                statuses.append(answer.status)
                if answer.headers.get("connection") == "close":
                    client = await self.connect(wait_until_ready=False)

        load = [asyncio.create_task(ask(await self.connect())) for _ in range(8)]
        first = self.program
        for _ in range(2):  # a second replacement comes straight after the first
            program, self.admin = await self.start_successor()
            self.assertEqual(await self.program.stop(signal.SIGTERM), 0)
            self.program = program
        replaced.set()
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(*load)
        self.assertEqual(set(statuses), {200})
        self.assertTrue(any("handed over" in line for line in first.lines))
        await program.wait_for_line('event="taken over"')

    async def test_a_ban_and_a_drain_hold_in_both_whichever_is_called(self) -> None:
        may_reply = asyncio.Event()

        async def failing(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer, status=500)

        other = await Server(serve_ok).start()
        self.discovery.set_endpoint("s-2", other.port, shard=1)
        self.assertEqual((await self.client.request(shard=1)).status, 200)
        self.assertIn("ACK", await call(self.admin, "disable-server s-2"))
        self.node.script = failing
        reply_late = asyncio.create_task(self.client.request())  # the one before holds it over the handover
        await self.node.wait_until(lambda: bool(self.node.requests))
        program, admin = await self.start_successor()
        self.assertEqual((await (await self.connect()).request(shard=1, X_Deadline_Ms="300")).status, 503)
        self.assertIn("ACK", await call(admin, "disable-server s-1"))
        may_reply.set()
        self.assertIn((await reply_late).status, (502, 503))  # and sent to s-1 no more
        self.assertEqual(len(self.node.requests), 1)
        self.assertIn("ACK", await call(self.admin, "enable-server s-2"))
        self.assertEqual((await (await self.connect()).request(shard=1)).status, 200)
        self.assertIn("ACK", await call(self.admin, "drain"))
        ready = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertEqual((await (await self.connect(wait_until_ready=False)).exchange(ready)).status, 503)
        self.assertIn("ACK", await call(admin, "resume"))
        self.assertEqual((await (await self.connect(wait_until_ready=False)).exchange(ready)).status, 200)
        self.assertEqual(await self.program.stop(signal.SIGTERM), 0)
        self.assertIn("ACK", await call(admin, "disable-server s-2"))  # alone again

    async def test_signals_in_series_end_no_successor_as_it_takes_over(self) -> None:
        """STANDING: SIGHUP and SIGUSR1 are harmless from the first moment of `run`."""
        for delay_s in (0.0, 0.02, 0.05):
            admin = free_port()
            line = "trap '' HUP USR1; exec " + sys.executable + " -m lemonridge serve"
            started = asyncio.create_task(
                Program()._start(
                    ("/bin/sh", "-c", line),
                    self.passed.fileno(),
                    {"ROUTER_CONFIG": self.config, **self.environment_of(admin)},
                )
            )
            program = await started
            self.addAsyncCleanup(program.stop, signal.SIGKILL)
            name = Path(f"/proc/{program.process.pid}/cmdline")
            async with asyncio.timeout(TIMEOUT_S):
                while b"serve" not in name.read_bytes().split(b"\0"):
                    await asyncio.sleep(0)
                while not any("taken over" in line for line in program.lines):
                    for number in (signal.SIGHUP, signal.SIGUSR1):
                        program.process.send_signal(number)
                    await asyncio.sleep(delay_s)
                while not (await call(admin, "ready")).startswith("ACK"):
                    await asyncio.sleep(0)
            self.assertEqual(await self.program.stop(signal.SIGTERM), 0)
            self.program = program
            self.assertEqual((await (await self.connect()).request()).status, 200)

    async def test_a_drain_that_was_called_before_a_replacement_holds_in_the_successor(self) -> None:
        ready = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertIn("ACK", await call(self.admin, "drain"))
        program, admin = await self.start_successor()
        self.assertEqual((await (await self.connect(wait_until_ready=False)).exchange(ready)).status, 503)
        self.assertEqual(await self.program.stop(signal.SIGTERM), 0)
        self.program = program
        self.assertEqual((await (await self.connect(wait_until_ready=False)).exchange(ready)).status, 503)
        self.assertIn("ACK", await call(admin, "resume"))
        self.assertEqual((await (await self.connect()).request()).status, 200)

    async def test_a_configuration_that_moves_discovery_during_a_replacement_holds_in_both(self) -> None:
        """STANDING: what discovery tells counts 4 s after SIGHUP, at either process."""
        moved, other = StandInDiscovery(), await Server(serve_ok).start()
        moved.set_endpoint("s-1", self.node.port, health="draining")
        moved.set_endpoint("s-2", other.port)
        discovery = await Server(moved.script).start()
        self.assertEqual((await self.client.request()).status, 200)
        starting_successor = asyncio.create_task(self.start_successor())
        told = json.loads(Path(self.config).read_text())
        fresh = Path(self.config).with_suffix(".new")
        fresh.write_text(json.dumps({**told, "discovery": f"127.0.0.1:{discovery.port}"}))
        fresh.replace(self.config)
        self.program.process.send_signal(signal.SIGHUP)
        told_at = asyncio.get_running_loop().time()
        program, _ = await starting_successor
        program.process.send_signal(signal.SIGHUP)
        await sleep_until(told_at + 4.5)
        before = len(self.node.requests)
        for client in (self.client, await self.connect(), await self.connect()):
            self.assertEqual((await client.request()).status, 200)
        self.assertEqual((len(self.node.requests), len(other.requests) >= 3), (before, True))

    async def test_an_id_that_is_open_in_one_process_is_refused_by_the_other(self) -> None:
        """PROTOCOL: an attempt is a second copy if an earlier one is still out. One process answers 409."""
        may_reply = asyncio.Event()

        async def reply_late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer)

        self.node.script = reply_late
        old, kept = self.client, await self.connect()
        first, second, third = (old.encode_request() for _ in range(3))
        old.writer.write(first)
        await self.node.wait_until(lambda: len(self.node.requests) == 1)
        await self.start_successor()
        new = await self.connect()
        old.writer.transport.abort()  # its attempt is out for longer
        self.assertEqual((await new.exchange(first)).status, 409)
        kept.writer.write(second)  # a connection that the one before still has
        await self.node.wait_until(lambda: len(self.node.requests) == 2)
        again = await self.connect()
        self.assertEqual((await again.exchange(second)).status, 409)
        latest = await self.connect()
        latest.writer.write(third)
        await self.node.wait_until(lambda: len(self.node.requests) == 3)
        may_reply.set()
        async with asyncio.timeout(TIMEOUT_S):
            while (await (await self.connect(wait_until_ready=False)).exchange(first)).status == 409:
                await asyncio.sleep(0.01)
        self.assertEqual((await read_message(latest.reader)).status, 200)

    async def test_if_the_successor_dies_the_one_before_goes_on(self) -> None:
        program, _ = await self.start_successor()
        await program.stop(signal.SIGKILL)
        await self.program.wait_for_line("successor gone, serving again")
        self.assertEqual((await (await self.connect()).request()).status, 200)
        await self.start_successor()  # and it can be replaced again

    async def test_a_predecessor_that_is_gone_silent_or_odd_stops_nobody(self) -> None:
        await self.program.stop(signal.SIGKILL)
        self.program, _ = await self.start_successor()  # a stale file
        path = Path(self.folder) / "n1.handover"
        for answer in (b"", b'{"v":1,"say":"given","out":{', b'{"v":9,"say":"given"}\n', None):
            with self.subTest(answer=answer):
                await self.program.stop(signal.SIGKILL)
                path.unlink()

                async def odd(
                    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: bytes | None = answer
                ) -> None:
                    await reader.readline()
                    if answer is not None:
                        writer.write(answer)
                        writer.close()

                server = await asyncio.start_unix_server(odd, str(path))
                self.program, _ = await self.start_successor()
                await self.program.wait_for_line("nothing taken over")
                self.assertEqual((await (await self.connect()).request()).status, 200)
                server.close()

    async def test_a_long_tmpdir_is_no_hindrance_and_the_socket_is_private(self) -> None:
        self.folder = os.path.join(self.folder, "d" * 120)
        os.mkdir(self.folder)
        first, _ = await self.start_successor()
        second, _ = await self.start_successor()
        await second.wait_for_line('event="taken over"')
        self.assertEqual(os.stat(os.path.join(self.folder, "n1.handover")).st_mode & 0o777, 0o600)


class ReplacementBesideALimit(ReplacementCase):
    setting_overrides = {
        "grades": [{**PLATFORM_SETTINGS["grades"][0], "cap": LIMIT_UNITS, "burst": LIMIT_UNITS}]
    }

    async def test_late_attempts_of_the_predecessor_count_at_the_successor(self) -> None:
        """A node that takes connections and reads nothing for 2 s, over a replacement; then all comes."""
        loop, units = asyncio.get_running_loop(), 6
        placement = f"units={units},shard=0,hosts=1"
        self.node.listener.close()
        door = socket.create_server(("127.0.0.1", self.node.port), backlog=16)
        await sleep_until(loop.time() + 1.2)  # its bucket is full
        began = loop.time()
        self.client.writer.write(self.client.encode_request(X_Placement=placement, X_Deadline_Ms="2500"))
        await self.start_successor()
        await sleep_until(began + 1.4)
        later = await self.connect()
        later.writer.write(later.encode_request(X_Placement=placement, X_Deadline_Ms="900"))
        await sleep_until(began + 2.1)
        self.node.listener = await asyncio.start_server(self.node._serve, sock=door)
        await sleep_until(began + 2.3)
        come = [one for one in self.node.requests if one.start_line.startswith("GET /read")]
        self.assertTrue(0 < len(come) * units <= LIMIT_UNITS * 1.15, len(come))
