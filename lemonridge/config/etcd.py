"""Where etcd is, and which of its keys are ours."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.config.address import Address


@dataclass(frozen=True, slots=True)
class EtcdConfig:
    """The etcd endpoint that holds the endpoint list, the contracts and the extent map."""

    endpoint: Address
    prefix: str  # begins and ends with "/"
