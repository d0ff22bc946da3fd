"""Usage totals that brokers share; only its owner increases a total, so repeated reports add nothing.

The totals form a grow-only counter with one entry for each replica (Shapiro, Preguiça, Baquero, Zawirski, "A
Comprehensive Study of Convergent and Commutative Replicated Data Types", 2011, section 3.1.1). A total
belongs to an incarnation; a later incarnation starts at 0 and replaces it. Usage is the growth between two
reports. If they are more than GROWTH_MAX_AGE_US apart, the time of the growth is not known: it counts as 0,
and the scheduler decides without it. Performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

GROWTH_MAX_AGE_US = 2_000_000
COUNTERS_MAX = 4096  # own and received each; beyond it, the counter updated longest ago is evicted
THOUSANDTHS = 1000  # in a unit; totals are sent in thousandths


class UsageKind(IntEnum):
    """What a counter counts; the values are those in datagrams."""

    SERVED = 1  # units served to a volume
    SENT = 2  # units sent to an endpoint


class CounterKey(NamedTuple):
    """Identifies a counter at every broker: its kind and its volume or endpoint key."""

    kind: int
    key: int


@dataclass(slots=True)
class ReceivedTotal:
    """The last total reported by another member, in thousandths, and when it was received."""

    incarnation: int
    total: int
    at_us: int


class UsageTotals:
    """This broker's own totals and the totals that other members reported."""

    def __init__(self) -> None:
        self._own: dict[CounterKey, float] = {}
        self._reported: dict[CounterKey, float] = {}  # this broker's totals as last reported
        self._received: dict[CounterKey, dict[int, ReceivedTotal]] = {}

    def add(self, kind: UsageKind, key: int, units: float) -> None:
        """Adds units to one of this broker's own totals."""
        counter = CounterKey(int(kind), key)
        total = self._own.pop(counter, 0.0) + units
        self._own[counter] = total
        if len(self._own) > COUNTERS_MAX:
            evicted = next(iter(self._own))
            del self._own[evicted]
            self._reported.pop(evicted, None)

    def take_growth(self, count: int) -> list[tuple[int, int, int]]:
        """Returns the `count` totals that grew the most since their last report, and marks them as reported.

        Returns:
            The kind, the key and the total in thousandths of each.
        """
        growth = [(total - self._reported.get(counter, 0.0), counter) for counter, total in self._own.items()]
        growth = sorted((entry for entry in growth if entry[0] > 0), reverse=True)[:count]
        for _, counter in growth:
            self._reported[counter] = self._own[counter]
        return [(counter.kind, counter.key, int(self._own[counter] * THOUSANDTHS)) for _, counter in growth]

    def on_total(self, owner: int, incarnation: int, counter: CounterKey, total: int, now_us: int) -> float:
        """Applies a total, in thousandths, reported by its owner.

        Returns:
            The units by which the total grew since its last report; 0 if this report is outdated or repeated,
            or if there is no last report of the same incarnation that is recent enough.
        """
        owners = self._received.pop(counter, {})
        self._received[counter] = owners
        if len(self._received) > COUNTERS_MAX:
            del self._received[next(iter(self._received))]
        previous = owners.get(owner)
        if previous is not None and (incarnation, total) <= (previous.incarnation, previous.total):
            if (incarnation, total) == (previous.incarnation, previous.total):
                previous.at_us = max(previous.at_us, now_us)
            return 0.0
        owners[owner] = ReceivedTotal(incarnation, total, now_us)
        if (
            previous is None
            or previous.incarnation != incarnation
            or now_us - previous.at_us > GROWTH_MAX_AGE_US
        ):
            return 0.0
        return (total - previous.total) / THOUSANDTHS
