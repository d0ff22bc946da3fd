"""Pins the operator's file: every allowed key, the printed schema, and the error messages for wrong keys.

Every key is the name of a field in `lemonridge/config/operator_schema.py` unless `rename=` gives another key,
so renaming a field needs an entry in `rename=`. The names under `$defs` and the titles are the names of the
structs, and the descriptions are their docstrings, so renaming a struct or changing a docstring changes the
printed schema.
"""

from __future__ import annotations

import contextlib
import hashlib
import io
import json
import tomllib
import unittest
from pathlib import Path
from typing import Any

import msgspec

from lemonridge.cli.main import main
from lemonridge.config.errors import ConfigError
from lemonridge.config.operator_schema import FleetFile, OperatorFile, SecretsFile, convert

ROOT = Path(__file__).resolve().parents[2]

# Contains every key, and no key has its default value.
ALL_KEYS = """\
[iscsi]
listen = "127.0.0.1:3260"
target = "iqn.2026-12.org.lemonridge:store"
initiators = ["iqn.2026-12.org.lemonridge:portal"]
brokers = 2
max_sessions = 63
queue_depth = 31
max_transfer_kib = 255
buffer_mib = 47
unit_kib = 63
connections = 3
max_connections = 255
recovery_level = 1
digests = ["None", "CRC32C"]
initial_r2t = true
max_r2t = 5
max_burst_kib = 257
first_burst_kib = 65
time2wait_s = 3
time2retain_s = 21
statuses_kept = 129
ping_s = 31.5
login_failures = 11
power_on_attention = true
secrets = "/etc/lemonridge/secrets.toml"
chap = ["portal"]
reservations = "/var/lib/lemonridge/reservations.json"

[[target]]
name = "iqn.2026-12.org.lemonridge:other"
initiators = ["iqn.2026-12.org.lemonridge:guest"]
chap = ["portal"]

[initiator]
name = "iqn.2026-12.org.lemonridge:broker"
connect_timeout_ms = 251.0
idle_s = 61.0
digests = ["CRC32C", "None"]
chap = "portal"

[classes.read]
aim_ms = 301.0
deadline_ms = 2501.0
worth = 2.0

[classes.write]
aim_ms = 401.0
deadline_ms = 2001.0
worth = 3.0

[rules]
units_mean = 1.5
cold_units = 8.5
tip_multiple = 2.75
max_attempts = 3
cold_share = 0.25
ramp_s = 17.5
fall_ms = 1001.0

[[plan]]
name = "standard"
rate = 60.0
reserve = 48.0
weight = 2.0
limit = 120.0
burst = 30.0

[[lun]]
lun = 0
plan = "standard"
shard = 1

[[lun]]
lun = 1
plan = "standard"
extents = "map"

[[lun]]
lun = 2
plan = "standard"

[[lun.extent]]
first = 0
blocks = 8
shard = 3
version = 2

[[node]]
name = "node-1"
address = "127.0.0.1:13260"
target = "iqn.2026-12.org.lemonridge:node-1"
shard = 1
health = "draining"
started_ms = 1700000000123

[etcd]
endpoint = "127.0.0.1:2379"
prefix = "/lemonridge/"

[extents]
block_bytes = 1024
max_extents = 1000001
max_pieces = 33
max_redirects = 9
max_refreshes = 7
read_age_s = 61.0
write_age_s = 16.0
page = 2001
file = "/etc/lemonridge/map.json"
keep = "/var/lib/lemonridge/map"
keep_mib = 257
keep_age_s = 3601.0

[fleet]
name = "n1"
listen = "127.0.0.1:7946"
secret = "/etc/lemonridge/fleet.key"
clock_error_ms = 51.0
bytes_per_s = 8193.0
further_attempts = 4.0
admin = "127.0.0.1:15001"

[[fleet.member]]
name = "n1"
address = "127.0.0.1:7946"

[[fleet.member]]
name = "n2"
address = "127.0.0.1:7947"

[fleet.policy]
store = "/var/lib/lemonridge/votes"
lease_ms = 2001.0
floor = 0.5
"""

SECRETS = """\
[[account]]
name = "portal"
secret = "twelve bytes or more"
own_name = "store"
own_secret = "twelve others or more"
"""

# The paths of all keys of the schema, sorted; `[]` means an element of a list.
KEY_PATHS = """\
classes
classes.read
classes.read.aim_ms
classes.read.deadline_ms
classes.read.worth
classes.write
classes.write.aim_ms
classes.write.deadline_ms
classes.write.worth
etcd
etcd.endpoint
etcd.prefix
extents
extents.block_bytes
extents.file
extents.keep
extents.keep_age_s
extents.keep_mib
extents.max_extents
extents.max_pieces
extents.max_redirects
extents.max_refreshes
extents.page
extents.read_age_s
extents.write_age_s
fleet
fleet.admin
fleet.bytes_per_s
fleet.clock_error_ms
fleet.further_attempts
fleet.listen
fleet.member
fleet.member[].address
fleet.member[].name
fleet.name
fleet.policy
fleet.policy.floor
fleet.policy.lease_ms
fleet.policy.store
fleet.secret
initiator
initiator.chap
initiator.connect_timeout_ms
initiator.digests
initiator.idle_s
initiator.name
iscsi
iscsi.brokers
iscsi.buffer_mib
iscsi.chap
iscsi.connections
iscsi.digests
iscsi.first_burst_kib
iscsi.initial_r2t
iscsi.initiators
iscsi.listen
iscsi.login_failures
iscsi.max_burst_kib
iscsi.max_connections
iscsi.max_r2t
iscsi.max_sessions
iscsi.max_transfer_kib
iscsi.ping_s
iscsi.power_on_attention
iscsi.queue_depth
iscsi.recovery_level
iscsi.reservations
iscsi.secrets
iscsi.statuses_kept
iscsi.target
iscsi.time2retain_s
iscsi.time2wait_s
iscsi.unit_kib
lun
lun[].extent
lun[].extent[].blocks
lun[].extent[].first
lun[].extent[].shard
lun[].extent[].version
lun[].extents
lun[].lun
lun[].plan
lun[].shard
node
node[].address
node[].health
node[].name
node[].shard
node[].started_ms
node[].target
plan
plan[].burst
plan[].limit
plan[].name
plan[].rate
plan[].reserve
plan[].weight
rules
rules.cold_share
rules.cold_units
rules.fall_ms
rules.max_attempts
rules.ramp_s
rules.tip_multiple
rules.units_mean
target
target[].chap
target[].initiators
target[].name
"""
TABLE_NAMES = [
    "ClassTable",
    "ClassesTable",
    "EtcdTable",
    "ExtentTable",
    "ExtentsTable",
    "FleetFile",
    "FleetTable",
    "FrontTable",
    "InitiatorTable",
    "LunTable",
    "MemberTable",
    "NodeTable",
    "OperatorFile",
    "PlanTable",
    "PolicyTable",
    "RulesTable",
    "TargetTable",
]
SCHEMA_SHA256 = "0d02f9d8567ff55d9ca865606f81e817cf4b22b4a1dab4b73912133e71d130b6"


def printed_schema() -> str:
    """Returns the output of `lemonridge schema`."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        main(["schema"])
    return output.getvalue()


def schema_key_paths(node: dict[str, Any], definitions: dict[str, Any], prefix: str = "") -> set[str]:
    """Returns the paths of the keys in a node of a JSON Schema; `definitions` is its `$defs`."""
    if "$ref" in node:
        return schema_key_paths(definitions[node["$ref"].removeprefix("#/$defs/")], definitions, prefix)
    paths = set[str]()
    for alternative in node.get("anyOf", ()):
        paths |= schema_key_paths(alternative, definitions, prefix)
    if isinstance(node.get("items"), dict):
        paths |= schema_key_paths(node["items"], definitions, prefix + "[]")
    for key, value in node.get("properties", {}).items():
        path = f"{prefix}.{key}" if prefix else key
        paths |= {path} | schema_key_paths(value, definitions, path)
    return paths


def file_key_paths(values: Any, prefix: str = "") -> set[str]:
    """Returns the paths of the keys in a parsed file."""
    paths = set[str]()
    if isinstance(values, list):
        return paths.union(*(file_key_paths(value, prefix + "[]") for value in values))
    if isinstance(values, dict):
        for key, value in values.items():
            path = f"{prefix}.{key}" if prefix else key
            paths |= {path} | file_key_paths(value, path)
    return paths


def file_with(path: str, value: Any) -> dict[str, Any]:
    """Returns the file with all keys after the key at a path was set to a value.

    A number in the path is an index in a list.
    """
    values: Any = tomllib.loads(ALL_KEYS)
    table, (*parents, key) = values, path.split(".")
    for parent in parents:
        table = table[int(parent)] if parent.isdigit() else table[parent]
    table[key] = value
    return dict(values)


class PrintedSchemaTest(unittest.TestCase):
    def test_printed_schema_is_unchanged(self) -> None:
        self.assertEqual(hashlib.sha256(printed_schema().encode()).hexdigest(), SCHEMA_SHA256)

    def test_keys_of_schema_are_unchanged(self) -> None:
        schema = json.loads(printed_schema())
        self.assertEqual(sorted(schema_key_paths(schema, schema["$defs"])), KEY_PATHS.split())

    def test_names_of_tables_in_schema_are_unchanged(self) -> None:
        schema = json.loads(printed_schema())
        self.assertEqual(sorted(schema["$defs"]), TABLE_NAMES)
        self.assertEqual(
            [definition["title"] for _, definition in sorted(schema["$defs"].items())], TABLE_NAMES
        )
        self.assertEqual(schema["anyOf"], [{"$ref": "#/$defs/OperatorFile"}, {"$ref": "#/$defs/FleetFile"}])
        self.assertEqual(schema["$schema"], "https://json-schema.org/draft/2020-12/schema")


class OperatorFileTest(unittest.TestCase):
    def test_example_file_has_every_key_of_schema(self) -> None:
        self.assertEqual(sorted(file_key_paths(tomllib.loads(ALL_KEYS))), KEY_PATHS.split())

    def test_every_key_is_accepted_and_encoded_unchanged(self) -> None:
        values = tomllib.loads(ALL_KEYS)
        encoded = json.loads(msgspec.json.encode(convert(OperatorFile, values)))
        for lun in encoded["lun"]:  # optional keys that the file does not set
            for key in [key for key, value in lun.items() if value in (None, [])]:
                del lun[key]
        self.assertEqual(encoded, values)

    def test_file_with_fleet_table_alone_is_accepted(self) -> None:
        values = {"fleet": tomllib.loads(ALL_KEYS)["fleet"]}
        self.assertEqual(json.loads(msgspec.json.encode(convert(FleetFile, values))), values)

    def test_secrets_file_is_accepted(self) -> None:
        values = tomllib.loads(SECRETS)
        self.assertEqual(json.loads(msgspec.json.encode(convert(SecretsFile, values))), values)

    def test_wrong_key_or_value_is_named_by_its_path(self) -> None:
        for path, value, message in (
            ("odd", 1, "unknown key odd"),
            ("iscsi.odd", 1, "unknown key iscsi.odd"),
            ("target.0.odd", 1, "unknown key target[0].odd"),
            ("classes.read.odd", 1, "unknown key classes.read.odd"),
            ("plan.0.odd", 1, "unknown key plan[0].odd"),
            ("lun.2.extent.0.odd", 1, "unknown key lun[2].extent[0].odd"),
            ("extents.odd", 1, "unknown key extents.odd"),
            ("fleet.member.1.odd", 1, "unknown key fleet.member[1].odd"),
            ("fleet.policy.odd", 1, "unknown key fleet.policy.odd"),
            ("fleet.policy", {}, "fleet.policy.store is missing"),
            ("node.0.health", "ill", "node[0].health: invalid enum value 'ill'"),
            ("node.0.shard", "1", "node[0].shard: expected int, got str"),
        ):
            with self.subTest(path=path), self.assertRaises(ConfigError) as caught:
                convert(OperatorFile, file_with(path, value))
            self.assertEqual(str(caught.exception), message)
        with self.assertRaises(ConfigError) as caught:
            convert(SecretsFile, {"account": [{"name": "portal", "odd": 1}]}, "secrets")
        self.assertEqual(str(caught.exception), "unknown key secrets.account[0].odd")


class DeployedFilesTest(unittest.TestCase):
    def test_each_operator_file_in_deploy_is_accepted(self) -> None:
        for name, schema in (("iscsi", OperatorFile), ("extents", OperatorFile), ("fleet", FleetFile)):
            with self.subTest(name=name):
                convert(schema, tomllib.loads((ROOT / f"deploy/{name}.toml").read_text()))

    def test_tables_of_platform_file_are_unchanged(self) -> None:
        values = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        self.assertEqual(list(values), ["build", "run", "sim", "policy", "node", "packages"])

    def test_deploy_contains_no_further_files(self) -> None:
        self.assertEqual(
            sorted(file.name for file in (ROOT / "deploy").glob("*.toml")),
            ["balancer.toml", "extents.toml", "fleet.toml", "iscsi.toml"],
        )
