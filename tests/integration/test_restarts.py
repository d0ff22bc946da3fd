"""A broker that is killed and started again."""

from __future__ import annotations

import asyncio
import signal

import test_repeats
from fault_cases import sleep_until
from harness import (
    Message,
    PlatformCase,
    Server,
    serve_ok,
)


class Restarts(PlatformCase):
    """WIRE, rule 2, across a restart: a broker stores no requests, so it sends none of them again."""

    setting_overrides = test_repeats.Retries.setting_overrides

    async def test_requests_of_a_killed_broker_are_not_sent_again(self) -> None:
        loop, request_ids = asyncio.get_running_loop(), list[str]()

        async def record(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            request_ids.append(message.headers["x-request-id"])

        self.node.script = record
        clients = [await self.connect() for _ in range(2)]
        for client, cls in zip(clients, ("once-only", "new-write")):
            client.writer.write(client.encode_request(cls, shard=-1, Idempotency_Key="k", method="PUT"))
        await self.node.wait_until(lambda: len(request_ids) == 2)
        await self.program.stop(signal.SIGKILL)
        self.node.script = serve_ok
        await self.launch()
        self.assertEqual((await (await self.connect()).request()).status, 200)
        await sleep_until(loop.time() + 0.5)
        received_ids = [message.headers.get("x-request-id") for message in self.node.requests]
        self.assertEqual([received_ids.count(request_id) for request_id in request_ids], [1, 1])
