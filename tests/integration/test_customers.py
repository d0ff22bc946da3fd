"""A customer whose names and classes are other ones."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from harness import Client, Message, PlatformCase, Server, reply, reset, serve_ok

WINDOW_S = 0.6
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
        "memory-span-us": int(WINDOW_S * 1e6),
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
WRITES = {"lookup": False, "posting": True, "booking": True}


class Customer(PlatformCase):
    setting_overrides = {
        "classes": CLASSES,
        "grades": GRADES,
        "azs": ["quay-1", "quay-2"],
        "family-info": {"class-writes": [False, True, True], "units-top": 4},
        "limits": {"max-attempts": 2, "retry-after": False},
    }

    async def request(self, cls: str, client: Client | None = None, **changes: Any) -> Message:
        """One request of a class, as its settings want it."""
        wanted: dict[str, Any] = {"X_Qos_Policy": "office", "method": "PUT" if WRITES[cls] else "GET"}
        if cls == "booking":
            wanted["Idempotency_Key"] = "k7"
        return await (client or self.client).request(cls, **{**wanted, **changes})

    async def resets(self, _: Server, __: Message, writer: asyncio.StreamWriter) -> None:
        """A node that takes a request, and may have run it."""
        reset(writer)

    async def test_each_class_is_served_with_the_headers_that_it_needs(self) -> None:
        for cls in WRITES:
            self.assertEqual((await self.request(cls)).status, 200)
            self.assertEqual("idempotency-key" in self.node.requests[-1].headers, cls == "booking")
        for cls, status, changes in (
            ("booking", 400, {"Idempotency_Key": None}),
            ("lookup", 400, {"X_Qos_Policy": "priority"}),  # a name of other settings, as is the next
            ("lookup", 400, {"X_Class": "read", "path": "/read/00000003b4d60021/7f3a9c21e0b4d655"}),
            ("posting", 405, {"method": "GET"}),
            ("lookup", 400, {"X_Placement": "units=5,shard=0,hosts=1"}),
        ):
            with self.subTest(cls=cls, **changes):
                self.assertEqual((await self.request(cls, await self.connect(), **changes)).status, status)

    async def test_what_may_run_once_is_not_repeated(self) -> None:
        self.node.script = self.resets
        self.assertEqual((await self.request("posting")).status, 502)
        self.assertEqual(len(self.node.requests), 1)

    async def test_what_is_safe_is_repeated_as_often_as_the_settings_say(self) -> None:
        self.node.script = self.resets
        self.assertEqual((await self.request("lookup")).status, 503)  # a refusal: to come again is harmless
        self.assertEqual(len(self.node.requests), 2)

    async def test_a_key_is_repeated_within_its_window_and_its_zone(self) -> None:
        """A new object may go to any node; its repeat only to the zone in which it is dropped."""
        other = await Server(serve_ok).start()
        self.discovery.set_endpoint("s-1", self.node.port, shard=0, site="quay-1")
        await self.program.wait_for_line("endpoint=s-1")
        await self.program.wait_for_line("endpoint=s-1")
        self.node.script = self.resets
        asking = asyncio.create_task(self.request("booking", shard=-1, X_Deadline_Ms="2000"))
        await self.node.wait_until(lambda: len(self.node.requests) == 1)
        self.discovery.set_endpoint("s-2", other.port, shard=1, site="quay-2")
        self.assertNotEqual((await asking).status, 200)
        self.assertFalse(other.requests)
        self.assertEqual([one.headers["idempotency-key"] for one in self.node.requests], ["k7", "k7"])

    async def test_a_key_is_not_repeated_past_its_window(self) -> None:
        async def late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(WINDOW_S)  # the window is what is tested
            reset(writer)

        self.node.script = late
        self.assertEqual((await self.request("booking", X_Deadline_Ms="2500")).status, 502)
        self.assertEqual(len(self.node.requests), 1)

    async def test_a_class_has_its_own_deadline_whatever_a_client_says(self) -> None:
        free = asyncio.Event()

        async def hang(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            reply(writer)

        self.node.script = hang
        began = time.monotonic()
        self.assertEqual((await self.request("posting", X_Deadline_Ms="60000")).status, 502)
        self.assertTrue(1.4 < time.monotonic() - began < 1.7)
        free.set()

    async def test_a_limit_is_its_plans_and_a_refusal_names_no_time_where_none_is_allowed(self) -> None:
        clients = [await self.connect() for _ in range(6)]
        answers = await asyncio.gather(
            *(self.request("lookup", client, X_Qos_Policy="village") for client in clients)
        )
        refused = [one for one in answers if one.status == 503]
        self.assertTrue(refused and not any("retry-after" in one.headers for one in refused))
        units = 2 * len(self.node.requests)
        self.assertLessEqual(units, 4.0 + 0.5 * 2)  # its burst, and what came in meanwhile
