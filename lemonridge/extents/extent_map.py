"""The extent map: which shard stores each block of each volume.

The map has one version, and each volume is an ordered sequence of extents, each of them with a shard and a
version of its own.

Storage: a volume's extents are stored in leaves of parallel arrays, below one sorted index of the leaves'
first blocks (a two-level B+-tree: Comer, "The Ubiquitous B-Tree", 1979). A lookup takes two bisections and a
change modifies one leaf. An extent takes 28 bytes.

Blocks are counted in the volume's own block size. Versions and block numbers are below 2^63, and shard
numbers are below 2^31. A volume's first extent begins at block 0, and each further extent begins where the
previous one ends.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from lemonridge.extents.errors import MapError

# A larger leaf is split. An insertion moves up to 14 KiB in a full leaf; smaller leaves lengthen the index.
LEAF_EXTENTS_MAX = 512
BLOCK_LIMIT, SHARD_LIMIT = 1 << 63, 1 << 31  # exclusive; the arrays have signed 64-bit and 32-bit items


class ChangeResult(Enum):
    """The result of applying a change. The values are parts of counter names."""

    APPLIED = "applied"
    STALE = "stale"  # the change is not newer than the map: it was delivered before
    GAP = "gap"  # the change does not follow the map's version directly: an earlier change was missed
    BROKEN = "broken"  # the change would leave overlapping extents or uncovered blocks, or decrease a version


@dataclass(frozen=True, slots=True)
class Extent:
    """A contiguous range of a volume's blocks that one shard stores.

    Attributes:
        volume: The LUN.
        first: The first block.
        length: The number of blocks.
        shard: The shard that stores all of the blocks.
        version: Increases with each handover to another shard.
    """

    volume: int
    first: int
    length: int
    shard: int
    version: int

    @property
    def end(self) -> int:
        """The first block after the extent."""
        return self.first + self.length


@dataclass(frozen=True, slots=True)
class Change:
    """A change that takes the map from one version to the next.

    A change that splits or joins extents removes the extents that are replaced and sets the new ones.

    Attributes:
        base: The map's version before the change.
        version: The map's version after the change.
        extents: The extents that the change sets.
        removed: The volume and the first block of each extent that the change removes.
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
        length: The number of blocks in the piece.
        extent_first: The first block of the extent that contains the piece.
        shard: The extent's shard at the time of the lookup.
        version: The extent's version at the time of the lookup.
    """

    volume: int
    first: int
    length: int
    extent_first: int
    shard: int
    version: int


class _Leaf:
    """Adjacent extents of one volume as parallel arrays; each row is an extent."""

    __slots__ = ("first", "length", "shard", "version")

    def __init__(self) -> None:
        self.first, self.length, self.version = array("q"), array("q"), array("q")
        self.shard = array("i")

    def __len__(self) -> int:
        return len(self.first)

    def set_row(self, row_index: int, extent: Extent, replace: bool) -> None:
        """Overwrites a row with an extent if `replace` is true, else inserts the extent before the row."""
        values = (extent.first, extent.length, extent.shard, extent.version)
        for column, value in zip((self.first, self.length, self.shard, self.version), values, strict=True):
            if replace:
                column[row_index] = value
            else:
                column.insert(row_index, value)

    def remove_row(self, row_index: int) -> None:
        """Removes a row."""
        for column in (self.first, self.length, self.shard, self.version):
            del column[row_index]

    def copy_rows(self, rows: slice) -> _Leaf:
        """Returns a new leaf with a copy of the given rows."""
        new_leaf = _Leaf()
        for name in self.__slots__:
            setattr(new_leaf, name, getattr(self, name)[rows])
        return new_leaf

    def split(self) -> _Leaf:
        """Removes the second half of the rows and returns it as a new leaf."""
        half = len(self) // 2
        second_half = self.copy_rows(slice(half, None))
        for name in self.__slots__:
            del getattr(self, name)[half:]
        return second_half

    def sorted_copy(self) -> _Leaf:
        """Returns a copy with the rows sorted by first block."""
        order = sorted(range(len(self)), key=self.first.__getitem__)
        new_leaf = _Leaf()
        for name in self.__slots__:
            column = getattr(self, name)
            setattr(new_leaf, name, array(column.typecode, (column[row_index] for row_index in order)))
        return new_leaf


class _Volume:
    """The extents of one volume: its leaves, the index of their first blocks, and the number of extents."""

    __slots__ = ("count", "index", "leaves")

    def __init__(self) -> None:
        self.index, self.leaves, self.count = array("q"), list[_Leaf](), 0

    def copy(self) -> _Volume:
        """Returns an independent copy."""
        duplicate = _Volume()
        duplicate.index, duplicate.count = self.index[:], self.count
        duplicate.leaves = [leaf.copy_rows(slice(None)) for leaf in self.leaves]
        return duplicate

    def find_position(self, block: int) -> tuple[int, int]:
        """Returns the position of the last extent that begins at or before a block.

        Returns:
            The leaf's index and the row's index; (-1, -1) if no extent begins at or before the block.
        """
        leaf_index = bisect_right(self.index, block) - 1
        return (
            (leaf_index, bisect_right(self.leaves[leaf_index].first, block) - 1)
            if leaf_index >= 0
            else (-1, -1)
        )

    def extent_at(self, volume: int, leaf_index: int, row_index: int) -> Extent:
        """Returns the extent at a position; `volume` is this volume's number."""
        leaf = self.leaves[leaf_index]
        return Extent(
            volume,
            leaf.first[row_index],
            leaf.length[row_index],
            leaf.shard[row_index],
            leaf.version[row_index],
        )

    def next_position(self, leaf_index: int, row_index: int) -> tuple[int, int] | None:
        """Returns the leaf and row index of the next extent; None if the position is the last one."""
        if row_index + 1 < len(self.leaves[leaf_index]):
            return leaf_index, row_index + 1
        return (leaf_index + 1, 0) if leaf_index + 1 < len(self.leaves) else None

    def set_extent(self, extent: Extent) -> None:
        """Inserts an extent, or replaces the extent with the same first block.

        A leaf with more than `LEAF_EXTENTS_MAX` extents is split.
        """
        leaf_index, row_index = self.find_position(extent.first)
        if leaf_index < 0:
            if not self.leaves:
                self.leaves.append(_Leaf())
                self.index.append(extent.first)
            leaf_index, row_index, self.index[0] = 0, -1, extent.first
        leaf = self.leaves[leaf_index]
        replace = row_index >= 0 and leaf.first[row_index] == extent.first
        leaf.set_row(row_index if replace else row_index + 1, extent, replace)
        self.count += not replace
        if len(leaf) > LEAF_EXTENTS_MAX:
            second_half = leaf.split()
            self.leaves.insert(leaf_index + 1, second_half)
            self.index.insert(leaf_index + 1, second_half.first[0])

    def remove_extent(self, first: int) -> bool:
        """Removes the extent that begins at block `first`; returns False if there is none."""
        leaf_index, row_index = self.find_position(first)
        if leaf_index < 0 or self.leaves[leaf_index].first[row_index] != first:
            return False
        self.leaves[leaf_index].remove_row(row_index)
        self.count -= 1
        if not len(self.leaves[leaf_index]):
            del self.leaves[leaf_index], self.index[leaf_index]
        else:
            self.index[leaf_index] = self.leaves[leaf_index].first[0]
        return True

    def fill(self, sorted_rows: _Leaf) -> None:
        """Fills an empty volume from rows sorted by first block.

        Leaves are filled to three quarters, so that few of them are split by later insertions.
        """
        step = LEAF_EXTENTS_MAX * 3 // 4
        for start in range(0, len(sorted_rows), step):
            leaf = sorted_rows.copy_rows(slice(start, start + step))
            self.leaves.append(leaf)
            self.index.append(leaf.first[0])
        self.count = len(sorted_rows)


def check_extent(extent: Extent) -> None:
    """Checks that an extent's numbers are in range.

    Raises:
        MapError: A number is out of range.
    """
    location = f"volume {extent.volume}, block {extent.first}"
    if extent.first < 0 or extent.length < 1 or extent.end >= BLOCK_LIMIT:
        raise MapError(f"{location}: a length of {extent.length} blocks is out of range")
    if not 0 <= extent.shard < SHARD_LIMIT or not 0 <= extent.version < BLOCK_LIMIT:
        raise MapError(f"{location}: shard {extent.shard} or version {extent.version} is out of range")


class MapBuilder:
    """Collects the extents of a complete map; it uses about as much memory as the finished map.

    Args:
        extents_max: The maximum number of extents; `add` rejects any further one.

    Attributes:
        count: The number of extents added so far.
    """

    def __init__(self, extents_max: int) -> None:
        self._extents_max, self.count = extents_max, 0
        self._volume_rows: dict[int, _Leaf] = {}
        self._unsorted_volumes: set[int] = set()  # volumes whose extents were not added in order

    def add(self, extent: Extent) -> None:
        """Adds an extent. The extents may be added in any order.

        Raises:
            MapError: A number is out of range, or there are too many extents.
        """
        check_extent(extent)
        self.count += 1
        if self.count > self._extents_max:
            raise MapError(f"more than {self._extents_max} extents")
        rows = self._volume_rows.setdefault(extent.volume, _Leaf())
        end = rows.first[-1] + rows.length[-1] if len(rows) else 0
        if extent.first != end:
            self._unsorted_volumes.add(extent.volume)
        rows.set_row(len(rows), extent, False)

    def volumes(self) -> dict[int, _Volume]:
        """Returns the finished volumes by their numbers, after all extents have been added.

        Raises:
            MapError: Two extents overlap, or blocks below the end of a volume are not covered.
        """
        volumes: dict[int, _Volume] = {}
        for number, added_rows in self._volume_rows.items():
            rows = added_rows
            if number in self._unsorted_volumes:
                rows, end = added_rows.sorted_copy(), 0
                for first, length in zip(rows.first, rows.length, strict=True):
                    _check_adjacent(number, end, first)
                    end = first + length
            volumes[number] = _Volume()
            volumes[number].fill(rows)
        return volumes


class ExtentMap:
    """This broker's copy of the extent map.

    A method that raises an error or rejects a change leaves the map unmodified.

    Args:
        extents_max: The maximum number of extents; a map with more extents is rejected.

    Attributes:
        version: The map's version; -1 until the first map is set.
    """

    def __init__(self, extents_max: int = 1_000_000) -> None:
        self.version = -1
        self._extents_max = extents_max
        self._volumes: dict[int, _Volume] = {}
        # By volume and first block: versions of extents that a refresh set ahead of the map's own version.
        self._refreshed_versions: dict[tuple[int, int], int] = {}

    def __len__(self) -> int:
        return sum(volume.count for volume in self._volumes.values())

    def __iter__(self) -> Iterator[Extent]:
        for number, volume in self._volumes.items():
            for leaf_index in range(len(volume.leaves)):
                for row_index in range(len(volume.leaves[leaf_index])):
                    yield volume.extent_at(number, leaf_index, row_index)

    def copy(self) -> ExtentMap:
        """Returns an independent copy. It copies whole arrays and builds no `Extent` objects."""
        duplicate = ExtentMap(self._extents_max)
        duplicate.version, duplicate._refreshed_versions = self.version, dict(self._refreshed_versions)
        duplicate._volumes = {number: volume.copy() for number, volume in self._volumes.items()}
        return duplicate

    def volumes(self) -> list[int]:
        """Returns the numbers of the volumes that have extents."""
        return list(self._volumes)

    def blocks(self, volume: int) -> int:
        """Returns the size of a volume in blocks; 0 if the volume is not in the map."""
        volume_extents = self._volumes.get(volume)
        return (
            volume_extents.extent_at(
                volume, len(volume_extents.leaves) - 1, len(volume_extents.leaves[-1]) - 1
            ).end
            if volume_extents
            else 0
        )

    def find(self, volume: int, block: int) -> Extent | None:
        """Returns the extent that contains a block; None if the block is not in the map."""
        volume_extents = self._volumes.get(volume)
        leaf_index, row_index = volume_extents.find_position(block) if volume_extents else (-1, -1)
        if volume_extents is None or row_index < 0:
            return None
        extent = volume_extents.extent_at(volume, leaf_index, row_index)
        return extent if block < extent.end else None

    def lookup(self, volume: int, first: int, length: int) -> list[Piece]:
        """Returns the pieces of a block range, in the order of their blocks.

        Args:
            volume: The LUN.
            first: The first block of the range.
            length: The number of blocks in the range.

        Raises:
            MapError: Some of the blocks are not in the map.
        """
        volume_extents, pieces, block, end = self._volumes.get(volume), list[Piece](), first, first + length
        position: tuple[int, int] | None = volume_extents.find_position(first) if volume_extents else None
        while block < end:
            if volume_extents is None or position is None or position[1] < 0:
                raise MapError(f"volume {volume}, block {block}: not in the map")
            extent = volume_extents.extent_at(volume, *position)
            piece_end = min(end, extent.end)
            if piece_end <= block:
                raise MapError(f"volume {volume}, block {block}: not in the map")
            pieces.append(Piece(volume, block, piece_end - block, extent.first, extent.shard, extent.version))
            block, position = piece_end, volume_extents.next_position(*position)
        return pieces

    def shards(self, volume: int) -> set[int]:
        """Returns all shards that store an extent of a volume."""
        volume_extents = self._volumes.get(volume)
        return {shard for leaf in volume_extents.leaves for shard in leaf.shard} if volume_extents else set()

    def replace_all(self, version: int, extents: Iterable[Extent]) -> None:
        """Replaces the whole map.

        The new map's version may be lower than the present one, because the source is authoritative.

        Args:
            version: The new map's version.
            extents: All extents of the new map, in any order.

        Raises:
            MapError: Extents overlap, blocks are not covered, a number is out of range, or there are too many
                extents.
        """
        builder = MapBuilder(self._extents_max)
        for extent in extents:
            builder.add(extent)
        self.replace_from(version, builder)

    def builder(self) -> MapBuilder:
        """Returns an empty builder for `replace_from`, with this map's maximum number of extents."""
        return MapBuilder(self._extents_max)

    def replace_from(self, version: int, builder: MapBuilder) -> None:
        """Replaces the whole map by the extents of a builder, which must not be used afterwards.

        Raises:
            MapError: Extents overlap, or blocks are not covered.
        """
        self._volumes, self.version, self._refreshed_versions = builder.volumes(), version, {}

    def apply(self, change: Change) -> tuple[ChangeResult, str]:
        """Applies a change.

        Returns:
            The result, and the reason why the change was not applied; the reason is empty if it was applied.
        """
        if change.version <= self.version:
            return ChangeResult.STALE, f"change to version {change.version}, the map is at {self.version}"
        if change.base != self.version:
            return ChangeResult.GAP, f"change based on version {change.base}, the map is at {self.version}"
        extents = tuple(extent for extent in change.extents if not self._is_superseded(extent))
        try:
            removed = self._extents_to_remove(change)
            for extent in extents:
                self._check_new_extent(extent)
            self._replace_extents(removed, extents)
        except MapError as error:
            return ChangeResult.BROKEN, str(error)
        self.version = change.version
        self._discard_refreshed_versions(change)
        return ChangeResult.APPLIED, ""

    def _extents_to_remove(self, change: Change) -> list[Extent]:
        """Returns the extents that a change removes; raises MapError if one of them is not in the map."""
        keys = dict.fromkeys(change.removed)
        removed = [extent for key in keys if (extent := self._extent_starting_at(*key)) is not None]
        if len(removed) != len(keys):
            raise MapError("the change removes an extent that is not in the map")
        return removed

    def _check_new_extent(self, extent: Extent) -> None:
        """Raises MapError if a number is out of range or the version is below that of the present extent."""
        check_extent(extent)
        current = self._extent_starting_at(extent.volume, extent.first)
        if current and current.version > extent.version:
            raise MapError(
                f"volume {extent.volume}, block {extent.first}: version {extent.version} "
                f"is lower than {current.version}"
            )

    def _replace_extents(self, removed: list[Extent], extents: tuple[Extent, ...]) -> None:
        """Removes and sets extents; if the result is invalid, restores the map and raises MapError."""
        previous_extents = {
            (extent.volume, extent.first): self._extent_starting_at(extent.volume, extent.first)
            for extent in extents
        }
        for extent in removed:
            previous_extents[extent.volume, extent.first] = extent
            self._remove_extent(extent.volume, extent.first)
        for extent in extents:
            self._volumes.setdefault(extent.volume, _Volume()).set_extent(extent)
        try:
            if len(self) > self._extents_max:
                raise MapError(f"more than {self._extents_max} extents")
            self._check_boundaries(previous_extents, extents)
        except MapError:
            self._restore(previous_extents)
            raise

    def _discard_refreshed_versions(self, change: Change) -> None:
        """Discards the versions that refreshes set early and that an applied change has now reached."""
        if not self._refreshed_versions:
            return
        for extent in change.extents:
            key = (extent.volume, extent.first)
            if self._refreshed_versions.get(key, extent.version + 1) <= extent.version:
                del self._refreshed_versions[key]

    def merge(self, extent: Extent) -> bool:
        """Sets one extent that a refresh has read, without changing the map's own version.

        The source delivers the change to this extent later. `apply` keeps the extent if it is newer than the
        one in that change.

        Returns:
            Whether the extent was set: it is newer than the map's extent of the same blocks.
        """
        current = self._extent_starting_at(extent.volume, extent.first)
        if current is None or current.length != extent.length or current.version >= extent.version:
            return False
        check_extent(extent)
        self._volumes[extent.volume].set_extent(extent)
        self._refreshed_versions[extent.volume, extent.first] = extent.version
        return True

    def _is_superseded(self, extent: Extent) -> bool:
        """Returns whether a refresh has already set a later version of the same blocks."""
        if self._refreshed_versions.get((extent.volume, extent.first), -1) <= extent.version:
            return False
        current = self._extent_starting_at(extent.volume, extent.first)
        return current is not None and current.length == extent.length

    def _extent_starting_at(self, volume: int, first: int) -> Extent | None:
        current = self.find(volume, first)
        return current if current and current.first == first else None

    def _remove_extent(self, volume: int, first: int) -> None:
        """Removes an extent, and its volume if no other extent is left."""
        if self._volumes[volume].remove_extent(first) and not self._volumes[volume].count:
            del self._volumes[volume]

    def _restore(self, previous_extents: dict[tuple[int, int], Extent | None]) -> None:
        """Undoes a change.

        Args:
            previous_extents: For each volume and first block that the change touched, the extent before the
                change; None if there was none.
        """
        for (number, first), _ in previous_extents.items():
            if number in self._volumes:
                self._remove_extent(number, first)
        for extent in previous_extents.values():
            if extent is not None:
                self._volumes.setdefault(extent.volume, _Volume()).set_extent(extent)

    def _check_boundaries(
        self, previous_extents: dict[tuple[int, int], Extent | None], new_extents: Iterable[Extent]
    ) -> None:
        """Checks that changed extents do not overlap their neighbours and leave no blocks uncovered.

        It checks only the boundaries that the change touches: the old and new start and end of each extent.

        Args:
            previous_extents: For each volume and first block that the change touched, the extent before the
                change.
            new_extents: The extents that the change has set.

        Raises:
            MapError: Extents overlap, or blocks are not covered.
        """
        boundaries = {(number, first) for number, first in previous_extents} | {
            (extent.volume, extent.end) for extent in new_extents
        }
        boundaries |= {
            (extent.volume, extent.end) for extent in previous_extents.values() if extent is not None
        }
        for number, block in boundaries:
            volume = self._volumes.get(number)
            if volume is None:
                continue
            leaf_index, row_index = volume.find_position(block)
            if row_index < 0:
                raise MapError(f"volume {number}, block 0: not covered by an extent")
            extent = volume.extent_at(number, leaf_index, row_index)
            position = volume.next_position(leaf_index, row_index)
            if position is not None:
                _check_adjacent(number, extent.end, volume.extent_at(number, *position).first)
            if leaf_index == 0 and row_index == 0:
                _check_adjacent(number, 0, extent.first)
            elif block == extent.first:
                previous_position = volume.find_position(block - 1)
                if previous_position[1] < 0:
                    raise MapError(f"volume {number}, block 0: not covered by an extent")
                _check_adjacent(number, volume.extent_at(number, *previous_position).end, extent.first)


def _check_adjacent(volume: int, end: int, first: int) -> None:
    """Raises MapError unless an extent that begins at `first` follows directly on one that ends at `end`."""
    if first > end:
        raise MapError(f"volume {volume}, block {end}: not covered by an extent")
    if first < end:
        raise MapError(f"volume {volume}, block {first}: extents overlap")
