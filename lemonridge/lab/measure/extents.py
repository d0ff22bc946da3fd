"""Measures the map and the routing by it: cost and room of the map itself, and what it costs on the wire.

Every figure that is compared with another comes from the same run; the ratios are what counts.
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
    return (Extent(0, number * 2048, 2048, number % 16, 1) for number in range(count))


def map_figures(seed: int, sizes: tuple[int, ...] = SIZES) -> list[dict[str, object]]:
    """One line a size: room, and the time of a build, a lookup of one block and a change of one extent."""
    rows: list[dict[str, object]] = []
    for size in sizes:
        random = Random(seed)
        gc.collect()
        tracemalloc.start()
        atlas = ExtentMap(size)
        atlas.replace_all(0, _extents(size))
        held, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        began = time.perf_counter()
        atlas = ExtentMap(size)
        atlas.replace_all(0, _extents(size))
        build = time.perf_counter() - began
        blocks = [random.randrange(size * 2048 - 1) for _ in range(LOOKUPS)]
        lookups, changes = [], []
        for _ in range(ROUNDS):
            began = time.perf_counter()
            for block in blocks:
                atlas.lookup(0, block, 1)
            lookups.append((time.perf_counter() - began) / LOOKUPS)
            base = atlas.version
            todo = [
                Change(
                    version, version + 1, (Extent(0, random.randrange(size) * 2048, 2048, 3, 2 + version),)
                )
                for version in range(base, base + CHANGES)
            ]
            began = time.perf_counter()
            for change in todo:
                atlas.apply(change)
            changes.append((time.perf_counter() - began) / CHANGES)
        rows.append(
            {
                "extents": size,
                "mib": round(held / 2**20, 2),
                "peak_mib": round(peak / 2**20, 2),
                "build_s": round(build, 3),
                "lookup_us": round(min(lookups) * 1e6, 2),
                "change_us": round(min(changes) * 1e6, 2),
            }
        )
    for row in rows:
        row["lookup_ratio"] = round(float(str(row["lookup_us"])) / float(str(rows[0]["lookup_us"])), 2)
        row["change_ratio"] = round(float(str(row["change_us"])) / float(str(rows[0]["change_us"])), 2)
    return rows


def _day(options: Options) -> dict[str, object]:
    figures, _ = asyncio.run(Drill(options).run())
    return figures


def wire_figures(seed: int, seconds: float) -> list[dict[str, object]]:
    """One line a setting: the share of pieces redirected, the time of an answer, and CPU a command."""
    rows: list[dict[str, object]] = []
    settings = [
        ("no map", Options(seed, seconds, 0, faults=False, mapped=False, extents=1)),
        ("one extent a LUN", Options(seed, seconds, 0, faults=False, extents=1)),
    ]
    settings += [
        (
            f"16 extents, a move every {every} ms" if every else "16 extents, no moves",
            Options(seed, seconds, every / 1000, faults=False),
        )
        for every in INTERVALS_MS
    ]
    for name, options in settings:
        told = _day(options)
        pieces = int(str(told["pieces"])) or int(str(told["requests"]))
        rows.append(
            {
                "setting": name,
                "requests": told["requests"],
                "served": told["served"],
                "moves": told["moves"],
                "redirected": round(int(str(told["redirects"])) / max(1, pieces), 5),
                "refreshes": told["refreshes"],
                "p50_ms": told["p50_ms"],
                "p99_ms": told["p99_ms"],
                "cpu_us": told["cpu_us"],
            }
        )
    return rows


def cpu_ratio(seed: int, seconds: float, rounds: int = 3) -> dict[str, object]:
    """CPU a command through the broker with a map against without, in turns, since machines have moods."""
    with_map, without = [], []
    for number in range(rounds):
        plain = Options(seed + number, seconds, 0, faults=False, mapped=False, extents=1)
        mapped = Options(seed + number, seconds, 0, faults=False, extents=1)
        without.append(int(str(_day(plain)["cpu_us"])))
        with_map.append(int(str(_day(mapped)["cpu_us"])))
    return {
        "cpu_us_without": median(without),
        "cpu_us_with": median(with_map),
        "ratio": round(median(with_map) / median(without), 3),
    }
