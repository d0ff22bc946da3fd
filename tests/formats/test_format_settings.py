"""The settings and the platform's file, key by key: they come from other programs than this one.

The names of the code stand in the builders and in the expected values below; the facts are literals. Derived
from a name of the code are only the three keys of the file that a variable goes before: a running program
compares `name`, `listen` and `discovery` with the fields of `PlatformConfig` that have the same names
(`getattr` in `platform.load`), and the variables are these keys in capitals. The words of `classes.group` and
of an endpoint's state are values of `DeduplicationScope` and `EndpointState`, not names.
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

SAFE, KEYED, ONCE = (
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
            idempotency=SAFE,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window_us=0,
            sequential=False,
            priority_weight=2.5,
        ),
        RequestClass(
            latency_objective_us=300002,
            deadline_us=2500002,
            idempotency=KEYED,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window_us=5000002,
            sequential=True,
            priority_weight=3.5,
        ),
        RequestClass(300003, 2500003, KEYED, DeduplicationScope.ZONE, 5000003, False, 0.0),
        RequestClass(300004, 2500004, KEYED, DeduplicationScope.SHARD, 5000004, False, 0.0),
        RequestClass(300005, 2500005, ONCE, DeduplicationScope.ALL, 0, False, 4.5),
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


def test_every_key_comes_to_its_field() -> None:
    assert asdict(scheduler_settings.parse_settings(FACTS)) == asdict(SETTINGS)


def test_what_may_be_left_out_is_none() -> None:
    facts = copy.deepcopy(FACTS)
    for table, needed in (
        ("family-info", ()),
        ("limits", ("max-attempts",)),
        ("rules", ("cold-share", "ramp-time-us", "fall-us", "drain-grace-us")),
    ):
        facts[table] = {key: facts[table][key] for key in needed}
    facts["discovery"] = "push"
    del facts["clients"]

    read = scheduler_settings.parse_settings(facts)

    assert (
        read.polls_endpoint_list,
        read.reports_peer_usage,
        read.may_cancel,
        read.clients_mark_retries,
    ) == (False,) * 4
    assert (
        read.largest_request_units,
        read.mean_request_units,
        read.slow_start_units,
        read.overload_multiple,
    ) == (0, 0, 0, 0)
    assert (
        read.usage_meter_period_us,
        read.max_backoff_us,
        read.poll_within_us,
        read.retry_budget_window_us,
    ) == (0, 0, 0, 0)
    assert (read.retry_budget_floor, read.retry_budget_ratio, read.key_quarantine_us) == (0, 0, 0)


def test_advice_to_come_back_needs_its_leave() -> None:
    facts = copy.deepcopy(FACTS)
    facts["limits"]["retry-after"] = False

    assert scheduler_settings.parse_settings(facts).max_backoff_us == 0


@pytest.mark.parametrize(
    ("table", "key", "words"),
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
def test_what_is_lacking_is_named(table: str | None, key: str, words: str) -> None:
    facts = copy.deepcopy(FACTS)
    del (facts[table] if table else facts)[key]

    with pytest.raises(scheduler_settings.SettingsError) as caught:
        scheduler_settings.parse_settings(facts)

    assert str(caught.value) == words


@pytest.mark.parametrize(
    ("key", "value", "words"),
    [
        ("aim-us", None, "settings lack the number 'classes.aim-us'"),
        ("deadline-us", True, "settings lack the number 'classes.deadline-us'"),
        ("memory-span-us", "1", "settings lack the number 'classes.memory-span-us'"),
        ("semantics", "safe", "settings lack a known 'classes.semantics'"),
        ("group", "row", "settings lack a known 'classes.group'"),
    ],
)
def test_what_is_wrong_with_a_class_is_named(key: str, value: object, words: str) -> None:
    facts = copy.deepcopy(FACTS)
    facts["classes"][1][key] = value

    with pytest.raises(scheduler_settings.SettingsError) as caught:
        scheduler_settings.parse_settings(facts)

    assert str(caught.value) == words


@pytest.mark.parametrize(
    ("report", "field"),
    [
        ({"source": "piggyback", "names": ["cpu", "inflight", "busy_reqs"]}, "inflight"),
        ({"source": "piggyback", "names": ["busy_reqs"]}, "busy_reqs"),
        ({"source": "piggyback", "names": ["cpu"]}, ""),
        ({"source": "poll", "names": ["inflight"]}, ""),
        (None, ""),
    ],
)
def test_the_field_that_says_what_a_node_holds(report: object, field: str) -> None:
    assert scheduler_settings.in_flight_field({"load-info": report}) == field


def test_names_of_rows() -> None:
    assert scheduler_settings.entry_names(FACTS, "classes") == ("read", "write", "zoned", "celled", "order")
    assert scheduler_settings.entry_names(FACTS, "grades") == ("priority", "bare")


# The platform's file

TOLD: dict[str, Any] = {
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


def write(folder: Path, told: dict[str, Any]) -> str:
    path = folder / "config.json"
    path.write_text(json.dumps(told))
    return str(path)


def at(port: int, host: str = "127.0.0.1") -> Address:
    return Address(host=host, port=port)


def test_every_key_of_the_file_comes_to_its_field(tmp_path: Path) -> None:
    path = write(tmp_path, TOLD)

    read = platform.load({"ROUTER_CONFIG": path})

    assert read == platform.PlatformConfig(
        name="n1",
        listen=at(8001),
        discovery=at(8002, "::1"),
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
        admin=at(8003),
        fleet=FleetConfig(
            names=("0", "1", "2"),
            own_index=1,
            listen=at(8004),
            addresses=(at(8005), at(8004), at(8006)),
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


def test_variables_go_before_the_file(tmp_path: Path) -> None:
    environment = {
        "ROUTER_CONFIG": write(tmp_path, TOLD),
        "ROUTER_NAME": "n2",
        "ROUTER_LISTEN": "127.0.0.2:9001",
        "ROUTER_DISCOVERY": "127.0.0.2:9002",
        "ROUTER_ADMIN_ADDR": "127.0.0.2:9003",
        "ROUTER_PASSED_SOCKET": "5",
    }

    read = platform.load(environment)

    assert (read.name, read.listen) == ("n2", at(9001, "127.0.0.2"))
    assert (read.discovery, read.admin) == (at(9002, "127.0.0.2"), at(9003, "127.0.0.2"))
    assert read.inherited_fd == 5
    assert read.file_values == {"name": "n1", "listen": "127.0.0.1:8001", "discovery": "[::1]:8002"}
    assert platform.read_file_content(environment) == read.file_content


def test_what_a_running_program_keeps_and_what_the_file_changes(tmp_path: Path) -> None:
    """The keys are compared with the fields of the same names: a rename of a field needs its key."""
    path = write(tmp_path, TOLD)
    environment = {
        "ROUTER_CONFIG": path,
        "ROUTER_NAME": "n2",
        "ROUTER_LISTEN": "127.0.0.2:9001",
        "ROUTER_DISCOVERY": "127.0.0.2:9002",
    }
    before = platform.load(environment)

    same = platform.load(environment, before)
    write(tmp_path, {**TOLD, "discovery": "127.0.0.3:9002", "limits": {}})
    changed = platform.load(environment, before)

    assert (same.name, same.listen, same.discovery) == ("n2", at(9001, "127.0.0.2"), at(9002, "127.0.0.2"))
    assert (changed.name, changed.discovery) == ("n2", at(9002, "127.0.0.3"))
    assert (changed.sockets, changed.memory_bytes) == (1024, 201326592)


@pytest.mark.parametrize(
    ("change", "words"),
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
def test_what_is_wrong_with_the_file_is_named(tmp_path: Path, change: dict[str, Any], words: str) -> None:
    path = write(tmp_path, {**TOLD, **change})

    with pytest.raises(ConfigError) as caught:
        platform.load({"ROUTER_CONFIG": path})

    assert str(caught.value) == words


@pytest.mark.parametrize(
    ("table", "key", "words"),
    [
        ("limits", "connect-timeout-us", "settings lack the number 'limits.connect-timeout-us'"),
        ("limits", "keepalive-us", "settings lack the number 'limits.keepalive-us'"),
        ("family-info", "class-writes", "settings lack the list 'family-info.class-writes'"),
    ],
)
def test_what_a_broker_needs_of_the_settings_is_named(
    tmp_path: Path, table: str, key: str, words: str
) -> None:
    told = copy.deepcopy(TOLD)
    del told["settings"][table][key]

    with pytest.raises(ConfigError) as caught:
        platform.load({"ROUTER_CONFIG": write(tmp_path, told)})

    assert str(caught.value) == words


def test_peers_need_the_settings_leave(tmp_path: Path) -> None:
    told = copy.deepcopy(TOLD)
    told["settings"]["limits"]["peers"] = False

    assert platform.load({"ROUTER_CONFIG": write(tmp_path, told)}).fleet is None
