"""Membership: who is up, suspected, dead, joining or leaving, each by number and incarnation. Pure.

SWIM (Das, Gupta, Motivala, 2002): each period one member is asked, in a shuffled round (section 4.3), through
others if it does not answer (3.1), suspected before it is held dead (4.2), and what is known rides on other
datagrams (4.1). From Lifeguard (Dadgar, Phillips, Currey, 2018) come the local health, by which a broker that
is slow itself gives others more time (IV-A), and suspicions that shorten with independent accusers (IV-B).
Ours: what a member says itself goes before what others say, since links here are cut one way too; a member
that accuses is told so at once (their buddy system, IV-C); a process that finds that it was stopped judges no
one by what it missed; the roster is fixed, so the dead are asked on, seldom.

Nothing is decided by this that is a right to anything: it says whom to ask first, and what to show.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import log
from random import Random

from lemonridge.fleet.datagrams import Ack, Item, MembershipUpdate, MemberState, Ping, PingRequest
from lemonridge.fleet.member_list import MemberList

PROBE_PERIOD_US = 500_000  # between two questions: time to detect against bytes
PING_REPEAT_FRACTION = (
    0.2  # part of a period after which a question without an answer is put again (ours): of links that
)
# lose a third, one in five questions would else end in a suspicion, more than rumours can put right
INDIRECT_PROBE_FRACTION = 0.4  # part of a period until others are asked to ask, and then as often as they are
INDIRECT_PROBERS = 3  # who are asked to ask: SWIM's k
LOCAL_HEALTH_MAX = 8  # Lifeguard's S: a slow broker gives others so many times as long
SUSPICION_MIN_MULTIPLE = (
    4.0  # a suspicion lasts so many times log10 of the size, in periods (Lifeguard's alpha)
)
SUSPICION_MAX_MULTIPLE = 3.0  # and at most so many times that (its beta)
SUSPICION_CONFIRMATIONS = 3  # others that confirm one, after which it is as short as it gets
RETRANSMIT_MULTIPLE = 4.0  # a fact is told so many times log2 of the size (SWIM's lambda)
UPDATES_PER_DATAGRAM_MAX = 6  # on one datagram at most
DEAD_PROBE_PERIODS = 4  # every so many periods one of the dead is asked
STALL_PERIODS = 2.0  # a tick that comes so many periods late says that this process did not run
STATE_VERSION_MAX = 255
FULLY_DISSEMINATED = 1 << 30  # told often enough
PROBED_STATES = (MemberState.JOINING, MemberState.UP, MemberState.LEAVING, MemberState.SUSPECT)
ALIVE_STATES = (MemberState.JOINING, MemberState.UP, MemberState.LEAVING)


@dataclass(slots=True)
class Member:
    """What this broker holds of one other."""

    state: MemberState = MemberState.ABSENT
    incarnation: int = 0
    round: int = 0
    since_us: int = 0
    heard_us: int = 0  # last from itself; 0 is never
    suspect_us: int = 0  # when a suspicion ends in death
    began_us: int = 0  # when it began
    accusers: set[int] = field(default_factory=set)
    told: int = 0  # how often its state has been told on since it changed
    deaths: int = 0
    cleared: int = 0  # suspicions and deaths that were wrong


@dataclass(slots=True)
class _Probe:
    """One question and what became of it."""

    nonce: int
    who: int
    began_us: int
    again_us: int
    indirect_us: int
    end_us: int


class Membership:
    """One broker's view of all. `handle` methods return the items to send, by member."""

    def __init__(self, member_list: MemberList, incarnation: int, seed: int, now_us: int) -> None:
        self.member_list, self.incarnation, self.round, self.state = (
            member_list,
            incarnation,
            0,
            MemberState.JOINING,
        )
        self.members = [Member(since_us=now_us) for _ in member_list.names]
        self.health = 0
        self.accused = self.stalls = 0
        self.superseded = False  # another process has this one's name
        self._random = Random(f"{seed}/members")
        self._probe_order: list[int] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, tuple[int, int, int]] = {}  # nonce -> who asked, its nonce, until when
        self._nonce = self._random.randrange(1 << 16)
        # A tier that starts together must not ask together.
        self.next_us = now_us + int(PROBE_PERIOD_US * self._random.uniform(0.5, 1.5))
        self._period = 0

    # What others are held to be

    def there(self) -> tuple[int, ...]:
        """Those that are not held dead: suspected ones too, and those that were not heard of yet."""
        return tuple(
            n
            for n in self.member_list.others
            if self.members[n].state not in (MemberState.DEAD, MemberState.LEFT)
        )

    def announce(self, state: MemberState) -> None:
        """This broker changes its own state."""
        if state is not self.state:
            self.state = state
            self._raise_state_version()

    def heard(
        self, who: int, incarnation: int, turn: int, state: MemberState, now_us: int
    ) -> list[tuple[int, Item]]:
        """A datagram came from `who` itself: it overrules what others say of this incarnation."""
        member = self.members[who]
        member.heard_us = now_us
        if (incarnation, turn) < (
            member.incarnation,
            member.round,
        ) and member.state is not MemberState.ABSENT:
            return []
        wrong = member.incarnation == incarnation and member.state in (MemberState.SUSPECT, MemberState.DEAD)
        out: list[tuple[int, Item]] = []
        if wrong and turn <= member.round:  # it has not heard of it: others hold it so too
            out.append((who, MembershipUpdate(who, incarnation, member.round, member.state)))
        if wrong:
            member.cleared += 1
        if (member.incarnation, member.round, member.state) != (incarnation, turn, state):
            self._set(who, state, incarnation, turn, now_us)
        return out

    def fact(self, teller: int, told: MembershipUpdate, now_us: int) -> list[tuple[int, Item]]:
        """What another says of a member, this one perhaps."""
        if not 0 <= told.who < self.member_list.size:
            return []
        state = (
            MemberState(told.state) if told.state in MemberState._value2member_map_ else MemberState.ABSENT
        )
        if told.who == self.member_list.me:
            self._apply_update_of_self(told, state)
            return []
        member = self.members[told.who]
        if state is MemberState.ABSENT or (told.incarnation, told.round) < (member.incarnation, member.round):
            return []
        newer = (told.incarnation, told.round) > (member.incarnation, member.round)
        if state is MemberState.SUSPECT and not newer and member.state is MemberState.SUSPECT:
            self._confirm_suspicion(member, teller)
            return []
        if not newer and state <= member.state:
            return []
        if state is MemberState.SUSPECT:
            if (
                now_us - member.heard_us < PROBE_PERIOD_US
                and member.heard_us
                and told.incarnation == member.incarnation
            ):
                return [(teller, MembershipUpdate(told.who, member.incarnation, member.round, member.state))]
            self._suspect(told.who, told.incarnation, told.round, teller, now_us)
        else:
            self._set(told.who, state, told.incarnation, told.round, now_us)
        return []

    def _apply_update_of_self(self, told: MembershipUpdate, state: MemberState) -> None:
        if told.incarnation > self.incarnation:
            self.superseded = True
        elif (
            told.incarnation == self.incarnation
            and told.round >= self.round
            and state in (MemberState.SUSPECT, MemberState.DEAD)
        ):
            self.accused += 1
            self.health = min(LOCAL_HEALTH_MAX, self.health + 1)
            self.round = max(self.round, told.round)
            self._raise_state_version()

    def _raise_state_version(self) -> None:
        """A new round of this incarnation, told to all. Past the last one the incarnation itself goes up."""
        self.round += 1
        if self.round > STATE_VERSION_MAX:
            self.incarnation, self.round = self.incarnation + 1, 0
        self.members[self.member_list.me].told = 0

    def _set(self, who: int, state: MemberState, incarnation: int, turn: int, now_us: int) -> None:
        member = self.members[who]
        member.deaths += state is MemberState.DEAD
        if state is not member.state:
            member.since_us = now_us
        # That one is up which the roster names is no news: a tier that starts together tells nothing on.
        member.told = (
            FULLY_DISSEMINATED if member.state is MemberState.ABSENT and state in ALIVE_STATES else 0
        )
        member.state, member.incarnation, member.round = state, incarnation, turn
        member.accusers.clear()

    def _suspect(self, who: int, incarnation: int, turn: int, by: int, now_us: int) -> None:
        member = self.members[who]
        self._set(who, MemberState.SUSPECT, incarnation, turn, now_us)
        member.began_us = now_us
        self._confirm_suspicion(member, by)

    def _confirm_suspicion(self, member: Member, by: int) -> None:
        """One more accuser shortens the suspicion (Lifeguard, IV-B)."""
        if by in member.accusers:
            return
        member.accusers.add(by)
        member.told = min(member.told, 1)
        # One to whom few answers come gives the others more time: its links may be the bad ones (ours).
        least = (
            SUSPICION_MIN_MULTIPLE
            * max(1.0, log(self.member_list.size, 10))
            * PROBE_PERIOD_US
            * (1 + self.health / 2)
        )
        most, more = (
            least * SUSPICION_MAX_MULTIPLE,
            max(0, min(SUSPICION_CONFIRMATIONS, self.member_list.size - 2)),
        )
        part = log(len(member.accusers)) / log(more + 1) if more else 1.0
        member.suspect_us = member.began_us + int(max(least, most - (most - least) * min(1.0, part)))

    # Questions

    def asked(self, by: int, told: Ping | PingRequest, now_us: int) -> list[tuple[int, Item]]:
        """Answer; or ask another for a third, and remember whom to tell."""
        if isinstance(told, Ping):
            if told.who != self.member_list.me:
                return []
            return [(by, Ack(told.nonce, self.member_list.me))]
        if (
            told.who == self.member_list.me
            or not 0 <= told.who < self.member_list.size
            or len(self._relays) >= 64
        ):
            return []
        nonce = self._next_nonce()
        self._relays[nonce] = (by, told.nonce, now_us + 2 * PROBE_PERIOD_US)
        return [(told.who, Ping(nonce, told.who))]

    def answered(self, by: int, told: Ack) -> list[tuple[int, Item]]:
        """An answer, to this broker's own question or to one that it asked for another."""
        relay = self._relays.pop(told.nonce, None) if told.who == by else None
        if relay is not None:
            return [(relay[0], Ack(relay[1], by))]
        if self._probe is not None and (told.nonce, told.who) == (self._probe.nonce, self._probe.who):
            self._probe = None
            self.health = max(0, self.health - 1)
        return []

    def tick(self, now_us: int) -> list[tuple[int, Item]]:
        """What is due: the next question, help with the last, suspicions that end."""
        out: list[tuple[int, Item]] = []
        if now_us - self.next_us > STALL_PERIODS * PROBE_PERIOD_US:
            self.stalled(now_us)
        for who in self.member_list.others:
            member = self.members[who]
            if member.state is MemberState.SUSPECT and now_us >= member.suspect_us:
                self._set(who, MemberState.DEAD, member.incarnation, member.round, now_us)
        probe = self._probe
        if probe is not None and now_us >= probe.end_us:
            self._probe_failed(probe, now_us)
        elif probe is not None and now_us >= min(probe.again_us, probe.indirect_us):
            if now_us >= probe.indirect_us:
                probe.indirect_us = now_us + int(
                    INDIRECT_PROBE_FRACTION * PROBE_PERIOD_US * (1 + self.health)
                )
                out += [
                    (who, PingRequest(probe.nonce, probe.who)) for who in self._indirect_probers(probe.who)
                ]
            if now_us >= probe.again_us:
                probe.again_us = now_us + int(PING_REPEAT_FRACTION * PROBE_PERIOD_US)
                out.append((probe.who, Ping(probe.nonce, probe.who)))
        self._relays = {nonce: one for nonce, one in self._relays.items() if one[2] > now_us}
        if now_us >= self.next_us:
            self.next_us = now_us + int(PROBE_PERIOD_US * self._random.uniform(0.9, 1.1))
            if self._probe is None:
                out += self._start_probe(now_us)
        return out

    def wake_us(self) -> int:
        """When `tick` is due next."""
        at = self.next_us
        if self._probe is not None:
            at = min(at, self._probe.end_us, self._probe.again_us, self._probe.indirect_us)
        ends = [m.suspect_us for m in self.members if m.state is MemberState.SUSPECT]
        return min([at, *ends])

    def stalled(self, now_us: int) -> None:
        """This process did not run for a while: what it did not hear meanwhile says nothing of others."""
        self.stalls += 1
        self._probe = None
        self.health = min(LOCAL_HEALTH_MAX, self.health + 1)
        for member in self.members:
            if member.state is MemberState.SUSPECT:
                member.suspect_us = max(member.suspect_us, now_us + 2 * PROBE_PERIOD_US)

    def _start_probe(self, now_us: int) -> list[tuple[int, Item]]:
        who = self._next_target()
        if who is None:
            return []
        times = 1 + self.health
        self._probe = _Probe(
            self._next_nonce(),
            who,
            now_us,
            now_us + int(PING_REPEAT_FRACTION * PROBE_PERIOD_US),
            now_us + int(INDIRECT_PROBE_FRACTION * PROBE_PERIOD_US * times),
            now_us + PROBE_PERIOD_US * times,
        )
        out: list[tuple[int, Item]] = [(who, Ping(self._probe.nonce, who))]
        return out

    def _next_target(self) -> int | None:
        self._period += 1
        gone = [n for n in self.member_list.others if self.members[n].state not in PROBED_STATES]
        if gone and self._period % DEAD_PROBE_PERIODS == 0 or len(gone) == self.member_list.size - 1:
            return self._random.choice(gone) if gone else None
        for _ in range(2):
            while self._probe_order:
                who = self._probe_order.pop()
                if self.members[who].state in PROBED_STATES:
                    return who
            self._probe_order = list(self.member_list.others)
            self._random.shuffle(self._probe_order)
        return None

    def _indirect_probers(self, who: int) -> Iterable[int]:
        able = [n for n in self.member_list.others if n != who and self.members[n].state in ALIVE_STATES]
        return self._random.sample(able, min(INDIRECT_PROBERS, len(able)))

    def _probe_failed(self, probe: _Probe, now_us: int) -> None:
        """No answer, not through others either."""
        self._probe = None
        member = self.members[probe.who]
        if member.state in ALIVE_STATES:
            self.health = min(LOCAL_HEALTH_MAX, self.health + 1)
            # What came from it since the question says that it is there, whatever became of the answer.
            if member.heard_us < probe.began_us:
                self._suspect(probe.who, member.incarnation, member.round, self.member_list.me, now_us)
        elif member.state is MemberState.SUSPECT:
            self._confirm_suspicion(member, self.member_list.me)

    def _next_nonce(self) -> int:
        self._nonce = (self._nonce + 1) % (1 << 16)
        return self._nonce

    # What rides on other datagrams

    def facts(self, to: int, most: int) -> list[MembershipUpdate]:
        """The least told facts of members that changed; each is told some times and then no more. How `to`
        itself is held comes first if it is held wrongly: it alone can refute that (Lifeguard, IV-C).
        """
        out = []
        held = self.members[to]
        if held.state in (MemberState.SUSPECT, MemberState.DEAD) and most > 0:
            out.append(MembershipUpdate(to, held.incarnation, held.round, held.state))
        times = RETRANSMIT_MULTIPLE * max(1.0, log(self.member_list.size + 1, 2))
        fresh = [
            n
            for n in self.member_list.others
            if n != to and self.members[n].state is not MemberState.ABSENT and self.members[n].told < times
        ]
        fresh.sort(key=lambda n: (self.members[n].told, n))
        for who in fresh[: min(most, UPDATES_PER_DATAGRAM_MAX) - len(out)]:
            member = self.members[who]
            member.told += 1
            out.append(MembershipUpdate(who, member.incarnation, member.round, member.state))
        return out
