"""The list of the configuration and that of a predecessor, until the source answers."""

from __future__ import annotations

import unittest
from unittest import mock

from lemonridge.core.endpoint_registry import EndpointAddress, EndpointRegistry
from lemonridge.scheduling.events import Endpoint, EndpointListUpdate, EndpointsChanged, EndpointState

NOW_US = 100_000_000


def listed(name: str) -> EndpointAddress:
    return EndpointAddress(Endpoint(name, 0, 0, EndpointState.ACTIVE, 0), f"127.0.0.1:1/{name}")


class CachedListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.sink = mock.Mock()
        self.registry = EndpointRegistry(self.sink, lambda: NOW_US, lambda: NOW_US)
        self.registry.update(EndpointListUpdate.CACHED, [listed("a")])

    def published(self) -> EndpointsChanged:
        """Returns the newest event that the scheduler has received."""
        event = self.sink.deliver.call_args.args[0]
        assert isinstance(event, EndpointsChanged)
        return event

    async def test_expired_list_is_withdrawn_from_the_scheduler_and_is_not_handed_over(self) -> None:
        self.registry.expire_cached_list()
        self.assertEqual(self.published(), EndpointsChanged(EndpointListUpdate.CACHED, ()))
        self.assertIsNone(self.registry.address("a"))
        self.assertEqual((self.registry.source_list(), self.registry.has_list), ((), False))
        self.registry.update(EndpointListUpdate.SNAPSHOT, [listed("a")])
        self.assertTrue(self.registry.has_list)
        self.assertIsNotNone(self.registry.address("a"))

    async def test_expiry_keeps_bans_and_the_slow_start_after_one(self) -> None:
        self.registry.update(EndpointListUpdate.CACHED, [listed("a"), listed("b")])
        self.assertTrue(self.registry.disable("a"))
        self.assertTrue(self.registry.disable("b") and self.registry.enable("b"))
        self.registry.expire_cached_list()
        self.registry.update(EndpointListUpdate.SNAPSHOT, [listed("a"), listed("b")])
        banned, returned = self.published().entries
        self.assertIs(banned.state, EndpointState.DRAINING)
        self.assertEqual((returned.state, returned.started_us), (EndpointState.ACTIVE, NOW_US))

    async def test_list_of_the_source_or_of_a_predecessor_does_not_expire(self) -> None:
        self.registry.import_list([listed("b")])
        self.registry.expire_cached_list()
        self.assertIsNotNone(self.registry.address("b"))
        self.registry.update(EndpointListUpdate.SNAPSHOT, [listed("c")])
        self.registry.import_list([listed("d")])
        self.registry.expire_cached_list()
        self.assertEqual(self.registry.source_list(), (listed("c"),))

    async def test_empty_list_of_a_predecessor_replaces_nothing(self) -> None:
        self.registry.import_list([])
        self.assertIsNotNone(self.registry.address("a"))
        self.registry.expire_cached_list()
        self.assertFalse(self.registry.has_list)
