"""Brokers as processes that share budgets, with faults between them: the hard cases, and the drill."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from lemonridge.config.address import Address
from lemonridge.fleet.datagrams import DatagramHeader, LoanGrant, LoanRequest, MemberState, Ping, encode
from lemonridge.fleet.member_list import MemberList
from lemonridge.lab.checkers.fleet import Findings, Limit, check, used_rate
from lemonridge.lab.drills import fleet as drill
from lemonridge.lab.links.schedule import Fault, Schedule
from lemonridge.lab.load.fleet import Clients, VolumeTraffic
from lemonridge.lab.measure import fleet_cold
from lemonridge.lab.rig import FleetHarness, SiteSettings, running_fleet
from lemonridge.net.admin_client import fetch_fleet_views

pytestmark = pytest.mark.serial

SITE = SiteSettings()
SHARDS = (0, 1)
LIMIT_RATE = SITE.limit / 1.5  # requests a second that use the limit completely


def overload_traffic(
    broker_of: Callable[[float], int], factor: float = 5.0, volume: int = 1
) -> VolumeTraffic:
    """Returns traffic of `factor` times a volume's limit; `broker_of` maps the time to the broker."""
    return VolumeTraffic(volume, "basic", 3, SHARDS, lambda t: factor * LIMIT_RATE, broker_of)


async def run_fleet(
    seconds: float,
    traffic: list[VolumeTraffic],
    *faults: Fault,
    brokers: int = 3,
    module: Callable[[int], tuple[str, ...]] = lambda n: ("lemonridge",),
    peers: bool = True,
    extra_task: Callable[[FleetHarness], Awaitable[None]] | None = None,
) -> tuple[FleetHarness, Findings]:
    """Runs brokers under load and checks the run.

    Args:
        seconds: How long the clients send requests.
        traffic: The traffic of the clients.
        faults: The faults during the run.
        brokers: The number of brokers.
        module: Maps the number of a broker to its module and arguments.
        peers: Whether the brokers exchange messages.
        extra_task: Runs beside the clients and the faults.

    Returns:
        The stopped rig and the findings of the checker.
    """
    plan = Schedule(brokers=brokers, nodes=len(SHARDS), seconds=seconds, calm_s=seconds, fault=faults)
    async with running_fleet(brokers, len(SHARDS), 1, SITE, peers, module) as rig:
        clients = Clients([broker.port for broker in rig.brokers], 1, SITE.deadline_ms)
        tasks = [clients.run(traffic, seconds), rig.run_schedule(plan)]
        if extra_task is not None:
            tasks.append(extra_task(rig))  # type: ignore[arg-type]
        await asyncio.gather(*tasks)
        await rig.stop()
    limit = Limit(SITE.limit, SITE.burst, SITE.limit_slack)
    findings = check(
        [attempt for node in rig.nodes for attempt in node.received],
        clients.requests,
        {1: limit, 2: limit},
        None,
        {broker.number: broker.discovery.written_entries for broker in rig.brokers},
        {broker.number: broker.outages for broker in rig.brokers},
        sum(n.overloads for n in rig.nodes),
        clients.surplus,
    )
    return rig, findings


async def run_both(*runs: Any) -> list[Any]:
    """Runs coroutines at the same time; two runs without much load do not disturb each other."""
    return await asyncio.gather(*runs)


def used_limit_share(rig: FleetHarness, begin: float, end: float, volume: int = 1) -> float:
    """Returns the share of a volume's limit that was used between two times, in seconds of the run."""
    attempts = [attempt for node in rig.nodes for attempt in node.received]
    return used_rate(attempts, volume, rig.load_started_at + begin, rig.load_started_at + end) / SITE.limit


class SharedBudgets(unittest.TestCase):
    """Three or more brokers and one kind of fault."""

    def test_one_broker_uses_a_third_of_a_limit_without_messages_and_nearly_all_with_them(self) -> None:
        (unshared, unshared_findings), (shared, shared_findings) = asyncio.run(
            run_both(
                run_fleet(5.5, [overload_traffic(lambda t: 1)], peers=False),
                run_fleet(5.5, [overload_traffic(lambda t: 1)]),
            )
        )
        self.assertTrue(
            unshared_findings.passed and shared_findings.passed,
            (unshared_findings.notes, shared_findings.notes),
        )
        self.assertLess(used_limit_share(unshared, 2.5, 5.5), 0.45)
        self.assertGreater(used_limit_share(shared, 2.5, 5.5), 0.85)

    def test_grants_lost_on_a_one_way_cut_cost_only_the_lender(self) -> None:
        cut = Fault(kind="one-way", at_s=0.0, for_s=5.0, brokers=(1, 2), to=(0,))  # the grants are lost
        rig, findings = asyncio.run(run_fleet(9.0, [overload_traffic(lambda t: 0)], cut))
        self.assertTrue(findings.passed, findings.notes)
        self.assertLess(used_limit_share(rig, 2.5, 5.0), 0.45)  # its own quota, a third
        self.assertGreater(used_limit_share(rig, 7.0, 9.0), 0.85)

    def test_duplicated_delayed_and_corrupt_messages_lend_nothing_twice(self) -> None:
        faults = [
            Fault(kind="double", at_s=0.0, for_s=7.5, brokers=(0, 1, 2), to=(0, 1, 2), share=1.0),
            Fault(kind="reorder", at_s=0.0, for_s=7.5, brokers=(0, 1, 2), to=(0, 1, 2), share=0.3),
            Fault(kind="corrupt", at_s=0.0, for_s=7.5, brokers=(0, 1, 2), to=(0, 1, 2), share=0.2),
            Fault(kind="delay", at_s=2.0, for_s=5.0, brokers=(0, 1, 2), to=(0, 1, 2), ms=(1.0, 300.0)),
        ]
        rig, findings = asyncio.run(
            run_fleet(
                7.5,
                [overload_traffic(lambda t: int(t) % 3), overload_traffic(lambda t: 1, volume=2)],
                *faults,
            )
        )
        self.assertTrue(findings.passed, findings.notes)
        self.assertGreater(used_limit_share(rig, 4.0, 7.5, 2), 0.6)
        dropped = [
            sum(broker.counters[-1].get(f"fleet.not_taken.{name}", 0) for broker in rig.brokers)
            for name in ("replayed", "checksum")
        ]
        self.assertTrue(all(dropped), dropped)

    def test_broker_resumed_after_five_seconds_uses_only_its_own_quota(self) -> None:
        stop = Fault(kind="stop", at_s=3.0, for_s=5.0, brokers=(0,))
        # Only broker 0 has demand at first and borrows. Once it is stopped, the lenders have the demand and
        # their own quotas back.
        rig, findings = asyncio.run(
            run_fleet(
                10.0,
                [
                    overload_traffic(lambda t: 0 if t < 3.2 else 1 + int(t * 1000) % 2),
                    overload_traffic(lambda t: 0, volume=2),
                ],
                stop,
            )
        )
        self.assertTrue(findings.passed, findings.notes)
        self.assertGreater(used_limit_share(rig, 5.0, 8.0), 0.6)  # 1 and 2 use their quotas meanwhile
        self.assertEqual(rig.brokers[0].counters[-1].get("loop.stopped"), 1)

    def test_clock_errors_up_to_ten_times_the_stated_error_exceed_no_limit(self) -> None:
        rig, findings = asyncio.run(
            run_fleet(
                7.0,
                [overload_traffic(lambda t: 1 if t < 4 else int(t * 2) % 3)],
                module=lambda n: ("lemonridge.cli.mutant", f"clock={(0, 50, -500)[n]}"),
            )
        )
        self.assertTrue(findings.passed, findings.notes)
        self.assertGreater(used_limit_share(rig, 2.8, 4.0), 0.8)

    def test_twelve_brokers_started_together_send_little_and_suspect_nobody(self) -> None:
        async def check_members(rig: FleetHarness) -> None:
            await asyncio.sleep(1.0)
            bytes_s = rig.network.sent_bytes / 12 / max(1.0, rig.now())
            self.assertLess(bytes_s, 600)
            await asyncio.sleep(6.0)
            member_views, silent = await fetch_fleet_views(
                Address("127.0.0.1", broker.admin_port) for broker in rig.brokers
            )
            self.assertEqual((len(member_views), silent), (12, []))
            states = [m["state"] for view in member_views for m in view["members"]]  # type: ignore[attr-defined]
            self.assertFalse({"suspect", "dead"} & set(states), states)
            self.assertGreater(states.count("up"), 12 * 11 * 0.7)

        asyncio.run(run_fleet(8.0, [], brokers=12, extra_task=check_members))

    def test_datagrams_of_a_rogue_sender_are_counted_and_change_nothing(self) -> None:
        async def send_rogue_datagrams(rig: FleetHarness) -> None:
            await asyncio.sleep(2.0)
            fingerprint = MemberList(("0", "1", "2"), 0).fingerprint
            import time

            now = time.time_ns() // 1_000_000
            datagram = encode(
                DatagramHeader(1, MemberState.UP, now + 10**9, 9, 1, now),
                [LoanRequest(1, 1, 3, 5, 900_000, 1500), LoanGrant(1, 1, 1, 900_000, 1), Ping(1, 0)],
                fingerprint,
            )
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as rogue:
                to = ("127.0.0.1", rig.network.ports[0])
                for data in (
                    datagram,
                    datagram[:20],
                    b"\xb0" * 60,
                    datagram,
                    datagram[:4] + b"\xb0" + datagram[5:],
                ):
                    rogue.sendto(data, to)
            for data in (
                datagram[:-3],
                datagram[:4] + b"\xb0" + datagram[5:],
                datagram[:-1] + bytes((datagram[-1] ^ 1,)),
            ):
                rig.network._pass_on(1, 0, data)  # from the address of the member that it names
            rig.network._pass_on(2, 0, datagram)  # from the address of another member
            await asyncio.sleep(0.5)
            view = (await fetch_fleet_views([Address("127.0.0.1", rig.brokers[0].admin_port)]))[0][0]
            member = view["members"][0]  # type: ignore[index]
            self.assertLess(member["life"], now)
            counts = view["counters"]
            self.assertEqual(
                [
                    counts[f"not_taken.{name}"]  # type: ignore[index]
                    for name in ("address", "version", "checksum")
                ],
                [6, 1, 2],
            )

        rig, findings = asyncio.run(
            run_fleet(5.0, [overload_traffic(lambda t: 1)], extra_task=send_rogue_datagrams)
        )
        self.assertTrue(findings.passed, findings.notes)

    def test_cold_node_receives_more_from_the_broker_with_demand_and_does_not_fail(self) -> None:
        unshared, shared = asyncio.run(
            run_both(fleet_cold.measure_once(3, False), fleet_cold.measure_once(3, True))
        )
        self.assertEqual(unshared["falls"] + shared["falls"], 0)
        self.assertGreater(shared["sent"], 1.3 * unshared["sent"], (unshared, shared))

    def test_dead_node_is_known_to_all_brokers_after_two_report_it(self) -> None:
        """Two brokers find the node dead first; each of the others makes only one connect to it.

        The same run without messages between the brokers is the control.
        """
        dead = Fault(kind="node-death", at_s=2.0, for_s=1.0, nodes=(0,))
        reporting = [
            VolumeTraffic(100 + n, "priority", 1, (0,), lambda t: 12.0, lambda t, n=n: n) for n in range(2)
        ]
        # After the reports of the first two brokers, and nearer to the node's return than the retry interval.
        burst_traffic = [
            VolumeTraffic(
                100 + n, "priority", 1, (0,), lambda t: 100.0 if 2.75 < t < 2.87 else 0.0, lambda t, n=n: n
            )
            for n in range(2, 5)
        ]
        runs = asyncio.run(
            run_both(
                *(
                    run_fleet(4.5, reporting + burst_traffic, dead, brokers=5, peers=peers)
                    for peers in (False, True)
                )
            )
        )
        for rig, findings in runs:
            self.assertEqual((findings.unanswered, findings.late_sends), (0, 0), findings.notes)
            requests = [broker.counters[-1].get("requests.taken", 0) for broker in rig.brokers[2:]]
            self.assertGreater(min(requests), 1, requests)
        without_reports, with_reports = (
            [broker.counters[-1].get("attempts.connect_failed", 0) for broker in rig.brokers[2:]]
            for rig, _ in runs
        )
        agreed_judgements = [
            broker.counters[-1].get("fleet.judgements.agreed", 0) for broker in runs[1][0].brokers[2:]
        ]
        self.assertGreaterEqual(min(agreed_judgements), 1, agreed_judgements)
        self.assertEqual(with_reports, [1, 1, 1], without_reports)
        self.assertGreaterEqual(min(without_reports), 1, without_reports)


class PlantedFaults(unittest.TestCase):
    """The checker detects faults planted in the brokers."""

    def test_loan_that_is_never_returned_exceeds_a_limit(self) -> None:
        """Only one broker has demand and borrows; then the links are cut and all brokers have demand."""
        cut = Fault(kind="cut", at_s=4.0, for_s=5.0, brokers=(0, 1, 2), to=(0, 1, 2))
        demand = [overload_traffic(lambda t: 0 if t < 4.0 else int(t * 1000) % 3)]
        mutant = ("lemonridge.cli.mutant", "fleet-fault=keeps-for-ever")
        (correct_rig, correct), (_, faulty) = asyncio.run(
            run_both(run_fleet(9.0, demand, cut), run_fleet(9.0, demand, cut, module=lambda n: mutant))
        )
        self.assertGreater(used_limit_share(correct_rig, 2.5, 4.0), 0.85)
        self.assertTrue(correct.passed, correct.notes)
        self.assertGreater(faulty.limit_excess, 0)


class FleetDrill(unittest.TestCase):
    """A short drill with a fixed seed."""

    def test_drill_meets_every_rule(self) -> None:
        figures, findings, _ = asyncio.run(drill.run(drill.Options(11, 16.0)))
        self.assertTrue(drill.passed(figures, findings), (figures, findings.notes))
