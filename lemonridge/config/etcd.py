"""The configured etcd endpoint and key prefix."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.config.address import Address


@dataclass(frozen=True, slots=True)
class EtcdConfig:
    """The etcd endpoint that holds the endpoint list, the contracts and the extent map."""

    endpoint: Address
    prefix: str  # of all keys that the broker reads; begins and ends with "/"
