"""Checks the invariant of lent quota in every state of a small fleet, by breadth-first search.

Three brokers run the real `QuotaLedger` on two budgets: one that all three use, and one that two use and the
third broker may lend from without using it. The transitions are: a broker requests a loan or returns its
loans; a message is delivered, duplicated or lost; time advances by a third of a loan's duration; a clock
falls behind by the stated error; a broker restarts without memory. A stopped process (SIGSTOP) is a broker
without transitions while time advances. Times in a state's key are relative to the present, so the number of
states is finite.
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

_MESSAGE_ORDER = (LoanRecallAck, LoanGrant, LoanRequest, LoanRecall, LoanRelease)

# Creates a ledger, possibly one with a planted fault, from the broker's number, its incarnation and the time.
LedgerFactory = Callable[[int, int, int], QuotaLedger]


@dataclass(frozen=True)
class Bounds:
    """How often each transition may occur in a history.

    Attributes:
        requests: Requests of loans.
        in_flight: Messages that are in flight at the same time.
        duplicates: Duplicated messages.
        restarts: Restarts of brokers.
        slow_clocks: Clocks that fall behind by the stated error.
        recalls: Recalls that restarted brokers send.
        budgets: The budgets.
    """

    requests: int = 3
    in_flight: int = 2
    duplicates: int = 1
    restarts: int = 1
    slow_clocks: int = 1
    recalls: int = 2
    budgets: tuple[BudgetKey, ...] = (ALL_USE, TWO_USE)


STATED = (
    Bounds(1, duplicates=0, slow_clocks=0),
    Bounds(1, duplicates=0, slow_clocks=0, budgets=(TWO_USE,)),
    Bounds(1, restarts=0),
    Bounds(2, duplicates=0, restarts=0, budgets=(TWO_USE,)),
    Bounds(2, restarts=0, slow_clocks=0, budgets=(TWO_USE,)),
    Bounds(2, in_flight=1, duplicates=0, slow_clocks=0, recalls=1, budgets=(TWO_USE,)),
)  # the bounds of docs/fleet-state.md


@dataclass(frozen=True)
class Message:
    """An item in flight.

    Attributes:
        sender: The number of the sender.
        receiver: The number of the receiver.
        incarnation: The incarnation of the sender.
        item: The item.
    """

    sender: int
    receiver: int
    incarnation: int
    item: Item


@dataclass
class State:
    """A state of the fleet.

    Attributes:
        now_us: The true time, in microseconds.
        ledgers: By broker, its ledger.
        clock_lags: By broker, how many steps its clock is behind the true time.
        in_flight: The messages in flight.
        requests: How many requests may still be made.
        duplicates: How many messages may still be duplicated.
        restarts: How many brokers may still restart.
        slow_clocks: How many clocks may still fall behind.
        recalls: How many recalls may still be sent.
    """

    now_us: int
    ledgers: tuple[QuotaLedger, ...]
    clock_lags: tuple[int, ...]
    in_flight: tuple[Message, ...]
    requests: int
    duplicates: int
    restarts: int
    slow_clocks: int
    recalls: int


def make_ledger(number: int, incarnation: int, now_us: int) -> QuotaLedger:
    """Creates the real ledger; the clock error is one step."""
    return QuotaLedger(number, incarnation, incarnation * 100, STEP_US, now_us, _others(number))


def _others(number: int) -> tuple[int, ...]:
    """Returns the numbers of the other brokers."""
    return tuple(n for n in range(BROKERS) if n != number)


def search(
    bounds: Bounds, make: LedgerFactory = make_ledger, states_max: int = 5_000_000
) -> SearchResult[State]:
    """Visits every state within the bounds, up to the first one in which a budget is exceeded."""
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
    """Opens the budgets that a broker uses, as its first request of each does."""
    for key in bounds.budgets:
        if ledger.own_id in USERS[key]:
            ledger.open_budget(key, TOTAL_PARTS // HOSTS[key], HOSTS[key], True, now_us)
    return ledger


def _clock_us(state: State, number: int) -> int:
    """Returns the time by a broker's own clock."""
    return state.now_us - state.clock_lags[number] * STEP_US


def _violation(state: State) -> str:
    """Describes how a state exceeds a budget; empty if it does not."""
    for key, users in USERS.items():
        parts = [
            state.ledgers[n].quota(key, _clock_us(state, n)).parts
            for n in users
            if key in state.ledgers[n].budgets
        ]
        if sum(parts) > TOTAL_PARTS:
            return f"{sum(parts)} parts of budget {key[1]} are in use: {parts}"
    return ""


def _moves(state: State, bounds: Bounds, make: LedgerFactory) -> Iterable[tuple[str, State]]:
    """Yields all transitions of a state, each with its name and the next state."""
    yield "time advances", replace(state, now_us=state.now_us + STEP_US)
    for number in range(BROKERS):
        if state.slow_clocks and not state.clock_lags[number]:
            lags = tuple(lag + (n == number) for n, lag in enumerate(state.clock_lags))
            yield (
                f"clock {number} falls behind by a step",
                replace(state, clock_lags=lags, slow_clocks=state.slow_clocks - 1),
            )
        if state.restarts:
            incarnation = state.ledgers[number].incarnation + 1
            restarted = _open_budgets(
                make(number, incarnation, _clock_us(state, number)), _clock_us(state, number), bounds
            )
            yield (
                f"{number} restarts",
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
                        f"{number} returns its loans of budget {key[1]}",
                        replace(state, ledgers=_replace_ledger(state, number, ledger), in_flight=in_flight),
                    )
    for index, message in enumerate(state.in_flight):
        remaining = state.in_flight[:index] + state.in_flight[index + 1 :]
        name = f"{type(message.item).__name__} from {message.sender} to {message.receiver}"
        yield f"{name} is lost", replace(state, in_flight=remaining)
        delivered = _deliver(state, message, remaining, bounds)
        if delivered is not None:
            yield f"{name} arrives", delivered
        if state.duplicates:
            duplicated = _deliver(state, message, state.in_flight, bounds)
            if duplicated is not None:
                yield (
                    f"{name} arrives and is duplicated",
                    replace(duplicated, duplicates=state.duplicates - 1),
                )


def _request_moves(state: State, number: int, bounds: Bounds) -> Iterable[tuple[str, State]]:
    """Yields the requests of loans that a broker may send."""
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
            ledger.budgets[key].demand = 0  # so lenders keep only their floors and lend as much as possible
            sent = Message(number, to, ledger.incarnation, request)
            yield (
                f"{number} requests from {to} a loan of budget {key[1]}",
                replace(
                    state,
                    ledgers=_replace_ledger(state, number, ledger),
                    in_flight=_sorted_messages((*state.in_flight, sent)),
                    requests=state.requests - 1,
                ),
            )


def _recall_moves(state: State, number: int, bounds: Bounds) -> Iterable[tuple[str, State]]:
    """Yields the recalls of a restarted broker: requests to the others to stop using its earlier loans."""
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
                f"{number} recalls its loans from {to}",
                replace(
                    state, in_flight=_sorted_messages((*state.in_flight, sent)), recalls=state.recalls - 1
                ),
            )


def _deliver(state: State, message: Message, remaining: tuple[Message, ...], bounds: Bounds) -> State | None:
    """Returns the state after a message is delivered; None if its answer would exceed the bound in flight.

    Args:
        state: The state.
        message: The message.
        remaining: The messages that are in flight afterwards, without the answer.
        bounds: The bounds.
    """
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
    """Returns a state's ledgers with one of them replaced."""
    return state.ledgers[:number] + (ledger,) + state.ledgers[number + 1 :]


def _sorted_messages(in_flight: tuple[Message, ...]) -> tuple[Message, ...]:
    """Returns messages in a canonical order, as their order makes no difference."""
    return tuple(
        sorted(
            in_flight,
            key=lambda message: (
                message.sender,
                message.receiver,
                _MESSAGE_ORDER.index(type(message.item)),
                repr(message.item),
            ),
        )
    )


def clone(ledger: QuotaLedger) -> QuotaLedger:
    """Returns a copy of the same class, planted faults included, that shares no mutable data."""
    copy = object.__new__(type(ledger))
    copy.__dict__.update(ledger.__dict__)
    copy.active, copy._recalling_incarnations, copy._recall_acks = (
        set(),
        dict(ledger._recalling_incarnations),
        set(ledger._recall_acks),
    )
    copy.budgets = {
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
    return copy


def _key(state: State) -> Hashable:
    """Returns a state's identity: times are relative to each broker's clock, and ended loans are left out."""
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
    """Returns the identity of a ledger at a time of its broker's clock."""
    floors_left_us = max(0, ledger.floors_until_us - now_us)
    return (
        ledger.incarnation,
        ledger._last_request_id,
        floors_left_us,
        tuple(sorted(ledger._recalling_incarnations.items())),
        tuple(sorted(ledger._recall_acks)) if floors_left_us else (),
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
                        (member_id, loan.request_id, loan.parts, loan.end_us - now_us)
                        for member_id, loan in budget.loans_in.items()
                        if loan.end_us > now_us
                    )
                ),
                tuple(
                    (request_id, now_us - requested_us)
                    for request_id, requested_us in budget.open_requests.items()
                    if now_us - requested_us < LOAN_DURATION_US
                ),
            )
            for key, budget in sorted(ledger.budgets.items())
        ),
    )


def _loan_key(loan: LoanOut, now_us: int) -> tuple[int, int, int, int]:
    """Returns the identity of a loan that a broker has granted."""
    return loan.incarnation, loan.request_id, loan.parts, loan.end_us - now_us


class GrantNotDeductedMutant(QuotaLedger):
    """Mutant: lent parts stay in the lender's own slice."""

    def available_own_parts(self, budget: Budget, now_us: int) -> int:
        """Overrides the ledger with the fault that the class describes."""
        return budget.owned


class GrantNeverExpiresMutant(QuotaLedger):
    """Mutant: the borrower uses a loan past its end."""

    def on_grant(self, member_id: int, incarnation: int, item: LoanGrant, now_us: int) -> bool:
        """Overrides the ledger with the fault that the class describes."""
        changed = super().on_grant(member_id, incarnation, item, now_us)
        for budget in self.budgets.values():
            budget.loans_in = {
                member_id: LoanIn(loan.request_id, loan.parts, loan.end_us + 10 * LOAN_DURATION_US)
                for member_id, loan in budget.loans_in.items()
            }
        return changed


class NoClockErrorMarginMutant(QuotaLedger):
    """Mutant: the lender takes the clocks of both brokers for equal."""

    def on_request(self, member_id: int, incarnation: int, item: LoanRequest, now_us: int) -> LoanGrant:
        """Overrides the ledger with the fault that the class describes."""
        self.clock_error_us = 0
        return super().on_request(member_id, incarnation, item, now_us)


class ExpiryFromReceiptMutant(QuotaLedger):
    """Mutant: the borrower counts a loan's duration from the arrival of the grant."""

    def on_grant(self, member_id: int, incarnation: int, item: LoanGrant, now_us: int) -> bool:
        """Overrides the ledger with the fault that the class describes."""
        budget = self.budgets.get(BudgetKey(item.kind, item.key))
        if budget is not None and item.request_id in budget.open_requests:
            budget.open_requests[item.request_id] = now_us
        return super().on_grant(member_id, incarnation, item, now_us)


class RestartForgetsGrantsMutant(QuotaLedger):
    """Mutant: a restarted broker assumes that it has lent nothing."""

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
    """Mutant: a grant is accepted although its loan was returned."""

    def return_loans(self, key: BudgetKey) -> list[tuple[int, Item]]:
        """Overrides the ledger with the fault that the class describes."""
        requests = dict(self.budgets[key].open_requests)
        sent = super().return_loans(key)
        self.budgets[key].open_requests, self.budgets[key].released_up_to = requests, 0
        return sent


class PreviousIncarnationMutant(QuotaLedger):
    """Mutant: a grant of a lender's previous incarnation is accepted after that loan was recalled."""

    def on_grant(self, member_id: int, incarnation: int, item: LoanGrant, now_us: int) -> bool:
        """Overrides the ledger with the fault that the class describes."""
        return super().on_grant(member_id, 1 << 62, item, now_us)


class SingleClearanceMutant(QuotaLedger):
    """Mutant: a restarted broker uses all of its own parts after the first acknowledgement of its recall."""

    def on_recall_ack(self, member_id: int, item: LoanRecallAck, now_us: int) -> bool:
        """Overrides the ledger with the fault that the class describes."""
        self._recall_acks.update(self._others)
        return super().on_recall_ack(member_id, item, now_us)


class UnusedGrantsCountedMutant(QuotaLedger):
    """Mutant: loans of brokers that do not use the budget count like those of users."""

    def borrowed_parts(self, key: BudgetKey, budget: Budget, now_us: int) -> int:
        """Overrides the ledger with the fault that the class describes."""
        return sum(loan.parts for loan in budget.loans_in.values() if loan.end_us > now_us)


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


def with_mutant(ledger_class: type[QuotaLedger]) -> LedgerFactory:
    """Returns a factory of ledgers of a mutant's class, for `search`."""
    return lambda number, incarnation, now_us: ledger_class(
        number, incarnation, incarnation * 100, STEP_US, now_us, _others(number)
    )
