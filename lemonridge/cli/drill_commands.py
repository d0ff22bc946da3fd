"""The command `drill`: injects failures into the real program on loopback and checks its guarantees.

The exit status is 0 if all rules held, and 1 if one was broken or the drill did not exercise what it tests.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Callable, Iterable
from pathlib import Path

import orjson

from lemonridge.cli.figures import format_figures
from lemonridge.config.errors import ConfigError
from lemonridge.lab.drills import extents as drill_extents
from lemonridge.lab.drills import iscsi as drill_iscsi
from lemonridge.lab.program import ProgramError


def drill(options: argparse.Namespace) -> int:
    """Runs a drill and prints its notes and figures; returns the exit status.

    Raises:
        ConfigError: An option is out of bounds.
    """
    if not 0 < options.seconds <= 3600 or options.move_every_ms < 0:
        raise ConfigError("drill: --seconds must be above 0 and at most 3600, --move-every-ms at least 0")
    return DRILLS[options.name](options)


def _print_figures(options: argparse.Namespace, notes: Iterable[str], figures: dict[str, object]) -> None:
    for note in notes:
        print(note)
    print(orjson.dumps(figures).decode() if options.json else format_figures(figures))


def _broker_failed(error: ProgramError, broker: str = "the broker") -> int:
    print(f"lemonridge: {broker} failed: {error}", file=sys.stderr)
    return 1


def _drill_iscsi(options: argparse.Namespace) -> int:
    try:
        figures, findings = asyncio.run(
            drill_iscsi.Drill(drill_iscsi.Options(options.seed, options.seconds)).run()
        )
    except ProgramError as error:
        return _broker_failed(error)
    _print_figures(options, findings.notes, figures)
    return 0 if drill_iscsi.passed(figures) else 1


def _drill_extents(options: argparse.Namespace) -> int:
    drill_options = drill_extents.Options(
        options.seed,
        options.seconds,
        options.move_every_ms / 1000,
        faults=not options.calm,
        checked=options.mutation != "unchecked",
    )
    try:
        figures, findings = asyncio.run(drill_extents.Drill(drill_options).run())
    except ProgramError as error:
        return _broker_failed(error)
    _print_figures(options, findings.notes, figures)
    return 0 if drill_extents.passed(figures, drill_options) else 1


def _drill_fleet(options: argparse.Namespace) -> int:
    from lemonridge.lab.drills import fleet
    from lemonridge.lab.links import schedule

    if not 2 <= options.brokers <= 32 or options.mutation == "unchecked":
        raise ConfigError("drill fleet: --brokers must be from 2 to 32, --mutation must be one of this drill")
    drill_options = fleet.Options(
        options.seed,
        options.seconds,
        options.brokers,
        not options.even,
        not options.calm,
        options.mutation or "",
    )
    faults = (
        schedule.read_schedule(options.schedule) if options.schedule else fleet.fault_schedule(drill_options)
    )
    if options.write_schedule:
        Path(options.write_schedule).write_text(schedule.format_schedule(faults))
        return 0
    try:
        figures, findings, _ = asyncio.run(fleet.run(drill_options, faults))
    except ProgramError as error:
        return _broker_failed(error, "a broker")
    _print_figures(options, findings.notes, figures)
    return 0 if fleet.passed(figures, findings) else 1


def _drill_soak(options: argparse.Namespace) -> int:
    from lemonridge.lab.drills import soak
    from lemonridge.lab.soak_mutants import MUTANTS

    if options.mutation is not None and options.mutation not in MUTANTS:
        raise ConfigError(f"drill soak: --mutation must be one of {', '.join(MUTANTS)}")
    figures, findings = asyncio.run(
        soak.run(soak.Options(options.seed, options.seconds, options.mutation or ""))
    )
    _print_figures(options, findings.notes, figures)
    return 0 if soak.passed(findings) else 1


def _drill_policy(options: argparse.Namespace) -> int:
    from lemonridge.lab.drills import policy

    if not 3 <= options.brokers <= 16 or options.seconds < 12:
        raise ConfigError("drill policy: --brokers must be from 3 to 16, --seconds at least 12")
    drill_options = policy.Options(
        options.seed, options.seconds, options.brokers, not options.calm, options.mutation or ""
    )
    try:
        figures, findings, answer_findings = asyncio.run(policy.run(drill_options))
    except ProgramError as error:
        return _broker_failed(error, "a broker")
    _print_figures(options, (*findings.notes, *answer_findings.notes), figures)
    return 0 if policy.passed(figures, findings, answer_findings) else 1


DRILLS: dict[str, Callable[[argparse.Namespace], int]] = {
    "extents": _drill_extents,
    "fleet": _drill_fleet,
    "iscsi": _drill_iscsi,
    "policy": _drill_policy,
    "soak": _drill_soak,
}
