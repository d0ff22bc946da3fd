"""Stand-ins of the platform for the review's cases: disk nodes, discovery, clients, and a broker's process.

All of them follow PROTOCOL and use the standard library alone. Every address is a loopback address, every
port is free when it is chosen, and every file lies in one temporary folder, which is removed at the end.
Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import itertools
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a script
MAX_WATCH_MS = 60_000  # PROTOCOL, "Discovery"
REPLY_BODY = b"stored"

# WIRE, "What an instance is born with": the example's figures.
SETTINGS: dict[str, Any] = {
    "azs": ["hall-a", "hall-b"],
    "classes": [
        {
            "aim-us": 300000,
            "deadline-us": 2500000,
            "gain": 2.0,
            "group": "all",
            "late-value": 0.2,
            "memory-span-us": 5000000,
            "name": "read",
            "semantics": "repeatable",
            "stream": False,
        },
        {
            "aim-us": 400000,
            "deadline-us": 2000000,
            "gain": 2.0,
            "group": "cell",
            "late-value": 0.1,
            "memory-span-us": 3000000,
            "name": "new-write",
            "semantics": "by_key",
            "stream": False,
        },
        {
            "aim-us": 2000000,
            "deadline-us": 6000000,
            "gain": 1.0,
            "group": "all",
            "late-value": 0.3,
            "memory-span-us": 5000000,
            "name": "bulk-read",
            "semantics": "repeatable",
            "stream": False,
        },
    ],
    "clients": {"marks-retry": True},
    "discovery": "push",
    "family": "stores",
    "family-info": {
        "beyond-share": 0.1,
        "class-writes": [False, True, False],
        "cold-units": 8.0,
        "meter-us": 0,
        "n-shards": 8,
        "share-worth": 0.3,
        "tells-elsewhere": False,
        "unit-mean": 2.08,
        "units-top": 6,
    },
    "fleet-size": 1,
    "grades": [
        {
            "base-rate": 3.0,
            "burst": 36.0,
            "cap": 12.0,
            "guaranteed": 0.0,
            "limit-slack": 6.0,
            "name": "basic",
            "weight": 1.0,
            "worth-factor": 0.96,
        },
        {
            "base-rate": 12.0,
            "burst": 0.0,
            "cap": 0.0,
            "guaranteed": 12.0,
            "limit-slack": 0.0,
            "name": "priority",
            "weight": 1.0,
            "worth-factor": 1.5,
        },
    ],
    "layer": 0,
    "limits": {
        "cancelling": True,
        "connect-timeout-us": 250000,
        "keepalive-us": 15000000,
        "max-attempts": 4,
        "max-open": 23678,
        "max-retry-after-us": 500000,
        "may-duplicate": False,
        "peers": False,
        "probes": False,
        "retry-after": True,
        "streams-per-conn": 1,
    },
    "load-info": {"names": ["pending", "busy_reqs"], "source": "silent"},
    "me": 0,
    "rules": {
        "ask-within-us": 10000000,
        "cold-share": 0.2,
        "drain-grace-us": 500000,
        "fall-us": 1000000,
        "grace-to-answer-us": 8000,
        "ramp-time-us": 17000000,
        "tip-multiple": 2.5,
    },
    "skus": ["node-std"],
    "tick-us": 2000,
    "tiers": ["portal-store"],
    "weights": "silent",
    "zone": 0,
}


def with_trouble() -> bool:
    """Returns whether the disruption is to be played: not with `TROUBLE=0`."""
    return os.environ.get("TROUBLE", "1") != "0"


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the settings of the example with some top-level keys changed."""
    return {**copy.deepcopy(SETTINGS), **changes}


def free_port() -> int:
    """Returns a free port of 127.0.0.1."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


_processes: list[asyncio.subprocess.Process] = []  # all that the script has started


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The lines of `record.txt`, with the seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def since_start_s(self, at_s: float) -> float:
        """Returns a point of the monotonic clock in seconds since the start of the script."""
        return at_s - self._began_s

    def add(self, text: str, at_s: float | None = None) -> None:
        """Adds a line."""
        at_s = time.monotonic() if at_s is None else at_s
        self._file.write(f"{at_s - self._began_s:9.3f} {text}\n")
        self._file.flush()


@dataclass
class HttpMessage:
    """A received message.

    Attributes:
        start_line: The request or status line.
        headers: The header values by lower-case name.
        body: The body.
        first_byte_s: When its first byte was read.
        last_byte_s: When its last byte was read.
    """

    start_line: str
    headers: dict[str, str]
    body: bytes
    first_byte_s: float
    last_byte_s: float


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Reads one message whose body, if any, has a Content-Length.

    Raises:
        asyncio.IncompleteReadError: The connection has ended.
    """
    first = await reader.readexactly(1)
    first_byte_s = time.monotonic()
    lines = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:-2])
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpMessage(lines[0], headers, body, first_byte_s, time.monotonic())


def encode(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a Content-Length."""
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{start_line}\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class HttpServer:
    """A server on 127.0.0.1 that passes each request to `handle`; handle writes the response itself."""

    def __init__(self, handle: Callable[[HttpMessage, asyncio.StreamWriter], Awaitable[None]]) -> None:
        self._handle = handle
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listens, at the same port as before if it was started before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Resets all connections and refuses new ones, as a process that has died."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._handle(await read_message(reader), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass  # the script ends
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclass
class NodeRequest:
    """A request as a disk node received it."""

    request_id: str
    first_byte_s: float
    last_byte_s: float


class Node:
    """A disk node of one shard, which serves each request after `work_s`.

    Attributes:
        host: Its id in discovery's list.
        requests: What it received.
    """

    def __init__(self, host: str, shard: int, work_s: float = 0.01, body: bytes = REPLY_BODY) -> None:
        self.host, self.shard, self.work_s, self.body = host, shard, work_s, body
        self.requests: list[NodeRequest] = []
        self._server = HttpServer(self._handle)

    async def start(self) -> Node:
        """Listens."""
        await self._server.start()
        return self

    async def stop(self) -> None:
        """Ends as a process that dies."""
        await self._server.stop()

    @property
    def port(self) -> int:
        """The port that it listens at."""
        return self._server.port

    def entry(self, health: str = "up", born_ms: int = 0) -> dict[str, Any]:
        """Returns its entry in discovery's list."""
        return {
            "host": self.host,
            "dial": f"127.0.0.1:{self.port}",
            "site": "a",
            "class": "m",
            "block": self.shard,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }

    async def _handle(self, message: HttpMessage, writer: asyncio.StreamWriter) -> None:
        request_id = message.headers.get("x-request-id")
        if request_id is None:
            writer.write(encode("HTTP/1.1 404 Not Found", {}))
            return
        self.requests.append(NodeRequest(request_id, message.first_byte_s, message.last_byte_s))
        await self.answer(message, writer)

    async def answer(self, message: HttpMessage, writer: asyncio.StreamWriter) -> None:
        """Answers a request with 200."""
        await asyncio.sleep(self.work_s)
        writer.write(encode("HTTP/1.1 200 OK", {}, self.body))


class Discovery:
    """Discovery as PROTOCOL describes it: the whole list, and watches.

    Attributes:
        seq: The version of the list.
        calls: The time of each call, with its query.
    """

    def __init__(self, nodes: list[Node]) -> None:
        self.seq = 1
        self._entries = {node.host: node.entry() for node in nodes}
        self._versions = {node.host: 1 for node in nodes}
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)
        self.calls: list[tuple[float, str]] = []
        self.written: list[tuple[float, int]] = []  # when each answer was written, with its version

    async def start(self) -> Discovery:
        """Listens."""
        await self._server.start()
        return self

    async def stop(self) -> None:
        """Goes down: resets its connections and refuses new ones."""
        await self._server.stop()

    @property
    def port(self) -> int:
        """The port that it listens at."""
        return self._server.port

    def known(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self._entries.values())}

    async def set(self, entry: dict[str, Any]) -> None:
        """Changes an entry under a new version, and tells it to the open watches."""
        self.seq += 1
        self._entries[entry["host"]], self._versions[entry["host"]] = entry, self.seq
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, message: HttpMessage, writer: asyncio.StreamWriter) -> None:
        target = message.start_line.split()[1]
        self.calls.append((time.monotonic(), target))
        watch = re.search(r"after=([0-9]+)&wait_ms=([0-9]+)", target)
        answer = self.known()
        if watch is not None:
            after, wait_s = int(watch[1]), min(MAX_WATCH_MS, int(watch[2])) / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(lambda: self.seq > after)
            hosts = [entry for host, entry in self._entries.items() if self._versions[host] > after]
            answer = {"seq": self.seq, "whole": False, "hosts": hosts}
        writer.write(
            encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, json.dumps(answer).encode())
        )
        self.written.append((time.monotonic(), self.seq))


@dataclass
class Broker:
    """One broker, started by the line `run` of the deploy file, as DEPLOY says."""

    name: str
    folder: Path
    config: dict[str, Any]
    process: asyncio.subprocess.Process | None = None
    port: int = field(default_factory=free_port)
    environment: dict[str, str] = field(default_factory=dict)
    pass_fds: tuple[int, ...] = ()

    def write_config(self) -> Path:
        """Writes the configuration file and returns its path."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps({"name": self.name, "listen": f"127.0.0.1:{self.port}", **self.config}))
        return path

    async def start(self) -> Broker:
        """Starts the process and waits until it is ready.

        Raises:
            CannotRunError: It is not ready within 30 s.
        """
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        private = self.folder / f"{self.name}.tmp"
        private.mkdir(exist_ok=True)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                pass_fds=self.pass_fds,
                env={
                    "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                    "TMPDIR": str(private),
                    "ROUTER_NAME": self.name,
                    "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
                    "ROUTER_DISCOVERY": self.config["discovery"],
                    "ROUTER_CONFIG": str(self.write_config()),
                    **self.environment,
                },
            )
        _processes.append(self.process)
        for _ in range(300):
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await self.ready():
                    return self
            await asyncio.sleep(0.1)
        raise CannotRunError(f"broker {self.name} is not ready")

    async def ready(self) -> bool:
        """Returns whether `GET /-/ready` is answered with 200."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            return " 200 " in (await read_message(reader)).start_line
        finally:
            writer.close()

    def signal(self, number: int) -> None:
        """Sends a signal to the program that `run` started, if it has not ended."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


_request_numbers = itertools.count(1)


def request_bytes(
    cls: str,
    plan: str,
    shard: int,
    deadline_ms: int,
    *,
    volume: int = 7,
    key: int | None = None,
    units: float = 1,
    hosts: int = 1,
    body: bytes = b"",
    connection: str = "",
) -> tuple[str, bytes]:
    """Returns the id and the bytes of a new request of a client."""
    number = next(_request_numbers)
    request_id = f"{os.getpid():08x}{number:08x}"
    headers = {
        "Host": "app.svc",
        "X-Request-Id": request_id,
        "X-Class": cls,
        "X-Qos-Policy": plan,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Placement": f"units={units:g},shard={shard},hosts={hosts}",
    }
    if connection:
        headers["Connection"] = connection
    if body:
        headers["Idempotency-Key"] = request_id
    method = "PUT" if body else "GET"
    path = f"/{cls}/{volume:016x}/{number if key is None else key:016x}"
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return request_id, f"{method} {path} HTTP/1.1\r\n{head}{length}\r\n".encode() + body


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Plays a case in a temporary folder and exits with its status.

    Args:
        folder: The folder of the case, in which `record.txt` is written.
        play: Plays the case; returns `HELD` or `BROKEN`.
    """
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    status = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        status = asyncio.run(asyncio.wait_for(play(record, temporary), 115))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        for process in _processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)
        shutil.rmtree(temporary, ignore_errors=True)
    record.add({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status])
    sys.exit(status)
