"""The commands `conform`, `demo` and `lab`: their output and exit status."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

import orjson

from lemonridge.cli.figures import format_figures
from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.lab.conform import suite
from lemonridge.lab.program import ProgramError


def conform(options: argparse.Namespace) -> int:
    """Prints the failed and skipped cases and the counts; returns 0 if cases ran and none failed, else 1."""
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
        results = asyncio.run(suite.run(options.case, options.seed, target, on_result=print_result))
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    counts = {
        outcome: sum(result.outcome == outcome for result in results)
        for outcome in ("passed", "failed", "skipped")
    }
    print(format_figures({"conform": options.name, "cases": len(results), **counts}))
    return 0 if results and not counts["failed"] else 1


def demo(options: argparse.Namespace) -> int:
    """Prints the figures; returns 0 if over half of the requests were served although a node died, else 1.

    Raises:
        ConfigError: The extra `lab` is not installed, or an option is out of bounds.
    """
    if not 2 <= options.seconds <= 3600:
        raise ConfigError("demo: --seconds must be from 2 to 3600")
    try:
        from lemonridge.lab import demo as demo_run
    except ImportError:
        raise ConfigError("demo needs the extra lab: pip install 'lemonridge[lab]'") from None
    try:
        figures = demo_run.main(options.seconds)
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    print(format_figures(figures))
    return 0 if int(str(figures["served"])) * 2 > int(str(figures["due"])) else 1


def lab(options: argparse.Namespace) -> int:
    """Runs one of the subcommands of `lab`; returns the exit status.

    Raises:
        ConfigError: The extra `lab` is not installed, or a file or an option cannot be used.
    """
    try:
        import numpy  # noqa: F401
        import simpy  # noqa: F401
    except ImportError:
        raise ConfigError("lab needs the extra lab: pip install 'lemonridge[lab]'") from None
    from lemonridge.lab.model import runs

    if options.part == "one":
        print(orjson.dumps(runs.run_one(options.file, options.index, options.seed_base)).decode())
        return 0
    if options.part == "run":
        return _lab_run(options)
    if options.part == "validate":
        return _lab_validate(options)
    from lemonridge.lab.model import report

    if options.part == "compare":
        try:
            figures = report.paired_difference(
                runs.read_results(options.before), runs.read_results(options.after), options.figure
            )
        except (ValueError, KeyError) as error:
            raise ConfigError(f"cannot compare: {error}") from None
        print(
            format_figures(
                {"figure": options.figure, **{name: round(value, 6) for name, value in figures.items()}}
            )
        )
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
    results, failed_runs = asyncio.run(
        runs.run_all(
            options.file, options.jobs, out, options.seed_base, lambda text: print(text, file=sys.stderr)
        )
    )
    for result in results:
        print(
            format_figures(
                {**result["levels"], "seed": result["seed"], **result["figures"], "cpu_us": result["cpu_us"]}
            )
        )
    broken_rules = runs.count_violations(results)
    print(
        format_figures(
            {
                "lab": Path(options.file).stem,
                "runs": len(results),
                "died": len(failed_runs),
                "rules_broken": broken_rules,
                "digest": runs.digest(results),
            }
        )
    )
    return 0 if not failed_runs and not broken_rules else 1


def _lab_validate(options: argparse.Namespace) -> int:
    """Prints the figures of the model and the program; returns 0 if all are within their bounds, else 1."""
    from lemonridge.lab.measure import validate

    if not 1 <= options.nodes <= 32 or not 1 <= options.work_ms <= 1000 or not 0 < options.load <= 1.5:
        raise ConfigError(
            "validate: --nodes must be 1 to 32, --work-ms 1 to 1000, --load above 0 and at most 1.5"
        )
    if not 1 <= options.seconds <= 600:
        raise ConfigError("validate: --seconds must be from 1 to 600")
    try:
        rows = validate.validate(options.nodes, options.work_ms, options.load, options.seconds, options.seed)
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    for row in rows:
        print(
            f"{row.name:8} model {row.model:10.3f}  program {row.real:10.3f}  bound {row.bound:8.3f}  "
            f"{'held' if row.within_bound else 'NOT HELD'}"
        )
    figures: dict[str, object] = {"lab": "validate", "held": int(all(row.within_bound for row in rows))}
    for row in rows:
        figures[f"{row.name}_model"], figures[f"{row.name}_program"] = round(row.model, 3), round(row.real, 3)
    print(format_figures(figures))
    return 0 if figures["held"] else 1
