"""`conform`, `demo` and `lab`: what they print, and how they end."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

import orjson

from lemonridge.cli.figures import line
from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.lab.conform import suite
from lemonridge.lab.program import ProgramError


def conform(options: argparse.Namespace) -> int:
    """Print what failed and what was skipped, then the counts; 0 only if nothing failed."""
    target = None
    if options.target:
        address = Address.parse(options.target, "--target")
        target = (address.host, address.port)

    def print_result(result: suite.Result) -> None:
        if options.json:
            print(orjson.dumps(vars(result)).decode())
        elif result.outcome != "passed":
            print(f"{result.outcome} {result.name} ({result.section}): {result.why}")

    try:
        results = asyncio.run(suite.run(options.case, options.seed, target, done=print_result))
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    counts = {
        outcome: sum(one.outcome == outcome for one in results) for outcome in ("passed", "failed", "skipped")
    }
    print(line({"conform": options.name, "cases": len(results), **counts}))
    return 0 if results and not counts["failed"] else 1


def demo(options: argparse.Namespace) -> int:
    """Print the figures; 0 if most requests were served though an endpoint died.

    Raises:
        ConfigError: the extra `lab` is missing, or an option lies outside its bounds.
    """
    if not 2 <= options.seconds <= 3600:
        raise ConfigError("demo: --seconds must lie between 2 and 3600")
    try:
        from lemonridge.lab import demo as shown
    except ImportError:
        raise ConfigError("demo needs the extra lab: pip install 'lemonridge[lab]'") from None
    try:
        figures = shown.main(options.seconds)
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    print(line(figures))
    return 0 if int(str(figures["served"])) * 2 > int(str(figures["due"])) else 1


def lab(options: argparse.Namespace) -> int:
    """Run one of the parts of `lab`; the exit status.

    Raises:
        ConfigError: the extra `lab` is missing, or a file or an option cannot be used.
    """
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
            figures = report.paired(
                runs.read_results(options.before), runs.read_results(options.after), options.figure
            )
        except (ValueError, KeyError) as error:
            raise ConfigError(f"cannot compare: {error}") from None
        print(line({"figure": options.figure, **{name: round(value, 6) for name, value in figures.items()}}))
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
