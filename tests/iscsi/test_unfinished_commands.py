"""Abandoned writes: which commands wait for them, and which responses."""

from __future__ import annotations

import asyncio
import unittest

from front_cases import FrontCase

from lemonridge.core.memory_budget import MemoryBudget, Reservation
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, ManagementFunction, ManagementResponse, Op, Pdu
from lemonridge.iscsi.task_management import RESPONSES_WAITING_MAX
from lemonridge.iscsi.unfinished_commands import NodeActivity, UnfinishedCommands
from lemonridge.lab.conform.peer import Peer


def cdb_of(opcode: int, block: int) -> bytes:
    """Returns the CDB of a READ (10) or WRITE (10) of two blocks."""
    return bytes((opcode, 0)) + block.to_bytes(4, "big") + b"\0\0\2\0"


READ, WRITE, SYNCHRONIZE = 0x28, 0x2A, bytes((0x35,)) + bytes(9)
WRITTEN_CDB = cdb_of(WRITE, 10)


class Overlaps(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.unfinished = UnfinishedCommands()
        self.budget = MemoryBudget(4096)

    def abandon(self, cdb: bytes, lun: int = 0) -> NodeActivity:
        """Returns a command with an open request that has ended for its initiator."""
        reservation = Reservation(self.budget, 1024)
        activity = NodeActivity(lun, cdb, reservation)
        activity.hold()
        reservation.release()
        self.unfinished.abandon(activity)
        return activity

    async def may_run(self, cdb: bytes, lun: int = 0) -> bool:
        """Returns whether a command whose deadline is now does not have to wait."""
        return await self.unfinished.wait_for_blocks(lun, cdb, asyncio.get_running_loop().time())

    async def test_only_commands_at_the_same_blocks_of_the_lun_wait(self) -> None:
        self.abandon(WRITTEN_CDB)
        cases = (
            (cdb_of(WRITE, 8), 0, True),
            (cdb_of(WRITE, 9), 0, False),
            (cdb_of(READ, 11), 0, False),
            (cdb_of(READ, 12), 0, True),
            (WRITTEN_CDB, 1, True),
            (SYNCHRONIZE, 0, True),
            (bytes((0x42,)) + bytes(9), 0, False),  # UNMAP may concern any block
        )
        for cdb, lun, may_run in cases:
            with self.subTest(cdb=cdb.hex(), lun=lun):
                self.assertIs(await self.may_run(cdb, lun), may_run)

    async def test_read_and_command_without_an_open_request_are_not_kept(self) -> None:
        self.abandon(cdb_of(READ, 10))
        self.unfinished.abandon(NodeActivity(0, WRITTEN_CDB, Reservation(self.budget)))
        self.assertEqual(len(self.unfinished), 0)

    async def test_write_is_kept_with_its_memory_until_its_last_request_has_ended(self) -> None:
        activity = self.abandon(WRITTEN_CDB)
        activity.hold()
        waiting = asyncio.create_task(self.unfinished.wait_for(self.unfinished.at_lun(0)))
        activity.release()
        await asyncio.sleep(0)
        self.assertEqual((waiting.done(), len(self.unfinished), self.budget.reserved_bytes), (False, 1, 1024))
        activity.release()
        await waiting
        self.assertEqual((len(self.unfinished), self.budget.reserved_bytes), (0, 0))
        self.assertTrue(await self.may_run(WRITTEN_CDB))

    async def test_write_abandoned_twice_is_kept_once(self) -> None:
        activity = self.abandon(WRITTEN_CDB)
        self.unfinished.abandon(activity)
        activity.release()
        await self.unfinished.wait_for(self.unfinished.all())
        self.unfinished.abandon(activity)
        self.assertEqual(len(self.unfinished), 0)


class BusyNode:
    """A core whose requests stay open after their clients have left, until the node has ended them."""

    def __init__(self) -> None:
        self.open_requests: list[Request] = []

    async def serve(self, request: Request) -> Answer:
        assert request.reservation is not None
        request.reservation.hold()
        self.open_requests.append(request)
        await asyncio.Event().wait()
        return Answer(AnswerKind.FAILED)

    def end_all(self) -> None:
        """Ends all requests."""
        while self.open_requests:
            reservation = self.open_requests.pop().reservation
            assert reservation is not None
            reservation.release()


class Responses(FrontCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.node = BusyNode()
        self.front.broker = self.node  # type: ignore[assignment]

    async def start_write(self, peer: Peer) -> int:
        """Sends a write that the node begins; returns its tag."""
        count = len(self.node.open_requests)
        tag = peer.send_command(WRITTEN_CDB, data=bytes(1024), immediate_length=1024)
        await self.until(lambda: len(self.node.open_requests) > count)
        return tag

    def send_request(self, peer: Peer, function: int, referenced_tag: int = RESERVED_TAG) -> int:
        """Sends an immediate task management request and returns its tag."""
        request = Pdu(Op.TASK_MANAGEMENT, FINAL | function, tag=next(self.ping_tags), immediate=True)
        request.words[0] = referenced_tag
        peer.send(request)
        return request.tag

    async def test_response_waits_for_the_node_and_other_pdus_do_not(self) -> None:
        peer = await self.open_session(level=0)
        tag = await self.start_write(peer)
        self.send_request(peer, ManagementFunction.ABORT_TASK, tag)
        await self.receipt(peer)  # a ping is answered meanwhile
        self.node.end_all()
        response = await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)
        self.assertEqual(response.byte2, ManagementResponse.FUNCTION_COMPLETE)

    async def test_cold_reset_ends_the_sessions_when_the_node_has_ended(self) -> None:
        peer, other = await self.open_session(level=0), await self.open_session(level=0)
        await self.start_write(other)
        self.send_request(peer, ManagementFunction.TARGET_COLD_RESET)
        await self.receipt(peer)
        self.assertEqual(len(self.front.sessions), 2)
        self.node.end_all()
        response = await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)
        self.assertEqual(response.byte2, ManagementResponse.FUNCTION_COMPLETE)
        self.assertEqual(self.front.sessions, {})

    async def test_function_rejected_when_too_many_responses_wait(self) -> None:
        peer = await self.open_session(level=0)
        await self.start_write(peer)
        for _ in range(RESPONSES_WAITING_MAX):
            self.send_request(peer, ManagementFunction.ABORT_TASK_SET)
        rejected_tag = self.send_request(peer, ManagementFunction.ABORT_TASK_SET)
        response = await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)
        self.assertEqual((response.tag, response.byte2), (rejected_tag, ManagementResponse.FUNCTION_REJECTED))
        self.node.end_all()
        for _ in range(RESPONSES_WAITING_MAX):
            response = await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)
            self.assertEqual(response.byte2, ManagementResponse.FUNCTION_COMPLETE)

    async def test_later_write_of_a_lost_session_reaches_the_node_after_the_abandoned_one(self) -> None:
        peer = await self.open_session(level=0)
        await self.start_write(peer)
        await self.lose(peer)
        successor = await self.open_session(level=0)
        successor.send_command(WRITTEN_CDB, data=bytes(1024), immediate_length=1024)
        await self.until(lambda: any(s.tasks for s in self.front.sessions.values()))
        await self.receipt(successor)
        self.assertEqual((len(self.node.open_requests), len(self.front.unfinished_commands)), (1, 1))
        self.node.end_all()
        await self.until(lambda: self.node.open_requests)
        self.assertEqual(len(self.front.unfinished_commands), 0)
