"""The model against the real program: one deployment in both, their figures side by side, within bounds.

The deployment is small enough for one machine: one broker before `nodes` stand-in disk nodes of two cores, a
queue of 64 and exponential work of `work_ms` a mean request (lab/standins_http.py), each node a shard of its
own, at `load` of what the nodes can do, reads alone, no limits. The model is given the same figures
(`scenario`), and the load tool draws volumes, their shards and units as the model does. What the model leaves
out (the broker's own CPU, loopback, HTTP) costs the real program time: the bounds say how much is allowed.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from lemonridge.lab.load import http as load_http
from lemonridge.lab.model.spec import ClassSpec, NodeSpec, PlanSpec, Scenario
from lemonridge.lab.model.world import LARGEST_REQUEST_UNITS, MEAN_REQUEST_UNITS, World

CORES, QUEUE, DEADLINE_MS, VOLUMES = 2, 64, 1500, 16
# Allowed differences: the real path adds its own time to every request, a few milliseconds on loopback.
SHARE_GAP = 0.02  # of requests served
P50_PART, P50_MS = 0.15, 8.0  # of the model's median, and milliseconds more
P99_PART, P99_MS = 0.30, 15.0


@dataclass(frozen=True, slots=True)
class Comparison:
    """One figure: the model's, the program's, and whether they lie within the bound."""

    name: str
    model: float
    real: float
    bound: float

    @property
    def within_bound(self) -> bool:
        return abs(self.real - self.model) <= self.bound


def scenario(nodes: int, work_ms: float, load: float, seconds: float) -> Scenario:
    """The model's form of the deployment."""
    return Scenario(
        name="validate",
        seconds=seconds,
        load=load,
        brokers=1,
        hosts=1,
        volumes=VOLUMES,
        retries=0,
        delay_ms=(0.02, 0.05),
        register_ms=(0.0, 0.0),
        nodes=NodeSpec(
            count=nodes, cores=CORES, queue=QUEUE, slowest=1.0, fastest=1.0, ramp_s=0, slow_start_units=1e6
        ),
        classes=[
            ClassSpec(
                name="read",
                share=1.0,
                work_ms=work_ms,
                aim_ms=DEADLINE_MS,
                deadline_ms=DEADLINE_MS,
                law="exponential",
            )
        ],
        plans=[PlanSpec(name="priority", share=1.0, rate=1e6)],
    )


def in_model(chosen: Scenario, seed: int) -> dict[str, float]:
    """Served share, p50 and p99 in milliseconds, of one run of the model."""
    figures = World(chosen, seed).run().figures()
    asked = max(1.0, float(figures["asked"]))
    return {"served": figures["in_time"] / asked, "p50_ms": figures["p50_ms"], "p99_ms": figures["p99_ms"]}


async def on_sockets(chosen: Scenario, seed: int) -> dict[str, float]:
    """The same figures of the real program before stand-ins of the same parameters."""
    nodes = chosen.nodes.count
    table = tuple((volume.weight, tuple(volume.shards)) for volume in World(chosen, seed).volumes)
    async with load_http.running_broker(
        nodes,
        shards=nodes,
        deadline_ms=DEADLINE_MS,
        seed=seed,
        cores=CORES,
        queue=QUEUE,
        work_ms=chosen.classes[0].work_ms,
        mean_request_units=MEAN_REQUEST_UNITS,
    ) as (_, port, _):
        plan = load_http.LoadPlan(
            port,
            chosen.rate(),
            chosen.seconds,
            classes=(("read", False),),
            shards=nodes,
            largest_request_units=LARGEST_REQUEST_UNITS,
            volume_table=table,
            deadline_ms=DEADLINE_MS,
            seed=seed,
        )
        tally = await load_http.run(plan)
    times = tally.times["read"]
    return {
        "served": tally.served / max(1, tally.due),
        "p50_ms": times.get_value_at_percentile(50) / 1000,
        "p99_ms": times.get_value_at_percentile(99) / 1000,
    }


def compare(model: dict[str, float], real: dict[str, float]) -> list[Comparison]:
    """Each figure with its bound."""
    return [
        Comparison("served", model["served"], real["served"], SHARE_GAP),
        Comparison("p50_ms", model["p50_ms"], real["p50_ms"], P50_PART * model["p50_ms"] + P50_MS),
        Comparison("p99_ms", model["p99_ms"], real["p99_ms"], P99_PART * model["p99_ms"] + P99_MS),
    ]


def validate(nodes: int, work_ms: float, load: float, seconds: float, seed: int) -> list[Comparison]:
    """Both runs, and their rows."""
    chosen = scenario(nodes, work_ms, load, seconds)
    return compare(in_model(chosen, seed), asyncio.run(on_sockets(chosen, seed)))
