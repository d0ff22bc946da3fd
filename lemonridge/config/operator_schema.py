"""The schema of the operator's file, used for parsing, error messages and `lemonridge schema`.

Each struct is a table of the file and each field a key, named like the field or as `rename` says. msgspec
rejects unknown keys and checks the bounds given in the types. Names and docstrings of the structs are part of
the printed schema.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct, field

from lemonridge.config.errors import ConfigError

TableT = TypeVar("TableT")
IQN = r"^(iqn\.\d{4}-\d{2}\.[a-z0-9.:-]+|eui\.[0-9A-Fa-f]{16})$"

Name = Annotated[str, Meta(min_length=1, max_length=223)]
Iqn = Annotated[str, Meta(pattern=IQN, max_length=223)]
AddressText = Annotated[str, Meta(pattern=r"^.+:\d{1,5}$", description="HOST:PORT")]
Prefix = Annotated[str, Meta(pattern=r"^/(.*/)?$", description="an etcd prefix: it begins and ends with /")]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
UInt31 = Annotated[int, Meta(ge=0, lt=1 << 31)]
UInt62 = Annotated[int, Meta(ge=0, lt=1 << 62)]
Amount = Annotated[float, Meta(ge=0, lt=1e12)]
AmountFromOne = Annotated[float, Meta(ge=1, lt=1e12)]


class FrontTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[iscsi]: the target towards the initiators."""

    listen: AddressText
    target: Iqn
    initiators: list[str] = []
    brokers: Count = 1
    max_sessions: Count = 64
    queue_depth: Count = 32
    max_transfer_kib: Count = 256
    buffer_mib: Annotated[int, Meta(ge=1, le=65536)] = 48
    unit_kib: Count = 64
    connections: Annotated[int, Meta(ge=1, le=32)] = 4
    max_connections: Count = 256
    recovery_level: Annotated[int, Meta(ge=0, le=2)] = 2
    digests: tuple[Literal["CRC32C", "None"], ...] = ("CRC32C", "None")
    initial_r2t: bool = False
    max_r2t: Annotated[int, Meta(ge=1, le=64)] = 4
    max_burst_kib: Annotated[int, Meta(ge=1, le=16383)] = 256
    first_burst_kib: Annotated[int, Meta(ge=1, le=16383)] = 64
    time2wait_s: Annotated[int, Meta(ge=0, le=3600)] = 2
    time2retain_s: Annotated[int, Meta(ge=0, le=3600)] = 20
    statuses_kept: Annotated[int, Meta(ge=8, le=4096)] = 128
    ping_s: Amount = 30
    login_failures: Count = 10
    power_on_attention: bool = False
    secrets: str | None = None
    chap: list[str] = []
    reservations: str | None = None


class TargetTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[[target]]: a further name of the target, with its own access."""

    name: Iqn
    initiators: list[str] = []
    chap: list[str] = []


class AccountTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[[account]] of the file of secrets; `own_*` is how this side proves itself to the other (mutual)."""

    name: Name
    secret: Annotated[str, Meta(min_length=12, max_length=255)]
    own_name: str = ""
    own_secret: Annotated[str, Meta(max_length=255)] = ""


class SecretsFile(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The file of secrets."""

    account: Annotated[list[AccountTable], Meta(min_length=1)]


class InitiatorTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[initiator]: towards the nodes."""

    name: Iqn
    connect_timeout_ms: AmountFromOne = 250
    idle_s: AmountFromOne = 60
    digests: tuple[Literal["CRC32C", "None"], ...] = ("None", "CRC32C")
    chap: str | None = None


class ClassTable(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    rename={"priority_weight": "worth"},
):
    """[classes.read] and [classes.write]."""

    aim_ms: AmountFromOne
    deadline_ms: AmountFromOne
    priority_weight: Amount = 1.0


# No docstring: msgspec would add it to the printed schema as a description.
class ClassesTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):  # noqa: D101
    read: ClassTable
    write: ClassTable


class RulesTable(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    rename={
        "mean_request_units": "units_mean",
        "slow_start_units": "cold_units",
        "overload_multiple": "tip_multiple",
        "slow_start_initial_fraction": "cold_share",
    },
):
    """[rules]: the figures of the rules on nodes."""

    mean_request_units: Amount = 1.0
    slow_start_units: Amount = 8.0
    overload_multiple: Amount = 2.5
    max_attempts: Annotated[int, Meta(ge=1, le=4)] = 4
    slow_start_initial_fraction: Amount = 0.2
    ramp_s: Amount = 17
    fall_ms: Amount = 1000


class PlanTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[[plan]], and a key plans/NAME of etcd: rates in units a second; a limit of 0 is none."""

    name: Name = ""
    rate: Amount = 0.0
    reserve: Amount = 0.0
    weight: Amount = 1.0
    limit: Amount = 0.0
    burst: Amount | None = None


class ExtentTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[[lun.extent]], and a key extents/LUN/FIRST of etcd: a run of blocks on one shard."""

    first: UInt62 = 0
    blocks: Annotated[int, Meta(ge=1, lt=1 << 62)]
    shard: UInt31
    version: UInt62 = 0


class LunTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[[lun]]: a volume, whole on a shard, or in extents that stand here or in the map of `[extents]`."""

    lun: Annotated[int, Meta(ge=0, lt=1 << 14)]
    plan: str
    shard: UInt31 | None = None
    extents: Literal["map"] | None = None
    extent: list[ExtentTable] = []


class ExtentsTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[extents]: how the map of extents is followed, kept and trusted."""

    block_bytes: Annotated[int, Meta(ge=512, le=65536)] = 512
    max_extents: Annotated[int, Meta(ge=1, le=4_000_000)] = 1_000_000
    max_pieces: Annotated[int, Meta(ge=1, le=256)] = 32
    max_redirects: Annotated[int, Meta(ge=1, le=64)] = 8
    max_refreshes: Annotated[int, Meta(ge=1, le=12)] = 6
    read_age_s: AmountFromOne = 60
    write_age_s: AmountFromOne = 15
    page: Annotated[int, Meta(ge=1, le=100_000)] = 2000
    file: str | None = None
    keep: str | None = None
    keep_mib: Annotated[int, Meta(ge=1, le=65536)] = 256
    keep_age_s: AmountFromOne = 3600


class NodeTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[[node]], and a key nodes/NAME of etcd."""

    name: Name = ""
    address: AddressText
    target: Iqn
    shard: UInt31
    health: Literal["up", "draining"] = "up"
    started_ms: UInt62 = 0


class EtcdTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[etcd]: the node list, the contracts and the map of extents by etcd's v3 API."""

    endpoint: AddressText
    prefix: Prefix


class MemberTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[[fleet.member]]: a broker of the fleet, in the same order in every broker's file."""

    name: Name
    address: AddressText


class PolicyTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[fleet.policy]: all brokers decide by one policy, which they change together."""

    store: Annotated[str, Meta(min_length=1)]  # path of this broker's vote store, created by `policy init`
    lease_ms: Annotated[float, Meta(ge=300, le=60_000)] = 2000
    floor: Annotated[float, Meta(gt=0, le=1)] = 0.25  # fraction of the limits to apply without a lease


class FleetTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """[fleet]: this broker among the others, by UDP."""

    name: str | None = None  # of this broker; by default its name on the platform
    listen: AddressText
    member: Annotated[list[MemberTable], Meta(min_length=2, max_length=256)]
    secret: str | None = None  # path of a file that only its owner can read
    clock_error_ms: Annotated[float, Meta(ge=1, le=1000)] = 50
    bytes_per_s: Annotated[float, Meta(ge=1024, lt=1e9)] = 8192
    further_attempts: Amount = 0  # retries per second of all brokers; 0: only the rules of each class apply
    admin: AddressText | None = None  # for operators' calls, if the platform configures no address
    policy: PolicyTable | None = None


class FleetFile(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """An operator's file that only adds the fleet to the platform's broker."""

    fleet: FleetTable


class OperatorFile(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The operator's file."""

    iscsi: FrontTable
    target: list[TargetTable] = []
    initiator: InitiatorTable
    classes: ClassesTable
    rules: RulesTable = field(default_factory=RulesTable)
    plan: Annotated[list[PlanTable], Meta(min_length=1)]
    lun: Annotated[list[LunTable], Meta(min_length=1)]
    node: list[NodeTable] = []
    etcd: EtcdTable | None = None
    extents: ExtentsTable = field(default_factory=ExtentsTable)
    fleet: FleetTable | None = None


def convert(kind: type[TableT], values: Any, path: str = "") -> TableT:
    """Converts parsed values to the struct `kind`.

    Args:
        kind: The struct that defines the allowed keys and values.
        values: The values as parsed from TOML or JSON.
        path: The path of the values in their file, for the error message.

    Raises:
        ConfigError: A key is missing or unknown, or a value is out of bounds; the message names the path.
    """
    try:
        return msgspec.convert(values, kind)
    except msgspec.ValidationError as error:
        raise ConfigError(format_validation_error(str(error), path)) from None


def format_validation_error(text: str, path: str = "") -> str:
    """Reformats a msgspec message so that it begins with the key's path: `lun[2].shard: expected ...`."""
    message, _, key_path = text.partition(" - at `")
    key_path = key_path.rstrip("`").removeprefix("key in ").lstrip("$").lstrip(".")
    key_path = f"{path}.{key_path}" if path and key_path else path or key_path
    if message.startswith("Object contains unknown field `"):
        name = message.split("`")[1]
        return f"unknown key {key_path + '.' if key_path else ''}{name}"
    if message.startswith("Object missing required field `"):
        name = message.split("`")[1]
        return f"{key_path + '.' if key_path else ''}{name} is missing"
    message = message.replace("`", "")
    return f"{key_path}: {message[0].lower()}{message[1:]}" if key_path else message


def json_schema() -> dict[str, Any]:
    """Returns the JSON Schema (2020-12) of the operator's file."""
    root_schemas, definitions = msgspec.json.schema_components(
        [OperatorFile, FleetFile], ref_template="#/$defs/{name}"
    )
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "anyOf": list(root_schemas),
        "$defs": definitions,
    }
