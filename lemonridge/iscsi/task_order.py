"""Which commands of a session have to wait for earlier ones at the same LUN. Pure.

Commands are delivered in the order of their numbers (RFC 7143, 4.2.2.1); this says how far a device may
depart from it. The control mode page reports restricted reordering (SPC-4, QUEUE ALGORITHM MODIFIER 0):
commands that touch the same blocks keep their order where one of them writes. An ORDERED command waits for
all earlier ones, and later ones wait for it, as they do for a HEAD OF QUEUE command, which itself waits for
none (SAM-4, 8.6).
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import IntEnum

from lemonridge.iscsi import scsi

COMPARE_AND_WRITE, UNMAP = 0x89, 0x42
VERIFY_AND_WRITE_SAME = {0x2F: 10, 0x41: 10, 0x8F: 16, 0x93: 16}  # by the CDB's length


class TaskAttribute(IntEnum):
    """The task attributes of a SCSI Command PDU (RFC 7143, 11.3.1)."""

    UNTAGGED = 0
    SIMPLE = 1
    ORDERED = 2
    HEAD_OF_QUEUE = 3
    ACA = 4


@dataclass(frozen=True, slots=True)
class BlockRange:
    """Blocks from `first` up to, not with, `end`."""

    first: int
    end: int

    def overlaps(self, other: BlockRange) -> bool:
        """Whether the two have a block in common."""
        return self.first < other.end and other.first < self.end


ALL_BLOCKS = BlockRange(0, 1 << 64)
NO_BLOCKS = BlockRange(0, 0)


def blocks_of(cdb: bytes) -> BlockRange:
    """The blocks that a command reads or writes; of UNMAP, whose data name them, all."""
    code = cdb[0]
    if code in scsi.READ_WRITE_CDB_BYTES:
        first, count = scsi.block_range(cdb)
    elif code in VERIFY_AND_WRITE_SAME:
        is_short = VERIFY_AND_WRITE_SAME[code] == 10
        first = int.from_bytes(cdb[2:6] if is_short else cdb[2:10], "big")
        count = int.from_bytes(cdb[7:9] if is_short else cdb[10:14], "big")
        if not count:  # of WRITE SAME: up to the last block (SBC-3, 5.41)
            return BlockRange(first, ALL_BLOCKS.end)
    elif code == COMPARE_AND_WRITE:
        first, count = int.from_bytes(cdb[2:10], "big"), cdb[13]
    else:
        return ALL_BLOCKS if code == UNMAP else NO_BLOCKS
    return BlockRange(first, first + count)


@dataclass(frozen=True, slots=True)
class _OpenTask:
    attribute: int
    blocks: BlockRange
    writes: bool

    def waits_for(self, earlier: _OpenTask) -> bool:
        if self.attribute == TaskAttribute.HEAD_OF_QUEUE:
            return False
        if self.attribute == TaskAttribute.ORDERED:
            return True
        if earlier.attribute in (TaskAttribute.ORDERED, TaskAttribute.HEAD_OF_QUEUE):
            return True
        return (self.writes or earlier.writes) and self.blocks.overlaps(earlier.blocks)


class TaskOrder:
    """The open commands of one session at one LUN, in the order in which they came."""

    def __init__(self) -> None:
        self._open: dict[Hashable, _OpenTask] = {}

    def add(self, task: Hashable, attribute: int, cdb: bytes) -> None:
        """A command has come."""
        self._open[task] = _OpenTask(attribute, blocks_of(cdb), cdb[0] in scsi.WRITES)

    def remove(self, task: Hashable) -> None:
        """A command has ended; without effect on one that is not open."""
        self._open.pop(task, None)

    def may_run(self, task: Hashable) -> bool:
        """Whether nothing that came before a command holds it back."""
        added = self._open[task]
        for other, earlier in self._open.items():
            if other is task:
                return True
            if added.waits_for(earlier):
                return False
        return True
