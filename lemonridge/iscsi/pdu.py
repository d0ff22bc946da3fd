"""PDUs of RFC 7143: their layout, their digests, and their way on and off a stream."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from crc32c import crc32c

log = logging.getLogger(__name__)

BHS = struct.Struct(">BBBBI8sI7I")
RESERVED_TAG = 0xFFFFFFFF  # a task tag that names no task
FINAL, CONTINUE = 0x80, 0x40
TEXT_MAX_BYTES = 16 * 1024  # of the text keys of one exchange
MAX_DATA_SEGMENT_BYTES = 64 * 1024  # the data segment that either side of this program takes


class Op(IntEnum):
    NOP_OUT = 0x00
    SCSI_COMMAND = 0x01
    TASK_MANAGEMENT = 0x02
    LOGIN = 0x03
    TEXT = 0x04
    DATA_OUT = 0x05
    LOGOUT = 0x06
    SNACK = 0x10
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


class HeaderDigestError(Exception):
    """A header that came spoilt: where the next PDU begins is not known, so the connection is lost (7.8)."""


class DataDigestError(Exception):
    """A data segment that came spoilt; the header `pdu` is sound."""

    def __init__(self, pdu: Pdu) -> None:
        super().__init__(f"data digest of opcode {pdu.opcode:#04x}")
        self.pdu = pdu


class PduError(Exception):
    """A PDU that breaks the protocol; `reason` is the one of a Reject."""

    PROTOCOL, UNSUPPORTED, FIELD = 0x04, 0x05, 0x09
    DIGEST, SNACK, TOO_MANY, IN_PROGRESS = 0x02, 0x03, 0x06, 0x07  # reasons of a Reject (11.17.1)

    def __init__(self, reason: int, text: str, pdu: Pdu | None = None) -> None:
        super().__init__(text)
        self.reason, self.pdu = reason, pdu


@dataclass(slots=True)
class Pdu:
    """One PDU. `words` are the seven words from byte 20 on; most opcodes hold
    (transfer) tag, CmdSN or StatSN, ExpStatSN or ExpCmdSN, MaxCmdSN and three of their own there.
    """

    opcode: int
    flags: int = FINAL
    byte2: int = 0
    byte3: int = 0
    lun: bytes = bytes(8)
    tag: int = RESERVED_TAG
    words: list[int] = field(default_factory=lambda: [0] * 7)
    data: bytes = b""
    immediate: bool = False
    ahs: bytes = b""  # additional header segments, whole words

    def encode(self, header_digest: bool = False, data_digest: bool = False) -> bytes:
        """The bytes on the wire; digests are CRC32C in the byte order of RFC 3720's examples (13.1)."""
        first = self.opcode | (0x40 if self.immediate else 0)
        lengths = len(self.ahs) // 4 << 24 | len(self.data)
        head = (first, self.flags, self.byte2, self.byte3, lengths, self.lun, self.tag)
        header = BHS.pack(*head, *self.words) + self.ahs
        data = self.data + bytes(-len(self.data) % 4)
        if header_digest:
            header += _digest(header)
        if data_digest and data:
            data += _digest(data)
        return header + data

    @property
    def cdb(self) -> bytes:
        return struct.pack(">4I", *self.words[3:])


def _digest(raw: bytes) -> bytes:
    return int(crc32c(raw)).to_bytes(4, "little")


async def read_pdu(
    reader: asyncio.StreamReader,
    data_max: int = MAX_DATA_SEGMENT_BYTES,
    header_digest: bool = False,
    data_digest: bool = False,
) -> Pdu:
    """The next PDU, however TCP has split it; no more than `data_max` is ever held for it.

    PduError if its data segment is longer, HeaderDigestError and DataDigestError if it came spoilt.
    """
    header = await reader.readexactly(BHS.size)
    if header_digest:  # before a spoilt length is believed, where there are no further header segments
        ahs = await reader.readexactly(header[4] * 4)
        if await reader.readexactly(4) != _digest(header + ahs):
            raise HeaderDigestError
    first, flags, byte2, byte3, lengths, lun, tag, *words = BHS.unpack(header)
    pdu = Pdu(first & 0x3F, flags, byte2, byte3, lun, tag, words, b"", bool(first & 0x40))
    length = lengths & 0xFFFFFF
    if length > data_max:
        raise PduError(PduError.PROTOCOL, f"a data segment of {length} bytes", pdu)
    if header_digest:
        pdu.ahs = ahs
    elif lengths >> 24:
        pdu.ahs = await reader.readexactly((lengths >> 24) * 4)
    if not length:
        return pdu
    data = await reader.readexactly(length + -length % 4)
    if data_digest and await reader.readexactly(4) != _digest(data):
        raise DataDigestError(pdu)
    pdu.data = data[:length]
    return pdu


def keep_alive(writer: asyncio.StreamWriter) -> None:
    """Let TCP find out, within two minutes, that a peer which says nothing is no longer there. A connection
    that the system denies an option is served without it.
    """
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for name, value in (("TCP_KEEPIDLE", 60), ("TCP_KEEPINTVL", 15), ("TCP_KEEPCNT", 4)):
            if hasattr(socket, name):
                sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
    except OSError as error:
        log.info("no keep-alive", extra={"error": str(error)})


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
