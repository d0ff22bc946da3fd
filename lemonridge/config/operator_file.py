"""Loads the operator's file: the iSCSI front with its contracts, LUNs, extents and nodes, and the fleet.

`operator_schema.py` checks each key by itself. This module checks the tables against each other and converts
them to the broker's types.
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
from lemonridge.config.operator_rows import endpoint_from_table, plan_from_table
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
    convert,
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
    """Loads the operator's file.

    Returns:
        The iSCSI front, None for a file that only has the table `[fleet]`; and that table, None if it is
        missing.

    Raises:
        ConfigError: The file cannot be read, is not TOML, violates the schema, or contradicts itself.
    """
    try:
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} is not TOML: {error}") from None
    if set(values) == {"fleet"}:
        return None, convert(FleetFile, values).fleet
    return parse(values), convert(OperatorFile, values).fleet


def fleet_config(table: FleetTable, platform_name: str | None, broker_count: int) -> FleetConfig:
    """Returns the fleet's members and this broker's place among them.

    Args:
        table: The table `[fleet]` of the file.
        platform_name: This broker's name on the platform, used if the table has no name.
        broker_count: The number of brokers according to the settings.

    Raises:
        ConfigError: Two members have the same name, this broker is not a member, the number of members is not
            `broker_count`, an address is malformed, or the secret cannot be used.
    """
    names = tuple(member.name for member in table.member)
    if len(set(names)) != len(names):
        raise ConfigError("fleet.member: two have one name")
    own_name = table.name or platform_name
    if own_name not in names:
        raise ConfigError(f"fleet.name: {own_name!r} is no member" if own_name else "fleet.name is missing")
    if len(names) != broker_count:
        raise ConfigError(f"fleet.member names {len(names)} brokers, the settings {broker_count}")
    secret = _fleet_secret(table.secret) if table.secret is not None else b""
    return FleetConfig(
        names,
        names.index(own_name),
        Address.parse(table.listen, "fleet.listen"),
        tuple(
            Address.parse(member.address, f"fleet.member[{number}].address")
            for number, member in enumerate(table.member)
        ),
        table.bytes_per_s,
        int(table.clock_error_ms * 1000),
        secret,
        table.further_attempts,
        Address.parse(table.admin, "fleet.admin") if table.admin else None,
        _rollout_config(table.policy),
    )


def _fleet_secret(path: str) -> bytes:
    """Reads the key that authenticates the fleet's datagrams.

    Raises:
        ConfigError: The file cannot be read, is accessible to others than its owner, or is too short.
    """
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
    """Converts the file's parsed values to the iSCSI front's configuration.

    Raises:
        ConfigError: A table violates the schema or contradicts another table; the message names the key.
    """
    file = convert(OperatorFile, values)
    front, initiator = file.iscsi, file.initiator
    plans = _plan_names(file.plan)
    luns, fixed = _luns(file.lun, plans)
    etcd = _etcd_config(file.etcd)
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
        endpoints=tuple(
            endpoint_from_table(node, f"node[{number}]") for number, node in enumerate(file.node)
        ),
        etcd=etcd,
        extents=_extents_config(file.extents, fixed),
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


def _plan_names(tables: Sequence[PlanTable]) -> tuple[str, ...]:
    names = tuple(plan.name for plan in tables)
    if not all(names):
        raise ConfigError(f"plan[{names.index('')}].name is missing")
    if len(set(names)) != len(names):
        raise ConfigError("plan: two plans have the same name")
    return names


def _etcd_config(table: EtcdTable | None) -> EtcdConfig | None:
    if table is None:
        return None
    return EtcdConfig(Address.parse(table.endpoint, "etcd.endpoint"), table.prefix)


def _check_nodes(nodes: Sequence[NodeTable], etcd: EtcdConfig | None) -> None:
    if not nodes and etcd is None:
        raise ConfigError("no nodes configured: the file has neither node nor etcd")
    for number, node in enumerate(nodes):
        if not node.name:
            raise ConfigError(f"node[{number}].name is missing")


def _check_map_source(file: OperatorFile, luns: Mapping[int, Lun], fixed: Sequence[Extent]) -> None:
    """Checks that the extent map has exactly one source, if any LUN is mapped by extents."""
    mapped = any(lun.mapped for lun in luns.values())
    if mapped and not fixed and file.etcd is None and file.extents.file is None:
        raise ConfigError("lun.extents: the map has no source: neither etcd nor extents.file is set")
    if fixed and (file.extents.file or any(table.extents for table in file.lun)):
        raise ConfigError("lun.extent: cannot be combined with extents.file or lun.extents")


def _settings(file: OperatorFile) -> Settings:
    """Returns the scheduler's settings; rules for which the file has no key are disabled."""
    front, rules = file.iscsi, file.rules
    return Settings(
        hosts=front.brokers,
        classes=(
            _request_class(file.classes.read, IdempotencyKind.IDEMPOTENT),
            _request_class(file.classes.write, IdempotencyKind.NOT_IDEMPOTENT),
        ),
        plans=tuple(map(plan_from_table, file.plan)),
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


def _request_class(table: ClassTable, idempotency: IdempotencyKind) -> RequestClass:
    return RequestClass(
        latency_objective_us=int(table.aim_ms * 1000),
        deadline_us=int(table.deadline_ms * 1000),
        idempotency=idempotency,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=0,
        sequential=False,
        priority_weight=table.priority_weight,
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
    """Returns the CHAP accounts of the file of secrets, by name.

    Raises:
        ConfigError: The file cannot be read, is accessible to others, or an account's secrets cannot be used.
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
        # The parser's message is left out: it quotes the file's text, and secrets must not be logged.
        raise ConfigError(f"iscsi.secrets: {path} is not TOML") from None
    return {table.name: _account(table) for table in convert(SecretsFile, values, "secrets").account}


def _account(table: AccountTable) -> Account:
    """Returns an account; the two directions of mutual CHAP must use different secrets."""
    if table.own_secret and (
        table.own_secret == table.secret or len(table.own_secret) < OWN_SECRET_MIN_BYTES or not table.own_name
    ):
        raise ConfigError(
            f"secrets: own_secret of {table.name} must differ from secret, have 12 bytes or more, "
            "and come with own_name"
        )
    return Account(table.name, table.secret.encode(), table.own_name, table.own_secret.encode())


def _named_account(accounts: Mapping[str, Account], name: str, path: str) -> Account:
    if name not in accounts:
        raise ConfigError(f"{path}: no account {name!r} in iscsi.secrets")
    return accounts[name]


def _endpoint_account(table: InitiatorTable, accounts: Mapping[str, Account]) -> Account | None:
    """Returns the account that the broker uses to log in to the nodes; None if CHAP is off."""
    return _named_account(accounts, table.chap, "initiator.chap") if table.chap else None


def _targets(
    front: FrontTable, tables: Sequence[TargetTable], accounts: Mapping[str, Account]
) -> dict[str, TargetRule]:
    """Returns the access rule of each target name: the initiators and CHAP accounts that may log in."""
    targets = {front.target: _target_rule(front.target, front.initiators, front.chap, accounts, "iscsi")}
    for number, table in enumerate(tables):
        targets[table.name] = _target_rule(
            table.name, table.initiators, table.chap, accounts, f"target[{number}]"
        )
    if len(targets) != 1 + len(tables):
        raise ConfigError("target: two targets have the same name")
    return targets


def _target_rule(
    name: str, initiators: list[str], chap: list[str], accounts: Mapping[str, Account], path: str
) -> TargetRule:
    admitted_accounts = {
        account_name: _named_account(accounts, account_name, f"{path}.chap") for account_name in chap
    }
    return TargetRule(name, frozenset(initiators), admitted_accounts)


def _luns(tables: list[LunTable], plans: tuple[str, ...]) -> tuple[dict[int, Lun], tuple[Extent, ...]]:
    """Returns the LUNs by number, and the extents that their tables list."""
    luns: dict[int, Lun] = {}
    fixed: list[Extent] = []
    for number, table in enumerate(tables):
        path = f"lun[{number}]"
        if table.lun in luns:
            raise ConfigError(f"{path}.lun: two tables have the number {table.lun}")
        if table.plan not in plans:
            raise ConfigError(f"{path}.plan: no plan is named {table.plan!r}")
        if (table.shard is not None) + (table.extents is not None) + bool(table.extent) != 1:
            raise ConfigError(f"{path}: one of shard, extents and extent must be set, and only one")
        luns[table.lun] = Lun(table.lun, plans.index(table.plan), -1 if table.shard is None else table.shard)
        fixed += [
            Extent(table.lun, extent.first, extent.blocks, extent.shard, extent.version)
            for extent in table.extent
        ]
    try:
        ExtentMap(len(fixed)).replace_all(0, fixed)
    except MapError as error:
        raise ConfigError(f"lun.extent: {error}") from None
    return luns, tuple(fixed)


def _extents_config(table: ExtentsTable, fixed: tuple[Extent, ...]) -> ExtentsConfig:
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
