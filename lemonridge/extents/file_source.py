"""Reads the extent map from a file of the operator.

The file contains `{"version":N,"extents":[[lun,first,blocks,shard,version],...]}`. The operator replaces it
atomically: write a new file, then rename it. The file is polled twice a second.
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
    """The content of the file. The field names are the JSON keys."""

    version: int
    extents: list[tuple[int, int, int, int, int]]


class FileSource:
    """Updates the router's map from the file.

    Args:
        path: The path of the file.
        router: The owner of the map.
        luns: The LUNs to include; extents of other LUNs are ignored.
    """

    def __init__(self, path: str, router: Router, luns: frozenset[int]) -> None:
        self._path, self._router, self._luns = Path(path), router, luns
        # Inode, modification time (ns) and size (bytes) of the file that was loaded last.
        self._loaded_identity: tuple[int, int, int] | None = None

    async def run(self) -> None:
        """Polls the file. Never returns."""
        while True:
            self.poll()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def read(self, keys: tuple[ExtentKey, ...]) -> list[Extent]:
        """Polls the file at once and returns single extents of the map.

        Args:
            keys: The volume and first block of each extent.

        Returns:
            The extents; those that are not in the map are omitted.
        """
        self.poll()
        extents = (self._router.map.find(*key) for key in keys)
        return [extent for extent in extents if extent is not None]

    def poll(self) -> None:
        """Loads the file if it has changed; otherwise confirms the map.

        The present map stays in use if the file cannot be read or is malformed, or if a file has been loaded
        before and the new version is lower than the map's.
        """
        try:
            stat = self._path.stat()
            identity = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
            if identity == self._loaded_identity:
                self._router.confirm()
                return
            content = msgspec.json.decode(self._path.read_bytes(), type=MapFile)
        except (OSError, msgspec.DecodeError) as error:
            self._router.counters["map.malformed"] += 1
            log.error("map file not read", extra={"path": str(self._path), "error": str(error)})
            return
        if content.version < self._router.map.version and self._loaded_identity is not None:
            log.warning(
                "map file is older",
                extra={"version": content.version, "map_version": self._router.map.version},
            )
            return
        extents = (Extent(*row) for row in content.extents if row[0] in self._luns)
        if self._router.replace_map(content.version, extents):
            self._loaded_identity = identity
