"""What the core deals in: a request, the attempts made for it, their outcomes and its one answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, runtime_checkable

from lemonridge.scheduling.events import AttemptResult


class Route(Protocol):
    """Where a request's data lies, as far as is known; `flying` while an attempt is out on its word."""

    flying: bool

    @property
    def shard(self) -> int: ...


@dataclass(slots=True)
class Request:
    """What a client asks for. `payload` belongs to the wire that it came by; the core passes it on."""

    shard: int
    volume: int
    deadline_us: int
    key: int
    cls: int
    plan: int
    units: float
    hosts: int
    payload: object
    ident: str = ""  # by which the nodes know it, where its wire has such a thing
    route: Route | None = None  # where its data may move
    repeat: bool = False  # a client's repeat, where clients mark them
    abandoned: Callable[[], bool] = lambda: False  # whether its client has gone, asked of the system now
    forwarded: bool = False  # an attempt has begun, so it may have run


@dataclass(slots=True)
class Attempt:
    """One try of a request at one node. `begun` is set just before its first byte is written."""

    request: Request
    number: int
    endpoint_id: str
    judge: Callable[[], bool] = lambda: True  # whether it may still begin
    begun: bool = False
    decided_s: float = 0.0  # on the loop's clock

    def begin(self) -> None:
        """Begin, with nothing awaited between this and the first byte: what was decided before a connection
        was made may hold no more. `AttemptSuppressedError` then.
        """
        if not self.judge():
            raise AttemptSuppressedError
        self.begun = self.request.forwarded = True


@runtime_checkable
class ReplyStream(Protocol):
    """A reply that is still coming. Whoever does not pass it on closes it."""

    def close(self) -> None: ...


@dataclass(slots=True)
class Outcome:
    """How an attempt ended; `reply` is the node's answer, in the form of its wire, and after MOVED what the
    node knows of where the data went.
    """

    result: AttemptResult
    reply: object = None
    used: int | None = None
    elsewhere: float | None = None
    held: float | None = None


class AnswerKind(Enum):
    """The three final answers, and the end of a request whose client has left."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"


@dataclass(slots=True)
class Answer:
    """The one final answer to a request."""

    kind: AnswerKind
    reply: object = None
    backoff_us: int = 0


class DuplicateError(Exception):
    """A request with this ident is open already: the nodes would see one request twice."""


class ConnectFailedError(Exception):
    """The attempt never came to the node: it cannot have run."""


class AttemptSuppressedError(Exception):
    """The attempt was held back before its first byte; it spends none of its request's attempts."""


class LocalFailureError(AttemptSuppressedError):
    """The broker's own machine could not connect at this moment (no port, no memory, no route): that says
    nothing of the node, and nothing was sent.
    """


class Endpoints(Protocol):
    """The side towards the nodes. Makes one attempt; whoever calls it watches the deadline."""

    async def attempt(self, attempt: Attempt) -> Outcome: ...


class Routes(Protocol):
    """Knows where data lies. It tells of a move by `told` while no attempt of the request is out."""

    def open(self, request: Request, told: Callable[[int], None]) -> None: ...

    def close(self, request: Request) -> None: ...

    def current(self, request: Request) -> int:
        """The shard of the request's data as known now."""
        ...

    async def reroute(self, request: Request, reply: object) -> int | None:
        """Where to go after a node said that the data is not there; None gives up. It waits for news where
        there may be some; whoever calls it watches the deadline.
        """
        ...
