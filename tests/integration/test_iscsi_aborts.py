"""Writes that a node executes while they are aborted: what initiators are told and what the blocks hold."""

from __future__ import annotations

import asyncio
import struct

from harness import IscsiCase, cdb

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, ManagementFunction, Op, Pdu
from lemonridge.iscsi.scsi import Status
from lemonridge.lab.load.initiator import Initiator

BLOCK = 9
OLD, NEW = b"O" * 512, b"N" * 512
WRITE_CDB, READ_CDB = cdb(0x2A, BLOCK, 512), cdb(0x28, BLOCK, 512)
COSTLY_S = 0.6  # within the deadline of writes
REGISTER, RESERVE, PREEMPT_AND_ABORT = 0, 1, 5
WRITE_EXCLUSIVE = 1
OLD_KEY, NEW_KEY = 0xA, 0xB
LIMIT_S = 10.0


class AbortedWrites(IscsiCase):
    async def open_session_as(self, name: str, isid: bytes) -> Initiator:
        """Returns an initiator with a port of its own."""
        session = Initiator(self.port)
        session.isid = isid
        await session.open()
        await session.login(InitiatorName=f"iqn.2026-12.org.lemonridge:{name}")
        session.receiver = asyncio.create_task(session._receive())
        self.addCleanup(session.close)
        return session

    async def open_two_sessions(self) -> tuple[Initiator, Initiator]:
        old = await self.open_session_as("old", b"\x80\0\0\0\0\1")
        new = await self.open_session_as("new", b"\x80\0\0\0\0\2")
        return old, new

    async def start_costly_write(self, session: Initiator) -> int:
        """Sends a write that its node has begun, with all of its data, and returns its tag."""
        self.target.delay_s = COSTLY_S
        tag = session.command(WRITE_CDB, data=OLD)
        async with asyncio.timeout(LIMIT_S):
            while not any(bytes(data) == OLD for _, data, _ in self.target.transfers.values()):
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.01)  # the node has drawn the time that this write takes
        self.target.delay_s = 0.0
        self.assertEqual(self.target.blocks, {})
        return tag

    async def write_until_good(self, session: Initiator) -> None:
        """Writes the new data; a unit attention of a reset may come first."""
        async with asyncio.timeout(LIMIT_S):
            while (response := await session.write(BLOCK, NEW))[0] != Status.GOOD:
                self.assertIn(response[0], (Status.CHECK_CONDITION, Status.BUSY))

    async def assert_new_data_stays(self, session: Initiator) -> None:
        """Writes the new data, which must be there after every write has ended at the node."""
        await self.write_until_good(session)
        async with asyncio.timeout(LIMIT_S):
            while any(self.target.running_by_block.values()):
                await asyncio.sleep(0.001)
        self.assertEqual(self.target.blocks, {BLOCK: NEW})

    async def reserve_out(self, session: Initiator, action: int, key: int, action_key: int) -> int:
        """Sends PERSISTENT RESERVE OUT and returns its status."""
        command = struct.pack(">BBBxxIx", 0x5F, action, WRITE_EXCLUSIVE, 24)
        data = struct.pack(">QQ4xBxxx", key, action_key, 0)
        return (await session.answer(session.command(command, data=data)))[0]

    async def manage(self, session: Initiator, function: int, referenced_tag: int) -> int:
        """Sends a task management request and returns the response code."""
        words = [referenced_tag, 0, 0, session.next_cmd_sn, 0, 0, 0]
        session.send(Pdu(Op.TASK_MANAGEMENT, FINAL | function, tag=7000, immediate=True, words=words))
        async with asyncio.timeout(LIMIT_S):
            while (pdu := await session.other_pdus.get()).opcode != Op.TASK_MANAGEMENT_RESPONSE:
                pass
        return pdu.byte2

    async def test_preempted_write_has_ended_when_preempt_and_abort_is_good(self) -> None:
        """Guards against a fenced write that overwrites what the new holder has written."""
        old, new = await self.open_two_sessions()
        for session, action, key, action_key in (
            (old, REGISTER, 0, OLD_KEY),
            (old, RESERVE, OLD_KEY, 0),
            (new, REGISTER, 0, NEW_KEY),
        ):
            self.assertEqual(await self.reserve_out(session, action, key, action_key), Status.GOOD)
        await self.start_costly_write(old)
        self.assertEqual(await self.reserve_out(new, PREEMPT_AND_ABORT, NEW_KEY, OLD_KEY), Status.GOOD)
        self.assertEqual(self.target.blocks, {BLOCK: OLD})
        await self.assert_new_data_stays(new)

    async def test_aborted_write_has_ended_when_a_function_is_complete(self) -> None:
        """Guards against a response to a task management function while a node executes what it aborted."""
        for function in (
            ManagementFunction.ABORT_TASK,
            ManagementFunction.ABORT_TASK_SET,
            ManagementFunction.CLEAR_TASK_SET,
            ManagementFunction.LOGICAL_UNIT_RESET,
            ManagementFunction.TARGET_WARM_RESET,
        ):
            with self.subTest(function.name):
                self.target.blocks.clear()
                self.target.transfers.clear()
                old, new = await self.open_two_sessions()
                tag = await self.start_costly_write(old)
                referenced_tag = tag if function is ManagementFunction.ABORT_TASK else RESERVED_TAG
                self.assertEqual(await self.manage(old, function, referenced_tag), 0)
                self.assertEqual(self.target.blocks, {BLOCK: OLD})
                await self.assert_new_data_stays(new)
                old.close()
                new.close()

    async def test_write_of_a_session_that_ended_precedes_those_of_later_sessions(self) -> None:
        """Guards against a write of a lost connection that overwrites what came after it."""
        old, new = await self.open_two_sessions()
        await self.start_costly_write(old)
        old.writer.transport.abort()
        await self.program.wait_for_counter("connections.lost")
        await self.assert_new_data_stays(new)

    async def test_write_of_a_reinstated_session_precedes_those_of_its_successor(self) -> None:
        """Guards against a write from before a reinstatement that overwrites what came after it."""
        old, _ = await self.open_two_sessions()
        await self.start_costly_write(old)
        successor = await self.open_session_as("old", old.isid)
        await self.assert_new_data_stays(successor)
        self.assertEqual((await self.program.counters())["sessions.reinstated"], 1)

    async def test_read_beside_an_abandoned_write_sees_its_effect(self) -> None:
        """Guards against data that changes later though no command that writes it is left."""
        old, new = await self.open_two_sessions()
        await self.start_costly_write(old)
        old.writer.transport.abort()
        await self.program.wait_for_counter("connections.lost")
        self.assertEqual((await new.read(BLOCK, 512))[:2], (Status.GOOD, OLD))

    async def test_abandoned_write_does_not_delay_commands_at_other_blocks(self) -> None:
        old, new = await self.open_two_sessions()
        await self.start_costly_write(old)
        old.writer.transport.abort()
        await self.program.wait_for_counter("connections.lost")
        self.assertEqual((await new.write(BLOCK + 1, NEW))[0], Status.GOOD)
        self.assertEqual(self.target.blocks, {BLOCK + 1: NEW})
