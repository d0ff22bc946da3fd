"""`lemonridge drill`, `bench` and `conform`: what they print, and how they end."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path
from typing import Any

import orjson

from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.lab.conform import suite
from lemonridge.lab.drills import extents as drill_extents
from lemonridge.lab.drills import iscsi as drill_iscsi
from lemonridge.lab.measure import extents as bench_extents
from lemonridge.lab.measure import iscsi as bench_iscsi
from lemonridge.lab.program import ProgramError


def drill(options: argparse.Namespace) -> int:
    """The exit status: 0, or 1 where a rule broke or the drill did not meet what it is for."""
    if not 0 < options.seconds <= 3600 or options.move_every_ms < 0:
        raise ConfigError("drill: --seconds must lie within an hour, --move-every-ms must not be negative")
    if options.name == "fleet":
        return _drill_fleet(options)
    if options.name == "policy":
        return _drill_policy(options)
    if options.name == "soak":
        return _drill_soak(options)
    told = drill_extents.Options(
        options.seed,
        options.seconds,
        options.move_every_ms / 1000,
        faults=not options.calm,
        checked=options.mutation != "unchecked",
    )
    try:
        if options.name == "iscsi":
            figures, found = asyncio.run(
                drill_iscsi.Drill(drill_iscsi.Options(options.seed, options.seconds)).run()
            )
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


def _drill_fleet(options: argparse.Namespace) -> int:
    from lemonridge.lab.drills import fleet
    from lemonridge.lab.links import schedule

    if not 2 <= options.brokers <= 32 or options.mutation == "unchecked":
        raise ConfigError("drill fleet: --brokers from 2 to 32, and a mutation of its own")
    told = fleet.Options(
        options.seed,
        options.seconds,
        options.brokers,
        not options.even,
        not options.calm,
        options.mutation or "",
    )
    given = schedule.read(options.schedule) if options.schedule else fleet.plan(told)
    if options.write_schedule:
        Path(options.write_schedule).write_text(schedule.write(given))
        return 0
    try:
        figures, found, _ = asyncio.run(fleet.run(told, given))
    except ProgramError as error:
        print(f"lemonridge: a broker failed: {error}", file=sys.stderr)
        return 1
    for note in found.notes:
        print(note)
    print(orjson.dumps(figures).decode() if options.json else line(figures))
    return 0 if fleet.held(figures, found) else 1


def _drill_soak(options: argparse.Namespace) -> int:
    from lemonridge.lab.drills import soak
    from lemonridge.lab.soak_mutants import MUTANTS

    if options.mutation is not None and options.mutation not in MUTANTS:
        raise ConfigError(f"drill soak: --mutation is one of {', '.join(MUTANTS)}")
    figures, found = asyncio.run(
        soak.run(soak.Options(options.seed, options.seconds, options.mutation or ""))
    )
    for note in found.notes:
        print(note)
    print(orjson.dumps(figures).decode() if options.json else line(figures))
    return 0 if soak.held(found) else 1


def _drill_policy(options: argparse.Namespace) -> int:
    from lemonridge.lab.drills import policy

    if not 3 <= options.brokers <= 16 or options.seconds < 12:
        raise ConfigError("drill policy: --brokers from 3 to 16, --seconds from 12")
    told = policy.Options(
        options.seed, options.seconds, options.brokers, not options.calm, options.mutation or ""
    )
    try:
        figures, found, answers = asyncio.run(policy.run(told))
    except ProgramError as error:
        print(f"lemonridge: a broker failed: {error}", file=sys.stderr)
        return 1
    for note in (*found.notes, *answers.notes):
        print(note)
    print(orjson.dumps(figures).decode() if options.json else line(figures))
    return 0 if policy.held(figures, found, answers) else 1


def bench(options: argparse.Namespace) -> int:
    """Print the figures, a line each; 1 where the map misses its bounds, or CPU rose by more than a tenth."""
    if options.name == "decisions":
        from lemonridge.lab.measure import decisions as bench_decisions

        figures = bench_decisions.ratio(options.seed)
        print(line(figures))
        return 0 if float(str(figures["ratio"])) <= 2 else 1
    if options.name == "fleet":
        return _bench_fleet(options)
    if options.name == "policy":
        return _bench_policy(options)
    if options.name == "nodes":
        from lemonridge.lab.measure import nodes as bench_nodes

        rows = bench_nodes.figures(max(options.seconds, 20.0), options.seed)
        for row in rows:
            print(line(row))
        return 0 if all(row["holds"] for row in rows) else 1
    if options.name == "iscsi":
        told = bench_iscsi.figures(options.seconds, options.against)
        for row in told:
            print(line(row))
        print(line(bench_iscsi.recovery()))
        small = float(str(told[0].get("cpu_ratio", 0)))
        return 0 if small <= 1.1 else 1
    rows = bench_extents.map_figures(options.seed)
    for row in [*rows, *bench_extents.wire_figures(options.seed, options.seconds)]:
        print(line(row))
    print(line(bench_extents.cpu_ratio(options.seed, options.seconds)))
    big = rows[-1]
    return 0 if float(str(big["mib"])) <= 64 and float(str(big["lookup_ratio"])) <= 3 else 1


def _bench_fleet(options: argparse.Namespace) -> int:
    """What docs/fleet-state.md states: 1 where a node fell, or a state passed a budget."""
    if options.part == "membership":
        from lemonridge.lab.measure import membership

        for row in membership.figures():
            print(line(row), flush=True)
        return 0
    if options.part == "cold":
        from lemonridge.lab.measure import fleet_cold

        rows = fleet_cold.figures((options.seed, options.seed + 1))
        for row in rows:
            print(line(row))
        return 1 if any(row["falls"] for row in rows) else 0
    from lemonridge.lab.checkers import escrow

    broken = False
    for bounds in escrow.STATED:
        found = escrow.search(bounds)
        broken = broken or bool(found.broken) or not found.whole
        print(
            line(
                {
                    "bench": "fleet",
                    "part": "states",
                    "asks": bounds.asks,
                    "flights": bounds.flights,
                    "doubles": bounds.doubles,
                    "crashes": bounds.crashes,
                    "lags": bounds.lags,
                    "recalls": bounds.recalls,
                    "budgets": len(bounds.budgets),
                    "states": found.states,
                    "whole": int(found.whole),
                    "broken": found.broken or "none",
                }
            ),
            flush=True,
        )
        for move in found.path:
            print(f"  {move}")
    return 1 if broken else 0


def _bench_policy(options: argparse.Namespace) -> int:
    """What docs/policy-change.md states: 1 where a state is wrong."""
    if options.part in ("switch", "processes"):
        from lemonridge.lab.measure import rollout as measured

        rows = []
        if options.part == "processes" or options.plot:
            from lemonridge.lab.measure import rollout_live

            for size in rollout_live.SIZES:
                rows += rollout_live.figures(options.seed, (size,))
                print(line(rows[-1]), flush=True)
        if options.part == "switch":
            model = measured.figures()
            rows += model
            for row in model:
                print(line(row), flush=True)
        if options.plot:
            measured.plot(rows, options.plot)
        return 0
    from lemonridge.lab.checkers import rollout

    broken = False
    searches = [(rollout.agreement(one), "agreement", one) for one in rollout.STATED_AGREEMENT]
    searches += [(rollout.leases(one), "leases", one) for one in rollout.STATED_LEASES]  # type: ignore[misc]
    for found, what, bounds in searches:
        broken = broken or bool(found.broken) or not found.whole
        print(
            line(
                {
                    "bench": "policy",
                    "part": what,
                    "tries": sum(bounds.tries),
                    "wipes": bounds.wipes,
                    "crashes": bounds.crashes,
                    "asks": bounds.asks,
                    "ticks": bounds.ticks,
                    "flights": bounds.flights,
                    "lags": bounds.lags,
                    "restarts": bounds.restarts,
                    "epochs": bounds.epochs,
                    "states": found.states,
                    "voters": "-".join(str(len(one)) for one in bounds.sets) or "all",
                    "whole": int(found.whole),
                    "broken": found.broken or "none",
                }
            ),
            flush=True,
        )
        for move in found.path:
            print(f"  {move}")
    return 1 if broken else 0


def line(figures: dict[str, object]) -> str:
    """key=value, as the log has it."""
    return " ".join(
        f'{name}="{value}"' if " " in str(value) else f"{name}={value}" for name, value in figures.items()
    )


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
    counts = {
        outcome: sum(one.outcome == outcome for one in results) for outcome in ("passed", "failed", "skipped")
    }
    print(line({"conform": options.name, "cases": len(results), **counts}))
    return 0 if results and not counts["failed"] else 1


def lab(options: argparse.Namespace) -> int:
    """The parts of `lemonridge lab`."""
    try:
        import numpy  # noqa: F401
        import simpy  # noqa: F401
    except ImportError:
        raise ConfigError("lab needs the extra of that name: pip install 'lemonridge[lab]'") from None
    from lemonridge.lab.model import runs

    if options.part == "one":
        print(orjson.dumps(runs.one(options.file, options.index, options.seed_base)).decode())
        return 0
    if options.part == "run":
        return _lab_run(options)
    if options.part == "validate":
        return _lab_validate(options)
    from lemonridge.lab.model import report

    if options.part == "compare":
        try:
            told = report.paired(
                runs.read_results(options.before), runs.read_results(options.after), options.figure
            )
        except (ValueError, KeyError) as error:
            raise ConfigError(f"cannot compare: {error}") from None
        print(line({"figure": options.figure, **{name: round(value, 6) for name, value in told.items()}}))
        return 0
    results = runs.read_results(options.results)
    if not results or options.factor not in results[0]["levels"]:
        raise ConfigError(f"{options.results} has no runs with the factor {options.factor!r}")
    report.plot(results, options.factor, options.figure, options.output, options.by)
    return 0


def _lab_run(options: argparse.Namespace) -> int:
    from lemonridge.lab.model import runs

    if options.jobs < 1:
        raise ConfigError("lab: --jobs must be 1 or more")
    out = Path(options.out or f"{options.file}.results")
    results, died = asyncio.run(
        runs.run_all(
            options.file, options.jobs, out, options.seed_base, lambda text: print(text, file=sys.stderr)
        )
    )
    for result in results:
        print(
            line(
                {**result["levels"], "seed": result["seed"], **result["figures"], "cpu_us": result["cpu_us"]}
            )
        )
    wrong = runs.broken(results)
    print(
        line(
            {
                "lab": Path(options.file).stem,
                "runs": len(results),
                "died": len(died),
                "rules_broken": wrong,
                "digest": runs.digest(results),
            }
        )
    )
    return 0 if not died and not wrong else 1


def _lab_validate(options: argparse.Namespace) -> int:
    """`lemonridge lab validate`: the figures side by side; 0 only where each lies within its bound."""
    from lemonridge.lab.measure import validate

    if not 1 <= options.nodes <= 32 or not 1 <= options.work_ms <= 1000 or not 0 < options.load <= 1.5:
        raise ConfigError("validate: --nodes from 1 to 32, --work-ms from 1 to 1000, --load above 0 to 1.5")
    if not 1 <= options.seconds <= 600:
        raise ConfigError("validate: --seconds from 1 to 600")
    try:
        rows = validate.validate(options.nodes, options.work_ms, options.load, options.seconds, options.seed)
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    for row in rows:
        print(
            f"{row.name:8} model {row.model:10.3f}  program {row.real:10.3f}  bound {row.bound:8.3f}  "
            f"{'held' if row.held else 'NOT HELD'}"
        )
    figures: dict[str, object] = {"lab": "validate", "held": int(all(row.held for row in rows))}
    for row in rows:
        figures[f"{row.name}_model"], figures[f"{row.name}_program"] = round(row.model, 3), round(row.real, 3)
    print(line(figures))
    return 0 if figures["held"] else 1


def load(options: argparse.Namespace) -> int:
    """`lemonridge load`: a line a second, then the summary; 1 where nothing was served."""
    try:
        from lemonridge.lab.load import iscsi as tool
        from lemonridge.lab.load.openloop import Tally
    except ImportError:
        raise ConfigError("load needs the extra lab: pip install 'lemonridge[lab]'") from None
    if not 0 < options.rate <= 20_000 or not 0 < options.seconds <= 3600 or not 0 < options.size_kib <= 256:
        raise ConfigError("load: --rate up to 20000, --seconds up to 3600, --size-kib up to 256")
    if not 0 <= options.writes <= 1:
        raise ConfigError("load: --writes is a share")
    port = 0
    if options.target:
        at = Address.parse(options.target, "--target")
        if at.host not in ("127.0.0.1", "::1", "localhost"):
            raise ConfigError("load: --target must lie on loopback")
        port = at.port

    if options.name == "http":
        return _load_http(options, port)

    async def whole() -> Tally:
        def plan(port: int) -> tool.Plan:
            return tool.Plan(
                port,
                options.iqn,
                options.rate,
                options.seconds,
                options.size_kib * 1024,
                options.writes,
                arrivals=options.arrivals,
                seed=options.seed,
            )

        if port:
            return await tool.run(plan(port), print)
        async with bench_iscsi.standing() as (_, held):
            return await tool.run(plan(held), print)

    try:
        tally = asyncio.run(whole())
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    if options.hdr:
        _write_hdr(options.hdr, tally.times)
    print(line({"load": options.name, **tally.figures()}))
    return 0 if tally.served else 1


def _load_http(options: argparse.Namespace, port: int) -> int:
    """`lemonridge load http`: at `--target`, or at a broker before `--serve-standins` nodes of its own."""
    from lemonridge.lab.load import http as tool
    from lemonridge.lab.load.openloop import Tally

    if not 1 <= options.serve_standins <= 64 or not 1 <= options.connections <= 1024:
        raise ConfigError("load: --serve-standins from 1 to 64, --connections from 1 to 1024")
    if not 10 <= options.deadline_ms <= 60_000:
        raise ConfigError("load: --deadline-ms from 10 to 60000")

    def plan(at: int) -> tool.Plan:
        return tool.Plan(
            at,
            options.rate,
            options.seconds,
            deadline_ms=options.deadline_ms,
            arrivals=options.arrivals,
            connections=options.connections,
            seed=options.seed,
        )

    async def whole() -> tuple[Tally, dict[str, int]]:
        if port:
            return await tool.run(plan(port), print), {}
        async with tool.standing(
            options.serve_standins, deadline_ms=options.deadline_ms, seed=options.seed
        ) as (program, at, _):
            tally = await tool.run(plan(at), print)
        return tally, program.counts

    try:
        tally, counts = asyncio.run(whole())
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    if options.hdr:
        _write_hdr(options.hdr, tally.times)
    broker = {
        f"broker_{name}": counts.get(name, 0)
        for name in ("answers.served", "answers.refused", "answers.failed", "connections.opened")
    }
    print(line({"load": "http", **tally.figures(), **(broker if counts else {})}))
    return 0 if tally.served else 1


def _write_hdr(path: str, times: dict[str, Any]) -> None:
    """One HdrHistogram a kind, a line each: the kind, a comma, the histogram in its compressed form."""
    with open(path, "w", encoding="ascii") as file:
        for kind, held in times.items():
            file.write(f"{kind},{held.encode().decode()}\n")


def demo(options: argparse.Namespace) -> int:
    """`lemonridge demo`: 0 if most was served though a node died."""
    if not 2 <= options.seconds <= 3600:
        raise ConfigError("demo: --seconds must lie between 2 and 3600")
    try:
        from lemonridge.lab import demo as shown
    except ImportError:
        raise ConfigError("demo needs the extra lab: pip install 'lemonridge[lab]'") from None
    try:
        told = shown.main(options.seconds)
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    print(line(told))
    return 0 if int(str(told["served"])) * 2 > int(str(told["due"])) else 1
