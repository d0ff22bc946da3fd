"""The budgets that brokers share: what this broker owns of each, has lent and has borrowed. Pure.

Each broker owns a part of each budget (of a volume's limit: an even one for each broker that the volume works
through) and may lend what is above its floor. The lender lowers its own quota before the grant is sent. A
loan has an end that both sides count on their own clock: the borrower from when it sent its request, the
lender from when the request arrived, which is later, and longer by the stated error of clocks (leases: Gray
and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989,
section 3). So no two clocks have to agree, and what is lost, duplicated, late or held by a member that died
comes back by itself. A broker that has just started may have granted loans that it does not know of: it is
restricted to its floors until the longest of them must have ended, or until all other members have
acknowledged that they use none of them.

Invariant, at any moment, for each budget: the sum over the brokers that use it, of what each has left of its
own and has borrowed, is at most the whole. docs/fleet-state.md has the proof.

Amounts are `parts`: millionths of the whole for limits and retries, micro-units a second at an endpoint in
slow start.
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

TOTAL_PARTS = 1_000_000  # parts of a volume's limit, or of the rate of retries
LOAN_DURATION_US = 1_500_000
REQUEST_INTERVAL_US = 400_000  # between requests for one budget: a loan outlives two lost requests
FLOOR_DIVISOR = 20  # one of so many of its own parts is never lent
SLOW_START_FLOOR_DIVISOR = 2  # the same at an endpoint in slow start, where a broker sees few requests
LOAN_MIN_PARTS = 1000  # less is not worth a loan
BUDGETS_MAX = 8192  # past it nothing new is lent or borrowed
OPEN_REQUESTS_MAX = 8  # remembered for a budget
USER_HINTS_MAX = 8  # remembered for a budget
SLOW_START_SKEW_MS = 1_000  # by which a borrower may hold a slow start older: two may see one so far apart
LOANS_PER_BORROWER_MAX = 8  # past it they count as one, the largest and longest


class BudgetKind(IntEnum):
    """What a budget is of; its key names it within its kind. The values are those of datagrams."""

    LIMIT = 1  # a volume's limit: parts of its rate
    SLOW_START = 2  # an endpoint in slow start: a rate, in micro-units a second
    RETRIES = 3  # retries of all brokers: parts of their rate


class BudgetKey(NamedTuple):
    """A budget's name at every broker: its kind, and its volume or its endpoint's key (0 for retries)."""

    kind: int
    key: int


@dataclass(slots=True)
class LoanOut:
    """A loan to one borrower's incarnation, for its request `request_id`, until `end_us` of this clock."""

    incarnation: int
    request_id: int
    parts: int
    end_us: int


@dataclass(slots=True)
class LoanIn:
    """A loan of one lender, for this broker's request `request_id`, until `end_us` of this clock."""

    request_id: int
    parts: int
    end_us: int


@dataclass(slots=True)
class Budget:
    """One budget, as this broker has it. Loans are by the other member's number."""

    owned: int  # parts
    hosts: int  # how many brokers use it
    used_here: bool = False
    demand: int = 0  # of this broker's own requests, in parts
    loans_out: dict[int, list[LoanOut]] = field(default_factory=dict)
    loans_in: dict[int, LoanIn] = field(default_factory=dict)
    users: set[int] = field(default_factory=set)  # others that said themselves that they use it
    user_hints: set[int] = field(default_factory=set)  # others of which that was said: only asked
    hint_turn: int = 0  # which user the next grant names
    open_requests: dict[int, int] = field(default_factory=dict)  # request's number -> when it was sent
    released_up_to: int = 0  # grants for requests up to this number are ignored
    requested_us: int = 0
    used_us: int = 0
    floor_divisor: int = FLOOR_DIVISOR
    slow_start_began_ms: int = 0  # a loan of one slow start is of no use in an older one

    @property
    def floor(self) -> int:
        """Parts that are never lent."""
        return self.owned // self.floor_divisor

    def loaned_parts(self, now_us: int, except_to: int = -1) -> int:
        """Parts that others may be using, as far as this broker can know: the largest loan of each."""
        return sum(
            max((loan.parts for loan in loans if loan.end_us > now_us), default=0)
            for borrower, loans in self.loans_out.items()
            if borrower != except_to
        )

    def drop_expired(self, now_us: int) -> None:
        """Forget the loans that have ended, and join those that are too many."""
        for borrower, loans in list(self.loans_out.items()):
            current = [loan for loan in loans if loan.end_us > now_us]
            if len(current) > LOANS_PER_BORROWER_MAX:
                largest, latest_us = max(one.parts for one in current), max(one.end_us for one in current)
                current = [LoanOut(0, 0, largest, latest_us)]
            if current:
                self.loans_out[borrower] = current
            else:
                del self.loans_out[borrower]
        self.loans_in = {lender: one for lender, one in self.loans_in.items() if one.end_us > now_us}


@dataclass(frozen=True, slots=True)
class Quota:
    """What this broker may use of a budget: `parts` until `until_us` (0: no end), `parts_after` from then."""

    parts: int
    until_us: int
    parts_after: int


class QuotaLedger:
    """All budgets of one broker.

    Args:
        own_id: this broker's number.
        incarnation: this start's number; a later start has a higher one.
        first_request_id: requests are numbered from the next one; drawn at random, so that a late grant for a
            previous incarnation answers none of this one's requests.
        clock_error_us: by which two clocks may differ over the duration of a loan.
        now_us: the time of the start.
        others: the numbers of all other members.
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
        # From then on all loans that a previous incarnation granted have ended.
        self.floors_until_us = now_us + LOAN_DURATION_US + clock_error_us
        self.active: set[BudgetKey] = set()  # budgets whose quota may change without a request
        self.budgets_refused = 0  # for want of room
        self._others = tuple(others)
        self._last_request_id = first_request_id
        self._recalling_incarnations: dict[
            int, int
        ] = {}  # incarnations of lenders that recalled what previous ones granted
        self._recall_acks: set[int] = set()  # members that use no loan of a previous incarnation of this one

    # What this broker has

    def open_budget(
        self, key: BudgetKey, owned: int, hosts: int, used_here: bool, now_us: int
    ) -> Budget | None:
        """The budget `key`, of which `owned` parts are this broker's own; None where there is no room for it.

        More hosts make the own part smaller. It never grows again, since others may count on the smaller one.
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
        """A slow start of the endpoint `key` began: `owned` micro-units a second are this broker's own.

        Loans granted in the slow start before count until they end, so that the same part is never used
        twice.

        Returns:
            The releases of loans that were borrowed in the slow start before.
        """
        budget = self.open_budget(key, owned, hosts, True, now_us)
        if budget is None:
            return []
        budget.owned, budget.slow_start_began_ms = owned, began_ms % WRAP_MODULUS
        budget.demand = budget.requested_us = 0
        return self.return_loans(key)

    def available_own_parts(self, budget: Budget, now_us: int) -> int:
        """Parts of its own that are not lent; after a start no more than the floor."""
        left = max(0, budget.owned - budget.loaned_parts(now_us))
        return left if now_us >= self.floors_until_us else min(left, budget.floor)

    def borrowed_parts(self, key: BudgetKey, budget: Budget, now_us: int) -> int:
        """What the loans to this broker add up to.

        Of a limit only its users own a part, and who uses it may not be known. Then members that are not
        known as users count as non-users as far as `hosts` allows, those with the largest loans first.
        """
        parts = {lender: one.parts for lender, one in budget.loans_in.items() if one.end_us > now_us}
        if key.kind != BudgetKind.LIMIT:
            return sum(parts.values())
        others = budget.hosts - 1
        if len(budget.users) >= others:
            return sum(sorted(parts.get(user, 0) for user in budget.users)[:others])
        of_users = sum(parts.get(user, 0) for user in budget.users)
        of_unknown = sorted(parts.get(other, 0) for other in self._others if other not in budget.users)
        return of_users + sum(of_unknown[: others - len(budget.users)])

    def quota(self, key: BudgetKey, now_us: int) -> Quota:
        """What may be used of a budget that is kept (KeyError: it is not)."""
        budget = self.budgets[key]
        available_own_parts = self.available_own_parts(budget, now_us)
        ends_us = [one.end_us for one in budget.loans_in.values() if one.end_us > now_us]
        return Quota(
            available_own_parts + self.borrowed_parts(key, budget, now_us),
            min(ends_us, default=0),
            available_own_parts,
        )

    # Borrowing

    def requests_due(self, keys: Iterable[BudgetKey], now_us: int) -> list[BudgetKey]:
        """Those of `keys` of which more is wanted than is owned, and that were not requested just now."""
        return [
            key
            for key in keys
            if (budget := self.budgets.get(key)) is not None
            and budget.demand > budget.owned
            and budget.hosts > 1
            and now_us - budget.requested_us >= REQUEST_INTERVAL_US
        ]

    def make_request(self, key: BudgetKey, now_us: int, parts: int | None = None) -> LoanRequest:
        """A request for the demand, or for `parts`; it must be sent at once, since the loan's time runs.

        A request for 0 parts says that this broker uses the budget, and is answered with another user.
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
        """A grant arrived. It replaces what the same lender granted for an earlier request.

        It is ignored unless it answers an open request, is newer than the last release, and its lender's
        incarnation is not one that was recalled.

        Returns:
            Whether what this broker may use has changed.
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
        before = budget.loans_in.get(lender)
        superseded = before is not None and grant.request_id < before.request_id
        if sent_us is None or grant.request_id <= budget.released_up_to or superseded:
            return False
        end_us = sent_us + LOAN_DURATION_US
        if end_us <= now_us or not grant.parts:
            budget.loans_in.pop(lender, None)
            return before is not None
        budget.loans_in[lender] = LoanIn(grant.request_id, grant.parts, end_us)
        self.active.add(key)
        return True

    def on_recall(self, lender: int, incarnation: int) -> LoanRecallAck:
        """A lender has restarted: use no loan of its previous incarnations, and no late grant of them."""
        if incarnation > self._recalling_incarnations.get(lender, 0):
            self._recalling_incarnations[lender] = incarnation
            for key, budget in self.budgets.items():
                if budget.loans_in.pop(lender, None) is not None:
                    self.active.add(key)
        return LoanRecallAck(self._recalling_incarnations[lender])

    def return_loans(self, key: BudgetKey) -> list[tuple[int, Item]]:
        """Use nothing borrowed of this budget from here on; the releases to send."""
        budget = self.budgets.get(key)
        if budget is None or not budget.loans_in:
            return []
        lenders, budget.loans_in = list(budget.loans_in), {}
        budget.released_up_to = self._last_request_id
        budget.open_requests.clear()
        return [(lender, LoanRelease(key.kind, key.key, budget.released_up_to)) for lender in lenders]

    # Lending

    def on_request(self, borrower: int, incarnation: int, request: LoanRequest, now_us: int) -> LoanGrant:
        """Lend what is above the floor and not wanted here; a grant of 0 parts says that nothing is."""
        refusal = LoanGrant(request.kind, request.key, request.request_id, 0, 0)
        known_kind = request.kind in (BudgetKind.LIMIT, BudgetKind.SLOW_START, BudgetKind.RETRIES)
        if not known_kind or request.duration_ms * 1000 > LOAN_DURATION_US:
            return refusal
        key = BudgetKey(request.kind, request.key)
        budget = self.budgets.get(key)
        is_limit = request.kind == BudgetKind.LIMIT
        if is_limit and request.hosts > 1 and (budget is None or not budget.used_here):
            # Not used here so far: a broker that may use it later can promise not to until the loan ends.
            budget = self.open_budget(key, TOTAL_PARTS // request.hosts, request.hosts, False, now_us)
        if budget is None or budget.hosts != request.hosts:
            return refusal
        if request.kind == BudgetKind.SLOW_START and _began_before(request, budget):
            return refusal
        hint = 0
        if is_limit:
            others = sorted(budget.users - {borrower})
            budget.users.add(borrower)
            budget.hint_turn += 1
            hint = 1 + others[budget.hint_turn % len(others)] if others else 0
        budget.drop_expired(now_us)
        refusal = LoanGrant(request.kind, request.key, request.request_id, 0, budget.used_here, hint)
        if now_us < self.floors_until_us:
            return refusal
        keep = max(budget.floor, min(budget.owned, budget.demand) if budget.used_here else 0)
        parts = min(request.parts, budget.owned - keep - budget.loaned_parts(now_us, borrower))
        if parts < min(LOAN_MIN_PARTS, max(1, budget.owned // 100)):
            return refusal
        self.active.add(key)
        end_us = now_us + request.duration_ms * 1000 + self.clock_error_us
        budget.loans_out.setdefault(borrower, []).append(
            LoanOut(incarnation, request.request_id, parts, end_us)
        )
        return LoanGrant(request.kind, request.key, request.request_id, parts, budget.used_here, hint)

    def on_release(self, borrower: int, incarnation: int, release: LoanRelease) -> bool:
        """A borrower uses nothing granted for its requests up to one; whether a loan ended by that."""
        budget = self.budgets.get(BudgetKey(release.kind, release.key))
        if budget is None or borrower not in budget.loans_out:
            return False
        before = budget.loans_out[borrower]
        current = [
            one for one in before if one.incarnation != incarnation or one.request_id > release.request_id
        ]
        if current:
            budget.loans_out[borrower] = current
        else:
            del budget.loans_out[borrower]
        return len(current) != len(before)

    # After a start

    def on_recall_ack(self, borrower: int, ack: LoanRecallAck, now_us: int) -> bool:
        """A member uses no loan of a previous incarnation of this one.

        Returns:
            Whether it was the last one, by which the restriction to the floors ends.
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
        """The members that have not acknowledged the recall yet."""
        return tuple(other for other in self._others if other not in self._recall_acks)

    # Time

    def take_active(self, now_us: int) -> list[BudgetKey]:
        """The budgets whose quota may have changed.

        Only those with loans in either direction stay active, and all of them while the floors restrict.
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
        """Drop and return the budgets that have no loans and were not used for `idle_us`."""
        dropped = []
        for key, budget in list(self.budgets.items()):
            budget.drop_expired(now_us)
            if not budget.loans_out and not budget.loans_in and now_us - budget.used_us > idle_us:
                del self.budgets[key]
                dropped.append(key)
        return dropped


def _began_before(request: LoanRequest, budget: Budget) -> bool:
    """Whether the borrower holds the slow start for older than this broker: it may have missed a restart."""
    half = WRAP_MODULUS // 2
    ahead_ms = (request.slow_start_began_ms - budget.slow_start_began_ms + half) % WRAP_MODULUS
    return ahead_ms < half - SLOW_START_SKEW_MS
