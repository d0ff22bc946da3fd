"""The drill `extents`: extents move under load while map updates are lost and nodes are killed and drained.

Four initiators write and read across extent borders through the real program. A mover hands extents over to
other nodes, some twice in a row and some back to their previous node. Updates from etcd are lost, late,
duplicated or cut off. `check` verifies the run by the nodes' logs.
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
GRACE_S = 2.0  # a command counts as unanswered if its answer is later than this after the deadline
FAULTS = {"lost": 0.08, "late": 0.15, "doubled": 0.1}  # the fraction of map updates that have each fault

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
LUN_CONFIG = """
[[lun]]
lun = {lun}
plan = "standard"
{where}
"""


@dataclass
class Options:
    """The options of a run.

    Attributes:
        seed: The seed from which load, moves and faults are drawn.
        seconds: The duration of the load.
        move_every_s: The interval between moves of extents; 0 for no moves.
        faults: Whether faults are injected.
        checked: Whether the nodes check the version of the extent that a command names.
        mapped: Whether the LUNs are placed by an extent map; otherwise each LUN lies on one shard.
        extents: The number of extents of a LUN; the number of its blocks does not depend on it.
    """

    seed: int
    seconds: float = 10.0
    move_every_s: float = 0.2
    faults: bool = True
    checked: bool = True
    mapped: bool = True
    extents: int = EXTENTS


@dataclass
class CommandTally:
    """The outcomes of the initiators' commands.

    Attributes:
        commands: The answered commands.
        latencies_s: The response times of the served commands, in seconds.
        unanswered: How many commands got no answer in time.
    """

    commands: list[CommandRecord] = field(default_factory=list)
    latencies_s: list[float] = field(default_factory=list)
    unanswered: int = 0


class Drill:
    """One run of the drill."""

    def __init__(self, options: Options) -> None:
        self.options, self.ticks, self.tally = options, Ticks(), CommandTally()
        seed = options.seed
        self.random_streams = {
            name: Random(f"{seed}/{name}") for name in ("lay", "load", "move", "fault", "news")
        }
        self.etcd = Etcd()
        self.etcd.chunk_bytes = 4096
        self.nodes = [
            ExtentNode(
                f"n{n}",
                n,
                self.ticks,
                self.random_streams["fault"],
                options.checked,
                accepts_unversioned=not options.mapped,
            )
            for n in range(NODES)
        ]
        self.mover = Mover(self.nodes, self.etcd, PREFIX, self.ticks, self.random_streams["lay"])
        self.drains = DrainMonitor(self.etcd, PREFIX)
        self.writes = 0

    async def run(self) -> tuple[dict[str, object], Findings]:
        """Runs the load and the faults; returns the figures and the checker's findings."""
        for node in self.nodes:
            await node.start()
            node.delay_s = lambda: self.random_streams["load"].expovariate(1 / 0.0015)
        await self.etcd.start()
        entries = {}
        for lun in range(LUNS):
            length = EXTENTS * LENGTH // self.options.extents
            entries.update(self.mover.create_lun(lun, self.options.extents, length))
        self.etcd.transact(
            {**entries, **{f"{PREFIX}nodes/{node.name}": node.etcd_entry() for node in self.nodes}}
        )
        text = CONFIG.format(deadline=int(DEADLINE_S * 1000), port=self.etcd.port, prefix=PREFIX)
        text += "".join(self._lun_config(lun) for lun in range(LUNS))
        async with running_program(text, on_log_line=self.drains.on_log_line) as (program, port):
            await self._wait_until_loaded(program)
            initiators = [await Initiator(port).start() for _ in range(INITIATORS)]
            started_at, cpu_s = asyncio.get_running_loop().time(), program.cpu_s
            await self._run_load(initiators, started_at + self.options.seconds)
            duration_s = asyncio.get_running_loop().time() - started_at
            cpu_s = program.cpu_s - cpu_s
            final_writes = await self._read_all_blocks(initiators[0])
            duplicate_answers = sum(
                count - 1 for initiator in initiators for count in initiator.answer_counts.values()
            )
            for initiator in initiators:
                initiator.close()
        for node in self.nodes:
            if node.alive:
                node.kill()
        await self.etcd.stop()
        executed_commands = [command for node in self.nodes for command in node.log]
        findings = check(executed_commands, self.mover.ownership_log, self.tally.commands, final_writes)
        return self._figures(findings, program.counters, duplicate_answers, duration_s, cpu_s), findings

    def _lun_config(self, lun: int) -> str:
        """Returns the configuration of a LUN, placed by the map or on the shard of its first extent."""
        placement = 'extents = "map"' if self.options.mapped else f"shard = {self.mover.owners[lun, 0].shard}"
        return LUN_CONFIG.format(lun=lun, where=placement)

    async def _wait_until_loaded(self, program: Program) -> None:
        """Waits until the program has loaded its map; until then it refuses every command."""
        event = "map replaced" if self.options.mapped else "endpoint listed"
        loaded = asyncio.Event()
        program.log_listeners.append(lambda _, pairs: loaded.set() if pairs.get("event") == event else None)
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 10):
            while not loaded.is_set() and not any(event in line for line in program.last_log_lines):
                await asyncio.sleep(0.01)

    # Load

    async def _run_load(self, initiators: list[Initiator], until: float) -> None:
        """Runs the initiators' commands, the moves and the faults until a time of the loop's clock."""
        background = [asyncio.create_task(self._move_extents(until))] if self.options.move_every_s else []
        if self.options.faults:
            self.etcd.plan_delivery = self._plan_delivery
            background += [
                asyncio.create_task(self._fail_nodes(until)),
                asyncio.create_task(self._disturb_etcd(until)),
            ]
        size = LUNS * EXTENTS * LENGTH // LANES
        lanes = [
            asyncio.create_task(self._lane(initiators[lane % INITIATORS], lane * size, size, until))
            for lane in range(LANES)
        ]
        await asyncio.gather(*background, *lanes)
        self.etcd.plan_delivery = lambda revision, events: [(0.0, events)]

    async def _lane(self, initiator: Initiator, start: int, size: int, until: float) -> None:
        """Sends one command after another to a range of blocks that no other lane uses.

        So the order of the writes to each block is known.
        """
        loop, random = asyncio.get_running_loop(), self.random_streams["load"]
        while loop.time() < until:
            length = random.choice((1, 4, 8, 8, 16, 100))
            position = start + random.randrange(size - length + 1)
            lun, first_block = divmod(position, EXTENTS * LENGTH)
            length = min(length, EXTENTS * LENGTH - first_block)
            await self._command(initiator, lun, first_block, length, random.random() < 0.5)

    async def _command(
        self, initiator: Initiator, lun: int, first_block: int, length: int, writes: bool
    ) -> str:
        """Sends a read or write of `length` blocks, records its outcome and returns it."""
        loop = asyncio.get_running_loop()
        write_number = 0
        started_tick, started_at = self.ticks(), loop.time()
        if writes:
            self.writes += 1
            write_number = self.writes
            data = stamped_data(write_number, first_block, length)
            tag = initiator.command(cdb(0x2A, first_block, len(data)), data=data, lun=lun)
        else:
            tag = initiator.command(
                cdb(0x28, first_block, length * BLOCK_BYTES), read=length * BLOCK_BYTES, lun=lun
            )
        try:
            async with asyncio.timeout_at(started_at + DEADLINE_S + GRACE_S):
                status, data, _ = await initiator.answer(tag)
        except (TimeoutError, ConnectionError):
            self.tally.unanswered += 1
            return "unanswered"
        outcome = outcome_of(status)
        found_writes: tuple[int, ...] = ()
        if outcome == "served":
            self.tally.latencies_s.append(loop.time() - started_at)
            if not writes:
                found_writes = read_stamps(data, first_block, length)
        initiator.forget(tag)
        self.tally.commands.append(
            CommandRecord(
                started_tick, self.ticks(), lun, first_block, length, write_number, outcome, found_writes
            )
        )
        if outcome != "served":
            await asyncio.sleep(0.01)  # the status BUSY requires a pause before the next command
        return outcome

    async def _move_extents(self, until: float) -> None:
        """Moves extents: 20% of them twice in a row, 15% back to the previous node, the rest once."""
        loop, random, interval_s = (
            asyncio.get_running_loop(),
            self.random_streams["move"],
            self.options.move_every_s,
        )
        while loop.time() < until:
            await asyncio.sleep(interval_s * random.uniform(0.5, 1.0))
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

    # Faults

    def _plan_delivery(self, revision: int, events: Events) -> list[tuple[float, Events]]:
        """Returns when each copy of an update is delivered.

        Updates of the map are lost, delayed (and so reordered) or duplicated. Updates of nodes, which consist
        of one event, are always delivered once and at once.
        """
        if len(events) < 2:
            return [(0.0, events)]
        random, kind = self.random_streams["news"], self.random_streams["news"].random()
        if kind < FAULTS["lost"]:
            return []
        if kind < FAULTS["lost"] + FAULTS["late"]:
            return [(random.uniform(0.02, 0.4), events)]
        if kind < sum(FAULTS.values()):
            return [(0.0, events), (random.uniform(0, 0.2), events)]
        return [(0.0, events)]

    async def _disturb_etcd(self, until: float) -> None:
        """Breaks watches, compacts the history or makes etcd stop answering for a while."""
        loop, random = asyncio.get_running_loop(), self.random_streams["news"]
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

    async def _fail_nodes(self, until: float) -> None:
        """Kills nodes with commands in flight, or drains them; one node at a time is unavailable."""
        loop, random = asyncio.get_running_loop(), self.random_streams["fault"]
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

    # Results

    async def _read_all_blocks(self, initiator: Initiator) -> dict[tuple[int, int], int]:
        """Reads every block, with up to 100 attempts each, and returns the write that it holds.

        The result's keys are LUN and block.
        """
        final_writes: dict[tuple[int, int], int] = {}
        for lun in range(LUNS):
            for first_block in range(0, EXTENTS * LENGTH, LENGTH):
                for _ in range(100):
                    status, data, _ = await initiator.read(first_block, LENGTH * BLOCK_BYTES, lun)
                    if status == 0:
                        break
                    await asyncio.sleep(0.1)
                final_writes.update(
                    ((lun, first_block + offset), write_number)
                    for offset, write_number in enumerate(read_stamps(data, first_block, LENGTH))
                )
        return final_writes

    def _figures(
        self,
        findings: Findings,
        counters: dict[str, int],
        duplicate_answers: int,
        duration_s: float,
        cpu_s: float,
    ) -> dict[str, object]:
        """Returns the figures of the last line."""
        commands, latencies_s = self.tally.commands, sorted(self.tally.latencies_s)
        percentiles = statistics.quantiles(latencies_s, n=100) if len(latencies_s) > 1 else [0.0] * 99
        outcomes = {
            outcome: sum(command.outcome == outcome for command in commands)
            for outcome in ("served", "refused", "failed")
        }
        return {
            "drill": "extents",
            "seed": self.options.seed,
            "seconds": round(duration_s, 1),
            "requests": len(commands) + self.tally.unanswered,
            **outcomes,
            "moves": self.mover.moves,
            "pieces": counters.get("pieces", 0),
            "redirects": counters.get("redirects", 0),
            "queued": counters.get("redirects.queued", 0),
            "refreshes": counters.get("refreshes", 0),
            "whole_maps": counters.get("map.whole", 0),
            "p50_ms": round(percentiles[49] * 1000, 2),
            "p99_ms": round(percentiles[98] * 1000, 2),
            "cpu_us": round(cpu_s / max(1, len(commands)) * 1e6),
            "run_twice": findings.run_twice,
            "refused_ran": findings.refused_ran,
            "late_work": self.drains.violations,
            "misdirected_writes": findings.misdirected_writes,
            "wrong_reads": findings.wrong_reads,
            "lost_writes": findings.lost_writes,
            "double_answers": duplicate_answers,
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
    """Whether no rule was violated and the run exercised what the drill tests.

    More than half of the requests must have been served and, with frequent moves, at least three extents a
    second must have moved.
    """
    counts = {name: value for name, value in figures.items() if isinstance(value, int)}
    mostly_served = counts["served"] * 2 > counts["requests"]
    moved_enough = (
        not options.move_every_s or options.move_every_s > 0.4 or counts["moves"] >= 3 * options.seconds
    )
    return mostly_served and moved_enough and not any(counts[name] for name in RULES)
