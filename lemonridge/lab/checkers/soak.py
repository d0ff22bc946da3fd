"""Checks the record of a soak by its clients, nodes and discovery against the rules of the pages.

Nothing here uses the broker's own data. Times are in seconds of one event loop's clock.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import sqrt

from lemonridge.lab.standins.soak_record import SoakAttempt, SoakRecord, SoakRequest

SLACK_S = 0.05  # PROTOCOL: every time limit is extended by this on sockets
HOLD_UP_S = 0.15  # STANDING: a broker may be delayed by this between reading its clock and a write
GRACE_S = 0.5  # an answer that is late by up to this is worthless but not lost; also the grace of a drain
LEAVE_S = 0.1  # after a client's disconnection, attempts may still start for this time
EARLY_S = 0.7  # requests sent up to this after SIGTERM that are open at SIGKILL do not count as lost
READ_S = 0.1  # a request that was sent this long before its connection's end counts as read by the broker


@dataclass(frozen=True, slots=True)
class SoakLimits:
    """The figures of the settings that the checker needs.

    Attributes:
        rate: The limit of a limited volume, in units a second.
        burst: The size of the limit's token bucket, in units.
        slack: How many units the bucket may fall below zero.
        mean_request_units: The mean size of a request, in units.
        slow_start_units: The units that a cold node can take in one second in any case.
        slow_start_initial_fraction: The fraction of its full capacity that a node has when it starts.
        overload_multiple: The multiple of its present capacity that a cold node can take.
        ramp_s: The time after its start at which a node has its full capacity, in seconds.
    """

    rate: float
    burst: float
    slack: float
    mean_request_units: float
    slow_start_units: float
    slow_start_initial_fraction: float
    overload_multiple: float
    ramp_s: float


@dataclass(slots=True)
class Findings:
    """Violated rules.

    Attributes:
        counts: The number of violations by rule, with the names of FIGURES.
        notes: Descriptions of the first violations.
    """

    counts: Counter[str] = field(default_factory=Counter)
    notes: list[str] = field(default_factory=list)

    def add(self, rule: str, note: str) -> None:
        """Counts a violation; the first 40 get a note."""
        self.counts[rule] += 1
        if len(self.notes) < 40:
            self.notes.append(f"{rule}: {note}")


FIGURES = (
    "lost",
    "duplicate",
    "late_drain",
    "cold_overloads",
    "limit_excess",
    "sent_after_leave",
    "deadline_over",
    "bad_refusals",
    "crashes",
)


def check(record: SoakRecord, limits: SoakLimits) -> Findings:
    """Checks every rule on the record of a run."""
    findings = Findings()
    by_request: dict[str, list[SoakAttempt]] = defaultdict(list)
    for attempt in sorted(record.attempts, key=lambda attempt: attempt.started_at):
        by_request[attempt.request_id].append(attempt)
    for request in record.requests.values():
        attempts = by_request.get(request.request_id, [])
        _check_answer(record, request, attempts, findings)
        _check_repetition(record, request, attempts, findings)
        _check_forwarding(record, request, attempts, findings)
    for attempt in record.attempts:
        _check_drains(record, attempt, findings)
    _check_cold_nodes(record, limits, findings)
    _check_limits(record, by_request, limits, findings)
    for _ in range(record.crashes):
        findings.add("crashes", "the broker ended by itself")
    return findings


def _check_drains(record: SoakRecord, attempt: SoakAttempt, findings: Findings) -> None:
    """Checks that an attempt does not start at a draining node after the drain's grace.

    An attempt that is seen in or after a stall of the drill's process may have started at any time since the
    stall began, so it counts only if it is late at the earliest of these times and at the latest one.
    """
    earliest_at = record.earliest_time(attempt.started_at)
    for announced_at, ended_at in record.drains.get(attempt.node, ()):
        if announced_at + GRACE_S + SLACK_S < earliest_at and attempt.started_at < ended_at:
            late_s = attempt.started_at - announced_at
            findings.add(
                "late_drain",
                f"{attempt.node} {late_s:.3f} s after its drain was announced, "
                f"{attempt.started_at - ended_at:+.3f} s from its end, "
                f"seen {attempt.started_at - earliest_at:.3f} s after the judge's stall began",
            )


def _check_answer(
    record: SoakRecord, request: SoakRequest, attempts: list[SoakAttempt], findings: Findings
) -> None:
    """Checks that a request got an answer in time, unless its client or the broker had ended."""
    if request.disconnected_at is not None or not request.sent_at:
        return
    due_at = max(request.sent_at + request.deadline_s, request.previous_answered_at) + GRACE_S + SLACK_S
    if request.status:
        if request.ended_at is not None and request.ended_at > due_at:
            late_s = request.ended_at - due_at
            findings.add("lost", f"answered {late_s:.3f} s late, {_history(record, request, attempts)}")
        return
    if request.killed:
        if request.late_at_kill and (attempts or request.ended_at is None):
            findings.add("lost", f"open at SIGKILL, {_history(record, request, attempts)}")
        return
    waited_s = 0.0 if request.ended_at is None else request.ended_at - request.sent_at
    was_read = not request.is_pipelined and waited_s > READ_S
    if attempts or was_read or request.ended_at is None:
        findings.add("lost", f"no answer, {_history(record, request, attempts)}")


def _history(record: SoakRecord, request: SoakRequest, attempts: list[SoakAttempt]) -> str:
    """Describes what clients and nodes saw of a request, in seconds after it was sent."""

    def after_s(at: float | None) -> str:
        return "never" if at is None else f"{at - request.sent_at:+.3f}"

    described_attempts = [
        f"{attempt.node} {after_s(attempt.started_at)} to {after_s(attempt.ended_at)} "
        f"received {after_s(attempt.received_at)} served {attempt.served} not run {attempt.never_ran}"
        for attempt in attempts
    ]
    ended_at = request.sent_at if request.ended_at is None else request.ended_at
    stalls = [
        f"{after_s(began_at)} to {after_s(stall_ended_at)}"
        for began_at, stall_ended_at in record.stalls
        if stall_ended_at > request.sent_at and began_at < ended_at
    ]
    stop = next((stop for stop in record.stops if stop >= request.sent_at - request.deadline_s), None)
    return (
        f"{request.request_id} of {request.cls.name}, deadline {request.deadline_s} s, "
        f"status {request.status}, pipelined {request.is_pipelined}, ended {after_s(request.ended_at)}, "
        f"attempts {described_attempts}, SIGTERM {after_s(stop)}, judge's stalls {stalls}, "
        f"{_processor_wait(record, request.sent_at, ended_at)}"
    )


def _processor_wait(record: SoakRecord, began_at: float, ended_at: float) -> str:
    """Describes how long the broker was held up by the machine in a period."""
    return f"the broker waited {record.processor_wait_s(began_at, ended_at):.3f} s for a processor"


def _check_repetition(
    record: SoakRecord, request: SoakRequest, attempts: list[SoakAttempt], findings: Findings
) -> None:
    """Checks that a request has at most four attempts, one at a time, and runs as often as its class allows.

    A rejected request of a class that may run only once must not have run.
    """
    received = [attempt for attempt in attempts if attempt.received_at is not None]
    if len(received) > 4:
        findings.add("duplicate", f"{request.request_id} had {len(received)} attempts")
    for earlier, later in zip(received, received[1:], strict=False):
        if earlier.ended_at is None or earlier.ended_at > (later.received_at or 0.0) + SLACK_S:
            findings.add("duplicate", f"two attempts at the same time, {_history(record, request, attempts)}")
    may_have_run = [attempt for attempt in received if not attempt.never_ran]
    rejected = request.status in (429, 503)
    keyed, once = request.cls.semantics == "by_key", request.cls.semantics == "once"
    if rejected and may_have_run and (once or (keyed and request.cls.group != "all")):
        findings.add("bad_refusals", f"may have run, {_history(record, request, attempts)}")
    for repeated in may_have_run[1:]:
        first = may_have_run[0]
        assert repeated.received_at is not None
        outside_scope = {"cell": repeated.shard != first.shard, "zone": repeated.zone != first.zone}
        late = repeated.received_at - first.started_at > request.cls.window_s + SLACK_S
        if once or (keyed and (late or outside_scope.get(request.cls.group, False))):
            findings.add("duplicate", f"may have run twice, {_history(record, request, attempts)}")


def _check_forwarding(
    record: SoakRecord, request: SoakRequest, attempts: list[SoakAttempt], findings: Findings
) -> None:
    """Checks the deadline that each attempt states, and that none starts after the client disconnected."""
    for attempt in attempts:
        started_at = record.earliest_time(attempt.started_at)
        left_s = request.sent_at + request.deadline_s - started_at
        if attempt.deadline_ms / 1000 > max(0.0, left_s) + HOLD_UP_S + SLACK_S:
            findings.add(
                "deadline_over",
                f"{request.request_id} was forwarded with {attempt.deadline_ms} ms, "
                f"left were {left_s * 1000:.0f}, {_processor_wait(record, request.sent_at, started_at)}",
            )
        if request.disconnected_at is not None and started_at > request.disconnected_at + LEAVE_S + SLACK_S:
            findings.add(
                "sent_after_leave",
                f"{request.request_id} {started_at - request.disconnected_at:.3f} s after its client left",
            )


def _check_cold_nodes(record: SoakRecord, limits: SoakLimits, findings: Findings) -> None:
    """Checks the work that each node got in the second after a start.

    STANDING: at most N + 2 x root of N + 2, for N below 30 at most N + 3 x root of N + 3.
    """
    by_node: dict[str, list[SoakAttempt]] = defaultdict(list)
    for attempt in record.attempts:
        if attempt.request_id in record.requests:
            by_node[attempt.node].append(attempt)
    capacity = max(
        (_capacity(record, node, attempts, limits) for node, attempts in by_node.items()), default=0.0
    )
    expected = max(
        limits.slow_start_units / limits.mean_request_units,
        limits.overload_multiple * limits.slow_start_initial_fraction * capacity,
    )
    allowed = expected + (3 * sqrt(expected) + 3 if expected < 30 else 2 * sqrt(expected) + 2)
    for node, starts in record.starts.items():
        for started_at, announced_at in starts:
            window_start = announced_at + HOLD_UP_S  # before this, the broker may not know of the start
            if window_start > started_at + 1.0:
                continue  # the node has warmed up beyond its initial capacity
            attempts = [
                attempt
                for attempt in by_node[node]
                if window_start <= attempt.started_at < window_start + 1.0
            ]
            work = (
                sum(record.requests[attempt.request_id].units for attempt in attempts)
                / limits.mean_request_units
            )
            if work > allowed:
                findings.add(
                    "cold_overloads",
                    f"{node} got the work of {work:.1f} requests, allowed {allowed:.1f}, "
                    f"{_processor_wait(record, started_at, window_start + 1.0)}",
                )


def _capacity(record: SoakRecord, node: str, attempts: list[SoakAttempt], limits: SoakLimits) -> float:
    """Returns the most work that a warm node completed in a second, in requests of mean size.

    All nodes have equal capacity, so the highest result of any node applies to each.
    """
    completed: list[tuple[float, float]] = []
    for attempt in attempts:
        if attempt.served and attempt.ended_at is not None:
            at = attempt.ended_at
            if not any(start <= at < start + limits.ramp_s for start, _ in record.starts.get(node, ())):
                completed.append((at, record.requests[attempt.request_id].units / limits.mean_request_units))
    window: deque[tuple[float, float]] = deque()
    work = highest = 0.0
    for at, request_work in sorted(completed):
        window.append((at, request_work))
        work += request_work
        while window[0][0] <= at - 1.0:
            work -= window.popleft()[1]
        highest = max(highest, work)
    return highest


def _check_limits(
    record: SoakRecord,
    by_request: dict[str, list[SoakAttempt]],
    limits: SoakLimits,
    findings: Findings,
) -> None:
    """WIRE, rule 5: checks the units that nodes received for each limited volume, over every interval."""
    received_units: dict[int, list[tuple[float, int]]] = defaultdict(list)
    for request in record.requests.values():
        arrival_times = [
            attempt.received_at
            for attempt in by_request.get(request.request_id, ())
            if attempt.received_at is not None
        ]
        if request.limited and arrival_times:
            received_units[request.volume].append((min(arrival_times), request.units))
    for volume, arrivals in received_units.items():
        excess = _excess(sorted(arrivals), limits)
        if excess > 0:
            findings.add("limit_excess", f"volume {volume} by {excess:.1f} units")


def _excess(arrivals: Iterable[tuple[float, int]], limits: SoakLimits) -> float:
    """Returns how many units the limit's bucket fell below its slack, extended by 0.15 s of its rate."""
    tokens, at, lowest = limits.burst, 0.0, 0.0
    for received_at, units in arrivals:
        tokens = min(limits.burst, tokens + limits.rate * (received_at - at)) - units
        at, lowest = received_at, min(lowest, tokens)
    return -lowest - limits.slack - limits.rate * HOLD_UP_S
