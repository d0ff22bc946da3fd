"""The clients of a fleet: open-loop requests to several brokers, with a record of each and of its answer.

Bytes are written and read here, not by a library, so that an answer too many is seen as what it is. Each
volume asks at its own rate through its own brokers, and may move its demand from one of them to another.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

GRACE_S = 0.5  # past the deadline: an answer by then is late, later there is none


@dataclass(slots=True)
class Asked:
    """One request and what became of it; times are monotonic."""

    ident: str
    broker: int
    volume: int
    units: int
    due: float
    deadline: float
    sent: float = 0.0  # when its last byte was written to a connection that was accepted; 0: never
    ended: float = 0.0
    end: str = ""  # served, refused, failed, cut (the connection ended), silent
    wrong: bool = False  # answered by what no node made for it
    surplus: bool = False  # bytes came that answer nothing


@dataclass(frozen=True, slots=True)
class Asker:
    """One volume's traffic: `rate(t)` requests a second, `t` seconds from the start, at broker `where(t)`."""

    volume: int
    plan: str
    hosts: int
    shards: tuple[int, ...]
    rate: Callable[[float], float]
    where: Callable[[float], int]
    largest_request_units: int = 2
    writes: float = 0.3


class _Line:
    """One connection to a broker."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def quiet(self) -> bool:
        """Nothing has come that answers nothing."""
        return not self.reader._buffer and not self.reader.at_eof()  # type: ignore[attr-defined]


@dataclass
class Clients:
    """All clients of a drill."""

    ports: list[int]
    seed: int
    deadline_ms: int = 1500
    asked: list[Asked] = field(default_factory=list)
    surplus: int = 0  # connections on which something came that answers nothing
    _idle: dict[int, list[_Line]] = field(default_factory=dict)
    _out: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, askers: list[Asker], seconds: float) -> None:
        """Send what is due for `seconds`, then wait for what is out."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await asyncio.gather(*(self._ask(one, begun, seconds) for one in askers))
        if self._out:
            await asyncio.wait(self._out)
        for lines in self._idle.values():
            for line in lines:
                line.writer.close()

    async def _ask(self, asker: Asker, begun: float, seconds: float) -> None:
        loop, random = asyncio.get_running_loop(), Random(f"{self.seed}/{asker.volume}")
        due, number = begun, 0
        while True:
            rate = asker.rate(due - begun)
            due += random.expovariate(rate) if rate > 0 else 0.1
            if due >= begun + seconds:
                return
            await asyncio.sleep(max(0.0, due - loop.time()))
            if rate <= 0:
                continue
            number += 1
            writes = random.random() < asker.writes
            told = Asked(
                f"{self.seed & 0xFFFF:04x}{asker.volume & 0xFFFF:04x}{number:08x}",
                asker.where(due - begun),
                asker.volume,
                random.randint(1, asker.largest_request_units),
                due,
                due + self.deadline_ms / 1000,
            )
            self.asked.append(told)
            task = asyncio.create_task(self._one(told, asker, writes, random.choice(asker.shards)))
            self._out.add(task)
            task.add_done_callback(self._out.discard)

    async def _one(self, told: Asked, asker: Asker, writes: bool, shard: int) -> None:
        loop = asyncio.get_running_loop()
        line: _Line | None = None
        try:
            async with asyncio.timeout_at(told.deadline + GRACE_S):
                while True:
                    line, fresh = await self._line(told.broker)
                    left = max(1, int((told.deadline - loop.time()) * 1000))
                    line.writer.write(_text(told, asker, writes, shard, left))
                    told.sent = loop.time()
                    try:
                        status, body, keep = await _read(line.reader)
                        break
                    except (OSError, asyncio.IncompleteReadError) as error:
                        line.writer.close()
                        # A close that crossed a request on a kept connection: once more, on a new one.
                        if fresh or (isinstance(error, asyncio.IncompleteReadError) and error.partial):
                            raise
            told.ended = loop.time()
            told.end = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
            told.wrong = status == 200 and body != told.ident.encode()
            told.surplus = bool(line.reader._buffer)  # type: ignore[attr-defined]
            if keep and not told.surplus:
                self._idle.setdefault(told.broker, []).append(line)
                line = None
        except TimeoutError:
            told.ended, told.end = loop.time(), "silent"
        except (OSError, EOFError, ValueError, IndexError):
            told.ended, told.end = loop.time(), "cut"
        finally:
            if line is not None:
                with contextlib.suppress(OSError):
                    line.writer.close()

    async def _line(self, broker: int) -> tuple[_Line, bool]:
        """A connection that is free, or a new one, and whether it is new."""
        idle = self._idle.setdefault(broker, [])
        while idle:
            line = idle.pop()
            if line.quiet():
                return line, False
            self.surplus += bool(line.reader._buffer)  # type: ignore[attr-defined]
            line.writer.close()
        return _Line(*await asyncio.open_connection("127.0.0.1", self.ports[broker])), True


def _text(told: Asked, asker: Asker, writes: bool, shard: int, left_ms: int) -> bytes:
    cls, body = ("new-write", b"w" * 64 * told.units) if writes else ("read", b"")
    shard = -1 if writes else shard
    lines = [
        f"{'PUT' if writes else 'GET'} /{cls}/{told.volume:016x}/{int(told.ident, 16):016x}"
        f"?units={told.units}&shard={shard} HTTP/1.1",
        "Host: app.svc",
        f"X-Request-Id: {told.ident}",
        f"X-Class: {cls}",
        f"X-Qos-Policy: {asker.plan}",
        f"X-Deadline-Ms: {left_ms}",
        f"X-Placement: units={told.units},shard={shard},hosts={asker.hosts}",
    ]
    if writes:
        lines += [f"Idempotency-Key: {told.ident}", f"Content-Length: {len(body)}"]
    return "\r\n".join((*lines, "", "")).encode() + body


async def _read(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Status, body, and whether the connection stays."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    told = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:-2])}
    body = await reader.readexactly(int(told.get("content-length", 0)))
    return int(head[0].split()[1]), body, told.get("connection", "").lower() != "close"
