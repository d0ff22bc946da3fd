"""The map in a file of the operator's: `{"version":N,"extents":[[lun,first,blocks,shard,version],...]}`.

The operator replaces it in one step (write a new file, then rename it); it is polled twice a second.
"""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import msgspec

from lemonridge.extents.extent_map import Extent
from lemonridge.extents.refresh import ExtentKey
from lemonridge.extents.router import Router

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5


class MapFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The file's content. The names of the fields are the file's keys."""

    version: int
    extents: list[tuple[int, int, int, int, int]]


class FileSource:
    """Keeps the router's map equal to the file.

    Args:
        path: The file.
        router: Owner of the map.
        luns: Extents of other LUNs are left out.
    """

    def __init__(self, path: str, router: Router, luns: frozenset[int]) -> None:
        self._path, self._router, self._luns = Path(path), router, luns
        self._loaded: tuple[int, int, int] | None = None  # inode, modification time in ns, bytes

    async def run(self) -> None:
        """Polls the file; never returns."""
        while True:
            self.poll()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def read(self, keys: tuple[ExtentKey, ...]) -> list[Extent]:
        """Refreshes single extents: polls the file now; extents that are not in the map are left out."""
        self.poll()
        found = (self._router.map.find(*key) for key in keys)
        return [extent for extent in found if extent is not None]

    def poll(self) -> None:
        """Loads the file if it has changed; a file that cannot be read leaves the map as it is."""
        try:
            stat = self._path.stat()
            identity = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
            if identity == self._loaded:
                self._router.confirm()
                return
            content = msgspec.json.decode(self._path.read_bytes(), type=MapFile)
        except (OSError, msgspec.DecodeError) as error:
            self._router.counters["map.malformed"] += 1
            log.error("map file not read", extra={"path": str(self._path), "error": str(error)})
            return
        if content.version < self._router.map.version and self._loaded is not None:
            log.warning(
                "map file is older",
                extra={"version": content.version, "map_version": self._router.map.version},
            )
            return
        extents = (Extent(*row) for row in content.extents if row[0] in self._luns)
        if self._router.replace_map(content.version, extents):
            self._loaded = identity
