"""Which members are up, suspected, dead, joining or leaving, each by number and incarnation. Pure.

SWIM (Das, Gupta, Motivala, 2002): each period one member is probed, in a shuffled order (section 4.3),
through others if it does not answer (3.1), suspected before it is declared dead (4.2), and updates ride on
other datagrams (4.1). From Lifeguard (Dadgar, Phillips, Currey, 2018) come the local health multiplier, by
which a broker that is slow itself gives others more time (IV-A), suspicions that shorten with independent
confirmations (IV-B), and that a suspected member is told so first (IV-C).

Differences from both: a member's own datagrams override what others say about it, since links are cut in one
direction too; a process that finds that it was stopped suspects no one for what it missed; the member list is
fixed, so dead members are probed further, seldom.

Membership decides no right to anything: it says whom to ask first, and what operators are shown.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log
from random import Random
from typing import NamedTuple

from lemonridge.fleet.datagrams import (
    Ack,
    DatagramHeader,
    Item,
    MembershipUpdate,
    MemberState,
    Ping,
    PingRequest,
)
from lemonridge.fleet.member_list import MemberList

PROBE_PERIOD_US = 500_000
PING_REPEAT_FRACTION = 0.2  # of a period without an answer, after which a ping is repeated
INDIRECT_PROBE_FRACTION = 0.4  # of a period, until others are asked to probe, and between two such requests
INDIRECT_PROBERS = 3  # SWIM's k
LOCAL_HEALTH_MAX = 8  # Lifeguard's S
SUSPICION_MIN_MULTIPLE = 4.0  # of log10 of the members, in periods (Lifeguard's alpha)
SUSPICION_MAX_MULTIPLE = 3.0  # of the shortest suspicion (Lifeguard's beta)
SUSPICION_CONFIRMATIONS = 3  # by others, after which a suspicion is as short as it gets (Lifeguard's k)
RETRANSMIT_MULTIPLE = 4.0  # of log2 of the members: how often an update is sent (SWIM's lambda)
UPDATES_PER_DATAGRAM_MAX = 6
DEAD_PROBE_PERIODS = 4  # every so many periods a dead member is probed
STALL_PERIODS = 2.0  # a timer that fires so many periods late says that this process did not run
STATE_VERSION_MAX = 255
RELAYS_MAX = 64  # probes for others at a time
NONCES = 1 << 16
FULLY_DISSEMINATED = 1 << 30  # a number of transmissions after which an update is not sent any more
PROBED_STATES = (MemberState.JOINING, MemberState.UP, MemberState.LEAVING, MemberState.SUSPECT)
ALIVE_STATES = (MemberState.JOINING, MemberState.UP, MemberState.LEAVING)


@dataclass(slots=True)
class Member:
    """What this broker knows of one other member."""

    state: MemberState = MemberState.ABSENT
    incarnation: int = 0
    state_version: int = 0  # raised by the member itself with each change of its state and each refutation
    state_since_us: int = 0
    last_received_us: int = 0  # of a datagram from itself; 0 is never
    suspicion_ends_us: int = 0  # then it is declared dead
    suspicion_began_us: int = 0
    suspectors: set[int] = field(default_factory=set)
    transmissions: int = 0  # of its current state to others
    deaths: int = 0
    refutations: int = 0  # suspicions and deaths that were wrong


@dataclass(slots=True)
class _Probe:
    """A probe that is not answered yet."""

    nonce: int
    member_id: int
    began_us: int
    repeat_us: int
    indirect_us: int
    end_us: int


class _Relay(NamedTuple):
    """A probe for another member."""

    requester: int
    requester_nonce: int
    until_us: int


class Membership:
    """One broker's view of all members. Its `on_...` methods return the items to send, by member."""

    def __init__(self, member_list: MemberList, incarnation: int, seed: int, now_us: int) -> None:
        self.member_list, self.incarnation = member_list, incarnation
        self.state, self.state_version = MemberState.JOINING, 0
        self.members = [Member(state_since_us=now_us) for _ in member_list.names]
        self.local_health = 0  # Lifeguard's multiplier: 0 is healthy
        self.suspicions_of_self = self.stalls = 0
        self.superseded = False  # another process has this one's name, and is later
        self._random = Random(f"{seed}/members")
        self._probe_order: list[int] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}  # by the nonce of this broker's own ping
        self._nonce = self._random.randrange(NONCES)
        # Brokers that start together must not probe together.
        self._next_probe_us = now_us + int(PROBE_PERIOD_US * self._random.uniform(0.5, 1.5))
        self._period = 0

    # The states of members

    def not_dead(self) -> tuple[int, ...]:
        """The members that are neither dead nor gone: suspected ones too, and those not heard of yet."""
        return tuple(
            n
            for n in self.member_list.others
            if self.members[n].state not in (MemberState.DEAD, MemberState.LEFT)
        )

    def announce(self, state: MemberState) -> None:
        """Change this broker's own state."""
        if state is not self.state:
            self.state = state
            self._raise_state_version()

    def on_header(self, header: DatagramHeader, now_us: int) -> list[tuple[int, Item]]:
        """A datagram came from a member itself: this overrides what others say of the same incarnation."""
        member_id, version = header.sender, (header.incarnation, header.state_version)
        member = self.members[member_id]
        member.last_received_us = now_us
        if version < (member.incarnation, member.state_version) and member.state is not MemberState.ABSENT:
            return []
        suspected = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        refuted = suspected and member.incarnation == header.incarnation
        items: list[tuple[int, Item]] = []
        if refuted and header.state_version <= member.state_version:
            # It does not know of the suspicion, which others hold too.
            update = MembershipUpdate(member_id, header.incarnation, member.state_version, member.state)
            items.append((member_id, update))
        if refuted:
            member.refutations += 1
        if (member.incarnation, member.state_version, member.state) != (*version, header.state):
            self._set_state(member_id, header.state, *version, now_us)
        return items

    def on_update(self, sender: int, update: MembershipUpdate, now_us: int) -> list[tuple[int, Item]]:
        """An update about a member arrived, perhaps about this one; unknown ones are ignored."""
        if not 0 <= update.member_id < self.member_list.size:
            return []
        known = update.state in MemberState._value2member_map_
        state = MemberState(update.state) if known else MemberState.ABSENT
        if update.member_id == self.member_list.me:
            self._on_update_of_self(update, state)
            return []
        member = self.members[update.member_id]
        version = (update.incarnation, update.state_version)
        known_version = (member.incarnation, member.state_version)
        if state is MemberState.ABSENT or version < known_version:
            return []
        if state is MemberState.SUSPECT:
            return self._on_suspicion(sender, update, now_us)
        if version > known_version or state > member.state:
            self._set_state(update.member_id, state, *version, now_us)
        return []

    def _on_suspicion(self, sender: int, update: MembershipUpdate, now_us: int) -> list[tuple[int, Item]]:
        """Another member suspects one: contradict it where that one was heard of late, else agree."""
        member = self.members[update.member_id]
        version = (update.incarnation, update.state_version)
        newer = version > (member.incarnation, member.state_version)
        if not newer and member.state is MemberState.SUSPECT:
            self._confirm_suspicion(member, sender)
        if not newer and member.state >= MemberState.SUSPECT:
            return []
        heard_of_late = member.last_received_us and now_us - member.last_received_us < PROBE_PERIOD_US
        if heard_of_late and update.incarnation == member.incarnation:
            known = MembershipUpdate(update.member_id, member.incarnation, member.state_version, member.state)
            return [(sender, known)]
        self._suspect(update.member_id, *version, sender, now_us)
        return []

    def _on_update_of_self(self, update: MembershipUpdate, state: MemberState) -> None:
        """Refute a suspicion of this broker (SWIM, section 4.2)."""
        suspected = state in (MemberState.SUSPECT, MemberState.DEAD)
        if update.incarnation > self.incarnation:
            self.superseded = True
        elif (
            update.incarnation == self.incarnation
            and update.state_version >= self.state_version
            and suspected
        ):
            self.suspicions_of_self += 1
            self.local_health = min(LOCAL_HEALTH_MAX, self.local_health + 1)
            self.state_version = max(self.state_version, update.state_version)
            self._raise_state_version()

    def _raise_state_version(self) -> None:
        """A new version of this broker's state; past the last one the incarnation itself is raised."""
        self.state_version += 1
        if self.state_version > STATE_VERSION_MAX:
            self.incarnation, self.state_version = self.incarnation + 1, 0
        self.members[self.member_list.me].transmissions = 0

    def _set_state(
        self, member_id: int, state: MemberState, incarnation: int, state_version: int, now_us: int
    ) -> None:
        member = self.members[member_id]
        member.deaths += state is MemberState.DEAD
        if state is not member.state:
            member.state_since_us = now_us
        # That a configured member is up is not news: a fleet that starts together sends no updates about it.
        expected = member.state is MemberState.ABSENT and state in ALIVE_STATES
        member.transmissions = FULLY_DISSEMINATED if expected else 0
        member.state, member.incarnation, member.state_version = state, incarnation, state_version
        member.suspectors.clear()

    def _suspect(
        self, member_id: int, incarnation: int, state_version: int, suspector: int, now_us: int
    ) -> None:
        member = self.members[member_id]
        self._set_state(member_id, MemberState.SUSPECT, incarnation, state_version, now_us)
        member.suspicion_began_us = now_us
        self._confirm_suspicion(member, suspector)

    def _confirm_suspicion(self, member: Member, suspector: int) -> None:
        """One more suspector shortens the suspicion (Lifeguard, IV-B)."""
        if suspector in member.suspectors:
            return
        member.suspectors.add(suspector)
        member.transmissions = min(member.transmissions, 1)
        size = self.member_list.size
        # A broker that receives few answers gives others more time here too: its own links may be bad.
        slowness = 1 + self.local_health / 2
        shortest_us = SUSPICION_MIN_MULTIPLE * max(1.0, log(size, 10)) * PROBE_PERIOD_US * slowness
        longest_us = shortest_us * SUSPICION_MAX_MULTIPLE
        expected = max(0, min(SUSPICION_CONFIRMATIONS, size - 2))
        confirmed = log(len(member.suspectors)) / log(expected + 1) if expected else 1.0
        span_us = longest_us - (longest_us - shortest_us) * min(1.0, confirmed)
        member.suspicion_ends_us = member.suspicion_began_us + int(max(shortest_us, span_us))

    # Probes

    def on_ping(self, sender: int, ping: Ping) -> list[tuple[int, Item]]:
        """Answer a probe of this broker."""
        if ping.member_id != self.member_list.me:
            return []
        return [(sender, Ack(ping.nonce, self.member_list.me))]

    def on_ping_request(self, sender: int, request: PingRequest, now_us: int) -> list[tuple[int, Item]]:
        """Probe a member for another one."""
        known = 0 <= request.member_id < self.member_list.size
        if request.member_id == self.member_list.me or not known or len(self._relays) >= RELAYS_MAX:
            return []
        nonce = self._next_nonce()
        self._relays[nonce] = _Relay(sender, request.nonce, now_us + 2 * PROBE_PERIOD_US)
        return [(request.member_id, Ping(nonce, request.member_id))]

    def on_ack(self, sender: int, ack: Ack) -> list[tuple[int, Item]]:
        """An answer arrived, to this broker's own probe or to one that it made for another member."""
        relay = self._relays.pop(ack.nonce, None) if ack.member_id == sender else None
        if relay is not None:
            return [(relay.requester, Ack(relay.requester_nonce, sender))]
        probe = self._probe
        if probe is not None and (ack.nonce, ack.member_id) == (probe.nonce, probe.member_id):
            self._probe = None
            self.local_health = max(0, self.local_health - 1)
        return []

    def on_timer(self, now_us: int) -> list[tuple[int, Item]]:
        """End suspicions, repeat or end the probe, begin the next one."""
        if now_us - self._next_probe_us > STALL_PERIODS * PROBE_PERIOD_US:
            self.on_stall(now_us)
        for member_id in self.member_list.others:
            member = self.members[member_id]
            if member.state is MemberState.SUSPECT and now_us >= member.suspicion_ends_us:
                self._set_state(member_id, MemberState.DEAD, member.incarnation, member.state_version, now_us)
        items = self._follow_probe(now_us)
        self._relays = {nonce: one for nonce, one in self._relays.items() if one.until_us > now_us}
        if now_us >= self._next_probe_us:
            self._next_probe_us = now_us + int(PROBE_PERIOD_US * self._random.uniform(0.9, 1.1))
            if self._probe is None:
                items += self._begin_probe(now_us)
        return items

    def next_timer_us(self) -> int:
        """When `on_timer` has something to do next."""
        times_us = [self._next_probe_us]
        if self._probe is not None:
            times_us += [self._probe.end_us, self._probe.repeat_us, self._probe.indirect_us]
        times_us += [m.suspicion_ends_us for m in self.members if m.state is MemberState.SUSPECT]
        return min(times_us)

    def on_stall(self, now_us: int) -> None:
        """This process did not run for a while: what it did not receive meanwhile says nothing of others."""
        self.stalls += 1
        self._probe = None
        self.local_health = min(LOCAL_HEALTH_MAX, self.local_health + 1)
        for member in self.members:
            if member.state is MemberState.SUSPECT:
                member.suspicion_ends_us = max(member.suspicion_ends_us, now_us + 2 * PROBE_PERIOD_US)

    def _begin_probe(self, now_us: int) -> list[tuple[int, Item]]:
        member_id = self._next_probed()
        if member_id is None:
            return []
        slowness = 1 + self.local_health
        self._probe = _Probe(
            self._next_nonce(),
            member_id,
            began_us=now_us,
            repeat_us=now_us + int(PING_REPEAT_FRACTION * PROBE_PERIOD_US),
            indirect_us=now_us + int(INDIRECT_PROBE_FRACTION * PROBE_PERIOD_US * slowness),
            end_us=now_us + PROBE_PERIOD_US * slowness,
        )
        return [(member_id, Ping(self._probe.nonce, member_id))]

    def _follow_probe(self, now_us: int) -> list[tuple[int, Item]]:
        """Have others probe and repeat the ping when their time has come; end the probe at its end."""
        items: list[tuple[int, Item]] = []
        probe = self._probe
        if probe is None:
            return items
        if now_us >= probe.end_us:
            self._on_probe_failed(probe, now_us)
            return items
        if now_us >= probe.indirect_us:
            pause_us = int(INDIRECT_PROBE_FRACTION * PROBE_PERIOD_US * (1 + self.local_health))
            probe.indirect_us = now_us + pause_us
            request = PingRequest(probe.nonce, probe.member_id)
            items += [(prober, request) for prober in self._indirect_probers(probe.member_id)]
        if now_us >= probe.repeat_us:
            probe.repeat_us = now_us + int(PING_REPEAT_FRACTION * PROBE_PERIOD_US)
            items.append((probe.member_id, Ping(probe.nonce, probe.member_id)))
        return items

    def _next_probed(self) -> int | None:
        """The next member of the shuffled order (SWIM, section 4.3), or now and then one that is dead."""
        self._period += 1
        gone = [n for n in self.member_list.others if self.members[n].state not in PROBED_STATES]
        all_gone = len(gone) == self.member_list.size - 1
        if (gone and self._period % DEAD_PROBE_PERIODS == 0) or all_gone:
            return self._random.choice(gone) if gone else None
        for _ in range(2):
            while self._probe_order:
                member_id = self._probe_order.pop()
                if self.members[member_id].state in PROBED_STATES:
                    return member_id
            self._probe_order = list(self.member_list.others)
            self._random.shuffle(self._probe_order)
        return None

    def _indirect_probers(self, probed: int) -> list[int]:
        able = [n for n in self.member_list.others if n != probed and self.members[n].state in ALIVE_STATES]
        return self._random.sample(able, min(INDIRECT_PROBERS, len(able)))

    def _on_probe_failed(self, probe: _Probe, now_us: int) -> None:
        """The probe ended without an answer, through others either."""
        self._probe = None
        member, me = self.members[probe.member_id], self.member_list.me
        if member.state in ALIVE_STATES:
            self.local_health = min(LOCAL_HEALTH_MAX, self.local_health + 1)
            # Any datagram of it since the probe began says that it is up, whatever became of the answer.
            if member.last_received_us < probe.began_us:
                self._suspect(probe.member_id, member.incarnation, member.state_version, me, now_us)
        elif member.state is MemberState.SUSPECT:
            self._confirm_suspicion(member, me)

    def _next_nonce(self) -> int:
        self._nonce = (self._nonce + 1) % NONCES
        return self._nonce

    # Updates that ride on other datagrams

    def updates_for(self, receiver: int, count: int) -> list[MembershipUpdate]:
        """At most `count` updates to add to a datagram, those sent least often first (SWIM, section 4.1).

        If the receiver itself is suspected or dead here, that comes first: it alone can refute it (Lifeguard,
        IV-C).
        """
        updates = []
        member = self.members[receiver]
        if member.state in (MemberState.SUSPECT, MemberState.DEAD) and count > 0:
            updates.append(MembershipUpdate(receiver, member.incarnation, member.state_version, member.state))
        most = RETRANSMIT_MULTIPLE * max(1.0, log(self.member_list.size + 1, 2))
        pending = [
            n
            for n in self.member_list.others
            if n != receiver
            and self.members[n].state is not MemberState.ABSENT
            and self.members[n].transmissions < most
        ]
        pending.sort(key=lambda n: (self.members[n].transmissions, n))
        for member_id in pending[: min(count, UPDATES_PER_DATAGRAM_MAX) - len(updates)]:
            member = self.members[member_id]
            member.transmissions += 1
            updates.append(
                MembershipUpdate(member_id, member.incarnation, member.state_version, member.state)
            )
        return updates
