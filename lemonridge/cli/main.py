"""The command line."""

from __future__ import annotations

import argparse
import gc
import os
import sys
from collections.abc import Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from lemonridge import __version__
from lemonridge.config import platform as platform_config
from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.service import ignored_signals, log_format

if TYPE_CHECKING:
    from lemonridge.iscsi.config import IscsiConfig


def _load(
    options: argparse.Namespace,
) -> tuple[platform_config.PlatformConfig | None, IscsiConfig | None, FleetConfig | None]:
    """The platform's configuration, unless there is only an operator's file; what that file says of the iSCSI
    front; and of the fleet, where there is no platform that it is laid over.
    """
    operators = table = plan = None
    if options.config:
        from lemonridge.config.operator_file import (  # without a file its library is not loaded
            fleet_config,
            load,
        )

        operators, table = load(options.config)
    platform = None if operators and "ROUTER_CONFIG" not in os.environ else platform_config.load()
    if table is not None:
        if platform is not None:
            plan = fleet_config(table, platform.name, platform.settings.hosts)
            settings = replace(platform.settings, retry_rate=plan.retry_rate)
            platform = replace(platform, fleet=plan, speaks=True, settings=settings)
        elif operators is not None:
            plan = fleet_config(table, None, operators.settings.hosts)
            settings = replace(operators.settings, retry_rate=plan.retry_rate)
            operators = replace(operators, settings=settings)
    if platform is not None and options.peers:
        platform = replace(platform, speaks=platform.fleet is not None)
    return platform, operators, plan


def _serve(options: argparse.Namespace) -> int:
    gc.disable()  # a start makes no garbage: to look for it is a seventh of its processor time
    ignored_signals.ignore_reload_signals()
    platform, operators, plan = _load(options)
    writer = log_format.set_up(options.log_level)
    if operators is None:
        # The platform speaks plain TCP, and OpenSSL with its certificates is a sixth of a start. Both asyncio
        # and aiohttp do without it where it cannot be loaded.
        sys.modules["ssl"] = None  # type: ignore[assignment]
    import asyncio

    from lemonridge.service.assembly import serve  # only `serve` pays for loading the network's parts

    gc.freeze()
    gc.enable()
    try:
        asyncio.run(serve(platform, operators, plan))
    except OSError as error:
        raise ConfigError(f"cannot listen: {error.strerror or error}") from None
    finally:
        ignored_signals.ignore_all()
        writer.finish()
    return 0


def _check_config(options: argparse.Namespace) -> int:
    platform, operators, plan = _load(options)
    if platform:
        print(
            f"ok: {platform.name} listens on {platform.listen}, discovery at {platform.discovery}, "
            f"{len(platform.classes)} classes, {len(platform.plans)} plans"
        )
    if plan:
        print(
            f"ok: {plan.names[plan.me]} of {len(plan.names)} brokers, peers at {plan.listen}, "
            f"{'with' if plan.secret else 'without'} a secret"
        )
    if operators:
        print(
            f"ok: {operators.target} listens on {operators.listen}, {len(operators.luns)} LUNs, "
            f"{len(operators.endpoints)} nodes, {len(operators.plans)} plans"
        )
        if operators.mapped:
            extents, etcd = operators.extents, operators.etcd
            where = f"{len(extents.fixed)} of this file" if extents.fixed else extents.file
            if where is None and etcd is not None:
                where = f"etcd {etcd.endpoint}{etcd.prefix}"
            print(
                f"ok: extents of LUNs {','.join(map(str, sorted(operators.mapped)))} from {where}, "
                f"blocks of {extents.block_bytes}, "
                f"reads on a map of {extents.limits.read_age_us / 1e6:g} s at most, "
                f"writes of {extents.limits.write_age_us / 1e6:g} s, "
                f"kept in {extents.keep or 'no place'}"
            )
    return 0


def _schema(_: argparse.Namespace) -> int:
    import orjson

    from lemonridge.config.operator_schema import json_schema

    print(orjson.dumps(json_schema(), option=orjson.OPT_INDENT_2).decode())
    return 0


def _drill(options: argparse.Namespace) -> int:
    from lemonridge.lab.command import drill

    return drill(options)


def _bench(options: argparse.Namespace) -> int:
    from lemonridge.lab.command import bench

    return bench(options)


def _conform(options: argparse.Namespace) -> int:
    from lemonridge.lab.command import conform

    return conform(options)


def _demo(options: argparse.Namespace) -> int:
    from lemonridge.lab.command import demo

    return demo(options)


def _load_tool(options: argparse.Namespace) -> int:
    from lemonridge.lab.command import load

    return load(options)


def _policy(options: argparse.Namespace) -> int:
    from lemonridge.cli import policy_commands  # it needs the libraries of operators' files

    return policy_commands.run(policy_commands.parser().parse_args(options.words))


def _fleet(options: argparse.Namespace) -> int:
    import asyncio

    import orjson

    from lemonridge.fleet.status_report import table, whole
    from lemonridge.net.admin_client import views

    addresses = [Address.parse(one, "ADDR") for one in options.address]
    told, silent = asyncio.run(views(addresses))
    if options.json:
        print(orjson.dumps({"brokers": told, "silent": silent}, option=orjson.OPT_INDENT_2).decode())
    elif told:
        print(table(told))
    for line in silent:
        print(f"lemonridge: {line}", file=sys.stderr)
    return 0 if told and not silent and whole(told) else 1


def _lab(options: argparse.Namespace) -> int:
    from lemonridge.lab.command import lab

    return lab(options)


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
        command.add_argument(
            "--peers",
            action="store_true",
            help="speak to the peers of ROUTER_CONFIG, where its settings allow messages",
        )
        command.add_argument("--config", metavar="FILE", help="an operator's file: the iSCSI front")
    check.set_defaults(run=_check_config)
    schema = commands.add_parser("schema", help="print the JSON Schema of the operator's file")
    schema.set_defaults(run=_schema)
    drill = commands.add_parser("drill", help="rehearse failures against the real program, on loopback")
    drill.add_argument("name", choices=("extents", "iscsi", "fleet", "policy", "soak"))
    drill.add_argument("--seed", type=int, default=1)
    drill.add_argument("--seconds", type=float, default=10.0)
    drill.add_argument("--move-every-ms", type=float, default=250.0, help="0: nothing moves")
    drill.add_argument("--calm", action="store_true", help="no faults, only moves")
    drill.add_argument(
        "--mutation",
        choices=(
            *("unchecked", "lends-unlowered", "keeps-for-ever", "forgets-its-loans", "spends-further"),
            *("serves-on", "switches-at-once", "loses-answers", "repeats-anything", "sends-to-draining"),
            *("floods-cold-nodes", "knows-no-limit", "sends-for-the-gone", "tells-the-whole-deadline"),
            *("refuses-anything", "dies-of-a-signal"),
        ),
        help="break a rule on purpose: the drill must fail (the first: extents; the next four: fleet; then "
        "two of policy; the rest: soak)",
    )
    drill.add_argument("--brokers", type=int, default=5, help="fleet: how many processes")
    drill.add_argument("--even", action="store_true", help="fleet: without messages, on even slices")
    drill.add_argument("--schedule", metavar="FILE", help="fleet: faults from a TOML file, not from the seed")
    drill.add_argument("--write-schedule", metavar="FILE", help="fleet: write the faults as TOML, and end")
    drill.add_argument("--json", action="store_true", help="the last line as JSON")
    drill.set_defaults(run=_drill)
    bench = commands.add_parser("bench", help="measure a part in one run, against stand-ins on loopback")
    bench.add_argument("name", choices=("extents", "iscsi", "decisions", "fleet", "policy", "nodes"))
    bench.add_argument(
        "--part",
        choices=("membership", "cold", "states", "switch", "processes"),
        default="cold",
        help="fleet: in virtual time, on processes, or every state of a small one; policy: "
        "states, switch or processes",
    )
    bench.add_argument("--plot", metavar="FILE", help="policy, switch: draw it, processes too")
    bench.add_argument("--against", metavar="DIR", help="iscsi: another checkout, for CPU a command in turns")
    bench.add_argument("--seed", type=int, default=1)
    bench.add_argument("--seconds", type=float, default=4.0, help="of each setting")
    bench.set_defaults(run=_bench)
    conform = commands.add_parser("conform", help="hold a front against its protocol, case by case")
    conform.add_argument("name", choices=("iscsi",))
    conform.add_argument("--target", metavar="HOST:PORT", help="one that is there already")
    conform.add_argument("--case", default="*", metavar="PATTERN", help="which cases, as a file pattern")
    conform.add_argument("--seed", type=int, default=1)
    conform.add_argument("--json", action="store_true", help="every result as a line of JSON")
    conform.set_defaults(run=_conform)
    demo = commands.add_parser("demo", help="the broker at work before stand-in nodes, one of which dies")
    demo.add_argument("--seconds", type=float, default=20.0)
    demo.set_defaults(run=_demo)
    load = commands.add_parser("load", help="open-loop load on a front, on loopback")
    load.add_argument("name", choices=("iscsi", "http"))
    load.add_argument("--target", metavar="HOST:PORT", help="where; else before stand-in nodes")
    load.add_argument(
        "--serve-standins",
        type=int,
        default=2,
        metavar="N",
        help="http without --target: a broker before N stand-in nodes and discovery",
    )
    load.add_argument("--deadline-ms", type=int, default=1500, help="http: each request's X-Deadline-Ms")
    load.add_argument("--connections", type=int, default=64, help="http: held at most, as clients hold them")
    load.add_argument("--iqn", default="iqn.2026-12.org.lemonridge:store")
    load.add_argument("--rate", type=float, default=200.0, help="commands a second")
    load.add_argument("--seconds", type=float, default=10.0)
    load.add_argument("--size-kib", type=int, default=4)
    load.add_argument("--writes", type=float, default=0.3, help="their share")
    load.add_argument("--arrivals", choices=("poisson", "even", "bursty"), default="poisson")
    load.add_argument("--seed", type=int, default=1)
    load.add_argument("--hdr", metavar="FILE", help="write the times as HdrHistograms, a line a kind")
    load.set_defaults(run=_load_tool)
    fleet = commands.add_parser("fleet", help="the fleet, as its brokers see it")
    fleet.add_argument("part", choices=("status",))
    fleet.add_argument("address", nargs="+", metavar="ADDR", help="HOST:PORT, where operators call a broker")
    fleet.add_argument("--json", action="store_true")
    fleet.set_defaults(run=_fleet)
    policy = commands.add_parser("policy", help="one policy for the whole fleet: check, propose, status ...")
    policy.add_argument("words", nargs=argparse.REMAINDER, metavar="PART ...")
    policy.set_defaults(run=_policy)
    _lab_parser(commands.add_parser("lab", help="try designs in a model, at sizes that sockets don't reach"))
    version = commands.add_parser("version", help="print the version")
    version.set_defaults(run=_version)
    return top


def _lab_parser(lab: argparse.ArgumentParser) -> None:
    """`lemonridge lab`: it needs the extra `lab`."""
    parts = lab.add_subparsers(required=True, metavar="PART")
    run = parts.add_parser("run", help="run an experiment's file, or go on where a stop left it")
    run.add_argument("file")
    run.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    run.add_argument("--out", help="where the results go; FILE.results by default")
    one = parts.add_parser("one", help="one run of a file, as JSON")
    one.add_argument("file")
    one.add_argument("index", type=int)
    for part in (run, one):
        part.add_argument("--seed-base", type=int)
    compare = parts.add_parser("compare", help="paired differences between two folders of results")
    compare.add_argument("before")
    compare.add_argument("after")
    compare.add_argument("--figure", default="service")
    plot = parts.add_parser("plot", help="draw a figure against a factor")
    plot.add_argument("results")
    plot.add_argument("output", help="a PNG or SVG file")
    plot.add_argument("--factor", required=True)
    plot.add_argument("--figure", default="service")
    plot.add_argument("--by", help="a line for each level of this factor")
    validate = parts.add_parser("validate", help="the model against the real program before stand-ins")
    validate.add_argument("--nodes", type=int, default=4)
    validate.add_argument("--work-ms", type=float, default=50.0, help="of a mean request on a core")
    validate.add_argument("--load", type=float, default=0.6, help="of what the nodes can do")
    validate.add_argument("--seconds", type=float, default=10.0)
    validate.add_argument("--seed", type=int, default=1)
    parts_named = (("run", run), ("one", one), ("compare", compare), ("plot", plot), ("validate", validate))
    for name, part in parts_named:
        part.set_defaults(run=_lab, part=name)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a sub-command; bad input gets one plain line and exit status 2."""
    options = parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except ConfigError as error:
        print(f"lemonridge: {error}", file=sys.stderr)
        return 2
