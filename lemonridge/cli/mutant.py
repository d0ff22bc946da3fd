"""Runs the real program with a shifted clock or a planted fault, for drills and tests that must detect it.

`python -m lemonridge.cli.mutant clock=500 serve ...` runs `lemonridge serve ...` with a clock that is 500 ms
ahead. `fleet-fault=NAME` plants a fault of `fleet_mutants.FAULTS`, `soak-fault=NAME` one of
`soak_mutants.MUTANTS`.
"""

from __future__ import annotations

import sys

from lemonridge.cli.main import main as run_command
from lemonridge.lab import fleet_mutants, soak_mutants


def main(arguments: list[str]) -> int:
    """Applies the leading `key=value` arguments, then runs the rest as a lemonridge command."""
    while arguments and "=" in arguments[0]:
        name, _, value = arguments.pop(0).partition("=")
        if name == "clock":
            fleet_mutants.shift_clock(float(value))
        elif name == "fleet-fault":
            fleet_mutants.FAULTS[value]()
        else:
            soak_mutants.MUTANTS[value][0]()
    return run_command(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
