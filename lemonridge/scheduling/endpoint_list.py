"""The nodes that discovery has listed, by name, by shard and for a choice at random."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from random import Random

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import Endpoint, EndpointListUpdate, EndpointsChanged, EndpointState
from lemonridge.scheduling.slow_start import SlowStart

MAX_SCANNED_ENDPOINTS = (
    32  # up to so many nodes, all are looked at for a new object: the best against the cost of looking
)
MAX_SUBSET_ENDPOINTS = (
    256  # of more nodes, those that a host sends new objects to: its connections against an even spread
)


class EndpointList:
    """Takes the news of the list; the cost of one change goes with its shard, not with the list."""

    def __init__(self, context: DecisionContext, slow_start: SlowStart) -> None:
        self._context, self._slow_start = context, slow_start
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.shards: dict[int, list[TrackedEndpoint]] = {}
        self._order: list[TrackedEndpoint] = []  # those that were listed, for a choice at random
        self._ranked: list[
            tuple[float, str, TrackedEndpoint]
        ] = []  # the same by rank: the first are the host's subset

    def apply(self, event: EndpointsChanged) -> None:
        """A list or a change of it."""
        for entry in event.entries:
            self._entry(entry, event.kind)
        if event.kind is not EndpointListUpdate.DELTA:
            for name in self.endpoints.keys() - {entry.endpoint_id for entry in event.entries}:
                self.endpoints[name].state = EndpointState.REMOVED
                self.remove_if_idle(self.endpoints[name])

    def remove_if_idle(self, endpoint: TrackedEndpoint) -> None:
        """Forget a node that has left, once nothing is out there."""
        if endpoint.state is EndpointState.REMOVED and not endpoint.open_attempts and endpoint.registered:
            endpoint.registered = False
            self.endpoints.pop(endpoint.id, None)
            self._order.remove(endpoint)
            del self._ranked[bisect_left(self._ranked, (self._rank(endpoint), endpoint.id))]
            self.shards[endpoint.shard].remove(endpoint)
            if not self.shards[endpoint.shard]:
                del self.shards[endpoint.shard]

    def candidates(self) -> Iterable[TrackedEndpoint]:
        """The nodes for a new object: all of a few, some at random of many (Mitzenmacher, "The Power of Two
        Choices in Randomized Load Balancing", 2001), so that a choice costs alike however many there are.

        Of very many they are drawn from a subset, which is another for each host: a host that sends to all
        of them makes a connection for nearly every request.
        """
        if len(self.endpoints) <= MAX_SCANNED_ENDPOINTS:
            return self.endpoints.values()
        draw = self._context.random.random
        if len(self._order) > MAX_SUBSET_ENDPOINTS:
            return [
                self._ranked[int(draw() * MAX_SUBSET_ENDPOINTS)][2] for _ in range(MAX_SCANNED_ENDPOINTS // 2)
            ]
        order = self._order
        return [order[int(draw() * len(order))] for _ in range(MAX_SCANNED_ENDPOINTS // 2)]

    def _rank(self, endpoint: TrackedEndpoint) -> float:
        """A node's place among all, another with each host's seed and the same as long as the host runs."""
        return Random(f"{self._context.seed}/{endpoint.id}").random()

    def _entry(self, entry: Endpoint, kind: EndpointListUpdate) -> None:
        now_us, settings = self._context.now_us, self._context.settings
        if (endpoint := self.endpoints.get(entry.endpoint_id)) is None:
            endpoint = self.endpoints[entry.endpoint_id] = TrackedEndpoint(
                entry, self._context.initial_window
            )
            if kind is EndpointListUpdate.DELTA:
                self._slow_start.begin(endpoint, entry.started_us or now_us)
        fresh = entry.started_us and entry.started_us + settings.slow_start_ramp_us > now_us
        if fresh and (
            endpoint.slow_start_began_us is None or entry.started_us > endpoint.slow_start_began_us
        ):
            self._slow_start.begin(endpoint, entry.started_us)
        if entry.condition is not EndpointState.ACTIVE:
            self._slow_start.freeze(endpoint.shard)
        self._place(endpoint, entry.shard)
        endpoint.zone, endpoint.state = entry.zone, entry.condition
        self.remove_if_idle(endpoint)

    def _place(self, endpoint: TrackedEndpoint, shard: int) -> None:
        """List a node under its shard."""
        if endpoint.registered and endpoint.shard != shard:
            self.shards[endpoint.shard].remove(endpoint)
        if not endpoint.registered:
            self._order.append(endpoint)
            insort(self._ranked, (self._rank(endpoint), endpoint.id, endpoint))
        if not endpoint.registered or endpoint.shard != shard:
            self.shards.setdefault(shard, []).append(endpoint)
        endpoint.registered, endpoint.shard = True, shard
