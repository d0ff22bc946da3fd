"""Guards the decisions by the lease: which settings they use, and whether one made earlier still counts."""

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

FLOOR = "floor"  # what operators and nodes see in place of epochs where there is no lease


def format_epochs(epochs: EpochInterval) -> str:
    """An interval as nodes see it with an attempt: `3`, `3-4` or `floor`."""
    low, high = epochs
    return FLOOR if epochs == NO_EPOCHS else str(low) if low == high else f"{low}-{high}"


class PolicyLeaseGuard:
    """The host's `LeaseGuard`.

    Asked before each decision, so that none is made by a lease that has ended, whatever timer did not fire.

    `own` is what this broker's file says; `loop_time` is in seconds.
    """

    def __init__(
        self,
        rollout: RolloutMember,
        own: LocalPolicy,
        clock: Clock,
        loop_time: Callable[[], float],
        peers: PeerTransport,
        counters: Counters,
    ) -> None:
        self.own = own
        self._rollout, self._clock, self._loop_time = rollout, clock, loop_time
        self._peers, self._counters = peers, counters
        self._in_use: tuple[EpochInterval, int] | None = None  # by the decisions, and the newest epoch
        self._changed_s = 0.0  # when that changed
        self._has_had_lease = False  # since this start

    def _current(self) -> tuple[EpochInterval, int]:
        return self._rollout.epochs_in_use(self._clock.now_us()), self._rollout.state.epoch

    @property
    def is_outdated(self) -> bool:
        """Whether the decisions use other epochs than they are to use now."""
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
        self._peers.configure(settings)  # what is lent of a limit is counted by the limit in force
        return settings

    def settings(self) -> Settings:
        """This broker's settings with the policy in use; PolicyError where the two do not go together."""
        epochs, _ = self._in_use or self._current()
        return self.apply(self._rollout.policy_for(epochs))

    def apply(self, policy: Policy) -> Settings:
        """This broker's settings with a policy; PolicyError where the two do not go together."""
        return policy_document.apply(policy, self.own.settings, self.own.plans, self.own.classes)

    def epoch(self, decided_at_s: float) -> str | None:
        """See `LeaseGuard`."""
        if decided_at_s < self._changed_s or self._in_use is None or self.is_outdated:
            return None
        return format_epochs(self._in_use[0])

    def has_lease(self) -> bool:
        """Whether this broker knows what to decide by: it has had a lease since its start."""
        return self._has_had_lease and self._rollout.policy_error is None
