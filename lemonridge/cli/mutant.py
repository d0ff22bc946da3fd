"""The real program with a shifted clock or a planted fault, for drills and tests that have to find it.

`python -m lemonridge.cli.mutant clock=500 serve ...` starts it half a second ahead; `fleet-fault=NAME` and
`soak-fault=NAME` plant a fault of that list. The rest is a command line.
"""

from __future__ import annotations

import sys

from lemonridge.cli.main import main as run
from lemonridge.lab import fleet_mutants, soak_mutants


def main(arguments: list[str]) -> int:
    """Plant what the leading `key=value` arguments name, then run the rest as a command line."""
    while arguments and "=" in arguments[0]:
        name, _, value = arguments.pop(0).partition("=")
        if name == "clock":
            fleet_mutants.shift_clock(float(value))
        elif name == "fleet-fault":
            fleet_mutants.FAULTS[value]()
        else:
            soak_mutants.MUTANTS[value][0]()
    return run(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
