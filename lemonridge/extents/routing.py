"""The routing decisions: the shard of each piece of a command, and what follows a redirect.

Pure: times are whole microseconds that the caller passes. Decided here is where the data lies; the endpoint
of that shard, further attempts and the client's answer are decided by `scheduling`, which is notified of
every move and every end.

Why no redirect makes a node serve wrongly: an attempt names the version that it relies on, and a node runs it
only under that very version. A wrong guess costs an attempt, never data. Why redirects end: the four
attempts, the number of redirects, the number of refreshes and the deadline each bound them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lemonridge.extents.errors import MapError, RouteError, RouteRejectReason
from lemonridge.extents.extent_map import Extent, ExtentMap, Piece

REFRESH_BACKOFF_US = 10_000  # before the second refresh of a route, doubled for each later one


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one command, and how old the map may be.

    Reads may use an older map than writes: a node checks the version either way, but a write that waits for
    moves which ended long ago holds its data for nothing.

    Attributes:
        redirects: Redirects of one piece.
        refreshes: Refreshes that one piece waits for.
        pieces: Pieces of one command.
        read_age_us: Time since the source last confirmed the map, for reads.
        write_age_us: The same for writes.
    """

    redirects: int = 8
    refreshes: int = 6
    pieces: int = 32
    read_age_us: int = 60_000_000
    write_age_us: int = 15_000_000


@dataclass(frozen=True, slots=True)
class Redirect:
    """A node's statement when it refuses an attempt that did not run.

    Attributes:
        version: The extent's newest version that the node knows; -1 where it knows none.
        shard: The shard that has the extent under that version; -1 where the node knows none.
    """

    version: int = -1
    shard: int = -1


@dataclass(slots=True)
class Route:
    """One piece of a command in progress.

    Attributes:
        piece: Its blocks, and the shard and version that it relies on.
        writes: Whether the command writes.
        redirects: Redirects so far.
        refreshes: Refreshes so far.
        attempt_in_flight: An attempt relies on the piece's shard and version.
        ahead_of_map: The shard and version are a node's, which the map has not confirmed.
    """

    piece: Piece
    writes: bool
    redirects: int = 0
    refreshes: int = 0
    attempt_in_flight: bool = False
    ahead_of_map: bool = False

    @property
    def shard(self) -> int:
        """The shard that the piece goes to."""
        return self.piece.shard


class RouteAction(Enum):
    """What a redirect leads to."""

    FOLLOW = "follow"  # continue at the route's shard under its version
    REFRESH = "wait"  # refresh the extent, then decide by `on_refresh`
    REJECT = "give-up"


@dataclass(frozen=True, slots=True)
class RouteDecision:
    """What to do with a route.

    Attributes:
        action: The next step.
        reason: Why the route is rejected; None for the other actions.
        pause_us: Wait before a refresh: a hand-over takes time, and the source is notified of it last.
    """

    action: RouteAction
    reason: RouteRejectReason | None = None
    pause_us: int = 0


FOLLOW = RouteDecision(RouteAction.FOLLOW)


@dataclass(slots=True)
class MapTrust:
    """How far the map can be relied on.

    Attributes:
        confirmed_us: When the source last confirmed the map.
        confirmed: Whether it ever did in this process; a cached map begins without.
    """

    confirmed_us: int = 0
    confirmed: bool = False

    def check_usable(self, extent_map: ExtentMap, limits: Limits, writes: bool, now_us: int) -> None:
        """Checks that a command may be routed by the map as it is.

        Raises:
            RouteError: There is no map, it is older than allowed, or a write has only an unconfirmed one.
        """
        if extent_map.version < 0:
            raise RouteError(RouteRejectReason.MAP_MISSING)
        if writes and not self.confirmed:
            raise RouteError(RouteRejectReason.MAP_UNCONFIRMED)
        if now_us - self.confirmed_us > (limits.write_age_us if writes else limits.read_age_us):
            raise RouteError(RouteRejectReason.MAP_TOO_OLD)


def plan_routes(
    extent_map: ExtentMap,
    trust: MapTrust,
    limits: Limits,
    volume: int,
    first: int,
    length: int,
    writes: bool,
    now_us: int,
) -> list[Route]:
    """The routes of a command's pieces, in the order of their blocks.

    Args:
        extent_map: The map.
        trust: How far it can be relied on.
        limits: The operator's bounds.
        volume: The LUN.
        first: First block.
        length: Number of blocks.
        writes: Whether the command writes.
        now_us: Time of the decision.

    Raises:
        RouteError: The map cannot be used, does not have all blocks, or there are too many pieces.
    """
    trust.check_usable(extent_map, limits, writes, now_us)
    try:
        pieces = extent_map.lookup(volume, first, length)
    except MapError:
        raise RouteError(RouteRejectReason.NOT_MAPPED) from None
    if len(pieces) > limits.pieces:
        raise RouteError(RouteRejectReason.TOO_MANY_PIECES)
    return [Route(piece, writes) for piece in pieces]


def shards_of_volume(
    extent_map: ExtentMap, trust: MapTrust, limits: Limits, volume: int, writes: bool, now_us: int
) -> list[int]:
    """The shards of a command that concerns a whole volume, in ascending order.

    Raises:
        RouteError: The map cannot be used, does not have the volume, or there are too many shards.
    """
    trust.check_usable(extent_map, limits, writes, now_us)
    shards = sorted(extent_map.shards(volume))
    if not shards:
        raise RouteError(RouteRejectReason.NOT_MAPPED)
    if len(shards) > limits.pieces:
        raise RouteError(RouteRejectReason.TOO_MANY_PIECES)
    return shards


def follow_newer_map(extent_map: ExtentMap, route: Route) -> bool:
    """Moves a route without an attempt in flight to a newer version in the map; whether there was one."""
    current = _current_extent(extent_map, route)
    if route.attempt_in_flight or current is None or current.version <= route.piece.version:
        return False
    _follow(route, current.shard, current.version, ahead_of_map=False)
    return True


def on_redirect(
    extent_map: ExtentMap, limits: Limits, route: Route, redirect: Redirect, known_shards: frozenset[int]
) -> RouteDecision:
    """Decides what follows when a node refuses the route's piece, which did not run.

    The map decides where it has a newer version than the one that failed. Otherwise the redirect does, if its
    version is newer than both and its shard has a node. A version that is not newer proves nothing: a stale
    redirect, two nodes that name each other, or a new owner that has yet to learn of the hand-over.

    Args:
        extent_map: The map.
        limits: The operator's bounds.
        route: The piece; moved to the new shard where the decision is to follow.
        redirect: The node's statement.
        known_shards: The shards that have a node.
    """
    route.redirects += 1
    if route.redirects > limits.redirects:
        return RouteDecision(RouteAction.REJECT, RouteRejectReason.TOO_MANY_REDIRECTS)
    current = _current_extent(extent_map, route)
    if current is None:
        return RouteDecision(RouteAction.REJECT, RouteRejectReason.EXTENT_RESHAPED)
    relied_on = route.piece.version
    if current.version > relied_on and current.version >= redirect.version:
        return _follow(route, current.shard, current.version, ahead_of_map=False)
    if redirect.version > max(relied_on, current.version) and redirect.shard in known_shards:
        return _follow(route, redirect.shard, redirect.version, ahead_of_map=True)
    return _refresh_or_reject(limits, route)


def on_refresh(extent_map: ExtentMap, limits: Limits, route: Route) -> RouteDecision:
    """Decides what follows when a refresh that started after the redirect has ended, or failed."""
    current = _current_extent(extent_map, route)
    if current is None:
        return RouteDecision(RouteAction.REJECT, RouteRejectReason.EXTENT_RESHAPED)
    if current.version > route.piece.version:
        return _follow(route, current.shard, current.version, ahead_of_map=False)
    if route.ahead_of_map and current.version < route.piece.version and current.shard != route.piece.shard:
        # The node's redirect led nowhere and the source does not have it: back to the source's shard.
        return _follow(route, current.shard, current.version, ahead_of_map=False)
    return _refresh_or_reject(limits, route)


def _current_extent(extent_map: ExtentMap, route: Route) -> Extent | None:
    """The route's extent as the map has it; None if it was split or joined so that the piece lies across."""
    current = extent_map.find(route.piece.volume, route.piece.first)
    if current is None or current.first != route.piece.extent_first:
        return None
    return current if route.piece.first + route.piece.length <= current.end else None


def _follow(route: Route, shard: int, version: int, ahead_of_map: bool) -> RouteDecision:
    piece = route.piece
    route.piece = Piece(piece.volume, piece.first, piece.length, piece.extent_first, shard, version)
    route.ahead_of_map = ahead_of_map
    return FOLLOW


def _refresh_or_reject(limits: Limits, route: Route) -> RouteDecision:
    """The first refresh starts at once, the second after a pause that doubles for each later one."""
    route.refreshes += 1
    if route.refreshes > limits.refreshes:
        return RouteDecision(RouteAction.REJECT, RouteRejectReason.LOCATION_UNCONFIRMED)
    if route.refreshes == 1:
        return RouteDecision(RouteAction.REFRESH)
    return RouteDecision(RouteAction.REFRESH, pause_us=REFRESH_BACKOFF_US << (route.refreshes - 2))
