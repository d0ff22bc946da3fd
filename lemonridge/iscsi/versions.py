"""Extent versions in iSCSI: how an attempt names the version that it relies on, and how a node refuses it.

Both sides agree on the extension at login by the private key `X-org.lemonridge.ExtentVersion=1` (RFC 7143,
section 13.22). A SCSI Command may then carry an additional header segment of type 60, the first type that
RFC 3720, section 10.2.2.2, reserves for extensions, with the first block of the extent and its version. A
node executes the command only if it holds that extent at exactly that version. Otherwise it returns CHECK
CONDITION with descriptor-format sense data (SPC-4, section 4.5.2): ABORTED COMMAND, 80h/01h (vendor
specific), and a vendor-specific descriptor 80h with the version and the shard that the node knows.
docs/extents.md compares this with the referrals of SBC-3.
"""

from __future__ import annotations

import struct

from lemonridge.extents.routing import Redirect

EXTENT_VERSION_KEY, EXTENT_VERSION_VALUE = "X-org.lemonridge.ExtentVersion", "1"
_AHS = struct.Struct(">HBBQQ")
_AHS_TYPE = 60
_SENSE_HEADER = struct.Struct(">BBBBxxxB")
_DESCRIPTOR = struct.Struct(">BBxxIQ")
_SENSE_START = (0x72, 0x0B, 0x80, 0x01)
# Values on the wire for an unknown shard and an unknown version
_NO_SHARD, _NO_VERSION = (1 << 32) - 1, (1 << 64) - 1


def pack_ahs(extent: int, version: int) -> bytes:
    """Returns the additional header segment of an attempt.

    Args:
        extent: First block of the extent.
        version: Version of the extent.
    """
    return _AHS.pack(_AHS.size - 3, _AHS_TYPE, 0, extent, version)


def unpack_ahs(raw: bytes) -> tuple[int, int] | None:
    """Returns the first block and the version of the extent that a command names.

    Args:
        raw: All additional header segments of the command.

    Returns:
        First block and version, or None if no segment contains them.

    Raises:
        ValueError: A segment extends beyond the end.
    """
    position = 0
    while position + 4 <= len(raw):
        length, segment_type = struct.unpack_from(">HB", raw, position)
        if position + 3 + length > len(raw):
            raise ValueError("additional header segment extends beyond the end")
        if segment_type == _AHS_TYPE and length == _AHS.size - 3:
            _, _, _, extent, version = _AHS.unpack_from(raw, position)
            return extent, version
        position += (3 + length + 3) // 4 * 4
    return None


def pack_redirect_sense(redirect: Redirect) -> bytes:
    """Returns the sense data with which a node refuses a command, with the version and shard it knows."""
    shard = redirect.shard if redirect.shard >= 0 else _NO_SHARD
    version = redirect.version if redirect.version >= 0 else _NO_VERSION
    return _SENSE_HEADER.pack(*_SENSE_START, _DESCRIPTOR.size) + _DESCRIPTOR.pack(
        0x80, _DESCRIPTOR.size - 2, shard, version
    )


def unpack_redirect_sense(sense: bytes) -> Redirect | None:
    """Returns the version and shard of a refusal, with -1 for unknown ones; None for any other sense data."""
    if len(sense) < _SENSE_HEADER.size or _SENSE_HEADER.unpack_from(sense)[:4] != _SENSE_START:
        return None
    if len(sense) < _SENSE_HEADER.size + _DESCRIPTOR.size:
        return Redirect()
    descriptor_type, _, shard, version = _DESCRIPTOR.unpack_from(sense, _SENSE_HEADER.size)
    if descriptor_type != 0x80:
        return Redirect()
    return Redirect(-1 if version == _NO_VERSION else version, -1 if shard == _NO_SHARD else shard)
