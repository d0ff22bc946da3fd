"""SCSI commands, statuses and sense data that the broker has to know.

Defines the commands that it forwards to nodes, and builds the responses and parameter data of its own.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum


class Status(IntEnum):
    """SCSI status codes (SAM-5)."""

    GOOD = 0x00
    CHECK_CONDITION = 0x02
    BUSY = 0x08
    RESERVATION_CONFLICT = 0x18
    TASK_SET_FULL = 0x28
    TASK_ABORTED = 0x40


UNIT_ATTENTION = 0x06  # sense key (SPC-4, table 27)
DESCRIPTOR_SENSE = (0x72, 0x73)  # response codes (SPC-4, table 26)
# Operation codes of the forwarded commands that write, each of which may be executed only once:
# WRITE (6, 10, 16), SYNCHRONIZE CACHE (10, 16), WRITE SAME (10, 16), UNMAP, COMPARE AND WRITE
WRITES = frozenset((0x0A, 0x2A, 0x8A, 0x35, 0x91, 0x41, 0x93, 0x42, 0x89))
# Operation codes of the forwarded commands that do not write:
# TEST UNIT READY, REQUEST SENSE, READ (6), INQUIRY, MODE SENSE (6), READ CAPACITY (10), READ (10),
# MODE SENSE (10), READ (16), SERVICE ACTION IN, VERIFY (10, 16)
READS = frozenset((0x00, 0x03, 0x08, 0x12, 0x1A, 0x25, 0x28, 0x5A, 0x88, 0x9E, 0x2F, 0x8F))
# VERIFY (10, 16): may have Data-Out to compare with, but does not change the medium
VERIFIES = frozenset((0x2F, 0x8F))
# Commands that are not supported for LUNs whose data lies in extents
UNSUPPORTED_ON_MAPPED_LUNS = frozenset((0x2F, 0x8F, 0x41, 0x93, 0x42, 0x89))


@dataclass(slots=True)
class Command:
    """A SCSI command as it is forwarded from an initiator to a node.

    Attributes:
        lun: Logical unit number; -1 if the initiator's LUN is not a single-level LUN.
        cdb: Command descriptor block, 16 bytes.
        reads: Whether the initiator expects Data-In.
        writes: Whether the initiator sends Data-Out.
        length: Expected data transfer length in bytes.
        data: Data-Out.
    """

    lun: int
    cdb: bytes
    reads: bool
    writes: bool
    length: int
    data: bytes = b""


@dataclass(slots=True)
class Reply:
    """The result of a command.

    Attributes:
        status: SCSI status code.
        data: Data-In.
        sense: Sense data.
        residual: Bytes of the expected transfer that were not transferred; negative if the command had more
            data than the initiator expected.
    """

    status: int
    data: bytes = b""
    sense: bytes = b""
    residual: int = 0


def check_condition(key: int, code: int, qualifier: int = 0) -> Reply:
    """Returns CHECK CONDITION with fixed-format sense data.

    Args:
        key: Sense key.
        code: Additional sense code (ASC).
        qualifier: Additional sense code qualifier (ASCQ).
    """
    sense = struct.pack(">BBBIB4xBB4x", 0x70, 0, key, 0, 10, code, qualifier)
    return Reply(Status.CHECK_CONDITION, sense=sense)


def unit_attention_of(reply: Reply) -> tuple[int, int] | None:
    """Returns the ASC and ASCQ of a unit attention; None if the reply reports something else.

    Args:
        reply: A reply whose sense data, if any, has the fixed or the descriptor format (SPC-4, section 4.5).
    """
    sense = reply.sense
    if reply.status != Status.CHECK_CONDITION or not sense:
        return None
    has_descriptors = sense[0] & 0x7F in DESCRIPTOR_SENSE
    key_offset, code_offset = (1, 2) if has_descriptors else (2, 12)
    if len(sense) < code_offset + 2 or sense[key_offset] & 0x0F != UNIT_ATTENTION:
        return None
    return sense[code_offset], sense[code_offset + 1]


def no_such_lun() -> Reply:
    """Returns ILLEGAL REQUEST, LOGICAL UNIT NOT SUPPORTED."""
    return check_condition(0x05, 0x25)


def invalid_opcode() -> Reply:
    """Returns ILLEGAL REQUEST, INVALID COMMAND OPERATION CODE."""
    return check_condition(0x05, 0x20)


def invalid_field() -> Reply:
    """Returns ILLEGAL REQUEST, INVALID FIELD IN CDB."""
    return check_condition(0x05, 0x24)


def data_incomplete() -> Reply:
    """Returns ABORTED COMMAND, DATA PHASE ERROR: Data-Out was not received in time, nothing was executed."""
    return check_condition(0x0B, 0x4B)


def unreachable() -> Reply:
    """Returns HARDWARE ERROR, LOGICAL UNIT COMMUNICATION FAILURE: the request failed, its effect is unknown.

    ABORTED COMMAND is not used, since initiators repeat a write on their own after it.
    """
    return check_condition(0x04, 0x08)


def report_luns_data(luns: list[bytes]) -> bytes:
    """Returns the parameter data of REPORT LUNS for encoded LUNs of 8 bytes each."""
    return struct.pack(">I4x", 8 * len(luns)) + b"".join(luns)


def absent_lun_inquiry_data() -> bytes:
    """Returns the INQUIRY data of a LUN that does not exist."""
    return struct.pack(">BBBBB31x", 0x7F, 0, 5, 2, 31)


def first_block(cdb: bytes) -> int:
    """Returns the logical block address of a READ or WRITE (6, 10, 16), and 0 for any other command."""
    if cdb[0] in (0x08, 0x0A):
        return int.from_bytes(cdb[1:4], "big") & 0x1FFFFF
    if cdb[0] in (0x28, 0x2A):
        return int.from_bytes(cdb[2:6], "big")
    if cdb[0] in (0x88, 0x8A):
        return int.from_bytes(cdb[2:10], "big")
    return 0


# CDB length in bytes of READ and WRITE, by operation code
READ_WRITE_CDB_BYTES = {0x08: 6, 0x0A: 6, 0x28: 10, 0x2A: 10, 0x88: 16, 0x8A: 16}
SYNCHRONIZE = frozenset((0x35, 0x91))
READ_CAPACITY_10, SERVICE_ACTION_IN, READ_CAPACITY_16 = 0x25, 0x9E, 0x10


def block_range(cdb: bytes) -> tuple[int, int]:
    """Returns the first block and the number of blocks of a READ or WRITE.

    SBC-3, sections 5.8 to 5.12 and 5.32 to 5.36.
    """
    cdb_bytes = READ_WRITE_CDB_BYTES[cdb[0]]
    if cdb_bytes == 6:
        return first_block(cdb), cdb[4] or 256
    return first_block(cdb), int.from_bytes(cdb[7:9] if cdb_bytes == 10 else cdb[10:14], "big")


def with_block_range(cdb: bytes, first: int, blocks: int) -> bytes:
    """Returns the CDB of the same READ or WRITE with another block range.

    Args:
        cdb: CDB of the original command.
        first: First block.
        blocks: Number of blocks.
    """
    cdb_bytes = READ_WRITE_CDB_BYTES[cdb[0]]
    if cdb_bytes == 6:
        new_cdb = bytes([cdb[0]]) + first.to_bytes(3, "big") + bytes([blocks & 0xFF, cdb[5]])
    elif cdb_bytes == 10:
        new_cdb = cdb[:2] + first.to_bytes(4, "big") + cdb[6:7] + blocks.to_bytes(2, "big") + cdb[9:10]
    else:
        new_cdb = cdb[:2] + first.to_bytes(8, "big") + blocks.to_bytes(4, "big") + cdb[14:16]
    return new_cdb.ljust(16, b"\0")


def out_of_range() -> Reply:
    """Returns ILLEGAL REQUEST, LOGICAL BLOCK ADDRESS OUT OF RANGE."""
    return check_condition(0x05, 0x21)


def read_capacity_data(cdb: bytes, blocks: int, block_bytes: int) -> bytes:
    """Returns the data of READ CAPACITY (10) or (16).

    Args:
        cdb: CDB of the command.
        blocks: Number of blocks of the logical unit.
        block_bytes: Block length in bytes.
    """
    if cdb[0] == READ_CAPACITY_10:
        return struct.pack(">II", min(blocks - 1, 0xFFFFFFFF), block_bytes)
    return struct.pack(">QI20x", blocks - 1, block_bytes)[: int.from_bytes(cdb[10:14], "big")]
