"""Unit attentions of nodes, which have one I_T nexus for all initiators of a broker."""

from __future__ import annotations

import asyncio

from harness import IscsiCase, cdb

from lemonridge.iscsi import scsi
from lemonridge.iscsi.pdu import Op, Pdu
from lemonridge.lab.load.initiator import Initiator

POWER_ON = (0x29, 0x00)
SYNCHRONIZE_CDB = b"\x35" + bytes(9)
UNIT_ATTENTION = 0x06


def power_on_response() -> Pdu:
    """Returns the response of a node that has lost power, for any command."""
    sense = scsi.check_condition(UNIT_ATTENTION, *POWER_ON).sense
    data = len(sense).to_bytes(2, "big") + sense
    return Pdu(Op.SCSI_RESPONSE, byte3=scsi.Status.CHECK_CONDITION, data=data)


class LossOfPower(IscsiCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.reader, self.writer = await self.open_session(), await self.open_initiator(b"\x80\0\0\0\0\2")
        self.assertEqual((await self.writer.write(1, b"w" * 512))[0], scsi.Status.GOOD)

    async def open_initiator(self, isid: bytes) -> Initiator:
        """Returns an initiator with a port of its own."""
        session = Initiator(self.port)
        session.isid = isid
        await session.start()
        self.addCleanup(session.close)
        return session

    def assert_reports_loss_of_power(self, answer: tuple[int, bytes, bytes]) -> None:
        status, _, sense = answer
        self.assertEqual(
            (status, sense[2], tuple(sense[12:14])), (scsi.Status.CHECK_CONDITION, UNIT_ATTENTION, POWER_ON)
        )

    async def synchronize(self) -> tuple[int, bytes, bytes]:
        return await self.writer.answer(self.writer.command(SYNCHRONIZE_CDB))

    async def test_each_initiator_is_told_once(self) -> None:
        """Guards against a cached write that is lost while its initiator's SYNCHRONIZE CACHE is GOOD."""
        self.target.injected_pdus = [power_on_response()]
        self.assert_reports_loss_of_power(await self.reader.read(1, 512))
        self.assert_reports_loss_of_power(await self.synchronize())
        self.assertEqual((await self.synchronize())[0], scsi.Status.GOOD)
        self.assertEqual((await self.reader.read(1, 512))[0], scsi.Status.GOOD)

    async def test_synchronization_beside_the_first_command_reports_the_loss(self) -> None:
        self.target.delay_s = 0.3
        started = len(self.target.started_commands)
        synchronization = asyncio.create_task(self.synchronize())
        async with asyncio.timeout(5):
            while len(self.target.started_commands) == started:
                await asyncio.sleep(0)
        self.target.injected_pdus = [power_on_response()]
        self.assert_reports_loss_of_power(
            await self.reader.answer(self.reader.command(cdb(0x28, 1, 512), read=512))
        )
        self.assert_reports_loss_of_power(await synchronization)
        self.target.delay_s = 0.0
        self.assertEqual((await self.synchronize())[0], scsi.Status.GOOD)
