"""Measures a broker's resource usage at 200 and at 3,200 disk nodes, against the last table of STANDING.

A real broker gets the same traffic of the same volumes in both cases; with sixteen times the nodes, discovery
sends sixteen times as many changes. Reads name one of the shards of their volume; writes are of new objects,
which any node accepts. CPU time, memory and descriptors are the operating system's figures; connections and
bytes are counted by the nodes and by discovery.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from aiohttp import web

from lemonridge.lab.load import http
from lemonridge.lab.program import Program
from lemonridge.lab.standins.many_nodes import ManyNodes
from lemonridge.lab.standins.platform import Discovery

FEW, MANY = 200, 3200
RATE = 60.0  # requests a second
VOLUMES, SHARDS_OF_A_VOLUME = 24, 3
WORK_MS = 5.0
CHANGES_S = 1.0 / FEW  # changes a second of each node's health
POLL_INTERVAL_S = 0.1  # between two counts of the open descriptors
MIB, KB = 2**20, 1000


@dataclass(frozen=True, slots=True)
class Usage:
    """The resource usage of one measurement.

    Attributes:
        cpu_s: The broker's CPU time, in seconds.
        peak_mib: The broker's highest resident memory, in MiB.
        descriptors: The most descriptors that the broker had open.
        connections: The connections that the nodes accepted.
        list_bytes: The bytes of discovery's answers.
        served: The fraction of the due requests that were served.
    """

    cpu_s: float
    peak_mib: float
    descriptors: int
    connections: int
    list_bytes: int
    served: float


@dataclass(frozen=True, slots=True)
class Bound:
    """A row of the table: a bound of one figure at MANY nodes.

    Attributes:
        name: The name of the figure in `Usage`.
        bound_of: Returns the bound from the figure at FEW nodes.
        least: Whether the bound is a lower one.
    """

    name: str
    bound_of: Callable[[float], float]
    least: bool = False

    def compare(self, few: Usage, many: Usage) -> dict[str, object]:
        """Returns the figure at FEW and at MANY nodes, with the bound and whether it holds."""
        few_value, many_value = float(getattr(few, self.name)), float(getattr(many, self.name))
        bound = self.bound_of(few_value)
        holds = many_value >= bound if self.least else many_value <= bound
        return {
            "measure": "nodes",
            "what": self.name,
            f"at_{FEW}": round(few_value, 3),
            f"at_{MANY}": round(many_value, 3),
            "bound": round(bound, 3),
            "holds": holds,
        }


MANY_THOUSANDS = MANY / 1000
TABLE = (
    Bound("cpu_s", lambda few: 1.4 * few + 0.02 + 0.12 * MANY_THOUSANDS),
    Bound("peak_mib", lambda few: 1.5 * few + (8 + 4 * MANY_THOUSANDS) * 1e6 / MIB),
    Bound("descriptors", lambda few: 2 * few + 40),
    Bound("connections", lambda few: 2.5 * few + 40),
    Bound("list_bytes", lambda few: 2 * few + 64 * KB + 500 * KB * MANY_THOUSANDS),
    Bound("served", lambda few: 0.85 * few, least=True),
)


class CountingDiscovery(Discovery):
    """Discovery that counts the bytes of its answers.

    Attributes:
        bytes: The number of bytes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.bytes = 0

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request and counts the bytes of the answer."""
        response = await super()._serve(request)
        if isinstance(response, web.Response) and isinstance(response.body, bytes):
            self.bytes += len(response.body)
        return response


async def measure_usage(count: int, seconds: float, seed: int) -> Usage:
    """Measures one broker with `count` nodes."""
    nodes, discovery = await ManyNodes(count, WORK_MS, seed).start(), CountingDiscovery()
    await discovery.start()
    for number in range(count):
        await discovery.set(nodes.discovery_entry(number))
    with TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "nodes",
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{discovery.port}",
                    "seed": f"{seed:016x}",
                    "known": {},
                    "settings": http.settings_document(count, 1500),
                    "limits": {"sockets": 2048},
                }
            )
        )
        program = Program("serve", environment={"ROUTER_CONFIG": str(config)})
        port = await program.start()
        try:
            await http.wait_until_ready(port)
            return await _measure(program, port, nodes, discovery, seconds, seed)
        finally:
            await program.stop()
            nodes.stop()
            await discovery.stop()


async def _measure(
    program: Program, port: int, nodes: ManyNodes, discovery: CountingDiscovery, seconds: float, seed: int
) -> Usage:
    """Loads the broker while nodes drain and return, and measures its usage."""
    random = Random(seed)
    table = tuple(
        (1.0, tuple(random.randrange(nodes.count) for _ in range(SHARDS_OF_A_VOLUME))) for _ in range(VOLUMES)
    )
    plan = http.LoadPlan(port, RATE, seconds, volume_table=table, new_objects=True, seed=seed)
    cpu_s, list_bytes, connections = program.cpu_s, discovery.bytes, nodes.connections
    highest_count = [0]
    used_shards = {shard for _, shards in table for shard in shards}
    background = (
        asyncio.create_task(_change_health(nodes, discovery, used_shards, seed)),
        asyncio.create_task(_watch_descriptors(program.process.pid, highest_count)),
    )
    try:
        tally = await http.run(plan)
    finally:
        for task in background:
            task.cancel()
    return Usage(
        program.cpu_s - cpu_s,
        _peak_mib(program.process.pid),
        highest_count[0],
        nodes.connections - connections,
        discovery.bytes - list_bytes,
        tally.served / max(1, tally.due),
    )


async def _change_health(nodes: ManyNodes, discovery: Discovery, excluded: set[int], seed: int) -> None:
    """Drains random nodes and returns them, one after another, except the nodes with the volumes' data."""
    random = Random(f"{seed}/changes")
    candidates = [number for number in range(nodes.count) if number not in excluded]
    while True:
        number = random.choice(candidates)
        for health in ("draining", "up"):
            await asyncio.sleep(1.0 / (CHANGES_S * nodes.count))
            await discovery.set(nodes.discovery_entry(number, health))


async def _watch_descriptors(pid: int, highest_count: list[int]) -> None:
    """Stores the highest number of open descriptors of a process in `highest_count[0]`."""
    while True:
        highest_count[0] = max(highest_count[0], len(os.listdir(f"/proc/{pid}/fd")))
        await asyncio.sleep(POLL_INTERVAL_S)


def _peak_mib(pid: int) -> float:
    """Returns the highest resident memory of a process, in MiB."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


def figures(seconds: float, seed: int) -> list[dict[str, object]]:
    """Measures at FEW and at MANY nodes, one after the other; returns the rows of the table."""
    few, many = (asyncio.run(measure_usage(count, seconds, seed)) for count in (FEW, MANY))
    return [bound.compare(few, many) for bound in TABLE]
