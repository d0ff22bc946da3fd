"""The core's data types: a request, its attempts, their outcomes, and its final answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, runtime_checkable

from lemonridge.core.errors import AttemptSuppressedError
from lemonridge.scheduling.events import AttemptResult


class Route(Protocol):
    """Where a request's data is, as far as known."""

    attempt_in_flight: bool  # set by the broker while an attempt relies on `shard`

    @property
    def shard(self) -> int:
        """The shard that held the data when it was last looked up."""
        ...


@dataclass(slots=True)
class Request:
    """A client's request.

    Attributes:
        shard: The shard that serves it; -1 for a new object.
        volume: The volume whose limit it counts against.
        deadline_us: When its client gives up, in microseconds of the broker's clock.
        key: Requests of one key run in order.
        cls: Index of its class in the settings.
        plan: Index of its plan in the settings.
        units: Its cost.
        hosts: How many endpoints it occupies.
        payload: Its content in the form of its front; the core passes it on unread.
        request_id: Its id at the endpoints, empty where the protocol has none.
        route: Where its data is, if data can migrate.
        repeat: Whether its client marked it as a retry.
        has_client_disconnected: Asks the operating system whether its client has disconnected.
        forwarded: Whether an attempt has begun, so that it may have run.
    """

    shard: int
    volume: int
    deadline_us: int
    key: int
    cls: int
    plan: int
    units: float
    hosts: int
    payload: object
    request_id: str = ""
    route: Route | None = None
    repeat: bool = False
    has_client_disconnected: Callable[[], bool] = lambda: False
    forwarded: bool = False


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one endpoint.

    Attributes:
        request: The request.
        number: How many attempts were made before this one.
        endpoint_id: Where it goes.
        may_begin: Asks the decisions whether it may still begin.
        begun: Whether its first byte was written, or was about to be.
        decided_at_s: When it was decided on, in seconds of the event loop's clock.
    """

    request: Request
    number: int
    endpoint_id: str
    may_begin: Callable[[], bool] = lambda: True
    begun: bool = False
    decided_at_s: float = 0.0

    def begin(self) -> None:
        """Marks the attempt as begun; to be called in the step that writes its first byte.

        Raises:
            AttemptSuppressedError: What was decided before the connect does not hold any more.
        """
        if not self.may_begin():
            raise AttemptSuppressedError
        self.begun = self.request.forwarded = True


@runtime_checkable
class ReplyStream(Protocol):
    """A reply of which a part is still to come; whoever does not pass it on closes it."""

    def close(self) -> None:
        """Gives up the rest of the reply."""
        ...


@dataclass(slots=True)
class Outcome:
    """How an attempt ended.

    Attributes:
        result: The evidence of the end.
        reply: The endpoint's answer in the form of its protocol; after `DATA_MIGRATED`, what the endpoint
            knows of the new place.
        volume_units: Units of the volume that the endpoint has counted.
        peer_units: Units of the volume that come by other brokers, as the endpoint reports.
        endpoint_outstanding: Requests of all brokers at the endpoint, by its own report.
    """

    result: AttemptResult
    reply: object = None
    volume_units: int | None = None
    peer_units: float | None = None
    endpoint_outstanding: float | None = None


class AnswerKind(Enum):
    """The final answers; the value is the name of the counter."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    CLIENT_GONE = "client_gone"  # nobody is left to answer


@dataclass(slots=True)
class Answer:
    """The one final answer to a request; `retry_after_us` is advice for the client, 0 for none."""

    kind: AnswerKind
    reply: object = None
    retry_after_us: int = 0


class Endpoints(Protocol):
    """Makes attempts at endpoints over one protocol."""

    async def attempt(self, attempt: Attempt) -> Outcome:
        """Makes one attempt; the caller cancels it at the request's deadline.

        Raises:
            ConnectFailedError: The endpoint could not be connected to.
            AttemptSuppressedError: The attempt was stopped before its first byte.
        """
        ...


class Routes(Protocol):
    """Knows on which shard data is, where data can migrate."""

    def open(self, request: Request, notify: Callable[[int], None]) -> None:
        """Follows a request's data; `notify` gets the new shard while no attempt is in flight."""
        ...

    def close(self, request: Request) -> None:
        """Ends what `open` began."""
        ...

    def current(self, request: Request) -> int:
        """The shard of the request's data as known now."""
        ...

    async def reroute(self, request: Request, reply: object) -> int | None:
        """The shard to go on with after an endpoint said that the data is not there; None gives up.

        Waits for newer information where some may come; the caller cancels it at the request's deadline.
        """
        ...
