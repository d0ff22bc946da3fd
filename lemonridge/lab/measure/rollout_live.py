"""Measures changes of policy on real processes without faults: their duration and their cost for clients.

The measurement is repeated with several numbers of brokers.
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
FIRST_S, EVERY_S = 4.0, 3.0  # from the start to the first proposal, and between two proposals
POLL_INTERVAL_S = 0.03  # between two polls of the brokers' reports


async def measure_once(brokers: int, seed: int) -> dict[str, object]:
    """Measures one fleet.

    Returns:
        Its figures, among them the seconds from a proposal until all brokers use the new policy alone, and
        the rate of served requests of steady volumes in the second after a proposal, relative to the mean of
        the run.
    """
    site = SiteSettings(lease_ms=LEASE_MS)
    seconds = FIRST_S + CHANGES * EVERY_S
    async with running_fleet(brokers, NODES, seed, site) as rig:
        clients = Clients([broker.port for broker in rig.brokers], seed, site.deadline_ms)
        durations_s, proposal_times = [], []

        async def run_changes() -> None:
            """Proposes all changes at their times, at one broker after the other."""
            loop = asyncio.get_running_loop()
            for number in range(CHANGES):
                await asyncio.sleep(max(0.0, rig.load_started_at + FIRST_S + number * EVERY_S - loop.time()))
                proposal_times.append(loop.time())
                durations_s.append(await _change(rig, number % brokers, 48.0 if number % 2 == 0 else 24.0))

        await asyncio.gather(clients.run(policy_traffic(brokers, site), seconds), run_changes())
        started_at, epochs = (
            rig.load_started_at,
            [(await _read_report(rig, n))["epoch"] for n in range(brokers)],
        )
        await rig.stop()
    steady = [request for request in clients.requests if request.volume >= 100]
    served_per_s = _served(steady, started_at + FIRST_S, started_at + seconds) / (seconds - FIRST_S)
    relative_rates = [
        _served(steady, proposed_at, proposed_at + 1.0) / served_per_s for proposed_at in proposal_times
    ]
    return {
        "measure": "processes",
        "brokers": brokers,
        "seed": seed,
        "changes": len(durations_s),
        "epochs": len(set(epochs)),
        "force_s": round(median(durations_s), 2),
        "force_most_s": round(max(durations_s), 2),
        "served_s": round(served_per_s, 1),
        "served_after": round(sum(relative_rates) / len(relative_rates), 2),
        "served_after_least": round(min(relative_rates), 2),
        "not_served": sum(request.end != "served" for request in steady),
    }


def _served(requests: list[ClientRequest], begin: float, end: float) -> int:
    """Returns how many requests that were due between two times were served."""
    return sum(request.end == "served" and begin <= request.due_at < end for request in requests)


async def _read_report(rig: FleetHarness, number: int) -> dict[str, Any]:
    """Returns a broker's report of its policy."""
    report: dict[str, Any] = orjson.loads(
        await call(Address("127.0.0.1", rig.brokers[number].admin_port), "policy")
    )
    return report


async def _change(rig: FleetHarness, number: int, limit: float) -> float:
    """Proposes a new limit at a broker; returns the seconds until all brokers use the new policy alone."""
    loop = asyncio.get_running_loop()
    report = await _read_report(rig, number)
    policy, epoch = msgspec.convert(report["policy"], Policy), int(report["epoch"]) + 1
    plans = tuple(
        msgspec.structs.replace(plan, limit=limit) if plan.name == "basic" else plan for plan in policy.plan
    )
    proposal = {"policy": msgspec.to_builtins(msgspec.structs.replace(policy, plan=plans)), "note": "bench"}
    proposed_at = loop.time()
    address = Address("127.0.0.1", rig.brokers[number].admin_port)
    await call(address, "policy-propose " + orjson.dumps(proposal).decode())
    pending = set(range(len(rig.brokers)))
    while pending:
        reports = [(n, await _read_report(rig, n)) for n in sorted(pending)]
        pending -= {n for n, report in reports if report["goes_by"] == [epoch, epoch]}
        await asyncio.sleep(POLL_INTERVAL_S if pending else 0)
    return loop.time() - proposed_at


def figures(seed: int, sizes: tuple[int, ...] = SIZES) -> list[dict[str, object]]:
    """Measures one fleet of each size; returns the figures of each."""
    return [asyncio.run(measure_once(brokers, seed)) for brokers in sizes]
