"""Detects members that do not answer probes (SWIM: Das, Gupta, Motivala, 2002). Performs no I/O.

Each period one member is probed, in a shuffled order (section 4.3); if it does not answer, other members are
asked to probe it (3.1). A broker with bad local health waits longer (Lifeguard: Dadgar, Phillips, Currey,
2018, IV-A). `membership.py` holds the resulting suspicions.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from lemonridge.fleet.datagrams import Ack, Item, MemberState, Ping, PingRequest
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.membership import ALIVE_STATES, PROBE_PERIOD_US, Membership

PING_REPEAT_FRACTION = 0.2  # of a probe period: an unanswered ping is repeated after this time
INDIRECT_PROBE_FRACTION = 0.4  # of a probe period: before and between requests for indirect probes
INDIRECT_PROBERS = 3  # SWIM's k
DEAD_PROBE_PERIODS = 4  # a dead member is probed once in this many periods
STALL_PERIODS = 2.0  # a timer that fires this many periods late shows that the process was stalled
RELAYS_MAX = 64  # concurrent probes on behalf of other members
NONCES = 1 << 16
PROBED_STATES = (MemberState.JOINING, MemberState.UP, MemberState.DRAINING, MemberState.SUSPECT)


@dataclass(slots=True)
class _Probe:
    """A probe that has not been answered yet.

    Attributes:
        nonce: Identifies the probe in its answer.
        member_id: The probed member.
        began_us: When the probe began.
        repeat_us: When the ping is repeated.
        indirect_us: When other members are asked to probe.
        end_us: When the probe fails.
    """

    nonce: int
    member_id: int
    began_us: int
    repeat_us: int
    indirect_us: int
    end_us: int


class _Relay(NamedTuple):
    """A probe on behalf of another member, the requester."""

    requester: int
    requester_nonce: int
    until_us: int


class FailureDetector:
    """Probes the members one after the other. Its `on_...` methods return the items to send, by receiver.

    Args:
        member_list: The configured members of the fleet.
        membership: Records the suspicions of members that do not answer.
        seed: The seed of all random choices.
        now_us: The time of the start.
    """

    def __init__(self, member_list: MemberList, membership: Membership, seed: int, now_us: int) -> None:
        self._member_list, self._membership = member_list, membership
        self._others = member_list.others
        self._random = Random(f"{seed}/members")
        self._probe_order: list[int] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}  # by the nonce of this broker's own ping
        self._nonce = self._random.randrange(NONCES)
        # Random, so that brokers that start together do not probe at the same times.
        self._next_probe_us = now_us + int(PROBE_PERIOD_US * self._random.uniform(0.5, 1.5))
        self._period = 0

    def on_ping(self, sender: int, ping: Ping) -> list[tuple[int, Item]]:
        """Answers a probe of this broker."""
        if ping.member_id != self._member_list.own_id:
            return []
        return [(sender, Ack(ping.nonce, self._member_list.own_id))]

    def on_ping_request(self, sender: int, request: PingRequest, now_us: int) -> list[tuple[int, Item]]:
        """Probes a member on behalf of `sender`."""
        is_known_member = 0 <= request.member_id < self._member_list.size
        if (
            request.member_id == self._member_list.own_id
            or not is_known_member
            or len(self._relays) >= RELAYS_MAX
        ):
            return []
        nonce = self._next_nonce()
        self._relays[nonce] = _Relay(sender, request.nonce, now_us + 2 * PROBE_PERIOD_US)
        return [(request.member_id, Ping(nonce, request.member_id))]

    def on_ack(self, sender: int, ack: Ack) -> list[tuple[int, Item]]:
        """Applies an answer to this broker's own probe, or forwards it to the member that requested it."""
        relay = self._relays.pop(ack.nonce, None) if ack.member_id == sender else None
        if relay is not None:
            return [(relay.requester, Ack(relay.requester_nonce, sender))]
        probe = self._probe
        if probe is not None and (ack.nonce, ack.member_id) == (probe.nonce, probe.member_id):
            self._probe = None
            self._membership.lower_local_health()
        return []

    def on_timer(self, now_us: int) -> list[tuple[int, Item]]:
        """Ends expired suspicions, repeats or ends the current probe and begins the next one."""
        if now_us - self._next_probe_us > STALL_PERIODS * PROBE_PERIOD_US:
            self.on_stall(now_us)
        self._membership.end_suspicions(now_us)
        items = self._advance_probe(now_us)
        self._relays = {nonce: relay for nonce, relay in self._relays.items() if relay.until_us > now_us}
        if now_us >= self._next_probe_us:
            self._next_probe_us = now_us + int(PROBE_PERIOD_US * self._random.uniform(0.9, 1.1))
            if self._probe is None:
                items += self._begin_probe(now_us)
        return items

    def next_timer_us(self) -> int:
        """Returns the time at which `on_timer` is due next."""
        times_us = [self._next_probe_us]
        if self._probe is not None:
            times_us += [self._probe.end_us, self._probe.repeat_us, self._probe.indirect_us]
        times_us += self._membership.suspicion_ends_us()
        return min(times_us)

    def on_stall(self, now_us: int) -> None:
        """Handles a stall of this process: answers missed meanwhile are no evidence against other members."""
        self._probe = None
        self._membership.raise_local_health()
        self._membership.extend_suspicions(now_us + 2 * PROBE_PERIOD_US)

    def _begin_probe(self, now_us: int) -> list[tuple[int, Item]]:
        member_id = self._next_member_to_probe()
        if member_id is None:
            return []
        timeout_factor = 1 + self._membership.local_health
        self._probe = _Probe(
            self._next_nonce(),
            member_id,
            began_us=now_us,
            repeat_us=now_us + int(PING_REPEAT_FRACTION * PROBE_PERIOD_US),
            indirect_us=now_us + int(INDIRECT_PROBE_FRACTION * PROBE_PERIOD_US * timeout_factor),
            end_us=now_us + PROBE_PERIOD_US * timeout_factor,
        )
        return [(member_id, Ping(self._probe.nonce, member_id))]

    def _advance_probe(self, now_us: int) -> list[tuple[int, Item]]:
        """Sends the indirect probe requests and the repeated ping when due; fails the probe at its end."""
        items: list[tuple[int, Item]] = []
        probe = self._probe
        if probe is None:
            return items
        if now_us >= probe.end_us:
            self._on_probe_failed(probe, now_us)
            return items
        if now_us >= probe.indirect_us:
            interval_us = int(INDIRECT_PROBE_FRACTION * PROBE_PERIOD_US * (1 + self._membership.local_health))
            probe.indirect_us = now_us + interval_us
            request = PingRequest(probe.nonce, probe.member_id)
            items += [(prober, request) for prober in self._indirect_probers(probe.member_id)]
        if now_us >= probe.repeat_us:
            probe.repeat_us = now_us + int(PING_REPEAT_FRACTION * PROBE_PERIOD_US)
            items.append((probe.member_id, Ping(probe.nonce, probe.member_id)))
        return items

    def _next_member_to_probe(self) -> int | None:
        """Returns the next member of the shuffled order (SWIM, section 4.3), or occasionally a dead one."""
        self._period += 1
        unreachable = [n for n in self._others if self._membership.members[n].state not in PROBED_STATES]
        all_unreachable = len(unreachable) == self._member_list.size - 1
        if (unreachable and self._period % DEAD_PROBE_PERIODS == 0) or all_unreachable:
            return self._random.choice(unreachable) if unreachable else None
        for _ in range(2):
            while self._probe_order:
                member_id = self._probe_order.pop()
                if self._membership.members[member_id].state in PROBED_STATES:
                    return member_id
            self._probe_order = list(self._others)
            self._random.shuffle(self._probe_order)
        return None

    def _indirect_probers(self, probed_member: int) -> list[int]:
        alive = [
            n
            for n in self._others
            if n != probed_member and self._membership.members[n].state in ALIVE_STATES
        ]
        return self._random.sample(alive, min(INDIRECT_PROBERS, len(alive)))

    def _on_probe_failed(self, probe: _Probe, now_us: int) -> None:
        """Handles a probe that ended without a direct or indirect answer."""
        self._probe = None
        member, own_id = self._membership.members[probe.member_id], self._member_list.own_id
        if member.state in ALIVE_STATES:
            self._membership.raise_local_health()
            # A datagram received from it since the probe began shows that it is up, even without the answer.
            if member.last_received_us < probe.began_us:
                self._membership.suspect(
                    probe.member_id, member.incarnation, member.state_version, own_id, now_us
                )
        elif member.state is MemberState.SUSPECT:
            self._membership.confirm_suspicion(member, own_id)

    def _next_nonce(self) -> int:
        self._nonce = (self._nonce + 1) % NONCES
        return self._nonce
