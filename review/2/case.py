"""Clients read a long answer slowly, but faster than the page's 64 kB a second; none of it may be cut off."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (
    BROKEN,
    HELD,
    Broker,
    CannotRunError,
    Discovery,
    Node,
    Record,
    request_bytes,
    run_case,
    settings,
    with_trouble,
)

ANSWER_BYTES = 8_000_000  # DAYS: "up to 32 MB"
SLOW_BYTES_PER_S = (128_000, 256_000)  # DAYS: "for a body, 64 kB a second"
FAST_BYTES_PER_S = 100_000_000
GIVE_UP_S = 90.0


async def read_answer(record: Record, port: int, name: str, bytes_per_s: int) -> tuple[int, str]:
    """Sends one request and reads its answer at a steady rate; returns the bytes of the body and the end."""
    loop = asyncio.get_running_loop()
    request_id, data = request_bytes("bulk-read", "priority", 0, 6000)
    with socket.socket() as connection:
        connection.setblocking(False)
        await loop.sock_connect(connection, ("127.0.0.1", port))
        await loop.sock_sendall(connection, data)
        record.add(f"{name}: sent {request_id}, reads {bytes_per_s} bytes a second")
        received, began_s, reported_s = bytearray(), time.monotonic(), time.monotonic()
        head_bytes, end = -1, "all of it has come"
        while head_bytes < 0 or len(received) - head_bytes < ANSWER_BYTES:
            if time.monotonic() - began_s > GIVE_UP_S:
                end = "still coming when the script ended"
                break
            try:
                part = await loop.sock_recv(connection, min(65536, max(1024, bytes_per_s // 20)))
            except OSError as error:
                end = f"the broker broke the connection: {error}"
                break
            if not part:
                end = "the broker ended the connection"
                break
            received += part
            if head_bytes < 0 and b"\r\n\r\n" in received:
                head_bytes = received.index(b"\r\n\r\n") + 4
                head = bytes(received[:head_bytes])
                if b" 200 " not in head.partition(b"\r\n")[0]:
                    raise CannotRunError(f"{name}: {head!r}")
                record.add(f"{name}: {head.partition(b'X-')[0]!r}")
            if time.monotonic() - reported_s > 5:
                reported_s = time.monotonic()
                record.add(f"{name}: {len(received) - head_bytes} bytes of the body so far")
            await asyncio.sleep(max(0.0, began_s + len(received) / bytes_per_s - time.monotonic()))
    body_bytes = len(received) - max(0, head_bytes)
    record.add(f"{name}: {body_bytes} of {ANSWER_BYTES} bytes, {end}")
    return body_bytes, end


async def play(record: Record, folder: Path) -> int:
    """Plays the case."""
    node = await Node("s-1", 0, body=b"x" * ANSWER_BYTES).start()
    discovery = await Discovery([node]).start()
    config = {
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.known(),
        "settings": settings(),
    }
    broker = await Broker("n1", folder, config).start()
    try:
        rates = SLOW_BYTES_PER_S if with_trouble() else (FAST_BYTES_PER_S, FAST_BYTES_PER_S)
        results = await asyncio.gather(
            *(
                read_answer(record, broker.port, f"client {number}", rate)
                for number, rate in enumerate(rates, 1)
            )
        )
    finally:
        await broker.end()
        await node.stop()
        await discovery.stop()
    record.add(f"the node was sent {len(node.requests)} requests and answered each with {ANSWER_BYTES} bytes")
    return BROKEN if any("the broker" in end for _, end in results) else HELD


run_case(Path(__file__).resolve().parent, play)
