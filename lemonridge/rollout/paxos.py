"""Single-decree Paxos, one instance for each slot. Pure, and without timers.

The algorithm is that of Lamport, "Paxos Made Simple" (2001), section 2.2: an acceptor promises and accepts by
ballot number, a proposer with the promises of a quorum proposes the value of the highest ballot that any of
these acceptors has accepted, and a value that a quorum has accepted at one ballot is chosen. A slot opens
only when the previous slot is decided, so all participants know who votes in it.

A vote counts only once it is on disk, and only as long as that disk exists. Each acceptor has a random store
id, drawn when its vote store was created, and a slot counts only the store ids that the previous decision
lists. A new store has a new id, so a promise of a lost store is never mistaken for a promise of its
replacement. The member votes again in the slot after a decision that lists its new store id; that decision
is a change of voters through the same log.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

NO_VALUE = bytes(8)  # the digest that represents "no value"
MEMBER_BITS = 8  # low bits of a ballot, which hold the proposer; the rest is the round


def make_ballot(round_number: int, member: int) -> int:
    """Returns the ballot of a proposer's round, which differs from the ballots of all other proposers."""
    return round_number << MEMBER_BITS | member


def round_of(ballot: int) -> int:
    """Returns the round of a ballot."""
    return ballot >> MEMBER_BITS


def is_quorum(count: int, voters: int) -> bool:
    """Returns whether `count` of `voters` voters are a majority."""
    return count > voters // 2


@dataclass(frozen=True, slots=True)
class Promised:
    """A promise to accept no ballot lower than `ballot` in `slot`.

    Attributes:
        slot: The slot.
        ballot: The promised ballot.
        accepted_ballot: The ballot of the value accepted so far; 0 if none was accepted.
        accepted_value: The value accepted so far; NO_VALUE if none was accepted.
    """

    slot: int
    ballot: int
    accepted_ballot: int
    accepted_value: bytes


@dataclass(frozen=True, slots=True)
class Accepted:
    """The acceptance of the proposed value in `slot` at `ballot`."""

    slot: int
    ballot: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The rejection of a request in `slot`, because the higher `ballot` is already promised."""

    slot: int
    ballot: int


@dataclass(slots=True)
class Acceptor:
    """The promise and the accepted value of one member in the open slot. All fields are durable."""

    store_id: int
    slot: int
    promised_ballot: int = 0
    accepted_ballot: int = 0  # 0: nothing accepted
    accepted_value: bytes = NO_VALUE

    def prepare(self, slot: int, ballot: int) -> Promised | Rejected | None:
        """Phase 1b: promises a ballot. Returns None if `slot` is not the open slot."""
        if slot != self.slot:
            return None
        if ballot < self.promised_ballot:
            return Rejected(slot, self.promised_ballot)
        self.promised_ballot = ballot
        return Promised(slot, ballot, self.accepted_ballot, self.accepted_value)

    def accept(self, slot: int, ballot: int, value: bytes) -> Accepted | Rejected | None:
        """Phase 2b: accepts a value. Returns None if `slot` is not the open slot.

        The caller passes only a value whose complete state this member has and has checked.
        """
        if slot != self.slot:
            return None
        if ballot < self.promised_ballot:
            return Rejected(slot, self.promised_ballot)
        self.promised_ballot = self.accepted_ballot = ballot
        self.accepted_value = value
        return Accepted(slot, ballot)

    def close_slot(self, slot: int) -> bool:
        """Opens the slot after a decided one. Returns False if the decision was known already."""
        if slot < self.slot:
            return False
        self.slot, self.promised_ballot, self.accepted_ballot, self.accepted_value = slot + 1, 0, 0, NO_VALUE
        return True


@dataclass(slots=True)
class Proposer:
    """One round of a proposer in one slot. It is not durable: a new attempt uses a higher round.

    Attributes:
        member: The proposer's member number.
        slot: The slot.
        own_value: The value proposed unless an acceptor reports an accepted value.
        voters: The store ids that count in this slot, by member.
        round_number: The round, which is the high part of the ballot.
        value: The value of phase 2; NO_VALUE during phase 1.
        chosen: Whether a quorum has accepted `value`.
    """

    member: int
    slot: int
    own_value: bytes
    voters: Mapping[int, int]
    round_number: int
    _promises: dict[int, Promised] = field(default_factory=dict)
    _accepts: set[int] = field(default_factory=set)
    value: bytes = NO_VALUE
    chosen: bool = False

    @property
    def ballot(self) -> int:
        """The ballot of this round."""
        return make_ballot(self.round_number, self.member)

    @property
    def quorum(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def on_promise(self, member: int, store_id: int, promised: Promised) -> bool:
        """Records a promise. Returns whether it completes a quorum, so that phase 2a begins."""
        if self.value != NO_VALUE or promised.slot != self.slot or promised.ballot != self.ballot:
            return False
        if self.voters.get(member) != store_id:
            return False
        self._promises[member] = promised
        if len(self._promises) < self.quorum:
            return False
        highest = max(self._promises.values(), key=lambda promise: promise.accepted_ballot)
        self.value = highest.accepted_value if highest.accepted_ballot else self.own_value
        return True

    def on_accepted(self, member: int, store_id: int, accepted: Accepted) -> bool:
        """Records an acceptance. Returns whether it completes a quorum, so that the value is chosen."""
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
        """Returns the voters that have not answered in the current phase."""
        answered = self._accepts if self.value != NO_VALUE else self._promises
        return tuple(member for member in self.voters if member not in answered)
