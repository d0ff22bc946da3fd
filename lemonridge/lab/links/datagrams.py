"""A simulated network between brokers: one link with its own faults per ordered pair of brokers.

Broker i is given, as the address of broker j, a socket of this network that no other broker uses. If i sends
a datagram there and the link does not drop it, j receives it from the socket that j knows as i's address.
Each broker thus sees each peer at one address, and each direction can be cut, delayed, duplicated, reordered,
corrupted or made lossy by itself.
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
    """Faults of one direction between two brokers; fractions of datagrams are from 0 to 1.

    Attributes:
        cut: Whether all datagrams are dropped.
        loss: Fraction of datagrams that are dropped.
        delay_ms: Shortest and longest delay; each datagram's delay is drawn evenly between them.
        double: Fraction of datagrams that are sent twice.
        reorder: Fraction of datagrams that are delayed by `reorder_delay_ms` more, so that datagrams that
            were sent later overtake them.
        reorder_delay_ms: Additional delay of reordered datagrams.
        corrupt: Fraction of datagrams in which one bit is flipped or whose end is cut off.
    """

    cut: bool = False
    loss: float = 0.0
    delay_ms: tuple[float, float] = (0.0, 0.0)
    double: float = 0.0
    reorder: float = 0.0
    reorder_delay_ms: float = 30.0
    corrupt: float = 0.0


class _LinkSocket(asyncio.DatagramProtocol):
    """The socket that `broker` knows as the address of `peer`."""

    def __init__(self, network: Network, broker: int, peer: int) -> None:
        self._network, self.broker, self.peer = network, broker, peer
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if addr[1] == self._network.ports[self.broker]:
            self._network.forward(self.broker, self.peer, data)
        else:
            self._network.counters["strange"] += 1

    def error_received(self, exc: Exception) -> None:
        """Ignores the system's report that the broker is down."""


class Network:
    """All links between `count` brokers on loopback.

    Attributes:
        count: Number of brokers.
        links: Faults of each link, by the indexes of its source and its destination.
        counters: Numbers of datagrams that were sent, dropped, corrupted, delivered, or strange (from an
            unknown port).
        sent_bytes: Bytes that brokers have sent.
        ports: UDP ports of the brokers, by index; set by `start`.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.count = count
        self.links = {(i, j): LinkFaults() for i in range(count) for j in range(count) if i != j}
        self.counters: Counter[str] = Counter()
        self.sent_bytes = 0
        self.ports: list[int] = []
        self._random = Random(f"{seed}/network")
        self._sockets: dict[tuple[int, int], _LinkSocket] = {}

    async def start(self) -> Network:
        """Opens the sockets of all links and selects the brokers' ports."""
        loop = asyncio.get_running_loop()
        for pair in self.links:
            _, self._sockets[pair] = await loop.create_datagram_endpoint(
                lambda pair=pair: _LinkSocket(self, *pair),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
        # After the links' sockets are bound; otherwise the system could assign them some of these ports.
        self.ports = find_free_udp_ports(self.count)
        return self

    def stop(self) -> None:
        """Closes the sockets of all links."""
        for link_socket in self._sockets.values():
            if link_socket.transport is not None:
                link_socket.transport.close()

    def listen_address(self, number: int) -> str:
        """Returns the address on which a broker listens."""
        return f"127.0.0.1:{self.ports[number]}"

    def peer_addresses(self, number: int) -> list[str]:
        """Returns the addresses of all brokers as one broker is given them, including its own."""
        return [
            self.listen_address(number) if peer == number else self._address(number, peer)
            for peer in range(self.count)
        ]

    def _address(self, broker: int, peer: int) -> str:
        transport = self._sockets[broker, peer].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def clear_faults(self) -> None:
        """Removes the faults of every link."""
        for pair in self.links:
            self.links[pair] = LinkFaults()

    def forward(self, source: int, destination: int, data: bytes) -> None:
        """Applies a link's faults to a datagram, and delivers it unless it is dropped.

        Args:
            source: Index of the sender.
            destination: Index of the receiver.
            data: The datagram.
        """
        link, random = self.links[source, destination], self._random
        self.counters["sent"] += 1
        self.sent_bytes += len(data)
        if link.cut or random.random() < link.loss:
            self.counters["dropped"] += 1
            return
        if random.random() < link.corrupt:
            self.counters["corrupted"] += 1
            data = corrupt_datagram(data, random)
        for _ in range(2 if random.random() < link.double else 1):
            wait_ms = random.uniform(*link.delay_ms)
            if random.random() < link.reorder:
                wait_ms += link.reorder_delay_ms
            if wait_ms <= 0:
                self._pass_on(source, destination, data)
            else:
                asyncio.get_running_loop().call_later(
                    wait_ms / 1000, self._pass_on, source, destination, data
                )

    def _pass_on(self, source: int, destination: int, data: bytes) -> None:
        transport = self._sockets[destination, source].transport
        if transport is not None and not transport.is_closing():
            self.counters["delivered"] += 1
            transport.sendto(data, ("127.0.0.1", self.ports[destination]))


def corrupt_datagram(data: bytes, random: Random) -> bytes:
    """Returns a copy of a datagram with one bit flipped or its end cut off."""
    if random.random() < 0.3:
        return data[: random.randrange(len(data))]
    corrupted = bytearray(data)
    corrupted[random.randrange(len(corrupted))] ^= 1 << random.randrange(8)
    return bytes(corrupted)


def reserve_tcp_port() -> socket.socket:
    """Reserves a free TCP port on loopback for a program that starts later.

    The returned socket is bound but does not listen. While it is open, the system assigns the port neither to
    a socket that binds to port 0 nor to the local end of a connection; a listener that binds to it with
    SO_REUSEADDR succeeds.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


def find_free_udp_ports(count: int) -> list[int]:
    """Returns `count` different UDP ports on loopback that are free at the moment; they are not reserved."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [int(probe.getsockname()[1]) for probe in probes]
