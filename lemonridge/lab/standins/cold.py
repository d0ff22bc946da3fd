"""A disk node of a fleet: it starts cold and falls over under too much, and keeps a log of all that comes.

It has an address for each broker, so that the log says who sent. It follows PROTOCOL ("Brokers to disk
nodes"): a shard, cores, a queue, 503 with `X-Not-Run: 1` for what it will not run. The answer's body is the
request's id, so that a client can tell whether it was made for it. Units and the shard stand in the query,
which a broker passes on.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit


@dataclass(frozen=True, slots=True)
class ReceivedAttempt:
    """One attempt, as its last byte came; `at` is monotonic time."""

    received_at: float
    node: str
    broker: int
    request_id: str
    volume: int
    units: float
    epoch: str = ""  # of the policy that it was sent by, where brokers say so
    head_received_at: float = 0.0  # when its head had come


def _bound(port: int) -> socket.socket:
    """A socket at a port, 0 for any; connects to it are refused for as long as it does not listen."""
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind(("127.0.0.1", port))
    return made


@dataclass
class SlowStartNode:
    """One disk node before `brokers` brokers; a unit takes `unit_ms` of a core when warm."""

    name: str
    shard: int
    brokers: int
    cores: int = 2
    queue: int = 64
    unit_ms: float = 10.0
    slow_start_initial_fraction: float = 0.2
    ramp_s: float = 6.0
    overload_multiple: float = 2.5
    overload_window_s: float = 1.0
    ports: list[int] = field(default_factory=list)
    _kept: list[socket.socket] = field(default_factory=list)  # its addresses, while it is dead
    received: list[ReceivedAttempt] = field(default_factory=list)
    overloads: int = 0
    turned_away: int = 0
    error_share: float = 0.0  # this share of what it runs ends in 500
    seed: int = 1
    alive: bool = False
    active: int = 0
    slow_start_units: float = 0.0  # sent while cold
    _recent: deque[tuple[float, float]] = field(default_factory=deque)
    _recent_units: float = 0.0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _random: Random = field(default_factory=Random)
    cold_started_at: float | None = None
    born_ms: int = 0

    async def start(self, cold: bool = False) -> SlowStartNode:
        """Listen, at the addresses of the last life if there was one."""
        self._random.seed(f"{self.seed}/{self.name}/{self.overloads}")
        self.cold_started_at, self.born_ms = (
            (time.monotonic(), time.time_ns() // 1_000_000) if cold else (None, 0)
        )
        self._recent.clear()
        self._recent_units, self.active, self.alive = 0.0, 0, True
        self._cores = asyncio.Semaphore(self.cores)
        bound, self._kept = self._kept or [_bound(0) for _ in range(self.brokers)], []
        self._listeners = [
            await asyncio.start_server(lambda r, w, n=n: self._serve(n, r, w), sock=one)  # type: ignore[misc]
            for n, one in enumerate(bound)
        ]
        self.ports = [one.getsockname()[1] for one in bound]
        return self

    def kill(self) -> None:
        """Everything that it holds is lost, and its connections are reset. Its addresses stay its own: the
        system would give their ports to others, whose sockets its return would meet.
        """
        self.alive = False
        for listener in self._listeners:
            listener.close()
        self._kept = [_bound(port) for port in self.ports]
        for writer in list(self._writers):
            writer.transport.abort()

    def release_ports(self) -> None:
        """Give up the addresses of a node that is dead for good."""
        for one in self._kept:
            one.close()

    def discovery_entry(self, broker: int, health: str = "up") -> dict[str, Any]:
        """Its entry in the list that this broker is told."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.ports[broker]}",
            "site": "a",
            "class": "m",
            "block": self.shard,
            "health": health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    def warm_up_fraction(self) -> float:
        """Its part of its power."""
        if self.cold_started_at is None:
            return 1.0
        done = (time.monotonic() - self.cold_started_at) / self.ramp_s
        return min(1.0, self.slow_start_initial_fraction + (1 - self.slow_start_initial_fraction) * done)

    def overload_threshold_units(self) -> float:
        """Units that it bears within the time of a fall, as warm as it is now."""
        return (
            self.overload_multiple
            * self.warm_up_fraction()
            * self.cores
            * self.overload_window_s
            * 1000
            / self.unit_ms
        )

    async def _serve(self, broker: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                told = {
                    name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:-2])
                }
                begun = time.monotonic()
                await reader.readexactly(int(told.get("content-length", 0)))
                answer = await self._run(
                    broker,
                    head[0].split()[1],
                    told.get("x-request-id", ""),
                    told.get("x-policy-epoch", ""),
                    begun,
                )
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, IndexError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, broker: int, target: str, ident: str, epoch: str, begun: float) -> bytes:
        if not ident:
            return _answer(404)
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        units, shard = float(query["units"][0]), int(query["shard"][0])
        now = time.monotonic()
        self.received.append(
            ReceivedAttempt(
                now, self.name, broker, ident, int(parts.path.split("/")[2], 16), units, epoch, begun
            )
        )
        if self.warm_up_fraction() < 1.0:
            self.slow_start_units += units
            self._recent.append((now, units))
            self._recent_units += units
            while self._recent[0][0] < now - self.overload_window_s:
                self._recent_units -= self._recent.popleft()[1]
            if self._recent_units > self.overload_threshold_units():
                self.overloads += 1
                self.kill()
                raise ConnectionError
        if shard not in (-1, self.shard) or self.active >= self.cores + self.queue:
            self.turned_away += 1
            return _answer(503, b"", "X-Not-Run: 1\r\n")
        self.active += 1
        try:
            async with self._cores:
                await asyncio.sleep(units * self.unit_ms / 1000 / self.warm_up_fraction())
        finally:
            self.active -= 1
        if self._random.random() < self.error_share:
            return _answer(500)
        return _answer(200, ident.encode())


def _answer(status: int, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body
