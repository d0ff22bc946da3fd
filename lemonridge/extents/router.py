"""The map in service: the sources feed it, the core asks it, and refreshes go out one at a time."""

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

REFRESH_S = 0.5  # for the source's answer to one refresh
FOREVER_US = 1 << 62

Reader = Callable[[tuple[ExtentKey, ...]], Awaitable[list[Extent]]]


class Keeper(Protocol):
    """Keeps the map where a start finds it."""

    def whole(self, held: ExtentMap) -> None: ...

    def change(self, change: Change) -> None: ...

    def close(self) -> None: ...


class Router:
    """Holds the map, and answers where data lies; it is the `Routes` of the core."""

    def __init__(
        self, limits: Limits, extents_max: int, clock: Clock, directory: EndpointRegistry, counters: Counters
    ) -> None:
        self.limits, self.counters = limits, counters
        self.map, self.trust = ExtentMap(extents_max), MapTrust()
        self.read: Reader | None = None  # how the source is asked about single extents
        self.keeper: Keeper | None = None
        self.resized: Callable[[list[int]], None] = lambda volumes: None  # whose sizes have changed
        self._clock, self._directory = clock, directory
        self._refreshes = RefreshQueue()
        self._waiters: dict[int, asyncio.Future[None]] = {}
        self._open: dict[ExtentKey, dict[int, tuple[Route, Callable[[int], None]]]] = {}
        self._news: dict[int, asyncio.Future[None]] = {}  # of the routes that wait, by their identity
        self._running: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    # What the sources tell

    def whole(self, version: int, extents: Iterable[Extent], confirmed: bool = True) -> bool:
        """Take a whole map; a malformed one is left out and what is held stays."""
        builder = self.map.builder()
        try:
            for extent in extents:
                builder.add(extent)
        except MapError as error:
            self.refused(version, error)
            return False
        return self.take(version, builder, confirmed)

    def refused(self, version: int, error: Exception) -> None:
        """A whole map that no one can use."""
        self.counters["map.malformed"] += 1
        log.error("map refused", extra={"version": version, "error": str(error)})

    def take(self, version: int, builder: MapBuilder, confirmed: bool = True) -> bool:
        """The same from a builder."""
        sizes = {volume: self.map.blocks(volume) for volume in self.map.volumes()}
        try:
            self.map.replace_from(version, builder)
        except MapError as error:
            self.refused(version, error)
            return False
        self.counters["map.whole"] += 1
        log.info("map taken", extra={"version": version, "extents": len(self.map)})
        if confirmed:
            self.confirm()
            if self.keeper is not None:
                self.keeper.whole(self.map)
        for key in list(self._open):
            self._tell(key)
        self._sizes(sizes)
        return True

    def _sizes(self, before: dict[int, int]) -> None:
        changed = [
            volume for volume, blocks in before.items() if blocks and self.map.blocks(volume) != blocks
        ]
        if changed:
            self.resized(changed)

    def change(self, change: Change) -> ChangeResult:
        """Take a change. After a gap, or one that does not fit, the source must bring the whole map."""
        touched = {extent.volume for extent in change.extents} | {volume for volume, _ in change.removed}
        sizes = {volume: self.map.blocks(volume) for volume in touched}
        fit, why = self.map.apply(change)
        self.counters[f"map.{fit.value}"] += 1
        if fit is ChangeResult.APPLIED:
            if self.keeper is not None:
                self.keeper.change(change)
            for extent in change.extents:
                self._tell((extent.volume, extent.first))
            self._sizes(sizes)
        elif fit is not ChangeResult.STALE:
            log.warning("change refused", extra={"fit": fit.value, "version": change.version, "error": why})
        return fit

    def confirm(self, for_ever: bool = False) -> None:
        """The source has just said that the map is the newest."""
        self.trust.confirmed = True
        self.trust.confirmed_us = FOREVER_US if for_ever else self._clock.now_us()

    def trust_kept(self) -> None:
        """A kept map serves reads, as old as if it had been confirmed at this moment, and no writes."""
        self.trust.confirmed_us = self._clock.now_us()

    # What the front asks

    def plan_routes(self, volume: int, first: int, length: int, writes: bool) -> list[Route]:
        """The routes of a command's pieces; RouteError where it cannot be begun now."""
        return routing.plan_routes(
            self.map, self.trust, self.limits, volume, first, length, writes, self._clock.now_us()
        )

    def shards_of_volume(self, volume: int, writes: bool) -> list[int]:
        """The shards of a command for the whole volume; RouteError as above."""
        return routing.shards_of_volume(
            self.map, self.trust, self.limits, volume, writes, self._clock.now_us()
        )

    # What the core asks

    def open(self, request: Request, told: Callable[[int], None]) -> None:
        route = _route(request)
        self._open.setdefault((route.piece.volume, route.piece.extent), {})[id(route)] = (route, told)

    def close(self, request: Request) -> None:
        route = _route(request)
        key = (route.piece.volume, route.piece.extent)
        waiting = self._open.get(key, {})
        waiting.pop(id(route), None)
        if not waiting:
            self._open.pop(key, None)

    def current(self, request: Request) -> int:
        route = _route(request)
        routing.follow_newer_map(self.map, route)
        return route.shard

    async def reroute(self, request: Request, reply: object) -> int | None:
        route = _route(request)
        told = reply if isinstance(reply, Redirect) else Redirect()
        self.counters["redirects"] += 1
        decision = routing.on_redirect(self.map, self.limits, route, told, self._directory.active_shards())
        while decision.action is RouteAction.REFRESH:
            decision = await self._await_news(route, decision)
        if decision.action is RouteAction.REJECT:
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
            return None
        self.counters["redirects.ahead"] += route.ahead_of_map
        return route.shard

    async def _await_news(self, route: Route, decision: RouteDecision) -> RouteDecision:
        """Wait for a refresh, or for the watch to bring the change first, and look again."""
        news = self._news[id(route)] = asyncio.get_running_loop().create_future()
        key = (route.piece.volume, route.piece.extent)
        try:
            if decision.pause_us:
                at = self._clock.loop_time(self._clock.now_us() + decision.pause_us)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(at):
                        await asyncio.shield(news)
            if not news.done() and (waiter := self._refresh(key)) is not None:
                await asyncio.wait((waiter, news), return_when=asyncio.FIRST_COMPLETED)
        finally:
            del self._news[id(route)]
        return routing.on_refresh(self.map, self.limits, route)

    def _tell(self, key: ExtentKey) -> None:
        """Requests that wait for an extent's old shard go on at its new one at once, and those that wait for
        news of it look again.
        """
        for ident, (route, told) in list(self._open.get(key, {}).items()):
            news = self._news.get(ident)
            if news is not None:
                if not news.done():
                    news.set_result(None)
                continue
            shard = route.shard
            if routing.follow_newer_map(self.map, route) and route.shard != shard:
                self.counters["redirects.queued"] += 1
                told(route.shard)

    # Refreshes

    def _refresh(self, key: ExtentKey) -> asyncio.Future[None] | None:
        """Ends with the first refresh of an extent that begins from now on, good or not; None if there is
        none to be had.
        """
        number = self._refreshes.enqueue(key) if self.read is not None else None
        if number is None:
            self.counters["refreshes.none"] += 1
            return None
        waiter = self._waiters.get(number)
        if waiter is None:
            waiter = self._waiters[number] = asyncio.get_running_loop().create_future()
        self.counters["refreshes.wanted"] += 1
        self._pump()
        return waiter

    def _pump(self) -> None:
        """Begin the next refresh, now or when its pause is over."""
        at = self._refreshes.next_start_us()
        if at is None:
            return
        batch = self._refreshes.start_batch(self._clock.now_us())
        if batch is not None:
            self.counters["refreshes"] += 1
            self._running = asyncio.create_task(self._run(batch))
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._clock.loop_time(at) + 0.0005, self._again)

    def _again(self) -> None:
        self._timer = None
        self._pump()

    async def _run(self, batch: RefreshBatch) -> None:
        good = False
        try:
            assert self.read is not None
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + REFRESH_S):
                extents = await self.read(batch.keys)
            good = True
            for extent in extents:
                if self.map.merge(extent):
                    self.counters["refreshes.news"] += 1
                    self._tell((extent.volume, extent.first))
        except Exception as error:  # whatever breaks a refresh, its waiters go on
            self.counters["refreshes.failed"] += 1
            log.warning("refresh failed", extra={"error": f"{type(error).__name__}: {error}"})
        finally:
            number = self._refreshes.finish_batch(self._clock.now_us(), good)
            waiter = self._waiters.pop(number, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
            self._pump()

    def stop(self) -> None:
        """The program ends."""
        if self._timer is not None:
            self._timer.cancel()
        if self._running is not None:
            self._running.cancel()
        if self.keeper is not None:
            self.keeper.close()


def _route(request: Request) -> Route:
    assert isinstance(request.route, Route)
    return request.route
