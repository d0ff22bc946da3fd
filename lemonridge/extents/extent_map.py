"""The extent map: volume -> ordered extents, each with a shard and a version, and one version for the map.

A volume's extents are in leaves of parallel arrays under one sorted index of first blocks (a B+-tree of two
levels: Comer, "The Ubiquitous B-Tree", 1979), so that a lookup is two bisections and a change touches one
leaf. An extent takes 28 bytes. Blocks are counted in the volume's own block size; versions and blocks are
below 2^63, shards below 2^31, and each volume covers its blocks from 0 on without a hole.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from lemonridge.extents.errors import MapError

LEAF_EXTENTS_MAX = 512  # a larger leaf is split: 14 KiB to move at an insertion against a longer index
BLOCK_LIMIT, SHARD_LIMIT = 1 << 63, 1 << 31


class ChangeResult(Enum):
    """What became of a change. The values are parts of counters' names."""

    APPLIED = "applied"
    STALE = "stale"  # not newer than the map: a repetition
    GAP = "gap"  # it does not follow on the map's version: a change before it was lost
    BROKEN = "broken"  # it would leave an overlap or a hole, or lower a version


@dataclass(frozen=True, slots=True)
class Extent:
    """A run of blocks on one shard.

    Attributes:
        volume: The LUN.
        first: Its first block.
        length: Number of blocks.
        shard: The shard that has all of it.
        version: Rises with each hand-over to another shard.
    """

    volume: int
    first: int
    length: int
    shard: int
    version: int

    @property
    def end(self) -> int:
        """The block behind the last one."""
        return self.first + self.length


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the map.

    A split or a join of extents removes those that it replaces and sets the others in the same change.

    Attributes:
        base: The map's version before.
        version: The map's version after.
        extents: Extents that are set.
        removed: Volume and first block of each extent that is removed.
    """

    base: int
    version: int
    extents: tuple[Extent, ...]
    removed: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Piece:
    """The part of a block range that lies in one extent.

    Attributes:
        volume: The LUN.
        first: The piece's first block.
        length: Number of blocks of the piece.
        extent_first: The first block of the extent that contains the piece.
        shard: The extent's shard when it was looked up.
        version: The extent's version when it was looked up.
    """

    volume: int
    first: int
    length: int
    extent_first: int
    shard: int
    version: int


class _Leaf:
    """Adjacent extents as parallel arrays, one row an extent."""

    __slots__ = ("first", "length", "shard", "version")

    def __init__(self) -> None:
        self.first, self.length, self.version = array("q"), array("q"), array("q")
        self.shard = array("i")

    def __len__(self) -> int:
        return len(self.first)

    def set_row(self, at: int, extent: Extent, replaces: bool) -> None:
        """Writes an extent over row `at`, or inserts it there."""
        values = (extent.first, extent.length, extent.shard, extent.version)
        for column, value in zip((self.first, self.length, self.shard, self.version), values, strict=True):
            if replaces:
                column[at] = value
            else:
                column.insert(at, value)

    def remove_row(self, at: int) -> None:
        """Removes row `at`."""
        for column in (self.first, self.length, self.shard, self.version):
            del column[at]

    def part(self, rows: slice) -> _Leaf:
        """A copy of some rows."""
        other = _Leaf()
        for name in self.__slots__:
            setattr(other, name, getattr(self, name)[rows])
        return other

    def split(self) -> _Leaf:
        """Removes and returns the second half."""
        half = len(self) // 2
        other = self.part(slice(half, None))
        for name in self.__slots__:
            del getattr(self, name)[half:]
        return other

    def ordered(self) -> _Leaf:
        """A copy with the rows sorted by first block."""
        order = sorted(range(len(self)), key=self.first.__getitem__)
        other = _Leaf()
        for name in self.__slots__:
            column = getattr(self, name)
            setattr(other, name, array(column.typecode, (column[row] for row in order)))
        return other


class _Volume:
    """One volume's leaves, and the first block of each."""

    __slots__ = ("count", "index", "leaves")

    def __init__(self) -> None:
        self.index, self.leaves, self.count = array("q"), list[_Leaf](), 0

    def copy(self) -> _Volume:
        """An independent volume with the same extents."""
        other = _Volume()
        other.index, other.count = self.index[:], self.count
        other.leaves = [leaf.part(slice(None)) for leaf in self.leaves]
        return other

    def find(self, block: int) -> tuple[int, int]:
        """Leaf and row of the last extent that begins at or before `block`; (-1, -1) if none."""
        leaf = bisect_right(self.index, block) - 1
        return (leaf, bisect_right(self.leaves[leaf].first, block) - 1) if leaf >= 0 else (-1, -1)

    def at(self, volume: int, leaf: int, row_index: int) -> Extent:
        """The extent in a row of a leaf; `volume` is this volume's number."""
        rows = self.leaves[leaf]
        return Extent(
            volume,
            rows.first[row_index],
            rows.length[row_index],
            rows.shard[row_index],
            rows.version[row_index],
        )

    def after(self, leaf: int, row_index: int) -> tuple[int, int] | None:
        """Leaf and row of the next extent; None after the last."""
        if row_index + 1 < len(self.leaves[leaf]):
            return leaf, row_index + 1
        return (leaf + 1, 0) if leaf + 1 < len(self.leaves) else None

    def set_extent(self, extent: Extent) -> None:
        """Sets an extent; replaces one with the same first block, and splits a leaf that is full."""
        leaf, row_index = self.find(extent.first)
        if leaf < 0:
            if not self.leaves:
                self.leaves.append(_Leaf())
                self.index.append(extent.first)
            leaf, row_index, self.index[0] = 0, -1, extent.first
        leaf_rows = self.leaves[leaf]
        replaces = row_index >= 0 and leaf_rows.first[row_index] == extent.first
        leaf_rows.set_row(row_index if replaces else row_index + 1, extent, replaces)
        self.count += not replaces
        if len(leaf_rows) > LEAF_EXTENTS_MAX:
            other = leaf_rows.split()
            self.leaves.insert(leaf + 1, other)
            self.index.insert(leaf + 1, other.first[0])

    def remove_extent(self, first: int) -> bool:
        """Removes the extent that begins at block `first`; whether there was one."""
        leaf, row_index = self.find(first)
        if leaf < 0 or self.leaves[leaf].first[row_index] != first:
            return False
        self.leaves[leaf].remove_row(row_index)
        self.count -= 1
        if not len(self.leaves[leaf]):
            del self.leaves[leaf], self.index[leaf]
        else:
            self.index[leaf] = self.leaves[leaf].first[0]
        return True

    def fill(self, columns: _Leaf) -> None:
        """Fills an empty volume from sorted rows, leaves to three quarters so that few splits follow."""
        step = LEAF_EXTENTS_MAX * 3 // 4
        for start in range(0, len(columns), step):
            leaf = columns.part(slice(start, start + step))
            self.leaves.append(leaf)
            self.index.append(leaf.first[0])
        self.count = len(columns)


def check_extent(extent: Extent) -> None:
    """Checks an extent's numbers.

    Raises:
        MapError: A number is out of range.
    """
    where = f"volume {extent.volume}, block {extent.first}"
    if extent.first < 0 or extent.length < 1 or extent.end >= BLOCK_LIMIT:
        raise MapError(f"{where}: {extent.length} blocks is no length")
    if not 0 <= extent.shard < SHARD_LIMIT or not 0 <= extent.version < BLOCK_LIMIT:
        raise MapError(f"{where}: shard {extent.shard} or version {extent.version} is out of range")


class MapBuilder:
    """Collects a complete map, extent by extent, in as much memory as the map itself takes.

    Args:
        extents_max: More extents are an error.
    """

    def __init__(self, extents_max: int) -> None:
        self._max, self.count = extents_max, 0
        self._columns: dict[int, _Leaf] = {}
        self._unordered: set[int] = set()  # volumes to be sorted at the end

    def add(self, extent: Extent) -> None:
        """Adds an extent, in any order.

        Raises:
            MapError: A number is out of range, or there are too many extents.
        """
        check_extent(extent)
        self.count += 1
        if self.count > self._max:
            raise MapError(f"more than {self._max} extents")
        columns = self._columns.setdefault(extent.volume, _Leaf())
        end = columns.first[-1] + columns.length[-1] if len(columns) else 0
        if extent.first != end:
            self._unordered.add(extent.volume)
        columns.set_row(len(columns), extent, False)

    def volumes(self) -> dict[int, _Volume]:
        """The volumes, once all extents were added.

        Raises:
            MapError: Two extents overlap, or blocks between them are missing.
        """
        made: dict[int, _Volume] = {}
        for number, rows in self._columns.items():
            columns = rows
            if number in self._unordered:
                columns, end = rows.ordered(), 0
                for first, length in zip(columns.first, columns.length, strict=True):
                    _check_adjacent(number, end, first)
                    end = first + length
            made[number] = _Volume()
            made[number].fill(columns)
        return made


class ExtentMap:
    """This broker's copy of the map. A method that raises or rejects leaves the map as it was.

    Args:
        extents_max: A map with more extents is rejected.

    Attributes:
        version: The map's version; -1 before the first map.
    """

    def __init__(self, extents_max: int = 1_000_000) -> None:
        self.version = -1
        self._max = extents_max
        self._volumes: dict[int, _Volume] = {}
        self._refreshed_versions: dict[tuple[int, int], int] = {}  # newer than the map's own version

    def __len__(self) -> int:
        return sum(volume.count for volume in self._volumes.values())

    def __iter__(self) -> Iterator[Extent]:
        for number, volume in self._volumes.items():
            for leaf in range(len(volume.leaves)):
                for row_index in range(len(volume.leaves[leaf])):
                    yield volume.at(number, leaf, row_index)

    def copy(self) -> ExtentMap:
        """An independent map with the same extents; copies the arrays, not each extent."""
        other = ExtentMap(self._max)
        other.version, other._refreshed_versions = self.version, dict(self._refreshed_versions)
        other._volumes = {number: volume.copy() for number, volume in self._volumes.items()}
        return other

    def volumes(self) -> list[int]:
        """The volumes that have extents."""
        return list(self._volumes)

    def blocks(self, volume: int) -> int:
        """The size of a volume in blocks; 0 if the map does not have it."""
        found = self._volumes.get(volume)
        return found.at(volume, len(found.leaves) - 1, len(found.leaves[-1]) - 1).end if found else 0

    def find(self, volume: int, block: int) -> Extent | None:
        """The extent that contains a block; None if the map does not have the block."""
        found = self._volumes.get(volume)
        leaf, row_index = found.find(block) if found else (-1, -1)
        if found is None or row_index < 0:
            return None
        extent = found.at(volume, leaf, row_index)
        return extent if block < extent.end else None

    def lookup(self, volume: int, first: int, length: int) -> list[Piece]:
        """The pieces of a block range, in order.

        Raises:
            MapError: The map does not have all of the blocks.
        """
        found, pieces, block, end = self._volumes.get(volume), list[Piece](), first, first + length
        position: tuple[int, int] | None = found.find(first) if found else None
        while block < end:
            if found is None or position is None or position[1] < 0:
                raise MapError(f"volume {volume}, block {block}: not in the map")
            extent = found.at(volume, *position)
            until = min(end, extent.end)
            if until <= block:
                raise MapError(f"volume {volume}, block {block}: not in the map")
            pieces.append(Piece(volume, block, until - block, extent.first, extent.shard, extent.version))
            block, position = until, found.after(*position)
        return pieces

    def shards(self, volume: int) -> set[int]:
        """Every shard that has an extent of the volume."""
        found = self._volumes.get(volume)
        return {shard for leaf in found.leaves for shard in leaf.shard} if found else set()

    def replace_all(self, version: int, extents: Iterable[Extent]) -> None:
        """Replaces the map, also by one of a lower version: the source alone decides.

        Raises:
            MapError: Extents overlap, blocks are missing, a number is out of range or there are too many.
        """
        builder = MapBuilder(self._max)
        for extent in extents:
            builder.add(extent)
        self.replace_from(version, builder)

    def builder(self) -> MapBuilder:
        """A builder for `replace_from`, with this map's bound."""
        return MapBuilder(self._max)

    def replace_from(self, version: int, builder: MapBuilder) -> None:
        """Replaces the map by a builder's extents; the builder must not be used again.

        Raises:
            MapError: Extents overlap or blocks are missing.
        """
        self._volumes, self.version, self._refreshed_versions = builder.volumes(), version, {}

    def apply(self, change: Change) -> tuple[ChangeResult, str]:
        """Applies a change.

        Returns:
            What became of it, and why it was not applied ("" where it was).
        """
        if change.version <= self.version:
            return ChangeResult.STALE, f"version {change.version} at {self.version}"
        if change.base != self.version:
            return ChangeResult.GAP, f"a change of version {change.base}, the map is at {self.version}"
        extents = tuple(extent for extent in change.extents if not self._is_overtaken(extent))
        try:
            removed = self._extents_to_remove(change)
            for extent in extents:
                self._check_settable(extent)
            self._replace_extents(removed, extents)
        except MapError as error:
            return ChangeResult.BROKEN, str(error)
        self.version = change.version
        self._forget_refreshed_versions(change)
        return ChangeResult.APPLIED, ""

    def _extents_to_remove(self, change: Change) -> list[Extent]:
        keys = dict.fromkeys(change.removed)
        removed = [extent for key in keys if (extent := self._extent_at(*key)) is not None]
        if len(removed) != len(keys):
            raise MapError("an extent that is not in the map is removed")
        return removed

    def _check_settable(self, extent: Extent) -> None:
        check_extent(extent)
        current = self._extent_at(extent.volume, extent.first)
        if current and current.version > extent.version:
            raise MapError(
                f"volume {extent.volume}, block {extent.first}: version {extent.version} "
                f"after {current.version}"
            )

    def _replace_extents(self, removed: list[Extent], extents: tuple[Extent, ...]) -> None:
        """Removes and sets extents; undoes it and raises MapError where the map would not be valid."""
        before = {(row.volume, row.first): self._extent_at(row.volume, row.first) for row in extents}
        for extent in removed:
            before[extent.volume, extent.first] = extent
            self._remove(extent.volume, extent.first)
        for extent in extents:
            self._volumes.setdefault(extent.volume, _Volume()).set_extent(extent)
        try:
            if len(self) > self._max:
                raise MapError(f"more than {self._max} extents")
            self._check(before, extents)
        except MapError:
            self._restore(before)
            raise

    def _forget_refreshed_versions(self, change: Change) -> None:
        """Drops what a refresh had brought early and the change has now reached."""
        if not self._refreshed_versions:
            return
        for extent in change.extents:
            key = (extent.volume, extent.first)
            if self._refreshed_versions.get(key, extent.version + 1) <= extent.version:
                del self._refreshed_versions[key]

    def merge(self, extent: Extent) -> bool:
        """Sets one extent as a refresh has read it; the map's own version stays.

        The change that set it comes from the source later and leaves a newer extent as it is.

        Returns:
            Whether it was newer than the map's extent of the same blocks, and is set.
        """
        current = self._extent_at(extent.volume, extent.first)
        if current is None or current.length != extent.length or current.version >= extent.version:
            return False
        check_extent(extent)
        self._volumes[extent.volume].set_extent(extent)
        self._refreshed_versions[extent.volume, extent.first] = extent.version
        return True

    def _is_overtaken(self, extent: Extent) -> bool:
        """Whether a refresh has already brought a later version of the same blocks."""
        if self._refreshed_versions.get((extent.volume, extent.first), -1) <= extent.version:
            return False
        current = self._extent_at(extent.volume, extent.first)
        return current is not None and current.length == extent.length

    def _extent_at(self, volume: int, first: int) -> Extent | None:
        current = self.find(volume, first)
        return current if current and current.first == first else None

    def _remove(self, volume: int, first: int) -> None:
        if self._volumes[volume].remove_extent(first) and not self._volumes[volume].count:
            del self._volumes[volume]

    def _restore(self, before: dict[tuple[int, int], Extent | None]) -> None:
        """Undoes a change."""
        for (number, first), _ in before.items():
            if number in self._volumes:
                self._remove(number, first)
        for extent in before.values():
            if extent is not None:
                self._volumes.setdefault(extent.volume, _Volume()).set_extent(extent)

    def _check(self, before: dict[tuple[int, int], Extent | None], extents_set: Iterable[Extent]) -> None:
        """Checks that changed extents are adjacent to their neighbours: no overlap and no hole."""
        boundaries = {(number, first) for number, first in before} | {
            (row.volume, row.end) for row in extents_set
        }
        boundaries |= {(row.volume, row.end) for row in before.values() if row is not None}
        for number, block in boundaries:
            volume = self._volumes.get(number)
            if volume is None:
                continue
            leaf, row_index = volume.find(block)
            if row_index < 0:
                raise MapError(f"volume {number}, block 0: a hole")
            extent = volume.at(number, leaf, row_index)
            position = volume.after(leaf, row_index)
            if position is not None:
                _check_adjacent(number, extent.end, volume.at(number, *position).first)
            if leaf == 0 and row_index == 0:
                _check_adjacent(number, 0, extent.first)
            elif block == extent.first:
                previous = volume.find(block - 1)
                if previous[1] < 0:
                    raise MapError(f"volume {number}, block 0: a hole")
                _check_adjacent(number, volume.at(number, *previous).end, extent.first)


def _check_adjacent(volume: int, end: int, first: int) -> None:
    if first > end:
        raise MapError(f"volume {volume}, block {end}: a hole")
    if first < end:
        raise MapError(f"volume {volume}, block {first}: an overlap")
