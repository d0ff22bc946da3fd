"""Tests of the extent map's sources and cache: keys in etcd, records on disk, the operator's file."""

from __future__ import annotations

import time
import tomllib
import unittest
from collections.abc import Sequence
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import msgspec

from lemonridge.cli.main import main
from lemonridge.config.errors import ConfigError
from lemonridge.config.operator_file import parse
from lemonridge.config.operator_schema import json_schema
from lemonridge.core.counters import Counters
from lemonridge.etcd.errors import MissedChangeError
from lemonridge.etcd.events import Event
from lemonridge.extents.errors import MapCacheError, MapRecordError
from lemonridge.extents.etcd_source import VERSION_KEY, MapFeed, extent_key
from lemonridge.extents.extent_map import Change, ChangeResult, Extent, ExtentMap, MapBuilder
from lemonridge.extents.map_cache import BackgroundMapWriter, MapCache
from lemonridge.iscsi.config import IscsiConfig

ROOT = Path(__file__).resolve().parents[2]


class StubRouter:
    """The methods of the router that a source calls."""

    def __init__(self) -> None:
        self.map, self.counters, self.rejections = ExtentMap(100), Counters(), 0

    def replace_map_from(self, version: int, builder: MapBuilder) -> bool:
        self.map.replace_from(version, builder)
        return True

    def reject_map(self, version: int, error: Exception) -> None:
        self.rejections += 1

    def apply_change(self, change: Change) -> ChangeResult:
        return self.map.apply(change)[0]


def extent_event(first: int, shard: int = 0, version: int = 1, revision: int = 5, lun: int = 0) -> Event:
    value = {"blocks": 10, "shard": shard, "version": version}
    return Event(extent_key(lun, first), msgspec.json.encode(value), revision)


def version_event(version: int, revision: int = 5) -> Event:
    return Event(VERSION_KEY, msgspec.json.encode({"version": version}), revision)


class EtcdSourceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = StubRouter()
        self.feed = MapFeed(self.router, frozenset((0,)))  # type: ignore[arg-type]

    def load_snapshot(self, *pages: Sequence[Event]) -> None:
        self.feed.begin_snapshot()
        for page in pages:
            self.feed.add_page(page)
        self.feed.finish_snapshot()

    def test_pages_form_one_map_of_the_served_luns(self) -> None:
        self.load_snapshot(
            [extent_event(0), extent_event(10, 1)],
            [extent_event(20, 2), extent_event(0, lun=7), version_event(4)],
        )
        self.assertEqual((self.router.map.version, len(self.router.map)), (4, 3))

    def test_malformed_snapshot_is_rejected_and_the_present_map_stays(self) -> None:
        self.load_snapshot([extent_event(0), version_event(4)])
        for events in (
            [extent_event(0)],
            [extent_event(10), version_event(5)],
            [Event(extent_key(0, 0), b"{}", 1), version_event(5)],
            [Event("map/extents/0/7", b"{}", 1), version_event(5)],
            [extent_event(0), Event(VERSION_KEY, b"5", 1)],
        ):
            with self.subTest(events=events), self.assertRaises(ValueError):
                self.load_snapshot(events)
            self.assertEqual(self.router.map.version, 4)
        with self.assertRaises(ValueError):
            self.load_snapshot([extent_event(n * 10) for n in range(101)])
        self.assertEqual(self.router.rejections, 1)

    def test_events_of_one_revision_are_one_change_and_repeated_events_are_ignored(self) -> None:
        self.load_snapshot([extent_event(0), extent_event(10), version_event(4)])
        events = [
            extent_event(0, 3, 2, 6),
            version_event(5, 6),
            extent_event(10, 3, 2, 7),
            version_event(6, 7),
        ]
        for _ in range(2):
            self.feed.apply_changes(events)
            self.assertEqual([extent.shard for extent in self.router.map], [3, 3])
        split = [
            extent_event(0, 3, 3, 8),
            extent_event(10, 3, 3, 8),
            extent_event(20, 1, 1, 8),
            version_event(7, 8),
        ]
        self.feed.apply_changes(split)
        self.feed.apply_changes([Event(extent_key(0, 20), None, 9), version_event(8, 9)])
        self.assertEqual((self.router.map.version, len(self.router.map)), (8, 2))

    def test_change_that_cannot_be_applied_counts_as_missed(self) -> None:
        self.load_snapshot([extent_event(0), extent_event(10), version_event(4)])
        for events in (
            [extent_event(0, 3, 2), version_event(6)],
            [extent_event(0, 3, 2)],
            [Event(VERSION_KEY, None, 6)],
            [extent_event(0, 3, 0), version_event(5)],
            [Event(extent_key(0, 0), None, 6), version_event(5)],
            [Event(extent_key(0, 0), b"[]", 6), version_event(5)],
        ):
            with self.subTest(events=events), self.assertRaises(MissedChangeError):
                self.feed.apply_changes(events)
            self.assertEqual([(extent.first, extent.shard) for extent in self.router.map], [(0, 0), (10, 0)])
        self.assertRaises(MapRecordError, self.feed.add_page, [Event(extent_key(0, 0) + "/x", b"{}", 1)])


class MapCacheTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = str(Path(directory.name) / "map")
        self.map = ExtentMap()
        self.map.replace_all(
            7, [Extent(volume, n * 10, 10, n % 4, n) for volume in (0, 3) for n in range(50)]
        )

    def test_cached_map_is_loaded_and_a_missing_record_is_detected(self) -> None:
        cache = BackgroundMapWriter(MapCache(self.path, 1 << 20))
        cache.save_map(self.map)
        change = Change(7, 8, (Extent(0, 0, 5, 9, 60), Extent(0, 5, 15, 9, 60)), ((0, 10),))
        self.assertIs(self.map.apply(change)[0], ChangeResult.APPLIED)
        cache.save_change(change)
        cache.close()
        reopened = MapCache(self.path, 1 << 20)
        version, extents = reopened.load(10**9)
        self.assertEqual(
            (version, extents), (8, sorted(self.map, key=lambda extent: (extent.volume, extent.first)))
        )
        self.assertRaisesRegex(MapCacheError, "too old", reopened.load, -1)
        with reopened._environment.begin(write=True) as transaction:
            transaction.delete(next(iter(transaction.cursor()))[0])
        self.assertRaisesRegex(MapCacheError, "checksum", reopened.load, 10**9)
        reopened.close()

    def test_wall_clock_set_back_does_not_make_an_old_map_usable(self) -> None:
        """The map is 70 minutes old, but the wall clock was set back by an hour and shows 10 minutes."""
        cache = MapCache(self.path, 1 << 20)
        cache.save_map(self.map)
        age_us, wall_ns = 30 * 60 * 10**6, time.time_ns()
        since_boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        with mock.patch.object(time, "time_ns", lambda: wall_ns + 10 * 60 * 10**9):
            self.assertEqual(cache.load(age_us)[0], 7)
            later_ns = since_boot_ns + 70 * 60 * 10**9
            with mock.patch.object(time, "clock_gettime_ns", lambda _: later_ns):
                self.assertRaisesRegex(MapCacheError, "too old", cache.load, age_us)
        cache.close()

    def test_loading_an_empty_cache_raises_an_error(self) -> None:
        cache = MapCache(self.path, 1 << 20)
        self.assertRaisesRegex(MapCacheError, "no map", cache.load, 10**9)
        cache.close()

    def test_full_disk_keeps_the_cached_map_and_stops_writing(self) -> None:
        cache = MapCache(self.path, 64 * 1024)
        cache.save_map(self.map)
        large_map = ExtentMap()
        large_map.replace_all(9, [Extent(0, n, 1, 0, 0) for n in range(5000)])
        with self.assertLogs(level="ERROR"):
            cache.save_map(large_map)
        cache.save_change(Change(9, 10, (Extent(0, 0, 1, 1, 1),)))
        self.assertEqual((cache.load(10**9)[0], len(cache.load(10**9)[1])), (7, 100))
        cache.close()

    def test_changes_above_the_limit_are_dropped_until_a_complete_map(self) -> None:
        class CountingCache:
            changes = 0

            def save_change(self, change: Change) -> None:
                CountingCache.changes += 1

            def save_map(self, extent_map: ExtentMap) -> None: ...

            def close(self) -> None: ...

        with (
            mock.patch("lemonridge.extents.map_cache.PENDING_CHANGES_MAX", 3),
            self.assertLogs(level="ERROR"),
        ):
            cache = BackgroundMapWriter(CountingCache())  # type: ignore[arg-type]
            cache._pending = 3
            for _ in range(5):
                cache.save_change(Change(0, 1, ()))
            cache._pending = 0
            cache.save_change(Change(0, 1, ()))  # dropped: a change was lost and no complete map has followed
            cache.save_map(self.map)
            cache.save_change(Change(0, 1, ()))
            cache.close()
        self.assertEqual(CountingCache.changes, 1)


class OperatorFileTest(unittest.TestCase):
    def parse_text(self, text: str) -> IscsiConfig:
        return parse(tomllib.loads(text))

    def test_shipped_file_is_valid(self) -> None:
        text = (ROOT / "deploy" / "extents.toml").read_text()
        config = self.parse_text(text)
        self.assertEqual((config.mapped, config.extents.limits.pieces), (frozenset((0,)), 32))
        config_with_cache = self.parse_text(
            "\n".join(
                line.removeprefix("# ") if line.startswith("# keep") else line for line in text.splitlines()
            )
        )
        self.assertEqual(
            (config_with_cache.extents.cache_path, config_with_cache.extents.cache_bytes),
            ("/var/lib/lemonridge/map", 256 << 20),
        )

    def test_error_for_a_wrong_setting_names_its_key(self) -> None:
        text = (ROOT / "deploy" / "extents.toml").read_text()
        tables = "[[lun.extent]]\nfirst = {}\nblocks = 5\nshard = 0\n"
        for old, new, expected_text in (
            ('extents = "map" ', 'extents = "mop" ', "lun[0].extents"),
            ('extents = "map" ', 'shard = 1\nextents = "map" ', "lun[0]: one of"),
            ('extents = "map" ', "# ", "lun[0]: one of"),
            ("max_pieces", "max_piece", "extents.max_piece"),
            ("block_bytes = 512", "block_bytes = 700", "multiple of 512"),
            ("write_age_s = 15", "write_age_s = 0", "extents.write_age_s"),
            ('extents = "map" ', tables.format(5) + "# ", "block 0: not covered by an extent"),
            ('extents = "map" ', tables.format(0) + tables.format(4) + "# ", "block 4: extents overlap"),
            ('[etcd]\nendpoint = "127.0.0.1:2379"\nprefix = "/lemonridge/" ', "# ", "neither"),
            ('prefix = "/lemonridge/" ', 'prefix = "x" ', "etcd.prefix"),
        ):
            with self.subTest(expected_text=expected_text), self.assertRaises(ConfigError) as raised:
                self.assertIn(old, text)
                self.parse_text(text.replace(old, new))
            self.assertIn(expected_text, str(raised.exception))
            self.assertNotIn("\n", str(raised.exception))

    def test_schema_contains_every_table(self) -> None:
        schema = json_schema()
        tables = schema["$defs"]["OperatorFile"]["properties"]
        expected_tables = {
            "iscsi",
            "initiator",
            "classes",
            "rules",
            "plan",
            "lun",
            "node",
            "etcd",
            "extents",
            "fleet",
            "target",
        }
        self.assertEqual(set(tables), expected_tables)
        self.assertFalse(schema["$defs"]["LunTable"]["additionalProperties"])
        with mock.patch("builtins.print") as printed:
            self.assertEqual(main(["schema"]), 0)
            self.assertEqual(main(["check-config", "--config", str(ROOT / "deploy" / "extents.toml")]), 0)
        self.assertIn("from etcd 127.0.0.1:2379/lemonridge/", printed.call_args_list[-1].args[0])
