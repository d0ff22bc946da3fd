"""A broker's place in its fleet: its peers, and its part in policy changes."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.config.address import Address


@dataclass(frozen=True, slots=True)
class RolloutConfig:
    """How this broker takes part in changes of the fleet's policy."""

    votes_path: str  # of the file that holds its votes
    lease_us: int = 2_000_000  # length of a lease
    floor_fraction: float = 0.25  # of the file's own limits: what a broker without a lease applies


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """This broker among its peers; `addresses` are the members' addresses as seen from here."""

    names: tuple[str, ...]
    own_index: int  # of this broker in `names`
    listen: Address
    addresses: tuple[Address, ...]
    datagram_bytes_per_s: float = 8192.0  # budget of what is sent
    clock_error_us: int = 50_000  # bound of the difference between two members' clocks
    secret: bytes = b""  # key of the datagrams' authentication; empty: none
    retry_rate: float = 0.0  # retries a second of all brokers together; 0: each class's own rules alone
    admin: Address | None = None  # where operators call, where there is no platform to say so
    rollout: RolloutConfig | None = None  # None: each broker applies its own file
