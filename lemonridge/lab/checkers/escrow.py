"""Checks the invariant of lent quota in every state of a small fleet, by breadth-first search.

Three brokers run the real `QuotaLedger` on two budgets: one that all three use, and one that two use and the
third may lend of without using it. Moves: a broker requests a loan; returns loans; a message is delivered,
duplicated or lost; time passes by a third of a loan's duration; a clock loses as much as the stated error; a
broker restarts without memory. A stop (SIGSTOP) is a broker that makes no move while time passes. Times in a
state's key are relative to now, so that the search ends by itself.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, replace

from lemonridge.fleet.datagrams import Item, LoanGrant, LoanRecall, LoanRecallAck, LoanRelease, LoanRequest
from lemonridge.fleet.quota_ledger import (
    LOAN_DURATION_US,
    TOTAL_PARTS,
    Budget,
    BudgetKey,
    BudgetKind,
    LoanIn,
    LoanOut,
    QuotaLedger,
)
from lemonridge.lab.checkers.exhaust import SearchResult, explore

STEP_US = LOAN_DURATION_US // 3
START_US = 1_000 * STEP_US
BROKERS = 3
ALL_USE, TWO_USE = BudgetKey(int(BudgetKind.LIMIT), 1), BudgetKey(int(BudgetKind.LIMIT), 2)
HOSTS = {ALL_USE: 3, TWO_USE: 2}
USERS = {ALL_USE: (0, 1, 2), TWO_USE: (0, 1)}

_ORDER = (LoanRecallAck, LoanGrant, LoanRequest, LoanRecall, LoanRelease)  # of messages in a state

Make = Callable[[int, int, int], QuotaLedger]  # number, life, now: a ledger, perhaps one with a planted fault


@dataclass(frozen=True)
class Bounds:
    """How much of each may happen in all."""

    requests: int = 3
    in_flight: int = 2  # messages on their way at once
    duplicates: int = 1
    restarts: int = 1
    slow_clocks: int = 1  # clocks that lose the stated error
    recalls: int = 2  # questions of a fresh start
    budgets: tuple[BudgetKey, ...] = (ALL_USE, TWO_USE)


STATED = (
    Bounds(1, duplicates=0, slow_clocks=0),
    Bounds(1, duplicates=0, slow_clocks=0, budgets=(TWO_USE,)),
    Bounds(1, restarts=0),
    Bounds(2, duplicates=0, restarts=0, budgets=(TWO_USE,)),
    Bounds(2, restarts=0, slow_clocks=0, budgets=(TWO_USE,)),
    Bounds(2, in_flight=1, duplicates=0, slow_clocks=0, recalls=1, budgets=(TWO_USE,)),
)  # as docs/fleet-state.md has them


@dataclass(frozen=True)
class Message:
    """An item on its way."""

    sender: int
    receiver: int
    incarnation: int  # of its sender
    item: Item


@dataclass
class State:
    """The ledgers, clocks and messages, and how much of each bound is left."""

    now_us: int
    ledgers: tuple[QuotaLedger, ...]
    clock_lags: tuple[int, ...]  # by broker, in steps
    in_flight: tuple[Message, ...]
    requests: int
    duplicates: int
    restarts: int
    slow_clocks: int
    recalls: int


def make_ledger(number: int, incarnation: int, now_us: int) -> QuotaLedger:
    """The real one; a clock may lose as much as a step."""
    return QuotaLedger(number, incarnation, incarnation * 100, STEP_US, now_us, _others(number))


def _others(number: int) -> tuple[int, ...]:
    return tuple(n for n in range(BROKERS) if n != number)


def search(bounds: Bounds, make: Make = make_ledger, states_max: int = 5_000_000) -> SearchResult[State]:
    """Every state within the bounds, or the shortest way to one in which a budget is passed."""
    ledgers = tuple(
        _open_budgets(make(number, 1, START_US - 10 * LOAN_DURATION_US), START_US, bounds)
        for number in range(BROKERS)
    )
    start = State(
        START_US,
        ledgers,
        (0,) * BROKERS,
        (),
        bounds.requests,
        bounds.duplicates,
        bounds.restarts,
        bounds.slow_clocks,
        bounds.recalls,
    )
    return explore(start, _key, lambda state: _moves(state, bounds, make), _violation, states_max)


def _open_budgets(ledger: QuotaLedger, now_us: int, bounds: Bounds) -> QuotaLedger:
    """Each user has had a request."""
    for key in bounds.budgets:
        if ledger.own_id in USERS[key]:
            ledger.open_budget(key, TOTAL_PARTS // HOSTS[key], HOSTS[key], True, now_us)
    return ledger


def _clock_us(state: State, number: int) -> int:
    return state.now_us - state.clock_lags[number] * STEP_US


def _violation(state: State) -> str:
    for key, users in USERS.items():
        parts = [
            state.ledgers[n].quota(key, _clock_us(state, n)).parts
            for n in users
            if key in state.ledgers[n].budgets
        ]
        if sum(parts) > TOTAL_PARTS:
            return f"{sum(parts)} parts of budget {key[1]} are in use: {parts}"
    return ""


def _moves(state: State, bounds: Bounds, make: Make) -> Iterable[tuple[str, State]]:
    yield "time passes", replace(state, now_us=state.now_us + STEP_US)
    for number in range(BROKERS):
        if state.slow_clocks and not state.clock_lags[number]:
            lags = tuple(lag + (n == number) for n, lag in enumerate(state.clock_lags))
            yield (
                f"clock {number} loses a step",
                replace(state, clock_lags=lags, slow_clocks=state.slow_clocks - 1),
            )
        if state.restarts:
            incarnation = state.ledgers[number].incarnation + 1
            restarted = _open_budgets(
                make(number, incarnation, _clock_us(state, number)), _clock_us(state, number), bounds
            )
            yield (
                f"{number} starts anew",
                replace(
                    state, ledgers=_replace_ledger(state, number, restarted), restarts=state.restarts - 1
                ),
            )
        yield from _request_moves(state, number, bounds)
        yield from _recall_moves(state, number, bounds)
        for key in bounds.budgets:
            budget = state.ledgers[number].budgets.get(key)
            if budget is not None and budget.loans_in:
                ledger = clone(state.ledgers[number])
                sent = [
                    Message(number, to, ledger.incarnation, item) for to, item in ledger.return_loans(key)
                ]
                if len(state.in_flight) + len(sent) <= bounds.in_flight:
                    in_flight = _sorted_messages(state.in_flight + tuple(sent))
                    yield (
                        f"{number} gives budget {key[1]} back",
                        replace(state, ledgers=_replace_ledger(state, number, ledger), in_flight=in_flight),
                    )
    for index, message in enumerate(state.in_flight):
        remaining = state.in_flight[:index] + state.in_flight[index + 1 :]
        name = f"{type(message.item).__name__} of {message.sender} to {message.receiver}"
        yield f"{name} is lost", replace(state, in_flight=remaining)
        delivered = _deliver(state, message, remaining, bounds)
        if delivered is not None:
            yield f"{name} comes", delivered
        if state.duplicates:
            duplicated = _deliver(state, message, state.in_flight, bounds)
            if duplicated is not None:
                yield (
                    f"{name} comes, and will come again",
                    replace(duplicated, duplicates=state.duplicates - 1),
                )


def _request_moves(state: State, number: int, bounds: Bounds) -> Iterable[tuple[str, State]]:
    if not state.requests or len(state.in_flight) >= bounds.in_flight:
        return
    for key in bounds.budgets:
        if number not in USERS[key]:
            continue
        for to in range(BROKERS):
            if to == number:
                continue
            ledger = clone(state.ledgers[number])
            ledger.budgets[key].demand = TOTAL_PARTS
            request = ledger.make_request(key, _clock_us(state, number))
            ledger.budgets[key].demand = 0  # nobody keeps more than its floor: the most is lent
            sent = Message(number, to, ledger.incarnation, request)
            yield (
                f"{number} asks {to} for budget {key[1]}",
                replace(
                    state,
                    ledgers=_replace_ledger(state, number, ledger),
                    in_flight=_sorted_messages((*state.in_flight, sent)),
                    requests=state.requests - 1,
                ),
            )


def _recall_moves(state: State, number: int, bounds: Bounds) -> Iterable[tuple[str, State]]:
    """A fresh start asks the others to use nothing that it lent before."""
    ledger = state.ledgers[number]
    if (
        _clock_us(state, number) >= ledger.floors_until_us
        or len(state.in_flight) >= bounds.in_flight
        or not state.recalls
    ):
        return
    for to in ledger.unacknowledged_peers():
        sent = Message(number, to, ledger.incarnation, LoanRecall())
        if sent not in state.in_flight:
            yield (
                f"{number} recalls what {to} has",
                replace(
                    state, in_flight=_sorted_messages((*state.in_flight, sent)), recalls=state.recalls - 1
                ),
            )


def _deliver(state: State, message: Message, remaining: tuple[Message, ...], bounds: Bounds) -> State | None:
    ledger, now_us = clone(state.ledgers[message.receiver]), _clock_us(state, message.receiver)
    if isinstance(message.item, LoanRequest):
        grant = ledger.on_request(message.sender, message.incarnation, message.item, now_us)
        if len(remaining) >= bounds.in_flight:
            return None
        remaining = _sorted_messages(
            (*remaining, Message(message.receiver, message.sender, ledger.incarnation, grant))
        )
    elif isinstance(message.item, LoanGrant):
        ledger.on_grant(message.sender, message.incarnation, message.item, now_us)
    elif isinstance(message.item, LoanRecall):
        ack = ledger.on_recall(message.sender, message.incarnation)
        if len(remaining) >= bounds.in_flight:
            return None
        remaining = _sorted_messages(
            (*remaining, Message(message.receiver, message.sender, ledger.incarnation, ack))
        )
    elif isinstance(message.item, LoanRecallAck):
        ledger.on_recall_ack(message.sender, message.item, now_us)
    elif isinstance(message.item, LoanRelease):
        ledger.on_release(message.sender, message.incarnation, message.item)
    return replace(state, ledgers=_replace_ledger(state, message.receiver, ledger), in_flight=remaining)


def _replace_ledger(state: State, number: int, ledger: QuotaLedger) -> tuple[QuotaLedger, ...]:
    return state.ledgers[:number] + (ledger,) + state.ledgers[number + 1 :]


def _sorted_messages(in_flight: tuple[Message, ...]) -> tuple[Message, ...]:
    return tuple(
        sorted(
            in_flight,
            key=lambda one: (one.sender, one.receiver, _ORDER.index(type(one.item)), repr(one.item)),
        )
    )


def clone(ledger: QuotaLedger) -> QuotaLedger:
    """A copy that shares nothing that changes; of the same class, faults included."""
    other = object.__new__(type(ledger))
    other.__dict__.update(ledger.__dict__)
    other.active, other._recalling_incarnations, other._recall_acks = (
        set(),
        dict(ledger._recalling_incarnations),
        set(ledger._recall_acks),
    )
    other.budgets = {
        key: Budget(
            budget.owned,
            budget.hosts,
            budget.used_here,
            budget.demand,
            {member_id: list(loans) for member_id, loans in budget.loans_out.items()},
            dict(budget.loans_in),
            set(budget.users),
            open_requests=dict(budget.open_requests),
            released_up_to=budget.released_up_to,
            requested_us=budget.requested_us,
        )
        for key, budget in ledger.budgets.items()
    }
    return other


def _key(state: State) -> Hashable:
    """Times relative to each broker's clock, and nothing of what is over."""
    return (
        tuple(_ledger_key(state.ledgers[n], _clock_us(state, n)) for n in range(BROKERS)),
        state.clock_lags,
        tuple((m.sender, m.receiver, m.incarnation, m.item) for m in state.in_flight),
        state.requests,
        state.duplicates,
        state.restarts,
        state.slow_clocks,
        state.recalls,
    )


def _ledger_key(ledger: QuotaLedger, now_us: int) -> Hashable:
    restarted = max(0, ledger.floors_until_us - now_us)
    return (
        ledger.incarnation,
        ledger._last_request_id,
        restarted,
        tuple(sorted(ledger._recalling_incarnations.items())),
        tuple(sorted(ledger._recall_acks)) if restarted else (),
        tuple(
            (
                key,
                budget.owned,
                budget.used_here,
                budget.released_up_to,
                tuple(sorted(budget.users)),
                tuple(
                    sorted(
                        (member_id, _loan_key(loan, now_us))
                        for member_id, loans in budget.loans_out.items()
                        for loan in loans
                        if loan.end_us > now_us
                    )
                ),
                tuple(
                    sorted(
                        (member_id, one.request_id, one.parts, one.end_us - now_us)
                        for member_id, one in budget.loans_in.items()
                        if one.end_us > now_us
                    )
                ),
                tuple(
                    (ask, now_us - at)
                    for ask, at in budget.open_requests.items()
                    if now_us - at < LOAN_DURATION_US
                ),
            )
            for key, budget in sorted(ledger.budgets.items())
        ),
    )


def _loan_key(loan: LoanOut, now_us: int) -> tuple[int, int, int, int]:
    return loan.incarnation, loan.request_id, loan.parts, loan.end_us - now_us


class GrantNotDeductedMutant(QuotaLedger):
    """Mutant: what is lent stays in the lender's own slice."""

    def available_own_parts(self, budget: Budget, now_us: int) -> int:
        """Faulty: see the class."""
        return budget.owned


class GrantNeverExpiresMutant(QuotaLedger):
    """Mutant: a loan's end is not kept by the borrower."""

    def on_grant(self, member_id: int, incarnation: int, item: LoanGrant, now_us: int) -> bool:
        """Faulty: see the class."""
        changed = super().on_grant(member_id, incarnation, item, now_us)
        for budget in self.budgets.values():
            budget.loans_in = {
                member_id: LoanIn(one.request_id, one.parts, one.end_us + 10 * LOAN_DURATION_US)
                for member_id, one in budget.loans_in.items()
            }
        return changed


class NoClockErrorMarginMutant(QuotaLedger):
    """Mutant: the lender counts on equal clocks."""

    def on_request(self, member_id: int, incarnation: int, item: LoanRequest, now_us: int) -> LoanGrant:
        """Faulty: see the class."""
        self.clock_error_us = 0
        return super().on_request(member_id, incarnation, item, now_us)


class ExpiryFromReceiptMutant(QuotaLedger):
    """Mutant: the borrower counts a loan from when the answer came."""

    def on_grant(self, member_id: int, incarnation: int, item: LoanGrant, now_us: int) -> bool:
        """Faulty: see the class."""
        budget = self.budgets.get(BudgetKey(item.kind, item.key))
        if budget is not None and item.request_id in budget.open_requests:
            budget.open_requests[item.request_id] = now_us
        return super().on_grant(member_id, incarnation, item, now_us)


class RestartForgetsGrantsMutant(QuotaLedger):
    """Mutant: a fresh start believes that it has lent nothing."""

    def __init__(
        self,
        own_id: int,
        incarnation: int,
        first_request_id: int,
        clock_error_us: int,
        now_us: int,
        others: Iterable[int] = (),
    ) -> None:
        super().__init__(own_id, incarnation, first_request_id, clock_error_us, now_us, others)
        self.floors_until_us = now_us


class GrantAfterReleaseMutant(QuotaLedger):
    """Mutant: an answer to a question is taken though its loan was given back."""

    def return_loans(self, key: BudgetKey) -> list[tuple[int, Item]]:
        """Faulty: see the class."""
        requests = dict(self.budgets[key].open_requests)
        sent = super().return_loans(key)
        self.budgets[key].open_requests, self.budgets[key].released_up_to = requests, 0
        return sent


class PreviousIncarnationMutant(QuotaLedger):
    """Mutant: a grant of a lender's incarnation before counts after its recall was answered."""

    def on_grant(self, member_id: int, incarnation: int, item: LoanGrant, now_us: int) -> bool:
        """Faulty: see the class."""
        return super().on_grant(member_id, 1 << 62, item, now_us)


class SingleClearanceMutant(QuotaLedger):
    """Mutant: a fresh start has all of its own once one other has answered."""

    def on_recall_ack(self, member_id: int, item: LoanRecallAck, now_us: int) -> bool:
        """Faulty: see the class."""
        self._recall_acks.update(self._others)
        return super().on_recall_ack(member_id, item, now_us)


class UnusedGrantsCountedMutant(QuotaLedger):
    """Mutant: loans of brokers that do not use the budget count like those of users."""

    def borrowed_parts(self, key: BudgetKey, budget: Budget, now_us: int) -> int:
        """Faulty: see the class."""
        return sum(one.parts for one in budget.loans_in.values() if one.end_us > now_us)


MUTANTS: tuple[type[QuotaLedger], ...] = (
    GrantNotDeductedMutant,
    GrantNeverExpiresMutant,
    NoClockErrorMarginMutant,
    ExpiryFromReceiptMutant,
    RestartForgetsGrantsMutant,
    GrantAfterReleaseMutant,
    PreviousIncarnationMutant,
    SingleClearanceMutant,
    UnusedGrantsCountedMutant,
)


def with_mutant(kind: type[QuotaLedger]) -> Make:
    """Ledgers with a fault, for `search`."""
    return lambda number, incarnation, now_us: kind(
        number, incarnation, incarnation * 100, STEP_US, now_us, _others(number)
    )
