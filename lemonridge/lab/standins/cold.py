"""A disk node that starts cold, crashes under overload while it is cold, and logs every attempt.

The node has a separate address for each broker, so that the log records the sender of each attempt. It
follows PROTOCOL ("Brokers to disk nodes"): it holds one shard, has cores and a queue, and answers requests
that it does not run with 503 and `X-Not-Run: 1`. The response body is the request's id, so that a client can
detect a response to another request. It reads units and shard from the query, which a broker forwards.
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
    """One attempt, logged when its last byte arrived; times are monotonic, in seconds.

    Attributes:
        received_at: Time of the last byte.
        node: Name of the node.
        broker: Index of the sending broker.
        request_id: Id of the request.
        volume: Number of the volume.
        units: Size of the request, in units.
        epoch: Epoch of the policy that the broker used (`x-policy-epoch`), if the broker sends it.
        head_received_at: Time at which the request's head was complete.
    """

    received_at: float
    node: str
    broker: int
    request_id: str
    volume: int
    units: float
    epoch: str = ""
    head_received_at: float = 0.0


def _bind_loopback(port: int) -> socket.socket:
    """Returns a socket bound to a port (0 for any), which refuses connections until it listens."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(("127.0.0.1", port))
    return bound


@dataclass
class SlowStartNode:
    """One disk node that serves `brokers` brokers.

    Attributes:
        name: Name of the node.
        shard: Shard that the node holds.
        brokers: Number of brokers, each with its own address of this node.
        cores: Number of requests that run at once.
        queue: Number of requests that wait beyond those; further requests are turned away.
        unit_ms: Time of one unit on one core of a warm node.
        slow_start_initial_fraction: Fraction of its full speed at which a cold node starts.
        ramp_s: Seconds from a cold start to full speed.
        overload_multiple: The cold node crashes at this multiple of the work that it can do in the window.
        overload_window_s: Period over which a cold node's load is summed, in seconds.
        ports: Ports by broker.
        received: Log of all attempts.
        overloads: Number of crashes by overload.
        turned_away: Number of requests that were turned away.
        error_share: Fraction of the executed requests that end with 500.
        seed: Seed of the random draws.
        alive: Whether the node is running.
        active: Number of running and waiting requests.
        slow_start_units: Units received while cold.
        cold_started_at: Monotonic time of the latest start if that was cold, else None.
        born_ms: Wall-clock time of the latest start if that was cold, else 0; announced by discovery.
    """

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
    _reserved_sockets: list[socket.socket] = field(default_factory=list)  # hold its ports while it is down
    received: list[ReceivedAttempt] = field(default_factory=list)
    overloads: int = 0
    turned_away: int = 0
    error_share: float = 0.0
    seed: int = 1
    alive: bool = False
    active: int = 0
    slow_start_units: float = 0.0
    _recent_sends: deque[tuple[float, float]] = field(default_factory=deque)
    _recent_units: float = 0.0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _random: Random = field(default_factory=Random)
    cold_started_at: float | None = None
    born_ms: int = 0

    async def start(self, cold: bool = False) -> SlowStartNode:
        """Starts to listen, at the same addresses as before if the node was already started once.

        Args:
            cold: Whether the node starts cold; otherwise it has its full speed at once.
        """
        self._random.seed(f"{self.seed}/{self.name}/{self.overloads}")
        self.cold_started_at, self.born_ms = (
            (time.monotonic(), time.time_ns() // 1_000_000) if cold else (None, 0)
        )
        self._recent_sends.clear()
        self._recent_units, self.active, self.alive = 0.0, 0, True
        self._cores = asyncio.Semaphore(self.cores)
        sockets, self._reserved_sockets = (
            self._reserved_sockets or [_bind_loopback(0) for _ in range(self.brokers)],
            [],
        )
        self._listeners = [
            await asyncio.start_server(lambda r, w, n=n: self._serve(n, r, w), sock=bound)  # type: ignore[misc]
            for n, bound in enumerate(sockets)
        ]
        self.ports = [bound.getsockname()[1] for bound in sockets]
        return self

    def kill(self) -> None:
        """Stops the node as a crash would: its requests are lost and its connections are reset.

        Its ports stay reserved. Otherwise the system could assign them to other sockets, and the restart
        would fail to bind.
        """
        self.alive = False
        for listener in self._listeners:
            listener.close()
        self._reserved_sockets = [_bind_loopback(port) for port in self.ports]
        for writer in list(self._writers):
            writer.transport.abort()

    def release_ports(self) -> None:
        """Releases the ports of a node that does not start again."""
        for reserved in self._reserved_sockets:
            reserved.close()

    def discovery_entry(self, broker: int, health: str = "up") -> dict[str, Any]:
        """Returns the node's entry in the list of a broker's discovery."""
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
        """Returns the current speed as a fraction of the full speed."""
        if self.cold_started_at is None:
            return 1.0
        elapsed_fraction = (time.monotonic() - self.cold_started_at) / self.ramp_s
        return min(
            1.0, self.slow_start_initial_fraction + (1 - self.slow_start_initial_fraction) * elapsed_fraction
        )

    def overload_threshold_units(self) -> float:
        """Returns the units within the overload window beyond which the node crashes at its current speed."""
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
                headers = {
                    name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:-2])
                }
                head_received_at = time.monotonic()
                await reader.readexactly(int(headers.get("content-length", 0)))
                response = await self._run(
                    broker,
                    head[0].split()[1],
                    headers.get("x-request-id", ""),
                    headers.get("x-policy-epoch", ""),
                    head_received_at,
                )
                writer.write(response)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, IndexError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(
        self, broker: int, target: str, request_id: str, epoch: str, head_received_at: float
    ) -> bytes:
        if not request_id:
            return _encode_response(404)
        url = urlsplit(target)
        query = parse_qs(url.query)
        units, shard = float(query["units"][0]), int(query["shard"][0])
        now = time.monotonic()
        self.received.append(
            ReceivedAttempt(
                now,
                self.name,
                broker,
                request_id,
                int(url.path.split("/")[2], 16),
                units,
                epoch,
                head_received_at,
            )
        )
        if self.warm_up_fraction() < 1.0:
            self.slow_start_units += units
            self._recent_sends.append((now, units))
            self._recent_units += units
            while self._recent_sends[0][0] < now - self.overload_window_s:
                self._recent_units -= self._recent_sends.popleft()[1]
            if self._recent_units > self.overload_threshold_units():
                self.overloads += 1
                self.kill()
                raise ConnectionError
        if shard not in (-1, self.shard) or self.active >= self.cores + self.queue:
            self.turned_away += 1
            return _encode_response(503, b"", "X-Not-Run: 1\r\n")
        self.active += 1
        try:
            async with self._cores:
                await asyncio.sleep(units * self.unit_ms / 1000 / self.warm_up_fraction())
        finally:
            self.active -= 1
        if self._random.random() < self.error_share:
            return _encode_response(500)
        return _encode_response(200, request_id.encode())


def _encode_response(status: int, body: bytes = b"", extra_headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n".encode() + body
