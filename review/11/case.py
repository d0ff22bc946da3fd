"""SYNCHRONIZE CACHE on an old extent map: GOOD, though the node with the newest data never got it."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "review" / "lib-3")]

from caching_node import CachingNode  # noqa: E402
from support import BROKEN, HELD, TROUBLE, CannotRunError, Case, free_port, run_case  # noqa: E402

from lemonridge.lab.load.initiator import Initiator  # noqa: E402
from lemonridge.lab.standins.etcd import Etcd  # noqa: E402
from lemonridge.lab.standins.mover import Mover  # noqa: E402
from lemonridge.lab.standins.node import BLOCK_BYTES, HeldExtent  # noqa: E402
from lemonridge.lab.ticks import Ticks  # noqa: E402

PREFIX = "/lemonridge/"
EXTENT_BLOCKS = 16
PLACEMENT = (0, 0, 1, 1)  # the node of each extent; the third node holds none at first
MOVED = (0, EXTENT_BLOCKS)  # LUN and first block of the extent that moves
NEWS_LATE_S = 3.0  # BRIEF: the register pushes changes "seconds late"; the site file says 2.1 to 4.8 s
NODE_DOWN_S = 5.5  # BRIEF: nodes die and "come back cold after 5.2 to 25 s"
GOOD, BUSY = 0x00, 0x08
SYNCHRONIZE_CACHE = b"\x35" + bytes(9)


def stamp(text: str) -> bytes:
    """Returns a block with this text in it."""
    return text.encode().ljust(BLOCK_BYTES, b".")


def config_text(case: Case, etcd: Etcd, port: int) -> str:
    """Returns deploy/extents.toml with the addresses of this play."""
    text = (ROOT / "deploy" / "extents.toml").read_text()
    return text.replace("127.0.0.1:3260", f"127.0.0.1:{port}").replace("127.0.0.1:2379", f"127.0.0.1:{etcd.port}")


async def until_served(case: Case, what: str, send: Any, limit_s: float = 30.0) -> tuple[int, bytes]:
    """Repeats a command while the answer is BUSY, as an initiator does; returns its status and data."""
    end_s = time.monotonic() + limit_s
    while True:
        status, data, _ = await send()
        case.record.line(f"initiator: {what}: status {status:#04x} {data[:24]!r}")
        if status != BUSY or time.monotonic() > end_s:
            return status, data
        await asyncio.sleep(0.2)


async def play(case: Case) -> int:
    """Plays the case; returns the exit status."""
    ticks, etcd = Ticks(), await Etcd().start()
    nodes = [CachingNode(f"n{number}", number, ticks, Random(number)) for number in range(3)]
    for node in nodes:
        node.on_event = case.record.line
        await node.start()
    mover = Mover(nodes, etcd, PREFIX, ticks, Random(1))
    entries: dict[str, Any] = {}
    for number, owner in enumerate(PLACEMENT):
        key = (0, number * EXTENT_BLOCKS)
        nodes[owner].add_extent(key, HeldExtent(EXTENT_BLOCKS, 1), {})
        mover.owners[key], mover.ownership_log[key] = nodes[owner], []
        entries[f"{PREFIX}map/extents/0/{key[1]:020d}"] = {"blocks": EXTENT_BLOCKS, "shard": owner, "version": 1}
    entries[f"{PREFIX}map/version"] = {"version": 0}
    entries.update({f"{PREFIX}nodes/{node.name}": node.etcd_entry() for node in nodes})
    etcd.transact(entries)
    port = free_port()
    path = case.folder / "extents.toml"
    path.write_text(config_text(case, etcd, port))
    broker = await case.broker("broker", f"--config {path}")
    await broker.wait_for_log("map replaced")
    await broker.wait_for_log("event=listening")
    session = await Initiator(port).start()

    async def write(block: int, data: bytes) -> int:
        return (await until_served(case, f"WRITE {block} {data[:24]!r}", lambda: session.write(block, data)))[0]

    async def synchronize() -> int:
        send = lambda: session.answer(session.command(SYNCHRONIZE_CACHE))  # noqa: E731
        return (await until_served(case, "SYNCHRONIZE CACHE", send))[0]

    block = MOVED[1]
    if await write(block, stamp("first")) != GOOD or await synchronize() != GOOD:
        raise CannotRunError("the first write was not served")
    if TROUBLE:
        etcd.plan_delivery = lambda _, events: [(NEWS_LATE_S, events)]
        case.record.line(f"mover: extent {MOVED} moves from n0 to n2; its news is {NEWS_LATE_S} s late")
        if not await mover.move(MOVED, nodes[2]):
            raise CannotRunError("the extent could not be moved")
    owner = mover.owners[MOVED]
    written, synchronized = await write(block, stamp("second")), await synchronize()
    if (written, synchronized) != (GOOD, GOOD):
        case.record.say(f"write {written:#04x}, synchronize cache {synchronized:#04x}: nothing was promised")
        return HELD
    case.record.line(f"{owner.name}: dies")
    owner.lose_power()
    etcd.plan_delivery = lambda _, events: [(0.0, events)]
    await asyncio.sleep(NODE_DOWN_S)
    await owner.start()
    case.record.line(f"{owner.name}: back at port {owner.port}")
    etcd.put(f"{PREFIX}nodes/{owner.name}", owner.etcd_entry())
    status, data = await until_served(case, f"READ {block}", lambda: session.read(block, BLOCK_BYTES))
    if status != GOOD:
        raise CannotRunError(f"the block could not be read again: status {status:#04x}")
    if data != stamp("second"):
        case.record.say(
            "WRITE and SYNCHRONIZE CACHE were answered GOOD, and the block holds what it held before: "
            f"{data[:24]!r}; {owner.name} was sent {owner.synchronized} SYNCHRONIZE CACHE before it died"
        )
        return BROKEN
    return HELD


run_case(__file__, play)
