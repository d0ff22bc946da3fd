"""The configuration, its reload, and the shutdown of the process."""

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


class Shutdown(PlatformCase):
    async def test_sigterm_serves_late_requests_finishes_open_ones_and_exits_with_0(self) -> None:
        may_reply = asyncio.Event()

        async def reply_late_by_id(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            event = {"aaaa": may_reply, "bbbb": asyncio.Event()}.get(message.headers["x-request-id"][:4])
            if event is not None:
                await event.wait()
            reply(writer)

        self.node.script = reply_late_by_id
        active, idle, unanswered = [await self.connect() for _ in range(3)]
        signalled_at = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        await self.program.wait_for_line("event=stopping")
        self.assertNotIn("connection", (await active.request()).headers)  # open connections are kept at first
        late = await Client(self.port).open()
        response = await late.request()
        self.assertEqual((response.status, response.headers["connection"]), (200, "close"))
        while "connection" not in (await active.request()).headers:
            pass  # up to the last phase, in which each response closes its connection
        pending = asyncio.create_task(self.client.request(X_Request_Id="aaaa000000000001"))
        failing = asyncio.create_task(
            unanswered.request(X_Request_Id="bbbb000000000001", X_Deadline_Ms="2500")
        )
        async with asyncio.timeout(5):
            self.assertEqual(await active.reader.read(), b"")
            self.assertEqual(await idle.reader.read(), b"")
        with self.assertRaises(OSError):
            await Client(self.port).open()
        self.assertFalse(pending.done())
        may_reply.set()
        self.assertEqual((await pending).status, 200)
        self.assertEqual((await failing).status, 502)
        self.assertLess(time.monotonic() - signalled_at, 3.7)  # the earliest time of SIGKILL
        self.assertEqual(await self.program.stop(signal.SIGCONT), 0)
        self.assertRegex("".join(self.program.lines), "event=counters reason=exit .*requests.stopping=[1-9]")


class Configuration(unittest.IsolatedAsyncioTestCase):
    async def test_bad_configuration_is_reported_in_one_line_with_exit_status_2(self) -> None:
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

    async def test_error_in_the_operators_file_names_its_key(self) -> None:
        text = (ROOT / "deploy" / "iscsi.toml").read_text()
        self.assertEqual(parse(tomllib.loads(text)).luns[1].plan, 1)
        for old, new, key in (
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
            with self.subTest(key=key), self.assertRaises(ConfigError) as caught:
                self.assertIn(old, text)
                parse(tomllib.loads(text.replace(old, new)))
            self.assertIn(key, str(caught.exception))


class ConfigurationReload(PlatformCase):
    def rewrite(self, **changes: object) -> None:
        """Changes the configuration file and sends SIGHUP."""
        config = json.loads(Path(self.config).read_text())
        Path(self.config).write_text(json.dumps({**config, **changes}))
        self.program.process.send_signal(signal.SIGHUP)

    async def test_sighup_contacts_the_new_discovery_server_at_once_and_loses_no_request(self) -> None:
        may_reply = asyncio.Event()

        async def reply_late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer, b"kept")

        self.node.script = reply_late
        pending = asyncio.create_task(self.client.request())
        await self.node.wait_until(lambda: bool(self.node.requests))
        for _ in range(2):
            new_discovery = StandInDiscovery()
            new_discovery.seq = 50
            new_discovery.set_endpoint("s-1", self.node.port)
            new_server = await Server(new_discovery.script).start()
            settings = copy.deepcopy(PLATFORM_SETTINGS)
            # The numbers of the other classes change.
            settings["classes"].insert(0, {**PLATFORM_SETTINGS["classes"][0], "name": "nap"})
            settings["family-info"]["class-writes"] = [False, False, True]
            reloaded_at = time.monotonic()
            self.rewrite(discovery=f"127.0.0.1:{new_server.port}", settings=settings)
            await new_server.wait_until(lambda requests=new_server.requests: len(requests) == 2)
            self.assertLess(time.monotonic() - reloaded_at, 1)
            self.assertIn("GET /api/targets HTTP", new_server.requests[0].start_line)
            self.assertEqual(self.discovery_server.connection_count, 1)
        self.assertFalse(pending.done())
        may_reply.set()
        self.assertEqual((await pending).body, b"kept")
        for cls in ("nap", "read", "new-write"):
            self.assertEqual((await self.client.request(cls)).status, 200)
        new_discovery.set_endpoint("s-1", self.node.port, health="draining")
        await self.program.wait_for_line("state=draining")
        self.assertEqual(await self.program.stop(), 0)

    async def test_bad_file_is_rejected_in_one_line_and_changes_nothing(self) -> None:

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
