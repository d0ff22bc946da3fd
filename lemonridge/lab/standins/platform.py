"""Stand-ins for the platform on loopback: disk nodes and discovery, as PROTOCOL specifies them.

A disk node ("Brokers to disk nodes") holds one shard and runs a request on one of its cores once the last
byte has arrived. It rejects a request for another shard, or beyond its queue, without running it (503 with
`X-Not-Run: 1`). Discovery ("Discovery") answers `GET /api/targets` with the whole list, and a watch
(`?after=SEQ&wait_ms=MS`) with the changes since SEQ, or with no changes when the wait has expired.
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

MAX_WATCH_MS = 60_000  # longest wait of a watch (PROTOCOL)
RESPONSE_BODY = b"x" * 64


async def listen(
    serve: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], port: int
) -> tuple[web.ServerRunner, int]:
    """Starts aiohttp's low-level server on loopback.

    Args:
        serve: Handler of all requests.
        port: Port to listen on; 0 for a free one.

    Returns:
        The server's runner and its port.
    """
    runner = web.ServerRunner(web.Server(serve))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner, runner.addresses[0][1]


@dataclass
class DiskNode:
    """One disk node: `cores` requests run at once, `queue` more wait, and further ones are rejected.

    The duration of a request is exponentially distributed with mean `work_ms`. If `mean_request_units` is
    set, the mean is `work_ms` times the request's units (`?units=` in the query) divided by
    `mean_request_units`, as in the model's nodes.

    Attributes:
        name: Name of the node.
        shard: Shard that the node holds.
        cores: Number of requests that run at once.
        queue: Number of requests that wait beyond those.
        work_ms: Mean duration of a request, in milliseconds.
        seed: Seed of the random draws.
        mean_request_units: Mean size of a request in units; 0 for durations that do not depend on the size.
        stall_s: Additional delay of each request before it runs, in seconds, to simulate a pausing node.
        born_ms: Wall-clock time of the latest start, announced by discovery; 0 for unknown.
        port: Port of the node, once started.
        served: Number of requests that were answered with 200.
        turned_away: Number of requests that were rejected.
        running: Number of running and waiting requests.
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
        """Starts to listen, at the same port as before if the node was already started once."""
        self._random, self._cores = Random(self.seed), asyncio.Semaphore(self.cores)
        self._runner, self.port = await listen(self._serve, self.port)
        return self

    async def stop(self) -> None:
        """Stops listening."""
        await self._runner.cleanup()

    def discovery_entry(self, health: str = "up") -> dict[str, Any]:
        """Returns the node's entry in discovery's list."""
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
        await request.read()  # a request starts once its last byte has arrived
        placement_header = request.headers.get("X-Placement", "")
        placement = dict(pair.partition("=")[::2] for pair in placement_header.split(","))
        shard = int(placement.get("shard", "-1") or -1)
        units = request.query.get("units") or placement.get("units") or "1"  # a broker forwards the query
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
        return web.Response(body=RESPONSE_BODY)


class Discovery:
    """A discovery server; each change raises the sequence number and ends all waiting watches.

    Attributes:
        seq: Current sequence number.
        port: Port of the server, once started.
        entries: Current entries, by name of the node.
    """

    def __init__(self) -> None:
        self.seq, self.port = 1, 0
        self.entries: dict[str, dict[str, Any]] = {}
        self._changes: deque[tuple[int, dict[str, Any]]] = deque(maxlen=256)
        self._updated = asyncio.Condition()
        self._closing = False

    async def start(self) -> Discovery:
        """Starts to listen, at the same port as before if the server was already started once."""
        self._runner, self.port = await listen(self._serve, self.port)
        return self

    async def stop(self) -> None:
        """Stops the server; waiting watches end at once without changes, since the stop waits for them."""
        self._closing = True
        async with self._updated:
            self._updated.notify_all()
        await self._runner.cleanup()

    async def set(self, entry: dict[str, Any]) -> None:
        """Adds or changes an entry; one with `health` "removed" is removed from the whole list."""
        self.seq += 1
        if entry["health"] == "removed":
            self.entries.pop(entry["host"], None)
        else:
            self.entries[entry["host"]] = entry
        self._changes.append((self.seq, entry))
        async with self._updated:
            self._updated.notify_all()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/api/targets":
            return web.Response(status=404)
        try:
            after = int(request.query.get("after", "0"))
            wait_ms = min(MAX_WATCH_MS, int(request.query.get("wait_ms", "0")))
        except ValueError:
            return web.Response(status=400)
        if after and after >= self.seq and wait_ms > 0:
            loop = asyncio.get_running_loop()
            async with self._updated:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(loop.time() + wait_ms / 1000):
                        await self._updated.wait_for(lambda: self.seq > after or self._closing)
        if after and self.seq <= after:
            response: dict[str, Any] = {"seq": self.seq, "whole": False, "hosts": []}
        elif after and self._changes and self._changes[0][0] <= after + 1:
            hosts = [entry for seq, entry in self._changes if seq > after]
            response = {"seq": self.seq, "whole": False, "hosts": hosts}
        else:
            response = {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}
        self.on_entries_written(response["hosts"])
        return web.Response(body=orjson.dumps(response), content_type="application/json")

    def on_entries_written(self, entries: list[dict[str, Any]]) -> None:
        """Called with the entries of each response before it is sent; subclasses may override it."""
