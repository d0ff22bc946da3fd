"""Keeps the extent map up to date and routes requests by it.

The map's sources replace and change the map, the iSCSI front and the core look up shards in it, and single
extents are refreshed from the source after redirects.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.core.model import Request
from lemonridge.extents import routing
from lemonridge.extents.errors import MapError
from lemonridge.extents.extent_map import Change, ChangeResult, Extent, ExtentMap, MapBuilder
from lemonridge.extents.redirected_writes import RedirectedWrites
from lemonridge.extents.refresh import ExtentKey, RefreshBatch, RefreshQueue
from lemonridge.extents.routing import Limits, MapTrust, Redirect, Route, RouteAction, RouteDecision

log = logging.getLogger(__name__)

REFRESH_TIMEOUT_S = 0.5  # for the source to answer one refresh
# The confirmation time of a map in the operator's file, which has no source and never becomes too old.
PERMANENT_CONFIRMATION_US = 1 << 62
TIMER_SLACK_S = 0.0005  # the event loop may run a timer slightly before its time in whole microseconds

ExtentReader = Callable[[tuple[ExtentKey, ...]], Awaitable[list[Extent]]]


class MapWriter(Protocol):
    """Writes the map to disk, for the next start of the broker."""

    def save_map(self, extent_map: ExtentMap) -> None:
        """Replaces the map on disk."""
        ...

    def save_change(self, change: Change) -> None:
        """Applies a change to the map on disk."""
        ...

    def close(self) -> None:
        """Writes the pending changes and closes the files."""
        ...


class Router:
    """Owns the extent map and routes requests by it; implements the core's `Routes`.

    Args:
        limits: The operator's limits.
        extents_max: The maximum number of extents; a map with more extents is rejected.
        clock: The process's clock.
        registry: Provides the shards that have an endpoint.
        counters: Counts the results of map updates, refreshes and redirects.

    Attributes:
        limits: The operator's limits.
        counters: The counters.
        map: The extent map.
        trust: Whether and when the source has confirmed the map.
        read_extents: Reads single extents from the source; None if the source cannot do so.
        map_writer: Writes the map to disk; None if the map is not cached.
        on_resize: Called with the numbers of the volumes whose sizes have changed.
    """

    def __init__(
        self, limits: Limits, extents_max: int, clock: Clock, registry: EndpointRegistry, counters: Counters
    ) -> None:
        self.limits, self.counters = limits, counters
        self.map, self.trust = ExtentMap(extents_max), MapTrust()
        self.read_extents: ExtentReader | None = None
        self.map_writer: MapWriter | None = None
        self.on_resize: Callable[[list[int]], None] = lambda volumes: None
        self._clock, self._registry = clock, registry
        self._redirected_writes = RedirectedWrites()
        self._refresh_queue = RefreshQueue()
        self._refresh_waiters: dict[int, asyncio.Future[None]] = {}  # by batch number
        self._open_routes: dict[ExtentKey, dict[int, tuple[Route, Callable[[int], None]]]] = {}
        self._update_waiters: dict[int, asyncio.Future[None]] = {}  # by the id() of the waiting route
        self._refresh_task: asyncio.Task[None] | None = None
        self._refresh_timer: asyncio.TimerHandle | None = None

    # Updates from the map's sources

    def replace_map(self, version: int, extents: Iterable[Extent], confirmed: bool = True) -> bool:
        """Replaces the whole map.

        Args:
            version: The new map's version.
            extents: All extents of the new map.
            confirmed: Whether the map has just been read from its source; False for a cached map.

        Returns:
            False if the new map is malformed; the present map stays in use.
        """
        builder = self.map.builder()
        try:
            for extent in extents:
                builder.add(extent)
        except MapError as error:
            self.reject_map(version, error)
            return False
        return self.replace_map_from(version, builder, confirmed)

    def reject_map(self, version: int, error: Exception) -> None:
        """Counts and logs a map that is rejected as malformed."""
        self.counters["map.malformed"] += 1
        log.error("map rejected", extra={"version": version, "error": str(error)})

    def replace_map_from(self, version: int, builder: MapBuilder, confirmed: bool = True) -> bool:
        """Replaces the whole map by the extents of a builder; otherwise like `replace_map`."""
        sizes_before = {volume: self.map.blocks(volume) for volume in self.map.volumes()}
        try:
            self.map.replace_from(version, builder)
        except MapError as error:
            self.reject_map(version, error)
            return False
        self.counters["map.whole"] += 1
        log.info("map replaced", extra={"version": version, "extents": len(self.map)})
        if confirmed:
            self.confirm()
            if self.map_writer is not None:
                self.map_writer.save_map(self.map)
        self._redirected_writes.discard_all_reached(self.map)
        for key in list(self._open_routes):
            self._notify_routes(key)
        self._notify_resized(sizes_before)
        return True

    def apply_change(self, change: Change) -> ChangeResult:
        """Applies a change.

        Returns:
            The result. After `GAP` or `BROKEN` the caller must read the complete map again.
        """
        volumes = {extent.volume for extent in change.extents} | {volume for volume, _ in change.removed}
        sizes_before = {volume: self.map.blocks(volume) for volume in volumes}
        result, reason = self.map.apply(change)
        self.counters[f"map.{result.value}"] += 1
        if result is ChangeResult.APPLIED:
            if self.map_writer is not None:
                self.map_writer.save_change(change)
            for key in change.removed:
                self._redirected_writes.discard_reached(self.map, key)
            for extent in change.extents:
                self._on_extent_changed((extent.volume, extent.first))
            self._notify_resized(sizes_before)
        elif result is not ChangeResult.STALE:
            log.warning(
                "map change rejected",
                extra={"result": result.value, "version": change.version, "error": reason},
            )
        return result

    def confirm(self, permanently: bool = False) -> None:
        """Records that the map is the newest one of its source.

        Args:
            permanently: Whether the map never becomes too old, because no source has to confirm it.
        """
        self.trust.confirmed = True
        self.trust.confirmed_us = PERMANENT_CONFIRMATION_US if permanently else self._clock.now_us()

    def trust_cached_map(self) -> None:
        """Allows reads, but no writes, by a cached map.

        The map counts as confirmed now for the age limit of reads; writes wait for the source's confirmation.
        """
        self.trust.confirmed_us = self._clock.now_us()

    def _notify_resized(self, sizes_before: dict[int, int]) -> None:
        """Calls `on_resize` with the volumes whose sizes have changed; a volume that is new does not count.

        Args:
            sizes_before: The previous size of each volume in blocks; 0 if it was not in the map.
        """
        changed = [
            volume for volume, blocks in sizes_before.items() if blocks and self.map.blocks(volume) != blocks
        ]
        if changed:
            self.on_resize(changed)

    # Lookups by the iSCSI front

    def plan_routes(self, volume: int, first: int, length: int, writes: bool) -> list[Route]:
        """Returns the routes of a command's pieces, in the order of their blocks.

        Args:
            volume: The LUN.
            first: The command's first block.
            length: The command's number of blocks.
            writes: Whether the command writes.

        Raises:
            RouteError: The command cannot be routed now.
        """
        return routing.plan_routes(
            self.map, self.trust, self.limits, volume, first, length, writes, self._clock.now_us()
        )

    def shards_of_volume(self, volume: int, writes: bool) -> list[int]:
        """Returns the shards of a command that applies to a whole volume, in ascending order.

        Raises:
            RouteError: The command cannot be routed now.
        """
        return routing.shards_of_volume(
            self.map,
            self.trust,
            self.limits,
            volume,
            writes,
            self._clock.now_us(),
            self._redirected_writes.shards(volume),
        )

    # The core's `Routes` protocol

    def open(self, request: Request, notify: Callable[[int], None]) -> None:
        """Starts to follow the extent of a request's piece.

        Args:
            request: The request.
            notify: Called with the new shard if the extent moves while no attempt is in flight.
        """
        route = _route_of(request)
        self._open_routes.setdefault(_extent_key(route), {})[id(route)] = (route, notify)

    def close(self, request: Request) -> None:
        """Stops following the extent of a request's piece."""
        route = _route_of(request)
        routes = self._open_routes.get(_extent_key(route), {})
        routes.pop(id(route), None)
        if not routes:
            self._open_routes.pop(_extent_key(route), None)

    def on_served(self, request: Request) -> None:
        """Records the shard that served a write, if the map does not name it for the write's extent."""
        route = _route_of(request)
        if route.writes and route.ahead_of_map:
            self._redirected_writes.record(route.piece)
            self._redirected_writes.discard_reached(self.map, _extent_key(route))

    def current(self, request: Request) -> int:
        """Returns the present shard of a request's piece, as far as the map knows it."""
        route = _route_of(request)
        routing.follow_newer_map(self.map, route)
        return route.shard

    async def reroute(self, request: Request, reply: object) -> int | None:
        """Returns the shard for the next attempt after a node's redirect.

        Waits for refreshes if the redirect alone does not determine the shard; the caller cancels the wait at
        the request's deadline.

        Args:
            request: The request.
            reply: The node's `Redirect`; anything else counts as a redirect without a version and a shard.

        Returns:
            The shard, or None if the request is to be rejected.
        """
        route = _route_of(request)
        redirect = reply if isinstance(reply, Redirect) else Redirect()
        self.counters["redirects"] += 1
        known_shards = self._registry.active_shards()
        ahead_of_map_allowed = not (route.writes and self._redirected_writes.is_full)
        decision = routing.on_redirect(
            self.map, self.limits, route, redirect, known_shards, ahead_of_map_allowed
        )
        while decision.action is RouteAction.REFRESH:
            decision = await self._decide_after_update(route, decision)
        if decision.action is RouteAction.REJECT:
            self._record_rejection(route, decision)
            return None
        self.counters["redirects.ahead"] += route.ahead_of_map
        return route.shard

    def _record_rejection(self, route: Route, decision: RouteDecision) -> None:
        """Counts and logs the rejection of a route."""
        assert decision.reason is not None
        self.counters[f"routes.{decision.reason.value}"] += 1
        log.info(
            "route rejected",
            extra={
                "volume": route.piece.volume,
                "block": route.piece.first,
                "reason": decision.reason.value,
                "version": route.piece.version,
                "redirects": route.redirects,
            },
        )

    async def _decide_after_update(self, route: Route, decision: RouteDecision) -> RouteDecision:
        """Waits for a refresh of the route's extent or for a change to it, then decides again."""
        update = self._update_waiters[id(route)] = asyncio.get_running_loop().create_future()
        try:
            if decision.pause_us:
                pause_end = self._clock.loop_time(self._clock.now_us() + decision.pause_us)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(pause_end):
                        await asyncio.shield(update)
            if not update.done() and (waiter := self._request_refresh(_extent_key(route))) is not None:
                await asyncio.wait((waiter, update), return_when=asyncio.FIRST_COMPLETED)
        finally:
            del self._update_waiters[id(route)]
        return routing.on_refresh(self.map, self.limits, route)

    def _on_extent_changed(self, key: ExtentKey) -> None:
        """Updates what depends on the map's version of an extent."""
        self._redirected_writes.discard_reached(self.map, key)
        self._notify_routes(key)

    def _notify_routes(self, key: ExtentKey) -> None:
        """Updates the open routes of an extent after a change.

        A route that waits for an update is woken, to decide again. Any other route moves to the extent's new
        shard, unless an attempt is in flight.
        """
        for route_id, (route, notify) in list(self._open_routes.get(key, {}).items()):
            update = self._update_waiters.get(route_id)
            if update is not None:
                if not update.done():
                    update.set_result(None)
                continue
            previous_shard = route.shard
            if routing.follow_newer_map(self.map, route) and route.shard != previous_shard:
                self.counters["redirects.queued"] += 1
                notify(route.shard)

    # Refreshes

    def _request_refresh(self, key: ExtentKey) -> asyncio.Future[None] | None:
        """Requests a refresh of an extent.

        Returns:
            A future that completes when the first refresh of the extent that starts from now on has ended,
            whether or not it succeeded; None if the source cannot refresh or too many extents are waiting.
        """
        number = self._refresh_queue.enqueue(key) if self.read_extents is not None else None
        if number is None:
            self.counters["refreshes.none"] += 1
            return None
        waiter = self._refresh_waiters.get(number)
        if waiter is None:
            waiter = self._refresh_waiters[number] = asyncio.get_running_loop().create_future()
        self.counters["refreshes.wanted"] += 1
        self._start_refresh()
        return waiter

    def _start_refresh(self) -> None:
        """Starts the next refresh now, or sets a timer for the end of the interval between refreshes."""
        start_us = self._refresh_queue.next_start_us()
        if start_us is None:
            return
        batch = self._refresh_queue.start_batch(self._clock.now_us())
        if batch is not None:
            self.counters["refreshes"] += 1
            self._refresh_task = asyncio.create_task(self._run_refresh(batch))
        elif self._refresh_timer is None:
            loop = asyncio.get_running_loop()
            self._refresh_timer = loop.call_at(
                self._clock.loop_time(start_us) + TIMER_SLACK_S, self._on_refresh_timer
            )

    def _on_refresh_timer(self) -> None:
        self._refresh_timer = None
        self._start_refresh()

    async def _run_refresh(self, batch: RefreshBatch) -> None:
        """Reads a batch of extents from the source, merges them into the map and completes the waiters."""
        succeeded = False
        try:
            assert self.read_extents is not None
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + REFRESH_TIMEOUT_S):
                extents = await self.read_extents(batch.keys)
            succeeded = True
            for extent in extents:
                if self.map.merge(extent):
                    self.counters["refreshes.news"] += 1
                    self._on_extent_changed((extent.volume, extent.first))
        except Exception as error:  # no error of the source may stop later refreshes
            self.counters["refreshes.failed"] += 1
            log.warning("refresh failed", extra={"error": f"{type(error).__name__}: {error}"})
        finally:
            number = self._refresh_queue.finish_batch(self._clock.now_us(), succeeded)
            waiter = self._refresh_waiters.pop(number, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
            self._start_refresh()

    def stop(self) -> None:
        """Cancels refreshes and closes the map on disk; called when the process ends."""
        if self._refresh_timer is not None:
            self._refresh_timer.cancel()
        if self._refresh_task is not None:
            self._refresh_task.cancel()
        if self.map_writer is not None:
            self.map_writer.close()


def _route_of(request: Request) -> Route:
    assert isinstance(request.route, Route)
    return request.route


def _extent_key(route: Route) -> ExtentKey:
    return (route.piece.volume, route.piece.extent_first)
