"""`lemonridge demo`: the broker at work for twenty seconds, with a node that dies and comes back cold."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from random import Random

from lemonridge.lab.conform.cases import STORE
from lemonridge.lab.load import iscsi as load
from lemonridge.lab.measure.iscsi import CONFIG
from lemonridge.lab.program import running_program
from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.mover import Mover
from lemonridge.lab.standins.node import ExtentNode
from lemonridge.lab.ticks import Ticks

PREFIX, NODES, BLOCKS, RATE = "/demo/", 3, 1024, 150.0
LUN = '[[lun]]\nlun = {lun}\nplan = "standard"\nshard = {lun}\n'


def _config(port: int) -> str:
    """Three LUNs, one on each node's shard, and the nodes in etcd."""
    head = CONFIG.format(store=STORE, port=0, front="").partition("[[lun]]")[0]
    for default, value in (
        ("cold_units = 1000000", "cold_units = 8"),
        ("deadline_ms = 5000", "deadline_ms = 2000"),
        ("aim_ms = 4000", "aim_ms = 400"),
        ("rate = 1000000", "rate = 100"),
        ("reserve = 1000000", "reserve = 80"),
    ):
        head = head.replace(default, value)
    luns = "".join(LUN.format(lun=lun) for lun in range(NODES))
    return f'{head}{luns}[etcd]\nendpoint = "127.0.0.1:{port}"\nprefix = "{PREFIX}"\n'


async def run(seconds: float, progress: Callable[[str], None]) -> dict[str, object]:
    """The summary's figures."""
    ticks = Ticks()
    nodes = [ExtentNode(f"n{n}", n, ticks, Random(n), accepts_unversioned=True) for n in range(NODES)]
    random = Random(7)
    etcd = await Etcd().start()
    mover = Mover(nodes, etcd, PREFIX, ticks, Random(0))
    for lun, node in enumerate(nodes):
        await node.start()
        node.delay_s = lambda: random.expovariate(1 / 0.004)
        mover.nodes = [node]
        mover.create_lun(lun, 1, BLOCKS)
    etcd.transact({f"{PREFIX}nodes/{node.name}": node.etcd_entry() for node in nodes})
    victim = nodes[1]
    try:
        async with running_program(_config(etcd.port)) as (program, port):
            progress(
                f"a broker on 127.0.0.1:{port} before {NODES} stand-in nodes; {RATE:g} commands a second"
            )
            plan = load.LoadPlan(port, STORE, RATE, seconds, luns=tuple(range(NODES)), blocks=BLOCKS)
            load_task = asyncio.create_task(load.run(plan, progress))
            await asyncio.sleep(seconds * 0.4)
            victim.kill()
            progress("node n1 dies: its commands are refused at once, the other nodes' go on")
            await asyncio.sleep(seconds * 0.2)
            await victim.start()
            etcd.put(f"{PREFIX}nodes/n1", {**victim.etcd_entry(), "started_ms": int(time.time() * 1000)})
            progress("node n1 is back, cold: it gets little at first, more as it warms")
            commands_at_return = len(victim.command_start_times)
            tally = await load_task
            commands_after_return = len(victim.command_start_times) - commands_at_return
    finally:
        for node in nodes:
            if node.alive:
                node.kill()
        await etcd.stop()
    counts = program.counters
    return {
        "demo": "iscsi",
        **tally.figures(),
        "attempts": counts.get("attempts.sent", 0),
        "unreached": counts.get("attempts.connect_failed", 0),
        "after_return": commands_after_return,
    }


def main(seconds: float) -> dict[str, object]:
    """Run it, and say in words what the broker did."""
    figures = asyncio.run(run(seconds, lambda text: print(text, file=sys.stderr)))
    print(
        f"{figures['served']} of {figures['due']} commands were served, {figures['refused']} refused at once and "
        f"{figures['failed']} failed (they may have run when their node died)."
    )
    print(
        f"Reads took {figures['read_p50_ms']} ms in the median and {figures['read_p99_ms']} ms at the 99th "
        f"percentile; {figures['after_return']} commands went to n1 after its return."
    )
    return figures
