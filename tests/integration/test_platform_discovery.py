"""The endpoint list from the discovery server."""

from __future__ import annotations

import json
import time

from harness import (
    PlatformCase,
)


class EndpointList(PlatformCase):
    async def test_whole_list_is_followed_by_a_watch_that_is_reopened_after_failures(self) -> None:
        self.assertIn("GET /api/targets HTTP", self.discovery_server.requests[0].start_line)
        await self.discovery_server.wait_until(lambda: len(self.discovery_server.requests) >= 2)
        self.assertIn(f"after={self.discovery.seq}&wait_ms=", self.discovery_server.requests[1].start_line)
        self.discovery.raw_responses = [
            b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n[]",
        ]
        self.discovery.set_endpoint("s-1", self.node.port)
        changed_at = time.monotonic()
        await self.discovery_server.wait_until(lambda: len(self.discovery_server.requests) >= 3)
        self.assertLess(time.monotonic() - changed_at, 0.2)  # a new watch would come later
        await self.discovery_server.wait_until(lambda: len(self.discovery_server.requests) >= 6)
        asks_for_whole_list = [
            "after=" not in message.start_line for message in self.discovery_server.requests
        ]
        self.assertEqual(asks_for_whole_list, [True, False, False, False, True, False])
        # This request asks for the missed changes by their version.
        self.assertIn("&wait_ms=1 ", self.discovery_server.requests[3].start_line)
        self.assertEqual((await self.client.request()).status, 200)

    async def test_polled_discovery_is_asked_only_for_changes_after_the_known_list(self) -> None:
        """Whole lists for all brokers that start together, and after each failure, would overload it."""
        self.setting_overrides = {"discovery": "ask", "rules": {"ask-within-us": 400_000}}
        known_list = json.loads(self.discovery.encode_list(True, list(self.discovery.endpoints.values())))
        requests_before = len(self.discovery_server.requests)
        self.discovery.raw_responses = [b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"]
        await self.launch(known_list)
        await self.discovery_server.wait_until(
            lambda: len(self.discovery_server.requests) >= requests_before + 2
        )
        for message in self.discovery_server.requests[requests_before:]:
            self.assertIn(f"after={self.discovery.seq}&wait_ms=", message.start_line)

    async def test_program_is_ready_only_with_a_received_or_known_list(self) -> None:
        self.discovery_server.listener.close()
        await self.launch()
        client = await self.connect(wait_until_ready=False)
        ready = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertEqual((await client.exchange(ready)).status, 503)
        await self.launch(
            known_list={"seq": 1, "whole": True, "hosts": list(self.discovery.endpoints.values())}
        )
        client = await self.connect()
        self.assertEqual((await client.request()).status, 200)
