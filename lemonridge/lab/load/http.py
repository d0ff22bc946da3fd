"""An open-loop generator of the platform's requests (PROTOCOL, "Clients to brokers"), and a broker for it.

As in `load`, a request's time counts from when it was due, sent then or not: a server that stalls shows in
the tail with every request that came meanwhile, not with one a connection. Connections are held as clients
hold them: one request at a time on each, a new one while all are busy, up to `connections`.
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

READY_TIMEOUT_S = 30.0  # for the first list, and for the first lease where 32 start at once


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """`rate` requests a second for `seconds`; each of a class at random, of `volumes`, for a shard at random.

    A class is (name, writes): a write is a `PUT` with a body of `units` times 64 bytes and an idempotency
    key. Where `largest_request_units` is set, units are drawn evenly from 1 to it. Where `table` holds
    volumes as (weight, shards), a volume is drawn by weight and its shard among its own, as the model draws
    them.
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
    outstanding: int = 2000  # past it a request is not sent, and counted so
    new_objects: bool = False  # writes name no shard: any node takes them
    seed: int = 1


def build_headers(
    plan: LoadPlan, number: int, cls: str, writes: bool, volume: int, shard: int, units: int
) -> dict[str, str]:
    """The headers of one request; its id is new with each, as PROTOCOL asks."""
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
    """Send what is due, and wait for what is out; `say` gets a line a second. Times are of served requests,
    by class; 429 and 503 are refusals (PROTOCOL's table of answers).
    """
    loop, random = asyncio.get_running_loop(), Random(plan.seed)
    tally = Tally(tuple(name for name, _ in plan.classes))
    connector = aiohttp.TCPConnector(limit=plan.connections)
    patience_s = plan.deadline_ms / 1000 + 1.0  # what a client would wait, and a second more
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
    """A volume, from 1, and its shard."""
    if not plan.volume_table:
        return 1 + random.randrange(plan.volumes), random.randrange(plan.shards)
    number = random.choices(range(len(plan.volume_table)), [weight for weight, _ in plan.volume_table])[0]
    return 1 + number, random.choice(plan.volume_table[number][1])


def settings_document(shards: int, deadline_ms: int) -> dict[str, Any]:
    """The settings of a small site for the stand-ins: a read and a keyed write, each aiming at its end."""
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
    """The broker on the platform's front before `count` stand-in nodes (node n holds shard n modulo `shards`)
    and discovery, ready; its port and the nodes, until the block ends, when it is stopped (ProgramError if it
    does not end well).
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
    """Until `GET /-/ready` answers 200; ProgramError after READY_S."""
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
    raise ProgramError(f"not ready in {READY_TIMEOUT_S:g} s")
