"""The command `serve`: runs the broker."""

from __future__ import annotations

import argparse
import gc
import sys

from lemonridge.cli import configuration
from lemonridge.config.errors import ConfigError
from lemonridge.service import ignored_signals, log_format


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the parser of `serve`."""
    command = commands.add_parser("serve", help="run the broker")
    command.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
    configuration.add_options(command)
    command.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serves until SIGTERM or SIGINT; returns the exit status 0.

    Raises:
        ConfigError: The configuration cannot be used, or the broker cannot listen on a configured address.
    """
    gc.disable()  # startup creates no garbage, and collections would take a seventh of its CPU time
    ignored_signals.ignore_control_signals()
    configured = configuration.load(options)
    writer = log_format.set_up(options.log_level)
    if configured.iscsi is None:
        # The platform uses plain TCP, and loading OpenSSL with its certificates takes a sixth of startup.
        # Both asyncio and aiohttp work without ssl if it cannot be imported.
        sys.modules["ssl"] = None  # type: ignore[assignment]
    import asyncio

    from lemonridge.service.process import serve  # slow to import, so only for `serve`

    gc.freeze()
    gc.enable()
    try:
        asyncio.run(serve(configured.platform, configured.iscsi, configured.fleet))
    except OSError as error:
        raise ConfigError(f"cannot listen: {error.strerror or error}") from None
    finally:
        ignored_signals.ignore_all()
        writer.finish()
    return 0
