"""What a cold node is sent when the demand for it has moved, with messages between brokers and without."""

from __future__ import annotations

import asyncio

from lemonridge.lab.load.fleet import Asker, Clients
from lemonridge.lab.rig import Rig, Site, standing

BROKERS, WARM_S, RAMP_S = 5, 6.0, 6.0
RATE = 90.0  # requests a second of 1.5 units each: two thirds of what a warm node does


async def once(seed: int, peers: bool) -> dict[str, float]:
    """Requests for one node's shard come through all brokers but the last; the node dies and comes back cold,
    and all of them come through the last from then on. Units that the cold node was sent, and its falls.
    """
    site = Site(ramp_s=RAMP_S, unit_ms=10.0)
    async with standing(BROKERS, 2, seed, site, peers) as rig:
        clients = Clients([one.port for one in rig.brokers], seed, site.deadline_ms)

        def where(t: float) -> int:
            return int(t * 1000) % (BROKERS - 1) if t < WARM_S else BROKERS - 1

        asker = Asker(9, "priority", 1, (0,), lambda t: RATE, where, site.largest_request_units, 0.0)
        await asyncio.gather(clients.run([asker], WARM_S + 1.0 + RAMP_S), _die(rig))
        await rig.stop()
        node = rig.nodes[0]
        asked = sum(one.units for one in clients.asked if one.due >= rig.begun + WARM_S + 1.0)
        return {
            "asked": asked,
            "sent": node.slow_start_units,
            "falls": node.falls,
            "bytes_s": rig.network.bytes / BROKERS / (WARM_S + 1.0 + RAMP_S),
        }


async def _die(rig: Rig) -> None:
    await asyncio.sleep(max(0.0, WARM_S - rig.now()))
    await rig.death(rig.nodes[0], 1.0)


def figures(seeds: tuple[int, ...] = (1, 2)) -> list[dict[str, object]]:
    """A line a seed: even parts against lent ones, and their ratio."""
    rows: list[dict[str, object]] = []
    for seed in seeds:
        even, lent = asyncio.run(once(seed, False)), asyncio.run(once(seed, True))
        rows.append(
            {
                "measure": "cold",
                "seed": seed,
                "asked": even["asked"],
                "even": even["sent"],
                "lent": lent["sent"],
                "ratio": round(lent["sent"] / max(1.0, even["sent"]), 2),
                "falls": even["falls"] + lent["falls"],
                "bytes_s": round(lent["bytes_s"]),
            }
        )
    return rows
