"""Tests of client connections that are closed in the event loop iteration in which data arrives on them."""

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

SHORT_DEADLINE_US = 100_000  # longest deadline so short that no request is accepted after the stop signal


class ConnectionClosingTest(unittest.IsolatedAsyncioTestCase):
    """Runs the front with a broker implemented by the test, which can act between two loop iterations."""

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
        self.clock, self.lifecycle = Clock(asyncio.get_running_loop()), Lifecycle(SHORT_DEADLINE_US)
        self.served_ids: list[str] = []
        self.before_answer: Callable[[], object] = lambda: None
        self.front = HttpFront(platform, self, self, self.clock, Counters(), self.lifecycle)  # type: ignore[arg-type]
        self.lifecycle.configure(SHORT_DEADLINE_US)
        self.front.bind(platform.listen)
        await self.front.listen()
        self.addAsyncCleanup(self.stop_accepting)
        self.new_request = Client(self.front.listener.socket.getsockname()[1]).encode_request

    async def stop_accepting(self) -> None:
        self.front.listener.stop_accepting()

    def submit(self, request: Request, on_answer: Callable[[Answer], None]) -> object:
        """Implements `Broker.submit`."""
        self.served_ids.append(request.request_id)

        def answer() -> None:
            self.before_answer()
            on_answer(Answer(AnswerKind.SERVED, self.response_body))

        asyncio.get_running_loop().call_soon(answer)
        return None

    response_body = b"data"

    def connect(self, buffer_bytes: int | None = None) -> socket.socket:
        """Returns a client connection that the front accepts in the next loop iteration at the earliest.

        Args:
            buffer_bytes: The size of the socket buffers, which hold a response before the client reads it.
        """
        assert self.front.listener._listening is not None
        client = socket.socket()
        client.settimeout(TIMEOUT_S)
        if buffer_bytes is not None:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            self.front.listener._listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        client.connect(self.front.listener.socket.getsockname())
        client.setblocking(False)
        self.addCleanup(client.close)
        return client

    def age_connections(self, seconds: float) -> None:
        """Makes each connection appear to have entered its state that much earlier."""
        for states in self.front._table._states:
            for connection in states:
                states[connection] -= seconds

    async def read_until(self, client: socket.socket, suffix: bytes = b"data") -> bytes:
        """Returns the received data up to `suffix`, or up to the end of the connection."""
        data = b""
        async with asyncio.timeout(TIMEOUT_S):
            while not data.endswith(suffix or b"never"):
                received = await asyncio.get_running_loop().sock_recv(client, 1 << 16)
                if not received:
                    break
                data += received
        return data

    async def connect_idle_client(self) -> socket.socket:
        """Returns a connection that has received a response."""
        client = self.connect()
        client.send(self.new_request())
        await self.read_until(client)
        await asyncio.sleep(0)
        return client

    async def test_request_arriving_while_its_idle_connection_is_closed_is_served(self) -> None:
        client = await self.connect_idle_client()
        client.send(self.new_request())
        self.assertTrue(self.front._table.close_inactive(allow_incomplete=False))  # it has unread input
        self.assertIn(b"200 OK", await self.read_until(client))
        while self.front._table.close_inactive(allow_incomplete=False):
            await asyncio.sleep(0)
        self.assertEqual(await self.read_until(client), b"")

    async def test_request_arriving_while_its_connection_expires_is_served(self) -> None:
        client = await self.connect_idle_client()
        self.age_connections(60.0)
        client.send(self.new_request())
        self.front._table._sweep()
        self.assertIn(b"200 OK", await self.read_until(client))

    async def test_connection_in_backlog_when_listener_closes_is_served(self) -> None:
        stopping = asyncio.create_task(self.front.stop())
        await asyncio.sleep(0)  # the stop has begun and continues in the next loop iteration
        client = self.connect()
        client.send(self.new_request())
        answer = await self.read_until(client, b"")
        self.assertIn(b"200 OK", answer)
        self.assertIn(b"connection: close", answer.lower())
        await stopping
        self.assertFalse(self.front.listener.is_listening)

    async def test_partially_received_request_is_completed_during_stop(self) -> None:
        client, request = await self.connect_idle_client(), self.new_request()
        client.send(request[:40])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        stopping = asyncio.create_task(self.front.stop())
        while self.front.listener.is_listening:
            await asyncio.sleep(0)
        client.send(request[40:])
        answer = await self.read_until(client, b"")
        self.assertTrue(answer.endswith(b"data") and b"connection: close" in answer.lower())
        await stopping

    async def test_incomplete_request_does_not_delay_stop(self) -> None:
        client = await self.connect_idle_client()
        client.send(self.new_request()[:40])
        async with asyncio.timeout(TIMEOUT_S):
            await self.front.stop()
            while self.front.busy:
                await asyncio.sleep(0)
        self.assertEqual(await self.read_until(client), b"")

    async def test_close_with_unread_bytes_does_not_reset_last_response(self) -> None:
        client = self.connect()
        self.before_answer = lambda: client.send(b"\r\nmore")  # the server does not read it before the close
        client.send(self.new_request(Connection="close"))
        self.assertTrue((await self.read_until(client, b"")).endswith(b"data"))  # ended without a reset

    async def test_request_after_last_response_is_not_forwarded(self) -> None:
        client = self.connect()
        client.send(self.new_request(Connection="close"))
        await self.read_until(client)
        self.assertEqual(await self.read_until(client, b""), b"")
        client.send(self.new_request())
        while self.front.busy:
            await asyncio.sleep(0)
        self.assertEqual(len(self.served_ids), 1)

    async def connect_slow_client(self, **headers: str) -> socket.socket:
        """Returns a client that has not read its response, part of which the server cannot send yet."""
        self.response_body = b"x" * 60_000 + b"data"
        client = self.connect(buffer_bytes=4096)
        client.send(self.new_request(**headers))
        async with asyncio.timeout(TIMEOUT_S):
            while not any(entry.has_unsent_data for states in self.front._table._states for entry in states):
                await asyncio.sleep(0)
            while self.front._table._states[ConnectionState.SERVING]:
                await asyncio.sleep(0)
        return client

    async def test_slow_client_receives_complete_last_response(self) -> None:
        client = await self.connect_slow_client(Connection="close")
        self.age_connections(1.0)
        self.front._table._sweep()
        self.assertTrue((await self.read_until(client, b"")).endswith(b"data"))

    # Guards against a response cut short by the end of the process: its connection already counted as idle.
    async def test_stop_waits_for_a_slow_client_of_an_idle_connection(self) -> None:
        client = await self.connect_slow_client()
        self.assertTrue(self.front._table._states[ConnectionState.IDLE])
        self.assertTrue(self.front.busy)
        async with asyncio.timeout(TIMEOUT_S):
            await self.front.stop()
        self.assertTrue(self.front.busy)
        self.assertTrue((await self.read_until(client, b"")).endswith(b"data"))
        while self.front.busy:
            await asyncio.sleep(0)

    async def test_client_that_never_reads_last_response_is_disconnected(self) -> None:
        client = await self.connect_slow_client(Connection="close")
        for entry in self.front._table._states[ConnectionState.CLOSING]:
            entry.has_stopped_reading(asyncio.get_running_loop().time())  # notes what the client has taken
            entry._output._progress.read_by_s -= 60.0
        self.age_connections(60.0)
        self.front._table._sweep()
        self.assertFalse(self.front.busy)
        with self.assertRaises(ConnectionResetError):
            await asyncio.get_running_loop().sock_sendall(client, b"x")
            await self.read_until(client, b"")

    async def test_eviction_for_new_client_does_not_truncate_response(self) -> None:
        for headers in ({}, {"Connection": "close"}):
            client = await self.connect_slow_client(**headers)
            self.age_connections(60.0)
            self.front._table.configure(4, 1 << 20)  # a second connection exceeds the eviction limit
            new_client = self.connect()
            async with asyncio.timeout(TIMEOUT_S):
                while len(self.front._table) < 2:
                    await asyncio.sleep(0)
            self.assertTrue((await self.read_until(client)).endswith(b"data"))
            for connection in (client, new_client):
                connection.close()
            async with asyncio.timeout(TIMEOUT_S):
                while len(self.front._table):
                    await asyncio.sleep(0)

    async def test_connection_accepted_in_iteration_of_handover_is_served(self) -> None:
        client = self.connect()
        client.send(self.new_request())
        self.front.listener.accept_batch()
        self.front.listener.stop_accepting()  # a handover does this in the same step as the change of state
        self.lifecycle.hand_over(self.clock.now_us())
        self.front.on_lifecycle_changed()
        answer = await self.read_until(client, b"")
        self.assertIn(b"200 OK", answer)
        self.assertIn(b"connection: close", answer.lower())

    async def test_tcp_nodelay_is_set_before_and_after_first_response(self) -> None:
        await self.connect_idle_client()
        (connection,) = self.front._table._states[ConnectionState.IDLE]
        server_socket = connection._transport.get_extra_info("socket")
        self.assertTrue(server_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        self.connect()
        async with asyncio.timeout(TIMEOUT_S):
            while not self.front._table._states[ConnectionState.NEW]:
                await asyncio.sleep(0)
        (connection,) = self.front._table._states[ConnectionState.NEW]
        server_socket = connection._transport.get_extra_info("socket")
        # No response has been written on this connection yet.
        self.assertTrue(server_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
