"""The load of the model: volumes and the requests of their clients."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from lemonridge.scheduling.events import Event


class ReceivingBroker(Protocol):
    """The broker that received a request.

    Attributes:
        number: Index of the broker.
        up: Whether the broker is running.
        open: Open requests, by name.
    """

    number: int
    up: bool
    open: dict[str, Request]

    def add_event(self, event: Event) -> None:
        """Queues an event for the next decision."""
        ...


@dataclass(slots=True, eq=False)
class Volume:
    """A volume.

    Attributes:
        number: Number of the volume.
        plan: Index of its plan.
        shards: Shards of its data.
        hosts: Indexes of the brokers that it uses.
        weight: Weight in the choice of the volume for a request.
    """

    number: int
    plan: int
    shards: list[int]
    hosts: list[int]
    weight: float


@dataclass(slots=True, eq=False)
class Request:
    """One try of a client's request.

    Attributes:
        name: Id of the try.
        volume: The volume.
        cls: Index of the class.
        shard: The shard; -1 for any.
        units: Size in units.
        cost_us: Work in microseconds at speed 1.
        first_sent_us: Time of the request's first try.
        deadline_us: Deadline of this try.
        broker: The broker.
        retries: Number of earlier tries.
        answered: Whether the client has received an answer.
        attempts: Open attempts: the node's name by attempt number, followed by "/" and the node's incarnation
            once the node has accepted the attempt.
        attempts_made: Number of attempts so far.
    """

    name: str
    volume: Volume
    cls: int
    shard: int
    units: float
    cost_us: float
    first_sent_us: float
    deadline_us: float
    broker: ReceivingBroker
    retries: int = 0
    answered: bool = False
    attempts: dict[int, str] = field(default_factory=dict)
    attempts_made: int = 0
