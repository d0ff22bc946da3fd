"""Three brokers of a fleet that is configured by operators' files."""

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


class FleetMembers(unittest.TestCase):
    """Three brokers, one of which has a different secret."""

    def test_members_are_reported_and_datagrams_with_another_secret_are_dropped(self) -> None:
        member_views, table = asyncio.run(self.run_fleet())
        states = {view["name"]: {m["name"]: m["state"] for m in view["members"]} for view in member_views}
        self.assertEqual(states["b0"], {"b1": "up", "b2": "absent"})
        self.assertEqual(states["b2"], {"b0": "absent", "b1": "absent"})
        self.assertGreater(member_views[0]["counters"]["not_taken.forged"], 0)
        self.assertFalse(all_members_up(member_views))
        self.assertEqual([m["lost"] for m in member_views[0]["members"]], [0.0, None])
        self.assertIn("seen by", table)
        self.assertRegex(table, r"further +0+ +\d\.\d\d +b0=0\.33")

    async def run_fleet(self) -> tuple[list[dict], str]:
        """Returns the views of the three brokers and their table."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            rig = FleetHarness(folder, 3, 1, 1, SiteSettings(retries_per_s=5.0), True)
            for n, secret in enumerate(("one secret for two", "one secret for two", "another, as long")):
                (folder / f"key{n}").write_text(secret)
                (folder / f"key{n}").chmod(0o600)

            class BrokerWithSecret(Broker):
                async def start(self) -> None:
                    path = Path(self.arguments[1])
                    path.write_text(
                        path.read_text().replace("[fleet]", f'[fleet]\nsecret = "{folder}/key{self.number}"')
                    )
                    await super().start()

            with mock.patch("lemonridge.lab.rig.Broker", BrokerWithSecret):
                try:
                    await rig.start(lambda n: ("lemonridge",))
                    await asyncio.sleep(4.0)
                    addresses = [Address("127.0.0.1", broker.admin_port) for broker in rig.brokers]
                    member_views, unreachable = await fetch_fleet_views([*addresses, Address("127.0.0.1", 1)])
                    self.assertEqual((len(member_views), len(unreachable)), (3, 1))
                    with self.assertRaises(CallError):
                        await call(addresses[0], "fleeet")
                    await rig.stop()
                finally:
                    await rig.close()
        return member_views, format_table(member_views)  # type: ignore[return-value]
