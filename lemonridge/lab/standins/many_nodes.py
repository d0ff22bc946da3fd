"""Thousands of disk nodes in one process, with one listening socket and one 127.0.0.0/8 address per node."""

from __future__ import annotations

import asyncio
import re
from random import Random
from typing import Any

NODES_PER_NETWORK = 250  # nodes per 127.1.x.0/24
CONTENT_LENGTH = re.compile(rb"content-length: *([0-9]+)", re.I)
RESPONSE = b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndata"


class _NodeConnection(asyncio.Protocol):
    """One connection of a broker, which carries one request at a time."""

    def __init__(self, nodes: ManyNodes) -> None:
        self._nodes, self._data = nodes, b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._nodes.connections += 1

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        length = CONTENT_LENGTH.search(head)
        if end and len(body) >= (int(length[1]) if length else 0):
            self._data = b""
            self._nodes.requests += 1
            asyncio.get_running_loop().call_later(self._nodes.work_s(), self._answer)

    def _answer(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(RESPONSE)


class ManyNodes:
    """A group of disk nodes, each of which holds its own shard.

    Attributes:
        count: Number of nodes.
        connections: Number of accepted connections of all nodes.
        requests: Number of received requests of all nodes.
        port: Port of all nodes, once started.
    """

    def __init__(self, count: int, work_ms: float, seed: int) -> None:
        self.count, self.connections, self.requests = count, 0, 0
        self._work_ms, self._random = work_ms, Random(seed)
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> ManyNodes:
        """Starts to listen on all local addresses."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _NodeConnection(self), "0.0.0.0", 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def work_s(self) -> float:
        """Draws the duration of the next request, in seconds."""
        return self._random.expovariate(1000 / self._work_ms)

    def discovery_entry(self, number: int, health: str = "up") -> dict[str, Any]:
        """Returns the entry of the node with this index in discovery's list."""
        network, host = divmod(number, NODES_PER_NETWORK)
        return {
            "host": f"n-{number}",
            "dial": f"127.1.{network}.{host + 1}:{self.port}",
            "site": "a",
            "class": "m",
            "block": number,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }
