"""Caches the extent map on disk in an LMDB environment (py-lmdb: one writer, atomic transactions).

Each extent is one record with the key (volume, first block) and the value (length, shard, version); all
numbers are big-endian. The record `meta` stores the map's version, the time of the last write, the number of
records and a checksum: the exclusive or of the XXH64 hashes of all records. A change updates the checksum
from the records that it changes. A missing, duplicate or altered record is detected at the next start.

A cached map serves no writes before the source has confirmed it, and is not used at all beyond its maximum
age. The age is the greater of two values: the age by the wall clock and, if the machine has not been rebooted
since, the age by the time since boot. A wall clock that is set back therefore does not make an old map look
newer.
"""

from __future__ import annotations

import logging
import os
import struct
import time
import uuid
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TypeVar

import lmdb
import xxhash

from lemonridge.extents.errors import MapCacheError, MapError
from lemonridge.extents.extent_map import Change, Extent, ExtentMap

Argument = TypeVar("Argument")
log = logging.getLogger(__name__)

# Limit of changes waiting to be written. Beyond it, nothing is cached until the next complete map.
PENDING_CHANGES_MAX = 1024
RECORD_KEY = struct.Struct(">IQ")  # volume, first block
RECORD_VALUE = struct.Struct(">QIQ")  # length in blocks, shard, version
# Version, time of writing (us), number of records, checksum, time since boot (us), boot id.
META_VALUE = struct.Struct(">qQQQQ16s")
BOOT_FILE = "/proc/sys/kernel/random/boot_id"  # changes with each boot (proc(5))
UNKNOWN_BOOT_ID = bytes(16)
META_KEY = b"\xffmeta"  # sorts after every extent's key, as volumes are below 2^14


def _boot_id() -> bytes:
    """Returns the id of the machine's current boot; `UNKNOWN_BOOT_ID` if it cannot be read."""
    try:
        with open(BOOT_FILE) as file:
            return uuid.UUID(file.read().strip()).bytes
    except (OSError, ValueError):
        return UNKNOWN_BOOT_ID


def _since_boot_us() -> int:
    """Returns the time since boot in microseconds, including time in suspend."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def _hash(key: bytes, value: bytes) -> int:
    """Returns the XXH64 hash of a record."""
    return int(xxhash.xxh64_intdigest(key + value))


class MapCache:
    """Writes the extent map to disk, and reads it when the broker starts.

    A corrupt environment is renamed to `data.mdb.spoilt`, and a new one is created.

    Args:
        path: The directory of the environment.
        size_bytes: The maximum size of the environment.

    Raises:
        MapCacheError: The environment cannot be opened.
    """

    def __init__(self, path: str, size_bytes: int) -> None:
        try:
            self._environment = self._open(path, size_bytes)
        except (lmdb.InvalidError, lmdb.CorruptedError, lmdb.VersionMismatchError) as error:
            log.error("cached map corrupt", extra={"path": path, "error": str(error)})
            os.replace(os.path.join(path, "data.mdb"), os.path.join(path, "data.mdb.spoilt"))
            self._environment = self._open(path, size_bytes)
        except lmdb.Error as error:
            raise MapCacheError(str(error)) from None
        self._checksum, self._count, self._stopped = 0, 0, False

    @staticmethod
    def _open(path: str, size_bytes: int) -> lmdb.Environment:
        return lmdb.open(path, map_size=size_bytes, subdir=True, max_dbs=0, mode=0o600, metasync=False)

    def load(self, age_max_us: int) -> tuple[int, list[Extent]]:
        """Reads the cached map.

        Args:
            age_max_us: The maximum age of the map.

        Returns:
            The map's version and its extents.

        Raises:
            MapCacheError: No map is cached, or the cached map is damaged or too old.
        """
        with self._environment.begin() as transaction:
            meta = transaction.get(META_KEY)
            if meta is None or len(meta) != META_VALUE.size:
                raise MapCacheError("no map is cached")
            version, written_us, count, expected_checksum, since_boot_us, boot_id = META_VALUE.unpack(meta)
            checksum, extents = 0, list[Extent]()
            for key, value in transaction.cursor():
                if key == META_KEY:
                    continue
                if len(key) != RECORD_KEY.size or len(value) != RECORD_VALUE.size:
                    raise MapCacheError("a record has the wrong length")
                checksum ^= _hash(key, value)
                volume, first = RECORD_KEY.unpack(key)
                length, shard, extent_version = RECORD_VALUE.unpack(value)
                extents.append(Extent(volume, first, length, shard, extent_version))
        if checksum != expected_checksum or len(extents) != count:
            raise MapCacheError("the checksum does not match")
        ages_us = [time.time_ns() // 1000 - written_us]
        if boot_id == _boot_id() != UNKNOWN_BOOT_ID:
            ages_us.append(_since_boot_us() - since_boot_us)
        if min(ages_us) < 0 or max(ages_us) > age_max_us:
            raise MapCacheError("the cached map is too old")
        self._checksum, self._count = checksum, count
        return version, extents

    def save_map(self, extent_map: ExtentMap) -> None:
        """Replaces the cached map; an error is logged."""
        self._stopped = False
        try:
            with self._environment.begin(write=True) as transaction:
                transaction.drop(self._environment.open_db(None, txn=transaction), delete=False)
                self._checksum = self._count = 0
                for extent in extent_map:
                    self._put_record(transaction, extent)
                self._put_meta(transaction, extent_map.version)
        except (lmdb.Error, MapError) as error:
            self._stop_saving(error)

    def save_change(self, change: Change) -> None:
        """Updates the cached map by a change; an error is logged."""
        if self._stopped:
            return
        previous_state = self._checksum, self._count
        try:
            with self._environment.begin(write=True) as transaction:
                for volume, first in change.removed:
                    self._delete_record(transaction, RECORD_KEY.pack(volume, first))
                for extent in change.extents:
                    self._put_record(transaction, extent)
                self._put_meta(transaction, change.version)
        except lmdb.Error as error:
            self._checksum, self._count = previous_state
            self._stop_saving(error)

    def close(self) -> None:
        """Closes the environment."""
        self._environment.close()

    def _stop_saving(self, error: Exception) -> None:
        """Logs an error and stops writing changes until the next complete map.

        A full disk must not stop the broker. The cached map stays unchanged, with its time of writing.
        """
        self._stopped = True
        log.error("map not cached", extra={"error": str(error)})

    def _put_record(self, transaction: lmdb.Transaction, extent: Extent) -> None:
        """Writes the record of an extent, and updates the checksum and the count."""
        key = RECORD_KEY.pack(extent.volume, extent.first)
        self._delete_record(transaction, key)
        value = RECORD_VALUE.pack(extent.length, extent.shard, extent.version)
        transaction.put(key, value)
        self._checksum ^= _hash(key, value)
        self._count += 1

    def _delete_record(self, transaction: lmdb.Transaction, key: bytes) -> None:
        """Deletes a record if it exists, and updates the checksum and the count."""
        old_value = transaction.pop(key)
        if old_value is not None:
            self._checksum ^= _hash(key, bytes(old_value))
            self._count -= 1

    def _put_meta(self, transaction: lmdb.Transaction, version: int) -> None:
        written_us = time.time_ns() // 1000
        transaction.put(
            META_KEY,
            META_VALUE.pack(version, written_us, self._count, self._checksum, _since_boot_us(), _boot_id()),
        )


class BackgroundMapWriter:
    """Writes to a map cache in a separate thread, so that the event loop never waits for the disk.

    Args:
        cache: The cache. From now on, only the writer's thread may use it.
    """

    def __init__(self, cache: MapCache) -> None:
        self._cache, self._pending, self._overflowed = cache, 0, False
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="map-cache")

    def save_map(self, extent_map: ExtentMap) -> None:
        """Queues a copy of the current map to replace the cached one."""
        self._overflowed = False
        self._submit(self._cache.save_map, extent_map.copy())

    def save_change(self, change: Change) -> None:
        """Queues a change.

        If `PENDING_CHANGES_MAX` changes are waiting already, this change and all later ones are dropped until
        the next complete map.
        """
        if self._pending >= PENDING_CHANGES_MAX and not self._overflowed:
            self._overflowed = True
            log.error(
                "map not cached", extra={"error": f"{PENDING_CHANGES_MAX} changes are waiting to be written"}
            )
        if not self._overflowed:
            self._submit(self._cache.save_change, change)

    def close(self) -> None:
        """Writes the queued changes and closes the cache. Blocks until this is done."""
        self._submit(lambda _: self._cache.close(), None)
        self._thread.shutdown(wait=True)

    def _submit(self, task: Callable[[Argument], None], argument: Argument) -> None:
        self._pending += 1
        self._thread.submit(task, argument).add_done_callback(self._on_done)

    def _on_done(self, future: Future[None]) -> None:
        self._pending -= 1
        if not future.cancelled() and (error := future.exception()) is not None:
            log.error("map not cached", extra={"error": f"{type(error).__name__}: {error}"})
