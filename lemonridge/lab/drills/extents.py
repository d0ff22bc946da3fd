"""The drill `extents`: data that moves under load, while news of it is lost and nodes are killed and drained.

Four initiators write and read over extent borders through the real program; a mover hands extents over, some
twice in a row and some back; what etcd tells is lost, late, doubled or cut; `check` judges by the nodes'
logs.
"""

from __future__ import annotations

import asyncio
import statistics
from dataclasses import dataclass, field
from random import Random

from lemonridge.lab.checkers.extents import (
    CommandRecord,
    Findings,
    check,
    outcome_of,
    read_stamps,
    stamped_data,
)
from lemonridge.lab.links.drains import DrainMonitor
from lemonridge.lab.load.initiator import Initiator, cdb
from lemonridge.lab.program import Program, running_program
from lemonridge.lab.standins.etcd import Etcd, Events
from lemonridge.lab.standins.mover import Mover
from lemonridge.lab.standins.node import BLOCK_BYTES, ExtentNode
from lemonridge.lab.ticks import Ticks

PREFIX = "/drill/"
NODES, LUNS, EXTENTS, LENGTH, INITIATORS, LANES = 6, 2, 16, 64, 4, 12
DEADLINE_S = 1.2
GRACE_S = 2.0  # past the deadline: a command without an answer by then is unanswered
FAULTS = {"lost": 0.08, "late": 0.15, "doubled": 0.1}

CONFIG = """
[iscsi]
listen = "127.0.0.1:0"
target = "iqn.2026-12.org.lemonridge:store"
queue_depth = 64
[initiator]
name = "iqn.2026-12.org.lemonridge:broker"
[classes.read]
aim_ms = 400
deadline_ms = {deadline}
[classes.write]
aim_ms = 400
deadline_ms = {deadline}
[rules]
cold_units = 1000000
[[plan]]
name = "standard"
rate = 100000
reserve = 100000
[etcd]
endpoint = "127.0.0.1:{port}"
prefix = "{prefix}"
[extents]
page = 7
"""
LUN = """
[[lun]]
lun = {lun}
plan = "standard"
{where}
"""


@dataclass
class Options:
    """What the command line says; `move_every_s` 0 is never, and `faults` False a quiet day."""

    seed: int
    seconds: float = 10.0
    move_every_s: float = 0.2
    faults: bool = True
    checked: bool = True
    mapped: bool = True  # False: each LUN whole on one shard, without a map
    extents: int = EXTENTS  # of a LUN, which has the same blocks whatever they are


@dataclass
class Tally:
    """What the initiators were answered."""

    asked: list[CommandRecord] = field(default_factory=list)
    taken_s: list[float] = field(default_factory=list)
    unanswered: int = 0


class Drill:
    """One run."""

    def __init__(self, options: Options) -> None:
        self.options, self.ticks, self.tally = options, Ticks(), Tally()
        seed = options.seed
        self.random = {name: Random(f"{seed}/{name}") for name in ("lay", "load", "move", "fault", "news")}
        self.etcd = Etcd()
        self.etcd.chunk_bytes = 4096
        self.nodes = [
            ExtentNode(
                f"n{n}",
                n,
                self.ticks,
                self.random["fault"],
                options.checked,
                accepts_unversioned=not options.mapped,
            )
            for n in range(NODES)
        ]
        self.mover = Mover(self.nodes, self.etcd, PREFIX, self.ticks, self.random["lay"])
        self.drains = DrainMonitor(self.etcd, PREFIX)
        self.writes = 0

    async def run(self) -> tuple[dict[str, object], Findings]:
        for node in self.nodes:
            await node.start()
            node.delay_s = lambda: self.random["load"].expovariate(1 / 0.0015)
        await self.etcd.start()
        rows = {}
        for lun in range(LUNS):
            length = EXTENTS * LENGTH // self.options.extents
            rows.update(self.mover.create_lun(lun, self.options.extents, length))
        self.etcd.transact(
            {**rows, **{f"{PREFIX}nodes/{node.name}": node.etcd_entry() for node in self.nodes}}
        )
        text = CONFIG.format(deadline=int(DEADLINE_S * 1000), port=self.etcd.port, prefix=PREFIX)
        text += "".join(self._lun(lun) for lun in range(LUNS))
        async with running_program(text, on_log_line=self.drains.on_log_line) as (program, port):
            await self._loaded(program)
            initiators = [await Initiator(port).start() for _ in range(INITIATORS)]
            began, cpu = asyncio.get_running_loop().time(), program.cpu_s
            await self._day(initiators, began + self.options.seconds)
            took = asyncio.get_running_loop().time() - began
            cpu = program.cpu_s - cpu
            final = await self._final(initiators[0])
            doubled = sum(count - 1 for one in initiators for count in one.answer_counts.values())
            for one in initiators:
                one.close()
        for node in self.nodes:
            if node.alive:
                node.kill()
        await self.etcd.stop()
        logs = [line for node in self.nodes for line in node.log]
        found = check(logs, self.mover.ownership_log, self.tally.asked, final)
        return self._figures(found, program.counters, doubled, took, cpu), found

    def _lun(self, lun: int) -> str:
        where = 'extents = "map"' if self.options.mapped else f"shard = {self.mover.owners[lun, 0].shard}"
        return LUN.format(lun=lun, where=where)

    async def _loaded(self, program: Program) -> None:
        """Until the program has its map: before it, everything is refused, which proves nothing."""
        event = "map replaced" if self.options.mapped else "endpoint listed"
        taken = asyncio.Event()
        program.log_listeners.append(lambda _, pairs: taken.set() if pairs.get("event") == event else None)
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 10):
            while not taken.is_set() and not any(event in line for line in program.last_log_lines):
                await asyncio.sleep(0.01)

    # The day

    async def _day(self, initiators: list[Initiator], until: float) -> None:
        work = [asyncio.create_task(self._moves(until))] if self.options.move_every_s else []
        if self.options.faults:
            self.etcd.plan_delivery = self._mangle
            work += [asyncio.create_task(self._deaths(until)), asyncio.create_task(self._news(until))]
        size = LUNS * EXTENTS * LENGTH // LANES
        lanes = [
            asyncio.create_task(self._lane(initiators[lane % INITIATORS], lane * size, size, until))
            for lane in range(LANES)
        ]
        await asyncio.gather(*work, *lanes)
        self.etcd.plan_delivery = lambda revision, events: [(0.0, events)]

    async def _lane(self, initiator: Initiator, start: int, size: int, until: float) -> None:
        """One command after another on blocks of its own, so that each write has a place in their history."""
        loop, random = asyncio.get_running_loop(), self.random["load"]
        while loop.time() < until:
            length = random.choice((1, 4, 8, 8, 16, 100))
            at = start + random.randrange(size - length + 1)
            lun, first = divmod(at, EXTENTS * LENGTH)
            length = min(length, EXTENTS * LENGTH - first)
            await self._command(initiator, lun, first, length, random.random() < 0.5)

    async def _command(self, initiator: Initiator, lun: int, first: int, length: int, writes: bool) -> str:
        loop = asyncio.get_running_loop()
        ident = 0
        begun, began = self.ticks(), loop.time()
        if writes:
            self.writes += 1
            ident = self.writes
            data = stamped_data(ident, first, length)
            tag = initiator.command(cdb(0x2A, first, len(data)), data=data, lun=lun)
        else:
            tag = initiator.command(
                cdb(0x28, first, length * BLOCK_BYTES), read=length * BLOCK_BYTES, lun=lun
            )
        try:
            async with asyncio.timeout_at(began + DEADLINE_S + GRACE_S):
                status, data, _ = await initiator.answer(tag)
        except (TimeoutError, ConnectionError):
            self.tally.unanswered += 1
            return "unanswered"
        end = outcome_of(status)
        found: tuple[int, ...] = ()
        if end == "served":
            self.tally.taken_s.append(loop.time() - began)
            if not writes:
                found = read_stamps(data, first, length)
        initiator.forget(tag)
        self.tally.asked.append(CommandRecord(begun, self.ticks(), lun, first, length, ident, end, found))
        if end != "served":
            await asyncio.sleep(0.01)  # BUSY asks for a pause
        return end

    async def _moves(self, until: float) -> None:
        """Some extents move twice in a row, some back, the rest once."""
        loop, random, every = asyncio.get_running_loop(), self.random["move"], self.options.move_every_s
        while loop.time() < until:
            await asyncio.sleep(every * random.uniform(0.5, 1.0))
            key = random.choice(list(self.mover.owners))
            source = self.mover.owners[key]
            copy_s = random.uniform(0, 0.004)
            if not await self.mover.move(key, random.choice(self.nodes), copy_s):
                continue
            kind = random.random()
            if kind < 0.2:
                await self.mover.move(key, random.choice(self.nodes), copy_s)
            elif kind < 0.35:
                await self.mover.move(key, source, copy_s)

    # The faults

    def _mangle(self, revision: int, events: Events) -> list[tuple[float, Events]]:
        """News of the map is lost, late (and so out of order) or doubled; news of nodes is not."""
        if len(events) < 2:
            return [(0.0, events)]
        random, kind = self.random["news"], self.random["news"].random()
        if kind < FAULTS["lost"]:
            return []
        if kind < FAULTS["lost"] + FAULTS["late"]:
            return [(random.uniform(0.02, 0.4), events)]
        if kind < sum(FAULTS.values()):
            return [(0.0, events), (random.uniform(0, 0.2), events)]
        return [(0.0, events)]

    async def _news(self, until: float) -> None:
        """The source itself: watches break, its history is compacted, it is silent."""
        loop, random = asyncio.get_running_loop(), self.random["news"]
        while loop.time() < until:
            await asyncio.sleep(random.uniform(0.5, 1.5))
            kind = random.random()
            if kind < 0.4:
                self.etcd.break_watches()
            elif kind < 0.6:
                self.etcd.break_watches()
                self.etcd.compact()
            elif kind < 0.8:
                self.etcd.silent = True
                await asyncio.sleep(random.uniform(0.1, 0.7))
                self.etcd.silent = False

    async def _deaths(self, until: float) -> None:
        """Nodes are killed with commands in flight, and drained; each is back before the next goes."""
        loop, random = asyncio.get_running_loop(), self.random["fault"]
        while loop.time() < until:
            await asyncio.sleep(random.uniform(0.4, 1.0))
            node = random.choice(self.nodes)
            if random.random() < 0.6:
                node.kill()
                await node.notify_fences()
                await asyncio.sleep(random.uniform(0.1, 0.4))
                await node.start()
                self.etcd.put(f"{PREFIX}nodes/{node.name}", node.etcd_entry())
            else:
                await self.drains.drain(node)

    # The end

    async def _final(self, initiator: Initiator) -> dict[tuple[int, int], int]:
        """Read every block back, however often it takes."""
        final: dict[tuple[int, int], int] = {}
        for lun in range(LUNS):
            for first in range(0, EXTENTS * LENGTH, LENGTH):
                for _ in range(100):
                    status, data, _ = await initiator.read(first, LENGTH * BLOCK_BYTES, lun)
                    if status == 0:
                        break
                    await asyncio.sleep(0.1)
                final.update(
                    ((lun, first + place), ident)
                    for place, ident in enumerate(read_stamps(data, first, LENGTH))
                )
        return final

    def _figures(
        self, found: Findings, counts: dict[str, int], doubled: int, took: float, cpu: float
    ) -> dict[str, object]:
        asked, taken = self.tally.asked, sorted(self.tally.taken_s)
        cuts = statistics.quantiles(taken, n=100) if len(taken) > 1 else [0.0] * 99
        ends = {end: sum(one.end == end for one in asked) for end in ("served", "refused", "failed")}
        return {
            "drill": "extents",
            "seed": self.options.seed,
            "seconds": round(took, 1),
            "requests": len(asked) + self.tally.unanswered,
            **ends,
            "moves": self.mover.moves,
            "pieces": counts.get("pieces", 0),
            "redirects": counts.get("redirects", 0),
            "queued": counts.get("redirects.queued", 0),
            "refreshes": counts.get("refreshes", 0),
            "whole_maps": counts.get("map.whole", 0),
            "p50_ms": round(cuts[49] * 1000, 2),
            "p99_ms": round(cuts[98] * 1000, 2),
            "cpu_us": round(cpu / max(1, len(asked)) * 1e6),
            "run_twice": found.run_twice,
            "refused_ran": found.refused_ran,
            "late_work": self.drains.violations,
            "misdirected_writes": found.misdirected_writes,
            "wrong_reads": found.wrong_reads,
            "lost_writes": found.lost_writes,
            "double_answers": doubled,
            "unanswered": self.tally.unanswered,
        }


RULES = (
    "run_twice",
    "refused_ran",
    "late_work",
    "misdirected_writes",
    "wrong_reads",
    "lost_writes",
    "double_answers",
    "unanswered",
)


def passed(figures: dict[str, object], options: Options) -> bool:
    """Whether every rule held, and the drill met what it is for."""
    whole = {name: value for name, value in figures.items() if isinstance(value, int)}
    busy = whole["served"] * 2 > whole["requests"]
    moving = not options.move_every_s or options.move_every_s > 0.4 or whole["moves"] >= 3 * options.seconds
    return busy and moving and not any(whole[name] for name in RULES)
