"""The map in etcd: its keys and values, and the updates by a range or a watch of them.

Below the operator's prefix are `map/extents/LUN/FIRST` (decimal, FIRST with 20 digits so that keys sort by
block), each `{"blocks":N,"shard":S,"version":V}`, and `map/version` with `{"version":N}`. Whoever moves an
extent writes its key and `map/version`, one higher, in one transaction (etcd v3 API, KV.Txn). So a range read
at one revision has one version, the events of one revision are one change, and a version that jumps shows
that a change was lost.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Sequence
from enum import Enum

import aiohttp
import msgspec

from lemonridge.coordination.errors import MissedChangeError
from lemonridge.coordination.etcd_client import RETRYABLE_ERRORS, EtcdClient, Event
from lemonridge.extents.errors import MapError, MapRecordError
from lemonridge.extents.extent_map import Change, ChangeResult, Extent
from lemonridge.extents.refresh import ExtentKey
from lemonridge.extents.router import Router
from lemonridge.net.watch_stream import open_session

log = logging.getLogger(__name__)

CONFIRM_INTERVAL_S = 1.0  # between two reads of the map's version
VERSION_KEY = "map/version"
EXTENTS_PREFIX = "map/extents/"
_EXTENT_KEY = re.compile(r"map/extents/[0-9]{1,5}/[0-9]{20}")


class ExtentRecord(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The value of an extent's key. The names of the fields are its JSON keys."""

    blocks: int
    shard: int
    version: int


class VersionRecord(msgspec.Struct, frozen=True):
    """The value of `map/version`. The name of the field is its JSON key."""

    version: int


def extent_key(volume: int, first: int) -> str:
    """The key of the extent of a volume that begins at block `first`."""
    return f"{EXTENTS_PREFIX}{volume}/{first:020d}"


def parse_extent_key(key: str) -> tuple[int, int]:
    """Volume and first block of an extent's key.

    Raises:
        MapRecordError: The key is malformed.
    """
    volume, _, first = key.removeprefix(EXTENTS_PREFIX).partition("/")
    if not _EXTENT_KEY.fullmatch(key):
        raise MapRecordError(f"{key}: not map/extents/LUN/FIRST with 20 digits")
    return int(volume), int(first)


def parse_extent(key: str, value: bytes) -> Extent:
    """The extent of a key and its value.

    Raises:
        MapRecordError: The key or the value is malformed.
    """
    volume, first = parse_extent_key(key)
    try:
        row = msgspec.json.decode(value, type=ExtentRecord)
    except msgspec.DecodeError as error:
        raise MapRecordError(f"{key}: {error}") from None
    return Extent(volume, first, row.blocks, row.shard, row.version)


def parse_version(value: bytes) -> int:
    """The map's version in the value of `map/version`.

    Raises:
        MapRecordError: The value is malformed.
    """
    try:
        return msgspec.json.decode(value, type=VersionRecord).version
    except msgspec.DecodeError as error:
        raise MapRecordError(f"{VERSION_KEY}: {error}") from None


class MapFeed:
    """Updates the router's map from etcd; implements `etcd_follower.Feed`.

    Args:
        router: Owner of the map.
        luns: Extents of other LUNs are left out.
    """

    KIND = "map/"

    def __init__(self, router: Router, luns: frozenset[int]) -> None:
        self._router, self._luns = router, luns
        self._freshness = FreshnessCheck()
        self.begin_snapshot()

    def begin_snapshot(self) -> None:
        """Begins a read of the complete map."""
        self._builder, self._version = self._router.map.builder(), -1

    def add_page(self, rows: Sequence[Event]) -> None:
        """Adds one page of the complete map.

        Raises:
            MapRecordError: A key or value is malformed.
            MapError: An extent's numbers are out of range, or there are too many extents.
        """
        try:
            for row in rows:
                if row.key == VERSION_KEY and row.value is not None:
                    self._version = parse_version(row.value)
                elif row.key.startswith(EXTENTS_PREFIX) and row.value is not None:
                    extent = parse_extent(row.key, row.value)
                    if extent.volume in self._luns:
                        self._builder.add(extent)
        except MapError as error:
            self._router.reject_map(self._version, error)
            raise

    def finish_snapshot(self) -> None:
        """Replaces the router's map by the pages, which are of one revision.

        Raises:
            MapRecordError: The map's version is missing, or the extents do not make a map.
        """
        if self._version < 0:
            raise MapRecordError("there is no map")
        if not self._router.replace_map_from(self._version, self._builder):
            raise MapRecordError("there is no map that can be used")
        self.begin_snapshot()  # frees the builder's copy

    def apply_changes(self, events: Sequence[Event]) -> None:
        """Applies the events of a watch; those of one revision are one change.

        Raises:
            MissedChangeError: The complete map must be read again.
        """
        groups: dict[int, list[Event]] = {}
        for event in events:
            groups.setdefault(event.revision, []).append(event)
        for group in groups.values():
            try:
                result = self._router.apply_change(self._change(group))
            except MapRecordError as error:
                log.error("map change rejected", extra={"error": str(error)})
                self._router.counters["map.malformed"] += 1
                raise MissedChangeError from None
            if result not in (ChangeResult.APPLIED, ChangeResult.STALE):
                raise MissedChangeError

    async def run_during_watch(self, etcd: EtcdClient, http: aiohttp.ClientSession) -> None:
        """Polls the map's version, which etcd answers with the newest that its members agreed on.

        This confirms the map and detects a watch that has lost a change.

        Raises:
            MissedChangeError: The complete map must be read again.
        """
        while True:
            try:
                rows = await etcd.get(http, [VERSION_KEY])
                newest = parse_version(rows[0].value) if rows and rows[0].value is not None else -1
                freshness = self._freshness.check(newest, self._router.map.version)
                if freshness is Freshness.CONFIRMED:
                    self._router.confirm()
                if freshness is Freshness.CHANGE_MISSED:
                    raise MissedChangeError
            except RETRYABLE_ERRORS as error:
                self._router.counters["etcd.unconfirmed"] += 1
                log.info("map not confirmed", extra={"error": f"{type(error).__name__}: {error}"})
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    def _change(self, group: list[Event]) -> Change:
        """The change that the events of one revision make; MapRecordError where they make none."""
        version = -1
        extents, removed = list[Extent](), list[tuple[int, int]]()
        for event in group:
            if event.key == VERSION_KEY:
                if event.value is None:
                    raise MapRecordError(f"{VERSION_KEY}: deleted")
                version = parse_version(event.value)
            elif event.value is not None:
                extents.append(parse_extent(event.key, event.value))
            else:
                removed.append(parse_extent_key(event.key))
        if version < 0:
            raise MapRecordError(f"revision {group[0].revision} changes extents without the map's version")
        return Change(
            version - 1,
            version,
            tuple(extent for extent in extents if extent.volume in self._luns),
            tuple(key for key in removed if key[0] in self._luns),
        )


class Refresher:
    """Reads single extents from etcd by a connection of its own.

    Args:
        etcd: The client.
    """

    def __init__(self, etcd: EtcdClient) -> None:
        self._etcd = etcd
        self._http: aiohttp.ClientSession | None = None

    async def read(self, keys: tuple[ExtentKey, ...]) -> list[Extent]:
        """The extents of these keys, all of one revision; those that do not exist are left out.

        Raises:
            MapRecordError: A key or value is malformed.
        """
        if self._http is None:
            self._http = open_session()
        rows = await self._etcd.get(self._http, [extent_key(*key) for key in keys])
        return [parse_extent(row.key, row.value) for row in rows if row.value is not None]

    async def close(self) -> None:
        """Closes the connection."""
        if self._http is not None:
            await self._http.close()


class Freshness(Enum):
    """How the map compares with the source's newest version."""

    CONFIRMED = "confirmed"  # it is the newest
    BEHIND = "behind"  # a change is missing, which the watch may still deliver
    CHANGE_MISSED = "change-missed"  # the watch did not deliver it: the complete map must be read again


class FreshnessCheck:
    """Compares the map's version with the one that the source reports, poll by poll. Pure.

    A map that is behind may have its change in delivery; if it has not reached that version by the next poll,
    the watch has lost the change.
    """

    def __init__(self) -> None:
        self._version_awaited = -1  # the newest version at the last poll, where the map was behind

    def check(self, newest: int, map_version: int) -> Freshness:
        """Compares the source's newest version with the map's."""
        if map_version >= newest:
            self._version_awaited = -1
            return Freshness.CONFIRMED
        if self._version_awaited >= 0 and map_version < self._version_awaited:
            self._version_awaited = -1
            return Freshness.CHANGE_MISSED
        self._version_awaited = newest
        return Freshness.BEHIND
