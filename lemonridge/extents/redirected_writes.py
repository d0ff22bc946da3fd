"""Remembers which shards have served writes under extent versions that the map does not have yet.

A write that follows a node's redirect may be in the cache of a shard that the map does not name for its
extent. A command that applies to a whole volume, such as SYNCHRONIZE CACHE, must reach that shard too. The
module is pure.
"""

from __future__ import annotations

from lemonridge.extents.extent_map import ExtentMap, Piece
from lemonridge.extents.refresh import ExtentKey

REDIRECTED_EXTENTS_MAX = 16_384  # beyond it, writes wait for the map instead of following redirects


class RedirectedWrites:
    """The extents whose latest known writes were served ahead of the map.

    One location an extent is enough: a node runs a write only under the extent's present version, and a
    handover to the next version makes everything durable that was written before it.

    Args:
        extents_max: The maximum number of extents; `is_full` afterwards.
    """

    def __init__(self, extents_max: int = REDIRECTED_EXTENTS_MAX) -> None:
        self._extents_max = extents_max
        self._locations: dict[int, dict[int, Piece]] = {}  # by volume and the extent's first block
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether no write to a further extent should run ahead of the map."""
        return self._count >= self._extents_max

    def record(self, piece: Piece) -> None:
        """Records that a write was served ahead of the map.

        Args:
            piece: The blocks of the write, and the shard and version that served it.
        """
        locations = self._locations.setdefault(piece.volume, {})
        previous = locations.get(piece.extent_first)
        if previous is None:
            self._count += 1
        if previous is None or previous.version <= piece.version:
            locations[piece.extent_first] = piece

    def discard_reached(self, extent_map: ExtentMap, key: ExtentKey) -> None:
        """Forgets an extent if the map has reached the version that served its writes.

        Args:
            extent_map: The map.
            key: The volume and first block of the extent as the write knew it.
        """
        volume, first = key
        piece = self._locations.get(volume, {}).get(first)
        if piece is not None and _has_reached(extent_map, piece):
            self._discard(piece)

    def discard_all_reached(self, extent_map: ExtentMap) -> None:
        """Forgets all extents whose recorded versions the map has reached."""
        pieces = [piece for locations in self._locations.values() for piece in locations.values()]
        for piece in pieces:
            if _has_reached(extent_map, piece):
                self._discard(piece)

    def shards(self, volume: int) -> set[int]:
        """Returns the shards that served writes to a volume ahead of the map."""
        return {piece.shard for piece in self._locations.get(volume, {}).values()}

    def _discard(self, piece: Piece) -> None:
        locations = self._locations[piece.volume]
        del locations[piece.extent_first]
        self._count -= 1
        if not locations:
            del self._locations[piece.volume]


def _has_reached(extent_map: ExtentMap, piece: Piece) -> bool:
    """Returns whether the map knows the version that served a write, or a later one.

    Blocks that the map does not have any more need no location.
    """
    current = extent_map.find(piece.volume, piece.extent_first)
    return current is None or current.version >= piece.version
