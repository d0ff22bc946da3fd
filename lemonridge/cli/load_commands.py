"""The command `load`: generates open-loop load on a front, on loopback."""

from __future__ import annotations

import argparse
import asyncio
import sys
from typing import Any

from lemonridge.cli.figures import format_figures
from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.lab.measure import iscsi as bench_iscsi
from lemonridge.lab.program import ProgramError

LOOPBACK = ("127.0.0.1", "::1", "localhost")


def load(options: argparse.Namespace) -> int:
    """Prints a line per second, then a summary; returns 0, or 1 if no request was served.

    Raises:
        ConfigError: The extra `lab` is not installed, or an option is out of bounds.
    """
    try:
        from lemonridge.lab.load import openloop  # noqa: F401 - checks that the extra is installed
    except ImportError:
        raise ConfigError("load needs the extra lab: pip install 'lemonridge[lab]'") from None
    if not 0 < options.rate <= 20_000 or not 0 < options.seconds <= 3600 or not 0 < options.size_kib <= 256:
        raise ConfigError(
            "load: --rate must be at most 20000, --seconds 3600 and --size-kib 256, all above 0"
        )
    if not 0 <= options.writes <= 1:
        raise ConfigError("load: --writes must be from 0 to 1")
    port = _target_port(options.target) if options.target else 0
    return _load_http(options, port) if options.name == "http" else _load_iscsi(options, port)


def _target_port(target: str) -> int:
    address = Address.parse(target, "--target")
    if address.host not in LOOPBACK:
        raise ConfigError("load: --target must be a loopback address")
    return address.port


def _load_iscsi(options: argparse.Namespace, port: int) -> int:
    """Generates load on the given port, or on a new broker with a stand-in node if `port` is 0."""
    from lemonridge.lab.load import iscsi as load_generator
    from lemonridge.lab.load.openloop import Tally

    def plan(port: int) -> load_generator.LoadPlan:
        return load_generator.LoadPlan(
            port,
            options.iqn,
            options.rate,
            options.seconds,
            options.size_kib * 1024,
            options.writes,
            arrivals=options.arrivals,
            seed=options.seed,
        )

    async def run() -> Tally:
        if port:
            return await load_generator.run(plan(port), print)
        async with bench_iscsi.running_broker_and_node() as (_, broker_port):
            return await load_generator.run(plan(broker_port), print)

    try:
        tally = asyncio.run(run())
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    if options.hdr:
        _write_hdr(options.hdr, tally.times)
    print(format_figures({"load": options.name, **tally.figures()}))
    return 0 if tally.served else 1


def _load_http(options: argparse.Namespace, port: int) -> int:
    """Generates load on the given port, or on a new broker with `--serve-standins` nodes if `port` is 0."""
    from lemonridge.lab.load import http as load_generator
    from lemonridge.lab.load.openloop import Tally

    if not 1 <= options.serve_standins <= 64 or not 1 <= options.connections <= 1024:
        raise ConfigError("load: --serve-standins must be from 1 to 64, --connections from 1 to 1024")
    if not 10 <= options.deadline_ms <= 60_000:
        raise ConfigError("load: --deadline-ms must be from 10 to 60000")

    def plan(front_port: int) -> load_generator.LoadPlan:
        return load_generator.LoadPlan(
            front_port,
            options.rate,
            options.seconds,
            deadline_ms=options.deadline_ms,
            arrivals=options.arrivals,
            connections=options.connections,
            seed=options.seed,
        )

    async def run() -> tuple[Tally, dict[str, int]]:
        if port:
            return await load_generator.run(plan(port), print), {}
        async with load_generator.running_broker(
            options.serve_standins, deadline_ms=options.deadline_ms, seed=options.seed
        ) as (program, front_port, _):
            tally = await load_generator.run(plan(front_port), print)
        return tally, program.counters

    try:
        tally, counts = asyncio.run(run())
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    if options.hdr:
        _write_hdr(options.hdr, tally.times)
    broker_counters = {
        f"broker_{name}": counts.get(name, 0)
        for name in ("answers.served", "answers.rejected", "answers.failed", "connections.opened")
    }
    print(format_figures({"load": "http", **tally.figures(), **(broker_counters if counts else {})}))
    return 0 if tally.served else 1


def _write_hdr(path: str, times: dict[str, Any]) -> None:
    """Writes one line per kind of request: the kind, a comma, and its compressed HdrHistogram."""
    with open(path, "w", encoding="ascii") as file:
        for kind, histogram in times.items():
            file.write(f"{kind},{histogram.encode().decode()}\n")
