"""An open-loop generator of iSCSI load: commands are due at times that no answer moves.

A closed loop waits with the server it measures and so leaves out the very requests that would have waited
(Tene's "coordinated omission"). Here a command's time counts from when it was due, whether or not it could be
sent then. Times go into an HdrHistogram, whose file other tools read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram

from lemonridge.lab.client import Client, CommandLostError
from lemonridge.lab.initiator import cdb
from lemonridge.lab.link import Straight

HIGHEST_US, DIGITS = 60_000_000, 3
TICK_S = 1.0


@dataclass(frozen=True, slots=True)
class Plan:
    """What is asked for: `rate` commands a second for `seconds`, of `size` bytes, `writes` of them writes."""

    port: int
    target: str
    rate: float
    seconds: float
    size: int = 4096
    writes: float = 0.3
    luns: tuple[int, ...] = (0,)
    blocks: int = 1024  # of each LUN that are used
    arrivals: str = "poisson"  # or even, or bursty: twenty at a time
    sessions: int = 4
    outstanding: int = 2000  # past it a command is not sent, and counted so
    patience_s: float = 10.0
    seed: int = 1


@dataclass
class Tally:
    """Counts by outcome, and times in microseconds by kind: a command's (read, write) or a class's name."""

    kinds: tuple[str, ...] = ("read", "write")
    due: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    unsent: int = 0
    times: dict[str, Any] = field(init=False)

    def __post_init__(self) -> None:
        self.times = {kind: HdrHistogram(1, HIGHEST_US, DIGITS) for kind in self.kinds}

    def took(self, kind: str, due: float, now: float) -> None:
        """One served, due at `due` and answered at `now`, in seconds of the loop's clock."""
        self.served += 1
        self.times[kind].record_value(min(HIGHEST_US, max(1, int((now - due) * 1e6))))

    def figures(self) -> dict[str, object]:
        told: dict[str, object] = {name: getattr(self, name)
                                   for name in ("due", "served", "refused", "failed", "lost", "unsent")}
        for kind, held in self.times.items():
            for part in (50, 99, 99.9):
                told[f"{kind}_p{part:g}_ms"] = round(held.get_value_at_percentile(part) / 1000, 2)
        return told


async def open_loop(tally: Tally, rate: float, arrivals: str, seconds: float, outstanding: int,
                    random: Random, draw: Callable[[float, int], Coroutine[Any, Any, None]],
                    say: Callable[[str], None]) -> None:
    """Call `draw(due, number)` at each time that is due for `seconds`, and run what it gives unless
    `outstanding` are out, when it is counted as unsent; then wait for what is out. `say` gets a line a
    second.

    `draw` makes its draws whether or not its request is sent, so that the day is the same."""
    loop, next_gap, out = asyncio.get_running_loop(), gaps(rate, arrivals, random), set[asyncio.Task[None]]()
    due = began = loop.time()
    told = began + TICK_S
    while (due := due + next_gap()) < began + seconds:
        await asyncio.sleep(max(0.0, due - loop.time()))
        tally.due += 1
        sending = draw(due, tally.due)
        if len(out) >= outstanding:
            sending.close()
            tally.unsent += 1
            continue
        task = asyncio.create_task(sending)
        out.add(task)
        task.add_done_callback(out.discard)
        if loop.time() >= told:
            told += TICK_S
            say(f"at {loop.time() - began:.0f} s: due {tally.due} served {tally.served} "
                f"refused {tally.refused} failed {tally.failed} out {len(out)}")
    if out:
        await asyncio.wait(out)


def gaps(rate: float, arrivals: str, random: Random) -> Callable[[], float]:
    """The time from one arrival to the next, in seconds: `poisson`, `even`, or `bursty` (twenty at once)."""
    if arrivals == "even":
        return lambda: 1 / rate
    if arrivals == "bursty":
        left = [0]

        def gap() -> float:
            left[0] = left[0] - 1 if left[0] else 19
            return 0.0 if left[0] else random.expovariate(rate / 20)

        return gap
    return lambda: random.expovariate(rate)


async def run(plan: Plan, say: Callable[[str], None] = lambda text: None) -> Tally:
    """Send what is due, and wait for what is out; `say` gets a line a second."""
    loop, random, tally = asyncio.get_running_loop(), Random(plan.seed), Tally()
    link = Straight(plan.port)
    none = {"HeaderDigest": "None", "DataDigest": "None"}
    name = "iqn.2026-12.org.lemonridge:load"
    clients = [Client(link, plan.target, f"{name}-{number}", 1, 0, Random(number), None, none)
               for number in range(plan.sessions)]  # fmt: skip
    data = bytes(plan.size)

    async def one(client: Client, at: float, writes: bool, lun: int, place: int) -> None:
        text = cdb(0x2A if writes else 0x28, place, plan.size)
        try:
            async with asyncio.timeout_at(at + plan.patience_s):
                status, _ = await client.run(text, lun, data if writes else b"", 0 if writes else plan.size)
        except (CommandLostError, TimeoutError):
            tally.lost += 1
            return
        if status == 0:
            tally.took("write" if writes else "read", at, loop.time())
        elif status in (0x08, 0x28):
            tally.refused += 1
        else:
            tally.failed += 1

    def draw(due: float, number: int) -> Coroutine[Any, Any, None]:
        writes, lun = random.random() < plan.writes, random.choice(plan.luns)
        place = random.randrange(max(1, plan.blocks - plan.size // 512))
        return one(clients[number % plan.sessions], due, writes, lun, place)

    await open_loop(tally, plan.rate, plan.arrivals, plan.seconds, plan.outstanding, random, draw, say)
    for client in clients:
        await client.close()
    return tally
