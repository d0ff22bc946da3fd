"""Test cases for programs whose system calls fail (see `tests/faults/sitecustomize.py`)."""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
from pathlib import Path
from typing import Any

import test_iscsi_rude as iscsi_cases
from harness import (
    ROOT,
    PlatformCase,
)

SOCKET_SLACK_S = 0.05  # PROTOCOL: added to every time limit on sockets
SUSPENDED_S = 0.12  # how long a program is stopped; with other delays it stays below STANDING's 0.15 s


class Faults:
    """The file that tells a program's `sitecustomize` which system calls fail.

    Attributes:
        file: The JSON file with the faults.
        environment: The environment variables that a program needs to read the file.
    """

    def __init__(self, folder: Path) -> None:
        self.file = folder / "faults.json"
        self.environment = {"TEST_FAULTS": str(self.file), "PYTHONPATH": str(ROOT / "tests" / "faults")}
        self.set()

    def set(self, **faults: Any) -> None:
        """Replaces all faults; see `tests/faults/sitecustomize.py` for their names."""
        new_file = self.file.with_suffix(".new")
        new_file.write_text(json.dumps(faults))
        new_file.replace(self.file)


class FaultCase(PlatformCase):
    """A program with the HTTP front in which system calls can be made to fail."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.faults = Faults(Path(folder.name))
        self.environment = {**self.environment, **self.faults.environment}
        await super().asyncSetUp()


async def sleep_until(until: float) -> None:
    """Sleeps until a time of the event loop's clock, for tests of time limits."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, until - loop.time()))


def listen_with_full_backlog(case: PlatformCase) -> socket.socket:
    """Replaces the node's listener by a socket whose backlog is full, so that connects get no response."""
    case.node.listener.close()
    listener = socket.create_server(("127.0.0.1", case.node.port), backlog=0)
    case.addCleanup(listener.close)
    for _ in range(4):
        filler = socket.socket()
        case.addCleanup(filler.close)
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    return listener


class IscsiFaultCase(iscsi_cases.IscsiFrontCase):
    """A program with the iSCSI front in which system calls can be made to fail."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.faults = Faults(Path(folder.name))
        self.environment = self.faults.environment
        await super().asyncSetUp()


NOTIFICATION_S = 6.0  # STANDING: after this time a change at a slow discovery server counts as notified
DRAIN_GRACE_S = 0.5  # attempts that begin within this time of the notification are allowed


async def assert_drain_in_time(case: PlatformCase) -> None:
    """Drains the only node and asserts that it serves no request after 6 s and the grace period."""
    loop = asyncio.get_running_loop()
    case.discovery.set_endpoint("s-1", case.node.port, health="draining")
    drain_set_at = loop.time()
    while (await case.client.request(X_Deadline_Ms="100")).status == 200:
        case.assertLess(loop.time() - drain_set_at, NOTIFICATION_S + DRAIN_GRACE_S)
        await asyncio.sleep(0.02)
