"""Measures the extent map and the routing by it: time and memory of the map, and its cost for commands.

All figures that are compared with each other come from the same run; only their ratios are meaningful.
"""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Iterator
from random import Random
from statistics import median

from lemonridge.extents.extent_map import Change, Extent, ExtentMap
from lemonridge.lab.drills.extents import Drill, Options

SIZES = (1_000, 100_000, 1_000_000)
LOOKUPS, CHANGES, ROUNDS = 20_000, 2_000, 5
INTERVALS_MS = (0, 1000, 400, 200, 100, 50)


def _extents(count: int) -> Iterator[Extent]:
    """Yields the extents of one LUN, of 2048 blocks each."""
    return (Extent(0, number * 2048, 2048, number % 16, 1) for number in range(count))


def map_figures(seed: int, sizes: tuple[int, ...] = SIZES) -> list[dict[str, object]]:
    """Measures maps of several sizes.

    Returns:
        For each size its figures: memory, and the times to build the map, to look up a block and to change an
        extent.
    """
    rows: list[dict[str, object]] = []
    for size in sizes:
        random = Random(seed)
        gc.collect()
        tracemalloc.start()
        extent_map = ExtentMap(size)
        extent_map.replace_all(0, _extents(size))
        current_bytes, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_at = time.perf_counter()
        extent_map = ExtentMap(size)
        extent_map.replace_all(0, _extents(size))
        build_s = time.perf_counter() - started_at
        blocks = [random.randrange(size * 2048 - 1) for _ in range(LOOKUPS)]
        lookup_times_s, change_times_s = [], []
        for _ in range(ROUNDS):
            started_at = time.perf_counter()
            for block in blocks:
                extent_map.lookup(0, block, 1)
            lookup_times_s.append((time.perf_counter() - started_at) / LOOKUPS)
            base_version = extent_map.version
            changes = [
                Change(
                    version, version + 1, (Extent(0, random.randrange(size) * 2048, 2048, 3, 2 + version),)
                )
                for version in range(base_version, base_version + CHANGES)
            ]
            started_at = time.perf_counter()
            for change in changes:
                extent_map.apply(change)
            change_times_s.append((time.perf_counter() - started_at) / CHANGES)
        rows.append(
            {
                "extents": size,
                "mib": round(current_bytes / 2**20, 2),
                "peak_mib": round(peak_bytes / 2**20, 2),
                "build_s": round(build_s, 3),
                "lookup_us": round(min(lookup_times_s) * 1e6, 2),
                "change_us": round(min(change_times_s) * 1e6, 2),
            }
        )
    for row in rows:
        row["lookup_ratio"] = round(float(str(row["lookup_us"])) / float(str(rows[0]["lookup_us"])), 2)
        row["change_ratio"] = round(float(str(row["change_us"])) / float(str(rows[0]["change_us"])), 2)
    return rows


def _run_drill(options: Options) -> dict[str, object]:
    """Runs the drill `extents` and returns its figures."""
    figures, _ = asyncio.run(Drill(options).run())
    return figures


def wire_figures(seed: int, seconds: float) -> list[dict[str, object]]:
    """Measures commands through the broker without a map, and with maps at several rates of moves.

    Returns:
        For each setting its figures, among them the share of redirected pieces, response times, and CPU time
        per command.
    """
    rows: list[dict[str, object]] = []
    settings = [
        ("no map", Options(seed, seconds, 0, faults=False, mapped=False, extents=1)),
        ("one extent a LUN", Options(seed, seconds, 0, faults=False, extents=1)),
    ]
    settings += [
        (
            f"16 extents, a move every {interval_ms} ms" if interval_ms else "16 extents, no moves",
            Options(seed, seconds, interval_ms / 1000, faults=False),
        )
        for interval_ms in INTERVALS_MS
    ]
    for name, options in settings:
        figures = _run_drill(options)
        pieces = int(str(figures["pieces"])) or int(str(figures["requests"]))
        rows.append(
            {
                "setting": name,
                "requests": figures["requests"],
                "served": figures["served"],
                "moves": figures["moves"],
                "redirected": round(int(str(figures["redirects"])) / max(1, pieces), 5),
                "refreshes": figures["refreshes"],
                "p50_ms": figures["p50_ms"],
                "p99_ms": figures["p99_ms"],
                "cpu_us": figures["cpu_us"],
            }
        )
    return rows


def cpu_ratio(seed: int, seconds: float, rounds: int = 3) -> dict[str, object]:
    """Compares the broker's CPU time per command with and without a map.

    The runs alternate, since the machine's speed varies over time.
    """
    with_map_us, without_map_us = [], []
    for number in range(rounds):
        unmapped = Options(seed + number, seconds, 0, faults=False, mapped=False, extents=1)
        mapped = Options(seed + number, seconds, 0, faults=False, extents=1)
        without_map_us.append(int(str(_run_drill(unmapped)["cpu_us"])))
        with_map_us.append(int(str(_run_drill(mapped)["cpu_us"])))
    return {
        "cpu_us_without": median(without_map_us),
        "cpu_us_with": median(with_map_us),
        "ratio": round(median(with_map_us) / median(without_map_us), 3),
    }
