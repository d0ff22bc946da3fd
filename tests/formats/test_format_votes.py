"""The votes on disk and the documents that are voted on, byte by byte.

The bytes here were written by brokers before; a broker that cannot read them has lost its votes, and brokers
that write others do not agree on what a state is called.
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


def policy() -> Policy:
    """A policy in which no two figures of a row are alike."""
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


def least() -> Policy:
    """The floor of it."""
    return Policy(
        plan=(Plan(name="standard", limit=30),), classes=(Class(name="read", latency_objective_ms=300),)
    )


def full_state() -> PolicyState:
    """A state with every field set."""
    return PolicyState(
        epoch=7,
        previous_digest="0011223344556677",
        voters={"b": 5, "a": 9},
        policy=policy(),
        floor=least(),
        author="a",
        note="half",
        kind="voter",
        history=("6 a: x", "7 a: half"),
    )


def small_state() -> PolicyState:
    """A state with every default."""
    one = Policy(plan=(Plan(name="p"),), classes=(Class(name="r", latency_objective_ms=1),))
    return PolicyState(epoch=0, previous_digest="", voters={"a": 0}, policy=one, floor=one)


def vote() -> StoredVote:
    """A record with every field set."""
    return StoredVote(0x0102030405060708, b"state", 0x0301, 0x0202, b"taken")


def first_record() -> StoredVote:
    """What the first store of a fleet holds."""
    return StoredVote(0, b"")


def broker(kept: bytes | None) -> RolloutMember:
    """Broker `a` of two, whose files say the small state."""
    return RolloutMember(0, ("a", "b"), 1, small_state(), kept, 0x0102030405060708, lambda policy: None, 1, 0)


# Every key is derived from a field's name (`PolicyState`, `Policy`, `Plan`, `Class`, `Rules`), but for
# "class", which `Policy` renames already: a rename of a field needs `rename=`. No class's name is in the
# bytes.
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
SMALL_STATE = (
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
SMALL_NAME = "e258d634e4699336"

# MessagePack. The keys and their order are those of `StoredVote`'s fields: a rename of a field needs
# `rename=`.
VOTE = (
    b"\x85\xa5ident\xcf\x01\x02\x03\x04\x05\x06\x07\x08\xa5state\xc4\x05state"
    b"\xa8promised\xcd\x03\x01\xa4took\xcd\x02\x02\xa5taken\xc4\x05taken"
)
FIRST = b"\x85\xa5ident\x00\xa5state\xc4\x00\xa8promised\x00\xa4took\x00\xa5taken\xc4\x00"
VOTE_FILE = b"lemonridge votes 1\n\xa3/~\xd9>\x00\x00\x00" + VOTE
FIRST_FILE = b"lemonridge votes 1\n\xd9\x90\x16\xe6(\x00\x00\x00" + FIRST

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
# What operators propose, and what they are shown of the policy in force; keys by the fields' names.
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


class TheDocument(unittest.TestCase):
    def test_a_state_is_written_so(self) -> None:
        self.assertEqual(policy_document.encode(full_state()), FULL_STATE)
        self.assertEqual(policy_document.encode(small_state()), SMALL_STATE)

    def test_a_state_of_before_is_read(self) -> None:
        self.assertEqual(policy_document.decode(FULL_STATE), full_state())
        self.assertEqual(policy_document.decode(SMALL_STATE), small_state())

    def test_a_state_is_called_by_eight_bytes(self) -> None:
        self.assertEqual(policy_document.digest(SMALL_STATE).hex(), SMALL_NAME)
        self.assertEqual(
            policy_document.next_state(small_state(), policy(), "a", "n").previous_digest, SMALL_NAME
        )

    def test_every_kind_of_a_state_is_read(self) -> None:
        for kind in ("policy", "voter", "emergency"):
            data = SMALL_STATE.replace(b'"kind":"policy"', f'"kind":"{kind}"'.encode())
            self.assertEqual(policy_document.decode(data).kind, kind)

    def test_the_lines_of_the_history_and_the_kinds_are_written_so(self) -> None:
        changed = policy_document.next_state(small_state(), policy(), "a", "half")
        let_in = policy_document.state_with_voter(changed, "b", 5, "b")
        again = policy_document.state_with_voter(let_in, "b", 6, "b")
        left = policy_document.state_without_voter(again, "b", "a")
        alone = policy_document.emergency_state(left, 65536, {"a": 0}, "a", "fire")

        self.assertEqual(
            [one.kind for one in (changed, let_in, again, left, alone)],
            ["policy", "voter", "voter", "voter", "emergency"],
        )
        self.assertEqual(
            alone.history,
            (
                "1 a: half",
                "2 b: b votes from now on",
                "3 b: b votes with a new store",
                "4 a: b votes no longer",
                "65536 a: EMERGENCY, only a: fire",
            ),
        )

    def test_an_unknown_key_is_refused_by_its_name(self) -> None:
        with self.assertRaises(PolicyError) as caught:
            policy_document.decode(SMALL_STATE.replace(b'"by":""', b'"by":"","odd":1'))
        self.assertEqual(str(caught.exception), "Object contains unknown field `odd`")

    def test_the_operators_policy_is_written_and_read_so(self) -> None:
        self.assertEqual(to_toml(policy()), POLICY_TOML)
        self.assertEqual(policy_document.parse_policy(POLICY_VALUES), policy())
        self.assertEqual(msgspec.json.decode(msgspec.json.encode(policy())), POLICY_VALUES)

    def test_differences_name_the_keys(self) -> None:
        before = Policy(plan=(Plan(name="standard"),), classes=policy().classes)
        self.assertEqual(
            policy_document.difference(before, policy()),
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


class TheVote(unittest.TestCase):
    def test_a_record_is_written_so(self) -> None:
        self.assertEqual(msgspec.msgpack.encode(vote()), VOTE)
        self.assertEqual(msgspec.msgpack.encode(first_record()), FIRST)

    def test_a_record_of_before_is_read(self) -> None:
        self.assertEqual(msgspec.msgpack.decode(VOTE, type=StoredVote), vote())
        self.assertEqual(msgspec.msgpack.decode(FIRST, type=StoredVote), first_record())
        self.assertEqual(
            msgspec.msgpack.decode(b"\x82\xa5ident\x00\xa5state\xc4\x00", type=StoredVote), first_record()
        )

    def test_a_new_store_keeps_its_identity_and_the_state(self) -> None:
        told = broker(None).take_actions()
        self.assertEqual(len(SMALL_STATE), 0x01F9)
        self.assertEqual(
            told,
            [
                PersistVote(
                    b"\x85\xa5ident\xcf\x01\x02\x03\x04\x05\x06\x07\x08\xa5state\xc5\x01\xf9"
                    + SMALL_STATE
                    + b"\xa8promised\x00\xa4took\x00\xa5taken\xc4\x00"
                )
            ],
        )

    def test_a_promise_is_kept_so(self) -> None:
        one = broker(FIRST)
        one.handle(1, 1, Prepare(1, 0x0301), 0)
        self.assertEqual(
            one.take_actions()[0],
            PersistVote(
                b"\x85\xa5ident\x00\xa5state\xc5\x01\xf9"
                + SMALL_STATE
                + b"\xa8promised\xcd\x03\x01\xa4took\x00\xa5taken\xc4\x00"
            ),
        )

    def test_a_broker_goes_on_from_a_vote_of_before(self) -> None:
        size = len(FULL_STATE).to_bytes(2, "big")
        kept = (
            b"\x85\xa5ident\x09\xa5state\xc5\x01\xf9"
            + SMALL_STATE
            + b"\xa8promised\xcd\x03\x01\xa4took\xcd\x02\x01\xa5taken\xc5"
            + size
            + FULL_STATE
        )

        one = broker(kept)

        self.assertEqual((one.log.store_id, one.log.acceptor.slot), (9, 1))
        self.assertEqual(
            (one.log.acceptor.promised_ballot, one.log.acceptor.accepted_ballot), (0x0301, 0x0201)
        )
        self.assertEqual(one.log.documents[one.log.acceptor.accepted_value], FULL_STATE)
        self.assertEqual(one.state, small_state())
        self.assertEqual(one.take_actions(), [])  # nothing is written anew


class TheStore(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "votes"
        self.store = VoteStore(str(self.path))

    def test_a_file_is_written_so(self) -> None:
        self.store.create()
        self.assertEqual(self.path.read_bytes(), FIRST_FILE)
        self.store.write(VOTE)
        self.assertEqual(self.path.read_bytes(), VOTE_FILE)
        self.assertEqual([one.name for one in self.path.parent.iterdir()], ["votes"])

    def test_a_file_of_before_is_read(self) -> None:
        for file, record in ((FIRST_FILE, FIRST), (VOTE_FILE, VOTE)):
            self.path.write_bytes(file)
            self.assertEqual(self.store.read(), record)

    def test_the_lock_lies_beside_it(self) -> None:
        self.store.lock()
        self.assertEqual([one.name for one in self.path.parent.iterdir()], ["votes.lock"])

    def test_another_header_or_checksum_is_refused(self) -> None:
        for file, words in (
            (VOTE_FILE.replace(b"votes 1", b"votes 2"), "is no store of votes"),
            (VOTE_FILE[:-1] + b"N", "is damaged"),
        ):
            self.path.write_bytes(file)
            with self.assertRaisesRegex(VoteStoreError, words):
                self.store.read()
