"""The endpoint list of this broker: which endpoints may get new work, and at which address."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Protocol

from lemonridge.core.start_times import WATCH_EVENT_AGE_MAX_US, StartTimes
from lemonridge.operate.handover import StartTime
from lemonridge.operate.maintenance import Bans, Maintenance
from lemonridge.scheduling.events import Endpoint, EndpointListUpdate, EndpointsChanged, EndpointState, Event

log = logging.getLogger(__name__)

LOG_LINES_MAX = 256  # endpoints of one update that get a log line each


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """An endpoint with the address to connect to, as HOST:PORT."""

    endpoint: Endpoint
    address: str


class EventSink(Protocol):
    """Takes events for the scheduler; `DecisionHost` is one."""

    def deliver(self, event: Event) -> None:
        """Queues an event for the scheduler."""
        ...


class EndpointRegistry:
    """Endpoints by id, kept in step with what the scheduler knows of them.

    Here alone the source's list and the operators' bans come together: everyone behind it sees one state of
    an endpoint.

    Args:
        sink: Gets `EndpointsChanged`.
        now_us: The broker's clock, in microseconds.
        wall_us: The machine's wall clock, in Unix microseconds.

    Attributes:
        has_list: Whether a list is known, be it an empty one of the source.
        source_has_answered: Set once the source has given a list, beside one that was cached.
    """

    def __init__(self, sink: EventSink, now_us: Callable[[], int], wall_us: Callable[[], int]) -> None:
        self._sink, self._now_us, self._wall_us = sink, now_us, wall_us
        self._start_times = StartTimes()
        self._last_answer_us: int | None = None  # when the source last answered, if it says so
        self._event_age_max_us = WATCH_EVENT_AGE_MAX_US  # of what the source says now
        self._source_list: dict[str, EndpointAddress] = {}  # as the source says
        self._endpoints: dict[str, EndpointAddress] = {}  # with the bans applied
        self._maintenance = Maintenance()
        self.has_list = False
        self.source_has_answered = asyncio.Event()

    # The source's list

    def record_answer(self) -> None:
        """Notes that the source has answered, with a change or without.

        What it says now may have waited since its answer before, beside the time that a watch event may take.
        """
        now_us = self._now_us()
        silent_us = 0 if self._last_answer_us is None else now_us - self._last_answer_us
        self._last_answer_us, self._event_age_max_us = now_us, WATCH_EVENT_AGE_MAX_US + silent_us

    def update(self, kind: EndpointListUpdate, changes: list[EndpointAddress]) -> None:
        """Applies a change, or a whole list: an endpoint that it does not name is removed."""
        before = self._source_list
        if kind is not EndpointListUpdate.DELTA:
            self._source_list, self._endpoints = {}, {}
        new = [one for one in changes if before.get(one.endpoint.endpoint_id) != one]
        for change in changes:
            if change.endpoint.state is EndpointState.REMOVED:
                self._source_list.pop(change.endpoint.endpoint_id, None)
            else:
                self._source_list[change.endpoint.endpoint_id] = change
        self._log(new)
        first = kind is not EndpointListUpdate.DELTA and not self.source_has_answered.is_set()
        age_max_us = None if first else self._event_age_max_us
        changes = [self._with_own_start(one, age_max_us) for one in changes]
        self._start_times.prune(self._source_list)
        self._maintenance.prune(self._source_list)
        if kind is not EndpointListUpdate.CACHED:
            self.source_has_answered.set()
        # An empty list of the source is a list too.
        self.has_list = self.has_list or bool(changes) or kind is EndpointListUpdate.SNAPSHOT
        self._publish(kind, changes)

    def source_list(self) -> tuple[EndpointAddress, ...]:
        """The list as the source gave it, without the bans."""
        return tuple(self._source_list.values())

    def _log(self, new: list[EndpointAddress]) -> None:
        for change in new[:LOG_LINES_MAX]:
            endpoint = change.endpoint
            log.info(
                "endpoint listed",
                extra={
                    "endpoint": endpoint.endpoint_id,
                    "state": endpoint.state.value,
                    "shard": endpoint.shard,
                    "started_us": endpoint.started_us,
                    "address": change.address,
                },
            )
        if len(new) > LOG_LINES_MAX:
            more = len(new) - LOG_LINES_MAX
            log.info("more endpoints listed", extra={"more": more, "endpoints": len(self._source_list)})

    def _with_own_start(self, listing: EndpointAddress, age_max_us: int | None) -> EndpointAddress:
        """The same with its start on the broker's own clock; see `StartTimes.to_broker_clock`."""
        endpoint = listing.endpoint
        started_us = self._start_times.to_broker_clock(
            endpoint.endpoint_id, endpoint.started_us, self._now_us(), self._wall_us(), age_max_us
        )
        return EndpointAddress(replace(endpoint, started_us=started_us), listing.address)

    def _publish(self, kind: EndpointListUpdate, changes: list[EndpointAddress]) -> None:
        """Applies the bans to these endpoints, and gives them to the scheduler."""
        changes = [EndpointAddress(self._maintenance.apply(one.endpoint), one.address) for one in changes]
        for change in changes:
            if change.endpoint.state is EndpointState.REMOVED:
                self._endpoints.pop(change.endpoint.endpoint_id, None)
            else:
                self._endpoints[change.endpoint.endpoint_id] = change
        self._sink.deliver(EndpointsChanged(kind, tuple(change.endpoint for change in changes)))

    # The operators' bans

    def disable(self, endpoint_id: str) -> bool:
        """Bans an endpoint: it gets nothing new, whatever the source says.

        False where it is not known, or too many are banned already.
        """
        if endpoint_id not in self._source_list and endpoint_id not in self._maintenance:
            return False
        if not self._maintenance.disable(endpoint_id, self._now_us()):
            return False
        self._republish(endpoint_id)
        return True

    def enable(self, endpoint_id: str) -> bool:
        """Ends the ban on an endpoint; False where the endpoint is not known."""
        if self._maintenance.enable(endpoint_id, self._now_us()):
            self._republish(endpoint_id)
            return True
        return endpoint_id in self._source_list

    def _republish(self, endpoint_id: str) -> None:
        """Publishes an endpoint whose ban began or ended, if the source lists it."""
        if (listing := self._source_list.get(endpoint_id)) is not None:
            self._publish(EndpointListUpdate.DELTA, [self._with_own_start(listing, None)])

    # Handover to the successor process

    def export_bans(self) -> Bans:
        """The bans in force, and the endpoints returned from one."""
        return self._maintenance.export()

    def import_bans(self, bans: Bans) -> None:
        """Goes by the bans of the process before this one."""
        self._maintenance.replace_all(bans)
        for endpoint_id in (*bans.banned, *bans.returned):
            self._republish(endpoint_id)

    def export_start_times(self) -> Mapping[str, StartTime]:
        """The start times that were received."""
        return self._start_times.export()

    def import_start_times(self, start_times: Mapping[str, StartTime]) -> None:
        """Goes by the start times that the process before this one received."""
        self._start_times.replace_all(start_times)
        if self._source_list:
            changes = [self._with_own_start(one, None) for one in self._source_list.values()]
            self._publish(EndpointListUpdate.DELTA, changes)

    # What the rest of the broker asks

    def endpoints(self) -> tuple[Endpoint, ...]:
        """The endpoints with the bans applied."""
        return tuple(listing.endpoint for listing in self._endpoints.values())

    def address(self, endpoint_id: str) -> str | None:
        """Where to send new work for an endpoint; None where it may get none."""
        listing = self._endpoints.get(endpoint_id)
        if listing is None or listing.endpoint.state is not EndpointState.ACTIVE:
            return None
        return listing.address

    def shard(self, endpoint_id: str) -> int | None:
        """The shard of an endpoint; None where it is not listed."""
        listing = self._endpoints.get(endpoint_id)
        return None if listing is None else listing.endpoint.shard

    def active_shards(self) -> frozenset[int]:
        """The shards with an endpoint that may get new work."""
        return frozenset(
            one.endpoint.shard
            for one in self._endpoints.values()
            if one.endpoint.state is EndpointState.ACTIVE
        )

    def shard_state(self, shard: int) -> EndpointState:
        """The best state among a shard's endpoints; `REMOVED` where it has none."""
        found = {one.endpoint.state for one in self._endpoints.values() if one.endpoint.shard == shard}
        for state in (EndpointState.ACTIVE, EndpointState.DRAINING):
            if state in found:
                return state
        return EndpointState.REMOVED
