"""etcd's JSON gateway and the records for nodes and contracts: literal requests, literal answers.

The stand-in of `lab` answers by the same understanding as the client asks; here both sides are text.
"""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer

from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.config.etcd import EtcdConfig
from lemonridge.config.operator_schema import NodeTable, PlanTable, convert
from lemonridge.coordination.errors import CompactedError
from lemonridge.coordination.etcd_client import EtcdClient, Event
from lemonridge.coordination.etcd_source import EndpointsFeed, PlansFeed
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointAddress
from lemonridge.scheduling.events import EndpointListUpdate, EndpointState
from lemonridge.scheduling.settings import VolumePlan

# Keys and values are base64: L2xyL25vZGVzLw== is /lr/nodes/, L2xyL25vZGVzMA== is /lr/nodes0 (behind all that
# begin with /lr/nodes/), L2xyL25vZGVzL24x is /lr/nodes/n1; eyJzaGFyZCI6MX0= is {"shard":1}.


def rows(*told: tuple[str, bytes | None, int]) -> list[Event]:
    return [Event(*row) for row in told]


class Gateway:
    """Says the answers that it is given, one after the other, and notes what it was asked."""

    def __init__(self, *answers: bytes, status: int = 200) -> None:
        self._answers, self._status = list(answers), status
        self.seen: list[tuple[str, str, bytes]] = []

    async def serve(self, request: web.BaseRequest) -> web.Response:
        self.seen.append((request.method, request.path, await request.read()))
        return web.Response(body=self._answers.pop(0), status=self._status)


class TheGateway(unittest.IsolatedAsyncioTestCase):
    async def ask(
        self, gateway: Gateway, call: Callable[[EtcdClient, aiohttp.ClientSession], Awaitable[Any]]
    ) -> Any:
        """One call of a client for keys below /lr/, two keys a page."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", gateway.serve)
        async with TestServer(app) as server, aiohttp.ClientSession() as http:
            endpoint = Address("127.0.0.1", server.port or 0)
            return await call(EtcdClient(EtcdConfig(endpoint, "/lr/"), Counters(), 2), http)

    async def test_a_range_is_asked_for_page_by_page(self) -> None:
        gateway = Gateway(
            b'{"header":{"cluster_id":"1","revision":"41"},"kvs":['
            b'{"key":"L2xyL25vZGVzL24x","create_revision":"3","mod_revision":"5","version":"2",'
            b'"value":"eyJzaGFyZCI6MX0="},'
            b'{"key":"L2xyL25vZGVzL24y","mod_revision":"6","value":"eyJzaGFyZCI6Mn0="}],'
            b'"more":true,"count":"3"}',
            b'{"header":{"revision":"44"},"kvs":[{"key":"L2xyL25vZGVzL24z","mod_revision":"7"}],"count":"1"}',
        )
        told: list[Event] = []

        revision = await self.ask(gateway, lambda etcd, http: etcd.range(http, "nodes/", told.extend))

        self.assertEqual(revision, 41)
        self.assertEqual(
            told,
            rows(("nodes/n1", b'{"shard":1}', 5), ("nodes/n2", b'{"shard":2}', 6), ("nodes/n3", b"", 7)),
        )
        self.assertEqual(
            gateway.seen,
            [
                (
                    "POST",
                    "/v3/kv/range",
                    b'{"key":"L2xyL25vZGVzLw==","range_end":"L2xyL25vZGVzMA==","limit":"2"}',
                ),
                (
                    "POST",
                    "/v3/kv/range",  # from behind the last key on: /lr/nodes/n2 and a zero byte
                    b'{"key":"L2xyL25vZGVzL24yAA==","range_end":"L2xyL25vZGVzMA==","limit":"2",'
                    b'"revision":"41"}',
                ),
            ],
        )

    async def test_nothing_at_all_is_an_answer_without_keys(self) -> None:
        gateway, told = Gateway(b'{"header":{"revision":"41"}}'), list[Event]()
        revision = await self.ask(gateway, lambda etcd, http: etcd.range(http, "nodes/", told.extend))
        self.assertEqual((revision, told), (41, []))

    async def test_single_keys_are_asked_for_in_one_transaction(self) -> None:
        gateway = Gateway(
            b'{"header":{"revision":"41"},"succeeded":true,"responses":['
            b'{"response_range":{"header":{"revision":"41"},"kvs":['
            b'{"key":"L2xyL25vZGVzL24x","mod_revision":"5","value":"eyJzaGFyZCI6MX0="}],"count":"1"}},'
            b'{"response_range":{"header":{"revision":"41"}}}]}'
        )

        told = await self.ask(gateway, lambda etcd, http: etcd.get(http, ["nodes/n1", "nodes/n2"]))

        self.assertEqual(told, rows(("nodes/n1", b'{"shard":1}', 5)))
        self.assertEqual(
            gateway.seen,
            [
                (
                    "POST",
                    "/v3/kv/txn",
                    b'{"success":[{"request_range":{"key":"L2xyL25vZGVzL24x"}},'
                    b'{"request_range":{"key":"L2xyL25vZGVzL24y"}}]}',
                )
            ],
        )

    async def test_a_watch_is_begun_and_read_line_by_line(self) -> None:
        gateway = Gateway(
            b'{"result":{"header":{"revision":"41"},"created":true}}\n'
            b'{"result":{"header":{"revision":"43"},"events":['
            b'{"kv":{"key":"L2xyL25vZGVzL24x","mod_revision":"42","value":"eyJzaGFyZCI6MX0="}},'
            b'{"type":"DELETE","kv":{"key":"L2xyL25vZGVzL24y","mod_revision":"43"}},'
            b'{"type":"PUT","kv":{"key":"L2xyL25vZGVzL24y","mod_revision":"43"}}]}}\n'
        )
        told: list[list[Event]] = []

        async def follow(etcd: EtcdClient, http: aiohttp.ClientSession) -> None:
            async for events in etcd.watch(http, "nodes/", 42):
                told.append(events)

        with self.assertRaisesRegex(ValueError, "the watch ended"):
            await self.ask(gateway, follow)
        self.assertEqual(
            told,
            [
                [],
                rows(("nodes/n1", b'{"shard":1}', 42), ("nodes/n2", None, 43), ("nodes/n2", b"", 43)),
            ],
        )
        self.assertEqual(
            gateway.seen,
            [
                (
                    "POST",
                    "/v3/watch",
                    b'{"create_request":{"key":"L2xyL25vZGVzLw==","range_end":"L2xyL25vZGVzMA==",'
                    b'"start_revision":"42"}}',
                )
            ],
        )

    async def test_a_compaction_is_known_by_the_code_and_by_the_watch(self) -> None:
        async def follow(etcd: EtcdClient, http: aiohttp.ClientSession) -> None:
            async for _ in etcd.watch(http, "nodes/", 42):
                pass

        compacted = Gateway(
            b'{"error":"etcdserver: mvcc: required revision has been compacted","code":11,'
            b'"message":"etcdserver: mvcc: required revision has been compacted"}',
            status=400,
        )
        with self.assertRaises(CompactedError):
            await self.ask(compacted, lambda etcd, http: etcd.range(http, "nodes/", lambda page: None))
        cancelled = Gateway(b'{"result":{"canceled":true,"compact_revision":"99"}}\n')
        with self.assertRaises(CompactedError):
            await self.ask(cancelled, follow)
        for line, words in (
            (b'{"result":{"canceled":true,"cancel_reason":"no leader"}}\n', "was cancelled: no leader"),
            (b'{"error":{"grpc_code":14}}\n', "the watch failed"),
        ):
            with self.assertRaisesRegex(ValueError, words):
                await self.ask(Gateway(line), follow)


class Records(unittest.TestCase):
    """The values of the keys. All their keys are derived from the fields' names (`NodeTable`, `PlanTable`):
    a rename of a field needs `rename=`."""

    def endpoints(self, *events: Event) -> list[tuple[EndpointListUpdate, list[EndpointAddress]]]:
        """What the node list is told of a range of keys."""
        directory = mock.Mock()
        feed = EndpointsFeed(directory, Counters())
        feed.begin_snapshot()
        feed.add_page(events)
        feed.finish_snapshot()
        return [call.args for call in directory.update.call_args_list]

    def plans(self, *events: Event) -> dict[str, VolumePlan]:
        feed = PlansFeed(Counters())
        feed.begin_snapshot()
        feed.add_page(events)
        feed.finish_snapshot()
        return feed.plans

    def test_the_kinds_of_keys(self) -> None:
        self.assertEqual((EndpointsFeed.KIND, PlansFeed.KIND), ("nodes/", "plans/"))

    def test_a_node_is_read(self) -> None:
        full = (
            b'{"address":"127.0.0.1:3260","target":"iqn.2026-12.org.lemonridge:n1","shard":3,'
            b'"health":"draining","started_ms":1700000000123}'
        )
        least = b'{"address":"127.0.0.1:3261","target":"iqn.2026-12.org.lemonridge:n2","shard":0}'

        ((kind, (one, other)),) = self.endpoints(Event("nodes/n1", full, 5), Event("nodes/n2", least, 6))

        self.assertIs(kind, EndpointListUpdate.SNAPSHOT)
        self.assertEqual((one.endpoint.endpoint_id, one.endpoint.shard), ("n1", 3))
        self.assertIs(one.endpoint.state, EndpointState.DRAINING)
        self.assertEqual(one.endpoint.started_us, 1_700_000_000_123_000)
        self.assertEqual(one.address, "127.0.0.1:3260/iqn.2026-12.org.lemonridge:n1")
        self.assertEqual(
            (other.endpoint.endpoint_id, other.endpoint.shard, other.endpoint.started_us), ("n2", 0, 0)
        )
        self.assertIs(other.endpoint.state, EndpointState.ACTIVE)

    def test_a_plan_is_read(self) -> None:
        told = self.plans(
            Event("plans/full", b'{"rate":60,"reserve":48,"weight":2,"limit":120,"burst":30}', 5),
            Event("plans/least", b"{}", 6),
            Event("plans/limit", b'{"name":"limit","limit":120}', 7),
        )

        figures = {
            name: (plan.base_rate, plan.reserve, plan.weight, plan.limit, plan.burst, plan.slack)
            for name, plan in told.items()
        }
        self.assertEqual(
            figures,
            {"full": (60, 48, 2, 120, 30, 0), "least": (0, 0, 1, 0, 0, 0), "limit": (0, 0, 1, 120, 120, 0)},
        )

    def test_what_cannot_be_read_is_named_and_left(self) -> None:
        for kind, key, value, words in (
            (NodeTable, "nodes/n1", {"shard": 1}, "nodes/n1.address is missing"),
            (PlanTable, "plans/p", {"odd": 1}, "unknown key plans/p.odd"),
        ):
            with self.assertRaises(ConfigError) as caught:
                convert(kind, value, key)
            self.assertEqual(str(caught.exception), words)
        with self.assertLogs(level="WARNING"):
            self.assertEqual(
                self.endpoints(Event("nodes/n1", b'{"odd":1}', 5)), [(EndpointListUpdate.SNAPSHOT, [])]
            )
            self.assertEqual(self.plans(Event("plans/p", b'{"odd":1}', 5)), {})
