"""Proposes plans from a source outside the fleet (contracts in etcd) as changes of the policy. Pure.

Each broker of the fleet may receive the source's plans, at different times. They come into force like any
other change, by a proposal that a majority decides. All brokers propose the same plans, so any of them may be
first. To avoid concurrent proposals, each broker waits for a delay that grows with its number in the roster.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from lemonridge.rollout.errors import ChangeRejectedError
from lemonridge.rollout.policy_document import PLANS_MAX, Plan, Policy

# Between two brokers of the roster; about the duration of a change while all brokers are up.
PROPOSAL_STAGGER_US = 300_000
RETRY_DELAY_US = 30_000_000  # before a rejected proposal is proposed again


@dataclass(slots=True)
class SourceProposal:
    """The source's plans at one broker.

    Attributes:
        member: The broker's number in the roster.
        plans: The source's plans, by name.
    """

    member: int
    plans: dict[str, Plan] = field(default_factory=dict)
    _differs_since_us: int | None = None  # since when the policy in force differs from the plans
    _retry_at_us: int = 0

    def set_plans(self, plans: Mapping[str, Plan]) -> None:
        """Replaces the source's plans.

        If they differ from before, the retry delay ends and the delay by roster number starts again.
        """
        limited_plans = dict(list(plans.items())[:PLANS_MAX])
        if limited_plans != self.plans:
            self.plans, self._differs_since_us, self._retry_at_us = limited_plans, None, 0

    def apply_to(self, policy: Policy) -> Policy:
        """Returns a policy with the source's plans; plans that the policy does not have are not added."""
        plans = tuple(self.plans.get(plan.name, plan) for plan in policy.plan)
        return msgspec.structs.replace(policy, plan=plans)

    def check_no_conflict(self, policy: Policy) -> None:
        """Checks that the policy does not conflict with the source, which would change it back.

        Raises:
            ChangeRejectedError: A plan differs from the source's; the text names the plan.
        """
        for plan, source_plan in zip(policy.plan, self.apply_to(policy).plan, strict=True):
            if plan != source_plan:
                raise ChangeRejectedError(f"plan '{plan.name}' comes from etcd and is another there")

    def due_policy(self, policy: Policy, now_us: int) -> Policy | None:
        """Returns the policy to propose now, or None if none is due; `policy` is the one in force."""
        proposed = self.apply_to(policy)
        if proposed == policy:
            self._differs_since_us = None
            return None
        if self._differs_since_us is None:
            self._differs_since_us = now_us
        due_us = max(self._differs_since_us + self.member * PROPOSAL_STAGGER_US, self._retry_at_us)
        return proposed if now_us >= due_us else None

    def on_rejected(self, now_us: int) -> None:
        """Delays the next proposal: a broker rejected this one, so only time or other plans can help."""
        self._retry_at_us = now_us + RETRY_DELAY_US
