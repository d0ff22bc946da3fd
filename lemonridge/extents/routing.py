"""The routing decisions: which shard each piece of a command goes to, and how a redirect is handled.

The functions are pure: the caller passes the time, in whole microseconds. They decide only which shard stores
the data. The `scheduling` package decides on the endpoint of that shard, on further attempts and on the
client's answer; it is notified when data moves and when an attempt ends.

Safety: an attempt carries the extent version that it relies on, and a node executes it only if the node has
exactly that version. A wrong shard therefore costs an attempt but never reads or writes the wrong data.

Termination: the limit of four attempts, the limits on redirects and on refreshes, and the deadline each bound
a series of redirects.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from enum import Enum

from lemonridge.extents.errors import MapError, RouteError, RouteRejectReason
from lemonridge.extents.extent_map import Extent, ExtentMap, Piece

REFRESH_BACKOFF_US = 10_000  # pause before a route's second refresh; doubled for each later one


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits for one command, and the maximum age of the map.

    Reads may use an older map than writes. An outdated map is safe for both, because nodes check the version;
    but a write to an extent that moved long ago is redirected, and its data stays in memory meanwhile.

    Attributes:
        redirects: The maximum number of redirects of one piece.
        refreshes: The maximum number of refreshes that one piece waits for.
        pieces: The maximum number of pieces of one command.
        read_age_us: The maximum time since the source last confirmed the map, for reads.
        write_age_us: The maximum time since the source last confirmed the map, for writes.
    """

    redirects: int = 8
    refreshes: int = 6
    pieces: int = 32
    read_age_us: int = 60_000_000
    write_age_us: int = 15_000_000


@dataclass(frozen=True, slots=True)
class Redirect:
    """A node's reply to an attempt that it does not execute, because it lacks that version of the extent.

    Attributes:
        version: The newest version of the extent that the node knows; -1 if it knows none.
        shard: The shard that stores the extent in that version; -1 if the node does not know it.
    """

    version: int = -1
    shard: int = -1


@dataclass(slots=True)
class Route:
    """The routing state of one piece of a command in progress.

    Attributes:
        piece: The piece's blocks, and the shard and version that its attempts rely on.
        writes: Whether the command writes.
        redirects: The number of redirects so far.
        refreshes: The number of refreshes so far.
        attempt_in_flight: Whether an attempt is in flight; it relies on the piece's shard and version.
        ahead_of_map: Whether the shard and version come from a node's redirect and are newer than the map's.
    """

    piece: Piece
    writes: bool
    redirects: int = 0
    refreshes: int = 0
    attempt_in_flight: bool = False
    ahead_of_map: bool = False

    @property
    def shard(self) -> int:
        """The shard that the piece's attempts go to."""
        return self.piece.shard


class RouteAction(Enum):
    """The next step after a redirect or a refresh."""

    FOLLOW = "follow"  # make the next attempt at the route's shard, with the route's version
    REFRESH = "wait"  # refresh the extent, then call `on_refresh`
    REJECT = "give-up"  # reject the request


@dataclass(frozen=True, slots=True)
class RouteDecision:
    """The decision on a route after a redirect or a refresh.

    Attributes:
        action: The next step.
        reason: Why the route is rejected; None for the other actions.
        pause_us: The pause before a refresh. A handover takes time, and the source is notified of it last.
    """

    action: RouteAction
    reason: RouteRejectReason | None = None
    pause_us: int = 0


FOLLOW = RouteDecision(RouteAction.FOLLOW)


@dataclass(slots=True)
class MapTrust:
    """Whether and when the source has confirmed the map; this determines which commands may use the map.

    Attributes:
        confirmed_us: When the source last confirmed the map.
        confirmed: Whether the source has confirmed the map since this process started; False at first for a
            cached map.
    """

    confirmed_us: int = 0
    confirmed: bool = False

    def check_usable(self, extent_map: ExtentMap, limits: Limits, writes: bool, now_us: int) -> None:
        """Checks that a command may be routed by the present map.

        Args:
            extent_map: The map.
            limits: The operator's limits.
            writes: Whether the command writes.
            now_us: The current time.

        Raises:
            RouteError: There is no map, the map is too old, or the command writes and the source has not
                confirmed the map yet.
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
    """Returns the routes of a command's pieces, in the order of their blocks.

    Args:
        extent_map: The map.
        trust: Whether and when the source has confirmed the map.
        limits: The operator's limits.
        volume: The LUN.
        first: The command's first block.
        length: The command's number of blocks.
        writes: Whether the command writes.
        now_us: The current time.

    Raises:
        RouteError: The map may not be used, some blocks are not in the map, or there are too many pieces.
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
    extent_map: ExtentMap,
    trust: MapTrust,
    limits: Limits,
    volume: int,
    writes: bool,
    now_us: int,
    redirected_shards: Set[int] = frozenset(),
) -> list[int]:
    """Returns the shards of a command that applies to a whole volume, in ascending order.

    A command that writes also goes to the shards that served writes ahead of the map. They do not count
    against the limit on pieces, since the map soon names them.

    Args:
        extent_map: The map.
        trust: Whether and when the source has confirmed the map.
        limits: The operator's limits.
        volume: The LUN.
        writes: Whether the command writes.
        now_us: The current time.
        redirected_shards: The shards that served writes to the volume ahead of the map.

    Raises:
        RouteError: The map may not be used, the volume is not in the map, or there are too many shards.
    """
    trust.check_usable(extent_map, limits, writes, now_us)
    shards = extent_map.shards(volume)
    if not shards:
        raise RouteError(RouteRejectReason.NOT_MAPPED)
    if len(shards) > limits.pieces:
        raise RouteError(RouteRejectReason.TOO_MANY_PIECES)
    if writes:
        shards |= redirected_shards
    return sorted(shards)


def follow_newer_map(extent_map: ExtentMap, route: Route) -> bool:
    """Updates a route to the map's version of its extent if that is newer and no attempt is in flight.

    Returns:
        Whether the route was updated.
    """
    current = _current_extent(extent_map, route)
    if route.attempt_in_flight or current is None or current.version <= route.piece.version:
        return False
    _follow(route, current.shard, current.version, ahead_of_map=False)
    return True


def on_redirect(
    extent_map: ExtentMap,
    limits: Limits,
    route: Route,
    redirect: Redirect,
    known_shards: frozenset[int],
    ahead_of_map_allowed: bool = True,
) -> RouteDecision:
    """Decides on the next step after a node has refused an attempt with a redirect.

    The route follows the map if the map's version is newer than that of the refused attempt and not older
    than the redirect's. Otherwise the route follows the redirect if the redirect's version is newer than both
    the route's and the map's, if its shard has a node and if the route may run ahead of the map. In all other
    cases the extent is refreshed. A version that is not newer proves nothing: the redirect may be stale, two
    nodes may redirect to each other, or the extent's new owner may not know of the handover yet.

    Args:
        extent_map: The map.
        limits: The operator's limits.
        route: The route; its shard and version are updated if the decision is to follow.
        redirect: The node's redirect.
        known_shards: The shards that have a node.
        ahead_of_map_allowed: Whether the route may follow a version that the map does not have.
    """
    route.redirects += 1
    if route.redirects > limits.redirects:
        return RouteDecision(RouteAction.REJECT, RouteRejectReason.TOO_MANY_REDIRECTS)
    current = _current_extent(extent_map, route)
    if current is None:
        return RouteDecision(RouteAction.REJECT, RouteRejectReason.EXTENT_RESHAPED)
    route_version = route.piece.version
    if current.version > route_version and current.version >= redirect.version:
        return _follow(route, current.shard, current.version, ahead_of_map=False)
    is_ahead_of_map = redirect.version > max(route_version, current.version)
    if is_ahead_of_map and ahead_of_map_allowed and redirect.shard in known_shards:
        return _follow(route, redirect.shard, redirect.version, ahead_of_map=True)
    return _refresh_or_reject(limits, route)


def on_refresh(extent_map: ExtentMap, limits: Limits, route: Route) -> RouteDecision:
    """Decides on the next step after a refresh, successful or not, that started after the redirect."""
    current = _current_extent(extent_map, route)
    if current is None:
        return RouteDecision(RouteAction.REJECT, RouteRejectReason.EXTENT_RESHAPED)
    if current.version > route.piece.version:
        return _follow(route, current.shard, current.version, ahead_of_map=False)
    if route.ahead_of_map and current.version < route.piece.version and current.shard != route.piece.shard:
        # The redirect's shard refused too, and the source does not confirm it: return to the map's shard.
        return _follow(route, current.shard, current.version, ahead_of_map=False)
    return _refresh_or_reject(limits, route)


def _current_extent(extent_map: ExtentMap, route: Route) -> Extent | None:
    """Returns the map's present version of the route's extent.

    Returns:
        The extent, or None if it was split or joined in such a way that no extent with the same first block
        contains the whole piece.
    """
    current = extent_map.find(route.piece.volume, route.piece.first)
    if current is None or current.first != route.piece.extent_first:
        return None
    return current if route.piece.first + route.piece.length <= current.end else None


def _follow(route: Route, shard: int, version: int, ahead_of_map: bool) -> RouteDecision:
    """Sets a route's shard and version, and returns the decision to follow them."""
    piece = route.piece
    route.piece = Piece(piece.volume, piece.first, piece.length, piece.extent_first, shard, version)
    route.ahead_of_map = ahead_of_map
    return FOLLOW


def _refresh_or_reject(limits: Limits, route: Route) -> RouteDecision:
    """Decides to refresh the extent, or to reject the route if it has reached its limit of refreshes.

    The first refresh starts without a pause, the second after `REFRESH_BACKOFF_US`. The pause then doubles
    for each later refresh.
    """
    route.refreshes += 1
    if route.refreshes > limits.refreshes:
        return RouteDecision(RouteAction.REJECT, RouteRejectReason.LOCATION_UNCONFIRMED)
    if route.refreshes == 1:
        return RouteDecision(RouteAction.REFRESH)
    return RouteDecision(RouteAction.REFRESH, pause_us=REFRESH_BACKOFF_US << (route.refreshes - 2))
