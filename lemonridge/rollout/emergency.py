"""The emergency call: a state that no majority decides, for use when most voters are permanently lost."""

from __future__ import annotations

from collections.abc import Collection

from lemonridge.rollout import policy_document
from lemonridge.rollout.errors import EmergencyRejectedError
from lemonridge.rollout.lease_exchange import EMERGENCY_EPOCH_STEP, LastLeaseMessage, LeaseExchange
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.paxos import is_quorum
from lemonridge.rollout.policy_document import PolicyState
from lemonridge.rollout.vote_log import VoteLog

LOST_VOTER_SILENCE_LEASES = 2  # lease lengths without a message, after which a voter may be declared lost


class EmergencyCall:
    """Checks the conditions of the call at one member, which has received messages since `started_us`."""

    def __init__(self, context: MemberContext, log: VoteLog, leases: LeaseExchange, started_us: int) -> None:
        self._context, self._log, self._leases = context, log, leases
        self._started_us = started_us

    def next_state(self, lost_voters: Collection[str], note: str, now_us: int) -> PolicyState:
        """Returns the state with the remaining voters, or with this member if no voter remains.

        Raises:
            EmergencyRejectedError: This member still has a lease from a majority, the remaining voters are a
                majority, a voter declared lost is reachable or no voter at all, another voter is not
                reachable, or this member started too recently to know.
        """
        state, name = self._log.state, self._context.name
        if self._leases.holder.is_valid(now_us):
            raise EmergencyRejectedError(
                "a majority of the voters is heard: change the policy, or retire a voter"
            )
        if unknown := sorted(set(lost_voters) - set(state.voters)):
            raise EmergencyRejectedError(f"'{unknown[0]}' does not vote")
        remaining_voters = {
            voter: store_id for voter, store_id in state.voters.items() if voter not in lost_voters
        }
        if is_quorum(len(remaining_voters), len(state.voters)):
            raise EmergencyRejectedError("a majority of the voters is left: wait until it is heard")
        if name in lost_voters:
            raise EmergencyRejectedError("this broker is not lost")
        self._check_silence(lost_voters, now_us)
        if not remaining_voters or name in remaining_voters:
            remaining_voters[name] = self._log.store_id
        epoch = (state.epoch // EMERGENCY_EPOCH_STEP + 1) * EMERGENCY_EPOCH_STEP + self._context.number
        return policy_document.emergency_state(state, epoch, remaining_voters, name, note)

    def _check_silence(self, lost_voters: Collection[str], now_us: int) -> None:
        """Checks that exactly the lost voters have sent no message for `LOST_VOTER_SILENCE_LEASES`."""
        silence_us = LOST_VOTER_SILENCE_LEASES * self._leases.lease_us
        if now_us - self._started_us < silence_us:
            raise EmergencyRejectedError(f"this broker has listened for less than {silence_us / 1e6:g} s")
        numbers = {name: number for number, name in enumerate(self._context.names)}
        no_message = LastLeaseMessage(0, now_us - silence_us)
        for voter in self._log.state.voters:
            age_us = (
                now_us - self._leases.last_messages.get(numbers.get(voter, -1), no_message).received_at_us
            )
            is_reachable = voter == self._context.name or age_us < silence_us
            if voter in lost_voters and is_reachable:
                raise EmergencyRejectedError(f"'{voter}' was heard {age_us / 1e6:.1f} s ago: it is not lost")
            if voter not in lost_voters and not is_reachable:
                raise EmergencyRejectedError(f"'{voter}' is not heard: bring it up, or call it lost")
