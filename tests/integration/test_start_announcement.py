"""Addresses that are open before a broker logs that it listens."""

from __future__ import annotations

import socket
import tempfile
import unittest
from pathlib import Path

from harness import ROOT, Program

from lemonridge.lab.links.datagrams import find_free_udp_ports


class OperatorsAddress(unittest.IsolatedAsyncioTestCase):
    """A broker with the iSCSI front and an address for operators' calls."""

    async def start(self, admin_port: int, fleet_ports: list[int]) -> Program:
        """Starts a broker of a fleet with these ports."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        text = (ROOT / "deploy" / "iscsi.toml").read_text().replace("127.0.0.1:3260", "127.0.0.1:0")
        text = text.replace("brokers = 1 ", f"brokers = {len(fleet_ports)} ")
        members = "".join(
            f'[[fleet.member]]\nname = "b{number}"\naddress = "127.0.0.1:{port}"\n'
            for number, port in enumerate(fleet_ports)
        )
        path = Path(folder.name) / "iscsi.toml"
        path.write_text(
            f'{text}\n[fleet]\nname = "b0"\nlisten = "127.0.0.1:{fleet_ports[0]}"\n'
            f'admin = "127.0.0.1:{admin_port}"\n{members}'
        )
        return await Program().start("serve", "--config", str(path))

    async def test_broker_with_an_occupied_operators_address_accepts_no_client(self) -> None:
        """Guards against `event=listening` before the operators' address is open."""
        with socket.create_server(("127.0.0.1", 0)) as occupied:
            program = await self.start(occupied.getsockname()[1], find_free_udp_ports(2))
            self.assertEqual(await program.process.wait(), 2)
            await program.reader
        log = "".join(program.lines)
        self.assertIn("cannot listen", log)
        self.assertNotIn("event=listening", log)
