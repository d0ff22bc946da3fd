"""What an ordinary initiator gets while others send at full speed."""

from __future__ import annotations

import asyncio
import sys

import pytest
from harness import ROOT, IscsiCase

from lemonridge.iscsi.scsi import Status
from lemonridge.lab.load.iscsi_flood import CommandKind

pytestmark = pytest.mark.serial

FLOODING_SESSIONS, FLOOD_S = 12, 4.0
READS, READ_INTERVAL_S = 30, 0.1
DEADLINE_S = 2.5  # of reads in deploy/iscsi.toml
LATE_GRACE_S = 0.05  # PROTOCOL, "The rules on sockets": every time limit is 50 ms longer
NODE_LATENCY_S = 0.03


class FloodsOfInitiators(IscsiCase):
    async def read_beside(self, kind: CommandKind) -> list[int]:
        """Reads at an even pace beside a flood; each read must be answered in its time.

        Returns:
            The statuses of the reads.
        """
        self.target.delay_s = NODE_LATENCY_S
        session = await self.open_session()
        loop = asyncio.get_running_loop()
        latencies_s: list[float] = []

        async def read() -> int:
            began_s = loop.time()
            status, _, _ = await session.read(1, 512)
            latencies_s.append(loop.time() - began_s)
            return status

        flood = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "lemonridge.lab.load.iscsi_flood", kind.value),
            *("--port", str(self.port), "--sessions", str(FLOODING_SESSIONS), "--seconds", str(FLOOD_S)),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        await self.program.wait_for_counter("sessions.opened", FLOODING_SESSIONS + 1)
        reads, first_s = [], loop.time()
        for number in range(READS):
            await asyncio.sleep(first_s + number * READ_INTERVAL_S - loop.time())
            reads.append(asyncio.create_task(read()))
        statuses = await asyncio.gather(*reads)
        output, _ = await flood.communicate()
        latencies_s.sort()
        summary = f"median {latencies_s[READS // 2]:.3f} s, slowest {latencies_s[-1]:.3f} s"
        print(f"{kind.value}: {summary} flood: {output.decode().strip()}")
        self.assertLess(latencies_s[-1], DEADLINE_S + LATE_GRACE_S, summary)
        return statuses

    async def test_initiators_at_full_speed_leave_time_for_others(self) -> None:
        """Guards against a connection that holds the event loop while it has input."""
        self.assertEqual(set(await self.read_beside(CommandKind.INQUIRIES)), {Status.GOOD})

    async def test_each_read_is_answered_in_time_beside_initiators_that_read_at_full_speed(self) -> None:
        statuses = await self.read_beside(CommandKind.READS)
        self.assertLessEqual(set(statuses), {Status.GOOD, Status.BUSY, Status.TASK_SET_FULL})
