"""Measures the iSCSI front: commands a second, times and CPU, through the broker against the direct path.

Every line is a ratio within one run: the same client, the same stand-in node, with the broker between them
and without. `--against DIR` puts another checkout of this repository between them too, for a comparison in
turns.
"""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

from lemonridge.lab.conform.cases import STORE
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
    size: int
    depth: int
    connections: int = 1
    digests: bool = False

    @property
    def name(self) -> str:
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


async def _node() -> ExtentNode:
    node = ExtentNode("n0", 0, Ticks(), Random(0), accepts_unversioned=True)
    await node.start()
    Mover([node], Etcd(), "/", node.ticks, Random(0)).create_lun(0, 1, BLOCKS)
    return node


async def _load(port: int, target: str, setting: Setting, seconds: float, level: int) -> list[float]:
    """Reads and writes by turns, `depth` at a time; the time of each in s."""
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
    taken: list[float] = []
    data = bytes(setting.size)
    until = loop.time() + seconds

    async def lane(number: int) -> None:
        blocks = setting.size // BLOCK_BYTES
        place, writes = number * blocks % (BLOCKS - blocks + 1), bool(number % 2)
        while loop.time() < until:
            began = loop.time()
            text = cdb(0x2A if writes else 0x28, place, setting.size)
            status, _ = await client.run(text, 0, data if writes else b"", 0 if writes else setting.size)
            if status == 0:
                taken.append(loop.time() - began)
            writes = not writes

    await asyncio.gather(*(lane(number) for number in range(setting.depth)))
    await client.close()
    return taken


@asynccontextmanager
async def running_broker_and_node(
    front: str = "", cwd: str | None = None
) -> AsyncGenerator[tuple[Program, int], None]:
    """A broker before a stand-in node, and its port, as long as it takes; `front` adds keys to `[iscsi]`."""
    node = await _node()
    text = CONFIG.format(store=STORE, port=node.port, front=front)
    try:
        async with running_program(text, cwd=cwd) as held:
            yield held
    finally:
        node.kill()


async def _through(setting: Setting, seconds: float, cwd: str | None) -> tuple[list[float], float]:
    """Through a broker; the times, and its CPU a command in microseconds."""
    async with running_broker_and_node(cwd=cwd) as (program, port):
        await _load(port, STORE, setting, 0.3, 0)
        cpu = program.cpu_s
        taken = await _load(port, STORE, setting, seconds, 0)
        cpu = program.cpu_s - cpu
    return taken, cpu / max(1, len(taken)) * 1e6


async def _direct(setting: Setting, seconds: float) -> list[float]:
    node = await _node()
    try:
        return await _load(node.port, node.iqn, setting, seconds, 0)
    finally:
        node.kill()


def _cuts(taken: list[float]) -> tuple[float, float]:
    cuts = statistics.quantiles(taken, n=100)
    return round(cuts[49] * 1000, 2), round(cuts[98] * 1000, 2)


def figures(
    seconds: float, against: str | None = None, settings: tuple[Setting, ...] = SETTINGS
) -> list[dict[str, object]]:
    """One line a setting."""
    rows: list[dict[str, object]] = []
    for setting in settings:
        direct = asyncio.run(_direct(setting, seconds))
        through, cpu = asyncio.run(_through(setting, seconds, None))
        p50, p99 = _cuts(through)
        base50, base99 = _cuts(direct)
        row: dict[str, object] = {
            "setting": setting.name,
            "per_s": round(len(through) / seconds),
            "direct_per_s": round(len(direct) / seconds),
            "ratio": round(len(through) / len(direct), 3),
            "p50_ms": p50,
            "direct_p50_ms": base50,
            "p99_ms": p99,
            "direct_p99_ms": base99,
            "cpu_us": round(cpu),
        }
        if against is not None and setting.connections == 1 and not setting.digests:
            before, ours = [], [cpu]
            for _ in range(2):
                before.append(asyncio.run(_through(setting, seconds, against))[1])
                ours.append(asyncio.run(_through(setting, seconds, None))[1])
            row |= {"before_cpu_us": round(min(before)), "cpu_ratio": round(min(ours) / min(before), 3)}
        rows.append(row)
    return rows


async def _recover(level: int, rounds: int) -> float:
    """From a cut connection to the first answer after it, in s: the median of some rounds."""
    async with running_broker_and_node("time2wait_s = 0") as (_, port):
        link = FaultyLink(Random(level))
        link.upstream_port = port
        await link.start()
        client = Client(
            link,
            STORE,
            "iqn.2026-12.org.lemonridge:bench",
            1,
            level,
            Random(1),
            None,
            {"HeaderDigest": "None", "DataDigest": "None"},
        )
        took = []
        for _ in range(rounds):
            await client.run(cdb(0x28, 0, 4096), 0, b"", 4096)
            link.cut_all()
            began = asyncio.get_running_loop().time()
            await _until_served(lambda: client.run(cdb(0x28, 0, 4096), 0, b"", 4096))
            took.append(asyncio.get_running_loop().time() - began)
        await client.close()
        link.stop()
    return statistics.median(took)


async def _until_served(run: Callable[[], Awaitable[tuple[int, bytes]]]) -> None:
    while True:
        try:
            if (await run())[0] == 0:
                return
        except CommandLostError:
            continue


def recovery(rounds: int = 15) -> dict[str, object]:
    """Time to the first answer after a cut, at each level."""
    return {f"level_{level}_ms": round(asyncio.run(_recover(level, rounds)) * 1000, 2) for level in range(3)}
