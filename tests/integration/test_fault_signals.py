"""Signals during the start and the shutdown, and the responses to clients during the shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from fault_cases import listen_with_full_backlog, sleep_until
from harness import (
    PLATFORM_SETTINGS,
    ROOT,
    TIMEOUT_S,
    Client,
    PlatformCase,
    Program,
    Server,
    StandInDiscovery,
    read_message,
)

RUN_COMMAND = re.search(r'^run = "(.*)"$', (ROOT / "deploy/balancer.toml").read_text(), re.M)
START_COUNT = 10
SHORT_CLASSES = [
    {**cls, "aim-us": 200_000, "deadline-us": 300_000} for cls in PLATFORM_SETTINGS["classes"]
]  # with short deadlines the program exits soon


class SignalsDuringStart(unittest.IsolatedAsyncioTestCase):
    """The signals of the operators' pages, from the first moment at which the program runs."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.config = Path(folder.name) / "config.json"
        self.stand_ins = [StandInDiscovery() for _ in range(2)]
        self.discovery_servers = [await Server(stand_in.script).start() for stand_in in self.stand_ins]
        self.use_discovery(0)

    def use_discovery(self, number: int) -> None:
        """Writes a configuration that names one of the two discovery servers."""
        new_file = self.config.with_suffix(".new")
        new_file.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{self.discovery_servers[number].port}",
                    "seed": "1",
                    "settings": {**PLATFORM_SETTINGS, "classes": SHORT_CLASSES},
                }
            )
        )
        new_file.replace(self.config)

    async def run_deploy_command(self) -> Program:
        """Starts the command line of the deploy file; returns once the shell has executed the program."""
        assert RUN_COMMAND is not None
        line = RUN_COMMAND[1].replace(".venv/bin/python", sys.executable)
        program = await Program().start_shell(line, ROUTER_CONFIG=str(self.config))
        self.addAsyncCleanup(program.stop, signal.SIGKILL)
        process_name = Path(f"/proc/{program.process.pid}/comm")
        async with asyncio.timeout(TIMEOUT_S):
            while process_name.read_text().strip() in ("sh", "dash", "bash", "pytest", "python") and (
                b"serve" not in Path(f"/proc/{program.process.pid}/cmdline").read_bytes().split(b"\0")
            ):
                await asyncio.sleep(0)
        return program

    async def test_sighup_and_sigusr1_during_a_start_do_not_end_the_program(self) -> None:
        for step in range(START_COUNT):
            program = await self.run_deploy_command()
            started_at = asyncio.get_running_loop().time()
            for _ in range(3):
                for signal_number in (signal.SIGHUP, signal.SIGUSR1):
                    with contextlib.suppress(ProcessLookupError):
                        program.process.send_signal(signal_number)
                await sleep_until(started_at + step * 0.03)
            await program.wait_for_line("event=listening")
            for signal_number in (
                signal.SIGHUP,
                signal.SIGTERM,
                signal.SIGHUP,
                signal.SIGUSR1,
                signal.SIGTERM,
            ):
                program.process.send_signal(signal_number)
            self.assertEqual(await program.stop(), 0)

    async def test_configuration_changed_during_a_start_is_loaded(self) -> None:
        for step in range(START_COUNT):
            self.use_discovery(0)
            program = await self.run_deploy_command()
            await sleep_until(asyncio.get_running_loop().time() + step * 0.03)
            self.use_discovery(1)
            program.process.send_signal(signal.SIGHUP)
            request_count = len(self.discovery_servers[1].requests)
            await self.discovery_servers[1].wait_until(
                lambda count=request_count: len(self.discovery_servers[1].requests) > count
            )
            await program.stop()

    async def test_signals_during_shutdown_do_not_change_the_exit_status(self) -> None:
        """Sends signals every millisecond while the program shuts down."""
        program = await self.run_deploy_command()
        await program.wait_for_line("event=listening")
        program.process.send_signal(signal.SIGTERM)
        while program.process.returncode is None:
            for signal_number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM):
                with contextlib.suppress(ProcessLookupError):
                    # `send_signal` would reap the process, and asyncio would lose its exit status.
                    os.kill(program.process.pid, signal_number)
            await asyncio.sleep(0.001)
        self.assertEqual(program.process.returncode, 0)


KILL_AFTER_S = 0.7  # from the longest deadline, or from 3 s if that is shorter, to SIGKILL
LOAD_BEFORE_S = 0.4  # how long clients send requests before SIGTERM
NEW_CONNECTIONS_S = 0.4  # how long clients open new connections after SIGTERM


class ShutdownCase(unittest.IsolatedAsyncioTestCase):
    """Clients that send requests on every open connection, until SIGKILL at the earliest time of the page."""

    async def run_with_longest_deadline(self, longest_ms: int) -> tuple[list[str], list[str]]:
        """Shuts a program down under load; returns the failures on old and on new connections."""
        case = PlatformCase()
        classes = [
            {**cls, "deadline-us": longest_ms * 1000, "aim-us": longest_ms * 600}
            for cls in PLATFORM_SETTINGS["classes"]
        ]
        case.setting_overrides = {"classes": classes}
        await case.asyncSetUp()
        try:
            return await self.shut_down(case, longest_ms)
        finally:
            await case.program.stop(signal.SIGKILL)
            case.doCleanups()

    async def shut_down(self, case: PlatformCase, longest_ms: int) -> tuple[list[str], list[str]]:
        loop = asyncio.get_running_loop()
        old_connection_failures: list[str] = []
        new_connection_failures: list[str] = []
        statuses_before: list[int] = []  # of the requests sent at least 50 ms before the signal

        statuses: list[int] = []
        signalled_at = loop.time() + LOAD_BEFORE_S + 0.1
        kill_at = signalled_at + min(longest_ms / 1000, 3.0) + KILL_AFTER_S

        async def send_request(client: Client, failures: list[str]) -> bool:
            """Sends a request; returns whether its connection stays open."""
            text, started_at = client.encode_request(X_Deadline_Ms=str(longest_ms)), loop.time()
            request_id = re.search(rb"X-Request-Id: (\w+)", text)
            assert request_id is not None
            reason = "end"
            try:
                client.writer.write(text)
                async with asyncio.timeout_at(started_at + longest_ms / 1000 + 0.55):
                    answer = await read_message(client.reader)
                (statuses_before if started_at < signalled_at - 0.05 else statuses).append(answer.status)
                if answer.status not in (200, 429, 503):
                    failures.append(f"{answer.status} at {started_at - signalled_at:.3f}")
                return answer.headers.get("connection") != "close"
            except asyncio.IncompleteReadError as error:
                reason = "cut" if error.partial else "end"
            except ConnectionError:
                reason = "reset"
            except TimeoutError:
                reason = "silence"
            was_forwarded = any(
                message.headers["x-request-id"] == request_id[1].decode() for message in case.node.requests
            )
            if (
                was_forwarded
                or reason in ("cut", "silence")
                or started_at < signalled_at + NEW_CONNECTIONS_S / 2
            ):
                failures.append(f"{reason} at {started_at - signalled_at:.3f}, at its node: {was_forwarded}")
            return False

        async def request_repeatedly(number: int) -> None:
            client = await Client(case.port).open()
            await sleep_until(signalled_at - LOAD_BEFORE_S + number * 0.007)
            while loop.time() < kill_at and await send_request(client, old_connection_failures):
                await asyncio.sleep(0.01)

        async def open_and_request(at: float) -> None:
            await sleep_until(at)
            try:
                client = await Client(case.port).open()
            except ConnectionError as error:
                if loop.time() < signalled_at + NEW_CONNECTIONS_S:  # a delayed test finds no listener
                    new_connection_failures.append(
                        f"{type(error).__name__} at {loop.time() - signalled_at:.3f}"
                    )
                return
            await send_request(client, new_connection_failures)
            client.writer.close()

        async def send_signals() -> None:
            await sleep_until(signalled_at)
            case.program.process.send_signal(signal.SIGTERM)
            await sleep_until(kill_at)
            with contextlib.suppress(ProcessLookupError):
                case.program.process.send_signal(signal.SIGKILL)

        new_connections = [
            open_and_request(signalled_at + at * NEW_CONNECTIONS_S / 16) for at in range(1, 16)
        ]
        await asyncio.gather(
            send_signals(), *(request_repeatedly(number) for number in range(6)), *new_connections
        )
        if statuses.count(200) < min_served(statuses_before, len(statuses)):
            earlier = f"{statuses_before.count(200)} of {len(statuses_before)}"
            old_connection_failures.append(
                f"{statuses.count(200)} of {len(statuses)} served, {earlier} before"
            )
        return old_connection_failures, new_connection_failures


def min_served(statuses_before: list[int], count: int) -> float:
    """Returns how many of `count` requests must be served during the shutdown: half of them.

    On an overloaded machine, where at most 90 % were served before the shutdown, it is half of that fraction,
    less three standard deviations.
    """
    served_fraction = statuses_before.count(200) / max(1, len(statuses_before))
    if served_fraction > 0.9:
        return count / 2
    return count * served_fraction / 2 - 3 * (count * served_fraction) ** 0.5


class Shutdowns(ShutdownCase):
    """PROTOCOL: planned restarts, with longest deadlines from 50 ms to 6 s."""

    async def test_shutdown_answers_every_request_with_deadlines_of_50_ms_to_6_s(self) -> None:
        short, long = (50, 300), (1000, 2500, 6000)
        results = [await self.run_with_longest_deadline(longest_ms) for longest_ms in short]
        results += await asyncio.gather(*map(self.run_with_longest_deadline, long))
        for longest_ms, (old_failures, new_failures) in zip(short + long, results):
            with self.subTest(longest_ms=longest_ms):
                self.assertEqual((old_failures, new_failures), ([], []))


class UnsentAtShutdown(PlatformCase):
    """PROTOCOL: 503 means that a retry is harmless, so the client can use another broker."""

    setting_overrides = {
        "classes": [
            {**cls, "deadline-us": 300_000, "aim-us": 250_000} for cls in PLATFORM_SETTINGS["classes"]
        ],
        "limits": {"connect-timeout-us": 1_000_000},
    }

    async def test_request_not_sent_before_the_exit_is_rejected_with_503(self) -> None:
        """The request begins before the listener closes (0.42 s) and is complete by 0.57 s.

        Its deadline lies after the last time for responses, 0.72 s.
        """
        loop = asyncio.get_running_loop()
        listen_with_full_backlog(self)
        text = self.client.encode_request("new-write", body=b"body", X_Deadline_Ms="300")
        self.program.process.send_signal(signal.SIGTERM)
        signalled_at = loop.time()
        client = await Client(self.port).open()
        await sleep_until(signalled_at + 0.38)
        client.writer.write(text[:50])
        await sleep_until(signalled_at + 0.52)
        client.writer.write(text[50:])
        async with asyncio.timeout(TIMEOUT_S):
            answer = await read_message(client.reader)
        self.assertGreater(loop.time() - signalled_at, 0.6)  # it was not rejected earlier

        self.assertEqual(answer.status, 503)
