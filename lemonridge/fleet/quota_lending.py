"""Budgets of the fleet, dealt in slices that never add up to more than the whole. Pure.

Each broker owns a part of each budget (of a volume's limit: an even one for each broker that the volume works
through), and may lend what is above its floor. Who lends lowers its own before the message leaves. A loan has
an end that both sides count on their own clock: the borrower from when it sent its question, the lender from
when that came, and so later, and longer by the stated error of clocks (leases: Gray and Cheriton, "Leases: An
Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989, section 3). So no two clocks
have to agree, and what is lost, doubled, late or held by one that died comes back by itself. A broker that
has just started may have lent more than it knows of: it has its floors until the longest loan must be over,
or until all others have said that they use nothing any more of what it lent before.

Invariant, at any moment, for each budget: the sum over the brokers that use it, of what each has of its own
and what it has borrowed, is at most the whole. docs/fleet-state.md has the proof.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from lemonridge.fleet.datagrams import WRAP_MODULUS, Item, LoanGrant, LoanRecallAck, LoanRelease, LoanRequest

WHOLE_PARTS = 1_000_000  # parts of a volume's limit, or of the further attempts
LOAN_DURATION_US = 1_500_000  # of a loan: what a dead borrower keeps from others, against questions a second
REQUEST_INTERVAL_US = 400_000  # between two questions for the same budget: a loan outlives two that are lost
FLOOR_DIVISOR = (
    20  # one part of so many of what is its own is never lent: what stays idle when all of it is lent
)
SLOW_START_FLOOR_DIVISOR = 2  # the same at a cold node, where a broker sees a request now and then
LOAN_MIN_PARTS = 1000  # parts under this are not worth a loan
BUDGETS_MAX = 8192  # budgets that are kept; past it nothing new is lent or borrowed
OPEN_REQUESTS_MAX = 8  # questions remembered for a budget
USER_HINTS_MAX = 8  # of a budget
SLOW_START_SKEW_MS = 1_000  # by so much a borrower may hold a spell older: two may see one start so far apart
LOANS_PER_BORROWER_MAX = (
    8  # loans of one borrower that have not ended; past it they count as one, the largest and longest
)


class BudgetKind(IntEnum):
    """What a budget is of; `key` names it within its kind."""

    LIMIT = 1  # a volume's limit: parts of its rate
    COLD = 2  # a node's cold spell: a rate, in micro-units a second
    FURTHER = 3  # further attempts of all brokers: parts of their rate


Key = tuple[int, int]  # (kind, key)


@dataclass(slots=True)
class LoanOut:
    """What went to one borrower's incarnation for its question `ask`."""

    incarnation: int
    ask: int
    parts: int
    end_us: int


@dataclass(slots=True)
class LoanIn:
    """What one lender gave, for question `ask`, until `end_us` of this broker's clock."""

    ask: int
    parts: int
    end_us: int


@dataclass(slots=True)
class Budget:
    """One budget, as this broker has it."""

    base: int  # what is its own
    hosts: int  # how many brokers use it
    holds: bool = False  # whether this one does
    need: int = 0  # of its own use, in parts
    lent: dict[int, list[LoanOut]] = field(default_factory=dict)
    borrowed: dict[int, LoanIn] = field(default_factory=dict)
    users: set[int] = field(default_factory=set)  # others that said themselves that they use it
    hints: set[int] = field(default_factory=set)  # others of whom that was said: to be asked, no more
    turn: int = 0  # of the hints that are given
    asks: dict[int, int] = field(default_factory=dict)  # number -> when it was sent
    released: int = 0  # answers up to this question are not taken any more
    asked_us: int = 0
    used_us: int = 0
    floors: int = FLOOR_DIVISOR  # of how many parts of its own it never lends one
    born_ms: int = 0  # of a cold spell: what is lent in one is of no use in an older one

    @property
    def floor(self) -> int:
        return self.base // self.floors

    def out(self, now_us: int, but: int = -1) -> int:
        """Parts that others may be using, as far as this broker can know."""
        return sum(
            max((loan.parts for loan in loans if loan.end_us > now_us), default=0)
            for peer, loans in self.lent.items()
            if peer != but
        )

    def prune(self, now_us: int) -> None:
        """Forget what has ended."""
        for peer, loans in list(self.lent.items()):
            kept = [loan for loan in loans if loan.end_us > now_us]
            if len(kept) > LOANS_PER_BORROWER_MAX:
                kept = [LoanOut(0, 0, max(one.parts for one in kept), max(one.end_us for one in kept))]
            if kept:
                self.lent[peer] = kept
            else:
                del self.lent[peer]
        self.borrowed = {peer: one for peer, one in self.borrowed.items() if one.end_us > now_us}


@dataclass(frozen=True, slots=True)
class Quota:
    """What this broker may use of a budget: `parts` until `until_us`, `after` from then on."""

    parts: int
    until_us: int
    after: int


class QuotaLedger:
    """All budgets of one broker."""

    def __init__(self, me: int, incarnation: int, first_ask: int, error_us: int, now_us: int) -> None:
        self.me, self.incarnation, self.error_us = me, incarnation, error_us
        self.budgets: dict[Key, Budget] = {}
        self.floors_until_us = (
            now_us + LOAN_DURATION_US + error_us
        )  # from then on all loans made before this start are over
        self._ask = first_ask
        self.active: set[Key] = set()  # budgets whose slice may be another one soon
        self.refused = 0  # for want of room
        self._recalled: dict[int, int] = {}  # lenders that began anew, with the incarnation that they are
        self._clear: set[int] = set()  # peers that use nothing of an incarnation before this one

    # What this broker has

    def own(self, key: Key, base: int, hosts: int, holds: bool, now_us: int) -> Budget | None:
        """The budget `key`, of which `base` is this broker's own; None where there is no room for it.

        More hosts make the part smaller; it never grows again, since others may go by the smaller one.
        """
        pool = self.budgets.get(key)
        self.active.add(key)
        if pool is None:
            if len(self.budgets) >= BUDGETS_MAX:
                self.refused += 1
                return None
            floors = SLOW_START_FLOOR_DIVISOR if key[0] == BudgetKind.COLD else FLOOR_DIVISOR
            pool = self.budgets[key] = Budget(base, hosts, floors=floors)
        elif hosts > pool.hosts:
            pool.base, pool.hosts = min(pool.base, base), hosts
        pool.holds = pool.holds or holds
        pool.used_us = now_us
        return pool

    def slow_start_began(
        self, key: Key, base: int, hosts: int, born_ms: int, now_us: int
    ) -> list[tuple[int, Item]]:
        """A cold spell of the node `key` began: `base` is this broker's own right there from now on. What it
        lent in the spell before counts on until it ends, so that the same right is never used twice; what it
        borrowed then goes back.
        """
        pool = self.own(key, base, hosts, True, now_us)
        if pool is None:
            return []
        pool.base, pool.born_ms, pool.need, pool.asked_us = base, born_ms % WRAP_MODULUS, 0, 0
        return self.return_loans(key)

    def mine(self, pool: Budget, now_us: int) -> int:
        """What is left of its own."""
        left = max(0, pool.base - pool.out(now_us))
        return left if now_us >= self.floors_until_us else min(left, pool.floor)

    def extra(self, key: Key, pool: Budget, now_us: int) -> int:
        """What the loans to this broker add up to.

        Of a limit only those who use it have a part, and who uses it may not be known: then each that is not
        known counts as a non-user as far as `hosts` allows, the largest loans first.
        """
        held = {peer: one.parts for peer, one in pool.borrowed.items() if one.end_us > now_us}
        if key[0] != BudgetKind.LIMIT:
            return sum(held.values())
        others = pool.hosts - 1
        if len(pool.users) >= others:
            return sum(sorted(held.get(peer, 0) for peer in pool.users)[:others])
        known = sum(held.get(peer, 0) for peer in pool.users)
        rest = sorted(held.get(peer, 0) for peer in self._others if peer not in pool.users)
        return known + sum(rest[: others - len(pool.users)])

    _others: tuple[int, ...] = ()

    def among(self, others: Iterable[int]) -> QuotaLedger:
        """Who else there is: the roster but for this broker."""
        self._others = tuple(others)
        return self

    def slice(self, key: Key, now_us: int) -> Quota:
        """What may be used of a budget that is kept."""
        pool = self.budgets[key]
        mine = self.mine(pool, now_us)
        ends = [one.end_us for one in pool.borrowed.values() if one.end_us > now_us]
        return Quota(mine + self.extra(key, pool, now_us), min(ends, default=0), mine)

    # Borrowing

    def due(self, keys: Iterable[Key], now_us: int) -> list[Key]:
        """Of these budgets, those to be asked for now: their own part is too small, and a question is due."""
        return [
            key
            for key in keys
            if (pool := self.budgets.get(key)) is not None
            and pool.need > pool.base
            and pool.hosts > 1
            and now_us - pool.asked_us >= REQUEST_INTERVAL_US
        ]

    def ask(self, key: Key, now_us: int, parts: int | None = None) -> LoanRequest:
        """A question for what is missing, or for `parts`; it is to leave at once. One for nothing says that
        this broker uses the budget, and hears of others.
        """
        pool = self.budgets[key]
        self._ask += 1
        if parts is None:
            parts, pool.asked_us = max(0, pool.need), now_us
        pool.asks[self._ask] = now_us
        while len(pool.asks) > OPEN_REQUESTS_MAX:
            del pool.asks[next(iter(pool.asks))]
        return LoanRequest(
            key[0], key[1], min(255, pool.hosts), self._ask, parts, LOAN_DURATION_US // 1000, pool.born_ms
        )

    def on_grant(self, peer: int, incarnation: int, told: LoanGrant, now_us: int) -> bool:
        """An answer of one of the lender's incarnations. It counts from when its question was sent, replaces
        what the same lender gave for an earlier one, and means nothing if it answers none that is open.
        """
        pool = self.budgets.get((told.kind, told.key))
        if pool is None or incarnation < self._recalled.get(peer, 0):
            return False
        if told.kind == BudgetKind.LIMIT:
            if told.holds:
                pool.users.add(peer)
            if told.hint and told.hint - 1 in self._others and len(pool.hints) < USER_HINTS_MAX:
                pool.hints.add(told.hint - 1)
        sent_us = pool.asks.get(told.ask)
        before = pool.borrowed.get(peer)
        if sent_us is None or told.ask <= pool.released or (before is not None and told.ask < before.ask):
            return False
        end_us = sent_us + LOAN_DURATION_US
        if end_us <= now_us or not told.parts:
            pool.borrowed.pop(peer, None)
            return before is not None
        pool.borrowed[peer] = LoanIn(told.ask, told.parts, end_us)
        self.active.add((told.kind, told.key))
        return True

    def recalled(self, peer: int, incarnation: int) -> LoanRecallAck:
        """A lender began anew: what it lent before is used no more from here on, and no late word of its
        incarnation before counts.
        """
        if incarnation > self._recalled.get(peer, 0):
            self._recalled[peer] = incarnation
            for key, pool in self.budgets.items():
                if pool.borrowed.pop(peer, None) is not None:
                    self.active.add(key)
        return LoanRecallAck(self._recalled[peer])

    def cleared(self, peer: int, told: LoanRecallAck, now_us: int) -> bool:
        """A peer uses nothing of what an incarnation before this one lent. Once all of the roster say so,
        nothing of it is out.
        """
        if told.incarnation != self.incarnation or now_us >= self.floors_until_us:
            return False
        self._clear.add(peer)
        if len(self._clear) < len(self._others):
            return False
        self.floors_until_us = now_us
        self.active.update(self.budgets)
        return True

    def unacknowledged_peers(self) -> tuple[int, ...]:
        """Whom to ask still."""
        return tuple(peer for peer in self._others if peer not in self._clear)

    def return_loans(self, key: Key) -> list[tuple[int, Item]]:
        """Use nothing that is lent any more, first, and say so then."""
        pool = self.budgets.get(key)
        if pool is None or not pool.borrowed:
            return []
        peers, pool.borrowed = list(pool.borrowed), {}
        pool.released = self._ask
        pool.asks.clear()
        return [(peer, LoanRelease(key[0], key[1], pool.released)) for peer in peers]

    # Lending

    def asked(self, peer: int, incarnation: int, told: LoanRequest, now_us: int) -> LoanGrant:
        """Lend what is above the floor and not needed here; 0 says that nothing is."""
        key = (told.kind, told.key)
        none = LoanGrant(told.kind, told.key, told.ask, 0, 0)
        if (
            told.kind not in (BudgetKind.LIMIT, BudgetKind.COLD, BudgetKind.FURTHER)
            or told.span_ms * 1000 > LOAN_DURATION_US
        ):
            return none
        pool = self.budgets.get(key)
        if told.kind == BudgetKind.LIMIT and told.hosts > 1 and (pool is None or not pool.holds):
            # Not used here so far: one that may use it tomorrow can promise not to.
            pool = self.own(key, WHOLE_PARTS // told.hosts, told.hosts, False, now_us)
        if pool is None or pool.hosts != told.hosts:
            return none
        if (
            told.kind == BudgetKind.COLD
            and (told.born_ms - pool.born_ms + WRAP_MODULUS // 2) % WRAP_MODULUS
            < WRAP_MODULUS // 2 - SLOW_START_SKEW_MS
        ):
            return none  # it holds the node warmer than this broker does: perhaps it missed a restart
        hint = 0
        if told.kind == BudgetKind.LIMIT:
            others = sorted(pool.users - {peer})
            pool.users.add(peer)
            pool.turn += 1
            hint = 1 + others[pool.turn % len(others)] if others else 0
        pool.prune(now_us)
        if now_us < self.floors_until_us:
            return LoanGrant(told.kind, told.key, told.ask, 0, pool.holds, hint)
        keep = max(pool.floor, min(pool.base, pool.need) if pool.holds else 0)
        parts = min(told.parts, pool.base - keep - pool.out(now_us, peer))
        if parts < min(LOAN_MIN_PARTS, max(1, pool.base // 100)):
            return LoanGrant(told.kind, told.key, told.ask, 0, pool.holds, hint)
        self.active.add(key)
        loans = pool.lent.setdefault(peer, [])
        loans.append(LoanOut(incarnation, told.ask, parts, now_us + told.span_ms * 1000 + self.error_us))
        return LoanGrant(told.kind, told.key, told.ask, parts, pool.holds, hint)

    def returned(self, peer: int, incarnation: int, told: LoanRelease) -> bool:
        """A borrower uses nothing of its questions up to `ask` any more."""
        pool = self.budgets.get((told.kind, told.key))
        if pool is None or peer not in pool.lent:
            return False
        kept = [one for one in pool.lent[peer] if one.incarnation != incarnation or one.ask > told.ask]
        changed = len(kept) != len(pool.lent[peer])
        if kept:
            pool.lent[peer] = kept
        else:
            del pool.lent[peer]
        return changed

    # Time

    def settle(self, now_us: int) -> list[Key]:
        """The budgets whose slice may be another one now. Only those with loans, either way, stay active, and
        all of them while this incarnation has its floors alone.
        """
        changed = list(self.active)
        for key in changed:
            pool = self.budgets.get(key)
            if pool is not None:
                pool.prune(now_us)
            if pool is None or (now_us >= self.floors_until_us and not pool.lent and not pool.borrowed):
                self.active.discard(key)
        return changed

    def sweep(self, now_us: int, idle_us: int) -> list[Key]:
        """Drop the budgets that nobody uses or has lent; a pool that owes nothing can be made again."""
        gone = []
        for key, pool in list(self.budgets.items()):
            pool.prune(now_us)
            if not pool.lent and not pool.borrowed and now_us - pool.used_us > idle_us:
                del self.budgets[key]
                gone.append(key)
        return gone
