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
    """WIRE, rule 2, across a restart: a broker keeps nothing, so nothing that it sent is sent again."""

    setting_overrides = test_repeats.RepeatsInAWindow.setting_overrides

    async def test_what_a_killed_broker_had_sent_is_not_sent_again(self) -> None:
        loop, begun = asyncio.get_running_loop(), list[str]()

        async def hangs(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            begun.append(message.headers["x-request-id"])

        self.node.script = hangs
        clients = [await self.connect() for _ in range(2)]
        for client, cls in zip(clients, ("once-only", "new-write")):
            client.writer.write(client.encode_request(cls, shard=-1, Idempotency_Key="k", method="PUT"))
        await self.node.wait_until(lambda: len(begun) == 2)
        await self.program.stop(signal.SIGKILL)
        self.node.script = serve_ok
        await self.launch()
        self.assertEqual((await (await self.connect()).request()).status, 200)
        await sleep_until(loop.time() + 0.5)
        came = [message.headers.get("x-request-id") for message in self.node.requests]
        self.assertEqual([came.count(name) for name in begun], [1, 1])
