"""The network between brokers: a stretch of its own for every ordered pair, with faults of its own.

Broker i is told, as the address of j, a socket of this network that only i is told of. What i sends there
leaves, if it passes the stretch, from the socket that j knows as i's address: so each side sees the other at
one address, and each direction can be cut, slowed, doubled, reordered, spoilt or thinned out alone.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from random import Random
from typing import Any


@dataclass(slots=True)
class LinkFaults:
    """One direction between two brokers; shares from 0 to 1, times in milliseconds."""

    cut: bool = False
    loss: float = 0.0
    delay_ms: tuple[float, float] = (0.0, 0.0)
    double: float = 0.0
    reorder: float = 0.0  # this share comes late by `late_ms` more, behind what was sent after it
    reorder_delay_ms: float = 30.0
    corrupt: float = 0.0  # one bit is flipped, or the end is cut off


class _End(asyncio.DatagramProtocol):
    """What `owner` knows as the address of `other`."""

    def __init__(self, network: Network, owner: int, other: int) -> None:
        self._network, self.owner, self.other = network, owner, other
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if addr[1] == self._network.ports[self.owner]:
            self._network.forward(self.owner, self.other, data)
        else:
            self._network.counters["strange"] += 1

    def error_received(self, exc: Exception) -> None:
        """The broker is down, as the system tells."""


class Network:
    """All stretches between `count` brokers on loopback."""

    def __init__(self, count: int, seed: int) -> None:
        self.count = count
        self.links = {(i, j): LinkFaults() for i in range(count) for j in range(count) if i != j}
        self.counters: Counter[str] = Counter()
        self.sent_bytes = 0
        self.ports: list[int] = []  # the brokers', once it is started
        self._random = Random(f"{seed}/network")
        self._ends: dict[tuple[int, int], _End] = {}

    async def start(self) -> Network:
        loop = asyncio.get_running_loop()
        for pair in self.links:
            _, self._ends[pair] = await loop.create_datagram_endpoint(
                lambda pair=pair: _End(self, *pair),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
        self.ports = find_free_udp_ports(
            self.count
        )  # after its own ends, which would else be given some of them
        return self

    def stop(self) -> None:
        for end in self._ends.values():
            if end.transport is not None:
                end.transport.close()

    def listen_address(self, number: int) -> str:
        """Where a broker listens."""
        return f"127.0.0.1:{self.ports[number]}"

    def peer_addresses(self, number: int) -> list[str]:
        """The addresses that a broker is told, its own among them."""
        return [
            self.listen_address(number) if other == number else self._address(number, other)
            for other in range(self.count)
        ]

    def _address(self, owner: int, other: int) -> str:
        transport = self._ends[owner, other].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def clear_faults(self) -> None:
        """Every stretch is whole."""
        for pair in self.links:
            self.links[pair] = LinkFaults()

    def forward(self, source: int, to: int, data: bytes) -> None:
        """A datagram of one broker to another: what becomes of it is drawn here."""
        stretch, random = self.links[source, to], self._random
        self.counters["sent"] += 1
        self.sent_bytes += len(data)
        if stretch.cut or random.random() < stretch.loss:
            self.counters["dropped"] += 1
            return
        if random.random() < stretch.corrupt:
            self.counters["corrupted"] += 1
            data = corrupt_datagram(data, random)
        for _ in range(2 if random.random() < stretch.double else 1):
            wait_ms = random.uniform(*stretch.delay_ms)
            if random.random() < stretch.reorder:
                wait_ms += stretch.reorder_delay_ms
            if wait_ms <= 0:
                self._pass_on(source, to, data)
            else:
                asyncio.get_running_loop().call_later(wait_ms / 1000, self._pass_on, source, to, data)

    def _pass_on(self, source: int, to: int, data: bytes) -> None:
        transport = self._ends[to, source].transport
        if transport is not None and not transport.is_closing():
            self.counters["delivered"] += 1
            transport.sendto(data, ("127.0.0.1", self.ports[to]))


def corrupt_datagram(data: bytes, random: Random) -> bytes:
    """One bit flipped, or the end cut off."""
    if random.random() < 0.3:
        return data[: random.randrange(len(data))]
    made = bytearray(data)
    made[random.randrange(len(made))] ^= 1 << random.randrange(8)
    return bytes(made)


def reserve_tcp_port() -> socket.socket:
    """A TCP port of loopback that the system chose, kept for a program that is yet to start.

    It is bound and not listened at: the system gives it to nobody else, neither to one that asks for any port
    nor to the near end of a connection, and who names it with SO_REUSEADDR, as a listener does, has it.
    """
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind(("127.0.0.1", 0))
    return made


def find_free_udp_ports(count: int) -> list[int]:
    """Ports of loopback for datagrams, each another, that the system chose and no one has now."""
    with ExitStack() as held:
        probes = [held.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [int(probe.getsockname()[1]) for probe in probes]
