"""A task that ends while it is reassigned to another connection."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from lemonridge.core.counters import Counters
from lemonridge.iscsi import scsi
from lemonridge.iscsi.allegiance import Allegiance
from lemonridge.iscsi.keys import NegotiatedParameters
from lemonridge.iscsi.pdu import FINAL, Op, Pdu
from lemonridge.iscsi.runner import TaskRunner
from lemonridge.iscsi.task import Task


class TaskReassignment(unittest.IsolatedAsyncioTestCase):
    """TASK REASSIGN at recovery level 2 in the same loop turn as the end of the command."""

    async def count_responses(self, *, ended_first: bool) -> int:
        """Returns how many SCSI Responses are sent on the new connection."""
        agreed = NegotiatedParameters(recovery_level=2)
        sent: list[Pdu] = []
        connection: Any = SimpleNamespace(agreed=agreed, send=lambda pdu, **_: sent.append(pdu))
        front = SimpleNamespace(loop=asyncio.get_running_loop(), counters=Counters())
        pdu = Pdu(Op.SCSI_COMMAND, FINAL, tag=7)
        task = Task(pdu, scsi.Command(0, b"", True, False, 512), 0, Allegiance(1, connection=None))
        session: Any = SimpleNamespace(
            front=front, agreed=agreed, tasks={7: task}, status_sent=lambda _: None
        )
        runner = TaskRunner(session)
        good = scsi.Reply(scsi.Status.GOOD, b"x" * 512)
        if ended_first:
            runner.respond(task, good)
        request = Pdu(Op.TASK_MANAGEMENT, words=[7, 0, 0, 0, 0, 0, 0])
        self.assertEqual(runner.reassign(Allegiance(2, connection), request), 0)
        if not ended_first:
            runner.respond(task, good)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return sum(pdu.opcode == Op.SCSI_RESPONSE for pdu in sent)

    async def test_task_that_ends_before_its_reassignment_is_answered_once(self) -> None:
        self.assertEqual(await self.count_responses(ended_first=True), 1)

    async def test_task_that_ends_in_the_loop_turn_of_its_reassignment_is_answered_once(self) -> None:
        self.assertEqual(await self.count_responses(ended_first=False), 1)
