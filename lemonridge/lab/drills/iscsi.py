"""The drill `iscsi`: sessions of one to four connections under connection failures, corruption and overload.

Each initiator has a session at recovery level 0, 1 or 2, with digests or without, with CHAP or without. Its
connections are cut at random bytes, bits of digested PDUs are flipped, nodes are killed, stop answering and
drain, and one initiator floods the target. Initiators recover failed commands by the means of their level;
`check` verifies every block by the nodes' logs, as in the drill `extents`.
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
from lemonridge.lab.conform.cases import CHAP_ACCOUNT, CHAP_SECRET, CHAP_TARGET, SECRETS_TOML, STORE_TARGET
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
    """The options of a run.

    Attributes:
        seed: The seed from which load and faults are drawn.
        seconds: The duration of the load.
    """

    seed: int
    seconds: float = 10.0


@dataclass
class CommandTally:
    """The outcomes of the initiators' commands.

    Attributes:
        commands: The commands whose session ended or that were answered.
        lost: How many commands were pending when their session ended; it is unknown whether they ran.
        unanswered: How many commands got no answer in time.
        flooded: How many commands the flooding initiator sent.
    """

    commands: list[CommandRecord] = field(default_factory=list)
    lost: int = 0
    unanswered: int = 0
    flooded: int = 0


class Drill:
    """One run of the drill."""

    def __init__(self, options: Options) -> None:
        self.options, self.ticks, self.tally = options, Ticks(), CommandTally()
        self.random_streams = {
            name: Random(f"{options.seed}/{name}") for name in ("load", "link", "node", "client")
        }
        self.etcd = Etcd()
        self.etcd.chunk_bytes = 4096
        self.nodes = [
            ExtentNode(f"n{n}", n, self.ticks, self.random_streams["node"], accepts_unversioned=True)
            for n in range(2)
        ]
        self.mover = Mover(self.nodes, self.etcd, PREFIX, self.ticks, Random(0))
        self.link = FaultyLink(self.random_streams["link"])
        self.drains = DrainMonitor(self.etcd, PREFIX)
        self.writes = 0

    async def run(self) -> tuple[dict[str, object], Findings]:
        """Runs the load and the faults; returns the figures and the checker's findings."""
        for node in self.nodes:
            await node.start()
            node.delay_s = lambda: self.random_streams["load"].expovariate(1 / 0.003)
        await self.etcd.start()
        for lun, node in enumerate(self.nodes):
            self.mover.random = _FixedNode(node)  # type: ignore[assignment]
            self.mover.create_lun(lun, 1, BLOCKS)
        self.etcd.transact({f"{PREFIX}nodes/{node.name}": node.etcd_entry() for node in self.nodes})
        text = CONFIG.format(
            store=STORE_TARGET,
            guarded=CHAP_TARGET,
            folder="{folder}",
            port=self.etcd.port,
            prefix=PREFIX,
            deadline=int(DEADLINE_S * 1000),
        )
        async with running_program(text, secrets=SECRETS_TOML, on_log_line=self.drains.on_log_line) as (
            program,
            port,
        ):
            self.link.upstream_port = port
            await self.link.start()
            clients = [self._client(number) for number in range(CLIENTS)]
            until = asyncio.get_running_loop().time() + self.options.seconds
            await self._run_load(clients, until)
            final_writes = await self._read_all_blocks(port)
            for client in clients:
                await client.close()
            self.link.stop()
        for node in self.nodes:
            if node.alive:
                node.kill()
        await self.etcd.stop()
        executed_commands = [command for node in self.nodes for command in node.log]
        findings = check(executed_commands, self.mover.ownership_log, self.tally.commands, final_writes)
        return self._figures(findings, program.counters, clients), findings

    def _client(self, number: int) -> Client:
        """Creates an initiator; its number and the seed determine level, connections, digests and CHAP."""
        random = self.random_streams["client"]
        level = number % 3
        guarded = random.random() < 0.5
        digests = {
            "HeaderDigest": "CRC32C" if level == 0 and random.random() < 0.5 else "None",
            "DataDigest": "CRC32C" if level or random.random() < 0.5 else "None",
        }
        return Client(
            self.link,
            CHAP_TARGET if guarded else STORE_TARGET,
            f"iqn.2026-12.org.lemonridge:client-{number}",
            connections=1 + number % 4 if level != 1 else 1,
            level=level,
            random=random,
            account=(CHAP_ACCOUNT, CHAP_SECRET) if guarded else None,
            keys=digests,
        )

    # Load

    async def _run_load(self, clients: list[Client], until: float) -> None:
        """Runs the initiators' commands and the faults until a time of the loop's clock."""
        lanes = [
            self._lane(client, number * LANES + lane, until)
            for number, client in enumerate(clients)
            for lane in range(LANES)
        ]
        await asyncio.gather(self._cut_links(until), self._fail_nodes(until), self._flood(until), *lanes)
        self.link.stop_faults()

    async def _lane(self, client: Client, lane: int, until: float) -> None:
        """Sends one command after another to a range of blocks that no other lane uses."""
        loop, random = asyncio.get_running_loop(), self.random_streams["load"]
        size = 2 * BLOCKS // (CLIENTS * LANES)
        lun, start = lane % 2, lane // 2 * size
        while loop.time() < until:
            length = random.choice((1, 8, 16, 64))
            first_block = start + random.randrange(size - length + 1)
            await self._command(client, lun, first_block, length, random.random() < 0.5)

    async def _command(self, client: Client, lun: int, first_block: int, length: int, writes: bool) -> None:
        """Sends a read or write of `length` blocks and records its outcome."""
        loop = asyncio.get_running_loop()
        write_number, data = 0, b""
        if writes:
            self.writes += 1
            write_number = self.writes
            data = stamped_data(write_number, first_block, length)
        command_block = cdb(0x2A if writes else 0x28, first_block, length * BLOCK_BYTES)
        started_tick = self.ticks()
        try:
            async with asyncio.timeout_at(loop.time() + DEADLINE_S + GRACE_S + client.recovery_timeout_s):
                status, read_data = await client.run(
                    command_block, lun, data, 0 if writes else length * BLOCK_BYTES
                )
        except CommandLostError:  # the session ended with the command pending: it may or may not have run
            self.tally.lost += 1
            self.tally.commands.append(
                CommandRecord(started_tick, self.ticks(), lun, first_block, length, write_number, "failed")
            )
            return
        except TimeoutError:
            self.tally.unanswered += 1
            return
        outcome = outcome_of(status)
        found_writes = (
            read_stamps(read_data, first_block, length) if outcome == "served" and not writes else ()
        )
        self.tally.commands.append(
            CommandRecord(
                started_tick, self.ticks(), lun, first_block, length, write_number, outcome, found_writes
            )
        )
        if outcome != "served":
            await asyncio.sleep(0.01)

    async def _cut_links(self, until: float) -> None:
        """Schedules a cut of a connection and the flip of a bit every 0.05 to 0.25 s."""
        loop, random = asyncio.get_running_loop(), self.random_streams["link"]
        while loop.time() < until:
            await asyncio.sleep(random.uniform(0.05, 0.25))
            self.link.schedule_cut()
            self.link.schedule_bit_flip()

    async def _fail_nodes(self, until: float) -> None:
        """Makes nodes crash, stop answering or drain, one node at a time."""
        loop, random = asyncio.get_running_loop(), self.random_streams["node"]
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
                node.kill()  # the commands that it received while silent are lost
                node.silent = False
                await node.start()
                self.etcd.put(f"{PREFIX}nodes/{node.name}", node.etcd_entry())
            else:
                await self.drains.drain(node)

    async def _flood(self, until: float) -> None:
        """Opens connections that send far more commands than their window allows and read no answers."""
        loop, random = asyncio.get_running_loop(), self.random_streams["client"]
        while loop.time() < until:
            client = Client(
                self.link,
                STORE_TARGET,
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

    # Results

    async def _read_all_blocks(self, port: int) -> dict[tuple[int, int], int]:
        """Reads every block over a connection without faults and returns the write that it holds.

        The result's keys are LUN and block.
        """
        link = FaultyLink(Random(0))
        link.upstream_port = port
        await link.start()
        client = Client(
            link,
            STORE_TARGET,
            "iqn.2026-12.org.lemonridge:final",
            1,
            0,
            Random(0),
            None,
            {"HeaderDigest": "None", "DataDigest": "None"},
        )
        final_writes: dict[tuple[int, int], int] = {}
        for lun in range(2):
            for first_block in range(0, BLOCKS, 128):
                read_data = b""
                for _ in range(200):
                    status, read_data = await client.run(
                        cdb(0x28, first_block, 128 * BLOCK_BYTES), lun, b"", 128 * BLOCK_BYTES
                    )
                    if status == 0:
                        break
                    await asyncio.sleep(0.05)
                final_writes.update(
                    ((lun, first_block + offset), write_number)
                    for offset, write_number in enumerate(read_stamps(read_data, first_block, 128))
                )
        await client.close()
        link.stop()
        return final_writes

    def _figures(
        self, findings: Findings, counters: dict[str, int], clients: list[Client]
    ) -> dict[str, object]:
        """Returns the figures of the last line."""
        commands = self.tally.commands
        outcomes = {
            outcome: sum(command.outcome == outcome for command in commands)
            for outcome in ("served", "refused", "failed")
        }
        return {
            "drill": "iscsi",
            "seed": self.options.seed,
            "commands": len(commands) + self.tally.unanswered,
            **outcomes,
            "lost": self.tally.lost,
            "cut": self.link.cut_connections,
            "flipped": self.link.flipped_bits,
            "recovered": sum(client.recovered for client in clients),
            "sessions": sum(client.sessions for client in clients),
            "reassigned": counters.get("tasks.reassigned", 0),
            "recovery_r2ts": counters.get("r2ts.recovery", 0),
            "snacks": counters.get("snacks", 0),
            "flooded": self.tally.flooded,
            "refused_ran": findings.refused_ran,
            "late_work": self.drains.violations,
            "run_twice": findings.run_twice,
            "wrong_data": findings.wrong_reads + findings.misdirected_writes,
            "lost_writes": findings.lost_writes,
            "double_answers": sum(client.duplicate_answers for client in clients),
            "unanswered": self.tally.unanswered,
        }


class _FixedNode:
    """Takes the place of the mover's random source: always chooses the same node."""

    def __init__(self, node: ExtentNode) -> None:
        self._node = node

    def choice(self, _: Any) -> ExtentNode:
        """Returns the node, whatever the choices are."""
        return self._node


def passed(figures: dict[str, object]) -> bool:
    """Whether no rule was violated and the run exercised what the drill tests.

    Connections must have been cut, commands recovered, and more than half of the commands served.
    """
    counts = {name: value for name, value in figures.items() if isinstance(value, int)}
    exercised = counts["recovered"] > 0 and counts["cut"] > 0 and counts["served"] * 2 > counts["commands"]
    return exercised and not any(counts[name] for name in RULES)
