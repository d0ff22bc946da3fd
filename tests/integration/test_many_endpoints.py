"""The processor time of a change of the list, by the number of endpoints."""

from __future__ import annotations

import signal
import unittest
from pathlib import Path

from harness import (
    PlatformCase,
)


def cpu_s(pid: int) -> float:
    """The processor time of all threads of a process."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(one.read_text().split()[0]) for one in tasks) / 1e9


CHANGES = 150
GROWTH_MAX = 1.6  # of the work of a change, at sixteen times the nodes
PLAYS = 3


class ManyNodes(unittest.IsolatedAsyncioTestCase):
    """STANDING, last table: changes come sixteen times as often at sixteen times the nodes."""

    async def cost_s(self, nodes: int) -> float:
        """Processor time of 150 single changes."""
        case = PlatformCase()
        await case.asyncSetUp()
        try:
            for number in range(nodes):
                host = f"n-{number}"
                case.discovery.endpoints[host] = case.discovery.endpoint_entry(
                    host, case.node.port, shard=number % 2
                )
                case.discovery.endpoint_versions[host] = case.discovery.seq + 1
            case.discovery.set_endpoint("s-1", case.node.port)
            await self.heard(case)
            spent = []
            for play in range(PLAYS):
                before = cpu_s(case.program.process.pid)
                for number in range(CHANGES):
                    case.discovery.set_endpoint(
                        f"n-{number}",
                        case.node.port,
                        shard=number % 2,
                        health="draining" if (number + play) % 2 else "up",
                    )
                    await self.heard(case)
                spent.append(cpu_s(case.program.process.pid) - before)
            return min(spent)
        finally:
            await case.program.stop(signal.SIGKILL)
            case.doCleanups()

    async def heard(self, case: PlatformCase) -> None:
        """Wait until a watch asks for what is newer than now."""
        newest = f"after={case.discovery.seq}&"
        await case.discovery_server.wait_until(
            lambda: newest in case.discovery_server.requests[-1].start_line
        )

    async def test_a_change_costs_alike_however_many_nodes_there_are(self) -> None:
        few, many = await self.cost_s(200), await self.cost_s(3200)
        self.assertLess(many / few, GROWTH_MAX, f"{few:.3f} s and {many:.3f} s")
