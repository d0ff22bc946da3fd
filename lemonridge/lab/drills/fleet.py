"""The drill `fleet`: brokers that share budgets, while links are cut or degraded and processes die.

Several volumes request ten times their limit, demand moves between brokers, and nodes die and restart cold.
The last part of the run has no faults: it measures how soon the slices of the limits follow demand again.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from lemonridge.lab.checkers.fleet import Findings, Limit, check, recovery_ms, used_rate
from lemonridge.lab.links.schedule import Schedule, draw_schedule
from lemonridge.lab.load.fleet import Clients, VolumeTraffic
from lemonridge.lab.rig import FleetHarness, SiteSettings, running_fleet

NODES = 3
HOT_VOLUME = 2  # the volume whose demand arrives at one of its brokers only
HOSTS_MAX = 3  # brokers of a volume
RETRIES_PER_S = 4.0  # of all brokers together
SETTLE_S = 3.0  # from the last fault until the use of limits is measured; slices must have followed by then
HEALED_MS_MAX, USED_SHARE_MIN = 3000.0, 0.9  # what the drill must reach
RECOVERED_SHARE = 0.85  # of the limit of the hot volume: slices follow demand if this much of it is used


@dataclass(frozen=True)
class Options:
    """The options of a run.

    Attributes:
        seed: The seed from which the load and the faults are drawn.
        seconds: The duration of the load.
        brokers: The number of brokers.
        peers: Whether brokers exchange datagrams and lend quota; otherwise limits are split evenly.
        faults: Whether faults are injected.
        mutant: The name of a fault to plant in every broker; empty for none.
    """

    seed: int
    seconds: float = 20.0
    brokers: int = 5
    peers: bool = True
    faults: bool = True
    mutant: str = ""


def fleet_traffic(brokers: int, site: SiteSettings, seconds: float, calm_s: float) -> list[VolumeTraffic]:
    """Returns the load: limited volumes with excessive or moving demand, and one steady volume per broker.

    Args:
        brokers: The number of brokers.
        site: The settings of the harness.
        seconds: The duration of the load.
        calm_s: When the part without faults begins.
    """
    hosts = min(HOSTS_MAX, brokers)
    limit_rate = site.limit / (1 + site.largest_request_units) * 2  # requests a second that use up a limit
    shards = tuple(range(NODES))

    def hosts_from(first: int) -> list[int]:
        """Returns the brokers of a volume whose first one is `first`."""
        return [(first + step) % brokers for step in range(hosts)]

    hosts_from_0, hosts_from_1, hosts_from_2 = hosts_from(0), hosts_from(1), hosts_from(2)
    traffic = [
        # Ten times its limit, at another broker each second; at one broker in the part without faults.
        VolumeTraffic(
            1,
            "basic",
            hosts,
            shards,
            lambda t: 10 * limit_rate,
            lambda t: hosts_from_0[int(t) % hosts] if t < calm_s else hosts_from_0[0],
            site.largest_request_units,
        ),
        # Ten times its limit, at one of its brokers only.
        VolumeTraffic(
            HOT_VOLUME,
            "basic",
            hosts,
            shards,
            lambda t: 10 * limit_rate,
            lambda t: hosts_from(3)[0],
            site.largest_request_units,
        ),
        # Three times its limit, at all of its brokers in turn, request by request.
        VolumeTraffic(
            3,
            "basic",
            hosts,
            shards,
            lambda t: 3 * limit_rate,
            lambda t: hosts_from_1[int(t * 1000) % hosts],
            site.largest_request_units,
        ),
        # Steady at one of its brokers; a second broker, which lends its slice meanwhile, has demand at times.
        VolumeTraffic(
            5,
            "brisk",
            hosts,
            shards,
            lambda t: site.high_limit * (2.5 if t % 7 < 3.2 else 1.5) / 1.5,
            lambda t: hosts_from_0[1] if t % 7 >= 3.2 or int(t * 1000) % 5 < 3 else hosts_from_0[-1],
            site.largest_request_units,
        ),
        # In bursts, at another broker every three seconds.
        VolumeTraffic(
            4,
            "basic",
            hosts,
            shards,
            lambda t: 5 * limit_rate if int(t) % 4 < 2 else limit_rate / 2,
            lambda t: hosts_from_2[int(t / 3) % hosts],
            site.largest_request_units,
        ),
    ]
    traffic += [
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
    return traffic


def fault_schedule(options: Options) -> Schedule:
    """Returns the faults that the seed draws, or a schedule without faults."""
    if options.faults:
        return draw_schedule(options.seed, options.seconds, options.brokers, NODES)
    return Schedule(
        brokers=options.brokers, nodes=NODES, seconds=options.seconds, calm_s=min(5.0, options.seconds / 2)
    )


async def run(
    options: Options, schedule: Schedule | None = None, site: SiteSettings | None = None
) -> tuple[dict[str, object], Findings, FleetHarness]:
    """Runs the drill.

    Args:
        options: The options of the run.
        schedule: The faults; by default those that the seed draws.
        site: The settings of the harness; by default those of the drill.

    Returns:
        The figures of the last line, the checker's findings, and the stopped harness.
    """
    site, schedule = (
        site or SiteSettings(retries_per_s=RETRIES_PER_S if options.peers else 0.0),
        schedule or fault_schedule(options),
    )
    module = ("lemonridge.cli.mutant", f"fleet-fault={options.mutant}") if options.mutant else ("lemonridge",)
    async with running_fleet(
        schedule.brokers, NODES, options.seed, site, options.peers, module=module
    ) as rig:
        clients = Clients([broker.port for broker in rig.brokers], options.seed, site.deadline_ms)
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
    """Returns the figures and the checker's findings, from the records of nodes and clients."""
    attempts = [attempt for node in rig.nodes for attempt in node.received]
    limit = Limit(site.limit, site.burst, site.limit_slack)
    retry_limit = (
        Limit(site.retries_per_s, max(site.retries_per_s, schedule.brokers), 1.0)
        if site.retries_per_s
        else None
    )
    high_limit = Limit(site.high_limit, site.burst, site.limit_slack)
    findings = check(
        attempts,
        clients.requests,
        {1: limit, HOT_VOLUME: limit, 3: limit, 4: limit, 5: high_limit},
        retry_limit,
        {broker.number: broker.discovery.written_entries for broker in rig.brokers},
        {broker.number: broker.outages for broker in rig.brokers},
        sum(node.overloads for node in rig.nodes),
        clients.surplus,
    )
    calm_at, end_at = rig.load_started_at + schedule.calm_s, rig.load_started_at + schedule.seconds
    healed_ms = recovery_ms(attempts, HOT_VOLUME, calm_at, end_at, RECOVERED_SHARE * site.limit)
    used_share = min(
        used_rate(attempts, volume, calm_at + SETTLE_S, end_at) / site.limit for volume in (1, HOT_VOLUME)
    )
    figures: dict[str, object] = {
        "drill": "fleet",
        "seed": options.seed,
        "brokers": schedule.brokers,
        "requests": len(clients.requests),
        "served": sum(request.end == "served" for request in clients.requests),
        "splits": rig.splits,
        "kills": sum(broker.kills for broker in rig.brokers),
        "stops": sum(broker.pauses for broker in rig.brokers),
        "limit_excess": findings.limit_excess,
        "cold_overloads": findings.cold_overloads,
        "budget_excess": findings.budget_excess,
        "late_sends": findings.late_sends,
        "double_answers": findings.double_answers,
        "unanswered": findings.unanswered,
        "healed_after_ms": int(healed_ms),
        "used_of_limit": round(used_share, 3),
    }
    return figures, findings


def passed(figures: dict[str, object], findings: Findings) -> bool:
    """Whether no rule was violated, slices followed demand in time, and limits were used under demand."""
    return (
        findings.passed
        and float(str(figures["healed_after_ms"])) < HEALED_MS_MAX
        and float(str(figures["used_of_limit"])) > USED_SHARE_MIN
    )
