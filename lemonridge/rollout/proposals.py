"""What a source outside the fleet (contracts in etcd) wants the policy to hold, and when to propose it. Pure.

Every broker of the fleet may hear the source, each when it does. What it says comes into force as any other
change does, by a proposal that a majority decides. All propose the same, so it does not matter who is first;
they wait for each other a little, in the order of the roster.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from lemonridge.rollout.policy_document import PLANS_MAX, Plan, Policy

STAGGER_US = 300_000  # between two brokers of the roster: a change takes about that long with all up
AGAIN_US = 30_000_000  # until a proposal that came to nothing is proposed again


@dataclass(slots=True)
class SourceProposal:
    """Of one broker, whose place in the roster is `me`."""

    me: int
    rows: dict[str, Plan] = field(default_factory=dict)
    _unmet_us: int | None = None  # since when the policy in force is another
    _rests_us: int = 0

    def set(self, rows: Mapping[str, Plan]) -> None:
        """The source says this now, all of it. A proposal that rests is tried again once it changes."""
        told = dict(list(rows.items())[:PLANS_MAX])
        if told != self.rows:
            self.rows, self._unmet_us, self._rests_us = told, None, 0

    def wanted(self, policy: Policy) -> Policy:
        """A policy with what the source proposes; plans that it does not have are not put into it."""
        plans = tuple(self.rows.get(row.name, row) for row in policy.plan)
        return msgspec.structs.replace(policy, plan=plans)

    def against(self, policy: Policy) -> str:
        """Which plan of a policy the source says otherwise, or nothing: it would be changed back."""
        for mine, told in zip(policy.plan, self.wanted(policy).plan, strict=True):
            if mine != told:
                return f"plan '{mine.name}' comes from etcd and is another there"
        return ""

    def due(self, policy: Policy, now_us: int) -> Policy | None:
        """What to propose now in place of the policy in force, if anything."""
        wanted = self.wanted(policy)
        if wanted == policy:
            self._unmet_us = None
            return None
        if self._unmet_us is None:
            self._unmet_us = now_us
        waits_us = max(self._unmet_us + self.me * STAGGER_US, self._rests_us)
        return wanted if now_us >= waits_us else None

    def came_to_nothing(self, now_us: int) -> None:
        """A broker cannot decide by it: only time, or another proposal, can help."""
        self._rests_us = now_us + AGAIN_US
