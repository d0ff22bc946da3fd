"""The order in which the commands of one session arrive at the node."""

from __future__ import annotations

import asyncio

from harness import IscsiCase, cdb

from lemonridge.iscsi.task_order import TaskAttribute


class SessionOrder(IscsiCase):
    async def test_writes_to_one_block_run_one_after_another(self) -> None:
        """Guards against an older write that completes last: the mode page reports restricted reordering."""
        session = await self.open_session()
        self.target.delay_s = 0.05
        last_data = b""
        tags = []
        for number in range(4):
            last_data = bytes([number]) * 512
            tags.append(session.command(cdb(0x2A, 9, 512), data=last_data))
        read = session.command(cdb(0x28, 9, 512), read=512)
        responses = await asyncio.gather(*(session.answer(tag) for tag in tags))
        self.assertEqual([status for status, _, _ in responses], [0] * 4)
        self.assertEqual((await session.answer(read))[:2], (0, last_data))
        self.assertEqual(self.target.max_running, 1)

    async def test_ordered_command_runs_alone(self) -> None:
        """Guards against an ORDERED command that starts before earlier ones complete or after later ones."""
        session = await self.open_session()
        self.target.delay_s = 0.2
        first = session.command(cdb(0x28, 1, 512), read=512)
        ordered = session.command(cdb(0x2A, 2, 512), data=bytes(512), attribute=TaskAttribute.ORDERED)
        later = session.command(cdb(0x28, 3, 512), read=512)
        for tag in (first, ordered, later):
            self.assertEqual((await session.answer(tag))[0], 0)
        self.assertEqual([block for _, block, _ in self.target.started_commands], [1, 2, 3])
        start_times = [time for time, _, _ in self.target.started_commands]
        for earlier, later in zip(start_times, start_times[1:]):
            self.assertGreaterEqual(later - earlier, self.target.delay_s)
