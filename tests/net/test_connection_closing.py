"""Clients' connections that are closed in the turn of the loop in which something arrives on them."""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from harness import PLATFORM_SETTINGS, TIMEOUT_S, Client

from lemonridge.config.platform import load
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.net.connection_table import ConnectionState
from lemonridge.net.http_front import HttpFront
from lemonridge.operate.lifecycle import Lifecycle

SHORT_US = 100_000  # a longest deadline with which nothing new is taken from the signal on


class ConnectionClosing(unittest.IsolatedAsyncioTestCase):
    """The front before a broker of the test's own, so that a test can act between two turns of the loop."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:1",
                    "settings": PLATFORM_SETTINGS,
                }
            )
        )
        platform = load({"ROUTER_CONFIG": str(path)})
        self.clock, self.lifecycle = Clock(asyncio.get_running_loop()), Lifecycle(SHORT_US)
        self.served_ids: list[str] = []
        self.before_answer: Callable[[], object] = lambda: None
        self.front = HttpFront(platform, self, self, self.clock, Counters(), self.lifecycle)  # type: ignore[arg-type]
        self.lifecycle.configure(SHORT_US)
        self.front.bind(platform.listen)
        await self.front.listen()
        self.addAsyncCleanup(self.stop_accepting)
        self.text = Client(self.front.listener.socket.getsockname()[1]).encode_request

    async def stop_accepting(self) -> None:
        self.front.listener.stop_accepting()

    def submit(self, request: Request, on_answer: Callable[[Answer], None]) -> object:
        """The broker's part."""
        self.served_ids.append(request.request_id)

        def answer() -> None:
            self.before_answer()
            on_answer(Answer(AnswerKind.SERVED, self.data))

        asyncio.get_running_loop().call_soon(answer)
        return None

    data = b"data"

    def connect(self, buffer: int | None = None) -> socket.socket:
        """A client's connection, which the front has not accepted before the next turn of the loop; with so
        many bytes that the system takes of an answer before the client reads."""
        assert self.front.listener._listening is not None
        client = socket.socket()
        client.settimeout(TIMEOUT_S)
        if buffer is not None:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
            self.front.listener._listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer)
        client.connect(self.front.listener.socket.getsockname())
        client.setblocking(False)
        self.addCleanup(client.close)
        return client

    def pretend_elapsed(self, seconds: float) -> None:
        """Makes all that the front's connections did so much longer ago."""
        for states in self.front._table._states:
            for connection in states:
                states[connection] -= seconds

    async def read(self, client: socket.socket, until: bytes = b"data") -> bytes:
        """What comes up to these bytes, or to the end."""
        data = b""
        async with asyncio.timeout(TIMEOUT_S):
            while not data.endswith(until or b"never"):
                part = await asyncio.get_running_loop().sock_recv(client, 1 << 16)
                if not part:
                    break
                data += part
        return data

    async def idle_client(self) -> socket.socket:
        """A connection that has had an answer."""
        client = self.connect()
        client.send(self.text())
        await self.read(client)
        await asyncio.sleep(0)
        return client

    async def test_a_request_that_comes_as_its_resting_connection_is_closed_is_served(self) -> None:
        client = await self.idle_client()
        client.send(self.text())
        self.assertTrue(self.front._table.close_waiting(patient=False))  # it is left for now
        self.assertIn(b"200 OK", await self.read(client))
        while self.front._table.close_waiting(patient=False):
            await asyncio.sleep(0)
        self.assertEqual(await self.read(client), b"")

    async def test_a_request_that_comes_as_its_connection_expires_is_served(self) -> None:
        client = await self.idle_client()
        self.pretend_elapsed(60.0)
        client.send(self.text())
        self.front._table._sweep()
        self.assertIn(b"200 OK", await self.read(client))

    async def test_a_connection_in_the_backlog_when_the_listener_closes_is_served(self) -> None:
        stopping = asyncio.create_task(self.front.stop())
        await asyncio.sleep(0)  # it has been told, and goes on with the end in the next turn
        client = self.connect()
        client.send(self.text())
        answer = await self.read(client, b"")
        self.assertIn(b"200 OK", answer)
        self.assertIn(b"connection: close", answer.lower())
        await stopping
        self.assertFalse(self.front.listener.listens)

    async def test_a_request_that_is_half_read_at_the_end_is_completed(self) -> None:
        client, text = await self.idle_client(), self.text()
        client.send(text[:40])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        stopping = asyncio.create_task(self.front.stop())
        while self.front.listener.listens:
            await asyncio.sleep(0)
        client.send(text[40:])
        answer = await self.read(client, b"")
        self.assertTrue(answer.endswith(b"data") and b"connection: close" in answer.lower())
        await stopping

    async def test_a_request_that_never_completes_does_not_delay_the_stop(self) -> None:
        client = await self.idle_client()
        client.send(self.text()[:40])
        async with asyncio.timeout(TIMEOUT_S):
            await self.front.stop()
            while self.front.busy:
                await asyncio.sleep(0)
        self.assertEqual(await self.read(client), b"")

    async def test_a_close_over_unread_bytes_does_not_reset_the_last_answer(self) -> None:
        client = self.connect()
        self.before_answer = lambda: client.send(b"\r\nmore")  # it is not read before the close
        client.send(self.text(Connection="close"))
        self.assertTrue((await self.read(client, b"")).endswith(b"data"))  # up to an orderly end

    async def test_a_request_that_comes_behind_the_last_answer_is_not_forwarded(self) -> None:
        client = self.connect()
        client.send(self.text(Connection="close"))
        await self.read(client)
        self.assertEqual(await self.read(client, b""), b"")
        client.send(self.text())
        while self.front.busy:
            await asyncio.sleep(0)
        self.assertEqual(len(self.served_ids), 1)

    async def slow_client(self, **changes: str) -> socket.socket:
        """A client that has not read its answer yet, of which the system does not take all."""
        self.data = b"x" * 60_000 + b"data"
        client = self.connect(buffer=4096)
        client.send(self.text(**changes))
        async with asyncio.timeout(TIMEOUT_S):
            while not any(one.has_unsent_data for states in self.front._table._states for one in states):
                await asyncio.sleep(0)
            while self.front._table._states[ConnectionState.SERVING]:
                await asyncio.sleep(0)
        return client

    async def test_a_slow_client_gets_its_complete_last_answer(self) -> None:
        client = await self.slow_client(Connection="close")
        self.pretend_elapsed(1.0)
        self.front._table._sweep()
        self.assertTrue((await self.read(client, b"")).endswith(b"data"))

    async def test_a_client_that_never_reads_its_last_answer_is_disconnected(self) -> None:
        client = await self.slow_client(Connection="close")
        for one in self.front._table._states[ConnectionState.CLOSING]:
            one.closing_since_s -= 60.0
        self.pretend_elapsed(60.0)
        self.front._table._sweep()
        self.assertFalse(self.front.busy)
        with self.assertRaises(ConnectionResetError):
            await asyncio.get_running_loop().sock_sendall(client, b"x")
            await self.read(client, b"")

    async def test_room_for_a_new_client_is_not_made_by_cutting_an_answer_short(self) -> None:
        for changes in ({}, {"Connection": "close"}):
            client = await self.slow_client(**changes)
            self.pretend_elapsed(60.0)
            self.front._table.configure(4, 1 << 20)  # one is room enough
            other = self.connect()
            async with asyncio.timeout(TIMEOUT_S):
                while len(self.front._table) < 2:
                    await asyncio.sleep(0)
            self.assertTrue((await self.read(client)).endswith(b"data"))
            for one in (client, other):
                one.close()
            async with asyncio.timeout(TIMEOUT_S):
                while len(self.front._table):
                    await asyncio.sleep(0)

    async def test_what_is_accepted_in_the_turn_of_a_handover_is_served(self) -> None:
        client = self.connect()
        client.send(self.text())
        self.front.listener.accept_batch()
        self.front.listener.stop_accepting()  # as a handover does, with the state in the same step
        self.lifecycle.hand_over(self.clock.now_us())
        self.front.changed()
        answer = await self.read(client, b"")
        self.assertIn(b"200 OK", answer)
        self.assertIn(b"connection: close", answer.lower())

    async def test_small_writes_are_not_held_back(self) -> None:
        await self.idle_client()
        (connection,) = self.front._table._states[ConnectionState.IDLE]
        made = connection._transport.get_extra_info("socket")
        self.assertTrue(made.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        self.connect()
        async with asyncio.timeout(TIMEOUT_S):
            while not self.front._table._states[ConnectionState.NEW]:
                await asyncio.sleep(0)
        (connection,) = self.front._table._states[ConnectionState.NEW]
        made = connection._transport.get_extra_info("socket")
        self.assertTrue(made.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))  # before its first answer
