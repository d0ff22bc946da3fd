"""The operator's file for the iSCSI front: contracts, deadlines, LUNs and nodes."""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lemonridge import api
from lemonridge.config import Address, ConfigError
from lemonridge.core.directory import Listing

READ, WRITE = 0, 1  # the two classes
IQN = re.compile(r"(iqn\.\d{4}-\d{2}\.[a-z0-9.:-]+|eui\.[0-9A-Fa-f]{16})")


@dataclass(frozen=True, slots=True)
class Lun:
    """A logical unit: a volume of the module, whole on the node that holds its shard."""

    lun: int
    plan: int
    shard: int


@dataclass(frozen=True, slots=True)
class Etcd:
    """Where the node list and the contracts come from, if not from the file."""

    endpoint: Address
    prefix: str


@dataclass(frozen=True, slots=True)
class Iscsi:
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
    settings: api.Settings
    plans: tuple[str, ...]
    luns: dict[int, Lun]
    nodes: tuple[Listing, ...]
    etcd: Etcd | None

    def units(self, length: int) -> float:
        """The size of a transfer, in units of the contracts."""
        return float(max(1, math.ceil(length / self.unit_bytes)))


class Table:
    """A table of the file, read key by key with plain words about what is wrong."""

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, dict):
            raise ConfigError(f"{path} must be a table")
        self.values, self.path, self.known = values, path, set[str]()

    def get(self, key: str, default: Any = None) -> Any:
        self.known.add(key)
        value = self.values.get(key, default)
        if value is None:
            raise ConfigError(f"{self.path}.{key} is missing")
        return value

    def number(self, key: str, default: float | None = None, least: float = 0.0) -> float:
        value = self.get(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < 1e12:
            raise ConfigError(f"{self.path}.{key} must be a number of {least:g} or more, not {value!r}")
        return float(value)

    def whole(self, key: str, default: int | None = None, least: int = 0) -> int:
        value = self.number(key, default, least)
        if value != int(value):
            raise ConfigError(f"{self.path}.{key} must be a whole number")
        return int(value)

    def text(self, key: str, default: str | None = None, form: re.Pattern[str] | None = None) -> str:
        value = self.get(key, default)
        if not isinstance(value, str) or (form and not form.fullmatch(value)):
            raise ConfigError(f"{self.path}.{key} is not valid: {value!r}")
        return value

    def table(self, key: str, default: Any = None) -> Table:
        return Table(self.get(key, default), f"{self.path}.{key}" if self.path else key)

    def rows(self, key: str, default: Any = None) -> list[Table]:
        rows = self.get(key, default)
        if not isinstance(rows, list):
            raise ConfigError(f"{key} must be a list of tables")
        return [Table(row, f"{key}[{number}]") for number, row in enumerate(rows)]

    def done(self) -> None:
        """A key that nobody asked for is a slip of the pen."""
        unknown = sorted(set(self.values) - self.known)
        if unknown:
            raise ConfigError(f"unknown key {self.path + '.' if self.path else ''}{unknown[0]}")


def load(path: str) -> Iscsi:
    """Read the operator's file."""
    try:
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} is not TOML: {error}") from None
    return parse(values)


def parse(values: Mapping[str, Any]) -> Iscsi:
    top = Table(values, "")
    front, nodes, rules = top.table("iscsi"), top.table("initiator"), top.table("rules", {})
    classes = top.table("classes")
    plan_rows, lun_rows, node_rows = top.rows("plan"), top.rows("lun"), top.rows("node", [])
    plans = {row.text("name"): plan_from(row) for row in plan_rows}
    if len(plans) != len(plan_rows):
        raise ConfigError("two plans have one name")
    names = tuple(plans)
    max_transfer = front.whole("max_transfer_kib", 256, 1) * 1024
    unit_bytes = front.whole("unit_kib", 64, 1) * 1024
    initiators = front.get("initiators", [])
    if not isinstance(initiators, list) or not all(isinstance(name, str) for name in initiators):
        raise ConfigError("iscsi.initiators must be a list of names")
    luns: dict[int, Lun] = {}
    for row in lun_rows:
        lun = row.whole("lun")
        if lun in luns or lun >= 1 << 14:
            raise ConfigError(f"{row.path}.lun must be below 16384 and of its own, not {lun}")
        plan = row.text("plan")
        if plan not in plans:
            raise ConfigError(f"{row.path}.plan names no plan: {plan!r}")
        luns[lun] = Lun(lun, names.index(plan), row.whole("shard"))
        row.done()
    etcd = None
    if "etcd" in values:
        table = top.table("etcd")
        endpoint = Address.parse(table.get("endpoint"), "etcd.endpoint")
        etcd = Etcd(endpoint, table.text("prefix", form=re.compile(r"/.*/")))
        table.done()
    if not node_rows and etcd is None:
        raise ConfigError("neither node nor etcd says where the nodes are")
    made = Iscsi(
        listen=Address.parse(front.get("listen"), "iscsi.listen"),
        target=front.text("target", form=IQN),
        initiator=nodes.text("name", form=IQN),
        initiators=frozenset(initiators),
        max_sessions=front.whole("max_sessions", 64, 1),
        queue_depth=front.whole("queue_depth", 32, 1),
        max_transfer=max_transfer,
        buffer_bytes=front.whole("buffer_mib", 48, 1) << 20,
        unit_bytes=unit_bytes,
        connect_us=int(nodes.number("connect_timeout_ms", 250, 1) * 1000),
        keepalive_us=int(nodes.number("idle_s", 60, 1) * 1e6),
        settings=api.Settings(
            hosts=front.whole("brokers", 1, 1),
            classes=(_class(classes.table("read"), api.Semantics.SAFE),
                     _class(classes.table("write"), api.Semantics.ONCE)),
            plans=tuple(plans.values()),
            asks_list=False,
            units_top=float(math.ceil(max_transfer / unit_bytes)),
            units_mean=rules.number("units_mean", 1.0),
            cold_units=rules.number("cold_units", 8.0),
            tip_multiple=rules.number("tip_multiple", 2.5),
            tells_elsewhere=False,
            meter_us=0,
            max_attempts=rules.whole("max_attempts", 4, 1),
            may_cancel=True,
            max_backoff_us=0,
            tick_us=0,
            ask_within_us=0,
            cold_share=rules.number("cold_share", 0.2),
            ramp_us=int(rules.number("ramp_s", 17) * 1e6),
            fall_us=int(rules.number("fall_ms", 1000) * 1000),
            drain_grace_us=500_000,
            look_back_us=0,
            free_resends=0.0,
            extra_ratio=0.0,
            key_rest_us=0,
        ),
        plans=names,
        luns=luns,
        nodes=tuple(listing(row) for row in node_rows),
        etcd=etcd,
    )
    for table in (front, nodes, rules, classes, top):
        table.done()
    return made


def _class(row: Table, semantics: api.Semantics) -> api.ClassInfo:
    made = api.ClassInfo(
        aim_us=int(row.number("aim_ms", least=1) * 1000),
        deadline_us=int(row.number("deadline_ms", least=1) * 1000),
        semantics=semantics,
        group=api.Group.ALL,
        memory_us=0,
        sequential=False,
        worth=row.number("worth", 1.0),
    )
    row.done()
    return made


def plan_from(row: Table) -> api.Plan:
    """Rates in units a second; a limit of 0 is none."""
    limit = row.number("limit", 0.0)
    made = api.Plan(
        base_rate=row.number("rate", 0.0),
        reserve=row.number("reserve", 0.0),
        weight=row.number("weight", 1.0),
        limit=limit,
        burst=row.number("burst", limit),
        slack=0.0,
    )
    row.done()
    return made


def listing(row: Table) -> Listing:
    """A node of the file or of etcd: ADDRESS and TARGET, together its address here."""
    address = Address.parse(row.get("address"), f"{row.path}.address")
    states = {"up": api.Condition.ACTIVE, "draining": api.Condition.LEAVING}
    entry = api.Entry(
        node=row.text("name"),
        shard=row.whole("shard"),
        zone=0,
        condition=states[row.text("health", "up", re.compile("up|draining"))],
        started_us=row.whole("started_ms", 0) * 1000,
    )
    target = row.text("target", form=IQN)
    row.done()
    return Listing(entry, f"{address}/{target}")
