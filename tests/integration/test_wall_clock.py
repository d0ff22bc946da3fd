"""Start times of endpoints by a wall clock that steps."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
import unittest
from pathlib import Path

from fault_cases import FaultCase, Faults, sleep_until
from harness import (
    PLATFORM_SETTINGS,
    Client,
    PlatformCase,
)

UNITS = 6
BURST = 40
RAMP_US = PLATFORM_SETTINGS["rules"]["ramp-time-us"]


class WallClock(unittest.IsolatedAsyncioTestCase):
    """A wall clock that is stepped, by 2 s or an hour: before, during and after a node's restart."""

    async def burst(self, case: FaultCase, seconds: float) -> int:
        """How many of 40 requests of 6 units come to the node within so many seconds."""
        before = len(case.node.requests)
        clients = [await Client(case.port).open() for _ in range(BURST)]
        at = asyncio.get_running_loop().time()
        for client in clients:
            client.writer.write(client.encode_request(X_Placement=f"units={UNITS},shard=0,hosts=1"))
        await sleep_until(at + seconds)
        for client in clients:
            client.writer.transport.abort()
        return len(case.node.requests) - before

    async def play(self, step_s: int, moment: str) -> tuple[int, int]:
        """The requests of a burst right after a node's restart is told, and of one after its ramp."""
        case = FaultCase()
        folder = tempfile.TemporaryDirectory()
        faults = Faults(Path(folder.name))
        if moment == "before":
            faults.set(wall_step_s=step_s)
        case.environment = faults.environment
        await PlatformCase.asyncSetUp(case)
        try:
            await case.client.request()
            if moment == "during":
                faults.set(wall_step_s=step_s)
            case.discovery.set_endpoint("s-1", case.node.port, born_ms=time.time_ns() // 1_000_000)
            await case.program.wait_for_line('event="endpoint listed" endpoint=s-1')
            if moment == "after":
                faults.set(wall_step_s=step_s)
            told = asyncio.get_running_loop().time()
            cold = await self.burst(case, 0.25)
            await sleep_until(told + RAMP_US / 1e6 + 0.5)
            warm = await self.burst(case, 1.0)
            for _ in range(
                6
            ):  # on busy cores the aims pass; at a cold node none of seven bursts gets further
                if warm <= 2 * 3:
                    warm = max(warm, await self.burst(case, 1.0))
            return cold, warm
        finally:
            await case.program.stop(signal.SIGKILL)
            case.doCleanups()
            folder.cleanup()

    async def test_a_node_that_restarts_is_cold_until_its_ramp_is_over_and_no_longer(self) -> None:
        plays = [
            (0, "before"),
            *((step, moment) for step in (-3600, -2, 2, 3600) for moment in ("before", "during", "after")),
        ]
        results = await asyncio.gather(*(self.play(*one) for one in plays))
        (cold, warm), *others = results
        self.assertLess(cold, 4)
        self.assertGreater(warm, cold)
        for play, (cold, warm_then) in zip(plays[1:], others):
            with self.subTest(play=play):
                self.assertLess(cold, 4)
                self.assertGreater(warm_then, 2 * 3)
