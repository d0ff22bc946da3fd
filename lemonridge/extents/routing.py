"""The decisions of the routing: where a piece goes, and what follows when its node says that it has moved.

Pure: times are whole microseconds that the caller brings. What is decided here is where the data lies; which
node of that shard serves, whether there is another attempt and what the client hears stays with the decision
module, which is told of every move and of every end.

Why no redirect can serve wrongly: an attempt names the version that it relies on, and a node runs it only
under that very version. A wrong guess costs an attempt, never data. Why no redirect goes on for ever: the
four attempts, the count of redirects, the count of refreshes and the deadline each end it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lemonridge.extents.extent_map import Extent, ExtentMap, MapError, Piece


@dataclass(frozen=True, slots=True)
class Limits:
    """What one request may cost, and how old a map may be.

    `redirects` and `refreshes` count per piece, `pieces` per command; the ages are the time since the source
    last confirmed the map. Reads outlive writes: a node checks the version either way, but a write that
    waits for moves which are long over holds its data for nothing.
    """

    redirects: int = 8
    refreshes: int = 6
    pieces: int = 32
    read_age_us: int = 60_000_000
    write_age_us: int = 15_000_000


@dataclass(frozen=True, slots=True)
class Redirect:
    """What a node said when it refused an attempt unrun: which version it knows of the extent, and where that
    one lies; -1 where it knows nothing.
    """

    version: int = -1
    shard: int = -1


@dataclass(slots=True)
class Route:
    """One piece on its way: what it relies on, and what its way has cost."""

    piece: Piece
    writes: bool
    redirects: int = 0
    refreshes: int = 0
    attempt_in_flight: bool = False  # an attempt is out on its word
    ahead: bool = False  # it relies on a node's word that the map has not confirmed

    @property
    def shard(self) -> int:
        return self.piece.shard


class Verdict(Enum):
    """What a redirect leads to."""

    FOLLOW = "follow"  # go on at the route's shard under its version
    WAIT = "wait"  # refresh the extent, then ask again with `refreshed`
    GIVE_UP = "give-up"


class Cause(Enum):
    """Why a route is given up, or a command is not begun."""

    REDIRECTS = "redirects"  # too many
    UNCONFIRMED = "unconfirmed"  # refreshes brought nothing newer: two claims, or a node that is behind
    RESHAPED = "reshaped"  # the extent was cut or joined under the command
    ABSENT = "absent"  # the map does not hold the blocks
    OLD = "old"  # the map is older than allowed
    MAPLESS = "mapless"  # there is no map yet
    UNTRUSTED = "untrusted"  # a kept map, which the source has not confirmed, and a write
    PIECES = "pieces"  # more of them than a command may have


@dataclass(frozen=True, slots=True)
class Decision:
    """`pause_us` comes before a refresh: a hand-over takes its time, and the source is told of it last."""

    verdict: Verdict
    cause: Cause | None = None
    pause_us: int = 0


FOLLOW = Decision(Verdict.FOLLOW)
PAUSE_US = 10_000  # before the second refresh of a route, doubled for each later one


class RouteError(Exception):
    """A command that cannot be routed now; nothing of it ran."""

    def __init__(self, cause: Cause) -> None:
        super().__init__(cause.value)
        self.cause = cause


@dataclass(slots=True)
class Standing:
    """How far the map can be trusted: when the source last confirmed it, and whether it ever did."""

    confirmed_us: int = 0
    confirmed: bool = False

    def usable(self, held: ExtentMap, limits: Limits, writes: bool, now_us: int) -> None:
        """RouteError if a command must not be routed by the map as it stands."""
        if held.version < 0:
            raise RouteError(Cause.MAPLESS)
        if writes and not self.confirmed:
            raise RouteError(Cause.UNTRUSTED)
        if now_us - self.confirmed_us > (limits.write_age_us if writes else limits.read_age_us):
            raise RouteError(Cause.OLD)


def begin(
    held: ExtentMap,
    standing: Standing,
    limits: Limits,
    volume: int,
    first: int,
    length: int,
    writes: bool,
    now_us: int,
) -> list[Route]:
    """The routes of a command's pieces, in the order of their blocks."""
    standing.usable(held, limits, writes, now_us)
    try:
        pieces = held.lookup(volume, first, length)
    except MapError:
        raise RouteError(Cause.ABSENT) from None
    if len(pieces) > limits.pieces:
        raise RouteError(Cause.PIECES)
    return [Route(piece, writes) for piece in pieces]


def everywhere(
    held: ExtentMap, standing: Standing, limits: Limits, volume: int, writes: bool, now_us: int
) -> list[int]:
    """The shards for a command that concerns a whole volume."""
    standing.usable(held, limits, writes, now_us)
    shards = sorted(held.shards(volume))
    if not shards:
        raise RouteError(Cause.ABSENT)
    if len(shards) > limits.pieces:
        raise RouteError(Cause.PIECES)
    return shards


def caught_up(held: ExtentMap, route: Route) -> bool:
    """Go by the map where it knows better than the route; whether it did. Not while an attempt is out."""
    now = _extent(held, route)
    if route.attempt_in_flight or now is None or now.version <= route.piece.version:
        return False
    _follow(route, now.shard, now.version, ahead=False)
    return True


def redirected(
    held: ExtentMap, limits: Limits, route: Route, told: Redirect, known: frozenset[int]
) -> Decision:
    """A node refused the route's piece unrun. `known` are the shards that have a node.

    The map goes first where it knows a newer version than the one that failed. Then comes the node's word, if
    it is newer than both and names a shard that exists. What is as old as the route, or older, proves
    nothing: a stale redirect, two nodes that point at each other, or a new owner that is not there yet.
    """
    route.redirects += 1
    if route.redirects > limits.redirects:
        return Decision(Verdict.GIVE_UP, Cause.REDIRECTS)
    now = _extent(held, route)
    if now is None:
        return Decision(Verdict.GIVE_UP, Cause.RESHAPED)
    relied = route.piece.version
    if now.version > relied and now.version >= told.version:
        return _follow(route, now.shard, now.version, ahead=False)
    if told.version > max(relied, now.version) and told.shard in known:
        return _follow(route, told.shard, told.version, ahead=True)
    return _wait(limits, route)


def refreshed(held: ExtentMap, limits: Limits, route: Route) -> Decision:
    """A refresh that began after the refusal has ended, well or not: look again."""
    now = _extent(held, route)
    if now is None:
        return Decision(Verdict.GIVE_UP, Cause.RESHAPED)
    if now.version > route.piece.version:
        return _follow(route, now.shard, now.version, ahead=False)
    if route.ahead and now.version < route.piece.version and now.shard != route.piece.shard:
        # A node's word led nowhere, and the source does not know of it: go by the source again.
        return _follow(route, now.shard, now.version, ahead=False)
    return _wait(limits, route)


def _extent(held: ExtentMap, route: Route) -> Extent | None:
    """The route's extent as the map has it now; None if it was cut or joined so that the piece lies
    across.
    """
    now = held.find(route.piece.volume, route.piece.first)
    if now is None or now.first != route.piece.extent or now.end < route.piece.first + route.piece.length:
        return None
    return now


def _follow(route: Route, shard: int, version: int, ahead: bool) -> Decision:
    piece = route.piece
    route.piece = Piece(piece.volume, piece.first, piece.length, piece.extent, shard, version)
    route.ahead = ahead
    return FOLLOW


def _wait(limits: Limits, route: Route) -> Decision:
    route.refreshes += 1
    if route.refreshes > limits.refreshes:
        return Decision(Verdict.GIVE_UP, Cause.UNCONFIRMED)
    return Decision(Verdict.WAIT, pause_us=PAUSE_US << route.refreshes - 2 if route.refreshes > 1 else 0)
