"""Which shards a command for a whole volume reaches after writes were served ahead of the map."""

from __future__ import annotations

import pytest

from lemonridge.extents import routing
from lemonridge.extents.errors import RouteError
from lemonridge.extents.extent_map import Change, Extent, ExtentMap, Piece
from lemonridge.extents.redirected_writes import RedirectedWrites
from lemonridge.extents.routing import Limits, MapTrust, Redirect, Route, RouteAction

SHARDS = frozenset(range(8))
NO_PIECES_LEFT = Limits(pieces=2)


def map_of_two_extents() -> ExtentMap:
    extent_map = ExtentMap()
    extent_map.replace_all(1, [Extent(0, 0, 10, 0, 1), Extent(0, 10, 10, 1, 1)])
    return extent_map


def written(shard: int, version: int, first: int = 0, volume: int = 0) -> Piece:
    return Piece(volume, first + 2, 3, first, shard, version)


def shards_of_volume(
    extent_map: ExtentMap, redirected_writes: RedirectedWrites, writes: bool = True
) -> list[int]:
    trust = MapTrust(confirmed_us=0, confirmed=True)
    return routing.shards_of_volume(
        extent_map, trust, NO_PIECES_LEFT, 0, writes, 0, redirected_writes.shards(0)
    )


def test_shard_of_a_redirected_write_is_added_for_writes_only() -> None:
    redirected_writes = RedirectedWrites()
    redirected_writes.record(written(5, 2))
    redirected_writes.record(written(7, 2, volume=1))
    assert shards_of_volume(map_of_two_extents(), redirected_writes) == [0, 1, 5]
    assert shards_of_volume(map_of_two_extents(), redirected_writes, writes=False) == [0, 1]


def test_volume_without_a_map_is_not_routed_by_redirected_writes_alone() -> None:
    redirected_writes = RedirectedWrites()
    redirected_writes.record(written(5, 2))
    with pytest.raises(RouteError):
        shards_of_volume(ExtentMap(), redirected_writes)


def test_only_the_latest_version_of_an_extent_counts() -> None:
    """The handover to it made durable what the earlier shard had written."""
    redirected_writes = RedirectedWrites()
    for shard, version in ((5, 2), (6, 4), (4, 3)):
        redirected_writes.record(written(shard, version))
    assert (redirected_writes.shards(0), len(redirected_writes)) == ({6}, 1)


def test_location_is_kept_until_the_map_reaches_its_version() -> None:
    extent_map, redirected_writes = map_of_two_extents(), RedirectedWrites()
    redirected_writes.record(written(5, 3))
    for version, shards in ((2, {5}), (3, set())):
        extent_map.apply(Change(version - 1, version, (Extent(0, 0, 10, version, version),)))
        redirected_writes.discard_reached(extent_map, (0, 0))
        assert redirected_writes.shards(0) == shards
    assert len(redirected_writes) == 0


def test_refreshed_extent_ends_a_location() -> None:
    extent_map, redirected_writes = map_of_two_extents(), RedirectedWrites()
    redirected_writes.record(written(5, 2))
    assert extent_map.merge(Extent(0, 0, 10, 5, 2))
    redirected_writes.discard_reached(extent_map, (0, 0))
    assert len(redirected_writes) == 0


def test_whole_map_ends_the_locations_that_it_has_reached_or_has_no_blocks_for() -> None:
    redirected_writes = RedirectedWrites()
    for piece in (written(5, 2), written(6, 2, first=10), written(7, 2, volume=1)):
        redirected_writes.record(piece)
    extent_map = ExtentMap()
    extent_map.replace_all(2, [Extent(0, 0, 5, 2, 2), Extent(0, 5, 5, 3, 2), Extent(0, 10, 10, 1, 1)])
    redirected_writes.discard_all_reached(extent_map)
    assert (redirected_writes.shards(0), redirected_writes.shards(1), len(redirected_writes)) == (
        {6},
        set(),
        1,
    )


def test_write_refreshes_its_extent_when_no_further_location_can_be_kept() -> None:
    redirected_writes = RedirectedWrites(extents_max=2)
    redirected_writes.record(written(5, 2))
    assert not redirected_writes.is_full
    redirected_writes.record(written(6, 2, first=10))
    assert redirected_writes.is_full
    route = Route(written(0, 1), writes=True)
    decision = routing.on_redirect(
        map_of_two_extents(), Limits(), route, Redirect(2, 5), SHARDS, ahead_of_map_allowed=False
    )
    assert (decision.action, route.shard) == (RouteAction.REFRESH, 0)
