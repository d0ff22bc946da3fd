"""`drill`: rehearses failures against the real program on loopback.

Exit status: 0, or 1 where a rule broke or the drill did not meet what it is for.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Callable, Iterable
from pathlib import Path

import orjson

from lemonridge.cli.figures import line
from lemonridge.config.errors import ConfigError
from lemonridge.lab.drills import extents as drill_extents
from lemonridge.lab.drills import iscsi as drill_iscsi
from lemonridge.lab.program import ProgramError


def drill(options: argparse.Namespace) -> int:
    """Run the drill, print its notes and figures; the exit status.

    Raises:
        ConfigError: an option lies outside its bounds.
    """
    if not 0 < options.seconds <= 3600 or options.move_every_ms < 0:
        raise ConfigError("drill: --seconds must lie within an hour, --move-every-ms must not be negative")
    return DRILLS[options.name](options)


def _print_figures(options: argparse.Namespace, notes: Iterable[str], figures: dict[str, object]) -> None:
    for note in notes:
        print(note)
    print(orjson.dumps(figures).decode() if options.json else line(figures))


def _broker_failed(error: ProgramError, broker: str = "the broker") -> int:
    print(f"lemonridge: {broker} failed: {error}", file=sys.stderr)
    return 1


def _drill_iscsi(options: argparse.Namespace) -> int:
    try:
        figures, found = asyncio.run(
            drill_iscsi.Drill(drill_iscsi.Options(options.seed, options.seconds)).run()
        )
    except ProgramError as error:
        return _broker_failed(error)
    _print_figures(options, found.notes, figures)
    return 0 if drill_iscsi.held(figures) else 1


def _drill_extents(options: argparse.Namespace) -> int:
    chosen = drill_extents.Options(
        options.seed,
        options.seconds,
        options.move_every_ms / 1000,
        faults=not options.calm,
        checked=options.mutation != "unchecked",
    )
    try:
        figures, found = asyncio.run(drill_extents.Drill(chosen).run())
    except ProgramError as error:
        return _broker_failed(error)
    _print_figures(options, found.notes, figures)
    return 0 if drill_extents.held(figures, chosen) else 1


def _drill_fleet(options: argparse.Namespace) -> int:
    from lemonridge.lab.drills import fleet
    from lemonridge.lab.links import schedule

    if not 2 <= options.brokers <= 32 or options.mutation == "unchecked":
        raise ConfigError("drill fleet: --brokers from 2 to 32, and a mutation of its own")
    chosen = fleet.Options(
        options.seed,
        options.seconds,
        options.brokers,
        not options.even,
        not options.calm,
        options.mutation or "",
    )
    faults = schedule.read(options.schedule) if options.schedule else fleet.plan(chosen)
    if options.write_schedule:
        Path(options.write_schedule).write_text(schedule.write(faults))
        return 0
    try:
        figures, found, _ = asyncio.run(fleet.run(chosen, faults))
    except ProgramError as error:
        return _broker_failed(error, "a broker")
    _print_figures(options, found.notes, figures)
    return 0 if fleet.held(figures, found) else 1


def _drill_soak(options: argparse.Namespace) -> int:
    from lemonridge.lab.drills import soak
    from lemonridge.lab.soak_mutants import MUTANTS

    if options.mutation is not None and options.mutation not in MUTANTS:
        raise ConfigError(f"drill soak: --mutation is one of {', '.join(MUTANTS)}")
    figures, found = asyncio.run(
        soak.run(soak.Options(options.seed, options.seconds, options.mutation or ""))
    )
    _print_figures(options, found.notes, figures)
    return 0 if soak.held(found) else 1


def _drill_policy(options: argparse.Namespace) -> int:
    from lemonridge.lab.drills import policy

    if not 3 <= options.brokers <= 16 or options.seconds < 12:
        raise ConfigError("drill policy: --brokers from 3 to 16, --seconds from 12")
    chosen = policy.Options(
        options.seed, options.seconds, options.brokers, not options.calm, options.mutation or ""
    )
    try:
        figures, found, answers = asyncio.run(policy.run(chosen))
    except ProgramError as error:
        return _broker_failed(error, "a broker")
    _print_figures(options, (*found.notes, *answers.notes), figures)
    return 0 if policy.held(figures, found, answers) else 1


DRILLS: dict[str, Callable[[argparse.Namespace], int]] = {
    "extents": _drill_extents,
    "fleet": _drill_fleet,
    "iscsi": _drill_iscsi,
    "policy": _drill_policy,
    "soak": _drill_soak,
}
