"""The entry point of the command line; each group of commands has a module of its own."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from lemonridge import __version__
from lemonridge.cli import configuration, fleet_commands, lab_parsers, serve
from lemonridge.config.errors import ConfigError

EXIT_BAD_INPUT = 2


def parser() -> argparse.ArgumentParser:
    """Returns the parser of all commands, in the order of the help text."""
    top = argparse.ArgumentParser(prog="lemonridge", description="A broker for shared storage nodes.")
    commands = top.add_subparsers(required=True, metavar="COMMAND")
    serve.add_parser(commands)
    configuration.add_parsers(commands)
    lab_parsers.add_parsers(commands)
    fleet_commands.add_parser(commands)
    policy = commands.add_parser("policy", help="manage the fleet's policy: check, propose, status ...")
    policy.add_argument("words", nargs=argparse.REMAINDER, metavar="PART ...")
    policy.set_defaults(run=_policy)
    lab_parsers.add_lab(commands)
    version = commands.add_parser("version", help="print the version")
    version.set_defaults(run=_version)
    return top


def _policy(options: argparse.Namespace) -> int:
    from lemonridge.cli import policy_commands  # loads msgspec, which `serve` may not need

    return policy_commands.run(policy_commands.parser().parse_args(options.words))


def _version(_: argparse.Namespace) -> int:
    print(f"lemonridge {__version__}")
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a command and returns its exit status; bad input is reported in one line, with exit status 2."""
    options = parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except ConfigError as error:
        print(f"lemonridge: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
