"""The last map on disk, in an LMDB environment of its own (py-lmdb: one writer, atomic transactions).

A record an extent: key (volume, first) big-endian, value (length, shard, version). The record `meta` holds
the map's version, when it was last written and the exclusive-or of the XXH64 of every record, which a change
updates by what it touches alone: a lost, doubled or altered record shows at the next start. What is found is
never trusted for writes before the source has confirmed it, and not at all past its greatest age. That age is
the greater one of two clocks, the wall clock and, within one boot of the machine, the time since the boot: a
wall clock that is stepped back makes no old map young.
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

T = TypeVar("T")
log = logging.getLogger(__name__)

PENDING_MAX = 1024  # changes that wait for the disk; past it nothing is kept until the next whole map
KEY, VALUE, META = struct.Struct(">IQ"), struct.Struct(">QIQ"), struct.Struct(">qQQQQ16s")
BOOT_FILE = "/proc/sys/kernel/random/boot_id"  # another value after each boot (proc(5))
NO_BOOT = bytes(16)
NAME = b"\xffmeta"  # behind every extent's key, as volumes are below 2^14


def _boot() -> bytes:
    """The machine's boot, which the time since it belongs to; `NO_BOOT` where it cannot be told."""
    try:
        with open(BOOT_FILE) as file:
            return uuid.UUID(file.read().strip()).bytes
    except (OSError, ValueError):
        return NO_BOOT


def _since_boot_us() -> int:
    """Microseconds since the boot, also those in which the machine slept."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def _hash(key: bytes, value: bytes) -> int:
    return int(xxhash.xxh64_intdigest(key + value))


class MapCache:
    """Writes the map behind the program, and reads it at the start."""

    def __init__(self, path: str, size: int) -> None:
        try:
            self._store = self._open(path, size)
        except (lmdb.InvalidError, lmdb.CorruptedError, lmdb.VersionMismatchError) as error:
            # Spoilt beyond reading: put aside for whoever looks into it, and begun anew.
            log.error("kept map spoilt", extra={"path": path, "error": str(error)})
            os.replace(os.path.join(path, "data.mdb"), os.path.join(path, "data.mdb.spoilt"))
            self._store = self._open(path, size)
        except lmdb.Error as error:
            raise MapCacheError(str(error)) from None
        self._sum, self._count, self._broken = 0, 0, False

    @staticmethod
    def _open(path: str, size: int) -> lmdb.Environment:
        return lmdb.open(path, map_size=size, subdir=True, max_dbs=0, mode=0o600, metasync=False)

    def load(self, age_us: int) -> tuple[int, list[Extent]]:
        """The kept map's version and extents; MapCacheError if there is none, it is damaged or too old."""
        with self._store.begin() as reading:
            meta = reading.get(NAME)
            if meta is None or len(meta) != META.size:
                raise MapCacheError("no map is kept")
            version, written_us, count, total, since_boot_us, boot = META.unpack(meta)
            found, extents = 0, list[Extent]()
            for key, value in reading.cursor():
                if key == NAME:
                    continue
                if len(key) != KEY.size or len(value) != VALUE.size:
                    raise MapCacheError("a record is damaged")
                found ^= _hash(key, value)
                volume, first = KEY.unpack(key)
                length, shard, record = VALUE.unpack(value)
                extents.append(Extent(volume, first, length, shard, record))
        if found != total or len(extents) != count:
            raise MapCacheError("the checksum does not fit")
        ages_us = [time.time_ns() // 1000 - written_us]
        if boot == _boot() != NO_BOOT:
            ages_us.append(_since_boot_us() - since_boot_us)
        if min(ages_us) < 0 or max(ages_us) > age_us:
            raise MapCacheError("it is too old")
        self._sum, self._count = found, count
        return version, extents

    def whole(self, held: ExtentMap) -> None:
        """Keep a whole map instead of what is kept."""
        self._broken = False
        try:
            with self._store.begin(write=True) as writing:
                writing.drop(self._store.open_db(None, txn=writing), delete=False)
                self._sum = self._count = 0
                for extent in held:
                    self._put(writing, extent)
                self._seal(writing, held.version)
        except (lmdb.Error, MapError) as error:
            self._fail(error)

    def change(self, change: Change) -> None:
        """Keep what a change touched."""
        if self._broken:
            return
        before = self._sum, self._count
        try:
            with self._store.begin(write=True) as writing:
                for volume, first in change.removed:
                    self._drop(writing, KEY.pack(volume, first))
                for extent in change.extents:
                    self._put(writing, extent)
                self._seal(writing, change.version)
        except lmdb.Error as error:
            self._sum, self._count = before
            self._fail(error)

    def close(self) -> None:
        self._store.close()

    def _fail(self, error: Exception) -> None:
        """A full disk or a full map must not stop the broker: nothing more is kept until a whole map comes,
        and what is there is as old as it says.
        """
        self._broken = True
        log.error("map not kept", extra={"error": str(error)})

    def _put(self, writing: lmdb.Transaction, extent: Extent) -> None:
        key = KEY.pack(extent.volume, extent.first)
        self._drop(writing, key)
        value = VALUE.pack(extent.length, extent.shard, extent.version)
        writing.put(key, value)
        self._sum ^= _hash(key, value)
        self._count += 1

    def _drop(self, writing: lmdb.Transaction, key: bytes) -> None:
        old = writing.pop(key)
        if old is not None:
            self._sum ^= _hash(key, bytes(old))
            self._count -= 1

    def _seal(self, writing: lmdb.Transaction, version: int) -> None:
        written_us = time.time_ns() // 1000
        writing.put(NAME, META.pack(version, written_us, self._count, self._sum, _since_boot_us(), _boot()))


class Background:
    """A keeper behind a thread of its own: the disk's time is not the event loop's."""

    def __init__(self, keeper: MapCache) -> None:
        self._keeper, self._pending, self._lost = keeper, 0, False
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="keep")

    def whole(self, held: ExtentMap) -> None:
        """Keep the map as it is at this moment, from a copy of it."""
        self._lost = False
        self._submit(self._keeper.whole, held.copy())

    def change(self, change: Change) -> None:
        if self._pending >= PENDING_MAX and not self._lost:
            self._lost = True
            log.error("map not kept", extra={"error": f"{PENDING_MAX} changes wait for the disk"})
        if not self._lost:
            self._submit(self._keeper.change, change)

    def close(self) -> None:
        """Write what waits, and close."""
        self._submit(lambda _: self._keeper.close(), None)
        self._thread.shutdown(wait=True)

    def _submit(self, work: Callable[[T], None], what: T) -> None:
        self._pending += 1
        self._thread.submit(work, what).add_done_callback(self._done)

    def _done(self, future: Future[None]) -> None:
        self._pending -= 1
        if not future.cancelled() and (error := future.exception()) is not None:
            log.error("map not kept", extra={"error": f"{type(error).__name__}: {error}"})
