"""A node that sends its answer twice, before a broker that is stopped in between."""

from __future__ import annotations

import asyncio
import signal

from fault_cases import sleep_until
from harness import Client, Message, PlatformCase, Server, reply

STOPS_S = (0.005, 0.02, 0.05, 0.15)  # STANDING: a broker may be held up for up to 0.15 s
CLASSES = ("read", "new-write")


def answer_own_id(message: Message, writer: asyncio.StreamWriter) -> None:
    reply(writer, message.headers["x-request-id"].encode())


class StoppedBroker(PlatformCase):
    """The node is another process than the broker: its second copy comes whether the broker runs or not."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.stop_s = 0.0

    async def stop_while(self, writer: asyncio.StreamWriter, message: Message) -> None:
        """The second copy arrives at a broker that is stopped for `stop_s`."""
        self.program.process.send_signal(signal.SIGSTOP)
        answer_own_id(message, writer)
        await sleep_until(asyncio.get_running_loop().time() + self.stop_s)
        self.program.process.send_signal(signal.SIGCONT)

    async def ask_for_own_id(self, client: Client, cls: str) -> None:
        answer = await client.request(cls, body=b"x" if cls == "new-write" else b"")
        self.assertEqual(
            (answer.status, answer.body.decode()), (200, self.node.requests[-1].headers["x-request-id"])
        )
        self.assertEqual(answer.body.decode(), f"{id(client) % 2**32:08x}{client.request_count:08x}")

    async def serve_twice(self, stopped_before_the_first: bool) -> None:
        async def twice(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if stopped_before_the_first:
                self.program.process.send_signal(signal.SIGSTOP)
            answer_own_id(message, writer)
            await self.stop_while(writer, message)

        async def once(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            answer_own_id(message, writer)

        for self.stop_s in STOPS_S:
            for cls in CLASSES:
                for script in (once, twice, once):
                    self.node.script = script
                    await self.ask_for_own_id(self.client, cls)

    async def test_a_second_copy_to_a_broker_stopped_before_the_first_answers_nothing(self) -> None:
        """Guards against the answer of one request that is given to the next."""
        await self.serve_twice(stopped_before_the_first=True)

    async def test_a_second_copy_to_a_broker_stopped_after_the_first_answers_nothing(self) -> None:
        """Guards against the answer of one request that is given to the next."""
        await self.serve_twice(stopped_before_the_first=False)

    async def test_a_second_copy_to_a_broker_stopped_with_the_next_request_answers_nothing(self) -> None:
        """Guards against the answer of one request that is given to the next, which waits already."""
        last: list[tuple[Message, asyncio.StreamWriter]] = []

        async def once(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            answer_own_id(message, writer)
            last.append((message, writer))

        self.node.script = once
        for self.stop_s in STOPS_S:
            for cls in CLASSES:
                with self.subTest(stop_s=self.stop_s, cls=cls):
                    await self.ask_for_own_id(self.client, cls)
                    asking = asyncio.create_task(self.ask_for_own_id(self.client, cls))
                    await asyncio.sleep(0)  # it has written its request
                    seen, (message, writer) = len(self.node.requests), last[-1]
                    self.program.process.send_signal(signal.SIGSTOP)
                    # What the broker wrote before is read.
                    await sleep_until(asyncio.get_running_loop().time() + 0.001)
                    if len(self.node.requests) == seen:
                        await self.stop_while(writer, message)
                    self.program.process.send_signal(signal.SIGCONT)
                    await asking
