"""Configuration, its reload, and the end of the process."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
import time
import tomllib
import unittest
from pathlib import Path

from harness import (
    PLATFORM_SETTINGS,
    ROOT,
    Client,
    Message,
    PlatformCase,
    Program,
    Server,
    StandInDiscovery,
    reply,
)

from lemonridge.config.errors import ConfigError
from lemonridge.config.operator_file import parse


class Stopping(PlatformCase):
    async def test_sigterm_serves_the_tail_finishes_what_is_held_and_exits_0(self) -> None:
        hold = asyncio.Event()

        async def held(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            waits = {"aaaa": hold, "bbbb": asyncio.Event()}.get(message.headers["x-request-id"][:4])
            if waits is not None:
                await waits.wait()
            reply(writer)

        self.node.script = held
        idle, still, last = [await self.connect() for _ in range(3)]
        began = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        await self.program.wait_for_line("event=stopping")
        self.assertNotIn("connection", (await idle.request()).headers)  # what is open stays of use for now
        late = await Client(self.port).open()
        answer = await late.request()
        self.assertEqual((answer.status, answer.headers["connection"]), (200, "close"))
        while "connection" not in (await idle.request()).headers:
            pass  # until the tail, in which each answer ends its connection
        pending = asyncio.create_task(self.client.request(X_Request_Id="aaaa000000000001"))
        doomed = asyncio.create_task(last.request(X_Request_Id="bbbb000000000001", X_Deadline_Ms="2500"))
        async with asyncio.timeout(5):
            self.assertEqual(await idle.reader.read(), b"")
            self.assertEqual(await still.reader.read(), b"")
        with self.assertRaises(OSError):
            await Client(self.port).open()
        self.assertFalse(pending.done())
        hold.set()
        self.assertEqual((await pending).status, 200)
        self.assertEqual((await doomed).status, 502)
        self.assertLess(time.monotonic() - began, 3.7)  # SIGKILL comes no sooner
        self.assertEqual(await self.program.stop(signal.SIGCONT), 0)
        self.assertRegex("".join(self.program.lines), "event=counters reason=exit .*requests.stopping=[1-9]")


class Configuration(unittest.IsolatedAsyncioTestCase):
    async def test_bad_configuration_is_one_plain_line_and_exit_2(self) -> None:
        for arguments, environment in (
            (["serve"], {}),
            (["check-config"], {}),
            (["serve"], {"ROUTER_CONFIG": "/nonexistent"}),
            (["check-config"], {"ROUTER_CONFIG": __file__}),
            (["serve", "--config", __file__], {}),
            (["check-config", "--config", "/nonexistent"], {}),
        ):
            program = await Program().start(*arguments, **environment)
            self.assertEqual(await program.stop(signal.SIGCONT), 2)
            self.assertTrue(program.lines[0].startswith("lemonridge: "))
            self.assertEqual(program.lines[1:], [""])

    async def test_the_operators_file_is_checked_key_by_key(self) -> None:
        text = (ROOT / "deploy" / "iscsi.toml").read_text()
        self.assertEqual(parse(tomllib.loads(text)).luns[1].plan, 1)
        for old, new, word in (
            ('plan = "basic"', 'plan = "gold"', "lun[1].plan"),
            ("lun = 1", "lun = 0", "lun[1].lun"),
            ("queue_depth = 32", "queue_depth = 0", "iscsi.queue_depth"),
            ("brokers", "brokes", "brokes"),
            ("aim_ms = 400", "", "classes.write.aim_ms"),
            ('name = "basic"', 'name = "standard"', "plans"),
            ('address = "127.0.0.1:13261"', 'address = "x"', "node[1].address"),
            ('listen = "127.0.0.1:3260"', 'listen = "127.0.0.1:99999"', "iscsi.listen"),
            ("reserve = 48", "reserve = -1", "plan[0].reserve"),
            ("iqn.2026-12.org.lemonridge:store", "x", "iscsi.target"),
        ):
            with self.subTest(word=word), self.assertRaises(ConfigError) as caught:
                self.assertIn(old, text)
                parse(tomllib.loads(text.replace(old, new)))
            self.assertIn(word, str(caught.exception))


class Reloading(PlatformCase):
    def rewrite(self, **changes: object) -> None:
        """Replace the file, as operators do, and tell the program."""
        told = json.loads(Path(self.config).read_text())
        Path(self.config).write_text(json.dumps({**told, **changes}))
        self.program.process.send_signal(signal.SIGHUP)

    async def test_sighup_asks_the_new_discovery_at_once_and_loses_no_request(self) -> None:
        hold = asyncio.Event()

        async def held(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await hold.wait()
            reply(writer, b"kept")

        self.node.script = held
        pending = asyncio.create_task(self.client.request())
        await self.node.wait_until(lambda: bool(self.node.requests))
        for _ in range(2):
            register = StandInDiscovery()
            register.seq = 50
            register.set_endpoint("s-1", self.node.port)
            elsewhere = await Server(register.script).start()
            facts = copy.deepcopy(PLATFORM_SETTINGS)
            facts["classes"].insert(
                0, {**PLATFORM_SETTINGS["classes"][0], "name": "nap"}
            )  # the others' numbers change
            facts["family-info"]["class-writes"] = [False, False, True]
            began = time.monotonic()
            self.rewrite(discovery=f"127.0.0.1:{elsewhere.port}", settings=facts)
            await elsewhere.wait_until(lambda seen=elsewhere.requests: len(seen) == 2)
            self.assertLess(time.monotonic() - began, 1)
            self.assertIn("GET /api/targets HTTP", elsewhere.requests[0].start_line)
            self.assertEqual(self.discovery_server.connection_count, 1)
        self.assertFalse(pending.done())
        hold.set()
        self.assertEqual((await pending).body, b"kept")
        for cls in ("nap", "read", "new-write"):
            self.assertEqual((await self.client.request(cls)).status, 200)
        register.set_endpoint("s-1", self.node.port, health="draining")
        await self.program.wait_for_line("state=draining")
        self.assertEqual(await self.program.stop(), 0)

    async def test_a_bad_file_changes_nothing_and_gets_one_line(self) -> None:
        for changes in ({"settings": {}}, {"discovery": "nowhere"}, {"listen": "127.0.0.1:1"}):
            self.rewrite(**changes)
            self.assertIn("error=", await self.program.wait_for_line("configuration rejected"))
            self.rewrite(
                settings=PLATFORM_SETTINGS,
                discovery=f"127.0.0.1:{self.discovery_server.port}",
                listen="127.0.0.1:0",
            )
            await self.program.wait_for_line("configuration reloaded")
        Path(self.config).write_text("{")
        self.program.process.send_signal(signal.SIGHUP)
        await self.program.wait_for_line("configuration rejected")
        self.assertEqual((await self.client.request()).status, 200)
        self.assertEqual(self.discovery_server.connection_count, 1)
        self.assertEqual(await self.program.stop(), 0)
