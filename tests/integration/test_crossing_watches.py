"""A discovery server's changes that cross failures of its watch."""

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

# No attempt may begin later than this after the notification of a drain: the 500 ms of the settings and 50 ms
# that the protocol adds on sockets.
DRAIN_S = 0.55


class DiscoveryWatches(CrossingCase):
    """The endpoint list is not delivered while a node begins to drain.

    A change at a discovery server that pushes its list counts as notified after a time limit.
    """

    async def seconds_until_drain_is_known(self, started_at: float) -> float:
        """Waits until the program handles the drain of a node; returns the seconds since `started_at`."""
        await self.program.wait_for_line("state=draining")
        return asyncio.get_running_loop().time() - started_at

    async def wait_for_watch(self) -> int:
        """Waits until a watch is open; returns the number of discovery requests so far."""
        await self.discovery_server.wait_until(
            lambda: "after=" in self.discovery_server.requests[-1].start_line
        )
        return len(self.discovery_server.requests)

    async def test_silent_watch_is_reopened_before_its_changes_count_as_notified(self) -> None:
        await self.wait_for_watch()
        await self.discovery.go_silent()
        silent_at = asyncio.get_running_loop().time()
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        stale_list = self.discovery.encode_list(False, [{**self.discovery.endpoints["s-1"], "health": "up"}])
        self.discovery.silent = False  # new requests are answered, the open watch is not
        self.assertLess(await self.seconds_until_drain_is_known(silent_at), 6.0)
        for writer in self.discovery.unanswered:  # a late response to the abandoned watch must be ignored
            reply(writer, stale_list)
        await self.wait_until_processed()
        client = await self.connect()
        self.assertNotEqual((await client.request(X_Deadline_Ms="300")).status, 200)
        self.assertFalse(self.node.requests)

    async def test_drain_is_known_at_once_when_silent_discovery_responds_again(self) -> None:
        request_count = await self.wait_for_watch()
        await self.discovery.go_silent()
        reset(self.discovery.unanswered[0])
        # The program abandons each unanswered request and sends the next one.
        await self.discovery_server.wait_until(
            lambda: len(self.discovery_server.requests) >= request_count + 3
        )
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        self.discovery.silent = False
        self.assertLess(await self.seconds_until_drain_is_known(asyncio.get_running_loop().time()), DRAIN_S)

    async def test_drain_at_a_new_discovery_is_known_though_its_first_response_is_lost(self) -> None:
        new_discovery = StandInDiscovery()
        new_discovery.silent = True
        new_discovery.set_endpoint("s-1", self.node.port, health="draining")
        new_server = await Server(new_discovery.script).start()
        config = json.loads(Path(self.config).read_text())
        Path(self.config).write_text(json.dumps({**config, "discovery": f"127.0.0.1:{new_server.port}"}))
        self.program.process.send_signal(signal.SIGHUP)
        reloaded_at = asyncio.get_running_loop().time()
        await new_server.wait_until(lambda: bool(new_server.requests))
        new_discovery.silent = False
        self.assertLess(await self.seconds_until_drain_is_known(reloaded_at), 4.0)

    async def test_drain_set_at_the_reset_of_the_watch_is_known(self) -> None:
        await self.wait_for_watch()
        await self.discovery.go_silent()
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        self.discovery.silent = False
        reset(self.discovery.unanswered[0])
        self.assertLess(await self.seconds_until_drain_is_known(asyncio.get_running_loop().time()), DRAIN_S)

    async def test_malformed_list_changes_nothing_and_is_requested_again(self) -> None:
        # If this entry were accepted, requests to s-1 would fail.
        entry = {**self.discovery.endpoints["s-1"], "dial": "127.0.0.1:1", "block": 1}
        valid_list = {"seq": 9, "whole": True, "hosts": [entry]}
        malformed_lists = [
            {**valid_list, "seq": "9"},
            {**valid_list, "seq": True},
            {**valid_list, "whole": "false"},
            {**valid_list, "whole": None},
            {**valid_list, "hosts": {"s-1": entry}},
            {**valid_list, "hosts": "s"},
            {**valid_list, "hosts": [entry, None]},
            [valid_list],
            *(
                {**valid_list, "hosts": [entry, {**entry, **change}]}
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
        texts = [json.dumps(malformed_list).encode() for malformed_list in malformed_lists]
        infinite_start = json.dumps(valid_list).replace('"born_ms": 0', '"born_ms": 1e999')
        texts += [texts[0][:40], b"", b"\xff", infinite_start.encode()]
        bodies = [b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text) for text in texts]
        chunk = b"100000\r\n" + b" " * (1 << 20) + b"\r\n"  # of an endless list
        bodies.append(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * 5)
        request_count = await self.wait_for_watch()
        self.discovery.raw_responses = list(bodies)
        self.discovery.set_endpoint("s-2", self.node.port)  # ends the watch
        await self.discovery_server.wait_until(
            lambda: len(self.discovery_server.requests) >= request_count + len(bodies) + 2
        )
        self.assertEqual((await self.client.request()).status, 200)
        self.assertTrue(
            all(
                "after=" not in message.start_line
                for message in self.discovery_server.requests[request_count + 1 : -1]
            )
        )
        self.assertNotIn("seq=9", "".join(self.program.lines))

    async def test_started_response_may_take_longer_than_the_first_byte_timeout(self) -> None:
        await self.wait_for_watch()
        await self.discovery.go_silent()
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        text = self.discovery.encode_list(True, list(self.discovery.endpoints.values()))
        answered: list[asyncio.StreamWriter] = []

        async def reply_slowly(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if "after=" in message.start_line and "wait_ms=1 " not in message.start_line:  # a watch
                return
            answered.append(writer)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text[:9]))
            await asyncio.sleep(0.4)  # a request without any response bytes is abandoned after 0.25 s
            writer.write(text[9:])

        self.discovery_server.script = reply_slowly
        reset(self.discovery.unanswered[0])
        await self.seconds_until_drain_is_known(0.0)
        self.assertEqual(len(answered), 1)

    async def test_indented_list_in_small_chunks_is_accepted(self) -> None:
        await self.wait_for_watch()
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        text = self.discovery.encode_list(True, list(self.discovery.endpoints.values()), indent=2)
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (len(text[start : start + 7]), text[start : start + 7])
            for start in range(0, len(text), 7)
        )
        head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.discovery.raw_responses = [head + chunks + b"0\r\n\r\n"]
        self.discovery.set_endpoint("s-2", self.node.port, health="removed")
        self.assertLess(await self.seconds_until_drain_is_known(asyncio.get_running_loop().time()), DRAIN_S)
