"""The node list as this broker has last been told it: who may get new work, and at which address."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Protocol

from lemonridge.core.start_times import NEWS_LATE_US, StartTime, StartTimes
from lemonridge.operate.maintenance import Maintenance, ReturnedToService
from lemonridge.scheduling.events import Endpoint, EndpointListUpdate, EndpointsChanged, EndpointState, Event

log = logging.getLogger(__name__)

LOGGED_MAX = 256  # nodes of one list that get a log line each


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """One line of the list with the address to dial."""

    entry: Endpoint
    address: str


class EventSink(Protocol):
    """Takes events; the decider does."""

    def deliver(self, event: Event) -> None: ...


class EndpointRegistry:
    """The map from node to address, kept in step with what the decisions are told.

    Here alone discovery's news and the operators' bans come together: everyone behind it sees one condition.
    """

    def __init__(self, sink: EventSink, now_us: Callable[[], int], wall_us: Callable[[], int]) -> None:
        """`now_us` is the broker's clock, `wall_us` the machine's wall clock."""
        self._sink, self._now_us, self._wall_us = sink, now_us, wall_us
        self._starts = StartTimes()
        self._heard_us: int | None = None  # when the source last answered, if it says so
        self._late_us = NEWS_LATE_US  # how late what it tells now may be
        self._told: dict[str, EndpointAddress] = {}  # as discovery says
        self._endpoints: dict[str, EndpointAddress] = {}  # with the bans laid over it
        self._maintenance = Maintenance()
        self.listed = False
        self.fresh = asyncio.Event()  # once discovery itself has told

    def heard(self) -> None:
        """The source has answered, with news or without. What is told now may have waited since the answer
        before, beside the time that news may take.
        """
        now_us = self._now_us()
        silent_us = 0 if self._heard_us is None else now_us - self._heard_us
        self._heard_us, self._late_us = now_us, NEWS_LATE_US + silent_us

    def take(self, kind: EndpointListUpdate, listings: list[EndpointAddress]) -> None:
        """Apply a change, or a whole list: a node that it does not name is gone."""
        before = self._told
        if kind is not EndpointListUpdate.DELTA:
            self._told, self._endpoints = {}, {}
        news = [one for one in listings if before.get(one.entry.endpoint_id) != one]
        for listing in listings:
            if listing.entry.condition is EndpointState.REMOVED:
                self._told.pop(listing.entry.endpoint_id, None)
            else:
                self._told[listing.entry.endpoint_id] = listing
        for listing in news[:LOGGED_MAX]:
            entry = listing.entry
            log.info(
                "listed",
                extra={
                    "node": entry.endpoint_id,
                    "condition": entry.condition.value,
                    "shard": entry.shard,
                    "started_us": entry.started_us,
                    "address": listing.address,
                },
            )
        if len(news) > LOGGED_MAX:
            log.info("listed", extra={"further": len(news) - LOGGED_MAX, "nodes": len(self._told)})
        first = kind is not EndpointListUpdate.DELTA and not self.fresh.is_set()
        listings = [self._placed(one, None if first else self._late_us) for one in listings]
        self._starts.prune(self._told)
        self._maintenance.prune(self._told)
        if kind is not EndpointListUpdate.CACHED:
            self.fresh.set()
        self.listed = (
            self.listed or bool(listings) or kind is EndpointListUpdate.SNAPSHOT
        )  # also an empty one is news
        self._tell(kind, listings)

    def _placed(self, listing: EndpointAddress, late_us: int | None) -> EndpointAddress:
        """A line with its start on the broker's own clock; see `StartTimes.place`."""
        entry = listing.entry
        started_us = self._starts.place(
            entry.endpoint_id, entry.started_us, self._now_us(), self._wall_us(), late_us
        )
        return EndpointAddress(replace(entry, started_us=started_us), listing.address)

    def _tell(self, kind: EndpointListUpdate, listings: list[EndpointAddress]) -> None:
        """Lay the bans over these lines, and pass them on."""
        lines = [EndpointAddress(self._maintenance.over(one.entry), one.address) for one in listings]
        for line in lines:
            if line.entry.condition is EndpointState.REMOVED:
                self._endpoints.pop(line.entry.endpoint_id, None)
            else:
                self._endpoints[line.entry.endpoint_id] = line
        self._sink.deliver(EndpointsChanged(kind, tuple(line.entry for line in lines)))

    def _retell(self, endpoint: str) -> None:
        """A ban on a node began or ended. One that discovery does not list has nothing to be told of."""
        if (told := self._told.get(endpoint)) is not None:
            self._tell(EndpointListUpdate.DELTA, [self._placed(told, None)])

    def disable(self, endpoint: str) -> bool:
        """Nothing more to this node, whatever discovery says; False where it is not known, or too many are
        out already.
        """
        if endpoint not in self._told and endpoint not in self._maintenance:
            return False
        if not self._maintenance.disable(endpoint, self._now_us()):
            return False
        self._retell(endpoint)
        return True

    def enable(self, endpoint: str) -> bool:
        """End the ban on a node; False where it is not known."""
        if self._maintenance.enable(endpoint, self._now_us()):
            self._retell(endpoint)
            return True
        return endpoint in self._told

    def told(self) -> tuple[EndpointAddress, ...]:
        """The list as discovery has told it, without the bans."""
        return tuple(self._told.values())

    def bans(self) -> tuple[Mapping[str, int], Mapping[str, ReturnedToService]]:
        """What operators have taken out and called back, for a process that takes over."""
        return self._maintenance.out(), self._maintenance.back()

    def starts(self) -> Mapping[str, StartTime]:
        """The start times that were heard, for a process that takes over."""
        return self._starts.held()

    def inherit_starts(self, starts: Mapping[str, StartTime]) -> None:
        """Go by what the process before this one heard of starts, and tell the decisions."""
        self._starts.inherit(starts)
        if self._told:
            self._tell(EndpointListUpdate.DELTA, [self._placed(one, None) for one in self._told.values()])

    def inherit(self, out: Mapping[str, int], back: Mapping[str, ReturnedToService]) -> None:
        """Go by the bans of the process before this one."""
        self._maintenance.inherit(out, back)
        for endpoint in (*out, *back):
            self._retell(endpoint)

    def entries(self) -> tuple[Endpoint, ...]:
        return tuple(listing.entry for listing in self._endpoints.values())

    def shard(self, endpoint: str) -> int | None:
        """The shard of a node that is listed."""
        listing = self._endpoints.get(endpoint)
        return None if listing is None else listing.entry.shard

    def shards(self) -> frozenset[int]:
        """The shards that have a node which may get new work."""
        return frozenset(
            one.entry.shard for one in self._endpoints.values() if one.entry.condition is EndpointState.ACTIVE
        )

    def serves(self, shard: int) -> EndpointState:
        """The best condition of a shard's nodes."""
        found = {one.entry.condition for one in self._endpoints.values() if one.entry.shard == shard}
        return next(
            (one for one in (EndpointState.ACTIVE, EndpointState.DRAINING) if one in found),
            EndpointState.REMOVED,
        )

    def address(self, endpoint: str) -> str | None:
        """Where to send new work for `node`; None where the list forbids it."""
        listing = self._endpoints.get(endpoint)
        if listing is None or listing.entry.condition is not EndpointState.ACTIVE:
            return None
        return listing.address
