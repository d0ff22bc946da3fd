"""The drill `fleet`: brokers that share budgets, while links are cut and thinned out and processes die.

A few volumes ask for ten times their limit, demand moves between brokers, nodes die and come back cold. The
last part of the time is calm: there it is measured how soon slices follow demand again.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from lemonridge.lab.checkers.fleet import Findings, Limit, check, recovery_ms, used_rate
from lemonridge.lab.links.schedule import Schedule, draw_schedule
from lemonridge.lab.load.fleet import Clients, VolumeTraffic
from lemonridge.lab.rig import FleetHarness, SiteSettings, running_fleet

NODES = 3
HOT = 2  # the volume whose demand sits at one of its brokers
HOSTS = 3
FURTHER = 4.0  # further attempts a second, of all brokers
SETTLE_S = 3.0  # of the calm, before the use of limits is measured: until then slices must have followed
HEALED_MS, USED = 3000.0, 0.9  # what the drill must reach
AT_ONE = 0.85  # of its limit: then slices follow demand


@dataclass(frozen=True)
class Options:
    """What the command line says."""

    seed: int
    seconds: float = 20.0
    brokers: int = 5
    peers: bool = True
    faults: bool = True
    mutant: str = ""  # a fault planted in every broker


def fleet_traffic(brokers: int, site: SiteSettings, seconds: float, calm_s: float) -> list[VolumeTraffic]:
    """The volumes: limited ones that flood and move, and others that ask steadily."""
    hosts = min(HOSTS, brokers)
    full = site.limit / (1 + site.largest_request_units) * 2  # requests a second that fill a limit
    shards = tuple(range(NODES))

    def among(first: int) -> list[int]:
        return [(first + step) % brokers for step in range(hosts)]

    one, three, four = among(0), among(1), among(2)
    made = [
        # Ten times its limit, from one broker to the next each second; at rest in the calm.
        VolumeTraffic(
            1,
            "basic",
            hosts,
            shards,
            lambda t: 10 * full,
            lambda t: one[int(t) % hosts] if t < calm_s else one[0],
            site.largest_request_units,
        ),
        # Ten times its limit, at one of its brokers alone.
        VolumeTraffic(
            HOT,
            "basic",
            hosts,
            shards,
            lambda t: 10 * full,
            lambda t: among(3)[0],
            site.largest_request_units,
        ),
        # Ten times its limit at all of its brokers in turn, request by request.
        VolumeTraffic(
            3,
            "basic",
            hosts,
            shards,
            lambda t: 3 * full,
            lambda t: three[int(t * 1000) % hosts],
            site.largest_request_units,
        ),
        # At one of its brokers steadily; a second one comes and goes, which has lent its part meanwhile.
        VolumeTraffic(
            5,
            "brisk",
            hosts,
            shards,
            lambda t: site.high_limit * (2.5 if t % 7 < 3.2 else 1.5) / 1.5,
            lambda t: one[1] if t % 7 >= 3.2 or int(t * 1000) % 5 < 3 else one[-1],
            site.largest_request_units,
        ),
        # In surges, moving every three seconds.
        VolumeTraffic(
            4,
            "basic",
            hosts,
            shards,
            lambda t: 5 * full if int(t) % 4 < 2 else full / 2,
            lambda t: four[int(t / 3) % hosts],
            site.largest_request_units,
        ),
    ]
    made += [
        VolumeTraffic(
            100 + n,
            "priority",
            1,
            shards,
            lambda t: 5.0,
            lambda t, n=n: n,  # type: ignore[misc]
            site.largest_request_units,
        )
        for n in range(brokers)
    ]
    return made


def fault_schedule(options: Options) -> Schedule:
    """The faults of a seed, or none."""
    if options.faults:
        return draw_schedule(options.seed, options.seconds, options.brokers, NODES)
    return Schedule(
        brokers=options.brokers, nodes=NODES, seconds=options.seconds, calm_s=min(5.0, options.seconds / 2)
    )


async def run(
    options: Options, schedule: Schedule | None = None, site: SiteSettings | None = None
) -> tuple[dict[str, object], Findings, FleetHarness]:
    """One run: the figures of the last line, what was broken, and the rig as it ended."""
    site, schedule = (
        site or SiteSettings(retries_per_s=FURTHER if options.peers else 0.0),
        schedule or fault_schedule(options),
    )
    module = ("lemonridge.cli.mutant", f"fleet-fault={options.mutant}") if options.mutant else ("lemonridge",)
    async with running_fleet(
        schedule.brokers, NODES, options.seed, site, options.peers, module=module
    ) as rig:
        clients = Clients([one.port for one in rig.brokers], options.seed, site.deadline_ms)
        await asyncio.gather(
            clients.run(
                fleet_traffic(schedule.brokers, site, schedule.seconds, schedule.calm_s), schedule.seconds
            ),
            rig.run_schedule(schedule),
        )
        await rig.stop()
        return *evaluate(options, schedule, rig, clients, site), rig


def evaluate(
    options: Options, schedule: Schedule, rig: FleetHarness, clients: Clients, site: SiteSettings
) -> tuple[dict[str, object], Findings]:
    """The figures, from what nodes and clients saw."""
    came = [one for node in rig.nodes for one in node.received]
    limit = Limit(site.limit, site.burst, site.limit_slack)
    further = (
        Limit(site.retries_per_s, max(site.retries_per_s, schedule.brokers), 1.0)
        if site.retries_per_s
        else None
    )
    brisk = Limit(site.high_limit, site.burst, site.limit_slack)
    found = check(
        came,
        clients.requests,
        {1: limit, HOT: limit, 3: limit, 4: limit, 5: brisk},
        further,
        {one.number: one.discovery.written_entries for one in rig.brokers},
        {one.number: one.outages for one in rig.brokers},
        sum(node.overloads for node in rig.nodes),
        clients.surplus,
    )
    calm, end = rig.load_started_at + schedule.calm_s, rig.load_started_at + schedule.seconds
    healed = recovery_ms(came, HOT, calm, end, AT_ONE * site.limit)
    share = min(used_rate(came, volume, calm + SETTLE_S, end) / site.limit for volume in (1, HOT))
    figures: dict[str, object] = {
        "drill": "fleet",
        "seed": options.seed,
        "brokers": schedule.brokers,
        "requests": len(clients.requests),
        "served": sum(one.end == "served" for one in clients.requests),
        "splits": rig.splits,
        "kills": sum(one.kills for one in rig.brokers),
        "stops": sum(one.pauses for one in rig.brokers),
        "limit_excess": found.limit_excess,
        "cold_overloads": found.cold_overloads,
        "budget_excess": found.budget_excess,
        "late_sends": found.late_sends,
        "double_answers": found.double_answers,
        "unanswered": found.unanswered,
        "healed_after_ms": int(healed),
        "used_of_limit": round(share, 3),
    }
    return figures, found


def passed(figures: dict[str, object], found: Findings) -> bool:
    """Whether the drill held: no rule broken, healed in time, and a limit used where its demand is."""
    return (
        found.passed
        and float(str(figures["healed_after_ms"])) < HEALED_MS
        and float(str(figures["used_of_limit"])) > USED
    )
