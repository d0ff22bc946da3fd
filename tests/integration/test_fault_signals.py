"""Signals during a start and at the end, and what clients get while the process ends."""

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

RUN = re.search(r'^run = "(.*)"$', (ROOT / "deploy/balancer.toml").read_text(), re.M)
RESTARTS = 10
SHORT = [
    {**cls, "aim-us": 200_000, "deadline-us": 300_000} for cls in PLATFORM_SETTINGS["classes"]
]  # it ends soon


class SignalsAtAStart(unittest.IsolatedAsyncioTestCase):
    """Signals that the pages name, from the first moment at which the program runs."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.config = Path(folder.name) / "config.json"
        self.registers = [StandInDiscovery() for _ in range(2)]
        self.discoveries = [await Server(one.script).start() for one in self.registers]
        self.point(0)

    def point(self, number: int) -> None:
        """The configuration names this discovery from now on."""
        fresh = self.config.with_suffix(".new")
        fresh.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{self.discoveries[number].port}",
                    "seed": "1",
                    "settings": {**PLATFORM_SETTINGS, "classes": SHORT},
                }
            )
        )
        fresh.replace(self.config)

    async def run_line(self) -> Program:
        """The deploy file's own line, up to the moment at which the shell has become the program."""
        assert RUN is not None
        line = RUN[1].replace(".venv/bin/python", sys.executable)
        program = await Program().start_shell(line, ROUTER_CONFIG=str(self.config))
        self.addAsyncCleanup(program.stop, signal.SIGKILL)
        name = Path(f"/proc/{program.process.pid}/comm")
        async with asyncio.timeout(TIMEOUT_S):
            while name.read_text().strip() in ("sh", "dash", "bash", "pytest", "python") and (
                b"serve" not in Path(f"/proc/{program.process.pid}/cmdline").read_bytes().split(b"\0")
            ):
                await asyncio.sleep(0)
        return program

    async def test_sighup_and_sigusr1_in_series_end_no_start(self) -> None:
        for delay in range(RESTARTS):
            program = await self.run_line()
            began = asyncio.get_running_loop().time()
            for _ in range(3):
                for name in (signal.SIGHUP, signal.SIGUSR1):
                    with contextlib.suppress(ProcessLookupError):
                        program.process.send_signal(name)
                await sleep_until(began + delay * 0.03)
            await program.wait_for_line("event=listening")
            for name in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM):
                program.process.send_signal(name)
            self.assertEqual(await program.stop(), 0)

    async def test_a_configuration_that_changes_during_a_start_is_not_missed(self) -> None:
        for delay in range(RESTARTS):
            self.point(0)
            program = await self.run_line()
            await sleep_until(asyncio.get_running_loop().time() + delay * 0.03)
            self.point(1)
            program.process.send_signal(signal.SIGHUP)
            before = len(self.discoveries[1].requests)
            await self.discoveries[1].wait_until(
                lambda before=before: len(self.discoveries[1].requests) > before
            )
            await program.stop()

    async def test_signals_do_no_harm_up_to_the_last_moment(self) -> None:
        """SIGHUP and SIGUSR1 without a pause while the program ends."""
        program = await self.run_line()
        await program.wait_for_line("event=listening")
        program.process.send_signal(signal.SIGTERM)
        while program.process.returncode is None:
            for name in (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM):
                with contextlib.suppress(ProcessLookupError):
                    os.kill(
                        program.process.pid, name
                    )  # `send_signal` would take the exit status from asyncio
            await asyncio.sleep(0.001)
        self.assertEqual(program.process.returncode, 0)


KILL_AFTER_S = 0.7  # past the longest deadline, of which no more than 3 s counts
BEFORE_S = 0.4  # for which clients ask before SIGTERM
NEW_FOR_S = 0.4  # for which new connections keep coming after SIGTERM


class EndCase(unittest.IsolatedAsyncioTestCase):
    """Clients that send on every connection which stays open, up to SIGKILL at the page's earliest."""

    async def play(self, longest_ms: int) -> tuple[list[str], list[str]]:
        """What went wrong on connections that were there, and on new ones."""
        case = PlatformCase()
        classes = [
            {**cls, "deadline-us": longest_ms * 1000, "aim-us": longest_ms * 600}
            for cls in PLATFORM_SETTINGS["classes"]
        ]
        case.setting_overrides = {"classes": classes}
        await case.asyncSetUp()
        try:
            return await self.end(case, longest_ms)
        finally:
            await case.program.stop(signal.SIGKILL)
            case.doCleanups()

    async def end(self, case: PlatformCase, longest_ms: int) -> tuple[list[str], list[str]]:
        loop = asyncio.get_running_loop()
        kept: list[str] = []
        fresh: list[str] = []
        before: list[int] = []  # the statuses of what was asked before the signal and with it
        statuses: list[int] = []
        told_at = loop.time() + BEFORE_S + 0.1
        kill_at = told_at + min(longest_ms / 1000, 3.0) + KILL_AFTER_S

        async def ask(client: Client, bad: list[str]) -> bool:
            """One request; whether its connection goes on."""
            text, began = client.encode_request(X_Deadline_Ms=str(longest_ms)), loop.time()
            ident = re.search(rb"X-Request-Id: (\w+)", text)
            assert ident is not None
            why = "end"
            try:
                client.writer.write(text)
                async with asyncio.timeout_at(began + longest_ms / 1000 + 0.55):
                    answer = await read_message(client.reader)
                (before if began < told_at - 0.05 else statuses).append(answer.status)
                if answer.status not in (200, 429, 503):
                    bad.append(f"{answer.status} at {began - told_at:.3f}")
                return answer.headers.get("connection") != "close"
            except asyncio.IncompleteReadError as error:
                why = "cut" if error.partial else "end"
            except ConnectionError:
                why = "reset"
            except TimeoutError:
                why = "silence"
            seen = any(one.headers["x-request-id"] == ident[1].decode() for one in case.node.requests)
            if seen or why in ("cut", "silence") or began < told_at + NEW_FOR_S / 2:
                bad.append(f"{why} at {began - told_at:.3f}, at its node: {seen}")
            return False

        async def keep(number: int) -> None:
            client = await Client(case.port).open()
            await sleep_until(told_at - BEFORE_S + number * 0.007)
            while loop.time() < kill_at and await ask(client, kept):
                await asyncio.sleep(0.01)

        async def come(at: float) -> None:
            await sleep_until(at)
            try:
                client = await Client(case.port).open()
            except ConnectionError as error:
                if loop.time() < told_at + NEW_FOR_S:  # a test that is late connects to nobody
                    fresh.append(f"{type(error).__name__} at {loop.time() - told_at:.3f}")
                return
            await ask(client, fresh)
            client.writer.close()

        async def signals() -> None:
            await sleep_until(told_at)
            case.program.process.send_signal(signal.SIGTERM)
            await sleep_until(kill_at)
            with contextlib.suppress(ProcessLookupError):
                case.program.process.send_signal(signal.SIGKILL)

        comes = [come(told_at + at * NEW_FOR_S / 16) for at in range(1, 16)]
        await asyncio.gather(signals(), *(keep(number) for number in range(6)), *comes)
        if statuses.count(200) < least_served(before, len(statuses)):
            earlier = f"{before.count(200)} of {len(before)}"
            kept.append(f"{statuses.count(200)} of {len(statuses)} served, {earlier} before")
        return kept, fresh


def least_served(before: list[int], count: int) -> float:
    """How many of `count` requests an end has to serve: half. Where a machine without time for the test
    served too few in time already before the end, half of that share, less what chance takes of it."""
    share = before.count(200) / max(1, len(before))
    if share > 0.9:
        return count / 2
    return count * share / 2 - 3 * (count * share) ** 0.5


class Ends(EndCase):
    """PROTOCOL: a planned restart, for every longest deadline."""

    async def test_with_deadlines_of_50_ms_to_6_s(self) -> None:
        short, long = (50, 300), (1000, 2500, 6000)
        plays = [await self.play(one) for one in short]
        plays += await asyncio.gather(*map(self.play, long))
        for longest_ms, (kept, fresh) in zip(short + long, plays):
            with self.subTest(longest_ms=longest_ms):
                self.assertEqual((kept, fresh), ([], []))


class EndsUnsent(PlatformCase):
    """PROTOCOL: 503 says that trying again is harmless; who has another broker needs to know at the end."""

    setting_overrides = {
        "classes": [
            {**cls, "deadline-us": 300_000, "aim-us": 250_000} for cls in PLATFORM_SETTINGS["classes"]
        ],
        "limits": {"connect-timeout-us": 1_000_000},
    }

    async def test_what_was_not_sent_before_the_answers_end_is_refused(self) -> None:
        """Begun before the listener closes (0.42 s), whole by 0.57 s, answered by 0.72 s: it has longer."""
        loop = asyncio.get_running_loop()
        listen_with_full_backlog(self)
        text = self.client.encode_request("new-write", body=b"body", X_Deadline_Ms="300")
        self.program.process.send_signal(signal.SIGTERM)
        told_at = loop.time()
        client = await Client(self.port).open()
        await sleep_until(told_at + 0.38)
        client.writer.write(text[:50])
        await sleep_until(told_at + 0.52)
        client.writer.write(text[50:])
        async with asyncio.timeout(TIMEOUT_S):
            answer = await read_message(client.reader)
        self.assertGreater(loop.time() - told_at, 0.6)  # it was not refused before
        self.assertEqual(answer.status, 503)
