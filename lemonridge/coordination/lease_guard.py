"""Checks the policy lease for the decision host.

The lease determines the settings that the scheduler uses, and whether an earlier decision is still valid.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from lemonridge.config.local_policy import LocalPolicy
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.net.peer_transport import PeerTransport
from lemonridge.rollout import policy_document
from lemonridge.rollout.leases import NO_EPOCHS, EpochInterval
from lemonridge.rollout.policy_document import Policy
from lemonridge.rollout.rollout_member import RolloutMember
from lemonridge.scheduling.settings import Settings

log = logging.getLogger(__name__)

FLOOR = "floor"  # shown to operators and nodes in place of epochs if there is no lease


def format_epochs(epochs: EpochInterval) -> str:
    """Returns an interval as it is sent to nodes with an attempt: `3`, `3-4` or `floor`."""
    low, high = epochs
    return FLOOR if epochs == NO_EPOCHS else str(low) if low == high else f"{low}-{high}"


class PolicyLeaseGuard:
    """The `LeaseGuard` of the decision host.

    The host checks it before each decision, so that no decision is based on an expired lease, even if a timer
    is late.

    Args:
        rollout: This broker's member of the rollout.
        local_policy: The settings in this broker's own file.
        clock: The clock of the process.
        loop_time: Returns the event loop's time in seconds.
        peers: The connection to the other brokers, which lend each other parts of the limits.
        counters: The counters of the process.
    """

    def __init__(
        self,
        rollout: RolloutMember,
        local_policy: LocalPolicy,
        clock: Clock,
        loop_time: Callable[[], float],
        peers: PeerTransport,
        counters: Counters,
    ) -> None:
        self.local_policy = local_policy
        self._rollout, self._clock, self._loop_time = rollout, clock, loop_time
        self._peers, self._counters = peers, counters
        self._in_use: tuple[EpochInterval, int] | None = None  # the decisions' epochs, and the newest epoch
        self._changed_s = 0.0  # loop time of the last change of `_in_use`
        self._has_had_lease = False  # since the start of the process

    def _current(self) -> tuple[EpochInterval, int]:
        return self._rollout.epochs_in_use(self._clock.now_us()), self._rollout.state.epoch

    @property
    def is_outdated(self) -> bool:
        """Whether the decisions use other epochs than the current ones."""
        return self._in_use != self._current()

    def changed_settings(self, now_us: int) -> Settings | None:
        """See `LeaseGuard`."""
        current = self._current()
        if current == self._in_use:
            return None
        self._in_use, self._changed_s = current, self._loop_time()
        epochs, newest = current
        self._has_had_lease = self._has_had_lease or epochs != NO_EPOCHS
        self._counters["policy.floors" if epochs == NO_EPOCHS else "policy.modes"] += 1
        log.info(
            "policy epochs in use changed",
            extra={
                "epochs": FLOOR if epochs == NO_EPOCHS else f"{epochs[0]}-{epochs[1]}",
                "newest_epoch": newest,
                "error": str(self._rollout.policy_error or ""),
            },
        )
        settings = self.settings()
        self._peers.configure(settings)  # loans are parts of the limits in force
        return settings

    def settings(self) -> Settings:
        """Returns this broker's settings with the policy in use.

        Raises:
            PolicyError: The broker's own settings are incompatible with the policy.
        """
        epochs, _ = self._in_use or self._current()
        return self.apply(self._rollout.policy_for(epochs))

    def apply(self, policy: Policy) -> Settings:
        """Returns this broker's settings with a policy.

        Raises:
            PolicyError: The broker's own settings are incompatible with the policy.
        """
        return policy_document.apply(
            policy, self.local_policy.settings, self.local_policy.plans, self.local_policy.classes
        )

    def epoch(self, decided_at_s: float) -> str | None:
        """See `LeaseGuard`."""
        if decided_at_s < self._changed_s or self._in_use is None or self.is_outdated:
            return None
        return format_epochs(self._in_use[0])

    def has_lease(self) -> bool:
        """Returns whether this broker has had a lease since its start and can use the policy in force."""
        return self._has_had_lease and self._rollout.policy_error is None
