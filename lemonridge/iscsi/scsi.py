"""The SCSI that the broker must know: which commands it carries, and the answers it makes itself."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum


class Status(IntEnum):
    GOOD = 0x00
    CHECK_CONDITION = 0x02
    BUSY = 0x08
    RESERVATION_CONFLICT = 0x18
    TASK_SET_FULL = 0x28
    TASK_ABORTED = 0x40


# Operation codes that are carried, by whether they write. A write may run once only.
WRITES = frozenset((0x0A, 0x2A, 0x8A, 0x35, 0x91, 0x41, 0x93, 0x42, 0x89))
# WRITE (6, 10, 16), SYNCHRONIZE CACHE (10, 16), WRITE SAME (10, 16), UNMAP, COMPARE AND WRITE
READS = frozenset((0x00, 0x03, 0x08, 0x12, 0x1A, 0x25, 0x28, 0x5A, 0x88, 0x9E, 0x2F, 0x8F))
# TEST UNIT READY, REQUEST SENSE, READ (6), INQUIRY, MODE SENSE (6), READ CAPACITY (10), READ (10),
# MODE SENSE (10), READ (16), SERVICE ACTION IN, VERIFY (10, 16)
VERIFIES = frozenset((0x2F, 0x8F))  # may bring data to compare with, and change none
UNSUPPORTED_ON_MAPPED_LUNS = frozenset((0x2F, 0x8F, 0x41, 0x93, 0x42, 0x89))  # not for LUNs in extents


@dataclass(slots=True)
class Command:
    """What passes on unchanged from an initiator to a node; `length` is the expected transfer."""

    lun: int
    cdb: bytes
    reads: bool
    writes: bool
    length: int
    data: bytes = b""


@dataclass(slots=True)
class Reply:
    """A command's end. `residual` is what was not moved, negative where there was more to move."""

    status: int
    data: bytes = b""
    sense: bytes = b""
    residual: int = 0


def check_condition(key: int, code: int, qualifier: int = 0) -> Reply:
    """CHECK CONDITION with fixed-format sense."""
    sense = struct.pack(">BBBIB4xBB4x", 0x70, 0, key, 0, 10, code, qualifier)
    return Reply(Status.CHECK_CONDITION, sense=sense)


def no_such_lun() -> Reply:
    return check_condition(0x05, 0x25)


def invalid_opcode() -> Reply:
    return check_condition(0x05, 0x20)


def invalid_field() -> Reply:
    return check_condition(0x05, 0x24)


def data_incomplete() -> Reply:
    """Its data did not come in time: ABORTED COMMAND, it never ran."""
    return check_condition(0x0B, 0x4B)


def unreachable() -> Reply:
    """The request failed, and nothing is promised of its effect: HARDWARE ERROR, LOGICAL UNIT
    COMMUNICATION FAILURE. Not ABORTED COMMAND, on which initiators repeat a write by themselves.
    """
    return check_condition(0x04, 0x08)


def report_luns_data(luns: list[bytes]) -> bytes:
    return struct.pack(">I4x", 8 * len(luns)) + b"".join(luns)


def absent_lun_inquiry_data() -> bytes:
    """INQUIRY data of a LUN that is not there."""
    return struct.pack(">BBBBB31x", 0x7F, 0, 5, 2, 31)


def first_block(cdb: bytes) -> int:
    """The first block that a command names, or 0."""
    if cdb[0] in (0x08, 0x0A):
        return int.from_bytes(cdb[1:4], "big") & 0x1FFFFF
    if cdb[0] in (0x28, 0x2A):
        return int.from_bytes(cdb[2:6], "big")
    if cdb[0] in (0x88, 0x8A):
        return int.from_bytes(cdb[2:10], "big")
    return 0


READ_WRITE_CDB_BYTES = {
    0x08: 6,
    0x0A: 6,
    0x28: 10,
    0x2A: 10,
    0x88: 16,
    0x8A: 16,
}  # READ and WRITE, by the CDB's length
SYNCHRONIZE = frozenset((0x35, 0x91))
READ_CAPACITY_10, SERVICE_ACTION_IN, READ_CAPACITY_16 = 0x25, 0x9E, 0x10


def block_range(cdb: bytes) -> tuple[int, int]:
    """First block and number of blocks of a READ or WRITE (SBC-3, sections 5.8 to 5.12 and 5.32 to 5.36)."""
    size = READ_WRITE_CDB_BYTES[cdb[0]]
    if size == 6:
        return first_block(cdb), cdb[4] or 256
    return first_block(cdb), int.from_bytes(cdb[7:9] if size == 10 else cdb[10:14], "big")


def with_block_range(cdb: bytes, first: int, blocks: int) -> bytes:
    """The same READ or WRITE of a part of its blocks."""
    size = READ_WRITE_CDB_BYTES[cdb[0]]
    if size == 6:
        made = bytes([cdb[0]]) + first.to_bytes(3, "big") + bytes([blocks & 0xFF, cdb[5]])
    elif size == 10:
        made = cdb[:2] + first.to_bytes(4, "big") + cdb[6:7] + blocks.to_bytes(2, "big") + cdb[9:10]
    else:
        made = cdb[:2] + first.to_bytes(8, "big") + blocks.to_bytes(4, "big") + cdb[14:16]
    return made.ljust(16, b"\0")


def out_of_range() -> Reply:
    return check_condition(0x05, 0x21)


def read_capacity_data(cdb: bytes, blocks: int, block_bytes: int) -> bytes:
    """READ CAPACITY data (10) or (16): the last block and the block's length."""
    if cdb[0] == READ_CAPACITY_10:
        return struct.pack(">II", min(blocks - 1, 0xFFFFFFFF), block_bytes)
    return struct.pack(">QI20x", blocks - 1, block_bytes)[: int.from_bytes(cdb[10:14], "big")]
