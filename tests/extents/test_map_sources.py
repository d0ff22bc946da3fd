"""The map's sources and its cache: keys in etcd, records on disk, the operator's file."""

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
from lemonridge.coordination.errors import MissedChangeError
from lemonridge.coordination.etcd_client import Event
from lemonridge.core.counters import Counters
from lemonridge.extents.errors import MapCacheError, MapRecordError
from lemonridge.extents.etcd_source import VERSION_KEY, MapFeed, extent_key
from lemonridge.extents.extent_map import Change, ChangeResult, Extent, ExtentMap, MapBuilder
from lemonridge.extents.map_cache import BackgroundMapWriter, MapCache
from lemonridge.iscsi.config import IscsiConfig

ROOT = Path(__file__).resolve().parents[2]


class MapHolder:
    """The router's part that a source needs."""

    def __init__(self) -> None:
        self.map, self.counters, self.refusals = ExtentMap(100), Counters(), 0

    def replace_map_from(self, version: int, builder: MapBuilder) -> bool:
        self.map.replace_from(version, builder)
        return True

    def reject_map(self, version: int, error: Exception) -> None:
        self.refusals += 1

    def apply_change(self, change: Change) -> ChangeResult:
        return self.map.apply(change)[0]


def extent(first: int, shard: int = 0, version: int = 1, revision: int = 5, lun: int = 0) -> Event:
    value = {"blocks": 10, "shard": shard, "version": version}
    return Event(extent_key(lun, first), msgspec.json.encode(value), revision)


def head(version: int, revision: int = 5) -> Event:
    return Event(VERSION_KEY, msgspec.json.encode({"version": version}), revision)


class FromEtcd(unittest.TestCase):
    def setUp(self) -> None:
        self.holder = MapHolder()
        self.feed = MapFeed(self.holder, frozenset((0,)))  # type: ignore[arg-type]

    def whole(self, *pages: Sequence[Event]) -> None:
        self.feed.begin_snapshot()
        for page in pages:
            self.feed.add_page(page)
        self.feed.finish_snapshot()

    def test_pages_make_one_map_of_the_luns_that_are_served(self) -> None:
        self.whole([extent(0), extent(10, 1)], [extent(20, 2), extent(0, lun=7), head(4)])
        self.assertEqual((self.holder.map.version, len(self.holder.map)), (4, 3))

    def test_a_malformed_snapshot_leaves_the_present_map(self) -> None:
        self.whole([extent(0), head(4)])
        for rows in (
            [extent(0)],
            [extent(10), head(5)],
            [Event(extent_key(0, 0), b"{}", 1), head(5)],
            [Event("map/extents/0/7", b"{}", 1), head(5)],
            [extent(0), Event(VERSION_KEY, b"5", 1)],
        ):
            with self.subTest(rows=rows), self.assertRaises(ValueError):
                self.whole(rows)
            self.assertEqual(self.holder.map.version, 4)
        with self.assertRaises(ValueError):
            self.whole([extent(n * 10) for n in range(101)])
        self.assertEqual(self.holder.refusals, 1)

    def test_each_revision_is_a_change_and_a_repetition_is_stale(self) -> None:
        self.whole([extent(0), extent(10), head(4)])
        events = [extent(0, 3, 2, 6), head(5, 6), extent(10, 3, 2, 7), head(6, 7)]
        for _ in range(2):
            self.feed.apply_changes(events)
            self.assertEqual([one.shard for one in self.holder.map], [3, 3])
        split = [extent(0, 3, 3, 8), extent(10, 3, 3, 8), extent(20, 1, 1, 8), head(7, 8)]
        self.feed.apply_changes(split)
        self.feed.apply_changes([Event(extent_key(0, 20), None, 9), head(8, 9)])
        self.assertEqual((self.holder.map.version, len(self.holder.map)), (8, 2))

    def test_a_change_that_does_not_apply_is_out_of_step(self) -> None:
        self.whole([extent(0), extent(10), head(4)])
        for events in (
            [extent(0, 3, 2), head(6)],
            [extent(0, 3, 2)],
            [Event(VERSION_KEY, None, 6)],
            [extent(0, 3, 0), head(5)],
            [Event(extent_key(0, 0), None, 6), head(5)],
            [Event(extent_key(0, 0), b"[]", 6), head(5)],
        ):
            with self.subTest(events=events), self.assertRaises(MissedChangeError):
                self.feed.apply_changes(events)
            self.assertEqual([(one.first, one.shard) for one in self.holder.map], [(0, 0), (10, 0)])
        self.assertRaises(MapRecordError, self.feed.add_page, [Event(extent_key(0, 0) + "/x", b"{}", 1)])


class OnDisk(unittest.TestCase):
    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = str(Path(folder.name) / "map")
        self.map = ExtentMap()
        self.map.replace_all(
            7, [Extent(volume, n * 10, 10, n % 4, n) for volume in (0, 3) for n in range(50)]
        )

    def test_the_cached_map_is_loaded_and_damage_is_detected(self) -> None:
        cache = BackgroundMapWriter(MapCache(self.path, 1 << 20))
        cache.save_map(self.map)
        change = Change(7, 8, (Extent(0, 0, 5, 9, 60), Extent(0, 5, 15, 9, 60)), ((0, 10),))
        self.assertIs(self.map.apply(change)[0], ChangeResult.APPLIED)
        cache.save_change(change)
        cache.close()
        again = MapCache(self.path, 1 << 20)
        version, extents = again.load(10**9)
        self.assertEqual((version, extents), (8, sorted(self.map, key=lambda one: (one.volume, one.first))))
        self.assertRaisesRegex(MapCacheError, "too old", again.load, -1)
        with again._environment.begin(write=True) as writing:
            writing.delete(next(iter(writing.cursor()))[0])
        self.assertRaisesRegex(MapCacheError, "checksum", again.load, 10**9)
        again.close()

    def test_a_wall_clock_that_is_stepped_back_makes_no_old_map_young(self) -> None:
        """Kept for 70 minutes, of which the wall clock, an hour back by then, shows ten."""
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

    def test_loading_an_empty_cache_is_an_error(self) -> None:
        cache = MapCache(self.path, 1 << 20)
        self.assertRaisesRegex(MapCacheError, "no map", cache.load, 10**9)
        cache.close()

    def test_a_full_disk_leaves_the_cached_map_and_stops_writing(self) -> None:
        cache = MapCache(self.path, 64 * 1024)
        cache.save_map(self.map)
        big = ExtentMap()
        big.replace_all(9, [Extent(0, n, 1, 0, 0) for n in range(5000)])
        with self.assertLogs(level="ERROR"):
            cache.save_map(big)
        cache.save_change(Change(9, 10, (Extent(0, 0, 1, 1, 1),)))
        self.assertEqual((cache.load(10**9)[0], len(cache.load(10**9)[1])), (7, 100))
        cache.close()

    def test_changes_past_the_bound_are_dropped_until_a_complete_map(self) -> None:
        class Slow:
            changes = 0

            def save_change(self, change: Change) -> None:
                Slow.changes += 1

            def save_map(self, extent_map: ExtentMap) -> None: ...

            def close(self) -> None: ...

        with (
            mock.patch("lemonridge.extents.map_cache.PENDING_CHANGES_MAX", 3),
            self.assertLogs(level="ERROR"),
        ):
            cache = BackgroundMapWriter(Slow())  # type: ignore[arg-type]
            cache._pending = 3
            for _ in range(5):
                cache.save_change(Change(0, 1, ()))
            cache._pending = 0
            cache.save_change(Change(0, 1, ()))  # something was lost: nothing more before a whole map
            cache.save_map(self.map)
            cache.save_change(Change(0, 1, ()))
            cache.close()
        self.assertEqual(Slow.changes, 1)


class InTheFile(unittest.TestCase):
    def read(self, text: str) -> IscsiConfig:
        return parse(tomllib.loads(text))

    def test_the_shipped_files_are_good(self) -> None:
        text = (ROOT / "deploy" / "extents.toml").read_text()
        made = self.read(text)
        self.assertEqual((made.mapped, made.extents.limits.pieces), (frozenset((0,)), 32))
        kept = self.read(
            "\n".join(
                line.removeprefix("# ") if line.startswith("# keep") else line for line in text.splitlines()
            )
        )
        self.assertEqual(
            (kept.extents.cache_path, kept.extents.cache_bytes), ("/var/lib/lemonridge/map", 256 << 20)
        )

    def test_a_wrong_setting_is_rejected_by_its_key(self) -> None:
        text = (ROOT / "deploy" / "extents.toml").read_text()
        tables = "[[lun.extent]]\nfirst = {}\nblocks = 5\nshard = 0\n"
        for old, new, word in (
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
            with self.subTest(word=word), self.assertRaises(ConfigError) as caught:
                self.assertIn(old, text)
                self.read(text.replace(old, new))
            self.assertIn(word, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    def test_the_schema_knows_every_table(self) -> None:
        told = json_schema()
        tables = told["$defs"]["OperatorFile"]["properties"]
        known = {
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
        self.assertEqual(set(tables), known)
        self.assertFalse(told["$defs"]["LunTable"]["additionalProperties"])
        with mock.patch("builtins.print") as printed:
            self.assertEqual(main(["schema"]), 0)
            self.assertEqual(main(["check-config", "--config", str(ROOT / "deploy" / "extents.toml")]), 0)
        self.assertIn("from etcd 127.0.0.1:2379/lemonridge/", printed.call_args_list[-1].args[0])
