"""The fleet's checker on logs made by hand: each rule, kept and broken; and the schedules of faults."""

from __future__ import annotations

import tomllib
import unittest

from lemonridge.config.errors import ConfigError
from lemonridge.lab.checkers.fleet import Findings, Limit, check, recovery_ms, used_rate
from lemonridge.lab.links import schedule
from lemonridge.lab.load.fleet import ClientRequest, RequestEnd
from lemonridge.lab.standins.cold import ReceivedAttempt

LIMIT = Limit(10.0, 6.0, 1.0)


def attempt(at: float, ident: str, units: float = 1.0, broker: int = 0, node: str = "s-0") -> ReceivedAttempt:
    return ReceivedAttempt(at, node, broker, ident, 1, units)


def findings(
    rows: list[ReceivedAttempt],
    requests: list[ClientRequest] | None = None,
    retry_limit: Limit | None = None,
    health_updates: list[tuple[float, str, str]] | None = None,
    down: list[tuple[float, float]] | None = None,
    overloads: int = 0,
    surplus: int = 0,
) -> Findings:
    return check(
        rows,
        requests or [],
        {1: LIMIT},
        retry_limit,
        {0: health_updates or []},
        {0: down or []},
        overloads,
        surplus,
    )


class TheChecker(unittest.TestCase):
    def test_a_limit_is_one_bucket_for_all_brokers_with_its_slack(self) -> None:
        # 6 saved up, 1 of slack and 1.5 for 150 ms: 8.5 units at once, from whomever.
        rows = [attempt(0.0, f"r{n}", broker=n % 2) for n in range(8)]
        self.assertEqual(findings(rows).limit_excess, 0)
        self.assertEqual(findings([*rows, attempt(0.0, "one more")]).limit_excess, 1)
        self.assertEqual(findings([*rows, attempt(0.2, "later")]).limit_excess, 0)
        self.assertEqual(
            findings([*rows, attempt(0.0, "r1", broker=1)]).limit_excess, 0
        )  # a repeat draws nothing

    def test_retries_are_counted_over_all_brokers_and_attempts_are_four_at_most(self) -> None:
        twice = [one for n in range(7) for one in (attempt(0.0, f"r{n}"), attempt(0.1, f"r{n}", broker=1))]
        self.assertEqual(findings(twice, retry_limit=Limit(10.0, 6.0, 1.0)).budget_excess, 0)
        self.assertGreater(findings(twice, retry_limit=Limit(2.0, 3.0, 1.0)).budget_excess, 0)
        self.assertEqual(findings([attempt(n, "r") for n in range(4)]).budget_excess, 0)
        self.assertEqual(findings([attempt(n, "r") for n in range(5)]).budget_excess, 1)

    def test_a_drain_holds_from_its_announcement_until_it_ends(self) -> None:
        health_updates = [(1.0, "s-0", "draining"), (3.0, "s-0", "up")]
        for at, late in ((1.54, 0), (1.56, 1), (2.9, 1), (3.1, 0)):
            self.assertEqual(findings([attempt(at, "r")], health_updates=health_updates).late_sends, late, at)
        self.assertEqual(
            findings([attempt(2.0, "r", node="s-1")], health_updates=health_updates).late_sends, 0
        )

    def test_each_request_gets_one_answer_that_was_made_for_it(self) -> None:
        def one(end: str, ended_at: float, **more: bool) -> ClientRequest:
            return ClientRequest("r", 0, 1, 1, 10.0, 11.0, 10.0, ended_at, RequestEnd(end), **more)

        self.assertTrue(findings([], [one("served", 10.5), one("refused", 11.4), one("failed", 11.0)]).passed)
        ends = [one("silent", 11.5), one("cut", 10.2), one("served", 11.6)]
        self.assertEqual(findings([], ends).unanswered, 3)
        self.assertEqual(findings([], [one("silent", 11.5)], down=[(9.0, 10.1)]).unanswered, 0)
        self.assertEqual(findings([], [one("silent", 11.5)], down=[(8.0, 9.0)]).unanswered, 1)
        self.assertEqual(findings([], [one("served", 10.5, wrong=True)]).double_answers, 1)
        self.assertEqual(findings([], [one("served", 10.5, surplus=True)], surplus=1).double_answers, 2)
        self.assertEqual(findings([], overloads=2).cold_overloads, 2)

    def test_used_rate_and_recovery_are_measured_at_the_endpoints(self) -> None:
        rows = [attempt(2.0 + n * 0.1, f"r{n}") for n in range(40)]
        self.assertAlmostEqual(used_rate(rows, 1, 2.0, 4.0), 10.0, delta=0.51)
        self.assertEqual(recovery_ms(rows, 1, 0.0, 6.0, 8.5) // 100, 17)
        self.assertEqual(recovery_ms(rows, 1, 0.0, 6.0, 80.0), 6000.0)


class Schedules(unittest.TestCase):
    def test_what_is_drawn_has_what_a_drill_must_have_and_can_be_read_back(self) -> None:
        for seed in range(40):
            made = schedule.draw_schedule(seed, 20.0, 5, 3)
            kinds = [one.kind for one in made.fault]
            self.assertGreaterEqual(kinds.count("kill"), 2)
            due = {"split", "one-way", "stop", "node-death", "node-drain", "node-bad"}
            self.assertTrue(due <= set(kinds))
            split = next(one for one in made.fault if one.kind == "split")
            self.assertLess(len(split.brokers), 5 / 2)
            self.assertEqual(schedule.parse_schedule(tomllib.loads(schedule.format_schedule(made))), made)
            self.assertEqual(schedule.draw_schedule(seed, 20.0, 5, 3), made)

    def test_a_one_way_cut_has_one_way_and_others_both(self) -> None:
        made = schedule.draw_schedule(1, 20.0, 5, 3)
        one = schedule.Fault(kind="one-way", at_s=0, for_s=1, brokers=(1,), to=(2,))
        self.assertEqual(made.affected_links(one), [(1, 2)])
        split = schedule.Fault(kind="split", at_s=0, for_s=1, brokers=(0, 1))
        self.assertEqual(len(made.affected_links(split)), 12)

    def test_what_is_wrong_is_named(self) -> None:
        good = "brokers = 3\nnodes = 1\nseconds = 10\ncalm_s = 8\n"
        for more, words in (
            ("colour = 1", "unknown key colour"),
            ('[[fault]]\nkind = "cut"\nat_s = 7\nfor_s = 2', "fault[0] goes on past calm_s"),
            ('[[fault]]\nkind = "kill"\nat_s = 1\nfor_s = 1\nbrokers = [3]', "not there"),
            ('[[fault]]\nkind = "rain"\nat_s = 1\nfor_s = 1', "fault[0].kind"),
        ):
            with self.assertRaises(ConfigError) as caught:
                schedule.parse_schedule(tomllib.loads(good + more))
            self.assertIn(words, str(caught.exception))
