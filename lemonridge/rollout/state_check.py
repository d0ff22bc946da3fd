"""Whether this member could decide by a policy, and whether a state may follow the newest one."""

from __future__ import annotations

from collections.abc import Callable

from lemonridge.rollout import policy_document
from lemonridge.rollout.errors import PolicyError
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.policy_document import Policy, PolicyState
from lemonridge.rollout.vote_log import VoteLog

ValidatePolicy = Callable[[Policy], None]  # raises PolicyError where this broker cannot decide by a policy


class StateCheck:
    """The checks of one member. `validate` is the broker's own part of them."""

    def __init__(self, context: MemberContext, log: VoteLog, validate: ValidatePolicy) -> None:
        self._context, self._log, self._validate = context, log, validate

    def policy_error(self) -> PolicyError | None:
        """Why this broker cannot decide by the policy in force, or None."""
        try:
            self._validate(self._log.state.policy)
        except PolicyError as error:
            return error
        return None

    def check_policy(self, policy: Policy) -> None:
        """Checks that this broker could decide by a policy.

        Raises:
            FloorError: It allows less than the floor.
            PolicyError: The broker's own settings do not go with it.
        """
        policy_document.check_floor(policy, self._log.state.floor)
        self._validate(policy)

    def check_voter_change(self, state: PolicyState) -> None:
        """Checks that a state's voters may follow those of the newest state; VoterChangeError if not."""
        policy_document.check_voter_change(self._log.state, state, self._context.names)

    def check_document(self, data: bytes) -> None:
        """Checks that this broker could decide by an encoded state, and that it may follow the newest one.

        Raises:
            PolicyError: It could not, or its own store was lost and is not admitted by the state.
        """
        state = policy_document.decode(data)
        self.check_policy(state.policy)
        if state.previous_digest == self._log.digest.hex():
            self.check_voter_change(state)
        store_id = state.voters.get(self._context.name, self._log.store_id)
        if store_id != self._log.store_id and state.kind == "voter":
            raise PolicyError("its store is lost, it has to be let in first")
