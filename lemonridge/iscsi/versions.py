"""How an attempt names the version of the extent that it relies on, and how a node refuses it unrun.

Both sides agree on it at login by the key `X-org.lemonridge.ExtentVersion=1` (RFC 7143, section 13.22:
private keys). Then a SCSI Command may carry an additional header segment of type 60, the first of those that
RFC 3720, section 10.2.2.2, leaves to extensions: the first block of the extent, and its version. A node runs
the command only if it holds that extent under that very version. Else it answers CHECK CONDITION with
descriptor-format sense (SPC-4, section 4.5.2): ABORTED COMMAND, 80h/01h (vendor specific), and a
vendor-specific descriptor 80h with the version and the shard that it knows of. docs/extents.md weighs this
against SBC-3's referrals.
"""

from __future__ import annotations

import struct

from lemonridge.extents.routing import Redirect

EXTENT_VERSION_KEY, EXTENT_VERSION_VALUE = "X-org.lemonridge.ExtentVersion", "1"
_AHS = struct.Struct(">HBBQQ")
_TYPE = 60
_SENSE = struct.Struct(">BBBBxxxB")
_WORD = struct.Struct(">BBxxIQ")
_HEAD = (0x72, 0x0B, 0x80, 0x01)
_NO_SHARD, _NO_VERSION = (1 << 32) - 1, (1 << 64) - 1


def pack_ahs(extent: int, version: int) -> bytes:
    """The header segment for an attempt on the extent that begins at block `extent`."""
    return _AHS.pack(_AHS.size - 3, _TYPE, 0, extent, version)


def unpack_ahs(raw: bytes) -> tuple[int, int] | None:
    """First block and version among the header segments of a command; None if they are not there.

    ValueError on segments that run past the end.
    """
    at = 0
    while at + 4 <= len(raw):
        length, kind = struct.unpack_from(">HB", raw, at)
        if at + 3 + length > len(raw):
            raise ValueError("a header segment runs past the end")
        if kind == _TYPE and length == _AHS.size - 3:
            _, _, _, extent, version = _AHS.unpack_from(raw, at)
            return extent, version
        at += (3 + length + 3) // 4 * 4
    return None


def pack_redirect_sense(told: Redirect) -> bytes:
    """The sense of a refusal."""
    shard = told.shard if told.shard >= 0 else _NO_SHARD
    version = told.version if told.version >= 0 else _NO_VERSION
    return _SENSE.pack(*_HEAD, _WORD.size) + _WORD.pack(0x80, _WORD.size - 2, shard, version)


def unpack_redirect_sense(sense: bytes) -> Redirect | None:
    """What a refusal says; None for any other sense."""
    if len(sense) < _SENSE.size or _SENSE.unpack_from(sense)[:4] != _HEAD:
        return None
    if len(sense) < _SENSE.size + _WORD.size:
        return Redirect()
    kind, _, shard, version = _WORD.unpack_from(sense, _SENSE.size)
    if kind != 0x80:
        return Redirect()
    return Redirect(-1 if version == _NO_VERSION else version, -1 if shard == _NO_SHARD else shard)
