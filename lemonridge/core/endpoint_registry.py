"""The endpoint list of this broker: the state and the address of each endpoint."""

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

LOG_LINES_MAX = 256  # endpoints of one update that are logged individually


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """An endpoint and its network address.

    Attributes:
        endpoint: The endpoint.
        address: The address to connect to, as HOST:PORT.
    """

    endpoint: Endpoint
    address: str


class EventSink(Protocol):
    """Accepts events for the scheduler; implemented by `DecisionHost`."""

    def deliver(self, event: Event) -> None:
        """Queues an event for the scheduler."""
        ...


class EndpointRegistry:
    """The endpoints by id, in sync with the scheduler's view of them.

    This is the only place that combines the source's list with the operators' bans, so all its users see the
    same state of an endpoint. The source is the discovery backend that provides the endpoint list.

    Args:
        sink: Receives `EndpointsChanged`.
        now_us: Returns the broker's clock, in microseconds.
        wall_us: Returns the machine's wall clock, in Unix microseconds.

    Attributes:
        has_list: Whether a list is known; an empty list from the source counts.
        source_has_answered: Set once the source has delivered a list; a cached list does not count.
    """

    def __init__(self, sink: EventSink, now_us: Callable[[], int], wall_us: Callable[[], int]) -> None:
        self._sink, self._now_us, self._wall_us = sink, now_us, wall_us
        self._start_times = StartTimes()
        self._last_answer_us: int | None = None  # None until `record_answer` is called
        self._event_age_max_us = WATCH_EVENT_AGE_MAX_US  # maximum age of new start times in the next update
        self._source_list: dict[str, EndpointAddress] = {}  # as delivered by the source
        self._endpoints: dict[str, EndpointAddress] = {}  # with the bans applied
        self._maintenance = Maintenance()
        self.has_list = False
        self.source_has_answered = asyncio.Event()
        self._has_predecessor_list = False

    # The source's list

    def record_answer(self) -> None:
        """Records that the source has answered, with or without a change.

        The changes in this answer may date back to the previous answer, plus the delay of a watch event.
        """
        now_us = self._now_us()
        interval_us = 0 if self._last_answer_us is None else now_us - self._last_answer_us
        self._last_answer_us, self._event_age_max_us = now_us, WATCH_EVENT_AGE_MAX_US + interval_us

    def update(self, kind: EndpointListUpdate, changes: list[EndpointAddress]) -> None:
        """Applies an update of the list.

        Args:
            kind: Whether `changes` is a delta or a complete list, which removes all endpoints not in it.
            changes: The changed endpoints, or all endpoints.
        """
        previous_list = self._source_list
        if kind is not EndpointListUpdate.DELTA:
            self._source_list, self._endpoints = {}, {}
        changed = [entry for entry in changes if previous_list.get(entry.endpoint.endpoint_id) != entry]
        for change in changes:
            if change.endpoint.state is EndpointState.REMOVED:
                self._source_list.pop(change.endpoint.endpoint_id, None)
            else:
                self._source_list[change.endpoint.endpoint_id] = change
        self._log(changed)
        is_first_list = kind is not EndpointListUpdate.DELTA and not self.source_has_answered.is_set()
        age_max_us = None if is_first_list else self._event_age_max_us
        changes = [self._with_start_on_broker_clock(entry, age_max_us) for entry in changes]
        self._start_times.prune(self._source_list)
        self._maintenance.prune(self._source_list)
        if kind is not EndpointListUpdate.CACHED:
            self.source_has_answered.set()
        # An empty list from the source counts as a list.
        self.has_list = self.has_list or bool(changes) or kind is EndpointListUpdate.SNAPSHOT
        self._publish(kind, changes)

    def import_list(self, endpoints: list[EndpointAddress]) -> None:
        """Uses the list of the process that this one replaces, unless the source has answered already.

        That process has heard what the source had to tell, so its list does not expire. If it has heard
        nothing either, its list is empty.
        """
        if endpoints and not self.source_has_answered.is_set():
            self._has_predecessor_list = True
            self.update(EndpointListUpdate.CACHED, endpoints)

    def expire_cached_list(self) -> None:
        """Discards the configuration's cached list, unless a newer one has replaced it.

        Until the source answers there is no list then, and nothing new is sent to any endpoint. What is known
        of bans and start times stays.
        """
        if self.source_has_answered.is_set() or self._has_predecessor_list or not self._source_list:
            return
        log.warning("cached endpoint list expired", extra={"endpoints": len(self._source_list)})
        self._source_list, self._endpoints, self.has_list = {}, {}, False
        self._publish(EndpointListUpdate.CACHED, [])

    def source_list(self) -> tuple[EndpointAddress, ...]:
        """Returns the list as delivered by the source, without the bans applied."""
        return tuple(self._source_list.values())

    def _log(self, changed: list[EndpointAddress]) -> None:
        """Logs changed endpoints, up to `LOG_LINES_MAX` of them one by one."""
        for change in changed[:LOG_LINES_MAX]:
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
        if len(changed) > LOG_LINES_MAX:
            more = len(changed) - LOG_LINES_MAX
            log.info("more endpoints listed", extra={"more": more, "endpoints": len(self._source_list)})

    def _with_start_on_broker_clock(
        self, listing: EndpointAddress, age_max_us: int | None
    ) -> EndpointAddress:
        """Returns a copy with the start time on the broker's clock; see `StartTimes.to_broker_clock`."""
        endpoint = listing.endpoint
        started_us = self._start_times.to_broker_clock(
            endpoint.endpoint_id, endpoint.started_us, self._now_us(), self._wall_us(), age_max_us
        )
        return EndpointAddress(replace(endpoint, started_us=started_us), listing.address)

    def _publish(self, kind: EndpointListUpdate, changes: list[EndpointAddress]) -> None:
        """Applies the bans to the changed endpoints and passes them to the scheduler."""
        changes = [
            EndpointAddress(self._maintenance.apply(entry.endpoint), entry.address) for entry in changes
        ]
        for change in changes:
            if change.endpoint.state is EndpointState.REMOVED:
                self._endpoints.pop(change.endpoint.endpoint_id, None)
            else:
                self._endpoints[change.endpoint.endpoint_id] = change
        self._sink.deliver(EndpointsChanged(kind, tuple(change.endpoint for change in changes)))

    # The operators' bans

    def disable(self, endpoint_id: str) -> bool:
        """Bans an endpoint from new work, whatever its state in the source's list.

        Returns:
            False if the endpoint is unknown or too many endpoints are banned already.
        """
        if endpoint_id not in self._source_list and endpoint_id not in self._maintenance:
            return False
        if not self._maintenance.disable(endpoint_id, self._now_us()):
            return False
        self._republish(endpoint_id)
        return True

    def enable(self, endpoint_id: str) -> bool:
        """Ends the ban on an endpoint; returns False if the endpoint is unknown."""
        if self._maintenance.enable(endpoint_id, self._now_us()):
            self._republish(endpoint_id)
            return True
        return endpoint_id in self._source_list

    def _republish(self, endpoint_id: str) -> None:
        """Publishes an endpoint whose ban has begun or ended, if the source lists it."""
        if (listing := self._source_list.get(endpoint_id)) is not None:
            self._publish(EndpointListUpdate.DELTA, [self._with_start_on_broker_clock(listing, None)])

    # Handover to the successor process

    def export_bans(self) -> Bans:
        """Returns the bans in force and the endpoints whose ban has ended."""
        return self._maintenance.export()

    def import_bans(self, bans: Bans) -> None:
        """Replaces the bans by those of the predecessor process."""
        self._maintenance.replace_all(bans)
        for endpoint_id in (*bans.banned, *bans.returned):
            self._republish(endpoint_id)

    def export_start_times(self) -> Mapping[str, StartTime]:
        """Returns the received start times by endpoint."""
        return self._start_times.export()

    def import_start_times(self, start_times: Mapping[str, StartTime]) -> None:
        """Replaces the start times by those that the predecessor process received."""
        self._start_times.replace_all(start_times)
        if self._source_list:
            changes = [self._with_start_on_broker_clock(entry, None) for entry in self._source_list.values()]
            self._publish(EndpointListUpdate.DELTA, changes)

    # Queries

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Returns the endpoints with the bans applied."""
        return tuple(listing.endpoint for listing in self._endpoints.values())

    def address(self, endpoint_id: str) -> str | None:
        """Returns the address for new work at an endpoint; None if the endpoint may not get new work."""
        listing = self._endpoints.get(endpoint_id)
        if listing is None or listing.endpoint.state is not EndpointState.ACTIVE:
            return None
        return listing.address

    def shard(self, endpoint_id: str) -> int | None:
        """Returns the shard of an endpoint; None if the endpoint is not listed."""
        listing = self._endpoints.get(endpoint_id)
        return None if listing is None else listing.endpoint.shard

    def active_shards(self) -> frozenset[int]:
        """Returns the shards that have an endpoint which may get new work."""
        return frozenset(
            listing.endpoint.shard
            for listing in self._endpoints.values()
            if listing.endpoint.state is EndpointState.ACTIVE
        )

    def shard_state(self, shard: int) -> EndpointState:
        """Returns the best state among a shard's endpoints; `REMOVED` if the shard has no endpoint."""
        states = {entry.endpoint.state for entry in self._endpoints.values() if entry.endpoint.shard == shard}
        for state in (EndpointState.ACTIVE, EndpointState.DRAINING):
            if state in states:
                return state
        return EndpointState.REMOVED
