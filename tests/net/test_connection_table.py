"""Tests of the eviction of client connections."""

from __future__ import annotations

import asyncio
import errno
import unittest
from unittest import mock

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.net.connection_table import (
    EVICTION_AGE_S,
    EVICTION_CANDIDATES_MAX,
    ROOM_WAIT_MAX_S,
    SILENT_NEW_AGE_S,
    ConnectionState,
    ConnectionTable,
)
from lemonridge.net.http_connection import Connection
from lemonridge.net.http_limits import (
    CONNECTION_MEMORY_FRACTION,
    READ_MAX_BYTES,
    READ_MIN_BYTES,
    READS_PER_CONNECTION,
    read_bytes,
)
from lemonridge.operate.lifecycle import Lifecycle

SOCKETS = 64


class EvictionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.counters = Counters()
        self.table = ConnectionTable(Clock(asyncio.get_running_loop()), self.counters, Lifecycle(2_000_000))
        self.table.configure(SOCKETS, 1 << 20)
        poll = mock.patch("lemonridge.net.http_connection.input_is_empty", self.input_is_empty)
        poll.start()
        self.addCleanup(poll.stop)
        self.with_input: set[object] = set()

    def input_is_empty(self, transport: object) -> bool:
        return transport not in self.with_input

    def connect(self, state: ConnectionState = ConnectionState.NEW, age_s: float = 0.0) -> Connection:
        """Returns an admitted connection that has been in a state for some time."""
        connection = Connection(self.table, lambda _: None, lambda _: None)
        transport = mock.Mock(spec=asyncio.Transport)
        transport.get_extra_info.return_value = None
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        transport.abort.side_effect = lambda: setattr(transport.is_closing, "return_value", True)
        with mock.patch("lemonridge.net.client_output.limit_unsent_bytes"):
            connection.connection_made(transport)
        if connection.state is not None and connection.state is not ConnectionState.CLOSING:
            self.table.set_state(connection, state)
            self.table._states[state][connection] -= age_s
        return connection

    # Guards against an eviction that failed half way: its connection was chosen again and nobody was evicted.
    async def test_client_that_has_left_is_evicted_once_and_fails_nobody(self) -> None:
        gone = self.connect(ConnectionState.RECEIVING, age_s=60.0)
        gone._transport.write_eof.side_effect = OSError(errno.ENOTCONN, "not connected")  # type: ignore[attr-defined]
        for _ in range(SOCKETS // 4 + 2):
            self.connect(ConnectionState.SERVING)
        gone._transport.abort.assert_called_once()  # type: ignore[attr-defined]
        self.assertNotEqual(gone.state, ConnectionState.RECEIVING)

    async def test_rejected_connection_is_evicted_whatever_input_it_has(self) -> None:
        rejected = self.connect()
        rejected.reject(431, "the head is too long")
        self.with_input.add(rejected._transport)
        self.table._states[ConnectionState.CLOSING][rejected] -= 1.0
        for _ in range(SOCKETS // 4 + 1):
            self.connect(ConnectionState.SERVING)
        self.assertIsNone(rejected.state)

    async def test_connections_that_cannot_be_evicted_do_not_protect_others(self) -> None:
        age_s = EVICTION_AGE_S[ConnectionState.IDLE]
        for _ in range(EVICTION_CANDIDATES_MAX):
            self.with_input.add(self.connect(ConnectionState.IDLE, age_s=3 * age_s)._transport)
        idle = self.connect(ConnectionState.IDLE, age_s=2 * age_s)
        for _ in range(SOCKETS // 4 + 1):
            self.connect(ConnectionState.SERVING)
        self.assertIsNone(idle.state)
        self.assertEqual(self.counters["clients.evicted.idle"], 1)

    # Guards against new connections of ordinary clients that were reset beside slow readers, with room left.
    async def test_new_connection_is_not_reset_for_another_one_while_there_is_room(self) -> None:
        for _ in range(SOCKETS // 4):
            self.connect(ConnectionState.SERVING)
        # The clock stands still: on a busy machine the other connections take as long as the eviction age.
        now_s = asyncio.get_running_loop().time()
        with mock.patch.object(self.table, "_loop") as loop:
            loop.time.return_value = now_s
            new = self.connect(age_s=EVICTION_AGE_S[ConnectionState.NEW] / 2)
            while len(self.table) < SOCKETS // 2:
                self.connect(ConnectionState.SERVING)
        self.assertIs(new.state, ConnectionState.NEW)
        self.assertEqual(self.counters["clients.evicted"], 0)

    async def test_silent_new_connection_makes_room_before_another_one_is_turned_away(self) -> None:
        for _ in range(SOCKETS // 2 - 1):
            self.connect(ConnectionState.SERVING)
        new = self.connect(age_s=2 * SILENT_NEW_AGE_S)
        self.connect(ConnectionState.SERVING)
        self.assertIsNone(new.state)
        self.assertEqual(self.counters["clients.evicted.new"], 1)
        self.assertEqual(self.counters["clients.turned_away"], 0)

    async def test_request_of_a_connection_past_the_limit_gets_a_rejection(self) -> None:
        for _ in range(SOCKETS // 2):
            self.connect(ConnectionState.SERVING)
        late = self.connect()
        late.data_received(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        (response,) = late._transport.write.call_args.args  # type: ignore[attr-defined]
        self.assertTrue(response.startswith(b"HTTP/1.1 503 "))
        self.assertIs(late.state, ConnectionState.CLOSING)
        self.assertEqual(self.counters["clients.turned_away"], 1)

    async def test_new_connections_wait_at_the_limit_and_not_for_ever(self) -> None:
        while self.table.has_room():
            self.connect(ConnectionState.SERVING)
        self.assertGreaterEqual(len(self.table), SOCKETS // 2)
        with mock.patch.object(self.table, "_loop") as loop:
            loop.time.return_value = asyncio.get_running_loop().time() + ROOM_WAIT_MAX_S + 1
            self.assertTrue(self.table.has_room())


class ReadBytesTest(unittest.TestCase):
    # Guards against a broker over its memory: buffers were the same whatever memory_mb and sockets were.
    def test_buffers_of_all_connections_fit_a_fraction_of_the_memory(self) -> None:
        for memory_mb, connections in ((192, 576), (96, 216), (64, 576), (48, 36)):
            with self.subTest(memory_mb=memory_mb, connections=connections):
                held = READS_PER_CONNECTION * connections * read_bytes(memory_mb << 20, connections)
                self.assertLessEqual(held, (memory_mb << 20) * CONNECTION_MEMORY_FRACTION)

    def test_reads_are_bounded_either_way(self) -> None:
        self.assertEqual(read_bytes(1 << 40, 16), READ_MAX_BYTES)
        self.assertEqual(read_bytes(1 << 20, 1 << 16), READ_MIN_BYTES)
