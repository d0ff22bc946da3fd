"""Sends open-loop requests to the brokers of a fleet and records each one with its response.

This module reads and writes the HTTP bytes itself, since a library would hide surplus responses. Each volume
sends at its own rate through its own brokers, and may move its load from one broker to another.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

GRACE_S = 0.5  # after the deadline; a response in this time is late, after it the client gives up
IDLE_PAUSE_S = 0.1  # interval at which a volume without load is checked again


class RequestEnd(StrEnum):
    """How a request ended."""

    OPEN = ""
    SERVED = "served"
    REJECTED = "refused"  # 429 or 503
    FAILED = "failed"  # any other status
    CONNECTION_LOST = "cut"
    NO_ANSWER = "silent"


@dataclass(slots=True)
class ClientRequest:
    """One request and its result; times are monotonic, in seconds.

    Attributes:
        request_id: Id of the request.
        broker: Index of the broker.
        volume: Number of the volume.
        units: Size in units.
        due_at: Time at which the request was due.
        deadline_at: Time of its deadline.
        sent_at: Time at which its last byte was written to an accepted connection; 0 if it was never sent.
        ended_at: Time of its end.
        end: How it ended.
        wrong: Whether it was answered with a body that belongs to another request.
        surplus: Whether bytes beyond the response arrived.
    """

    request_id: str
    broker: int
    volume: int
    units: int
    due_at: float
    deadline_at: float
    sent_at: float = 0.0
    ended_at: float = 0.0
    end: RequestEnd = RequestEnd.OPEN
    wrong: bool = False
    surplus: bool = False


@dataclass(frozen=True, slots=True)
class VolumeTraffic:
    """The load of one volume.

    Attributes:
        volume: Number of the volume.
        plan: Name of its plan.
        hosts: Number of brokers that the volume uses.
        shards: Shards of its requests.
        rate: Returns the requests per second at a time, in seconds from the start.
        broker: Returns the index of the broker that is used at a time, in seconds from the start.
        largest_request_units: Largest request in units.
        writes: Fraction of writes.
    """

    volume: int
    plan: str
    hosts: int
    shards: tuple[int, ...]
    rate: Callable[[float], float]
    broker: Callable[[float], int]
    largest_request_units: int = 2
    writes: float = 0.3


class _Connection:
    """One connection to a broker."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def surplus(self) -> bool:
        """Returns whether unread bytes have arrived that belong to no response."""
        return bool(self.reader._buffer)  # type: ignore[attr-defined]

    def usable(self) -> bool:
        """Returns whether the connection is open and has no surplus bytes."""
        return not self.surplus() and not self.reader.at_eof()


@dataclass
class Clients:
    """All clients of a drill.

    Attributes:
        ports: Ports of the brokers, by index.
        seed: Seed of the random draws.
        deadline_ms: Deadline of each request.
        requests: All requests so far.
        surplus: Number of idle connections on which bytes arrived that belong to no response.
    """

    ports: list[int]
    seed: int
    deadline_ms: int = 1500
    requests: list[ClientRequest] = field(default_factory=list)
    surplus: int = 0
    _idle: dict[int, list[_Connection]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, traffic: list[VolumeTraffic], seconds: float) -> None:
        """Sends requests for `seconds`, then waits until all of them have ended."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await asyncio.gather(*(self._send_volume(volume, began_at, seconds) for volume in traffic))
        if self._tasks:
            await asyncio.wait(self._tasks)
        for connections in self._idle.values():
            for connection in connections:
                connection.writer.close()

    async def _send_volume(self, traffic: VolumeTraffic, began_at: float, seconds: float) -> None:
        loop, random = asyncio.get_running_loop(), Random(f"{self.seed}/{traffic.volume}")
        due_at, number = began_at, 0
        while True:
            rate = traffic.rate(due_at - began_at)
            due_at += random.expovariate(rate) if rate > 0 else IDLE_PAUSE_S
            if due_at >= began_at + seconds:
                return
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            if rate <= 0:
                continue
            number += 1
            writes = random.random() < traffic.writes
            request = ClientRequest(
                f"{self.seed & 0xFFFF:04x}{traffic.volume & 0xFFFF:04x}{number:08x}",
                traffic.broker(due_at - began_at),
                traffic.volume,
                random.randint(1, traffic.largest_request_units),
                due_at,
                due_at + self.deadline_ms / 1000,
            )
            self.requests.append(request)
            task = asyncio.create_task(self._send(request, traffic, writes, random.choice(traffic.shards)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, request: ClientRequest, traffic: VolumeTraffic, writes: bool, shard: int) -> None:
        loop = asyncio.get_running_loop()
        connection: _Connection | None = None
        try:
            async with asyncio.timeout_at(request.deadline_at + GRACE_S):
                while True:
                    connection, is_new = await self._connection(request.broker)
                    left_ms = max(1, int((request.deadline_at - loop.time()) * 1000))
                    connection.writer.write(_encode(request, traffic, writes, shard, left_ms))
                    request.sent_at = loop.time()
                    try:
                        status, body, keep = await _read(connection.reader)
                        break
                    except (OSError, asyncio.IncompleteReadError) as error:
                        connection.writer.close()
                        # The broker may have closed an idle connection while the request was on its way;
                        # the request is sent again on a new connection.
                        if is_new or (isinstance(error, asyncio.IncompleteReadError) and error.partial):
                            raise
            request.ended_at, request.end = loop.time(), _end(status)
            request.wrong = status == 200 and body != request.request_id.encode()
            request.surplus = connection.surplus()
            if keep and not request.surplus:
                self._idle.setdefault(request.broker, []).append(connection)
                connection = None
        except TimeoutError:
            request.ended_at, request.end = loop.time(), RequestEnd.NO_ANSWER
        except (OSError, EOFError, ValueError, IndexError):
            request.ended_at, request.end = loop.time(), RequestEnd.CONNECTION_LOST
        finally:
            if connection is not None:
                with contextlib.suppress(OSError):
                    connection.writer.close()

    async def _connection(self, broker: int) -> tuple[_Connection, bool]:
        """Returns an idle connection or a new one, and whether it is new."""
        idle = self._idle.setdefault(broker, [])
        while idle:
            connection = idle.pop()
            if connection.usable():
                return connection, False
            self.surplus += connection.surplus()
            connection.writer.close()
        return _Connection(*await asyncio.open_connection("127.0.0.1", self.ports[broker])), True


def _end(status: int) -> RequestEnd:
    if status == 200:
        return RequestEnd.SERVED
    return RequestEnd.REJECTED if status in (429, 503) else RequestEnd.FAILED


def _encode(request: ClientRequest, traffic: VolumeTraffic, writes: bool, shard: int, left_ms: int) -> bytes:
    """Returns the bytes of a request in the platform's protocol."""
    class_name, body = ("new-write", b"w" * 64 * request.units) if writes else ("read", b"")
    shard = -1 if writes else shard
    lines = [
        f"{'PUT' if writes else 'GET'} /{class_name}/{request.volume:016x}/{int(request.request_id, 16):016x}"
        f"?units={request.units}&shard={shard} HTTP/1.1",
        "Host: app.svc",
        f"X-Request-Id: {request.request_id}",
        f"X-Class: {class_name}",
        f"X-Qos-Policy: {traffic.plan}",
        f"X-Deadline-Ms: {left_ms}",
        f"X-Placement: units={request.units},shard={shard},hosts={traffic.hosts}",
    ]
    if writes:
        lines += [f"Idempotency-Key: {request.request_id}", f"Content-Length: {len(body)}"]
    return "\r\n".join((*lines, "", "")).encode() + body


async def _read(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Reads a response; returns its status, its body, and whether the connection stays open."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:-2])}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split()[1]), body, headers.get("connection", "").lower() != "close"
