"""What a source outside the fleet (contracts in etcd) asks the policy to hold, and when to propose it. Pure.

Every broker of the fleet may hear the source, each at another moment. What it says comes into force as any
other change does, by a proposal that a majority decides. All propose the same, so it does not matter who is
first; they wait for each other a little, in the order of the roster.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from lemonridge.rollout.errors import ChangeRejectedError
from lemonridge.rollout.policy_document import PLANS_MAX, Plan, Policy

STAGGER_US = 300_000  # between two brokers of the roster: a change takes about that long with all up
RETRY_US = 30_000_000  # until a proposal that was rejected is proposed again


@dataclass(slots=True)
class SourceProposal:
    """The source's plans at one broker, whose place in the roster is `member`."""

    member: int
    plans: dict[str, Plan] = field(default_factory=dict)  # by name
    _differs_since_us: int | None = None  # since when the policy in force is another
    _retry_at_us: int = 0

    def set(self, plans: Mapping[str, Plan]) -> None:
        """The source holds these plans now, and no others; a proposal that waits is due if they changed."""
        accepted = dict(list(plans.items())[:PLANS_MAX])
        if accepted != self.plans:
            self.plans, self._differs_since_us, self._retry_at_us = accepted, None, 0

    def applied_to(self, policy: Policy) -> Policy:
        """A policy with the source's plans; plans that the policy does not have are not added."""
        plans = tuple(self.plans.get(row.name, row) for row in policy.plan)
        return msgspec.structs.replace(policy, plan=plans)

    def check_agrees(self, policy: Policy) -> None:
        """Checks that the source would not change a policy back.

        Raises:
            ChangeRejectedError: It would; the text names the plan.
        """
        for row, proposed in zip(policy.plan, self.applied_to(policy).plan, strict=True):
            if row != proposed:
                raise ChangeRejectedError(f"plan '{row.name}' comes from etcd and is another there")

    def due(self, policy: Policy, now_us: int) -> Policy | None:
        """What to propose now in place of the policy in force, if anything."""
        proposed = self.applied_to(policy)
        if proposed == policy:
            self._differs_since_us = None
            return None
        if self._differs_since_us is None:
            self._differs_since_us = now_us
        due_us = max(self._differs_since_us + self.member * STAGGER_US, self._retry_at_us)
        return proposed if now_us >= due_us else None

    def on_rejected(self, now_us: int) -> None:
        """A broker cannot decide by it: only time, or other plans, can help."""
        self._retry_at_us = now_us + RETRY_US
