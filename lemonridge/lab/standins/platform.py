"""Stand-ins of the platform's side, on loopback: disk nodes and discovery as PROTOCOL tells them.

A disk node ("Brokers to disk nodes") holds one shard, runs a request on one of its cores once its last byte
has come, and turns away unrun (503 with `X-Not-Run: 1`) what is for another shard or finds its queue full.
Discovery ("Discovery") answers `GET /api/targets` with the whole list, and a watch
(`?after=SEQ&wait_ms=MS`) with the changes since, or with none when its wait is over.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import orjson
from aiohttp import web

WATCH_TOP_MS = 60_000  # PROTOCOL: a watch waits this long at most
BODY = b"x" * 64


async def listen(
    serve: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], port: int
) -> tuple[web.ServerRunner, int]:
    """Aiohttp's low-level server on loopback at `port` (0: the system chooses); its runner and its port."""
    runner = web.ServerRunner(web.Server(serve))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner, runner.addresses[0][1]


@dataclass
class DiskNode:
    """One disk node: `cores` requests run at once, `queue` more wait, the rest are turned away.

    Work takes an exponential time of mean `work_ms`, or, where `mean_request_units` is set, of `work_ms`
    times the request's units (`?units=` of the query) over `mean_request_units`, as the model's nodes do.
    `stall_s` holds every request that comes while it is positive that long before it begins: a node that
    pauses.
    """

    name: str
    shard: int
    cores: int = 2
    queue: int = 64
    work_ms: float = 2.0
    seed: int = 1
    mean_request_units: float = 0.0
    stall_s: float = 0.0
    born_ms: int = 0
    port: int = 0
    served: int = 0
    turned_away: int = 0
    running: int = 0
    _random: Random = field(init=False)
    _cores: asyncio.Semaphore = field(init=False)

    async def start(self) -> DiskNode:
        self._random, self._cores = Random(self.seed), asyncio.Semaphore(self.cores)
        self._runner, self.port = await listen(self._serve, self.port)
        return self

    async def stop(self) -> None:
        await self._runner.cleanup()

    def discovery_entry(self, health: str = "up") -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "a",
            "class": "m",
            "block": self.shard,
            "health": health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path in ("/-/healthy", "/-/load"):
            return web.Response(status=404)
        if "X-Request-Id" not in request.headers:
            return web.Response(status=404)
        await request.read()  # a request begins once its last byte has come
        told = request.headers.get("X-Placement", "")
        placement = dict(part.partition("=")[::2] for part in told.split(","))
        shard = int(placement.get("shard", "-1") or -1)
        units = request.query.get("units") or placement.get("units") or "1"  # a broker passes the query on
        scale = float(units) / self.mean_request_units if self.mean_request_units else 1.0
        if (shard not in (-1, self.shard)) or self.running >= self.cores + self.queue:
            self.turned_away += 1
            return web.Response(status=503, headers={"X-Not-Run": "1"})
        self.running += 1
        try:
            if self.stall_s > 0:
                await asyncio.sleep(self.stall_s)
            async with self._cores:
                await asyncio.sleep(self._random.expovariate(1000 / self.work_ms) * scale)
        finally:
            self.running -= 1
        self.served += 1
        return web.Response(body=BODY)


class Discovery:
    """The list of nodes, with a sequence number that each change raises; watches end at each change."""

    def __init__(self) -> None:
        self.seq, self.port = 1, 0
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed: deque[tuple[int, dict[str, Any]]] = deque(maxlen=256)  # older watchers: the whole list
        self._news = asyncio.Condition()
        self._closing = False

    async def start(self) -> Discovery:
        self._runner, self.port = await listen(self._serve, self.port)
        return self

    async def stop(self) -> None:
        """Watches that wait end at once, with no change: a stop waits for them."""
        self._closing = True
        async with self._news:
            self._news.notify_all()
        await self._runner.cleanup()

    async def set(self, row: dict[str, Any]) -> None:
        """Add or change an entry; `health` "removed" takes it off the whole list."""
        self.seq += 1
        if row["health"] == "removed":
            self.entries.pop(row["host"], None)
        else:
            self.entries[row["host"]] = row
        self._changed.append((self.seq, row))
        async with self._news:
            self._news.notify_all()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/api/targets":
            return web.Response(status=404)
        try:
            after = int(request.query.get("after", "0"))
            wait_ms = min(WATCH_TOP_MS, int(request.query.get("wait_ms", "0")))
        except ValueError:
            return web.Response(status=400)
        if after and after >= self.seq and wait_ms > 0:
            loop = asyncio.get_running_loop()
            async with self._news:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(loop.time() + wait_ms / 1000):
                        await self._news.wait_for(lambda: self.seq > after or self._closing)
        if after and self.seq <= after:
            told: dict[str, Any] = {"seq": self.seq, "whole": False, "hosts": []}
        elif after and self._changed and self._changed[0][0] <= after + 1:
            hosts = [row for seq, row in self._changed if seq > after]
            told = {"seq": self.seq, "whole": False, "hosts": hosts}
        else:
            told = {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}
        self.on_entries_written(told["hosts"])
        return web.Response(body=orjson.dumps(told), content_type="application/json")

    def on_entries_written(self, entries: list[dict[str, Any]]) -> None:
        """These rows are about to be written to a broker."""
