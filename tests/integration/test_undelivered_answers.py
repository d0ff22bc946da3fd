"""Clients that leave between the decision on their answer and the answer."""

from __future__ import annotations

import asyncio
import signal
import socket
import struct

from harness import Message, PlatformCase, Server, reply

ROUNDS = 30
ANSWERS = ("served", "rejected", "failed", "client_gone")


class LeavingAtTheAnswer(PlatformCase):
    """The node's answer and the end of the client's connection reach a broker that is stopped."""

    async def answer_and_leave(self, resets: bool) -> None:
        seen, answered, client = len(self.node.requests), asyncio.Event(), socket.socket()

        async def answer_while_stopped(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            self.program.process.send_signal(signal.SIGSTOP)
            reply(writer, b"late")
            answered.set()

        self.node.script = answer_while_stopped
        client.connect(("127.0.0.1", self.port))
        client.send(self.client.encode_request())
        await self.node.wait_until(lambda: len(self.node.requests) > seen)
        await answered.wait()
        if resets:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        self.program.process.send_signal(signal.SIGCONT)
        await self.program.wait_for_counter("attempts.ok", seen + 1)

    async def test_every_request_taken_has_one_answer_in_the_counters_and_no_traceback(self) -> None:
        """Guards against answers that nobody counts, as their client left while they were on their way."""
        for number in range(ROUNDS):
            await self.answer_and_leave(resets=number % 2 == 0)
        async with asyncio.timeout(10):
            while True:
                counts = await self.program.counters()
                answers = sum(counts.get(f"answers.{kind}", 0) for kind in ANSWERS)
                if answers == counts["requests.taken"] == ROUNDS:
                    break
        self.assertNotIn("level=error", "".join(self.program.lines))
