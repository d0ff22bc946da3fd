"""The health of endpoints as this broker observed it and as other brokers report it. Performs no I/O.

Members report only their own observations and never forward reports, so two reports come from two observers.
A report has a source, an age and a weight, and expires at REPORT_MAX_AGE_US. The scheduler may act with
caution on a single report. AGREEMENT_MIN reports, not counting this broker's own observations, are agreed.
How the scheduler acts on either is its own rule: a later response that it receives itself from the endpoint
overrides all reports.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

RESTART_AFTER_US = 1_000_000  # unreachable for this long counts as a restart, as in the scheduler
REPORT_MAX_AGE_US = 2_000_000  # old reports must not mark a recovered endpoint as down
OBSERVATION_WINDOW_US = 2_000_000
UNREACHABLE_AFTER = 1  # consecutive failed connects
UNRESPONSIVE_AFTER = 2  # consecutive requests without a response
ERRORS_MIN = 4  # errors within the observation window
ERROR_FRACTION_MIN = 0.6  # errors as a fraction of all responses within the observation window
AGREEMENT_MIN = 2  # reports: a false report or a bad link of one broker yields only one
WEIGHT_MAX = 255  # the largest number of observations that a datagram holds
ENDPOINTS_MAX = 1024  # beyond it, the endpoint updated longest ago is evicted
REPORTS_PER_ENDPOINT_MAX = 16


class ReportedCondition(IntEnum):
    """The condition of an endpoint in a report; the values are those in datagrams."""

    UNREACHABLE = 1  # connects fail
    UNRESPONSIVE = 2  # requests are accepted and not answered
    ERRORS = 3  # responses are errors
    RESTARTED = 4  # was unreachable and has come back


class ObservedOutcome(IntEnum):
    """The outcome of an attempt, as far as it shows the health of the endpoint."""

    GOOD = 0
    ERROR = 1
    CONNECT_FAILED = 2
    SILENT = 3  # no response


@dataclass(slots=True)
class _EndpointHistory:
    """This broker's observations of one endpoint."""

    failed_connects: int = 0  # consecutive
    unreachable_since_us: int = 0
    unanswered_requests: int = 0  # consecutive
    restarted_us: int = 0
    responses: deque[tuple[int, bool]] = field(default_factory=deque)  # the time, and whether it is an error
    observed_us: int = 0  # the time of the last observation

    def errors(self, now_us: int) -> int:
        """Returns the number of errors within the observation window."""
        return sum(error for at_us, error in self.responses if at_us >= now_us - OBSERVATION_WINDOW_US)


@dataclass(frozen=True, slots=True)
class HealthObservation:
    """An endpoint's condition that this broker observed `weight` times, the last time at `at_us`."""

    endpoint_id: int
    condition: ReportedCondition
    weight: int
    at_us: int


class LocalObservations:
    """This broker's own observations by endpoint key."""

    def __init__(self) -> None:
        self._histories: dict[int, _EndpointHistory] = {}

    def record(self, endpoint_key: int, outcome: ObservedOutcome, now_us: int) -> bool:
        """Records the outcome of an attempt at an endpoint.

        Returns:
            Whether to report it immediately: the endpoint has just become unreachable or unresponsive.
        """
        history = self._histories.pop(endpoint_key, None) or _EndpointHistory()
        self._histories[endpoint_key] = history  # the most recently updated entry is the last one
        if len(self._histories) > ENDPOINTS_MAX:
            del self._histories[next(iter(self._histories))]
        history.observed_us = now_us
        if outcome is ObservedOutcome.CONNECT_FAILED:
            history.failed_connects += 1
            history.unreachable_since_us = history.unreachable_since_us or now_us
            return history.failed_connects == UNREACHABLE_AFTER
        if outcome is ObservedOutcome.SILENT:
            history.unanswered_requests += 1
            return history.unanswered_requests == UNRESPONSIVE_AFTER
        if history.failed_connects and now_us - history.unreachable_since_us >= RESTART_AFTER_US:
            history.restarted_us = now_us
        history.failed_connects = history.unreachable_since_us = history.unanswered_requests = 0
        history.responses.append((now_us, outcome is ObservedOutcome.ERROR))
        while history.responses[0][0] < now_us - OBSERVATION_WINDOW_US:
            history.responses.popleft()
        return False

    def reportable(self, now_us: int) -> list[HealthObservation]:
        """Returns the current observations of unhealthy endpoints, the worst condition first."""
        unhealthy = [
            observation
            for endpoint_key, history in self._histories.items()
            if (observation := _worst_condition(endpoint_key, history, now_us)) is not None
        ]
        return sorted(unhealthy, key=lambda each: (each.condition, -each.weight, each.endpoint_id))


def _worst_condition(endpoint_key: int, history: _EndpointHistory, now_us: int) -> HealthObservation | None:
    """Returns the worst observed condition; None if the endpoint is healthy or the history is too old."""
    if now_us - history.observed_us > REPORT_MAX_AGE_US:
        return None
    errors = history.errors(now_us)
    if history.failed_connects >= UNREACHABLE_AFTER:
        condition, weight, at_us = ReportedCondition.UNREACHABLE, history.failed_connects, history.observed_us
    elif history.unanswered_requests >= UNRESPONSIVE_AFTER:
        condition, weight, at_us = (
            ReportedCondition.UNRESPONSIVE,
            history.unanswered_requests,
            history.observed_us,
        )
    elif errors >= ERRORS_MIN and errors >= ERROR_FRACTION_MIN * len(history.responses):
        condition, weight, at_us = ReportedCondition.ERRORS, errors, history.observed_us
    elif history.restarted_us and now_us - history.restarted_us <= REPORT_MAX_AGE_US:
        condition, weight, at_us = ReportedCondition.RESTARTED, 1, history.restarted_us
    else:
        return None
    return HealthObservation(endpoint_key, condition, min(WEIGHT_MAX, weight), at_us)


@dataclass(frozen=True, slots=True)
class PeerHealthReport:
    """An endpoint's condition that another broker observed at `at_us` of this broker's clock."""

    condition: ReportedCondition
    weight: int
    at_us: int


@dataclass(frozen=True, slots=True)
class PeerHealthSummary:
    """The condition on which most reports of an endpoint agree.

    Attributes:
        endpoint_id: The endpoint's key.
        condition: The condition.
        sources: The number of reports that agree.
        at_us: The time of the oldest of them.
    """

    endpoint_id: int
    condition: ReportedCondition
    sources: int
    at_us: int

    @property
    def agreed(self) -> bool:
        """Whether at least AGREEMENT_MIN brokers report the condition."""
        return self.sources >= AGREEMENT_MIN


class PeerHealthReports:
    """The latest reports of other brokers by endpoint and source."""

    def __init__(self) -> None:
        self._reports: dict[int, dict[int, PeerHealthReport]] = {}

    def record(
        self, source: int, endpoint_key: int, condition: int, weight: int, at_us: int, now_us: int
    ) -> PeerHealthSummary | None:
        """Records a report.

        Returns:
            The endpoint's summary including the report; None if the report is ignored because its condition
            is unknown, its weight is 0, it is too old, or it is not newer than the source's last one.
        """
        is_known = condition in ReportedCondition._value2member_map_
        if not is_known or not weight or now_us - at_us > REPORT_MAX_AGE_US:
            return None
        reports = self._reports.pop(endpoint_key, {})
        self._reports[endpoint_key] = reports  # the most recently updated entry is the last one
        if len(self._reports) > ENDPOINTS_MAX:
            del self._reports[next(iter(self._reports))]
        previous = reports.get(source)
        if previous is not None and previous.at_us >= at_us:
            return None
        reports[source] = PeerHealthReport(ReportedCondition(condition), weight, at_us)
        while len(reports) > REPORTS_PER_ENDPOINT_MAX:
            del reports[min(reports, key=lambda reporter: reports[reporter].at_us)]
        return self.summary(endpoint_key, now_us)

    def summary(self, endpoint_key: int, now_us: int) -> PeerHealthSummary | None:
        """Returns the condition in most current reports on an endpoint; None if there are no reports.

        Reports of unreachable and of unresponsive agree: the endpoint does not answer in either case.
        """
        current = [
            report
            for report in self._reports.get(endpoint_key, {}).values()
            if now_us - report.at_us <= REPORT_MAX_AGE_US
        ]
        if not current:
            return None
        not_answering = (ReportedCondition.UNREACHABLE, ReportedCondition.UNRESPONSIVE)
        groups: Iterable[list[PeerHealthReport]] = [
            [report for report in current if report.condition in conditions]
            for conditions in (not_answering, (ReportedCondition.ERRORS,), (ReportedCondition.RESTARTED,))
        ]
        largest = max(groups, key=len)
        worst, oldest_us = (
            min(report.condition for report in largest),
            min(report.at_us for report in largest),
        )
        return PeerHealthSummary(endpoint_key, worst, len(largest), oldest_us)

    def current(self, now_us: int) -> dict[int, dict[int, PeerHealthReport]]:
        """Returns all reports that have not expired, by endpoint and source."""
        return {
            endpoint_key: current
            for endpoint_key, reports in self._reports.items()
            if (
                current := {
                    source: report
                    for source, report in reports.items()
                    if now_us - report.at_us <= REPORT_MAX_AGE_US
                }
            )
        }
