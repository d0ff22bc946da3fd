"""Checks the platform's rules on a fleet, by what its endpoints and its clients saw.

Nothing here knows what a broker counted or believed. A limit is one token bucket for all brokers (with its
slack, and on sockets with what it allows in 150 ms), drains are followed within 500 ms (and 50) after they
were announced, every request gets one answer that an endpoint made for it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lemonridge.lab.load.fleet import GRACE_S, ClientRequest, RequestEnd
from lemonridge.lab.standins.cold import ReceivedAttempt

ON_SOCKETS_S = 0.15  # the slack of a limit grows by what it allows in this time
DRAIN_S = 0.55
RESTART_GRACE_S = 0.05  # a request due so soon after a broker's return may still find it away
ATTEMPTS_MAX = 4  # of a request
NOTES_MAX = 20
ROUNDING = 1e-9  # units


@dataclass(frozen=True, slots=True)
class Limit:
    """A token bucket that all brokers draw on: units a second, units at most, units below zero."""

    rate: float
    burst: float
    slack: float

    @property
    def overdraft(self) -> float:
        """Units below zero that are still allowed on sockets."""
        return self.slack + self.rate * ON_SOCKETS_S + ROUNDING


@dataclass(slots=True)
class Notes:
    """The first NOTES_MAX violations, in words."""

    notes: list[str] = field(default_factory=list, kw_only=True)

    def note(self, text: str) -> None:
        """Add one, if there is room."""
        if len(self.notes) < NOTES_MAX:
            self.notes.append(text)


@dataclass(slots=True)
class Findings(Notes):
    """Violations by rule."""

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
    """Check every rule.

    Args:
        attempts: as the endpoints received them.
        requests: as the clients sent them.
        limits: by volume.
        retry_limit: of all brokers together; None: there is none.
        health_updates: by broker, what discovery wrote to it: when, endpoint, health.
        down: by broker, when it was dead, stopped or not ready yet.
        overloads: times that an endpoint in slow start was overloaded.
        surplus: connections on which bytes arrived that answer nothing.
    """
    found = Findings(cold_overloads=overloads)
    ordered = sorted(attempts, key=lambda one: one.received_at)
    _check_limits(found, ordered, limits)
    _check_attempts(found, ordered, retry_limit)
    _check_drains(found, ordered, health_updates)
    _check_answers(found, requests, down, surplus)
    return found


def _check_limits(found: Findings, ordered: Sequence[ReceivedAttempt], limits: Mapping[int, Limit]) -> None:
    """A request takes its units when it first arrives at an endpoint, from one bucket for all brokers."""
    buckets: dict[int, tuple[float, float]] = {}  # tokens, and at what time
    first: set[str] = set()
    for one in ordered:
        limit = limits.get(one.volume)
        if limit is None or one.request_id in first:
            continue
        first.add(one.request_id)
        tokens, at = buckets.get(one.volume, (limit.burst, one.received_at))
        tokens = min(limit.burst, tokens + limit.rate * (one.received_at - at)) - one.units
        buckets[one.volume] = tokens, one.received_at
        if tokens < -limit.overdraft:
            found.limit_excess += 1
            found.note(
                f"limit of volume {one.volume} passed: {tokens:.1f} at {one.received_at:.3f} by {one.broker}"
            )


def _check_attempts(found: Findings, ordered: Sequence[ReceivedAttempt], retry_limit: Limit | None) -> None:
    """At most ATTEMPTS_MAX for a request; retries draw on one bucket of the fleet, where there is one."""
    made: dict[str, int] = defaultdict(int)
    tokens, at = (retry_limit.burst if retry_limit else 0.0), 0.0
    for one in ordered:
        made[one.request_id] += 1
        if made[one.request_id] > ATTEMPTS_MAX:
            found.budget_excess += 1
            found.note(f"{one.request_id} was sent {made[one.request_id]} times")
        if retry_limit is not None and made[one.request_id] > 1:
            refilled = tokens + retry_limit.rate * (one.received_at - at) if at else tokens
            tokens, at = min(retry_limit.burst, refilled) - 1.0, one.received_at
            if tokens < -retry_limit.overdraft:
                found.budget_excess += 1
                found.note(
                    f"limit of retries passed: {tokens:.1f} at {one.received_at:.3f} by broker {one.broker}"
                )


def _check_drains(
    found: Findings,
    ordered: Sequence[ReceivedAttempt],
    health_updates: Mapping[int, Sequence[tuple[float, str, str]]],
) -> None:
    """No attempt arrives at an endpoint longer than DRAIN_S after its broker was told of the drain."""
    updates = {broker: sorted(rows) for broker, rows in health_updates.items()}
    applied = dict.fromkeys(updates, 0)
    draining_since: dict[tuple[int, str], float] = {}
    for one in ordered:
        rows = updates.get(one.broker, [])
        while applied.get(one.broker, 0) < len(rows) and rows[applied[one.broker]][0] <= one.received_at:
            at, node, health = rows[applied[one.broker]]
            applied[one.broker] += 1
            if health == "up":
                draining_since.pop((one.broker, node), None)
            else:
                draining_since.setdefault((one.broker, node), at)
        since = draining_since.get((one.broker, one.node))
        if since is not None and one.received_at > since + DRAIN_S:
            found.late_sends += 1
            found.note(
                f"{one.node} received {one.request_id} of broker {one.broker} "
                f"{one.received_at - since:.3f} s after its drain was announced"
            )


def _check_answers(
    found: Findings,
    requests: Sequence[ClientRequest],
    down: Mapping[int, Sequence[tuple[float, float]]],
    surplus: int,
) -> None:
    """One answer for each request, within its deadline, made for it; unless its broker was down."""
    found.double_answers += surplus
    if surplus:
        found.note(f"{surplus} connections brought more than they were asked for")
    for one in requests:
        if one.wrong or one.surplus:
            found.double_answers += 1
            found.note(f"{one.request_id} got {'a wrong answer' if one.wrong else 'more than one answer'}")
        late = one.ended_at > one.deadline_at + GRACE_S
        if one.end not in (RequestEnd.NO_ANSWER, RequestEnd.CONNECTION_LOST) and not late:
            continue
        if any(
            began <= one.ended_at and one.due_at <= ended + RESTART_GRACE_S
            for began, ended in down.get(one.broker, ())
        ):
            continue
        found.unanswered += 1
        found.note(
            f"{one.request_id} of broker {one.broker}, due {one.due_at:.3f}, {one.end} {one.ended_at:.3f}"
        )


def used_rate(attempts: Iterable[ReceivedAttempt], volume: int, begin: float, end: float) -> float:
    """Units a second of a volume's first attempts between two times."""
    return sum(one.units for one in _first_attempts(attempts, volume) if begin <= one.received_at < end) / (
        end - begin
    )


def recovery_ms(
    attempts: Iterable[ReceivedAttempt],
    volume: int,
    begin: float,
    end: float,
    rate: float,
    window_s: float = 1.5,
    step_s: float = 0.05,
) -> float:
    """Milliseconds from `begin` until a volume has `rate` units a second over a window.

    The whole time where it never has.
    """
    rows = sorted((one.received_at, one.units) for one in _first_attempts(attempts, volume))
    at = begin
    while at + window_s <= end:
        if sum(units for when, units in rows if at <= when < at + window_s) >= rate * window_s:
            return (at - begin) * 1000
        at += step_s
    return (end - begin) * 1000


def _first_attempts(attempts: Iterable[ReceivedAttempt], volume: int) -> list[ReceivedAttempt]:
    first: dict[str, ReceivedAttempt] = {}
    for one in sorted(attempts, key=lambda one: one.received_at):
        if one.volume == volume:
            first.setdefault(one.request_id, one)
    return list(first.values())
