"""Command and status sequence numbers of a session (RFC 7143, sections 4.2.2 and 7.1). No I/O.

The commands of a session may arrive on several connections and out of order; `CommandWindow` delivers them in
the order of CmdSN. Statuses are numbered per connection; `StatusLog` retains them until they are acknowledged
if the recovery level permits the initiator to request them again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")

SERIAL_MODULUS = 1 << 32


def serial_distance(number: int, reference: int) -> int:
    """Returns how far `number` is ahead of `reference` in serial number arithmetic (RFC 1982).

    The result lies between -2^31 and 2^31 - 1; it is negative if `number` precedes `reference`.
    """
    distance = (number - reference) % SERIAL_MODULUS
    return distance - SERIAL_MODULUS if distance >= SERIAL_MODULUS // 2 else distance


class ArrivalResult(Enum):
    """How the window treats a received command number."""

    NEXT = "next"  # new: delivered once all earlier commands have been
    REPEATED = "repeated"  # received before
    OUTSIDE = "outside"  # beyond the window; the command is ignored (RFC 7143, 4.2.2.1)


@dataclass(slots=True)
class CommandWindow(Generic[T]):
    """The target's command window: it delivers the commands of a session in the order of CmdSN.

    Attributes:
        exp_cmd_sn: ExpCmdSN, the number of the next command to deliver.
        size: Maximum number of commands from ExpCmdSN on that are accepted.
        pending: Commands received and not delivered, by CmdSN.
        max_cmd_sn: MaxCmdSN as last advertised, which never decreases (RFC 7143, 4.2.2.1); -1 before the
            first advertisement.
    """

    exp_cmd_sn: int
    size: int
    pending: dict[int, T] = field(default_factory=dict)
    max_cmd_sn: int = -1

    def advertise_max_cmd_sn(self, busy: int) -> int:
        """Returns the MaxCmdSN to advertise now.

        Args:
            busy: Number of commands in progress, each of which occupies a slot of the window.
        """
        free = max(0, self.size - busy)
        candidate = (self.exp_cmd_sn + free - 1) % SERIAL_MODULUS
        if self.max_cmd_sn < 0 or serial_distance(candidate, self.max_cmd_sn) > 0:
            self.max_cmd_sn = candidate
        return self.max_cmd_sn

    def receive(self, number: int, item: T) -> ArrivalResult:
        """Receives a non-immediate command, which `take_next` delivers in its turn.

        Args:
            number: CmdSN of the command.
            item: The command.

        Returns:
            How the window treats the number.
        """
        ahead = serial_distance(number, self.exp_cmd_sn)
        if ahead < 0 or number in self.pending:
            return ArrivalResult.REPEATED
        if ahead >= self.size or (self.max_cmd_sn >= 0 and serial_distance(number, self.max_cmd_sn) > 0):
            return ArrivalResult.OUTSIDE
        self.pending[number] = item
        return ArrivalResult.NEXT

    def take_next(self) -> T | None:
        """Returns the next command in order, which is acknowledged thereby; None if it has not been received.

        Commands are taken one at a time: what the delivery of one discards is neither delivered nor
        acknowledged.
        """
        if self.exp_cmd_sn not in self.pending:
            return None
        item = self.pending.pop(self.exp_cmd_sn)
        self.exp_cmd_sn = (self.exp_cmd_sn + 1) % SERIAL_MODULUS
        return item

    def discard(self, is_discarded: Callable[[T], bool]) -> None:
        """Forgets received commands that have not been delivered, which may then be received again.

        Args:
            is_discarded: Returns whether a command is to be forgotten.
        """
        self.pending = {number: item for number, item in self.pending.items() if not is_discarded(item)}


@dataclass(slots=True)
class StatusLog(Generic[T]):
    """Numbers the statuses of one connection and retains those that the initiator has not acknowledged.

    Attributes:
        next_stat_sn: StatSN of the next status.
        capacity: Maximum number of retained statuses; 0 at recovery level 0, where no status can be requested
            again.
        retained: Unacknowledged statuses by StatSN, oldest first.
    """

    next_stat_sn: int
    capacity: int
    retained: OrderedDict[int, T] = field(default_factory=OrderedDict)

    def assign_stat_sn(self, item: T) -> int:
        """Returns the StatSN for a status that is about to be sent, and retains the status."""
        number, self.next_stat_sn = self.next_stat_sn, (self.next_stat_sn + 1) % SERIAL_MODULUS
        if self.capacity:
            self.retained[number] = item
            if len(self.retained) > self.capacity:
                self.retained.popitem(last=False)
        return number

    def acknowledge(self, exp_stat_sn: int) -> list[T]:
        """Removes the statuses that an ExpStatSN acknowledges.

        Args:
            exp_stat_sn: ExpStatSN of a received PDU, which acknowledges all earlier numbers. A number beyond
                the last status sent acknowledges nothing.

        Returns:
            The acknowledged statuses, oldest first.
        """
        if serial_distance(exp_stat_sn, self.next_stat_sn) > 0:
            return []
        acknowledged: list[T] = []
        while self.retained and serial_distance(next(iter(self.retained)), exp_stat_sn) < 0:
            acknowledged.append(self.retained.popitem(last=False)[1])
        return acknowledged

    def find_retained(self, first: int, run_length: int) -> list[tuple[int, T]] | None:
        """Returns the statuses that a Status SNACK requests (RFC 7143, 7.3 and 11.16).

        Args:
            first: BegRun, the StatSN of the first requested status.
            run_length: RunLength, the number of requested statuses; 0 requests all from `first` on.

        Returns:
            StatSN and status of each, or None if any of them is not retained.
        """
        if not run_length:
            run_length = serial_distance(self.next_stat_sn, first)
        numbers = [(first + index) % SERIAL_MODULUS for index in range(max(0, run_length))]
        if (
            run_length <= 0
            or run_length > len(self.retained)
            or any(number not in self.retained for number in numbers)
        ):
            return None
        return [(number, self.retained[number]) for number in numbers]

    @property
    def unacknowledged_count(self) -> int:
        """Number of retained statuses."""
        return len(self.retained)
