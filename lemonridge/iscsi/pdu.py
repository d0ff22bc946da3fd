"""PDUs of RFC 7143: their layout, and their way on and off a stream."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

BHS = struct.Struct(">BBBBI8sI7I")
NONE = 0xFFFFFFFF  # a task tag that names no task
FINAL, CONTINUE = 0x80, 0x40
TEXT_MAX = 16 * 1024  # of the text keys of one exchange
PORTAL_MAX = 64 * 1024  # the data segment that either side of this program takes


class Op(IntEnum):
    NOP_OUT = 0x00
    SCSI_COMMAND = 0x01
    TASK_MANAGEMENT = 0x02
    LOGIN = 0x03
    TEXT = 0x04
    DATA_OUT = 0x05
    LOGOUT = 0x06
    NOP_IN = 0x20
    SCSI_RESPONSE = 0x21
    TASK_MANAGEMENT_RESPONSE = 0x22
    LOGIN_RESPONSE = 0x23
    TEXT_RESPONSE = 0x24
    DATA_IN = 0x25
    LOGOUT_RESPONSE = 0x26
    R2T = 0x31
    ASYNC = 0x32
    REJECT = 0x3F


class PduError(Exception):
    """A PDU that breaks the protocol; `reason` is the one of a Reject."""

    PROTOCOL, UNSUPPORTED, FIELD = 0x04, 0x05, 0x09

    def __init__(self, reason: int, text: str, pdu: Pdu | None = None) -> None:
        super().__init__(text)
        self.reason, self.pdu = reason, pdu


@dataclass(slots=True)
class Pdu:
    """One PDU. `words` are the seven words from byte 20 on; most opcodes hold
    (transfer) tag, CmdSN or StatSN, ExpStatSN or ExpCmdSN, MaxCmdSN and three of their own there."""

    opcode: int
    flags: int = FINAL
    byte2: int = 0
    byte3: int = 0
    lun: bytes = bytes(8)
    tag: int = NONE
    words: list[int] = field(default_factory=lambda: [0] * 7)
    data: bytes = b""
    immediate: bool = False
    ahs: bytes = b""  # additional header segments, whole words

    def encode(self) -> bytes:
        first = self.opcode | (0x40 if self.immediate else 0)
        lengths = len(self.ahs) // 4 << 24 | len(self.data)
        head = (first, self.flags, self.byte2, self.byte3, lengths, self.lun, self.tag)
        return BHS.pack(*head, *self.words) + self.ahs + self.data + bytes(-len(self.data) % 4)

    @property
    def cdb(self) -> bytes:
        return struct.pack(">4I", *self.words[3:])


async def read_pdu(reader: asyncio.StreamReader, data_max: int = PORTAL_MAX) -> Pdu:
    """The next PDU, however TCP has split it; no more than `data_max` is ever held for it."""
    first, flags, byte2, byte3, lengths, lun, tag, *words = BHS.unpack(await reader.readexactly(BHS.size))
    pdu = Pdu(first & 0x3F, flags, byte2, byte3, lun, tag, words, b"", bool(first & 0x40))
    length = lengths & 0xFFFFFF
    if length > data_max:
        raise PduError(PduError.PROTOCOL, f"a data segment of {length} bytes", pdu)
    if lengths >> 24:
        pdu.ahs = await reader.readexactly((lengths >> 24) * 4)
    pdu.data = (await reader.readexactly(length + -length % 4))[:length]
    return pdu


def keep_alive(writer: asyncio.StreamWriter) -> None:
    """Let TCP find out, within two minutes, that a peer which says nothing is no longer there."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (("TCP_KEEPIDLE", 60), ("TCP_KEEPINTVL", 15), ("TCP_KEEPCNT", 4)):
        if hasattr(socket, name):
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)


def later(one: int, other: int) -> int:
    """How far one sequence number is past another, in the arithmetic of RFC 1982."""
    distance = (one - other) & NONE
    return distance - 2**32 if distance >= 2**31 else distance


def pack_lun(lun: int) -> bytes:
    """A LUN below 256 in peripheral, another in flat addressing."""
    return struct.pack(">H6x", lun if lun < 256 else 0x4000 | lun)


def unpack_lun(raw: bytes) -> int | None:
    """The number of a single-level LUN."""
    head, rest = struct.unpack(">H6s", raw)
    if any(rest) or head >> 14 > 1 or (head >> 14 == 0 and head > 255):
        return None
    return int(head & 0x3FFF)


def pack_text(pairs: Iterable[tuple[str, str]]) -> bytes:
    return b"".join(f"{key}={value}".encode() + b"\0" for key, value in pairs)


def unpack_text(data: bytes) -> dict[str, str]:
    """Text keys; the first value of a key that stands twice is kept, as no key may."""
    pairs: dict[str, str] = {}
    for item in data.split(b"\0"):
        if not item:
            continue
        key, equals, value = item.decode("utf-8", "replace").partition("=")
        if not equals or not key or key in pairs:
            raise PduError(PduError.PROTOCOL, f"malformed text key {key!r}")
        pairs[key] = value
    return pairs
