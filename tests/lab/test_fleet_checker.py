"""Tests of the fleet checker (each rule kept and violated, on constructed logs) and of fault schedules."""

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
    """Returns an attempt on volume 1 as an endpoint received it."""
    return ReceivedAttempt(at, node, broker, ident, 1, units)


def findings(
    attempts: list[ReceivedAttempt],
    requests: list[ClientRequest] | None = None,
    retry_limit: Limit | None = None,
    health_updates: list[tuple[float, str, str]] | None = None,
    down: list[tuple[float, float]] | None = None,
    overloads: int = 0,
    surplus: int = 0,
) -> Findings:
    """Runs the checker with LIMIT on volume 1 and with the health updates and outages of broker 0."""
    return check(
        attempts,
        requests or [],
        {1: LIMIT},
        retry_limit,
        {0: health_updates or []},
        {0: down or []},
        overloads,
        surplus,
    )


class FleetCheckerTest(unittest.TestCase):
    def test_limit_is_one_token_bucket_with_slack_for_all_brokers(self) -> None:
        # 6 units saved up, 1 unit of slack and 1.5 units for 150 ms: 8.5 units at once, over all brokers.
        attempts = [attempt(0.0, f"r{n}", broker=n % 2) for n in range(8)]
        self.assertEqual(findings(attempts).limit_excess, 0)
        self.assertEqual(findings([*attempts, attempt(0.0, "one more")]).limit_excess, 1)
        self.assertEqual(findings([*attempts, attempt(0.2, "later")]).limit_excess, 0)
        self.assertEqual(
            findings([*attempts, attempt(0.0, "r1", broker=1)]).limit_excess, 0
        )  # a retry takes no units from the limit

    def test_retries_are_counted_over_all_brokers_and_attempts_are_limited_to_four(self) -> None:
        sent_twice = [
            entry for n in range(7) for entry in (attempt(0.0, f"r{n}"), attempt(0.1, f"r{n}", broker=1))
        ]
        self.assertEqual(findings(sent_twice, retry_limit=Limit(10.0, 6.0, 1.0)).budget_excess, 0)
        self.assertGreater(findings(sent_twice, retry_limit=Limit(2.0, 3.0, 1.0)).budget_excess, 0)
        self.assertEqual(findings([attempt(n, "r") for n in range(4)]).budget_excess, 0)
        self.assertEqual(findings([attempt(n, "r") for n in range(5)]).budget_excess, 1)

    def test_attempts_are_late_after_drain_grace_until_drain_ends(self) -> None:
        health_updates = [(1.0, "s-0", "draining"), (3.0, "s-0", "up")]
        for received_at, late_sends in ((1.54, 0), (1.56, 1), (2.9, 1), (3.1, 0)):
            self.assertEqual(
                findings([attempt(received_at, "r")], health_updates=health_updates).late_sends,
                late_sends,
                received_at,
            )
        self.assertEqual(
            findings([attempt(2.0, "r", node="s-1")], health_updates=health_updates).late_sends, 0
        )

    def test_each_request_must_get_exactly_one_answer_of_its_own(self) -> None:
        def request(end: str, ended_at: float, **flags: bool) -> ClientRequest:
            return ClientRequest("r", 0, 1, 1, 10.0, 11.0, 10.0, ended_at, RequestEnd(end), **flags)

        self.assertTrue(
            findings([], [request("served", 10.5), request("refused", 11.4), request("failed", 11.0)]).passed
        )
        requests = [request("silent", 11.5), request("cut", 10.2), request("served", 11.6)]
        self.assertEqual(findings([], requests).unanswered, 3)
        self.assertEqual(findings([], [request("silent", 11.5)], down=[(9.0, 10.1)]).unanswered, 0)
        self.assertEqual(findings([], [request("silent", 11.5)], down=[(8.0, 9.0)]).unanswered, 1)
        self.assertEqual(findings([], [request("served", 10.5, wrong=True)]).double_answers, 1)
        self.assertEqual(findings([], [request("served", 10.5, surplus=True)], surplus=1).double_answers, 2)
        self.assertEqual(findings([], overloads=2).cold_overloads, 2)

    def test_used_rate_and_recovery_time_are_measured_at_endpoints(self) -> None:
        attempts = [attempt(2.0 + n * 0.1, f"r{n}") for n in range(40)]
        self.assertAlmostEqual(used_rate(attempts, 1, 2.0, 4.0), 10.0, delta=0.51)
        self.assertEqual(recovery_ms(attempts, 1, 0.0, 6.0, 8.5) // 100, 17)
        self.assertEqual(recovery_ms(attempts, 1, 0.0, 6.0, 80.0), 6000.0)


class FaultScheduleTest(unittest.TestCase):
    def test_drawn_schedule_has_required_faults_and_can_be_parsed_back(self) -> None:
        for seed in range(40):
            drawn = schedule.draw_schedule(seed, 20.0, 5, 3)
            kinds = [fault.kind for fault in drawn.fault]
            self.assertGreaterEqual(kinds.count("kill"), 2)
            required_kinds = {"split", "one-way", "stop", "node-death", "node-drain", "node-bad"}
            self.assertTrue(required_kinds <= set(kinds))
            split = next(fault for fault in drawn.fault if fault.kind == "split")
            self.assertLess(len(split.brokers), 5 / 2)
            self.assertEqual(schedule.parse_schedule(tomllib.loads(schedule.format_schedule(drawn))), drawn)
            self.assertEqual(schedule.draw_schedule(seed, 20.0, 5, 3), drawn)

    def test_one_way_fault_affects_one_direction_and_split_both(self) -> None:
        drawn = schedule.draw_schedule(1, 20.0, 5, 3)
        one_way = schedule.Fault(kind="one-way", at_s=0, for_s=1, brokers=(1,), to=(2,))
        self.assertEqual(drawn.affected_links(one_way), [(1, 2)])
        split = schedule.Fault(kind="split", at_s=0, for_s=1, brokers=(0, 1))
        self.assertEqual(len(drawn.affected_links(split)), 12)

    def test_invalid_schedule_is_rejected_with_name_of_key(self) -> None:
        valid = "brokers = 3\nnodes = 1\nseconds = 10\ncalm_s = 8\n"
        for addition, message in (
            ("colour = 1", "unknown key colour"),
            ('[[fault]]\nkind = "cut"\nat_s = 7\nfor_s = 2', "fault[0] goes on past calm_s"),
            ('[[fault]]\nkind = "kill"\nat_s = 1\nfor_s = 1\nbrokers = [3]', "not there"),
            ('[[fault]]\nkind = "rain"\nat_s = 1\nfor_s = 1', "fault[0].kind"),
        ):
            with self.assertRaises(ConfigError) as caught:
                schedule.parse_schedule(tomllib.loads(valid + addition))
            self.assertIn(message, str(caught.exception))
