"""Searches every state of a small rollout: the agreement alone, without time, and the leases alone.

The real state machines run on states of plain tuples. In the agreement, a request may reach a voter at any
time after it was sent, more than once, or never, and its answer is received or lost. Delayed answers need no
states of their own, since the content of an answer does not change after it is sent. In the leases, requests
and answers may both be delayed. A crash loses the state that is not durable, a wipe the durable state too; a
stopped process is a member without transitions.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace
from itertools import permutations
from random import Random
from typing import Any, NamedTuple

from lemonridge.lab.checkers.exhaust import SearchResult, explore
from lemonridge.rollout.leases import (
    NO_EPOCHS,
    EpochInterval,
    Grant,
    LeaseGrantor,
    LeaseHolder,
    SentRequest,
    have_common_epoch,
)
from lemonridge.rollout.paxos import NO_VALUE, Accepted, Acceptor, Promised, Proposer

MEMBERS = 3
VALUES = (b"policy-a", b"policy-b")
SPAN, ERROR = 2, 1  # the duration of a lease and the clock error, in ticks
START_TICK = 10


@dataclass(frozen=True)
class Bounds:
    """How often each event may occur in a history.

    Attributes:
        tries: By proposer, the rounds that it may start.
        wipes: Voters that may lose their durable state.
        crashes: Proposers that may crash.
        epochs: In the leases, the highest epoch that is decided.
        requests: The requests for a lease of each broker.
        ticks: The ticks by which time may advance.
        lags: The ticks that the clocks of all brokers together may fall behind.
        messages: The messages in flight at the same time; further ones are lost.
        restarts: Restarts of brokers.
        voter_sets: In the leases, the voters after each epoch; empty if all members always vote.
        granted: By broker, the voters whose grants it holds at the start; empty for all voters.
    """

    tries: tuple[int, int] = (1, 1)
    wipes: int = 0
    crashes: int = 0
    epochs: int = 1
    requests: int = 1
    ticks: int = 3
    lags: int = 0
    messages: int = 2
    restarts: int = 0
    voter_sets: tuple[tuple[int, ...], ...] = ()
    granted: tuple[tuple[int, ...], ...] = ()

    def voters(self, epoch: int) -> tuple[int, ...]:
        """Returns the voters after an epoch."""
        return self.voter_sets[epoch] if self.voter_sets else tuple(range(MEMBERS))


# Agreement


class ProposalRound(NamedTuple):
    """A proposer's round.

    Attributes:
        member: The number of the proposer.
        round_number: The number of the round.
        is_active: Whether the proposer still processes answers.
        promises: The received promises: voter, ballot of its accepted value, accepted value.
        value: The value of phase 2; NO_VALUE during phase 1.
        accepts: The voters whose acceptance was received.
        chosen: Whether the proposer knows that the value is chosen.
    """

    member: int
    round_number: int
    is_active: bool
    promises: tuple[tuple[int, int, bytes], ...] = ()
    value: bytes = NO_VALUE
    accepts: tuple[int, ...] = ()
    chosen: bool = False


class VotingState(NamedTuple):
    """A state of the voting on one slot.

    Attributes:
        voters: By voter, its store id, promised ballot, ballot of its accepted value, and accepted value.
        rounds: All rounds that were ever started.
        tries: By proposer, how many rounds it may still start.
        wipes: How many voters may still lose their durable state.
        crashes: How many proposers may still crash.
    """

    voters: tuple[tuple[int, int, int, bytes], ...]
    rounds: tuple[ProposalRound, ...]
    tries: tuple[int, ...]
    wipes: int
    crashes: int


Wipe = Callable[[int], int]  # returns the store id of the new store that replaces a lost one


def search_agreement(
    bounds: Bounds, states_max: int = 2_000_000, wipe: Wipe = lambda ident: ident + 1
) -> SearchResult[VotingState]:
    """Searches the states of two proposers and three voters; choosing a second value is a violation."""
    store_ids = dict.fromkeys(range(MEMBERS), 0)

    def make_proposer(round_: ProposalRound) -> Proposer:
        """Creates the proposer of a round from its fields in a state."""
        proposer = Proposer(round_.member, 1, VALUES[round_.member], store_ids, round_.round_number)
        proposer._promises = {
            voter: Promised(1, proposer.ballot, accepted_ballot, value)
            for voter, accepted_ballot, value in round_.promises
        }
        proposer.value, proposer._accepts, proposer.chosen = (
            round_.value,
            set(round_.accepts),
            round_.chosen,
        )
        return proposer

    def updated_round(round_: ProposalRound, proposer: Proposer) -> ProposalRound:
        """Returns a round with the fields of its proposer."""
        promises = tuple(
            sorted(
                (n, promised.accepted_ballot, promised.accepted_value)
                for n, promised in proposer._promises.items()
            )
        )
        return round_._replace(
            promises=promises,
            value=proposer.value,
            accepts=tuple(sorted(proposer._accepts)),
            chosen=proposer.chosen,
        )

    def moves(state: VotingState) -> Iterator[tuple[str, VotingState]]:
        """Yields all transitions of a state, each with its name and the next state."""
        last_round = max((round_.round_number for round_ in state.rounds), default=0)
        for member in range(2):
            if state.tries[member]:
                earlier_rounds = tuple(
                    round_._replace(is_active=False) if round_.member == member else round_
                    for round_ in state.rounds
                )
                yield (
                    f"{member} starts a round",
                    state._replace(
                        rounds=(*earlier_rounds, ProposalRound(member, last_round + 1, True)),
                        tries=_with_item(state.tries, member, state.tries[member] - 1),
                    ),
                )
        for index, round_ in enumerate(state.rounds):
            for number, voter in enumerate(state.voters):
                yield from deliver(state, index, round_, number, Acceptor(voter[0], 1, *voter[1:]))
            if round_.is_active and state.crashes:
                rounds = _with_item(state.rounds, index, round_._replace(is_active=False))
                yield f"{round_.member} crashes", state._replace(rounds=rounds, crashes=state.crashes - 1)
        for number, voter in enumerate(state.voters):
            if state.wipes:
                yield (
                    f"{number} is wiped",
                    state._replace(
                        voters=_with_item(state.voters, number, (wipe(voter[0]), 0, 0, NO_VALUE)),
                        wipes=state.wipes - 1,
                    ),
                )

    def deliver(
        state: VotingState, index: int, round_: ProposalRound, number: int, voter: Acceptor
    ) -> Iterator[tuple[str, VotingState]]:
        """Yields the deliveries of a round's requests to a voter, with the answer lost or received."""
        proposer = make_proposer(round_)
        kinds = ["prepare"] if round_.value == NO_VALUE else ["prepare", "accept"]
        for kind in kinds:
            acceptor = replace(voter)
            if acceptor.store_id != store_ids[number]:
                return  # a new store does not vote in this slot
            answer = (
                acceptor.prepare(1, proposer.ballot)
                if kind == "prepare"
                else acceptor.accept(1, proposer.ballot, round_.value)
            )
            if not isinstance(answer, (Promised, Accepted)):
                continue
            voters = _with_item(
                state.voters,
                number,
                (
                    acceptor.store_id,
                    acceptor.promised_ballot,
                    acceptor.accepted_ballot,
                    acceptor.accepted_value,
                ),
            )
            yield f"{number} gets {kind} {proposer.ballot}, answer lost", state._replace(voters=voters)
            if not round_.is_active:
                continue
            proposer = make_proposer(round_)
            if isinstance(answer, Promised):
                proposer.on_promise(number, acceptor.store_id, answer)
            else:
                proposer.on_accepted(number, acceptor.store_id, answer)
            yield (
                f"{number} answers {kind} {proposer.ballot}",
                state._replace(
                    voters=voters, rounds=_with_item(state.rounds, index, updated_round(round_, proposer))
                ),
            )

    def violation(state: VotingState) -> str:
        """Describes how a state breaks the invariant; empty if it does not."""
        chosen = {round_.value for round_ in state.rounds if round_.chosen}
        return "" if len(chosen) < 2 else f"two values were chosen: {sorted(chosen)}"

    start = VotingState(((0, 0, 0, NO_VALUE),) * MEMBERS, (), bounds.tries, bounds.wipes, bounds.crashes)
    return explore(start, _voting_key, moves, violation, states_max)


def _with_item(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    """Returns a tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def _voting_key(state: VotingState) -> Hashable:
    """Returns a state's identity. The voters are interchangeable, so their numbers are left out."""
    profiles = []
    for number, voter in enumerate(state.voters):
        answers = tuple(
            (
                next((promise[1:] for promise in round_.promises if promise[0] == number), None),
                number in round_.accepts,
            )
            for round_ in state.rounds
        )
        profiles.append((voter, answers))
    rounds = tuple(
        (round_.member, round_.round_number, round_.is_active, round_.value, round_.chosen)
        for round_ in state.rounds
    )
    return tuple(sorted(profiles, key=repr)), rounds, state.tries, state.wipes, state.crashes


# Leases


class LeaseState(NamedTuple):
    """A state of brokers that hold and grant leases, in discrete time.

    Attributes:
        grantors: By voter, when it starts to grant, and its grants: member, incarnation, lowest and highest
            epoch, end, request id.
        holders: By broker, the epochs in use, the target epoch, the last request id, the open requests and
            the received grants.
        incarnations: By broker, its incarnation.
        newest: By voter, the newest epoch that it has accepted or knows.
        chosen: The newest decided epoch.
        at: The true time, in ticks.
        clock_lag: By broker, how many ticks its clock is behind the true time.
        sent: The messages in flight.
        requests_left: By broker, how many leases it may still request.
        ticks: By how many ticks time may still advance.
        lags: By how many ticks clocks may still fall behind.
        restarts: How many brokers may still restart.
        proposed: The highest epoch that may be accepted.
    """

    grantors: tuple[tuple[Any, ...], ...]
    holders: tuple[tuple[Any, ...], ...]
    incarnations: tuple[int, ...]
    newest: tuple[int, ...]
    chosen: int
    at: int
    clock_lag: tuple[int, ...]
    sent: tuple[tuple[Any, ...], ...]
    requests_left: tuple[int, ...]
    ticks: int
    lags: int
    restarts: int
    proposed: int


def _grantor(fields: tuple[Any, ...]) -> LeaseGrantor:
    """Creates a grantor from its fields in a state."""
    grantor = LeaseGrantor(SPAN, ERROR, 0)
    grantor.grants_from_us = fields[0]
    for member, incarnation, *grant in fields[1:]:
        grantor.grants.setdefault(member, {})[incarnation] = Grant(*grant)
    return grantor


def _grantor_fields(grantor: LeaseGrantor, now: int) -> tuple[Any, ...]:
    """Returns a grantor's fields in a state; past times become `now`, as they make no difference."""
    grants = sorted(
        (member, incarnation, grant.low, grant.high, max(grant.end_us, now), grant.request_id)
        for member, incarnations in grantor.grants.items()
        for incarnation, grant in incarnations.items()
    )
    return (max(grantor.grants_from_us, now), *grants)


def _holder(fields: tuple[Any, ...], bounds: Bounds) -> LeaseHolder:
    """Creates a holder from its fields in a state."""
    in_use, target, request_id, requests, grants = fields
    previous_voters = bounds.voters(target - 1) if target else ()
    holder = LeaseHolder(SPAN, bounds.voters(target), in_use, target, previous_voters, request_id)
    holder._requests = {number: SentRequest(*request) for number, *request in requests}
    holder._grants = {voter: (granted, end) for voter, granted, end in grants}
    return holder


def _holder_fields(holder: LeaseHolder, now: int) -> tuple[Any, ...]:
    """Returns a holder's fields in a state, without expired requests and grants."""
    requests = tuple(
        (number, request.sent_us, request.in_use, request.target_epoch)
        for number, request in holder._requests.items()
        if request.sent_us + SPAN > now
    )
    grants = tuple(
        sorted((voter, granted, end) for voter, (granted, end) in holder._grants.items() if end > now)
    )
    return holder.in_use, holder.target_epoch, holder._request_id, requests, grants


def search_leases(bounds: Bounds, states_max: int = 2_000_000) -> SearchResult[LeaseState]:
    """Searches the states of three brokers with leases; brokers without a common epoch are a violation."""
    model = LeaseModel(bounds)
    symmetric = not bounds.voter_sets and not bounds.granted
    key = _symmetric_key if symmetric else _exact_key
    return explore(model.start(), key, model.moves, model.violation, states_max)


def _exact_key(fleet: LeaseState) -> Hashable:
    """Returns the identity of a state of brokers that are not interchangeable."""
    return fleet


_ORDERS = tuple(permutations(range(MEMBERS)))


def _symmetric_key(fleet: LeaseState) -> Hashable:
    """Returns the identity of a state of interchangeable brokers.

    Of the six ways to number the brokers, it uses the one whose fields are the least in tuple order.
    """
    candidates = []
    for order in _ORDERS:
        original = [order.index(number) for number in range(MEMBERS)]
        candidates.append(
            (
                [fleet.requests_left[member] for member in original],
                [fleet.newest[member] for member in original],
                [fleet.clock_lag[member] for member in original],
                [fleet.incarnations[member] for member in original],
                order,
            )
        )
    least = min(candidate[:4] for candidate in candidates)
    fields = min(
        _renumbered_fields(fleet, candidate[4]) for candidate in candidates if candidate[:4] == least
    )
    return *map(tuple, least), fields, fleet.chosen, fleet.at, fleet.ticks, fleet.lags, fleet.restarts


def _renumbered_fields(fleet: LeaseState, order: tuple[int, ...]) -> tuple[Any, ...]:
    """Returns grantors, holders and messages with each broker's number replaced by its number in `order`."""
    grantors: list[Any] = [()] * MEMBERS
    holders: list[Any] = [()] * MEMBERS
    for member, number in enumerate(order):
        grants_from, *granted = fleet.grantors[member]
        grantors[number] = (grants_from, *sorted((order[grantee], *grant) for grantee, *grant in granted))
        in_use, target, request_id, requests, received = fleet.holders[member]
        renumbered = tuple(sorted((order[voter], *grant) for voter, *grant in received))
        holders[number] = in_use, target, request_id, requests, renumbered
    sent = tuple(
        sorted((kind, order[voter], order[member], *message) for kind, voter, member, *message in fleet.sent)
    )
    return tuple(grantors), tuple(holders), sent


def random_walks(bounds: Bounds, seed: int, walks: int, steps: int = 60) -> str:
    """Follows random histories, for wide bounds; returns the first violation, or an empty string.

    Args:
        bounds: The bounds of each history.
        seed: The seed of the random choices.
        walks: The number of histories.
        steps: The longest length of a history.
    """
    random = Random(seed)
    model = LeaseModel(bounds)
    for _ in range(walks):
        fleet = model.start()
        for _ in range(steps):
            next_states = list(model.moves(fleet))
            if not next_states:
                break
            fleet = random.choice(next_states)[1]
            if violation := model.violation(fleet):
                return violation
    return ""


class LeaseModel:
    """The state space of three brokers with leases: initial state, transitions and invariant."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds

    def start(self) -> LeaseState:
        """Returns the initial state: all brokers use epoch 0 under new leases."""
        bounds, members = self._bounds, range(MEMBERS)
        voters = bounds.voters(0)
        grantors, holders = [LeaseGrantor(SPAN, ERROR, 0) for _ in members], []
        for member in members:
            holder = LeaseHolder(SPAN, voters)
            request_id, in_use, target = holder.new_request(START_TICK)
            for voter in bounds.granted[member] if bounds.granted else voters:
                granted = grantors[voter].grant(member, 1, request_id, in_use, target, 0, START_TICK)
                holder.record_grant(voter, request_id, granted, START_TICK)
            holders.append(_holder_fields(holder, START_TICK))
        return LeaseState(
            grantors=tuple(_grantor_fields(grantor, START_TICK) for grantor in grantors),
            holders=tuple(holders),
            incarnations=(1,) * MEMBERS,
            newest=(0,) * MEMBERS,
            chosen=0,
            at=START_TICK,
            clock_lag=(0,) * MEMBERS,
            sent=(),
            requests_left=(bounds.requests,) * MEMBERS,
            ticks=bounds.ticks,
            lags=bounds.lags,
            restarts=bounds.restarts,
            proposed=0 if bounds.voter_sets else bounds.epochs,
        )

    def moves(self, fleet: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        """Yields all transitions of a state, each with its name and the next state."""
        for member in range(MEMBERS):
            yield from self._member_moves(fleet, member)
        for message in dict.fromkeys(fleet.sent):
            yield from self._deliver(fleet, message)
        if fleet.ticks:
            at = fleet.at + 1
            grantors = tuple(_grantor_fields(_grantor(fields), at) for fields in fleet.grantors)
            yield "time advances", fleet._replace(at=at, ticks=fleet.ticks - 1, grantors=grantors)

    def violation(self, fleet: LeaseState) -> str:
        """Describes how a state breaks the invariant; empty if it does not."""
        holders = [_holder(fields, self._bounds) for fields in fleet.holders]
        used = [
            holder.in_use if holder.is_valid(_clock(fleet, member)) else NO_EPOCHS
            for member, holder in enumerate(holders)
        ]
        return "" if have_common_epoch(used) else f"no common epoch, in use are {used}"

    def _member_moves(self, fleet: LeaseState, member: int) -> Iterator[tuple[str, LeaseState]]:
        """Yields the transitions of one broker without the delivery of messages."""
        if fleet.requests_left[member]:
            yield from self._request(fleet, member)
        yield from self._change_moves(fleet, member)
        if fleet.lags:
            clock_lag = _with_item(fleet.clock_lag, member, fleet.clock_lag[member] + 1)
            yield f"{member}'s clock lags", fleet._replace(clock_lag=clock_lag, lags=fleet.lags - 1)
        if fleet.restarts:
            newest = max(fleet.holders[member][1], fleet.chosen)  # at its start it learns the decided epoch
            yield (
                f"{member} restarts",
                fleet._replace(
                    incarnations=_with_item(fleet.incarnations, member, fleet.incarnations[member] + 1),
                    restarts=fleet.restarts - 1,
                    holders=_with_item(fleet.holders, member, (NO_EPOCHS, newest, 0, (), ())),
                    grantors=_with_item(fleet.grantors, member, (fleet.at + SPAN + ERROR,)),
                ),
            )

    def _change_moves(self, fleet: LeaseState, member: int) -> Iterator[tuple[str, LeaseState]]:
        """Yields a member's proposal, acceptance and learning of the next epoch."""
        bounds, now = self._bounds, _clock(fleet, member)
        holder = _holder(fleet.holders[member], bounds)
        uses_newest_alone = holder.in_use == (fleet.chosen, fleet.chosen) and holder.is_valid(now)
        if fleet.proposed == fleet.chosen < bounds.epochs and uses_newest_alone:
            yield f"{member} proposes", fleet._replace(proposed=fleet.chosen + 1)
        voters = bounds.voters(fleet.chosen)
        if member in voters and fleet.newest[member] == fleet.chosen < fleet.proposed:
            newest = _with_item(fleet.newest, member, fleet.chosen + 1)
            is_chosen = sum(newest[voter] > fleet.chosen for voter in voters) > len(voters) // 2
            yield f"{member} accepts", fleet._replace(newest=newest, chosen=fleet.chosen + is_chosen)
        if holder.target_epoch < fleet.chosen:
            holder.on_epoch(fleet.chosen, bounds.voters(fleet.chosen), now)
            newest = _with_item(fleet.newest, member, max(fleet.newest[member], fleet.chosen))
            next_state = _with_holder(fleet._replace(newest=newest), member, holder)
            yield f"{member} learns {fleet.chosen}", next_state

    def _grant(
        self,
        fleet: LeaseState,
        voter: int,
        member: int,
        incarnation: int,
        request_id: int,
        in_use: EpochInterval,
        target: int,
    ) -> tuple[LeaseState, EpochInterval]:
        """Returns the state after a voter processed a request for a lease, and the granted epochs."""
        if voter not in self._bounds.voters(fleet.holders[voter][1]):
            return fleet, NO_EPOCHS
        grantor = _grantor(fleet.grantors[voter])
        granted = grantor.grant(
            member, incarnation, request_id, in_use, target, fleet.newest[voter], fleet.at
        )
        grantors = _with_item(fleet.grantors, voter, _grantor_fields(grantor, fleet.at))
        return fleet._replace(grantors=grantors), granted

    def _request(self, fleet: LeaseState, member: int) -> Iterator[tuple[str, LeaseState]]:
        """Yields a member's request of a lease to all grantors; its own grant needs no message."""
        holder = _holder(fleet.holders[member], self._bounds)
        request_id, in_use, target = holder.new_request(_clock(fleet, member))
        left = _with_item(fleet.requests_left, member, fleet.requests_left[member] - 1)
        after, granted = self._grant(
            fleet._replace(requests_left=left),
            member,
            member,
            fleet.incarnations[member],
            request_id,
            in_use,
            target,
        )
        holder.record_grant(member, request_id, granted, _clock(fleet, member))
        after = _with_holder(after, member, holder)
        others = [voter for voter in holder.grantors() if voter != member]
        for name, next_state in self._answers(after, member, request_id, in_use, target, others):
            yield f"{member} asks{name}", next_state

    def _answers(
        self,
        fleet: LeaseState,
        member: int,
        request_id: int,
        in_use: EpochInterval,
        target: int,
        voters: list[int],
    ) -> Iterator[tuple[str, LeaseState]]:
        """Yields the outcomes of a request, which each voter answers at once, later or never."""
        if not voters:
            yield "", fleet
            return
        voter, others = voters[0], voters[1:]
        for name, state in self._answers(fleet, member, request_id, in_use, target, others):
            yield name, state
            incarnation = state.incarnations[member]
            if len(state.sent) < self._bounds.messages:
                message = ("ask", voter, member, incarnation, request_id, in_use, target)
                yield f", {voter} later{name}", _with_message(state, message)
            after, granted = self._grant(state, voter, member, incarnation, request_id, in_use, target)
            holder = _holder(after.holders[member], self._bounds)
            holder.record_grant(voter, request_id, granted, _clock(after, member))
            yield f", {voter} answers{name}", _with_holder(after, member, holder)

    def _deliver(self, fleet: LeaseState, message: tuple[Any, ...]) -> Iterator[tuple[str, LeaseState]]:
        """Yields the delivery of a message in flight."""
        others = list(fleet.sent)
        others.remove(message)
        fleet = fleet._replace(sent=tuple(others))
        kind, voter, member, incarnation, request_id = message[:5]
        if kind == "ask":
            after, granted = self._grant(
                fleet, voter, member, incarnation, request_id, message[5], message[6]
            )
            yield f"arrives: {message}", after  # its answer is lost, or there is none
            if granted != NO_EPOCHS and len(after.sent) < self._bounds.messages:
                answer = ("grant", voter, member, incarnation, request_id, granted)
                yield f"arrives: {message}", _with_message(after, answer)
        elif incarnation == fleet.incarnations[member]:
            holder = _holder(fleet.holders[member], self._bounds)
            holder.record_grant(voter, request_id, message[5], _clock(fleet, member))
            yield f"arrives: {message}", _with_holder(fleet, member, holder)


def _clock(fleet: LeaseState, member: int) -> int:
    """Returns the time by a member's own clock."""
    return fleet.at - fleet.clock_lag[member]


def _with_message(fleet: LeaseState, message: tuple[Any, ...]) -> LeaseState:
    """Returns a state with one more message in flight."""
    return fleet._replace(sent=tuple(sorted((*fleet.sent, message))))


def _with_holder(fleet: LeaseState, member: int, holder: LeaseHolder) -> LeaseState:
    """Returns a state with a member's holder replaced."""
    fields = _holder_fields(holder, _clock(fleet, member))
    return fleet._replace(holders=_with_item(fleet.holders, member, fields))


# The bounds of docs/policy-change.md. A search with two rounds of one proposer did not end in 200 s.
STATED_AGREEMENT = (Bounds(), Bounds(wipes=1))
_ALL_VOTERS, _INITIAL_GRANTS = (0, 1, 2), ((0, 1), (0, 1), (1, 2))
STATED_LEASES = (
    Bounds(messages=0, ticks=1),
    Bounds(messages=0, ticks=2),
    Bounds(messages=1, ticks=1),
    Bounds(messages=0, ticks=1, lags=1),
    Bounds(messages=0, ticks=1, restarts=1),
    Bounds(messages=0, ticks=2, restarts=1),
    Bounds(messages=0, ticks=1, epochs=2),
    Bounds(messages=0, ticks=1, voter_sets=(_ALL_VOTERS, (0, 1)), granted=_INITIAL_GRANTS),
    Bounds(messages=0, ticks=1, voter_sets=((0, 1), _ALL_VOTERS), granted=((0, 1),) * 3),
    Bounds(
        messages=0, ticks=1, epochs=2, requests=2, voter_sets=((0,), (0, 1), (1,)), granted=((0,), (), (0,))
    ),
)
RANDOM_WALK_BOUNDS = Bounds(requests=5, epochs=3, ticks=14, lags=1, messages=6, restarts=1)
