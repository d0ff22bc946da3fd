"""What is asked in the model: volumes, and the requests of their clients."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from lemonridge.scheduling.events import Event


class ReceivingBroker(Protocol):
    """The broker that a request came to."""

    number: int
    up: bool
    open: dict[str, Request]

    def add_event(self, event: Event) -> None: ...


@dataclass(slots=True, eq=False)
class Volume:
    number: int
    plan: int
    shards: list[int]
    hosts: list[int]
    weight: float  # of the traffic


@dataclass(slots=True, eq=False)
class Request:
    """A client's request; `again` counts its retries."""

    name: str
    volume: Volume
    cls: int
    shard: int
    units: float
    cost_us: float
    first_sent_us: float  # of its first try
    deadline_us: float
    broker: ReceivingBroker
    retries: int = 0
    answered: bool = False
    attempts: dict[int, str] = field(default_factory=dict)  # under way: number -> node
    attempts_made: int = 0
