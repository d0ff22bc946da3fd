"""Discovery that is slow, or begins its versions anew."""

from __future__ import annotations

import asyncio

from fault_cases import DRAIN_GRACE_S, NOTIFICATION_S, assert_drain_in_time
from harness import (
    Message,
    PlatformCase,
    Server,
    StandInDiscovery,
    serve_ok,
)

PIECES = 24
SLOW_S = 2.4


class SlowDiscovery(PlatformCase):
    """STANDING: discovery that is slow. What it has counts as told 6 s later at the latest."""

    async def asyncSetUp(self) -> None:
        plain = StandInDiscovery.script

        class Slow(StandInDiscovery):
            """Each answer with nodes in it comes in 24 pieces over 2.4 s."""

            async def script(self, server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
                held = Held(writer)
                await plain(self, server, message, held)  # type: ignore[arg-type]
                head, _, body = held.text.partition(b"\r\n\r\n")
                writer.write(head + b"\r\n\r\n")
                if b'"hosts": []' in body:
                    writer.write(body)
                    return
                size = len(body) // PIECES + 1
                for at in range(0, len(body), size):
                    await asyncio.sleep(SLOW_S / PIECES)
                    writer.write(body[at : at + size])

        self.discovery = Slow()
        self.discovery_server = await Server(self.discovery.script).start()
        self.node = await Server(serve_ok).start()
        self.discovery.set_endpoint("s-1", self.node.port)
        await self.launch()
        self.client = await self.connect()

    async def test_a_drain_is_heard_in_time(self) -> None:
        self.assertEqual((await self.client.request()).status, 200)
        await assert_drain_in_time(self)

    async def test_a_start_serves_by_the_known_list_and_hears_of_a_drain_in_time(self) -> None:
        """The list that it knows is old: one of its two nodes drains since before the start."""
        loop, other = asyncio.get_running_loop(), await Server(serve_ok).start()
        known = {
            "seq": 1,
            "whole": True,
            "hosts": [
                self.discovery.endpoint_entry("s-1", self.node.port),
                self.discovery.endpoint_entry("s-2", other.port),
            ],
        }
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        self.discovery.set_endpoint("s-2", other.port)
        started_at = loop.time()
        await self.launch(known)
        self.client = await self.connect()
        statuses: list[int] = []
        while loop.time() < started_at + NOTIFICATION_S + DRAIN_GRACE_S + 0.5:
            if loop.time() < started_at + NOTIFICATION_S + DRAIN_GRACE_S:
                seen = len(self.node.requests)
            statuses.append((await self.client.request()).status)
            await asyncio.sleep(0.02)
        self.assertEqual(set(statuses), {200})
        self.assertGreater(len(other.requests), len(statuses) // 2)
        self.assertEqual(len(self.node.requests), seen)


class Held:
    """A writer that holds back what is written."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.text, self.transport = b"", writer.transport

    def write(self, data: bytes) -> None:
        self.text += data


class DiscoveryBeginsAnew(PlatformCase):
    """Discovery that was restarted counts its versions from the beginning."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.discovery.seq = 99
        self.discovery.set_endpoint("s-1", self.node.port)
        await self.discovery_server.wait_until(
            lambda: "after=100&" in self.discovery_server.requests[-1].start_line
        )

    async def test_a_drain_with_a_smaller_version_is_heard(self) -> None:
        self.discovery.seq = 4
        await assert_drain_in_time(self)

    async def test_a_drain_is_heard_where_the_connection_breaks_too(self) -> None:
        self.discovery.seq = 4
        for writer in list(self.discovery_server.writers):
            writer.transport.abort()
        await assert_drain_in_time(self)
