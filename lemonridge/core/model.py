"""The core's data types: requests, attempts, outcomes and final answers, and the protocols it relies on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, runtime_checkable

from lemonridge.core.errors import AttemptSuppressedError
from lemonridge.core.memory_budget import Hold
from lemonridge.scheduling.events import AttemptResult


class Route(Protocol):
    """The last known location of a request's data.

    Attributes:
        attempt_in_flight: Set by the broker while an attempt relies on `shard`.
    """

    attempt_in_flight: bool

    @property
    def shard(self) -> int:
        """The shard that held the data at the last lookup."""
        ...


@dataclass(slots=True)
class Request:
    """A client's request.

    Attributes:
        shard: The shard that serves the request; -1 for a new object.
        volume: The volume whose limit the request counts against.
        deadline_us: When the client gives up, in microseconds of the broker's clock.
        key: Requests with the same key run in order.
        cls: Index of the request's class in the settings.
        plan: Index of the request's plan in the settings.
        units: The cost of the request.
        hosts: The number of endpoints that the request occupies.
        payload: The content in the representation of the front; the core does not inspect it.
        request_id: The id that endpoints see; empty if the protocol has none.
        route: The location of the data; None if data cannot migrate.
        repeat: Whether the client marked the request as a retry.
        has_client_disconnected: Asks the operating system whether the client has disconnected.
        reservation: The memory reserved for the data; held by the broker while the request is open, that is
            until it has its final answer and no attempt in flight. None if there is none.
        forwarded: Whether an attempt has begun, so that the request may have run.
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
    reservation: Hold | None = None
    forwarded: bool = False


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one endpoint.

    Attributes:
        request: The request.
        number: The number of attempts of the request before this one.
        endpoint_id: The endpoint that the attempt is sent to.
        may_begin: Returns whether the decision to send the attempt still holds.
        begun: Whether the first byte was written, or was about to be written.
        decided_at_s: When the attempt was decided on, in seconds of the event loop's clock.
    """

    request: Request
    number: int
    endpoint_id: str
    may_begin: Callable[[], bool] = lambda: True
    begun: bool = False
    decided_at_s: float = 0.0

    def begin(self) -> None:
        """Marks the attempt as begun; must be called in the same step that writes its first byte.

        Raises:
            AttemptSuppressedError: The decision made before the connect no longer holds.
        """
        if not self.may_begin():
            raise AttemptSuppressedError
        self.begun = self.request.forwarded = True


@runtime_checkable
class ReplyStream(Protocol):
    """A reply that has not been received completely; code that does not pass it on must close it."""

    def close(self) -> None:
        """Discards the rest of the reply."""
        ...


@dataclass(slots=True)
class Outcome:
    """The outcome of an attempt.

    Attributes:
        result: How the attempt ended.
        reply: The endpoint's reply in the representation of its protocol; after `DATA_MIGRATED`, the
            endpoint's information about the new location.
        volume_units: Units that the endpoint has counted for the volume; None if it does not report them.
        peer_units: Units of the volume sent by other brokers, as reported by the endpoint.
        endpoint_outstanding: Outstanding requests of all brokers at the endpoint, as reported by it.
    """

    result: AttemptResult
    reply: object = None
    volume_units: int | None = None
    peer_units: float | None = None
    endpoint_outstanding: float | None = None


class AnswerKind(Enum):
    """The kinds of final answer; the value is the last part of the counter's name."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    CLIENT_GONE = "client_gone"  # the client disconnected, so no answer is delivered


@dataclass(slots=True)
class Answer:
    """The final answer to a request.

    Attributes:
        kind: The kind of answer.
        reply: The endpoint's reply, for `SERVED`.
        retry_after_us: How long the client is advised to wait before a retry; 0 for no advice.
    """

    kind: AnswerKind
    reply: object = None
    retry_after_us: int = 0


class Endpoints(Protocol):
    """Makes attempts at endpoints over a specific protocol."""

    async def attempt(self, attempt: Attempt) -> Outcome:
        """Makes one attempt and returns its outcome; the caller cancels it at the request's deadline.

        Raises:
            ConnectFailedError: The connection to the endpoint could not be established.
            AttemptSuppressedError: The attempt was stopped before its first byte was sent.
        """
        ...


class Routes(Protocol):
    """Locates the shard of each request's data, for data that can migrate."""

    def open(self, request: Request, notify: Callable[[int], None]) -> None:
        """Starts to follow a request's data.

        Args:
            request: The request.
            notify: Called with the new shard if the data migrates while no attempt is in flight.
        """
        ...

    def close(self, request: Request) -> None:
        """Stops following a request's data."""
        ...

    def on_served(self, request: Request) -> None:
        """Records that an attempt served a request; called before the answer is delivered."""
        ...

    def current(self, request: Request) -> int:
        """Returns the last known shard of the request's data."""
        ...

    async def reroute(self, request: Request, reply: object) -> int | None:
        """Returns the shard for the next attempt after an endpoint replied that it does not hold the data.

        Waits for newer information if some may arrive; the caller cancels the wait at the request's deadline.

        Args:
            request: The request.
            reply: The endpoint's information about the new location.

        Returns:
            The shard, or None if it cannot be determined.
        """
        ...
