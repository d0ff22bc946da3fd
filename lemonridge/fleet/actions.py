"""The actions of a fleet member, which its host carries out in the order in which they are returned."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.fleet.datagrams import Item
from lemonridge.fleet.health_gossip import PeerHealthSummary
from lemonridge.fleet.quota_ledger import BudgetKind, Quota


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Sends a datagram to the member `to`."""

    to: int
    data: bytes


@dataclass(frozen=True, slots=True)
class QuotaUpdated:
    """The quota of a budget that this broker may use from now on.

    Attributes:
        kind: The budget's kind.
        key: The budget's key within its kind.
        quota: The quota.
        owned: The parts of the budget that this broker owns.
    """

    kind: BudgetKind
    key: int
    quota: Quota
    owned: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests `TimerFired` at a time; replaces the previous request."""

    at_us: int


@dataclass(frozen=True, slots=True)
class PeerUsageReceived:
    """Another member served `units` more to a volume, and the usage of all live members is known."""

    volume: int
    units: float


@dataclass(frozen=True, slots=True)
class PeerHealthChanged:
    """Other members' reports on an endpoint have changed."""

    summary: PeerHealthSummary


@dataclass(frozen=True, slots=True)
class RolloutItemReceived:
    """An item of the policy rollout was received from an incarnation of the member `source`."""

    source: int
    incarnation: int
    item: Item


FleetAction = (
    SendDatagram | QuotaUpdated | PeerUsageReceived | PeerHealthChanged | RolloutItemReceived | SetTimer
)
