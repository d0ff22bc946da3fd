"""Connects a broker's `RolloutMember` to the event loop, the peers, the disk and the scheduler.

Loaded only if the operator's file has a table `[fleet.policy]`.
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


def genesis_state(fleet: FleetConfig, local_policy: LocalPolicy) -> PolicyState:
    """Returns the state of epoch 0, from the brokers' own files, which must have the same policy."""
    assert fleet.rollout is not None
    policy = policy_document.policy_from_settings(
        local_policy.settings, local_policy.plans, local_policy.classes
    )
    return PolicyState(
        epoch=0,
        previous_digest="",
        voters=dict.fromkeys(fleet.names[: policy_document.VOTERS_MAX], 0),
        policy=policy,
        floor=policy_document.floor(policy, fleet.rollout.floor_fraction),
    )


class PolicyCoordinator:
    """The policy of one broker: drives its `RolloutMember` by messages, timers and admin calls.

    Args:
        fleet: The configuration of the fleet.
        local_policy: The settings in this broker's own file.
        seed: The seed of the rollout's random pauses.
        peers: The connection to the other brokers.
        decision_host: The host of the scheduler.
        clock: The clock of the process.
        counters: The counters of the process.
        store: The vote store.
        record: The record in the vote store, or None if it has none.

    Raises:
        ConfigError: The record is malformed or invalid.
    """

    def __init__(
        self,
        fleet: FleetConfig,
        local_policy: LocalPolicy,
        seed: int,
        peers: PeerTransport,
        decision_host: DecisionHost,
        clock: Clock,
        counters: Counters,
        store: VoteStore,
        record: bytes | None,
    ) -> None:
        assert fleet.rollout is not None
        self._local_policy, self._decision_host, self._clock, self._counters = (
            local_policy,
            decision_host,
            clock,
            counters,
        )
        self._loop = asyncio.get_running_loop()
        try:
            self.rollout = RolloutMember(
                fleet.own_index,
                fleet.names,
                peers.incarnation,
                genesis_state(fleet, local_policy),
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
        self.lease_guard = PolicyLeaseGuard(
            self.rollout, local_policy, clock, self._loop.time, peers, counters
        )
        self._source = SourceProposal(fleet.own_index)
        self._admin_calls = PolicyAdminCalls(self.rollout, self._source, clock, self._flush)
        self._actions = ActionQueue(store, peers.send_rollout_items, self._loop, counters)
        self._results_logged = 0
        self._timer: asyncio.TimerHandle | None = None
        peers.coordinator, decision_host.lease_guard = self, self.lease_guard
        self._flush()
        self._tick()

    def _validate(self, policy: Policy) -> None:
        """Checks that this broker can decide by a policy.

        Raises:
            PolicyError: The broker's own settings are incompatible with the policy.
        """
        policy_document.apply(
            policy, self._local_policy.settings, self._local_policy.plans, self._local_policy.classes
        )

    # Events

    def on_rollout_item(self, member: int, incarnation: int, item: Item) -> None:
        """Handles a rollout message from a member."""
        self.rollout.handle(member, incarnation, item, self._clock.now_us())
        self._flush()

    def _tick(self) -> None:
        now_us = self._clock.now_us()
        self.rollout.tick(now_us)
        self._propose_source_plans(now_us)
        self._flush()
        self._timer = self._loop.call_at(self._clock.loop_time(self.rollout.next_tick_us(now_us)), self._tick)

    def _flush(self) -> None:
        """Performs queued rollout actions, rechecks an outdated lease and logs finished changes."""
        self._actions.add(self.rollout.take_actions())
        if self.lease_guard.is_outdated:
            self._decision_host.recheck_lease()
        unlogged = self.rollout.proposals.results_total - self._results_logged
        for result in self.rollout.proposals.results[-unlogged:] if unlogged else ():
            log.info(
                "policy change ended",
                extra={"outcome": result.outcome.value, "reason": result.reason, "epoch": result.epoch},
            )
            if result.is_rejection:
                self._source.on_rejected(self._clock.now_us())
        self._results_logged = self.rollout.proposals.results_total

    def stop(self) -> None:
        """Stops the timer, and adds the rollout's counters to those of the process."""
        if self._timer is not None:
            self._timer.cancel()
        self._counters["policy.epoch"] = self.rollout.state.epoch
        for name, value in self.rollout.counts.items():
            self._counters[f"policy.{name}"] = value

    # Configuration

    def propose_plans(self, plans: Mapping[str, VolumePlan]) -> None:
        """Sets the plans of a source outside the fleet, which are proposed until they are in force."""
        self._source.set_plans(
            {name: policy_document.plan_from_volume_plan(name, plan) for name, plan in plans.items()}
        )

    def _propose_source_plans(self, now_us: int) -> None:
        """Proposes the source's plans if a proposal is due and a change can begin."""
        policy = self._source.due_policy(self.rollout.state.policy, now_us)
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

    def configure(self, local_policy: LocalPolicy) -> Settings:
        """Applies a new configuration: proposes its policy, and uses its other settings at once.

        Returns:
            The new settings with the policy in force, or as they are if they are incompatible with it.
        """
        previous, self._local_policy, self.lease_guard.local_policy = (
            self._local_policy,
            local_policy,
            local_policy,
        )
        policy = policy_document.policy_from_settings(
            local_policy.settings, local_policy.plans, local_policy.classes
        )
        if policy != policy_document.policy_from_settings(
            previous.settings, previous.plans, previous.classes
        ):
            self._propose_configured(policy)
        try:
            return self.lease_guard.settings()
        except PolicyError as error:  # the new settings are incompatible with the policy in force
            self.rollout.policy_error = error
            return local_policy.settings

    def _propose_configured(self, policy: Policy) -> None:
        epoch = self.rollout.state.epoch + 1
        try:
            self.rollout.propose(policy, "SIGHUP", self._clock.now_us())
        except RolloutError as error:
            log.info("configured policy rejected", extra={"reason": str(error)})
        else:
            log.info("configured policy proposed", extra={"epoch": epoch})
        self._flush()

    # Lease and admin calls

    def has_lease(self) -> bool:
        """Returns whether this broker has had a lease since its start and can use the policy in force."""
        return self.lease_guard.has_lease()

    def epoch(self, decided_at_s: float) -> str | None:
        """Returns the epochs sent with an attempt that was decided at a time, or None if it may not begin."""
        return self.lease_guard.epoch(decided_at_s)

    def act(self, request: AdminRequest) -> AdminReply:
        """Handles an admin call about the policy and returns the reply."""
        return self._admin_calls.act(request)
