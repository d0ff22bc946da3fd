"""The endpoint list from discovery."""

from __future__ import annotations

import json
import time

from harness import (
    PlatformCase,
)


class Watching(PlatformCase):
    async def test_whole_list_then_a_watch_at_once_and_again_after_failures(self) -> None:
        self.assertIn("GET /api/targets HTTP", self.discovery.seen[0].start)
        await self.discovery.until(lambda: len(self.discovery.seen) >= 2)
        self.assertIn(f"after={self.register.seq}&wait_ms=", self.discovery.seen[1].start)
        self.register.broken = [
            b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n[]",
        ]
        self.register.set("s-1", self.node.port)
        began = time.monotonic()
        await self.discovery.until(lambda: len(self.discovery.seen) >= 3)
        self.assertLess(time.monotonic() - began, 0.2)  # later, it would be a new watch
        await self.discovery.until(lambda: len(self.discovery.seen) >= 6)
        whole = ["after=" not in message.start for message in self.discovery.seen]
        self.assertEqual(whole, [True, False, False, False, True, False])
        self.assertIn("&wait_ms=1 ", self.discovery.seen[3].start)  # what was missed, by its version
        self.assertEqual((await self.client.ask()).status, 200)

    async def test_a_discovery_that_must_be_asked_is_asked_for_changes_only(self) -> None:
        """Whole lists for all that start together, and after each failure, are more than it can answer."""
        self.facts = {"discovery": "ask", "rules": {"ask-within-us": 400_000}}
        known = json.loads(self.register.answer(True, list(self.register.rows.values())))
        before = len(self.discovery.seen)
        self.register.broken = [b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"]
        await self.launch(known)
        await self.discovery.until(lambda: len(self.discovery.seen) >= before + 2)
        for message in self.discovery.seen[before:]:
            self.assertIn(f"after={self.register.seq}&wait_ms=", message.start)

    async def test_not_ready_without_a_list_and_ready_with_the_known_one(self) -> None:
        self.discovery.listener.close()
        await self.launch()
        client = await self.connect(ready=False)
        ready = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertEqual((await client.raw(ready)).status, 503)
        await self.launch(known={"seq": 1, "whole": True, "hosts": list(self.register.rows.values())})
        client = await self.connect()
        self.assertEqual((await client.ask()).status, 200)
