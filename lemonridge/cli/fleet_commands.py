"""`fleet status`: the fleet as its brokers see it."""

from __future__ import annotations

import argparse
import sys

from lemonridge.config.address import Address


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add `fleet`."""
    command = commands.add_parser("fleet", help="the fleet, as its brokers see it")
    command.add_argument("part", choices=("status",))
    command.add_argument(
        "address", nargs="+", metavar="ADDR", help="HOST:PORT, where operators call a broker"
    )
    command.add_argument("--json", action="store_true")
    command.set_defaults(run=status)


def status(options: argparse.Namespace) -> int:
    """Print each broker's view; 0 if all brokers answered and their views are of a whole fleet, else 1."""
    import asyncio

    import orjson

    from lemonridge.fleet.status_report import all_members_up, table
    from lemonridge.net.admin_client import fetch_fleet_views

    addresses = [Address.parse(one, "ADDR") for one in options.address]
    reports, failures = asyncio.run(fetch_fleet_views(addresses))
    if options.json:
        print(orjson.dumps({"brokers": reports, "silent": failures}, option=orjson.OPT_INDENT_2).decode())
    elif reports:
        print(table(reports))
    for line in failures:
        print(f"lemonridge: {line}", file=sys.stderr)
    return 0 if reports and not failures and all_members_up(reports) else 1
