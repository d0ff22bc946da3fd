"""Thousands of disk nodes in one process: one listening socket, an address of 127.0.0.0/8 for each node."""

from __future__ import annotations

import asyncio
import re
from random import Random
from typing import Any

NODE_OF_NETWORK = 250  # nodes in each of 127.1.x.0/24
LENGTH = re.compile(rb"content-length: *([0-9]+)", re.I)
ANSWER = b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndata"


class _NodeConnection(asyncio.Protocol):
    """One connection of a broker: one request at a time, each answered after some work."""

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
        length = LENGTH.search(head)
        if end and len(body) >= (int(length[1]) if length else 0):
            self._data = b""
            self._nodes.requests += 1
            asyncio.get_running_loop().call_later(self._nodes.work_s(), self._answer)

    def _answer(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(ANSWER)


class ManyNodes:
    """`count` nodes, each of a shard of its own; what all of them saw."""

    def __init__(self, count: int, work_ms: float, seed: int) -> None:
        self.count, self.connections, self.requests = count, 0, 0
        self._work_ms, self._random = work_ms, Random(seed)
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> ManyNodes:
        """Listen at every address of the machine's loopback network."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _NodeConnection(self), "0.0.0.0", 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    def work_s(self) -> float:
        """How long the next request takes."""
        return self._random.expovariate(1000 / self._work_ms)

    def discovery_entry(self, number: int, health: str = "up") -> dict[str, Any]:
        """A node's entry in discovery's list."""
        network, host = divmod(number, NODE_OF_NETWORK)
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
