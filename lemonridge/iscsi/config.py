"""Configuration of the iSCSI front in the form that the program uses."""

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

READ, WRITE = 0, 1  # indices of the request classes in the settings


@dataclass(frozen=True, slots=True)
class Lun:
    """A logical unit, which is one volume of the scheduler.

    Attributes:
        lun: Logical unit number.
        plan: Index into `IscsiConfig.plans`.
        shard: Shard that stores the volume; -1 if the volume lies in extents.
    """

    lun: int
    plan: int
    shard: int

    @property
    def mapped(self) -> bool:
        """Whether the extent map determines where the blocks of the volume are stored."""
        return self.shard < 0


@dataclass(frozen=True, slots=True)
class IscsiConfig:
    """Settings of the iSCSI front, its targets and the sessions to nodes.

    Attributes:
        listen: Address to listen on.
        target: iSCSI name of the target, from which the identity of its LUNs is derived.
        initiator: iSCSI name of the broker towards nodes.
        initiators: iSCSI names of the initiators that may log in; empty permits every name.
        max_sessions: Maximum number of sessions.
        queue_depth: Size of the command window of a session.
        max_transfer: Maximum length of a transfer in bytes.
        buffer_bytes: Maximum number of bytes that the commands of all sessions may buffer.
        unit_bytes: Bytes of one unit of the contracts.
        connect_us: Time limit for the connection and login to a node, in microseconds.
        keepalive_us: Time after which a node may end an idle session, in microseconds.
        settings: Settings of the scheduler.
        plans: Names of the plans.
        luns: Logical units by number.
        endpoints: Addresses of the nodes.
        etcd: Configuration of etcd; None if it is not used.
        extents: Configuration of the extent map.
        targets: Access rules by target name.
        target_preferences: Negotiation preferences towards initiators.
        max_connections: Maximum number of connections from initiators.
        max_unacknowledged_statuses: Maximum number of statuses that a connection retains above recovery level
            0; the command window of a session shrinks as its connections approach it.
        ping_s: Idle time after which a connection is pinged, in seconds; 0 disables pings.
        login_failures: Number of failed logins after which a peer is refused.
        power_on_attention: Whether a new nexus gets a power-on unit attention.
        reservations: Path of the reservation file; None keeps reservations in memory only.
        endpoint_preferences: Negotiation preferences towards nodes.
        endpoint_account: CHAP account towards nodes; None if they require no authentication.
    """

    listen: Address
    target: str
    initiator: str
    initiators: frozenset[str]
    max_sessions: int
    queue_depth: int
    max_transfer: int
    buffer_bytes: int
    unit_bytes: int
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
        """Returns the size of a transfer of `length` bytes in units of the contracts, at least 1."""
        return float(max(1, math.ceil(length / self.unit_bytes)))

    @property
    def classes(self) -> tuple[str, ...]:
        """Names of the request classes, in the order of the settings."""
        return "read", "write"

    @property
    def mapped(self) -> frozenset[int]:
        """Numbers of the LUNs whose data lies in extents."""
        return frozenset(lun.lun for lun in self.luns.values() if lun.mapped)
