"""Pins the operators' calls and replies byte for byte: a command line calls brokers of other versions too.

The builders below use names of the code; the expected values are literals. The labels of member states,
budgets and health reports are tables of the encoder (`fleet/status_report.py`). The keys of a policy and of a
policy state are the field names of `policy_document.Policy`, `Plan`, `Class`, `Rules` and `PolicyState`, the
keys of a vote on disk those of `StoredVote`, each unless its `rename=` gives another key; so renaming a field
needs an entry in `rename=`. All other texts are literals in the code.
"""

from __future__ import annotations

import asyncio
import dataclasses
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import orjson
import pytest
from conftest import SETTINGS

from lemonridge.cli import main, policy_commands
from lemonridge.config.address import Address
from lemonridge.config.fleet import FleetConfig, RolloutConfig
from lemonridge.coordination.policy_coordinator import PolicyCoordinator
from lemonridge.coordination.vote_store import MAGIC, VoteStore
from lemonridge.core.counters import Counters
from lemonridge.fleet import datagrams, fleet_member, health_gossip, quota_ledger
from lemonridge.fleet.errors import DatagramFault
from lemonridge.fleet.events import DatagramReceived
from lemonridge.fleet.member_list import MemberList, hash_endpoint_id
from lemonridge.fleet.settings import MemberSettings
from lemonridge.fleet.status_report import all_members_up, format_table, member_report
from lemonridge.operate.admin_calls import AdminCall, AdminReply, AdminRequest, line_max, parse
from lemonridge.operate.errors import BadCallError
from lemonridge.operate.lifecycle import Phase
from lemonridge.rollout import policy_document
from lemonridge.rollout.vote_log import StoredVote
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind, RequestClass, VolumePlan

NOW = 1_800_000_000_000_000


# Calls and replies


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (b"ready\n", AdminRequest(call=AdminCall.READY)),
        (b"disable-server s-5be2a07c\r\n", AdminRequest(call=AdminCall.DISABLE, endpoint_id="s-5be2a07c")),
        (b"enable-server s-5be2a07c\n", AdminRequest(call=AdminCall.ENABLE, endpoint_id="s-5be2a07c")),
        (b"drain\n", AdminRequest(call=AdminCall.DRAIN)),
        (b"resume\n", AdminRequest(call=AdminCall.RESUME)),
        (b"fleet\n", AdminRequest(call=AdminCall.FLEET)),
        (b"policy\n", AdminRequest(call=AdminCall.POLICY)),
        (b'policy-propose {"policy":{}}\n', AdminRequest(call=AdminCall.PROPOSE, text='{"policy":{}}')),
        (b"policy-abort\n", AdminRequest(call=AdminCall.ABORT)),
        (b"policy-admit\n", AdminRequest(call=AdminCall.ADMIT)),
        (b"policy-retire b2\n", AdminRequest(call=AdminCall.RETIRE, endpoint_id="b2")),
        (b'policy-force {"lost":["b2"]}\n', AdminRequest(call=AdminCall.FORCE, text='{"lost":["b2"]}')),
    ],
)
def test_call_line_is_parsed_into_request(line: bytes, expected: AdminRequest) -> None:
    assert parse(line) == expected


def test_names_of_calls_and_phases_are_unchanged() -> None:
    assert [call.value for call in AdminCall] == [
        "ready",
        "disable-server",
        "enable-server",
        "drain",
        "resume",
        "fleet",
        "policy",
        "policy-propose",
        "policy-abort",
        "policy-admit",
        "policy-retire",
        "policy-force",
    ]
    assert [phase.value for phase in Phase] == ["serving", "draining", "handed", "stopping"]


@pytest.mark.parametrize(
    ("line", "message"),
    [
        (b"", "the line is empty"),
        (b"\xff", "the line is not plain text"),
        (b"x" * 513, "the line is too long"),
        (b"drain now", "drain takes no further word"),
        (b"disable-server", "disable-server takes one node id"),
        (b"policy-retire", "policy-retire takes one broker"),
        (b"enable-server \x01", "the node id cannot be read"),
        (
            b"stop",
            "unknown call; known are ready, disable-server, enable-server, drain, resume, fleet, policy, "
            "policy-propose, policy-abort, policy-admit, policy-retire, policy-force",
        ),
    ],
)
def test_invalid_call_line_is_rejected_with_message(line: bytes, message: str) -> None:
    with pytest.raises(BadCallError) as caught:
        parse(line)

    assert str(caught.value) == message


def test_reply_lines_and_maximum_line_lengths() -> None:
    assert AdminReply(done=True).encode() == b"ACK\n"
    assert AdminReply(done=True, text="out").encode() == b"ACK out\n"
    assert AdminReply(done=False, text="zu fr\u00fch").encode() == b"NAK zu fr?h\n"
    assert (line_max(b"ready"), line_max(b"policy-propose {"), line_max(b"policy-force {")) == (
        512,
        32768,
        512,
    )


# Fleet status


def build_fleet_member() -> fleet_member.FleetMember:
    """Builds member b1 of three.

    b0 is up and nothing was received from b2. There is one loan in each direction, and a count for every
    datagram fault.
    """
    member = fleet_member.FleetMember(
        MemberList(("b0", "b1", "b2"), 1), 77, 1, NOW, MemberSettings(retry_rate=5.0)
    )
    member.record_limit_demand(9, 20.0, 3, 4.0, NOW)
    member.record_outcome(hash_endpoint_id("s-1"), health_gossip.ObservedOutcome.CONNECT_FAILED, NOW)
    header = datagrams.DatagramHeader(0, datagrams.MemberState.UP, 5, 1, 1, NOW // 1000)
    datagram = datagrams.encode(
        header, [datagrams.HealthReport(hash_endpoint_id("s-9"), 3, 6, 250)], member.member_list.fingerprint
    )
    member.handle(NOW + 1000, (DatagramReceived(0, datagram),))
    budget = member.ledger.budgets[quota_ledger.BudgetKind.LIMIT, 9]
    budget.owned, budget.demand = 300_000, 400_000
    budget.loans_out[2] = [quota_ledger.LoanOut(3, 4, 50_000, NOW + 10**6)]
    budget.loans_in[0] = quota_ledger.LoanIn(5, 125_000, NOW + 10**6)
    member.counts.clear()
    member.counts["datagrams.taken"] = 8
    for number, fault in enumerate(DatagramFault, 1):
        member.receiver.faults[fault] = number
    return member


MEMBER_REPORT = (
    b'{"name":"b1"'
    b',"state":"joining"'
    b',"life":77'
    b',"round":0'
    b',"health":0'
    b',"accused":0'
    b',"superseded":false'
    b',"floors_only_ms":1545'
    b',"members":[{"name":"b0","state":"up","life":5,"for_ms":4,"heard_ms":4,"lost":0.0,"clock_ms":1,'
    b'"deaths":0,"wrongly":0},{"name":"b2","state":"absent","life":0,"for_ms":5,"heard_ms":null,'
    b'"lost":null,"clock_ms":null,"deaths":0,"wrongly":0}]'
    b',"budgets":[{"kind":"further","key":"0000000000000000","hosts":3,"uses":true,"own":0.333333,'
    b'"left":0.016666,"has":0.016666,"needs":0.0,"lent":{},"borrowed":{}},{"kind":"limit",'
    b'"key":"0000000000000009","hosts":3,"uses":true,"own":0.3,"left":0.015,"has":0.14,"needs":0.4,'
    b'"lent":{"b2":0.05},"borrowed":{"b0":0.125}}]'
    b',"judgements":[{"node":"s-1","what":"down","by":"b1","weight":1,"age_ms":5},'
    b'{"node":"2b2f2e22c6782b87","what":"errors","by":"b0","weight":6,"age_ms":254}]'
    b',"counters":{"datagrams.taken":8,"not_taken.short":1,"not_taken.version":2,'
    b'"not_taken.checksum":3,"not_taken.forged":4,"not_taken.roster":5,"not_taken.address":6,'
    b'"not_taken.malformed":7,"not_taken.old":8,"not_taken.replayed":9,"not_taken.overrun":10}'
    b"}"
)
STATUS_TABLE = (
    "seen by             b0         b1         b2\n"
    "b1                  up    joining     absent\n"
    "  heard ms           4          -          -\n"
    "  lost             0.0          -          -\n"
    "\n"
    "budget                        in all  who has what\n"
    "further 0000000000000000        0.02  b1=0.02\n"
    "limit 0000000000000009          0.14  b1=0.14\n"
    "\n"
    "node                judgement\n"
    "s-1                 down by b1, 1 times, 5 ms ago"
)


def test_member_report_is_encoded_as_recorded() -> None:
    report = member_report(build_fleet_member(), NOW + 5000, {hash_endpoint_id("s-1"): "s-1"})

    assert orjson.dumps(report) == MEMBER_REPORT


def test_every_number_in_datagrams_has_its_label_in_member_report() -> None:
    """The labels are tables of the encoder; the numbers are those in the datagrams."""
    member = build_fleet_member()
    limit = member.ledger.budgets[quota_ledger.BudgetKind.LIMIT, 9]
    member.ledger.budgets = {quota_ledger.BudgetKey(kind, 9): limit for kind in (1, 2, 3)}
    states = []

    for number in range(7):
        member.membership.members[0].state = datagrams.MemberState(number)
        states.append(member_report(member, NOW + 5000, {})["members"][0]["state"])
    for number in range(1, 5):
        header = datagrams.DatagramHeader(0, datagrams.MemberState.UP, 5, 1, 1 + number, NOW // 1000)
        datagram = datagrams.encode(
            header, [datagrams.HealthReport(100 + number, number, 6, 250)], member.member_list.fingerprint
        )
        member.handle(NOW + 2000, (DatagramReceived(0, datagram),))
    report = member_report(member, NOW + 5000, {101: "one", 102: "two", 103: "three", 104: "four"})
    conditions_from_b0 = [
        (entry["node"], entry["what"]) for entry in report["judgements"] if entry["by"] == "b0"
    ]

    assert states == ["absent", "joining", "up", "leaving", "suspect", "dead", "left"]
    assert [entry["kind"] for entry in report["budgets"]] == ["limit", "cold", "further"]
    assert set(conditions_from_b0) >= {
        ("one", "down"),
        ("two", "silent"),
        ("three", "errors"),
        ("four", "cold"),
    }


def test_member_report_is_formatted_as_table_and_checked_for_members_up() -> None:
    report = orjson.loads(MEMBER_REPORT)

    assert format_table([report]) == STATUS_TABLE
    assert all_members_up([report]) is False
    for member in report["members"]:
        member["state"] = "joining"
    assert all_members_up([report]) is True


def test_fleet_status_prints_reports_of_all_brokers_as_json(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    reports = [{"name": "b0", "members": [{"name": "b1", "state": "up"}]}]

    async def fetch_fleet_views(_: object) -> tuple[list[dict[str, Any]], list[str]]:
        return reports, []

    monkeypatch.setattr("lemonridge.net.admin_client.fetch_fleet_views", fetch_fleet_views)

    status = main.main(["fleet", "status", "127.0.0.1:1", "--json"])

    assert status == 0
    assert capsys.readouterr().out == (
        '{\n  "brokers": [\n    {\n      "name": "b0",\n      "members": [\n        {\n'
        '          "name": "b1",\n          "state": "up"\n        }\n      ]\n    }\n  ],\n'
        '  "silent": []\n}\n'
    )


# Policy calls


def build_policy(limit: float = 24.0) -> policy_document.Policy:
    """Builds a policy with one plan, which has this limit, and one class."""
    return policy_document.Policy(
        plan=(
            policy_document.Plan(
                name="basic", base_rate=1.0, reserve=2.0, weight=3.0, limit=limit, burst=12.0, slack=4.0
            ),
        ),
        classes=(policy_document.Class(name="read", latency_objective_ms=300.0, priority_weight=5.0),),
        rules=policy_document.Rules(max_attempts=3, retry_rate=6.0),
    )


def build_policy_state() -> policy_document.PolicyState:
    """Builds a policy state with every field set."""
    return policy_document.PolicyState(
        epoch=7,
        previous_digest="0123456789abcdef",
        voters={"b0": 11, "b1": 12},
        policy=build_policy(),
        floor=build_policy(6.0),
        author="b1",
        note="half",
        kind="voter",
        history=("7 b1: half",),
    )


POLICY_JSON = (
    b'{"class":[{"aim_ms":300.0,"name":"read","worth":5.0}],'
    b'"plan":[{"base_rate":1.0,"burst":12.0,"limit":24.0,"name":"basic","reserve":2.0,"slack":4.0,'
    b'"weight":3.0}],"rules":{"further_attempts":6.0,"max_attempts":3}}'
)
POLICY_STATE_JSON = (
    b'{"by":"b1","epoch":7,"floor":{"class":[{"aim_ms":300.0,"name":"read","worth":5.0}],'
    b'"plan":[{"base_rate":1.0,"burst":12.0,"limit":6.0,"name":"basic","reserve":2.0,"slack":4.0,'
    b'"weight":3.0}],"rules":{"further_attempts":6.0,"max_attempts":3}},"history":["7 b1: half"],'
    b'"kind":"voter","note":"half","policy":' + POLICY_JSON + b',"prior":"0123456789abcdef",'
    b'"voters":{"b0":11,"b1":12}}'
)


def test_policy_state_is_encoded_and_decoded_as_recorded() -> None:
    """Brokers compare the digests of states, so a difference of one byte makes another state."""
    assert policy_document.encode(build_policy_state()) == POLICY_STATE_JSON
    assert policy_document.decode(POLICY_STATE_JSON) == build_policy_state()
    assert policy_document.digest(POLICY_STATE_JSON).hex() == "7aa62f6c9314e4b7"
    assert policy_document.parse_policy(orjson.loads(POLICY_JSON)) == build_policy()


def test_stored_vote_is_written_and_read_as_recorded(tmp_path: Path) -> None:
    """msgspec encodes a vote as a map, with the keys in the order of the fields."""
    vote = StoredVote(store_id=1, state=b"st", promised_ballot=2, accepted_ballot=3, accepted_state=b"tk")
    record = b"\x85\xa5ident\x01\xa5state\xc4\x02st\xa8promised\x02\xa4took\x03\xa5taken\xc4\x02tk"
    store = VoteStore(str(tmp_path / "votes"))

    store.write(msgspec.msgpack.encode(vote))

    assert MAGIC == b"lemonridge votes 1\n"
    assert (tmp_path / "votes").read_bytes() == b"lemonridge votes 1\n" + bytes.fromhex(
        "9d4a43722c000000"
    ) + record
    assert msgspec.msgpack.decode(record, type=StoredVote) == vote
    assert store.read() == record


LOCAL_SETTINGS = dataclasses.replace(
    SETTINGS,
    classes=(
        RequestClass(300_000, 1_500_000, IdempotencyKind.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 5.0),
    ),
    plans=(VolumePlan(base_rate=1.0, reserve=2.0, weight=3.0, limit=24.0, burst=12.0, slack=4.0),),
    max_attempts=3,
    retry_rate=6.0,
)


async def policy_call_replies(path: Path, lines: list[bytes]) -> list[bytes]:
    """Returns the replies of a broker without reachable peers to calls about its policy."""
    store = VoteStore(str(path))
    store.create()
    loop = asyncio.get_running_loop()
    clock = SimpleNamespace(now_us=lambda: 10**9, loop_time=lambda at_us: loop.time() + 60)
    peers = SimpleNamespace(
        incarnation=77, send_rollout_items=lambda items: None, configure=lambda settings: None
    )
    decision_host = SimpleNamespace(recheck_lease=lambda: None)
    address = Address("127.0.0.1", 1)
    fleet_config = FleetConfig(
        names=("b0", "b1"),
        own_index=0,
        listen=address,
        addresses=(address, address),
        rollout=RolloutConfig(str(path)),
    )
    local_policy = SimpleNamespace(settings=LOCAL_SETTINGS, plans=("basic",), classes=("read",))
    coordinator = PolicyCoordinator(  # type: ignore
        fleet_config, local_policy, 1, peers, decision_host, clock, Counters(), store, store.read()
    )
    replies = [coordinator.act(parse(line)).encode() for line in lines]
    coordinator.stop()
    return replies


PROPOSED_POLICY_JSON = POLICY_JSON.replace(b'"limit":24.0', b'"limit":12.0')


def test_policy_calls_are_answered_with_recorded_replies(tmp_path: Path) -> None:
    lines = [
        b"policy\n",
        b"policy-abort\n",
        b"policy-propose {}\n",
        b'policy-propose {"policy":' + PROPOSED_POLICY_JSON + b',"note":"half","dry":true}\n',
        b'policy-propose {"policy":' + POLICY_JSON + b',"note":"","dry":true}\n',
        b"policy-admit\n",
        b"policy-force {}\n",
    ]

    replies = asyncio.run(policy_call_replies(tmp_path / "votes", lines))

    assert replies == [
        b'ACK {"name":"b0","life":77,"epoch":0,"state":"9175db71b7f2872a","goes_by":"floor",'
        b'"fault":"","lease_ms":0,"votes":true,"voter":true,"voters":["b0","b1"],"promised":0,'
        b'"accepted":0,"under_way":null,"heard":{},"leases_out":{},"results_ended":0,"results":[],'
        b'"history":[],"counts":{"changes":0,"taken_over":0,"refused":0,"emergencies":0},'
        b'"policy":{"plan":[{"name":"basic","base_rate":1.0,"reserve":2.0,"weight":3.0,"limit":24.0,'
        b'"burst":12.0,"slack":4.0}],"class":[{"name":"read","aim_ms":300.0,"worth":5.0}],'
        b'"rules":{"max_attempts":3,"further_attempts":6.0}},"floor":{"plan":[{"name":"basic",'
        b'"base_rate":1.0,"reserve":0.0,"weight":3.0,"limit":6.0,"burst":12.0,"slack":4.0}],'
        b'"class":[{"name":"read","aim_ms":300.0,"worth":5.0}],"rules":{"max_attempts":1,'
        b'"further_attempts":1.5}}}\n',
        b"NAK no change of this broker's can be called off now\n",
        b"NAK not a proposal: 'policy'\n",
        b"ACK plan basic: limit 24 -> 12\n",
        b"ACK nothing differs\n",
        b"NAK this broker holds no lease of the policy in force alone, so it may not know the newest\n",
        b"NAK not an emergency call: 'lost'\n",
    ]


def test_policy_commands_send_recorded_call_lines(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    sent_lines = []
    policy_reply = (
        b'{"name":"b0","epoch":7,"state":"0123456789abcdef","goes_by":[7,7],"fault":"","lease_ms":5,'
        b'"votes":true,"voter":true,"under_way":{"slot":8,"mine":true,"phase":"vote","answered":[]},'
        b'"results_ended":0,"results":[],"history":["7 b1: half"],"policy":' + POLICY_JSON + b"}"
    )

    async def call(_: Address, line: str) -> str:
        sent_lines.append(line)
        return policy_reply.decode() if line == "policy" else "so"

    monkeypatch.setattr(policy_commands, "call", call)
    file = tmp_path / "policy.toml"
    file.write_text(
        '[rules]\nmax_attempts = 3\nfurther_attempts = 6.0\n\n[[plan]]\nname = "basic"\nbase_rate = 1.0\n'
        'reserve = 2.0\nweight = 3.0\nlimit = 24.0\nburst = 12.0\nslack = 4.0\n\n[[class]]\nname = "read"\n'
        "aim_ms = 300.0\nworth = 5.0\n"
    )
    address = "127.0.0.1:1"

    for arguments in (
        ["propose", str(file), address, "--note", "half", "--dry-run"],
        ["abort", address],
        ["admit", address],
        ["retire", "b2", address],
        ["force", address, "--lost", "b2", "--note", "fire", "--accept-two-policies"],
    ):
        policy_commands.run(policy_commands.parser().parse_args(arguments))
    capsys.readouterr()
    policy_commands.run(policy_commands.parser().parse_args(["show", address]))
    shown = capsys.readouterr().out
    policy_commands.run(policy_commands.parser().parse_args(["status", address]))
    status = capsys.readouterr().out

    assert [line for line in sent_lines if line != "policy"] == [
        'policy-propose {"policy":{"plan":[{"name":"basic","base_rate":1.0,"reserve":2.0,"weight":3.0,'
        '"limit":24.0,"burst":12.0,"slack":4.0}],"class":[{"name":"read","aim_ms":300.0,"worth":5.0}],'
        '"rules":{"max_attempts":3,"further_attempts":6.0}},"note":"half","dry":true}',
        "policy-abort",
        "policy-admit",
        "policy-retire b2",
        'policy-force {"lost":["b2"],"note":"fire"}',
    ]
    assert shown == file.read_text()
    assert status == (
        "broker  epoch  state     goes by  lease ms  votes  under way  fault\n"
        "b0      7      01234567  7        5         yes    vote on 8\n"
    )
