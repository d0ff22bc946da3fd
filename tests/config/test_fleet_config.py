"""The fleet's tables of the operator's file and of the platform's."""

from __future__ import annotations

import copy
import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from harness import PLATFORM_SETTINGS, ROOT

from lemonridge.cli import configuration, main
from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.config.operator_file import fleet_config, load

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
        self.assertEqual((plan.names, plan.own_index, plan.clock_error_us), (("n1", "n2", "n3"), 0, 50_000))

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
        facts = copy.deepcopy(PLATFORM_SETTINGS)
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
