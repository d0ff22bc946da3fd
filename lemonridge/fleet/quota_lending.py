"""Lends and borrows quota between brokers, so that budgets follow the demand. Performs no I/O.

The ledger (`quota_ledger.py`) maintains the invariant. This module decides how much of each budget to request
and from which members, and which quotas the scheduler receives.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from lemonridge.fleet.actions import QuotaUpdated
from lemonridge.fleet.datagrams import Item, LoanGrant, LoanRecall, LoanRequest, MemberState
from lemonridge.fleet.demand import DEMAND_HEADROOM, SLOW_START_DECAY_US, DemandEstimator
from lemonridge.fleet.events import SlowStartBegan
from lemonridge.fleet.limit_registry import FANOUT, LimitRegistry
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.membership import Membership
from lemonridge.fleet.quota_ledger import TOTAL_PARTS, BudgetKey, BudgetKind, Quota, QuotaLedger

RECALL_INTERVAL_US = 100_000  # between recalls to members that have not acknowledged
IDLE_BUDGET_US = 30_000_000  # a budget without use or loans for this long is dropped
SLOW_START_DEMAND_MAX = 1000.0  # units a second at one endpoint
SLOW_START_DEMAND_MULTIPLE = 4  # quota above this multiple of the observed demand is of no use
MICRO_UNITS = 1_000_000  # in a unit
SLOW_START_PARTS_LIMIT = 1 << 31  # micro-units a second; datagrams hold less than this
RETRY_BUDGET = BudgetKey(int(BudgetKind.RETRIES), 0)


@dataclass(slots=True)
class _SlowStart:
    """A slow start in progress."""

    key: BudgetKey
    until_us: int


@dataclass(slots=True)
class _Limit:
    """A volume's limit as of its last request."""

    rate: float  # units a second
    used_us: int


class QuotaLending:
    """Requests, grants and returns the loans of one member.

    Args:
        member_list: The configured members of the fleet.
        membership: Provides the states of the other members.
        ledger: The budgets.
        registry: Registers the use of limits in a large fleet.
        random: Selects further members to request loans from in a large fleet.
        retry_rate: The retries a second of all brokers together; 0 if they share no retry budget.
        now_us: The time of the start.
    """

    def __init__(
        self,
        member_list: MemberList,
        membership: Membership,
        ledger: QuotaLedger,
        registry: LimitRegistry,
        random: Random,
        retry_rate: float,
        now_us: int,
    ) -> None:
        self._member_list, self._membership = member_list, membership
        self._ledger, self._registry, self._random = ledger, registry, random
        self._others, self._retry_rate = member_list.others, retry_rate
        self._demand, self._slow_start_demand = DemandEstimator(), DemandEstimator(SLOW_START_DECAY_US)
        self._limits: dict[int, _Limit] = {}  # by volume
        self._slow_starts: dict[int, _SlowStart] = {}  # by shard
        self._quotas: dict[BudgetKey, Quota] = {}  # as last sent to the scheduler
        self._next_recall_us = self._last_sweep_us = now_us
        if retry_rate and member_list.size > 1:
            ledger.open_budget(RETRY_BUDGET, TOTAL_PARTS // member_list.size, member_list.size, True, now_us)

    @property
    def in_use(self) -> bool:
        """Whether any budget needs frequent updates."""
        return bool(self._ledger.active or self._limits or self._slow_starts or self._retry_rate)

    # Demand

    def record_limit_demand(
        self, volume: int, limit: float, hosts: int, units: float, now_us: int
    ) -> QuotaUpdated | None:
        """Records a request for a volume with a limit.

        Args:
            volume: The volume.
            limit: The volume's limit in units a second.
            hosts: The number of brokers that share the limit.
            units: The size of the request.
            now_us: The time of the request.

        Returns:
            The quota if the scheduler may not have it. The scheduler must receive it before it decides on the
            request, since a part of the quota may already be lent.
        """
        if hosts < 2 or self._member_list.size < 2:
            return None
        key = BudgetKey(int(BudgetKind.LIMIT), volume)
        previous = self._limits.get(volume)
        self._limits[volume] = _Limit(limit, now_us)
        self._demand.add(key, units, now_us, limit)
        budget = self._ledger.open_budget(key, TOTAL_PARTS // hosts, hosts, True, now_us)
        self._registry.record_use(key)
        # After a period without requests the scheduler may have dropped the volume and its quota.
        recent = previous is not None and now_us - previous.used_us < IDLE_BUDGET_US // 2
        if budget is None or (key in self._quotas and recent):
            return None
        self._quotas[key] = quota = self._ledger.quota(key, now_us)
        return QuotaUpdated(BudgetKind.LIMIT, volume, quota, budget.owned)

    def record_shard_demand(self, shard: int, units: float, now_us: int) -> None:
        """Records a request for a shard; it counts only while the shard's endpoint is in slow start."""
        if shard in self._slow_starts:
            key = self._slow_starts[shard].key
            self._slow_start_demand.add(key, units, now_us, SLOW_START_DEMAND_MAX)

    def record_retry_demand(self, now_us: int) -> None:
        """Records the demand for one retry, whether or not the retry is made."""
        self._demand.add(RETRY_BUDGET, 1.0, now_us, self._retry_rate)

    def begin_slow_start(self, event: SlowStartBegan, now_us: int) -> list[tuple[int, Item]]:
        """Starts sharing an endpoint's slow start.

        Returns:
            The releases of loans borrowed for the shard's previous slow start, by receiver.
        """
        key = BudgetKey(int(BudgetKind.SLOW_START), event.key)
        owned = int(event.rate * MICRO_UNITS)
        if self._member_list.size < 2 or not 0 <= owned < SLOW_START_PARTS_LIMIT:
            return []
        items: list[tuple[int, Item]] = []
        previous = self._slow_starts.get(event.shard)
        if previous is not None and previous.key != key:  # another endpoint serves the shard now
            self._slow_start_demand.forget(previous.key)
            items += self._ledger.return_loans(previous.key)
        self._slow_starts[event.shard] = _SlowStart(key, event.until_us)
        began_ms = event.began_us // 1000
        return items + self._ledger.begin_slow_start(key, owned, self._member_list.size, began_ms, now_us)

    # Loan requests of other members

    def on_request(self, borrower: int, incarnation: int, request: LoanRequest, now_us: int) -> LoanGrant:
        """Answers a loan request.

        Requests for a slow start that has ended or is unknown are refused: outside a slow start this broker
        does not limit itself, so it has no quota to lend.
        """
        is_slow_start = request.kind == BudgetKind.SLOW_START
        if is_slow_start and all(
            slow_start.key.key != request.key for slow_start in self._slow_starts.values()
        ):
            return LoanGrant(request.kind, request.key, request.request_id, 0, 0)
        return self._ledger.on_request(borrower, incarnation, request, now_us)

    # Periodic work

    def recalls(self, now_us: int) -> list[tuple[int, Item]]:
        """Returns the recalls, due after a start in a small fleet, of a previous incarnation's loans."""
        restricted = now_us < self._ledger.floors_until_us and self._member_list.size <= FANOUT + 1
        if not restricted or now_us < self._next_recall_us:
            return []
        self._next_recall_us = now_us + RECALL_INTERVAL_US
        return [(member_id, LoanRecall()) for member_id in self._ledger.unacknowledged_peers()]

    def follow_demand(self, now_us: int) -> list[tuple[int, Item]]:
        """Updates the demand of all budgets.

        Returns:
            The releases of loans that are no longer needed and the requests for missing parts, by receiver.
        """
        keys = [*self._demand.keys(), *self._slow_start_demand.keys()]
        items: list[tuple[int, Item]] = []
        for key in keys:
            items += self._update_demand(key, now_us)
        requests_by_member: dict[int, list[LoanRequest]] = {}
        for key in self._ledger.requests_due(keys, now_us):
            request = self._ledger.make_request(key, now_us)
            for member_id in self._lenders(key):
                requests_by_member.setdefault(member_id, []).append(request)
        return items + [
            (member_id, request) for member_id, requests in requests_by_member.items() for request in requests
        ]

    def end_slow_starts(self, now_us: int) -> list[tuple[int, Item]]:
        """Ends the slow starts that are over and returns the releases of their loans, by receiver."""
        items: list[tuple[int, Item]] = []
        for shard, slow_start in list(self._slow_starts.items()):
            if now_us >= slow_start.until_us:
                del self._slow_starts[shard]
                self._slow_start_demand.forget(slow_start.key)
                items += self._ledger.return_loans(slow_start.key)
        return items

    def drop_idle(self, now_us: int) -> None:
        """Drops the idle budgets, once in IDLE_BUDGET_US."""
        if now_us - self._last_sweep_us <= IDLE_BUDGET_US:
            return
        self._last_sweep_us = now_us
        for key in self._ledger.drop_idle(now_us, IDLE_BUDGET_US):
            self._quotas.pop(key, None)
            self._demand.forget(key)
            if key.kind == BudgetKind.LIMIT:
                self._limits.pop(key.key, None)

    def return_all(self) -> list[tuple[int, Item]]:
        """Returns the releases of all borrowed loans, by receiver."""
        return [item for key in list(self._ledger.budgets) for item in self._ledger.return_loans(key)]

    # Quotas for the scheduler

    def changed_quotas(self, now_us: int) -> Iterable[QuotaUpdated]:
        """Yields the quotas that have changed since they were last sent to the scheduler."""
        for key in self._ledger.take_active(now_us):
            budget = self._ledger.budgets.get(key)
            if budget is None or not budget.used_here:
                continue
            quota = self._ledger.quota(key, now_us)
            if self._quotas.get(key) != quota:
                self._quotas[key] = quota
                yield QuotaUpdated(BudgetKind(key.kind), key.key, quota, budget.owned)

    def last_sent_quotas(self) -> list[QuotaUpdated]:
        """Returns every quota as it was last sent to the scheduler."""
        return [
            QuotaUpdated(BudgetKind(key.kind), key.key, quota, self._ledger.budgets[key].owned)
            for key, quota in self._quotas.items()
            if key in self._ledger.budgets
        ]

    # Rules

    def _update_demand(self, key: BudgetKey, now_us: int) -> list[tuple[int, Item]]:
        """Updates a budget's demand; returns the releases of its loans if the owned parts suffice."""
        budget = self._ledger.budgets.get(key)
        if budget is None:
            return []
        is_slow_start = key.kind == BudgetKind.SLOW_START
        estimator = self._slow_start_demand if is_slow_start else self._demand
        rate = estimator.rate(key, now_us) * DEMAND_HEADROOM
        if is_slow_start:
            parts = int(rate * MICRO_UNITS * SLOW_START_DEMAND_MULTIPLE)
            budget.demand = min(SLOW_START_PARTS_LIMIT - 1, parts)
        elif key.kind == BudgetKind.LIMIT:
            limit = self._limits.get(key.key)
            limit_rate = limit.rate if limit is not None else 0.0
            budget.demand = min(TOTAL_PARTS, int(rate / limit_rate * TOTAL_PARTS)) if limit_rate else 0
        else:
            budget.demand = min(TOTAL_PARTS, int(rate / self._retry_rate * TOTAL_PARTS))
        return self._ledger.return_loans(key) if budget.demand < budget.owned else []

    def _lenders(self, key: BudgetKey) -> list[int]:
        """Returns the members to request a loan from.

        In a small fleet these are all members. In a large one they are at most FANOUT. For a limit: its known
        users, the members that hints name as users, and the rendezvous members. For other budgets: the
        members that have already lent, so that few lenders hold the loans. Random members fill the rest.
        """
        others = [n for n in self._others if self._membership.members[n].state is not MemberState.LEFT]
        if len(others) <= FANOUT:
            return others
        budget = self._ledger.budgets[key]
        if key.kind == BudgetKind.LIMIT:
            preferred = sorted(budget.users)[:FANOUT]
            if len(preferred) >= budget.hosts - 1:
                return preferred
            likely_users = [
                *preferred,
                *sorted(budget.user_hints),
                *self._registry.rendezvous_members(key),
            ]
            preferred = list(dict.fromkeys(likely_users))[:FANOUT]
        else:
            preferred = [n for n in budget.loans_in if n in others][:FANOUT]
        candidates = [n for n in others if n not in preferred]
        return preferred + self._random.sample(candidates, min(len(candidates), FANOUT - len(preferred)))
