"""`lemonridge drill`, `bench` and `conform`: what they print, and how they end."""

from __future__ import annotations

import argparse
import asyncio
import sys

import orjson

from lemonridge.config import Address, ConfigError
from lemonridge.lab import bench_extents, drill_extents, drill_iscsi
from lemonridge.lab.conform import suite
from lemonridge.lab.program import ProgramError


def drill(options: argparse.Namespace) -> int:
    """The exit status: 0, or 1 where a rule broke or the drill did not meet what it is for."""
    if not 0 < options.seconds <= 3600 or options.move_every_ms < 0:
        raise ConfigError("drill: --seconds must lie within an hour, --move-every-ms must not be negative")
    told = drill_extents.Options(options.seed, options.seconds, options.move_every_ms / 1000,
                                 faults=not options.calm, checked=options.mutation != "unchecked")
    try:
        if options.name == "iscsi":
            figures, found = asyncio.run(
                drill_iscsi.Drill(drill_iscsi.Options(options.seed, options.seconds)).run())
            good = drill_iscsi.held(figures)
        else:
            figures, found = asyncio.run(drill_extents.Drill(told).run())
            good = drill_extents.held(figures, told)
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    for note in found.notes:
        print(note)
    if options.json:
        print(orjson.dumps(figures).decode())
    else:
        print(line(figures))
    return 0 if good else 1


def bench(options: argparse.Namespace) -> int:
    """Print the figures, a line each; 1 where the map misses its bounds."""
    rows = bench_extents.map_figures(options.seed)
    for row in [*rows, *bench_extents.wire_figures(options.seed, options.seconds)]:
        print(line(row))
    print(line(bench_extents.cpu_ratio(options.seed, options.seconds)))
    big = rows[-1]
    return 0 if float(str(big["mib"])) <= 64 and float(str(big["lookup_ratio"])) <= 3 else 1


def line(figures: dict[str, object]) -> str:
    """key=value, as the log has it."""
    return " ".join(f'{name}="{value}"' if " " in str(value) else f"{name}={value}"
                    for name, value in figures.items())


def conform(options: argparse.Namespace) -> int:
    """Print what failed and what was skipped, then the counts; 0 only if nothing failed."""
    target = None
    if options.target:
        at = Address.parse(options.target, "--target")
        target = (at.host, at.port)

    def done(result: suite.Result) -> None:
        if options.json:
            print(orjson.dumps(vars(result)).decode())
        elif result.outcome != "passed":
            print(f"{result.outcome} {result.name} ({result.section}): {result.why}")

    try:
        results = asyncio.run(suite.run(options.case, options.seed, target, done=done))
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    counts = {outcome: sum(one.outcome == outcome for one in results)
              for outcome in ("passed", "failed", "skipped")}  # fmt: skip
    print(line({"conform": options.name, "cases": len(results), **counts}))
    return 0 if results and not counts["failed"] else 1
