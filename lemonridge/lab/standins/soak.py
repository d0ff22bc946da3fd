"""Disk nodes and discovery for the soak drill, with the misbehaviour that PROTOCOL and STANDING allow."""

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
    """Reads the head of one request; its body is not read yet.

    Returns:
        The target, the headers by lower-case name, and the loop's time in seconds of the first byte.
    """
    first = await reader.readexactly(1)
    started_at = asyncio.get_running_loop().time()
    head = first + await reader.readuntil(b"\r\n\r\n")
    headers = {name.decode().lower(): value.decode() for name, value in HEADERS.findall(head)}
    return head.split(b" ", 2)[1].decode(), headers, started_at


class Listener:
    """A server on loopback that can be closed and reopened at the same port.

    Attributes:
        port: Port of the server, once opened.
    """

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Starts to listen, at the same port as before if the server was already opened once."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening and resets all connections."""
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
            pass  # the broker has closed the connection, or the run has ended
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        raise NotImplementedError


class SoakNode(Listener):
    """A disk node of the soak drill.

    Attributes:
        name: Name of the node.
        shard: Shard that the node holds.
        zone: Zone of the node.
        behaviour: How the node treats 70% of its complete requests: "serve", "busy" (503, not run), "late"
            (the same after a delay), "error" (500), "reset" (connection reset) or "hang" (no answer). It
            serves the others.
    """

    def __init__(self, name: str, shard: int, zone: str, record: SoakRecord, random: Random) -> None:
        super().__init__()
        self.name, self.shard, self.zone, self.behaviour = name, shard, zone, "serve"
        self._record, self._random = record, random

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Records and answers the requests of one connection."""
        loop = asyncio.get_running_loop()
        while True:
            _, headers, started_at = await read_request(reader)
            attempt = SoakAttempt(
                headers["x-request-id"],
                self.name,
                self.shard,
                self.zone,
                started_at,
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
        behaviour = self.behaviour if self._random.random() < 0.7 else "serve"
        if behaviour in ("busy", "late"):
            attempt.never_ran = True
            if behaviour == "late":  # a retry would start long after its client has disconnected
                await self._wait(reader, self._random.uniform(0.12, 0.3))
            writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        elif behaviour == "error":
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
        elif behaviour == "reset":
            writer.transport.abort()
            raise ConnectionResetError
        elif behaviour == "hang":
            await reader.read(1)  # returns when the connection ends
            raise ConnectionResetError
        else:
            await asyncio.sleep(self._random.expovariate(200.0))
            attempt.served = True
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndata")
        await writer.drain()

    async def _wait(self, reader: asyncio.StreamReader, seconds: float) -> None:
        """Waits for some seconds; raises ConnectionResetError if the connection ends before."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(loop.time() + seconds):
                await reader.read(1)
            raise ConnectionResetError


class SoakDiscovery(Listener):
    """A discovery server of the soak drill.

    Attributes:
        entries: Current entries, by name of the node.
        silent: Whether requests get no answer.
        slow: Whether responses are sent in pieces with pauses between them.
        born_ms: Wall-clock times of the latest starts, of the nodes that have restarted.
    """

    def __init__(self, record: SoakRecord) -> None:
        super().__init__()
        self.entries: dict[str, dict[str, Any]] = {}
        self.silent = self.slow = False
        self._record, self._seq = record, 1
        self._versions: dict[str, int] = {}
        self.born_ms: dict[str, int] = {}
        self._updated = asyncio.Condition()

    async def set(self, node: SoakNode, health: str, born_ms: int = 0) -> None:
        """Changes a node's entry.

        A drain counts as announced at the latest ANNOUNCE_LIMIT_S later, and ends with the next `up`.
        """
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
        async with self._updated:
            self._updated.notify_all()

    def _record_announcements(self, entries: list[dict[str, Any]]) -> None:
        """Records that entries were sent to a broker: their drains and restarts are announced now."""
        now = asyncio.get_running_loop().time()
        for entry in entries:
            drains = self._record.drains[entry["host"]]
            if entry["health"] != "up" and drains and drains[-1][1] == float("inf"):
                drains[-1] = (min(drains[-1][0], now), float("inf"))
            starts = self._record.starts[entry["host"]]
            if starts and entry["born_ms"] == self.born_ms.get(entry["host"]):
                starts[-1] = (starts[-1][0], min(starts[-1][1], now))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the list requests and watches of one connection."""
        while True:
            target, _, _ = await read_request(reader)
            watch = re.search(r"after=(\d+)&wait_ms=(\d+)", target)
            after = int(watch[1]) if watch else 0
            if watch and self._seq <= after:
                loop = asyncio.get_running_loop()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(loop.time() + int(watch[2]) / 1000), self._updated:
                        await self._updated.wait_for(lambda after=after: self._seq > after)  # type: ignore[misc]
            if self.silent:
                await reader.read(1)  # this connection gets no answer
                return
            entries = [entry for name, entry in self.entries.items() if self._versions[name] > after]
            body = orjson.dumps({"seq": self._seq, "whole": watch is None, "hosts": entries})
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body))
            pieces = 8 if self.slow and entries else 1
            size = len(body) // pieces + 1
            for offset in range(0, len(body), size):
                if pieces > 1:
                    await asyncio.sleep(0.15)
                writer.write(body[offset : offset + size])
                await writer.drain()
            self._record_announcements(entries)
