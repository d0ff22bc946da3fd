"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from collections.abc import Sequence

from lemonridge import __version__, config, logs
from lemonridge.iscsi import config as iscsi


def _load(options: argparse.Namespace) -> tuple[config.Platform | None, iscsi.Iscsi | None]:
    """The platform's configuration, unless there is only an operator's file, and that file."""
    operators = iscsi.load(options.config) if options.config else None
    platform = None if operators and "ROUTER_CONFIG" not in os.environ else config.load()
    return platform, operators


def _serve(options: argparse.Namespace) -> int:
    platform, operators = _load(options)
    writer = logs.set_up(options.log_level)
    from lemonridge.app import serve  # only `serve` pays for loading the network's parts

    try:
        asyncio.run(serve(platform, operators))
    except OSError as error:
        raise config.ConfigError(f"cannot listen: {error.strerror or error}") from None
    finally:
        writer.finish()
    return 0


def _check_config(options: argparse.Namespace) -> int:
    platform, operators = _load(options)
    if platform:
        print(f"ok: {platform.name} listens on {platform.listen}, discovery at {platform.discovery}, "
              f"{len(platform.classes)} classes, {len(platform.plans)} plans")
    if operators:
        print(f"ok: {operators.target} listens on {operators.listen}, {len(operators.luns)} LUNs, "
              f"{len(operators.nodes)} nodes, {len(operators.plans)} plans")
    return 0


def _version(_: argparse.Namespace) -> int:
    print(f"lemonridge {__version__}")
    return 0


def parser() -> argparse.ArgumentParser:
    """The options and sub-commands."""
    top = argparse.ArgumentParser(prog="lemonridge", description="A broker before shared storage nodes.")
    commands = top.add_subparsers(required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run the broker")
    serve.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
    serve.set_defaults(run=_serve)
    check = commands.add_parser("check-config", help="read the configuration, say what it holds")
    for command in (serve, check):
        command.add_argument("--config", metavar="FILE", help="an operator's file: the iSCSI front")
    check.set_defaults(run=_check_config)
    version = commands.add_parser("version", help="print the version")
    version.set_defaults(run=_version)
    return top


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a sub-command; bad input gets one plain line and exit status 2."""
    options = parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except config.ConfigError as error:
        print(f"lemonridge: {error}", file=sys.stderr)
        return 2
