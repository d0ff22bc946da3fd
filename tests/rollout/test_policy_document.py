"""Tests of the policy document: its canonical form, its checks and its differences."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lemonridge.fleet import datagrams
from lemonridge.lab.measure.rollout import policy, rejection
from lemonridge.rollout import policy_document
from lemonridge.rollout.errors import PolicyError
from lemonridge.rollout.policy_document import Class, Policy


class PolicyDocuments(unittest.TestCase):
    def test_encoded_state_round_trips_and_noncanonical_bytes_are_rejected(self) -> None:
        state = policy_document.PolicyState(
            epoch=1, previous_digest="", voters={"a": 0}, policy=policy(), floor=policy()
        )
        data = policy_document.encode(state)
        self.assertEqual(policy_document.decode(data), state)
        for noncanonical in (data + b" ", data.replace(b"24.0", b"24.00"), data[:-1], b"[]", b"x" * 30_000):
            with self.assertRaises(PolicyError):
                policy_document.decode(noncanonical)
        basic_plan = policy().plan[0]
        most_plans = tuple(policy_document.Plan(name=f"{n:040}", limit=basic_plan.limit) for n in range(64))
        most_classes = tuple(Class(name=f"{n:040}", latency_objective_ms=1.0) for n in range(32))
        self.assertLess(
            len(
                policy_document.encode(
                    policy_document.PolicyState(
                        epoch=1,
                        previous_digest="0" * 16,
                        voters={},
                        floor=policy(),
                        policy=Policy(plan=most_plans, classes=most_classes),
                    )
                )
            ),
            policy_document.STATE_BYTES_MAX,
        )

    def test_malformed_policy_is_rejected_with_the_name_of_its_key(self) -> None:
        valid = {"plan": [{"name": "basic", "limit": 5}], "class": [{"name": "read", "aim_ms": 100}]}
        self.assertEqual(policy_document.parse_policy(valid).plan[0].limit, 5.0)
        for change, key in (
            ({"rules": {"max_attempts": 5}}, "max_attempts"),
            ({"plans": []}, "plans"),
            ({"plan": [{"name": "a"}, {"name": "a"}]}, "plan"),
            ({"class": []}, "class"),
            ({"plan": [{"name": "a", "limit": -1}]}, "limit"),
        ):
            with self.assertRaises(PolicyError) as caught:
                policy_document.parse_policy({**valid, **change})
            self.assertIn(key, str(caught.exception))

    @given(st.floats(0, 100), st.floats(0, 100), st.integers(1, 4), st.integers(1, 4))
    def test_stricter_policy_complies_with_both_and_a_limit_below_the_floor_is_rejected(
        self, limit: float, other_limit: float, attempts: int, other_attempts: int
    ) -> None:
        first, second = policy(limit, attempts=attempts), policy(other_limit, attempts=other_attempts)
        stricter = policy_document.stricter(first, second)
        for original in (first, second):
            self.assertTrue(
                not original.plan[0].limit or 0 < stricter.plan[0].limit <= original.plan[0].limit
            )
            self.assertLessEqual(stricter.rules.max_attempts, original.rules.max_attempts)
        floor_policy = policy_document.floor(policy(), 0.25)
        self.assertEqual(bool(rejection(policy_document.check_floor, first, floor_policy)), 0 < limit < 6.0)

    def test_differences_are_listed_one_per_line(self) -> None:
        self.assertEqual(
            policy_document.difference(policy(), policy(12, 200, 2)),
            ["plan basic: limit 24 -> 12", "class read: aim_ms 300 -> 200", "rules: max_attempts 4 -> 2"],
        )

    def test_no_reply_is_longer_than_its_request(self) -> None:
        for request, reply in (
            ("LeaseRequest", "LeaseReply"),
            ("Prepare", "Promise"),
            ("Accept", "AcceptReply"),
            ("CheckRequest", "CheckReply"),
            ("ChunkRequest", "Chunk"),
        ):
            self.assertGreaterEqual(
                getattr(datagrams, request).LAYOUT.size, getattr(datagrams, reply).LAYOUT.size
            )
