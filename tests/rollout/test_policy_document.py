"""The policy document: its canonical form, its checks, what differs."""

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
    def test_equal_policies_have_equal_bytes_and_other_forms_are_rejected(self) -> None:
        state = policy_document.PolicyState(
            epoch=1, previous_digest="", voters={"a": 0}, policy=policy(), floor=policy()
        )
        data = policy_document.encode(state)
        self.assertEqual(policy_document.decode(data), state)
        for other in (data + b" ", data.replace(b"24.0", b"24.00"), data[:-1], b"[]", b"x" * 30_000):
            with self.assertRaises(PolicyError):
                policy_document.decode(other)
        big = policy().plan[0]
        many = tuple(policy_document.Plan(name=f"{n:040}", limit=big.limit) for n in range(64))
        rows = tuple(Class(name=f"{n:040}", latency_objective_ms=1.0) for n in range(32))
        self.assertLess(
            len(
                policy_document.encode(
                    policy_document.PolicyState(
                        epoch=1,
                        previous_digest="0" * 16,
                        voters={},
                        floor=policy(),
                        policy=Policy(plan=many, classes=rows),
                    )
                )
            ),
            policy_document.STATE_BYTES_MAX,
        )

    def test_a_malformed_file_is_rejected_with_the_name_of_its_key(self) -> None:
        good = {"plan": [{"name": "basic", "limit": 5}], "class": [{"name": "read", "aim_ms": 100}]}
        self.assertEqual(policy_document.parse_policy(good).plan[0].limit, 5.0)
        for change, word in (
            ({"rules": {"max_attempts": 5}}, "max_attempts"),
            ({"plans": []}, "plans"),
            ({"plan": [{"name": "a"}, {"name": "a"}]}, "plan"),
            ({"class": []}, "class"),
            ({"plan": [{"name": "a", "limit": -1}]}, "limit"),
        ):
            with self.assertRaises(PolicyError) as caught:
                policy_document.parse_policy({**good, **change})
            self.assertIn(word, str(caught.exception))

    @given(st.floats(0, 100), st.floats(0, 100), st.integers(1, 4), st.integers(1, 4))
    def test_the_stricter_policy_keeps_to_both_and_only_a_valid_one_contains_the_floor(
        self, a: float, b: float, m: int, n: int
    ) -> None:
        one, other = policy(a, attempts=m), policy(b, attempts=n)
        both = policy_document.stricter(one, other)
        for told in (one, other):
            self.assertTrue(not told.plan[0].limit or 0 < both.plan[0].limit <= told.plan[0].limit)
            self.assertLessEqual(both.rules.max_attempts, told.rules.max_attempts)
        least = policy_document.floor(policy(), 0.25)
        self.assertEqual(bool(rejection(policy_document.check_floor, one, least)), 0 < a < 6.0)

    def test_differences_are_listed_a_line_each(self) -> None:
        self.assertEqual(
            policy_document.difference(policy(), policy(12, 200, 2)),
            ["plan basic: limit 24 -> 12", "class read: aim_ms 300 -> 200", "rules: max_attempts 4 -> 2"],
        )

    def test_no_answer_is_longer_than_its_request(self) -> None:
        for question, answer in (
            ("LeaseRequest", "LeaseReply"),
            ("Prepare", "Promise"),
            ("Accept", "AcceptReply"),
            ("CheckRequest", "CheckReply"),
            ("ChunkRequest", "Chunk"),
        ):
            self.assertGreaterEqual(
                getattr(datagrams, question).LAYOUT.size, getattr(datagrams, answer).LAYOUT.size
            )
