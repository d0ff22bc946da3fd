"""Judges a fleet by what its nodes and its clients saw, and by when the drill stopped or killed whom.

Nothing here knows what a broker counted or believed. The rules are the platform's: a limit is one store for
all brokers (its slack, and what it allows in 150 ms, on sockets), drains are kept 500 ms (and 50) after they
were told, every request gets one answer that a node made for it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lemonridge.lab.load.fleet import GRACE_S, Asked
from lemonridge.lab.standins.cold import ReceivedAttempt

ON_SOCKETS_S = 0.15  # the slack of a limit grows by what it allows in this time
DRAIN_S = 0.55
ATTEMPTS_MAX = 4
NOTES_MAX = 20


@dataclass(frozen=True, slots=True)
class Limit:
    """A store that all brokers draw on."""

    rate: float
    burst: float
    slack: float


@dataclass(slots=True)
class Notes:
    """What is said of broken rules, as far as it is of use."""

    notes: list[str] = field(default_factory=list, kw_only=True)

    def note(self, text: str) -> None:
        if len(self.notes) < NOTES_MAX:
            self.notes.append(text)


@dataclass(slots=True)
class Findings(Notes):
    """Broken rules, by kind."""

    limit_excess: int = 0
    budget_excess: int = 0
    late_sends: int = 0
    double_answers: int = 0
    unanswered: int = 0
    cold_overloads: int = 0

    @property
    def held(self) -> bool:
        return not (
            self.limit_excess
            or self.budget_excess
            or self.late_sends
            or self.double_answers
            or self.unanswered
            or self.cold_overloads
        )


def check(
    came: Iterable[ReceivedAttempt],
    asked: Sequence[Asked],
    limits: Mapping[int, Limit],
    further: Limit | None,
    told: Mapping[int, Sequence[tuple[float, str, str]]],
    down: Mapping[int, Sequence[tuple[float, float]]],
    falls: int,
    surplus: int = 0,
) -> Findings:
    """Hold everything against everything. `limits` is by volume, `told` and `down` by broker: what discovery
    wrote to it (when, node, health), and when it was dead, stopped or not ready yet.
    """
    found = Findings(cold_overloads=falls)
    ordered = sorted(came, key=lambda one: one.at)
    _limits(found, ordered, limits)
    _attempts(found, ordered, further)
    _drains(found, ordered, told)
    _answers(found, asked, down, surplus)
    return found


def _limits(found: Findings, ordered: Sequence[ReceivedAttempt], limits: Mapping[int, Limit]) -> None:
    """A request takes its units when it first comes to a node, from one store for all brokers."""
    stores: dict[int, tuple[float, float]] = {}
    first: set[str] = set()
    for one in ordered:
        limit = limits.get(one.volume)
        if limit is None or one.ident in first:
            continue
        first.add(one.ident)
        level, at = stores.get(one.volume, (limit.burst, one.at))
        level = min(limit.burst, level + limit.rate * (one.at - at)) - one.units
        stores[one.volume] = level, one.at
        if level < -(limit.slack + limit.rate * ON_SOCKETS_S) - 1e-9:
            found.limit_excess += 1
            found.note(f"limit of volume {one.volume} passed: {level:.1f} at {one.at:.3f} by {one.broker}")


def _attempts(found: Findings, ordered: Sequence[ReceivedAttempt], further: Limit | None) -> None:
    """Four at most for a request; what follows a first one has a budget of the fleet, where there is one."""
    made: dict[str, int] = defaultdict(int)
    level, at = (further.burst if further else 0.0), 0.0
    for one in ordered:
        made[one.ident] += 1
        if made[one.ident] > ATTEMPTS_MAX:
            found.budget_excess += 1
            found.note(f"{one.ident} was sent {made[one.ident]} times")
        if further is not None and made[one.ident] > 1:
            level = min(further.burst, level + further.rate * (one.at - at) if at else level) - 1.0
            at = one.at
            if level < -(further.slack + further.rate * ON_SOCKETS_S) - 1e-9:
                found.budget_excess += 1
                found.note(f"further attempts passed: {level:.1f} at {one.at:.3f} by broker {one.broker}")


def _drains(
    found: Findings, ordered: Sequence[ReceivedAttempt], told: Mapping[int, Sequence[tuple[float, str, str]]]
) -> None:
    news = {broker: sorted(rows) for broker, rows in told.items()}
    place = dict.fromkeys(news, 0)
    since: dict[tuple[int, str], float] = {}
    for one in ordered:
        rows = news.get(one.broker, [])
        while place.get(one.broker, 0) < len(rows) and rows[place[one.broker]][0] <= one.at:
            when, node, health = rows[place[one.broker]]
            place[one.broker] += 1
            if health == "up":
                since.pop((one.broker, node), None)
            else:
                since.setdefault((one.broker, node), when)
        begun = since.get((one.broker, one.node))
        if begun is not None and one.at > begun + DRAIN_S:
            found.late_sends += 1
            found.note(
                f"{one.node} got {one.ident} of broker {one.broker} {one.at - begun:.3f} s after its "
                "drain was told"
            )


def _answers(
    found: Findings, asked: Sequence[Asked], down: Mapping[int, Sequence[tuple[float, float]]], surplus: int
) -> None:
    found.double_answers += surplus
    if surplus:
        found.note(f"{surplus} connections brought more than they were asked for")
    for one in asked:
        if one.wrong or one.surplus:
            found.double_answers += 1
            found.note(f"{one.ident} was answered {'wrongly' if one.wrong else 'and then some'}")
        late = one.ended > one.deadline + GRACE_S
        if one.end in ("silent", "cut") or late:
            if any(start <= one.ended and one.due <= end + 0.05 for start, end in down.get(one.broker, ())):
                continue
            found.unanswered += 1
            found.note(f"{one.ident} of broker {one.broker}, due {one.due:.3f}, {one.end} {one.ended:.3f}")


def used(came: Iterable[ReceivedAttempt], volume: int, begin: float, end: float) -> float:
    """Units a second of a volume's first attempts in a time."""
    first: set[str] = set()
    units = 0.0
    for one in sorted(came, key=lambda one: one.at):
        if one.volume == volume and one.ident not in first:
            first.add(one.ident)
            units += one.units if begin <= one.at < end else 0.0
    return units / (end - begin)


def healed_ms(
    came: Iterable[ReceivedAttempt],
    volume: int,
    begin: float,
    end: float,
    rate: float,
    window_s: float = 1.5,
    step_s: float = 0.05,
) -> float:
    """Milliseconds from `begin` to the first moment from which a volume has `rate` over a window; the whole
    time where it never has.
    """
    rows = sorted((one.at, one.units) for one in _firsts(came, volume))
    at = begin
    while at + window_s <= end:
        if sum(units for when, units in rows if at <= when < at + window_s) >= rate * window_s:
            return (at - begin) * 1000
        at += step_s
    return (end - begin) * 1000


def _firsts(came: Iterable[ReceivedAttempt], volume: int) -> list[ReceivedAttempt]:
    first: dict[str, ReceivedAttempt] = {}
    for one in sorted(came, key=lambda one: one.at):
        if one.volume == volume:
            first.setdefault(one.ident, one)
    return list(first.values())
