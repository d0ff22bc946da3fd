"""Counts that brokers share: totals by counter, each its owner's alone, so that a message twice or late adds
nothing (a grow-only counter by replica: Shapiro, Preguiça, Baquero, Zawirski, "A Comprehensive Study of
Convergent and Commutative Replicated Data Types", 2011, section 3.1.1). Pure.

A total belongs to an incarnation; a later one begins at 0 and replaces it. What is worth something is how
much a total grew between two tellings: across a gap longer than WORTH_US nothing is known of when, so it is
worth nothing, and the decisions fall back to what they do unaided.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

GROWTH_MAX_AGE_US = 2_000_000  # growth over a longer gap, or told longer ago, is worth nothing
COUNTERS_MAX = 4096  # counters kept of each kind; past it the longest without news makes room
THOUSANDTHS = 1000  # totals are in thousandths of a unit


class UsageKind(IntEnum):
    """What is counted."""

    SERVED = 1  # units that a volume was served
    SENT = 2  # units that a node was sent


@dataclass(slots=True)
class ReceivedTotal:
    """One owner's total, as last told."""

    incarnation: int
    total: int
    at_us: int


class UsageTotals:
    """This broker's own totals, and what the others told of theirs."""

    def __init__(self) -> None:
        self._own: dict[tuple[int, int], float] = {}
        self._told: dict[tuple[int, int], float] = {}  # the own totals as last told to all
        self._heard: dict[tuple[int, int], dict[int, ReceivedTotal]] = {}

    def add(self, kind: UsageKind, key: int, units: float) -> None:
        """This broker counts."""
        spot = (int(kind), key)
        total = self._own.pop(spot, 0.0) + units
        self._own[spot] = total
        if len(self._own) > COUNTERS_MAX:
            gone = next(iter(self._own))
            del self._own[gone]
            self._told.pop(gone, None)

    def news(self, most: int) -> list[tuple[int, int, int]]:
        """The totals that grew the most since they were told: kind, key, thousandths. They count as told."""
        grown = [(total - self._told.get(spot, 0.0), spot) for spot, total in self._own.items()]
        grown = sorted((one for one in grown if one[0] > 0), reverse=True)[:most]
        for _, spot in grown:
            self._told[spot] = self._own[spot]
        return [(spot[0], spot[1], int(self._own[spot] * THOUSANDTHS)) for _, spot in grown]

    def heard(self, who: int, incarnation: int, kind: int, key: int, total: int, now_us: int) -> float:
        """Another's total: the units by which it grew within a time that says when, else 0."""
        spot = (kind, key)
        owners = self._heard.pop(spot, {})
        self._heard[spot] = owners
        if len(self._heard) > COUNTERS_MAX:
            del self._heard[next(iter(self._heard))]
        before = owners.get(who)
        if before is not None and (incarnation, total) <= (before.incarnation, before.total):
            if (incarnation, total) == (before.incarnation, before.total):
                before.at_us = max(before.at_us, now_us)
            return 0.0
        owners[who] = ReceivedTotal(incarnation, total, now_us)
        if before is None or before.incarnation != incarnation or now_us - before.at_us > GROWTH_MAX_AGE_US:
            return 0.0
        return (total - before.total) / THOUSANDTHS

    def known(self, kind: UsageKind, key: int, now_us: int) -> dict[int, ReceivedTotal]:
        """What others have told of a counter, by owner, as long as it is worth something."""
        return {
            who: one
            for who, one in self._heard.get((int(kind), key), {}).items()
            if now_us - one.at_us <= GROWTH_MAX_AGE_US
        }
