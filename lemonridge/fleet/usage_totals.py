"""Usage that brokers share: totals by counter, each its owner's alone, so that a repeat adds nothing. Pure.

A grow-only counter by replica (Shapiro, Preguiça, Baquero, Zawirski, "A Comprehensive Study of Convergent and
Commutative Replicated Data Types", 2011, section 3.1.1). A total belongs to an incarnation; a later one
begins at 0 and replaces it. What counts is the growth between two reports: across a gap longer than
GROWTH_MAX_AGE_US nothing is known of when it grew, so it counts as 0, and the scheduler decides without it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

GROWTH_MAX_AGE_US = 2_000_000
COUNTERS_MAX = 4096  # of each kind; past it the longest without news makes room
THOUSANDTHS = 1000  # of a unit, in which totals are sent


class UsageKind(IntEnum):
    """What is counted. The values are those of datagrams."""

    SERVED = 1  # units that a volume was served
    SENT = 2  # units that an endpoint was sent


class CounterKey(NamedTuple):
    """A counter's name at every broker: its kind, and its volume or its endpoint's key."""

    kind: int
    key: int


@dataclass(slots=True)
class ReceivedTotal:
    """Another member's total as it reported it last, in thousandths."""

    incarnation: int
    total: int
    at_us: int


class UsageTotals:
    """This broker's own totals, and those that others reported."""

    def __init__(self) -> None:
        self._own: dict[CounterKey, float] = {}
        self._reported: dict[CounterKey, float] = {}  # the own totals as reported last
        self._received: dict[CounterKey, dict[int, ReceivedTotal]] = {}

    def add(self, kind: UsageKind, key: int, units: float) -> None:
        """Count units of this broker's own."""
        counter = CounterKey(int(kind), key)
        total = self._own.pop(counter, 0.0) + units
        self._own[counter] = total
        if len(self._own) > COUNTERS_MAX:
            oldest = next(iter(self._own))
            del self._own[oldest]
            self._reported.pop(oldest, None)

    def take_growth(self, count: int) -> list[tuple[int, int, int]]:
        """At most `count` totals that grew the most since they were reported; they count as reported now.

        Returns:
            Kind, key and total in thousandths of each.
        """
        growth = [(total - self._reported.get(counter, 0.0), counter) for counter, total in self._own.items()]
        growth = sorted((one for one in growth if one[0] > 0), reverse=True)[:count]
        for _, counter in growth:
            self._reported[counter] = self._own[counter]
        return [(counter.kind, counter.key, int(self._own[counter] * THOUSANDTHS)) for _, counter in growth]

    def on_total(self, owner: int, incarnation: int, counter: CounterKey, total: int, now_us: int) -> float:
        """Another member's total arrived, in thousandths.

        Returns:
            The units by which it grew since its last report; 0 where that is late, repeated or too long ago.
        """
        owners = self._received.pop(counter, {})
        self._received[counter] = owners
        if len(self._received) > COUNTERS_MAX:
            del self._received[next(iter(self._received))]
        before = owners.get(owner)
        if before is not None and (incarnation, total) <= (before.incarnation, before.total):
            if (incarnation, total) == (before.incarnation, before.total):
                before.at_us = max(before.at_us, now_us)
            return 0.0
        owners[owner] = ReceivedTotal(incarnation, total, now_us)
        if before is None or before.incarnation != incarnation or now_us - before.at_us > GROWTH_MAX_AGE_US:
            return 0.0
        return (total - before.total) / THOUSANDTHS
