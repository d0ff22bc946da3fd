"""What becomes of all that hangs on a connection, for each way in which a connection ends."""

from __future__ import annotations

import asyncio

from front_cases import FrontCase

from lemonridge.iscsi.session import FUNCTION_COMPLETE, TASK_REASSIGN


class RetainedTasks(FrontCase):
    """Tasks at recovery level 2 whose connection was lost, and the time for which they are kept."""

    time2retain_s = 2

    # Guards against a command that is never answered: it was reassigned and lost its second connection too,
    # and the timer of the first loss aborted it before the time of the second one was over.
    async def test_task_that_loses_its_second_connection_is_kept_for_the_time_of_that_loss(self) -> None:
        steady = await self.open_session(level=2)
        first = await self.join(steady, cid=1)
        tag = await self.start_command(first)
        steady.cmd_sn = first.cmd_sn
        second = await self.join(steady, cid=2)
        await self.lose(first)
        first_expiry_s = asyncio.get_running_loop().time() + self.time2retain_s
        self.assertEqual(await self.manage(second, TASK_REASSIGN, tag), FUNCTION_COMPLETE)
        await self.until_time(first_expiry_s - 0.5)
        await self.lose(second)
        await self.until_time(first_expiry_s + 0.1)
        third = await self.join(steady, cid=3)
        self.assertEqual(await self.manage(third, TASK_REASSIGN, tag), FUNCTION_COMPLETE)
        self.broker.finished.set()
        self.assertEqual((await third.receive_response(tag))[0].byte3, 0)
        self.assertEqual(self.broker.request_count, 1)
