"""Tests of the fleet's configuration in the operator's file and in the platform's file."""

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

DEPLOYED_FLEET_FILE = (ROOT / "deploy/fleet.toml").read_text()


class FleetConfiguration(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def load_fleet(self, text: str, broker_count: int = 3) -> FleetConfig:
        path = self.folder / "fleet.toml"
        path.write_text(text)
        front, table = load(str(path))
        self.assertIsNone(front)
        assert table is not None
        return fleet_config(table, "n1", broker_count)

    def test_deployed_fleet_file_is_loaded(self) -> None:
        fleet = self.load_fleet(DEPLOYED_FLEET_FILE)
        self.assertEqual(
            (fleet.names, fleet.own_index, fleet.clock_error_us), (("n1", "n2", "n3"), 0, 50_000)
        )

    def test_error_message_names_the_invalid_key_or_value(self) -> None:
        for old, new, expected_text in (
            ('listen = "127', 'lisen = "127', "unknown key fleet.lisen"),
            ('name = "n2"', 'name = "n3"', "two have one name"),
            ('name = "n1"\naddress', 'name = "n9"\naddress', "'n1' is no member"),
            ("clock_error_ms = 50", "clock_error_ms = 5000", "fleet.clock_error_ms"),
            ("# secret", "secret", "cannot read /etc/lemonridge/fleet.key"),
        ):
            with self.assertRaises(ConfigError) as caught:
                self.load_fleet(DEPLOYED_FLEET_FILE.replace(old, new))
            self.assertIn(expected_text, str(caught.exception))
        with self.assertRaises(ConfigError) as caught:
            self.load_fleet(DEPLOYED_FLEET_FILE, 5)
        self.assertIn("names 3 brokers, the settings 5", str(caught.exception))

    def test_secret_file_that_others_can_read_or_that_is_too_short_is_rejected(self) -> None:
        key = self.folder / "key"
        for text, mode, expected_text in (("x" * 32, 0o644, "open to others"), ("short", 0o600, "16 bytes")):
            key.write_text(text)
            key.chmod(mode)
            with self.assertRaises(ConfigError) as caught:
                self.load_fleet(
                    DEPLOYED_FLEET_FILE.replace('# secret = "/etc/lemonridge/fleet.key"', f'secret = "{key}"')
                )
            self.assertIn(expected_text, str(caught.exception))

    def test_platform_datagrams_need_permission_an_address_per_broker_and_a_valid_own_number(self) -> None:
        settings = copy.deepcopy(PLATFORM_SETTINGS)
        configuration_file = {
            "name": "n1",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "settings": settings,
            "peer_listen": "127.0.0.1:3",
            "peers": ["127.0.0.1:3", "127.0.0.1:4"],
        }
        path = self.folder / "config.json"
        exchanges_datagrams = []
        for broker_count, own_number, is_permitted in (
            (2, 0, True),
            (2, 0, False),
            (3, 0, True),
            (2, 5, True),
        ):
            settings["fleet-size"], settings["me"], settings["limits"]["peers"] = (
                broker_count,
                own_number,
                is_permitted,
            )
            path.write_text(json.dumps(configuration_file))
            with mock.patch.dict(os.environ, {"ROUTER_CONFIG": str(path)}):
                options = main.parser().parse_args(["check-config", "--peers"])
                platform = configuration.load(options).platform
            assert platform is not None
            exchanges_datagrams.append(platform.exchanges_datagrams)
        self.assertEqual(exchanges_datagrams, [True, False, False, False])
