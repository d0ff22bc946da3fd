"""The drill `soak`: one broker under mixed trouble, judged by what clients, nodes and discovery saw.

A seed draws the settings (classes, effects, windows, deadlines, a limit) and the trouble: nodes that hang,
reset, turn away, restart cold and drain; discovery that falls silent, is slow and moves; clients that leave,
stop half way and pipeline, in some seeds beside a crowd of idle connections; SIGHUP and SIGUSR1 in series.
Each life of the broker ends with SIGTERM and, at the page's earliest, SIGKILL; clients use open connections
until then.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

import orjson

from lemonridge.lab.checkers.soak import EARLY_S, FIGURES, GRACE_S, Findings, SoakLimits, check
from lemonridge.lab.program import Program, ProgramError
from lemonridge.lab.standins.soak import SoakDiscovery, SoakNode
from lemonridge.lab.standins.soak_record import ANNOUNCE_LIMIT_S, SoakClass, SoakRecord, SoakRequest

SHARDS, NODES_OF_A_SHARD = 2, 2
RATE = 120.0  # requests a second
LIFE_S = 5.0  # of a broker, before SIGTERM
KILL_S, COUNTED_S = 0.7, 3.0  # SIGKILL comes at the longest deadline (3 s at most) and 0.7 s
NEW_FOR_S = 0.2  # new connections keep coming for 0.2 to 0.4 s
TROUBLE_S = 0.35  # between two troubles
TROUBLES = ("way",) * 5 + ("restart", "drain", "back", "back", "silent", "slow", "still", "still")
# Of eight troubles these, whatever is drawn.
FIXED_EVERY, FIXED = 8, {1: "drain", 3: "reset", 5: "restart", 7: "late"}
ALONE_S = 1.5  # how long a node that restarts is alone in its shard
CROWD = 100  # idle connections, in some seeds
BEAT_S = 0.01  # between two looks at whether this process runs
SOCKETS = 256
READY_S = 10.0  # for the first list
LIMIT = SoakLimits(
    rate=20.0,
    burst=40.0,
    slack=6.0,
    mean_request_units=2.0,
    slow_start_units=12.0,
    slow_start_initial_fraction=0.2,
    overload_multiple=2.5,
    ramp_s=5.0,
)
LIMITED_VOLUMES = (1, 2)


@dataclass(frozen=True)
class Options:
    """What the command line says."""

    seed: int
    seconds: float = 20.0
    mutant: str = ""  # a fault planted in the broker


def draw_classes(random: Random) -> list[SoakClass]:
    """One class of each effect, with deadlines from 80 ms to 2.5 s."""
    deadline = random.choice((0.3, 0.5, 1.0, 1.5, 2.5))
    group = random.choice(("all", "zone", "cell"))
    window = random.choice((0.4, 1.0, 3.0))
    return [
        SoakClass("read", "repeatable", "all", 0.0, deadline, False),
        SoakClass("keyed", "by_key", group, window, random.choice((0.3, deadline)), True),
        SoakClass("single", "once", "all", 0.0, random.choice((0.2, deadline)), True),
    ]


def settings(classes: list[SoakClass]) -> dict[str, Any]:
    """The settings object of a broker's configuration."""
    rows = [
        {
            "aim-us": int(one.deadline_s * 4e5),
            "deadline-us": int(one.deadline_s * 1e6),
            "gain": 1.0,
            "group": one.group,
            "memory-span-us": int(one.window_s * 1e6),
            "name": one.name,
            "semantics": one.semantics,
        }
        for one in classes
    ]
    plans = [
        {
            "base-rate": 10.0,
            "burst": 0.0,
            "cap": 0.0,
            "guaranteed": 10.0,
            "limit-slack": 0.0,
            "name": "free",
            "weight": 1.0,
            "worth-factor": 1.0,
        },
        {
            "base-rate": 5.0,
            "burst": LIMIT.burst,
            "cap": LIMIT.rate,
            "guaranteed": 0.0,
            "limit-slack": LIMIT.slack,
            "name": "basic",
            "weight": 1.0,
            "worth-factor": 1.0,
        },
    ]
    return {
        "fleet-size": 1,
        "discovery": "push",
        "tick-us": 2000,
        "azs": ["a", "b"],
        "classes": rows,
        "grades": plans,
        "family-info": {
            "class-writes": [one.writes for one in classes],
            "cold-units": LIMIT.slow_start_units,
            "meter-us": 0,
            "n-shards": SHARDS,
            "tells-elsewhere": False,
            "unit-mean": LIMIT.mean_request_units,
            "units-top": 6,
        },
        "limits": {
            "cancelling": True,
            "connect-timeout-us": 250_000,
            "keepalive-us": 5_000_000,
            "max-attempts": 4,
            "max-retry-after-us": 500_000,
            "retry-after": True,
        },
        "rules": {
            "cold-share": LIMIT.slow_start_initial_fraction,
            "drain-grace-us": 500_000,
            "fall-us": 1_000_000,
            "ramp-time-us": int(LIMIT.ramp_s * 1e6),
            "tip-multiple": LIMIT.overload_multiple,
        },
    }


class Soak:
    """One run."""

    def __init__(self, options: Options, folder: Path) -> None:
        self._options, self._random = options, Random(options.seed)
        self._classes = draw_classes(self._random)
        self.record = SoakRecord()
        self._config = folder / "config.json"
        self._discoveries = [SoakDiscovery(self.record) for _ in range(2)]
        self._nodes = [
            SoakNode(f"n{shard}-{number}", shard, "ab"[number], self.record, self._random)
            for shard in range(SHARDS)
            for number in range(NODES_OF_A_SHARD)
        ]
        self._program: Program | None = None
        self._port = 0
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._open: set[SoakRequest] = set()
        self._stopping_at: float | None = None
        self._starting = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0
        self.lives = self.signals = 0

    @property
    def longest_s(self) -> float:
        return max(one.deadline_s for one in self._classes)

    # The broker

    def _configure(self, discovery: int) -> None:
        fresh = self._config.with_suffix(".new")
        fresh.write_bytes(
            orjson.dumps(
                {
                    "name": "n1",
                    "listen": f"127.0.0.1:{self._port}",
                    "discovery": f"127.0.0.1:{self._discoveries[discovery].port}",
                    "seed": "7",
                    "settings": settings(self._classes),
                    "limits": {"sockets": SOCKETS},
                }
            )
        )
        fresh.replace(self._config)

    async def _start(self) -> Program:
        module = (
            ("lemonridge.cli.mutant", f"soak-fault={self._options.mutant}")
            if self._options.mutant
            else ("lemonridge",)
        )
        for discovery in self._discoveries:  # without a list no broker can serve
            discovery.silent = False
        self._starting = True
        program = Program("serve", environment={"ROUTER_CONFIG": str(self._config)}, module=module)
        port = await program.start()
        self.lives += 1
        if not self._port:
            self._port = port
            self._configure(0)
        await self._ready()
        self._starting = False
        return program

    async def _ready(self) -> None:
        """Wait until the broker says that it can be used; `ProgramError` where it does not."""
        loop = asyncio.get_running_loop()
        until = loop.time() + READY_S
        while loop.time() < until:
            with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
                async with asyncio.timeout_at(loop.time() + 0.5):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    status = await reader.readuntil(b"\r\n\r\n")
                    writer.close()
                    if b" 200 " in status:
                        return
            await asyncio.sleep(0.01)
        raise ProgramError("it is not ready")

    async def _live(self, end_at: float) -> None:
        """One life of the broker: signals in series, then SIGTERM and SIGKILL at its earliest."""
        loop = asyncio.get_running_loop()
        program = self._program = await self._start()
        self._stopping_at = None
        stop_at = min(end_at, loop.time() + LIFE_S * self._random.uniform(0.6, 1.4))
        while loop.time() < stop_at:
            await asyncio.sleep(min(0.5, max(0.0, stop_at - loop.time())))
            if program.process.returncode is not None:
                self.record.crashes += 1
                self._program = None
                return
            for _ in range(self._random.choice((0, 0, 3))):
                self._configure(self._random.randrange(2))
                program.process.send_signal(self._random.choice((signal.SIGHUP, signal.SIGUSR1)))
                self.signals += 1
        program.process.send_signal(signal.SIGTERM)
        self._stopping_at = loop.time()
        await self._until_killed(program)

    async def _until_killed(self, program: Program) -> None:
        loop = asyncio.get_running_loop()
        assert self._stopping_at is not None
        kill_at = self._stopping_at + min(self.longest_s, COUNTED_S) + KILL_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(kill_at):
                await program.process.wait()
        if program.process.returncode is None:
            for request in self._open:
                request.killed = True
                request.late_at_kill = request.sent_at > self._stopping_at + EARLY_S
            program.process.kill()
        elif program.process.returncode != 0:
            self.record.crashes += 1
            print(f"ended with {program.process.returncode}:", *program.last_log_lines[-12:], sep="\n")
        self._program = None
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()
        await asyncio.sleep(max(0.0, kill_at - loop.time()))

    # Trouble

    async def _trouble(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        for number in itertools.count():
            if loop.time() >= end_at:
                return
            await asyncio.sleep(TROUBLE_S * self._random.uniform(0.5, 1.5))
            node = self._random.choice(self._nodes)
            what = FIXED.get(number % FIXED_EVERY) or self._random.choice(TROUBLES)
            if what == "way":
                node.behaviour = self._random.choice(("hang", "reset", "busy", "late", "error", "serve"))
            elif what in ("late", "reset"):
                node.behaviour = what
            elif what == "restart":
                await self._restart(node)
            elif what in ("drain", "back"):
                await self._tell(node, "draining" if what == "drain" else "up")
            else:
                for discovery in self._discoveries:
                    discovery.silent = what == "silent" and not self._starting
                    discovery.slow = what == "slow"

    async def _restart(self, node: SoakNode) -> None:
        """Die, and come back cold; half of the time alone in its shard."""
        if self._random.random() < 0.5:
            for other in self._nodes:
                if other.shard == node.shard and other is not node:
                    await self._tell(other, "draining")
                    self._later(ALONE_S, self._tell(other, "up"))
        node.close()
        await asyncio.sleep(self._random.uniform(0.1, 0.6))
        await node.open()
        node.behaviour = "serve"
        started_at, born_ms = asyncio.get_running_loop().time(), time.time_ns() // 1_000_000
        self.record.starts[node.name].append((started_at, started_at + ANNOUNCE_LIMIT_S))
        for discovery in self._discoveries:
            discovery.born_ms[node.name] = born_ms
        await self._tell(node, "up", born_ms)

    def _later(self, after_s: float, what: Coroutine[Any, Any, None]) -> None:
        """Do something after a while, whatever goes on meanwhile."""

        async def wait() -> None:
            await asyncio.sleep(after_s)
            await what

        task = asyncio.create_task(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell(self, node: SoakNode, health: str, born_ms: int = 0) -> None:
        for discovery in self._discoveries:
            await discovery.set(node, health, born_ms or discovery.entries[node.name]["born_ms"])

    # Clients

    async def _clients(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await asyncio.sleep(self._random.expovariate(RATE))
            stopping_at = self._stopping_at
            fresh_allowed = stopping_at is None or loop.time() < stopping_at + NEW_FOR_S
            if self._program is not None and (self._idle or fresh_allowed):
                task = asyncio.create_task(self._ask(fresh_allowed))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _request(self) -> tuple[SoakRequest, bytes]:
        random, self._count = self._random, self._count + 1
        cls = random.choice(self._classes)
        volume, units = random.randrange(1, 9), random.choice((1, 2, 2, 6))
        part = random.choice((1.0, 1.0, 1.0, 0.4, 0.1))
        deadline_ms = max(10, int(cls.deadline_s * part * 1000))
        ident = f"{self._options.seed & 0xFFFFFFFF:08x}{self._count:08x}"
        limited = volume in LIMITED_VOLUMES
        request = SoakRequest(ident, cls, volume, limited, units, deadline_ms / 1000)
        body = b"w" * random.choice((10, 5000)) if cls.writes else b""
        shard = -1 if cls.writes and random.random() < 0.5 else random.randrange(SHARDS)
        lines = (
            f"{'PUT' if cls.writes else 'GET'} /{cls.name}/{volume:016x}/{self._count:016x} HTTP/1.1",
            "Host: app.svc",
            f"X-Request-Id: {ident}",
            f"X-Class: {cls.name}",
            f"X-Qos-Policy: {'basic' if limited else 'free'}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"X-Placement: units={units},shard={shard},hosts=1",
            f"Content-Length: {len(body)}",
            *([f"Idempotency-Key: {ident}"] if cls.semantics == "by_key" else ()),
        )
        head = "".join(f"{line}\r\n" for line in lines) + "\r\n"
        return request, head.encode() + body

    async def _ask(self, fresh_allowed: bool) -> None:
        """One request of a client, on an idle connection if there is one."""
        random, program, loop = self._random, self._program, asyncio.get_running_loop()
        try:
            if self._idle and (not fresh_allowed or random.random() < 0.8):
                reader, writer = self._idle.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            return  # the broker is gone or starts: nobody took it
        request, text = self._request()
        if random.random() < 0.03:  # it stops half way, and stays
            writer.write(text[: random.randrange(1, len(text))])
            await asyncio.sleep(3.0)
            writer.close()
            return
        further = [self._request() for _ in range(2)] if random.random() < 0.05 else []
        for one, data in ((request, text), *further):
            writer.write(data)
            self._begin(one)
        kept = True
        for number, one in enumerate((request, *(row[0] for row in further))):
            one.is_pipelined = number > 0
            one.previous_answered_at = loop.time() if one.is_pipelined else 0.0
            if kept:
                kept = await self._await(one, reader, writer)
            else:  # what ended its connection ended it too
                one.disconnected_at, one.ended_at = request.disconnected_at, loop.time()
            self._open.discard(one)
        if kept and self._program is program:
            self._idle.append((reader, writer))
        else:
            writer.close()

    def _begin(self, request: SoakRequest) -> None:
        request.sent_at = asyncio.get_running_loop().time()
        self.record.requests[request.request_id] = request
        self._open.add(request)

    async def _await(
        self, request: SoakRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Read its answer; whether the connection goes on."""
        loop = asyncio.get_running_loop()
        leaves = self._random.random() < 0.08
        wait_s = self._random.uniform(0, 0.1) if leaves else request.deadline_s + 4 * GRACE_S
        try:
            async with asyncio.timeout_at(loop.time() + wait_s):
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.partition(b"content-length: ")[2].split(b"\r")[0])
                await reader.readexactly(length)
        except TimeoutError:
            if leaves:
                request.disconnected_at = loop.time()
                writer.transport.abort()
            return False
        except (asyncio.IncompleteReadError, ConnectionError):
            request.ended_at = loop.time()
            return False
        request.status, request.ended_at = int(head.split()[1]), loop.time()
        return b"connection: close" not in head

    async def _crowd(self) -> None:
        """Idle connections near the limit, opened again as they are closed."""
        while True:
            rows = []
            with contextlib.suppress(OSError):
                for _ in range(CROWD):
                    rows.append(await asyncio.open_connection("127.0.0.1", self._port))
            await asyncio.sleep(1.0)
            for _, writer in rows:
                writer.close()

    # The run

    async def _watch_itself(self) -> None:
        """Note when this process did not run: what it saw then came earlier."""
        loop = asyncio.get_running_loop()
        while True:
            began_at = loop.time()
            await asyncio.sleep(BEAT_S)
            if loop.time() > began_at + 2 * BEAT_S:
                self.record.stalls.append((began_at, loop.time()))

    async def run(self) -> tuple[dict[str, object], Findings]:
        """Play, then judge; the figures of the last line and what was found."""
        loop = asyncio.get_running_loop()
        for listener in (*self._nodes, *self._discoveries):
            await listener.open()
        for node in self._nodes:
            for discovery in self._discoveries:
                await discovery.set(node, "up")
        self._configure(0)
        end_at = loop.time() + self._options.seconds
        background = [
            asyncio.create_task(self._clients(end_at)),
            asyncio.create_task(self._trouble(end_at)),
            asyncio.create_task(self._watch_itself()),
        ]
        if self._options.seed % 4 == 0:
            background.append(asyncio.create_task(self._crowd()))
        try:
            while loop.time() < end_at:
                await self._live(end_at)
        except ProgramError:
            self.record.crashes += 1
        finally:
            if self._program is not None and self._program.process.returncode is None:
                self._program.process.kill()
            for task in background:
                task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for listener in (*self._nodes, *self._discoveries):
            listener.close()
        found = check(self.record, LIMIT)
        figures: dict[str, object] = {
            "drill": "soak",
            "seed": self._options.seed,
            "lives": self.lives,
            "signals": self.signals,
            "requests": len(self.record.requests),
            "served": sum(one.status == 200 for one in self.record.requests.values()),
            "judge_late_ms": int(1000 * max((b - a for a, b in self.record.stalls), default=0)),
        }
        return figures | {name: found.counts[name] for name in FIGURES}, found


def passed(found: Findings) -> bool:
    """Whether every rule held."""
    return not found.counts.total()


async def run(options: Options) -> tuple[dict[str, object], Findings]:
    """One soak."""
    with TemporaryDirectory() as folder:
        return await Soak(options, Path(folder)).run()
