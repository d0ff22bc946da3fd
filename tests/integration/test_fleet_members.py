"""Three brokers whose fleet operators configure."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from lemonridge.config.address import Address
from lemonridge.fleet.status_report import all_members_up, format_table
from lemonridge.lab.rig import Broker, FleetHarness, SiteSettings
from lemonridge.net.admin_client import CallError, call, fetch_fleet_views


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
            rig = FleetHarness(folder, 3, 1, 1, SiteSettings(retries_per_s=5.0), True)
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
                    addresses = [Address("127.0.0.1", one.admin_port) for one in rig.brokers]
                    good, bad = await fetch_fleet_views([*addresses, Address("127.0.0.1", 1)])
                    self.assertEqual((len(good), len(bad)), (3, 1))
                    with self.assertRaises(CallError):
                        await call(addresses[0], "fleeet")
                    await rig.stop()
                finally:
                    await rig.close()
        return good, format_table(good)  # type: ignore[return-value]
