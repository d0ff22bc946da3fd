"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence

from lemonridge import __version__, config, logs


def _serve(options: argparse.Namespace) -> int:
    platform = config.load()
    logs.set_up(options.log_level)
    from lemonridge.app import serve_platform  # only `serve` pays for loading the network's parts

    try:
        asyncio.run(serve_platform(platform))
    except OSError as error:
        raise config.ConfigError(f"cannot listen on {platform.listen}: {error.strerror or error}") from None
    return 0


def _check_config(_: argparse.Namespace) -> int:
    platform = config.load()
    print(f"ok: {platform.name} listens on {platform.listen}, discovery at {platform.discovery}, "
          f"{len(platform.classes)} classes, {len(platform.plans)} plans")
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
