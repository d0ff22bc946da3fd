"""Compares the model with the real program: figures of the same deployment in both, within bounds.

The deployment is small enough for one machine: one broker with `nodes` stand-in disk nodes of two cores, a
queue of 64 and exponential service times of `work_ms` for a request of mean size. Each node is a shard of its
own. The load is reads only, without limits, at the fraction `load` of the nodes' capacity. The model has the
same parameters (`scenario`), and the load generator draws volumes, their shards and units as the model does.
The model does not include the broker's CPU time, loopback and HTTP; the bounds allow for them.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from lemonridge.lab.load import http as load_http
from lemonridge.lab.model.spec import ClassSpec, NodeSpec, PlanSpec, Scenario
from lemonridge.lab.model.world import LARGEST_REQUEST_UNITS, MEAN_REQUEST_UNITS, World

CORES, QUEUE, DEADLINE_MS, VOLUMES = 2, 64, 1500, 16
# Allowed differences: the real path adds a few milliseconds on loopback to every request.
SERVED_SHARE_BOUND = 0.02  # difference of the fractions of served requests
P50_RELATIVE_BOUND, P50_BOUND_MS = 0.15, 8.0  # a fraction of the model's median, plus milliseconds
P99_RELATIVE_BOUND, P99_BOUND_MS = 0.30, 15.0


@dataclass(frozen=True, slots=True)
class Comparison:
    """A figure of the model and of the program.

    Attributes:
        name: The name of the figure.
        model: The model's value.
        real: The program's value.
        bound: The allowed difference.
    """

    name: str
    model: float
    real: float
    bound: float

    @property
    def within_bound(self) -> bool:
        """Whether the values differ by at most the bound."""
        return abs(self.real - self.model) <= self.bound


def scenario(nodes: int, work_ms: float, load: float, seconds: float) -> Scenario:
    """Returns the deployment as a scenario of the model."""
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


def run_model(deployment: Scenario, seed: int) -> dict[str, float]:
    """Runs the model; returns the fraction of served requests, and p50 and p99 in milliseconds."""
    figures = World(deployment, seed).run().figures()
    requests = max(1.0, float(figures["asked"]))
    return {"served": figures["in_time"] / requests, "p50_ms": figures["p50_ms"], "p99_ms": figures["p99_ms"]}


async def run_program(deployment: Scenario, seed: int) -> dict[str, float]:
    """Runs the real program with stand-in nodes of the same parameters; returns the same figures."""
    nodes = deployment.nodes.count
    table = tuple((volume.weight, tuple(volume.shards)) for volume in World(deployment, seed).volumes)
    async with load_http.running_broker(
        nodes,
        shards=nodes,
        deadline_ms=DEADLINE_MS,
        seed=seed,
        cores=CORES,
        queue=QUEUE,
        work_ms=deployment.classes[0].work_ms,
        mean_request_units=MEAN_REQUEST_UNITS,
    ) as (_, port, _):
        plan = load_http.LoadPlan(
            port,
            deployment.rate(),
            deployment.seconds,
            classes=(("read", False),),
            shards=nodes,
            largest_request_units=LARGEST_REQUEST_UNITS,
            volume_table=table,
            deadline_ms=DEADLINE_MS,
            seed=seed,
        )
        tally = await load_http.run(plan)
    histogram = tally.times["read"]
    return {
        "served": tally.served / max(1, tally.due),
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
    }


def compare(model: dict[str, float], real: dict[str, float]) -> list[Comparison]:
    """Compares each figure of the model with the program's."""
    return [
        Comparison("served", model["served"], real["served"], SERVED_SHARE_BOUND),
        Comparison(
            "p50_ms", model["p50_ms"], real["p50_ms"], P50_RELATIVE_BOUND * model["p50_ms"] + P50_BOUND_MS
        ),
        Comparison(
            "p99_ms", model["p99_ms"], real["p99_ms"], P99_RELATIVE_BOUND * model["p99_ms"] + P99_BOUND_MS
        ),
    ]


def validate(nodes: int, work_ms: float, load: float, seconds: float, seed: int) -> list[Comparison]:
    """Runs a deployment in the model and on the real program, and compares their figures."""
    deployment = scenario(nodes, work_ms, load, seconds)
    return compare(run_model(deployment, seed), asyncio.run(run_program(deployment, seed)))
