"""The extent map cached on disk, in an LMDB environment (py-lmdb: one writer, atomic transactions).

One record an extent: key (volume, first block) big-endian, value (length, shard, version). The record `meta`
has the map's version, the time of the last write and the exclusive-or of the XXH64 of every record, which a
change updates from the records that it changes: a missing, duplicate or altered record is detected at the
next start. A cached map serves no writes before the source has confirmed it, and nothing past its maximum
age. The age is the greater of two: by the wall clock and, within one boot of the machine, by the time since
the boot, so that a wall clock that is stepped back does not make an old map newer.
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

PENDING_CHANGES_MAX = 1024  # that wait for the disk; past it nothing is cached until the next complete map
RECORD_KEY = struct.Struct(">IQ")  # volume, first block
RECORD_VALUE = struct.Struct(">QIQ")  # length in blocks, shard, version
META_VALUE = struct.Struct(">qQQQQ16s")  # version, written us, records, checksum, us since boot, boot id
BOOT_FILE = "/proc/sys/kernel/random/boot_id"  # another value after each boot (proc(5))
UNKNOWN_BOOT_ID = bytes(16)
META_KEY = b"\xffmeta"  # sorts after every extent's key, as volumes are below 2^14


def _boot_id() -> bytes:
    """The id of the machine's present boot; `UNKNOWN_BOOT_ID` where it cannot be read."""
    try:
        with open(BOOT_FILE) as file:
            return uuid.UUID(file.read().strip()).bytes
    except (OSError, ValueError):
        return UNKNOWN_BOOT_ID


def _since_boot_us() -> int:
    """Microseconds since the boot, including suspend."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def _hash(key: bytes, value: bytes) -> int:
    return int(xxhash.xxh64_intdigest(key + value))


class MapCache:
    """Writes the map to disk and reads it at the start.

    A corrupt environment is moved aside, to `data.mdb.spoilt`, and a new one begun.

    Args:
        path: Directory of the environment.
        size_bytes: Size limit of the environment.

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
        """The cached map's version and extents.

        Args:
            age_max_us: An older map is an error.

        Raises:
            MapCacheError: There is no map, it is damaged or too old.
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
                    raise MapCacheError("a record is damaged")
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
            raise MapCacheError("it is too old")
        self._checksum, self._count = checksum, count
        return version, extents

    def save_map(self, extent_map: ExtentMap) -> None:
        """Replaces the cached map."""
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
        """Writes the records that a change sets or removes."""
        if self._stopped:
            return
        before = self._checksum, self._count
        try:
            with self._environment.begin(write=True) as transaction:
                for volume, first in change.removed:
                    self._drop_record(transaction, RECORD_KEY.pack(volume, first))
                for extent in change.extents:
                    self._put_record(transaction, extent)
                self._put_meta(transaction, change.version)
        except lmdb.Error as error:
            self._checksum, self._count = before
            self._stop_saving(error)

    def close(self) -> None:
        """Closes the environment."""
        self._environment.close()

    def _stop_saving(self, error: Exception) -> None:
        """Stops writing until the next complete map, as a full disk must not stop the broker.

        The cached map stays as it was, with its time of writing.
        """
        self._stopped = True
        log.error("map not cached", extra={"error": str(error)})

    def _put_record(self, transaction: lmdb.Transaction, extent: Extent) -> None:
        key = RECORD_KEY.pack(extent.volume, extent.first)
        self._drop_record(transaction, key)
        value = RECORD_VALUE.pack(extent.length, extent.shard, extent.version)
        transaction.put(key, value)
        self._checksum ^= _hash(key, value)
        self._count += 1

    def _drop_record(self, transaction: lmdb.Transaction, key: bytes) -> None:
        old = transaction.pop(key)
        if old is not None:
            self._checksum ^= _hash(key, bytes(old))
            self._count -= 1

    def _put_meta(self, transaction: lmdb.Transaction, version: int) -> None:
        written_us = time.time_ns() // 1000
        transaction.put(
            META_KEY,
            META_VALUE.pack(version, written_us, self._count, self._checksum, _since_boot_us(), _boot_id()),
        )


class BackgroundMapWriter:
    """Writes a map cache in a thread of its own, so that the event loop never waits for the disk.

    Args:
        cache: The cache; used by the thread alone from here on.
    """

    def __init__(self, cache: MapCache) -> None:
        self._cache, self._pending, self._overflowed = cache, 0, False
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="map-cache")

    def save_map(self, extent_map: ExtentMap) -> None:
        """Writes a copy of the map as it is now."""
        self._overflowed = False
        self._submit(self._cache.save_map, extent_map.copy())

    def save_change(self, change: Change) -> None:
        """Writes a change; with `PENDING_CHANGES_MAX` waiting, nothing until the next complete map."""
        if self._pending >= PENDING_CHANGES_MAX and not self._overflowed:
            self._overflowed = True
            log.error("map not cached", extra={"error": f"{PENDING_CHANGES_MAX} changes wait for the disk"})
        if not self._overflowed:
            self._submit(self._cache.save_change, change)

    def close(self) -> None:
        """Writes what waits, and closes the cache."""
        self._submit(lambda _: self._cache.close(), None)
        self._thread.shutdown(wait=True)

    def _submit(self, work: Callable[[Argument], None], argument: Argument) -> None:
        self._pending += 1
        self._thread.submit(work, argument).add_done_callback(self._on_done)

    def _on_done(self, future: Future[None]) -> None:
        self._pending -= 1
        if not future.cancelled() and (error := future.exception()) is not None:
            log.error("map not cached", extra={"error": f"{type(error).__name__}: {error}"})
