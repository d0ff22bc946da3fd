"""The extent map in service: updated by its sources, asked by the core and the front, refreshed by extent."""

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
from lemonridge.extents.refresh import ExtentKey, RefreshBatch, RefreshQueue
from lemonridge.extents.routing import Limits, MapTrust, Redirect, Route, RouteAction, RouteDecision

log = logging.getLogger(__name__)

REFRESH_TIMEOUT_S = 0.5  # for the source's answer to one refresh
NEVER_TOO_OLD_US = 1 << 62  # as the time of confirmation of a map that stands in the operator's file
TIMER_SLACK_S = 0.0005  # the loop's clock may run a timer slightly before the time in whole microseconds

ExtentReader = Callable[[tuple[ExtentKey, ...]], Awaitable[list[Extent]]]


class MapWriter(Protocol):
    """Writes the map to disk for the next start."""

    def save_map(self, extent_map: ExtentMap) -> None:
        """Replaces the map on disk."""
        ...

    def save_change(self, change: Change) -> None:
        """Applies a change to the map on disk."""
        ...

    def close(self) -> None:
        """Writes what waits, and closes the files."""
        ...


class Router:
    """Owns the map and routes by it; implements the core's `Routes`.

    Args:
        limits: The operator's bounds.
        extents_max: A map with more extents is rejected.
        clock: The process's clock.
        registry: Which shards have an endpoint.
        counters: Counts what becomes of maps, changes, refreshes and redirects.

    Attributes:
        map: The map.
        trust: How far it can be relied on.
        read_extents: Reads single extents from the source; None where the source has no such call.
        map_writer: Writes the map to disk; None where it is not cached.
        on_resize: Called with the volumes whose sizes have changed.
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
        self._refreshes = RefreshQueue()
        self._refresh_waiters: dict[int, asyncio.Future[None]] = {}  # by the batch's number
        self._open_routes: dict[ExtentKey, dict[int, tuple[Route, Callable[[int], None]]]] = {}
        self._map_updates: dict[int, asyncio.Future[None]] = {}  # by the id() of a route that waits
        self._refresh_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    # Updates by the sources

    def replace_map(self, version: int, extents: Iterable[Extent], confirmed: bool = True) -> bool:
        """Replaces the map.

        Args:
            version: The new map's version.
            extents: All of its extents.
            confirmed: Whether the source has just sent it; False for a cached map.

        Returns:
            False where the new map is malformed; the present one stays in use.
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
        """Counts and logs a map that cannot be used."""
        self.counters["map.malformed"] += 1
        log.error("map rejected", extra={"version": version, "error": str(error)})

    def replace_map_from(self, version: int, builder: MapBuilder, confirmed: bool = True) -> bool:
        """Replaces the map by a builder's extents; otherwise like `replace_map`."""
        sizes = {volume: self.map.blocks(volume) for volume in self.map.volumes()}
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
        for key in list(self._open_routes):
            self._notify_routes(key)
        self._notify_resized(sizes)
        return True

    def apply_change(self, change: Change) -> ChangeResult:
        """Applies a change. After `GAP` or `BROKEN` the source must read the complete map again."""
        volumes = {extent.volume for extent in change.extents} | {volume for volume, _ in change.removed}
        sizes = {volume: self.map.blocks(volume) for volume in volumes}
        result, error = self.map.apply(change)
        self.counters[f"map.{result.value}"] += 1
        if result is ChangeResult.APPLIED:
            if self.map_writer is not None:
                self.map_writer.save_change(change)
            for extent in change.extents:
                self._notify_routes((extent.volume, extent.first))
            self._notify_resized(sizes)
        elif result is not ChangeResult.STALE:
            log.warning(
                "map change rejected",
                extra={"result": result.value, "version": change.version, "error": error},
            )
        return result

    def confirm(self, permanently: bool = False) -> None:
        """Records that the map is the source's newest.

        Args:
            permanently: The map has no source that could go silent; it never becomes too old.
        """
        self.trust.confirmed = True
        self.trust.confirmed_us = NEVER_TOO_OLD_US if permanently else self._clock.now_us()

    def trust_cached_map(self) -> None:
        """Lets a cached map serve reads, its age counted from now, but no writes."""
        self.trust.confirmed_us = self._clock.now_us()

    def _notify_resized(self, sizes_before: dict[int, int]) -> None:
        changed = [
            volume for volume, blocks in sizes_before.items() if blocks and self.map.blocks(volume) != blocks
        ]
        if changed:
            self.on_resize(changed)

    # Questions of the front

    def plan_routes(self, volume: int, first: int, length: int, writes: bool) -> list[Route]:
        """The routes of a command's pieces, in the order of their blocks.

        Raises:
            RouteError: The command cannot be routed now.
        """
        return routing.plan_routes(
            self.map, self.trust, self.limits, volume, first, length, writes, self._clock.now_us()
        )

    def shards_of_volume(self, volume: int, writes: bool) -> list[int]:
        """The shards of a command that concerns a whole volume.

        Raises:
            RouteError: The command cannot be routed now.
        """
        return routing.shards_of_volume(
            self.map, self.trust, self.limits, volume, writes, self._clock.now_us()
        )

    # Questions of the core (`Routes`)

    def open(self, request: Request, notify: Callable[[int], None]) -> None:
        """Follows a request's extent; `notify` gets the new shard while no attempt is in flight."""
        route = _route(request)
        self._open_routes.setdefault(_key(route), {})[id(route)] = (route, notify)

    def close(self, request: Request) -> None:
        """Ends what `open` began."""
        route = _route(request)
        routes = self._open_routes.get(_key(route), {})
        routes.pop(id(route), None)
        if not routes:
            self._open_routes.pop(_key(route), None)

    def current(self, request: Request) -> int:
        """The shard of the request's piece by the map as it is now."""
        route = _route(request)
        routing.follow_newer_map(self.map, route)
        return route.shard

    async def reroute(self, request: Request, reply: object) -> int | None:
        """The shard to continue at after a node's redirect; None rejects the request.

        Waits for refreshes; the caller cancels it at the request's deadline.
        """
        route = _route(request)
        redirect = reply if isinstance(reply, Redirect) else Redirect()
        self.counters["redirects"] += 1
        known_shards = self._registry.active_shards()
        decision = routing.on_redirect(self.map, self.limits, route, redirect, known_shards)
        while decision.action is RouteAction.REFRESH:
            decision = await self._decide_after_update(route, decision)
        if decision.action is RouteAction.REJECT:
            self._record_rejection(route, decision)
            return None
        self.counters["redirects.ahead"] += route.ahead_of_map
        return route.shard

    def _record_rejection(self, route: Route, decision: RouteDecision) -> None:
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
        """Waits for a refresh, or for a change of the extent if that is first, and decides again."""
        update = self._map_updates[id(route)] = asyncio.get_running_loop().create_future()
        try:
            if decision.pause_us:
                at = self._clock.loop_time(self._clock.now_us() + decision.pause_us)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(at):
                        await asyncio.shield(update)
            if not update.done() and (waiter := self._request_refresh(_key(route))) is not None:
                await asyncio.wait((waiter, update), return_when=asyncio.FIRST_COMPLETED)
        finally:
            del self._map_updates[id(route)]
        return routing.on_refresh(self.map, self.limits, route)

    def _notify_routes(self, key: ExtentKey) -> None:
        """Moves an extent's queued requests to its new shard; those that wait for an update decide again."""
        for route_id, (route, notify) in list(self._open_routes.get(key, {}).items()):
            update = self._map_updates.get(route_id)
            if update is not None:
                if not update.done():
                    update.set_result(None)
                continue
            shard = route.shard
            if routing.follow_newer_map(self.map, route) and route.shard != shard:
                self.counters["redirects.queued"] += 1
                notify(route.shard)

    # Refreshes

    def _request_refresh(self, key: ExtentKey) -> asyncio.Future[None] | None:
        """Ends with the first refresh of an extent that starts from now on, whether or not it succeeds.

        None where the source cannot refresh or too many extents wait.
        """
        number = self._refreshes.enqueue(key) if self.read_extents is not None else None
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
        """Starts the next refresh, now or when its interval is over."""
        start_us = self._refreshes.next_start_us()
        if start_us is None:
            return
        batch = self._refreshes.start_batch(self._clock.now_us())
        if batch is not None:
            self.counters["refreshes"] += 1
            self._refresh_task = asyncio.create_task(self._run_refresh(batch))
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._clock.loop_time(start_us) + TIMER_SLACK_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._start_refresh()

    async def _run_refresh(self, batch: RefreshBatch) -> None:
        succeeded = False
        try:
            assert self.read_extents is not None
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + REFRESH_TIMEOUT_S):
                extents = await self.read_extents(batch.keys)
            succeeded = True
            for extent in extents:
                if self.map.merge(extent):
                    self.counters["refreshes.news"] += 1
                    self._notify_routes((extent.volume, extent.first))
        except Exception as error:  # whatever fails, the refresh's waiters are answered
            self.counters["refreshes.failed"] += 1
            log.warning("refresh failed", extra={"error": f"{type(error).__name__}: {error}"})
        finally:
            number = self._refreshes.finish_batch(self._clock.now_us(), succeeded)
            waiter = self._refresh_waiters.pop(number, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
            self._start_refresh()

    def stop(self) -> None:
        """Cancels refreshes and closes the map on disk; the process ends."""
        if self._timer is not None:
            self._timer.cancel()
        if self._refresh_task is not None:
            self._refresh_task.cancel()
        if self.map_writer is not None:
            self.map_writer.close()


def _route(request: Request) -> Route:
    assert isinstance(request.route, Route)
    return request.route


def _key(route: Route) -> ExtentKey:
    return (route.piece.volume, route.piece.extent_first)
