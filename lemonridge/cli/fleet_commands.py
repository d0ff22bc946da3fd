"""The command `fleet status`: shows the fleet as seen by its brokers."""

from __future__ import annotations

import argparse
import sys

from lemonridge.config.address import Address


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the parser of `fleet`."""
    command = commands.add_parser("fleet", help="show the fleet as seen by its brokers")
    command.add_argument("part", choices=("status",))
    command.add_argument(
        "address", nargs="+", metavar="ADDR", help="HOST:PORT of a broker's server for operators' calls"
    )
    command.add_argument("--json", action="store_true")
    command.set_defaults(run=status)


def status(options: argparse.Namespace) -> int:
    """Prints each broker's view; returns 0 if all brokers answered and see all members up, else 1."""
    import asyncio

    import orjson

    from lemonridge.fleet.status_report import all_members_up, format_table
    from lemonridge.net.admin_client import fetch_fleet_views

    addresses = [Address.parse(address, "ADDR") for address in options.address]
    reports, failures = asyncio.run(fetch_fleet_views(addresses))
    if options.json:
        print(orjson.dumps({"brokers": reports, "silent": failures}, option=orjson.OPT_INDENT_2).decode())
    elif reports:
        print(format_table(reports))
    for failure in failures:
        print(f"lemonridge: {failure}", file=sys.stderr)
    return 0 if reports and not failures and all_members_up(reports) else 1
