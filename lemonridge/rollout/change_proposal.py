"""The proposer role of one member: has all members check a change, then runs the vote on it."""

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

CHECK_TIMEOUT_US = 800_000  # a member that has not replied to the check by then counts as down
CHANGE_TIMEOUT_US = 5_000_000  # an undecided change ends then; if its vote has begun, it may still be decided
RESEND_INTERVAL_US = 120_000  # between two sends of a message that was not answered
BACKOFF_MEAN_US = 150_000  # mean pause of a proposer after a rejected ballot
BACKOFF_JITTER_FACTORS = (0.3, 1.7)  # range of the pause, as multiples of the mean
RESULTS_MAX = 8  # newest results, shown to operators


class ChangeOutcome(Enum):
    """The outcome of a change; operators see the value."""

    IN_FORCE = "in force"  # decided
    NOWHERE = "nowhere"  # never decided
    ANOTHER = "another"  # another change was decided in its slot or a later one
    UNKNOWN = "unknown"  # the vote began, and it is not known whether the change was decided


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The result of a finished change.

    Attributes:
        outcome: The outcome.
        reason: Why the change failed; empty if it is in force.
        epoch: The epoch whose decision ended the change, in its slot or a later one; 0 if none did.
        is_rejection: Whether a member or an operator rejected the change. Proposing the same change again
            would have the same outcome.
    """

    outcome: ChangeOutcome
    reason: str = ""
    epoch: int = 0
    is_rejection: bool = False


@dataclass(slots=True)
class Change:
    """A change that this member proposes: its own, or one of another member that it has taken over.

    Attributes:
        data: The encoded state.
        digest: The digest of `data`.
        slot: The slot, which is the epoch of the state.
        started_us: When this member began the change.
        is_own: Whether an operator or a source began the change here. Other changes (taken over from another
            member, or this member's automatic readmission) leave no result.
        check_answers: The replies to the check by member: None if the member can decide by the state, else
            the reason why it cannot.
        proposer: The proposer of the vote; None before the vote.
        sent_us: When the messages of the current step were sent last.
        backoff_until_us: No message of the vote is sent before this time.
    """

    data: bytes
    digest: bytes
    slot: int
    started_us: int
    is_own: bool = True
    check_answers: dict[int, str | None] = field(default_factory=dict)
    proposer: Proposer | None = None
    sent_us: int = 0
    backoff_until_us: int = 0


class ChangeProposals:
    """The change under way at this member, and the results of the newest finished changes.

    Args:
        context: The member's identity and action queue.
        log: The member's durable record.
        transfer: The state transfers of the member.
        acceptor: The acceptor of this member, which votes without messages.
        on_chosen: Called with the slot, the digest and the time once a quorum has accepted a value.
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
        self.results_total = 0  # number of results since the start
        log.documents.pinned_digest_sources.append(self._digests_in_use)

    def _digests_in_use(self) -> set[bytes]:
        if self.change is None:
            return set()
        proposer = self.change.proposer
        return {self.change.digest, proposer.value if proposer is not None else NO_VALUE}

    def begin(self, state: PolicyState, now_us: int, *, is_own: bool = True) -> None:
        """Begins the change to a state, with the check by all members.

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
        """Proposes the value that this member accepted and whose proposer did not finish the vote."""
        acceptor = self._log.acceptor
        digest = acceptor.accepted_value
        self._context.counts["taken_over"] += 1
        self.change = Change(self._log.documents[digest], digest, acceptor.slot, now_us, is_own=False)
        self._begin_vote(self.change, now_us)

    def abort(self) -> bool:
        """Aborts this member's own change. Returns False if there is none or its vote has begun."""
        if self.change is None or not self.change.is_own or self.change.proposer is not None:
            return False
        self._finish(ChangeResult(ChangeOutcome.NOWHERE, "called off", is_rejection=True))
        return True

    def on_decided(self, slot: int, digest: bytes) -> None:
        """Finishes the change under way if its slot or a later one is decided."""
        if self.change is None or self.change.slot > slot:
            return
        if self.change.digest == digest:
            self._finish(ChangeResult(ChangeOutcome.IN_FORCE, epoch=slot))
        else:
            self._finish(ChangeResult(ChangeOutcome.ANOTHER, "another change came first", slot))

    def _finish(self, result: ChangeResult) -> None:
        if self.change is not None and self.change.is_own:
            self.results.append(result)
            self.results_total += 1
            del self.results[:-RESULTS_MAX]
        self.change = None

    def advance(self, now_us: int) -> None:
        """Advances the change under way: ends it after its timeout, or sends the messages that are due."""
        change = self.change
        if change is None:
            return
        if now_us - change.started_us > CHANGE_TIMEOUT_US:
            reason = "no majority of the voters answers"
            self._finish(
                ChangeResult(ChangeOutcome.UNKNOWN, f"{reason}; it may still be decided")
                if change.proposer is not None
                else ChangeResult(ChangeOutcome.NOWHERE, reason)
            )
        elif change.proposer is None:
            self._advance_check(change, now_us)
        elif now_us >= change.backoff_until_us and now_us - change.sent_us >= RESEND_INTERVAL_US:
            self._send_phase(change, now_us)

    def _advance_check(self, change: Change, now_us: int) -> None:
        """Sends check requests to the members that have not replied, and begins the vote once it may begin.

        The vote begins when all members have replied, or when those that have not count as down and a
        majority of the voters has replied. A majority of the voters of the new state must have replied as
        well, since otherwise no later change could be decided.
        """
        for member, reason in change.check_answers.items():
            if reason is not None:
                reason_with_member = f"{self._context.names[member]}: {reason}"
                self._finish(ChangeResult(ChangeOutcome.NOWHERE, reason_with_member, is_rejection=True))
                return
        silent = [member for member in range(len(self._context.names)) if member not in change.check_answers]
        if not silent or (
            now_us - change.started_us >= CHECK_TIMEOUT_US and self._majorities_have_answered(change)
        ):
            self._begin_vote(change, now_us)
        elif now_us - change.sent_us >= RESEND_INTERVAL_US:
            change.sent_us = now_us
            for member in silent:
                self._context.send(member, CheckRequest(change.slot, change.digest))

    def _majorities_have_answered(self, change: Change) -> bool:
        """Returns whether majorities of the current voters and of the new state's voters have replied."""
        return all(
            is_quorum(sum(member in change.check_answers for member in voters), len(voters))
            for voters in (
                self._context.voters_of(self._log.state),
                self._context.voters_of(policy_document.decode(change.data)),
            )
        )

    def on_check_reply(self, member: int, message: CheckReply, now_us: int) -> None:
        """Records a member's reply to the check."""
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
        """Continues the vote, which may have waited for a state whose transfer is now complete."""
        if self.change is not None and self.change.proposer is not None:
            self._send_phase(self.change, now_us)

    def _send_phase(self, change: Change, now_us: int) -> None:
        """Sends the message of the current phase to each voter that has not answered it."""
        proposer = change.proposer
        assert proposer is not None
        change.sent_us = now_us
        if proposer.value != NO_VALUE and proposer.value not in self._log.documents:
            return  # the value was proposed by another member, and its state is still being transferred
        for member in proposer.unanswered():
            message = (
                Prepare(proposer.slot, proposer.ballot)
                if proposer.value == NO_VALUE
                else Accept(proposer.slot, proposer.ballot, proposer.value)
            )
            if member == self._context.number:
                self._cast_own_vote(message, now_us)
            else:
                self._context.send(member, message)
            if self.change is not change or change.proposer is not proposer:
                return  # this member's own vote completed the quorum or rejected the ballot

    def _cast_own_vote(self, message: Prepare | Accept, now_us: int) -> None:
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
        """Records a promise, and begins phase 2 once a quorum has promised."""
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
        """Records an acceptance. Once a quorum has accepted, announces the chosen value to all members."""
        if self.change is None or self.change.proposer is None:
            return
        proposer = self.change.proposer
        if proposer.on_accepted(member, message.store_id, Accepted(message.slot, message.ballot)):
            self._context.broadcast(Chosen(proposer.slot, proposer.value))
            self._on_chosen(proposer.slot, proposer.value, now_us)

    def on_rejected(self, message: BallotRejected, now_us: int) -> None:
        """Handles a rejection by a higher ballot: begins a higher round, after a random pause."""
        self._acceptor.observe_ballot(message.ballot)
        change = self.change
        if change is None or change.proposer is None or message.slot != change.proposer.slot:
            return
        proposer = change.proposer
        if message.ballot > proposer.ballot:
            pause_us = BACKOFF_MEAN_US * self._context.random.uniform(*BACKOFF_JITTER_FACTORS)
            change.backoff_until_us = now_us + int(pause_us)
            self._acceptor.highest_round += 1
            change.proposer = Proposer(
                self._context.number,
                proposer.slot,
                change.digest,
                proposer.voters,
                self._acceptor.highest_round,
            )
