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

SERIAL_MODULUS = 1 << 32


def serial_distance(one: int, other: int) -> int:
    """How far one serial number is past another (RFC 1982): from -2^31 to 2^31 - 1."""
    distance = (one - other) % SERIAL_MODULUS
    return distance - SERIAL_MODULUS if distance >= SERIAL_MODULUS // 2 else distance


class ArrivalResult(Enum):
    """Where a command number lies."""

    NEXT = "next"  # in order, or held until those before it have come
    REPEATED = "repeated"  # seen before: taken, or held already
    OUTSIDE = "outside"  # past the window: ignored (4.2.2.1)


@dataclass(slots=True)
class CommandWindow(Generic[T]):
    """The target's side of CmdSN. `size` is how far ahead of ExpCmdSN commands may come."""

    exp_cmd_sn: int
    size: int
    pending: dict[int, T] = field(default_factory=dict)
    max_cmd_sn: int = -1  # MaxCmdSN as last told; it never goes back (4.2.2.1)

    def advertise_max_cmd_sn(self, busy: int) -> int:
        """MaxCmdSN to tell now, with `busy` places of the window taken by commands in work."""
        room = max(0, self.size - busy)
        fresh = (self.exp_cmd_sn + room - 1) % SERIAL_MODULUS
        if self.max_cmd_sn < 0 or serial_distance(fresh, self.max_cmd_sn) > 0:
            self.max_cmd_sn = fresh
        return self.max_cmd_sn

    def receive(self, number: int, item: T) -> tuple[ArrivalResult, list[T]]:
        """A command that is not immediate: its place, and the commands that are now in order."""
        ahead = serial_distance(number, self.exp_cmd_sn)
        if ahead < 0 or number in self.pending:
            return ArrivalResult.REPEATED, []
        if ahead >= self.size or (self.max_cmd_sn >= 0 and serial_distance(number, self.max_cmd_sn) > 0):
            return ArrivalResult.OUTSIDE, []
        self.pending[number] = item
        ready: list[T] = []
        while self.exp_cmd_sn in self.pending:
            ready.append(self.pending.pop(self.exp_cmd_sn))
            self.exp_cmd_sn = (self.exp_cmd_sn + 1) % SERIAL_MODULUS
        return ArrivalResult.NEXT, ready


@dataclass(slots=True)
class StatusLog(Generic[T]):
    """Statuses of one connection that the initiator has not acknowledged, oldest first.

    `keep` is the greatest number kept, 0 where none may be asked for again (recovery level 0).
    """

    next_stat_sn: int
    capacity: int
    retained: OrderedDict[int, T] = field(default_factory=OrderedDict)

    def assign_stat_sn(self, item: T) -> int:
        """The StatSN of a status that is sent now."""
        number, self.next_stat_sn = self.next_stat_sn, (self.next_stat_sn + 1) % SERIAL_MODULUS
        if self.capacity:
            self.retained[number] = item
            if len(self.retained) > self.capacity:
                self.retained.popitem(last=False)
        return number

    def acknowledge(self, expected: int) -> list[T]:
        """ExpStatSN came: everything before it is known. The statuses that go are returned; an ExpStatSN past
        what was sent acknowledges nothing.
        """
        if serial_distance(expected, self.next_stat_sn) > 0:
            return []
        gone: list[T] = []
        while self.retained and serial_distance(next(iter(self.retained)), expected) < 0:
            gone.append(self.retained.popitem(last=False)[1])
        return gone

    def find_retained(self, first: int, run: int) -> list[tuple[int, T]] | None:
        """What a Status SNACK asks for, by number; `run` 0 is all from `first` on (7.3, 11.16).

        None if one of them is not kept: the request cannot be met.
        """
        if not run:
            run = serial_distance(self.next_stat_sn, first)
        numbers = [(first + place) % SERIAL_MODULUS for place in range(max(0, run))]
        if run <= 0 or run > len(self.retained) or any(number not in self.retained for number in numbers):
            return None
        return [(number, self.retained[number]) for number in numbers]

    @property
    def unacknowledged_count(self) -> int:
        return len(self.retained)
