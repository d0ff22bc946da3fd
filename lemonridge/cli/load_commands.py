"""`load`: open-loop load on a front, on loopback."""

from __future__ import annotations

import argparse
import asyncio
import sys
from typing import Any

from lemonridge.cli.figures import line
from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.lab.measure import iscsi as bench_iscsi
from lemonridge.lab.program import ProgramError

LOOPBACK = ("127.0.0.1", "::1", "localhost")


def load(options: argparse.Namespace) -> int:
    """Print a line a second, then the summary; 1 where nothing was served.

    Raises:
        ConfigError: the extra `lab` is missing, or an option lies outside its bounds.
    """
    try:
        from lemonridge.lab.load import openloop  # noqa: F401 - it needs the extra
    except ImportError:
        raise ConfigError("load needs the extra lab: pip install 'lemonridge[lab]'") from None
    if not 0 < options.rate <= 20_000 or not 0 < options.seconds <= 3600 or not 0 < options.size_kib <= 256:
        raise ConfigError("load: --rate up to 20000, --seconds up to 3600, --size-kib up to 256")
    if not 0 <= options.writes <= 1:
        raise ConfigError("load: --writes is a share")
    port = _target_port(options.target) if options.target else 0
    return _load_http(options, port) if options.name == "http" else _load_iscsi(options, port)


def _target_port(target: str) -> int:
    address = Address.parse(target, "--target")
    if address.host not in LOOPBACK:
        raise ConfigError("load: --target must lie on loopback")
    return address.port


def _load_iscsi(options: argparse.Namespace, port: int) -> int:
    """At `--target`, or at a broker of its own before stand-in nodes (port 0)."""
    from lemonridge.lab.load import iscsi as tool
    from lemonridge.lab.load.openloop import Tally

    def plan(port: int) -> tool.Plan:
        return tool.Plan(
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
            return await tool.run(plan(port), print)
        async with bench_iscsi.standing() as (_, broker_port):
            return await tool.run(plan(broker_port), print)

    try:
        tally = asyncio.run(run())
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    if options.hdr:
        _write_hdr(options.hdr, tally.times)
    print(line({"load": options.name, **tally.figures()}))
    return 0 if tally.served else 1


def _load_http(options: argparse.Namespace, port: int) -> int:
    """At `--target`, or at a broker before `--serve-standins` nodes of its own."""
    from lemonridge.lab.load import http as tool
    from lemonridge.lab.load.openloop import Tally

    if not 1 <= options.serve_standins <= 64 or not 1 <= options.connections <= 1024:
        raise ConfigError("load: --serve-standins from 1 to 64, --connections from 1 to 1024")
    if not 10 <= options.deadline_ms <= 60_000:
        raise ConfigError("load: --deadline-ms from 10 to 60000")

    def plan(front_port: int) -> tool.Plan:
        return tool.Plan(
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
            return await tool.run(plan(port), print), {}
        async with tool.standing(
            options.serve_standins, deadline_ms=options.deadline_ms, seed=options.seed
        ) as (program, front_port, _):
            tally = await tool.run(plan(front_port), print)
        return tally, program.counts

    try:
        tally, counts = asyncio.run(run())
    except ProgramError as error:
        print(f"lemonridge: the broker failed: {error}", file=sys.stderr)
        return 1
    if options.hdr:
        _write_hdr(options.hdr, tally.times)
    broker = {
        f"broker_{name}": counts.get(name, 0)
        for name in ("answers.served", "answers.rejected", "answers.failed", "connections.opened")
    }
    print(line({"load": "http", **tally.figures(), **(broker if counts else {})}))
    return 0 if tally.served else 1


def _write_hdr(path: str, times: dict[str, Any]) -> None:
    """One HdrHistogram a kind, a line each: the kind, a comma, the histogram in its compressed form."""
    with open(path, "w", encoding="ascii") as file:
        for kind, histogram in times.items():
            file.write(f"{kind},{histogram.encode().decode()}\n")
