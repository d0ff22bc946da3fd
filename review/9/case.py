"""Initiators that send at full speed leave an ordinary one without its answers."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys

from case_lib import (
    BLOCK_BYTES,
    ISCSI_TOML,
    ROOT,
    TROUBLE,
    BrokerProcess,
    CannotRunError,
    Link,
    Record,
    Session,
    free_port,
    read_cdb,
    run_case,
    wait_for_port,
)
from node import Node

FLOODERS = int(os.environ.get("FLOODERS", "12"))
DEADLINE_S = 2.5  # of a read, as configured
LOST_AFTER_S = DEADLINE_S + 0.5 + 0.05  # "up to half a second after its time it only earns nothing"
READS, READ_INTERVAL_S = 50, 0.25
PATIENCE_S = 20.0  # how long the case waits for an answer
STALL_PERIOD_S = 0.05


class Judge:
    """What the case saw: how long each read took, and how long its own process was held up.

    Attributes:
        latencies_s: Seconds to each answer; None where none came.
        stall_s: The longest time for which the case itself did not run.
    """

    def __init__(self) -> None:
        self.latencies_s: list[float | None] = []
        self.stall_s = 0.0

    async def watch_stalls(self) -> None:
        """Measures how late this process's own timers are."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + STALL_PERIOD_S
            await asyncio.sleep(STALL_PERIOD_S)
            self.stall_s = max(self.stall_s, loop.time() - due_s)

    async def read(self, session: Session, link: Link) -> None:
        """Sends one read and measures its answer."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        tag, pdu = session.command(read_cdb(7), read=BLOCK_BYTES, what="READ block 7")
        link.write(link.encode(pdu))
        try:
            await session.answer(tag, PATIENCE_S)
        except TimeoutError:
            self.latencies_s.append(None)
            session.note(f"tag {tag}: no answer in {PATIENCE_S} s")
        else:
            self.latencies_s.append(loop.time() - began_s)
            session.note(f"tag {tag}: answered after {loop.time() - began_s:.2f} s")


async def case(record: Record, broker: BrokerProcess) -> str:
    """Runs the case; returns what was broken."""
    node = await Node(record, "node-1", 0).start()
    node.noted_blocks = set()
    port = free_port()
    lun = '\n[[lun]]\nlun = 0\nplan = "standard"\nshard = 0\n'
    await broker.start_iscsi(ISCSI_TOML.format(port=port) + lun + node.toml())
    await wait_for_port(port)
    session = Session(record, port, "portal")
    link = await session.connect()
    for _ in range(8):
        if (await session.read_block(link, 7))[0]:
            raise CannotRunError("the broker does not serve")
    judge, flood = Judge(), None
    watching = asyncio.create_task(judge.watch_stalls())
    if TROUBLE:
        record.note(f"{FLOODERS} other initiators send INQUIRY at full speed and read the answers")
        flood = await asyncio.create_subprocess_exec(
            sys.executable, str(ROOT / "review/standins-2/flood.py"), str(port), str(FLOODERS)
        )
    try:
        await asyncio.sleep(1)
        reads = []
        for _ in range(READS):
            reads.append(asyncio.create_task(judge.read(session, link)))
            await asyncio.sleep(READ_INTERVAL_S)
        await asyncio.gather(*reads)
    finally:
        watching.cancel()
        if flood is not None:
            with contextlib.suppress(ProcessLookupError):
                flood.kill()
            await flood.wait()
    if broker.has_ended():
        return "the broker has ended by itself"
    never = sum(latency_s is None for latency_s in judge.latencies_s)
    answered = [latency_s for latency_s in judge.latencies_s if latency_s is not None]
    late = [latency_s for latency_s in answered if latency_s - judge.stall_s > LOST_AFTER_S]
    record.note(
        f"{READS} reads: {never} never answered, {len(late)} later than {LOST_AFTER_S} s, the slowest after "
        f"{max(answered, default=0):.2f} s; this process was held up for {judge.stall_s:.3f} s at most"
    )
    if never or late:
        return (
            f"of {READS} reads of an ordinary initiator {never} were not answered in {PATIENCE_S} s and "
            f"{len(late)} later than {LOST_AFTER_S} s"
        )
    return ""


run_case(__file__, case)
