"""Checks the platform's rules on a fleet by the records of its endpoints and its clients.

Nothing here uses a broker's own counters or state. A limit is one token bucket for all brokers, with its
slack and, on sockets, as many units more as it allows in 150 ms. Drains take effect within 500 ms (and 50 ms
of tolerance) of their announcement. Every request gets one answer, which an endpoint made for it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lemonridge.lab.load.fleet import GRACE_S, ClientRequest, RequestEnd
from lemonridge.lab.standins.cold import ReceivedAttempt

ON_SOCKETS_S = 0.15  # the slack of a limit is extended by the units that it allows in this time
DRAIN_S = 0.55
RESTART_GRACE_S = 0.05  # a request that is due this soon after a broker's restart may still fail to connect
ATTEMPTS_MAX = 4  # of a request
NOTES_MAX = 20
ROUNDING = 1e-9  # units


@dataclass(frozen=True, slots=True)
class Limit:
    """A token bucket that all brokers draw on.

    Attributes:
        rate: Units a second at which it is refilled.
        burst: The most units that it holds.
        slack: How many units it may fall below zero.
    """

    rate: float
    burst: float
    slack: float

    @property
    def overdraft(self) -> float:
        """How many units the bucket may fall below zero on sockets."""
        return self.slack + self.rate * ON_SOCKETS_S + ROUNDING


@dataclass(slots=True)
class Notes:
    """Descriptions of the first NOTES_MAX violations."""

    notes: list[str] = field(default_factory=list, kw_only=True)

    def note(self, text: str) -> None:
        """Adds a description unless there are NOTES_MAX already."""
        if len(self.notes) < NOTES_MAX:
            self.notes.append(text)


@dataclass(slots=True)
class Findings(Notes):
    """The number of violations of each rule.

    Attributes:
        limit_excess: Requests beyond the limit of their volume.
        budget_excess: Attempts beyond the attempts of a request or the fleet's limit of retries.
        late_sends: Attempts that arrived at an endpoint after its drain had to take effect.
        double_answers: Requests with more than one answer or a wrong one, and surplus bytes on connections.
        unanswered: Requests without an answer in time although their broker was up.
        cold_overloads: Overloads of endpoints in slow start.
    """

    limit_excess: int = 0
    budget_excess: int = 0
    late_sends: int = 0
    double_answers: int = 0
    unanswered: int = 0
    cold_overloads: int = 0

    @property
    def passed(self) -> bool:
        """Whether no rule was violated."""
        return not (
            self.limit_excess
            or self.budget_excess
            or self.late_sends
            or self.double_answers
            or self.unanswered
            or self.cold_overloads
        )


def check(
    attempts: Iterable[ReceivedAttempt],
    requests: Sequence[ClientRequest],
    limits: Mapping[int, Limit],
    retry_limit: Limit | None,
    health_updates: Mapping[int, Sequence[tuple[float, str, str]]],
    down: Mapping[int, Sequence[tuple[float, float]]],
    overloads: int,
    surplus: int = 0,
) -> Findings:
    """Checks every rule.

    Args:
        attempts: The attempts that the endpoints received.
        requests: The requests of the clients.
        limits: By volume, its limit.
        retry_limit: The limit of the retries of all brokers together; None for no limit.
        health_updates: By broker, the updates that discovery wrote to it: time, endpoint and health.
        down: By broker, the intervals in which it was dead, stopped or not ready.
        overloads: How often an endpoint in slow start was overloaded.
        surplus: How many connections received bytes that belong to no response.
    """
    findings = Findings(cold_overloads=overloads)
    ordered = sorted(attempts, key=lambda attempt: attempt.received_at)
    _check_limits(findings, ordered, limits)
    _check_attempts(findings, ordered, retry_limit)
    _check_drains(findings, ordered, health_updates)
    _check_answers(findings, requests, down, surplus)
    return findings


def _check_limits(
    findings: Findings, ordered: Sequence[ReceivedAttempt], limits: Mapping[int, Limit]
) -> None:
    """Checks that no volume's token bucket falls below its overdraft.

    A request takes its units when its first attempt arrives at an endpoint, from one bucket for all brokers.
    """
    buckets: dict[int, tuple[float, float]] = {}  # by volume: tokens, and at what time
    counted_requests: set[str] = set()
    for attempt in ordered:
        limit = limits.get(attempt.volume)
        if limit is None or attempt.request_id in counted_requests:
            continue
        counted_requests.add(attempt.request_id)
        tokens, at = buckets.get(attempt.volume, (limit.burst, attempt.received_at))
        tokens = min(limit.burst, tokens + limit.rate * (attempt.received_at - at)) - attempt.units
        buckets[attempt.volume] = tokens, attempt.received_at
        if tokens < -limit.overdraft:
            findings.limit_excess += 1
            findings.note(
                f"limit of volume {attempt.volume} exceeded: {tokens:.1f} at {attempt.received_at:.3f} "
                f"by {attempt.broker}"
            )


def _check_attempts(
    findings: Findings, ordered: Sequence[ReceivedAttempt], retry_limit: Limit | None
) -> None:
    """Checks that a request has at most ATTEMPTS_MAX attempts, and the fleet's limit of retries if any."""
    attempt_counts: dict[str, int] = defaultdict(int)
    tokens, at = (retry_limit.burst if retry_limit else 0.0), 0.0
    for attempt in ordered:
        attempt_counts[attempt.request_id] += 1
        if attempt_counts[attempt.request_id] > ATTEMPTS_MAX:
            findings.budget_excess += 1
            findings.note(f"{attempt.request_id} was sent {attempt_counts[attempt.request_id]} times")
        if retry_limit is not None and attempt_counts[attempt.request_id] > 1:
            refilled = tokens + retry_limit.rate * (attempt.received_at - at) if at else tokens
            tokens, at = min(retry_limit.burst, refilled) - 1.0, attempt.received_at
            if tokens < -retry_limit.overdraft:
                findings.budget_excess += 1
                findings.note(
                    f"limit of retries exceeded: {tokens:.1f} at {attempt.received_at:.3f} "
                    f"by broker {attempt.broker}"
                )


def _check_drains(
    findings: Findings,
    ordered: Sequence[ReceivedAttempt],
    health_updates: Mapping[int, Sequence[tuple[float, str, str]]],
) -> None:
    """Checks that no attempt arrives at an endpoint later than DRAIN_S after its broker got the drain."""
    updates = {broker: sorted(broker_updates) for broker, broker_updates in health_updates.items()}
    applied_counts = dict.fromkeys(updates, 0)
    draining_since: dict[tuple[int, str], float] = {}
    for attempt in ordered:
        broker_updates = updates.get(attempt.broker, [])
        while (
            applied_counts.get(attempt.broker, 0) < len(broker_updates)
            and broker_updates[applied_counts[attempt.broker]][0] <= attempt.received_at
        ):
            at, node, health = broker_updates[applied_counts[attempt.broker]]
            applied_counts[attempt.broker] += 1
            if health == "up":
                draining_since.pop((attempt.broker, node), None)
            else:
                draining_since.setdefault((attempt.broker, node), at)
        since = draining_since.get((attempt.broker, attempt.node))
        if since is not None and attempt.received_at > since + DRAIN_S:
            findings.late_sends += 1
            findings.note(
                f"{attempt.node} received {attempt.request_id} of broker {attempt.broker} "
                f"{attempt.received_at - since:.3f} s after its drain was announced"
            )


def _check_answers(
    findings: Findings,
    requests: Sequence[ClientRequest],
    down: Mapping[int, Sequence[tuple[float, float]]],
    surplus: int,
) -> None:
    """Checks that each request got exactly one answer, its own, in time; unless its broker was down."""
    findings.double_answers += surplus
    if surplus:
        findings.note(f"{surplus} connections received bytes that belong to no response")
    for request in requests:
        if request.wrong or request.surplus:
            findings.double_answers += 1
            findings.note(
                f"{request.request_id} got {'a wrong answer' if request.wrong else 'more than one answer'}"
            )
        late = request.ended_at > request.deadline_at + GRACE_S
        if request.end not in (RequestEnd.NO_ANSWER, RequestEnd.CONNECTION_LOST) and not late:
            continue
        if any(
            outage_start <= request.ended_at and request.due_at <= outage_end + RESTART_GRACE_S
            for outage_start, outage_end in down.get(request.broker, ())
        ):
            continue
        findings.unanswered += 1
        findings.note(
            f"{request.request_id} of broker {request.broker}, due {request.due_at:.3f}, "
            f"{request.end} {request.ended_at:.3f}"
        )


def used_rate(attempts: Iterable[ReceivedAttempt], volume: int, begin: float, end: float) -> float:
    """Returns the units a second of a volume's first attempts between two times."""
    return sum(
        attempt.units for attempt in _first_attempts(attempts, volume) if begin <= attempt.received_at < end
    ) / (end - begin)


def recovery_ms(
    attempts: Iterable[ReceivedAttempt],
    volume: int,
    begin: float,
    end: float,
    rate: float,
    window_s: float = 1.5,
    step_s: float = 0.05,
) -> float:
    """Returns the time from `begin` until a volume reaches a rate, in milliseconds.

    Args:
        attempts: The attempts that the endpoints received.
        volume: The volume.
        begin: The time at which the measurement starts.
        end: The time at which it ends; if the rate is not reached by then, the result is the whole time.
        rate: The units a second to be reached by first attempts.
        window_s: The time over which the rate is averaged.
        step_s: The resolution of the result, in seconds.
    """
    received_units = sorted(
        (attempt.received_at, attempt.units) for attempt in _first_attempts(attempts, volume)
    )
    window_start = begin
    while window_start + window_s <= end:
        if (
            sum(
                units
                for received_at, units in received_units
                if window_start <= received_at < window_start + window_s
            )
            >= rate * window_s
        ):
            return (window_start - begin) * 1000
        window_start += step_s
    return (end - begin) * 1000


def _first_attempts(attempts: Iterable[ReceivedAttempt], volume: int) -> list[ReceivedAttempt]:
    """Returns the first attempt of each of a volume's requests, in order of time."""
    first_attempts: dict[str, ReceivedAttempt] = {}
    for attempt in sorted(attempts, key=lambda attempt: attempt.received_at):
        if attempt.volume == volume:
            first_attempts.setdefault(attempt.request_id, attempt)
    return list(first_attempts.values())
