"""The processor time of a change of the endpoint list, by the number of endpoints."""

from __future__ import annotations

import signal
import unittest
from pathlib import Path
from statistics import median

from harness import (
    PlatformCase,
)


def cpu_s(pid: int) -> float:
    """Returns the processor time of all threads of a process."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9


CHANGES = 150
MAX_GROWTH = 1.6  # of the processor time of a change, at sixteen times the nodes
REPETITIONS = 3  # in a turn, as the first one finds cold caches
TURNS = 3  # of each program


class ManyNodes(unittest.IsolatedAsyncioTestCase):
    """STANDING, last table: sixteen times the nodes cause sixteen times the changes."""

    async def start(self, nodes: int) -> PlatformCase:
        """Starts a program before a number of nodes."""
        case = PlatformCase()
        self.addCleanup(case.doCleanups)
        await case.asyncSetUp()
        self.addAsyncCleanup(case.program.stop, signal.SIGKILL)
        for number in range(nodes):
            host = f"n-{number}"
            case.discovery.endpoints[host] = case.discovery.endpoint_entry(
                host, case.node.port, shard=number % 2
            )
            case.discovery.endpoint_versions[host] = case.discovery.seq + 1
        case.discovery.set_endpoint("s-1", case.node.port)
        await self.wait_until_delivered(case)
        return case

    async def cost_s(self, case: PlatformCase, turn: int) -> float:
        """Returns the least processor time of 150 single changes in a turn."""
        costs_s = []
        for repetition in range(turn * REPETITIONS, (turn + 1) * REPETITIONS):
            cpu_before_s = cpu_s(case.program.process.pid)
            for number in range(CHANGES):
                case.discovery.set_endpoint(
                    f"n-{number}",
                    case.node.port,
                    shard=number % 2,
                    health="draining" if (number + repetition) % 2 else "up",
                )
                await self.wait_until_delivered(case)
            costs_s.append(cpu_s(case.program.process.pid) - cpu_before_s)
        return min(costs_s)

    async def wait_until_delivered(self, case: PlatformCase) -> None:
        """Waits until a watch asks for changes after the latest version."""
        newest = f"after={case.discovery.seq}&"
        await case.discovery_server.wait_until(
            lambda: newest in case.discovery_server.requests[-1].start_line
        )

    async def test_a_change_costs_alike_however_many_nodes_there_are(self) -> None:
        """The programs take turns, so that load beside them slows both alike."""
        few, many = await self.start(200), await self.start(3200)
        turns = [(await self.cost_s(few, turn), await self.cost_s(many, turn)) for turn in range(TURNS)]
        few_costs_s, many_costs_s = zip(*turns, strict=True)
        few_s, many_s = min(few_costs_s), median(many_costs_s)
        self.assertLess(many_s / few_s, MAX_GROWTH, f"{few_s:.3f} s and {many_s:.3f} s")
