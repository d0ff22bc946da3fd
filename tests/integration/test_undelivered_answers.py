"""Clients that disconnect after their answer is decided and before it is sent."""

from __future__ import annotations

import asyncio
import signal
import socket
import struct

from harness import Message, PlatformCase, Server, reply

ROUNDS = 30
ANSWER_KINDS = ("served", "rejected", "failed", "client_gone")


class DisconnectAtTheAnswer(PlatformCase):
    """The node's response and the client's disconnect both arrive while the broker is stopped."""

    async def reply_and_disconnect(self, reset: bool) -> None:
        """Stops the broker, replies, closes the client's connection and continues the broker."""
        requests_before, answered, client = len(self.node.requests), asyncio.Event(), socket.socket()

        async def reply_while_stopped(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            self.program.process.send_signal(signal.SIGSTOP)
            reply(writer, b"late")
            answered.set()

        self.node.script = reply_while_stopped
        client.connect(("127.0.0.1", self.port))
        client.send(self.client.encode_request())
        await self.node.wait_until(lambda: len(self.node.requests) > requests_before)
        await answered.wait()
        if reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        self.program.process.send_signal(signal.SIGCONT)
        await self.program.wait_for_counter("attempts.ok", requests_before + 1)

    async def test_each_accepted_request_has_one_counted_answer_and_no_traceback_is_logged(self) -> None:
        """Guards against uncounted answers whose client disconnected before they were sent."""
        for number in range(ROUNDS):
            await self.reply_and_disconnect(reset=number % 2 == 0)
        async with asyncio.timeout(10):
            while True:
                counts = await self.program.counters()
                answers = sum(counts.get(f"answers.{kind}", 0) for kind in ANSWER_KINDS)
                if answers == counts["requests.taken"] == ROUNDS:
                    break
        self.assertNotIn("level=error", "".join(self.program.lines))
