"""The map in etcd: its keys, and what a range or a watch of them says.

Below the prefix stand `extents/LUN/FIRST` (decimal, FIRST with 20 digits so that keys sort by block), each
`{"blocks":N,"shard":S,"version":V}`, and `map` with `{"version":N}`. Whoever moves an extent writes its key
and `map`, one higher, in one transaction (etcd v3 API, KV.Txn). So a whole range has one version, the events
of one revision are one change, and a version that jumps shows that something was lost on the way.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Sequence

import aiohttp
import msgspec

from lemonridge.coordination.errors import OutOfStepError
from lemonridge.coordination.etcd_client import FAILURES, EtcdClient, Event
from lemonridge.extents.errors import MapError, MapRecordError
from lemonridge.extents.extent_map import Change, ChangeResult, Extent
from lemonridge.extents.router import Router
from lemonridge.net.watch_stream import open_session

log = logging.getLogger(__name__)

CONFIRM_S = 1.0  # between two looks at the map's version
HEAD, KIND = "map/version", "map/extents/"
_SPOT = re.compile(r"map/extents/[0-9]{1,5}/[0-9]{20}")


class Row(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The value of an extent's key."""

    blocks: int
    shard: int
    version: int


class Head(msgspec.Struct, frozen=True):
    """The value of `map/version`."""

    version: int


def key_of(volume: int, first: int) -> str:
    return f"{KIND}{volume}/{first:020d}"


def spot_of(key: str) -> tuple[int, int]:
    """Volume and first block of an extent's key."""
    volume, _, first = key.removeprefix(KIND).partition("/")
    if not _SPOT.fullmatch(key):
        raise MapRecordError(f"{key}: not map/extents/LUN/FIRST with 20 digits")
    return int(volume), int(first)


def extent_of(key: str, value: bytes) -> Extent:
    volume, first = spot_of(key)
    try:
        row = msgspec.json.decode(value, type=Row)
    except msgspec.DecodeError as error:
        raise MapRecordError(f"{key}: {error}") from None
    return Extent(volume, first, row.blocks, row.shard, row.version)


def head_of(value: bytes) -> int:
    try:
        return msgspec.json.decode(value, type=Head).version
    except msgspec.DecodeError as error:
        raise MapRecordError(f"{HEAD}: {error}") from None


class MapFeed:
    """Feeds the router with what etcd says of the map."""

    KIND = "map/"

    def __init__(self, router: Router, luns: frozenset[int]) -> None:
        self._router, self._luns = router, luns
        self._freshness = FreshnessCheck()
        self.begin_snapshot()

    def begin_snapshot(self) -> None:
        """A range of the whole map begins."""
        self._builder, self._version = self._router.map.builder(), -1

    def add_page(self, rows: Sequence[Event]) -> None:
        try:
            for row in rows:
                if row.key == HEAD and row.value is not None:
                    self._version = head_of(row.value)
                elif row.key.startswith(KIND) and row.value is not None:
                    extent = extent_of(row.key, row.value)
                    if extent.volume in self._luns:
                        self._builder.add(extent)
        except MapError as error:
            self._router.refused(self._version, error)
            raise

    def finish_snapshot(self) -> None:
        """All of it is there, as of one revision."""
        if self._version < 0:
            raise MapRecordError("there is no map")
        if not self._router.take(self._version, self._builder):
            raise MapRecordError("there is no map that can be used")
        self.begin_snapshot()  # the gathered columns are not kept a second time

    def apply_changes(self, events: Sequence[Event]) -> None:
        """The events of a watch, revision by revision, each one change."""
        groups: dict[int, list[Event]] = {}
        for event in events:
            groups.setdefault(event.revision, []).append(event)
        for group in groups.values():
            try:
                fit = self._router.change(self._change(group))
            except MapRecordError as error:
                log.error("change refused", extra={"error": str(error)})
                self._router.counters["map.malformed"] += 1
                raise OutOfStepError from None
            if fit not in (ChangeResult.APPLIED, ChangeResult.STALE):
                raise OutOfStepError

    async def run_during_watch(self, etcd: EtcdClient, http: aiohttp.ClientSession) -> None:
        """Ask for the map's version again and again: etcd answers with the newest that it has agreed on.

        That confirms the map, and shows a watch that has lost something.
        """
        while True:
            try:
                rows = await etcd.get(http, [HEAD])
                head = head_of(rows[0].value) if rows and rows[0].value is not None else -1
                good, lost = self._freshness.told(head, self._router.map.version)
                if good:
                    self._router.confirm()
                if lost:
                    raise OutOfStepError
            except FAILURES as error:
                self._router.counters["etcd.unconfirmed"] += 1
                log.info("map not confirmed", extra={"error": f"{type(error).__name__}: {error}"})
            await asyncio.sleep(CONFIRM_S)

    def _change(self, group: list[Event]) -> Change:
        version = -1
        extents, removed = list[Extent](), list[tuple[int, int]]()
        for event in group:
            if event.key == HEAD:
                if event.value is None:
                    raise MapRecordError(f"{HEAD}: deleted")
                version = head_of(event.value)
            elif event.value is not None:
                extents.append(extent_of(event.key, event.value))
            else:
                removed.append(spot_of(event.key))
        if version < 0:
            raise MapRecordError(f"revision {group[0].revision} changes extents without the map's version")
        return Change(
            version - 1,
            version,
            tuple(one for one in extents if one.volume in self._luns),
            tuple(one for one in removed if one[0] in self._luns),
        )


class Refresher:
    """Reads single extents for the router, by a connection of its own."""

    def __init__(self, etcd: EtcdClient) -> None:
        self._etcd = etcd
        self._http: aiohttp.ClientSession | None = None

    async def read(self, spots: tuple[tuple[int, int], ...]) -> list[Extent]:
        """The extents that begin there, all as of one moment; ones that are gone are left out."""
        if self._http is None:
            self._http = open_session()
        rows = await self._etcd.get(self._http, [key_of(*spot) for spot in spots])
        return [extent_of(row.key, row.value) for row in rows if row.value is not None]

    async def close(self) -> None:
        if self._http is not None:
            await self._http.close()


class FreshnessCheck:
    """Judges by the source's own word whether the map that is held is its newest. Pure.

    Each time the source tells its version, a map at that version or past it is confirmed. One that is behind
    may be on its way; if it still is when the source tells the same again, the watch has lost it.
    """

    def __init__(self) -> None:
        self._behind = -1

    def told(self, head: int, held: int) -> tuple[bool, bool]:
        """Whether the map is confirmed, and whether the whole map must be read again."""
        if held >= head:
            self._behind = -1
            return True, False
        lost = self._behind >= 0 and held < self._behind
        self._behind = -1 if lost else head
        return False, lost
