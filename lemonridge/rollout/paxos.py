"""One decision for each slot: single-decree Paxos, slot by slot. Pure, and without any time.

Lamport, "Paxos Made Simple" (2001), section 2.2: an acceptor promises and accepts by ballots, a proposer that
has the promises of a quorum takes the value of the highest ballot that any of them accepted, and a value that
a quorum accepted at one ballot is chosen. A slot opens only when the one before is decided, so all who take
part in it know who votes.

A vote counts only once it is on disk, and no longer once the disk is lost: each acceptor has a store id that
was drawn when its store was made, a slot counts the store ids that the decision before it names, and a new
store has a new id. So what a lost disk promised is never mistaken for a promise of the one after it; the
member votes again from the slot after a decision that names its new store id (a roster change through the
same log).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

NO_VALUE = bytes(8)  # the digest that stands for no value
MEMBER_BITS = 8  # the low bits of a ballot: its proposer; the rest is its round


def make_ballot(round_number: int, member: int) -> int:
    """The ballot of a proposer's round: no two proposers have one in common."""
    return round_number << MEMBER_BITS | member


def round_of(ballot: int) -> int:
    """The round of a ballot."""
    return ballot >> MEMBER_BITS


def is_quorum(count: int, voters: int) -> bool:
    """Whether `count` of `voters` are a majority."""
    return count > voters // 2


@dataclass(frozen=True, slots=True)
class Promised:
    """No ballot under `ballot` is accepted any more in `slot`.

    `accepted_value` was accepted before, at `accepted_ballot`; 0: nothing was.
    """

    slot: int
    ballot: int
    accepted_ballot: int
    accepted_value: bytes


@dataclass(frozen=True, slots=True)
class Accepted:
    """Accepted in `slot` at `ballot`."""

    slot: int
    ballot: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Neither promised nor accepted in `slot`: `ballot` was promised already."""

    slot: int
    ballot: int


@dataclass(slots=True)
class Acceptor:
    """What one member has promised and accepted in the open slot. All of it is durable."""

    store_id: int
    slot: int
    promised_ballot: int = 0
    accepted_ballot: int = 0  # 0: nothing accepted
    accepted_value: bytes = NO_VALUE

    def prepare(self, slot: int, ballot: int) -> Promised | Rejected | None:
        """Phase 1b; None where the slot is not the open one, which has to be learnt first."""
        if slot != self.slot:
            return None
        if ballot < self.promised_ballot:
            return Rejected(slot, self.promised_ballot)
        self.promised_ballot = ballot
        return Promised(slot, ballot, self.accepted_ballot, self.accepted_value)

    def accept(self, slot: int, ballot: int, value: bytes) -> Accepted | Rejected | None:
        """Phase 2b. Only a value that this member holds complete and has checked may be given."""
        if slot != self.slot:
            return None
        if ballot < self.promised_ballot:
            return Rejected(slot, self.promised_ballot)
        self.promised_ballot = self.accepted_ballot = ballot
        self.accepted_value = value
        return Accepted(slot, ballot)

    def close_slot(self, slot: int) -> bool:
        """The decision of a slot is known: the one after it is open. False where that was known before."""
        if slot < self.slot:
            return False
        self.slot, self.promised_ballot, self.accepted_ballot, self.accepted_value = slot + 1, 0, 0, NO_VALUE
        return True


@dataclass(slots=True)
class Proposer:
    """One member's round in one slot. Nothing of it is durable: a new attempt has a higher round.

    `voters` are the store ids, by member, that count in this slot; `own_value` is what is proposed unless an
    acceptor reports another value.
    """

    member: int
    slot: int
    own_value: bytes
    voters: Mapping[int, int]
    round_number: int
    _promises: dict[int, Promised] = field(default_factory=dict)
    _accepts: set[int] = field(default_factory=set)
    value: bytes = NO_VALUE  # of phase 2, once a quorum has promised
    chosen: bool = False

    @property
    def ballot(self) -> int:
        """The ballot of this round."""
        return make_ballot(self.round_number, self.member)

    @property
    def quorum(self) -> int:
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1

    def on_promise(self, member: int, store_id: int, promised: Promised) -> bool:
        """Records a promise. True once the value is settled, so that phase 2a begins."""
        if self.value != NO_VALUE or promised.slot != self.slot or promised.ballot != self.ballot:
            return False
        if self.voters.get(member) != store_id:
            return False
        self._promises[member] = promised
        if len(self._promises) < self.quorum:
            return False
        highest = max(self._promises.values(), key=lambda one: one.accepted_ballot)
        self.value = highest.accepted_value if highest.accepted_ballot else self.own_value
        return True

    def on_accepted(self, member: int, store_id: int, accepted: Accepted) -> bool:
        """Records an acceptance. True at the one that makes the value chosen."""
        if self.value == NO_VALUE or accepted.slot != self.slot or accepted.ballot != self.ballot:
            return False
        if self.voters.get(member) != store_id:
            return False
        self._accepts.add(member)
        if self.chosen or len(self._accepts) < self.quorum:
            return False
        self.chosen = True
        return True

    def unanswered(self) -> tuple[int, ...]:
        """The voters that have not answered in the phase under way."""
        answered = self._accepts if self.value != NO_VALUE else self._promises
        return tuple(member for member in self.voters if member not in answered)
