"""One member as a proposer: the check of a change by all members, then its vote, until it is decided."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from lemonridge.fleet.datagrams import (
    Accept,
    AcceptReply,
    BallotRejected,
    CheckReply,
    CheckRequest,
    Chosen,
    Prepare,
    Promise,
)
from lemonridge.rollout import policy_document
from lemonridge.rollout.ballot_acceptor import BallotAcceptor
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.paxos import NO_VALUE, Accepted, Promised, Proposer, is_quorum
from lemonridge.rollout.policy_document import PolicyState
from lemonridge.rollout.state_transfer import StateTransfer
from lemonridge.rollout.vote_log import VoteLog

CHECK_SILENCE_US = 800_000  # a member that has not answered the check after this counts as down
GIVE_UP_US = 5_000_000  # until the outcome is called unknown: what was proposed may still be decided
RESEND_US = 120_000  # between two messages that were not answered
BACKOFF_US = 150_000  # mean pause of a proposer whose ballot was rejected
BACKOFF_JITTER = (0.3, 1.7)  # of the mean
RESULTS_MAX = 8  # outcomes that are kept for operators


class ChangeOutcome(Enum):
    """What became of a change; the value is what operators see."""

    IN_FORCE = "in force"  # decided
    NOWHERE = "nowhere"  # never decided
    ANOTHER = "another"  # another change was decided in its slot
    UNKNOWN = "unknown"  # put to the vote, and not known to be decided


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The outcome of a change, the reason of a failure, and the epoch of a decision."""

    outcome: ChangeOutcome
    reason: str = ""
    epoch: int = 0
    is_rejection: bool = False  # by a member or an operator: the same change again ends the same way


@dataclass(slots=True)
class Change:
    """A change that this member proposes: its own, or one of another member that it takes over."""

    data: bytes  # the encoded state
    digest: bytes
    slot: int
    begun_us: int
    is_own: bool = True
    check_answers: dict[int, str | None] = field(default_factory=dict)  # by member; None: it could
    proposer: Proposer | None = None  # once it is put to the vote
    sent_us: int = 0
    backoff_until_us: int = 0


class ChangeProposals:
    """The change under way at this member, and the results of the last ones.

    `on_chosen` is called with the slot, the digest and the time once a quorum has accepted a value.
    """

    def __init__(
        self,
        context: MemberContext,
        log: VoteLog,
        transfer: StateTransfer,
        acceptor: BallotAcceptor,
        on_chosen: Callable[[int, bytes, int], None],
    ) -> None:
        self._context, self._log, self._transfer, self._acceptor = context, log, transfer, acceptor
        self._on_chosen = on_chosen
        self.change: Change | None = None
        self.results: list[ChangeResult] = []
        self.results_ended = 0  # how many results there were in all
        log.documents.in_use.append(self._digests_in_use)

    def _digests_in_use(self) -> set[bytes]:
        if self.change is None:
            return set()
        proposer = self.change.proposer
        return {self.change.digest, proposer.value if proposer is not None else NO_VALUE}

    def begin(self, state: PolicyState, now_us: int, *, is_own: bool = True) -> None:
        """Begins the change to a state.

        Raises:
            PolicyError: The state cannot be encoded.
        """
        data = policy_document.encode(state)
        digest = self._log.documents.add(data)
        self.change = Change(data, digest, state.epoch, now_us, is_own)
        self.change.check_answers[self._context.number] = None
        self._context.counts["changes"] += 1
        self.advance(now_us)

    def take_over(self, now_us: int) -> None:
        """Proposes what this member accepted and nobody finished."""
        acceptor = self._log.acceptor
        digest = acceptor.accepted_value
        self._context.counts["taken_over"] += 1
        self.change = Change(self._log.documents[digest], digest, acceptor.slot, now_us, is_own=False)
        self._begin_vote(self.change, now_us)

    def abort(self) -> bool:
        """Ends this member's own change. False where there is none, or it is put to the vote already."""
        if self.change is None or not self.change.is_own or self.change.proposer is not None:
            return False
        self._end(ChangeResult(ChangeOutcome.NOWHERE, "called off", is_rejection=True))
        return True

    def on_decided(self, slot: int, digest: bytes) -> None:
        """Ends the change whose slot is decided."""
        if self.change is None or self.change.slot > slot:
            return
        if self.change.digest == digest:
            self._end(ChangeResult(ChangeOutcome.IN_FORCE, epoch=slot))
        else:
            self._end(ChangeResult(ChangeOutcome.ANOTHER, "another change came first", slot))

    def _end(self, result: ChangeResult) -> None:
        if self.change is not None and self.change.is_own:
            self.results.append(result)
            self.results_ended += 1
            del self.results[:-RESULTS_MAX]
        self.change = None

    def advance(self, now_us: int) -> None:
        """Takes the next step of the change under way, if it is time."""
        change = self.change
        if change is None:
            return
        if now_us - change.begun_us > GIVE_UP_US:
            reason = "no majority of the voters answers"
            self._end(
                ChangeResult(ChangeOutcome.UNKNOWN, f"{reason}; it may still be decided")
                if change.proposer is not None
                else ChangeResult(ChangeOutcome.NOWHERE, reason)
            )
        elif change.proposer is None:
            self._advance_check(change, now_us)
        elif now_us >= change.backoff_until_us and now_us - change.sent_us >= RESEND_US:
            self._send_phase(change, now_us)

    def _advance_check(self, change: Change, now_us: int) -> None:
        """Asks all members whether they could decide by the state, then puts it to the vote.

        Of those who vote afterwards a majority must have answered too, or nothing could be decided any more.
        """
        for member, reason in change.check_answers.items():
            if reason is not None:
                named = f"{self._context.names[member]}: {reason}"
                self._end(ChangeResult(ChangeOutcome.NOWHERE, named, is_rejection=True))
                return
        silent = [member for member in range(len(self._context.names)) if member not in change.check_answers]
        if not silent or (
            now_us - change.begun_us >= CHECK_SILENCE_US and self._voters_have_answered(change)
        ):
            self._begin_vote(change, now_us)
        elif now_us - change.sent_us >= RESEND_US:
            change.sent_us = now_us
            for member in silent:
                self._context.send(member, CheckRequest(change.slot, change.digest))

    def _voters_have_answered(self, change: Change) -> bool:
        """Whether a majority has, both of those who vote now and of those who vote afterwards."""
        return all(
            is_quorum(sum(member in change.check_answers for member in voters), len(voters))
            for voters in (
                self._context.voters_of(self._log.state),
                self._context.voters_of(policy_document.decode(change.data)),
            )
        )

    def on_check_reply(self, member: int, message: CheckReply, now_us: int) -> None:
        """Records a member's answer to the check."""
        change = self.change
        if change is None or change.proposer is not None or message.digest != change.digest:
            return
        reason = message.reason.rstrip(b"\0").decode("utf-8", "replace") or "it cannot"
        change.check_answers[member] = None if message.is_accepted else reason
        self.advance(now_us)

    def _begin_vote(self, change: Change, now_us: int) -> None:
        change.proposer = Proposer(
            self._context.number,
            change.slot,
            change.digest,
            self._context.voters_of(self._log.state),
            self._acceptor.next_round(),
        )
        self._send_phase(change, now_us)

    def resume_vote(self, now_us: int) -> None:
        """Goes on with the vote: a state that it may have waited for has arrived."""
        if self.change is not None and self.change.proposer is not None:
            self._send_phase(self.change, now_us)

    def _send_phase(self, change: Change, now_us: int) -> None:
        """Sends each voter the message of the phase under way that it has not answered."""
        proposer = change.proposer
        assert proposer is not None
        change.sent_us = now_us
        if proposer.value != NO_VALUE and proposer.value not in self._log.documents:
            return  # another member's value, which is being transferred
        for member in proposer.unanswered():
            message = (
                Prepare(proposer.slot, proposer.ballot)
                if proposer.value == NO_VALUE
                else Accept(proposer.slot, proposer.ballot, proposer.value)
            )
            if member == self._context.number:
                self._vote_itself(message, now_us)
            else:
                self._context.send(member, message)
            if self.change is not change or change.proposer is not proposer:
                return  # its own vote was the last that was needed, or was a rejection

    def _vote_itself(self, message: Prepare | Accept, now_us: int) -> None:
        number = self._context.number
        answer = (
            self._acceptor.on_prepare(message)
            if isinstance(message, Prepare)
            else self._acceptor.on_accept(number, message, now_us)
        )
        if isinstance(answer, Promise):
            self.on_promise(number, answer, now_us)
        elif isinstance(answer, AcceptReply):
            self.on_accepted(number, answer, now_us)
        elif answer is not None:
            self.on_rejected(answer, now_us)

    def on_promise(self, member: int, message: Promise, now_us: int) -> None:
        """Records a promise; with the last that is needed phase 2 begins."""
        change = self.change
        if change is None or change.proposer is None:
            return
        proposer = change.proposer
        promised = Promised(message.slot, message.ballot, message.accepted_ballot, message.digest)
        if proposer.on_promise(member, message.store_id, promised):
            if proposer.value not in self._log.documents:
                self._transfer.begin(proposer.value, 0, member, now_us)
            self._send_phase(change, now_us)

    def on_accepted(self, member: int, message: AcceptReply, now_us: int) -> None:
        """Records an acceptance; with the last that is needed the value is chosen, and all are told."""
        if self.change is None or self.change.proposer is None:
            return
        proposer = self.change.proposer
        if proposer.on_accepted(member, message.store_id, Accepted(message.slot, message.ballot)):
            self._context.broadcast(Chosen(proposer.slot, proposer.value))
            self._on_chosen(proposer.slot, proposer.value, now_us)

    def on_rejected(self, message: BallotRejected, now_us: int) -> None:
        """Another proposer has a higher ballot: a higher round begins after a random pause."""
        self._acceptor.observe(message.ballot)
        change = self.change
        if change is None or change.proposer is None or message.slot != change.proposer.slot:
            return
        proposer = change.proposer
        if message.ballot > proposer.ballot:
            pause_us = BACKOFF_US * self._context.random.uniform(*BACKOFF_JITTER)
            change.backoff_until_us = now_us + int(pause_us)
            self._acceptor.highest_round += 1
            change.proposer = Proposer(
                self._context.number,
                proposer.slot,
                change.digest,
                proposer.voters,
                self._acceptor.highest_round,
            )
