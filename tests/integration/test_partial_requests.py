"""A partial request whose connection is evicted."""

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


class Unread(PlatformCase):
    """A request that was read in part makes room by an answer: its last byte may be on its way."""

    max_sockets = 64

    async def test_a_partial_request_that_makes_room_is_answered(self) -> None:
        async def silent(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            pass

        self.node.script = silent
        slow = await Client(self.port).open()
        slow.writer.write(slow.encode_request()[:60])
        await sleep_until(asyncio.get_running_loop().time() + 0.1)
        crowd: list[Any] = []
        for _ in range(20):  # all of them have a request open: none can be spared
            crowd.append(await Client(self.port).open())
            crowd[-1].writer.write(crowd[-1].encode_request())
        async with asyncio.timeout(TIMEOUT_S):
            answer = await read_message(slow.reader)
        self.assertEqual(answer.status, 503)
        for client in [slow, *crowd]:
            client.writer.close()
