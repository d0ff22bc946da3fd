"""Every state of a small rollout: the agreement by itself, without any time, and the leases by themselves.

The real machines are run on states of plain tuples. Of the agreement a question may come to a voter at any
time after it was said, again, or never, and its answer is heard or lost; that an answer comes late makes
nothing new, since what it says is settled when it is given. Of the leases both ways may be late. A crash
loses what is not durable, a wipe also what is; a stop is a member that makes no move.
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
SPAN, ERROR = 2, 1  # of a lease, and of clocks: ticks
START_TICK = 10


@dataclass(frozen=True)
class Bounds:
    """How much may happen; what is 0 does not."""

    tries: tuple[int, int] = (1, 1)  # of each proposer
    wipes: int = 0
    crashes: int = 0
    epochs: int = 1  # of the leases: the highest that is decided
    requests: int = 1  # for a lease, of each broker
    ticks: int = 3
    lags: int = 0  # ticks that the clocks of brokers may lose in all
    messages: int = 2  # in flight at once; one more is lost
    restarts: int = 0
    voter_sets: tuple[
        tuple[int, ...], ...
    ] = ()  # of the leases: who votes after each epoch; empty: always all
    granted: tuple[tuple[int, ...], ...] = ()  # by broker: whose grants it holds at first; empty: all of them

    def voters(self, epoch: int) -> tuple[int, ...]:
        """Who votes after an epoch."""
        return self.voter_sets[epoch] if self.voter_sets else tuple(range(MEMBERS))


# Agreement


class ProposalRound(NamedTuple):
    """A proposer's round: what it heard, and what it puts to the vote."""

    who: int
    turn: int
    alive: bool
    promises: tuple[tuple[int, int, bytes], ...] = ()  # voter, took, value
    value: bytes = NO_VALUE
    accepts: tuple[int, ...] = ()
    chosen: bool = False


class VotingState(NamedTuple):
    """Voters (identity, promised, took, value), and all rounds that were ever begun, in one slot."""

    voters: tuple[tuple[int, int, int, bytes], ...]
    rounds: tuple[ProposalRound, ...]
    tries: tuple[int, ...]
    wipes: int
    crashes: int


Wipe = Callable[[int], int]  # the identity of the store after one of this identity is lost


def search_agreement(
    bounds: Bounds, states_max: int = 2_000_000, wipe: Wipe = lambda ident: ident + 1
) -> SearchResult[VotingState]:
    """All that two proposers and three voters may come to; wrong is a second value that was chosen."""
    config = dict.fromkeys(range(MEMBERS), 0)

    def proposer(one: ProposalRound) -> Proposer:
        made = Proposer(one.who, 1, VALUES[one.who], config, one.turn)
        made._promises = {voter: Promised(1, made.ballot, took, value) for voter, took, value in one.promises}
        made.value, made._accepts, made.chosen = one.value, set(one.accepts), one.chosen
        return made

    def noted(one: ProposalRound, made: Proposer) -> ProposalRound:
        rows = tuple(
            sorted((n, told.accepted_ballot, told.accepted_value) for n, told in made._promises.items())
        )
        return one._replace(
            promises=rows, value=made.value, accepts=tuple(sorted(made._accepts)), chosen=made.chosen
        )

    def moves(room: VotingState) -> Iterator[tuple[str, VotingState]]:
        top = max((one.turn for one in room.rounds), default=0)
        for who in range(2):
            if room.tries[who]:
                begun = tuple(one._replace(alive=False) if one.who == who else one for one in room.rounds)
                yield (
                    f"{who} tries",
                    room._replace(
                        rounds=(*begun, ProposalRound(who, top + 1, True)),
                        tries=_put(room.tries, who, room.tries[who] - 1),
                    ),
                )
        for place, one in enumerate(room.rounds):
            for number, row in enumerate(room.voters):
                yield from heard(room, place, one, number, Acceptor(row[0], 1, *row[1:]))
            if one.alive and room.crashes:
                gone = _put(room.rounds, place, one._replace(alive=False))
                yield f"{one.who} dies", room._replace(rounds=gone, crashes=room.crashes - 1)
        for number, row in enumerate(room.voters):
            if room.wipes:
                yield (
                    f"{number} is wiped",
                    room._replace(
                        voters=_put(room.voters, number, (wipe(row[0]), 0, 0, NO_VALUE)), wipes=room.wipes - 1
                    ),
                )

    def heard(
        room: VotingState, place: int, one: ProposalRound, number: int, voter: Acceptor
    ) -> Iterator[tuple[str, VotingState]]:
        made = proposer(one)
        kinds = ["prepare"] if one.value == NO_VALUE else ["prepare", "accept"]
        for kind in kinds:
            voting = replace(voter)
            if voting.store_id != config[number]:
                return  # a new store does not vote in this slot
            told = (
                voting.prepare(1, made.ballot)
                if kind == "prepare"
                else voting.accept(1, made.ballot, one.value)
            )
            if not isinstance(told, (Promised, Accepted)):
                continue
            voters = _put(
                room.voters,
                number,
                (voting.store_id, voting.promised_ballot, voting.accepted_ballot, voting.accepted_value),
            )
            yield f"{number} gets {kind} {made.ballot}, answer lost", room._replace(voters=voters)
            if not one.alive:
                continue
            made = proposer(one)
            if isinstance(told, Promised):
                made.on_promise(number, voting.store_id, told)
            else:
                made.on_accepted(number, voting.store_id, told)
            yield (
                f"{number} answers {kind} {made.ballot}",
                room._replace(voters=voters, rounds=_put(room.rounds, place, noted(one, made))),
            )

    def wrong(room: VotingState) -> str:
        chosen = {one.value for one in room.rounds if one.chosen}
        return "" if len(chosen) < 2 else f"two values were chosen: {sorted(chosen)}"

    start = VotingState(((0, 0, 0, NO_VALUE),) * MEMBERS, (), bounds.tries, bounds.wipes, bounds.crashes)
    return explore(start, _alike, moves, wrong, states_max)


def _put(rows: tuple[Any, ...], place: int, row: Any) -> tuple[Any, ...]:
    return (*rows[:place], row, *rows[place + 1 :])


def _alike(room: VotingState) -> Hashable:
    """A room's key. The voters are alike: what counts is what is so of each, not which it is."""
    profiles = []
    for number, row in enumerate(room.voters):
        told = tuple(
            (next((one[1:] for one in made.promises if one[0] == number), None), number in made.accepts)
            for made in room.rounds
        )
        profiles.append((row, told))
    rounds = tuple((one.who, one.turn, one.alive, one.value, one.chosen) for one in room.rounds)
    return tuple(sorted(profiles, key=repr)), rounds, room.tries, room.wipes, room.crashes


# Leases


class LeaseState(NamedTuple):
    """Brokers that are voters too, in discrete time."""

    grantors: tuple[tuple[Any, ...], ...]  # by voter: grants from, (member, incarnation, low, high, end, id)
    holders: tuple[tuple[Any, ...], ...]  # by broker: in use, target, request id, requests, grants
    incarnations: tuple[int, ...]
    newest: tuple[int, ...]  # the epoch that each voter has accepted or knows
    chosen: int
    at: int
    clock_lag: tuple[int, ...]  # by broker, in ticks
    sent: tuple[tuple[Any, ...], ...]
    requests_left: tuple[int, ...]  # by broker
    ticks: int
    lags: int
    restarts: int
    proposed: int  # the highest epoch that may be accepted


def _grantor(rows: tuple[Any, ...]) -> LeaseGrantor:
    grantor = LeaseGrantor(SPAN, ERROR, 0)
    grantor.grants_from_us = rows[0]
    for member, incarnation, *grant in rows[1:]:
        grantor.grants.setdefault(member, {})[incarnation] = Grant(*grant)
    return grantor


def _grantor_rows(grantor: LeaseGrantor, now: int) -> tuple[Any, ...]:
    """What it knows; how long ago something ended makes no difference."""
    rows = sorted(
        (member, incarnation, one.low, one.high, max(one.end_us, now), one.request_id)
        for member, incarnations in grantor.grants.items()
        for incarnation, one in incarnations.items()
    )
    return (max(grantor.grants_from_us, now), *rows)


def _holder(row: tuple[Any, ...], bounds: Bounds) -> LeaseHolder:
    in_use, target, request_id, requests, grants = row
    previous_voters = bounds.voters(target - 1) if target else ()
    holder = LeaseHolder(SPAN, bounds.voters(target), in_use, target, previous_voters, request_id)
    holder._requests = {number: SentRequest(*request) for number, *request in requests}
    holder._grants = {voter: (granted, end) for voter, granted, end in grants}
    return holder


def _holder_row(holder: LeaseHolder, now: int) -> tuple[Any, ...]:
    requests = tuple(
        (number, one.sent_us, one.in_use, one.target_epoch)
        for number, one in holder._requests.items()
        if one.sent_us + SPAN > now
    )
    grants = tuple(
        sorted((voter, granted, end) for voter, (granted, end) in holder._grants.items() if end > now)
    )
    return holder.in_use, holder.target_epoch, holder._request_id, requests, grants


def search_leases(bounds: Bounds, states_max: int = 2_000_000) -> SearchResult[LeaseState]:
    """All that three brokers with leases may come to; wrong is two that go by no common epoch."""
    model = LeaseModel(bounds)
    alike = not bounds.voter_sets and not bounds.granted
    key = _symmetric_key if alike else _exact_key
    return explore(model.start(), key, model.moves, model.violation, states_max)


def _exact_key(fleet: LeaseState) -> Hashable:
    return fleet


_ORDERS = tuple(permutations(range(MEMBERS)))


def _symmetric_key(fleet: LeaseState) -> Hashable:
    """A fleet's key where all begin alike, so that it does not matter which broker is which.

    Of the six ways to number them it is the one with the least rows.
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
    least = min(one[:4] for one in candidates)
    rows = min(_rows(fleet, one[4]) for one in candidates if one[:4] == least)
    return *map(tuple, least), rows, fleet.chosen, fleet.at, fleet.ticks, fleet.lags, fleet.restarts


def _rows(fleet: LeaseState, order: tuple[int, ...]) -> tuple[Any, ...]:
    """What the brokers know, each by the number that it has in `order`."""
    grantors: list[Any] = [()] * MEMBERS
    holders: list[Any] = [()] * MEMBERS
    for member, number in enumerate(order):
        grants_from, *given = fleet.grantors[member]
        grantors[number] = (grants_from, *sorted((order[one], *grant) for one, *grant in given))
        in_use, target, request_id, requests, grants = fleet.holders[member]
        renumbered = tuple(sorted((order[one], *grant) for one, *grant in grants))
        holders[number] = in_use, target, request_id, requests, renumbered
    sent = tuple(
        sorted((kind, order[voter], order[member], *message) for kind, voter, member, *message in fleet.sent)
    )
    return tuple(grantors), tuple(holders), sent


def random_walks(bounds: Bounds, seed: int, walks: int, steps: int = 60) -> str:
    """Random histories within wider bounds; what is broken first, or nothing."""
    random = Random(seed)
    model = LeaseModel(bounds)
    for _ in range(walks):
        fleet = model.start()
        for _ in range(steps):
            after = list(model.moves(fleet))
            if not after:
                break
            fleet = random.choice(after)[1]
            if broken := model.violation(fleet):
                return broken
    return ""


class LeaseModel:
    """Three brokers with leases: where they begin, what may happen next, and what is wrong in a state."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds

    def start(self) -> LeaseState:
        """All use epoch 0, by leases as good as new."""
        bounds, members = self._bounds, range(MEMBERS)
        voters = bounds.voters(0)
        grantors, holders = [LeaseGrantor(SPAN, ERROR, 0) for _ in members], []
        for member in members:
            holder = LeaseHolder(SPAN, voters)
            request_id, in_use, target = holder.new_request(START_TICK)
            for voter in bounds.granted[member] if bounds.granted else voters:
                granted = grantors[voter].grant(member, 1, request_id, in_use, target, 0, START_TICK)
                holder.record_grant(voter, request_id, granted, START_TICK)
            holders.append(_holder_row(holder, START_TICK))
        return LeaseState(
            grantors=tuple(_grantor_rows(one, START_TICK) for one in grantors),
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
        """All that may happen next, each with its name."""
        for member in range(MEMBERS):
            yield from self._member_moves(fleet, member)
        for message in dict.fromkeys(fleet.sent):
            yield from self._deliver(fleet, message)
        if fleet.ticks:
            at = fleet.at + 1
            grantors = tuple(_grantor_rows(_grantor(rows), at) for rows in fleet.grantors)
            yield "time passes", fleet._replace(at=at, ticks=fleet.ticks - 1, grantors=grantors)

    def violation(self, fleet: LeaseState) -> str:
        """What is broken in a state, or nothing."""
        holders = [_holder(row, self._bounds) for row in fleet.holders]
        used = [
            one.in_use if one.is_valid(_clock(fleet, member)) else NO_EPOCHS
            for member, one in enumerate(holders)
        ]
        return "" if have_common_epoch(used) else f"they go by {used}"

    def _member_moves(self, fleet: LeaseState, member: int) -> Iterator[tuple[str, LeaseState]]:
        if fleet.requests_left[member]:
            yield from self._request(fleet, member)
        yield from self._change_moves(fleet, member)
        if fleet.lags:
            clock_lag = _put(fleet.clock_lag, member, fleet.clock_lag[member] + 1)
            yield f"{member}'s clock lags", fleet._replace(clock_lag=clock_lag, lags=fleet.lags - 1)
        if fleet.restarts:
            newest = max(fleet.holders[member][1], fleet.chosen)  # it learns what is decided as it starts
            yield (
                f"{member} restarts",
                fleet._replace(
                    incarnations=_put(fleet.incarnations, member, fleet.incarnations[member] + 1),
                    restarts=fleet.restarts - 1,
                    holders=_put(fleet.holders, member, (NO_EPOCHS, newest, 0, (), ())),
                    grantors=_put(fleet.grantors, member, (fleet.at + SPAN + ERROR,)),
                ),
            )

    def _change_moves(self, fleet: LeaseState, member: int) -> Iterator[tuple[str, LeaseState]]:
        """A member proposes, accepts, or learns the next epoch."""
        bounds, now = self._bounds, _clock(fleet, member)
        holder = _holder(fleet.holders[member], bounds)
        uses_newest_alone = holder.in_use == (fleet.chosen, fleet.chosen) and holder.is_valid(now)
        if fleet.proposed == fleet.chosen < bounds.epochs and uses_newest_alone:
            yield f"{member} proposes", fleet._replace(proposed=fleet.chosen + 1)
        voters = bounds.voters(fleet.chosen)
        if member in voters and fleet.newest[member] == fleet.chosen < fleet.proposed:
            newest = _put(fleet.newest, member, fleet.chosen + 1)
            is_chosen = sum(newest[one] > fleet.chosen for one in voters) > len(voters) // 2
            yield f"{member} accepts", fleet._replace(newest=newest, chosen=fleet.chosen + is_chosen)
        if holder.target_epoch < fleet.chosen:
            holder.on_epoch(fleet.chosen, bounds.voters(fleet.chosen), now)
            newest = _put(fleet.newest, member, max(fleet.newest[member], fleet.chosen))
            learnt = _with_holder(fleet._replace(newest=newest), member, holder)
            yield f"{member} learns {fleet.chosen}", learnt

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
        if voter not in self._bounds.voters(fleet.holders[voter][1]):
            return fleet, NO_EPOCHS
        grantor = _grantor(fleet.grantors[voter])
        granted = grantor.grant(
            member, incarnation, request_id, in_use, target, fleet.newest[voter], fleet.at
        )
        grantors = _put(fleet.grantors, voter, _grantor_rows(grantor, fleet.at))
        return fleet._replace(grantors=grantors), granted

    def _request(self, fleet: LeaseState, member: int) -> Iterator[tuple[str, LeaseState]]:
        """A member requests a lease of all grantors; its own grant needs no message."""
        holder = _holder(fleet.holders[member], self._bounds)
        request_id, in_use, target = holder.new_request(_clock(fleet, member))
        left = _put(fleet.requests_left, member, fleet.requests_left[member] - 1)
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
        for name, one in self._answers(after, member, request_id, in_use, target, others):
            yield f"{member} asks{name}", one

    def _answers(
        self,
        fleet: LeaseState,
        member: int,
        request_id: int,
        in_use: EpochInterval,
        target: int,
        voters: list[int],
    ) -> Iterator[tuple[str, LeaseState]]:
        """Each voter answers at once, or the request to it is in flight, or lost."""
        if not voters:
            yield "", fleet
            return
        voter, others = voters[0], voters[1:]
        for name, one in self._answers(fleet, member, request_id, in_use, target, others):
            yield name, one
            incarnation = one.incarnations[member]
            if len(one.sent) < self._bounds.messages:
                message = ("ask", voter, member, incarnation, request_id, in_use, target)
                yield f", {voter} later{name}", _with_message(one, message)
            after, granted = self._grant(one, voter, member, incarnation, request_id, in_use, target)
            holder = _holder(after.holders[member], self._bounds)
            holder.record_grant(voter, request_id, granted, _clock(after, member))
            yield f", {voter} answers{name}", _with_holder(after, member, holder)

    def _deliver(self, fleet: LeaseState, message: tuple[Any, ...]) -> Iterator[tuple[str, LeaseState]]:
        """A message in flight arrives."""
        others = list(fleet.sent)
        others.remove(message)
        fleet = fleet._replace(sent=tuple(others))
        kind, voter, member, incarnation, request_id = message[:5]
        if kind == "ask":
            after, granted = self._grant(
                fleet, voter, member, incarnation, request_id, message[5], message[6]
            )
            yield f"comes {message}", after  # its answer is lost, or there is none
            if granted != NO_EPOCHS and len(after.sent) < self._bounds.messages:
                answer = ("grant", voter, member, incarnation, request_id, granted)
                yield f"comes {message}", _with_message(after, answer)
        elif incarnation == fleet.incarnations[member]:
            holder = _holder(fleet.holders[member], self._bounds)
            holder.record_grant(voter, request_id, message[5], _clock(fleet, member))
            yield f"comes {message}", _with_holder(fleet, member, holder)


def _clock(fleet: LeaseState, member: int) -> int:
    """A member's own clock."""
    return fleet.at - fleet.clock_lag[member]


def _with_message(fleet: LeaseState, message: tuple[Any, ...]) -> LeaseState:
    """The same with a message in flight."""
    return fleet._replace(sent=tuple(sorted((*fleet.sent, message))))


def _with_holder(fleet: LeaseState, member: int, holder: LeaseHolder) -> LeaseState:
    row = _holder_row(holder, _clock(fleet, member))
    return fleet._replace(holders=_put(fleet.holders, member, row))


STATED_AGREEMENT = (Bounds(), Bounds(wipes=1))  # two tries of one proposer did not end in 200 s
_THREE, _GRANTED_AT_FIRST = (0, 1, 2), ((0, 1), (0, 1), (1, 2))
STATED_LEASES = (
    Bounds(messages=0, ticks=1),
    Bounds(messages=0, ticks=2),
    Bounds(messages=1, ticks=1),
    Bounds(messages=0, ticks=1, lags=1),
    Bounds(messages=0, ticks=1, restarts=1),
    Bounds(messages=0, ticks=2, restarts=1),
    Bounds(messages=0, ticks=1, epochs=2),
    Bounds(messages=0, ticks=1, voter_sets=(_THREE, (0, 1)), granted=_GRANTED_AT_FIRST),
    Bounds(messages=0, ticks=1, voter_sets=((0, 1), _THREE), granted=((0, 1),) * 3),
    Bounds(
        messages=0, ticks=1, epochs=2, requests=2, voter_sets=((0,), (0, 1), (1,)), granted=((0,), (), (0,))
    ),
)
RANDOM_WALK_BOUNDS = Bounds(requests=5, epochs=3, ticks=14, lags=1, messages=6, restarts=1)
