"""Pins the requests to etcd's JSON gateway, its responses, and the records of nodes and contracts (plans).

Requests and responses are literals here. The stand-in in `lab` cannot show that the client misunderstands
the API, because both were written with the same understanding of it.
"""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from aiohttp import web
from aiohttp.test_utils import TestServer

from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.config.etcd import EtcdConfig
from lemonridge.config.operator_schema import NodeTable, PlanTable, convert
from lemonridge.coordination.etcd_source import EndpointsFeed, PlansFeed
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointAddress
from lemonridge.etcd.client import EtcdClient
from lemonridge.etcd.errors import CompactedError
from lemonridge.etcd.events import ChangesRead, Event
from lemonridge.net.deadline_session import DeadlineSession
from lemonridge.scheduling.events import EndpointListUpdate, EndpointState
from lemonridge.scheduling.settings import VolumePlan

# Keys and values are base64. L2xyL25vZGVzLw== is /lr/nodes/, and L2xyL25vZGVzMA== is /lr/nodes0, the end of
# the range of all keys that begin with /lr/nodes/. L2xyL25vZGVzL24x is /lr/nodes/n1, and eyJzaGFyZCI6MX0= is
# {"shard":1}.


def build_events(*entries: tuple[str, bytes | None, int]) -> list[Event]:
    """Builds events from key, value and revision."""
    return [Event(*entry) for entry in entries]


class Gateway:
    """A stand-in for the gateway that sends the given responses in order and records the requests.

    Attributes:
        requests: The method, path and body of each request.
    """

    def __init__(self, *responses: bytes, status: int = 200) -> None:
        self._responses, self._status = list(responses), status
        self.requests: list[tuple[str, str, bytes]] = []

    async def serve(self, request: web.BaseRequest) -> web.Response:
        self.requests.append((request.method, request.path, await request.read()))
        return web.Response(body=self._responses.pop(0), status=self._status)


class EtcdClientTest(unittest.IsolatedAsyncioTestCase):
    async def call_client(
        self, gateway: Gateway, call: Callable[[EtcdClient, DeadlineSession], Awaitable[Any]]
    ) -> Any:
        """Makes one call of a client with the prefix /lr/ and pages of two keys."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", gateway.serve)
        async with TestServer(app) as server, DeadlineSession() as http:
            endpoint = Address("127.0.0.1", server.port or 0)
            return await call(EtcdClient(EtcdConfig(endpoint, "/lr/"), Counters(), 2), http)

    async def test_range_is_requested_page_by_page(self) -> None:
        gateway = Gateway(
            b'{"header":{"cluster_id":"1","revision":"41"},"kvs":['
            b'{"key":"L2xyL25vZGVzL24x","create_revision":"3","mod_revision":"5","version":"2",'
            b'"value":"eyJzaGFyZCI6MX0="},'
            b'{"key":"L2xyL25vZGVzL24y","mod_revision":"6","value":"eyJzaGFyZCI6Mn0="}],'
            b'"more":true,"count":"3"}',
            b'{"header":{"revision":"44"},"kvs":[{"key":"L2xyL25vZGVzL24z","mod_revision":"7"}],"count":"1"}',
        )
        events: list[Event] = []

        revision = await self.call_client(
            gateway, lambda etcd, http: etcd.range(http, "nodes/", events.extend)
        )

        self.assertEqual(revision, 41)
        self.assertEqual(
            events,
            build_events(
                ("nodes/n1", b'{"shard":1}', 5), ("nodes/n2", b'{"shard":2}', 6), ("nodes/n3", b"", 7)
            ),
        )
        self.assertEqual(
            gateway.requests,
            [
                (
                    "POST",
                    "/v3/kv/range",
                    b'{"key":"L2xyL25vZGVzLw==","range_end":"L2xyL25vZGVzMA==","limit":"2"}',
                ),
                (
                    "POST",
                    "/v3/kv/range",  # starts after the last key: /lr/nodes/n2 and a zero byte
                    b'{"key":"L2xyL25vZGVzL24yAA==","range_end":"L2xyL25vZGVzMA==","limit":"2",'
                    b'"revision":"41"}',
                ),
            ],
        )

    async def test_response_without_keys_is_an_empty_range(self) -> None:
        gateway, events = Gateway(b'{"header":{"revision":"41"}}'), list[Event]()
        revision = await self.call_client(
            gateway, lambda etcd, http: etcd.range(http, "nodes/", events.extend)
        )
        self.assertEqual((revision, events), (41, []))

    async def test_single_keys_are_requested_in_one_transaction(self) -> None:
        gateway = Gateway(
            b'{"header":{"revision":"41"},"succeeded":true,"responses":['
            b'{"response_range":{"header":{"revision":"41"},"kvs":['
            b'{"key":"L2xyL25vZGVzL24x","mod_revision":"5","value":"eyJzaGFyZCI6MX0="}],"count":"1"}},'
            b'{"response_range":{"header":{"revision":"41"}}}]}'
        )

        events = await self.call_client(gateway, lambda etcd, http: etcd.get(http, ["nodes/n1", "nodes/n2"]))

        self.assertEqual(events, build_events(("nodes/n1", b'{"shard":1}', 5)))
        self.assertEqual(
            gateway.requests,
            [
                (
                    "POST",
                    "/v3/kv/txn",
                    b'{"success":[{"request_range":{"key":"L2xyL25vZGVzL24x"}},'
                    b'{"request_range":{"key":"L2xyL25vZGVzL24y"}}]}',
                )
            ],
        )

    async def test_changes_are_requested_by_revision_and_read_with_the_number_of_all_keys(self) -> None:
        gateway = Gateway(
            b'{"header":{"cluster_id":"1","revision":"47"},"succeeded":true,"responses":['
            b'{"response_range":{"header":{"revision":"47"},"kvs":['
            b'{"key":"L2xyL25vZGVzL24x","mod_revision":"45","value":"eyJzaGFyZCI6MX0="},'
            b'{"key":"L2xyL25vZGVzL24y","mod_revision":"41","value":"e30="}],"count":"12"}}]}',
            b'{"header":{"revision":"47"},"succeeded":true,"responses":[{"response_range":{}}]}',
        )

        async def read_twice(etcd: EtcdClient, http: DeadlineSession) -> list[ChangesRead]:
            return [await etcd.read_changes(http, "nodes/", 41), await etcd.read_changes(http, "nodes/", 47)]

        reads = await self.call_client(gateway, read_twice)

        self.assertEqual(
            reads,
            [
                ChangesRead(47, tuple(build_events(("nodes/n1", b'{"shard":1}', 45))), 12),
                ChangesRead(47, (), 0),
            ],
        )
        self.assertEqual(
            gateway.requests[0],
            (
                "POST",
                "/v3/kv/txn",
                b'{"success":[{"request_range":{"key":"L2xyL25vZGVzLw==","range_end":"L2xyL25vZGVzMA==",'
                b'"min_mod_revision":"42"}}]}',
            ),
        )

    async def test_page_that_does_not_advance_is_an_error(self) -> None:
        page = (
            b'{"header":{"revision":"41"},"kvs":[{"key":"L2xyL25vZGVzL24x","mod_revision":"5"}],"more":true}'
        )
        gateway = Gateway(page, page)
        with self.assertRaisesRegex(ValueError, "a page after"):
            await self.call_client(gateway, lambda etcd, http: etcd.range(http, "nodes/", lambda page: None))

    async def test_watch_is_created_and_read_line_by_line(self) -> None:
        gateway = Gateway(
            b'{"result":{"header":{"revision":"41"},"created":true}}\n'
            b'{"result":{"header":{"revision":"43"},"events":['
            b'{"kv":{"key":"L2xyL25vZGVzL24x","mod_revision":"42","value":"eyJzaGFyZCI6MX0="}},'
            b'{"type":"DELETE","kv":{"key":"L2xyL25vZGVzL24y","mod_revision":"43"}},'
            b'{"type":"PUT","kv":{"key":"L2xyL25vZGVzL24y","mod_revision":"43"}}]}}\n'
        )
        batches: list[list[Event]] = []

        async def follow(etcd: EtcdClient, http: DeadlineSession) -> None:
            async for events in etcd.watch(http, "nodes/", 42):
                batches.append(events)

        with self.assertRaisesRegex(ValueError, "the watch ended"):
            await self.call_client(gateway, follow)
        self.assertEqual(
            batches,
            [
                [],
                build_events(("nodes/n1", b'{"shard":1}', 42), ("nodes/n2", None, 43), ("nodes/n2", b"", 43)),
            ],
        )
        self.assertEqual(
            gateway.requests,
            [
                (
                    "POST",
                    "/v3/watch",
                    b'{"create_request":{"key":"L2xyL25vZGVzLw==","range_end":"L2xyL25vZGVzMA==",'
                    b'"start_revision":"42"}}',
                )
            ],
        )

    async def test_compaction_is_recognized_by_error_code_and_in_watch(self) -> None:
        async def follow(etcd: EtcdClient, http: DeadlineSession) -> None:
            async for _ in etcd.watch(http, "nodes/", 42):
                pass

        compacted = Gateway(
            b'{"error":"etcdserver: mvcc: required revision has been compacted","code":11,'
            b'"message":"etcdserver: mvcc: required revision has been compacted"}',
            status=400,
        )
        with self.assertRaises(CompactedError):
            await self.call_client(
                compacted, lambda etcd, http: etcd.range(http, "nodes/", lambda page: None)
            )
        cancelled = Gateway(b'{"result":{"canceled":true,"compact_revision":"99"}}\n')
        with self.assertRaises(CompactedError):
            await self.call_client(cancelled, follow)
        for line, message in (
            (b'{"result":{"canceled":true,"cancel_reason":"no leader"}}\n', "was cancelled: no leader"),
            (b'{"error":{"grpc_code":14}}\n', "the watch failed"),
        ):
            with self.assertRaisesRegex(ValueError, message):
                await self.call_client(Gateway(line), follow)


class EtcdRecordsTest(unittest.TestCase):
    """The values of the keys.

    The keys in these values are the field names of `NodeTable` and `PlanTable`, so renaming a field needs an
    entry in `rename=`.
    """

    def endpoint_updates(self, *events: Event) -> list[tuple[EndpointListUpdate, list[EndpointAddress]]]:
        """Returns the endpoint list updates that a snapshot of these events causes."""
        registry = mock.Mock()
        feed = EndpointsFeed(registry, Counters())
        feed.begin_snapshot()
        feed.add_page(events)
        feed.finish_snapshot()
        return [call.args for call in registry.update.call_args_list]

    def plans(self, *events: Event) -> dict[str, VolumePlan]:
        """Returns the plans by name after a snapshot with these events."""
        feed = PlansFeed(Counters())
        feed.begin_snapshot()
        feed.add_page(events)
        feed.finish_snapshot()
        return feed.plans

    def test_key_prefixes_are_unchanged(self) -> None:
        self.assertEqual((EndpointsFeed.KIND, PlansFeed.KIND), ("nodes/", "plans/"))

    def test_node_record_is_decoded(self) -> None:
        full_record = (
            b'{"address":"127.0.0.1:3260","target":"iqn.2026-12.org.lemonridge:n1","shard":3,'
            b'"health":"draining","started_ms":1700000000123}'
        )
        minimal_record = b'{"address":"127.0.0.1:3261","target":"iqn.2026-12.org.lemonridge:n2","shard":0}'

        ((update, (full, minimal)),) = self.endpoint_updates(
            Event("nodes/n1", full_record, 5), Event("nodes/n2", minimal_record, 6)
        )

        self.assertIs(update, EndpointListUpdate.SNAPSHOT)
        self.assertEqual((full.endpoint.endpoint_id, full.endpoint.shard), ("n1", 3))
        self.assertIs(full.endpoint.state, EndpointState.DRAINING)
        self.assertEqual(full.endpoint.started_us, 1_700_000_000_123_000)
        self.assertEqual(full.address, "127.0.0.1:3260/iqn.2026-12.org.lemonridge:n1")
        self.assertEqual(
            (minimal.endpoint.endpoint_id, minimal.endpoint.shard, minimal.endpoint.started_us), ("n2", 0, 0)
        )
        self.assertIs(minimal.endpoint.state, EndpointState.ACTIVE)

    def test_plan_record_is_decoded(self) -> None:
        plans = self.plans(
            Event("plans/full", b'{"rate":60,"reserve":48,"weight":2,"limit":120,"burst":30}', 5),
            Event("plans/least", b"{}", 6),
            Event("plans/limit", b'{"name":"limit","limit":120}', 7),
        )

        values = {
            name: (plan.base_rate, plan.reserve, plan.weight, plan.limit, plan.burst, plan.slack)
            for name, plan in plans.items()
        }
        self.assertEqual(
            values,
            {"full": (60, 48, 2, 120, 30, 0), "least": (0, 0, 1, 0, 0, 0), "limit": (0, 0, 1, 120, 120, 0)},
        )

    def test_malformed_record_is_named_and_skipped(self) -> None:
        for table, key, value, message in (
            (NodeTable, "nodes/n1", {"shard": 1}, "nodes/n1.address is missing"),
            (PlanTable, "plans/p", {"odd": 1}, "unknown key plans/p.odd"),
        ):
            with self.assertRaises(ConfigError) as caught:
                convert(table, value, key)
            self.assertEqual(str(caught.exception), message)
        with self.assertLogs(level="WARNING"):
            self.assertEqual(
                self.endpoint_updates(Event("nodes/n1", b'{"odd":1}', 5)), [(EndpointListUpdate.SNAPSHOT, [])]
            )
            self.assertEqual(self.plans(Event("plans/p", b'{"odd":1}', 5)), {})
