"""The brokers of one fleet by number and name, as they are configured: nothing adds to them at run time."""

from __future__ import annotations

from dataclasses import dataclass

import crc32c

MEMBERS_MAX = 256


@dataclass(frozen=True, slots=True)
class MemberList:
    """The brokers of one fleet in the order of their numbers; `own_id` is this broker's number."""

    names: tuple[str, ...]
    own_id: int

    @property
    def size(self) -> int:
        """The number of members, this one included."""
        return len(self.names)

    @property
    def others(self) -> tuple[int, ...]:
        """The numbers of all members but this one."""
        return tuple(number for number in range(self.size) if number != self.own_id)

    @property
    def fingerprint(self) -> int:
        """Sixteen bits of the names' checksum: members of two fleets tell each other apart by it."""
        return crc32c.crc32c("\n".join(self.names).encode()) & 0xFFFF


def hash_endpoint_id(text: str) -> int:
    """A 64-bit key of an endpoint's id, the same at every broker: CRC32C of it forwards and backwards."""
    data = text.encode()
    return crc32c.crc32c(data) << 32 | crc32c.crc32c(data[::-1] + b"\x01")
