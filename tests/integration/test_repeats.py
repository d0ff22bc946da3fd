"""What may be sent again, and the broker's own responses."""

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


class RepeatsInAWindow(PlatformCase):
    """WIRE, rule 2: what may have run is sent again only as its class allows, also where all goes wrong."""

    setting_overrides = {
        "classes": [
            PLATFORM_SETTINGS["classes"][0],
            {**PLATFORM_SETTINGS["classes"][1], "group": "all", "memory-span-us": 300_000},
            {**PLATFORM_SETTINGS["classes"][1], "name": "once-only", "semantics": "once"},
        ],
        "family-info": {"class-writes": [False, True, True]},
    }

    async def begun(self, cls: str, held_s: float = 0.0) -> tuple[list[float], Message]:
        """When attempts come to a node that resets each once it is whole, and the client's answer."""
        loop, begun = asyncio.get_running_loop(), list[float]()

        async def breaks(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            begun.append(loop.time())
            if held_s and len(begun) == 1:
                self.program.process.send_signal(signal.SIGSTOP)
                writer.transport.abort()
                await asyncio.sleep(held_s)
                self.program.process.send_signal(signal.SIGCONT)
                return
            writer.transport.abort()

        self.node.script = breaks
        client = await self.connect()
        method = "GET" if cls == "read" else "PUT"
        answer = await client.request(cls, shard=-1, Idempotency_Key="k", method=method)
        return begun, answer

    async def test_a_key_is_sent_again_within_its_window_alone(self) -> None:
        begun, answer = await self.begun("new-write")
        self.assertLessEqual(begun[-1] - begun[0], 0.3 + SOCKET_SLACK_S)
        self.assertIn(answer.status, (502, 503))
        begun, _ = await self.begun("new-write", held_s=0.35)
        self.assertEqual(len(begun), 1)  # the window was over when the program went on

    async def test_what_may_run_once_is_never_sent_again_nor_refused(self) -> None:
        for held_s in (0.0, SUSPENDED_S):
            begun, answer = await self.begun("once-only", held_s)
            self.assertEqual((len(begun), answer.status), (1, 502))

    async def test_at_most_four_attempts_and_never_two_at_once(self) -> None:
        begun, answer = await self.begun("read")
        self.assertLessEqual(len(begun), 4)
        self.assertIn(answer.status, (502, 503))


class WordedByTheBroker(PlatformCase):
    """Every code that the broker words itself, on a connection that the client can still read."""

    async def test_each_code_is_a_whole_answer_and_no_refusal_of_what_may_have_run(self) -> None:
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

    async def test_an_id_that_is_open_gets_409_and_harms_the_first_one_in_nothing(self) -> None:
        async def slowly(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.1)
            reply(writer)

        self.node.script = slowly
        other = await self.connect()
        text = self.client.encode_request()
        self.client.writer.write(text)
        await self.node.wait_until(lambda: bool(self.node.requests))
        self.assertEqual((await other.exchange(text)).status, 409)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual((await read_message(self.client.reader)).status, 200)
        self.assertEqual(len(self.node.requests), 1)
