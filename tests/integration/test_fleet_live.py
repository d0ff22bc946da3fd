"""Brokers as processes that share budgets, with faults between them: each hard case, and the drill."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

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

SITE = SiteSettings()
SHARDS = (0, 1)
FULL = SITE.limit / 1.5  # requests a second that fill a limit


def hot(where: Callable[[float], int], times: float = 5.0, volume: int = 1) -> VolumeTraffic:
    return VolumeTraffic(volume, "basic", 3, SHARDS, lambda t: times * FULL, where)


async def play(
    seconds: float,
    traffic: list[VolumeTraffic],
    *faults: Fault,
    brokers: int = 3,
    module: Callable[[int], tuple[str, ...]] = lambda n: ("lemonridge",),
    peers: bool = True,
    beside: Callable[[FleetHarness], Awaitable[None]] | None = None,
) -> tuple[FleetHarness, Findings]:
    plan = Schedule(brokers=brokers, nodes=len(SHARDS), seconds=seconds, calm_s=seconds, fault=faults)
    async with running_fleet(brokers, len(SHARDS), 1, SITE, peers, module) as rig:
        clients = Clients([one.port for one in rig.brokers], 1, SITE.deadline_ms)
        tasks = [clients.run(traffic, seconds), rig.run_schedule(plan)]
        if beside is not None:
            tasks.append(beside(rig))  # type: ignore[arg-type]
        await asyncio.gather(*tasks)
        await rig.stop()
    limit = Limit(SITE.limit, SITE.burst, SITE.limit_slack)
    found = check(
        [one for node in rig.nodes for one in node.received],
        clients.requests,
        {1: limit, 2: limit},
        None,
        {one.number: one.discovery.written_entries for one in rig.brokers},
        {one.number: one.outages for one in rig.brokers},
        sum(n.overloads for n in rig.nodes),
        clients.surplus,
    )
    return rig, found


async def both(*runs: Any) -> list[Any]:
    """Two light ones side by side."""
    return await asyncio.gather(*runs)


def share(rig: FleetHarness, begin: float, end: float, volume: int = 1) -> float:
    came = [one for node in rig.nodes for one in node.received]
    return used_rate(came, volume, rig.load_started_at + begin, rig.load_started_at + end) / SITE.limit


class HardCases(unittest.TestCase):
    """Three processes or more, and one thing that goes wrong."""

    def test_without_messages_a_third_of_a_limit_is_used_and_with_them_nearly_all(self) -> None:
        (even, one), (lent, other) = asyncio.run(
            both(play(5.5, [hot(lambda t: 1)], peers=False), play(5.5, [hot(lambda t: 1)]))
        )
        self.assertTrue(one.passed and other.passed, (one.notes, other.notes))
        self.assertLess(share(even, 2.5, 5.5), 0.45)
        self.assertGreater(share(lent, 2.5, 5.5), 0.85)

    def test_a_grant_that_is_lost_on_a_one_way_cut_costs_its_lender_and_no_one_more(self) -> None:
        cut = Fault(kind="one-way", at_s=0.0, for_s=5.0, brokers=(1, 2), to=(0,))  # the answers are lost
        rig, found = asyncio.run(play(9.0, [hot(lambda t: 0)], cut))
        self.assertTrue(found.passed, found.notes)
        self.assertLess(share(rig, 2.5, 5.0), 0.45)  # its own third
        self.assertGreater(share(rig, 7.0, 9.0), 0.85)

    def test_messages_that_come_twice_late_and_spoilt_lend_nothing_twice(self) -> None:
        faults = [
            Fault(kind="double", at_s=0.0, for_s=7.5, brokers=(0, 1, 2), to=(0, 1, 2), share=1.0),
            Fault(kind="reorder", at_s=0.0, for_s=7.5, brokers=(0, 1, 2), to=(0, 1, 2), share=0.3),
            Fault(kind="corrupt", at_s=0.0, for_s=7.5, brokers=(0, 1, 2), to=(0, 1, 2), share=0.2),
            Fault(kind="delay", at_s=2.0, for_s=5.0, brokers=(0, 1, 2), to=(0, 1, 2), ms=(1.0, 300.0)),
        ]
        rig, found = asyncio.run(play(7.5, [hot(lambda t: int(t) % 3), hot(lambda t: 1, volume=2)], *faults))
        self.assertTrue(found.passed, found.notes)
        self.assertGreater(share(rig, 4.0, 7.5, 2), 0.6)
        faults = [
            sum(one.counters[-1].get(f"fleet.not_taken.{name}", 0) for one in rig.brokers)
            for name in ("replayed", "checksum")
        ]
        self.assertTrue(all(faults), faults)

    def test_a_broker_that_goes_on_after_five_seconds_of_stop_has_its_own_part_alone(self) -> None:
        stop = Fault(kind="stop", at_s=3.0, for_s=5.0, brokers=(0,))
        # Demand at 0 alone, which borrows; once it is stopped, at the lenders, which have their parts back.
        rig, found = asyncio.run(
            play(
                10.0,
                [hot(lambda t: 0 if t < 3.2 else 1 + int(t * 1000) % 2), hot(lambda t: 0, volume=2)],
                stop,
            )
        )
        self.assertTrue(found.passed, found.notes)
        self.assertGreater(share(rig, 5.0, 8.0), 0.6)  # 1 and 2 use theirs while it is stopped
        self.assertEqual(rig.brokers[0].counters[-1].get("loop.stopped"), 1)

    def test_clocks_that_are_off_by_the_stated_error_and_by_ten_times_that_pass_no_limit(self) -> None:
        rig, found = asyncio.run(
            play(
                7.0,
                [hot(lambda t: 1 if t < 4 else int(t * 2) % 3)],
                module=lambda n: ("lemonridge.cli.mutant", f"clock={(0, 50, -500)[n]}"),
            )
        )
        self.assertTrue(found.passed, found.notes)
        self.assertGreater(share(rig, 2.8, 4.0), 0.8)

    def test_a_tier_of_twelve_that_starts_at_once_spends_little_and_suspects_no_one(self) -> None:
        async def look(rig: FleetHarness) -> None:
            await asyncio.sleep(1.0)
            bytes_s = rig.network.sent_bytes / 12 / max(1.0, rig.now())
            self.assertLess(bytes_s, 600)
            await asyncio.sleep(6.0)
            told, silent = await fetch_fleet_views(
                Address("127.0.0.1", one.admin_port) for one in rig.brokers
            )
            self.assertEqual((len(told), silent), (12, []))
            states = [m["state"] for view in told for m in view["members"]]  # type: ignore[attr-defined]
            self.assertFalse({"suspect", "dead"} & set(states), states)
            self.assertGreater(states.count("up"), 12 * 11 * 0.7)

        asyncio.run(play(8.0, [], brokers=12, beside=look))

    def test_a_rogue_sender_changes_nothing_and_is_counted(self) -> None:
        async def attack(rig: FleetHarness) -> None:
            await asyncio.sleep(2.0)
            fingerprint = MemberList(("0", "1", "2"), 0).fingerprint
            import time

            now = time.time_ns() // 1_000_000
            told = encode(
                DatagramHeader(1, MemberState.UP, now + 10**9, 9, 1, now),
                [LoanRequest(1, 1, 3, 5, 900_000, 1500), LoanGrant(1, 1, 1, 900_000, 1), Ping(1, 0)],
                fingerprint,
            )
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as rogue:
                to = ("127.0.0.1", rig.network.ports[0])
                for data in (told, told[:20], b"\xb0" * 60, told, told[:4] + b"\xb0" + told[5:]):
                    rogue.sendto(data, to)
            for cut in (told[:-3], told[:4] + b"\xb0" + told[5:], told[:-1] + bytes((told[-1] ^ 1,))):
                rig.network._pass_on(1, 0, cut)  # from where a member is
            rig.network._pass_on(2, 0, told)  # one member in the name of another
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

        rig, found = asyncio.run(play(5.0, [hot(lambda t: 1)], beside=attack))
        self.assertTrue(found.passed, found.notes)

    def test_a_cold_node_is_sent_more_where_the_demand_has_moved_and_does_not_fall(self) -> None:
        even, lent = asyncio.run(both(fleet_cold.measure_once(3, False), fleet_cold.measure_once(3, True)))
        self.assertEqual(even["falls"] + lent["falls"], 0)
        self.assertGreater(lent["sent"], 1.3 * even["sent"], (even, lent))

    def test_a_node_that_died_is_known_to_all_by_what_two_have_seen(self) -> None:
        """Two brokers meet the dead node first; each of the others has one try there, and no more."""
        dead = Fault(kind="node-death", at_s=2.0, for_s=1.0, nodes=(0,))
        witnesses = [
            VolumeTraffic(100 + n, "priority", 1, (0,), lambda t: 12.0, lambda t, n=n: n) for n in range(2)
        ]
        # After the witnesses' reports, and less before the node's return than the pause between tries.
        bursts = [
            VolumeTraffic(
                100 + n, "priority", 1, (0,), lambda t: 100.0 if 2.75 < t < 2.87 else 0.0, lambda t, n=n: n
            )
            for n in range(2, 5)
        ]
        runs = asyncio.run(
            both(*(play(4.5, witnesses + bursts, dead, brokers=5, peers=one) for one in (False, True)))
        )
        for rig, found in runs:
            self.assertEqual((found.unanswered, found.late_sends), (0, 0), found.notes)
            taken = [one.counters[-1].get("requests.taken", 0) for one in rig.brokers[2:]]
            self.assertGreater(min(taken), 1, taken)
        alone, told = (
            [one.counters[-1].get("attempts.connect_failed", 0) for one in rig.brokers[2:]] for rig, _ in runs
        )
        agreed = [one.counters[-1].get("fleet.judgements.agreed", 0) for one in runs[1][0].brokers[2:]]
        self.assertGreaterEqual(min(agreed), 1, agreed)
        self.assertEqual(told, [1, 1, 1], alone)
        self.assertGreaterEqual(min(alone), 1, alone)


class Planted(unittest.TestCase):
    """The checker finds what is broken, on processes."""

    def test_a_loan_whose_end_is_not_kept_passes_a_limit(self) -> None:
        """All demand is at one broker, which borrows; then links are cut, and it is at all brokers."""
        cut = Fault(kind="cut", at_s=4.0, for_s=5.0, brokers=(0, 1, 2), to=(0, 1, 2))
        demand = [hot(lambda t: 0 if t < 4.0 else int(t * 1000) % 3)]
        mutant = ("lemonridge.cli.mutant", "fleet-fault=keeps-for-ever")
        (sound, held), (_, broken) = asyncio.run(
            both(play(9.0, demand, cut), play(9.0, demand, cut, module=lambda n: mutant))
        )
        self.assertGreater(share(sound, 2.5, 4.0), 0.85)
        self.assertTrue(held.passed, held.notes)
        self.assertGreater(broken.limit_excess, 0)


class Drilled(unittest.TestCase):
    """The drill, in short, on a fixed seed."""

    def test_every_rule_holds(self) -> None:
        figures, found, _ = asyncio.run(drill.run(drill.Options(11, 16.0)))
        self.assertTrue(drill.passed(figures, found), (figures, found.notes))
