"""Checks whether this member can decide by a policy, and whether a state may follow the newest one."""

from __future__ import annotations

from collections.abc import Callable

from lemonridge.rollout import policy_document
from lemonridge.rollout.errors import PolicyError
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.policy_document import Policy, PolicyState
from lemonridge.rollout.vote_log import VoteLog

ValidatePolicy = Callable[[Policy], None]  # raises PolicyError if this broker cannot decide by a policy


class StateCheck:
    """The checks of one member; `validate` checks a policy against the broker's own settings."""

    def __init__(self, context: MemberContext, log: VoteLog, validate: ValidatePolicy) -> None:
        self._context, self._log, self._validate = context, log, validate

    def policy_error(self) -> PolicyError | None:
        """Returns why this broker cannot decide by the policy in force, or None if it can."""
        try:
            self._validate(self._log.state.policy)
        except PolicyError as error:
            return error
        return None

    def check_policy(self, policy: Policy) -> None:
        """Checks that this broker can decide by a policy.

        Raises:
            FloorError: The policy allows less than the floor.
            PolicyError: The broker's own settings are incompatible with the policy.
        """
        policy_document.check_floor(policy, self._log.state.floor)
        self._validate(policy)

    def check_voter_change(self, state: PolicyState) -> None:
        """Checks that a state's voters may follow those of the newest state.

        Raises:
            VoterChangeError: They may not.
        """
        policy_document.check_voter_change(self._log.state, state, self._context.names)

    def check_document(self, data: bytes) -> None:
        """Checks that this broker can decide by an encoded state, and that it may follow the newest one.

        Raises:
            PolicyError: A check fails, or the state changes the voters while it lists this broker with the
                id of a store that it has lost.
        """
        state = policy_document.decode(data)
        self.check_policy(state.policy)
        if state.previous_digest == self._log.digest.hex():
            self.check_voter_change(state)
        store_id = state.voters.get(self._context.name, self._log.store_id)
        if store_id != self._log.store_id and state.kind == "voter":
            raise PolicyError("its store is lost, it has to be let in first")
