"""Pins the keys of the settings and of the platform's file, which other programs write.

The expected values below use names of the code; the input is literal. Only three keys of the file are also
names in the code: `name`, `listen` and `discovery`, which environment variables override. On a reload,
`platform.load` reads the fields of `PlatformConfig` with these names by `getattr`, and the names of the
variables are these keys in upper case. The values of `classes.group` and of an endpoint's state are values of
`DeduplicationScope` and `EndpointState`, not names of members.
"""

from __future__ import annotations

import copy
import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

import pytest

from lemonridge.config import platform, scheduler_settings
from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.scheduling.settings import (
    DeduplicationScope,
    IdempotencyKind,
    RequestClass,
    Settings,
    VolumePlan,
)

FACTS: dict[str, Any] = json.loads("""
{"fleet-size": 3, "me": 1, "discovery": "ask", "tick-us": 2001, "azs": ["hall-a", "hall-b"],
 "classes": [
  {"name": "read", "aim-us": 300001, "deadline-us": 2500001, "semantics": "repeatable", "group": "zone",
   "memory-span-us": 5000001, "gain": 2.5},
  {"name": "write", "aim-us": 300002, "deadline-us": 2500002, "semantics": "by_key", "group": "all",
   "memory-span-us": 5000002, "sequential": true, "gain": 3.5},
  {"name": "zoned", "aim-us": 300003, "deadline-us": 2500003, "semantics": "by_key", "group": "zone",
   "memory-span-us": 5000003, "gain": null},
  {"name": "celled", "aim-us": 300004, "deadline-us": 2500004, "semantics": "by_key", "group": "cell",
   "memory-span-us": 5000004},
  {"name": "order", "aim-us": 300005, "deadline-us": 2500005, "semantics": "once", "gain": 4.5}],
 "grades": [
  {"name": "priority", "base-rate": 12.5, "guaranteed": 13.5, "weight": 1.5, "cap": 14.5, "burst": 15.5,
   "limit-slack": 16.5, "worth-factor": 1.25},
  {"name": "bare"}],
 "family-info": {"units-top": 6.5, "unit-mean": 2.25, "cold-units": 8.5, "tells-elsewhere": true,
  "meter-us": 500001, "class-writes": [false, true, true, true, false], "n-shards": 7},
 "limits": {"max-attempts": 4, "cancelling": true, "max-retry-after-us": 500002, "retry-after": true,
  "connect-timeout-us": 250001, "keepalive-us": 15000001, "peers": true},
 "rules": {"tip-multiple": 2.75, "ask-within-us": 101, "cold-share": 0.2, "ramp-time-us": 17000001,
  "fall-us": 1000001, "drain-grace-us": 500003, "look-back-us": 102, "free-resends": 1.75,
  "extra-ratio": 0.125, "key-rest-us": 103},
 "clients": {"marks-retry": true},
 "load-info": {"source": "piggyback", "names": ["cpu", "inflight", "busy_reqs"]}}
""")

IDEMPOTENT, WITH_KEY, NOT_IDEMPOTENT = (
    IdempotencyKind.IDEMPOTENT,
    IdempotencyKind.WITH_IDEMPOTENCY_KEY,
    IdempotencyKind.NOT_IDEMPOTENT,
)
SETTINGS = Settings(
    hosts=3,
    classes=(
        RequestClass(
            latency_objective_us=300001,
            deadline_us=2500001,
            idempotency=IDEMPOTENT,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window_us=0,
            sequential=False,
            priority_weight=2.5,
        ),
        RequestClass(
            latency_objective_us=300002,
            deadline_us=2500002,
            idempotency=WITH_KEY,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window_us=5000002,
            sequential=True,
            priority_weight=3.5,
        ),
        RequestClass(300003, 2500003, WITH_KEY, DeduplicationScope.ZONE, 5000003, False, 0.0),
        RequestClass(300004, 2500004, WITH_KEY, DeduplicationScope.SHARD, 5000004, False, 0.0),
        RequestClass(300005, 2500005, NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 4.5),
    ),
    plans=(
        VolumePlan(base_rate=12.5, reserve=13.5, weight=1.5, limit=14.5, burst=15.5, slack=16.5),
        VolumePlan(base_rate=0.0, reserve=0.0, weight=0.0, limit=0.0, burst=0.0, slack=0.0),
    ),
    polls_endpoint_list=True,
    largest_request_units=6.5,
    mean_request_units=2.25,
    slow_start_units=8.5,
    overload_multiple=2.75,
    reports_peer_usage=True,
    usage_meter_period_us=500001,
    max_attempts=4,
    may_cancel=True,
    max_backoff_us=500002,
    tick_us=2001,
    poll_within_us=101,
    slow_start_initial_fraction=0.2,
    slow_start_ramp_us=17000001,
    overload_window_us=1000001,
    drain_grace_us=500003,
    retry_budget_window_us=102,
    retry_budget_floor=1.75,
    retry_budget_ratio=0.125,
    key_quarantine_us=103,
    retry_rate=0.0,
    clients_mark_retries=True,
)


def test_every_key_of_settings_is_parsed_into_its_field() -> None:
    assert asdict(scheduler_settings.parse_settings(FACTS)) == asdict(SETTINGS)


def test_missing_optional_keys_are_zero_or_false() -> None:
    facts = copy.deepcopy(FACTS)
    for table, required_keys in (
        ("family-info", ()),
        ("limits", ("max-attempts",)),
        ("rules", ("cold-share", "ramp-time-us", "fall-us", "drain-grace-us")),
    ):
        facts[table] = {key: facts[table][key] for key in required_keys}
    facts["discovery"] = "push"
    del facts["clients"]

    settings = scheduler_settings.parse_settings(facts)

    assert (
        settings.polls_endpoint_list,
        settings.reports_peer_usage,
        settings.may_cancel,
        settings.clients_mark_retries,
    ) == (False,) * 4
    assert (
        settings.largest_request_units,
        settings.mean_request_units,
        settings.slow_start_units,
        settings.overload_multiple,
    ) == (0, 0, 0, 0)
    assert (
        settings.usage_meter_period_us,
        settings.max_backoff_us,
        settings.poll_within_us,
        settings.retry_budget_window_us,
    ) == (0, 0, 0, 0)
    assert (settings.retry_budget_floor, settings.retry_budget_ratio, settings.key_quarantine_us) == (0, 0, 0)


def test_maximum_backoff_is_zero_without_permission_for_retry_after() -> None:
    facts = copy.deepcopy(FACTS)
    facts["limits"]["retry-after"] = False

    assert scheduler_settings.parse_settings(facts).max_backoff_us == 0


@pytest.mark.parametrize(
    ("table", "key", "message"),
    [
        (None, "fleet-size", "settings lack the number 'facts.fleet-size'"),
        (None, "tick-us", "settings lack the number 'facts.tick-us'"),
        (None, "classes", "settings lack the list 'classes'"),
        (None, "grades", "settings lack the list 'grades'"),
        (None, "rules", "settings lack the table 'rules'"),
        (None, "limits", "settings lack the table 'limits'"),
        (None, "family-info", "settings lack the table 'family-info'"),
        ("limits", "max-attempts", "settings lack the number 'limits.max-attempts'"),
        ("rules", "cold-share", "settings lack the number 'rules.cold-share'"),
        ("rules", "ramp-time-us", "settings lack the number 'rules.ramp-time-us'"),
        ("rules", "fall-us", "settings lack the number 'rules.fall-us'"),
        ("rules", "drain-grace-us", "settings lack the number 'rules.drain-grace-us'"),
    ],
)
def test_missing_key_of_settings_is_named(table: str | None, key: str, message: str) -> None:
    facts = copy.deepcopy(FACTS)
    del (facts[table] if table else facts)[key]

    with pytest.raises(scheduler_settings.SettingsError) as caught:
        scheduler_settings.parse_settings(facts)

    assert str(caught.value) == message


@pytest.mark.parametrize(
    ("key", "value", "message"),
    [
        ("aim-us", None, "settings lack the number 'classes.aim-us'"),
        ("deadline-us", True, "settings lack the number 'classes.deadline-us'"),
        ("memory-span-us", "1", "settings lack the number 'classes.memory-span-us'"),
        ("semantics", "safe", "settings lack a known 'classes.semantics'"),
        ("group", "row", "settings lack a known 'classes.group'"),
    ],
)
def test_invalid_value_of_class_is_named(key: str, value: object, message: str) -> None:
    facts = copy.deepcopy(FACTS)
    facts["classes"][1][key] = value

    with pytest.raises(scheduler_settings.SettingsError) as caught:
        scheduler_settings.parse_settings(facts)

    assert str(caught.value) == message


@pytest.mark.parametrize(
    ("load_info", "field"),
    [
        ({"source": "piggyback", "names": ["cpu", "inflight", "busy_reqs"]}, "inflight"),
        ({"source": "piggyback", "names": ["busy_reqs"]}, "busy_reqs"),
        ({"source": "piggyback", "names": ["cpu"]}, ""),
        ({"source": "poll", "names": ["inflight"]}, ""),
        (None, ""),
    ],
)
def test_field_of_load_reports_with_in_flight_requests(load_info: object, field: str) -> None:
    assert scheduler_settings.in_flight_field({"load-info": load_info}) == field


def test_names_of_classes_and_plans_are_in_order_of_settings() -> None:
    assert scheduler_settings.entry_names(FACTS, "classes") == ("read", "write", "zoned", "celled", "order")
    assert scheduler_settings.entry_names(FACTS, "grades") == ("priority", "bare")


# The platform's file

PLATFORM_FILE: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:8001",
    "discovery": "[::1]:8002",
    "seed": "8c1f30d27a5be964",
    "known": {"nodes": []},
    "settings": FACTS,
    "limits": {"sockets": 77, "memory_mb": 3},
    "admin_addr": "127.0.0.1:8003",
    "peer_listen": "127.0.0.1:8004",
    "peers": ["127.0.0.1:8005", "127.0.0.1:8004", "127.0.0.1:8006"],
}


def write_config(folder: Path, values: dict[str, Any]) -> str:
    """Writes the platform's file into a folder and returns its path."""
    path = folder / "config.json"
    path.write_text(json.dumps(values))
    return str(path)


def address(port: int, host: str = "127.0.0.1") -> Address:
    """Returns an address, by default on loopback."""
    return Address(host=host, port=port)


def test_every_key_of_platform_file_is_parsed_into_its_field(tmp_path: Path) -> None:
    path = write_config(tmp_path, PLATFORM_FILE)

    config = platform.load({"ROUTER_CONFIG": path})

    assert config == platform.PlatformConfig(
        name="n1",
        listen=address(8001),
        discovery=address(8002, "::1"),
        seed=0x8C1F30D27A5BE964,
        settings=SETTINGS,
        classes=("read", "write", "zoned", "celled", "order"),
        class_writes=(False, True, True, True, False),
        plans=("priority", "bare"),
        zones=("hall-a", "hall-b"),
        connect_us=250001,
        keepalive_us=15000001,
        sockets=77,
        memory_bytes=3145728,
        shards=7,
        in_flight_field="inflight",
        cached_endpoint_list={"nodes": []},
        file_values={"name": "n1", "listen": "127.0.0.1:8001", "discovery": "[::1]:8002"},
        admin=address(8003),
        fleet=FleetConfig(
            names=("0", "1", "2"),
            own_index=1,
            listen=address(8004),
            addresses=(address(8005), address(8004), address(8006)),
            datagram_bytes_per_s=8192.0,
            clock_error_us=50000,
            secret=b"",
            retry_rate=0.0,
            admin=None,
            rollout=None,
        ),
        exchanges_datagrams=False,
        inherited_fd=None,
        file_content=Path(path).read_bytes(),
    )


def test_environment_variables_override_platform_file(tmp_path: Path) -> None:
    environment = {
        "ROUTER_CONFIG": write_config(tmp_path, PLATFORM_FILE),
        "ROUTER_NAME": "n2",
        "ROUTER_LISTEN": "127.0.0.2:9001",
        "ROUTER_DISCOVERY": "127.0.0.2:9002",
        "ROUTER_ADMIN_ADDR": "127.0.0.2:9003",
        "ROUTER_PASSED_SOCKET": "5",
    }

    config = platform.load(environment)

    assert (config.name, config.listen) == ("n2", address(9001, "127.0.0.2"))
    assert (config.discovery, config.admin) == (address(9002, "127.0.0.2"), address(9003, "127.0.0.2"))
    assert config.inherited_fd == 5
    assert config.file_values == {"name": "n1", "listen": "127.0.0.1:8001", "discovery": "[::1]:8002"}
    assert platform.read_file_content(environment) == config.file_content


def test_reload_keeps_overridden_values_until_the_key_in_the_file_changes(tmp_path: Path) -> None:
    """The file's keys are compared with the fields of the same names; a renamed field must keep its key."""
    path = write_config(tmp_path, PLATFORM_FILE)
    environment = {
        "ROUTER_CONFIG": path,
        "ROUTER_NAME": "n2",
        "ROUTER_LISTEN": "127.0.0.2:9001",
        "ROUTER_DISCOVERY": "127.0.0.2:9002",
    }
    at_start = platform.load(environment)

    reloaded = platform.load(environment, at_start)
    write_config(tmp_path, {**PLATFORM_FILE, "discovery": "127.0.0.3:9002", "limits": {}})
    reloaded_from_changed_file = platform.load(environment, at_start)

    assert (reloaded.name, reloaded.listen, reloaded.discovery) == (
        "n2",
        address(9001, "127.0.0.2"),
        address(9002, "127.0.0.2"),
    )
    assert (reloaded_from_changed_file.name, reloaded_from_changed_file.discovery) == (
        "n2",
        address(9002, "127.0.0.3"),
    )
    assert (reloaded_from_changed_file.sockets, reloaded_from_changed_file.memory_bytes) == (1024, 201326592)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"name": None}, "neither ROUTER_NAME nor 'name' is set"),
        ({"listen": None}, "neither ROUTER_LISTEN nor 'listen' is set"),
        ({"discovery": None}, "neither ROUTER_DISCOVERY nor 'discovery' is set"),
        ({"listen": "nowhere"}, "'listen' must be HOST:PORT, not 'nowhere'"),
        ({"seed": "xyz"}, "'seed' must be hex digits, not 'xyz'"),
        ({"admin_addr": "x"}, "'admin_addr' must be HOST:PORT, not 'x'"),
        ({"peer_listen": "x"}, "'peer_listen' must be HOST:PORT, not 'x'"),
        ({"peers": ["a", "b", "c"]}, "'peers' must be HOST:PORT, not 'a'"),
        ({"settings": {}}, "settings lack the table 'rules'"),
    ],
)
def test_invalid_key_of_platform_file_is_named(tmp_path: Path, change: dict[str, Any], message: str) -> None:
    path = write_config(tmp_path, {**PLATFORM_FILE, **change})

    with pytest.raises(ConfigError) as caught:
        platform.load({"ROUTER_CONFIG": path})

    assert str(caught.value) == message


@pytest.mark.parametrize(
    ("table", "key", "message"),
    [
        ("limits", "connect-timeout-us", "settings lack the number 'limits.connect-timeout-us'"),
        ("limits", "keepalive-us", "settings lack the number 'limits.keepalive-us'"),
        ("family-info", "class-writes", "settings lack the list 'family-info.class-writes'"),
    ],
)
def test_missing_key_of_settings_in_platform_file_is_named(
    tmp_path: Path, table: str, key: str, message: str
) -> None:
    values = copy.deepcopy(PLATFORM_FILE)
    del values["settings"][table][key]

    with pytest.raises(ConfigError) as caught:
        platform.load({"ROUTER_CONFIG": write_config(tmp_path, values)})

    assert str(caught.value) == message


def test_peers_are_ignored_without_permission_in_settings(tmp_path: Path) -> None:
    values = copy.deepcopy(PLATFORM_FILE)
    values["settings"]["limits"]["peers"] = False

    assert platform.load({"ROUTER_CONFIG": write_config(tmp_path, values)}).fleet is None
