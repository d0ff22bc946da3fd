"""The endpoints listed by discovery, indexed by id and shard, and ordered for random selection."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from random import Random

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import Endpoint, EndpointListUpdate, EndpointsChanged, EndpointState
from lemonridge.scheduling.slow_start import SlowStart

MAX_SCANNED_ENDPOINTS = 32  # up to this many endpoints, all are candidates for a new object
MAX_SUBSET_ENDPOINTS = 256  # above this many endpoints, a host sends new objects to a subset of this size


class EndpointList:
    """Maintains the endpoint list.

    The cost of a change depends on the size of the affected shard, not on the length of the list.

    Attributes:
        endpoints: All endpoints by id, including removed endpoints that still have open attempts.
        endpoints_by_shard: The same endpoints by shard.
    """

    def __init__(self, context: DecisionContext, slow_start: SlowStart) -> None:
        self._context, self._slow_start = context, slow_start
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.endpoints_by_shard: dict[int, list[TrackedEndpoint]] = {}
        self._registration_order: list[TrackedEndpoint] = []  # all endpoints, sampled for new objects
        self._ranked: list[tuple[float, str, TrackedEndpoint]] = []  # all by rank; the subset comes first

    def apply(self, event: EndpointsChanged) -> None:
        """Applies a change to the list, or a full list, which removes the endpoints not contained in it."""
        for entry in event.entries:
            self._apply_entry(entry, event.kind)
        if event.kind is not EndpointListUpdate.DELTA:
            for endpoint_id in self.endpoints.keys() - {entry.endpoint_id for entry in event.entries}:
                self.endpoints[endpoint_id].state = EndpointState.REMOVED
                self.remove_if_idle(self.endpoints[endpoint_id])

    def remove_if_idle(self, endpoint: TrackedEndpoint) -> None:
        """Deletes the state of an endpoint that was removed from the list, once it has no open attempts."""
        if endpoint.state is EndpointState.REMOVED and not endpoint.open_attempts and endpoint.registered:
            endpoint.registered = False
            self.endpoints.pop(endpoint.id, None)
            self._registration_order.remove(endpoint)
            del self._ranked[bisect_left(self._ranked, (self._rank(endpoint), endpoint.id))]
            self.endpoints_by_shard[endpoint.shard].remove(endpoint)
            if not self.endpoints_by_shard[endpoint.shard]:
                del self.endpoints_by_shard[endpoint.shard]

    def candidates(self) -> Iterable[TrackedEndpoint]:
        """Returns the candidate endpoints for a new object.

        Up to `MAX_SCANNED_ENDPOINTS`, all endpoints are candidates. Above that number the candidates are a
        random sample, so that the cost of a selection does not depend on the number of endpoints
        (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001). Above
        `MAX_SUBSET_ENDPOINTS` the sample comes from a subset that differs from host to host: a host that sent
        to all endpoints would open a connection for nearly every request.
        """
        if len(self.endpoints) <= MAX_SCANNED_ENDPOINTS:
            return self.endpoints.values()
        draw, count = self._context.random.random, MAX_SCANNED_ENDPOINTS // 2
        if len(self._registration_order) > MAX_SUBSET_ENDPOINTS:
            return [self._ranked[int(draw() * MAX_SUBSET_ENDPOINTS)][2] for _ in range(count)]
        order = self._registration_order
        return [order[int(draw() * len(order))] for _ in range(count)]

    def _rank(self, endpoint: TrackedEndpoint) -> float:
        """Returns a number between 0 and 1 derived from the endpoint's id and this host's seed."""
        return Random(f"{self._context.seed}/{endpoint.id}").random()

    def _apply_entry(self, entry: Endpoint, kind: EndpointListUpdate) -> None:
        """Adds or updates one endpoint, and begins its slow start if the endpoint has started or restarted.

        A new entry in a change to the list is an endpoint that has just started. A new entry in a full list
        may have existed before, unless its start time is recent.
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
        """Registers an endpoint under its shard, or moves it from its previous shard."""
        if endpoint.registered and endpoint.shard != shard:
            self.endpoints_by_shard[endpoint.shard].remove(endpoint)
        if not endpoint.registered:
            self._registration_order.append(endpoint)
            insort(self._ranked, (self._rank(endpoint), endpoint.id, endpoint))
        if not endpoint.registered or endpoint.shard != shard:
            self.endpoints_by_shard.setdefault(shard, []).append(endpoint)
        endpoint.registered, endpoint.shard = True, shard
