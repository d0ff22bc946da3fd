"""Handover to a successor process under load, and failures during it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path

import pytest
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

from lemonridge.service.platform import CACHED_LIST_MAX_S

pytestmark = pytest.mark.serial

LIMIT_UNITS = 8.0  # the limit in units a second, and the burst in units


class ReplacementCase(PlatformCase):
    """A program with an inherited listening socket, which a successor can take over."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.listening_socket = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listening_socket.close)
        self.listening_socket.set_inheritable(True)
        self.admin = free_port()
        self.environment = self.environment_of(self.admin)
        await super().asyncSetUp()

    def environment_of(self, admin: int) -> dict[str, str]:
        """Returns the environment of a process with this port for operators' calls."""
        return {
            "ROUTER_PASSED_SOCKET": str(self.listening_socket.fileno()),
            "TMPDIR": self.folder,
            "ROUTER_ADMIN_ADDR": f"127.0.0.1:{admin}",
        }

    async def start_successor(self, **environment: str) -> tuple[Program, int]:
        """Starts a successor and waits until it is ready; returns it and its port for operators' calls."""
        admin = free_port()
        program = await Program().start(
            "serve",
            inherited_fd=self.listening_socket.fileno(),
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
    """Properties that hold during a replacement of the process, with and without failures."""

    async def test_all_requests_under_load_are_served_during_two_replacements(self) -> None:
        replaced, statuses = asyncio.Event(), []

        async def send_requests(client: Client) -> None:
            while not replaced.is_set():
                response = await client.request(X_Deadline_Ms="2000")
                statuses.append(response.status)
                if response.headers.get("connection") == "close":
                    client = await self.connect(wait_until_ready=False)

        load = [asyncio.create_task(send_requests(await self.connect())) for _ in range(8)]
        first_program = self.program
        for _ in range(2):  # the second replacement follows immediately
            program, self.admin = await self.start_successor()
            self.assertEqual(await self.program.stop(signal.SIGTERM), 0)
            self.program = program
        replaced.set()
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(*load)
        self.assertEqual(set(statuses), {200})
        self.assertTrue(any("handed over" in line for line in first_program.lines))
        await program.wait_for_line('event="taken over"')

    async def test_ban_and_drain_apply_to_both_processes_whichever_is_called(self) -> None:
        may_reply = asyncio.Event()

        async def fail_late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer, status=500)

        other_node = await Server(serve_ok).start()
        self.discovery.set_endpoint("s-2", other_node.port, shard=1)
        self.assertEqual((await self.client.request(shard=1)).status, 200)
        self.assertIn("ACK", await call(self.admin, "disable-server s-2"))
        self.node.script = fail_late
        open_request = asyncio.create_task(self.client.request())  # stays open at the predecessor
        await self.node.wait_until(lambda: bool(self.node.requests))
        program, admin = await self.start_successor()
        self.assertEqual((await (await self.connect()).request(shard=1, X_Deadline_Ms="300")).status, 503)
        self.assertIn("ACK", await call(admin, "disable-server s-1"))
        may_reply.set()
        self.assertIn((await open_request).status, (502, 503))  # without a retry at s-1
        self.assertEqual(len(self.node.requests), 1)
        self.assertIn("ACK", await call(self.admin, "enable-server s-2"))
        self.assertEqual((await (await self.connect()).request(shard=1)).status, 200)
        self.assertIn("ACK", await call(self.admin, "drain"))
        ready = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertEqual((await (await self.connect(wait_until_ready=False)).exchange(ready)).status, 503)
        self.assertIn("ACK", await call(admin, "resume"))
        self.assertEqual((await (await self.connect(wait_until_ready=False)).exchange(ready)).status, 200)
        self.assertEqual(await self.program.stop(signal.SIGTERM), 0)
        self.assertIn("ACK", await call(admin, "disable-server s-2"))  # the successor is alone now

    async def test_repeated_signals_do_not_end_a_successor_during_the_handover(self) -> None:
        """STANDING: SIGHUP and SIGUSR1 are harmless from the first moment of `run`."""
        for delay_s in (0.0, 0.02, 0.05):
            admin = free_port()
            line = "trap '' HUP USR1; exec " + sys.executable + " -m lemonridge serve"
            start_task = asyncio.create_task(
                Program()._start(
                    ("/bin/sh", "-c", line),
                    self.listening_socket.fileno(),
                    {"ROUTER_CONFIG": self.config, **self.environment_of(admin)},
                )
            )
            program = await start_task
            self.addAsyncCleanup(program.stop, signal.SIGKILL)
            command_line = Path(f"/proc/{program.process.pid}/cmdline")
            async with asyncio.timeout(TIMEOUT_S):
                while b"serve" not in command_line.read_bytes().split(b"\0"):
                    await asyncio.sleep(0)
                while not any("taken over" in line for line in program.lines):
                    for signal_number in (signal.SIGHUP, signal.SIGUSR1):
                        program.process.send_signal(signal_number)
                    await asyncio.sleep(delay_s)
                while not (await call(admin, "ready")).startswith("ACK"):
                    await asyncio.sleep(0)
            self.assertEqual(await self.program.stop(signal.SIGTERM), 0)
            self.program = program
            self.assertEqual((await (await self.connect()).request()).status, 200)

    async def test_drain_called_before_a_replacement_applies_to_the_successor(self) -> None:
        ready = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertIn("ACK", await call(self.admin, "drain"))
        program, admin = await self.start_successor()
        self.assertEqual((await (await self.connect(wait_until_ready=False)).exchange(ready)).status, 503)
        self.assertEqual(await self.program.stop(signal.SIGTERM), 0)
        self.program = program
        self.assertEqual((await (await self.connect(wait_until_ready=False)).exchange(ready)).status, 503)
        self.assertIn("ACK", await call(admin, "resume"))
        self.assertEqual((await (await self.connect()).request()).status, 200)

    async def test_new_discovery_address_during_a_replacement_applies_to_both_processes(self) -> None:
        """STANDING: the list of the new discovery server counts from 4 s after SIGHUP, at either process."""
        new_discovery, other_node = StandInDiscovery(), await Server(serve_ok).start()
        new_discovery.set_endpoint("s-1", self.node.port, health="draining")
        new_discovery.set_endpoint("s-2", other_node.port)
        new_server = await Server(new_discovery.script).start()
        self.assertEqual((await self.client.request()).status, 200)
        starting_successor = asyncio.create_task(self.start_successor())
        config = json.loads(Path(self.config).read_text())
        new_file = Path(self.config).with_suffix(".new")
        new_file.write_text(json.dumps({**config, "discovery": f"127.0.0.1:{new_server.port}"}))
        new_file.replace(self.config)
        self.program.process.send_signal(signal.SIGHUP)
        signalled_at = asyncio.get_running_loop().time()
        program, _ = await starting_successor
        program.process.send_signal(signal.SIGHUP)
        await sleep_until(signalled_at + 4.5)
        requests_before = len(self.node.requests)
        for client in (self.client, await self.connect(), await self.connect()):
            self.assertEqual((await client.request()).status, 200)
        self.assertEqual((len(self.node.requests), len(other_node.requests) >= 3), (requests_before, True))

    async def test_id_of_an_open_request_is_rejected_by_the_other_process(self) -> None:
        """PROTOCOL: an attempt is a second copy if an earlier one is still open. One process answers 409."""
        may_reply = asyncio.Event()

        async def reply_late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer)

        self.node.script = reply_late
        disconnecting, old_client = self.client, await self.connect()
        first, second, third = (disconnecting.encode_request() for _ in range(3))
        disconnecting.writer.write(first)
        await self.node.wait_until(lambda: len(self.node.requests) == 1)
        await self.start_successor()
        new_client = await self.connect()
        disconnecting.writer.transport.abort()  # its attempt stays open
        self.assertEqual((await new_client.exchange(first)).status, 409)
        old_client.writer.write(second)  # on a connection with the predecessor
        await self.node.wait_until(lambda: len(self.node.requests) == 2)
        new_client = await self.connect()
        self.assertEqual((await new_client.exchange(second)).status, 409)
        third_client = await self.connect()
        third_client.writer.write(third)
        await self.node.wait_until(lambda: len(self.node.requests) == 3)
        may_reply.set()
        async with asyncio.timeout(TIMEOUT_S):
            while (await (await self.connect(wait_until_ready=False)).exchange(first)).status == 409:
                await asyncio.sleep(0.01)
        self.assertEqual((await read_message(third_client.reader)).status, 200)

    async def test_predecessor_serves_again_after_its_successor_dies(self) -> None:
        program, _ = await self.start_successor()
        await program.stop(signal.SIGKILL)
        await self.program.wait_for_line("successor gone, serving again")
        self.assertEqual((await (await self.connect()).request()).status, 200)
        await self.start_successor()  # it can be replaced again

    async def test_successor_starts_though_its_predecessor_is_dead_silent_or_malformed(self) -> None:
        await self.program.stop(signal.SIGKILL)
        self.program, _ = await self.start_successor()  # the socket file of the predecessor is stale
        path = Path(self.folder) / "n1.handover"
        for answer in (b"", b'{"v":1,"say":"given","out":{', b'{"v":9,"say":"given"}\n', None):
            with self.subTest(answer=answer):
                await self.program.stop(signal.SIGKILL)
                path.unlink()

                async def answer_invalidly(
                    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: bytes | None = answer
                ) -> None:
                    await reader.readline()
                    if answer is not None:
                        writer.write(answer)
                        writer.close()

                server = await asyncio.start_unix_server(answer_invalidly, str(path))
                self.program, _ = await self.start_successor()
                await self.program.wait_for_line("nothing taken over")
                self.assertEqual((await (await self.connect()).request()).status, 200)
                server.close()

    async def test_list_of_the_predecessor_does_not_expire_beside_a_silent_agent(self) -> None:
        """The predecessor has heard the agent, unlike a new process with its configuration's list alone."""
        await self.discovery.go_silent()
        successor, _ = await self.start_successor()
        await successor.wait_for_line('event="taken over"')
        await self.program.stop()
        await asyncio.sleep(CACHED_LIST_MAX_S + 1.0)
        self.assertEqual((await (await self.connect()).request()).status, 200)

    async def test_handover_works_with_a_long_tmpdir_and_a_private_socket(self) -> None:
        self.folder = os.path.join(self.folder, "d" * 120)
        os.mkdir(self.folder)
        first, _ = await self.start_successor()
        second, _ = await self.start_successor()
        await second.wait_for_line('event="taken over"')
        self.assertEqual(os.stat(os.path.join(self.folder, "n1.handover")).st_mode & 0o777, 0o600)


class ReplacementWithALimit(ReplacementCase):
    setting_overrides = {
        "grades": [{**PLATFORM_SETTINGS["grades"][0], "cap": LIMIT_UNITS, "burst": LIMIT_UNITS}]
    }

    async def test_late_attempts_of_the_predecessor_count_at_the_successor(self) -> None:
        """The node accepts connections but reads nothing until after the replacement, 2 s in all."""
        loop, units = asyncio.get_running_loop(), 6
        placement = f"units={units},shard=0,hosts=1"
        self.node.listener.close()
        listener = socket.create_server(("127.0.0.1", self.node.port), backlog=16)
        await sleep_until(loop.time() + 1.2)  # until the token bucket is full
        started_at = loop.time()
        self.client.writer.write(self.client.encode_request(X_Placement=placement, X_Deadline_Ms="2500"))
        await self.start_successor()
        await sleep_until(started_at + 1.4)
        later_client = await self.connect()
        later_client.writer.write(later_client.encode_request(X_Placement=placement, X_Deadline_Ms="900"))
        await sleep_until(started_at + 2.1)
        self.node.listener = await asyncio.start_server(self.node._serve, sock=listener)
        await sleep_until(started_at + 2.3)
        reads = [message for message in self.node.requests if message.start_line.startswith("GET /read")]
        self.assertTrue(0 < len(reads) * units <= LIMIT_UNITS * 1.15, len(reads))
