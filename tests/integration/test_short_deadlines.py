"""Requests with very little remaining time."""

from __future__ import annotations

import asyncio

from fault_cases import SOCKET_SLACK_S, sleep_until
from harness import (
    PLATFORM_SETTINGS,
    TIMEOUT_S,
    Message,
    PlatformCase,
    Server,
    read_message,
    reply,
    serve_ok,
)

RESPONSE_SLACK_S = 0.5  # STANDING: a response that is late by at most this is useless, but no violation


class ShortDeadlines(PlatformCase):
    """STANDING: requests with very little remaining time.

    PROTOCOL: bodies of 64 KiB in both directions, in any framing and split in any way.
    """

    async def test_request_with_any_deadline_gets_a_response_in_time(self) -> None:
        loop = asyncio.get_running_loop()
        for text in ("1", "2", "5", "10", "20", "40", "999999999"):
            with self.subTest(deadline_ms=text):
                started_at = loop.time()
                answer = await self.client.request(X_Deadline_Ms=text)
                self.assertIn(answer.status, (200, 503))
                self.assertLess(loop.time() - started_at, min(int(text), 1000) / 1000 + RESPONSE_SLACK_S)

    async def test_deadline_of_a_pipelined_request_counts_from_its_last_byte(self) -> None:
        """Of two pipelined requests the first takes 0.6 s and the second has a deadline of 0.3 s."""

        async def reply_slowly(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.6)
            reply(writer)

        self.node.script = reply_slowly
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self.client.writer.write(
            self.client.encode_request() + self.client.encode_request(X_Deadline_Ms="300")
        )
        async with asyncio.timeout(TIMEOUT_S):
            statuses = [(await read_message(self.client.reader)).status for _ in range(2)]
        self.assertEqual(statuses, [200, 503])
        self.assertLess(loop.time() - sent_at, 0.3 + RESPONSE_SLACK_S + SOCKET_SLACK_S)
        self.assertEqual(len(self.node.requests), 1)

    async def test_request_dropped_by_its_node_gets_a_response_in_time(self) -> None:
        async def drop(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            pass

        self.node.script = drop
        loop = asyncio.get_running_loop()
        for cls in ("read", "new-write"):
            for text in ("30", "60", "200"):
                with self.subTest(cls=cls, deadline_ms=text):
                    started_at = loop.time()
                    client = await self.connect()
                    answer = await client.request(cls, X_Deadline_Ms=text)
                    self.assertIn(answer.status, (502, 503))
                    self.assertLess(loop.time() - started_at, int(text) / 1000 + RESPONSE_SLACK_S)

    async def test_dropped_short_requests_do_not_close_the_node_to_others(self) -> None:
        """On an idle broker the node drops two requests of 30 ms silently, then serves one of 2 s."""

        async def drop_short_requests(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if int(message.headers["x-deadline-ms"]) >= 50:
                await serve_ok(server, message, writer)

        self.node.script = drop_short_requests
        loop = asyncio.get_running_loop()
        self.assertEqual((await self.client.request()).status, 200)
        for _ in range(2):
            await sleep_until(loop.time() + 0.25)
            client = await self.connect()
            self.assertEqual((await client.request(X_Deadline_Ms="30")).status, 503)
        sent_at = loop.time()
        self.assertEqual((await self.client.request()).status, 200)
        self.assertLess(loop.time() - sent_at, PLATFORM_SETTINGS["classes"][0]["aim-us"] / 1e6)

    async def test_64_kib_in_both_directions_pass_with_a_head_in_single_bytes(self) -> None:
        body = bytes(range(256)) * 256

        async def echo(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            reply(writer, message.body)

        self.node.script = echo
        text = self.client.encode_request("new-write", body=body)
        head = text.index(b"\r\n\r\n") + 4
        for start in range(head):
            self.client.writer.write(text[start : start + 1])
            await self.client.writer.drain()
        for start in range(head, len(text), 97):
            self.client.writer.write(text[start : start + 97])
            await self.client.writer.drain()
        async with asyncio.timeout(TIMEOUT_S):
            answer = await read_message(self.client.reader)
        self.assertEqual((answer.status, answer.body), (200, body))


class ShortDeadlinesInALargeFleet(PlatformCase):
    """PROTOCOL: a node rejects expired requests with 503 or 504 and X-Not-Run."""

    setting_overrides = {"fleet-size": 40}

    async def test_rejected_short_requests_do_not_close_the_node_to_others(self) -> None:
        async def reject_short_requests(
            server: Server, message: Message, writer: asyncio.StreamWriter
        ) -> None:
            if int(message.headers["x-deadline-ms"]) >= 50:
                await serve_ok(server, message, writer)
            else:
                reply(writer, status=504, X_Not_Run="1")

        self.node.script = reject_short_requests

        loop = asyncio.get_running_loop()
        self.assertEqual((await self.client.request()).status, 200)
        for _ in range(2):
            client = await self.connect()
            self.assertEqual((await client.request(X_Deadline_Ms="30")).status, 503)
        sent_at = loop.time()
        self.assertEqual((await self.client.request()).status, 200)
        self.assertLess(loop.time() - sent_at, PLATFORM_SETTINGS["classes"][0]["aim-us"] / 1e6)
