"""The drill `iscsi`: sessions of one to four connections, cut, spoilt, flooded and retried, before failing
nodes.

Each initiator has a session at recovery level 0, 1 or 2, with digests or without, with CHAP or without. Its
connections are cut at random bytes, bits of digested PDUs are flipped, nodes are killed, fall silent and
drain, and one initiator floods. What a command meets is recovered as its level has it; `check` judges every
block by the nodes' logs, as in the drill `extents`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lemonridge.lab.checkers.extents import (
    CommandRecord,
    Findings,
    check,
    outcome_of,
    read_stamps,
    stamped_data,
)
from lemonridge.lab.conform.cases import ACCOUNT, GUARDED, SECRET, SECRETS, STORE
from lemonridge.lab.links.drains import DrainMonitor
from lemonridge.lab.load.client import Client, CommandLostError, FaultyLink
from lemonridge.lab.load.initiator import cdb
from lemonridge.lab.program import running_program
from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.mover import Mover
from lemonridge.lab.standins.node import BLOCK_BYTES, ExtentNode
from lemonridge.lab.ticks import Ticks

PREFIX, BLOCKS, CLIENTS, LANES = "/drill/", 2048, 6, 3
DEADLINE_S, GRACE_S = 1.0, 3.0
CONFIG = """
[iscsi]
listen = "127.0.0.1:0"
target = "{store}"
queue_depth = 16
max_sessions = 200
max_connections = 200
time2wait_s = 0
time2retain_s = 3
login_failures = 100000
secrets = "{folder}/secrets.toml"
[[target]]
name = "{guarded}"
chap = ["conform"]
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
[[lun]]
lun = 0
plan = "standard"
shard = 0
[[lun]]
lun = 1
plan = "standard"
shard = 1
[etcd]
endpoint = "127.0.0.1:{port}"
prefix = "{prefix}"
"""
RULES = ("run_twice", "refused_ran", "late_work", "wrong_data", "lost_writes", "double_answers", "unanswered")


@dataclass
class Options:
    seed: int
    seconds: float = 10.0


@dataclass
class Tally:
    asked: list[CommandRecord] = field(default_factory=list)
    lost: int = 0  # commands whose session ended under them: their end is unknown
    unanswered: int = 0
    flooded: int = 0


class Drill:
    """One run."""

    def __init__(self, options: Options) -> None:
        self.options, self.ticks, self.tally = options, Ticks(), Tally()
        self.random = {name: Random(f"{options.seed}/{name}") for name in ("load", "link", "node", "client")}
        self.etcd = Etcd()
        self.etcd.chunk_bytes = 4096
        self.nodes = [
            ExtentNode(f"n{n}", n, self.ticks, self.random["node"], accepts_unversioned=True)
            for n in range(2)
        ]
        self.mover = Mover(self.nodes, self.etcd, PREFIX, self.ticks, Random(0))
        self.link = FaultyLink(self.random["link"])
        self.drains = DrainMonitor(self.etcd, PREFIX)
        self.writes = 0

    async def run(self) -> tuple[dict[str, object], Findings]:
        for node in self.nodes:
            await node.start()
            node.delay_s = lambda: self.random["load"].expovariate(1 / 0.003)
        await self.etcd.start()
        for lun, node in enumerate(self.nodes):
            self.mover.random = _Only(node)  # type: ignore[assignment]
            self.mover.create_lun(lun, 1, BLOCKS)
        self.etcd.transact({f"{PREFIX}nodes/{node.name}": node.etcd_entry() for node in self.nodes})
        text = CONFIG.format(
            store=STORE,
            guarded=GUARDED,
            folder="{folder}",
            port=self.etcd.port,
            prefix=PREFIX,
            deadline=int(DEADLINE_S * 1000),
        )
        async with running_program(text, secrets=SECRETS, on_log_line=self.drains.on_log_line) as (
            program,
            port,
        ):
            self.link.upstream_port = port
            await self.link.start()
            clients = [self._client(number) for number in range(CLIENTS)]
            until = asyncio.get_running_loop().time() + self.options.seconds
            await self._day(clients, until)
            final = await self._final(port)
            for client in clients:
                await client.close()
            self.link.stop()
        for node in self.nodes:
            if node.alive:
                node.kill()
        await self.etcd.stop()
        logs = [line for node in self.nodes for line in node.log]
        found = check(logs, self.mover.ownership_log, self.tally.asked, final)
        return self._figures(found, program.counters, clients), found

    def _client(self, number: int) -> Client:
        random = self.random["client"]
        level = number % 3
        guarded = random.random() < 0.5
        digests = {
            "HeaderDigest": "CRC32C" if level == 0 and random.random() < 0.5 else "None",
            "DataDigest": "CRC32C" if level or random.random() < 0.5 else "None",
        }
        return Client(
            self.link,
            GUARDED if guarded else STORE,
            f"iqn.2026-12.org.lemonridge:client-{number}",
            connections=1 + number % 4 if level != 1 else 1,
            level=level,
            random=random,
            account=(ACCOUNT, SECRET) if guarded else None,
            keys=digests,
        )

    # The day

    async def _day(self, clients: list[Client], until: float) -> None:
        lanes = [
            self._lane(client, number * LANES + lane, until)
            for number, client in enumerate(clients)
            for lane in range(LANES)
        ]
        await asyncio.gather(self._cuts(until), self._deaths(until), self._flood(until), *lanes)
        self.link.stop_faults()

    async def _lane(self, client: Client, lane: int, until: float) -> None:
        """One command after another on blocks of its own."""
        loop, random = asyncio.get_running_loop(), self.random["load"]
        size = 2 * BLOCKS // (CLIENTS * LANES)
        lun, start = lane % 2, lane // 2 * size
        while loop.time() < until:
            length = random.choice((1, 8, 16, 64))
            first = start + random.randrange(size - length + 1)
            await self._command(client, lun, first, length, random.random() < 0.5)

    async def _command(self, client: Client, lun: int, first: int, length: int, writes: bool) -> None:
        loop = asyncio.get_running_loop()
        ident, data = 0, b""
        if writes:
            self.writes += 1
            ident = self.writes
            data = stamped_data(ident, first, length)
        text = cdb(0x2A if writes else 0x28, first, length * BLOCK_BYTES)
        begun = self.ticks()
        try:
            async with asyncio.timeout_at(loop.time() + DEADLINE_S + GRACE_S + client.recovery_timeout_s):
                status, found = await client.run(text, lun, data, 0 if writes else length * BLOCK_BYTES)
        except CommandLostError:  # its session was lost with it: what it did is not known
            self.tally.lost += 1
            self.tally.asked.append(CommandRecord(begun, self.ticks(), lun, first, length, ident, "failed"))
            return
        except TimeoutError:
            self.tally.unanswered += 1
            return
        end = outcome_of(status)
        seen = read_stamps(found, first, length) if end == "served" and not writes else ()
        self.tally.asked.append(CommandRecord(begun, self.ticks(), lun, first, length, ident, end, seen))
        if end != "served":
            await asyncio.sleep(0.01)

    async def _cuts(self, until: float) -> None:
        loop, random = asyncio.get_running_loop(), self.random["link"]
        while loop.time() < until:
            await asyncio.sleep(random.uniform(0.05, 0.25))
            self.link.schedule_cut()
            self.link.schedule_bit_flip()

    async def _deaths(self, until: float) -> None:
        """Nodes are killed, fall silent and drain, one after the other."""
        loop, random = asyncio.get_running_loop(), self.random["node"]
        while loop.time() < until:
            await asyncio.sleep(random.uniform(0.7, 1.4))
            node, kind = random.choice(self.nodes), random.random()
            if kind < 0.5:
                node.kill()
                await asyncio.sleep(random.uniform(0.05, 0.3))
                await node.start()
                self.etcd.put(f"{PREFIX}nodes/{node.name}", node.etcd_entry())
            elif kind < 0.7:
                node.silent = True
                await asyncio.sleep(random.uniform(0.1, 0.5))
                node.kill()  # what it swallowed is gone with it
                node.silent = False
                await node.start()
                self.etcd.put(f"{PREFIX}nodes/{node.name}", node.etcd_entry())
            else:
                await self.drains.drain(node)

    async def _flood(self, until: float) -> None:
        """One initiator sends far more than its window, opens connections and reads nothing."""
        loop, random = asyncio.get_running_loop(), self.random["client"]
        while loop.time() < until:
            client = Client(
                self.link,
                STORE,
                "iqn.2026-12.org.lemonridge:flood",
                1,
                0,
                random,
                None,
                {"HeaderDigest": "None", "DataDigest": "None"},
            )
            self.tally.flooded += await client.flood(random.randrange(50, 400))
            await asyncio.sleep(random.uniform(0.2, 0.6))
            await client.close()

    # The end

    async def _final(self, port: int) -> dict[tuple[int, int], int]:
        """Read every block back over a connection that nobody spoils."""
        link = FaultyLink(Random(0))
        link.upstream_port = port
        await link.start()
        client = Client(
            link,
            STORE,
            "iqn.2026-12.org.lemonridge:final",
            1,
            0,
            Random(0),
            None,
            {"HeaderDigest": "None", "DataDigest": "None"},
        )
        final: dict[tuple[int, int], int] = {}
        for lun in range(2):
            for first in range(0, BLOCKS, 128):
                found = b""
                for _ in range(200):
                    status, found = await client.run(
                        cdb(0x28, first, 128 * BLOCK_BYTES), lun, b"", 128 * BLOCK_BYTES
                    )
                    if status == 0:
                        break
                    await asyncio.sleep(0.05)
                final.update(
                    ((lun, first + place), ident)
                    for place, ident in enumerate(read_stamps(found, first, 128))
                )
        await client.close()
        link.stop()
        return final

    def _figures(self, found: Findings, counts: dict[str, int], clients: list[Client]) -> dict[str, object]:
        asked = self.tally.asked
        ends = {end: sum(one.end == end for one in asked) for end in ("served", "refused", "failed")}
        return {
            "drill": "iscsi",
            "seed": self.options.seed,
            "commands": len(asked) + self.tally.unanswered,
            **ends,
            "lost": self.tally.lost,
            "cut": self.link.cut_connections,
            "flipped": self.link.flipped_bits,
            "recovered": sum(client.recovered for client in clients),
            "sessions": sum(client.sessions for client in clients),
            "reassigned": counts.get("tasks.reassigned", 0),
            "recovery_r2ts": counts.get("r2ts.recovery", 0),
            "snacks": counts.get("snacks", 0),
            "flooded": self.tally.flooded,
            "refused_ran": found.refused_ran,
            "late_work": self.drains.violations,
            "run_twice": found.run_twice,
            "wrong_data": found.wrong_reads + found.misdirected_writes,
            "lost_writes": found.lost_writes,
            "double_answers": sum(client.duplicate_answers for client in clients),
            "unanswered": self.tally.unanswered,
        }


class _Only:
    """Lays everything on one node."""

    def __init__(self, node: ExtentNode) -> None:
        self._node = node

    def choice(self, _: Any) -> ExtentNode:
        return self._node


def passed(figures: dict[str, object]) -> bool:
    """Whether every rule held, and the drill met what it is for."""
    whole = {name: value for name, value in figures.items() if isinstance(value, int)}
    met = whole["recovered"] > 0 and whole["cut"] > 0 and whole["served"] * 2 > whole["commands"]
    return met and not any(whole[name] for name in RULES)
