"""The fleet's budgets, held against their invariant in every state of a small fleet.

Three brokers run the real `QuotaLedger` on two budgets: one that all three use, and one that two use and the
third may lend of without using it. Moves: a broker asks another; gives back; a message comes, comes twice, or
is lost; time passes by a third of a loan's span; a clock loses as much as the stated error; a broker dies and
starts again knowing nothing. A stop (SIGSTOP) is a broker that makes no move while time passes: that is in.
Times in a key are relative to now, so that the search ends by itself.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, replace

from lemonridge.fleet.datagrams import Item, LoanGrant, LoanRecall, LoanRecallAck, LoanRelease, LoanRequest
from lemonridge.fleet.quota_ledger import (
    LOAN_DURATION_US,
    WHOLE_PARTS,
    Budget,
    BudgetKey,
    BudgetKind,
    LoanIn,
    LoanOut,
    QuotaLedger,
)
from lemonridge.lab.checkers.exhaust import Found, explore

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

    asks: int = 3
    flights: int = 2  # messages on their way at once
    doubles: int = 1
    crashes: int = 1
    lags: int = 1  # clocks that lose the stated error
    recalls: int = 2  # questions of a fresh start
    budgets: tuple[BudgetKey, ...] = (ALL_USE, TWO_USE)


STATED = (
    Bounds(1, doubles=0, lags=0),
    Bounds(1, doubles=0, lags=0, budgets=(TWO_USE,)),
    Bounds(1, crashes=0),
    Bounds(2, doubles=0, crashes=0, budgets=(TWO_USE,)),
    Bounds(2, crashes=0, lags=0, budgets=(TWO_USE,)),
    Bounds(2, flights=1, doubles=0, lags=0, recalls=1, budgets=(TWO_USE,)),
)  # as docs/fleet-state.md has them


@dataclass(frozen=True)
class Message:
    source: int
    to: int
    incarnation: int  # of its sender
    item: Item


@dataclass
class State:
    """Everything; `left` counts down the bounds."""

    now_us: int
    ledgers: tuple[QuotaLedger, ...]
    lags: tuple[int, ...]
    flights: tuple[Message, ...]
    asks: int
    doubles: int
    crashes: int
    slow: int
    recalls: int


def ledger(number: int, incarnation: int, now_us: int) -> QuotaLedger:
    """The real one; a clock may lose as much as a step."""
    return QuotaLedger(number, incarnation, incarnation * 100, STEP_US, now_us, _others(number))


def _others(number: int) -> tuple[int, ...]:
    return tuple(n for n in range(BROKERS) if n != number)


def search(bounds: Bounds, make: Make = ledger, states_max: int = 5_000_000) -> Found[State]:
    """Every state within the bounds, or the shortest way to one in which a budget is passed."""
    ledgers = tuple(
        _begun(make(number, 1, START_US - 10 * LOAN_DURATION_US), START_US, bounds)
        for number in range(BROKERS)
    )
    start = State(
        START_US,
        ledgers,
        (0,) * BROKERS,
        (),
        bounds.asks,
        bounds.doubles,
        bounds.crashes,
        bounds.lags,
        bounds.recalls,
    )
    return explore(start, _key, lambda state: _moves(state, bounds, make), _wrong, states_max)


def _begun(made: QuotaLedger, now_us: int, bounds: Bounds) -> QuotaLedger:
    """Each user has had a request."""
    for key in bounds.budgets:
        if made.me in USERS[key]:
            made.open_budget(key, WHOLE_PARTS // HOSTS[key], HOSTS[key], True, now_us)
    return made


def _clock(state: State, number: int) -> int:
    return state.now_us - state.lags[number] * STEP_US


def _wrong(state: State) -> str:
    for key, users in USERS.items():
        parts = [
            state.ledgers[n].quota(key, _clock(state, n)).parts
            for n in users
            if key in state.ledgers[n].budgets
        ]
        if sum(parts) > WHOLE_PARTS:
            return f"{sum(parts)} parts of budget {key[1]} are in use: {parts}"
    return ""


def _moves(state: State, bounds: Bounds, make: Make) -> Iterable[tuple[str, State]]:
    yield "time passes", replace(state, now_us=state.now_us + STEP_US)
    for number in range(BROKERS):
        if state.slow and not state.lags[number]:
            lags = tuple(lag + (n == number) for n, lag in enumerate(state.lags))
            yield f"clock {number} loses a step", replace(state, lags=lags, slow=state.slow - 1)
        if state.crashes:
            incarnation = state.ledgers[number].incarnation + 1
            fresh = _begun(make(number, incarnation, _clock(state, number)), _clock(state, number), bounds)
            yield (
                f"{number} starts anew",
                replace(state, ledgers=_with(state, number, fresh), crashes=state.crashes - 1),
            )
        yield from _asks(state, number, bounds)
        yield from _recalls(state, number, bounds)
        for key in bounds.budgets:
            budget = state.ledgers[number].budgets.get(key)
            if budget is not None and budget.loans_in:
                made = clone(state.ledgers[number])
                sent = [Message(number, to, made.incarnation, item) for to, item in made.return_loans(key)]
                if len(state.flights) + len(sent) <= bounds.flights:
                    flights = _sorted(state.flights + tuple(sent))
                    yield (
                        f"{number} gives budget {key[1]} back",
                        replace(state, ledgers=_with(state, number, made), flights=flights),
                    )
    for place, message in enumerate(state.flights):
        rest = state.flights[:place] + state.flights[place + 1 :]
        name = f"{type(message.item).__name__} of {message.source} to {message.to}"
        yield f"{name} is lost", replace(state, flights=rest)
        came = _deliver(state, message, rest, bounds)
        if came is not None:
            yield f"{name} comes", came
        if state.doubles:
            twice = _deliver(state, message, state.flights, bounds)
            if twice is not None:
                yield f"{name} comes, and will come again", replace(twice, doubles=state.doubles - 1)


def _asks(state: State, number: int, bounds: Bounds) -> Iterable[tuple[str, State]]:
    if not state.asks or len(state.flights) >= bounds.flights:
        return
    for key in bounds.budgets:
        if number not in USERS[key]:
            continue
        for to in range(BROKERS):
            if to == number:
                continue
            made = clone(state.ledgers[number])
            made.budgets[key].demand = WHOLE_PARTS
            want = made.make_request(key, _clock(state, number))
            made.budgets[key].demand = 0  # nobody keeps more than its floor: the most is lent
            sent = Message(number, to, made.incarnation, want)
            yield (
                f"{number} asks {to} for budget {key[1]}",
                replace(
                    state,
                    ledgers=_with(state, number, made),
                    flights=_sorted((*state.flights, sent)),
                    asks=state.asks - 1,
                ),
            )


def _recalls(state: State, number: int, bounds: Bounds) -> Iterable[tuple[str, State]]:
    """A fresh start asks the others to use nothing that it lent before."""
    made = state.ledgers[number]
    if (
        _clock(state, number) >= made.floors_until_us
        or len(state.flights) >= bounds.flights
        or not state.recalls
    ):
        return
    for to in made.unacknowledged_peers():
        sent = Message(number, to, made.incarnation, LoanRecall())
        if sent not in state.flights:
            yield (
                f"{number} recalls what {to} has",
                replace(state, flights=_sorted((*state.flights, sent)), recalls=state.recalls - 1),
            )


def _deliver(state: State, message: Message, rest: tuple[Message, ...], bounds: Bounds) -> State | None:
    made, now_us = clone(state.ledgers[message.to]), _clock(state, message.to)
    if isinstance(message.item, LoanRequest):
        grant = made.on_request(message.source, message.incarnation, message.item, now_us)
        if len(rest) >= bounds.flights:
            return None
        rest = _sorted((*rest, Message(message.to, message.source, made.incarnation, grant)))
    elif isinstance(message.item, LoanGrant):
        made.on_grant(message.source, message.incarnation, message.item, now_us)
    elif isinstance(message.item, LoanRecall):
        said = made.on_recall(message.source, message.incarnation)
        if len(rest) >= bounds.flights:
            return None
        rest = _sorted((*rest, Message(message.to, message.source, made.incarnation, said)))
    elif isinstance(message.item, LoanRecallAck):
        made.on_recall_ack(message.source, message.item, now_us)
    elif isinstance(message.item, LoanRelease):
        made.on_release(message.source, message.incarnation, message.item)
    return replace(state, ledgers=_with(state, message.to, made), flights=rest)


def _with(state: State, number: int, made: QuotaLedger) -> tuple[QuotaLedger, ...]:
    return state.ledgers[:number] + (made,) + state.ledgers[number + 1 :]


def _sorted(flights: tuple[Message, ...]) -> tuple[Message, ...]:
    return tuple(
        sorted(flights, key=lambda one: (one.source, one.to, _ORDER.index(type(one.item)), repr(one.item)))
    )


def clone(made: QuotaLedger) -> QuotaLedger:
    """A copy that shares nothing that changes; of the same class, faults included."""
    other = object.__new__(type(made))
    other.__dict__.update(made.__dict__)
    other.active, other._recalled, other._recall_acks = set(), dict(made._recalled), set(made._recall_acks)
    other.budgets = {
        key: Budget(
            budget.owned,
            budget.hosts,
            budget.used_here,
            budget.demand,
            {who: list(rows) for who, rows in budget.loans_out.items()},
            dict(budget.loans_in),
            set(budget.users),
            open_requests=dict(budget.open_requests),
            released_up_to=budget.released_up_to,
            requested_us=budget.requested_us,
        )
        for key, budget in made.budgets.items()
    }
    return other


def _key(state: State) -> Hashable:
    """Times relative to each broker's clock, and nothing of what is over."""
    return (
        tuple(_seen(state.ledgers[n], _clock(state, n)) for n in range(BROKERS)),
        state.lags,
        tuple((m.source, m.to, m.incarnation, m.item) for m in state.flights),
        state.asks,
        state.doubles,
        state.crashes,
        state.slow,
        state.recalls,
    )


def _seen(made: QuotaLedger, now_us: int) -> Hashable:
    fresh = max(0, made.floors_until_us - now_us)
    return (
        made.incarnation,
        made._last_request_id,
        fresh,
        tuple(sorted(made._recalled.items())),
        tuple(sorted(made._recall_acks)) if fresh else (),
        tuple(
            (
                key,
                budget.owned,
                budget.used_here,
                budget.released_up_to,
                tuple(sorted(budget.users)),
                tuple(
                    sorted(
                        (who, _loan(row, now_us))
                        for who, rows in budget.loans_out.items()
                        for row in rows
                        if row.end_us > now_us
                    )
                ),
                tuple(
                    sorted(
                        (who, one.request_id, one.parts, one.end_us - now_us)
                        for who, one in budget.loans_in.items()
                        if one.end_us > now_us
                    )
                ),
                tuple(
                    (ask, now_us - at)
                    for ask, at in budget.open_requests.items()
                    if now_us - at < LOAN_DURATION_US
                ),
            )
            for key, budget in sorted(made.budgets.items())
        ),
    )


def _loan(row: LoanOut, now_us: int) -> tuple[int, int, int, int]:
    return row.incarnation, row.request_id, row.parts, row.end_us - now_us


class GrantNotDeductedMutant(QuotaLedger):
    """Planted: what is lent stays in the lender's own slice."""

    def own_left(self, budget: Budget, now_us: int) -> int:
        return budget.owned


class GrantNeverExpiresMutant(QuotaLedger):
    """Planted: a loan's end is not kept by the borrower."""

    def on_grant(self, peer: int, incarnation: int, told: LoanGrant, now_us: int) -> bool:
        done = super().on_grant(peer, incarnation, told, now_us)
        for budget in self.budgets.values():
            budget.loans_in = {
                who: LoanIn(one.request_id, one.parts, one.end_us + 10 * LOAN_DURATION_US)
                for who, one in budget.loans_in.items()
            }
        return done


class NoClockErrorMarginMutant(QuotaLedger):
    """Planted: the lender counts on equal clocks."""

    def on_request(self, peer: int, incarnation: int, told: LoanRequest, now_us: int) -> LoanGrant:
        self.error_us = 0
        return super().on_request(peer, incarnation, told, now_us)


class ExpiryFromReceiptMutant(QuotaLedger):
    """Planted: the borrower counts a loan from when the answer came."""

    def on_grant(self, peer: int, incarnation: int, told: LoanGrant, now_us: int) -> bool:
        budget = self.budgets.get(BudgetKey(told.kind, told.key))
        if budget is not None and told.request_id in budget.open_requests:
            budget.open_requests[told.request_id] = now_us
        return super().on_grant(peer, incarnation, told, now_us)


class RestartForgetsGrantsMutant(QuotaLedger):
    """Planted: a fresh start believes that it has lent nothing."""

    def __init__(
        self,
        me: int,
        incarnation: int,
        first_request_id: int,
        error_us: int,
        now_us: int,
        others: Iterable[int] = (),
    ) -> None:
        super().__init__(me, incarnation, first_request_id, error_us, now_us, others)
        self.floors_until_us = now_us


class GrantAfterReleaseMutant(QuotaLedger):
    """Planted: an answer to a question is taken though its loan was given back."""

    def return_loans(self, key: BudgetKey) -> list[tuple[int, Item]]:
        asks = dict(self.budgets[key].open_requests)
        sent = super().return_loans(key)
        self.budgets[key].open_requests, self.budgets[key].released_up_to = asks, 0
        return sent


class PreviousIncarnationMutant(QuotaLedger):
    """Planted: a grant of a lender's incarnation before counts after its recall was answered."""

    def on_grant(self, peer: int, incarnation: int, told: LoanGrant, now_us: int) -> bool:
        return super().on_grant(peer, 1 << 62, told, now_us)


class SingleClearanceMutant(QuotaLedger):
    """Planted: a fresh start has all of its own once one other has answered."""

    def on_recall_ack(self, peer: int, told: LoanRecallAck, now_us: int) -> bool:
        self._recall_acks.update(self._others)
        return super().on_recall_ack(peer, told, now_us)


class UnusedGrantsCountedMutant(QuotaLedger):
    """Planted: loans of brokers that do not use the budget count like those of users."""

    def borrowed_parts(self, key: BudgetKey, budget: Budget, now_us: int) -> int:
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
