"""Eviction of a connection with a partial request."""

from __future__ import annotations

import asyncio
from typing import Any

from fault_cases import sleep_until
from harness import (
    TIMEOUT_S,
    Client,
    Message,
    PlatformCase,
    Server,
    read_message,
)


class PartialRequests(PlatformCase):
    """An evicted connection with a partial request gets a response, as the rest may be on its way."""

    max_sockets = 64

    async def test_partial_request_of_an_evicted_connection_gets_a_response(self) -> None:
        async def drop(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            pass

        self.node.script = drop
        partial_client = await Client(self.port).open()
        partial_client.writer.write(partial_client.encode_request()[:60])
        await sleep_until(asyncio.get_running_loop().time() + 0.1)
        busy_clients: list[Any] = []
        for _ in range(20):  # connections with an open request are not evicted
            busy_clients.append(await Client(self.port).open())
            busy_clients[-1].writer.write(busy_clients[-1].encode_request())
        async with asyncio.timeout(TIMEOUT_S):
            response = await read_message(partial_client.reader)
        self.assertEqual(response.status, 503)
        for client in [partial_client, *busy_clients]:
            client.writer.close()
