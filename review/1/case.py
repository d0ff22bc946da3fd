"""One client sends long bodies, one after another; the broker must stay under its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import sys
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
    read_message,
    request_bytes,
    run_case,
    settings,
    with_trouble,
)

MEMORY_MB = 192  # DEPLOY: "the limits reach at most 192 MB"
LONG_BODY_BYTES = 24_000_000  # DAYS: "up to 32 MB"; the broker takes bodies up to an eighth of its memory
SHORT_BODY_BYTES = 64 * 1024  # PROTOCOL: "A body holds 64 KiB at most"
BODIES = 40
PAUSE_S = 0.3
READS_PER_S = 20
SAMPLE_S = 0.02


def memory_kb(process_id: int) -> int:
    """Returns the anonymous memory of a process: its files and libraries are left out, in its favour."""
    status = Path(f"/proc/{process_id}/status").read_text()
    match = re.search(r"RssAnon:\s+(\d+) kB", status)
    if match is None:
        raise CannotRunError("the memory of a process cannot be read")
    return int(match[1])


async def send_reads(port: int) -> None:
    """Sends small reads on one connection, until it is cancelled or the broker is gone."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        while True:
            _, data = request_bytes("read", "priority", 0, 2500)
            writer.write(data)
            await read_message(reader)
            await asyncio.sleep(1 / READS_PER_S)
    finally:
        writer.close()


async def send_bodies(record: Record, broker: Broker) -> None:
    """Sends the bodies, each after the answer to the one before."""
    reader, writer = await asyncio.open_connection("127.0.0.1", broker.port)
    body = b"y" * (LONG_BODY_BYTES if with_trouble() else SHORT_BODY_BYTES)
    served = 0
    for number in range(1, BODIES + 1):
        request_id, data = request_bytes("new-write", "priority", 0, 2000, body=body)
        writer.write(data)
        await writer.drain()
        answer = await read_message(reader)
        served += " 200 " in answer.start_line
        assert broker.process is not None
        record.add(
            f"body {number}: {request_id}, {len(body)} bytes, answered {answer.start_line!r};"
            f" memory {memory_kb(broker.process.pid)} kB"
        )
        await asyncio.sleep(PAUSE_S)
    if served < BODIES // 2:
        raise CannotRunError(f"{served} of {BODIES} bodies were served")


async def watch_memory(record: Record, broker: Broker) -> bool:
    """Acts as the platform: kills the broker once it is over its limit. Returns whether it did."""
    assert broker.process is not None
    while broker.process.returncode is None:
        with contextlib.suppress(OSError):
            used_kb = memory_kb(broker.process.pid)
            if used_kb > MEMORY_MB * 1024:
                record.add(f"the broker uses {used_kb} kB, its limit is {MEMORY_MB * 1024} kB: killed")
                broker.signal(signal.SIGKILL)
                return True
        await asyncio.sleep(SAMPLE_S)
    record.add(f"the broker ended by itself with status {broker.process.returncode}")
    return True


async def play(record: Record, folder: Path) -> int:
    """Plays the case."""
    node = await Node("s-1", 0, work_s=0.05).start()
    discovery = await Discovery([node]).start()
    config = {
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        "known": discovery.known(),
        "settings": settings(),
    }
    broker = await Broker("n1", folder, config).start()
    platform = asyncio.create_task(watch_memory(record, broker))
    reads = asyncio.create_task(send_reads(broker.port))
    bodies = asyncio.create_task(send_bodies(record, broker))
    try:
        await asyncio.wait((platform, bodies), return_when=asyncio.FIRST_COMPLETED)
        crashed = platform.done() and platform.result()
        if not crashed:
            try:
                bodies.result()
            except (asyncio.IncompleteReadError, ConnectionError, OSError):
                await asyncio.sleep(10 * SAMPLE_S)  # the broker is gone, or has closed the connection
                crashed = platform.done() and platform.result()
                if not crashed:
                    raise CannotRunError("the broker has closed the client's connection") from None
    finally:
        for task in (platform, reads, bodies):
            task.cancel()
        await asyncio.gather(platform, reads, bodies, return_exceptions=True)
        await broker.end()
        await node.stop()
        await discovery.stop()
    return BROKEN if crashed else HELD


run_case(Path(__file__).resolve().parent, play)
