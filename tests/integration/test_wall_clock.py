"""Start times of endpoints when the wall clock is stepped."""

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
    Message,
    PlatformCase,
    Server,
    serve_ok,
)

UNITS_PER_REQUEST = 6
BURST_REQUESTS = 40
RAMP_US = PLATFORM_SETTINGS["rules"]["ramp-time-us"]
NODE_LATENCY_S = 0.02  # the broker derives a slow start's rate from it, so it must not depend on the machine


async def serve_after_latency(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
    """Responds with 200 after the node's latency."""
    await asyncio.sleep(NODE_LATENCY_S)
    await serve_ok(server, message, writer)


class WallClock(unittest.IsolatedAsyncioTestCase):
    """The wall clock is stepped by 2 s or an hour before, during or after a node's restart."""

    async def send_burst(self, case: FaultCase, seconds: float) -> int:
        """Sends 40 requests of 6 units; returns how many of them the node receives in the given time."""
        requests_before = len(case.node.requests)
        clients = [await Client(case.port).open() for _ in range(BURST_REQUESTS)]
        sent_at = asyncio.get_running_loop().time()
        for client in clients:
            client.writer.write(
                client.encode_request(X_Placement=f"units={UNITS_PER_REQUEST},shard=0,hosts=1")
            )
        await sleep_until(sent_at + seconds)
        for client in clients:
            client.writer.transport.abort()
        return len(case.node.requests) - requests_before

    async def restart_node(self, step_s: int, moment: str) -> tuple[int, int]:
        """Restarts a node and steps the wall clock before, during or after the restart.

        Returns:
            The requests that the node receives of a burst right after the notification of its restart, and of
            one after its ramp.
        """
        case = FaultCase()
        folder = tempfile.TemporaryDirectory()
        faults = Faults(Path(folder.name))
        if moment == "before":
            faults.set(wall_step_s=step_s)
        case.environment = faults.environment
        await PlatformCase.asyncSetUp(case)
        case.node.script = serve_after_latency
        try:
            await case.client.request()
            if moment == "during":
                faults.set(wall_step_s=step_s)
            case.discovery.set_endpoint("s-1", case.node.port, born_ms=time.time_ns() // 1_000_000)
            await case.program.wait_for_line('event="endpoint listed" endpoint=s-1')
            if moment == "after":
                faults.set(wall_step_s=step_s)
            notified_at = asyncio.get_running_loop().time()
            cold = await self.send_burst(case, 0.25)
            await sleep_until(notified_at + RAMP_US / 1e6 + 0.5)
            warm = await self.send_burst(case, 1.0)
            # On a busy machine requests exceed their objectives, so the burst is repeated. A cold node would
            # not receive more in any of seven bursts.
            for _ in range(6):
                if warm <= 2 * 3:
                    warm = max(warm, await self.send_burst(case, 1.0))
            return cold, warm
        finally:
            await case.program.stop(signal.SIGKILL)
            case.doCleanups()
            folder.cleanup()

    async def test_restarted_node_is_cold_until_the_end_of_its_ramp_whatever_the_wall_clock(self) -> None:
        cases = [
            (0, "before"),
            *((step, moment) for step in (-3600, -2, 2, 3600) for moment in ("before", "during", "after")),
        ]
        results = await asyncio.gather(*(self.restart_node(*case) for case in cases))
        (cold, warm), *others = results
        self.assertLess(cold, 4)
        self.assertGreater(warm, cold)
        for case, (cold, warm_after_step) in zip(cases[1:], others):
            with self.subTest(case=case):
                self.assertLess(cold, 4)
                self.assertGreater(warm_after_step, 2 * 3)
