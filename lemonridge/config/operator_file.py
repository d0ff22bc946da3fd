"""Reads the operator's file: the iSCSI front with its contracts, LUNs, extents and nodes, and the fleet.

`operator_schema.py` bounds each key by itself. Here the tables are checked against each other and turned into
the types that the program uses.
"""

from __future__ import annotations

import math
import os
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.config.etcd import EtcdConfig
from lemonridge.config.fleet import FleetConfig, RolloutConfig
from lemonridge.config.operator_rows import endpoint_from_row, plan_from_row
from lemonridge.config.operator_schema import (
    AccountTable,
    ClassTable,
    EtcdTable,
    ExtentsTable,
    FleetFile,
    FleetTable,
    FrontTable,
    InitiatorTable,
    LunTable,
    NodeTable,
    OperatorFile,
    PlanTable,
    PolicyTable,
    SecretsFile,
    TargetTable,
    read,
)
from lemonridge.extents.config import ExtentsConfig
from lemonridge.extents.errors import MapError
from lemonridge.extents.extent_map import Extent, ExtentMap
from lemonridge.extents.routing import Limits
from lemonridge.iscsi.chap import Account
from lemonridge.iscsi.config import IscsiConfig, Lun
from lemonridge.iscsi.keys import NegotiationPreferences
from lemonridge.iscsi.login import TargetRule
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind, RequestClass, Settings

FLEET_SECRET_MIN_BYTES = 16
OWN_SECRET_MIN_BYTES = 12  # RFC 7143, 9.2.1
SCSI_BLOCK_BYTES = 512
READABLE_BY_OTHERS = 0o007
READABLE_BY_GROUP_OR_OTHERS = 0o077


def load(path: str) -> tuple[IscsiConfig | None, FleetTable | None]:
    """Read the operator's file.

    Returns:
        The iSCSI front, None in a file that only sets up the fleet, and the fleet's table, if there is one.

    Raises:
        ConfigError: the file cannot be read, is not TOML, or contradicts the schema or itself.
    """
    try:
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} is not TOML: {error}") from None
    if set(values) == {"fleet"}:
        return None, read(FleetFile, values).fleet
    return parse(values), read(OperatorFile, values).fleet


def fleet_config(table: FleetTable, platform_name: str | None, broker_count: int) -> FleetConfig:
    """This broker's place in the fleet.

    Args:
        table: the file's table `[fleet]`.
        platform_name: what the platform calls this broker; the table's own name goes before it.
        broker_count: how many brokers the settings count with.

    Raises:
        ConfigError: the members contradict each other, the name or the count; the secret cannot be used.
    """
    names = tuple(row.name for row in table.member)
    if len(set(names)) != len(names):
        raise ConfigError("fleet.member: two have one name")
    own = table.name or platform_name
    if own not in names:
        raise ConfigError(f"fleet.name: {own!r} is no member" if own else "fleet.name is missing")
    if len(names) != broker_count:
        raise ConfigError(f"fleet.member names {len(names)} brokers, the settings {broker_count}")
    secret = _fleet_secret(table.secret) if table.secret is not None else b""
    return FleetConfig(
        names,
        names.index(own),
        Address.parse(table.listen, "fleet.listen"),
        tuple(
            Address.parse(row.address, f"fleet.member[{number}].address")
            for number, row in enumerate(table.member)
        ),
        table.bytes_per_s,
        int(table.clock_error_ms * 1000),
        secret,
        table.further_attempts,
        Address.parse(table.admin, "fleet.admin") if table.admin else None,
        _rollout_config(table.policy),
    )


def _fleet_secret(path: str) -> bytes:
    """The key of the fleet's datagrams, from a file that only its owner can read."""
    try:
        if os.stat(path).st_mode & READABLE_BY_GROUP_OR_OTHERS:
            raise ConfigError(f"fleet.secret: {path} is open to others")
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"fleet.secret: cannot read {path}: {error.strerror}") from None
    if len(secret) < FLEET_SECRET_MIN_BYTES:
        raise ConfigError("fleet.secret must hold 16 bytes or more")
    return secret


def _rollout_config(table: PolicyTable | None) -> RolloutConfig | None:
    return None if table is None else RolloutConfig(table.store, int(table.lease_ms * 1000), table.floor)


def parse(values: Mapping[str, Any]) -> IscsiConfig:
    """The file's tables, each by the schema, then against each other.

    Raises:
        ConfigError: a table contradicts the schema or another table; the message names the key.
    """
    file = read(OperatorFile, values)
    front, initiator = file.iscsi, file.initiator
    plans = _plan_names(file.plan)
    luns, fixed = _luns(file.lun, plans)
    etcd = _etcd(file.etcd)
    _check_nodes(file.node, etcd)
    _check_map_source(file, luns, fixed)
    accounts = _accounts(front.secrets)
    targets = _targets(front, file.target, accounts)
    return IscsiConfig(
        listen=Address.parse(front.listen, "iscsi.listen"),
        target=front.target,
        initiator=initiator.name,
        initiators=frozenset(front.initiators),
        max_sessions=front.max_sessions,
        queue_depth=front.queue_depth,
        max_transfer=front.max_transfer_kib * 1024,
        buffer_bytes=front.buffer_mib << 20,
        unit_bytes=front.unit_kib * 1024,
        connect_us=int(initiator.connect_timeout_ms * 1000),
        keepalive_us=int(initiator.idle_s * 1e6),
        settings=_settings(file),
        plans=plans,
        luns=luns,
        endpoints=tuple(endpoint_from_row(row, f"node[{number}]") for number, row in enumerate(file.node)),
        etcd=etcd,
        extents=_extents(file.extents, fixed),
        targets=targets,
        target_preferences=_target_wishes(front),
        max_connections=front.max_connections,
        max_unacknowledged_statuses=front.statuses_kept,
        ping_s=front.ping_s,
        login_failures=front.login_failures,
        power_on_attention=front.power_on_attention,
        reservations=front.reservations,
        endpoint_preferences=NegotiationPreferences(digests=initiator.digests, initial_r2t=True),
        endpoint_account=_endpoint_account(initiator, accounts),
    )


def _plan_names(rows: Sequence[PlanTable]) -> tuple[str, ...]:
    names = tuple(row.name for row in rows)
    if not all(names):
        raise ConfigError(f"plan[{names.index('')}].name is missing")
    if len(set(names)) != len(names):
        raise ConfigError("two plans have one name")
    return names


def _etcd(table: EtcdTable | None) -> EtcdConfig | None:
    if table is None:
        return None
    return EtcdConfig(Address.parse(table.endpoint, "etcd.endpoint"), table.prefix)


def _check_nodes(rows: Sequence[NodeTable], etcd: EtcdConfig | None) -> None:
    if not rows and etcd is None:
        raise ConfigError("neither node nor etcd says where the nodes are")
    for number, row in enumerate(rows):
        if not row.name:
            raise ConfigError(f"node[{number}].name is missing")


def _check_map_source(file: OperatorFile, luns: Mapping[int, Lun], fixed: Sequence[Extent]) -> None:
    """Exactly one source of the extent map, where a LUN lies in extents."""
    mapped = any(lun.mapped for lun in luns.values())
    if mapped and not fixed and file.etcd is None and file.extents.file is None:
        raise ConfigError("lun.extents: neither etcd nor extents.file says where the map is")
    if fixed and (file.extents.file or any(row.extents for row in file.lun)):
        raise ConfigError("lun.extent: the map stands in this file or elsewhere, not both")


def _settings(file: OperatorFile) -> Settings:
    """The scheduler's settings; those that the file has no key for are off."""
    front, rules = file.iscsi, file.rules
    return Settings(
        hosts=front.brokers,
        classes=(
            _class(file.classes.read, IdempotencyKind.IDEMPOTENT),
            _class(file.classes.write, IdempotencyKind.NOT_IDEMPOTENT),
        ),
        plans=tuple(map(plan_from_row, file.plan)),
        polls_endpoint_list=False,
        largest_request_units=float(math.ceil(front.max_transfer_kib / front.unit_kib)),
        mean_request_units=rules.mean_request_units,
        slow_start_units=rules.slow_start_units,
        overload_multiple=rules.overload_multiple,
        reports_peer_usage=False,
        usage_meter_period_us=0,
        max_attempts=rules.max_attempts,
        may_cancel=True,
        max_backoff_us=0,
        tick_us=0,
        poll_within_us=0,
        slow_start_initial_fraction=rules.slow_start_initial_fraction,
        slow_start_ramp_us=int(rules.ramp_s * 1e6),
        overload_window_us=int(rules.fall_ms * 1000),
        drain_grace_us=500_000,
        retry_budget_window_us=0,
        retry_budget_floor=0.0,
        retry_budget_ratio=0.0,
        key_quarantine_us=0,
        retry_rate=0.0,
    )


def _class(row: ClassTable, idempotency: IdempotencyKind) -> RequestClass:
    return RequestClass(
        latency_objective_us=int(row.aim_ms * 1000),
        deadline_us=int(row.deadline_ms * 1000),
        idempotency=idempotency,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=0,
        sequential=False,
        priority_weight=row.priority_weight,
    )


def _target_wishes(front: FrontTable) -> NegotiationPreferences:
    return NegotiationPreferences(
        digests=front.digests,
        max_connections=front.connections,
        initial_r2t=front.initial_r2t,
        max_burst=front.max_burst_kib * 1024,
        first_burst=front.first_burst_kib * 1024,
        time2wait=front.time2wait_s,
        time2retain=front.time2retain_s,
        max_r2t=front.max_r2t,
        recovery_level=front.recovery_level,
    )


def _accounts(path: str | None) -> dict[str, Account]:
    """The accounts of the file of secrets, by name.

    Raises:
        ConfigError: others may read the file, or one secret serves both directions.
    """
    if path is None:
        return {}
    try:
        if os.stat(path).st_mode & READABLE_BY_OTHERS:
            raise ConfigError(f"iscsi.secrets: {path} is open to others")
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"iscsi.secrets: cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError):
        # The parser's message would quote the file's text, which is not for a log.
        raise ConfigError(f"iscsi.secrets: {path} is not TOML") from None
    return {row.name: _account(row) for row in read(SecretsFile, values, "secrets").account}


def _account(row: AccountTable) -> Account:
    if row.own_secret and (
        row.own_secret == row.secret or len(row.own_secret) < OWN_SECRET_MIN_BYTES or not row.own_name
    ):
        raise ConfigError(
            f"secrets: own_secret of {row.name} must be of its own, of 12 bytes or more, with own_name"
        )
    return Account(row.name, row.secret.encode(), row.own_name, row.own_secret.encode())


def _named_account(accounts: Mapping[str, Account], name: str, path: str) -> Account:
    if name not in accounts:
        raise ConfigError(f"{path}: no account {name!r} in iscsi.secrets")
    return accounts[name]


def _endpoint_account(table: InitiatorTable, accounts: Mapping[str, Account]) -> Account | None:
    """The account by which this side logs in to the nodes."""
    return _named_account(accounts, table.chap, "initiator.chap") if table.chap else None


def _targets(
    front: FrontTable, rows: Sequence[TargetTable], accounts: Mapping[str, Account]
) -> dict[str, TargetRule]:
    """The target's names, each with the initiators and accounts that may log in."""
    targets = {front.target: _target(front.target, front.initiators, front.chap, accounts, "iscsi")}
    for number, row in enumerate(rows):
        targets[row.name] = _target(row.name, row.initiators, row.chap, accounts, f"target[{number}]")
    if len(targets) != 1 + len(rows):
        raise ConfigError("two targets have one name")
    return targets


def _target(
    name: str, initiators: list[str], chap: list[str], accounts: Mapping[str, Account], path: str
) -> TargetRule:
    admitted = {one: _named_account(accounts, one, f"{path}.chap") for one in chap}
    return TargetRule(name, frozenset(initiators), admitted)


def _luns(rows: list[LunTable], plans: tuple[str, ...]) -> tuple[dict[int, Lun], tuple[Extent, ...]]:
    """The LUNs, and the extents that stand with them."""
    luns: dict[int, Lun] = {}
    fixed: list[Extent] = []
    for number, row in enumerate(rows):
        path = f"lun[{number}]"
        if row.lun in luns:
            raise ConfigError(f"{path}.lun must be of its own, not {row.lun}")
        if row.plan not in plans:
            raise ConfigError(f"{path}.plan names no plan: {row.plan!r}")
        if (row.shard is not None) + (row.extents is not None) + bool(row.extent) != 1:
            raise ConfigError(f"{path}: one of shard, extents and extent says where it lies")
        luns[row.lun] = Lun(row.lun, plans.index(row.plan), -1 if row.shard is None else row.shard)
        fixed += [Extent(row.lun, one.first, one.blocks, one.shard, one.version) for one in row.extent]
    try:
        ExtentMap(len(fixed)).replace_all(0, fixed)
    except MapError as error:
        raise ConfigError(f"lun.extent: {error}") from None
    return luns, tuple(fixed)


def _extents(table: ExtentsTable, fixed: tuple[Extent, ...]) -> ExtentsConfig:
    limits = Limits(
        redirects=table.max_redirects,
        refreshes=table.max_refreshes,
        pieces=table.max_pieces,
        read_age_us=int(table.read_age_s * 1e6),
        write_age_us=int(table.write_age_s * 1e6),
    )
    if table.block_bytes % SCSI_BLOCK_BYTES:
        raise ConfigError(f"extents.block_bytes must be a multiple of 512, not {table.block_bytes}")
    return ExtentsConfig(
        table.block_bytes,
        table.max_extents,
        table.page,
        limits,
        fixed,
        table.file,
        table.keep,
        table.keep_mib << 20,
        int(table.keep_age_s * 1e6),
    )
