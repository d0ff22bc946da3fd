"""Wire lines into the adapter, and the adapter as a process."""

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
FACTS = {
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
ROW = [0, "active", 1, None, 0, "10.0.0.1:9000", 0]
OTHER = [0, "active", 1, None, 0, "10.0.0.2:9000", 0]
ASK = ["inbound", 3, "id-1", 0, 77, 1, 9500000, 5, 0, 0, 2, 1]


def line(*events: list, now: int = 8000000) -> str:
    return json.dumps({"time-us": now, "happened": list(events)})


def begin() -> list[list]:
    return [["page", 0, [ROW]], ["provision", 3, 99, FACTS], ["discovery", 3, "stale_copy", 1, 0]]


def orders(reply: str) -> list[list]:
    return json.loads(reply)["orders"]


def test_request_is_issued_and_answered() -> None:
    host = simulator.Host()
    assert ["issue", 3, "id-1", "10.0.0.1:9000", 0] in orders(host.batch(line(*begin(), ASK)))
    ended = ["completed", 3, "id-1", 0, "10.0.0.1:9000", 255, 900, False, None, None, {"busy_reqs": 7}]
    assert orders(host.batch(line(ended, now=8001000)))


def test_page_number_is_resolved_in_event_order() -> None:
    host = simulator.Host()
    events = [*begin(), ["page", 0, [OTHER]], ["discovery", 3, "whole", 2, 0], ASK]
    assert ["issue", 3, "id-1", "10.0.0.2:9000", 0] in orders(host.batch(line(*events)))


def test_kill_forgets_and_a_new_start_in_the_same_batch_works() -> None:
    host = simulator.Host()
    host.batch(line(*begin(), ASK))
    events = [["kill", 3], *begin()]
    assert not [o for o in orders(host.batch(line(*events))) if o[0] == "issue"]
    assert not host.instances[3].scheduler.requests


def test_empty_batch() -> None:
    assert simulator.Host().batch(line()) == '{"orders":[]}'


def test_refusal_carries_advice_only_where_it_is_allowed() -> None:
    for allowed in (True, False):
        facts = copy.deepcopy(FACTS)
        facts["limits"]["retry-after"] = allowed
        settings = parse_settings(facts)
        assert settings.max_backoff_us == (2000000 if allowed else 0)


def test_optional_rules_may_be_absent() -> None:
    settings = parse_settings(FACTS)
    assert settings.retry_budget_window_us == settings.key_quarantine_us == settings.poll_within_us == 0


@pytest.mark.parametrize(
    ("table", "key"),
    [("rules", "fall-us"), ("limits", "max-attempts"), (None, "fleet-size"), ("classes", "aim-us")],
)
def test_missing_setting_is_named(table: str | None, key: str) -> None:
    facts = copy.deepcopy(FACTS)
    part = facts if table is None else facts[table][0] if table == "classes" else facts[table]
    del part[key]
    with pytest.raises(SettingsError, match=key):
        parse_settings(facts)


@pytest.mark.parametrize(
    "bad",
    [
        "{",
        "[]",
        "17",
        '{"time-us":1}',
        '{"time-us":"x","happened":[]}',
        line(["wake", 4, 1]),
        line([]),
        line(["nonsense", 3]),
        line(*begin(), ["inbound", 3, "short"]),
        line(["provision", 1, 2, {}]),
        line(*begin(), ["completed", 3, "id-1", 0, "n", 17, 1, True]),
    ],
)
def test_malformed_line_ends_it_with_one_plain_line(bad: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "lemonridge.cli.simulator"],
        input=bad + "\n",
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode != 0
    assert done.stderr.startswith("lemonridge: ") and done.stderr.count("\n") == 1
    assert "Traceback" not in done.stderr and done.stdout == ""


def test_exception_in_the_policy_is_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> list[Action]:
        raise ValueError("no such thing")

    host = simulator.Host()
    host.batch(line(*begin()))
    monkeypatch.setattr(host.instances[3], "handle", broken)
    assert orders(host.batch(line(ASK))) == [["fault", 3, "ValueError: no such thing"]]


def test_instances_of_one_process_share_nothing() -> None:
    def events(who: int) -> list[list]:
        return [["provision", who, 5, FACTS], ["discovery", who, "stale_copy", 1, 0]] + [
            ["inbound", who, f"{who}-{n}", 0, n, 1, 9500000, 5, n % 2, 0, 2, 1] for n in range(9)
        ]

    together, alone = simulator.Host(), simulator.Host()
    both = orders(together.batch(line(["page", 0, [ROW]], *events(1), *events(2))))
    one = orders(alone.batch(line(["page", 0, [ROW]], *events(2))))
    assert [o for o in both if o[1] == 2] == one and one


def test_run_serves_until_the_end_of_input() -> None:
    sink = io.StringIO()
    simulator.run(io.StringIO(line() + "\n" + line() + "\n"), sink)
    assert sink.getvalue().count("\n") == 2


@pytest.mark.parametrize(
    ("report", "held"),
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
def test_load_report_is_passed_on_or_left_out_and_never_a_fault(report: object, held: float | None) -> None:
    host = simulator.Host()
    host.batch(line(*begin(), ASK))
    ended = ["completed", 3, "id-1", 0, "10.0.0.1:9000", 0, 900, True, None, None, report]
    assert simulator.decode_attempt_ended(ended).endpoint_outstanding == held
    assert not [order for order in orders(host.batch(line(ended, now=8001000))) if order[0] == "fault"]


def test_cancel_is_written_as_the_wire_wants_it() -> None:
    assert simulator.encode_actions(3, [Cancel("id-1", 2)]) == [["undo-send", 3, "id-1", 2]]
