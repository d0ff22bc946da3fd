"""Handles the admin calls about the policy."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec
import orjson

from lemonridge.core.clock import Clock
from lemonridge.operate.admin_calls import AdminCall, AdminReply, AdminRequest
from lemonridge.rollout import policy_document
from lemonridge.rollout.errors import PolicyError, RolloutError
from lemonridge.rollout.policy_document import Policy
from lemonridge.rollout.rollout_member import RolloutMember
from lemonridge.rollout.source_proposal import SourceProposal

log = logging.getLogger(__name__)


class PolicyAdminCalls:
    """The admin calls at one broker; `flush` performs the rollout actions that a call queues."""

    def __init__(
        self, rollout: RolloutMember, source: SourceProposal, clock: Clock, flush: Callable[[], None]
    ) -> None:
        self._rollout, self._source, self._clock, self._flush = rollout, source, clock, flush
        self._handlers: dict[AdminCall, Callable[[AdminRequest], AdminReply]] = {
            AdminCall.POLICY: self._show,
            AdminCall.PROPOSE: self._propose,
            AdminCall.ABORT: self._abort,
            AdminCall.ADMIT: self._admit,
            AdminCall.RETIRE: self._retire,
            AdminCall.FORCE: self._force,
        }

    def act(self, request: AdminRequest) -> AdminReply:
        """Handles a call and returns the reply."""
        return self._handlers[request.call](request)

    def _show(self, request: AdminRequest) -> AdminReply:
        status = self._rollout.status(self._clock.now_us())
        status["policy"] = msgspec.to_builtins(self._rollout.state.policy)
        status["floor"] = msgspec.to_builtins(self._rollout.state.floor)
        return AdminReply(True, orjson.dumps(status).decode())

    def _abort(self, request: AdminRequest) -> AdminReply:
        is_aborted = self._rollout.abort()
        self._flush()
        return AdminReply(
            is_aborted, "called off" if is_aborted else "no change of this broker's can be called off now"
        )

    def _admit(self, request: AdminRequest) -> AdminReply:
        return self._begin(self._rollout.admit)

    def _retire(self, request: AdminRequest) -> AdminReply:
        return self._begin(lambda now_us: self._rollout.retire(request.endpoint_id, now_us))

    def _propose(self, request: AdminRequest) -> AdminReply:
        try:
            proposal = orjson.loads(request.text)
            policy = policy_document.parse_policy(proposal["policy"])
            note = str(proposal.get("note", ""))
        except (orjson.JSONDecodeError, PolicyError, KeyError, TypeError) as error:
            return AdminReply(False, f"not a proposal: {error}")
        try:
            self._source.check_no_conflict(policy)
            if proposal.get("dry"):
                self._rollout.check_policy(policy)
                return AdminReply(True, self._difference(policy))
        except RolloutError as error:
            return AdminReply(False, str(error))
        return self._begin(lambda now_us: self._rollout.propose(policy, note, now_us))

    def _difference(self, policy: Policy) -> str:
        lines = policy_document.difference(self._rollout.state.policy, policy)
        return "; ".join(lines) or "nothing differs"

    def _begin(self, begin: Callable[[int], None]) -> AdminReply:
        """Begins a change, and replies with the epoch that it would create."""
        try:
            begin(self._clock.now_us())
        except RolloutError as error:
            self._flush()
            return AdminReply(False, str(error))
        self._flush()
        return AdminReply(True, f"epoch {self._rollout.state.epoch + 1} is proposed")

    def _force(self, request: AdminRequest) -> AdminReply:
        """Handles the emergency call, which continues without a majority of the voters."""
        try:
            call: dict[str, Any] = orjson.loads(request.text)
            lost_voters, note = tuple(map(str, call["lost"])), str(call.get("note", ""))
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            return AdminReply(False, f"not an emergency call: {error}")
        rollout, previous_epoch = self._rollout, self._rollout.state.epoch
        try:
            rollout.force(lost_voters, note, self._clock.now_us())
        except RolloutError as error:
            log.warning(
                "emergency call rejected", extra={"lost": ",".join(lost_voters), "reason": str(error)}
            )
            self._flush()
            return AdminReply(False, str(error))
        log.critical(
            "policy epoch forced by an emergency call",
            extra={
                "lost": ",".join(lost_voters),
                "note": note,
                "voters": ",".join(rollout.state.voters),
                "previous_epoch": previous_epoch,
                "epoch": rollout.state.epoch,
                "warning": "two policies may be in use until all brokers hear of this",
            },
        )
        self._flush()
        return AdminReply(True, f"epoch {rollout.state.epoch}, {len(rollout.state.voters)} vote")
