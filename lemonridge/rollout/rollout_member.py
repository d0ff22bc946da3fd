"""The state machine of one broker in the rollout of policy changes. Pure.

A member votes on proposed policy states, proposes states, learns decisions and exchanges leases. `handle`,
`tick` and the operators' calls queue actions, which `take_actions` returns in the order in which they must be
done: a vote is persisted before the message that depends on it is sent.

A policy change proceeds in these steps:

1. Check: the proposer asks every member whether it can decide by the new state, which also transfers the
   state to that member. One rejection ends the change. A member that does not answer within CHECK_TIMEOUT_US
   counts as down.
2. Vote: a majority of the voters accepts the state. From that moment no lease of the previous epoch is
   renewed.
3. Switch: a member that learns the decision uses the stricter combination of the previous and the new policy
   at once, and the new policy alone as soon as no lease of the previous epoch is outstanding.

A slot has the number of the epoch that its decision creates. The modules `vote_log` (durable data),
`ballot_acceptor` and `change_proposal` (the two Paxos roles of `paxos`), `state_transfer`, `lease_exchange`
(on top of `leases`) and `emergency` handle one concern each.
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

REASON_BYTES_MAX = 100  # maximum length of the reason in a CheckReply


class Sender(NamedTuple):
    """The sender of a message.

    Attributes:
        member: The sender's member number.
        incarnation: The sender's incarnation, drawn at each start.
    """

    member: int
    incarnation: int


class RolloutMember:
    """One broker as a member of the rollout; dispatches each event to the component that handles it.

    Args:
        number: This broker's member number, an index into `names`.
        names: The names of all members, in the order of the operator's file.
        incarnation: This broker's incarnation, drawn at each start.
        genesis: The state of epoch 0, from the brokers' own files.
        record: The record in the vote store, or None if there is no usable store.
        new_store_id: The id of the new vote store if `record` is None.
        validate: Raises PolicyError if this broker cannot decide by a policy.
        seed: The seed of the random pauses.
        now_us: The current time in microseconds.
        lease_us: The length of a lease in microseconds.
        clock_error_us: The maximum error between two clocks over one lease, in microseconds.

    Raises:
        PolicyError: The state in the record is invalid.
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
        self.policy_error = self._check.policy_error()  # why this broker cannot use the policy in force
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
        """The newest decided state that this member knows."""
        return self.log.state

    @property
    def is_voter(self) -> bool:
        """Whether this broker's votes count."""
        return self.log.is_voter

    @property
    def counts(self) -> dict[str, int]:
        """The member's counters, by the names that operators see."""
        return self._context.counts

    def take_actions(self) -> list[RolloutAction]:
        """Returns the queued actions in the order in which they must be done, and clears the queue."""
        actions, self._context.actions = self._context.actions, []
        return actions

    def epochs_in_use(self, now_us: int) -> EpochInterval:
        """Returns the epochs that this broker decides by now, or NO_EPOCHS if it uses the floor."""
        is_usable = self.policy_error is None and self.leases.holder.is_valid(now_us)
        return self.leases.holder.in_use if is_usable else NO_EPOCHS

    def policy_for(self, epochs: EpochInterval) -> Policy:
        """Returns the policy to decide by while the given epochs are in use."""
        if epochs == NO_EPOCHS or epochs[1] != self.state.epoch:
            return self.state.floor
        if epochs[0] == epochs[1]:
            return self.state.policy
        previous = self.log.previous
        previous_policy = previous.policy if previous is not None else self.state.floor
        return policy_document.stricter(previous_policy, self.state.policy)

    def check_policy(self, policy: Policy) -> None:
        """Checks that this broker can decide by a policy.

        Raises:
            FloorError: The policy allows less than the floor.
            PolicyError: The broker's own settings are incompatible with the policy.
        """
        self._check.check_policy(policy)

    # Operators' calls

    def check_can_propose(self, now_us: int) -> None:
        """Checks that this broker can begin a change now.

        Raises:
            ChangeRejectedError: Another change is under way at this broker, or it may not know the newest
                state.
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
        """Begins a change of policy. Its outcome is appended to `proposals.results`.

        Raises:
            ChangeRejectedError: The change cannot begin now, or the policy equals the one in force.
            PolicyError: This broker cannot decide by the policy.
        """
        self.check_can_propose(now_us)
        if policy == self.state.policy:
            raise ChangeRejectedError("nothing differs")
        self.check_policy(policy)
        state = policy_document.next_state(self.state, policy, self._context.name, note)
        self.proposals.begin(state, now_us)

    def admit(self, now_us: int) -> None:
        """Begins a change that makes this broker a voter.

        Raises:
            ChangeRejectedError: The change cannot begin now, or this broker is a voter already.
            PolicyError: The new set of voters is invalid, or the state cannot be encoded.
        """
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
        """Begins a change that removes a broker from the voters.

        Raises:
            ChangeRejectedError: The change cannot begin now, or the named broker is not a voter.
            PolicyError: The new set of voters is invalid, or the state cannot be encoded.
        """
        self.check_can_propose(now_us)
        if voter not in self.state.voters:
            raise ChangeRejectedError(f"'{voter}' does not vote")
        state = policy_document.state_without_voter(self.state, voter, self._context.name)
        self._check.check_voter_change(state)
        self.proposals.begin(state, now_us)

    def abort(self) -> bool:
        """Aborts this broker's own change if its vote has not begun. Returns whether it was aborted."""
        return self.proposals.abort()

    def force(self, lost_voters: Collection[str], note: str, now_us: int) -> None:
        """Performs the emergency call: continues without voters that are permanently lost.

        No majority decides the new state. If the lost voters are only partitioned, they may use another
        policy until this decision reaches them; it then replaces everything that they decided meanwhile.

        Raises:
            EmergencyRejectedError: The conditions of the call do not hold (`EmergencyCall.next_state`).
            PolicyError: The new state cannot be encoded.
        """
        state = self._emergency.next_state(lost_voters, note, now_us)
        data = policy_document.encode(state)
        self.counts["emergencies"] += 1
        digest = self.log.documents.add(data)
        self._context.broadcast(Chosen(state.epoch, digest))
        self._on_decided(state.epoch, digest, now_us)

    # Decisions

    def _on_decided(self, slot: int, digest: bytes, now_us: int) -> None:
        """Applies the decision of a slot, whose state is in the document cache."""
        if slot <= self.state.epoch:
            return
        self.log.record_decision(slot, digest)
        self.policy_error = self._check.policy_error()
        self.leases.on_decided(slot, now_us)
        self.proposals.on_decided(slot, digest)
        self.transfer.on_decided(slot)
        self.leases.request(now_us)

    def _learn_decision(self, source: int, slot: int, digest: bytes, now_us: int) -> None:
        """Applies a decision that another member reported, after transferring its state if necessary."""
        if slot <= self.state.epoch:
            return
        if digest in self.log.documents:
            self._on_decided(slot, digest, now_us)
        else:
            self.transfer.begin(digest, slot, source, now_us)

    # Events

    def handle(self, member: int, incarnation: int, item: Item, now_us: int) -> None:
        """Handles a message from a member; messages of other protocols are ignored."""
        handler = self._handlers.get(type(item))
        if handler is not None:
            handler(Sender(member, incarnation), item, now_us)

    def _handle_lease_request(self, sender: Sender, message: LeaseRequest, now_us: int) -> None:
        self.leases.answer_request(sender.member, sender.incarnation, message, now_us)

    def _handle_lease_reply(self, sender: Sender, message: LeaseReply, now_us: int) -> None:
        self.leases.record_message(sender.member, message.epoch, now_us)
        self._learn_decision(sender.member, message.epoch, message.digest, now_us)
        self.leases.record_reply(sender.member, message, now_us)

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
        """Replies whether this broker can decide by a state; first transfers a state that it lacks."""
        epoch = self.state.epoch
        if message.slot > epoch + 1 or (message.slot <= epoch and message.digest != self.log.digest):
            return  # this member or the sender missed a decision; the next lease message corrects that
        data = self.log.documents.get(message.digest)
        if data is None:
            self.transfer.begin(message.digest, 0, sender.member, now_us).pending_check = message
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
        transfer = self.transfer.add_chunk(message, now_us)
        if transfer is None:
            return
        if transfer.decided_slot:
            self._on_decided(transfer.decided_slot, message.digest, now_us)
        if transfer.pending_check is not None:
            source = Sender(transfer.source, sender.incarnation)
            self._handle_check_request(source, transfer.pending_check, now_us)
        self.proposals.resume_vote(now_us)

    def _handle_chosen(self, sender: Sender, message: Chosen, now_us: int) -> None:
        self._learn_decision(sender.member, message.slot, message.digest, now_us)

    def tick(self, now_us: int) -> None:
        """Renews leases, resends unanswered messages and takes over unfinished changes, as time passes."""
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
            with suppress(PolicyError):  # with one more history line the state may be too long
                self.proposals.begin(self._state_with_own_vote(), now_us, is_own=False)
        self.proposals.advance(now_us)

    def _needs_admission(self) -> bool:
        """Returns whether the newest state lists this broker as a voter, but with another store id."""
        return not self.is_voter and self._context.name in self.state.voters

    def next_tick_us(self, now_us: int) -> int:
        """Returns the time by which `tick` must be called next."""
        is_busy = (
            self.proposals.change is not None
            or self.transfer.transfers
            or self.log.acceptor.accepted_ballot
            or not self.leases.holds_newest_lease(now_us)
        )
        return now_us + (SWITCH_INTERVAL_US // 2 if is_busy else self.leases.lease_us // 8)

    def status(self, now_us: int) -> dict[str, object]:
        """Returns the status that operators see, by the keys of the admin call `policy`."""
        return rollout_status.status(
            self._context,
            self.log,
            self.leases,
            self.proposals,
            self.epochs_in_use(now_us),
            self.policy_error,
            now_us,
        )
