"""What a broker needs at 200 and at 3,200 disk nodes, against the last table of STANDING.

The same traffic of the same volumes comes to a real broker; with sixteen times the nodes discovery tells
sixteen times as many changes. Reads name one of the shards in which their volume's data lies; writes are of
new objects, which any node takes. Processor time, memory and descriptors are the system's figures; the
connections and the bytes are counted by the nodes and by discovery.
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
CHANGES_S = 1.0 / FEW  # changes a second, for each node
LOOK_S = 0.1  # between two looks at the descriptors
MIB, KB = 2**20, 1000


@dataclass(frozen=True, slots=True)
class Usage:
    """What one play needed."""

    cpu_s: float
    peak_mib: float
    descriptors: int
    connections: int
    list_bytes: int
    served: float  # share of what was due


@dataclass(frozen=True, slots=True)
class Bound:
    """A row of the table: the most at `MANY` nodes, of what was needed at `FEW`; of `served` the least."""

    name: str
    at_most: Callable[[float], float]
    least: bool = False

    def row(self, few: Usage, many: Usage) -> dict[str, object]:
        before, after = float(getattr(few, self.name)), float(getattr(many, self.name))
        bound = self.at_most(before)
        holds = after >= bound if self.least else after <= bound
        return {
            "measure": "nodes",
            "what": self.name,
            f"at_{FEW}": round(before, 3),
            f"at_{MANY}": round(after, 3),
            "bound": round(bound, 3),
            "holds": holds,
        }


THOUSANDS = MANY / 1000
TABLE = (
    Bound("cpu_s", lambda few: 1.4 * few + 0.02 + 0.12 * THOUSANDS),
    Bound("peak_mib", lambda few: 1.5 * few + (8 + 4 * THOUSANDS) * 1e6 / MIB),
    Bound("descriptors", lambda few: 2 * few + 40),
    Bound("connections", lambda few: 2.5 * few + 40),
    Bound("list_bytes", lambda few: 2 * few + 64 * KB + 500 * KB * THOUSANDS),
    Bound("served", lambda few: 0.85 * few, least=True),
)


class CountingDiscovery(Discovery):
    """Discovery that counts the bytes of its answers."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes = 0

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await super()._serve(request)
        if isinstance(response, web.Response) and isinstance(response.body, bytes):
            self.bytes += len(response.body)
        return response


async def play(count: int, seconds: float, seed: int) -> Usage:
    """One broker before so many nodes."""
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
    random = Random(seed)
    table = tuple(
        (1.0, tuple(random.randrange(nodes.count) for _ in range(SHARDS_OF_A_VOLUME))) for _ in range(VOLUMES)
    )
    plan = http.LoadPlan(port, RATE, seconds, volume_table=table, new_objects=True, seed=seed)
    cpu_s, list_bytes, connections = program.cpu_s, discovery.bytes, nodes.connections
    most = [0]
    in_use = {shard for _, own in table for shard in own}
    beside = (
        asyncio.create_task(_change(nodes, discovery, in_use, seed)),
        asyncio.create_task(_watch_descriptors(program.process.pid, most)),
    )
    try:
        tally = await http.run(plan)
    finally:
        for task in beside:
            task.cancel()
    return Usage(
        program.cpu_s - cpu_s,
        _peak_mib(program.process.pid),
        most[0],
        nodes.connections - connections,
        discovery.bytes - list_bytes,
        tally.served / max(1, tally.due),
    )


async def _change(nodes: ManyNodes, discovery: Discovery, spared: set[int], seed: int) -> None:
    """Nodes drain and come back, one after another; those that hold the volumes' data stay."""
    random = Random(f"{seed}/changes")
    others = [number for number in range(nodes.count) if number not in spared]
    while True:
        number = random.choice(others)
        for health in ("draining", "up"):
            await asyncio.sleep(1.0 / (CHANGES_S * nodes.count))
            await discovery.set(nodes.discovery_entry(number, health))


async def _watch_descriptors(pid: int, most: list[int]) -> None:
    while True:
        most[0] = max(most[0], len(os.listdir(f"/proc/{pid}/fd")))
        await asyncio.sleep(LOOK_S)


def _peak_mib(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


def figures(seconds: float, seed: int) -> list[dict[str, object]]:
    """The table's rows, of two plays one after the other."""
    few, many = (asyncio.run(play(count, seconds, seed)) for count in (FEW, MANY))
    return [bound.row(few, many) for bound in TABLE]
