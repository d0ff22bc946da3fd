"""The events of a fleet member: datagrams, timers and changes in its own broker."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.fleet.datagrams import Item


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A datagram arrived from the address of member `source`, or from an unknown address (None)."""

    source: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer set by `SetTimer` fired."""


@dataclass(frozen=True, slots=True)
class SlowStartBegan:
    """An endpoint's slow start began.

    Attributes:
        endpoint_id: The endpoint's id.
        key: The hash of the id, which is the same at every broker.
        shard: The shard that the endpoint serves.
        rate: The units a second that this broker owns at the endpoint.
        began_us: When the endpoint started.
        until_us: When the slow start ends.
    """

    endpoint_id: str
    key: int
    shard: int
    rate: float
    began_us: int
    until_us: int


@dataclass(frozen=True, slots=True)
class ShutdownBegan:
    """This broker begins its graceful shutdown."""


@dataclass(frozen=True, slots=True)
class RolloutItemsQueued:
    """The policy rollout sends items, by receiver, each in a datagram of its own."""

    items: tuple[tuple[int, Item], ...]


Event = DatagramReceived | TimerFired | SlowStartBegan | ShutdownBegan | RolloutItemsQueued
