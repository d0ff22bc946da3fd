"""Stand-ins of the platform's side by PROTOCOL: discovery, disk nodes and clients, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import re
import secrets
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

_ids = itertools.count(1)


@dataclass
class Message:
    """A request or a response: its first line, its headers by lower-case name, and its body."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message whose body, if it has one, has a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:-2])}
    return Message(head[0], headers, await reader.readexactly(int(headers.get("content-length", 0))))


def answer(body: bytes = b"", status: int = 200, **headers: str) -> bytes:
    """Returns the bytes of a response; an underscore in a header's name stands for a hyphen."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


class HttpServer:
    """A server that calls `handle` for each request, one at a time on a connection."""

    def __init__(self, port: int = 0) -> None:
        self.port = port
        self.kills = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Any:
        """Starts to listen, at the same port as before if it was started once."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._listener.sockets[0].getsockname()[1]
        return self

    def kill(self) -> None:
        """Refuses new connections and resets the open ones, as the death of a process does."""
        self.kills += 1
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                response = await self.handle(await read_message(reader))
                if response is not None:
                    writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, message: Message) -> bytes | None:
        """Returns the response to a request; None for none."""
        raise NotImplementedError


class Discovery(HttpServer):
    """Discovery's agent: the whole list, and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.seq = 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self._versions: dict[str, int] = {}
        self._changed = asyncio.Condition()

    async def set(self, host: str, port: int, block: int = 0, health: str = "up", born_ms: int = 0) -> None:
        """Sets one entry."""
        self.seq += 1
        self.hosts[host] = {
            "host": host,
            "dial": f"127.0.0.1:{port}",
            "site": "a",
            "class": "m2",
            "block": block,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }
        self._versions[host] = self.seq
        async with self._changed:
            self._changed.notify_all()

    async def handle(self, message: Message) -> bytes | None:
        """Answers a call for the list, or a watch."""
        watch = re.search(r"after=(\d+)&wait_ms=(\d+)", message.start_line)
        if watch is None:
            return answer(self._encode(True, list(self.hosts.values())))
        after, wait_s, kills = int(watch[1]), int(watch[2]) / 1000, self.kills
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self.seq > after)
        if self.kills != kills:
            raise ConnectionResetError  # this watch was open when the service died
        changed = [entry for host, entry in self.hosts.items() if self._versions[host] > after]
        return answer(self._encode(False, changed))

    def _encode(self, whole: bool, hosts: list[Any]) -> bytes:
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}).encode()


Work = Callable[["Node", Message], Awaitable[bytes]]


class Node(HttpServer):
    """A disk node, which does `work` for each request and answers with its result."""

    def __init__(self, name: str, work: Work) -> None:
        super().__init__()
        self.name, self._work = name, work

    async def handle(self, message: Message) -> bytes | None:
        """Runs one request."""
        return await self._work(self, message)


class Client:
    """A client with one connection, which it opens anew when the broker has closed it."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def request(
        self,
        cls: str,
        volume: int,
        key: int,
        deadline_ms: int,
        plan: str,
        timeout_s: float = 10.0,
        **options: Any,
    ) -> Message | None:
        """Sends a request and returns its response; None if there was none.

        A request that meets the end of a kept connection is sent once more on a new one (PROTOCOL).
        """
        data = encode_request(cls, volume, key, deadline_ms, plan, **options)
        for _ in range(2):
            fresh = self._streams is None
            try:
                async with asyncio.timeout(timeout_s):
                    if self._streams is None:
                        self._streams = await asyncio.open_connection("127.0.0.1", self.port)
                    reader, writer = self._streams
                    writer.write(data)
                    response = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                self.close()
                if fresh:
                    return None
                continue
            except TimeoutError:
                self.close()
                return None
            if response.headers.get("connection", "").lower() == "close":
                self.close()
            return response
        return None


def encode_request(
    cls: str,
    volume: int,
    key: int,
    deadline_ms: int,
    plan: str,
    write: bool = False,
    units: float = 1,
    shard: int = 0,
    hosts: int = 1,
    request_id: str | None = None,
) -> bytes:
    """Returns the bytes of a client's request (PROTOCOL, "Clients to brokers")."""
    request_id = request_id or f"{time.monotonic_ns() & 0xFFFFFFFF:08x}{next(_ids):08x}"
    headers = {
        "Host": "app.svc",
        "X-Request-Id": request_id,
        "X-Class": cls,
        "X-Qos-Policy": plan,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Placement": f"units={units},shard={shard},hosts={hosts}",
    }
    body = b"x" * 32 if write else b""
    if write:
        headers |= {"Idempotency-Key": request_id, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    method = "PUT" if write else "GET"
    return f"{method} /{cls}/{volume:016x}/{key:016x} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def operator_call(port: int, line: str) -> str:
    """Calls a broker at its second address and returns its answer; empty if there is none within 1 s."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(line.encode() + b"\n")
            text = (await reader.readline()).decode().strip()
            writer.close()
            return text
    except (OSError, TimeoutError):
        return ""


def settings(**tables: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment after rabat-portal; `tables` go over its tables."""
    base: dict[str, Any] = {
        "fleet-size": 1,
        "me": 0,
        "discovery": "push",
        "tick-us": 2000,
        "azs": ["hall-a", "hall-b"],
        "classes": [
            {
                "name": "read",
                "semantics": "repeatable",
                "aim-us": 300000,
                "deadline-us": 2500000,
                "gain": 2.0,
                "group": "all",
                "memory-span-us": 3000000,
            },
            {
                "name": "new-write",
                "semantics": "by_key",
                "aim-us": 400000,
                "deadline-us": 2000000,
                "gain": 2.0,
                "group": "cell",
                "memory-span-us": 3000000,
            },
        ],
        "grades": [
            {
                "name": "priority",
                "base-rate": 48.0,
                "burst": 0.0,
                "cap": 0.0,
                "guaranteed": 48.0,
                "limit-slack": 0.0,
                "weight": 1.0,
                "worth-factor": 1.5,
            }
        ],
        "family-info": {
            "class-writes": [False, True],
            "cold-units": 8.0,
            "meter-us": 500000,
            "n-shards": 2,
            "tells-elsewhere": True,
            "unit-mean": 2.08,
            "units-top": 6,
        },
        "limits": {
            "cancelling": True,
            "connect-timeout-us": 250000,
            "keepalive-us": 15000000,
            "max-attempts": 4,
            "max-retry-after-us": 500000,
            "retry-after": True,
            "may-duplicate": False,
        },
        "rules": {
            "cold-share": 0.2,
            "drain-grace-us": 500000,
            "fall-us": 1000000,
            "grace-to-answer-us": 50000,
            "ramp-time-us": 17000000,
            "tip-multiple": 2.5,
        },
    }
    for name, value in tables.items():
        key = name.replace("_", "-")
        base[key] = {**base[key], **value} if isinstance(value, dict) else value
    return base


def write_config(path: Path, name: str, listen: int, discovery: int, **values: Any) -> None:
    """Writes the configuration of one broker (DEPLOY, "What a broker is told"), whole or not at all."""
    config = {
        "name": name,
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": secrets.token_hex(8),  # DEPLOY: new with each start
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {},
        **values,
    }
    new = path.with_suffix(".new")
    new.write_text(json.dumps(config))
    new.replace(path)
