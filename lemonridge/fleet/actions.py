"""What a fleet member decides, to be carried out by its host in the order in which it is returned."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.fleet.datagrams import Item
from lemonridge.fleet.health_gossip import PeerHealthSummary
from lemonridge.fleet.quota_ledger import BudgetKind, Quota


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram to a member."""

    to: int
    data: bytes


@dataclass(frozen=True, slots=True)
class QuotaUpdated:
    """What this broker may use of a budget from this moment on; `owned` are its own parts of it."""

    kind: BudgetKind
    key: int
    quota: Quota
    owned: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for `TimerFired` at a time; only the last one that was asked for counts."""

    at_us: int


@dataclass(frozen=True, slots=True)
class PeerUsageReceived:
    """Others served a volume so many units more, and no member that may serve it is silent."""

    volume: int
    units: float


@dataclass(frozen=True, slots=True)
class PeerHealthChanged:
    """The reports of others on an endpoint have changed."""

    summary: PeerHealthSummary


@dataclass(frozen=True, slots=True)
class RolloutItemReceived:
    """An item of the policy rollout arrived from a member's incarnation."""

    source: int
    incarnation: int
    item: Item


FleetAction = (
    SendDatagram | QuotaUpdated | PeerUsageReceived | PeerHealthChanged | RolloutItemReceived | SetTimer
)
