"""The configured brokers of one fleet; the list does not change at run time."""

from __future__ import annotations

from dataclasses import dataclass

import crc32c

MEMBERS_MAX = 256


@dataclass(frozen=True, slots=True)
class MemberList:
    """The members of one fleet.

    Attributes:
        names: The names of the members; a member's id is its index.
        own_id: The id of this broker.
    """

    names: tuple[str, ...]
    own_id: int

    @property
    def size(self) -> int:
        """The number of members, including this one."""
        return len(self.names)

    @property
    def others(self) -> tuple[int, ...]:
        """The ids of all members except this one."""
        return tuple(member_id for member_id in range(self.size) if member_id != self.own_id)

    @property
    def fingerprint(self) -> int:
        """A 16-bit checksum of the names; datagrams with another fingerprint come from another fleet."""
        return crc32c.crc32c("\n".join(self.names).encode()) & 0xFFFF


def hash_endpoint_id(endpoint_id: str) -> int:
    """Returns the 64-bit key of an endpoint, the same at every broker: CRC32C of its id and its reverse."""
    data = endpoint_id.encode()
    return crc32c.crc32c(data) << 32 | crc32c.crc32c(data[::-1] + b"\x01")
