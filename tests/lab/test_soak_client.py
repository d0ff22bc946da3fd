"""Tests of the soak drill's client: what it records of requests that were sent one behind the other."""

from __future__ import annotations

import asyncio
import unittest
from random import Random
from unittest.mock import Mock

from lemonridge.lab.drills.soak_client import SoakClient
from lemonridge.lab.standins.soak_record import SoakClass, SoakRequest

CLASS = SoakClass("read", "repeatable", "all", 0.0, 0.3, False)
RESPONSE = b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndata"
SEED = 5


def pipelined_requests(count: int) -> list[SoakRequest]:
    """Returns requests that were all sent at the same time."""
    sent_at = asyncio.get_running_loop().time()
    return [SoakRequest(f"{number:016x}", CLASS, 1, False, 2, 0.3, sent_at) for number in range(count)]


class PipelinedRequests(unittest.IsolatedAsyncioTestCase):
    """The responses come from a buffer, so that no server is needed."""

    def setUp(self) -> None:
        self.reader = asyncio.StreamReader()
        self.writer = Mock(spec=asyncio.StreamWriter)

    def client(self, disconnect_probability: float) -> SoakClient:
        return SoakClient(self.reader, self.writer, Random(SEED), disconnect_probability)

    async def test_client_that_disconnects_has_left_the_requests_behind_too(self) -> None:
        """Guards against requests counted as unanswered though their client had left."""
        requests = pipelined_requests(3)
        self.reader.feed_data(RESPONSE)
        self.assertFalse(await self.client(1.0).read_responses(requests))
        first, second, third = requests
        self.assertEqual((first.status, first.disconnected_at), (200, None))
        self.assertIsNotNone(second.disconnected_at)
        self.assertEqual(third.disconnected_at, second.disconnected_at)
        self.writer.transport.abort.assert_called_once()

    async def test_requests_behind_one_that_the_broker_left_have_no_answer(self) -> None:
        requests = pipelined_requests(3)
        self.reader.feed_data(RESPONSE)
        self.reader.feed_eof()
        self.assertFalse(await self.client(0.0).read_responses(requests))
        for request in requests[1:]:
            self.assertEqual((request.status, request.disconnected_at), (0, None))
            self.assertIsNotNone(request.ended_at)

    async def test_connection_whose_requests_are_all_answered_can_be_reused(self) -> None:
        requests = pipelined_requests(3)
        self.reader.feed_data(3 * RESPONSE)
        self.assertTrue(await self.client(0.0).read_responses(requests))
        self.assertEqual([request.status for request in requests], [200, 200, 200])
        self.assertEqual([request.is_pipelined for request in requests], [False, True, True])
