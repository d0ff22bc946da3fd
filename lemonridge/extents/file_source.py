"""The map in a file of the operator's: `{"version":N,"extents":[[lun,first,blocks,shard,version],...]}`.

It is replaced whole (write beside it, then rename) and looked at twice a second.
"""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import msgspec

from lemonridge.extents.extent_map import Extent
from lemonridge.extents.router import Router

log = logging.getLogger(__name__)

LOOK_S = 0.5


class MapFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What the file holds."""

    version: int
    extents: list[tuple[int, int, int, int, int]]


class FileSource:
    """Keeps the router in step with the file; `run` never returns."""

    def __init__(self, path: str, router: Router, luns: frozenset[int]) -> None:
        self._path, self._router, self._luns = Path(path), router, luns
        self._seen: tuple[int, int, int] | None = None

    async def run(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(LOOK_S)

    async def read(self, spots: tuple[tuple[int, int], ...]) -> list[Extent]:
        """A refresh: the file is all that there is, so it is looked at now."""
        self.look()
        found = (self._router.map.find(*spot) for spot in spots)
        return [extent for extent in found if extent is not None]

    def look(self) -> None:
        """Take the file if it is another than the last; what cannot be read changes nothing."""
        try:
            stat = self._path.stat()
            seen = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
            if seen == self._seen:
                self._router.confirm()
                return
            told = msgspec.json.decode(self._path.read_bytes(), type=MapFile)
        except (OSError, msgspec.DecodeError) as error:
            self._router.counters["map.malformed"] += 1
            log.error("map file not read", extra={"path": str(self._path), "error": str(error)})
            return
        if told.version < self._router.map.version and self._seen is not None:
            log.warning(
                "map file is older", extra={"version": told.version, "held": self._router.map.version}
            )
            return
        if self._router.whole(told.version, (Extent(*row) for row in told.extents if row[0] in self._luns)):
            self._seen = seen
