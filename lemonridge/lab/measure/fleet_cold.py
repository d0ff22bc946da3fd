"""Measures the load of an endpoint in slow start after demand has moved, with loans of quota and without."""

from __future__ import annotations

import asyncio

from lemonridge.lab.load.fleet import Clients, VolumeTraffic
from lemonridge.lab.rig import FleetHarness, SiteSettings, running_fleet

BROKERS = 5
WARM_S = 6.0  # from the start until the endpoint dies
DOWN_S = 1.0
RAMP_S = 6.0
RATE = 90.0  # requests a second of 1.5 units each: two thirds of a warm endpoint's capacity


async def measure_once(seed: int, peers: bool) -> dict[str, float]:
    """Runs one fleet.

    Requests for one endpoint's shard are sent through all brokers but the last; the endpoint dies and
    restarts, and from its death on all requests are sent through the last broker.

    Args:
        seed: The seed of the load.
        peers: Whether brokers exchange datagrams and lend quota.

    Returns:
        The units that clients requested and that the endpoint received in the slow start (`asked`, `sent`),
        how often the endpoint was overloaded (`falls`), and the bytes a second that each broker sent to the
        others (`bytes_s`).
    """
    site = SiteSettings(ramp_s=RAMP_S, unit_ms=10.0)
    seconds = WARM_S + DOWN_S + RAMP_S
    async with running_fleet(BROKERS, 2, seed, site, peers) as rig:
        clients = Clients([broker.port for broker in rig.brokers], seed, site.deadline_ms)

        def broker_at(t: float) -> int:
            """Returns all brokers but the last in turn, and the last one after the endpoint's death."""
            return int(t * 1000) % (BROKERS - 1) if t < WARM_S else BROKERS - 1

        traffic = VolumeTraffic(
            9, "priority", 1, (0,), lambda t: RATE, broker_at, site.largest_request_units, 0.0
        )
        await asyncio.gather(clients.run([traffic], seconds), _kill_endpoint(rig))
        await rig.stop()
        node = rig.nodes[0]
        returned_at = rig.load_started_at + WARM_S + DOWN_S
        return {
            "asked": sum(request.units for request in clients.requests if request.due_at >= returned_at),
            "sent": node.slow_start_units,
            "falls": node.overloads,
            "bytes_s": rig.network.sent_bytes / BROKERS / seconds,
        }


async def _kill_endpoint(rig: FleetHarness) -> None:
    """Kills the endpoint after WARM_S and restarts it after DOWN_S."""
    await asyncio.sleep(max(0.0, WARM_S - rig.now()))
    await rig.kill_node(rig.nodes[0], DOWN_S)


def figures(seeds: tuple[int, ...] = (1, 2)) -> list[dict[str, object]]:
    """Compares evenly split limits with lent quota, for each seed."""
    rows: list[dict[str, object]] = []
    for seed in seeds:
        without_loans, with_loans = (
            asyncio.run(measure_once(seed, False)),
            asyncio.run(measure_once(seed, True)),
        )
        rows.append(
            {
                "measure": "cold",
                "seed": seed,
                "asked": without_loans["asked"],
                "even": without_loans["sent"],
                "lent": with_loans["sent"],
                "ratio": round(with_loans["sent"] / max(1.0, without_loans["sent"]), 2),
                "falls": without_loans["falls"] + with_loans["falls"],
                "bytes_s": round(with_loans["bytes_s"]),
            }
        )
    return rows
