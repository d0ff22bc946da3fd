"""The commands `check-config` and `schema`, and the loading of the configuration for `serve`."""

from __future__ import annotations

import argparse
import os
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from lemonridge.config import platform as platform_config
from lemonridge.config.fleet import FleetConfig
from lemonridge.config.platform import PlatformConfig

if TYPE_CHECKING:
    from lemonridge.iscsi.config import IscsiConfig


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration of a broker process, which runs one front or both."""

    platform: PlatformConfig | None  # None: only the operator's file is given
    iscsi: IscsiConfig | None  # None: no operator's file, or one with the table [fleet] only
    fleet: FleetConfig | None  # from the operator's file


def add_parsers(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the parsers of `check-config` and `schema`."""
    check = commands.add_parser("check-config", help="check the configuration and summarize it")
    add_options(check)
    check.set_defaults(run=check_config)
    schema = commands.add_parser("schema", help="print the JSON Schema of the operator's file")
    schema.set_defaults(run=print_schema)


def add_options(command: argparse.ArgumentParser) -> None:
    """Adds the options that `load` uses."""
    command.add_argument(
        "--peers",
        action="store_true",
        help="exchange datagrams with the peers in ROUTER_CONFIG, if its settings allow it",
    )
    command.add_argument("--config", metavar="FILE", help="the operator's file: iSCSI front and fleet")


def load(options: argparse.Namespace) -> Configuration:
    """Loads the platform's and the operator's configuration; the operator's fleet replaces the platform's.

    Raises:
        ConfigError: One of them cannot be used.
    """
    iscsi = table = fleet = None
    if options.config:
        from lemonridge.config import operator_file  # loads msgspec, which is not needed without a file

        iscsi, table = operator_file.load(options.config)
    platform = None if iscsi and "ROUTER_CONFIG" not in os.environ else platform_config.load()
    if table is not None:
        from lemonridge.config.operator_file import fleet_config

        if platform is not None:
            fleet = fleet_config(table, platform.name, platform.settings.hosts)
            settings = replace(platform.settings, retry_rate=fleet.retry_rate)
            platform = replace(platform, fleet=fleet, exchanges_datagrams=True, settings=settings)
        elif iscsi is not None:
            fleet = fleet_config(table, None, iscsi.settings.hosts)
            settings = replace(iscsi.settings, retry_rate=fleet.retry_rate)
            iscsi = replace(iscsi, settings=settings)
    if platform is not None and options.peers:
        platform = replace(platform, exchanges_datagrams=platform.fleet is not None)
    return Configuration(platform, iscsi, fleet)


def check_config(options: argparse.Namespace) -> int:
    """Prints a line for each part of the configuration; returns the exit status 0."""
    configuration = load(options)
    platform, fleet, iscsi = configuration.platform, configuration.fleet, configuration.iscsi
    if platform:
        print(
            f"ok: {platform.name} listens on {platform.listen}, discovery at {platform.discovery}, "
            f"{len(platform.classes)} classes, {len(platform.plans)} plans"
        )
    if fleet:
        print(
            f"ok: {fleet.names[fleet.own_index]} of {len(fleet.names)} brokers, peers at {fleet.listen}, "
            f"{'with' if fleet.secret else 'without'} a secret"
        )
    if iscsi:
        print(
            f"ok: {iscsi.target} listens on {iscsi.listen}, {len(iscsi.luns)} LUNs, "
            f"{len(iscsi.endpoints)} nodes, {len(iscsi.plans)} plans"
        )
        if iscsi.mapped:
            _print_extents(iscsi)
    return 0


def _print_extents(iscsi: IscsiConfig) -> None:
    extents, etcd = iscsi.extents, iscsi.etcd
    source = f"{len(extents.inline_extents)} of this file" if extents.inline_extents else extents.file
    if source is None and etcd is not None:
        source = f"etcd {etcd.endpoint}{etcd.prefix}"
    print(
        f"ok: extents of LUNs {','.join(map(str, sorted(iscsi.mapped)))} from {source}, "
        f"blocks of {extents.block_bytes}, "
        f"reads on a map of {extents.limits.read_age_us / 1e6:g} s at most, "
        f"writes of {extents.limits.write_age_us / 1e6:g} s, "
        f"kept in {extents.cache_path or 'no place'}"
    )


def print_schema(_: argparse.Namespace) -> int:
    """Prints the JSON Schema of the operator's file; returns the exit status 0."""
    import orjson

    from lemonridge.config.operator_schema import json_schema

    print(orjson.dumps(json_schema(), option=orjson.OPT_INDENT_2).decode())
    return 0
