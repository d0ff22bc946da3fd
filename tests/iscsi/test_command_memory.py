"""Tests that a command's data leaves memory with its attempt at a node, however the attempt ends."""

from __future__ import annotations

import asyncio
import gc
import sys
import unittest
from types import SimpleNamespace
from unittest import mock

from lemonridge.core.counters import Counters
from lemonridge.core.model import Attempt, Request
from lemonridge.iscsi import scsi
from lemonridge.iscsi.endpoint_session import EndpointSession
from lemonridge.iscsi.initiator import IscsiEndpoints

DATA_BYTES = 5_000_000  # more than the system's buffers take
ATTEMPT_MAX_S = 0.2


class CommandMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Makes attempts without the collector of cycles, so that a cycle keeps its objects in memory."""

    async def asyncSetUp(self) -> None:
        self.node_closes = False
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(self.listener.close)
        config = SimpleNamespace(keepalive_us=1_000_000, connect_us=1_000_000)
        self.endpoints = IscsiEndpoints(config, self, Counters())  # type: ignore[arg-type]
        open_patch = mock.patch.object(IscsiEndpoints, "_open", lambda _, __: self.open_session())
        open_patch.start()
        self.addCleanup(open_patch.stop)
        gc.disable()
        self.addCleanup(gc.enable)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Acts as a node that ends the connection within a command, or that never answers."""
        await reader.read(1)
        if self.node_closes:
            writer.close()

    async def open_session(self) -> EndpointSession:
        port = self.listener.sockets[0].getsockname()[1]
        session = EndpointSession(*await asyncio.open_connection("127.0.0.1", port), Counters())
        session._receiver = asyncio.create_task(session._receive_pdus())
        return session

    def address(self, _: str) -> str:
        return "127.0.0.1:1/target"

    async def attempt(self, data: bytes) -> None:
        command = scsi.Command(0, bytes(16), False, True, len(data), data)
        request = Request(0, 1, 2_000_000, 2, 0, 0, 2.0, 1, command)
        try:
            async with asyncio.timeout(ATTEMPT_MAX_S):
                await self.endpoints.attempt(Attempt(request, 0, "n1"))
        except TimeoutError:
            return

    async def assert_data_is_freed_after_an_attempt(self) -> None:
        data = bytes(DATA_BYTES)
        references_before = sys.getrefcount(data)
        await self.attempt(data)
        async with asyncio.timeout(1.0):  # the session ends some iterations later
            while sys.getrefcount(data) > references_before:
                await asyncio.sleep(0)

    # Guards against data that stays in memory after a lost session, in a cycle of an error and its traceback.
    async def test_data_is_freed_if_the_session_is_lost(self) -> None:
        self.node_closes = True
        await self.assert_data_is_freed_after_an_attempt()

    async def test_data_is_freed_if_the_node_never_answers(self) -> None:
        await self.assert_data_is_freed_after_an_attempt()
