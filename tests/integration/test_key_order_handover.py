"""The order of requests with the same ordering key while the process is replaced."""

from __future__ import annotations

import asyncio
import copy
import signal
from collections import Counter
from typing import Any

import pytest
from harness import PLATFORM_SETTINGS, TIMEOUT_S, Client, Message, Server, reply
from test_process_handover import ReplacementCase

pytestmark = pytest.mark.serial

QUARANTINE_S = 0.4
NODE_LATENCY_S = 0.03
CLIENTS, REQUESTS = 3, 6  # of each process; of each client
PATHS = tuple(f"/new-write/00000003b4d60021/{key:016x}" for key in (0x11, 0x22))


def ordered_classes() -> list[dict[str, Any]]:
    """Returns the classes of the platform's settings, of which the writes keep the order of their keys."""
    read, write = copy.deepcopy(PLATFORM_SETTINGS["classes"])
    return [read, {**write, "sequential": True}]


class OrderedKeys(ReplacementCase):
    setting_overrides: dict[str, Any] = {
        "classes": ordered_classes(),
        "rules": {"key-rest-us": int(QUARANTINE_S * 1e6)},
    }

    async def asyncSetUp(self) -> None:
        self.running: Counter[str] = Counter()
        self.started: list[tuple[str, str]] = []
        self.overlaps: list[str] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        await super().asyncSetUp()
        self.node.script = self.write_alone

    async def write_alone(self, _: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answers a write after a while; notes the keys of which another write is at the node."""
        path, request_id = message.start_line.split()[1], message.headers["x-request-id"]
        self.started.append((path, request_id))
        self.running[path] += 1
        if self.running[path] > 1:
            self.overlaps.append(path)
        await asyncio.sleep(NODE_LATENCY_S)
        await self.may_answer.wait()
        self.running[path] -= 1
        reply(writer)

    async def write(self, client: Client, path: str) -> int:
        """Sends one write with an id of its own; returns the status."""
        key = f"{id(client) % 2**32:x}-{client.request_count}"
        response = await client.request("new-write", path=path, body=b"x", Idempotency_Key=key)
        return response.status

    async def begin_write(self) -> asyncio.Task[int]:
        """Sends a write that is at the node until `may_answer` is set."""
        client = await self.connect()
        self.may_answer.clear()
        first = asyncio.create_task(self.write(client, PATHS[0]))
        await self.until_started(1)
        return first

    async def until_started(self, count: int) -> None:
        """Waits until a number of writes has come to the node."""
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.started) < count:
                await asyncio.sleep(0)

    async def write_on(self, client: Client, path: str) -> list[int]:
        """Sends writes of one key, each after the answer to the one before."""
        statuses = []
        for _ in range(REQUESTS):
            try:
                statuses.append(await self.write(client, path))
            except (ConnectionError, asyncio.IncompleteReadError):  # the answer before ended the connection
                client = await self.connect(wait_until_ready=False)
        return statuses

    async def test_writes_of_one_key_through_both_processes_run_one_at_a_time(self) -> None:
        """Guards against two writes of a key at a node, one of each process, whose order is chance."""
        old_clients = [await self.connect() for _ in PATHS * CLIENTS]
        self.may_answer.clear()
        writes = [
            asyncio.create_task(self.write_on(client, path))
            for client, path in zip(old_clients, PATHS * CLIENTS, strict=True)
        ]
        await self.start_successor()
        for path in PATHS * CLIENTS:
            client = await self.connect(wait_until_ready=False)
            writes.append(asyncio.create_task(self.write_on(client, path)))
        self.may_answer.set()
        statuses = [status for statuses in await asyncio.gather(*writes) for status in statuses]
        self.assertEqual((set(statuses), self.overlaps), ({200}, []))

    async def test_write_of_the_successor_waits_for_one_of_the_predecessor(self) -> None:
        first = await self.begin_write()
        await self.start_successor()
        new_client = await self.connect(wait_until_ready=False)
        second = asyncio.create_task(self.write(new_client, PATHS[0]))
        other_key = await self.connect(wait_until_ready=False)
        third = asyncio.create_task(self.write(other_key, PATHS[1]))
        await self.until_started(2)
        self.assertEqual([path for path, _ in self.started], list(PATHS))
        self.may_answer.set()
        self.assertEqual([await first, await second, await third], [200] * 3)
        self.assertEqual(self.overlaps, [])

    async def test_write_of_the_successor_waits_for_the_quarantine_after_a_killed_predecessor(self) -> None:
        first = await self.begin_write()
        await self.start_successor()
        new_client = await self.connect(wait_until_ready=False)
        loop = asyncio.get_running_loop()
        await self.program.stop(signal.SIGKILL)
        killed_s = loop.time()
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await first
        second = asyncio.create_task(self.write(new_client, PATHS[0]))
        await self.until_started(2)
        self.assertGreaterEqual(loop.time() - killed_s, QUARANTINE_S - 0.01)
        self.may_answer.set()
        self.assertEqual(await second, 200)
