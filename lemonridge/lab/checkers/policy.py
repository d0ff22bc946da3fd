"""Checks changes of policy by the attempts that nodes received and the outcomes that proposers were told.

Nothing here uses what a broker voted or leased: a node's log has the epochs that each attempt claims, and the
limits are checked by the units of the received attempts. The outcomes that proposers were told are compared
with the brokers' histories at the end.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from lemonridge.lab.checkers.fleet import ON_SOCKETS_S, Notes
from lemonridge.lab.standins.cold import ReceivedAttempt

CLOCK_TOLERANCE_S = 0.05  # two records of one moment may differ by this
EDGE_S = 0.1  # an epoch counts as in use for this long before its first attempt and after its last


@dataclass(slots=True)
class ProposedChange:
    """One proposal and the outcome that its proposer was told; times are in seconds of the loop's clock.

    Attributes:
        note: The note of the change, which identifies it in the brokers' histories.
        limit: The limit that it proposes.
        broker: The number of the proposer.
        proposed_at: When it was proposed.
        sound: Whether every broker can decide by the proposed policy.
        rejecter_reachable: Whether the broker that rejects unsound policies was up, with faultless links to
            the proposer, throughout the proposal.
        outcome: `in force`, `nowhere`, `another` or `unknown`; empty if the proposer died or rejected the
            proposal at once.
        reported_at: When the outcome was reported.
        epoch: The epoch in which the change is in force, as reported.
    """

    note: str
    limit: float
    broker: int
    proposed_at: float
    sound: bool
    rejecter_reachable: bool = True
    outcome: str = ""
    reported_at: float = 0.0
    epoch: int = 0


@dataclass(slots=True)
class Findings(Notes):
    """The number of violations of each rule.

    Attributes:
        mixed_epochs: Attempts under an older epoch alone after an attempt under a newer one alone.
        half_changes: Brokers that end in different states, and changes in a history that must not be there.
        lost_changes: Changes that were reported as in force and are not in the histories at that epoch.
        stale_serving: Attempts under an old epoch after its last lease must have ended.
        limit_excess: Attempts beyond the limit of their volume.
    """

    mixed_epochs: int = 0
    half_changes: int = 0
    lost_changes: int = 0
    stale_serving: int = 0
    limit_excess: int = 0

    @property
    def passed(self) -> bool:
        """Whether no rule was violated."""
        return not (
            self.mixed_epochs
            or self.half_changes
            or self.lost_changes
            or self.stale_serving
            or self.limit_excess
        )


def epochs(text: str) -> tuple[int, int] | None:
    """Returns the interval of epochs that an attempt claims; None for an attempt under the floor."""
    low, _, high = text.partition("-")
    return (int(low), int(high or low)) if low.isdigit() else None


def check(
    attempts: Sequence[ReceivedAttempt],
    proposed: Sequence[ProposedChange],
    final_reports: Sequence[Mapping[str, object]],
    limits: Mapping[int, float],
    floor: float,
    volumes: Sequence[int],
    burst: float,
    slack: float,
    lease_s: float,
) -> Findings:
    """Checks every rule.

    Args:
        attempts: The attempts that the nodes received.
        proposed: The proposals with their outcomes.
        final_reports: The brokers' reports at the end, after all faults.
        limits: By epoch, the limit of the volumes, in units a second.
        floor: The limit of the volumes under the floor, in units a second.
        volumes: The volumes that have the limit.
        burst: The size of the limit's token bucket, in units.
        slack: How far the bucket may fall below zero, in units.
        lease_s: The longest time that an epoch is used after the next one is decided, with the clock error.
    """
    findings = Findings()
    ordered = sorted(attempts, key=lambda attempt: attempt.head_received_at)
    _check_mixed_epochs(findings, ordered)
    _check_stale_serving(findings, ordered, proposed, lease_s)
    _check_changes(findings, proposed, final_reports)
    _check_limits(
        findings,
        sorted(attempts, key=lambda attempt: attempt.received_at),
        limits,
        floor,
        volumes,
        burst,
        slack,
    )
    return findings


def _check_mixed_epochs(findings: Findings, ordered: Sequence[ReceivedAttempt]) -> None:
    """After an attempt whose lowest epoch is N, no attempt may claim only epochs below N."""
    newest, recent = 0, list[tuple[float, int]]()
    for attempt in ordered:
        interval = epochs(attempt.epoch)
        if interval is None:
            continue
        while recent and recent[0][0] < attempt.head_received_at - CLOCK_TOLERANCE_S:
            newest = max(newest, recent.pop(0)[1])
        recent.append((attempt.head_received_at, interval[0]))
        if interval[1] < newest:
            findings.mixed_epochs += 1
            findings.note(
                f"{attempt.request_id} of broker {attempt.broker} was sent under epoch {attempt.epoch} "
                f"at {attempt.head_received_at:.3f}, after an attempt under epoch {newest}"
            )


def _check_stale_serving(
    findings: Findings,
    ordered: Sequence[ReceivedAttempt],
    proposed: Sequence[ProposedChange],
    lease_s: float,
) -> None:
    """Once an epoch is known to be decided, the previous one may be used for a lease and no longer."""
    required = sorted(
        (proposal.reported_at + lease_s, proposal.epoch)
        for proposal in proposed
        if proposal.outcome == "in force"
    )
    least, index = 0, 0
    for attempt in ordered:
        while index < len(required) and required[index][0] < attempt.head_received_at:
            least, index = max(least, required[index][1]), index + 1
        interval = epochs(attempt.epoch)
        if interval is not None and interval[1] < least:
            findings.stale_serving += 1
            findings.note(
                f"{attempt.request_id} of broker {attempt.broker} was sent under epoch {attempt.epoch} "
                f"at {attempt.head_received_at:.3f}, more than a lease after epoch {least} was decided"
            )


def _check_changes(
    findings: Findings,
    proposed: Sequence[ProposedChange],
    final_reports: Sequence[Mapping[str, object]],
) -> None:
    """Checks the final states and histories.

    All brokers have one state at the end. Changes that were reported as in force are in their histories, and
    changes that were reported as in force nowhere are not.
    """
    if len({(report["epoch"], report["state"]) for report in final_reports}) > 1:
        findings.half_changes += 1
        findings.note(
            "the brokers end in different states: "
            f"{[(report['name'], report['epoch'], report['state']) for report in final_reports]}"
        )
    lines = [str(line) for report in final_reports for line in report["history"]]  # type: ignore[attr-defined]
    oldest = min((int(line.split()[0]) for line in lines), default=0)
    for proposal in proposed:
        found_epochs = {int(line.split()[0]) for line in lines if line.endswith(f": {proposal.note}")}
        if proposal.outcome == "in force" and proposal.epoch >= oldest and found_epochs != {proposal.epoch}:
            findings.lost_changes += 1
            findings.note(
                f"{proposal.note} was reported as in force at epoch {proposal.epoch} "
                f"and is in the histories at {sorted(found_epochs)}"
            )
        if proposal.outcome in ("nowhere", "another") and found_epochs:
            findings.half_changes += 1
            findings.note(
                f"{proposal.note} was reported as {proposal.outcome} "
                f"and is in the histories at {sorted(found_epochs)}"
            )
        if not proposal.sound and proposal.rejecter_reachable and found_epochs:
            findings.half_changes += 1
            findings.note(
                f"{proposal.note} is in the histories at {sorted(found_epochs)}, "
                "though a reachable broker cannot decide by it"
            )


def _check_limits(
    findings: Findings,
    ordered: Sequence[ReceivedAttempt],
    limits: Mapping[int, float],
    floor: float,
    volumes: Sequence[int],
    burst: float,
    slack: float,
) -> None:
    """Checks one token bucket per volume, refilled at the highest limit of the epochs that were in use."""
    spans: dict[int, list[float]] = {}
    for attempt in ordered:
        interval = epochs(attempt.epoch)
        for epoch in range(interval[0], interval[1] + 1) if interval else ():
            span = spans.setdefault(epoch, [attempt.head_received_at, attempt.received_at])
            span[1] = max(span[1], attempt.received_at)
    highest_limit = max([floor, *limits.values()])

    def refill_rate(begin: float, end: float) -> float:
        """Returns the highest limit of the epochs that were in use between two times."""
        used = [
            limits.get(epoch, highest_limit)
            for epoch, (first, last) in spans.items()
            if first - EDGE_S <= end and begin <= last + EDGE_S
        ]
        return max([floor, *used])

    buckets: dict[int, tuple[float, float]] = {}  # by volume: tokens, and at what time
    counted_requests: set[str] = set()
    for attempt in ordered:
        if attempt.volume not in volumes or attempt.request_id in counted_requests:
            continue
        counted_requests.add(attempt.request_id)
        tokens, at = buckets.get(attempt.volume, (burst, attempt.received_at))
        rate = refill_rate(at, attempt.received_at)
        tokens = min(burst, tokens + rate * (attempt.received_at - at)) - attempt.units
        buckets[attempt.volume] = tokens, attempt.received_at
        if tokens < -(slack + rate * ON_SOCKETS_S) - 1e-9:
            findings.limit_excess += 1
            findings.note(
                f"limit of volume {attempt.volume} exceeded: {tokens:.1f} at {attempt.received_at:.3f} "
                f"by {attempt.broker}, epoch {attempt.epoch}"
            )
