"""The map of extents where it is kept and where it comes from, byte by byte: the disk, etcd, a file.

Only literals stand on the side of the format; what the program makes of them is compared as plain numbers.
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
BOOT, SINCE_BOOT_US = bytes(range(16)), 777
ANY_AGE_US = 1 << 60


def held() -> ExtentMap:
    """Version 42: two volumes, with figures that need all of their bytes."""
    made = ExtentMap(10)
    made.replace_all(42, [Extent(1, 0, 8, 3, 2), Extent(1, 8, 1 << 33, 4, 1 << 40), Extent(258, 0, 16, 0, 1)])
    return made


def move() -> Change:
    """Version 43: one extent is handed over, a volume is gone."""
    return Change(42, 43, (Extent(1, 0, 8, 5, 3),), ((258, 0),))


def figures(extent: Extent) -> tuple[int, int, int, int, int]:
    """Volume, first block, blocks, shard and version."""
    return extent.volume, extent.first, extent.length, extent.shard, extent.version


@contextmanager
def at(boot: bytes, since_boot_us: int, wall_ns: int) -> Iterator[None]:
    """At a moment of both clocks."""
    with (
        mock.patch.object(map_cache, "_boot_id", return_value=boot),
        mock.patch.object(map_cache, "_since_boot_us", return_value=since_boot_us),
        mock.patch("time.time_ns", return_value=wall_ns),
    ):
        yield


# Key: volume (4 bytes), first block (8). Value: blocks (8), shard (4), version (8). All big-endian.
# Under ff "meta": version (8), written in us (8), count (8), checksum (8), us since the boot (8), boot (16).
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


class OnDisk(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = str(Path(folder.name) / "map")

    def keep(self, *works: Callable[[MapCache], None]) -> None:
        """Let a cache write."""
        with at(BOOT, SINCE_BOOT_US, WRITTEN_NS):
            cache = MapCache(self.path, 1 << 20)
            for work in works:
                work(cache)
            cache.close()

    def records(self) -> list[tuple[str, str]]:
        with lmdb.open(self.path, readonly=True) as store, store.begin() as reading:
            return [(bytes(key).hex(), bytes(value).hex()) for key, value in reading.cursor()]

    def put(self, records: list[tuple[str, str]]) -> None:
        """Records as an earlier program left them: an environment in a folder, its main database."""
        with lmdb.open(self.path, map_size=1 << 20, subdir=True) as store, store.begin(write=True) as writing:
            for key, value in records:
                writing.put(bytes.fromhex(key), bytes.fromhex(value))

    def load(self, age_us: int = ANY_AGE_US) -> tuple[int, list[tuple[int, int, int, int, int]]]:
        with closing(MapCache(self.path, 1 << 20)) as cache:
            version, extents = cache.load(age_us)
        return version, [figures(one) for one in extents]

    def test_a_whole_map_is_written_so(self) -> None:
        self.keep(lambda cache: cache.save_map(held()))
        self.assertEqual(self.records(), RECORDS_42)

    def test_a_change_is_written_so(self) -> None:
        self.keep(lambda cache: cache.save_map(held()), lambda cache: cache.save_change(move()))
        self.assertEqual(self.records(), RECORDS_43)

    def test_records_of_before_are_read(self) -> None:
        self.put(RECORDS_42)
        with at(BOOT, SINCE_BOOT_US, WRITTEN_NS):
            told = self.load()
        self.assertEqual(
            told, (42, [(1, 0, 8, 3, 2), (1, 8, 8589934592, 4, 1099511627776), (258, 0, 16, 0, 1)])
        )

    def test_a_change_goes_on_from_records_of_before(self) -> None:
        self.put(RECORDS_42)
        self.keep(lambda cache: cache.load(ANY_AGE_US), lambda cache: cache.save_change(move()))
        self.assertEqual(self.records(), RECORDS_43)

    def test_the_time_of_writing_is_read_in_microseconds(self) -> None:
        self.put(RECORDS_43)
        with at(bytes(16), 0, WRITTEN_NS + 5_000):
            self.assertEqual(self.load(5)[0], 43)
            self.assertRaisesRegex(MapCacheError, "too old", self.load, 4)

    def test_the_time_since_the_boot_is_read_in_microseconds(self) -> None:
        self.put(RECORDS_43)
        with at(BOOT, SINCE_BOOT_US + 5, WRITTEN_NS):
            self.assertEqual(self.load(5)[0], 43)
            self.assertRaisesRegex(MapCacheError, "too old", self.load, 4)

    def test_a_checksum_that_does_not_match_is_refused(self) -> None:
        self.put([RECORDS_42[0], RECORDS_42[3]])
        with at(BOOT, SINCE_BOOT_US, WRITTEN_NS):
            self.assertRaisesRegex(MapCacheError, "the checksum does not match", self.load)


class InEtcd(unittest.TestCase):
    """The keys below the prefix, and their values."""

    def test_the_keys_are_written_so(self) -> None:
        self.assertEqual(etcd_source.extent_key(7, 4096), "map/extents/7/00000000000000004096")
        self.assertEqual(
            (etcd_source.VERSION_KEY, etcd_source.EXTENTS_PREFIX, etcd_source.MapFeed.KIND),
            ("map/version", "map/extents/", "map/"),
        )

    def test_an_extent_is_read(self) -> None:
        # The keys of the value are derived from the fields' names (`ExtentRecord`): a rename needs `rename=`.
        extent = etcd_source.parse_extent(
            "map/extents/7/00000000000000004096", b'{"blocks":8,"shard":3,"version":2}'
        )
        self.assertEqual(figures(extent), (7, 4096, 8, 3, 2))

    def test_the_version_is_read(self) -> None:
        # The key is derived from the field's name (`VersionRecord`): a rename needs `rename=`. Further keys
        # may stand.
        self.assertEqual(etcd_source.parse_version(b'{"version":42}'), 42)
        self.assertEqual(etcd_source.parse_version(b'{"version":42,"by":"a tool"}'), 42)

    def test_what_cannot_be_read_is_named(self) -> None:
        key = "map/extents/7/00000000000000004096"
        for call, words in (
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
            with self.subTest(words=words), self.assertRaises(MapRecordError) as caught:
                call()
            self.assertEqual(str(caught.exception), words)


class InAFile(unittest.TestCase):
    """The operator's own file of the map."""

    TEXT = b'{"version":42,"extents":[[7,0,4096,1,9],[7,4096,8,3,2]]}'

    def test_it_is_read(self) -> None:
        # Both keys are derived from the fields' names (`MapFile`): a rename needs `rename=`.
        told = msgspec.json.decode(self.TEXT, type=MapFile)
        self.assertEqual(told.version, 42)
        self.assertEqual(
            [figures(Extent(*row)) for row in told.extents], [(7, 0, 4096, 1, 9), (7, 4096, 8, 3, 2)]
        )

    def test_an_unknown_key_is_refused(self) -> None:
        with self.assertRaisesRegex(msgspec.ValidationError, "unknown field `odd`"):
            msgspec.json.decode(b'{"version":42,"extents":[],"odd":1}', type=MapFile)
