"""Pins the votes on disk and the documents that are voted on byte for byte.

Brokers of earlier versions have written these bytes. A broker that cannot read them has lost its votes, and
brokers that encode a state differently do not agree on its digest.
"""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import msgspec

from lemonridge.cli.policy_commands import to_toml
from lemonridge.coordination.errors import VoteStoreError
from lemonridge.coordination.vote_store import VoteStore
from lemonridge.fleet.datagrams import Prepare
from lemonridge.rollout import policy_document
from lemonridge.rollout.errors import PolicyError
from lemonridge.rollout.member_context import PersistVote
from lemonridge.rollout.policy_document import Class, Plan, Policy, PolicyState, Rules
from lemonridge.rollout.rollout_member import RolloutMember
from lemonridge.rollout.vote_log import StoredVote


def build_policy() -> Policy:
    """Builds a policy in which the numbers that an entry sets all differ."""
    return Policy(
        plan=(
            Plan(
                name="standard", base_rate=60.0, reserve=48.0, weight=2.0, limit=120.0, burst=30.0, slack=1.5
            ),
            Plan(name="basic"),
        ),
        classes=(
            Class(name="read", latency_objective_ms=300.0, priority_weight=2.0),
            Class(name="write", latency_objective_ms=400.5),
        ),
        rules=Rules(max_attempts=3, retry_rate=4.0),
    )


def build_floor() -> Policy:
    """Builds the floor of that policy."""
    return Policy(
        plan=(Plan(name="standard", limit=30),), classes=(Class(name="read", latency_objective_ms=300),)
    )


def build_full_state() -> PolicyState:
    """Builds a state with every field set."""
    return PolicyState(
        epoch=7,
        previous_digest="0011223344556677",
        voters={"b": 5, "a": 9},
        policy=build_policy(),
        floor=build_floor(),
        author="a",
        note="half",
        kind="voter",
        history=("6 a: x", "7 a: half"),
    )


def build_minimal_state() -> PolicyState:
    """Builds a state with the default values of all optional fields."""
    policy = Policy(plan=(Plan(name="p"),), classes=(Class(name="r", latency_objective_ms=1),))
    return PolicyState(epoch=0, previous_digest="", voters={"a": 0}, policy=policy, floor=policy)


def build_vote() -> StoredVote:
    """Builds a record with every field set."""
    return StoredVote(0x0102030405060708, b"state", 0x0301, 0x0202, b"taken")


def build_first_record() -> StoredVote:
    """Builds the record of the first store in a new fleet."""
    return StoredVote(0, b"")


def build_member(record: bytes | None) -> RolloutMember:
    """Builds member `a` of two, whose own files give the minimal state.

    Args:
        record: The record in its vote store; None: there is no store.
    """
    return RolloutMember(
        0, ("a", "b"), 1, build_minimal_state(), record, 0x0102030405060708, lambda policy: None, 1, 0
    )


# Every key is the name of a field of `PolicyState`, `Policy`, `Plan`, `Class` or `Rules`, unless the struct's
# `rename=` gives another key; so renaming a field needs an entry in `rename=`. The bytes contain no names of
# structs.
FULL_STATE = (
    b'{"by":"a","epoch":7,'
    b'"floor":{"class":[{"aim_ms":300.0,"name":"read","worth":1.0}],'
    b'"plan":[{"base_rate":0.0,"burst":0.0,"limit":30.0,"name":"standard","reserve":0.0,"slack":0.0,'
    b'"weight":1.0}],'
    b'"rules":{"further_attempts":0.0,"max_attempts":4}},'
    b'"history":["6 a: x","7 a: half"],"kind":"voter","note":"half",'
    b'"policy":{"class":[{"aim_ms":300.0,"name":"read","worth":2.0},'
    b'{"aim_ms":400.5,"name":"write","worth":1.0}],'
    b'"plan":[{"base_rate":60.0,"burst":30.0,"limit":120.0,"name":"standard","reserve":48.0,"slack":1.5,'
    b'"weight":2.0},'
    b'{"base_rate":0.0,"burst":0.0,"limit":0.0,"name":"basic","reserve":0.0,"slack":0.0,"weight":1.0}],'
    b'"rules":{"further_attempts":4.0,"max_attempts":3}},'
    b'"prior":"0011223344556677","voters":{"a":9,"b":5}}'
)
MINIMAL_STATE = (
    b'{"by":"","epoch":0,'
    b'"floor":{"class":[{"aim_ms":1.0,"name":"r","worth":1.0}],'
    b'"plan":[{"base_rate":0.0,"burst":0.0,"limit":0.0,"name":"p","reserve":0.0,"slack":0.0,"weight":1.0}],'
    b'"rules":{"further_attempts":0.0,"max_attempts":4}},'
    b'"history":[],"kind":"policy","note":"",'
    b'"policy":{"class":[{"aim_ms":1.0,"name":"r","worth":1.0}],'
    b'"plan":[{"base_rate":0.0,"burst":0.0,"limit":0.0,"name":"p","reserve":0.0,"slack":0.0,"weight":1.0}],'
    b'"rules":{"further_attempts":0.0,"max_attempts":4}},'
    b'"prior":"","voters":{"a":0}}'
)
MINIMAL_STATE_DIGEST = "e258d634e4699336"

# MessagePack. The keys are in the order of the fields of `StoredVote` and have their names, unless `rename=`
# gives another key; so renaming a field needs an entry in `rename=`.
VOTE = (
    b"\x85\xa5ident\xcf\x01\x02\x03\x04\x05\x06\x07\x08\xa5state\xc4\x05state"
    b"\xa8promised\xcd\x03\x01\xa4took\xcd\x02\x02\xa5taken\xc4\x05taken"
)
FIRST_RECORD = b"\x85\xa5ident\x00\xa5state\xc4\x00\xa8promised\x00\xa4took\x00\xa5taken\xc4\x00"
VOTE_FILE = b"lemonridge votes 1\n\xa3/~\xd9>\x00\x00\x00" + VOTE
FIRST_RECORD_FILE = b"lemonridge votes 1\n\xd9\x90\x16\xe6(\x00\x00\x00" + FIRST_RECORD

POLICY_TOML = """\
[rules]
max_attempts = 3
further_attempts = 4.0

[[plan]]
name = "standard"
base_rate = 60.0
reserve = 48.0
weight = 2.0
limit = 120.0
burst = 30.0
slack = 1.5

[[plan]]
name = "basic"
base_rate = 0.0
reserve = 0.0
weight = 1.0
limit = 0.0
burst = 0.0
slack = 0.0

[[class]]
name = "read"
aim_ms = 300.0
worth = 2.0

[[class]]
name = "write"
aim_ms = 400.5
worth = 1.0
"""
# The policy as operators propose it and as they see the one in force, with the same keys.
POLICY_VALUES = {
    "plan": [
        {
            "name": "standard",
            "base_rate": 60.0,
            "reserve": 48.0,
            "weight": 2.0,
            "limit": 120.0,
            "burst": 30.0,
            "slack": 1.5,
        },
        {
            "name": "basic",
            "base_rate": 0.0,
            "reserve": 0.0,
            "weight": 1.0,
            "limit": 0.0,
            "burst": 0.0,
            "slack": 0.0,
        },
    ],
    "class": [
        {"name": "read", "aim_ms": 300.0, "worth": 2.0},
        {"name": "write", "aim_ms": 400.5, "worth": 1.0},
    ],
    "rules": {"max_attempts": 3, "further_attempts": 4.0},
}


class PolicyDocumentTest(unittest.TestCase):
    def test_state_is_encoded_as_recorded(self) -> None:
        self.assertEqual(policy_document.encode(build_full_state()), FULL_STATE)
        self.assertEqual(policy_document.encode(build_minimal_state()), MINIMAL_STATE)

    def test_recorded_state_is_decoded(self) -> None:
        self.assertEqual(policy_document.decode(FULL_STATE), build_full_state())
        self.assertEqual(policy_document.decode(MINIMAL_STATE), build_minimal_state())

    def test_state_is_identified_by_eight_byte_digest(self) -> None:
        self.assertEqual(policy_document.digest(MINIMAL_STATE).hex(), MINIMAL_STATE_DIGEST)
        self.assertEqual(
            policy_document.next_state(build_minimal_state(), build_policy(), "a", "n").previous_digest,
            MINIMAL_STATE_DIGEST,
        )

    def test_every_kind_of_state_is_decoded(self) -> None:
        for kind in ("policy", "voter", "emergency"):
            data = MINIMAL_STATE.replace(b'"kind":"policy"', f'"kind":"{kind}"'.encode())
            self.assertEqual(policy_document.decode(data).kind, kind)

    def test_kinds_and_history_lines_of_changes_are_unchanged(self) -> None:
        after_change = policy_document.next_state(build_minimal_state(), build_policy(), "a", "half")
        after_admission = policy_document.state_with_voter(after_change, "b", 5, "b")
        after_second_admission = policy_document.state_with_voter(after_admission, "b", 6, "b")
        after_retirement = policy_document.state_without_voter(after_second_admission, "b", "a")
        after_emergency = policy_document.emergency_state(after_retirement, 65536, {"a": 0}, "a", "fire")

        self.assertEqual(
            [
                state.kind
                for state in (
                    after_change,
                    after_admission,
                    after_second_admission,
                    after_retirement,
                    after_emergency,
                )
            ],
            ["policy", "voter", "voter", "voter", "emergency"],
        )
        self.assertEqual(
            after_emergency.history,
            (
                "1 a: half",
                "2 b: b votes from now on",
                "3 b: b votes with a new store",
                "4 a: b votes no longer",
                "65536 a: EMERGENCY, only a: fire",
            ),
        )

    def test_unknown_key_is_rejected_by_name(self) -> None:
        with self.assertRaises(PolicyError) as caught:
            policy_document.decode(MINIMAL_STATE.replace(b'"by":""', b'"by":"","odd":1'))
        self.assertEqual(str(caught.exception), "Object contains unknown field `odd`")

    def test_operator_policy_is_written_and_parsed_as_recorded(self) -> None:
        self.assertEqual(to_toml(build_policy()), POLICY_TOML)
        self.assertEqual(policy_document.parse_policy(POLICY_VALUES), build_policy())
        self.assertEqual(msgspec.json.decode(msgspec.json.encode(build_policy())), POLICY_VALUES)

    def test_difference_of_policies_names_changed_keys(self) -> None:
        previous = Policy(plan=(Plan(name="standard"),), classes=build_policy().classes)
        self.assertEqual(
            policy_document.difference(previous, build_policy()),
            [
                "plan basic: new",
                "plan standard: base_rate 0 -> 60",
                "plan standard: reserve 0 -> 48",
                "plan standard: weight 1 -> 2",
                "plan standard: limit 0 -> 120",
                "plan standard: burst 0 -> 30",
                "plan standard: slack 0 -> 1.5",
                "rules: max_attempts 4 -> 3",
                "rules: further_attempts 0 -> 4",
            ],
        )


class StoredVoteTest(unittest.TestCase):
    def test_vote_is_encoded_as_recorded(self) -> None:
        self.assertEqual(msgspec.msgpack.encode(build_vote()), VOTE)
        self.assertEqual(msgspec.msgpack.encode(build_first_record()), FIRST_RECORD)

    def test_recorded_vote_is_decoded(self) -> None:
        self.assertEqual(msgspec.msgpack.decode(VOTE, type=StoredVote), build_vote())
        self.assertEqual(msgspec.msgpack.decode(FIRST_RECORD, type=StoredVote), build_first_record())
        self.assertEqual(
            msgspec.msgpack.decode(b"\x82\xa5ident\x00\xa5state\xc4\x00", type=StoredVote),
            build_first_record(),
        )

    def test_member_without_record_persists_store_id_and_state(self) -> None:
        actions = build_member(None).take_actions()
        self.assertEqual(len(MINIMAL_STATE), 0x01F9)
        self.assertEqual(
            actions,
            [
                PersistVote(
                    b"\x85\xa5ident\xcf\x01\x02\x03\x04\x05\x06\x07\x08\xa5state\xc5\x01\xf9"
                    + MINIMAL_STATE
                    + b"\xa8promised\x00\xa4took\x00\xa5taken\xc4\x00"
                )
            ],
        )

    def test_promise_is_persisted_as_recorded(self) -> None:
        member = build_member(FIRST_RECORD)
        member.handle(1, 1, Prepare(1, 0x0301), 0)
        self.assertEqual(
            member.take_actions()[0],
            PersistVote(
                b"\x85\xa5ident\x00\xa5state\xc5\x01\xf9"
                + MINIMAL_STATE
                + b"\xa8promised\xcd\x03\x01\xa4took\x00\xa5taken\xc4\x00"
            ),
        )

    def test_member_continues_from_recorded_vote(self) -> None:
        size = len(FULL_STATE).to_bytes(2, "big")
        record = (
            b"\x85\xa5ident\x09\xa5state\xc5\x01\xf9"
            + MINIMAL_STATE
            + b"\xa8promised\xcd\x03\x01\xa4took\xcd\x02\x01\xa5taken\xc5"
            + size
            + FULL_STATE
        )

        member = build_member(record)

        self.assertEqual((member.log.store_id, member.log.acceptor.slot), (9, 1))
        self.assertEqual(
            (member.log.acceptor.promised_ballot, member.log.acceptor.accepted_ballot), (0x0301, 0x0201)
        )
        self.assertEqual(member.log.documents[member.log.acceptor.accepted_value], FULL_STATE)
        self.assertEqual(member.state, build_minimal_state())
        self.assertEqual(member.take_actions(), [])  # the loaded record is not written again


class VoteStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "votes"
        self.store = VoteStore(str(self.path))

    def test_store_file_is_written_as_recorded(self) -> None:
        self.store.create()
        self.assertEqual(self.path.read_bytes(), FIRST_RECORD_FILE)
        self.store.write(VOTE)
        self.assertEqual(self.path.read_bytes(), VOTE_FILE)
        self.assertEqual([file.name for file in self.path.parent.iterdir()], ["votes"])

    def test_recorded_store_file_is_read(self) -> None:
        for file, record in ((FIRST_RECORD_FILE, FIRST_RECORD), (VOTE_FILE, VOTE)):
            self.path.write_bytes(file)
            self.assertEqual(self.store.read(), record)

    def test_lock_file_is_created_next_to_store(self) -> None:
        self.store.lock()
        self.assertEqual([file.name for file in self.path.parent.iterdir()], ["votes.lock"])

    def test_store_with_wrong_header_or_checksum_is_rejected(self) -> None:
        for file, message in (
            (VOTE_FILE.replace(b"votes 1", b"votes 2"), "is no store of votes"),
            (VOTE_FILE[:-1] + b"N", "is damaged"),
        ):
            self.path.write_bytes(file)
            with self.assertRaisesRegex(VoteStoreError, message):
                self.store.read()
