"""Command and status numbers of a session (RFC 7143, sections 4.2.2 and 7.1). Pure.

Commands of one session may come over several connections and out of order; they are handed on in the order of
CmdSN. Statuses are numbered a connection, and kept until they are acknowledged where they may be asked for
again.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")

WRAP = 1 << 32


def later(one: int, other: int) -> int:
    """How far one serial number is past another (RFC 1982): from -2^31 to 2^31 - 1."""
    distance = (one - other) % WRAP
    return distance - WRAP if distance >= WRAP // 2 else distance


class Place(Enum):
    """Where a command number lies."""

    NEXT = "next"  # in order, or held until those before it have come
    REPEATED = "repeated"  # seen before: taken, or held already
    OUTSIDE = "outside"  # past the window: ignored (4.2.2.1)


@dataclass(slots=True)
class CommandWindow(Generic[T]):
    """The target's side of CmdSN. `size` is how far ahead of ExpCmdSN commands may come."""

    expected: int
    size: int
    held: dict[int, T] = field(default_factory=dict)
    top: int = -1  # MaxCmdSN as last told; it never goes back (4.2.2.1)

    def told(self, busy: int) -> int:
        """MaxCmdSN to tell now, with `busy` places of the window taken by commands in work."""
        room = max(0, self.size - busy)
        fresh = (self.expected + room - 1) % WRAP
        if self.top < 0 or later(fresh, self.top) > 0:
            self.top = fresh
        return self.top

    def arrive(self, number: int, item: T) -> tuple[Place, list[T]]:
        """A command that is not immediate: its place, and the commands that are now in order."""
        ahead = later(number, self.expected)
        if ahead < 0 or number in self.held:
            return Place.REPEATED, []
        if ahead >= self.size or (self.top >= 0 and later(number, self.top) > 0):
            return Place.OUTSIDE, []
        self.held[number] = item
        ready: list[T] = []
        while self.expected in self.held:
            ready.append(self.held.pop(self.expected))
            self.expected = (self.expected + 1) % WRAP
        return Place.NEXT, ready


@dataclass(slots=True)
class StatusLog(Generic[T]):
    """Statuses of one connection that the initiator has not acknowledged, oldest first.

    `keep` is the greatest number kept, 0 where none may be asked for again (recovery level 0).
    """

    next: int
    keep: int
    kept: OrderedDict[int, T] = field(default_factory=OrderedDict)

    def number(self, item: T) -> int:
        """The StatSN of a status that is sent now."""
        number, self.next = self.next, (self.next + 1) % WRAP
        if self.keep:
            self.kept[number] = item
            if len(self.kept) > self.keep:
                self.kept.popitem(last=False)
        return number

    def acknowledge(self, expected: int) -> list[T]:
        """ExpStatSN came: everything before it is known. The statuses that go are returned; an ExpStatSN past
        what was sent acknowledges nothing.
        """
        if later(expected, self.next) > 0:
            return []
        gone: list[T] = []
        while self.kept and later(next(iter(self.kept)), expected) < 0:
            gone.append(self.kept.popitem(last=False)[1])
        return gone

    def again(self, first: int, run: int) -> list[tuple[int, T]] | None:
        """What a Status SNACK asks for, by number; `run` 0 is all from `first` on (7.3, 11.16).

        None if one of them is not kept: the request cannot be met.
        """
        if not run:
            run = later(self.next, first)
        numbers = [(first + place) % WRAP for place in range(max(0, run))]
        if run <= 0 or run > len(self.kept) or any(number not in self.kept for number in numbers):
            return None
        return [(number, self.kept[number]) for number in numbers]

    @property
    def unacknowledged(self) -> int:
        return len(self.kept)
