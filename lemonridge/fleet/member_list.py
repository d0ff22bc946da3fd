"""The roster: which brokers there are, by number and name. It is what is configured; nothing adds to it."""

from __future__ import annotations

from dataclasses import dataclass

import crc32c

MEMBERS_MAX = 256


@dataclass(frozen=True, slots=True)
class MemberList:
    """The brokers of one tier in the order of their numbers; `me` is this one's."""

    names: tuple[str, ...]
    me: int

    @property
    def size(self) -> int:
        return len(self.names)

    @property
    def others(self) -> tuple[int, ...]:
        """The numbers of all but this one."""
        return tuple(number for number in range(self.size) if number != self.me)

    @property
    def fingerprint(self) -> int:
        """Sixteen bits by which brokers of two rosters tell each other apart."""
        return crc32c.crc32c("\n".join(self.names).encode()) & 0xFFFF


def key_of(text: str) -> int:
    """A 64-bit name of a node id, alike at every broker: two CRC32C of it, forth and back."""
    told = text.encode()
    return crc32c.crc32c(told) << 32 | crc32c.crc32c(told[::-1] + b"\x01")
