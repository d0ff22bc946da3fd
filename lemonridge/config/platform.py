"""What the broker is told at its start: the platform's variables and its JSON file."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.config.scheduler_settings import SettingsError, held_field, names, settings_from
from lemonridge.scheduling.settings import Settings

SOCKETS, MEMORY_MB = 1024, 192  # where no limit is told
PEERS_MAX = 256  # brokers of a tier that speak to each other; past it none does
NAMED = ("name", "listen", "discovery")  # the keys of the file that a variable can go before


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """One broker of the platform."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    classes: tuple[str, ...]
    writes: tuple[bool, ...]
    plans: tuple[str, ...]
    zones: tuple[str, ...]
    connect_us: int
    keepalive_us: int
    sockets: int
    memory_bytes: int
    shards: int  # 0 where they are not told
    held_field: str  # of answers' load reports; empty where there is none
    known: Mapping[str, Any]
    filed: Mapping[str, Any]  # the keys that have a variable, as the file itself has them
    admin: Address | None = None  # where operators call; None: nowhere
    fleet: FleetConfig | None = (
        None  # its peers: those that it names where messages are allowed, or the file's
    )
    speaks: bool = False  # whether it speaks to them
    passed: int | None = None  # the descriptor of the clients' listening socket, where it is handed down
    text: bytes = b""  # of the file, as it was read


def _limit(facts: Mapping[str, Any], name: str) -> int:
    value = facts["limits"].get(name)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value <= 0:
        raise SettingsError(f"settings lack the number 'limits.{name}'")
    return int(value)


def _told(table: Mapping[str, Any], name: str) -> float:
    """A positive number that may be left out; 0 where it is."""
    value = table.get(name)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return 0
    return value if 0 < value < 2**53 else 0


def file_text(environment: Mapping[str, str] = os.environ) -> bytes:
    """The text of the platform's file as it is now; empty where it cannot be read at this moment."""
    try:
        return Path(environment.get("ROUTER_CONFIG") or "").read_bytes()
    except OSError:
        return b""


def load(environment: Mapping[str, str] = os.environ, before: PlatformConfig | None = None) -> PlatformConfig:
    """The platform's configuration; a variable goes before the same key of the file.

    `before` is what a running program goes by. Its variables are as old as its start, so a key that the
    file has changed since then goes before them. Its name and where it listens stay until it ends.
    """
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        text = Path(path).read_bytes()
        told = orjson.loads(text)
    except OSError as error:
        raise ConfigError(f"cannot read ROUTER_CONFIG {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"ROUTER_CONFIG {path} is not JSON: {error}") from None
    if not isinstance(told, dict):
        raise ConfigError(f"ROUTER_CONFIG {path} must hold an object")
    filed = {key: told.get(key) for key in NAMED}
    for key in NAMED:
        if before is None:
            told[key] = environment.get(f"ROUTER_{key.upper()}") or filed[key]
        elif not filed[key] or filed[key] == before.filed[key]:
            told[key] = str(getattr(before, key))
        if not told[key]:
            raise ConfigError(f"neither ROUTER_{key.upper()} nor '{key}' is set")
    try:
        seed = int(str(told.get("seed") or "0"), 16)
    except ValueError:
        raise ConfigError(f"'seed' must be hex digits, not {told['seed']!r}") from None
    try:
        platform = replace(_platform(told, seed, filed), text=text)
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    if before is not None:
        return _running(platform, before)
    admin = environment.get("ROUTER_ADMIN_ADDR") or told.get("admin_addr")
    passed = environment.get("ROUTER_PASSED_SOCKET") or None
    if passed is not None and not (passed.isascii() and passed.isdigit() and len(passed) < 8):
        raise ConfigError(f"ROUTER_PASSED_SOCKET must be a descriptor's number, not {passed!r}")
    return replace(
        platform,
        admin=Address.parse(admin, "'admin_addr'") if admin else None,
        passed=None if passed is None else int(passed),
    )


def _running(platform: PlatformConfig, before: PlatformConfig) -> PlatformConfig:
    """The new configuration of a program that runs: where it listens stays as it is."""
    if (platform.name, platform.listen) != (before.name, before.listen):
        raise ConfigError("'name' and 'listen' change at a start only")
    return replace(
        platform,
        admin=before.admin,
        passed=before.passed,
        fleet=before.fleet,
        speaks=before.speaks,
        settings=replace(platform.settings, retry_rate=before.settings.retry_rate),
    )


def _platform(told: dict[str, Any], seed: int, filed: Mapping[str, Any]) -> PlatformConfig:
    facts = told.get("settings")
    settings = settings_from(facts)
    assert isinstance(facts, dict)  # settings_from saw to it
    classes = names(facts, "classes")
    writes = facts["family-info"].get("class-writes")
    if not isinstance(writes, list) or len(writes) != len(classes):
        raise SettingsError("settings lack the list 'family-info.class-writes'")
    limits, known = told.get("limits"), told.get("known")
    limits = limits if isinstance(limits, dict) else {}
    return PlatformConfig(
        name=str(told["name"]),
        listen=Address.parse(told["listen"], "'listen'"),
        discovery=Address.parse(told["discovery"], "'discovery'"),
        seed=seed,
        settings=settings,
        classes=classes,
        writes=tuple(map(bool, writes)),
        plans=names(facts, "grades"),
        zones=tuple(map(str, facts.get("azs") or ())),
        connect_us=_limit(facts, "connect-timeout-us"),
        keepalive_us=_limit(facts, "keepalive-us"),
        sockets=int(_told(limits, "sockets") or SOCKETS),
        memory_bytes=int((_told(limits, "memory_mb") or MEMORY_MB) * 2**20),
        shards=int(_told(facts["family-info"], "n-shards")),
        held_field=held_field(facts),
        known=known if isinstance(known, dict) else {},
        filed=filed,
        fleet=_fleet(told, facts, settings.hosts),
    )


def _fleet(told: dict[str, Any], facts: dict[str, Any], hosts: int) -> FleetConfig | None:
    """The peers of the platform (DEPLOY, "What a broker is told"), where the settings allow messages to them:
    one address for each broker of the tier, in the order of their numbers.
    """
    peers, me = told.get("peers"), facts.get("me")
    if not facts["limits"].get("peers") or not told.get("peer_listen") or not isinstance(peers, list):
        return None
    if not isinstance(me, int) or isinstance(me, bool) or not 0 <= me < len(peers) or len(peers) != hosts:
        return None
    if not 2 <= len(peers) <= PEERS_MAX:
        return None
    addresses = tuple(Address.parse(one, "'peers'") for one in peers)
    return FleetConfig(
        tuple(map(str, range(len(peers)))), me, Address.parse(told["peer_listen"], "'peer_listen'"), addresses
    )
