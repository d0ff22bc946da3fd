"""Compares the actions of a fleet with recorded ones: identical events give identical actions in order.

Five and twelve members run in virtual time with datagram loss and one member that stalls for some seconds.
For each kind of action the test records the number of actions and a digest of their values, so that a
difference names the kind that changed. The digests do not include names of the code.
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


def action_values(action: Any) -> tuple[str, tuple[Any, ...]]:
    """Returns the kind and the values of an action as literals."""
    if isinstance(action, SendDatagram):
        return "datagram", (action.to, action.data.hex())
    if isinstance(action, QuotaUpdated):
        quota = action.quota
        return "quota", (
            int(action.kind),
            action.key,
            quota.parts,
            quota.until_us,
            quota.parts_after,
            action.owned,
        )
    if isinstance(action, PeerHealthChanged):
        summary = action.summary
        return "health", (
            summary.endpoint_id,
            int(summary.condition),
            summary.sources,
            summary.at_us,
        )
    if isinstance(action, RolloutItemReceived):
        return "rollout", (action.source, action.incarnation, action.item.slot)
    if isinstance(action, PeerUsageReceived):
        return "usage", (action.volume, action.units)
    assert isinstance(action, SetTimer)
    return "timer", (action.at_us,)


def record_actions(count: int, seed: int, seconds: float) -> dict[str, tuple[int, str]]:
    """Runs one fleet and returns, by kind, the number of actions and the digest of their values."""
    random, now = Random(seed), START_US
    names = tuple(f"b{n}" for n in range(count))
    settings = MemberSettings(send_budget_bytes_s=3000.0, shares_usage=count < 10, retry_rate=4.0)
    members = [
        FleetMember(MemberList(names, n), now // 1000 + n, seed + n, now, settings) for n in range(count)
    ]
    digests, counts = {}, Counter[str]()
    pending: list[tuple[int, int, int, Any]] = []  # a heap of time, order, receiver and event
    order, timers_us = 0, [0] * count

    def schedule(at_us: int, receiver: int, event: Any) -> None:
        nonlocal order
        order += 1
        heapq.heappush(pending, (at_us, order, receiver, event))

    def carry_out(n: int, actions: list[Any]) -> None:
        for action in actions:
            kind, values = action_values(action)
            counts[kind] += 1
            digests.setdefault(kind, sha256()).update(repr((n, now, values)).encode())
            if isinstance(action, SetTimer):
                timers_us[n] = action.at_us
                schedule(action.at_us, n, TimerFired())
            elif isinstance(action, SendDatagram) and random.random() > 0.1:
                schedule(now + random.randrange(1000, 30_000), action.to, DatagramReceived(n, action.data))
                if random.random() < 0.02:
                    schedule(
                        now + random.randrange(1000, 90_000), action.to, DatagramReceived(n, action.data)
                    )

    for n, member in enumerate(members):
        carry_out(n, member.handle(now, ()))
    for step in range(int(seconds * 50)):
        schedule(START_US + step * 20_000, step % count, None)
    end_us = START_US + int(seconds * 1e6)
    while pending and pending[0][0] < end_us:
        now, _, n, event = heapq.heappop(pending)
        member = members[n]
        if isinstance(event, TimerFired) and timers_us[n] != now:
            continue  # a later SetTimer replaced this timer
        if n == 1 and START_US + 4_000_000 < now < START_US + 9_000_000 and event is not None:
            schedule(START_US + 9_000_000, n, event)
            timers_us[n] = START_US + 9_000_000
            continue
        if event is not None:
            carry_out(n, member.handle(now, (event,)))
            continue
        busiest = (now - START_US) // 2_000_000 % count
        volume = random.randrange(6)
        quota_update = members[busiest].record_limit_demand(volume, 20.0, 2 + volume % 3, 1.0 + volume, now)
        carry_out(busiest, [quota_update] if quota_update is not None else [])
        member.record_shard_demand(3, 2.0, now)
        member.record_retry_demand(now)
        member.record_sent(volume, 1.0)
        member.record_served(volume, 2.5)
        outcome = random.choice(list(ObservedOutcome))
        if member.record_outcome(random.randrange(5), outcome, now):
            carry_out(n, member.handle(now, (TimerFired(),)))
        draw = random.random()
        if draw < 0.02:
            began = SlowStartBegan("s-1", random.randrange(2), 3, 9.0, now, now + 4_000_000)
            carry_out(n, member.handle(now, (began,)))
        elif draw < 0.06:
            items = (
                (busiest, Prepare(random.randrange(9), 2)),
                ((n + 1) % count, CheckRequest(1, b"12345678")),
            )
            carry_out(n, member.handle(now, (RolloutItemsQueued(items),)))
        elif draw < 0.08:
            carry_out(
                n,
                member.handle(
                    now, (DatagramReceived(None, b"x"), DatagramReceived((n + 1) % count, b"y" * 40))
                ),
            )
    carry_out(0, members[0].handle(now, (ShutdownBegan(),)))
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
    assert record_actions(*setting) == RECORDED[setting]
