"""An open-loop generator of the platform's requests (PROTOCOL, "Clients to brokers"), and a broker for it.

Latencies count from the time at which a request was due, even if it was sent later (see `openloop`). A stall
of the server thus shows in the latency of every request that was due meanwhile, not only in one request per
connection. Each connection carries one request at a time; while all are busy, a new one is opened, up to
`connections`.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

import aiohttp

from lemonridge.lab.load.openloop import Tally, open_loop
from lemonridge.lab.program import Program, ProgramError
from lemonridge.lab.standins.platform import Discovery, DiskNode

READY_TIMEOUT_S = 30.0  # covers the first list, and the first lease when 32 brokers start at once


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The load to generate; class, volume and shard of each request are drawn at random.

    Attributes:
        port: Port of the broker.
        rate: Requests per second.
        seconds: Duration in seconds.
        classes: Names of the classes, and whether they write. A write is a `PUT` with an idempotency key and
            a body of 64 bytes per unit.
        plan: Plan of all volumes.
        volumes: Number of volumes.
        shards: Number of shards.
        units: Size of each request, unless `largest_request_units` is set.
        largest_request_units: If not 0, sizes are drawn evenly from 1 to this.
        volume_table: If not empty, the weight and the shards of each volume. A volume is drawn by weight, and
            the shard among its own shards, as in the model.
        deadline_ms: Deadline of each request.
        arrivals: Distribution of the arrivals: `poisson`, `even` or `bursty`.
        connections: Largest number of connections.
        outstanding: Largest number of open requests; a request beyond it is counted as unsent.
        new_objects: Whether writes name no shard, so that any node may take them.
        seed: Seed of the draws.
    """

    port: int
    rate: float
    seconds: float
    classes: tuple[tuple[str, bool], ...] = (("read", False), ("new-write", True))
    plan: str = "priority"
    volumes: int = 16
    shards: int = 2
    units: int = 2
    largest_request_units: int = 0
    volume_table: tuple[tuple[float, tuple[int, ...]], ...] = ()
    deadline_ms: int = 1500
    arrivals: str = "poisson"
    connections: int = 64
    outstanding: int = 2000
    new_objects: bool = False
    seed: int = 1


def build_headers(
    plan: LoadPlan, number: int, cls: str, writes: bool, volume: int, shard: int, units: int
) -> dict[str, str]:
    """Returns the headers of one request, with an id of its own as PROTOCOL requires."""
    request_headers = {
        "X-Request-Id": f"{plan.seed & 0xFFFFFFFF:08x}{number:08x}",
        "X-Class": cls,
        "X-Qos-Policy": plan.plan,
        "X-Deadline-Ms": str(plan.deadline_ms),
        "X-Placement": f"units={units},shard={shard},hosts=1",
    }
    if writes:
        request_headers["Idempotency-Key"] = f"{volume:x}-{number:x}"
    return request_headers


async def run(plan: LoadPlan, progress: Callable[[str], None] = lambda text: None) -> Tally:
    """Generates the load and waits until every request has ended.

    Args:
        plan: The load.
        progress: Called with one line of text per second.

    Returns:
        The counts, and the latencies of served requests by class. Responses 429 and 503 count as refused
        (PROTOCOL's table of answers).
    """
    loop, random = asyncio.get_running_loop(), Random(plan.seed)
    tally = Tally(tuple(name for name, _ in plan.classes))
    connector = aiohttp.TCPConnector(limit=plan.connections)
    patience_s = plan.deadline_ms / 1000 + 1.0  # a client's deadline and one second more
    async with aiohttp.ClientSession(f"http://127.0.0.1:{plan.port}", connector=connector) as session:

        async def send_request(
            due: float, number: int, cls: str, writes: bool, volume: int, shard: int, units: int
        ) -> None:
            path = f"/{cls}/{volume:016x}/{number:016x}?units={units}"
            body = b"w" * (64 * units) if writes else None
            try:
                async with asyncio.timeout_at(due + patience_s):
                    request_headers = build_headers(plan, number, cls, writes, volume, shard, units)
                    method = "PUT" if writes else "GET"
                    async with session.request(method, path, data=body, headers=request_headers) as response:
                        await response.read()
                        status = response.status
            except (aiohttp.ClientError, TimeoutError):
                tally.lost += 1
                return
            if status == 200:
                tally.record_served(cls, due, loop.time())
            elif status in (429, 503):
                tally.refused += 1
            else:
                tally.failed += 1

        def draw(due: float, number: int) -> Coroutine[Any, Any, None]:
            cls, writes = random.choice(plan.classes)
            volume, shard = _draw_volume(plan, random)
            shard = -1 if writes and plan.new_objects else shard
            units = (
                1 + random.randrange(plan.largest_request_units) if plan.largest_request_units else plan.units
            )
            return send_request(due, number, cls, writes, volume, shard, units)

        await open_loop(
            tally, plan.rate, plan.arrivals, plan.seconds, plan.outstanding, random, draw, progress
        )
    return tally


def _draw_volume(plan: LoadPlan, random: Random) -> tuple[int, int]:
    """Draws the number of a volume, from 1, and a shard."""
    if not plan.volume_table:
        return 1 + random.randrange(plan.volumes), random.randrange(plan.shards)
    number = random.choices(range(len(plan.volume_table)), [weight for weight, _ in plan.volume_table])[0]
    return 1 + number, random.choice(plan.volume_table[number][1])


def settings_document(shards: int, deadline_ms: int) -> dict[str, Any]:
    """Returns the settings of a small site: a read class and a keyed write class, in PROTOCOL's format.

    Args:
        shards: Number of shards.
        deadline_ms: Deadline and latency objective of both classes.
    """
    class_defaults = {
        "aim-us": deadline_ms * 1000,
        "deadline-us": deadline_ms * 1000,
        "gain": 2.0,
        "memory-span-us": 3_000_000,
    }
    return {
        "fleet-size": 1,
        "discovery": "push",
        "tick-us": 2000,
        "azs": ["hall-a"],
        "classes": [
            {**class_defaults, "group": "all", "name": "read", "semantics": "repeatable"},
            {**class_defaults, "group": "cell", "name": "new-write", "semantics": "by_key"},
        ],
        "grades": [
            {
                "base-rate": 2000.0,
                "burst": 0.0,
                "cap": 0.0,
                "guaranteed": 2000.0,
                "limit-slack": 0.0,
                "name": "priority",
                "weight": 1.0,
                "worth-factor": 1.0,
            }
        ],
        "family-info": {
            "class-writes": [False, True],
            "cold-units": 1000.0,
            "meter-us": 0,
            "n-shards": shards,
            "tells-elsewhere": False,
            "unit-mean": 2.0,
            "units-top": 6,
        },
        "limits": {
            "cancelling": True,
            "connect-timeout-us": 250000,
            "keepalive-us": 15000000,
            "max-attempts": 4,
            "max-retry-after-us": 500000,
            "retry-after": True,
        },
        "rules": {
            "cold-share": 0.2,
            "drain-grace-us": 500000,
            "fall-us": 1000000,
            "ramp-time-us": 1000000,
            "tip-multiple": 2.5,
        },
    }


@asynccontextmanager
async def running_broker(
    count: int,
    shards: int = 2,
    deadline_ms: int = 1500,
    seed: int = 1,
    *,
    cores: int = 2,
    queue: int = 64,
    work_ms: float = 2.0,
    mean_request_units: float = 0.0,
) -> AsyncGenerator[tuple[Program, int, list[DiskNode]], None]:
    """Runs a broker with stand-in nodes and discovery until the block ends.

    Args:
        count: Number of nodes; node n holds shard n modulo `shards`.
        shards: Number of shards.
        deadline_ms: Deadline and latency objective of both classes.
        seed: Seed of the nodes and the broker.
        cores: Cores of each node.
        queue: Length of each node's queue.
        work_ms: Mean duration of a request on a node.
        mean_request_units: Mean size of a request, as in `DiskNode`.

    Yields:
        The program, its port and the nodes, once the broker is ready.

    Raises:
        ProgramError: The broker does not start, become ready or stop.
    """
    discovery = await Discovery().start()
    nodes = [
        await DiskNode(f"s-{n}", n % shards, cores, queue, work_ms, seed + n, mean_request_units).start()
        for n in range(count)
    ]
    try:
        for node in nodes:
            await discovery.set(node.discovery_entry())
        with TemporaryDirectory() as folder:
            config = Path(folder) / "config.json"
            config.write_text(
                json.dumps(
                    {
                        "name": "load",
                        "listen": "127.0.0.1:0",
                        "discovery": f"127.0.0.1:{discovery.port}",
                        "seed": f"{seed:016x}",
                        "known": {},
                        "settings": settings_document(shards, deadline_ms),
                        "limits": {"sockets": 1024},
                    }
                )
            )
            program = Program("serve", environment={"ROUTER_CONFIG": str(config)})
            try:
                port = await program.start()
                await wait_until_ready(port)
                yield program, port, nodes
                await program.stop()
            finally:
                if program.process.returncode is None:
                    program.process.kill()
                    await program.process.wait()
    finally:
        for node in nodes:
            await node.stop()
        await discovery.stop()


async def wait_until_ready(port: int) -> None:
    """Waits until `GET /-/ready` answers 200.

    Raises:
        ProgramError: The broker is not ready within READY_TIMEOUT_S.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + READY_TIMEOUT_S
    async with aiohttp.ClientSession() as session:
        while loop.time() < give_up_at:
            try:
                async with session.get(f"http://127.0.0.1:{port}/-/ready") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.02)
    raise ProgramError(f"the broker was not ready within {READY_TIMEOUT_S:g} s")
