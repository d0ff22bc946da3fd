"""The endpoint list from discovery."""

from __future__ import annotations

import json
import time

from harness import (
    PlatformCase,
)


class Watching(PlatformCase):
    async def test_whole_list_then_a_watch_at_once_and_again_after_failures(self) -> None:
        self.assertIn("GET /api/targets HTTP", self.discovery_server.requests[0].start_line)
        await self.discovery_server.wait_until(lambda: len(self.discovery_server.requests) >= 2)
        self.assertIn(f"after={self.discovery.seq}&wait_ms=", self.discovery_server.requests[1].start_line)
        self.discovery.raw_responses = [
            b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n[]",
        ]
        self.discovery.set_endpoint("s-1", self.node.port)
        began = time.monotonic()
        await self.discovery_server.wait_until(lambda: len(self.discovery_server.requests) >= 3)
        self.assertLess(time.monotonic() - began, 0.2)  # later, it would be a new watch
        await self.discovery_server.wait_until(lambda: len(self.discovery_server.requests) >= 6)
        whole = ["after=" not in message.start_line for message in self.discovery_server.requests]
        self.assertEqual(whole, [True, False, False, False, True, False])
        self.assertIn(
            "&wait_ms=1 ", self.discovery_server.requests[3].start_line
        )  # what was missed, by its version
        self.assertEqual((await self.client.request()).status, 200)

    async def test_a_discovery_that_must_be_asked_is_asked_for_changes_only(self) -> None:
        """Whole lists for all that start together, and after each failure, are more than it can answer."""
        self.setting_overrides = {"discovery": "ask", "rules": {"ask-within-us": 400_000}}
        known = json.loads(self.discovery.encode_list(True, list(self.discovery.endpoints.values())))
        before = len(self.discovery_server.requests)
        self.discovery.raw_responses = [b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"]
        await self.launch(known)
        await self.discovery_server.wait_until(lambda: len(self.discovery_server.requests) >= before + 2)
        for message in self.discovery_server.requests[before:]:
            self.assertIn(f"after={self.discovery.seq}&wait_ms=", message.start_line)

    async def test_not_ready_without_a_list_and_ready_with_the_known_one(self) -> None:
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
