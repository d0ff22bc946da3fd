"""Tracks the states of all members (up, suspected, dead, ...) by id and incarnation. Performs no I/O.

As in SWIM (Das, Gupta, Motivala, 2002), a member that does not answer a probe (`failure_detector.py`) is
suspected before it is declared dead (section 4.2), and updates are piggybacked on other datagrams (4.1). From
Lifeguard (Dadgar, Phillips, Currey, 2018) come the local health multiplier, by which a broker that is slow
itself gives others more time (IV-A), suspicions that shorten with independent confirmations (IV-B), and the
rule that a suspicion is sent to the suspected member first (IV-C).

Differences from both: a member's own datagrams override what others report about it, since links can fail in
one direction only; a process that detects that it was stalled suspects no member for messages that it missed;
the member list is fixed, so dead members are still probed occasionally.

Membership grants no rights: it determines which members to send requests to first, and what operators see.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log

from lemonridge.fleet.datagrams import DatagramHeader, Item, MembershipUpdate, MemberState
from lemonridge.fleet.member_list import MemberList

PROBE_PERIOD_US = 500_000
LOCAL_HEALTH_MAX = 8  # Lifeguard's S
SUSPICION_MIN_MULTIPLE = 4.0  # of log10 of the number of members, in probe periods (Lifeguard's alpha)
SUSPICION_MAX_MULTIPLE = 3.0  # of the shortest duration of a suspicion (Lifeguard's beta)
SUSPICION_CONFIRMATIONS = 3  # confirmations that reduce a suspicion to its shortest duration (Lifeguard's k)
RETRANSMIT_MULTIPLE = 4.0  # an update is sent this times log2 of the number of members (SWIM's lambda)
UPDATES_PER_DATAGRAM_MAX = 6
STATE_VERSION_MAX = 255
FULLY_DISSEMINATED = 1 << 30  # a transmission count above the limit: the update is not sent
ALIVE_STATES = (MemberState.JOINING, MemberState.UP, MemberState.DRAINING)


@dataclass(slots=True)
class Member:
    """This broker's record of one other member."""

    state: MemberState = MemberState.ABSENT
    incarnation: int = 0
    state_version: int = 0  # incremented by the member itself with each state change and refutation
    state_since_us: int = 0
    last_received_us: int = 0  # the time of its last datagram; 0 if none was received
    suspicion_ends_us: int = 0  # when it is declared dead
    suspicion_began_us: int = 0
    suspectors: set[int] = field(default_factory=set)
    transmissions: int = 0  # how often its current state was sent to others
    deaths: int = 0
    refutations: int = 0  # suspicions and declared deaths that proved wrong


class Membership:
    """One broker's view of all members. Its `on_...` methods return the items to send, by receiver.

    Attributes:
        member_list: The configured members of the fleet.
        incarnation: This broker's incarnation.
        state: This broker's own state.
        state_version: The version of this broker's own state.
        members: The records of all members by id; the entry of this broker counts transmissions only.
        local_health: Lifeguard's local health multiplier; 0 is healthy.
        suspicions_of_self: How often other members suspected this broker or declared it dead.
        superseded: Whether a later incarnation of this member runs in another process.
    """

    def __init__(self, member_list: MemberList, incarnation: int, now_us: int) -> None:
        self.member_list, self.incarnation = member_list, incarnation
        self.state, self.state_version = MemberState.JOINING, 0
        self._others = member_list.others
        self.members = [Member(state_since_us=now_us) for _ in member_list.names]
        self.local_health = 0
        self.suspicions_of_self = 0
        self.superseded = False

    # Member states

    def not_dead_members(self) -> tuple[int, ...]:
        """Returns the members that are neither dead nor left, including suspected and absent ones."""
        return tuple(
            n for n in self._others if self.members[n].state not in (MemberState.DEAD, MemberState.LEFT)
        )

    def announce(self, state: MemberState) -> None:
        """Changes this broker's own state."""
        if state is not self.state:
            self.state = state
            self._raise_state_version()

    def on_header(self, header: DatagramHeader, now_us: int) -> list[tuple[int, Item]]:
        """Applies a member's own datagram, which overrides what others report about the same incarnation."""
        member_id, version = header.sender, (header.incarnation, header.state_version)
        member = self.members[member_id]
        member.last_received_us = now_us
        if version < (member.incarnation, member.state_version) and member.state is not MemberState.ABSENT:
            return []
        suspected = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        refuted = suspected and member.incarnation == header.incarnation
        items: list[tuple[int, Item]] = []
        if refuted and header.state_version <= member.state_version:
            # The member does not know of the suspicion, and other members still hold it.
            update = MembershipUpdate(member_id, header.incarnation, member.state_version, member.state)
            items.append((member_id, update))
        if refuted:
            member.refutations += 1
        if (member.incarnation, member.state_version, member.state) != (*version, header.state):
            self._set_state(member_id, header.state, *version, now_us)
        return items

    def on_update(self, sender: int, update: MembershipUpdate, now_us: int) -> list[tuple[int, Item]]:
        """Applies an update about any member, this broker included; unknown members are ignored."""
        if not 0 <= update.member_id < self.member_list.size:
            return []
        is_known_state = update.state in MemberState._value2member_map_
        state = MemberState(update.state) if is_known_state else MemberState.ABSENT
        if update.member_id == self.member_list.own_id:
            self._on_update_of_self(update, state)
            return []
        member = self.members[update.member_id]
        version = (update.incarnation, update.state_version)
        known_version = (member.incarnation, member.state_version)
        if state is MemberState.ABSENT or version < known_version:
            return []
        if state is MemberState.SUSPECT:
            return self._on_suspicion(sender, update, now_us)
        if version > known_version or state > member.state:  # at the same version the higher state applies
            self._set_state(update.member_id, state, *version, now_us)
        return []

    def _on_suspicion(self, sender: int, update: MembershipUpdate, now_us: int) -> list[tuple[int, Item]]:
        """Contradicts a suspicion if a datagram of the suspect arrived recently, else confirms it."""
        member = self.members[update.member_id]
        version = (update.incarnation, update.state_version)
        newer = version > (member.incarnation, member.state_version)
        if not newer and member.state is MemberState.SUSPECT:
            self.confirm_suspicion(member, sender)
        if not newer and member.state >= MemberState.SUSPECT:
            return []
        received_recently = member.last_received_us and now_us - member.last_received_us < PROBE_PERIOD_US
        if received_recently and update.incarnation == member.incarnation:
            contradiction = MembershipUpdate(
                update.member_id, member.incarnation, member.state_version, member.state
            )
            return [(sender, contradiction)]
        self.suspect(update.member_id, *version, sender, now_us)
        return []

    def _on_update_of_self(self, update: MembershipUpdate, state: MemberState) -> None:
        """Refutes a suspicion of this broker (SWIM, section 4.2)."""
        suspected = state in (MemberState.SUSPECT, MemberState.DEAD)
        if update.incarnation > self.incarnation:
            self.superseded = True
        elif (
            update.incarnation == self.incarnation
            and update.state_version >= self.state_version
            and suspected
        ):
            self.suspicions_of_self += 1
            self.raise_local_health()
            self.state_version = max(self.state_version, update.state_version)
            self._raise_state_version()

    def _raise_state_version(self) -> None:
        """Increments this broker's state version; after the highest one the incarnation is incremented."""
        self.state_version += 1
        if self.state_version > STATE_VERSION_MAX:
            self.incarnation, self.state_version = self.incarnation + 1, 0
        self.members[self.member_list.own_id].transmissions = 0

    def _set_state(
        self, member_id: int, state: MemberState, incarnation: int, state_version: int, now_us: int
    ) -> None:
        member = self.members[member_id]
        member.deaths += state is MemberState.DEAD
        if state is not member.state:
            member.state_since_us = now_us
        # Configured members are expected to be up, so a fleet that starts together sends no updates about it.
        expected = member.state is MemberState.ABSENT and state in ALIVE_STATES
        member.transmissions = FULLY_DISSEMINATED if expected else 0
        member.state, member.incarnation, member.state_version = state, incarnation, state_version
        member.suspectors.clear()

    # Suspicions

    def suspect(
        self, member_id: int, incarnation: int, state_version: int, suspector: int, now_us: int
    ) -> None:
        """Starts a suspicion of one incarnation of a member (SWIM, section 4.2)."""
        member = self.members[member_id]
        self._set_state(member_id, MemberState.SUSPECT, incarnation, state_version, now_us)
        member.suspicion_began_us = now_us
        self.confirm_suspicion(member, suspector)

    def confirm_suspicion(self, member: Member, suspector: int) -> None:
        """Adds a suspector, which shortens the suspicion (Lifeguard, IV-B)."""
        if suspector in member.suspectors:
            return
        member.suspectors.add(suspector)
        member.transmissions = min(member.transmissions, 1)  # so that the confirmation is sent to others too
        size = self.member_list.size
        # A broker that receives few answers gives others more time here too, since its own links may be bad.
        timeout_factor = 1 + self.local_health / 2
        duration_min_us = SUSPICION_MIN_MULTIPLE * max(1.0, log(size, 10)) * PROBE_PERIOD_US * timeout_factor
        duration_max_us = duration_min_us * SUSPICION_MAX_MULTIPLE
        confirmations_max = max(0, min(SUSPICION_CONFIRMATIONS, size - 2))
        confirmed_fraction = (
            log(len(member.suspectors)) / log(confirmations_max + 1) if confirmations_max else 1.0
        )
        duration_us = duration_max_us - (duration_max_us - duration_min_us) * min(1.0, confirmed_fraction)
        member.suspicion_ends_us = member.suspicion_began_us + int(max(duration_min_us, duration_us))

    def end_suspicions(self, now_us: int) -> None:
        """Declares the members dead whose suspicion has expired without a refutation."""
        for member_id in self._others:
            member = self.members[member_id]
            if member.state is MemberState.SUSPECT and now_us >= member.suspicion_ends_us:
                self._set_state(member_id, MemberState.DEAD, member.incarnation, member.state_version, now_us)

    def suspicion_ends_us(self) -> list[int]:
        """Returns the end times of all current suspicions."""
        return [member.suspicion_ends_us for member in self.members if member.state is MemberState.SUSPECT]

    def extend_suspicions(self, until_us: int) -> None:
        """Postpones the end of all current suspicions to at least `until_us`."""
        for member in self.members:
            if member.state is MemberState.SUSPECT:
                member.suspicion_ends_us = max(member.suspicion_ends_us, until_us)

    def raise_local_health(self) -> None:
        """Raises the multiplier: this broker seems to be slow or to have bad links (Lifeguard, IV-A)."""
        self.local_health = min(LOCAL_HEALTH_MAX, self.local_health + 1)

    def lower_local_health(self) -> None:
        """Lowers the multiplier after a probe that was answered in time."""
        self.local_health = max(0, self.local_health - 1)

    # Updates piggybacked on other datagrams

    def updates_for(self, receiver: int, count: int) -> list[MembershipUpdate]:
        """Returns at most `count` updates to add to a datagram, the least often sent first (SWIM, 4.1).

        A suspicion or declared death of the receiver itself comes first, since only the receiver can refute
        it (Lifeguard, IV-C).
        """
        updates = []
        member = self.members[receiver]
        if member.state in (MemberState.SUSPECT, MemberState.DEAD) and count > 0:
            updates.append(MembershipUpdate(receiver, member.incarnation, member.state_version, member.state))
        transmissions_max = RETRANSMIT_MULTIPLE * max(1.0, log(self.member_list.size + 1, 2))
        pending = [
            n
            for n in self._others
            if n != receiver
            and self.members[n].state is not MemberState.ABSENT
            and self.members[n].transmissions < transmissions_max
        ]
        pending.sort(key=lambda n: (self.members[n].transmissions, n))
        for member_id in pending[: min(count, UPDATES_PER_DATAGRAM_MAX) - len(updates)]:
            member = self.members[member_id]
            member.transmissions += 1
            updates.append(
                MembershipUpdate(member_id, member.incarnation, member.state_version, member.state)
            )
        return updates
