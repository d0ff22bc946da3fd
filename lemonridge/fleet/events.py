"""What a fleet member is told: datagrams, time, and what happens in its own broker."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.fleet.datagrams import Item


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A datagram arrived from the address of member `source`; None: from no member's address."""

    source: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Time passed."""


@dataclass(frozen=True, slots=True)
class SlowStartBegan:
    """An endpoint's slow start began.

    Attributes:
        endpoint_id: its name.
        key: its key at every broker.
        shard: whose requests it serves.
        rate: units a second that are this broker's own part there.
        began_us: when the endpoint started.
        until_us: when the slow start ends.
    """

    endpoint_id: str
    key: int
    shard: int
    rate: float
    began_us: int
    until_us: int


@dataclass(frozen=True, slots=True)
class ShutdownBegan:
    """This broker is about to end."""


@dataclass(frozen=True, slots=True)
class RolloutItemsQueued:
    """The policy rollout has items to send, each in a datagram of its own, by member."""

    items: tuple[tuple[int, Item], ...]


Event = DatagramReceived | TimerFired | SlowStartBegan | ShutdownBegan | RolloutItemsQueued
