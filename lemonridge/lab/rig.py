"""The rig between processes: N brokers as real processes, what is around them, and faults by a schedule.

Each broker is `serve` with files of its own, before disk nodes that keep logs and a discovery of its own, and
hears of its peers at addresses that only it is told (`links/datagrams.py`). Brokers are killed, stopped,
continued and started late; nodes die, come back cold and are drained.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from lemonridge.coordination.vote_store import VoteStore
from lemonridge.lab.links.datagrams import LinkFaults, Network, reserve_tcp_port
from lemonridge.lab.links.schedule import LINKS, Fault, Schedule
from lemonridge.lab.load.http import wait_until_ready
from lemonridge.lab.program import Program
from lemonridge.lab.standins.cold import SlowStartNode
from lemonridge.lab.standins.platform import Discovery

MAX_BROKERS = 64


@dataclass(frozen=True)
class SiteSettings:
    """The figures of the small site that the rig sets up."""

    limit: float = 24.0  # of a `basic` volume, in units a second, over all brokers
    burst: float = 12.0  # two largest requests for each of three brokers: no more, so that excess shows
    limit_slack: float = 2.0
    high_limit: float = (
        80.0  # of a `brisk` one, with the same burst: what passes its limit for a second shows
    )
    largest_request_units: int = 2
    deadline_ms: int = 1500
    aim_ms: int = 1000
    slow_start_units: float = 8.0
    slow_start_initial_fraction: float = 0.2
    ramp_s: float = 6.0
    overload_window_s: float = 1.0
    overload_multiple: float = 2.5
    unit_ms: float = 10.0
    cores: int = 2
    retries_per_s: float = 0.0  # further attempts a second, of all brokers; their peers stand in a file then
    extra_fleet_toml: str = ""  # of that file's table
    lease_ms: float = 0.0  # of one policy for all brokers; 0: each goes by its own file
    policy_floor: float = 0.25
    short_deadline_broker: int = (
        -1
    )  # a broker whose requests have less time, so that it must reject some policies

    def settings_document(self, brokers: int, nodes: int, broker: int) -> dict[str, Any]:
        """The settings as PROTOCOL's configuration holds them."""
        cls = {
            "aim-us": self.aim_ms * 1000,
            "deadline-us": self.deadline_ms * 1000,
            "gain": 2.0,
            "memory-span-us": 3_000_000,
        }
        plan = {"burst": 0.0, "cap": 0.0, "limit-slack": 0.0, "weight": 1.0, "worth-factor": 1.0}
        return {
            "fleet-size": brokers,
            "me": broker,
            "discovery": "push",
            "tick-us": 2000,
            "azs": ["hall-a"],
            "classes": [
                {**cls, "group": "all", "name": "read", "semantics": "repeatable"},
                {**cls, "group": "cell", "name": "new-write", "semantics": "by_key"},
            ],
            "grades": [
                {
                    **plan,
                    "base-rate": self.limit / 4,
                    "guaranteed": 0.0,
                    "name": "basic",
                    "cap": self.limit,
                    "burst": self.burst,
                    "limit-slack": self.limit_slack,
                },
                {
                    **plan,
                    "base-rate": self.high_limit / 4,
                    "guaranteed": 0.0,
                    "name": "brisk",
                    "cap": self.high_limit,
                    "burst": self.burst,
                    "limit-slack": self.limit_slack,
                },
                {**plan, "base-rate": 40.0, "guaranteed": 40.0, "name": "priority"},
            ],
            "family-info": {
                "class-writes": [False, True],
                "cold-units": self.slow_start_units,
                "meter-us": 0,
                "n-shards": nodes,
                "tells-elsewhere": False,
                "unit-mean": 1.5,
                "units-top": self.largest_request_units,
            },
            "limits": {
                "cancelling": True,
                "connect-timeout-us": 250000,
                "keepalive-us": 15000000,
                "max-attempts": 4,
                "max-retry-after-us": 500000,
                "retry-after": True,
                "peers": True,
            },
            "rules": {
                "cold-share": self.slow_start_initial_fraction,
                "drain-grace-us": 500000,
                "fall-us": int(self.overload_window_s * 1e6),
                "ramp-time-us": int(self.ramp_s * 1e6),
                "tip-multiple": self.overload_multiple,
            },
        }


class RecordingDiscovery(Discovery):
    """A broker's discovery, which notes when it has written what."""

    def __init__(self) -> None:
        super().__init__()
        self.written_entries: list[tuple[float, str, str]] = []  # when, node, health

    def on_entries_written(self, entries: list[dict[str, Any]]) -> None:
        now = asyncio.get_running_loop().time()
        self.written_entries += [(now, row["host"], row["health"]) for row in entries]


@dataclass
class Broker:
    """One broker and its lives."""

    number: int
    port: int
    admin_port: int
    config: Path
    discovery: RecordingDiscovery
    arguments: tuple[str, ...]
    environment: dict[str, str] = field(default_factory=dict)
    module: tuple[str, ...] = ("lemonridge",)
    program: Program | None = None
    outages: list[tuple[float, float]] = field(
        default_factory=list
    )  # from when until when it was not all there
    kills: int = 0
    pauses: int = 0
    counters: list[dict[str, int]] = field(default_factory=list)

    async def start(self) -> None:
        self.program = Program(
            "serve",
            *self.arguments,
            module=self.module,
            environment={"ROUTER_CONFIG": str(self.config), **self.environment},
        )
        await self.program.start()

    async def wait_until_ready(self) -> None:
        await wait_until_ready(self.port)

    async def kill(self) -> None:
        """SIGKILL; it knows nothing any more."""
        assert self.program is not None
        self.kills += 1
        self.program.process.kill()
        await self.program.process.wait()
        self.program = None

    def signal(self, name: signal.Signals) -> None:
        assert self.program is not None
        self.program.process.send_signal(name)

    async def stop(self) -> None:
        if self.program is not None:
            self.program.process.send_signal(signal.SIGCONT)
            await self.program.stop()
            self.counters.append(self.program.counters)


class FleetHarness:
    """All of it."""

    def __init__(
        self, folder: Path, brokers: int, nodes: int, seed: int, site: SiteSettings, peers: bool
    ) -> None:
        self.folder, self.site, self.seed, self.peers = folder, site, seed, peers
        self.network = Network(brokers, seed)
        self.nodes = [
            SlowStartNode(
                f"s-{n}",
                n,
                brokers,
                site.cores,
                unit_ms=site.unit_ms,
                slow_start_initial_fraction=site.slow_start_initial_fraction,
                ramp_s=site.ramp_s,
                overload_window_s=site.overload_window_s,
                overload_multiple=site.overload_multiple,
                seed=seed,
            )
            for n in range(nodes)
        ]
        self.brokers: list[Broker] = []
        self.load_started_at = 0.0
        self.splits = 0
        self._links: dict[tuple[int, int], list[Fault]] = {}  # the faults under way, by stretch
        self.violations: list[str] = []  # what did not go as a drill must
        self._reserved_ports: list[socket.socket] = []  # the brokers' ports, from before their start

    def now(self) -> float:
        """Seconds since the load began."""
        return asyncio.get_running_loop().time() - self.load_started_at

    async def start(self, module: Callable[[int], tuple[str, ...]], late: tuple[int, ...] = ()) -> None:
        """Bring all of it up; `late` brokers are not started yet. `module` is what is run for a broker."""
        await self.network.start()
        for node in self.nodes:
            await node.start()
        for number in range(self.network.count):
            register = await RecordingDiscovery().start()
            assert isinstance(register, RecordingDiscovery)
            for node in self.nodes:
                await register.set(node.discovery_entry(number))
            more: tuple[str, ...] = ("--peers",) if self.peers else ()
            if self.peers and (self.site.retries_per_s or self.site.lease_ms):
                more = ("--config", str(self.fleet_file(number)))
            port, admin = reserve_tcp_port(), reserve_tcp_port()
            self._reserved_ports += port, admin
            broker = Broker(
                number,
                port.getsockname()[1],
                admin.getsockname()[1],
                self.folder / f"b{number}.json",
                register,
                more,
                module=module(number),
            )
            broker.config.write_text(json.dumps(self.broker_config(broker)))
            self.brokers.append(broker)
        there = [one for one in self.brokers if one.number not in late]
        await asyncio.gather(*(one.start() for one in there))
        await asyncio.gather(*(one.wait_until_ready() for one in there))

    def broker_config(self, broker: Broker) -> dict[str, Any]:
        """What the platform would tell a broker."""
        number = broker.number
        return {
            "name": f"b{number}",
            "listen": f"127.0.0.1:{broker.port}",
            "discovery": f"127.0.0.1:{broker.discovery.port}",
            "seed": f"{self.seed * 97 + number:016x}",
            "known": {},
            "settings": self.settings_document(number),
            "limits": {"sockets": 1024},
            "admin_addr": f"127.0.0.1:{broker.admin_port}",
            "peer_listen": self.network.listen_address(number),
            "peers": self.network.peer_addresses(number),
        }

    def settings_document(self, number: int) -> dict[str, Any]:
        """The settings of a broker."""
        site = self.site
        if number == site.short_deadline_broker:
            site = replace(site, deadline_ms=site.deadline_ms - 100)
        return site.settings_document(self.network.count, len(self.nodes), number)

    def vote_store_path(self, number: int) -> Path:
        """Where a broker keeps its votes."""
        return self.folder / f"votes{number}"

    def fleet_file(self, number: int) -> Path:
        """What operators would write for a broker: its peers, and the budget of further attempts."""
        members = "".join(
            f'[[fleet.member]]\nname = "b{n}"\naddress = "{at}"\n'
            for n, at in enumerate(self.network.peer_addresses(number))
        )
        if self.site.lease_ms:
            VoteStore(str(self.vote_store_path(number))).create()
            members = (
                f'[fleet.policy]\nstore = "{self.vote_store_path(number)}"\nlease_ms = {self.site.lease_ms}\n'
                f"floor = {self.site.policy_floor}\n{members}"
            )
        path = self.folder / f"fleet{number}.toml"
        path.write_text(
            f'[fleet]\nlisten = "{self.network.listen_address(number)}"\n'
            f"further_attempts = {self.site.retries_per_s}\n{self.site.extra_fleet_toml}\n{members}"
        )
        return path

    async def stop(self) -> None:
        """End every broker well, then what is around them."""
        await asyncio.gather(*(one.stop() for one in self.brokers))

    async def close(self) -> None:
        """Whatever is left."""
        for kept in self._reserved_ports:
            kept.close()
        for broker in self.brokers:
            if broker.program is not None and broker.program.process.returncode is None:
                broker.program.process.kill()
                await broker.program.process.wait()
            await broker.discovery.stop()
        for node in self.nodes:
            if node.alive:
                node.kill()
            node.release_ports()
        self.network.stop()

    # Faults

    async def run_schedule(self, schedule: Schedule) -> None:
        """Every fault of a schedule in its time; at its end all is whole."""
        await asyncio.gather(*(self._fault(schedule, one) for one in schedule.fault))
        await asyncio.sleep(max(0.0, schedule.calm_s - self.now()))
        self.network.clear_faults()

    async def _fault(self, schedule: Schedule, one: Fault) -> None:
        await asyncio.sleep(max(0.0, one.at_s - self.now()))
        if one.kind in LINKS:
            self.splits += one.kind == "split"
            await self.apply_link_fault(schedule.affected_links(one), one)
        elif one.kind == "kill":
            await asyncio.gather(*(self.restart_broker(self.brokers[n], one.for_s) for n in one.brokers))
        elif one.kind == "stop":
            await asyncio.gather(*(self.pause_broker(self.brokers[n], one.for_s) for n in one.brokers))
        elif one.kind == "late":
            await asyncio.sleep(one.for_s)
            for number in one.brokers:
                await self.brokers[number].start()
        elif one.kind == "node-death":
            await asyncio.gather(*(self.kill_node(self.nodes[n], one.for_s) for n in one.nodes))
        elif one.kind == "node-drain":
            await asyncio.gather(*(self.drain_node(self.nodes[n], one.for_s) for n in one.nodes))
        elif one.kind == "node-bad":
            for bad in (one.share, 0.0):
                for number in one.nodes:
                    self.nodes[number].error_share = bad
                await asyncio.sleep(one.for_s if bad else 0.0)

    async def apply_link_fault(self, pairs: list[tuple[int, int]], one: Fault) -> None:
        """A fault of some stretches for its time. Of two of a kind the latest begun counts."""
        for pair in pairs:
            self._links.setdefault(pair, []).append(one)
            self._lay(pair)
        await asyncio.sleep(one.for_s)
        for pair in pairs:
            self._links[pair].remove(one)
            self._lay(pair)

    def _lay(self, pair: tuple[int, int]) -> None:
        """Put a stretch into the state that the faults under way make."""
        made = LinkFaults()
        for one in self._links[pair]:
            if one.kind == "delay":
                made.delay_ms = one.ms
            elif one.kind in ("loss", "double", "reorder", "corrupt"):
                setattr(made, one.kind, one.share)
            else:
                made.cut = True
        self.network.links[pair] = made

    async def restart_broker(
        self, broker: Broker, away_s: float, meanwhile: Callable[[], None] = lambda: None
    ) -> None:
        begun = asyncio.get_running_loop().time()
        await broker.kill()
        meanwhile()
        await asyncio.sleep(away_s)
        await broker.start()
        await broker.wait_until_ready()
        broker.outages.append((begun, asyncio.get_running_loop().time()))

    async def pause_broker(self, broker: Broker, away_s: float) -> None:
        """Stopped, and continued: it still believes itself alive."""
        begun = asyncio.get_running_loop().time()
        broker.pauses += 1
        broker.signal(signal.SIGSTOP)
        await asyncio.sleep(away_s)
        broker.signal(signal.SIGCONT)
        broker.outages.append((begun, asyncio.get_running_loop().time()))

    async def kill_node(self, node: SlowStartNode, away_s: float) -> None:
        """It dies unannounced; its return, cold, is told."""
        if node.alive:
            node.kill()
        await asyncio.sleep(away_s)
        await node.start(cold=True)
        await self.announce_health(node, "up")

    async def drain_node(self, node: SlowStartNode, away_s: float) -> None:
        await self.announce_health(node, "draining")
        await asyncio.sleep(away_s)
        await self.announce_health(node, "up")

    async def announce_health(self, node: SlowStartNode, health: str) -> None:
        for broker in self.brokers:
            await broker.discovery.set(node.discovery_entry(broker.number, health))


@asynccontextmanager
async def running_fleet(
    brokers: int,
    nodes: int,
    seed: int,
    site: SiteSettings | None = None,
    peers: bool = True,
    module: tuple[str, ...] | Callable[[int], tuple[str, ...]] = ("lemonridge",),
    late: tuple[int, ...] = (),
) -> AsyncGenerator[FleetHarness, None]:
    """A rig that is up, until the block ends; ProgramError if a broker does not start as it should.

    `module` is what is run in place of the program, with its first arguments (see `cli/mutant.py`): for all,
    or by the broker's number.
    """
    if not 1 <= brokers <= MAX_BROKERS:
        raise ValueError(f"from 1 to {MAX_BROKERS} brokers")
    with TemporaryDirectory() as folder:
        rig = FleetHarness(Path(folder), brokers, nodes, seed, site or SiteSettings(), peers)
        try:
            await rig.start(module if callable(module) else lambda number: module, late)
            rig.load_started_at = asyncio.get_running_loop().time()
            yield rig
        finally:
            await rig.close()
