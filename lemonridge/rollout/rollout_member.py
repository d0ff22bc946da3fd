"""One broker's part in changes of policy: it votes, proposes, learns and leases. Pure.

`handle`, `tick` and the operators' calls leave actions (`take_actions`), in the order in which they must
happen: a vote is persisted before the message that rests on it is sent.

A change goes: the proposer asks every member whether it could decide by the new state, which transfers the
state there as well; one rejection makes it nowhere. Silence for CHECK_SILENCE_US counts as being down. Then a
majority of the voters agrees on it, and from that moment no lease of the epoch before is renewed. Whoever
learns of it decides by the stricter of both at once, and by the new one alone as soon as no lease of the old
one is out.

A slot is the epoch that a decision makes. Each concern is a part of its own: `vote_log` (what is durable),
`ballot_acceptor` and `change_proposal` (the two roles of the agreement in `paxos`), `state_transfer`,
`lease_exchange` (over `leases`), `emergency`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from contextlib import suppress
from random import Random
from typing import Any, NamedTuple

from lemonridge.fleet.datagrams import (
    Accept,
    AcceptReply,
    BallotRejected,
    CheckReply,
    CheckRequest,
    Chosen,
    Chunk,
    ChunkRequest,
    Item,
    LeaseReply,
    LeaseRequest,
    Prepare,
    Promise,
)
from lemonridge.rollout import policy_document, rollout_status
from lemonridge.rollout.ballot_acceptor import BallotAcceptor
from lemonridge.rollout.change_proposal import ChangeProposals
from lemonridge.rollout.emergency import EmergencyCall
from lemonridge.rollout.errors import ChangeRejectedError, PolicyError
from lemonridge.rollout.lease_exchange import (
    CLOCK_ERROR_US,
    LEASE_US,
    SWITCH_INTERVAL_US,
    LeaseExchange,
)
from lemonridge.rollout.leases import NO_EPOCHS, EpochInterval
from lemonridge.rollout.member_context import MemberContext, RolloutAction
from lemonridge.rollout.policy_document import Policy, PolicyState
from lemonridge.rollout.state_check import StateCheck, ValidatePolicy
from lemonridge.rollout.state_transfer import StateTransfer
from lemonridge.rollout.vote_log import VoteLog

REASON_BYTES_MAX = 100  # of the reason in a CheckReply


class Sender(NamedTuple):
    """Where a message came from."""

    member: int
    incarnation: int


class RolloutMember:
    """One broker; hands each event to the part that it concerns.

    Args of the constructor: `genesis` is what the brokers' own files say; `record` what the vote store holds,
    None where there is none, and then `new_store_id` is a new one's; `validate` raises PolicyError where this
    broker could not decide by a policy.

    Raises:
        PolicyError: The record's state cannot be used.
        msgspec.DecodeError: The record is malformed.
    """

    def __init__(
        self,
        number: int,
        names: tuple[str, ...],
        incarnation: int,
        genesis: PolicyState,
        record: bytes | None,
        new_store_id: int,
        validate: ValidatePolicy,
        seed: int,
        now_us: int,
        lease_us: int = LEASE_US,
        clock_error_us: int = CLOCK_ERROR_US,
    ) -> None:
        self._context = MemberContext(number, names, incarnation, Random(f"{seed}/rollout"))
        self.log = VoteLog(self._context, genesis, record, new_store_id)
        self._check = StateCheck(self._context, self.log, validate)
        self.policy_error = self._check.policy_error()  # why it cannot decide by the policy in force
        self.transfer = StateTransfer(self._context, self.log.documents)
        self._acceptor = BallotAcceptor(self._context, self.log, self.transfer, now_us)
        self.proposals = ChangeProposals(
            self._context, self.log, self.transfer, self._acceptor, self._on_decided
        )
        self.leases = LeaseExchange(self._context, self.log, lease_us, clock_error_us, now_us)
        self._emergency = EmergencyCall(self._context, self.log, self.leases, now_us)
        self._handlers: dict[type[Item], Callable[[Sender, Any, int], None]] = {
            LeaseRequest: self._handle_lease_request,
            LeaseReply: self._handle_lease_reply,
            Prepare: self._handle_prepare,
            Accept: self._handle_accept,
            Promise: self._handle_promise,
            AcceptReply: self._handle_accept_reply,
            BallotRejected: self._handle_ballot_rejected,
            CheckRequest: self._handle_check_request,
            CheckReply: self._handle_check_reply,
            ChunkRequest: self._handle_chunk_request,
            Chunk: self._handle_chunk,
            Chosen: self._handle_chosen,
        }

    # State

    @property
    def state(self) -> PolicyState:
        """The newest decided state."""
        return self.log.state

    @property
    def is_voter(self) -> bool:
        """Whether this broker's votes count."""
        return self.log.is_voter

    @property
    def counts(self) -> dict[str, int]:
        """Counters, by the operators' names."""
        return self._context.counts

    def take_actions(self) -> list[RolloutAction]:
        """The actions that are to be done, in order; they are the caller's from now on."""
        actions, self._context.actions = self._context.actions, []
        return actions

    def epochs_in_use(self, now_us: int) -> EpochInterval:
        """The epochs that it decides by at this moment; NO_EPOCHS: by the floor alone."""
        usable = self.policy_error is None and self.leases.holder.is_valid(now_us)
        return self.leases.holder.in_use if usable else NO_EPOCHS

    def policy_for(self, epochs: EpochInterval) -> Policy:
        """The policy to decide by under some epochs in use."""
        if epochs == NO_EPOCHS or epochs[1] != self.state.epoch:
            return self.state.floor
        if epochs[0] == epochs[1]:
            return self.state.policy
        previous = self.log.previous
        before = previous.policy if previous is not None else self.state.floor
        return policy_document.stricter(before, self.state.policy)

    def check_policy(self, policy: Policy) -> None:
        """Checks that this broker could decide by a policy; PolicyError if not."""
        self._check.check_policy(policy)

    # Operators' calls

    def check_can_propose(self, now_us: int) -> None:
        """Checks that a change can begin here now.

        Raises:
            ChangeRejectedError: Another one is under way, or this broker may not know the newest state.
        """
        if self.proposals.change is not None:
            raise ChangeRejectedError("a change is under way")
        if not self._uses_newest_epoch_alone(now_us):
            raise ChangeRejectedError(
                "this broker holds no lease of the policy in force alone, so it may not know the newest"
            )

    def _uses_newest_epoch_alone(self, now_us: int) -> bool:
        return self.epochs_in_use(now_us) == (self.state.epoch, self.state.epoch)

    def propose(self, policy: Policy, note: str, now_us: int) -> None:
        """Begins a change of policy. Its outcome is shown in `proposals.results`.

        Raises:
            ChangeRejectedError: It cannot begin now, or changes nothing.
            PolicyError: This broker could not decide by the policy.
        """
        self.check_can_propose(now_us)
        if policy == self.state.policy:
            raise ChangeRejectedError("nothing differs")
        self.check_policy(policy)
        state = policy_document.next_state(self.state, policy, self._context.name, note)
        self.proposals.begin(state, now_us)

    def admit(self, now_us: int) -> None:
        """Begins to let this broker vote; raises as `propose` does."""
        self.check_can_propose(now_us)
        if self.is_voter:
            raise ChangeRejectedError("it votes already")
        state = self._state_with_own_vote()
        self._check.check_voter_change(state)
        self.proposals.begin(state, now_us)

    def _state_with_own_vote(self) -> PolicyState:
        name = self._context.name
        return policy_document.state_with_voter(self.state, name, self.log.store_id, name)

    def retire(self, voter: str, now_us: int) -> None:
        """Begins to take a voter's vote away; raises as `propose` does."""
        self.check_can_propose(now_us)
        if voter not in self.state.voters:
            raise ChangeRejectedError(f"'{voter}' does not vote")
        state = policy_document.state_without_voter(self.state, voter, self._context.name)
        self._check.check_voter_change(state)
        self.proposals.begin(state, now_us)

    def abort(self) -> bool:
        """Ends this broker's change, if it is not put to the vote yet; whether there was one."""
        return self.proposals.abort()

    def force(self, lost_voters: Collection[str], note: str, now_us: int) -> None:
        """The emergency call.

        Goes on without voters that are lost for good. No majority decides it: if the lost are only cut off,
        they may use another policy until this decision reaches them, and what they decide is void.

        Raises:
            EmergencyRejectedError: Its conditions do not hold (`EmergencyCall.next_state`).
            PolicyError: The new state cannot be encoded.
        """
        state = self._emergency.next_state(lost_voters, note, now_us)
        data = policy_document.encode(state)
        self.counts["emergencies"] += 1
        digest = self.log.documents.add(data)
        self._context.broadcast(Chosen(state.epoch, digest))
        self._on_decided(state.epoch, digest, now_us)

    # Learning

    def _on_decided(self, slot: int, digest: bytes, now_us: int) -> None:
        """A slot is decided, and its state is among the documents."""
        if slot <= self.state.epoch:
            return
        self.log.decide(slot, digest)
        self.policy_error = self._check.policy_error()
        self.leases.on_decided(slot, now_us)
        self.proposals.on_decided(slot, digest)
        self.transfer.on_decided(slot)
        self.leases.request(now_us)

    def _learn(self, source: int, slot: int, digest: bytes, now_us: int) -> None:
        """A member says what a slot's decision is."""
        if slot <= self.state.epoch:
            return
        if digest in self.log.documents:
            self._on_decided(slot, digest, now_us)
        else:
            self.transfer.begin(digest, slot, source, now_us)

    # Events

    def handle(self, member: int, incarnation: int, item: Item, now_us: int) -> None:
        """A message arrived from a member's incarnation; one of another concern is ignored."""
        handler = self._handlers.get(type(item))
        if handler is not None:
            handler(Sender(member, incarnation), item, now_us)

    def _handle_lease_request(self, sender: Sender, message: LeaseRequest, now_us: int) -> None:
        self.leases.answer(sender.member, sender.incarnation, message, now_us)

    def _handle_lease_reply(self, sender: Sender, message: LeaseReply, now_us: int) -> None:
        self.leases.record_message(sender.member, message.epoch, now_us)
        self._learn(sender.member, message.epoch, message.digest, now_us)
        self.leases.record_answer(sender.member, message, now_us)

    def _handle_prepare(self, sender: Sender, message: Prepare, now_us: int) -> None:
        answer = self._acceptor.on_prepare(message)
        if answer is not None:
            self._context.send(sender.member, answer)

    def _handle_accept(self, sender: Sender, message: Accept, now_us: int) -> None:
        answer = self._acceptor.on_accept(sender.member, message, now_us)
        if answer is not None:
            self._context.send(sender.member, answer)

    def _handle_promise(self, sender: Sender, message: Promise, now_us: int) -> None:
        self.proposals.on_promise(sender.member, message, now_us)

    def _handle_accept_reply(self, sender: Sender, message: AcceptReply, now_us: int) -> None:
        self.proposals.on_accepted(sender.member, message, now_us)

    def _handle_ballot_rejected(self, sender: Sender, message: BallotRejected, now_us: int) -> None:
        self.proposals.on_rejected(message, now_us)

    def _handle_check_request(self, sender: Sender, message: CheckRequest, now_us: int) -> None:
        """Answers whether this broker could decide by a state, which is transferred first."""
        epoch = self.state.epoch
        if message.slot > epoch + 1 or (message.slot <= epoch and message.digest != self.log.digest):
            return  # one of the two missed a decision, which the next lease message corrects
        data = self.log.documents.get(message.digest)
        if data is None:
            self.transfer.begin(message.digest, 0, sender.member, now_us).check = message
            return
        try:
            self._check.check_document(data)
            reason = ""
        except PolicyError as error:
            reason = str(error)
            self.counts["refused"] += 1
        reason_bytes = reason.encode()[:REASON_BYTES_MAX]
        self._context.send(sender.member, CheckReply(message.slot, message.digest, not reason, reason_bytes))

    def _handle_check_reply(self, sender: Sender, message: CheckReply, now_us: int) -> None:
        self.proposals.on_check_reply(sender.member, message, now_us)

    def _handle_chunk_request(self, sender: Sender, message: ChunkRequest, now_us: int) -> None:
        self.transfer.serve_chunk(sender.member, message)

    def _handle_chunk(self, sender: Sender, message: Chunk, now_us: int) -> None:
        complete = self.transfer.add_chunk(message, now_us)
        if complete is None:
            return
        if complete.decided_slot:
            self._on_decided(complete.decided_slot, message.digest, now_us)
        if complete.check is not None:
            source = Sender(complete.source, sender.incarnation)
            self._handle_check_request(source, complete.check, now_us)
        self.proposals.resume_vote(now_us)

    def _handle_chosen(self, sender: Sender, message: Chosen, now_us: int) -> None:
        self._learn(sender.member, message.slot, message.digest, now_us)

    def tick(self, now_us: int) -> None:
        """Time has passed: renews leases, repeats messages, takes over changes that nobody finishes."""
        self.leases.tick(now_us)
        self.transfer.tick(now_us)
        if self.proposals.change is None and self.is_voter and self.log.acceptor.accepted_ballot:
            if self._acceptor.take_over_due(now_us):
                self.proposals.take_over(now_us)
        elif (
            self._needs_admission()
            and self.proposals.change is None
            and self._uses_newest_epoch_alone(now_us)
        ):
            with suppress(PolicyError):  # the state is too long with one more line of history
                self.proposals.begin(self._state_with_own_vote(), now_us, is_own=False)
        self.proposals.advance(now_us)

    def _needs_admission(self) -> bool:
        """Whether this broker is one of the voters, and its store another than theirs."""
        return not self.is_voter and self._context.name in self.state.voters

    def next_tick_us(self, now_us: int) -> int:
        """When `tick` is to be called next, at the latest."""
        is_busy = (
            self.proposals.change is not None
            or self.transfer.transfers
            or self.log.acceptor.accepted_ballot
            or not self.leases.is_settled(now_us)
        )
        return now_us + (SWITCH_INTERVAL_US // 2 if is_busy else self.leases.lease_us // 8)

    def status(self, now_us: int) -> dict[str, object]:
        """What operators are shown, by the keys of the admin call `policy`."""
        return rollout_status.status(
            self._context,
            self.log,
            self.leases,
            self.proposals,
            self.epochs_in_use(now_us),
            self.policy_error,
            now_us,
        )
