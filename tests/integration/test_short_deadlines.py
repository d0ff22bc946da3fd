"""Requests with very little time left."""

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

ANSWER_SLACK_S = 0.5  # STANDING: up to so long after its time an answer only earns nothing


class LittleTime(PlatformCase):
    """STANDING: requests with very little time left; PROTOCOL: 64 KiB both ways, any form, in any pieces."""

    async def test_each_gets_its_answer(self) -> None:
        loop = asyncio.get_running_loop()
        for text in ("1", "2", "5", "10", "20", "40", "999999999"):
            with self.subTest(deadline_ms=text):
                began = loop.time()
                answer = await self.client.request(X_Deadline_Ms=text)
                self.assertIn(answer.status, (200, 503))
                self.assertLess(loop.time() - began, min(int(text), 1000) / 1000 + ANSWER_SLACK_S)

    async def test_one_that_waits_behind_another_has_its_time_from_its_last_byte(self) -> None:
        """Two at once on a connection: the first takes 0.6 s, the second would wait for 0.3 s."""

        async def slowly(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.6)
            reply(writer)

        self.node.script = slowly
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self.client.writer.write(
            self.client.encode_request() + self.client.encode_request(X_Deadline_Ms="300")
        )
        async with asyncio.timeout(TIMEOUT_S):
            statuses = [(await read_message(self.client.reader)).status for _ in range(2)]
        self.assertEqual(statuses, [200, 503])
        self.assertLess(loop.time() - sent_at, 0.3 + ANSWER_SLACK_S + SOCKET_SLACK_S)
        self.assertEqual(len(self.node.requests), 1)

    async def test_a_node_that_drops_them_without_a_word_costs_no_answer(self) -> None:
        async def silent(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            pass

        self.node.script = silent
        loop = asyncio.get_running_loop()
        for cls in ("read", "new-write"):
            for text in ("30", "60", "200"):
                with self.subTest(cls=cls, deadline_ms=text):
                    began = loop.time()
                    client = await self.connect()
                    answer = await client.request(cls, X_Deadline_Ms=text)
                    self.assertIn(answer.status, (502, 503))
                    self.assertLess(loop.time() - began, int(text) / 1000 + ANSWER_SLACK_S)

    async def test_those_that_a_node_drops_close_it_to_no_other(self) -> None:
        """A quiet broker: two requests with 30 ms, which the node drops without a word, then one with 2 s."""

        async def drops(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if int(message.headers["x-deadline-ms"]) >= 50:
                await serve_ok(server, message, writer)

        self.node.script = drops
        loop = asyncio.get_running_loop()
        self.assertEqual((await self.client.request()).status, 200)
        for _ in range(2):
            await sleep_until(loop.time() + 0.25)
            client = await self.connect()
            self.assertEqual((await client.request(X_Deadline_Ms="30")).status, 503)
        asked_at = loop.time()
        self.assertEqual((await self.client.request()).status, 200)
        self.assertLess(loop.time() - asked_at, PLATFORM_SETTINGS["classes"][0]["aim-us"] / 1e6)

    async def test_64_kib_both_ways_in_pieces_of_one_byte(self) -> None:
        body = bytes(range(256)) * 256

        async def echo(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            reply(writer, message.body)

        self.node.script = echo
        text = self.client.encode_request("new-write", body=body)
        head = text.index(b"\r\n\r\n") + 4
        for at in range(head):
            self.client.writer.write(text[at : at + 1])
            await self.client.writer.drain()
        for at in range(head, len(text), 97):
            self.client.writer.write(text[at : at + 97])
            await self.client.writer.drain()
        async with asyncio.timeout(TIMEOUT_S):
            answer = await read_message(self.client.reader)
        self.assertEqual((answer.status, answer.body), (200, body))


class LittleTimeBeforeALargeFleet(PlatformCase):
    """PROTOCOL: a node turns away, with 503 or 504 and X-Not-Run, also what is already over."""

    setting_overrides = {"fleet-size": 40}

    async def test_those_that_a_node_turns_away_close_it_to_no_other(self) -> None:
        async def turns_away(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if int(message.headers["x-deadline-ms"]) >= 50:
                await serve_ok(server, message, writer)
            else:
                reply(writer, status=504, X_Not_Run="1")

        self.node.script = turns_away
        loop = asyncio.get_running_loop()
        self.assertEqual((await self.client.request()).status, 200)
        for _ in range(2):
            client = await self.connect()
            self.assertEqual((await client.request(X_Deadline_Ms="30")).status, 503)
        asked_at = loop.time()
        self.assertEqual((await self.client.request()).status, 200)
        self.assertLess(loop.time() - asked_at, PLATFORM_SETTINGS["classes"][0]["aim-us"] / 1e6)
