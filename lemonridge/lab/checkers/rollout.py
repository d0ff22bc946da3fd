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

from lemonridge.lab.checkers.exhaust import Found, explore
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
SPAN, ERROR = 2, 1  # ticks


@dataclass(frozen=True)
class Bounds:
    """How much may happen; what is 0 does not."""

    tries: tuple[int, int] = (1, 1)  # of each proposer
    wipes: int = 0
    crashes: int = 0
    epochs: int = 1  # of the leases: the highest that is decided
    asks: int = 1  # questions of each broker
    ticks: int = 3
    lags: int = 0  # ticks that the clocks of brokers may lose in all
    flights: int = 2  # messages that are under way at once; one more is lost
    restarts: int = 0
    sets: tuple[tuple[int, ...], ...] = ()  # of the leases: who votes after each epoch; empty: always all
    granted: tuple[tuple[int, ...], ...] = ()  # by broker: whose grants it holds at first; empty: all of them

    def voters(self, epoch: int) -> tuple[int, ...]:
        return self.sets[epoch] if self.sets else tuple(range(MEMBERS))


# Agreement


class Ballot(NamedTuple):
    """A proposer's round: what it heard, and what it puts to the vote."""

    who: int
    turn: int
    alive: bool
    promises: tuple[tuple[int, int, bytes], ...] = ()  # voter, took, value
    value: bytes = NO_VALUE
    accepts: tuple[int, ...] = ()
    chosen: bool = False


class Room(NamedTuple):
    """Voters (identity, promised, took, value), and all rounds that were ever begun, in one slot."""

    voters: tuple[tuple[int, int, int, bytes], ...]
    rounds: tuple[Ballot, ...]
    tries: tuple[int, ...]
    wipes: int
    crashes: int


Wipe = Callable[[int], int]  # the identity of the store after one of this identity is lost


def agreement(
    bounds: Bounds, states_max: int = 2_000_000, wipe: Wipe = lambda ident: ident + 1
) -> Found[Room]:
    """All that two proposers and three voters may come to; wrong is a second value that was chosen."""
    config = dict.fromkeys(range(MEMBERS), 0)

    def proposer(one: Ballot) -> Proposer:
        made = Proposer(one.who, 1, VALUES[one.who], config, one.turn)
        made._promises = {voter: Promised(1, made.ballot, took, value) for voter, took, value in one.promises}
        made.value, made._accepts, made.chosen = one.value, set(one.accepts), one.chosen
        return made

    def noted(one: Ballot, made: Proposer) -> Ballot:
        rows = tuple(
            sorted((n, told.accepted_ballot, told.accepted_value) for n, told in made._promises.items())
        )
        return one._replace(
            promises=rows, value=made.value, accepts=tuple(sorted(made._accepts)), chosen=made.chosen
        )

    def moves(room: Room) -> Iterator[tuple[str, Room]]:
        top = max((one.turn for one in room.rounds), default=0)
        for who in range(2):
            if room.tries[who]:
                begun = tuple(one._replace(alive=False) if one.who == who else one for one in room.rounds)
                yield (
                    f"{who} tries",
                    room._replace(
                        rounds=(*begun, Ballot(who, top + 1, True)),
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
        room: Room, place: int, one: Ballot, number: int, voter: Acceptor
    ) -> Iterator[tuple[str, Room]]:
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

    def wrong(room: Room) -> str:
        chosen = {one.value for one in room.rounds if one.chosen}
        return "" if len(chosen) < 2 else f"two values were chosen: {sorted(chosen)}"

    start = Room(((0, 0, 0, NO_VALUE),) * MEMBERS, (), bounds.tries, bounds.wipes, bounds.crashes)
    return explore(start, _alike, moves, wrong, states_max)


def _put(rows: tuple[Any, ...], place: int, row: Any) -> tuple[Any, ...]:
    return (*rows[:place], row, *rows[place + 1 :])


def _alike(room: Room) -> Hashable:
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


class Fleet(NamedTuple):
    """Brokers that are voters too, in discrete time."""

    lessors: tuple[tuple[Any, ...], ...]  # by voter: quiet until, and (who, life, low, high, end, ask)
    holders: tuple[tuple[Any, ...], ...]  # by broker: uses, want, ask, asks, grants
    lives: tuple[int, ...]
    newest: tuple[int, ...]  # what each voter has accepted or knows
    chosen: int
    at: int
    lag: tuple[int, ...]
    sent: tuple[tuple[Any, ...], ...]
    asks: tuple[int, ...]
    ticks: int
    lags: int
    restarts: int
    proposed: int  # the highest epoch that may be accepted


def _lessor(rows: tuple[Any, ...]) -> LeaseGrantor:
    made = LeaseGrantor(SPAN, ERROR, 0)
    made.grants_from_us = rows[0]
    for who, life, *grant in rows[1:]:
        made.grants.setdefault(who, {})[life] = Grant(*grant)
    return made


def _lessor_rows(made: LeaseGrantor, now: int) -> tuple[Any, ...]:
    """What it knows; how long ago something ended is nothing to anyone."""
    rows = sorted(
        (who, life, one.low, one.high, max(one.end_us, now), one.request_id)
        for who, lives in made.grants.items()
        for life, one in lives.items()
    )
    return (max(made.grants_from_us, now), *rows)


def _holder(row: tuple[Any, ...], bounds: Bounds) -> LeaseHolder:
    uses, want, ask, asks, grants = row
    made = LeaseHolder(SPAN, bounds.voters(want), uses, want, bounds.voters(want - 1) if want else (), ask)
    made._requests = {number: SentRequest(*told) for number, *told in asks}
    made._grants = {voter: (told, end) for voter, told, end in grants}
    return made


def _holder_row(made: LeaseHolder, now: int) -> tuple[Any, ...]:
    asks = tuple(
        (n, one.sent_us, one.in_use, one.target_epoch)
        for n, one in made._requests.items()
        if one.sent_us + SPAN > now
    )
    grants = tuple(sorted((voter, told, end) for voter, (told, end) in made._grants.items() if end > now))
    return made.in_use, made.target_epoch, made._request_id, asks, grants


def leases(bounds: Bounds, states_max: int = 2_000_000) -> Found[Fleet]:
    """All that three brokers with leases may come to; wrong is two that go by no common epoch."""
    start, moves, wrong = _leasing(bounds)
    alike = not bounds.sets and not bounds.granted
    return explore(start, _renamed if alike else lambda fleet: fleet, moves, wrong, states_max)


_ORDERS = tuple(permutations(range(MEMBERS)))


def _renamed(fleet: Fleet) -> Hashable:
    """A fleet's key. Where all begin alike it does not matter which broker is which: of the six ways to name
    them the one with the least rows.
    """
    ways = []
    for to in _ORDERS:
        back = [to.index(n) for n in range(MEMBERS)]
        ways.append(
            (
                [fleet.asks[n] for n in back],
                [fleet.newest[n] for n in back],
                [fleet.lag[n] for n in back],
                [fleet.lives[n] for n in back],
                to,
            )
        )
    least = min(way[:4] for way in ways)
    told = min(_rows(fleet, way[4]) for way in ways if way[:4] == least)
    return *map(tuple, least), told, fleet.chosen, fleet.at, fleet.ticks, fleet.lags, fleet.restarts


def _rows(fleet: Fleet, to: tuple[int, ...]) -> tuple[Any, ...]:
    """What the brokers know, each by the number that it has in `to`."""
    lessors: list[Any] = [()] * MEMBERS
    holders: list[Any] = [()] * MEMBERS
    for n, number in enumerate(to):
        quiet, *grants = fleet.lessors[n]
        lessors[number] = (quiet, *sorted((to[who], *rest) for who, *rest in grants))
        uses, want, ask, asks, held = fleet.holders[n]
        holders[number] = uses, want, ask, asks, tuple(sorted((to[who], *rest) for who, *rest in held))
    sent = tuple(sorted((kind, to[voter], to[n], *rest) for kind, voter, n, *rest in fleet.sent))
    return tuple(lessors), tuple(holders), sent


def wander(bounds: Bounds, seed: int, walks: int, steps: int = 60) -> str:
    """Random histories within wider bounds; what is broken first, or nothing."""
    random = Random(seed)
    start, moves, wrong = _leasing(bounds)
    for _ in range(walks):
        fleet = start
        for _ in range(steps):
            after = list(moves(fleet))
            if not after:
                break
            fleet = random.choice(after)[1]
            if told := wrong(fleet):
                return told
    return ""


def _leasing(
    bounds: Bounds,
) -> tuple[Fleet, Callable[[Fleet], Iterator[tuple[str, Fleet]]], Callable[[Fleet], str]]:
    """The start, what may happen, and what is wrong."""

    def clock(fleet: Fleet, n: int) -> int:
        return fleet.at - fleet.lag[n]

    def posted(fleet: Fleet, message: tuple[Any, ...]) -> Fleet:
        """With a message under way."""
        return fleet._replace(sent=tuple(sorted((*fleet.sent, message))))

    def with_holder(fleet: Fleet, n: int, made: LeaseHolder) -> Fleet:
        return fleet._replace(holders=_put(fleet.holders, n, _holder_row(made, clock(fleet, n))))

    def vote(
        fleet: Fleet, voter: int, n: int, life: int, ask: int, uses: EpochInterval, want: int
    ) -> tuple[Fleet, EpochInterval]:
        if voter not in bounds.voters(fleet.holders[voter][1]):
            return fleet, NO_EPOCHS
        made = _lessor(fleet.lessors[voter])
        told = made.grant(n, life, ask, uses, want, fleet.newest[voter], fleet.at)
        return fleet._replace(lessors=_put(fleet.lessors, voter, _lessor_rows(made, fleet.at))), told

    def asking(fleet: Fleet, n: int) -> Iterator[tuple[str, Fleet]]:
        made = _holder(fleet.holders[n], bounds)
        ask, uses, want = made.new_request(clock(fleet, n))
        after, told = vote(
            fleet._replace(asks=_put(fleet.asks, n, fleet.asks[n] - 1)), n, n, fleet.lives[n], ask, uses, want
        )  # its own vote needs no message
        made.record_grant(n, ask, told, clock(fleet, n))
        after = with_holder(after, n, made)
        for name, one in answered(after, n, ask, uses, want, [v for v in made.grantors() if v != n]):
            yield f"{n} asks{name}", one

    def answered(
        fleet: Fleet, n: int, ask: int, uses: EpochInterval, want: int, voters: list[int]
    ) -> Iterator[tuple[str, Fleet]]:
        """Each voter is asked and answers at once, or its question is under way, or lost."""
        if not voters:
            yield "", fleet
            return
        voter, rest = voters[0], voters[1:]
        for name, one in answered(fleet, n, ask, uses, want, rest):
            yield name, one
            if len(one.sent) < bounds.flights:
                message = ("ask", voter, n, one.lives[n], ask, uses, want)
                yield f", {voter} later{name}", posted(one, message)
            after, told = vote(one, voter, n, one.lives[n], ask, uses, want)
            made = _holder(after.holders[n], bounds)
            made.record_grant(voter, ask, told, clock(after, n))
            yield f", {voter} answers{name}", with_holder(after, n, made)

    def coming(fleet: Fleet, message: tuple[Any, ...]) -> Iterator[tuple[str, Fleet]]:
        rest = list(fleet.sent)
        rest.remove(message)
        fleet = fleet._replace(sent=tuple(rest))
        kind, voter, n, life, ask = message[:5]
        if kind == "ask":
            after, told = vote(fleet, voter, n, life, ask, message[5], message[6])
            yield f"comes {message}", after  # its answer is lost, or there is none
            if told != NO_EPOCHS and len(after.sent) < bounds.flights:
                yield f"comes {message}", posted(after, ("grant", voter, n, life, ask, told))
        elif life == fleet.lives[n]:
            made = _holder(fleet.holders[n], bounds)
            made.record_grant(voter, ask, message[5], clock(fleet, n))
            yield f"comes {message}", with_holder(fleet, n, made)

    def moves(fleet: Fleet) -> Iterator[tuple[str, Fleet]]:
        for n in range(MEMBERS):
            if fleet.asks[n]:
                yield from asking(fleet, n)
            made = _holder(fleet.holders[n], bounds)
            alone = (fleet.chosen, fleet.chosen)
            if (
                fleet.proposed == fleet.chosen < bounds.epochs
                and made.in_use == alone
                and made.is_valid(clock(fleet, n))
            ):
                yield f"{n} proposes", fleet._replace(proposed=fleet.chosen + 1)
            voters = bounds.voters(fleet.chosen)
            if n in voters and fleet.newest[n] == fleet.chosen < fleet.proposed:
                newest = _put(fleet.newest, n, fleet.chosen + 1)
                more = sum(newest[one] > fleet.chosen for one in voters) > len(voters) // 2
                yield f"{n} accepts", fleet._replace(newest=newest, chosen=fleet.chosen + more)
            if made.target_epoch < fleet.chosen:
                made.on_epoch(fleet.chosen, bounds.voters(fleet.chosen), clock(fleet, n))
                known = _put(fleet.newest, n, max(fleet.newest[n], fleet.chosen))
                yield f"{n} learns {fleet.chosen}", with_holder(fleet._replace(newest=known), n, made)
            if fleet.lags:
                yield (
                    f"{n}'s clock lags",
                    fleet._replace(lag=_put(fleet.lag, n, fleet.lag[n] + 1), lags=fleet.lags - 1),
                )
            if fleet.restarts:
                quiet = (fleet.at + SPAN + ERROR,)
                yield (
                    f"{n} restarts",
                    fleet._replace(
                        lives=_put(fleet.lives, n, fleet.lives[n] + 1),
                        restarts=fleet.restarts - 1,
                        holders=_put(fleet.holders, n, (NO_EPOCHS, made.target_epoch, 0, (), ())),
                        lessors=_put(fleet.lessors, n, quiet),
                    ),
                )
        for message in dict.fromkeys(fleet.sent):
            yield from coming(fleet, message)
        if fleet.ticks:
            at = fleet.at + 1
            lessors = tuple(_lessor_rows(_lessor(rows), at) for rows in fleet.lessors)
            yield "time passes", fleet._replace(at=at, ticks=fleet.ticks - 1, lessors=lessors)

    def wrong(fleet: Fleet) -> str:
        held = [_holder(row, bounds) for row in fleet.holders]
        used = [one.in_use if one.is_valid(clock(fleet, n)) else NO_EPOCHS for n, one in enumerate(held)]
        return "" if have_common_epoch(used) else f"they go by {used}"

    everyone, voters = range(MEMBERS), bounds.voters(0)
    lessors, holders = [LeaseGrantor(SPAN, ERROR, 0) for _ in everyone], []
    for n in everyone:  # all go by epoch 0 at first, by leases as good as new
        made = LeaseHolder(SPAN, voters)
        ask, uses, want = made.new_request(10)
        for voter in bounds.granted[n] if bounds.granted else voters:
            made.record_grant(voter, ask, lessors[voter].grant(n, 1, ask, uses, want, 0, 10), 10)
        holders.append(_holder_row(made, 10))
    start = Fleet(
        tuple(_lessor_rows(one, 10) for one in lessors),
        tuple(holders),
        (1,) * MEMBERS,
        (0,) * MEMBERS,
        0,
        10,
        (0,) * MEMBERS,
        (),
        (bounds.asks,) * MEMBERS,
        bounds.ticks,
        bounds.lags,
        bounds.restarts,
        0 if bounds.sets else bounds.epochs,
    )
    return start, moves, wrong


STATED_AGREEMENT = (Bounds(), Bounds(wipes=1))  # two tries of one proposer did not end in 200 s
_THREE, _HELD = (0, 1, 2), ((0, 1), (0, 1), (1, 2))
STATED_LEASES = (
    Bounds(flights=0, ticks=1),
    Bounds(flights=0, ticks=2),
    Bounds(flights=1, ticks=1),
    Bounds(flights=0, ticks=1, lags=1),
    Bounds(flights=0, ticks=1, restarts=1),
    Bounds(flights=0, ticks=2, restarts=1),
    Bounds(flights=0, ticks=1, epochs=2),
    Bounds(flights=0, ticks=1, sets=(_THREE, (0, 1)), granted=_HELD),
    Bounds(flights=0, ticks=1, sets=((0, 1), _THREE), granted=((0, 1),) * 3),
    Bounds(flights=0, ticks=1, epochs=2, asks=2, sets=((0,), (0, 1), (1,)), granted=((0,), (), (0,))),
)
WIDE = Bounds(asks=5, epochs=3, ticks=14, lags=1, flights=6, restarts=1)
