"""Pins the formats of the extent map byte for byte: the cache on disk, the records in etcd, the map file.

The formats are literals; the decoded extents are compared as plain numbers.
"""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager
from pathlib import Path
from unittest import mock

import lmdb
import msgspec

from lemonridge.extents import etcd_source, map_cache
from lemonridge.extents.errors import MapCacheError, MapRecordError
from lemonridge.extents.extent_map import Change, Extent, ExtentMap
from lemonridge.extents.file_source import MapFile
from lemonridge.extents.map_cache import MapCache

WRITTEN_NS = 1_700_000_000_123_456_000
BOOT_ID, SINCE_BOOT_US = bytes(range(16)), 777
ANY_AGE_US = 1 << 60


def build_map() -> ExtentMap:
    """Builds version 42: two volumes, whose extents have numbers that need the high bytes of their fields."""
    extent_map = ExtentMap(10)
    extent_map.replace_all(
        42, [Extent(1, 0, 8, 3, 2), Extent(1, 8, 1 << 33, 4, 1 << 40), Extent(258, 0, 16, 0, 1)]
    )
    return extent_map


def build_change() -> Change:
    """Builds the change to version 43: one extent moves to another shard, and a volume is removed."""
    return Change(42, 43, (Extent(1, 0, 8, 5, 3),), ((258, 0),))


def extent_numbers(extent: Extent) -> tuple[int, int, int, int, int]:
    """Returns volume, first block, number of blocks, shard and version."""
    return extent.volume, extent.first, extent.length, extent.shard, extent.version


@contextmanager
def clocks_at(boot: bytes, since_boot_us: int, wall_ns: int) -> Iterator[None]:
    """Patches the boot id, the time since boot and the wall clock that the map cache reads."""
    with (
        mock.patch.object(map_cache, "_boot_id", return_value=boot),
        mock.patch.object(map_cache, "_since_boot_us", return_value=since_boot_us),
        mock.patch("time.time_ns", return_value=wall_ns),
    ):
        yield


# Key: volume (4 bytes), first block (8). Value: number of blocks (8), shard (4), version (8).
# Value of the key ff "meta": version (8), time of writing in us (8), number of extents (8), checksum (8),
# time since boot in us (8), boot id (16). All numbers are big-endian.
RECORDS_42 = [
    ("000000010000000000000000", "0000000000000008000000030000000000000002"),
    ("000000010000000000000008", "0000000200000000000000040000010000000000"),
    ("000001020000000000000000", "0000000000000010000000000000000000000001"),
    (
        "ff6d657461",
        "000000000000002a"
        "00060a2418202240"
        "0000000000000003"
        "46f65ba96506da49"
        "0000000000000309"
        "000102030405060708090a0b0c0d0e0f",
    ),
]
RECORDS_43 = [
    ("000000010000000000000000", "0000000000000008000000050000000000000003"),
    ("000000010000000000000008", "0000000200000000000000040000010000000000"),
    (
        "ff6d657461",
        "000000000000002b"
        "00060a2418202240"
        "0000000000000002"
        "8a8accc92a0c96d9"
        "0000000000000309"
        "000102030405060708090a0b0c0d0e0f",
    ),
]


class MapCacheFormatTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = str(Path(folder.name) / "map")

    def write_with_cache(self, *operations: Callable[[MapCache], None]) -> None:
        """Lets a cache write at the fixed time."""
        with clocks_at(BOOT_ID, SINCE_BOOT_US, WRITTEN_NS):
            cache = MapCache(self.path, 1 << 20)
            for operation in operations:
                operation(cache)
            cache.close()

    def read_records(self) -> list[tuple[str, str]]:
        """Returns the keys and values in the cache's database, in hexadecimal."""
        with lmdb.open(self.path, readonly=True) as environment, environment.begin() as transaction:
            return [(bytes(key).hex(), bytes(value).hex()) for key, value in transaction.cursor()]

    def write_records(self, records: list[tuple[str, str]]) -> None:
        """Writes records as an earlier version stored them: in the main database of an environment folder."""
        with (
            lmdb.open(self.path, map_size=1 << 20, subdir=True) as environment,
            environment.begin(write=True) as transaction,
        ):
            for key, value in records:
                transaction.put(bytes.fromhex(key), bytes.fromhex(value))

    def load(self, age_us: int = ANY_AGE_US) -> tuple[int, list[tuple[int, int, int, int, int]]]:
        """Loads a map that is at most `age_us` old; returns its version and the numbers of its extents."""
        with closing(MapCache(self.path, 1 << 20)) as cache:
            version, extents = cache.load(age_us)
        return version, [extent_numbers(extent) for extent in extents]

    def test_complete_map_is_written_as_recorded(self) -> None:
        self.write_with_cache(lambda cache: cache.save_map(build_map()))
        self.assertEqual(self.read_records(), RECORDS_42)

    def test_change_is_written_as_recorded(self) -> None:
        self.write_with_cache(
            lambda cache: cache.save_map(build_map()), lambda cache: cache.save_change(build_change())
        )
        self.assertEqual(self.read_records(), RECORDS_43)

    def test_recorded_map_is_loaded(self) -> None:
        self.write_records(RECORDS_42)
        with clocks_at(BOOT_ID, SINCE_BOOT_US, WRITTEN_NS):
            loaded = self.load()
        self.assertEqual(
            loaded, (42, [(1, 0, 8, 3, 2), (1, 8, 8589934592, 4, 1099511627776), (258, 0, 16, 0, 1)])
        )

    def test_change_is_added_to_recorded_map(self) -> None:
        self.write_records(RECORDS_42)
        self.write_with_cache(
            lambda cache: cache.load(ANY_AGE_US), lambda cache: cache.save_change(build_change())
        )
        self.assertEqual(self.read_records(), RECORDS_43)

    def test_age_after_reboot_is_measured_by_wall_clock_in_microseconds(self) -> None:
        self.write_records(RECORDS_43)
        with clocks_at(bytes(16), 0, WRITTEN_NS + 5_000):
            self.assertEqual(self.load(5)[0], 43)
            self.assertRaisesRegex(MapCacheError, "too old", self.load, 4)

    def test_age_without_reboot_is_measured_by_time_since_boot_in_microseconds(self) -> None:
        self.write_records(RECORDS_43)
        with clocks_at(BOOT_ID, SINCE_BOOT_US + 5, WRITTEN_NS):
            self.assertEqual(self.load(5)[0], 43)
            self.assertRaisesRegex(MapCacheError, "too old", self.load, 4)

    def test_wrong_checksum_is_rejected(self) -> None:
        self.write_records([RECORDS_42[0], RECORDS_42[3]])
        with clocks_at(BOOT_ID, SINCE_BOOT_US, WRITTEN_NS):
            self.assertRaisesRegex(MapCacheError, "the checksum does not match", self.load)


class EtcdExtentRecordsTest(unittest.TestCase):
    """The keys below the operator's prefix, and their values."""

    def test_keys_are_unchanged(self) -> None:
        self.assertEqual(etcd_source.extent_key(7, 4096), "map/extents/7/00000000000000004096")
        self.assertEqual(
            (etcd_source.VERSION_KEY, etcd_source.EXTENTS_PREFIX, etcd_source.MapFeed.KIND),
            ("map/version", "map/extents/", "map/"),
        )

    def test_extent_record_is_decoded(self) -> None:
        # The keys in the value are the field names of `ExtentRecord`; renaming a field needs `rename=`.
        extent = etcd_source.parse_extent(
            "map/extents/7/00000000000000004096", b'{"blocks":8,"shard":3,"version":2}'
        )
        self.assertEqual(extent_numbers(extent), (7, 4096, 8, 3, 2))

    def test_version_record_is_decoded(self) -> None:
        # The key is the field name of `VersionRecord`; renaming the field needs `rename=`. Further keys are
        # allowed.
        self.assertEqual(etcd_source.parse_version(b'{"version":42}'), 42)
        self.assertEqual(etcd_source.parse_version(b'{"version":42,"by":"a tool"}'), 42)

    def test_malformed_record_is_named(self) -> None:
        key = "map/extents/7/00000000000000004096"
        for call, message in (
            (
                lambda: etcd_source.parse_extent(key, b'{"blocks":8,"shard":3,"version":2,"odd":1}'),
                f"{key}: Object contains unknown field `odd`",
            ),
            (
                lambda: etcd_source.parse_extent(key, b'{"blocks":8,"shard":3}'),
                f"{key}: Object missing required field `version`",
            ),
            (
                lambda: etcd_source.parse_extent("map/extents/7/4096", b"{}"),
                "map/extents/7/4096: not map/extents/LUN/FIRST with 20 digits",
            ),
            (
                lambda: etcd_source.parse_version(b"{}"),
                "map/version: Object missing required field `version`",
            ),
        ):
            with self.subTest(message=message), self.assertRaises(MapRecordError) as caught:
                call()
            self.assertEqual(str(caught.exception), message)


class MapFileFormatTest(unittest.TestCase):
    """The operator's file with the map."""

    TEXT = b'{"version":42,"extents":[[7,0,4096,1,9],[7,4096,8,3,2]]}'

    def test_map_file_is_decoded(self) -> None:
        # Both keys are field names of `MapFile`; renaming a field needs `rename=`.
        map_file = msgspec.json.decode(self.TEXT, type=MapFile)
        self.assertEqual(map_file.version, 42)
        self.assertEqual(
            [extent_numbers(Extent(*entry)) for entry in map_file.extents],
            [(7, 0, 4096, 1, 9), (7, 4096, 8, 3, 2)],
        )

    def test_unknown_key_is_rejected(self) -> None:
        with self.assertRaisesRegex(msgspec.ValidationError, "unknown field `odd`"):
            msgspec.json.decode(b'{"version":42,"extents":[],"odd":1}', type=MapFile)
