"""Retries by class, and the broker's own responses."""

from __future__ import annotations

import asyncio
import signal

from fault_cases import SOCKET_SLACK_S, SUSPENDED_S
from harness import (
    PLATFORM_SETTINGS,
    TIMEOUT_S,
    Client,
    Message,
    PlatformCase,
    Server,
    read_message,
    reply,
)


class Retries(PlatformCase):
    """WIRE, rule 2: a request that may have run is retried only as its class allows, whatever fails."""

    setting_overrides = {
        "classes": [
            PLATFORM_SETTINGS["classes"][0],
            {**PLATFORM_SETTINGS["classes"][1], "group": "all", "memory-span-us": 300_000},
            {**PLATFORM_SETTINGS["classes"][1], "name": "once-only", "semantics": "once"},
        ],
        "family-info": {"class-writes": [False, True, True]},
    }

    async def request_at_resetting_node(
        self, cls: str, stopped_s: float = 0.0
    ) -> tuple[list[float], Message]:
        """Sends a request to a node that resets the connection of each complete attempt.

        Args:
            cls: The class of the request.
            stopped_s: How long the program is stopped from the first reset on.

        Returns:
            The times of the attempts, and the response.
        """
        loop, attempt_times = asyncio.get_running_loop(), list[float]()

        async def reset_connection(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            attempt_times.append(loop.time())
            if stopped_s and len(attempt_times) == 1:
                self.program.process.send_signal(signal.SIGSTOP)
                writer.transport.abort()
                await asyncio.sleep(stopped_s)
                self.program.process.send_signal(signal.SIGCONT)
                return
            writer.transport.abort()

        self.node.script = reset_connection
        client = await self.connect()
        method = "GET" if cls == "read" else "PUT"
        answer = await client.request(cls, shard=-1, Idempotency_Key="k", method=method)
        return attempt_times, answer

    async def test_idempotency_key_is_retried_only_within_its_window(self) -> None:
        attempt_times, answer = await self.request_at_resetting_node("new-write")
        self.assertLessEqual(attempt_times[-1] - attempt_times[0], 0.3 + SOCKET_SLACK_S)
        self.assertIn(answer.status, (502, 503))
        attempt_times, _ = await self.request_at_resetting_node("new-write", stopped_s=0.35)
        self.assertEqual(len(attempt_times), 1)  # the window had ended when the program continued

    async def test_class_without_idempotency_is_neither_retried_nor_rejected(self) -> None:
        for stopped_s in (0.0, SUSPENDED_S):
            attempt_times, answer = await self.request_at_resetting_node("once-only", stopped_s)
            self.assertEqual((len(attempt_times), answer.status), (1, 502))

    async def test_read_has_at_most_four_attempts(self) -> None:
        attempt_times, answer = await self.request_at_resetting_node("read")
        self.assertLessEqual(len(attempt_times), 4)
        self.assertIn(answer.status, (502, 503))


class BrokerResponses(PlatformCase):
    """Each status of the broker itself, on a connection that the client can still read."""

    async def test_each_error_status_is_a_complete_response_and_reaches_no_node(self) -> None:
        path = "/read/00000003b4d60021/7f3a9c21e0b4d655"
        for changes, status in (
            ({"path": "/read/3/4"}, 404),
            ({"method": "PUT"}, 405),
            ({"X_Class": None}, 400),
            ({"cls": "new-write", "Content_Length": str(40 << 20)}, 413),
            ({"path": path + "?" + "x" * 70_000}, 431),
        ):
            with self.subTest(status=status):
                client = await Client(self.port).open()
                answer: Message = await client.request(**changes)  # type: ignore[arg-type]
                self.assertEqual(answer.status, status)
                async with asyncio.timeout(TIMEOUT_S):
                    self.assertEqual(await client.reader.read(), b"")
                client.writer.close()
        self.assertEqual(self.node.requests, [])

    async def test_id_of_an_open_request_gets_409_and_the_open_request_is_served(self) -> None:
        async def reply_slowly(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.1)
            reply(writer)

        self.node.script = reply_slowly
        other_client = await self.connect()
        text = self.client.encode_request()
        self.client.writer.write(text)
        await self.node.wait_until(lambda: bool(self.node.requests))
        self.assertEqual((await other_client.exchange(text)).status, 409)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual((await read_message(self.client.reader)).status, 200)
        self.assertEqual(len(self.node.requests), 1)
