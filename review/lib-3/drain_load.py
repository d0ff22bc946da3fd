"""What the two cases about drains share: steady reads at each broker, and who sent what to which node."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass

from platform_standins import Client, Message, Node, answer
from support import Case

DEADLINE_MS = 2000
WORK_S = 0.03  # rabat-portal: a read needs 33 to 52 ms


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt as its node saw it: when it had come, and from which broker."""

    at_s: float
    broker: int
    node: str


class Reads:
    """Clients that read at each broker, one request at a time with a pause after each answer.

    The broker's number is the beginning of each request id, so that a node knows whom an attempt comes from.

    Args:
        case: The case.
        clients: The clients of each broker.
        pause_s: The pause after an answer.
    """

    def __init__(self, case: Case, clients: int, pause_s: float) -> None:
        self._case, self._clients, self._pause_s = case, clients, pause_s
        self._ports: list[int] = []
        self._over, self._numbers = asyncio.Event(), itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        self.attempts: list[Attempt] = []

    async def work(self, node: Node, message: Message) -> bytes:
        """Runs a request at a node."""
        request_id = message.headers["x-request-id"]
        self.attempts.append(Attempt(time.monotonic(), int(request_id[:4], 16), node.name))
        self._case.record.line(f"{node.name}: received {request_id}")
        await asyncio.sleep(WORK_S)
        return answer(request_id.encode())

    def start(self, ports: list[int]) -> None:
        """Starts the clients of the brokers at these ports."""
        self._ports = ports
        lanes = itertools.product(range(len(ports)), range(self._clients))
        self._tasks = [asyncio.create_task(self._read(number, lane)) for number, lane in lanes]

    async def stop(self) -> None:
        """Ends the clients, after their open requests."""
        self._over.set()
        await asyncio.gather(*self._tasks)

    def times_at(self, broker: int, node: str) -> list[float]:
        """Returns when the attempts of a broker came to a node."""
        return [sent.at_s for sent in self.attempts if (sent.broker, sent.node) == (broker, node)]

    async def _read(self, broker: int, lane: int) -> None:
        client = Client(self._ports[broker])
        while not self._over.is_set():
            number = next(self._numbers)
            request_id = f"{broker:04x}{lane:04x}{number:08x}"
            response = await client.request(
                "read", 0x1000 + broker, 0x2000 + number, DEADLINE_MS, "priority", request_id=request_id
            )
            status = response.status if response else "none"
            self._case.record.line(f"client of broker-{broker}: {request_id} {status}")
            await asyncio.sleep(self._pause_s)
        client.close()
