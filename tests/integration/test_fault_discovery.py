"""A discovery server that is slow, or restarts its version numbers."""

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

PART_COUNT = 24
RESPONSE_S = 2.4


class SlowDiscoveryServer(PlatformCase):
    """STANDING: a change at a slow discovery server counts as notified after 6 s at the latest."""

    async def asyncSetUp(self) -> None:
        original_script = StandInDiscovery.script

        class SlowStandIn(StandInDiscovery):
            """Sends each list that is not empty in 24 parts over 2.4 s."""

            async def script(self, server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
                buffer = BufferingWriter(writer)
                await original_script(self, server, message, buffer)  # type: ignore[arg-type]
                head, _, body = buffer.text.partition(b"\r\n\r\n")
                writer.write(head + b"\r\n\r\n")
                if b'"hosts": []' in body:
                    writer.write(body)
                    return
                size = len(body) // PART_COUNT + 1
                for start in range(0, len(body), size):
                    await asyncio.sleep(RESPONSE_S / PART_COUNT)
                    writer.write(body[start : start + size])

        self.discovery = SlowStandIn()
        self.discovery_server = await Server(self.discovery.script).start()
        self.node = await Server(serve_ok).start()
        self.discovery.set_endpoint("s-1", self.node.port)
        await self.launch()
        self.client = await self.connect()

    async def test_drain_at_a_slow_discovery_server_is_known_in_time(self) -> None:
        self.assertEqual((await self.client.request()).status, 200)
        await assert_drain_in_time(self)

    async def test_start_serves_from_the_known_list_and_learns_a_drain_in_time(self) -> None:
        """The known list is outdated: one of its two nodes has been draining since before the start."""
        loop, other_node = asyncio.get_running_loop(), await Server(serve_ok).start()
        known_list = {
            "seq": 1,
            "whole": True,
            "hosts": [
                self.discovery.endpoint_entry("s-1", self.node.port),
                self.discovery.endpoint_entry("s-2", other_node.port),
            ],
        }
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        self.discovery.set_endpoint("s-2", other_node.port)
        started_at = loop.time()
        await self.launch(known_list)
        self.client = await self.connect()
        statuses: list[int] = []
        while loop.time() < started_at + NOTIFICATION_S + DRAIN_GRACE_S + 0.5:
            if loop.time() < started_at + NOTIFICATION_S + DRAIN_GRACE_S:
                requests_at_the_limit = len(self.node.requests)
            statuses.append((await self.client.request()).status)
            await asyncio.sleep(0.02)
        self.assertEqual(set(statuses), {200})
        self.assertGreater(len(other_node.requests), len(statuses) // 2)
        self.assertEqual(len(self.node.requests), requests_at_the_limit)


class BufferingWriter:
    """Collects the bytes written instead of sending them."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.text, self.transport = b"", writer.transport

    def write(self, data: bytes) -> None:
        self.text += data


class RestartedDiscovery(PlatformCase):
    """A restarted discovery server counts its versions from the beginning."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.discovery.seq = 99
        self.discovery.set_endpoint("s-1", self.node.port)
        await self.discovery_server.wait_until(
            lambda: "after=100&" in self.discovery_server.requests[-1].start_line
        )

    async def test_drain_with_a_lower_version_is_known(self) -> None:
        self.discovery.seq = 4
        await assert_drain_in_time(self)

    async def test_drain_with_a_lower_version_is_known_after_a_broken_connection(self) -> None:
        self.discovery.seq = 4
        for writer in list(self.discovery_server.writers):
            writer.transport.abort()
        await assert_drain_in_time(self)
