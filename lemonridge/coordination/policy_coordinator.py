"""The policy of the fleet at one broker: hosts its part in the rollout in the process.

Loaded only where an operator's file sets `[fleet.policy]`.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Mapping

import msgspec

from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.config.local_policy import LocalPolicy
from lemonridge.coordination.action_queue import ActionQueue
from lemonridge.coordination.lease_guard import PolicyLeaseGuard
from lemonridge.coordination.policy_admin_calls import PolicyAdminCalls
from lemonridge.coordination.vote_store import VoteStore
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.decision_host import DecisionHost
from lemonridge.fleet.datagrams import Item
from lemonridge.net.peer_transport import PeerTransport
from lemonridge.operate.admin_calls import AdminReply, AdminRequest
from lemonridge.rollout import policy_document
from lemonridge.rollout.errors import PolicyError, RolloutError
from lemonridge.rollout.policy_document import Policy, PolicyState
from lemonridge.rollout.rollout_member import RolloutMember
from lemonridge.rollout.source_proposal import SourceProposal
from lemonridge.scheduling.settings import Settings, VolumePlan

log = logging.getLogger(__name__)

STORE_ID_BITS = 62  # of the random id of a new vote store


def first_state(fleet: FleetConfig, own: LocalPolicy) -> PolicyState:
    """Epoch 0: what the brokers' own files say, which have to be alike."""
    assert fleet.rollout is not None
    policy = policy_document.policy_from(own.settings, own.plans, own.classes)
    return PolicyState(
        epoch=0,
        previous_digest="",
        voters=dict.fromkeys(fleet.names[: policy_document.VOTERS_MAX], 0),
        policy=policy,
        floor=policy_document.floor(policy, fleet.rollout.floor_fraction),
    )


class PolicyCoordinator:
    """This broker's policy: drives its `RolloutMember` by messages, time and operators' calls.

    Args of the constructor: `own` is what this broker's file says, `record` what `store` holds.

    Raises:
        ConfigError: The record cannot be used.
    """

    def __init__(
        self,
        fleet: FleetConfig,
        own: LocalPolicy,
        seed: int,
        peers: PeerTransport,
        decision_host: DecisionHost,
        clock: Clock,
        counters: Counters,
        store: VoteStore,
        record: bytes | None,
    ) -> None:
        assert fleet.rollout is not None
        self._own, self._decision_host, self._clock, self._counters = own, decision_host, clock, counters
        self._loop = asyncio.get_running_loop()
        try:
            self.rollout = RolloutMember(
                fleet.own_index,
                fleet.names,
                peers.incarnation,
                first_state(fleet, own),
                record,
                1 + secrets.randbelow(1 << STORE_ID_BITS),
                self._validate,
                seed,
                clock.now_us(),
                fleet.rollout.lease_us,
                fleet.clock_error_us,
            )
        except (PolicyError, msgspec.DecodeError) as error:
            raise ConfigError(f"{fleet.rollout.votes_path} cannot be used: {error}") from None
        self.lease_guard = PolicyLeaseGuard(self.rollout, own, clock, self._loop.time, peers, counters)
        self._source = SourceProposal(fleet.own_index)
        self._admin_calls = PolicyAdminCalls(self.rollout, self._source, clock, self._flush)
        self._actions = ActionQueue(store, peers.post, self._loop, counters)
        self._results_logged = 0
        self._timer: asyncio.TimerHandle | None = None
        peers.coordinator, decision_host.lease_guard = self, self.lease_guard
        self._flush()
        self._tick()

    def _validate(self, policy: Policy) -> None:
        """Checks that this broker could decide by a policy; PolicyError if not."""
        policy_document.apply(policy, self._own.settings, self._own.plans, self._own.classes)

    # Events

    def heard(self, member: int, incarnation: int, item: Item) -> None:
        """A member's message about the policy arrived."""
        self.rollout.handle(member, incarnation, item, self._clock.now_us())
        self._flush()

    def _tick(self) -> None:
        now_us = self._clock.now_us()
        self.rollout.tick(now_us)
        self._propose_source(now_us)
        self._flush()
        self._timer = self._loop.call_at(self._clock.loop_time(self.rollout.next_tick_us(now_us)), self._tick)

    def _flush(self) -> None:
        """Does the rollout's actions, has the decisions ask the guard, and logs changes that ended."""
        self._actions.add(self.rollout.take_actions())
        if self.lease_guard.is_outdated:
            self._decision_host.recheck_lease()
        ended = self.rollout.proposals.results_ended - self._results_logged
        for result in self.rollout.proposals.results[-ended:] if ended else ():
            log.info(
                "policy change ended",
                extra={"outcome": result.outcome.value, "reason": result.reason, "epoch": result.epoch},
            )
            if result.is_rejection:
                self._source.on_rejected(self._clock.now_us())
        self._results_logged = self.rollout.proposals.results_ended

    def stop(self) -> None:
        """The program ends: stops the timer, and leaves the rollout's counters."""
        if self._timer is not None:
            self._timer.cancel()
        self._counters["policy.epoch"] = self.rollout.state.epoch
        for name, value in self.rollout.counts.items():
            self._counters[f"policy.{name}"] = value

    # Configuration

    def propose_plans(self, plans: Mapping[str, VolumePlan]) -> None:
        """A source outside the fleet holds these plans now; they are proposed until they are in force."""
        self._source.set({name: policy_document.plan_of(name, plan) for name, plan in plans.items()})

    def _propose_source(self, now_us: int) -> None:
        """Proposes the source's plans, if it is time and a change can begin."""
        policy = self._source.due(self.rollout.state.policy, now_us)
        if policy is None:
            return
        try:
            self.rollout.check_can_propose(now_us)
        except RolloutError:
            return
        epoch = self.rollout.state.epoch + 1
        try:
            self.rollout.propose(policy, "contracts of etcd", now_us)
        except RolloutError as error:
            log.info("plans of etcd rejected", extra={"reason": str(error)})
            self._source.on_rejected(now_us)
        else:
            log.info("plans of etcd proposed", extra={"epoch": epoch})

    def configure(self, own: LocalPolicy) -> Settings:
        """A new configuration: what of it is policy is proposed, the rest counts from now on."""
        old, self._own, self.lease_guard.own = self._own, own, own
        policy = policy_document.policy_from(own.settings, own.plans, own.classes)
        if policy != policy_document.policy_from(old.settings, old.plans, old.classes):
            self._propose_configured(policy)
        try:
            return self.lease_guard.settings()
        except PolicyError as error:  # the machine's own part does not go with the policy in force
            self.rollout.policy_error = error
            return own.settings

    def _propose_configured(self, policy: Policy) -> None:
        epoch = self.rollout.state.epoch + 1
        try:
            self.rollout.propose(policy, "SIGHUP", self._clock.now_us())
        except RolloutError as error:
            log.info("configured policy rejected", extra={"reason": str(error)})
        else:
            log.info("configured policy proposed", extra={"epoch": epoch})
        self._flush()

    # Callers

    def has_lease(self) -> bool:
        """Whether this broker knows what to decide by."""
        return self.lease_guard.has_lease()

    def epoch(self, decided_at_s: float) -> str | None:
        """The epochs that an attempt decided on at a time names; None: it may not begin any more."""
        return self.lease_guard.epoch(decided_at_s)

    def act(self, request: AdminRequest) -> AdminReply:
        """Answers an operators' call about the policy."""
        return self._admin_calls.act(request)
