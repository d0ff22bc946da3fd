"""The ledger of shared budgets: what this broker owns of each, has lent and has borrowed. Performs no I/O.

Each broker owns a part of each budget (of a volume's limit, an equal part for each broker that serves the
volume). It may lend this part except for its floor, a fixed fraction that is never lent. The lender lowers
its own quota before it sends the grant. Both sides time a loan with their own clock: the borrower from when
it sent the request; the lender from when the request arrived, which is later, and for longer by the stated
clock error (leases: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
Cache Consistency", 1989, section 3).
Clocks therefore need not agree, and parts whose grant or release was lost, duplicated or delayed, or whose
borrower died, return to the lender when the loan ends. A broker that has just started may have granted loans
in a previous incarnation. It is restricted to its floors until the longest of those loans must have ended, or
until all other members have acknowledged that they use none of them.

Invariant, at any moment and for each budget: summed over the brokers that use it, the owned parts that are
not lent plus the borrowed parts are at most the whole budget. docs/fleet-state.md has the proof.

Amounts are in `parts`: millionths of the whole for limits and retries, micro-units a second for an endpoint
in slow start.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from lemonridge.fleet.datagrams import (
    WRAP_MODULUS,
    Item,
    LoanGrant,
    LoanRecallAck,
    LoanRelease,
    LoanRequest,
)

TOTAL_PARTS = 1_000_000  # parts in the whole of a volume's limit, or of the retry rate
LOAN_DURATION_US = 1_500_000
REQUEST_INTERVAL_US = 400_000  # between requests for one budget: a loan outlasts two lost requests
FLOOR_DIVISOR = 20  # 1/20 of the parts that a broker owns is never lent
SLOW_START_FLOOR_DIVISOR = 2  # 1/2 for an endpoint in slow start, where each broker sees few requests
LOAN_MIN_PARTS = 1000  # smaller loans are not worth granting
BUDGETS_MAX = 8192  # beyond it, budgets are neither lent nor borrowed
OPEN_REQUESTS_MAX = 8  # for each budget
USER_HINTS_MAX = 8  # for each budget
SLOW_START_SKEW_MS = 1_000  # two brokers may record the start of one slow start this far apart
LOANS_PER_BORROWER_MAX = 8  # beyond it, loans are merged into one with the largest parts and latest end


class BudgetKind(IntEnum):
    """The kind of a budget; the values are those in datagrams."""

    LIMIT = 1  # a volume's limit: parts of its rate
    SLOW_START = 2  # an endpoint in slow start: a rate in micro-units a second
    RETRIES = 3  # the retries of all brokers: parts of their rate


class BudgetKey(NamedTuple):
    """Identifies a budget at every broker: its kind and its volume or endpoint key (0 for retries)."""

    kind: int
    key: int


@dataclass(slots=True)
class LoanOut:
    """A loan to a borrower's incarnation for its request `request_id`; ends at `end_us` of this clock."""

    incarnation: int
    request_id: int
    parts: int
    end_us: int


@dataclass(slots=True)
class LoanIn:
    """A loan from a lender for this broker's request `request_id`; ends at `end_us` of this clock."""

    request_id: int
    parts: int
    end_us: int


@dataclass(slots=True)
class Budget:
    """This broker's record of one budget. Loans are keyed by the other member's id."""

    owned: int  # parts
    hosts: int  # the number of brokers that use the budget
    used_here: bool = False
    demand: int = 0  # of this broker's own requests, in parts
    loans_out: dict[int, list[LoanOut]] = field(default_factory=dict)
    loans_in: dict[int, LoanIn] = field(default_factory=dict)
    users: set[int] = field(default_factory=set)  # other members that reported their own use
    # Members that others named as users: they are sent requests, but not counted as users.
    user_hints: set[int] = field(default_factory=set)
    hint_rotation: int = 0  # selects the user that the next grant names
    open_requests: dict[int, int] = field(default_factory=dict)  # by request id: when it was sent
    released_up_to: int = 0  # grants for request ids up to this one are ignored
    requested_us: int = 0  # the time of the last loan request
    used_us: int = 0  # the time of the last use
    floor_divisor: int = FLOOR_DIVISOR
    slow_start_began_ms: int = 0  # requests for an older slow start are refused

    @property
    def floor(self) -> int:
        """The parts that are never lent."""
        return self.owned // self.floor_divisor

    def loaned_parts(self, now_us: int, excluded_borrower: int = -1) -> int:
        """Returns the parts that other members may be using: the largest current loan of each borrower."""
        return sum(
            max((loan.parts for loan in loans if loan.end_us > now_us), default=0)
            for borrower, loans in self.loans_out.items()
            if borrower != excluded_borrower
        )

    def drop_expired(self, now_us: int) -> None:
        """Drops the loans that have ended; merges a borrower's loans above LOANS_PER_BORROWER_MAX."""
        for borrower, loans in list(self.loans_out.items()):
            current = [loan for loan in loans if loan.end_us > now_us]
            if len(current) > LOANS_PER_BORROWER_MAX:
                largest, latest_us = max(loan.parts for loan in current), max(loan.end_us for loan in current)
                current = [LoanOut(0, 0, largest, latest_us)]
            if current:
                self.loans_out[borrower] = current
            else:
                del self.loans_out[borrower]
        self.loans_in = {lender: loan for lender, loan in self.loans_in.items() if loan.end_us > now_us}


@dataclass(frozen=True, slots=True)
class Quota:
    """What this broker may use of a budget: `parts` until `until_us` (0: no end), then `parts_after`."""

    parts: int
    until_us: int
    parts_after: int


class QuotaLedger:
    """All budgets of one broker.

    Attributes:
        own_id: This broker's member id.
        incarnation: This start's number.
        clock_error_us: The clock error that is added to the end of each loan granted.
        budgets: The budgets by key.
        floors_until_us: Until this time the broker may use no more of its own parts than its floors.
        active: The budgets whose quota may change without a request.
        budgets_refused: How many budgets were not opened because of BUDGETS_MAX.
        lends: Whether loans are granted; False while another process of this broker uses its parts.

    Args:
        own_id: This broker's member id.
        incarnation: This start's number; a later start has a higher one.
        first_request_id: Request ids begin after this one. It is random, so that a late grant for a previous
            incarnation matches no request of this one.
        clock_error_us: How far two clocks may diverge over the duration of a loan.
        now_us: The time of the start.
        others: The ids of all other members.
    """

    def __init__(
        self,
        own_id: int,
        incarnation: int,
        first_request_id: int,
        clock_error_us: int,
        now_us: int,
        others: Iterable[int] = (),
    ) -> None:
        self.own_id, self.incarnation, self.clock_error_us = own_id, incarnation, clock_error_us
        self.budgets: dict[BudgetKey, Budget] = {}
        # By this time all loans that a previous incarnation granted have ended.
        self.floors_until_us = now_us + LOAN_DURATION_US + clock_error_us
        self.active: set[BudgetKey] = set()
        self.budgets_refused = 0
        self.lends = True
        self._others = tuple(others)
        self._last_request_id = first_request_id
        # By lender: its incarnation that recalled the loans of the previous ones.
        self._recalling_incarnations: dict[int, int] = {}
        self._recall_acks: set[int] = set()  # members that use no loan of this broker's previous incarnations

    # Owned parts and quotas

    def restrict_to_floors(self, now_us: int) -> None:
        """Begins the restriction to the floors anew: a predecessor may have granted loans until now."""
        self.floors_until_us = now_us + LOAN_DURATION_US + self.clock_error_us
        self._recall_acks.clear()
        self.active.update(self.budgets)

    def open_budget(
        self, key: BudgetKey, owned: int, hosts: int, used_here: bool, now_us: int
    ) -> Budget | None:
        """Returns the budget `key`, created if necessary; None if there is no room for it.

        A higher number of hosts reduces the owned parts. They never grow again, since other brokers may rely
        on the smaller value.

        Args:
            key: The budget.
            owned: The parts that this broker owns.
            hosts: The number of brokers that use the budget.
            used_here: Whether this broker uses the budget.
            now_us: The time of this use.
        """
        budget = self.budgets.get(key)
        self.active.add(key)
        if budget is None:
            if len(self.budgets) >= BUDGETS_MAX:
                self.budgets_refused += 1
                return None
            divisor = SLOW_START_FLOOR_DIVISOR if key.kind == BudgetKind.SLOW_START else FLOOR_DIVISOR
            budget = self.budgets[key] = Budget(owned, hosts, floor_divisor=divisor)
        elif hosts > budget.hosts:
            budget.owned, budget.hosts = min(budget.owned, owned), hosts
        budget.used_here = budget.used_here or used_here
        budget.used_us = now_us
        return budget

    def begin_slow_start(
        self, key: BudgetKey, owned: int, hosts: int, began_ms: int, now_us: int
    ) -> list[tuple[int, Item]]:
        """Opens the budget of an endpoint's slow start; `owned` is in micro-units a second.

        Loans granted in the endpoint's previous slow start count until they end, so that no part is used
        twice.

        Returns:
            The releases of loans borrowed in the previous slow start, by receiver.
        """
        budget = self.open_budget(key, owned, hosts, True, now_us)
        if budget is None:
            return []
        budget.owned, budget.slow_start_began_ms = owned, began_ms % WRAP_MODULUS
        budget.demand = budget.requested_us = 0
        return self.return_loans(key)

    def available_own_parts(self, budget: Budget, now_us: int) -> int:
        """Returns the owned parts that are not lent; at most the floor while floors restrict this broker."""
        unlent = max(0, budget.owned - budget.loaned_parts(now_us))
        return unlent if now_us >= self.floors_until_us else min(unlent, budget.floor)

    def borrowed_parts(self, key: BudgetKey, budget: Budget, now_us: int) -> int:
        """Returns the parts that this broker may use of its current loans.

        Only the `hosts` users of a limit own parts of it, and this broker may not know all of them. Loans of
        at most `hosts - 1` members therefore count: those of the known users, and the smallest loans of the
        other members (a member without a loan counts as 0).
        """
        parts = {lender: loan.parts for lender, loan in budget.loans_in.items() if loan.end_us > now_us}
        if key.kind != BudgetKind.LIMIT:
            return sum(parts.values())
        lenders_max = budget.hosts - 1
        if len(budget.users) >= lenders_max:
            return sum(sorted(parts.get(user, 0) for user in budget.users)[:lenders_max])
        from_users = sum(parts.get(user, 0) for user in budget.users)
        from_others = sorted(parts.get(other, 0) for other in self._others if other not in budget.users)
        return from_users + sum(from_others[: lenders_max - len(budget.users)])

    def quota(self, key: BudgetKey, now_us: int) -> Quota:
        """Returns the quota of an open budget.

        Raises:
            KeyError: The ledger does not hold the budget.
        """
        budget = self.budgets[key]
        own_parts = self.available_own_parts(budget, now_us)
        ends_us = [loan.end_us for loan in budget.loans_in.values() if loan.end_us > now_us]
        return Quota(own_parts + self.borrowed_parts(key, budget, now_us), min(ends_us, default=0), own_parts)

    # Borrowing

    def requests_due(self, keys: Iterable[BudgetKey], now_us: int) -> list[BudgetKey]:
        """Returns those of `keys` whose demand exceeds the owned parts and whose next request is due."""
        return [
            key
            for key in keys
            if (budget := self.budgets.get(key)) is not None
            and budget.demand > budget.owned
            and budget.hosts > 1
            and now_us - budget.requested_us >= REQUEST_INTERVAL_US
        ]

    def make_request(self, key: BudgetKey, now_us: int, parts: int | None = None) -> LoanRequest:
        """Creates a request for `parts`, or for the demand if None.

        It must be sent immediately, since the loan's duration counts from `now_us`. A request for 0 parts
        registers this broker as a user of the budget; its answer names another user.
        """
        budget = self.budgets[key]
        self._last_request_id += 1
        if parts is None:
            parts, budget.requested_us = max(0, budget.demand), now_us
        budget.open_requests[self._last_request_id] = now_us
        while len(budget.open_requests) > OPEN_REQUESTS_MAX:
            del budget.open_requests[next(iter(budget.open_requests))]
        return LoanRequest(
            key.kind,
            key.key,
            min(255, budget.hosts),
            self._last_request_id,
            parts,
            LOAN_DURATION_US // 1000,
            budget.slow_start_began_ms,
        )

    def on_grant(self, lender: int, incarnation: int, grant: LoanGrant, now_us: int) -> bool:
        """Applies a grant; it replaces the same lender's grant for an earlier request.

        A grant is ignored unless it answers an open request, that request is newer than the last release, and
        the lender's incarnation is not one whose loans were recalled.

        Returns:
            Whether this broker's quota has changed.
        """
        key = BudgetKey(grant.kind, grant.key)
        budget = self.budgets.get(key)
        if budget is None or incarnation < self._recalling_incarnations.get(lender, 0):
            return False
        if grant.kind == BudgetKind.LIMIT:
            if grant.lender_uses_budget:
                budget.users.add(lender)
            hint = grant.user_hint - 1
            if grant.user_hint and hint in self._others and len(budget.user_hints) < USER_HINTS_MAX:
                budget.user_hints.add(hint)
        sent_us = budget.open_requests.get(grant.request_id)
        previous = budget.loans_in.get(lender)
        is_older = previous is not None and grant.request_id < previous.request_id
        if sent_us is None or grant.request_id <= budget.released_up_to or is_older:
            return False
        end_us = sent_us + LOAN_DURATION_US
        if end_us <= now_us or not grant.parts:
            budget.loans_in.pop(lender, None)
            return previous is not None
        budget.loans_in[lender] = LoanIn(grant.request_id, grant.parts, end_us)
        self.active.add(key)
        return True

    def on_recall(self, lender: int, incarnation: int) -> LoanRecallAck:
        """Drops all loans of a restarted lender's previous incarnations; their late grants are ignored."""
        if incarnation > self._recalling_incarnations.get(lender, 0):
            self._recalling_incarnations[lender] = incarnation
            for key, budget in self.budgets.items():
                if budget.loans_in.pop(lender, None) is not None:
                    self.active.add(key)
        return LoanRecallAck(self._recalling_incarnations[lender])

    def return_loans(self, key: BudgetKey) -> list[tuple[int, Item]]:
        """Stops using the loans of a budget and returns the releases to send, by receiver."""
        budget = self.budgets.get(key)
        if budget is None or not budget.loans_in:
            return []
        lenders, budget.loans_in = list(budget.loans_in), {}
        budget.released_up_to = self._last_request_id
        budget.open_requests.clear()
        return [(lender, LoanRelease(key.kind, key.key, budget.released_up_to)) for lender in lenders]

    # Lending

    def on_request(self, borrower: int, incarnation: int, request: LoanRequest, now_us: int) -> LoanGrant:
        """Lends parts that neither the floor nor own demand reserves; a grant of 0 parts is a refusal."""
        refusal = LoanGrant(request.kind, request.key, request.request_id, 0, 0)
        known_kind = request.kind in (BudgetKind.LIMIT, BudgetKind.SLOW_START, BudgetKind.RETRIES)
        if not known_kind or request.duration_ms * 1000 > LOAN_DURATION_US:
            return refusal
        key = BudgetKey(request.kind, request.key)
        budget = self.budgets.get(key)
        is_limit = request.kind == BudgetKind.LIMIT
        if is_limit and request.hosts > 1 and (budget is None or not budget.used_here):
            # This broker does not use the limit yet. It lends the part that it would own as a user, and will
            # not use the lent parts before the loan ends.
            budget = self.open_budget(key, TOTAL_PARTS // request.hosts, request.hosts, False, now_us)
        if budget is None or budget.hosts != request.hosts:
            return refusal
        if request.kind == BudgetKind.SLOW_START and _refers_to_older_slow_start(request, budget):
            return refusal
        hint = 0
        if is_limit:
            others = sorted(budget.users - {borrower})
            budget.users.add(borrower)
            budget.hint_rotation += 1
            hint = 1 + others[budget.hint_rotation % len(others)] if others else 0
        budget.drop_expired(now_us)
        refusal = LoanGrant(request.kind, request.key, request.request_id, 0, budget.used_here, hint)
        if not self.lends or now_us < self.floors_until_us:
            return refusal
        reserved = max(budget.floor, min(budget.owned, budget.demand) if budget.used_here else 0)
        parts = min(request.parts, budget.owned - reserved - budget.loaned_parts(now_us, borrower))
        if parts < min(LOAN_MIN_PARTS, max(1, budget.owned // 100)):
            return refusal
        self.active.add(key)
        end_us = now_us + request.duration_ms * 1000 + self.clock_error_us
        budget.loans_out.setdefault(borrower, []).append(
            LoanOut(incarnation, request.request_id, parts, end_us)
        )
        return LoanGrant(request.kind, request.key, request.request_id, parts, budget.used_here, hint)

    def on_release(self, borrower: int, incarnation: int, release: LoanRelease) -> bool:
        """Ends a borrower's loans for its requests up to `release.request_id`; returns whether any ended."""
        budget = self.budgets.get(BudgetKey(release.kind, release.key))
        if budget is None or borrower not in budget.loans_out:
            return False
        previous = budget.loans_out[borrower]
        remaining = [
            loan
            for loan in previous
            if loan.incarnation != incarnation or loan.request_id > release.request_id
        ]
        if remaining:
            budget.loans_out[borrower] = remaining
        else:
            del budget.loans_out[borrower]
        return len(remaining) != len(previous)

    # Recalls after a start

    def on_recall_ack(self, borrower: int, ack: LoanRecallAck, now_us: int) -> bool:
        """Records that a member uses no loan of this broker's previous incarnations.

        Returns:
            Whether this was the last missing acknowledgement, which ends the restriction to the floors.
        """
        if ack.incarnation != self.incarnation or now_us >= self.floors_until_us:
            return False
        self._recall_acks.add(borrower)
        if len(self._recall_acks) < len(self._others):
            return False
        self.floors_until_us = now_us
        self.active.update(self.budgets)
        return True

    def unacknowledged_peers(self) -> tuple[int, ...]:
        """Returns the members that have not acknowledged the recall yet."""
        return tuple(other for other in self._others if other not in self._recall_acks)

    # Periodic work

    def take_active(self, now_us: int) -> list[BudgetKey]:
        """Returns the budgets whose quota may have changed since the last call.

        Afterwards only budgets with loans in either direction stay active, or all while the floors restrict
        this broker.
        """
        active = list(self.active)
        for key in active:
            budget = self.budgets.get(key)
            if budget is not None:
                budget.drop_expired(now_us)
            if budget is None or (
                now_us >= self.floors_until_us and not budget.loans_out and not budget.loans_in
            ):
                self.active.discard(key)
        return active

    def drop_idle(self, now_us: int, idle_us: int) -> list[BudgetKey]:
        """Drops the budgets that have no loans and were not used for `idle_us`, and returns their keys."""
        dropped = []
        for key, budget in list(self.budgets.items()):
            budget.drop_expired(now_us)
            if not budget.loans_out and not budget.loans_in and now_us - budget.used_us > idle_us:
                del self.budgets[key]
                dropped.append(key)
        return dropped


def _refers_to_older_slow_start(request: LoanRequest, budget: Budget) -> bool:
    """Returns whether the request is for an older slow start: the borrower may have missed a restart."""
    half = WRAP_MODULUS // 2
    lead_ms = (request.slow_start_began_ms - budget.slow_start_began_ms + half) % WRAP_MODULUS
    return lead_ms < half - SLOW_START_SKEW_MS
