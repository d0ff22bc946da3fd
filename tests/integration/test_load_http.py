"""The platform's load tool before the real program and stand-in nodes: what it counts; that it is open."""

from __future__ import annotations

import asyncio
import unittest

from lemonridge.lab.load import http as load_http
from lemonridge.lab.standins.platform import Discovery, DiskNode

STALL_S = 0.4
PATIENT_MS = 20_000  # a deadline that no pause of the machine reaches


class Load(unittest.IsolatedAsyncioTestCase):
    async def test_every_request_that_is_due_is_counted_once(self) -> None:
        """The machine may pause for longer than a request's aim, so an attempt may be cut and sent again: the
        nodes' runs are then those answered and, of those cut, what ran on."""
        async with load_http.running_broker(2, deadline_ms=PATIENT_MS, seed=3) as (program, port, nodes):
            tally = await load_http.run(load_http.LoadPlan(port, 150, 1.0, deadline_ms=PATIENT_MS, seed=3))
        ends = tally.served + tally.refused + tally.failed + tally.lost + tally.unsent
        self.assertEqual((ends, tally.failed, tally.lost), (tally.due, 0, 0))
        told = program.counters
        self.assertEqual(tally.served, told["answers.served"])
        self.assertEqual(tally.refused, told.get("answers.rejected", 0))
        self.assertEqual(told["attempts.ok"], told["answers.served"])
        ran = sum(node.served for node in nodes)
        cut = told.get("attempts.cancelled", 0) + told.get("attempts.timeout", 0)
        self.assertIn(ran - tally.served, range(cut + 1))

    async def test_a_stalled_node_shows_in_the_tail_with_all_that_came_meanwhile(self) -> None:
        """Coordinated omission: a generator that waited for answers would show four, one a connection."""
        rate, seconds = 100, 1.2
        async with load_http.running_broker(1, seed=5) as (_, port, nodes):
            plan = load_http.LoadPlan(port, rate, seconds, shards=1, connections=4, arrivals="even", seed=5)
            loop = asyncio.get_running_loop()
            loop.call_at(loop.time() + 0.3, setattr, nodes[0], "stall_s", STALL_S)
            loop.call_at(loop.time() + 0.3 + STALL_S, setattr, nodes[0], "stall_s", 0.0)
            tally = await load_http.run(plan)
        slow = sum(held.get_total_count() - _below(held, STALL_S / 4) for held in tally.times.values())
        self.assertGreaterEqual(slow, rate * STALL_S / 4)  # a quarter of what came in the stall, at the least
        self.assertEqual(tally.served, tally.due)


def _below(held: object, seconds: float) -> int:
    """How many recorded times lie under `seconds`."""
    total = 0
    for item in held.get_recorded_iterator():  # type: ignore[attr-defined]
        if item.value_iterated_to < seconds * 1e6:
            total += item.count_at_value_iterated_to
    return total


class Standins(unittest.IsolatedAsyncioTestCase):
    async def test_discovery_watch_ends_with_a_change_and_a_node_turns_away_another_shard(self) -> None:
        import aiohttp

        discovery = await Discovery().start()
        node = await DiskNode("s-0", 0).start()
        self.addAsyncCleanup(discovery.stop)
        self.addAsyncCleanup(node.stop)
        await discovery.set(node.discovery_entry())
        base = f"http://127.0.0.1:{discovery.port}/api/targets"
        async with aiohttp.ClientSession() as session:
            async with session.get(base) as got:
                whole = await got.json()
            self.assertEqual((whole["whole"], [row["host"] for row in whole["hosts"]]), (True, ["s-0"]))
            watch = asyncio.create_task(session.get(f"{base}?after={whole['seq']}&wait_ms=20000"))
            await asyncio.sleep(0)
            await discovery.set(node.discovery_entry("draining"))
            told = await (await watch).json()
            self.assertEqual((told["whole"], told["hosts"][0]["health"]), (False, "draining"))
            headers = {"X-Request-Id": "1", "X-Placement": "units=1,shard=1,hosts=1"}
            async with session.get(f"http://127.0.0.1:{node.port}/read/1/1", headers=headers) as got:
                self.assertEqual((got.status, got.headers.get("X-Not-Run")), (503, "1"))
        self.assertEqual((node.served, node.turned_away), (0, 1))


class Validation(unittest.TestCase):
    def test_a_figure_outside_its_bound_is_not_held(self) -> None:
        from lemonridge.lab.measure import validate

        model = {"served": 0.99, "p50_ms": 100.0, "p99_ms": 400.0}
        near = {"served": 0.98, "p50_ms": 120.0, "p99_ms": 500.0}
        far = {"served": 0.90, "p50_ms": 140.0, "p99_ms": 600.0}
        self.assertTrue(all(row.within_bound for row in validate.compare(model, near)))
        self.assertEqual([row.within_bound for row in validate.compare(model, far)], [False, False, False])

    def test_the_load_draws_volumes_and_shards_as_the_models_table_says(self) -> None:
        from random import Random

        from lemonridge.lab.load.http import LoadPlan, _draw_volume

        plan = LoadPlan(1, 1.0, 1.0, volume_table=((3.0, (0, 1)), (1.0, (2,))))
        random = Random(4)
        drawn = [_draw_volume(plan, random) for _ in range(4000)]
        self.assertEqual({shard for volume, shard in drawn if volume == 2}, {2})
        self.assertEqual({shard for volume, shard in drawn if volume == 1}, {0, 1})
        self.assertAlmostEqual(sum(volume == 1 for volume, _ in drawn) / len(drawn), 0.75, delta=0.03)
