"""The operator's file for the iSCSI front: contracts, deadlines, LUNs, extents and nodes, as the program uses
it.

`schema.py` says what the file may hold; here its tables are held against each other.
"""

from __future__ import annotations

import math
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lemonridge.config.operator_schema import (
    ClassTable,
    ExtentsTable,
    FleetFile,
    FleetTable,
    LunTable,
    NodeTable,
    OperatorFile,
    PlanTable,
    PolicyTable,
    SecretsFile,
    read,
)
from lemonridge.config.platform import Address, ConfigError, FleetConfig, RolloutConfig
from lemonridge.core.endpoint_registry import EndpointAddress
from lemonridge.extents.extent_map import Extent, ExtentMap, MapError
from lemonridge.extents.routing import Limits
from lemonridge.iscsi.chap import Account
from lemonridge.iscsi.keys import Wishes
from lemonridge.iscsi.login import TargetRule
from lemonridge.scheduling.events import Endpoint, EndpointState
from lemonridge.scheduling.settings import (
    DeduplicationScope,
    IdempotencyKind,
    RequestClass,
    Settings,
    VolumePlan,
)

READ, WRITE = 0, 1  # the two classes


@dataclass(frozen=True, slots=True)
class Lun:
    """A logical unit: a volume of the module, whole on a shard, or in extents (shard -1)."""

    lun: int
    plan: int
    shard: int

    @property
    def mapped(self) -> bool:
        return self.shard < 0


@dataclass(frozen=True, slots=True)
class EtcdConfig:
    """Where the node list, the contracts and the map come from, if not from the file."""

    endpoint: Address
    prefix: str


@dataclass(frozen=True, slots=True)
class Extents:
    """How the map of extents is followed, kept and trusted."""

    block_bytes: int
    extents_max: int
    page: int
    limits: Limits
    fixed: tuple[Extent, ...]  # of the operator's file itself
    file: str | None
    keep: str | None
    keep_bytes: int
    keep_age_us: int


@dataclass(frozen=True, slots=True)
class IscsiConfig:
    """What the operator's file says."""

    listen: Address
    target: str
    initiator: str
    initiators: frozenset[str]
    max_sessions: int
    queue_depth: int
    max_transfer: int
    buffer_bytes: int
    unit_bytes: int
    connect_us: int
    keepalive_us: int
    settings: Settings
    plans: tuple[str, ...]
    luns: dict[int, Lun]
    endpoints: tuple[EndpointAddress, ...]
    etcd: EtcdConfig | None
    extents: Extents
    targets: dict[str, TargetRule]
    wishes: Wishes
    max_connections: int
    statuses: int
    ping_s: float
    login_failures: int
    power_on_attention: bool
    reservations: str | None
    endpoint_wishes: Wishes
    endpoint_account: Account | None

    def units(self, length: int) -> float:
        """The size of a transfer, in units of the contracts."""
        return float(max(1, math.ceil(length / self.unit_bytes)))

    @property
    def classes(self) -> tuple[str, ...]:
        """The names of the settings' classes, in their order."""
        return "read", "write"

    @property
    def mapped(self) -> frozenset[int]:
        """The LUNs whose data lies in extents."""
        return frozenset(lun.lun for lun in self.luns.values() if lun.mapped)


def load(path: str) -> tuple[IscsiConfig | None, FleetTable | None]:
    """Read the operator's file: the iSCSI front, which a file that only sets up the fleet has not, and the
    fleet.
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


def fleet_plan(table: FleetTable, name: str | None, hosts: int) -> FleetConfig:
    """This broker's place in the fleet; `name` is what the platform calls it, `hosts` how many brokers its
    settings know of.
    """
    names = tuple(row.name for row in table.member)
    if len(set(names)) != len(names):
        raise ConfigError("fleet.member: two have one name")
    own = table.name or name
    if own not in names:
        raise ConfigError(f"fleet.name: {own!r} is no member" if own else "fleet.name is missing")
    if len(names) != hosts:
        raise ConfigError(f"fleet.member names {len(names)} brokers, the settings {hosts}")
    secret = b""
    if table.secret is not None:
        try:
            if os.stat(table.secret).st_mode & 0o077:
                raise ConfigError(f"fleet.secret: {table.secret} is open to others")
            secret = Path(table.secret).read_bytes().strip()
        except OSError as error:
            raise ConfigError(f"fleet.secret: cannot read {table.secret}: {error.strerror}") from None
        if len(secret) < 16:
            raise ConfigError("fleet.secret must hold 16 bytes or more")
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
        _rollout(table.policy),
    )


def _rollout(table: PolicyTable | None) -> RolloutConfig | None:
    return None if table is None else RolloutConfig(table.store, int(table.lease_ms * 1000), table.floor)


def parse(values: Mapping[str, Any]) -> IscsiConfig:
    """The tables of the file, each by the schema, then against each other."""
    told = read(OperatorFile, values)
    front, rules, extents = told.iscsi, told.rules, told.extents
    names = tuple(row.name for row in told.plan)
    if not all(names):
        raise ConfigError(f"plan[{names.index('')}].name is missing")
    if len(set(names)) != len(names):
        raise ConfigError("two plans have one name")
    luns, fixed = _luns(told.lun, names)
    etcd = None
    if told.etcd is not None:
        etcd = EtcdConfig(Address.parse(told.etcd.endpoint, "etcd.endpoint"), told.etcd.prefix)
    if not told.node and etcd is None:
        raise ConfigError("neither node nor etcd says where the nodes are")
    for number, endpoint in enumerate(told.node):
        if not endpoint.name:
            raise ConfigError(f"node[{number}].name is missing")
    mapped = any(lun.mapped for lun in luns.values())
    if mapped and not fixed and etcd is None and extents.file is None:
        raise ConfigError("lun.extents: neither etcd nor extents.file says where the map is")
    if fixed and (extents.file or any(row.extents for row in told.lun)):
        raise ConfigError("lun.extent: the map stands in this file or elsewhere, not both")
    accounts = _secrets(front.secrets)
    targets = {
        name: _target(name, initiators, chap, accounts, path)
        for name, initiators, chap, path in (
            (front.target, front.initiators, front.chap, "iscsi"),
            *(
                (row.name, row.initiators, row.chap, f"target[{number}]")
                for number, row in enumerate(told.target)
            ),
        )
    }
    if len(targets) != 1 + len(told.target):
        raise ConfigError("two targets have one name")
    max_transfer, unit_bytes = front.max_transfer_kib * 1024, front.unit_kib * 1024
    return IscsiConfig(
        listen=Address.parse(front.listen, "iscsi.listen"),
        target=front.target,
        initiator=told.initiator.name,
        initiators=frozenset(front.initiators),
        max_sessions=front.max_sessions,
        queue_depth=front.queue_depth,
        max_transfer=max_transfer,
        buffer_bytes=front.buffer_mib << 20,
        unit_bytes=unit_bytes,
        connect_us=int(told.initiator.connect_timeout_ms * 1000),
        keepalive_us=int(told.initiator.idle_s * 1e6),
        settings=Settings(
            hosts=front.brokers,
            classes=(
                _class(told.classes.read, IdempotencyKind.IDEMPOTENT),
                _class(told.classes.write, IdempotencyKind.NOT_IDEMPOTENT),
            ),
            plans=tuple(map(plan_from, told.plan)),
            polls_endpoint_list=False,
            largest_request_units=float(math.ceil(max_transfer / unit_bytes)),
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
        ),
        plans=names,
        luns=luns,
        endpoints=tuple(listing(row, f"node[{number}]") for number, row in enumerate(told.node)),
        etcd=etcd,
        extents=_extents(extents, fixed),
        targets=targets,
        wishes=Wishes(
            digests=front.digests,
            max_connections=front.connections,
            initial_r2t=front.initial_r2t,
            max_burst=front.max_burst_kib * 1024,
            first_burst=front.first_burst_kib * 1024,
            time2wait=front.time2wait_s,
            time2retain=front.time2retain_s,
            max_r2t=front.max_r2t,
            recovery=front.recovery_level,
        ),
        max_connections=front.max_connections,
        statuses=front.statuses_kept,
        ping_s=front.ping_s,
        login_failures=front.login_failures,
        power_on_attention=front.power_on_attention,
        reservations=front.reservations,
        endpoint_wishes=Wishes(digests=told.initiator.digests, initial_r2t=True),
        endpoint_account=(
            _account(accounts, told.initiator.chap, "initiator.chap") if told.initiator.chap else None
        ),
    )


def _secrets(path: str | None) -> dict[str, Account]:
    """The file of secrets; ConfigError if others may read it, or one secret serves both directions."""
    if path is None:
        return {}
    try:
        if os.stat(path).st_mode & 0o007:
            raise ConfigError(f"iscsi.secrets: {path} is open to others")
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"iscsi.secrets: cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError):
        raise ConfigError(f"iscsi.secrets: {path} is not TOML") from None  # its text is not for a log
    accounts: dict[str, Account] = {}
    for row in read(SecretsFile, values, "secrets").account:
        if row.own_secret and (row.own_secret == row.secret or len(row.own_secret) < 12 or not row.own_name):
            raise ConfigError(
                f"secrets: own_secret of {row.name} must be of its own, of 12 bytes or more, with own_name"
            )
        accounts[row.name] = Account(row.name, row.secret.encode(), row.own_name, row.own_secret.encode())
    return accounts


def _account(accounts: dict[str, Account], name: str, path: str) -> Account:
    if name not in accounts:
        raise ConfigError(f"{path}: no account {name!r} in iscsi.secrets")
    return accounts[name]


def _target(
    name: str, initiators: list[str], chap: list[str], accounts: dict[str, Account], path: str
) -> TargetRule:
    held = {one: _account(accounts, one, f"{path}.chap") for one in chap}
    return TargetRule(name, frozenset(initiators), held)


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
        ExtentMap(len(fixed)).whole(0, fixed)
    except MapError as error:
        raise ConfigError(f"lun.extent: {error}") from None
    return luns, tuple(fixed)


def _extents(table: ExtentsTable, fixed: tuple[Extent, ...]) -> Extents:
    limits = Limits(
        redirects=table.max_redirects,
        refreshes=table.max_refreshes,
        pieces=table.max_pieces,
        read_age_us=int(table.read_age_s * 1e6),
        write_age_us=int(table.write_age_s * 1e6),
    )
    if table.block_bytes % 512:
        raise ConfigError(f"extents.block_bytes must be a multiple of 512, not {table.block_bytes}")
    return Extents(
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


def _class(row: ClassTable, semantics: IdempotencyKind) -> RequestClass:
    return RequestClass(
        latency_objective_us=int(row.aim_ms * 1000),
        deadline_us=int(row.deadline_ms * 1000),
        idempotency=semantics,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=0,
        sequential=False,
        priority_weight=row.priority_weight,
    )


def plan_from(row: PlanTable) -> VolumePlan:
    """Rates in units a second; a limit of 0 is none."""
    return VolumePlan(
        base_rate=row.rate,
        reserve=row.reserve,
        weight=row.weight,
        limit=row.limit,
        burst=row.limit if row.burst is None else row.burst,
        slack=0.0,
    )


def listing(row: NodeTable, path: str) -> EndpointAddress:
    """A node of the file or of etcd: ADDRESS and TARGET, together its address here."""
    address = Address.parse(row.address, f"{path}.address")
    states = {"up": EndpointState.ACTIVE, "draining": EndpointState.DRAINING}
    entry = Endpoint(
        endpoint_id=row.name,
        shard=row.shard,
        zone=0,
        condition=states[row.health],
        started_us=row.started_ms * 1000,
    )
    return EndpointAddress(entry, f"{address}/{row.target}")
