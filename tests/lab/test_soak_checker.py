"""Tests of the soak drill's checker on records made by hand."""

from __future__ import annotations

import unittest

from lemonridge.lab.checkers.soak import Findings, check
from lemonridge.lab.drills.soak import LIMIT
from lemonridge.lab.standins.soak_record import SoakAttempt, SoakClass, SoakRecord, SoakRequest

NODE = "n0-0"
KEYED = SoakClass("keyed", "by_key", "all", 0.4, 1.0, True)
CLASS = SoakClass("read", "repeatable", "all", 0.0, 0.3, False)
ANNOUNCED_AT, DRAIN_ENDED_AT = 100.0, 102.0  # seconds


class Drains(unittest.TestCase):
    """An attempt may start at a draining node until 0.5 s after the drain was announced."""

    def check_attempt(self, seen_at: float, stalls: tuple[tuple[float, float], ...] = ()) -> Findings:
        """Checks one attempt at the draining node, with stalls of the drill's own process."""
        record = SoakRecord()
        record.drains[NODE].append((ANNOUNCED_AT, DRAIN_ENDED_AT))
        record.attempts.append(SoakAttempt("0000000100000001", NODE, 0, "a", seen_at, 300))
        record.stalls.extend(stalls)
        return check(record, LIMIT)

    def assert_late(self, findings: Findings, expected: bool) -> None:
        self.assertEqual(findings.counts["late_drain"], int(expected), findings.notes)

    def test_attempt_within_grace_is_allowed(self) -> None:
        self.assert_late(self.check_attempt(ANNOUNCED_AT + 0.54), False)

    def test_attempt_after_grace_is_late(self) -> None:
        self.assert_late(self.check_attempt(ANNOUNCED_AT + 0.56), True)

    def test_attempt_just_before_the_end_of_the_drain_is_late(self) -> None:
        self.assert_late(self.check_attempt(DRAIN_ENDED_AT - 0.001), True)

    def test_attempt_after_the_end_of_the_drain_is_allowed(self) -> None:
        self.assert_late(self.check_attempt(DRAIN_ENDED_AT + 0.001), False)

    def test_attempt_seen_after_a_stall_may_have_started_within_grace(self) -> None:
        self.assert_late(self.check_attempt(ANNOUNCED_AT + 0.6, ((100.5, 100.59),)), False)

    def test_attempt_seen_before_the_end_and_started_after_grace_is_late_in_spite_of_a_stall(self) -> None:
        self.assert_late(self.check_attempt(DRAIN_ENDED_AT - 0.001, ((101.9, 101.998),)), True)

    def test_attempt_seen_after_the_end_in_a_stall_that_began_before_it_is_allowed(self) -> None:
        """Guards against late drains found where the node was in service again (`review/REPORT.md`)."""
        self.assert_late(self.check_attempt(DRAIN_ENDED_AT + 0.03, ((101.999, 102.024),)), False)


class Answers(unittest.TestCase):
    """Each request gets an answer in time, and one that does not is described."""

    def test_missing_answer_is_described_with_attempts_and_stop(self) -> None:
        record = SoakRecord()
        request = SoakRequest("0000000100000002", CLASS, 1, False, 2, 0.3, sent_at=50.0, ended_at=50.2)
        record.requests[request.request_id] = request
        record.attempts.append(SoakAttempt(request.request_id, NODE, 0, "a", 50.01, 290, received_at=50.011))
        record.stops.append(50.1)
        record.stalls.append((50.05, 50.08))
        record.processor_waits.extend([(49.9, 0.5), (50.1, 0.02), (50.15, 0.03)])
        findings = check(record, LIMIT)
        self.assertEqual(findings.counts["lost"], 1)
        for part in (
            f"{NODE} +0.010 to never",
            "SIGTERM +0.100",
            "stalls ['+0.050 to +0.080']",
            "waited 0.050 s",
        ):
            self.assertIn(part, findings.notes[0])

    def test_answer_in_time_is_no_finding(self) -> None:
        record = SoakRecord()
        request = SoakRequest(
            "0000000100000003", CLASS, 1, False, 2, 0.3, sent_at=50.0, ended_at=50.8, status=503
        )
        record.requests[request.request_id] = request
        self.assertEqual(check(record, LIMIT).counts["lost"], 0)


class Repetitions(unittest.TestCase):
    """A request of a class that deduplicates for a time is not sent again after it."""

    def check_second_attempt(self, received_at: float) -> Findings:
        """Checks a keyed request whose first attempt started at 50 s, with a window of 0.4 s."""
        record = SoakRecord()
        request = SoakRequest("0000000100000004", KEYED, 1, False, 2, 1.0, 50.0, ended_at=50.9, status=200)
        record.requests[request.request_id] = request
        for started_at, ended_at in ((50.0, 50.1), (received_at, received_at + 0.1)):
            attempt = SoakAttempt(request.request_id, NODE, 0, "a", started_at, 100, started_at, ended_at)
            record.attempts.append(attempt)
        return check(record, LIMIT)

    def test_second_attempt_after_the_window_is_a_duplicate(self) -> None:
        findings = self.check_second_attempt(50.46)
        self.assertEqual(findings.counts["duplicate"], 1)
        self.assertIn(f"{NODE} +0.460 to +0.560", findings.notes[0])

    def test_second_attempt_within_the_window_is_allowed(self) -> None:
        self.assertEqual(self.check_second_attempt(50.44).counts["duplicate"], 0)
