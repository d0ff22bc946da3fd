"""Cases whose program has system calls that fail or are late (`tests/faults/sitecustomize.py`)."""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
from pathlib import Path
from typing import Any

import test_iscsi_rude as rude
from harness import (
    ROOT,
    PlatformCase,
)

SLACK_S = 0.05  # PROTOCOL: every time limit on sockets is so much longer
HELD_S = 0.12  # a program that is stopped for so long is held up by no more than the 0.15 s of the page


class Faults:
    """What fails inside a program, as tests/faults/sitecustomize.py reads it."""

    def __init__(self, folder: Path) -> None:
        self.file = folder / "faults.json"
        self.environment = {"TEST_FAULTS": str(self.file), "PYTHONPATH": str(ROOT / "tests" / "faults")}
        self.set()

    def set(self, **faults: Any) -> None:
        """These faults and no others, from now on."""
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(faults))
        fresh.replace(self.file)


class FaultCase(PlatformCase):
    """A program of the platform's front inside which the system can be made to fail."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.faults = Faults(Path(folder.name))
        self.environment = {**self.environment, **self.faults.environment}
        await super().asyncSetUp()


async def pause(until: float) -> None:
    """Wait for a moment of the loop's clock: what is tested here is time itself."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, until - loop.time()))


def full_door(case: PlatformCase) -> socket.socket:
    """A socket at the node's port whose queue of new connections is full: connects do not come up."""
    case.node.listener.close()
    door = socket.create_server(("127.0.0.1", case.node.port), backlog=0)
    case.addCleanup(door.close)
    for _ in range(4):
        filler = socket.socket()
        case.addCleanup(filler.close)
        filler.setblocking(False)
        filler.connect_ex(door.getsockname())
    return door


class IscsiFaultCase(rude.FrontCase):
    """A program of the iSCSI front inside which the system can be made to fail."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.faults = Faults(Path(folder.name))
        self.environment = self.faults.environment
        await super().asyncSetUp()


TOLD_S = 6.0
GRACE_S = 0.5


async def drained(case: PlatformCase) -> None:
    """A drain of the only node is told: nothing goes there any more within 6 s and the grace."""
    loop = asyncio.get_running_loop()
    case.register.set("s-1", case.node.port, health="draining")
    told_at = loop.time()
    while (await case.client.ask(X_Deadline_Ms="100")).status == 200:
        case.assertLess(loop.time() - told_at, TOLD_S + GRACE_S)
        await asyncio.sleep(0.02)
