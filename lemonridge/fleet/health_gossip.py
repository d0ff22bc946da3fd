"""The health of endpoints: what this broker observed itself, and what other brokers report. Pure.

Reports are firsthand only: nobody forwards what it was told, so two reports are two observers. A report has a
source, an age and a weight, and counts until it is older than REPORT_MAX_AGE_US. A single report may make a
broker careful; AGREEMENT_MIN of them, none of which is this broker's own, are agreed. What the scheduler
makes of either is its own rule: its own later answer from the endpoint overrides all reports.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

RESTART_AFTER_US = 1_000_000  # unreachable for so long: it restarted, as the scheduler has it
REPORT_MAX_AGE_US = 2_000_000  # an endpoint that came back must not be taken for down by old reports
OBSERVATION_WINDOW_US = 2_000_000
UNREACHABLE_AFTER = 1  # failed connects in a row
UNRESPONSIVE_AFTER = 2  # requests in a row without an answer
ERRORS_MIN = 4  # within the window, and
ERROR_FRACTION_MIN = 0.6  # of all answers within it
AGREEMENT_MIN = 2  # reports: one broker's lie or bad link is one report
WEIGHT_MAX = 255  # observations behind one report, as datagrams hold them
ENDPOINTS_MAX = 1024  # remembered; past it the longest without news makes room
REPORTS_PER_ENDPOINT_MAX = 16


class ReportedCondition(IntEnum):
    """An endpoint's condition in a report. The values are those of datagrams."""

    UNREACHABLE = 1  # connects fail
    UNRESPONSIVE = 2  # it takes requests and does not answer
    ERRORS = 3  # it answers with errors
    RESTARTED = 4  # it was unreachable and came back


class ObservedOutcome(IntEnum):
    """How an attempt ended, as far as it says something about the endpoint."""

    GOOD = 0
    ERROR = 1
    CONNECT_FAILED = 2
    SILENT = 3  # no answer


@dataclass(slots=True)
class _EndpointObservations:
    """This broker's own observations of an endpoint."""

    failed_connects: int = 0  # in a row
    unreachable_since_us: int = 0
    unanswered: int = 0  # in a row
    restarted_us: int = 0
    answers: deque[tuple[int, bool]] = field(default_factory=deque)  # when, and whether it was an error
    last_us: int = 0

    def errors(self, now_us: int) -> int:
        """Errors within the window."""
        return sum(error for at_us, error in self.answers if at_us >= now_us - OBSERVATION_WINDOW_US)


@dataclass(frozen=True, slots=True)
class HealthObservation:
    """An endpoint's condition as this broker observed it, by `weight` observations, the last at `at_us`."""

    endpoint_id: int
    condition: ReportedCondition
    weight: int
    at_us: int


class LocalObservations:
    """What this broker observed itself, by endpoint key."""

    def __init__(self) -> None:
        self._endpoints: dict[int, _EndpointObservations] = {}

    def record(self, endpoint_key: int, outcome: ObservedOutcome, now_us: int) -> bool:
        """An attempt at an endpoint ended.

        Returns:
            Whether to report it at once: the endpoint has just become unreachable or unresponsive.
        """
        seen = self._endpoints.pop(endpoint_key, None) or _EndpointObservations()
        self._endpoints[endpoint_key] = seen  # the latest stands last
        if len(self._endpoints) > ENDPOINTS_MAX:
            del self._endpoints[next(iter(self._endpoints))]
        seen.last_us = now_us
        if outcome is ObservedOutcome.CONNECT_FAILED:
            seen.failed_connects += 1
            seen.unreachable_since_us = seen.unreachable_since_us or now_us
            return seen.failed_connects == UNREACHABLE_AFTER
        if outcome is ObservedOutcome.SILENT:
            seen.unanswered += 1
            return seen.unanswered == UNRESPONSIVE_AFTER
        if seen.failed_connects and now_us - seen.unreachable_since_us >= RESTART_AFTER_US:
            seen.restarted_us = now_us
        seen.failed_connects = seen.unreachable_since_us = seen.unanswered = 0
        seen.answers.append((now_us, outcome is ObservedOutcome.ERROR))
        while seen.answers[0][0] < now_us - OBSERVATION_WINDOW_US:
            seen.answers.popleft()
        return False

    def reportable(self, now_us: int) -> list[HealthObservation]:
        """The endpoints that are not well, the worst first; observations past their age are left out."""
        found = [
            one
            for endpoint_key, seen in self._endpoints.items()
            if (one := _condition(endpoint_key, seen, now_us)) is not None
        ]
        return sorted(found, key=lambda one: (one.condition, -one.weight, one.endpoint_id))


def _condition(endpoint_key: int, seen: _EndpointObservations, now_us: int) -> HealthObservation | None:
    """The worst condition that the observations show; None: it is well, or they are too old."""
    if now_us - seen.last_us > REPORT_MAX_AGE_US:
        return None
    errors = seen.errors(now_us)
    if seen.failed_connects >= UNREACHABLE_AFTER:
        condition, weight, at_us = ReportedCondition.UNREACHABLE, seen.failed_connects, seen.last_us
    elif seen.unanswered >= UNRESPONSIVE_AFTER:
        condition, weight, at_us = ReportedCondition.UNRESPONSIVE, seen.unanswered, seen.last_us
    elif errors >= ERRORS_MIN and errors >= ERROR_FRACTION_MIN * len(seen.answers):
        condition, weight, at_us = ReportedCondition.ERRORS, errors, seen.last_us
    elif seen.restarted_us and now_us - seen.restarted_us <= REPORT_MAX_AGE_US:
        condition, weight, at_us = ReportedCondition.RESTARTED, 1, seen.restarted_us
    else:
        return None
    return HealthObservation(endpoint_key, condition, min(WEIGHT_MAX, weight), at_us)


@dataclass(frozen=True, slots=True)
class PeerHealthReport:
    """What one other broker observed, at `at_us` of this broker's clock."""

    condition: ReportedCondition
    weight: int
    at_us: int


@dataclass(frozen=True, slots=True)
class PeerHealthSummary:
    """What most reports on an endpoint say; `at_us` is the oldest of those that agree."""

    endpoint_id: int
    condition: ReportedCondition
    sources: int
    at_us: int

    @property
    def agreed(self) -> bool:
        """Whether enough brokers say the same."""
        return self.sources >= AGREEMENT_MIN


class PeerHealthReports:
    """What other brokers report, by endpoint and source."""

    def __init__(self) -> None:
        self._reports: dict[int, dict[int, PeerHealthReport]] = {}

    def record(
        self, source: int, endpoint_key: int, condition: int, weight: int, at_us: int, now_us: int
    ) -> PeerHealthSummary | None:
        """A report arrived.

        Returns:
            The endpoint's summary with it; None where the report is unknown, too old, repeated or late.
        """
        known = condition in ReportedCondition._value2member_map_
        if not known or not weight or now_us - at_us > REPORT_MAX_AGE_US:
            return None
        reports = self._reports.pop(endpoint_key, {})
        self._reports[endpoint_key] = reports  # the latest stands last
        if len(self._reports) > ENDPOINTS_MAX:
            del self._reports[next(iter(self._reports))]
        before = reports.get(source)
        if before is not None and before.at_us >= at_us:
            return None
        reports[source] = PeerHealthReport(ReportedCondition(condition), weight, at_us)
        while len(reports) > REPORTS_PER_ENDPOINT_MAX:
            del reports[min(reports, key=lambda one: reports[one].at_us)]
        return self.summary(endpoint_key, now_us)

    def summary(self, endpoint_key: int, now_us: int) -> PeerHealthSummary | None:
        """What most current reports on an endpoint say; None without any.

        Unreachable and unresponsive agree: no answer comes from it either way.
        """
        current = [
            one
            for one in self._reports.get(endpoint_key, {}).values()
            if now_us - one.at_us <= REPORT_MAX_AGE_US
        ]
        if not current:
            return None
        not_answering = (ReportedCondition.UNREACHABLE, ReportedCondition.UNRESPONSIVE)
        groups: Iterable[list[PeerHealthReport]] = [
            [one for one in current if one.condition in conditions]
            for conditions in (not_answering, (ReportedCondition.ERRORS,), (ReportedCondition.RESTARTED,))
        ]
        most = max(groups, key=len)
        worst, oldest_us = min(one.condition for one in most), min(one.at_us for one in most)
        return PeerHealthSummary(endpoint_key, worst, len(most), oldest_us)

    def current(self, now_us: int) -> dict[int, dict[int, PeerHealthReport]]:
        """All reports that count, by endpoint and source."""
        return {
            endpoint_key: current
            for endpoint_key, reports in self._reports.items()
            if (
                current := {
                    source: one for source, one in reports.items() if now_us - one.at_us <= REPORT_MAX_AGE_US
                }
            )
        }
