"""The iSCSI front's configuration, as the program uses it."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lemonridge.config.address import Address
from lemonridge.config.etcd import EtcdConfig
from lemonridge.core.endpoint_registry import EndpointAddress
from lemonridge.extents.config import ExtentsConfig
from lemonridge.iscsi.chap import Account
from lemonridge.iscsi.keys import NegotiationPreferences
from lemonridge.iscsi.login import TargetRule
from lemonridge.scheduling.settings import Settings

READ, WRITE = 0, 1  # indices of the two classes in the settings


@dataclass(frozen=True, slots=True)
class Lun:
    """A logical unit: one volume of the scheduler."""

    lun: int
    plan: int  # index in `IscsiConfig.plans`
    shard: int  # -1: the volume lies in extents

    @property
    def mapped(self) -> bool:
        """Whether the extent map says where the volume's blocks lie."""
        return self.shard < 0


@dataclass(frozen=True, slots=True)
class IscsiConfig:
    """What the operator's file says of the iSCSI front, its targets and the sessions to nodes."""

    listen: Address
    target: str
    initiator: str
    initiators: frozenset[str]
    max_sessions: int
    queue_depth: int
    max_transfer: int  # bytes
    buffer_bytes: int
    unit_bytes: int  # bytes of one unit of the contracts
    connect_us: int
    keepalive_us: int
    settings: Settings
    plans: tuple[str, ...]
    luns: dict[int, Lun]
    endpoints: tuple[EndpointAddress, ...]
    etcd: EtcdConfig | None
    extents: ExtentsConfig
    targets: dict[str, TargetRule]
    target_preferences: NegotiationPreferences
    max_connections: int
    max_unacknowledged_statuses: int
    ping_s: float
    login_failures: int
    power_on_attention: bool
    reservations: str | None
    endpoint_preferences: NegotiationPreferences
    endpoint_account: Account | None

    def units(self, length: int) -> float:
        """The size of a transfer of `length` bytes, in units of the contracts."""
        return float(max(1, math.ceil(length / self.unit_bytes)))

    @property
    def classes(self) -> tuple[str, ...]:
        """The names of the settings' classes, in their order."""
        return "read", "write"

    @property
    def mapped(self) -> frozenset[int]:
        """The LUNs whose data lies in extents."""
        return frozenset(lun.lun for lun in self.luns.values() if lun.mapped)
