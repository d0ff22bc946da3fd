"""How unit attentions of nodes are recognized, and the pending ones of a nexus."""

from __future__ import annotations

import pytest
from front_cases import FrontCase

from lemonridge.iscsi import scsi
from lemonridge.iscsi.device import MAX_UNIT_ATTENTIONS

CHECK = scsi.Status.CHECK_CONDITION


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        (scsi.check_condition(0x06, 0x29, 0x02), (0x29, 0x02)),
        (scsi.Reply(CHECK, sense=b"\x72\x06\x2a\x09" + bytes(4)), (0x2A, 0x09)),
        (scsi.Reply(CHECK, sense=b"\x73\x06\x29\x00"), (0x29, 0x00)),
        (scsi.check_condition(0x05, 0x24), None),
        (scsi.Reply(CHECK, sense=b"\x72\x0b\x29\x00"), None),
        (scsi.Reply(CHECK, sense=b"\x70\x00\x06" + bytes(10)), None),  # too short for the code
        (scsi.Reply(CHECK), None),
        (scsi.Reply(scsi.Status.GOOD, sense=b"\x72\x06\x29\x00"), None),
    ],
)
def test_unit_attention_is_recognized_in_both_sense_formats(
    reply: scsi.Reply, expected: tuple[int, int] | None
) -> None:
    assert scsi.unit_attention_of(reply) == expected


class PendingAttentions(FrontCase):
    async def test_loss_of_power_is_taken_from_among_others(self) -> None:
        nexus = self.session_of(await self.open_session(level=0)).nexus
        nexus.unit_attentions.clear()
        for code in ((0x2A, 0x09), (0x29, 0x00), (0x3F, 0x0E)):
            nexus.add_unit_attention(0, code)
        self.assertIsNone(nexus.take_loss_of_power(1))
        self.assertEqual(nexus.take_loss_of_power(0), (0x29, 0x00))
        self.assertIsNone(nexus.take_loss_of_power(0))
        nexus.discard_unit_attention(0, (0x2A, 0x09))
        nexus.discard_unit_attention(0, (0x2A, 0x09))
        self.assertEqual(list(nexus.unit_attentions[0]), [(0x3F, 0x0E)])

    async def test_attentions_of_nodes_are_bounded(self) -> None:
        nexus = self.session_of(await self.open_session(level=0)).nexus
        for qualifier in range(3 * MAX_UNIT_ATTENTIONS):
            self.front.device.report_unit_attention((0x3F, qualifier), [0])
        self.assertEqual(len(nexus.unit_attentions[0]), MAX_UNIT_ATTENTIONS)
