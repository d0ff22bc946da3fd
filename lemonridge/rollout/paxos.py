"""One decision for each number: single-decree Paxos, slot by slot. Pure, and without any time.

Lamport, "Paxos Made Simple" (2001), section 2.2: a voter promises and accepts by ballots, a proposer that has
the promises of a majority takes the value of the highest ballot that any of them accepted, and a value that a
majority accepted at one ballot is chosen. A slot begins only when the one before is decided, so all who take
part in it know who votes.

A vote is worth nothing before it is on disk, and nothing after the disk is lost: each voter has an identity
that was drawn when its store was made, a slot counts the identities that the decision before it names, and a
new store has a new one. So what a lost disk promised is never mistaken for a promise of the one after it; the
member votes again from the slot after a decision that names its new identity (a roster change through the
same log).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

NONE = bytes(8)  # the hash of no value
WHO_BITS = 8  # of a ballot: its proposer; the rest is its round


def ballot(turn: int, who: int) -> int:
    """The ballot of a proposer's round: no two proposers have one in common."""
    return turn << WHO_BITS | who


def turn_of(number: int) -> int:
    """The round of a ballot."""
    return number >> WHO_BITS


@dataclass(frozen=True, slots=True)
class Promised:
    """No ballot under `ballot` is accepted any more in `slot`; `value` was, at `took`, if `took` is not 0."""

    slot: int
    ballot: int
    took: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Accepted:
    """Accepted in `slot` at `ballot`."""

    slot: int
    ballot: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Not done in `slot`: `ballot` was promised already."""

    slot: int
    ballot: int


@dataclass(slots=True)
class Voter:
    """What one member has promised and accepted in the slot that is open to it. All of it is durable."""

    ident: int
    slot: int
    promised: int = 0
    took: int = 0
    value: bytes = NONE

    def prepare(self, slot: int, number: int) -> Promised | Refused | None:
        """Phase 1b; None where the slot is not the open one, which has to be learnt first."""
        if slot != self.slot:
            return None
        if number < self.promised:
            return Refused(slot, self.promised)
        self.promised = number
        return Promised(slot, number, self.took, self.value)

    def accept(self, slot: int, number: int, value: bytes) -> Accepted | Refused | None:
        """Phase 2b. Only a value that this member holds whole and finds good may be given."""
        if slot != self.slot:
            return None
        if number < self.promised:
            return Refused(slot, self.promised)
        self.promised = self.took = number
        self.value = value
        return Accepted(slot, number)

    def decided(self, slot: int) -> bool:
        """What a slot came to is known: the one after it is open. Whether this was news."""
        if slot < self.slot:
            return False
        self.slot, self.promised, self.took, self.value = slot + 1, 0, 0, NONE
        return True


@dataclass(slots=True)
class Proposer:
    """One member's try at one slot. Nothing of it is durable: a new try has a higher round.

    `voters` are the identities by member that count in this slot.
    """

    me: int
    slot: int
    wanted: bytes
    voters: Mapping[int, int]
    turn: int
    _promises: dict[int, Promised] = field(default_factory=dict)
    _accepts: set[int] = field(default_factory=set)
    value: bytes = NONE  # that is put to the vote, once a majority has promised
    chosen: bool = False

    @property
    def number(self) -> int:
        return ballot(self.turn, self.me)

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    def promise(self, who: int, ident: int, told: Promised) -> bool:
        """Phase 2a: whether the value is settled now and is to be put to the vote."""
        if self.value != NONE or told.slot != self.slot or told.ballot != self.number:
            return False
        if self.voters.get(who) != ident:
            return False
        self._promises[who] = told
        if len(self._promises) < self.quorum:
            return False
        before = max(self._promises.values(), key=lambda one: one.took)
        self.value = before.value if before.took else self.wanted
        return True

    def accept(self, who: int, ident: int, told: Accepted) -> bool:
        """Whether the value is chosen now."""
        if self.value == NONE or told.slot != self.slot or told.ballot != self.number:
            return False
        if self.voters.get(who) != ident:
            return False
        self._accepts.add(who)
        if self.chosen or len(self._accepts) < self.quorum:
            return False
        self.chosen = True
        return True

    def missing(self) -> tuple[int, ...]:
        """Who has not answered in the phase that is under way."""
        done = self._accepts if self.value != NONE else self._promises
        return tuple(who for who in self.voters if who not in done)
