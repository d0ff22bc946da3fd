"""Replacement of a process that speaks to the other brokers of its fleet."""

from __future__ import annotations

import json
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from harness import Program, free_port
from test_process_handover import ReplacementCase

pytestmark = pytest.mark.serial

LISTENING, SUCCESSOR_GONE = "fleet transport listening", "successor gone"


def free_datagram_port() -> int:
    """Returns a UDP port that the system chose."""
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class FleetReplacement(ReplacementCase):
    """A program whose fleet has one more broker, which does not run."""

    setting_overrides: dict[str, Any] = {"fleet-size": 2, "me": 0, "limits": {"peers": True}}

    async def launch(self, known_list: dict[str, Any] | None = None) -> None:
        """Starts the program of the base class anew, as a member of a fleet."""
        await super().launch(known_list)
        await self.program.stop()
        self.peer_port = free_datagram_port()
        config = json.loads(Path(self.config).read_text())
        config["peer_listen"] = f"127.0.0.1:{self.peer_port}"
        config["peers"] = [config["peer_listen"], f"127.0.0.1:{free_datagram_port()}"]
        Path(self.config).write_text(json.dumps(config))
        self.program = await self.start_member(**self.environment)
        await self.program.wait_for_line(LISTENING)
        self.port = int((await self.program.wait_for_line("event=listening")).rsplit(":", 1)[1])

    async def start_member(self, **environment: str) -> Program:
        """Starts a process of the broker."""
        program = await Program().start(
            "serve",
            "--peers",
            inherited_fd=self.listening_socket.fileno(),
            ROUTER_CONFIG=self.config,
            **environment,
        )
        self.addAsyncCleanup(program.stop, signal.SIGKILL)
        return program

    async def test_successor_joins_the_fleet_while_its_predecessor_serves(self) -> None:
        """Guards against a predecessor that lends the part of a limit that its successor uses."""
        successor = await self.start_member(**self.environment_of(free_port()))
        await successor.wait_for_line(LISTENING)
        self.assertIsNone(self.program.process.returncode)
        self.assertTrue(any("handed over" in line for line in self.program.lines))
        self.assertEqual((await self.client.request()).status, 200)

    async def test_predecessor_joins_the_fleet_again_when_its_successor_is_gone(self) -> None:
        successor = await self.start_member(**self.environment_of(free_port()))
        await successor.wait_for_line(LISTENING)
        await successor.stop(signal.SIGKILL)
        await self.program.wait_for_line(SUCCESSOR_GONE)
        again = await self.program.wait_for_line(LISTENING)
        self.assertIn(f":{self.peer_port} ", again)
        self.assertEqual(sum(LISTENING in line for line in self.program.lines), 2)
