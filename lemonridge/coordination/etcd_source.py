"""The endpoint list and the contracts from etcd.

Below the operators' prefix `nodes/NAME` holds an endpoint and `plans/NAME` the figures of a plan, each as a
JSON object with the keys of the operators' file; the extent map stands below `map/`
(`extents/etcd_source.py`). Each kind of keys is followed by itself, so that changes of endpoints never wait
for the pages of a big map.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random

import aiohttp
import orjson

from lemonridge.config.errors import ConfigError
from lemonridge.config.etcd import EtcdConfig
from lemonridge.config.operator_rows import endpoint_from_table, plan_from_table
from lemonridge.config.operator_schema import NodeTable, PlanTable, convert
from lemonridge.coordination.errors import CompactedError
from lemonridge.coordination.etcd_client import FAILURES, EtcdClient, Event
from lemonridge.coordination.etcd_follower import Feed, Follower, etcd_backoff
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointAddress, EndpointRegistry
from lemonridge.net.watch_stream import open_session
from lemonridge.scheduling.events import EndpointListUpdate, EndpointState
from lemonridge.scheduling.settings import Settings, VolumePlan

log = logging.getLogger(__name__)


def _log_ignored(event: Event, error: Exception, counters: Counters) -> None:
    counters["etcd.malformed"] += 1
    log.warning("etcd key ignored, its value is malformed", extra={"key": event.key, "error": str(error)})


class EndpointsFeed:
    """Feeds the endpoint registry with the keys `nodes/NAME`."""

    KIND = "nodes/"

    def __init__(self, registry: EndpointRegistry, counters: Counters) -> None:
        self._registry, self._counters = registry, counters
        self._endpoints: dict[str, EndpointAddress] = {}  # by name

    def begin_snapshot(self) -> None:
        """See `Feed`."""
        self._endpoints = {}

    def add_page(self, rows: Sequence[Event]) -> None:
        """See `Feed`."""
        for row in rows:
            self._apply(row)

    def finish_snapshot(self) -> None:
        """See `Feed`."""
        self._registry.update(EndpointListUpdate.SNAPSHOT, list(self._endpoints.values()))

    def apply_changes(self, events: Sequence[Event]) -> None:
        """See `Feed`."""
        changed = [endpoint for event in events if (endpoint := self._apply(event)) is not None]
        if changed:
            self._registry.update(EndpointListUpdate.DELTA, changed)

    async def run_during_watch(self, etcd: EtcdClient, http: aiohttp.ClientSession) -> None:
        """See `Feed`: nothing runs."""
        await asyncio.Event().wait()

    def _apply(self, event: Event) -> EndpointAddress | None:
        """Applies one key; returns what changed. A malformed value changes nothing: the last good one stands.

        Of a key that is deleted the endpoint is returned as removed.
        """
        name = event.key.removeprefix(self.KIND)
        if event.value is None:
            removed = self._endpoints.pop(name, None)
            if removed is None:
                return None
            return replace(removed, endpoint=replace(removed.endpoint, state=EndpointState.REMOVED))
        try:
            row = orjson.loads(event.value)
            if isinstance(row, dict):
                row["name"] = name
            endpoint = endpoint_from_table(convert(NodeTable, row, event.key), event.key)
        except (ConfigError, ValueError) as error:
            _log_ignored(event, error, self._counters)
            return None
        self._endpoints[name] = endpoint
        return endpoint


class PlansFeed:
    """Keeps the contracts, the keys `plans/NAME`. A plan whose key is deleted stays as it was.

    Where the fleet agrees on a policy the plans are proposals, given to `on_change`. Elsewhere the scheduler
    gets them once, at the start, and a later change counts from the next start on.
    """

    KIND = "plans/"

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self.plans: dict[str, VolumePlan] = {}  # by name
        self.on_change: Callable[[dict[str, VolumePlan]], None] | None = None

    def begin_snapshot(self) -> None:
        """See `Feed`: the plans stay."""

    def add_page(self, rows: Sequence[Event]) -> None:
        """See `Feed`."""
        self.apply_changes(rows)

    def finish_snapshot(self) -> None:
        """See `Feed`: nothing is left to do."""

    def apply_changes(self, events: Sequence[Event]) -> None:
        """See `Feed`."""
        for event in events:
            name = event.key.removeprefix(self.KIND)
            if event.value is None:
                continue
            try:
                plan = plan_from_table(convert(PlanTable, orjson.loads(event.value), event.key))
            except (ConfigError, ValueError) as error:
                _log_ignored(event, error, self._counters)
                continue
            if self.on_change is not None:
                self.plans[name] = plan
            elif self.plans.setdefault(name, plan) != plan:
                log.warning("plan changed in etcd, in force from the next start on", extra={"plan": name})
        if self.on_change is not None:
            self.on_change(self.plans)

    async def run_during_watch(self, etcd: EtcdClient, http: aiohttp.ClientSession) -> None:
        """See `Feed`: nothing runs."""
        await asyncio.Event().wait()


class EtcdSource:
    """Everything that is followed at one endpoint; `page_size` is in keys."""

    def __init__(self, etcd: EtcdConfig, random: Random, counters: Counters, page_size: int) -> None:
        self.client = EtcdClient(etcd, counters, page_size)
        self._random, self._counters = random, counters
        self._plans, self._plans_revision = PlansFeed(counters), 0
        self._backoff = etcd_backoff(random, counters)

    async def contracts(self, names: tuple[str, ...], settings: Settings) -> Settings:
        """The settings with the plans that etcd holds at the start; waits until it answers."""
        async with open_session() as http:
            while True:
                try:
                    self._plans_revision = await self.client.range(http, PlansFeed.KIND, self._plans.add_page)
                    break
                except (CompactedError, *FAILURES) as error:
                    await self._backoff.wait_after(error)
        plans = tuple(
            self._plans.plans.get(name, plan) for name, plan in zip(names, settings.plans, strict=True)
        )
        return replace(settings, plans=plans)

    def follow(self, on_change: Callable[[dict[str, VolumePlan]], None]) -> None:
        """Gives the plans to `on_change` now, and at each change."""
        self._plans.on_change = on_change
        on_change(self._plans.plans)

    async def run(self, feeds: dict[str, Feed]) -> None:
        """Follows the plans, and each kind of keys that there is a feed for; never returns."""
        async with asyncio.TaskGroup() as group:
            for kind, feed in feeds.items():
                group.create_task(self._follower(kind, feed).run())
            group.create_task(self._follower(PlansFeed.KIND, self._plans).run(self._plans_revision))

    def _follower(self, kind: str, feed: Feed) -> Follower:
        return Follower(self.client, kind, feed, self._random, self._counters)
