"""What a soak's clients, nodes and discovery saw, and what of it breaks a rule of the pages.

Nothing here asks the broker. Times are seconds of one event loop's clock.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import sqrt

from lemonridge.lab.standins.soak_record import SoakAttempt, SoakRecord, SoakRequest

SLACK_S = 0.05  # PROTOCOL: every time limit on sockets is so much longer
HOLD_UP_S = 0.15  # STANDING: a broker may be held up for so long between its clock and a write
GRACE_S = 0.5  # an answer up to so long after its time only earns nothing; and the grace of a drain
LEAVE_S = 0.1  # after a client's close
EARLY_S = 0.7  # after SIGTERM: what came up to then and SIGKILL found is not lost
READ_S = 0.1  # a request that was written so long before its connection's end was read


@dataclass(frozen=True, slots=True)
class SoakLimits:
    """Figures of the settings that the judge needs."""

    rate: float
    burst: float
    slack: float
    mean_request_units: float
    slow_start_units: float  # that a cold node bears in one second in any case
    slow_start_initial_fraction: float  # of its power, that a node has as it starts
    overload_multiple: float  # of its power of that moment, that a cold node bears
    ramp_s: float  # after which a node is warm


@dataclass(slots=True)
class Findings:
    """Broken rules, each with a note."""

    counts: Counter[str] = field(default_factory=Counter)
    notes: list[str] = field(default_factory=list)

    def add(self, what: str, note: str) -> None:
        self.counts[what] += 1
        if len(self.notes) < 40:
            self.notes.append(f"{what}: {note}")


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
    """Every broken rule of a run."""
    found = Findings()
    by_request: dict[str, list[SoakAttempt]] = defaultdict(list)
    for attempt in sorted(record.attempts, key=lambda one: one.started_at):
        by_request[attempt.request_id].append(attempt)
    for request in record.requests.values():
        attempts = by_request.get(request.request_id, [])
        _lost(request, attempts, found)
        _repeated(request, attempts, found)
        _passed_on(record, request, attempts, found)
    for attempt in record.attempts:
        for told_at, over_at in record.drains.get(attempt.node, ()):
            if told_at + GRACE_S + SLACK_S < record.earliest_time(attempt.started_at) < over_at:
                late_s = attempt.started_at - told_at
                found.add("late_drain", f"{attempt.node} {late_s:.3f} s after it was told")
    _cold(record, limits, found)
    _limited(record, by_request, limits, found)
    for _ in range(record.crashes):
        found.add("crashes", "the broker ended by itself")
    return found


def _lost(request: SoakRequest, attempts: list[SoakAttempt], found: Findings) -> None:
    if request.disconnected_at is not None or not request.sent_at:
        return
    due_at = max(request.sent_at + request.deadline_s, request.previous_answered_at) + GRACE_S + SLACK_S
    if request.status:
        if request.ended_at is not None and request.ended_at > due_at:
            late_s = request.ended_at - due_at
            what = f"{request.request_id} of {request.deadline_s} s got {request.status}"
            found.add(
                "lost", f"{what} {late_s:.3f} s late, attempts {len(attempts)}, behind {request.is_pipelined}"
            )
        return
    if request.killed:
        if request.late_at_kill and (attempts or request.ended_at is None):
            found.add("lost", f"{request.request_id} was found by SIGKILL")
        return
    waited_s = 0.0 if request.ended_at is None else request.ended_at - request.sent_at
    read = not request.is_pipelined and waited_s > READ_S
    if attempts or read or request.ended_at is None:
        found.add("lost", f"{request.request_id} has no answer, at its node: {len(attempts)}")


def _repeated(request: SoakRequest, attempts: list[SoakAttempt], found: Findings) -> None:
    whole = [one for one in attempts if one.received_at is not None]
    if len(whole) > 4:
        found.add("duplicate", f"{request.request_id} had {len(whole)} attempts")
    for before, after in zip(whole, whole[1:], strict=False):
        if before.ended_at is None or before.ended_at > (after.received_at or 0.0) + SLACK_S:
            found.add("duplicate", f"{request.request_id} was out twice at once")
    ran = [one for one in whole if not one.never_ran]
    refused = request.status in (429, 503)
    keyed, once = request.cls.semantics == "by_key", request.cls.semantics == "once"
    if refused and ran and (once or (keyed and request.cls.group != "all")):
        found.add("bad_refusals", f"{request.request_id} of {request.cls.name} may have run")
    for further in ran[1:]:
        first = ran[0]
        assert further.received_at is not None
        away = {"cell": further.shard != first.shard, "zone": further.zone != first.zone}
        late = further.received_at - first.started_at > request.cls.window_s + SLACK_S
        if once or (keyed and (late or away.get(request.cls.group, False))):
            found.add("duplicate", f"{request.request_id} of {request.cls.name} may have run twice")


def _passed_on(
    record: SoakRecord, request: SoakRequest, attempts: list[SoakAttempt], found: Findings
) -> None:
    for attempt in attempts:
        begun_at = record.earliest_time(attempt.started_at)
        left_s = request.sent_at + request.deadline_s - begun_at
        if attempt.deadline_ms / 1000 > max(0.0, left_s) + HOLD_UP_S + SLACK_S:
            found.add(
                "deadline_over", f"{request.request_id} told {attempt.deadline_ms} ms of {left_s * 1000:.0f}"
            )
        if request.disconnected_at is not None and begun_at > request.disconnected_at + LEAVE_S + SLACK_S:
            found.add(
                "sent_after_leave", f"{request.request_id} {begun_at - request.disconnected_at:.3f} s after"
            )


def _cold(record: SoakRecord, limits: SoakLimits, found: Findings) -> None:
    """STANDING: N + 2 x root of N + 2, under 30 N + 3 x root of N + 3, in the second after a start."""
    by_node: dict[str, list[SoakAttempt]] = defaultdict(list)
    for attempt in record.attempts:
        if attempt.request_id in record.requests:
            by_node[attempt.node].append(attempt)
    power = max((_power(record, node, came, limits) for node, came in by_node.items()), default=0.0)
    allowed = max(
        limits.slow_start_units / limits.mean_request_units,
        limits.overload_multiple * limits.slow_start_initial_fraction * power,
    )
    top = allowed + (3 * sqrt(allowed) + 3 if allowed < 30 else 2 * sqrt(allowed) + 2)
    for node, rows in record.starts.items():
        for started_at, told_at in rows:
            begins_at = told_at + HOLD_UP_S  # before, the broker knew of no start
            if begins_at > started_at + 1.0:
                continue  # it is no longer as cold as that
            within = [one for one in by_node[node] if begins_at <= one.started_at < begins_at + 1.0]
            work = sum(record.requests[one.request_id].units for one in within) / limits.mean_request_units
            if work > top:
                found.add("cold_overloads", f"{node} got the work of {work:.1f}, allowed {top:.1f}")


def _power(record: SoakRecord, node: str, came: list[SoakAttempt], limits: SoakLimits) -> float:
    """Requests of mean work in a second that a node did at the most while it was warm. The nodes are alike,
    so each can do what one of them did.
    """
    done: list[tuple[float, float]] = []
    for one in came:
        if one.served and one.ended_at is not None:
            at = one.ended_at
            if not any(start <= at < start + limits.ramp_s for start, _ in record.starts.get(node, ())):
                done.append((at, record.requests[one.request_id].units / limits.mean_request_units))
    recent: deque[tuple[float, float]] = deque()
    work = most = 0.0
    for at, units in sorted(done):
        recent.append((at, units))
        work += units
        while recent[0][0] <= at - 1.0:
            work -= recent.popleft()[1]
        most = max(most, work)
    return most


def _limited(
    record: SoakRecord,
    by_request: dict[str, list[SoakAttempt]],
    limits: SoakLimits,
    found: Findings,
) -> None:
    """WIRE, rule 5: what came of each volume that has a limit, over every stretch of time."""
    came: dict[int, list[tuple[float, int]]] = defaultdict(list)
    for request in record.requests.values():
        whole = [
            one.received_at for one in by_request.get(request.request_id, ()) if one.received_at is not None
        ]
        if request.limited and whole:
            came[request.volume].append((min(whole), request.units))
    for volume, rows in came.items():
        excess = _excess(sorted(rows), limits)
        if excess > 0:
            found.add("limit_excess", f"volume {volume} by {excess:.1f} units")


def _excess(rows: Iterable[tuple[float, int]], limits: SoakLimits) -> float:
    """How far the store of a limit fell below its slack, which grows by what comes in 0.15 s."""
    level, at, lowest = limits.burst, 0.0, 0.0
    for when, units in rows:
        level = min(limits.burst, level + limits.rate * (when - at)) - units
        at, lowest = when, min(lowest, level)
    return -lowest - limits.slack - limits.rate * HOLD_UP_S
