"""The endpoints that discovery lists: by id, by shard, and in the order that random choices need."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from random import Random

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import Endpoint, EndpointListUpdate, EndpointsChanged, EndpointState
from lemonridge.scheduling.slow_start import SlowStart

MAX_SCANNED_ENDPOINTS = 32  # of up to this many endpoints, all are compared for a new object
MAX_SUBSET_ENDPOINTS = 256  # of more than this many, a host sends new objects to a subset


class EndpointList:
    """Applies the changes of the list. The cost of a change goes with its shard, not with the list's length.

    Attributes:
        endpoints: All of them by id, also removed ones with open attempts.
        shards: The same by shard.
    """

    def __init__(self, context: DecisionContext, slow_start: SlowStart) -> None:
        self._context, self._slow_start = context, slow_start
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.shards: dict[int, list[TrackedEndpoint]] = {}
        self._order: list[TrackedEndpoint] = []  # all, in order of registration
        self._ranked: list[tuple[float, str, TrackedEndpoint]] = []  # all by rank; the subset is at its head

    def apply(self, event: EndpointsChanged) -> None:
        """Applies a list or a change of it; endpoints that a full list lacks are removed."""
        for entry in event.entries:
            self._apply_entry(entry, event.kind)
        if event.kind is not EndpointListUpdate.DELTA:
            for name in self.endpoints.keys() - {entry.endpoint_id for entry in event.entries}:
                self.endpoints[name].state = EndpointState.REMOVED
                self.remove_if_idle(self.endpoints[name])

    def remove_if_idle(self, endpoint: TrackedEndpoint) -> None:
        """Forgets an endpoint that was removed from the list, once no attempt is open there."""
        if endpoint.state is EndpointState.REMOVED and not endpoint.open_attempts and endpoint.registered:
            endpoint.registered = False
            self.endpoints.pop(endpoint.id, None)
            self._order.remove(endpoint)
            del self._ranked[bisect_left(self._ranked, (self._rank(endpoint), endpoint.id))]
            self.shards[endpoint.shard].remove(endpoint)
            if not self.shards[endpoint.shard]:
                del self.shards[endpoint.shard]

    def candidates(self) -> Iterable[TrackedEndpoint]:
        """The endpoints to choose from for a new object.

        All of a few; of more, some at random, so that a choice costs the same however many there are
        (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001). Of very many, these
        come from a subset that differs from host to host: a host that sends to all of them would open a
        connection for nearly every request.
        """
        if len(self.endpoints) <= MAX_SCANNED_ENDPOINTS:
            return self.endpoints.values()
        draw, count = self._context.random.random, MAX_SCANNED_ENDPOINTS // 2
        if len(self._order) > MAX_SUBSET_ENDPOINTS:
            return [self._ranked[int(draw() * MAX_SUBSET_ENDPOINTS)][2] for _ in range(count)]
        order = self._order
        return [order[int(draw() * len(order))] for _ in range(count)]

    def _rank(self, endpoint: TrackedEndpoint) -> float:
        """A number from 0 to 1 by the endpoint's id and this host's seed."""
        return Random(f"{self._context.seed}/{endpoint.id}").random()

    def _apply_entry(self, entry: Endpoint, kind: EndpointListUpdate) -> None:
        """Adds or changes one endpoint, and begins its slow start where it has started anew.

        A new entry in a change of the list is an endpoint that has just started; in a full list it may have
        been there before, unless its start time says otherwise.
        """
        now_us, settings = self._context.now_us, self._context.settings
        endpoint = self.endpoints.get(entry.endpoint_id)
        if endpoint is None:
            endpoint = TrackedEndpoint(entry, self._context.initial_window)
            self.endpoints[entry.endpoint_id] = endpoint
            if kind is EndpointListUpdate.DELTA:
                self._slow_start.begin(endpoint, entry.started_us or now_us)
        began_us = endpoint.slow_start_began_us
        fresh = entry.started_us and entry.started_us + settings.slow_start_ramp_us > now_us
        if fresh and (began_us is None or entry.started_us > began_us):
            self._slow_start.begin(endpoint, entry.started_us)
        if entry.state is not EndpointState.ACTIVE:
            self._slow_start.freeze_baseline_traffic(endpoint.shard)
        self._register(endpoint, entry.shard)
        endpoint.zone, endpoint.state = entry.zone, entry.state
        self.remove_if_idle(endpoint)

    def _register(self, endpoint: TrackedEndpoint, shard: int) -> None:
        """Puts an endpoint under its shard, and moves it there from another."""
        if endpoint.registered and endpoint.shard != shard:
            self.shards[endpoint.shard].remove(endpoint)
        if not endpoint.registered:
            self._order.append(endpoint)
            insort(self._ranked, (self._rank(endpoint), endpoint.id, endpoint))
        if not endpoint.registered or endpoint.shard != shard:
            self.shards.setdefault(shard, []).append(endpoint)
        endpoint.registered, endpoint.shard = True, shard
