"""[fleet] in the operators' file, --peers, and what operators are shown; brokers of such files."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from harness import FACTS

from lemonridge.cli import configuration, main
from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.config.operator_file import fleet_config, load
from lemonridge.fleet.status_report import all_members_up, table
from lemonridge.lab.rig import Broker, Rig, Site
from lemonridge.net.admin_client import CallError, call, views

ROOT = Path(__file__).resolve().parent.parent
FLEET = (ROOT / "deploy/fleet.toml").read_text()


class TheFile(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def read(self, text: str, hosts: int = 3) -> FleetConfig:
        path = self.folder / "fleet.toml"
        path.write_text(text)
        front, table = load(str(path))
        self.assertIsNone(front)
        assert table is not None
        return fleet_config(table, "n1", hosts)

    def test_the_file_in_deploy_is_read(self) -> None:
        plan = self.read(FLEET)
        self.assertEqual((plan.names, plan.me, plan.error_us), (("n1", "n2", "n3"), 0, 50_000))

    def test_what_is_wrong_is_named(self) -> None:
        for old, new, words in (
            ('listen = "127', 'lisen = "127', "unknown key fleet.lisen"),
            ('name = "n2"', 'name = "n3"', "two have one name"),
            ('name = "n1"\naddress', 'name = "n9"\naddress', "'n1' is no member"),
            ("clock_error_ms = 50", "clock_error_ms = 5000", "fleet.clock_error_ms"),
            ("# secret", "secret", "cannot read /etc/lemonridge/fleet.key"),
        ):
            with self.assertRaises(ConfigError) as caught:
                self.read(FLEET.replace(old, new))
            self.assertIn(words, str(caught.exception))
        with self.assertRaises(ConfigError) as caught:
            self.read(FLEET, 5)
        self.assertIn("names 3 brokers, the settings 5", str(caught.exception))

    def test_a_secret_is_its_owners_alone_and_long_enough(self) -> None:
        key = self.folder / "key"
        for text, mode, words in (("x" * 32, 0o644, "open to others"), ("short", 0o600, "16 bytes")):
            key.write_text(text)
            key.chmod(mode)
            with self.assertRaises(ConfigError) as caught:
                self.read(FLEET.replace('# secret = "/etc/lemonridge/fleet.key"', f'secret = "{key}"'))
            self.assertIn(words, str(caught.exception))

    def test_peers_of_the_platform_need_its_leave_and_all_their_numbers(self) -> None:
        facts = copy.deepcopy(FACTS)
        told = {
            "name": "n1",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "settings": facts,
            "peer_listen": "127.0.0.1:3",
            "peers": ["127.0.0.1:3", "127.0.0.1:4"],
        }
        path = self.folder / "config.json"
        seen = []
        for hosts, me, may in ((2, 0, True), (2, 0, False), (3, 0, True), (2, 5, True)):
            facts["fleet-size"], facts["me"], facts["limits"]["peers"] = hosts, me, may
            path.write_text(json.dumps(told))
            with mock.patch.dict(os.environ, {"ROUTER_CONFIG": str(path)}):
                options = main.parser().parse_args(["check-config", "--peers"])
                platform = configuration.load(options).platform
            assert platform is not None
            seen.append(platform.exchanges_datagrams)
        self.assertEqual(seen, [True, False, False, False])


class OnProcesses(unittest.TestCase):
    """Three brokers by files of operators, of which one has another secret."""

    def test_members_are_shown_and_who_has_no_secret_is_not_believed(self) -> None:
        told, lines = asyncio.run(self.play())
        states = {view["name"]: {m["name"]: m["state"] for m in view["members"]} for view in told}
        self.assertEqual(states["b0"], {"b1": "up", "b2": "absent"})
        self.assertEqual(states["b2"], {"b0": "absent", "b1": "absent"})
        self.assertGreater(told[0]["counters"]["not_taken.forged"], 0)
        self.assertFalse(all_members_up(told))
        self.assertEqual([m["lost"] for m in told[0]["members"]], [0.0, None])
        self.assertIn("seen by", lines)
        self.assertRegex(lines, r"further +0+ +\d\.\d\d +b0=0\.33")

    async def play(self) -> tuple[list[dict], str]:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            rig = Rig(folder, 3, 1, 1, Site(further=5.0), True)
            for n, secret in enumerate(("one secret for two", "one secret for two", "another, as long")):
                (folder / f"key{n}").write_text(secret)
                (folder / f"key{n}").chmod(0o600)

            class Filed(Broker):
                async def start(self) -> None:
                    path = Path(self.arguments[1])
                    path.write_text(
                        path.read_text().replace("[fleet]", f'[fleet]\nsecret = "{folder}/key{self.number}"')
                    )
                    await super().start()

            with mock.patch("lemonridge.lab.rig.Broker", Filed):
                try:
                    await rig.start(lambda n: ("lemonridge",))
                    await asyncio.sleep(4.0)
                    addresses = [Address("127.0.0.1", one.admin) for one in rig.brokers]
                    good, bad = await views([*addresses, Address("127.0.0.1", 1)])
                    self.assertEqual((len(good), len(bad)), (3, 1))
                    with self.assertRaises(CallError):
                        await call(addresses[0], "fleeet")
                    await rig.stop()
                finally:
                    await rig.clear()
        return good, table(good)  # type: ignore[return-value]
