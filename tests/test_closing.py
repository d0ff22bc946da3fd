"""The ends of clients' connections, in the very turn of the loop in which something comes."""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from harness import FACTS, PATIENCE_S, Client

from lemonridge import config
from lemonridge.core.clock import Clock
from lemonridge.core.model import Answer, Kind, Request
from lemonridge.counters import Counters
from lemonridge.net.http_front import HttpFront
from lemonridge.operate.life import Life

SHORT_US = 100_000  # a longest deadline with which nothing new is taken from the signal on


class Closing(unittest.IsolatedAsyncioTestCase):
    """The front alone before a broker of the test's own, so that a test can act between two steps of it."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "config.json"
        path.write_text(json.dumps({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
                                    "settings": FACTS}))  # fmt: skip
        platform = config.load({"ROUTER_CONFIG": str(path)})
        clock, self.life = Clock(asyncio.get_running_loop()), Life(SHORT_US)
        self.taken: list[str] = []
        self.before_answer: Callable[[], object] = lambda: None
        self.front = HttpFront(platform, self, self, clock, Counters(), self.life)  # type: ignore[arg-type]
        self.life.configure(SHORT_US)
        self.front.bind(platform.listen)
        await self.front.listen()
        self.addAsyncCleanup(self.end)
        assert self.front._socket is not None
        self.text = Client(self.front._socket.getsockname()[1]).text

    async def end(self) -> None:
        self.front.deafen()

    async def serve(self, request: Request) -> Answer:
        """The broker's part."""
        self.taken.append(request.ident)
        self.before_answer()
        return Answer(Kind.SERVED, b"data")

    def knock(self) -> socket.socket:
        """A client's connection, which the front has not accepted before the next turn of the loop."""
        assert self.front._socket is not None
        client = socket.create_connection(self.front._socket.getsockname(), PATIENCE_S)
        client.setblocking(False)
        self.addCleanup(client.close)
        return client

    async def read(self, client: socket.socket, until: bytes = b"data") -> bytes:
        """What comes up to these bytes, or to the end."""
        data = b""
        async with asyncio.timeout(PATIENCE_S):
            while not data.endswith(until or b"never"):
                part = await asyncio.get_running_loop().sock_recv(client, 1 << 16)
                if not part:
                    break
                data += part
        return data

    async def resting(self) -> socket.socket:
        """A connection that has had an answer."""
        client = self.knock()
        client.send(self.text())
        await self.read(client)
        await asyncio.sleep(0)
        return client

    async def test_a_request_that_comes_as_its_resting_connection_is_closed_is_served(self) -> None:
        client = await self.resting()
        client.send(self.text())
        self.assertTrue(self.front._room.close_waiting(patient=False))  # it is left for now
        self.assertIn(b"200 OK", await self.read(client))
        while self.front._room.close_waiting(patient=False):
            await asyncio.sleep(0)
        self.assertEqual(await self.read(client), b"")

    async def test_a_request_that_comes_as_its_connection_expires_is_served(self) -> None:
        client = await self.resting()
        for connection, states in [(one, rows) for rows in self.front._room._states for one in rows]:
            states[connection] -= 60.0  # it has rested for long
        client.send(self.text())
        self.front._room._sweep()
        self.assertIn(b"200 OK", await self.read(client))

    async def test_what_waits_at_the_door_when_it_closes_is_served(self) -> None:
        stopping = asyncio.create_task(self.front.stop())
        await asyncio.sleep(0)  # it has been told, and goes on with the end in the next turn
        client = self.knock()
        client.send(self.text())
        answer = await self.read(client, b"")
        self.assertIn(b"200 OK", answer)
        self.assertIn(b"connection: close", answer.lower())
        await stopping
        self.assertFalse(self.front.listens)

    async def test_a_request_that_is_half_read_at_the_end_becomes_whole(self) -> None:
        client, text = await self.resting(), self.text()
        client.send(text[:40])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        stopping = asyncio.create_task(self.front.stop())
        while self.front.listens:
            await asyncio.sleep(0)
        client.send(text[40:])
        answer = await self.read(client, b"")
        self.assertTrue(answer.endswith(b"data") and b"connection: close" in answer.lower())
        await stopping

    async def test_a_request_that_never_becomes_whole_does_not_hold_up_the_end(self) -> None:
        client = await self.resting()
        client.send(self.text()[:40])
        async with asyncio.timeout(PATIENCE_S):
            await self.front.stop()
            while self.front.busy:
                await asyncio.sleep(0)
        self.assertEqual(await self.read(client), b"")

    async def test_a_close_over_unread_bytes_does_not_reset_the_last_answer(self) -> None:
        client = self.knock()
        self.before_answer = lambda: client.send(b"\r\nmore")  # it is not read before the close
        client.send(self.text(Connection="close"))
        self.assertTrue((await self.read(client, b"")).endswith(b"data"))  # up to an orderly end

    async def test_a_request_that_comes_behind_the_last_answer_is_not_sent_on(self) -> None:
        client = self.knock()
        client.send(self.text(Connection="close"))
        await self.read(client)
        self.assertEqual(await self.read(client, b""), b"")
        client.send(self.text())
        while self.front.busy:
            await asyncio.sleep(0)
        self.assertEqual(len(self.taken), 1)
