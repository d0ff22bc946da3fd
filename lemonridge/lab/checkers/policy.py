"""Judges changes of policy by what nodes were sent under which epoch, and by what proposers were told.

Nothing here knows what a broker voted or leased: a node's log has the epochs that each attempt claims, and
the limits are added up from the units that came. What proposers were told is held against what is in force in
the end.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from lemonridge.lab.checkers.fleet import ON_SOCKETS_S, Notes
from lemonridge.lab.standins.cold import ReceivedAttempt

CLOCK_TOLERANCE_S = 0.05  # two logs of one moment
EDGE_S = 0.1  # before an epoch's first send and after its last it may be gone by


@dataclass(slots=True)
class ProposedChange:
    """One proposal: what its proposer was told, and when."""

    note: str
    limit: float
    broker: int
    proposed_at: float
    sound: bool  # whether every broker could decide by it
    rejecter_reachable: bool = (
        True  # whether one that could not was up and its links whole while it was asked
    )
    outcome: str = ""  # in force, nowhere, another, unknown; empty: its proposer died, or said no at once
    reported_at: float = 0.0
    epoch: int = 0


@dataclass(slots=True)
class Findings(Notes):
    """Broken rules, by kind."""

    mixed_epochs: int = 0
    half_changes: int = 0
    lost_changes: int = 0
    stale_serving: int = 0
    limit_excess: int = 0

    @property
    def passed(self) -> bool:
        """Whether no rule is broken."""
        return not (
            self.mixed_epochs
            or self.half_changes
            or self.lost_changes
            or self.stale_serving
            or self.limit_excess
        )


def epochs(text: str) -> tuple[int, int] | None:
    """The interval that an attempt claims; None for the floor."""
    low, _, high = text.partition("-")
    return (int(low), int(high or low)) if low.isdigit() else None


def check(
    came: Sequence[ReceivedAttempt],
    proposed: Sequence[ProposedChange],
    ends: Sequence[Mapping[str, object]],
    limits: Mapping[int, float],
    floor: float,
    volumes: Sequence[int],
    burst: float,
    slack: float,
    lease_s: float,
) -> Findings:
    """`ends` are the brokers' reports once all is whole, `limits` each epoch's, `volumes` those that have it,
    `lease_s` the longest that one outlives the decision of the next, the error of clocks included.
    """
    found = Findings()
    ordered = sorted(came, key=lambda one: one.head_received_at)
    _mixed(found, ordered)
    _stale(found, ordered, proposed, lease_s)
    _changes(found, proposed, ends)
    _limits(found, sorted(came, key=lambda one: one.received_at), limits, floor, volumes, burst, slack)
    return found


def _mixed(found: Findings, ordered: Sequence[ReceivedAttempt]) -> None:
    """Once something was sent by an epoch alone, or one after it, nothing is sent by older ones alone."""
    newest, waiting = 0, list[tuple[float, int]]()
    for one in ordered:
        interval = epochs(one.epoch)
        if interval is None:
            continue
        while waiting and waiting[0][0] < one.head_received_at - CLOCK_TOLERANCE_S:
            newest = max(newest, waiting.pop(0)[1])
        waiting.append((one.head_received_at, interval[0]))
        if interval[1] < newest:
            found.mixed_epochs += 1
            found.note(
                f"{one.request_id} of broker {one.broker} came by epoch {one.epoch} "
                f"at {one.head_received_at:.3f}, after one by {newest}"
            )


def _stale(
    found: Findings, ordered: Sequence[ReceivedAttempt], proposed: Sequence[ProposedChange], lease_s: float
) -> None:
    """Once an epoch is known to be decided, the one before it lasts for a lease and no longer."""
    known = sorted((one.reported_at + lease_s, one.epoch) for one in proposed if one.outcome == "in force")
    least, place = 0, 0
    for one in ordered:
        while place < len(known) and known[place][0] < one.head_received_at:
            least, place = max(least, known[place][1]), place + 1
        interval = epochs(one.epoch)
        if interval is not None and interval[1] < least:
            found.stale_serving += 1
            found.note(
                f"{one.request_id} of broker {one.broker} came by epoch {one.epoch} "
                f"at {one.head_received_at:.3f}, long after {least} was decided"
            )


def _changes(
    found: Findings, proposed: Sequence[ProposedChange], ends: Sequence[Mapping[str, object]]
) -> None:
    """All hold one state in the end; what was told in force stands in its history, what was told nowhere does
    not.
    """
    if len({(one["epoch"], one["state"]) for one in ends}) > 1:
        found.half_changes += 1
        found.note(f"they end at {[(one['name'], one['epoch'], one['state']) for one in ends]}")
    lines = [str(line) for one in ends for line in one["history"]]  # type: ignore[attr-defined]
    oldest = min((int(line.split()[0]) for line in lines), default=0)
    for one in proposed:
        where = {int(line.split()[0]) for line in lines if line.endswith(f": {one.note}")}
        if one.outcome == "in force" and one.epoch >= oldest and where != {one.epoch}:
            found.lost_changes += 1
            found.note(f"{one.note} was told in force at epoch {one.epoch} and stands at {sorted(where)}")
        if one.outcome in ("nowhere", "another") and where:
            found.half_changes += 1
            found.note(f"{one.note} was told {one.outcome} and stands at {sorted(where)}")
        if not one.sound and one.rejecter_reachable and where:
            found.half_changes += 1
            found.note(f"{one.note} stands at {sorted(where)}, and one broker that could say so cannot")


def _limits(
    found: Findings,
    ordered: Sequence[ReceivedAttempt],
    limits: Mapping[int, float],
    floor: float,
    volumes: Sequence[int],
    burst: float,
    slack: float,
) -> None:
    """One store for all brokers, which fills at the largest limit of the epochs that were in use."""
    spans: dict[int, list[float]] = {}
    for one in ordered:
        interval = epochs(one.epoch)
        for epoch in range(interval[0], interval[1] + 1) if interval else ():
            span = spans.setdefault(epoch, [one.head_received_at, one.received_at])
            span[1] = max(span[1], one.received_at)
    most = max([floor, *limits.values()])

    def rate(begin: float, end: float) -> float:
        used = [
            limits.get(epoch, most)
            for epoch, (first, last) in spans.items()
            if first - EDGE_S <= end and begin <= last + EDGE_S
        ]
        return max([floor, *used])

    buckets: dict[int, tuple[float, float]] = {}
    first: set[str] = set()
    for one in ordered:
        if one.volume not in volumes or one.request_id in first:
            continue
        first.add(one.request_id)
        level, at = buckets.get(one.volume, (burst, one.received_at))
        now = rate(at, one.received_at)
        level = min(burst, level + now * (one.received_at - at)) - one.units
        buckets[one.volume] = level, one.received_at
        if level < -(slack + now * ON_SOCKETS_S) - 1e-9:
            found.limit_excess += 1
            found.note(
                f"limit of volume {one.volume} passed: {level:.1f} at {one.received_at:.3f} by {one.broker}, "
                f"epoch {one.epoch}"
            )
