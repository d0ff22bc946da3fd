"""`serve`: the broker's process."""

from __future__ import annotations

import argparse
import gc
import sys

from lemonridge.cli import configuration
from lemonridge.config.errors import ConfigError
from lemonridge.service import ignored_signals, log_format


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add `serve`."""
    command = commands.add_parser("serve", help="run the broker")
    command.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
    configuration.add_options(command)
    command.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serve until SIGTERM or SIGINT; the exit status is 0.

    Raises:
        ConfigError: the configuration cannot be used, or its address cannot be listened at.
    """
    gc.disable()  # a start makes no garbage, and collecting it takes a seventh of a start's processor time
    ignored_signals.ignore_reload_signals()
    configured = configuration.load(options)
    writer = log_format.set_up(options.log_level)
    if configured.iscsi is None:
        # The platform speaks plain TCP, and OpenSSL with its certificates is a sixth of a start. Both asyncio
        # and aiohttp do without it where it cannot be loaded.
        sys.modules["ssl"] = None  # type: ignore[assignment]
    import asyncio

    from lemonridge.service.process import serve  # only `serve` pays for loading the network's parts

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
