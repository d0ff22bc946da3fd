"""A node that sends its response twice, to a broker that is stopped in between."""

from __future__ import annotations

import asyncio
import signal

from fault_cases import sleep_until
from harness import Client, Message, PlatformCase, Server, reply

STOP_DURATIONS_S = (0.005, 0.02, 0.05, 0.15)  # STANDING: a broker may be delayed by up to 0.15 s
CLASSES = ("read", "new-write")


def reply_with_request_id(message: Message, writer: asyncio.StreamWriter) -> None:
    """Answers with the id of the request as the body."""
    reply(writer, message.headers["x-request-id"].encode())


class StoppedBroker(PlatformCase):
    """The node is another process, so its second response arrives whether the broker runs or not."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.stop_s = 0.0

    async def send_copy_while_stopped(self, writer: asyncio.StreamWriter, message: Message) -> None:
        """Stops the broker for `stop_s` and sends the second copy of a response meanwhile."""
        self.program.process.send_signal(signal.SIGSTOP)
        reply_with_request_id(message, writer)
        await sleep_until(asyncio.get_running_loop().time() + self.stop_s)
        self.program.process.send_signal(signal.SIGCONT)

    async def assert_own_response(self, client: Client, cls: str) -> None:
        """Sends a request and asserts that the response belongs to it."""
        answer = await client.request(cls, body=b"x" if cls == "new-write" else b"")
        self.assertEqual(
            (answer.status, answer.body.decode()), (200, self.node.requests[-1].headers["x-request-id"])
        )
        self.assertEqual(answer.body.decode(), f"{id(client) % 2**32:08x}{client.request_count:08x}")

    async def check_second_copies(self, stopped_before_the_first: bool) -> None:
        """Alternates between nodes that respond once and twice.

        Args:
            stopped_before_the_first: Whether the broker is stopped before the first copy, not after it.
        """

        async def reply_twice(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if stopped_before_the_first:
                self.program.process.send_signal(signal.SIGSTOP)
            reply_with_request_id(message, writer)
            await self.send_copy_while_stopped(writer, message)

        async def reply_once(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            reply_with_request_id(message, writer)

        for self.stop_s in STOP_DURATIONS_S:
            for cls in CLASSES:
                for script in (reply_once, reply_twice, reply_once):
                    self.node.script = script
                    await self.assert_own_response(self.client, cls)

    async def test_second_response_to_a_broker_stopped_before_the_first_is_dropped(self) -> None:
        """Guards against a response that is forwarded as that of the next request."""
        await self.check_second_copies(stopped_before_the_first=True)

    async def test_second_response_to_a_broker_stopped_after_the_first_is_dropped(self) -> None:
        """Guards against a response that is forwarded as that of the next request."""
        await self.check_second_copies(stopped_before_the_first=False)

    async def test_second_response_to_a_broker_stopped_with_the_next_request_is_dropped(self) -> None:
        """Guards against a response that is forwarded as that of the next request, which already waits."""
        last_exchanges: list[tuple[Message, asyncio.StreamWriter]] = []

        async def reply_once(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            reply_with_request_id(message, writer)
            last_exchanges.append((message, writer))

        self.node.script = reply_once
        for self.stop_s in STOP_DURATIONS_S:
            for cls in CLASSES:
                with self.subTest(stop_s=self.stop_s, cls=cls):
                    await self.assert_own_response(self.client, cls)
                    response_task = asyncio.create_task(self.assert_own_response(self.client, cls))
                    await asyncio.sleep(0)  # until the client has written its request
                    requests_before, (message, writer) = len(self.node.requests), last_exchanges[-1]
                    self.program.process.send_signal(signal.SIGSTOP)
                    # Until the node has read everything that the broker wrote before the stop.
                    await sleep_until(asyncio.get_running_loop().time() + 0.001)
                    if len(self.node.requests) == requests_before:
                        await self.send_copy_while_stopped(writer, message)
                    self.program.process.send_signal(signal.SIGCONT)
                    await response_task
