"""Changes of policy on processes, without faults: how long one takes, and what it costs the clients, by the
number of brokers.
"""

from __future__ import annotations

import asyncio
from statistics import median
from typing import Any

import msgspec
import orjson

from lemonridge.config.address import Address
from lemonridge.lab.drills.policy import NODES, policy_traffic
from lemonridge.lab.load.fleet import ClientRequest, Clients
from lemonridge.lab.rig import FleetHarness, SiteSettings, running_fleet
from lemonridge.net.admin_client import call
from lemonridge.rollout.policy_document import Policy

SIZES = (3, 5, 9, 16, 32)
LEASE_MS = 2000.0
CHANGES = 6
FIRST_S, EVERY_S = 4.0, 3.0  # when the first one is proposed, and between two
LOOK_S = 0.03


async def measure_once(brokers: int, seed: int) -> dict[str, object]:
    """The figures of one fleet: seconds from a proposal until all go by the new policy alone, and how many
    requests of steady volumes were served in the second from it, where the run's mean is 1.
    """
    site = SiteSettings(lease_ms=LEASE_MS)
    seconds = FIRST_S + CHANGES * EVERY_S
    async with running_fleet(brokers, NODES, seed, site) as rig:
        clients = Clients([one.port for one in rig.brokers], seed, site.deadline_ms)
        took, at = [], []

        async def changes() -> None:
            loop = asyncio.get_running_loop()
            for number in range(CHANGES):
                await asyncio.sleep(max(0.0, rig.load_started_at + FIRST_S + number * EVERY_S - loop.time()))
                at.append(loop.time())
                took.append(await _change(rig, number % brokers, 48.0 if number % 2 == 0 else 24.0))

        await asyncio.gather(clients.run(policy_traffic(brokers, site), seconds), changes())
        begun, epochs = rig.load_started_at, [(await _seen(rig, n))["epoch"] for n in range(brokers)]
        await rig.stop()
    steady = [one for one in clients.requests if one.volume >= 100]
    mean = _served(steady, begun + FIRST_S, begun + seconds) / (seconds - FIRST_S)
    after = [_served(steady, moment, moment + 1.0) / mean for moment in at]
    return {
        "measure": "processes",
        "brokers": brokers,
        "seed": seed,
        "changes": len(took),
        "epochs": len(set(epochs)),
        "force_s": round(median(took), 2),
        "force_most_s": round(max(took), 2),
        "served_s": round(mean, 1),
        "served_after": round(sum(after) / len(after), 2),
        "served_after_least": round(min(after), 2),
        "not_served": sum(one.end != "served" for one in steady),
    }


def _served(asked: list[ClientRequest], low: float, high: float) -> int:
    return sum(one.end == "served" and low <= one.due_at < high for one in asked)


async def _seen(rig: FleetHarness, number: int) -> dict[str, Any]:
    told: dict[str, Any] = orjson.loads(
        await call(Address("127.0.0.1", rig.brokers[number].admin_port), "policy")
    )
    return told


async def _change(rig: FleetHarness, number: int, limit: float) -> float:
    """Propose at a broker; seconds until all of them go by it alone."""
    loop = asyncio.get_running_loop()
    seen = await _seen(rig, number)
    policy, epoch = msgspec.convert(seen["policy"], Policy), int(seen["epoch"]) + 1
    rows = tuple(
        msgspec.structs.replace(row, limit=limit) if row.name == "basic" else row for row in policy.plan
    )
    told = {"policy": msgspec.to_builtins(msgspec.structs.replace(policy, plan=rows)), "note": "bench"}
    begun = loop.time()
    address = Address("127.0.0.1", rig.brokers[number].admin_port)
    await call(address, "policy-propose " + orjson.dumps(told).decode())
    waiting = set(range(len(rig.brokers)))
    while waiting:
        views = [(n, await _seen(rig, n)) for n in sorted(waiting)]
        waiting -= {n for n, view in views if view["goes_by"] == [epoch, epoch]}
        await asyncio.sleep(LOOK_S if waiting else 0)
    return loop.time() - begun


def figures(seed: int, sizes: tuple[int, ...] = SIZES) -> list[dict[str, object]]:
    """A line for each size, one play each."""
    return [asyncio.run(measure_once(brokers, seed)) for brokers in sizes]
