"""The extent map in etcd: the format of its keys and values, and the updates from ranges and watches.

Keys below the operator's prefix:

- `map/extents/LUN/FIRST` has the value `{"blocks":N,"shard":S,"version":V}`. LUN and FIRST are decimal; FIRST
  has 20 digits, so that keys sort by block.
- `map/version` has the value `{"version":N}`.

A program that moves an extent writes the extent's key and increments `map/version` by one in the same
transaction (etcd v3 API, KV.Txn). Therefore a range read at one revision has one map version, the events of
one revision are one change, and a version that increases by more than one shows that a change was missed.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Sequence
from enum import Enum

import msgspec

from lemonridge.etcd.client import EtcdClient
from lemonridge.etcd.errors import MissedChangeError
from lemonridge.etcd.events import Event
from lemonridge.extents.errors import MapError, MapRecordError
from lemonridge.extents.extent_map import Change, ChangeResult, Extent
from lemonridge.extents.refresh import ExtentKey
from lemonridge.extents.router import Router
from lemonridge.net.deadline_session import DeadlineSession

log = logging.getLogger(__name__)

VERSION_KEY = "map/version"
EXTENTS_PREFIX = "map/extents/"
_EXTENT_KEY = re.compile(r"map/extents/[0-9]{1,5}/[0-9]{20}")


class ExtentRecord(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The value of an extent's key. The field names are the JSON keys."""

    blocks: int
    shard: int
    version: int


class VersionRecord(msgspec.Struct, frozen=True):
    """The value of `map/version`. The field name is the JSON key."""

    version: int


def extent_key(volume: int, first: int) -> str:
    """Returns the key of the extent of a volume that begins at block `first`."""
    return f"{EXTENTS_PREFIX}{volume}/{first:020d}"


def parse_extent_key(key: str) -> tuple[int, int]:
    """Returns the volume and the first block that an extent's key contains.

    Raises:
        MapRecordError: The key is malformed.
    """
    volume, _, first = key.removeprefix(EXTENTS_PREFIX).partition("/")
    if not _EXTENT_KEY.fullmatch(key):
        raise MapRecordError(f"{key}: not map/extents/LUN/FIRST with 20 digits")
    return int(volume), int(first)


def parse_extent(key: str, value: bytes) -> Extent:
    """Returns the extent that a key and its value describe.

    Raises:
        MapRecordError: The key or the value is malformed.
    """
    volume, first = parse_extent_key(key)
    try:
        record = msgspec.json.decode(value, type=ExtentRecord)
    except msgspec.DecodeError as error:
        raise MapRecordError(f"{key}: {error}") from None
    return Extent(volume, first, record.blocks, record.shard, record.version)


def parse_version(value: bytes) -> int:
    """Returns the map's version from the value of `map/version`.

    Raises:
        MapRecordError: The value is malformed.
    """
    try:
        return msgspec.json.decode(value, type=VersionRecord).version
    except msgspec.DecodeError as error:
        raise MapRecordError(f"{VERSION_KEY}: {error}") from None


class MapFeed:
    """Updates the router's map from etcd; implements `etcd.follower.Feed`.

    Args:
        router: The owner of the map.
        luns: The LUNs to include; extents of other LUNs are ignored.
    """

    KIND = "map/"

    def __init__(self, router: Router, luns: frozenset[int]) -> None:
        self._router, self._luns = router, luns
        self._freshness_check = FreshnessCheck()
        self.begin_snapshot()

    def begin_snapshot(self) -> None:
        """Begins to collect the pages of a complete map."""
        self._builder, self._version = self._router.map.builder(), -1

    def add_page(self, rows: Sequence[Event]) -> None:
        """Adds one page of the complete map.

        Args:
            rows: The keys and values of the page.

        Raises:
            MapRecordError: A key or value is malformed.
            MapError: An extent's numbers are out of range, or there are too many extents.
        """
        try:
            for event in rows:
                if event.key == VERSION_KEY and event.value is not None:
                    self._version = parse_version(event.value)
                elif event.key.startswith(EXTENTS_PREFIX) and event.value is not None:
                    extent = parse_extent(event.key, event.value)
                    if extent.volume in self._luns:
                        self._builder.add(extent)
        except MapError as error:
            self._router.reject_map(self._version, error)
            raise

    def finish_snapshot(self) -> None:
        """Replaces the router's map by the content of the pages, which all have the same revision.

        Raises:
            MapRecordError: The map's version is missing, or the extents overlap or leave uncovered blocks.
        """
        if self._version < 0:
            raise MapRecordError("the key map/version is missing")
        if not self._router.replace_map_from(self._version, self._builder):
            raise MapRecordError("the map in etcd is malformed")
        self.begin_snapshot()  # frees the builder's copy

    def apply_changes(self, events: Sequence[Event]) -> None:
        """Applies the events of a watch; the events of one revision form one change.

        Raises:
            MissedChangeError: A change was missed or is invalid: the complete map must be read again.
        """
        events_by_revision: dict[int, list[Event]] = {}
        for event in events:
            events_by_revision.setdefault(event.revision, []).append(event)
        for revision_events in events_by_revision.values():
            try:
                result = self._router.apply_change(self._parse_change(revision_events))
            except MapRecordError as error:
                log.error("map change rejected", extra={"error": str(error)})
                self._router.counters["map.malformed"] += 1
                raise MissedChangeError from None
            if result not in (ChangeResult.APPLIED, ChangeResult.STALE):
                raise MissedChangeError

    async def confirm(self, etcd: EtcdClient, http: DeadlineSession) -> None:
        """Compares the map's version with the one in etcd, to confirm the map; see `Feed`.

        Raises:
            MissedChangeError: The watch missed a change: the complete map must be read again.
        """
        events = await etcd.get(http, [VERSION_KEY])
        newest_version = parse_version(events[0].value) if events and events[0].value is not None else -1
        freshness = self._freshness_check.check(newest_version, self._router.map.version)
        if freshness is Freshness.CONFIRMED:
            self._router.confirm()
        if freshness is Freshness.CHANGE_MISSED:
            raise MissedChangeError

    def _parse_change(self, revision_events: list[Event]) -> Change:
        """Returns the change that the events of one revision form.

        Raises:
            MapRecordError: A key or value is malformed, or the map's version is missing or deleted.
        """
        version = -1
        extents, removed = list[Extent](), list[tuple[int, int]]()
        for event in revision_events:
            if event.key == VERSION_KEY:
                if event.value is None:
                    raise MapRecordError(f"{VERSION_KEY}: deleted")
                version = parse_version(event.value)
            elif event.value is not None:
                extents.append(parse_extent(event.key, event.value))
            else:
                removed.append(parse_extent_key(event.key))
        if version < 0:
            raise MapRecordError(
                f"revision {revision_events[0].revision} changes extents but not the map's version"
            )
        return Change(
            version - 1,
            version,
            tuple(extent for extent in extents if extent.volume in self._luns),
            tuple(key for key in removed if key[0] in self._luns),
        )


class Refresher:
    """Reads single extents from etcd, over an HTTP session of its own.

    Args:
        etcd: The client of etcd.
    """

    def __init__(self, etcd: EtcdClient) -> None:
        self._etcd = etcd
        self._http: DeadlineSession | None = None

    async def read(self, keys: tuple[ExtentKey, ...]) -> list[Extent]:
        """Reads extents, all at the same revision.

        Args:
            keys: The volume and first block of each extent.

        Returns:
            The extents; those that do not exist are omitted.

        Raises:
            MapRecordError: A key or value is malformed.
        """
        if self._http is None:
            self._http = DeadlineSession()
        events = await self._etcd.get(self._http, [extent_key(*key) for key in keys])
        return [parse_extent(event.key, event.value) for event in events if event.value is not None]

    async def close(self) -> None:
        """Closes the HTTP session, if one was opened."""
        if self._http is not None:
            await self._http.close()


class Freshness(Enum):
    """The result of comparing the map's version with the source's newest version."""

    CONFIRMED = "confirmed"  # the map has the newest version
    BEHIND = "behind"  # the map lacks a change that the watch may still deliver
    CHANGE_MISSED = "change-missed"  # the watch missed a change: the complete map must be read again


class FreshnessCheck:
    """Compares the map's version with the source's newest version at each poll. It performs no I/O.

    If the map is behind, the watch may still be delivering the change. If the map has not reached that
    version by the next poll, the watch has missed the change.
    """

    def __init__(self) -> None:
        self._awaited_version = -1  # the newest version at the last poll if the map was behind it, else -1

    def check(self, newest_version: int, map_version: int) -> Freshness:
        """Compares the source's newest version with the map's version at a poll."""
        if map_version >= newest_version:
            self._awaited_version = -1
            return Freshness.CONFIRMED
        if self._awaited_version >= 0 and map_version < self._awaited_version:
            self._awaited_version = -1
            return Freshness.CHANGE_MISSED
        self._awaited_version = newest_version
        return Freshness.BEHIND
