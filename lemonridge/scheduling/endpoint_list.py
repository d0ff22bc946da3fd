"""The nodes that discovery has listed, by name, by shard and for a choice at random."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from random import Random

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import Endpoint, EndpointListUpdate, EndpointsChanged, EndpointState
from lemonridge.scheduling.slow_start import SlowStart

CHOICES = 32  # up to so many nodes, all are looked at for a new object: the best against the cost of looking
SUBSET = 256  # of more nodes, those that a host sends new objects to: its connections against an even spread


class NodeList:
    """Takes the news of the list; the cost of one change goes with its shard, not with the list."""

    def __init__(self, context: DecisionContext, slow_start: SlowStart) -> None:
        self._context, self._slow_start = context, slow_start
        self.nodes: dict[str, TrackedEndpoint] = {}
        self.shards: dict[int, list[TrackedEndpoint]] = {}
        self._order: list[TrackedEndpoint] = []  # those that were listed, for a choice at random
        self._ranked: list[
            tuple[float, str, TrackedEndpoint]
        ] = []  # the same by rank: the first are the host's subset

    def take(self, event: EndpointsChanged) -> None:
        """A list or a change of it."""
        for entry in event.entries:
            self._entry(entry, event.kind)
        if event.kind is not EndpointListUpdate.DELTA:
            for name in self.nodes.keys() - {entry.node for entry in event.entries}:
                self.nodes[name].condition = EndpointState.REMOVED
                self.drop(self.nodes[name])

    def drop(self, node: TrackedEndpoint) -> None:
        """Forget a node that has left, once nothing is out there."""
        if node.condition is EndpointState.REMOVED and not node.open and node.listed:
            node.listed = False
            self.nodes.pop(node.id, None)
            self._order.remove(node)
            del self._ranked[bisect_left(self._ranked, (self._rank(node), node.id))]
            self.shards[node.shard].remove(node)
            if not self.shards[node.shard]:
                del self.shards[node.shard]

    def choices(self) -> Iterable[TrackedEndpoint]:
        """The nodes for a new object: all of a few, some at random of many (Mitzenmacher, "The Power of Two
        Choices in Randomized Load Balancing", 2001), so that a choice costs alike however many there are.

        Of very many they are drawn from a subset, which is another for each host: a host that sends to all
        of them makes a connection for nearly every request."""
        if len(self.nodes) <= CHOICES:
            return self.nodes.values()
        draw = self._context.random.random
        if len(self._order) > SUBSET:
            return [self._ranked[int(draw() * SUBSET)][2] for _ in range(CHOICES // 2)]
        order = self._order
        return [order[int(draw() * len(order))] for _ in range(CHOICES // 2)]

    def _rank(self, node: TrackedEndpoint) -> float:
        """A node's place among all, another with each host's seed and the same as long as the host runs."""
        return Random(f"{self._context.seed}/{node.id}").random()

    def _entry(self, entry: Endpoint, kind: EndpointListUpdate) -> None:
        now, settings = self._context.now, self._context.settings
        if (node := self.nodes.get(entry.node)) is None:
            node = self.nodes[entry.node] = TrackedEndpoint(entry, self._context.first_window)
            if kind is EndpointListUpdate.DELTA:
                self._slow_start.begin(node, entry.started_us or now)
        fresh = entry.started_us and entry.started_us + settings.slow_start_ramp_us > now
        if fresh and (node.born_us is None or entry.started_us > node.born_us):
            self._slow_start.begin(node, entry.started_us)
        if entry.condition is not EndpointState.ACTIVE:
            self._slow_start.freeze(node.shard)
        self._place(node, entry.shard)
        node.zone, node.condition = entry.zone, entry.condition
        self.drop(node)

    def _place(self, node: TrackedEndpoint, shard: int) -> None:
        """List a node under its shard."""
        if node.listed and node.shard != shard:
            self.shards[node.shard].remove(node)
        if not node.listed:
            self._order.append(node)
            insort(self._ranked, (self._rank(node), node.id, node))
        if not node.listed or node.shard != shard:
            self.shards.setdefault(shard, []).append(node)
        node.listed, node.shard = True, shard
