"""New commands go to a drained node for good after etcd was away: the next watch waits without an end."""

from __future__ import annotations

import asyncio

from case_lib import (
    ISCSI_TOML,
    TROUBLE,
    BrokerProcess,
    CannotRunError,
    Record,
    Session,
    free_port,
    run_case,
    wait_for_port,
)
from node import Node
from proxy import ResettableProxy

from lemonridge.lab.standins.etcd import Etcd

AWAY_S = 5.0  # longer outages than 8 s are named too
TOLD_S = 6.0  # a change counts as told so long after etcd had it and could be reached
LONGEST_WAIT_S = 60.0 + 2.0  # of a watch that fell silent; it counts as told then at the latest
GRACE_S, SLACK_S = 0.5, 0.05  # of a drain, and of every time limit
AFTER_S = 8.0  # how long the case goes on after the last excuse


async def read_on(session: Session, port_cid: int) -> None:
    """Reads a block four times a second."""
    link = await session.connect(cid=port_cid)
    session.is_noted = False
    while True:
        await session.read_block(link, 7)
        await asyncio.sleep(0.25)


async def case(record: Record, broker: BrokerProcess) -> str:
    """Runs the case; returns what was broken."""
    loop = asyncio.get_running_loop()
    etcd = await Etcd().start()
    proxy = await ResettableProxy(etcd.port).start()
    drained, successor = await Node(record, "node-1", 0).start(), await Node(record, "node-2", 0).start()
    for node in (drained, successor):
        node.noted_blocks = set()
    for shard in range(1, 5):  # one of five drains: up to 20% at a time
        other = await Node(record, f"node-{shard + 2}", shard).start()
        etcd.put(f"/lemonridge/nodes/{other.name}", other.entry())
    etcd.put("/lemonridge/nodes/node-1", drained.entry())
    port = free_port()
    await broker.start_iscsi(
        ISCSI_TOML.format(port=port)
        + '\n[[lun]]\nlun = 0\nplan = "standard"\nshard = 0\n'
        + f'\n[etcd]\nendpoint = "127.0.0.1:{proxy.port}"\nprefix = "/lemonridge/"\n'
    )
    await wait_for_port(port)
    reading = asyncio.create_task(read_on(Session(record, port, "portal"), 1))
    await asyncio.sleep(3)
    if not drained.arrivals:
        raise CannotRunError("no command came to node-1")

    away_s = loop.time()
    if TROUBLE:
        record.note(f"etcd: its connections are reset, new ones get no answer for {AWAY_S} s")
        proxy.silent = True
        proxy.reset()
    await asyncio.sleep(AWAY_S)
    proxy.silent = False
    record.note("etcd: serves whoever connects")
    await asyncio.sleep(1)

    etcd.put("/lemonridge/nodes/node-2", successor.entry())
    etcd.put("/lemonridge/nodes/node-1", drained.entry("draining"))
    told_s = loop.time()
    record.note("etcd: node-1 drains, node-2 takes its place")
    excused_until_s = max(told_s + TOLD_S, away_s + 1 + LONGEST_WAIT_S) + GRACE_S + SLACK_S
    end_s = (excused_until_s if TROUBLE else told_s + TOLD_S) + AFTER_S
    while loop.time() < end_s:
        before = len(drained.arrivals), len(successor.arrivals)
        await asyncio.sleep(2)
        record.note(
            f"{loop.time() - told_s:.1f} s after the drain: {len(drained.arrivals) - before[0]} new commands "
            f"came to node-1 in 2 s, {len(successor.arrivals) - before[1]} to node-2"
        )
    if reading.done():
        reading.result()
    reading.cancel()
    since_s = [at_s - told_s for at_s, _ in drained.arrivals]
    late = [at_s for at_s in since_s if at_s > excused_until_s - told_s]
    by_the_page = [at_s for at_s in since_s if at_s > TOLD_S + GRACE_S + SLACK_S]
    record.note(
        f"new commands to node-1 later than 6.55 s after its drain: {len(by_the_page)}; of them past the end "
        f"of any watch of 60 s: {len(late)}"
    )
    if late:
        return (
            f"{len(late)} new commands to a drained node, {late[0]:.1f} to {late[-1]:.1f} s after its drain"
        )
    if by_the_page:
        record.note("held only if the silence of a watch of 60 s excuses it")
    return ""


run_case(__file__, case)
