"""The configuration of a broker's fleet: its members, and the rollout of policy changes."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.config.address import Address


@dataclass(frozen=True, slots=True)
class RolloutConfig:
    """How this broker takes part in changes of the fleet's policy."""

    votes_path: str  # path of the file that stores its votes
    lease_us: int = 2_000_000  # duration of a lease
    floor_fraction: float = 0.25  # fraction of its own file's limits that a broker without a lease applies


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The members of the fleet, and how this broker communicates with them."""

    names: tuple[str, ...]  # of all members, in the same order at every member
    own_index: int  # of this broker in `names`
    listen: Address  # for datagrams from the other members
    addresses: tuple[Address, ...]  # of the members as reachable from this broker, in the order of `names`
    datagram_bytes_per_s: float = 8192.0  # limit for sent datagrams
    clock_error_us: int = 50_000  # maximum difference between the clocks of two members
    secret: bytes = b""  # key that authenticates the datagrams; empty: no authentication
    retry_rate: float = 0.0  # retries per second of all brokers; 0: only the rules of each class apply
    admin: Address | None = None  # for operators' calls, if no platform configuration gives an address
    rollout: RolloutConfig | None = None  # None: each broker applies its own file
