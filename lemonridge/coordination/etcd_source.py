"""The endpoint list and the contracts, which are the plans of volumes, from etcd.

Below the operators' prefix, the key `nodes/NAME` holds an endpoint and `plans/NAME` the values of a plan,
each as a JSON object with the keys of the operators' file. The extent map is below `map/`
(`extents/etcd_source.py`). Each kind of keys is followed separately, so that changes of endpoints do not wait
for the pages of a large map.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random

import orjson

from lemonridge.config.errors import ConfigError
from lemonridge.config.etcd import EtcdConfig
from lemonridge.config.operator_rows import endpoint_from_table, plan_from_table
from lemonridge.config.operator_schema import NodeTable, PlanTable, convert
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointAddress, EndpointRegistry
from lemonridge.etcd.client import EtcdClient
from lemonridge.etcd.events import Event
from lemonridge.etcd.follower import Confirm, Feed, Follower
from lemonridge.scheduling.events import EndpointListUpdate, EndpointState
from lemonridge.scheduling.settings import Settings, VolumePlan

log = logging.getLogger(__name__)


def _log_malformed_value(event: Event, error: Exception, counters: Counters) -> None:
    counters["etcd.malformed"] += 1
    log.warning("etcd key ignored, its value is malformed", extra={"key": event.key, "error": str(error)})


class EndpointsFeed:
    """Updates the endpoint registry from the keys `nodes/NAME`."""

    KIND = "nodes/"
    confirm: Confirm | None = None  # endpoints and plans have no version of their own

    def __init__(self, registry: EndpointRegistry, counters: Counters) -> None:
        self._registry, self._counters = registry, counters
        self._endpoints: dict[str, EndpointAddress] = {}  # by name

    def begin_snapshot(self) -> None:
        """See `Feed`."""
        self._endpoints = {}

    def add_page(self, rows: Sequence[Event]) -> None:
        """See `Feed`."""
        for event in rows:
            self._apply(event)

    def finish_snapshot(self) -> None:
        """See `Feed`."""
        self._registry.update(EndpointListUpdate.SNAPSHOT, list(self._endpoints.values()))

    def apply_changes(self, events: Sequence[Event]) -> None:
        """See `Feed`."""
        changed = [endpoint for event in events if (endpoint := self._apply(event)) is not None]
        if changed:
            self._registry.update(EndpointListUpdate.DELTA, changed)

    def _apply(self, event: Event) -> EndpointAddress | None:
        """Applies one key.

        Returns:
            The changed endpoint, in the state REMOVED if its key was deleted. None if nothing changed: a
            malformed value is ignored, and the last valid one stays in use.
        """
        name = event.key.removeprefix(self.KIND)
        if event.value is None:
            removed = self._endpoints.pop(name, None)
            if removed is None:
                return None
            return replace(removed, endpoint=replace(removed.endpoint, state=EndpointState.REMOVED))
        try:
            table = orjson.loads(event.value)
            if isinstance(table, dict):
                table["name"] = name
            endpoint = endpoint_from_table(convert(NodeTable, table, event.key), event.key)
        except (ConfigError, ValueError) as error:
            _log_malformed_value(event, error, self._counters)
            return None
        self._endpoints[name] = endpoint
        return endpoint


class PlansFeed:
    """Keeps the plans, from the keys `plans/NAME`. A plan whose key is deleted stays unchanged.

    In a fleet with an agreed policy the plans are proposals, which are passed to `on_change`. Otherwise the
    scheduler gets them once, at the start, and a later change takes effect at the next start.

    Attributes:
        plans: The plans, by name.
        on_change: Called with all plans after each change; None without an agreed policy.
    """

    KIND = "plans/"
    confirm: Confirm | None = None  # endpoints and plans have no version of their own

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self.plans: dict[str, VolumePlan] = {}
        self.on_change: Callable[[dict[str, VolumePlan]], None] | None = None

    def begin_snapshot(self) -> None:
        """See `Feed`. The known plans stay."""

    def add_page(self, rows: Sequence[Event]) -> None:
        """See `Feed`."""
        self.apply_changes(rows)

    def finish_snapshot(self) -> None:
        """See `Feed`. The pages are applied already."""

    def apply_changes(self, events: Sequence[Event]) -> None:
        """See `Feed`."""
        for event in events:
            name = event.key.removeprefix(self.KIND)
            if event.value is None:
                continue
            try:
                plan = plan_from_table(convert(PlanTable, orjson.loads(event.value), event.key))
            except (ConfigError, ValueError) as error:
                _log_malformed_value(event, error, self._counters)
                continue
            if self.on_change is not None:
                self.plans[name] = plan
            elif self.plans.setdefault(name, plan) != plan:
                log.warning("plan changed in etcd, takes effect at the next start", extra={"plan": name})
        if self.on_change is not None:
            self.on_change(self.plans)


class EtcdSource:
    """Follows the plans and other kinds of keys at one etcd endpoint; `page_size` is in keys."""

    def __init__(self, etcd: EtcdConfig, random: Random, counters: Counters, page_size: int) -> None:
        self.client = EtcdClient(etcd, counters, page_size)
        self._random, self._counters = random, counters
        self._plans = PlansFeed(counters)
        self._plans_follower = self._follower(PlansFeed.KIND, self._plans)

    async def apply_contracts(self, names: tuple[str, ...], settings: Settings) -> Settings:
        """Returns the settings with the plans that etcd has at the start; waits until etcd answers.

        `names` are the names of the settings' plans, in order.
        """
        await self._plans_follower.load()
        plans = tuple(
            self._plans.plans.get(name, plan) for name, plan in zip(names, settings.plans, strict=True)
        )
        return replace(settings, plans=plans)

    def subscribe_to_plans(self, on_change: Callable[[dict[str, VolumePlan]], None]) -> None:
        """Calls `on_change` with all plans now and after each change."""
        self._plans.on_change = on_change
        on_change(self._plans.plans)

    async def run(self, feeds: dict[str, Feed]) -> None:
        """Follows the plans and the kinds of keys in `feeds`. Never returns."""
        async with asyncio.TaskGroup() as group:
            for kind, feed in feeds.items():
                group.create_task(self._follower(kind, feed).run())
            group.create_task(self._plans_follower.run())

    def _follower(self, kind: str, feed: Feed) -> Follower:
        return Follower(self.client, kind, feed, self._random, self._counters)
