"""`lemonridge demo`: a broker under load, while one of its nodes fails and restarts cold."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from random import Random

from lemonridge.lab.conform.cases import STORE_TARGET
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
    """Returns the operator's file: three LUNs, one on each node's shard, and the nodes in etcd."""
    head = CONFIG.format(store=STORE_TARGET, port=0, front="").partition("[[lun]]")[0]
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
    """Runs the demo.

    Args:
        seconds: Duration of the load.
        progress: Called with lines of text about the events of the demo.

    Returns:
        The figures of the summary.
    """
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
            progress(f"broker on 127.0.0.1:{port} with {NODES} stand-in nodes; {RATE:g} commands per second")
            plan = load.LoadPlan(port, STORE_TARGET, RATE, seconds, luns=tuple(range(NODES)), blocks=BLOCKS)
            load_task = asyncio.create_task(load.run(plan, progress))
            await asyncio.sleep(seconds * 0.4)
            victim.kill()
            progress("node n1 dies: its commands are refused at once, those of other nodes are not affected")
            await asyncio.sleep(seconds * 0.2)
            await victim.start()
            etcd.put(f"{PREFIX}nodes/n1", {**victim.etcd_entry(), "started_ms": int(time.time() * 1000)})
            progress("node n1 has restarted cold: its load starts low and rises during its slow start")
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
    """Runs the demo, prints a summary and returns its figures."""
    figures = asyncio.run(run(seconds, lambda text: print(text, file=sys.stderr)))
    print(
        f"{figures['served']} of {figures['due']} commands were served, "
        f"{figures['refused']} were refused at once and "
        f"{figures['failed']} failed (they may have run before their node failed)."
    )
    print(
        f"Reads took {figures['read_p50_ms']} ms in the median and {figures['read_p99_ms']} ms at the 99th "
        f"percentile; n1 received {figures['after_return']} commands after its restart."
    )
    return figures
