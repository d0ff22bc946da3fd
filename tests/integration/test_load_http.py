"""The platform's load tool with the real program and stand-in nodes: its counts and its open-loop load."""

from __future__ import annotations

import asyncio
import unittest

from lemonridge.lab.load import http as load_http
from lemonridge.lab.standins.platform import Discovery, DiskNode

STALL_S = 0.4
LONG_DEADLINE_MS = 20_000  # longer than any delay of the machine


class LoadGenerator(unittest.IsolatedAsyncioTestCase):
    async def test_every_due_request_is_counted_once(self) -> None:
        """A delay of the machine may exceed the latency objective; attempts are then cancelled and repeated.

        The nodes' executions are therefore the served requests and at most the cancelled attempts.
        """
        async with load_http.running_broker(2, deadline_ms=LONG_DEADLINE_MS, seed=3) as (
            program,
            port,
            nodes,
        ):
            tally = await load_http.run(
                load_http.LoadPlan(port, 150, 1.0, deadline_ms=LONG_DEADLINE_MS, seed=3)
            )
        total = tally.served + tally.refused + tally.failed + tally.lost + tally.unsent
        self.assertEqual((total, tally.failed, tally.lost), (tally.due, 0, 0))
        counters = program.counters
        self.assertEqual(tally.served, counters["answers.served"])
        self.assertEqual(tally.refused, counters.get("answers.rejected", 0))
        self.assertEqual(counters["attempts.ok"], counters["answers.served"])
        executions = sum(node.served for node in nodes)
        cancelled = counters.get("attempts.cancelled", 0) + counters.get("attempts.timeout", 0)
        self.assertIn(executions - tally.served, range(cancelled + 1))

    async def test_stall_of_a_node_delays_all_requests_due_meanwhile(self) -> None:
        """Guards against coordinated omission.

        A generator that waits for responses would record only four slow requests, one for each connection.
        """
        rate, seconds = 100, 1.2
        async with load_http.running_broker(1, seed=5) as (_, port, nodes):
            plan = load_http.LoadPlan(port, rate, seconds, shards=1, connections=4, arrivals="even", seed=5)
            loop = asyncio.get_running_loop()
            loop.call_at(loop.time() + 0.3, setattr, nodes[0], "stall_s", STALL_S)
            loop.call_at(loop.time() + 0.3 + STALL_S, setattr, nodes[0], "stall_s", 0.0)
            tally = await load_http.run(plan)
        slow = sum(
            histogram.get_total_count() - _count_below(histogram, STALL_S / 4)
            for histogram in tally.times.values()
        )
        self.assertGreaterEqual(slow, rate * STALL_S / 4)  # a quarter of the requests due in the stall
        self.assertEqual(tally.served, tally.due)


def _count_below(histogram: object, seconds: float) -> int:
    """Returns the number of recorded times below `seconds`."""
    total = 0
    for item in histogram.get_recorded_iterator():  # type: ignore[attr-defined]
        if item.value_iterated_to < seconds * 1e6:
            total += item.count_at_value_iterated_to
    return total


class StandIns(unittest.IsolatedAsyncioTestCase):
    async def test_discovery_watch_returns_a_change_and_a_node_rejects_another_shard(self) -> None:
        import aiohttp

        discovery = await Discovery().start()
        node = await DiskNode("s-0", 0).start()
        self.addAsyncCleanup(discovery.stop)
        self.addAsyncCleanup(node.stop)
        await discovery.set(node.discovery_entry())
        base = f"http://127.0.0.1:{discovery.port}/api/targets"
        async with aiohttp.ClientSession() as session:
            async with session.get(base) as response:
                full_list = await response.json()
            self.assertEqual(
                (full_list["whole"], [entry["host"] for entry in full_list["hosts"]]), (True, ["s-0"])
            )
            watch = asyncio.create_task(session.get(f"{base}?after={full_list['seq']}&wait_ms=20000"))
            await asyncio.sleep(0)
            await discovery.set(node.discovery_entry("draining"))
            change = await (await watch).json()
            self.assertEqual((change["whole"], change["hosts"][0]["health"]), (False, "draining"))
            headers = {"X-Request-Id": "1", "X-Placement": "units=1,shard=1,hosts=1"}
            async with session.get(f"http://127.0.0.1:{node.port}/read/1/1", headers=headers) as response:
                self.assertEqual((response.status, response.headers.get("X-Not-Run")), (503, "1"))
        self.assertEqual((node.served, node.turned_away), (0, 1))


class ModelValidation(unittest.TestCase):
    def test_figure_outside_its_bound_is_not_held(self) -> None:
        from lemonridge.lab.measure import validate

        model = {"served": 0.99, "p50_ms": 100.0, "p99_ms": 400.0}
        within = {"served": 0.98, "p50_ms": 120.0, "p99_ms": 500.0}
        outside = {"served": 0.90, "p50_ms": 140.0, "p99_ms": 600.0}
        self.assertTrue(all(row.within_bound for row in validate.compare(model, within)))
        self.assertEqual(
            [row.within_bound for row in validate.compare(model, outside)], [False, False, False]
        )

    def test_load_draws_volumes_and_shards_by_the_table_of_the_model(self) -> None:
        from random import Random

        from lemonridge.lab.load.http import LoadPlan, _draw_volume

        plan = LoadPlan(1, 1.0, 1.0, volume_table=((3.0, (0, 1)), (1.0, (2,))))
        random = Random(4)
        drawn = [_draw_volume(plan, random) for _ in range(4000)]
        self.assertEqual({shard for volume, shard in drawn if volume == 2}, {2})
        self.assertEqual({shard for volume, shard in drawn if volume == 1}, {0, 1})
        self.assertAlmostEqual(sum(volume == 1 for volume, _ in drawn) / len(drawn), 0.75, delta=0.03)
