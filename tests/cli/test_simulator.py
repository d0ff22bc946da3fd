"""Tests of the simulator's adapter, with lines of the wire protocol and as a process."""

from __future__ import annotations

import copy
import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from lemonridge.cli import simulator
from lemonridge.config.scheduler_settings import SettingsError, parse_settings
from lemonridge.scheduling.actions import Action, Cancel

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = {
    "fleet-size": 2,
    "discovery": "push",
    "tick-us": 2000,
    "surprise": {"ignored": True},
    "classes": [
        {
            "aim-us": 300000,
            "deadline-us": 1500000,
            "semantics": "repeatable",
            "group": "all",
            "memory-span-us": 5000000,
            "name": "x",
        },
        {
            "aim-us": 500000,
            "deadline-us": 4000000,
            "semantics": "by_key",
            "group": "cell",
            "memory-span-us": 4000000,
            "sequential": True,
            "name": "y",
        },
    ],
    "grades": [
        {
            "base-rate": 5.0,
            "guaranteed": 3.0,
            "weight": 1.0,
            "cap": 0.0,
            "burst": 0.0,
            "limit-slack": 0.0,
            "name": "z",
        }
    ],
    "family-info": {"cold-units": 13.0, "units-top": 8, "meter-us": 1000000, "tells-elsewhere": True},
    "limits": {"max-attempts": 3, "max-retry-after-us": 2000000, "retry-after": True},
    "rules": {"cold-share": 0.2, "ramp-time-us": 18000000, "fall-us": 1000000, "drain-grace-us": 250000},
}
ENDPOINT = [0, "active", 1, None, 0, "10.0.0.1:9000", 0]
OTHER_ENDPOINT = [0, "active", 1, None, 0, "10.0.0.2:9000", 0]
ARRIVAL = ["inbound", 3, "id-1", 0, 77, 1, 9500000, 5, 0, 0, 2, 1]


def batch_line(*events: list, now: int = 8000000) -> str:
    return json.dumps({"time-us": now, "happened": list(events)})


def start_events() -> list[list]:
    return [["page", 0, [ENDPOINT]], ["provision", 3, 99, SETTINGS], ["discovery", 3, "stale_copy", 1, 0]]


def orders(reply: str) -> list[list]:
    return json.loads(reply)["orders"]


def test_request_is_issued_and_the_failed_attempt_causes_orders() -> None:
    host = simulator.Host()
    assert ["issue", 3, "id-1", "10.0.0.1:9000", 0] in orders(
        host.batch(batch_line(*start_events(), ARRIVAL))
    )
    ended = ["completed", 3, "id-1", 0, "10.0.0.1:9000", 255, 900, False, None, None, {"busy_reqs": 7}]
    assert orders(host.batch(batch_line(ended, now=8001000)))


def test_page_number_is_resolved_in_event_order() -> None:
    host = simulator.Host()
    events = [*start_events(), ["page", 0, [OTHER_ENDPOINT]], ["discovery", 3, "whole", 2, 0], ARRIVAL]
    assert ["issue", 3, "id-1", "10.0.0.2:9000", 0] in orders(host.batch(batch_line(*events)))


def test_instance_that_is_killed_and_provisioned_in_one_batch_starts_without_requests() -> None:
    host = simulator.Host()
    host.batch(batch_line(*start_events(), ARRIVAL))
    events = [["kill", 3], *start_events()]
    assert not [order for order in orders(host.batch(batch_line(*events))) if order[0] == "issue"]
    assert not host.instances[3].scheduler.requests


def test_empty_batch_is_answered_without_orders() -> None:
    assert simulator.Host().batch(batch_line()) == '{"orders":[]}'


def test_maximum_backoff_is_zero_unless_retry_after_is_allowed() -> None:
    for allowed in (True, False):
        raw_settings = copy.deepcopy(SETTINGS)
        raw_settings["limits"]["retry-after"] = allowed
        settings = parse_settings(raw_settings)
        assert settings.max_backoff_us == (2000000 if allowed else 0)


def test_missing_optional_rules_are_zero() -> None:
    settings = parse_settings(SETTINGS)
    assert settings.retry_budget_window_us == settings.key_quarantine_us == settings.poll_within_us == 0


@pytest.mark.parametrize(
    ("table", "key"),
    [("rules", "fall-us"), ("limits", "max-attempts"), (None, "fleet-size"), ("classes", "aim-us")],
)
def test_error_names_the_missing_setting(table: str | None, key: str) -> None:
    raw_settings = copy.deepcopy(SETTINGS)
    values = (
        raw_settings
        if table is None
        else raw_settings[table][0]
        if table == "classes"
        else raw_settings[table]
    )
    del values[key]
    with pytest.raises(SettingsError, match=key):
        parse_settings(raw_settings)


@pytest.mark.parametrize(
    "malformed_line",
    [
        "{",
        "[]",
        "17",
        '{"time-us":1}',
        '{"time-us":"x","happened":[]}',
        batch_line(["wake", 4, 1]),
        batch_line([]),
        batch_line(["nonsense", 3]),
        batch_line(*start_events(), ["inbound", 3, "short"]),
        batch_line(["provision", 1, 2, {}]),
        batch_line(*start_events(), ["completed", 3, "id-1", 0, "n", 17, 1, True]),
    ],
)
def test_malformed_line_ends_the_process_with_a_one_line_error(malformed_line: str) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "lemonridge.cli.simulator"],
        input=malformed_line + "\n",
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode != 0
    assert process.stderr.startswith("lemonridge: ") and process.stderr.count("\n") == 1
    assert "Traceback" not in process.stderr and process.stdout == ""


def test_exception_in_the_scheduler_is_reported_as_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(*_: object) -> list[Action]:
        raise ValueError("no such thing")

    host = simulator.Host()
    host.batch(batch_line(*start_events()))
    monkeypatch.setattr(host.instances[3], "handle", raise_error)
    assert orders(host.batch(batch_line(ARRIVAL))) == [["fault", 3, "ValueError: no such thing"]]


def test_instances_of_one_process_share_nothing() -> None:
    def events(instance_id: int) -> list[list]:
        return [["provision", instance_id, 5, SETTINGS], ["discovery", instance_id, "stale_copy", 1, 0]] + [
            ["inbound", instance_id, f"{instance_id}-{n}", 0, n, 1, 9500000, 5, n % 2, 0, 2, 1]
            for n in range(9)
        ]

    shared_host, separate_host = simulator.Host(), simulator.Host()
    shared_orders = orders(shared_host.batch(batch_line(["page", 0, [ENDPOINT]], *events(1), *events(2))))
    separate_orders = orders(separate_host.batch(batch_line(["page", 0, [ENDPOINT]], *events(2))))
    assert [order for order in shared_orders if order[1] == 2] == separate_orders and separate_orders


def test_run_replies_to_every_line_until_the_end_of_input() -> None:
    sink = io.StringIO()
    simulator.run(io.StringIO(batch_line() + "\n" + batch_line() + "\n"), sink)
    assert sink.getvalue().count("\n") == 2


@pytest.mark.parametrize(
    ("report", "expected"),
    [
        ({"busy_reqs": 7}, 7.0),
        ({"pending": 3}, None),
        ({"busy_reqs": "x"}, None),
        ({"busy_reqs": True}, None),
        (None, None),
        ([], None),
        ({"busy_reqs": -2}, -2.0),
    ],
)
def test_load_report_without_a_valid_request_count_is_ignored_and_causes_no_fault(
    report: object, expected: float | None
) -> None:
    host = simulator.Host()
    host.batch(batch_line(*start_events(), ARRIVAL))
    ended = ["completed", 3, "id-1", 0, "10.0.0.1:9000", 0, 900, True, None, None, report]
    assert simulator.decode_attempt_ended(ended).endpoint_outstanding == expected
    assert not [order for order in orders(host.batch(batch_line(ended, now=8001000))) if order[0] == "fault"]


def test_cancel_is_encoded_as_undo_send() -> None:
    assert simulator.encode_actions(3, [Cancel("id-1", 2)]) == [["undo-send", 3, "id-1", 2]]
