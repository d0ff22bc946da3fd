"""The SCSI that the broker must know: which commands it carries, and the answers it makes itself."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum


class Status(IntEnum):
    GOOD = 0x00
    CHECK_CONDITION = 0x02
    BUSY = 0x08
    TASK_SET_FULL = 0x28
    TASK_ABORTED = 0x40


# Operation codes that are carried, by whether they write. A write may run once only.
WRITES = frozenset((0x0A, 0x2A, 0x8A, 0x35, 0x91))  # WRITE (6, 10, 16), SYNCHRONIZE CACHE (10, 16)
READS = frozenset((0x00, 0x03, 0x08, 0x12, 0x1A, 0x25, 0x28, 0x5A, 0x88, 0x9E))
# TEST UNIT READY, REQUEST SENSE, READ (6), INQUIRY, MODE SENSE (6), READ CAPACITY (10), READ (10),
# MODE SENSE (10), READ (16), SERVICE ACTION IN
INQUIRY, REPORT_LUNS = 0x12, 0xA0


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


def check(key: int, code: int, qualifier: int = 0) -> Reply:
    """CHECK CONDITION with fixed-format sense."""
    sense = struct.pack(">BBBIB4xBB4x", 0x70, 0, key, 0, 10, code, qualifier)
    return Reply(Status.CHECK_CONDITION, sense=sense)


def no_such_lun() -> Reply:
    return check(0x05, 0x25)


def invalid_opcode() -> Reply:
    return check(0x05, 0x20)


def invalid_field() -> Reply:
    return check(0x05, 0x24)


def data_incomplete() -> Reply:
    """Its data did not come in time: ABORTED COMMAND, it never ran."""
    return check(0x0B, 0x4B)


def unreachable() -> Reply:
    """The request failed, and nothing is promised of its effect: HARDWARE ERROR, LOGICAL UNIT
    COMMUNICATION FAILURE. Not ABORTED COMMAND, on which initiators repeat a write by themselves."""
    return check(0x04, 0x08)


def report_luns(luns: list[bytes]) -> bytes:
    return struct.pack(">I4x", 8 * len(luns)) + b"".join(luns)


def absent_inquiry() -> bytes:
    """INQUIRY data of a LUN that is not there."""
    return struct.pack(">BBBBB31x", 0x7F, 0, 5, 2, 31)


def block(cdb: bytes) -> int:
    """The first block that a command names, or 0."""
    if cdb[0] in (0x08, 0x0A):
        return int.from_bytes(cdb[1:4], "big") & 0x1FFFFF
    if cdb[0] in (0x28, 0x2A):
        return int.from_bytes(cdb[2:6], "big")
    if cdb[0] in (0x88, 0x8A):
        return int.from_bytes(cdb[2:10], "big")
    return 0
