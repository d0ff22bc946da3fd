"""The order of commands of one session, as the node sees it."""

from __future__ import annotations

import asyncio

from harness import IscsiCase, cdb

from lemonridge.iscsi.task_order import TaskAttribute


class SessionOrder(IscsiCase):
    async def test_writes_to_one_block_are_at_the_node_one_after_another(self) -> None:
        """Guards against an older write that ends last: the mode page reports restricted reordering."""
        session = await self.open_session()
        self.target.delay_s = 0.05
        last = b""
        tags = []
        for number in range(4):
            last = bytes([number]) * 512
            tags.append(session.command(cdb(0x2A, 9, 512), data=last))
        read = session.command(cdb(0x28, 9, 512), read=512)
        answers = await asyncio.gather(*(session.answer(tag) for tag in tags))
        self.assertEqual([status for status, _, _ in answers], [0] * 4)
        self.assertEqual((await session.answer(read))[:2], (0, last))
        self.assertEqual(self.target.max_running, 1)

    async def test_an_ordered_command_is_at_the_node_alone(self) -> None:
        """Guards against an ORDERED command that earlier ones have not ended for, or that later ones pass."""
        session = await self.open_session()
        self.target.delay_s = 0.2
        first = session.command(cdb(0x28, 1, 512), read=512)
        ordered = session.command(cdb(0x2A, 2, 512), data=bytes(512), attribute=TaskAttribute.ORDERED)
        later = session.command(cdb(0x28, 3, 512), read=512)
        for tag in (first, ordered, later):
            self.assertEqual((await session.answer(tag))[0], 0)
        self.assertEqual([block for _, block, _ in self.target.started_commands], [1, 2, 3])
        times = [at for at, _, _ in self.target.started_commands]
        for before, after in zip(times, times[1:]):
            self.assertGreaterEqual(after - before, self.target.delay_s)
