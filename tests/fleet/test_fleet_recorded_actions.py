"""What a fleet's members do, recorded: identical events give identical actions, in the same order.

Five and twelve members in virtual time, with losses and a member that stops for a while. A digest is taken of
each action's own values (no names of the code), one for each kind, with the number of actions beside it, so
that a difference says which kind it concerns.
"""

from __future__ import annotations

import heapq
from collections import Counter
from hashlib import sha256
from random import Random
from typing import Any

import pytest

from lemonridge.fleet.actions import (
    PeerHealthChanged,
    PeerUsageReceived,
    QuotaUpdated,
    RolloutItemReceived,
    SendDatagram,
    SetTimer,
)
from lemonridge.fleet.datagrams import CheckRequest, Prepare
from lemonridge.fleet.events import (
    DatagramReceived,
    RolloutItemsQueued,
    ShutdownBegan,
    SlowStartBegan,
    TimerFired,
)
from lemonridge.fleet.fleet_member import FleetMember
from lemonridge.fleet.health_gossip import ObservedOutcome
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.settings import MemberSettings

START_US = 1_800_000_000_000_000


def values(action: Any) -> tuple[str, tuple[Any, ...]]:
    """An action as literals."""
    if isinstance(action, SendDatagram):
        return "datagram", (action.to, action.data.hex())
    if isinstance(action, QuotaUpdated):
        part = action.quota
        return "quota", (
            int(action.kind),
            action.key,
            part.parts,
            part.until_us,
            part.parts_after,
            action.owned,
        )
    if isinstance(action, PeerHealthChanged):
        one = action.summary
        return "health", (one.endpoint_id, int(one.condition), one.sources, one.at_us)
    if isinstance(action, RolloutItemReceived):
        return "rollout", (action.source, action.incarnation, action.item.slot)
    if isinstance(action, PeerUsageReceived):
        return "usage", (action.volume, action.units)
    assert isinstance(action, SetTimer)
    return "timer", (action.at_us,)


def record(count: int, seed: int, seconds: float) -> dict[str, tuple[int, str]]:
    """Play one fleet; the number of actions of each kind and the digest of their values."""
    random, now = Random(seed), START_US
    names = tuple(f"b{n}" for n in range(count))
    tuning = MemberSettings(send_budget_bytes_s=3000.0, shares_usage=count < 10, retry_rate=4.0)
    members = [
        FleetMember(MemberList(names, n), now // 1000 + n, seed + n, now, tuning) for n in range(count)
    ]
    digests, counts = {}, Counter[str]()
    heap: list[tuple[int, int, int, Any]] = []
    order, wakes = 0, [0] * count

    def push(at_us: int, to: int, event: Any) -> None:
        nonlocal order
        order += 1
        heapq.heappush(heap, (at_us, order, to, event))

    def act(n: int, actions: list[Any]) -> None:
        for action in actions:
            kind, what = values(action)
            counts[kind] += 1
            digests.setdefault(kind, sha256()).update(repr((n, now, what)).encode())
            if isinstance(action, SetTimer):
                wakes[n] = action.at_us
                push(action.at_us, n, TimerFired())
            elif isinstance(action, SendDatagram) and random.random() > 0.1:
                push(now + random.randrange(1000, 30_000), action.to, DatagramReceived(n, action.data))
                if random.random() < 0.02:
                    push(now + random.randrange(1000, 90_000), action.to, DatagramReceived(n, action.data))

    for n, member in enumerate(members):
        act(n, member.handle(now, ()))
    for step in range(int(seconds * 50)):
        push(START_US + step * 20_000, step % count, None)
    end_us = START_US + int(seconds * 1e6)
    while heap and heap[0][0] < end_us:
        now, _, n, event = heapq.heappop(heap)
        member = members[n]
        if isinstance(event, TimerFired) and wakes[n] != now:
            continue  # only the last timer that was asked for fires
        if n == 1 and START_US + 4_000_000 < now < START_US + 9_000_000 and event is not None:
            push(START_US + 9_000_000, n, event)
            wakes[n] = START_US + 9_000_000
            continue
        if event is not None:
            act(n, member.handle(now, (event,)))
            continue
        lead = (now - START_US) // 2_000_000 % count
        volume = random.randrange(6)
        told = members[lead].record_limit_demand(volume, 20.0, 2 + volume % 3, 1.0 + volume, now)
        act(lead, [told] if told is not None else [])
        member.record_shard_demand(3, 2.0, now)
        member.record_retry_demand(now)
        member.record_sent(volume, 1.0)
        member.record_served(volume, 2.5)
        outcome = random.choice(list(ObservedOutcome))
        if member.record_outcome(random.randrange(5), outcome, now):
            act(n, member.handle(now, (TimerFired(),)))
        draw = random.random()
        if draw < 0.02:
            began = SlowStartBegan("s-1", random.randrange(2), 3, 9.0, now, now + 4_000_000)
            act(n, member.handle(now, (began,)))
        elif draw < 0.06:
            items = ((lead, Prepare(random.randrange(9), 2)), ((n + 1) % count, CheckRequest(1, b"12345678")))
            act(n, member.handle(now, (RolloutItemsQueued(items),)))
        elif draw < 0.08:
            act(
                n,
                member.handle(
                    now, (DatagramReceived(None, b"x"), DatagramReceived((n + 1) % count, b"y" * 40))
                ),
            )
    act(0, members[0].handle(now, (ShutdownBegan(),)))
    return {kind: (counts[kind], digests[kind].hexdigest()[:16]) for kind in sorted(counts)}


RECORDED = {
    (5, 7, 20.0): {
        "datagram": (4389, "c4124f46f3c42561"),
        "health": (1368, "76229ec3fa16ee6c"),
        "quota": (836, "85deb067bd9d984c"),
        "rollout": (70, "7f424e346aaecdf2"),
        "timer": (6263, "d9118e2f4e3229ba"),
        "usage": (1257, "8f8373a4677e1021"),
    },
    (12, 8, 20.0): {
        "datagram": (13465, "f1f97958ed631369"),
        "health": (5101, "bbb0c0c88ae54acb"),
        "quota": (643, "02f5ffec427787d7"),
        "rollout": (60, "3d99272716696f6b"),
        "timer": (17860, "a759cc5ca980ece3"),
    },
}


@pytest.mark.parametrize("setting", RECORDED)
def test_identical_events_give_identical_actions(setting: tuple[int, int, float]) -> None:
    assert record(*setting) == RECORDED[setting]
