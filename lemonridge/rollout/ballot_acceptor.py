"""The acceptor role of one member: its answers to the proposers' messages about the open slot."""

from __future__ import annotations

from lemonridge.fleet.datagrams import Accept, AcceptReply, BallotRejected, Prepare, Promise
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.paxos import Accepted, Promised, Rejected, round_of
from lemonridge.rollout.state_transfer import StateTransfer
from lemonridge.rollout.vote_log import VoteLog

# A value that is accepted but undecided is proposed again after 1 to 2 times this delay.
TAKE_OVER_DELAY_US = 700_000


class BallotAcceptor:
    """Answers `Prepare` and `Accept`. A vote is persisted before its answer is sent.

    Attributes:
        highest_round: The highest round of any ballot seen.
    """

    def __init__(self, context: MemberContext, log: VoteLog, transfer: StateTransfer, now_us: int) -> None:
        self._context, self._log, self._transfer = context, log, transfer
        self.highest_round = 0
        self._accepted_us = now_us

    def observe_ballot(self, ballot: int) -> None:
        """Records the round of a ballot, so that the next proposal uses a higher one."""
        self.highest_round = max(self.highest_round, round_of(ballot))

    def next_round(self) -> int:
        """Returns a round higher than any seen or promised."""
        promised = round_of(self._log.acceptor.promised_ballot)
        self.highest_round = max(self.highest_round, promised) + 1
        return self.highest_round

    def on_prepare(self, message: Prepare) -> Promise | BallotRejected | None:
        """Returns the answer of phase 1b, or None if this member does not answer."""
        self.observe_ballot(message.ballot)
        answer = self._log.acceptor.prepare(message.slot, message.ballot)
        if answer is None or not self._log.is_voter:
            return None
        if isinstance(answer, Rejected):
            return BallotRejected(answer.slot, answer.ballot)
        self._log.persist()
        return _promise(answer, self._log.store_id)

    def on_accept(self, member: int, message: Accept, now_us: int) -> AcceptReply | BallotRejected | None:
        """Returns the answer of phase 2b, or None if this member does not answer.

        A state that this member lacks is requested from the proposer, and the proposer's next message is
        answered.
        """
        self.observe_ballot(message.ballot)
        is_known = message.digest in self._log.documents
        if not is_known or not self._log.is_voter:
            if message.slot == self._log.acceptor.slot and not is_known:
                self._transfer.begin(message.digest, 0, member, now_us)
            return None
        answer = self._log.acceptor.accept(message.slot, message.ballot, message.digest)
        self._accepted_us = now_us
        if answer is None:
            return None
        if isinstance(answer, Rejected):
            return BallotRejected(answer.slot, answer.ballot)
        self._log.persist()
        return _accept_reply(answer, self._log.store_id)

    def take_over_due(self, now_us: int) -> bool:
        """Returns whether the value accepted here has been undecided for too long.

        If so, restarts the delay.
        """
        if now_us - self._accepted_us <= TAKE_OVER_DELAY_US * self._context.random.uniform(1.0, 2.0):
            return False
        self._accepted_us = now_us
        return True


def _promise(answer: Promised, store_id: int) -> Promise:
    return Promise(answer.slot, answer.ballot, answer.accepted_ballot, answer.accepted_value, store_id)


def _accept_reply(answer: Accepted, store_id: int) -> AcceptReply:
    return AcceptReply(answer.slot, answer.ballot, store_id)
