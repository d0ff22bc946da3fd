"""Discovery's events that cross each other."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from crossing_cases import CrossingCase
from harness import (
    Message,
    Server,
    StandInDiscovery,
    reply,
    reset,
)

DRAIN_S = 0.55  # nothing new so long after a drain is told: the settings' 500 ms and the protocol's 50


class Watches(CrossingCase):
    """A list that does not come while nodes begin to drain. An agent that pushes has told what it has."""

    async def drained_after(self, since_s: float) -> float:
        """How long after a moment on the loop's clock the drain of the node was taken up."""
        await self.program.wait_for_line("state=draining")
        return asyncio.get_running_loop().time() - since_s

    async def watching(self) -> int:
        """A watch is open; how many calls there were up to it."""
        await self.discovery_server.wait_until(
            lambda: "after=" in self.discovery_server.requests[-1].start_line
        )
        return len(self.discovery_server.requests)

    async def test_a_watch_that_falls_silent_is_opened_anew_before_its_news_count_as_told(self) -> None:
        await self.watching()
        await self.discovery.go_silent()
        silent_s = asyncio.get_running_loop().time()
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        stale = self.discovery.encode_list(False, [{**self.discovery.endpoints["s-1"], "health": "up"}])
        self.discovery.silent = False  # as it is for the calls that come now
        self.assertLess(await self.drained_after(silent_s), 6.0)
        for writer in self.discovery.unanswered:  # what comes on the watch that was given up is not read
            reply(writer, stale)
        await self.wait_until_processed()
        client = await self.connect()
        self.assertNotEqual((await client.request(X_Deadline_Ms="300")).status, 200)
        self.assertFalse(self.node.requests)

    async def test_an_agent_that_is_silent_is_heard_at_once_when_it_speaks_again(self) -> None:
        calls = await self.watching()
        await self.discovery.go_silent()
        reset(self.discovery.unanswered[0])
        await self.discovery_server.wait_until(
            lambda: len(self.discovery_server.requests) >= calls + 3
        )  # each is given up in turn
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        self.discovery.silent = False
        self.assertLess(await self.drained_after(asyncio.get_running_loop().time()), DRAIN_S)

    async def test_a_discovery_that_moves_is_heard_though_its_first_answer_never_comes(self) -> None:
        register = StandInDiscovery()
        register.silent = True
        register.set_endpoint("s-1", self.node.port, health="draining")
        elsewhere = await Server(register.script).start()
        told = json.loads(Path(self.config).read_text())
        Path(self.config).write_text(json.dumps({**told, "discovery": f"127.0.0.1:{elsewhere.port}"}))
        self.program.process.send_signal(signal.SIGHUP)
        moved_s = asyncio.get_running_loop().time()
        await elsewhere.wait_until(lambda: bool(elsewhere.requests))
        register.silent = False
        self.assertLess(await self.drained_after(moved_s), 4.0)

    async def test_a_drain_that_crosses_the_reset_of_the_watch_is_heard(self) -> None:
        await self.watching()
        await self.discovery.go_silent()
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        self.discovery.silent = False
        reset(self.discovery.unanswered[0])
        self.assertLess(await self.drained_after(asyncio.get_running_loop().time()), DRAIN_S)

    async def test_a_spoilt_list_changes_nothing_and_is_asked_for_again(self) -> None:
        row = {
            **self.discovery.endpoints["s-1"],
            "dial": "127.0.0.1:1",
            "block": 1,
        }  # taken in, it would show
        good = {"seq": 9, "whole": True, "hosts": [row]}
        spoilt = [
            {**good, "seq": "9"},
            {**good, "seq": True},
            {**good, "whole": "false"},
            {**good, "whole": None},
            {**good, "hosts": {"s-1": row}},
            {**good, "hosts": "s"},
            {**good, "hosts": [row, None]},
            [good],
            *(
                {**good, "hosts": [row, {**row, **change}]}
                for change in (
                    {"host": None},
                    {"host": ""},
                    {"dial": None},
                    {"dial": "nowhere"},
                    {"dial": "127.0.0.1:x"},
                    {"block": "1"},
                    {"block": True},
                    {"health": "well"},
                    {"health": ["up"]},
                    {"born_ms": "1"},
                )
            ),
        ]
        texts = [json.dumps(one).encode() for one in spoilt]
        endless = json.dumps(good).replace('"born_ms": 0', '"born_ms": 1e999')
        texts += [texts[0][:40], b"", b"\xff", endless.encode()]
        bodies = [b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(one), one) for one in texts]
        chunk = b"100000\r\n" + b" " * (1 << 20) + b"\r\n"  # of a list that does not end
        bodies.append(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * 5)
        calls = await self.watching()
        self.discovery.raw_responses = list(bodies)
        self.discovery.set_endpoint("s-2", self.node.port)  # ends the watch
        await self.discovery_server.wait_until(
            lambda: len(self.discovery_server.requests) >= calls + len(bodies) + 2
        )
        self.assertEqual((await self.client.request()).status, 200)
        self.assertTrue(
            all("after=" not in one.start_line for one in self.discovery_server.requests[calls + 1 : -1])
        )
        self.assertNotIn("seq=9", "".join(self.program.lines))

    async def test_a_list_that_has_begun_may_take_longer_than_a_silence(self) -> None:
        await self.watching()
        await self.discovery.go_silent()
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        text = self.discovery.encode_list(True, list(self.discovery.endpoints.values()))
        calls: list[asyncio.StreamWriter] = []

        async def slowly(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if "after=" in message.start_line and "wait_ms=1 " not in message.start_line:  # a watch
                return
            calls.append(writer)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text[:9]))
            await asyncio.sleep(0.4)  # the time that a call without any answer has is 0.25 s
            writer.write(text[9:])

        self.discovery_server.script = slowly
        reset(self.discovery.unanswered[0])
        await self.drained_after(0.0)
        self.assertEqual(len(calls), 1)

    async def test_a_list_may_come_indented_and_in_pieces(self) -> None:
        await self.watching()
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        text = self.discovery.encode_list(True, list(self.discovery.endpoints.values()), indent=2)
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (len(text[at : at + 7]), text[at : at + 7]) for at in range(0, len(text), 7)
        )
        head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.discovery.raw_responses = [head + chunks + b"0\r\n\r\n"]
        self.discovery.set_endpoint("s-2", self.node.port, health="removed")
        self.assertLess(await self.drained_after(asyncio.get_running_loop().time()), DRAIN_S)
