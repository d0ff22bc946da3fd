"""Decides which commands of a session wait for earlier ones at the same LUN. No I/O.

Commands are delivered in the order of CmdSN (RFC 7143, section 4.2.2.1); this module decides how far their
execution may depart from it. The control mode page reports restricted reordering (SPC-4, QUEUE ALGORITHM
MODIFIER 0): commands that access the same blocks run in order if one of them writes. An ORDERED command waits
for all earlier commands, and later commands wait for it. Later commands also wait for a HEAD OF QUEUE
command, which itself waits for none (SAM-4, section 8.6).
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import IntEnum

from lemonridge.iscsi import scsi

COMPARE_AND_WRITE, UNMAP = 0x89, 0x42
VERIFY_AND_WRITE_SAME = {0x2F: 10, 0x41: 10, 0x8F: 16, 0x93: 16}  # CDB length in bytes by opcode


class TaskAttribute(IntEnum):
    """The task attributes of a SCSI Command PDU (RFC 7143, section 11.3.1)."""

    UNTAGGED = 0
    SIMPLE = 1
    ORDERED = 2
    HEAD_OF_QUEUE = 3
    ACA = 4


@dataclass(frozen=True, slots=True)
class BlockRange:
    """A range of blocks.

    Attributes:
        first: The first block.
        end: The block after the last one.
    """

    first: int
    end: int

    def overlaps(self, other: BlockRange) -> bool:
        """Returns whether two ranges have a block in common.

        Args:
            other: The other range.
        """
        return self.first < other.end and other.first < self.end


ALL_BLOCKS = BlockRange(0, 1 << 64)
NO_BLOCKS = BlockRange(0, 0)


def blocks_of(cdb: bytes) -> BlockRange:
    """Returns the blocks that a command reads or writes.

    Args:
        cdb: The command descriptor block.

    Returns:
        The range of blocks; for UNMAP all blocks, since its data specifies them.
    """
    opcode = cdb[0]
    if opcode in scsi.READ_WRITE_CDB_BYTES:
        first, count = scsi.block_range(cdb)
    elif opcode in VERIFY_AND_WRITE_SAME:
        is_short = VERIFY_AND_WRITE_SAME[opcode] == 10
        first = int.from_bytes(cdb[2:6] if is_short else cdb[2:10], "big")
        count = int.from_bytes(cdb[7:9] if is_short else cdb[10:14], "big")
        if not count:  # WRITE SAME: up to the last block (SBC-3, section 5.41)
            return BlockRange(first, ALL_BLOCKS.end)
    elif opcode == COMPARE_AND_WRITE:
        first, count = int.from_bytes(cdb[2:10], "big"), cdb[13]
    else:
        return ALL_BLOCKS if opcode == UNMAP else NO_BLOCKS
    return BlockRange(first, first + count)


@dataclass(frozen=True, slots=True)
class _OpenTask:
    """A command that has not ended."""

    attribute: int
    blocks: BlockRange
    writes: bool

    def waits_for(self, earlier: _OpenTask) -> bool:
        """Returns whether this command waits for an earlier one."""
        if self.attribute == TaskAttribute.HEAD_OF_QUEUE:
            return False
        if self.attribute == TaskAttribute.ORDERED:
            return True
        if earlier.attribute in (TaskAttribute.ORDERED, TaskAttribute.HEAD_OF_QUEUE):
            return True
        return (self.writes or earlier.writes) and self.blocks.overlaps(earlier.blocks)


class TaskOrder:
    """The open commands of one session at one LUN, in the order of their arrival."""

    def __init__(self) -> None:
        self._open_tasks: dict[Hashable, _OpenTask] = {}

    def add(self, task: Hashable, attribute: int, cdb: bytes) -> None:
        """Adds a command that has arrived.

        Args:
            task: Identifies the command.
            attribute: Its task attribute, a value of `TaskAttribute`.
            cdb: Its command descriptor block.
        """
        self._open_tasks[task] = _OpenTask(attribute, blocks_of(cdb), cdb[0] in scsi.WRITES)

    def remove(self, task: Hashable) -> None:
        """Removes a command that has ended; has no effect if the command is not open.

        Args:
            task: Identifies the command.
        """
        self._open_tasks.pop(task, None)

    def may_run(self, task: Hashable) -> bool:
        """Returns whether a command does not have to wait for any earlier one.

        Args:
            task: Identifies the command, which must be open.
        """
        this_task = self._open_tasks[task]
        for other, earlier in self._open_tasks.items():
            if other is task:
                return True
            if this_task.waits_for(earlier):
                return False
        return True
