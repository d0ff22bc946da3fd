"""Tests of chunked responses whose parsing takes much time: the share of the loop of a node's connection."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import Mock, patch

from aiohttp.client_proto import ResponseHandler

from lemonridge.core.counters import Counters
from lemonridge.net.http_response import READ_TURN_BYTES, ResponseReader
from lemonridge.net.parsing_queue import ParsingQueue

READ_BYTES = 16 * 1024
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNKS = b"1\r\nx\r\n" * (READ_BYTES // 6)
READS_MAX = 500
WAIT_S = 5.0


class SmallChunks(unittest.IsolatedAsyncioTestCase):
    """Each read of the connection has some 2,700 chunks of one byte."""

    async def asyncSetUp(self) -> None:
        self.counters = Counters()
        queue = ParsingQueue(self.counters, "connections.deferred")
        self.reader = ResponseReader(asyncio.get_running_loop(), queue, READ_BYTES)
        self.transport = Mock(spec=asyncio.Transport)
        self.transport.get_extra_info.return_value = None
        self.reader.connection_made(self.transport)
        self.reader.set_response_params(read_bufsize=1 << 20)

    def read_until_paused(self) -> int:
        """Delivers reads until the connection is paused; returns the number of body bytes."""
        self.reader.data_received(CHUNKED_HEAD)
        for count in range(1, READS_MAX):
            self.reader.data_received(SMALL_CHUNKS)
            if self.transport.pause_reading.called:
                return count * (len(SMALL_CHUNKS) // 6)
        raise AssertionError("the connection was never paused")

    async def test_connection_over_its_share_waits_for_its_turn_and_reads_less(self) -> None:
        """Guards against others waiting for the chunks of one node (flood O3)."""
        has_turn = asyncio.Event()
        self.transport.resume_reading.side_effect = has_turn.set
        self.read_until_paused()
        self.assertTrue(self.reader.waits_for_parsing)
        self.assertEqual(self.transport.max_size, READ_TURN_BYTES)
        self.assertEqual(self.counters["connections.deferred"], 1)
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + WAIT_S):
            await has_turn.wait()
        self.assertFalse(self.reader.waits_for_parsing)

    async def test_body_of_a_paused_connection_is_complete(self) -> None:
        body_bytes = self.read_until_paused()
        self.reader.data_received(b"0\r\n\r\n")
        _, payload = await self.reader.read()
        self.assertEqual(await payload.read(), b"x" * body_bytes)

    async def test_connection_that_has_ended_leaves_the_queue(self) -> None:
        self.read_until_paused()
        self.reader.connection_lost(None)
        self.assertFalse(self.reader.waits_for_parsing)

    async def test_body_of_known_length_is_not_charged(self) -> None:
        self.reader.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (1 << 20))
        for _ in range(63):
            self.reader.data_received(SMALL_CHUNKS)
        self.transport.pause_reading.assert_not_called()

    async def test_time_without_a_processor_is_not_charged(self) -> None:
        """Guards against a node that pays for a busy machine."""
        with patch("lemonridge.net.http_response.time.thread_time", return_value=1.0):
            self.reader.data_received(CHUNKED_HEAD)
            for _ in range(20):
                self.reader.data_received(SMALL_CHUNKS)
        self.transport.pause_reading.assert_not_called()

    async def test_parser_is_resumed_only_if_it_was_paused(self) -> None:
        """aiohttp's reader asks to resume for each chunk that is taken from it."""
        self.reader.data_received(CHUNKED_HEAD + b"1\r\nx\r\n")
        with patch.object(ResponseHandler, "data_received") as received:
            self.reader.resume_reading()
            received.assert_not_called()
            self.reader.pause_reading()
            self.reader.resume_reading()
            received.assert_called_once_with(b"")
