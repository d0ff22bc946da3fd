"""The lease messages of one member: its requests to the voters, and its replies to other members."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.fleet.datagrams import Chosen, LeaseReply, LeaseRequest
from lemonridge.rollout.leases import NO_EPOCHS, EpochInterval, LeaseGrantor, LeaseHolder
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.vote_log import VoteLog

# Default lease. A dead broker delays a switch by one lease; a shorter lease costs more messages.
LEASE_US = 2_000_000
CLOCK_ERROR_US = 50_000  # default maximum error between two clocks over one lease
RENEWALS_PER_LEASE = 4
SWITCH_INTERVAL_US = 60_000  # between two lease requests during a switch to a new epoch
# An emergency call uses an epoch past the next multiple, which the lost voters do not reach.
EMERGENCY_EPOCH_STEP = 1 << 16


@dataclass(frozen=True, slots=True)
class LastLeaseMessage:
    """The newest lease message of a member.

    Attributes:
        epoch: The epoch in the message.
        received_at_us: When the message arrived.
    """

    epoch: int
    received_at_us: int


class LeaseExchange:
    """The lease that this member holds, and the grants that it issues as a voter."""

    def __init__(
        self, context: MemberContext, log: VoteLog, lease_us: int, clock_error_us: int, now_us: int
    ) -> None:
        self._context, self._log, self.lease_us = context, log, lease_us
        self.grantor = LeaseGrantor(lease_us, clock_error_us, now_us)
        self.holder = LeaseHolder(lease_us, tuple(context.voters_of(log.state)), target_epoch=log.state.epoch)
        self.last_messages: dict[int, LastLeaseMessage] = {}  # by member
        self._requested_us = now_us - lease_us

    def holds_newest_lease(self, now_us: int) -> bool:
        """Returns whether this member holds a valid lease of the newest epoch alone."""
        alone = (self._log.state.epoch, self._log.state.epoch)
        return self.holder.in_use == alone and self.holder.is_valid(now_us)

    def on_decided(self, slot: int, now_us: int) -> None:
        """Applies a decided slot, whose state is already in the log.

        The next lease request is due at once.
        """
        self.holder.on_epoch(slot, tuple(self._context.voters_of(self._log.state)), now_us)
        self._requested_us = 0

    def tick(self, now_us: int) -> None:
        """Sends a lease request if one is due."""
        interval_us = (
            self.lease_us // RENEWALS_PER_LEASE if self.holds_newest_lease(now_us) else SWITCH_INTERVAL_US
        )
        if now_us - self._requested_us >= interval_us:
            self.request(now_us)

    def request(self, now_us: int) -> None:
        """Requests a lease from every voter."""
        context, log = self._context, self._log
        self._requested_us = now_us
        request_id, in_use, target_epoch = self.holder.new_request(now_us)
        grantors = self.holder.grantors()
        if log.state.epoch >= EMERGENCY_EPOCH_STEP:
            # Members with another set of voters would not learn of the emergency epoch otherwise.
            others = [member for member in range(len(context.names)) if member not in grantors]
            if others:
                context.send(context.random.choice(others), Chosen(log.state.epoch, log.digest))
        for member in grantors:
            if member == context.number:
                granted = self._grant(
                    member, context.incarnation, request_id, in_use, target_epoch, log.digest, now_us
                )
                if log.is_voter:
                    self.holder.record_grant(member, request_id, granted, now_us)
            else:
                low, high = _to_wire(in_use)
                context.send(member, LeaseRequest(request_id, low, high, target_epoch, log.digest))

    def _grant(
        self,
        member: int,
        incarnation: int,
        request_id: int,
        in_use: EpochInterval,
        target_epoch: int,
        digest: bytes,
        now_us: int,
    ) -> EpochInterval:
        """Grants epochs to a member as a voter; NO_EPOCHS if this member is no voter or states differ."""
        log = self._log
        newest_epoch = log.acceptor.slot if log.acceptor.accepted_ballot else log.state.epoch
        if not log.is_voter or (target_epoch == log.state.epoch and digest != log.digest):
            return NO_EPOCHS  # the member has another operator's file, or another history of decisions
        return self.grantor.grant(member, incarnation, request_id, in_use, target_epoch, newest_epoch, now_us)

    def answer_request(self, member: int, incarnation: int, request: LeaseRequest, now_us: int) -> None:
        """Replies to a member's lease request."""
        log = self._log
        in_use = _from_wire(request.low, request.high)
        granted = self._grant(
            member, incarnation, request.request_id, in_use, request.target_epoch, request.digest, now_us
        )
        self.record_message(member, request.target_epoch, now_us)
        if log.is_voter or request.target_epoch < log.state.epoch:
            epoch, digest = log.state.epoch, log.digest
            self._context.send(
                member, LeaseReply(request.request_id, *_to_wire(granted), epoch, digest, log.store_id)
            )

    def record_message(self, member: int, epoch: int, now_us: int) -> None:
        """Records the arrival time and the epoch of a member's lease message."""
        self.last_messages[member] = LastLeaseMessage(epoch, now_us)

    def record_reply(self, member: int, reply: LeaseReply, now_us: int) -> None:
        """Records a voter's reply, if its store id is that of a voter of the newest or the previous state."""
        granted = _from_wire(reply.low, reply.high)
        states = [state for state in (self._log.state, self._log.previous) if state is not None]
        if any(state.voters.get(self._context.names[member]) == reply.store_id for state in states):
            self.holder.record_grant(member, reply.request_id, granted, now_us)


def _to_wire(interval: EpochInterval) -> EpochInterval:
    """Converts an interval to its wire form, in which NO_EPOCHS has a low end above its high end."""
    return interval if interval != NO_EPOCHS else (1, 0)


def _from_wire(low: int, high: int) -> EpochInterval:
    """Converts an interval from its wire form."""
    return (low, high) if low <= high else NO_EPOCHS
