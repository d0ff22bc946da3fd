"""A broker's place in its fleet: its peers, and its part in policy changes."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.config.address import Address


@dataclass(frozen=True, slots=True)
class RolloutConfig:
    """How this broker takes part in changes of the fleet's policy."""

    store: str  # path of the file that holds its votes
    span_us: int = 2_000_000  # length of a lease
    floor: float = 0.25  # fraction of the file's own limits that a broker without a lease applies


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """This broker among its peers; `addresses` are the members' addresses as seen from here."""

    names: tuple[str, ...]
    me: int  # index of this broker in `names`
    listen: Address
    addresses: tuple[Address, ...]
    bytes_s: float = 8192.0  # budget of sent datagrams, in bytes a second
    error_us: int = 50_000  # bound of the difference between two members' clocks
    secret: bytes = b""  # key of the datagrams' authentication; empty: none
    retry_rate: float = 0.0  # retries a second of all brokers together; 0: each class's own rules alone
    admin: Address | None = None  # where operators call, where there is no platform to say so
    rollout: RolloutConfig | None = None  # None: each broker applies its own file
