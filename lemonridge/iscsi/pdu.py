"""iSCSI PDUs (RFC 7143, chapter 11): layout, digests, and reading and encoding them.

Also contains helpers for LUN and text encoding and for TCP keep-alive.
"""

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
RESERVED_TAG = 0xFFFFFFFF  # value of a task tag or transfer tag field that identifies nothing
UINT32_MASK = 0xFFFFFFFF  # keeps a sum within the 32 bits of a serial number on the wire
FINAL, CONTINUE = 0x80, 0x40  # F (or T) and C bits of the flags byte
MAX_DATA_SEGMENT_BYTES = 64 * 1024  # data segment that this program accepts, as target and as initiator


class Op(IntEnum):
    """Operation codes of PDUs (RFC 7143, 11.2.1.2)."""

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


class ManagementFunction(IntEnum):
    """The functions of a Task Management Function Request (RFC 7143, 11.5.1)."""

    ABORT_TASK = 1
    ABORT_TASK_SET = 2
    CLEAR_ACA = 3
    CLEAR_TASK_SET = 4
    LOGICAL_UNIT_RESET = 5
    TARGET_WARM_RESET = 6
    TARGET_COLD_RESET = 7
    TASK_REASSIGN = 8


class ManagementResponse(IntEnum):
    """The results of a task management function (RFC 7143, 11.6.1)."""

    FUNCTION_COMPLETE = 0
    TASK_DOES_NOT_EXIST = 1
    LUN_DOES_NOT_EXIST = 2
    TASK_STILL_ALLEGIANT = 3
    REASSIGNMENT_NOT_SUPPORTED = 4
    FUNCTION_NOT_SUPPORTED = 5
    FUNCTION_REJECTED = 255


class HeaderDigestError(Exception):
    """The digest of a received header does not match.

    The start of the next PDU is unknown, so the connection must be closed (RFC 7143, 7.8).
    """


class DataDigestError(Exception):
    """The digest of a received data segment does not match; the header is intact.

    Attributes:
        pdu: The PDU without its data.
    """

    def __init__(self, pdu: Pdu) -> None:
        """Creates the error for a PDU."""
        super().__init__(f"data digest mismatch in a PDU with opcode {pdu.opcode:#04x}")
        self.pdu = pdu


class PduError(Exception):
    """A received PDU violates the protocol.

    The class constants are the reason codes of a Reject PDU (RFC 7143, 11.17.1).

    Attributes:
        reason: Reason code.
        pdu: The PDU, if it is known.
    """

    PROTOCOL, UNSUPPORTED, FIELD = 0x04, 0x05, 0x09
    DIGEST, SNACK, TOO_MANY, IN_PROGRESS = 0x02, 0x03, 0x06, 0x07

    def __init__(self, reason: int, text: str, pdu: Pdu | None = None) -> None:
        """Creates the error; `text` describes the violation for the log."""
        super().__init__(text)
        self.reason, self.pdu = reason, pdu


@dataclass(slots=True)
class Pdu:
    """One PDU.

    Attributes:
        opcode: Operation code.
        flags: Byte 1.
        byte2: Byte 2.
        byte3: Byte 3.
        lun: Bytes 8 to 15: the LUN, or other fields that the opcode defines.
        tag: Initiator Task Tag.
        words: The seven 32-bit words from byte 20 on. For most opcodes they are the transfer tag, CmdSN or
            StatSN, ExpStatSN or ExpCmdSN, MaxCmdSN and three opcode-specific words.
        data: Data segment without padding.
        immediate: Whether the I bit is set.
        ahs: Additional header segments, padded to whole words.
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
    ahs: bytes = b""

    def encode(self, header_digest: bool = False, data_digest: bool = False) -> bytes:
        """Returns the PDU as sent on the wire.

        Digests are CRC32C in the byte order of the examples in RFC 3720 (RFC 7143, 13.1).

        Args:
            header_digest: Whether to append a header digest.
            data_digest: Whether to append a data digest, if there is data.
        """
        first = self.opcode | (0x40 if self.immediate else 0)
        lengths = len(self.ahs) // 4 << 24 | len(self.data)
        fields = (first, self.flags, self.byte2, self.byte3, lengths, self.lun, self.tag)
        header = BHS.pack(*fields, *self.words) + self.ahs
        data = self.data + bytes(-len(self.data) % 4)
        if header_digest:
            header += _digest(header)
        if data_digest and data:
            data += _digest(data)
        return header + data

    @property
    def cdb(self) -> bytes:
        """The 16 CDB bytes of a SCSI Command PDU."""
        return struct.pack(">4I", *self.words[3:])


def _digest(raw: bytes) -> bytes:
    """Returns the CRC32C of `raw` as sent on the wire."""
    return int(crc32c(raw)).to_bytes(4, "little")


async def read_pdu(
    reader: asyncio.StreamReader,
    data_max: int = MAX_DATA_SEGMENT_BYTES,
    header_digest: bool = False,
    data_digest: bool = False,
) -> Pdu:
    """Reads the next PDU from a stream.

    Args:
        reader: Stream to read from.
        data_max: Maximum length of the data segment in bytes; no more than this is buffered.
        header_digest: Whether PDUs carry a header digest.
        data_digest: Whether data segments carry a digest.

    Raises:
        PduError: The data segment is longer than `data_max`.
        HeaderDigestError: The header digest does not match.
        DataDigestError: The data digest does not match.
        asyncio.IncompleteReadError: The stream ended.
    """
    header = await reader.readexactly(BHS.size)
    if header_digest:  # check it before using the data segment length
        ahs = await reader.readexactly(header[4] * 4)
        if await reader.readexactly(4) != _digest(header + ahs):
            raise HeaderDigestError
    first, flags, byte2, byte3, lengths, lun, tag, *words = BHS.unpack(header)
    pdu = Pdu(first & 0x3F, flags, byte2, byte3, lun, tag, words, b"", bool(first & 0x40))
    length = lengths & 0xFFFFFF
    if length > data_max:
        raise PduError(PduError.PROTOCOL, f"data segment of {length} bytes is too long", pdu)
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
    """Enables TCP keep-alive, so that a dead peer is detected within two minutes.

    A connection for which the system refuses the socket options continues without them.
    """
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for name, value in (("TCP_KEEPIDLE", 60), ("TCP_KEEPINTVL", 15), ("TCP_KEEPCNT", 4)):
            if hasattr(socket, name):
                sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
    except OSError as error:
        log.info("TCP keep-alive not enabled", extra={"error": str(error)})


def pack_lun(lun: int) -> bytes:
    """Returns the 8 bytes of a LUN: peripheral device addressing below 256, else flat space addressing."""
    return struct.pack(">H6x", lun if lun < 256 else 0x4000 | lun)


def unpack_lun(raw: bytes) -> int | None:
    """Returns the number of a single-level LUN; None for any other addressing."""
    first_level, rest = struct.unpack(">H6s", raw)
    if any(rest) or first_level >> 14 > 1 or (first_level >> 14 == 0 and first_level > 255):
        return None
    return int(first_level & 0x3FFF)


def pack_text(pairs: Iterable[tuple[str, str]]) -> bytes:
    """Returns text keys as a data segment: key=value pairs, each followed by a NUL byte."""
    return b"".join(f"{key}={value}".encode() + b"\0" for key, value in pairs)


def unpack_text(data: bytes) -> dict[str, str]:
    """Returns the text keys of a data segment.

    Raises:
        PduError: An item is no key=value pair, or a key is present more than once.
    """
    pairs: dict[str, str] = {}
    for item in data.split(b"\0"):
        if not item:
            continue
        key, equals, value = item.decode("utf-8", "replace").partition("=")
        if not equals or not key or key in pairs:
            raise PduError(PduError.PROTOCOL, f"malformed text key {key!r}")
        pairs[key] = value
    return pairs
