"""One member's leases: its requests to the voters, and its answers to theirs."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.fleet.datagrams import Chosen, LeaseReply, LeaseRequest
from lemonridge.rollout.leases import NO_EPOCHS, EpochInterval, LeaseGrantor, LeaseHolder
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.vote_log import VoteLog

LEASE_US = 2_000_000  # the default; a dead broker delays a switch by one lease, a short one costs messages
CLOCK_ERROR_US = 50_000  # the default of the error of two clocks over a lease
RENEWALS_PER_LEASE = 4
SWITCH_INTERVAL_US = 60_000  # between two requests while a switch is under way
EMERGENCY_EPOCH_STEP = 1 << 16  # an emergency's epoch is past a multiple: the lost decide none so high


@dataclass(frozen=True, slots=True)
class LastLeaseMessage:
    """When a member's lease message arrived last, and the epoch that it named."""

    epoch: int
    at_us: int


class LeaseExchange:
    """The lease that this member holds, and the grants that it gives as a voter."""

    def __init__(
        self, context: MemberContext, log: VoteLog, lease_us: int, clock_error_us: int, now_us: int
    ) -> None:
        self._context, self._log, self.lease_us = context, log, lease_us
        self.grantor = LeaseGrantor(lease_us, clock_error_us, now_us)
        self.holder = LeaseHolder(lease_us, tuple(context.voters_of(log.state)), target_epoch=log.state.epoch)
        self.last_messages: dict[int, LastLeaseMessage] = {}  # by member
        self._requested_us = now_us - lease_us

    def is_settled(self, now_us: int) -> bool:
        """Whether there is a valid lease of the newest epoch alone."""
        alone = (self._log.state.epoch, self._log.state.epoch)
        return self.holder.in_use == alone and self.holder.is_valid(now_us)

    def on_decided(self, slot: int, now_us: int) -> None:
        """A slot is decided and its state is the newest of the log: the next request is due at once."""
        self.holder.on_epoch(slot, tuple(self._context.voters_of(self._log.state)), now_us)
        self._requested_us = 0

    def tick(self, now_us: int) -> None:
        """Requests the lease anew where it is time."""
        interval_us = self.lease_us // RENEWALS_PER_LEASE if self.is_settled(now_us) else SWITCH_INTERVAL_US
        if now_us - self._requested_us >= interval_us:
            self.request(now_us)

    def request(self, now_us: int) -> None:
        """Requests a lease of every voter."""
        context, log = self._context, self._log
        self._requested_us = now_us
        request_id, in_use, target_epoch = self.holder.new_request(now_us)
        grantors = self.holder.grantors()
        if log.state.epoch >= EMERGENCY_EPOCH_STEP:  # others may have other voters, and never hear of it
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
        log = self._log
        newest = log.acceptor.slot if log.acceptor.accepted_ballot else log.state.epoch
        if not log.is_voter or (target_epoch == log.state.epoch and digest != log.digest):
            return NO_EPOCHS  # its file is another than this one's, or its history
        return self.grantor.grant(member, incarnation, request_id, in_use, target_epoch, newest, now_us)

    def answer(self, member: int, incarnation: int, request: LeaseRequest, now_us: int) -> None:
        """Answers a member's request."""
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
        """Remembers that a member was heard, and the epoch that it named."""
        self.last_messages[member] = LastLeaseMessage(epoch, now_us)

    def record_answer(self, member: int, answer: LeaseReply, now_us: int) -> None:
        """Records a voter's answer, if the store that it names votes."""
        granted = _from_wire(answer.low, answer.high)
        states = [one for one in (self._log.state, self._log.previous) if one is not None]
        if any(one.voters.get(self._context.names[member]) == answer.store_id for one in states):
            self.holder.record_grant(member, answer.request_id, granted, now_us)


def _to_wire(interval: EpochInterval) -> EpochInterval:
    """An interval as it is sent: NO_EPOCHS is one whose low end is above its high one."""
    return interval if interval != NO_EPOCHS else (1, 0)


def _from_wire(low: int, high: int) -> EpochInterval:
    return (low, high) if low <= high else NO_EPOCHS
