"""Clients that use more of a broker's time, memory or connections than their requests need.

Each flood is one process that opens a number of connections to the platform's front and misuses them in one
way for a while. It is the load beside which tests and the drill `soak` measure what other clients get.

    python -m lemonridge.lab.load.floods blank-fields --port 3000 --connections 2 --seconds 5 --seed 7
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import socket
import struct
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

BLANKS = 15_000  # in the padding of one field; a head holds 16 KiB
SOUND_BLANKS = 2_000  # in the padding of a request that is served
SHORT_FIELDS = 2_600  # of six bytes each
PIPELINED_PROBES = 50  # written at once
ONE_BYTE_CHUNKS = 4_096  # written at once
LONG_BODY_BYTES = 1 << 20  # announced by a client that stops half way
LONG_ANSWER_BYTES = 4 << 20  # asked of the node in the query `bytes`
READ_BYTES = 1 << 16
SLOW_READ_BYTES = 4_096  # taken every `SLOW_READ_PAUSE_S` by a client that reads slowly
SLOW_READ_PAUSE_S = 0.06
SLOW_WRITE_PAUSE_S = 0.05  # between the bytes of a head that is written slowly
REJECTED_PAUSE_S = 0.25  # after a rejected body
REFUSED_PAUSE_S = 0.02  # after a connection that could not be opened


class FloodKind(Enum):
    """The ways in which a flood misuses its connections; the values are the names on the command line."""

    BLANK_FIELDS = "blank-fields"  # heads with a long run of blanks in a field that ends unsoundly
    BLANK_TRAILERS = "blank-trailers"  # the same in the trailer of a chunked body
    SMALL_REQUESTS = "small-requests"  # sound requests without a pause, whose answers are read
    PADDED_REQUESTS = "padded-requests"  # the same with a run of blanks in a field
    NEW_VOLUMES = "new-volumes"  # the same, each for another volume
    PROBES = "probes"  # readiness probes without a pause
    ONE_BYTE_CHUNKS = "one-byte-chunks"  # a chunked body in chunks of one byte
    SHORT_FIELDS = "short-fields"  # sound heads of very many short fields
    LONG_HEADS = "long-heads"  # heads just over the limit, each on a new connection
    EMPTY_LINES = "empty-lines"  # line ends without a request
    SLOW_HEADS = "slow-heads"  # heads written byte by byte, that end half way
    HALF_HEADS = "half-heads"  # half a head and a reset
    HALF_BODIES = "half-bodies"  # half a long body and silence
    SLOW_READERS = "slow-readers"  # sound requests whose answers are read slowly
    LEAVERS = "leavers"  # sound requests, pipelined, and a close before the first answer


@dataclass(frozen=True)
class FloodOptions:
    """The options of a flood.

    Attributes:
        kind: How it misuses its connections.
        port: The port of the broker on loopback.
        connections: The number of connections that are open at once.
        seconds: How long it lasts.
        seed: The seed of its random draws.
        request_class: The class of its requests, which are reads.
        write_class: The class of its writes.
        policy: The plan that its requests name.
    """

    kind: FloodKind
    port: int
    connections: int
    seconds: float
    seed: int = 1
    request_class: str = "read"
    write_class: str = "new-write"
    policy: str = "priority"


class Flood:
    """One flood.

    Attributes:
        counts: What was done and seen: `opened`, `refused`, `reset`, `requests`, and each response's status.
    """

    def __init__(self, options: FloodOptions) -> None:
        self._options, self._random = options, Random(options.seed)
        self._numbers = itertools.count(1)
        self._ends_at_s = asyncio.get_running_loop().time() + options.seconds
        self.counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Runs until the time is over."""
        tasks = [asyncio.create_task(self._repeat()) for _ in range(self._options.connections)]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._ends_at_s):
                await asyncio.gather(*tasks)

    async def _repeat(self) -> None:
        """Opens a connection and misuses it, again and again."""
        misuse = self._misuses()[self._options.kind]
        while asyncio.get_running_loop().time() < self._ends_at_s:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._options.port)
            except OSError:
                self.counts["refused"] += 1
                await asyncio.sleep(REFUSED_PAUSE_S)
                continue
            self.counts["opened"] += 1
            try:
                await misuse(reader, writer)
            except OSError:
                self.counts["reset"] += 1
            except asyncio.IncompleteReadError:
                self.counts["ended"] += 1
            finally:
                writer.close()

    def _misuses(self) -> dict[FloodKind, Callable[..., Coroutine[Any, Any, None]]]:
        """Returns what is done with each connection, by kind."""
        return {
            FloodKind.BLANK_FIELDS: self._once(lambda: self._request(f"X-Pad:{' ' * BLANKS}\x01\r\n")),
            FloodKind.BLANK_TRAILERS: self._once(self._blank_trailer),
            FloodKind.SMALL_REQUESTS: self._stream(lambda: self._request(volume=1)),
            FloodKind.PADDED_REQUESTS: self._stream(
                lambda: self._request(f"X-Pad:{' ' * SOUND_BLANKS}x\r\n", volume=1)
            ),
            FloodKind.NEW_VOLUMES: self._stream(self._request),
            FloodKind.PROBES: self._stream(
                lambda: b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" * PIPELINED_PROBES
            ),
            FloodKind.ONE_BYTE_CHUNKS: self._write_one_byte_chunks,
            FloodKind.SHORT_FIELDS: self._stream(lambda: self._request("a:b\r\n" * SHORT_FIELDS, volume=1)),
            FloodKind.LONG_HEADS: self._once(lambda: self._request(f"X-Pad: {'x' * (17 * 1024)}\r\n")),
            FloodKind.EMPTY_LINES: self._stream(lambda: b"\r\n" * READ_BYTES),
            FloodKind.SLOW_HEADS: self._write_slow_head,
            FloodKind.HALF_HEADS: self._reset_half_head,
            FloodKind.HALF_BODIES: self._stop_half_way,
            FloodKind.SLOW_READERS: self._read_slowly,
            FloodKind.LEAVERS: self._leave,
        }

    # Requests

    def _request(self, fields: str = "", volume: int = 0, body_fields: str = "", query: str = "") -> bytes:
        """Returns the head of a read, or of a write if there are fields of a body.

        Args:
            fields: Further header lines.
            volume: The volume; 0 for one that was not used before.
            body_fields: The header lines that announce a body.
            query: The query of the target, with its question mark.
        """
        options, number = self._options, next(self._numbers)
        name = options.write_class if body_fields else options.request_class
        request_id = f"{options.seed & 0xFFFFFF:06x}{self._random.getrandbits(16):04x}{number & 0xFFFFFF:06x}"
        keyed = f"Idempotency-Key: {request_id}\r\n" if body_fields else ""
        self.counts["requests"] += 1
        path = f"/{name}/{volume or (options.seed << 40) + number:016x}/{number:016x}{query}"
        return (
            f"{'PUT' if body_fields else 'GET'} {path} HTTP/1.1\r\nHost: app.svc\r\n"
            f"X-Request-Id: {request_id}\r\nX-Class: {name}\r\nX-Qos-Policy: {options.policy}\r\n"
            f"X-Deadline-Ms: 2000\r\nX-Placement: units=1,shard=0,hosts=1\r\n"
            f"{keyed}{body_fields}{fields}\r\n"
        ).encode()

    def _blank_trailer(self) -> bytes:
        """Returns a chunked write whose trailer has a long run of blanks and ends unsoundly."""
        head = self._request(body_fields="Transfer-Encoding: chunked\r\n")
        return head + b"1\r\nx\r\n0\r\nX-Pad:" + b" " * BLANKS + b"\x01\r\n\r\n"

    # Uses of a connection

    def _once(self, message: Callable[[], bytes]) -> Callable[..., Coroutine[Any, Any, None]]:
        """Returns a use that sends one message and reads until the broker closes."""

        async def send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(message())
            response = await reader.read()
            self.counts[response[9:12].decode() or "no answer"] += 1

        return send

    def _stream(self, message: Callable[[], bytes]) -> Callable[..., Coroutine[Any, Any, None]]:
        """Returns a use that writes messages as fast as they are taken, and reads all answers."""

        async def send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            reading = asyncio.create_task(self._count_answers(reader))
            try:
                while not reading.done():
                    writer.write(message())
                    await writer.drain()
            finally:
                reading.cancel()

        return send

    async def _count_answers(self, reader: asyncio.StreamReader) -> None:
        """Reads answers and counts them by status until the broker closes."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                for status in _statuses(data):
                    self.counts[status] += 1

    async def _write_one_byte_chunks(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Writes chunks of one byte as fast as they are taken."""
        writer.write(self._request(body_fields="Transfer-Encoding: chunked\r\n"))
        await self._stream(lambda: b"1\r\nx\r\n" * ONE_BYTE_CHUNKS)(reader, writer)

    async def _write_slow_head(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Writes a head byte by byte and leaves half way."""
        head = self._request()
        for offset in range(self._random.randrange(1, 40)):
            writer.write(head[offset : offset + 1])
            await asyncio.sleep(SLOW_WRITE_PAUSE_S * self._random.random())

    async def _reset_half_head(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Writes half a head and resets the connection."""
        writer.write(self._request()[:60])
        await writer.drain()
        _reset(writer)

    async def _stop_half_way(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Writes half of a long body, whose head has many fields, and waits for the broker to close."""
        head = self._request("a:b\r\n" * SHORT_FIELDS, 0, f"Content-Length: {LONG_BODY_BYTES}\r\n")
        writer.write(head + b"x" * (LONG_BODY_BYTES // 2))
        await reader.read()
        await asyncio.sleep(REJECTED_PAUSE_S)

    async def _read_slowly(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends a sound request and reads the answer slowly."""
        connection: socket.socket = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(self._request(volume=1, query=f"?bytes={LONG_ANSWER_BYTES}"))
        while True:
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            data = await reader.read(SLOW_READ_BYTES)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            if not data:
                return
            await asyncio.sleep(SLOW_READ_PAUSE_S)

    async def _leave(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pipelines sound requests and closes the connection before the answers."""
        writer.write(b"".join(self._request() for _ in range(60)))
        await asyncio.sleep(self._random.uniform(0.0, 0.05))


def _statuses(data: bytes) -> Iterator[str]:
    """Returns the statuses of the answers whose status line lies within `data`."""
    return (part[:3].decode("latin-1") for part in data.split(b"HTTP/1.1 ")[1:])


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with RST."""
    connection: socket.socket = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def play(options: FloodOptions) -> Counter[str]:
    """Plays a flood and returns its counts."""
    flood = Flood(options)
    await flood.run()
    return flood.counts


def main() -> None:
    """Plays the flood that the command line names and prints its counts as key=value."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", type=FloodKind, help="one of: " + ", ".join(kind.value for kind in FloodKind))
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policy", default="priority")
    arguments = parser.parse_args()
    counts = asyncio.run(play(FloodOptions(**vars(arguments))))
    print(*(f"{name.replace(' ', '_')}={count}" for name, count in sorted(counts.items())))


if __name__ == "__main__":
    main()
