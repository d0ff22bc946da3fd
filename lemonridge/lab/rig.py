"""Test harness for a fleet: N brokers as real processes, their stand-ins, and scheduled fault injection.

Each broker runs `serve` with its own configuration files, its own discovery, and disk nodes that log every
attempt. It reaches its peers through addresses that no other broker uses (`links/datagrams.py`), so that each
direction of each link can fail by itself. The harness kills, pauses, resumes and delays brokers, and kills,
cold-starts and drains nodes.
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
from lemonridge.lab.links.schedule import LINK_KINDS, Fault, Schedule
from lemonridge.lab.load.http import wait_until_ready
from lemonridge.lab.program import Program
from lemonridge.lab.standins.cold import SlowStartNode
from lemonridge.lab.standins.platform import Discovery

MAX_BROKERS = 64


@dataclass(frozen=True)
class SiteSettings:
    """Settings of the small site that the harness sets up.

    Attributes:
        limit: Limit of a volume of grade `basic` over all brokers, in units per second.
        burst: Burst of both limited grades, in units: two of the largest requests for each of three brokers.
            It is no larger, so that sending beyond the limit is detected.
        limit_slack: Tolerated excess over a limit (`limit-slack`).
        high_limit: Limit of a volume of grade `brisk`, in units per second. With the same burst, exceeding
            this limit for one second is detected.
        largest_request_units: Largest request, in units.
        deadline_ms: Deadline of both request classes.
        aim_ms: Latency objective of both request classes.
        slow_start_units: Units that a cold node may be sent at first.
        slow_start_initial_fraction: Fraction of its full speed at which a cold node starts.
        ramp_s: Seconds from a cold start to full speed.
        overload_window_s: Period over which a cold node's load is summed, in seconds.
        overload_multiple: A cold node crashes at this multiple of the work that it can do in the window.
        unit_ms: Time that one unit takes on one core of a warm node.
        cores: Cores of each node.
        retries_per_s: Retries per second of all brokers together (`further_attempts`). A value above 0 gives
            each broker an operator's file that lists its peers.
        extra_fleet_toml: Additional lines of the `fleet` table of that file.
        lease_ms: Lease of the policy that all brokers share; 0 means that each broker uses its own settings.
        policy_floor: Fraction of a limit that a broker grants without a valid lease (`floor`).
        short_deadline_broker: Index of a broker whose classes have a deadline 100 ms shorter, so that it must
            reject some policies; -1 for none.
    """

    limit: float = 24.0
    burst: float = 12.0
    limit_slack: float = 2.0
    high_limit: float = 80.0
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
    retries_per_s: float = 0.0
    extra_fleet_toml: str = ""
    lease_ms: float = 0.0
    policy_floor: float = 0.25
    short_deadline_broker: int = -1

    def settings_document(self, brokers: int, nodes: int, broker: int) -> dict[str, Any]:
        """Returns one broker's settings in the format of PROTOCOL's configuration.

        Args:
            brokers: Number of brokers in the fleet.
            nodes: Number of disk nodes, each with its own shard.
            broker: Index of the broker.
        """
        class_defaults = {
            "aim-us": self.aim_ms * 1000,
            "deadline-us": self.deadline_ms * 1000,
            "gain": 2.0,
            "memory-span-us": 3_000_000,
        }
        plan_defaults = {"burst": 0.0, "cap": 0.0, "limit-slack": 0.0, "weight": 1.0, "worth-factor": 1.0}
        return {
            "fleet-size": brokers,
            "me": broker,
            "discovery": "push",
            "tick-us": 2000,
            "azs": ["hall-a"],
            "classes": [
                {**class_defaults, "group": "all", "name": "read", "semantics": "repeatable"},
                {**class_defaults, "group": "cell", "name": "new-write", "semantics": "by_key"},
            ],
            "grades": [
                {
                    **plan_defaults,
                    "base-rate": self.limit / 4,
                    "guaranteed": 0.0,
                    "name": "basic",
                    "cap": self.limit,
                    "burst": self.burst,
                    "limit-slack": self.limit_slack,
                },
                {
                    **plan_defaults,
                    "base-rate": self.high_limit / 4,
                    "guaranteed": 0.0,
                    "name": "brisk",
                    "cap": self.high_limit,
                    "burst": self.burst,
                    "limit-slack": self.limit_slack,
                },
                {**plan_defaults, "base-rate": 40.0, "guaranteed": 40.0, "name": "priority"},
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
    """Discovery of one broker that records the time at which it sends each entry.

    Attributes:
        written_entries: Tuples of the loop's time in seconds, the node's name and its announced health.
    """

    def __init__(self) -> None:
        super().__init__()
        self.written_entries: list[tuple[float, str, str]] = []

    def on_entries_written(self, entries: list[dict[str, Any]]) -> None:
        """Records entries that are about to be sent to the broker."""
        now = asyncio.get_running_loop().time()
        self.written_entries += [(now, entry["host"], entry["health"]) for entry in entries]


@dataclass
class Broker:
    """One broker over all its incarnations.

    Attributes:
        number: Index in the fleet.
        port: Port of the HTTP front.
        admin_port: Port of the server for operators' calls.
        config: Path of the platform's configuration file.
        discovery: This broker's own discovery.
        arguments: Arguments of `serve`.
        environment: Additional environment variables.
        module: Module to run in place of the program, with its first arguments.
        program: The running process, or None while the broker is down.
        outages: Start and end times of the periods in which the broker was down or paused.
        kills: Number of SIGKILLs.
        pauses: Number of SIGSTOPs.
        counters: Final counters of each incarnation that stopped cleanly.
    """

    number: int
    port: int
    admin_port: int
    config: Path
    discovery: RecordingDiscovery
    arguments: tuple[str, ...]
    environment: dict[str, str] = field(default_factory=dict)
    module: tuple[str, ...] = ("lemonridge",)
    program: Program | None = None
    outages: list[tuple[float, float]] = field(default_factory=list)
    kills: int = 0
    pauses: int = 0
    counters: list[dict[str, int]] = field(default_factory=list)

    async def start(self) -> None:
        """Starts a new process and waits until it listens."""
        self.program = Program(
            "serve",
            *self.arguments,
            module=self.module,
            environment={"ROUTER_CONFIG": str(self.config), **self.environment},
        )
        await self.program.start()

    async def wait_until_ready(self) -> None:
        """Waits until the broker reports that it is ready."""
        await wait_until_ready(self.port)

    async def kill(self) -> None:
        """Kills the process with SIGKILL; its state is lost."""
        assert self.program is not None
        self.kills += 1
        self.program.process.kill()
        await self.program.process.wait()
        self.program = None

    def signal(self, name: signal.Signals) -> None:
        """Sends a signal to the running process."""
        assert self.program is not None
        self.program.process.send_signal(name)

    async def stop(self) -> None:
        """Resumes the process if it is paused, stops it cleanly and stores its final counters."""
        if self.program is not None:
            self.program.process.send_signal(signal.SIGCONT)
            await self.program.stop()
            self.counters.append(self.program.counters)


class FleetHarness:
    """A fleet of broker processes with its network, disk nodes and discovery.

    Attributes:
        folder: Directory of all configuration and state files.
        site: Settings of the site.
        seed: Seed of all random draws.
        peers: Whether the brokers exchange datagrams.
        network: Network between the brokers.
        nodes: Disk nodes; node n holds shard n.
        brokers: All brokers by index.
        load_started_at: Loop time at which the load started, in seconds.
        splits: Number of network splits so far.
        violations: Unexpected events that make a drill fail.
    """

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
        self._active_faults: dict[tuple[int, int], list[Fault]] = {}  # by link
        self.violations: list[str] = []
        self._reserved_ports: list[socket.socket] = []  # reserves the brokers' ports before they start

    def now(self) -> float:
        """Returns the time since the load started, in seconds."""
        return asyncio.get_running_loop().time() - self.load_started_at

    async def start(self, module: Callable[[int], tuple[str, ...]], late: tuple[int, ...] = ()) -> None:
        """Starts the network, nodes and discoveries, then the brokers, and waits until these are ready.

        Args:
            module: Returns the module to run for a broker, with its first arguments, from its index.
            late: Indexes of brokers that are configured but not started.
        """
        await self.network.start()
        for node in self.nodes:
            await node.start()
        for number in range(self.network.count):
            discovery = await RecordingDiscovery().start()
            assert isinstance(discovery, RecordingDiscovery)
            for node in self.nodes:
                await discovery.set(node.discovery_entry(number))
            arguments: tuple[str, ...] = ("--peers",) if self.peers else ()
            if self.peers and (self.site.retries_per_s or self.site.lease_ms):
                arguments = ("--config", str(self.fleet_file(number)))
            port, admin = reserve_tcp_port(), reserve_tcp_port()
            self._reserved_ports += port, admin
            broker = Broker(
                number,
                port.getsockname()[1],
                admin.getsockname()[1],
                self.folder / f"b{number}.json",
                discovery,
                arguments,
                module=module(number),
            )
            broker.config.write_text(json.dumps(self.broker_config(broker)))
            self.brokers.append(broker)
        started = [broker for broker in self.brokers if broker.number not in late]
        await asyncio.gather(*(broker.start() for broker in started))
        await asyncio.gather(*(broker.wait_until_ready() for broker in started))

    def broker_config(self, broker: Broker) -> dict[str, Any]:
        """Returns the configuration that the platform would give to a broker."""
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
        """Returns the settings of the broker with this index."""
        site = self.site
        if number == site.short_deadline_broker:
            site = replace(site, deadline_ms=site.deadline_ms - 100)
        return site.settings_document(self.network.count, len(self.nodes), number)

    def vote_store_path(self, number: int) -> Path:
        """Returns the path of a broker's vote store."""
        return self.folder / f"votes{number}"

    def fleet_file(self, number: int) -> Path:
        """Writes the operator's file of a broker and returns its path.

        The file holds the broker's peers, the retry budget and, with a lease, the policy settings.
        """
        members = "".join(
            f'[[fleet.member]]\nname = "b{n}"\naddress = "{address}"\n'
            for n, address in enumerate(self.network.peer_addresses(number))
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
        """Stops all brokers cleanly."""
        await asyncio.gather(*(broker.stop() for broker in self.brokers))

    async def close(self) -> None:
        """Kills the remaining processes and closes the stand-ins and the network."""
        for reserved in self._reserved_ports:
            reserved.close()
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
        """Injects every fault of a schedule at its time, and heals all links at the end."""
        await asyncio.gather(*(self._inject(schedule, fault) for fault in schedule.fault))
        await asyncio.sleep(max(0.0, schedule.calm_s - self.now()))
        self.network.clear_faults()

    async def _inject(self, schedule: Schedule, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self.now()))
        if fault.kind in LINK_KINDS:
            self.splits += fault.kind == "split"
            await self.apply_link_fault(schedule.affected_links(fault), fault)
        elif fault.kind == "kill":
            await asyncio.gather(*(self.restart_broker(self.brokers[n], fault.for_s) for n in fault.brokers))
        elif fault.kind == "stop":
            await asyncio.gather(*(self.pause_broker(self.brokers[n], fault.for_s) for n in fault.brokers))
        elif fault.kind == "late":
            await asyncio.sleep(fault.for_s)
            for number in fault.brokers:
                await self.brokers[number].start()
        elif fault.kind == "node-death":
            await asyncio.gather(*(self.kill_node(self.nodes[n], fault.for_s) for n in fault.nodes))
        elif fault.kind == "node-drain":
            await asyncio.gather(*(self.drain_node(self.nodes[n], fault.for_s) for n in fault.nodes))
        elif fault.kind == "node-bad":
            for error_share in (fault.share, 0.0):
                for number in fault.nodes:
                    self.nodes[number].error_share = error_share
                await asyncio.sleep(fault.for_s if error_share else 0.0)

    async def apply_link_fault(self, pairs: list[tuple[int, int]], fault: Fault) -> None:
        """Applies a link fault for its duration; the latest of several faults of one kind takes effect.

        Args:
            pairs: Affected links, as (source, destination) indexes of brokers.
            fault: The fault.
        """
        for pair in pairs:
            self._active_faults.setdefault(pair, []).append(fault)
            self._update_link(pair)
        await asyncio.sleep(fault.for_s)
        for pair in pairs:
            self._active_faults[pair].remove(fault)
            self._update_link(pair)

    def _update_link(self, pair: tuple[int, int]) -> None:
        """Sets a link's state from the faults that are active on it."""
        link_faults = LinkFaults()
        for fault in self._active_faults[pair]:
            if fault.kind == "delay":
                link_faults.delay_ms = fault.ms
            elif fault.kind in ("loss", "double", "reorder", "corrupt"):
                setattr(link_faults, fault.kind, fault.share)
            else:
                link_faults.cut = True
        self.network.links[pair] = link_faults

    async def restart_broker(
        self, broker: Broker, downtime_s: float, meanwhile: Callable[[], None] = lambda: None
    ) -> None:
        """Kills a broker, calls `meanwhile`, and starts the broker again after `downtime_s`."""
        stopped_at = asyncio.get_running_loop().time()
        await broker.kill()
        meanwhile()
        await asyncio.sleep(downtime_s)
        await broker.start()
        await broker.wait_until_ready()
        broker.outages.append((stopped_at, asyncio.get_running_loop().time()))

    async def pause_broker(self, broker: Broker, pause_s: float) -> None:
        """Pauses a broker with SIGSTOP and resumes it; its state predates the pause."""
        paused_at = asyncio.get_running_loop().time()
        broker.pauses += 1
        broker.signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        broker.signal(signal.SIGCONT)
        broker.outages.append((paused_at, asyncio.get_running_loop().time()))

    async def kill_node(self, node: SlowStartNode, downtime_s: float) -> None:
        """Kills a node without announcement; after `downtime_s` it starts cold and discovery announces it."""
        if node.alive:
            node.kill()
        await asyncio.sleep(downtime_s)
        await node.start(cold=True)
        await self.announce_health(node, "up")

    async def drain_node(self, node: SlowStartNode, drain_s: float) -> None:
        """Announces a node as draining, and as up again after `drain_s`."""
        await self.announce_health(node, "draining")
        await asyncio.sleep(drain_s)
        await self.announce_health(node, "up")

    async def announce_health(self, node: SlowStartNode, health: str) -> None:
        """Sets a node's health in the discovery of every broker."""
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
    """Runs a fleet until the block ends.

    Args:
        brokers: Number of brokers.
        nodes: Number of disk nodes.
        seed: Seed of all random draws.
        site: Settings of the site; None for the defaults.
        peers: Whether the brokers exchange datagrams.
        module: Module to run in place of the program, with its first arguments (see `cli/mutant.py`): the
            same for all brokers, or a function of a broker's index.
        late: Indexes of brokers that are not started yet.

    Yields:
        The harness, with all brokers ready but those in `late`.

    Raises:
        ProgramError: A broker does not start or does not become ready.
    """
    if not 1 <= brokers <= MAX_BROKERS:
        raise ValueError(f"brokers must be from 1 to {MAX_BROKERS}")
    with TemporaryDirectory() as folder:
        harness = FleetHarness(Path(folder), brokers, nodes, seed, site or SiteSettings(), peers)
        try:
            await harness.start(module if callable(module) else lambda number: module, late)
            harness.load_started_at = asyncio.get_running_loop().time()
            yield harness
        finally:
            await harness.close()
