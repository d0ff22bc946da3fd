"""The extent map: volume -> ordered extents, each with a shard and a version; one version for the whole.

A volume's extents stand in leaves of parallel arrays under one sorted index of first blocks (a B+-tree of two
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

LEAF = 512  # extents of a leaf, past which it is cut in two: memmove of 14 KiB against a longer index
BLOCKS_TOP, SHARD_TOP = 1 << 63, 1 << 31


class MapError(ValueError):
    """Extents that no map can hold; the text names the volume and the block."""


class ChangeResult(Enum):
    """How a change goes with the map that it is for."""

    APPLIED = "applied"
    STALE = "stale"  # at or below the map's version: repeated, or overtaken
    GAP = "gap"  # the version jumps: something before it was lost
    BROKEN = "broken"  # it would leave an overlap or a hole, or takes a version back


@dataclass(frozen=True, slots=True)
class Extent:
    """A run of blocks that lies whole on one shard; `version` rises with each hand-over."""

    volume: int
    first: int
    length: int
    shard: int
    version: int

    @property
    def end(self) -> int:
        return self.first + self.length


@dataclass(frozen=True, slots=True)
class Change:
    """What leads from the map's version `base` to `version`: extents that are set, and ones that are gone.

    A cut or a join of extents drops those that it replaces and sets the others in the same change.
    """

    base: int
    version: int
    extents: tuple[Extent, ...]
    dropped: tuple[tuple[int, int], ...] = ()  # (volume, first)


@dataclass(frozen=True, slots=True)
class Piece:
    """The part of a block range that lies in one extent, and what the map said of it."""

    volume: int
    first: int
    length: int
    extent: int  # the first block of its extent
    shard: int
    version: int


class _Leaf:
    """A run of neighbouring extents."""

    __slots__ = ("first", "length", "shard", "version")

    def __init__(self) -> None:
        self.first, self.length, self.version = array("q"), array("q"), array("q")
        self.shard = array("i")

    def __len__(self) -> int:
        return len(self.first)

    def put(self, at: int, extent: Extent, instead: bool) -> None:
        values = (extent.first, extent.length, extent.shard, extent.version)
        for column, value in zip((self.first, self.length, self.shard, self.version), values, strict=True):
            if instead:
                column[at] = value
            else:
                column.insert(at, value)

    def drop(self, at: int) -> None:
        for column in (self.first, self.length, self.shard, self.version):
            del column[at]

    def part(self, rows: slice) -> _Leaf:
        """A copy of some of its rows."""
        other = _Leaf()
        for name in self.__slots__:
            setattr(other, name, getattr(self, name)[rows])
        return other

    def cut(self) -> _Leaf:
        """Its second half, which leaves it."""
        half = len(self) // 2
        other = self.part(slice(half, None))
        for name in self.__slots__:
            del getattr(self, name)[half:]
        return other

    def ordered(self) -> _Leaf:
        """The same rows by their first block."""
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
        other = _Volume()
        other.index, other.count = self.index[:], self.count
        other.leaves = [leaf.part(slice(None)) for leaf in self.leaves]
        return other

    def find(self, block: int) -> tuple[int, int]:
        """The leaf and the place in it of the last extent that begins at or before `block`; (-1, -1) if
        none.
        """
        leaf = bisect_right(self.index, block) - 1
        return (leaf, bisect_right(self.leaves[leaf].first, block) - 1) if leaf >= 0 else (-1, -1)

    def at(self, volume: int, leaf: int, place: int) -> Extent:
        row = self.leaves[leaf]
        return Extent(volume, row.first[place], row.length[place], row.shard[place], row.version[place])

    def after(self, leaf: int, place: int) -> tuple[int, int] | None:
        if place + 1 < len(self.leaves[leaf]):
            return leaf, place + 1
        return (leaf + 1, 0) if leaf + 1 < len(self.leaves) else None

    def put(self, extent: Extent) -> None:
        leaf, place = self.find(extent.first)
        if leaf < 0:
            if not self.leaves:
                self.leaves.append(_Leaf())
                self.index.append(extent.first)
            leaf, place, self.index[0] = 0, -1, extent.first
        row = self.leaves[leaf]
        instead = place >= 0 and row.first[place] == extent.first
        row.put(place if instead else place + 1, extent, instead)
        self.count += not instead
        if len(row) > LEAF:
            other = row.cut()
            self.leaves.insert(leaf + 1, other)
            self.index.insert(leaf + 1, other.first[0])

    def drop(self, first: int) -> bool:
        leaf, place = self.find(first)
        if leaf < 0 or self.leaves[leaf].first[place] != first:
            return False
        self.leaves[leaf].drop(place)
        self.count -= 1
        if not len(self.leaves[leaf]):
            del self.leaves[leaf], self.index[leaf]
        else:
            self.index[leaf] = self.leaves[leaf].first[0]
        return True

    def fill(self, columns: _Leaf) -> None:
        """Take ordered extents into leaves that are three quarters full, so that the first cuts are far."""
        step = LEAF * 3 // 4
        for start in range(0, len(columns), step):
            leaf = columns.part(slice(start, start + step))
            self.leaves.append(leaf)
            self.index.append(leaf.first[0])
        self.count = len(columns)


def sane(extent: Extent) -> None:
    """Refuse an extent whose figures no map can hold."""
    where = f"volume {extent.volume}, block {extent.first}"
    if extent.first < 0 or extent.length < 1 or extent.end >= BLOCKS_TOP:
        raise MapError(f"{where}: {extent.length} blocks is no length")
    if not 0 <= extent.shard < SHARD_TOP or not 0 <= extent.version < BLOCKS_TOP:
        raise MapError(f"{where}: shard {extent.shard} or version {extent.version} is out of range")


class Builder:
    """Gathers a whole map, extent by extent, in the room that the map itself will take.

    Extents that come in order, as sources tell them, are checked as they come.
    """

    def __init__(self, extents_max: int) -> None:
        self._max, self.count = extents_max, 0
        self._columns: dict[int, _Leaf] = {}
        self._loose: set[int] = set()  # volumes whose extents did not come in order

    def add(self, extent: Extent) -> None:
        """MapError on figures that no map can hold, on one extent too many, and on an overlap or a hole."""
        sane(extent)
        self.count += 1
        if self.count > self._max:
            raise MapError(f"more than {self._max} extents")
        columns = self._columns.setdefault(extent.volume, _Leaf())
        end = columns.first[-1] + columns.length[-1] if len(columns) else 0
        if extent.first != end:
            self._loose.add(extent.volume)
        columns.put(len(columns), extent, False)

    def volumes(self) -> dict[int, _Volume]:
        """The volumes, once all is there; MapError on an overlap or a hole."""
        made: dict[int, _Volume] = {}
        for number, columns in self._columns.items():
            if number in self._loose:
                columns, end = columns.ordered(), 0
                for first, length in zip(columns.first, columns.length, strict=True):
                    _follows(number, end, first)
                    end = first + length
            made[number] = _Volume()
            made[number].fill(columns)
        return made


class ExtentMap:
    """The map as this broker holds it. Every method either does all that it says or nothing."""

    def __init__(self, extents_max: int = 1_000_000) -> None:
        self.version = -1  # no map yet
        self._max = extents_max
        self._volumes: dict[int, _Volume] = {}
        self._ahead: dict[tuple[int, int], int] = {}  # versions that a refresh brought before the changes

    def __len__(self) -> int:
        return sum(volume.count for volume in self._volumes.values())

    def __iter__(self) -> Iterator[Extent]:
        for number, volume in self._volumes.items():
            for leaf in range(len(volume.leaves)):
                for place in range(len(volume.leaves[leaf])):
                    yield volume.at(number, leaf, place)

    def copy(self) -> ExtentMap:
        """A map of its own with the same extents; the columns are copied, not the extents one by one."""
        other = ExtentMap(self._max)
        other.version, other._ahead = self.version, dict(self._ahead)
        other._volumes = {number: volume.copy() for number, volume in self._volumes.items()}
        return other

    def volumes(self) -> list[int]:
        return list(self._volumes)

    def blocks(self, volume: int) -> int:
        """The size of a volume; 0 if the map has none of it."""
        held = self._volumes.get(volume)
        return held.at(volume, len(held.leaves) - 1, len(held.leaves[-1]) - 1).end if held else 0

    def find(self, volume: int, block: int) -> Extent | None:
        """The extent that holds a block."""
        held = self._volumes.get(volume)
        leaf, place = held.find(block) if held else (-1, -1)
        if held is None or place < 0:
            return None
        extent = held.at(volume, leaf, place)
        return extent if block < extent.end else None

    def lookup(self, volume: int, first: int, length: int) -> list[Piece]:
        """The pieces of a block range in order; MapError if the map does not hold all of it."""
        held, pieces, block, end = self._volumes.get(volume), list[Piece](), first, first + length
        spot: tuple[int, int] | None = held.find(first) if held else None
        while block < end:
            if held is None or spot is None or spot[1] < 0:
                raise MapError(f"volume {volume}, block {block}: not in the map")
            extent = held.at(volume, *spot)
            until = min(end, extent.end)
            if until <= block:
                raise MapError(f"volume {volume}, block {block}: not in the map")
            pieces.append(Piece(volume, block, until - block, extent.first, extent.shard, extent.version))
            block, spot = until, held.after(*spot)
        return pieces

    def shards(self, volume: int) -> set[int]:
        """Every shard that holds an extent of the volume."""
        held = self._volumes.get(volume)
        return {shard for leaf in held.leaves for shard in leaf.shard} if held else set()

    def whole(self, version: int, extents: Iterable[Extent]) -> None:
        """Take a whole map in one step; MapError, and nothing changed, on an overlap or a hole.

        A whole map goes before what is held even where its version is lower: the source alone says what
        holds.
        """
        builder = Builder(self._max)
        for extent in extents:
            builder.add(extent)
        self.take(version, builder)

    def builder(self) -> Builder:
        """Gathers what `take` takes, under this map's bound."""
        return Builder(self._max)

    def take(self, version: int, builder: Builder) -> None:
        """The same from a builder, which is not used again."""
        self._volumes, self.version, self._ahead = builder.volumes(), version, {}

    def apply(self, change: Change) -> tuple[ChangeResult, str]:
        """Take a change, or say why not; the text tells what does not fit."""
        if change.version <= self.version:
            return ChangeResult.STALE, f"version {change.version} at {self.version}"
        if change.base != self.version:
            return ChangeResult.GAP, f"version {change.base} is wanted, {self.version} is held"
        extents = tuple(extent for extent in change.extents if not self._overtaken(extent))
        gone = dict.fromkeys(change.dropped)
        dropped = [extent for volume, first in gone if (extent := self._exactly(volume, first)) is not None]
        try:
            if len(dropped) != len(gone):
                raise MapError("an extent that is not held is dropped")
            for extent in extents:
                sane(extent)
                held = self._exactly(extent.volume, extent.first)
                if held and held.version > extent.version:
                    raise MapError(
                        f"volume {extent.volume}, block {extent.first}: version {extent.version} "
                        f"after {held.version}"
                    )
        except MapError as error:
            return ChangeResult.BROKEN, str(error)
        before = {(row.volume, row.first): self._exactly(row.volume, row.first) for row in extents}
        for extent in dropped:
            before[extent.volume, extent.first] = extent
            self._drop(extent.volume, extent.first)
        for extent in extents:
            self._volumes.setdefault(extent.volume, _Volume()).put(extent)
        try:
            if len(self) > self._max:
                raise MapError(f"more than {self._max} extents")
            self._check(before, extents)
        except MapError as error:
            self._restore(before)
            return ChangeResult.BROKEN, str(error)
        self.version = change.version
        if self._ahead:
            for extent in change.extents:
                if self._ahead.get((extent.volume, extent.first), extent.version + 1) <= extent.version:
                    del self._ahead[extent.volume, extent.first]
        return ChangeResult.APPLIED, ""

    def merge(self, extent: Extent) -> bool:
        """Take what one refreshed read says of an extent, if it is newer; the map's own version stays.

        The change that set it comes again by the source in its turn, and is then no news for the extent.
        """
        held = self._exactly(extent.volume, extent.first)
        if held is None or held.length != extent.length or held.version >= extent.version:
            return False
        sane(extent)
        self._volumes[extent.volume].put(extent)
        self._ahead[extent.volume, extent.first] = extent.version
        return True

    def _overtaken(self, extent: Extent) -> bool:
        """A refresh has brought a later version of this very extent already."""
        if self._ahead.get((extent.volume, extent.first), -1) <= extent.version:
            return False
        held = self._exactly(extent.volume, extent.first)
        return held is not None and held.length == extent.length

    def _exactly(self, volume: int, first: int) -> Extent | None:
        held = self.find(volume, first)
        return held if held and held.first == first else None

    def _drop(self, volume: int, first: int) -> None:
        if self._volumes[volume].drop(first) and not self._volumes[volume].count:
            del self._volumes[volume]

    def _restore(self, before: dict[tuple[int, int], Extent | None]) -> None:
        """Undo a change that does not fit."""
        for (number, first), _ in before.items():
            if number in self._volumes:
                self._drop(number, first)
        for extent in before.values():
            if extent is not None:
                self._volumes.setdefault(extent.volume, _Volume()).put(extent)

    def _check(self, before: dict[tuple[int, int], Extent | None], put: Iterable[Extent]) -> None:
        """The neighbours of all that was touched join on to each other."""
        spots = {(number, first) for number, first in before} | {(row.volume, row.end) for row in put}
        spots |= {(row.volume, row.end) for row in before.values() if row is not None}
        for number, block in spots:
            volume = self._volumes.get(number)
            if volume is None:
                continue
            leaf, place = volume.find(block)
            if place < 0:
                raise MapError(f"volume {number}, block 0: a hole")
            one = volume.at(number, leaf, place)
            spot = volume.after(leaf, place)
            if spot is not None:
                _follows(number, one.end, volume.at(number, *spot).first)
            if leaf == 0 and place == 0:
                _follows(number, 0, one.first)
            elif block == one.first:
                back = volume.find(block - 1)
                if back[1] < 0:
                    raise MapError(f"volume {number}, block 0: a hole")
                _follows(number, volume.at(number, *back).end, one.first)


def _follows(volume: int, end: int, first: int) -> None:
    if first > end:
        raise MapError(f"volume {volume}, block {end}: a hole")
    if first < end:
        raise MapError(f"volume {volume}, block {first}: an overlap")
