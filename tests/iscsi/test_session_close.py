"""The end of a session with a node that does not read."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from lemonridge.core.counters import Counters
from lemonridge.iscsi.endpoint_session import EndpointSession

UNREAD_BYTES = 32 << 20  # more than the system's buffers of both sides take
CLOSE_GRACE_S = 0.2


class SessionCloseTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a wait that the node alone ends: a closed connection kept its output until the node read.
    async def test_ended_session_with_a_node_that_does_not_read_frees_its_connection(self) -> None:
        ended = asyncio.Event()

        async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await ended.wait()
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        self.addCleanup(ended.set)
        port = listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        session = EndpointSession(reader, writer, Counters())
        writer.write(bytes(UNREAD_BYTES))
        with mock.patch("lemonridge.iscsi.endpoint_session.CLOSE_GRACE_S", CLOSE_GRACE_S):
            session.end()
        async with asyncio.timeout(5):
            await writer.wait_closed()
