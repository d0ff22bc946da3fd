"""Disk nodes and discovery for the soak, which misbehave as PROTOCOL and STANDING allow."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import orjson

from lemonridge.lab.standins.soak_record import ANNOUNCE_LIMIT_S, SoakAttempt, SoakRecord

HEADERS = re.compile(rb"^([A-Za-z-]+): *(.*?) *\r$", re.M)
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], float]:
    """The target and the headers of one request, and when its first byte came; its body is not read yet."""
    first = await reader.readexactly(1)
    begun_at = asyncio.get_running_loop().time()
    head = first + await reader.readuntil(b"\r\n\r\n")
    headers = {name.decode().lower(): value.decode() for name, value in HEADERS.findall(head)}
    return head.split(b" ", 2)[1].decode(), headers, begun_at


class Listener:
    """A server on loopback that can vanish and come back at its port."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Refuse connections, and reset those that are there."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the broker has ended it, or the run is over
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class SoakNode(Listener):
    """A disk node: `way` says how it treats a request that is whole."""

    def __init__(self, name: str, shard: int, zone: str, record: SoakRecord, random: Random) -> None:
        super().__init__()
        self.name, self.shard, self.zone, self.behaviour = name, shard, zone, "serve"
        self._record, self._random = record, random

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            _, headers, begun_at = await read_request(reader)
            attempt = SoakAttempt(
                headers["x-request-id"],
                self.name,
                self.shard,
                self.zone,
                begun_at,
                int(headers["x-deadline-ms"]),
            )
            self._record.attempts.append(attempt)
            try:
                await reader.readexactly(int(headers.get("content-length", "0")))
                attempt.received_at = loop.time()
                await self._answer(attempt, reader, writer)
            finally:
                attempt.ended_at = loop.time()

    async def _answer(
        self, attempt: SoakAttempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        way = self.behaviour if self._random.random() < 0.7 else "serve"
        if way in ("busy", "late"):
            attempt.never_ran = True
            if way == "late":  # a further attempt would begin long after a client has left
                await self._hold(reader, self._random.uniform(0.12, 0.3))
            writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        elif way == "error":
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
        elif way == "reset":
            writer.transport.abort()
            raise ConnectionResetError
        elif way == "hang":
            await reader.read(1)  # up to the end of its connection
            raise ConnectionResetError
        else:
            await asyncio.sleep(self._random.expovariate(200.0))
            attempt.served = True
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndata")
        await writer.drain()

    async def _hold(self, reader: asyncio.StreamReader, seconds: float) -> None:
        """Let some time pass, but no more than the connection lasts."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(loop.time() + seconds):
                await reader.read(1)
            raise ConnectionResetError


class SoakDiscovery(Listener):
    """An agent that pushes the list: `silent` it answers nothing, `slow` its answers come in pieces."""

    def __init__(self, record: SoakRecord) -> None:
        super().__init__()
        self.entries: dict[str, dict[str, Any]] = {}
        self.silent = self.slow = False
        self._record, self._seq = record, 1
        self._versions: dict[str, int] = {}
        self.born_ms: dict[str, int] = {}  # of the nodes that have restarted
        self._news = asyncio.Condition()

    async def set(self, node: SoakNode, health: str, born_ms: int = 0) -> None:
        """A change, which counts as told at the latest 6 s later; a drain ends with the next `up`."""
        now = asyncio.get_running_loop().time()
        drains = self._record.drains[node.name]
        if drains and drains[-1][1] == float("inf"):
            drains[-1] = (drains[-1][0], now)
        if health != "up":
            drains.append((now + ANNOUNCE_LIMIT_S, float("inf")))
        self._seq += 1
        self._versions[node.name] = self._seq
        self.entries[node.name] = {
            "host": node.name,
            "dial": f"127.0.0.1:{node.port}",
            "site": node.zone,
            "class": "m",
            "block": node.shard,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }
        async with self._news:
            self._news.notify_all()

    def _told(self, rows: list[dict[str, Any]]) -> None:
        """These rows have been written to a broker: a drain among them is told now."""
        now = asyncio.get_running_loop().time()
        for row in rows:
            drains = self._record.drains[row["host"]]
            if row["health"] != "up" and drains and drains[-1][1] == float("inf"):
                drains[-1] = (min(drains[-1][0], now), float("inf"))
            starts = self._record.starts[row["host"]]
            if starts and row["born_ms"] == self.born_ms.get(row["host"]):
                starts[-1] = (starts[-1][0], min(starts[-1][1], now))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            target, _, _ = await read_request(reader)
            watch = re.search(r"after=(\d+)&wait_ms=(\d+)", target)
            after = int(watch[1]) if watch else 0
            if watch and self._seq <= after:
                loop = asyncio.get_running_loop()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(loop.time() + int(watch[2]) / 1000), self._news:
                        await self._news.wait_for(lambda after=after: self._seq > after)  # type: ignore[misc]
            if self.silent:
                await reader.read(1)  # nothing more comes here, whatever is asked
                return
            hosts = [row for name, row in self.entries.items() if self._versions[name] > after]
            body = orjson.dumps({"seq": self._seq, "whole": watch is None, "hosts": hosts})
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body))
            pieces = 8 if self.slow and hosts else 1
            size = len(body) // pieces + 1
            for at in range(0, len(body), size):
                if pieces > 1:
                    await asyncio.sleep(0.15)
                writer.write(body[at : at + size])
                await writer.drain()
            self._told(hosts)
