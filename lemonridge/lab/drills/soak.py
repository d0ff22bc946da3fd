"""The drill `soak`: one broker under mixed faults, verified by the records of clients, nodes and discovery.

A seed draws the settings (classes, idempotency, deduplication windows, deadlines, a limit) and the faults:
nodes that hang, reset connections, reject, restart cold and drain; discovery that stops answering, is slow
and moves to another address; clients that disconnect, stop in the middle of a request and pipeline, in some
seeds beside many idle connections; floods and crowds of other clients; series of SIGHUP and SIGUSR1. Each run
of the broker process ends with SIGTERM and, at the earliest time that the page allows, SIGKILL; clients use
open connections and floods go on until then.
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

from lemonridge.lab.checkers.soak import EARLY_S, FIGURES, Findings, SoakLimits, check
from lemonridge.lab.drills.soak_client import SoakClient
from lemonridge.lab.drills.soak_floods import MEMORY_MB, SoakFloods
from lemonridge.lab.program import Program, ProgramError, processor_wait_s
from lemonridge.lab.standins.soak import SoakDiscovery, SoakNode
from lemonridge.lab.standins.soak_record import ANNOUNCE_LIMIT_S, SoakClass, SoakRecord, SoakRequest

SHARDS, NODES_OF_A_SHARD = 2, 2
RATE = 120.0  # requests a second
BROKER_RUN_S = 5.0  # the mean time from a start of the broker to SIGTERM
# SIGKILL follows SIGTERM after the longest deadline, but at most 3 s, and another 0.7 s.
KILL_AFTER_S, COUNTED_DEADLINE_MAX_S = 0.7, 3.0
NEW_CONNECTIONS_S = 0.2  # after SIGTERM, connections may still be opened for 0.2 to 0.4 s
FAULT_INTERVAL_S = 0.35  # the mean time between two faults
FAULTS = ("behaviour",) * 5 + ("restart", "drain", "back", "back", "silent", "slow", "healthy", "healthy")
# Of each eight faults the ones at these positions are fixed, so that every run has them.
FIXED_FAULT_PERIOD, FIXED_FAULTS = 8, {1: "drain", 3: "reset", 5: "restart", 7: "late"}
ONLY_NODE_S = 1.5  # how long a restarting node is the only active one of its shard
IDLE_CONNECTIONS = 100  # in every fourth seed
STALL_CHECK_S = 0.01  # between two checks whether this process was stalled
SOCKETS = 256
READY_WAIT_S = 10.0  # for the broker to receive its first list of endpoints
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
    """The options of a run.

    Attributes:
        seed: The seed from which settings, load and faults are drawn.
        seconds: The duration of the load.
        mutant: The name of a fault to plant in the broker; empty for none.
    """

    seed: int
    seconds: float = 20.0
    mutant: str = ""


def draw_classes(random: Random) -> list[SoakClass]:
    """Draws one class of each kind of idempotency, with deadlines from 200 ms to 2.5 s."""
    deadline = random.choice((0.3, 0.5, 1.0, 1.5, 2.5))
    group = random.choice(("all", "zone", "cell"))
    window = random.choice((0.4, 1.0, 3.0))
    return [
        SoakClass("read", "repeatable", "all", 0.0, deadline, False),
        SoakClass("keyed", "by_key", group, window, random.choice((0.3, deadline)), True),
        SoakClass("single", "once", "all", 0.0, random.choice((0.2, deadline)), True),
    ]


def settings(classes: list[SoakClass]) -> dict[str, Any]:
    """Returns the settings object of the broker's configuration."""
    class_entries = [
        {
            "aim-us": int(cls.deadline_s * 4e5),
            "deadline-us": int(cls.deadline_s * 1e6),
            "gain": 1.0,
            "group": cls.group,
            "memory-span-us": int(cls.window_s * 1e6),
            "name": cls.name,
            "semantics": cls.semantics,
        }
        for cls in classes
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
        "classes": class_entries,
        "grades": plans,
        "family-info": {
            "class-writes": [cls.writes for cls in classes],
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
    """One run of the drill.

    Attributes:
        record: What clients, nodes and discovery recorded.
        broker_starts: How often the broker was started.
        signals: How many SIGHUP and SIGUSR1 the broker was sent.
    """

    def __init__(self, options: Options, folder: Path) -> None:
        self._options, self._random = options, Random(options.seed)
        self._classes = draw_classes(self._random)
        self.record = SoakRecord()
        self._floods = SoakFloods(options.seed)
        self._config = folder / "config.json"
        self._discoveries = [SoakDiscovery(self.record) for _ in range(2)]
        self._nodes = [
            SoakNode(f"n{shard}-{number}", shard, "ab"[number], self.record, self._random)
            for shard in range(SHARDS)
            for number in range(NODES_OF_A_SHARD)
        ]
        self._program: Program | None = None
        self._port = 0
        self._idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._pending: set[SoakRequest] = set()
        self._stopping_at: float | None = None
        self._starting = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self.broker_starts = self.signals = 0

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of the classes, in seconds."""
        return max(cls.deadline_s for cls in self._classes)

    # The broker

    def _configure(self, discovery: int) -> None:
        """Replaces the configuration file by one with the address of the given discovery."""
        new_file = self._config.with_suffix(".new")
        new_file.write_bytes(
            orjson.dumps(
                {
                    "name": "n1",
                    "listen": f"127.0.0.1:{self._port}",
                    "discovery": f"127.0.0.1:{self._discoveries[discovery].port}",
                    "seed": "7",
                    "settings": settings(self._classes),
                    "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
                }
            )
        )
        new_file.replace(self._config)

    async def _start(self) -> Program:
        """Starts the broker and waits until it is ready."""
        module = (
            ("lemonridge.cli.mutant", f"soak-fault={self._options.mutant}")
            if self._options.mutant
            else ("lemonridge",)
        )
        for discovery in self._discoveries:  # without a list of endpoints the broker cannot serve
            discovery.silent = False
        self._starting = True
        program = Program("serve", environment={"ROUTER_CONFIG": str(self._config)}, module=module)
        port = await program.start()
        self.broker_starts += 1
        if not self._port:
            self._port = port
            self._configure(0)
        await self._ready()
        self._starting = False
        return program

    async def _ready(self) -> None:
        """Waits until the broker reports that it is ready.

        Raises:
            ProgramError: It is not ready within READY_WAIT_S.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + READY_WAIT_S
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
        raise ProgramError("it is not ready in time")

    async def _run_broker(self, end_at: float) -> None:
        """Runs the broker once: with series of signals, and SIGTERM and SIGKILL at the end."""
        loop = asyncio.get_running_loop()
        program = self._program = await self._start()
        self._stopping_at = None
        stop_at = min(end_at, loop.time() + BROKER_RUN_S * self._random.uniform(0.6, 1.4))
        floods = asyncio.create_task(self._floods.run(self._port))
        try:
            await self._send_signals(program, stop_at)
            if self._program is not None:
                program.process.send_signal(signal.SIGTERM)
                self._stopping_at = loop.time()
                self.record.stops.append(self._stopping_at)
                await self._wait_until_killed(program)
        finally:
            floods.cancel()

    async def _send_signals(self, program: Program, stop_at: float) -> None:
        """Sends series of signals until a time, or until the broker has failed."""
        loop = asyncio.get_running_loop()
        while loop.time() < stop_at:
            await asyncio.sleep(min(0.5, max(0.0, stop_at - loop.time())))
            is_within_memory = self._floods.sample_memory(program.process.pid)
            if program.process.returncode is not None or not is_within_memory:
                self.record.crashes += 1
                print(f"the broker ended or has passed {MEMORY_MB} MB:", *program.last_log_lines, sep="\n")
                if program.process.returncode is None:
                    program.process.kill()
                self._program = None
                return
            for _ in range(self._random.choice((0, 0, 3))):
                self._configure(self._random.randrange(2))
                program.process.send_signal(self._random.choice((signal.SIGHUP, signal.SIGUSR1)))
                self.signals += 1

    async def _wait_until_killed(self, program: Program) -> None:
        """Sends SIGKILL at the earliest allowed time unless the broker has ended, and waits for that time."""
        loop = asyncio.get_running_loop()
        assert self._stopping_at is not None
        kill_at = self._stopping_at + min(self.longest_deadline_s, COUNTED_DEADLINE_MAX_S) + KILL_AFTER_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(kill_at):
                await program.process.wait()
        if program.process.returncode is None:
            for request in self._pending:
                request.killed = not request.status
                request.late_at_kill = request.sent_at > self._stopping_at + EARLY_S
            program.process.kill()
        elif program.process.returncode != 0:
            self.record.crashes += 1
            print(
                f"the broker exited with status {program.process.returncode}:",
                *program.last_log_lines[-12:],
                sep="\n",
            )
        self._program = None
        for _, writer in self._idle_connections:
            writer.close()
        self._idle_connections.clear()
        await asyncio.sleep(max(0.0, kill_at - loop.time()))

    # Faults

    async def _run_faults(self, end_at: float) -> None:
        """Injects a fault every FAULT_INTERVAL_S on average."""
        loop = asyncio.get_running_loop()
        for number in itertools.count():
            if loop.time() >= end_at:
                return
            await asyncio.sleep(FAULT_INTERVAL_S * self._random.uniform(0.5, 1.5))
            node = self._random.choice(self._nodes)
            fault = FIXED_FAULTS.get(number % FIXED_FAULT_PERIOD) or self._random.choice(FAULTS)
            if fault == "behaviour":
                node.behaviour = self._random.choice(("hang", "reset", "busy", "late", "error", "serve"))
            elif fault in ("late", "reset"):
                node.behaviour = fault
            elif fault == "restart":
                await self._restart_node(node)
            elif fault in ("drain", "back"):
                await self._set_health(node, "draining" if fault == "drain" else "up")
            else:
                for discovery in self._discoveries:
                    discovery.silent = fault == "silent" and not self._starting
                    discovery.slow = fault == "slow"

    async def _restart_node(self, node: SoakNode) -> None:
        """Restarts a node cold, half of the time while the other nodes of its shard drain."""
        if self._random.random() < 0.5:
            for neighbour in self._nodes:
                if neighbour.shard == node.shard and neighbour is not node:
                    await self._set_health(neighbour, "draining")
                    self._run_later(ONLY_NODE_S, self._set_health(neighbour, "up"))
        node.close()
        await asyncio.sleep(self._random.uniform(0.1, 0.6))
        await node.open()
        node.behaviour = "serve"
        started_at, born_ms = asyncio.get_running_loop().time(), time.time_ns() // 1_000_000
        self.record.starts[node.name].append((started_at, started_at + ANNOUNCE_LIMIT_S))
        for discovery in self._discoveries:
            discovery.born_ms[node.name] = born_ms
        await self._set_health(node, "up", born_ms)

    def _run_later(self, after_s: float, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the background after `after_s` seconds."""

        async def run_delayed() -> None:
            """Waits, then runs the coroutine."""
            await asyncio.sleep(after_s)
            await coroutine

        task = asyncio.create_task(run_delayed())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _set_health(self, node: SoakNode, health: str, born_ms: int = 0) -> None:
        """Sets a node's health and, unless it is 0, its start time in all discoveries."""
        for discovery in self._discoveries:
            await discovery.set(node, health, born_ms or discovery.entries[node.name]["born_ms"])

    # Clients

    async def _run_clients(self, end_at: float) -> None:
        """Starts a client at random intervals, RATE a second on average."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await asyncio.sleep(self._random.expovariate(RATE))
            stopping_at = self._stopping_at
            may_connect = stopping_at is None or loop.time() < stopping_at + NEW_CONNECTIONS_S
            if self._program is not None and (self._idle_connections or may_connect):
                task = asyncio.create_task(self._send_requests(may_connect))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _request(self) -> tuple[SoakRequest, bytes]:
        """Draws a request; returns its record and its bytes."""
        random, self._request_count = self._random, self._request_count + 1
        cls = random.choice(self._classes)
        volume, units = random.randrange(1, 9), random.choice((1, 2, 2, 6))
        deadline_share = random.choice((1.0, 1.0, 1.0, 0.4, 0.1))
        deadline_ms = max(10, int(cls.deadline_s * deadline_share * 1000))
        request_id = f"{self._options.seed & 0xFFFFFFFF:08x}{self._request_count:08x}"
        limited = volume in LIMITED_VOLUMES
        request = SoakRequest(request_id, cls, volume, limited, units, deadline_ms / 1000)
        body = b"w" * random.choice((10, 5000)) if cls.writes else b""
        shard = -1 if cls.writes and random.random() < 0.5 else random.randrange(SHARDS)
        lines = (
            f"{'PUT' if cls.writes else 'GET'} /{cls.name}/{volume:016x}/{self._request_count:016x} HTTP/1.1",
            "Host: app.svc",
            f"X-Request-Id: {request_id}",
            f"X-Class: {cls.name}",
            f"X-Qos-Policy: {'basic' if limited else 'free'}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"X-Placement: units={units},shard={shard},hosts=1",
            f"Content-Length: {len(body)}",
            *([f"Idempotency-Key: {request_id}"] if cls.semantics == "by_key" else ()),
        )
        head = "".join(f"{line}\r\n" for line in lines) + "\r\n"
        return request, head.encode() + body

    async def _send_requests(self, may_connect: bool) -> None:
        """Sends one client's request, at times with two pipelined ones, and reads the responses.

        It uses an idle connection if there is one.
        """
        random, program = self._random, self._program
        try:
            if self._idle_connections and (not may_connect or random.random() < 0.8):
                reader, writer = self._idle_connections.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            return  # the broker is down or starting, so no request was sent
        request, data = self._request()
        if random.random() < 0.03:  # an incomplete request whose connection stays open for 3 s
            writer.write(data[: random.randrange(1, len(data))])
            await asyncio.sleep(3.0)
            writer.close()
            return
        pipelined = [self._request() for _ in range(2)] if random.random() < 0.05 else []
        for sent_request, sent_data in ((request, data), *pipelined):
            writer.write(sent_data)
            self._record_sent(sent_request)
        requests = [request, *(pipelined_request for pipelined_request, _ in pipelined)]
        reusable = await SoakClient(reader, writer, random).read_responses(requests)
        self._pending.difference_update(requests)
        if reusable and self._program is program:
            self._idle_connections.append((reader, writer))
        else:
            writer.close()

    def _record_sent(self, request: SoakRequest) -> None:
        """Records that a request was sent now."""
        request.sent_at = asyncio.get_running_loop().time()
        self.record.requests[request.request_id] = request
        self._pending.add(request)

    async def _hold_idle_connections(self) -> None:
        """Holds idle connections near the limit of sockets, and replaces them every second."""
        while True:
            connections = []
            with contextlib.suppress(OSError):
                for _ in range(IDLE_CONNECTIONS):
                    connections.append(await asyncio.open_connection("127.0.0.1", self._port))
            await asyncio.sleep(1.0)
            for _, writer in connections:
                writer.close()

    # The run

    async def _record_stalls(self) -> None:
        """Records when this process was stalled, and when the broker waited for a processor.

        What this process noticed in a stall may have happened earlier.
        """
        loop = asyncio.get_running_loop()
        program, waited_s = self._program, 0.0
        while True:
            sleep_started_at = loop.time()
            await asyncio.sleep(STALL_CHECK_S)
            if loop.time() > sleep_started_at + 2 * STALL_CHECK_S:
                self.record.stalls.append((sleep_started_at, loop.time()))
            if program is not self._program:
                program, waited_s = self._program, 0.0
            if program is not None:
                waited_before_s, waited_s = waited_s, processor_wait_s(program.process.pid)
                if waited_s > waited_before_s:
                    self.record.processor_waits.append((loop.time(), waited_s - waited_before_s))

    async def run(self) -> tuple[dict[str, object], Findings]:
        """Runs load and faults, then the checker; returns the figures and the findings."""
        loop = asyncio.get_running_loop()
        for listener in (*self._nodes, *self._discoveries):
            await listener.open()
        for node in self._nodes:
            for discovery in self._discoveries:
                await discovery.set(node, "up")
        self._configure(0)
        end_at = loop.time() + self._options.seconds
        background = [
            asyncio.create_task(self._run_clients(end_at)),
            asyncio.create_task(self._run_faults(end_at)),
            asyncio.create_task(self._record_stalls()),
        ]
        if self._options.seed % 4 == 0:
            background.append(asyncio.create_task(self._hold_idle_connections()))
        try:
            while loop.time() < end_at:
                await self._run_broker(end_at)
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
        findings = check(self.record, LIMIT)
        figures: dict[str, object] = {
            "drill": "soak",
            "seed": self._options.seed,
            "lives": self.broker_starts,
            "signals": self.signals,
            "floods": self._floods.played,
            "memory_mb": self._floods.peak_memory_mb,
            "requests": len(self.record.requests),
            "served": sum(request.status == 200 for request in self.record.requests.values()),
            "judge_late_ms": int(1000 * max((end - start for start, end in self.record.stalls), default=0)),
        }
        return figures | {name: findings.counts[name] for name in FIGURES}, findings


def passed(findings: Findings) -> bool:
    """Whether no rule was violated."""
    return not findings.counts.total()


async def run(options: Options) -> tuple[dict[str, object], Findings]:
    """Runs the drill; returns the figures and the checker's findings."""
    with TemporaryDirectory() as folder:
        return await Soak(options, Path(folder)).run()
