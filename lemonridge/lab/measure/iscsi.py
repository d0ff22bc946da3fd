"""Measures the iSCSI front: commands a second, response times and CPU, compared with the direct path.

Each setting is measured within one run, with the same client and the same stand-in node, with the broker
between them and without. `--against DIR` measures the broker of another checkout of this repository too, in
turns with this one.
"""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

from lemonridge.lab.conform.cases import STORE_TARGET
from lemonridge.lab.links.pdus import DirectLink, FaultyLink
from lemonridge.lab.load.client import Client, CommandLostError
from lemonridge.lab.load.initiator import cdb
from lemonridge.lab.program import Program, running_program
from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.mover import Mover
from lemonridge.lab.standins.node import BLOCK_BYTES, ExtentNode
from lemonridge.lab.ticks import Ticks

BLOCKS = 4096
CONFIG = """
[iscsi]
listen = "127.0.0.1:0"
target = "{store}"
queue_depth = 64
{front}
[initiator]
name = "iqn.2026-12.org.lemonridge:broker"
[classes.read]
aim_ms = 4000
deadline_ms = 5000
[classes.write]
aim_ms = 4000
deadline_ms = 5000
[rules]
cold_units = 1000000
[[plan]]
name = "standard"
rate = 1000000
reserve = 1000000
[[lun]]
lun = 0
plan = "standard"
shard = 0
[[node]]
name = "n0"
address = "127.0.0.1:{port}"
target = "iqn.2026-12.org.lemonridge:n0"
shard = 0
"""


@dataclass(frozen=True, slots=True)
class Setting:
    """The load of one measurement.

    Attributes:
        size: The size of a command, in bytes.
        depth: How many commands are outstanding at the same time.
        connections: The number of connections of the session.
        digests: Whether headers and data have digests.
    """

    size: int
    depth: int
    connections: int = 1
    digests: bool = False

    @property
    def name(self) -> str:
        """The name of the setting in the printed figures."""
        digests = "crc32c" if self.digests else "none"
        size = f"size={self.size // 1024}k depth={self.depth}"
        return f"{size} connections={self.connections} digests={digests}"


SETTINGS = (
    Setting(4096, 1),
    Setting(4096, 8),
    Setting(4096, 32),
    Setting(4096, 32, 1, True),
    Setting(4096, 32, 4),
    Setting(262144, 1),
    Setting(262144, 8),
    Setting(262144, 8, 1, True),
    Setting(262144, 8, 4),
)


async def _start_node() -> ExtentNode:
    """Starts a stand-in node with one LUN."""
    node = ExtentNode("n0", 0, Ticks(), Random(0), accepts_unversioned=True)
    await node.start()
    Mover([node], Etcd(), "/", node.ticks, Random(0)).create_lun(0, 1, BLOCKS)
    return node


async def _load(port: int, target: str, setting: Setting, seconds: float, level: int) -> list[float]:
    """Sends alternating reads and writes; returns the response time of each served command, in seconds."""
    digest = "CRC32C" if setting.digests else "None"
    client = Client(
        DirectLink(port),
        target,
        "iqn.2026-12.org.lemonridge:bench",
        setting.connections,
        level,
        Random(1),
        None,
        {"HeaderDigest": digest, "DataDigest": digest},
    )
    loop = asyncio.get_running_loop()
    latencies_s: list[float] = []
    data = bytes(setting.size)
    until = loop.time() + seconds

    async def lane(number: int) -> None:
        """Sends one command after another."""
        blocks = setting.size // BLOCK_BYTES
        first_block, writes = number * blocks % (BLOCKS - blocks + 1), bool(number % 2)
        while loop.time() < until:
            started_at = loop.time()
            command_block = cdb(0x2A if writes else 0x28, first_block, setting.size)
            status, _ = await client.run(
                command_block, 0, data if writes else b"", 0 if writes else setting.size
            )
            if status == 0:
                latencies_s.append(loop.time() - started_at)
            writes = not writes

    await asyncio.gather(*(lane(number) for number in range(setting.depth)))
    await client.close()
    return latencies_s


@asynccontextmanager
async def running_broker_and_node(
    front: str = "", cwd: str | None = None
) -> AsyncGenerator[tuple[Program, int], None]:
    """Runs a broker with one stand-in node for the duration of the block.

    Args:
        front: Further lines of the section `[iscsi]` of the configuration.
        cwd: The checkout whose program runs; by default this one.

    Yields:
        The program and the port of its portal.
    """
    node = await _start_node()
    text = CONFIG.format(store=STORE_TARGET, port=node.port, front=front)
    try:
        async with running_program(text, cwd=cwd) as program_and_port:
            yield program_and_port
    finally:
        node.kill()


async def _load_broker(setting: Setting, seconds: float, cwd: str | None) -> tuple[list[float], float]:
    """Loads a broker; returns the response times and its CPU time per command in microseconds."""
    async with running_broker_and_node(cwd=cwd) as (program, port):
        await _load(port, STORE_TARGET, setting, 0.3, 0)
        cpu_s = program.cpu_s
        latencies_s = await _load(port, STORE_TARGET, setting, seconds, 0)
        cpu_s = program.cpu_s - cpu_s
    return latencies_s, cpu_s / max(1, len(latencies_s)) * 1e6


async def _load_node(setting: Setting, seconds: float) -> list[float]:
    """Loads a stand-in node directly; returns the response times in seconds."""
    node = await _start_node()
    try:
        return await _load(node.port, node.iqn, setting, seconds, 0)
    finally:
        node.kill()


def _percentiles_ms(latencies_s: list[float]) -> tuple[float, float]:
    """Returns the 50th and the 99th percentile, in milliseconds."""
    percentiles = statistics.quantiles(latencies_s, n=100)
    return round(percentiles[49] * 1000, 2), round(percentiles[98] * 1000, 2)


def figures(
    seconds: float, against: str | None = None, settings: tuple[Setting, ...] = SETTINGS
) -> list[dict[str, object]]:
    """Measures each setting.

    Args:
        seconds: The duration of each measurement.
        against: Another checkout whose broker is measured too.
        settings: The settings.

    Returns:
        The figures of each setting.
    """
    rows: list[dict[str, object]] = []
    for setting in settings:
        direct_latencies_s = asyncio.run(_load_node(setting, seconds))
        latencies_s, cpu_us = asyncio.run(_load_broker(setting, seconds, None))
        p50_ms, p99_ms = _percentiles_ms(latencies_s)
        direct_p50_ms, direct_p99_ms = _percentiles_ms(direct_latencies_s)
        row: dict[str, object] = {
            "setting": setting.name,
            "per_s": round(len(latencies_s) / seconds),
            "direct_per_s": round(len(direct_latencies_s) / seconds),
            "ratio": round(len(latencies_s) / len(direct_latencies_s), 3),
            "p50_ms": p50_ms,
            "direct_p50_ms": direct_p50_ms,
            "p99_ms": p99_ms,
            "direct_p99_ms": direct_p99_ms,
            "cpu_us": round(cpu_us),
        }
        if against is not None and setting.connections == 1 and not setting.digests:
            before_us, present_us = [], [cpu_us]
            for _ in range(2):
                before_us.append(asyncio.run(_load_broker(setting, seconds, against))[1])
                present_us.append(asyncio.run(_load_broker(setting, seconds, None))[1])
            row |= {
                "before_cpu_us": round(min(before_us)),
                "cpu_ratio": round(min(present_us) / min(before_us), 3),
            }
        rows.append(row)
    return rows


async def _recovery_time_s(level: int, rounds: int) -> float:
    """Returns the median time from the cut of a connection to the first answer after it, in seconds."""
    async with running_broker_and_node("time2wait_s = 0") as (_, port):
        link = FaultyLink(Random(level))
        link.upstream_port = port
        await link.start()
        client = Client(
            link,
            STORE_TARGET,
            "iqn.2026-12.org.lemonridge:bench",
            1,
            level,
            Random(1),
            None,
            {"HeaderDigest": "None", "DataDigest": "None"},
        )
        times_s = []
        for _ in range(rounds):
            await client.run(cdb(0x28, 0, 4096), 0, b"", 4096)
            link.cut_all()
            started_at = asyncio.get_running_loop().time()
            await _run_until_served(lambda: client.run(cdb(0x28, 0, 4096), 0, b"", 4096))
            times_s.append(asyncio.get_running_loop().time() - started_at)
        await client.close()
        link.stop()
    return statistics.median(times_s)


async def _run_until_served(run: Callable[[], Awaitable[tuple[int, bytes]]]) -> None:
    """Repeats a command until it is served."""
    while True:
        try:
            if (await run())[0] == 0:
                return
        except CommandLostError:
            continue


def recovery(rounds: int = 15) -> dict[str, object]:
    """Measures the time from a cut connection to the next answer, at each recovery level."""
    return {
        f"level_{level}_ms": round(asyncio.run(_recovery_time_s(level, rounds)) * 1000, 2)
        for level in range(3)
    }
