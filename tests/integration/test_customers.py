"""The platform's front with the classes, grades and zones of another customer."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from harness import Client, Message, PlatformCase, Server, reply, reset, serve_ok

KEY_WINDOW_S = 0.6
CLASSES = [
    {
        "aim-us": 450_000,
        "deadline-us": 1_800_000,
        "gain": 1.0,
        "group": "all",
        "memory-span-us": 0,
        "name": "lookup",
        "semantics": "repeatable",
    },
    {
        "aim-us": 700_000,
        "deadline-us": 1_500_000,
        "gain": 4.0,
        "group": "all",
        "memory-span-us": 0,
        "name": "posting",
        "semantics": "once",
    },
    {
        "aim-us": 1_500_000,
        "deadline-us": 2_600_000,
        "gain": 2.0,
        "group": "zone",
        "memory-span-us": int(KEY_WINDOW_S * 1e6),
        "name": "booking",
        "semantics": "by_key",
    },
]
GRADES = [
    {
        "base-rate": 12.0,
        "burst": 0.0,
        "cap": 0.0,
        "guaranteed": 12.0,
        "limit-slack": 0.0,
        "name": "office",
        "weight": 1.0,
        "worth-factor": 1.0,
    },
    {
        "base-rate": 0.5,
        "burst": 4.0,
        "cap": 0.5,
        "guaranteed": 0.0,
        "limit-slack": 0.0,
        "name": "village",
        "weight": 1.0,
        "worth-factor": 1.0,
    },
]
WRITES_BY_CLASS = {"lookup": False, "posting": True, "booking": True}


class CustomerSettings(PlatformCase):
    setting_overrides = {
        "classes": CLASSES,
        "grades": GRADES,
        "azs": ["quay-1", "quay-2"],
        "family-info": {"class-writes": [False, True, True], "units-top": 4},
        "limits": {"max-attempts": 2, "retry-after": False},
    }

    async def request(self, cls: str, client: Client | None = None, **changes: Any) -> Message:
        """Sends a request with the headers that the settings require of its class."""
        defaults: dict[str, Any] = {
            "X_Qos_Policy": "office",
            "method": "PUT" if WRITES_BY_CLASS[cls] else "GET",
        }
        if cls == "booking":
            defaults["Idempotency_Key"] = "k7"
        return await (client or self.client).request(cls, **{**defaults, **changes})

    async def reset_connection(self, _: Server, __: Message, writer: asyncio.StreamWriter) -> None:
        """Answers with RST: the node may have run the request."""
        reset(writer)

    async def test_each_class_is_served_with_its_required_headers(self) -> None:
        for cls in WRITES_BY_CLASS:
            self.assertEqual((await self.request(cls)).status, 200)
            self.assertEqual("idempotency-key" in self.node.requests[-1].headers, cls == "booking")
        for cls, status, changes in (
            ("booking", 400, {"Idempotency_Key": None}),
            ("lookup", 400, {"X_Qos_Policy": "priority"}),  # this name and the next are in no setting here
            ("lookup", 400, {"X_Class": "read", "path": "/read/00000003b4d60021/7f3a9c21e0b4d655"}),
            ("posting", 405, {"method": "GET"}),
            ("lookup", 400, {"X_Placement": "units=5,shard=0,hosts=1"}),
        ):
            with self.subTest(cls=cls, **changes):
                self.assertEqual((await self.request(cls, await self.connect(), **changes)).status, status)

    async def test_class_without_idempotency_is_not_retried(self) -> None:
        self.node.script = self.reset_connection
        self.assertEqual((await self.request("posting")).status, 502)
        self.assertEqual(len(self.node.requests), 1)

    async def test_idempotent_class_is_retried_up_to_max_attempts(self) -> None:
        self.node.script = self.reset_connection
        self.assertEqual((await self.request("lookup")).status, 503)  # repeating it is harmless
        self.assertEqual(len(self.node.requests), 2)

    async def test_idempotency_key_is_retried_only_within_its_window_and_zone(self) -> None:
        """A new object may go to any node, its retry only to the zone that drops duplicates of the key."""
        other_node = await Server(serve_ok).start()
        self.discovery.set_endpoint("s-1", self.node.port, shard=0, site="quay-1")
        await self.program.wait_for_line("endpoint=s-1")
        await self.program.wait_for_line("endpoint=s-1")
        self.node.script = self.reset_connection
        response_task = asyncio.create_task(self.request("booking", shard=-1, X_Deadline_Ms="2000"))
        await self.node.wait_until(lambda: len(self.node.requests) == 1)
        self.discovery.set_endpoint("s-2", other_node.port, shard=1, site="quay-2")
        self.assertNotEqual((await response_task).status, 200)
        self.assertFalse(other_node.requests)
        self.assertEqual([message.headers["idempotency-key"] for message in self.node.requests], ["k7", "k7"])

    async def test_idempotency_key_is_not_retried_after_its_window(self) -> None:
        async def reset_after_window(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(KEY_WINDOW_S)
            reset(writer)

        self.node.script = reset_after_window
        self.assertEqual((await self.request("booking", X_Deadline_Ms="2500")).status, 502)
        self.assertEqual(len(self.node.requests), 1)

    async def test_deadline_of_the_class_limits_the_deadline_of_the_client(self) -> None:
        may_reply = asyncio.Event()

        async def reply_late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer)

        self.node.script = reply_late
        started_at = time.monotonic()
        self.assertEqual((await self.request("posting", X_Deadline_Ms="60000")).status, 502)
        self.assertTrue(1.4 < time.monotonic() - started_at < 1.7)
        may_reply.set()

    async def test_plan_limit_rejects_without_retry_after_if_disabled(self) -> None:
        clients = [await self.connect() for _ in range(6)]
        responses = await asyncio.gather(
            *(self.request("lookup", client, X_Qos_Policy="village") for client in clients)
        )
        rejected = [message for message in responses if message.status == 503]
        self.assertTrue(rejected and not any("retry-after" in message.headers for message in rejected))
        units = 2 * len(self.node.requests)
        self.assertLessEqual(units, 4.0 + 0.5 * 2)  # the burst, and the rate limit over 2 s
