"""An open-loop generator of iSCSI load: commands are due at times that do not depend on responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

from lemonridge.lab.links.pdus import DirectLink
from lemonridge.lab.load.client import Client, CommandLostError
from lemonridge.lab.load.initiator import cdb
from lemonridge.lab.load.openloop import Tally, open_loop


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The load to generate.

    Attributes:
        port: Port of the target.
        target: Name of the target.
        rate: Commands per second.
        seconds: Duration in seconds.
        size: Size of each command in bytes.
        writes: Fraction of writes.
        luns: LUNs of the commands.
        blocks: Number of blocks of each LUN that are used.
        arrivals: Distribution of the arrivals: `poisson`, `even` or `bursty`.
        sessions: Number of sessions.
        outstanding: Largest number of open commands; a command beyond it is counted as unsent.
        patience_s: Time after which an unanswered command counts as lost.
        seed: Seed of the draws.
    """

    port: int
    target: str
    rate: float
    seconds: float
    size: int = 4096
    writes: float = 0.3
    luns: tuple[int, ...] = (0,)
    blocks: int = 1024
    arrivals: str = "poisson"
    sessions: int = 4
    outstanding: int = 2000
    patience_s: float = 10.0
    seed: int = 1


async def run(plan: LoadPlan, progress: Callable[[str], None] = lambda command_block: None) -> Tally:
    """Generates the load and waits until every command has ended.

    Args:
        plan: The load.
        progress: Called with one line of text per second.

    Returns:
        The counts, and the latencies of reads and writes.
    """
    loop, random, tally = asyncio.get_running_loop(), Random(plan.seed), Tally()
    link = DirectLink(plan.port)
    no_digests = {"HeaderDigest": "None", "DataDigest": "None"}
    name = "iqn.2026-12.org.lemonridge:load"
    clients = [
        Client(link, plan.target, f"{name}-{number}", 1, 0, Random(number), None, no_digests)
        for number in range(plan.sessions)
    ]
    data = bytes(plan.size)

    async def send_command(client: Client, due: float, writes: bool, lun: int, first_block: int) -> None:
        command_block = cdb(0x2A if writes else 0x28, first_block, plan.size)
        try:
            async with asyncio.timeout_at(due + plan.patience_s):
                status, _ = await client.run(
                    command_block, lun, data if writes else b"", 0 if writes else plan.size
                )
        except (CommandLostError, TimeoutError):
            tally.lost += 1
            return
        if status == 0:
            tally.record_served("write" if writes else "read", due, loop.time())
        elif status in (0x08, 0x28):
            tally.refused += 1
        else:
            tally.failed += 1

    def draw(due: float, number: int) -> Coroutine[Any, Any, None]:
        writes, lun = random.random() < plan.writes, random.choice(plan.luns)
        first_block = random.randrange(max(1, plan.blocks - plan.size // 512))
        return send_command(clients[number % plan.sessions], due, writes, lun, first_block)

    await open_loop(tally, plan.rate, plan.arrivals, plan.seconds, plan.outstanding, random, draw, progress)
    for client in clients:
        await client.close()
    return tally
