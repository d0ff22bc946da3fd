"""Measures what an endpoint in slow start is sent when the demand for it has moved, with loans and
without.
"""

from __future__ import annotations

import asyncio

from lemonridge.lab.load.fleet import Clients, VolumeTraffic
from lemonridge.lab.rig import FleetHarness, SiteSettings, running_fleet

BROKERS = 5
WARM_S = 6.0  # until the endpoint dies
DOWN_S = 1.0
RAMP_S = 6.0
RATE = 90.0  # requests a second of 1.5 units each: two thirds of what a warm endpoint serves


async def measure_once(seed: int, peers: bool) -> dict[str, float]:
    """Run it once.

    Requests for one endpoint's shard are sent through all brokers but the last; the endpoint dies and comes
    back, and all of them are sent through the last one from then on.

    Returns:
        Units that were asked for and sent in the slow start, times that the endpoint was overloaded, and
        bytes a second between brokers for each.
    """
    site = SiteSettings(ramp_s=RAMP_S, unit_ms=10.0)
    seconds = WARM_S + DOWN_S + RAMP_S
    async with running_fleet(BROKERS, 2, seed, site, peers) as rig:
        clients = Clients([one.port for one in rig.brokers], seed, site.deadline_ms)

        def broker(t: float) -> int:
            """All but the last in turn, and the last one after the death."""
            return int(t * 1000) % (BROKERS - 1) if t < WARM_S else BROKERS - 1

        traffic = VolumeTraffic(
            9, "priority", 1, (0,), lambda t: RATE, broker, site.largest_request_units, 0.0
        )
        await asyncio.gather(clients.run([traffic], seconds), _kill_endpoint(rig))
        await rig.stop()
        node = rig.nodes[0]
        returned_at = rig.load_started_at + WARM_S + DOWN_S
        return {
            "asked": sum(one.units for one in clients.requests if one.due_at >= returned_at),
            "sent": node.slow_start_units,
            "falls": node.overloads,
            "bytes_s": rig.network.sent_bytes / BROKERS / seconds,
        }


async def _kill_endpoint(rig: FleetHarness) -> None:
    await asyncio.sleep(max(0.0, WARM_S - rig.now()))
    await rig.kill_node(rig.nodes[0], DOWN_S)


def figures(seeds: tuple[int, ...] = (1, 2)) -> list[dict[str, object]]:
    """A line for each seed: even parts against lent ones, and their ratio."""
    rows: list[dict[str, object]] = []
    for seed in seeds:
        even, with_loans = asyncio.run(measure_once(seed, False)), asyncio.run(measure_once(seed, True))
        rows.append(
            {
                "measure": "cold",
                "seed": seed,
                "asked": even["asked"],
                "even": even["sent"],
                "lent": with_loans["sent"],
                "ratio": round(with_loans["sent"] / max(1.0, even["sent"]), 2),
                "falls": even["falls"] + with_loans["falls"],
                "bytes_s": round(with_loans["bytes_s"]),
            }
        )
    return rows
