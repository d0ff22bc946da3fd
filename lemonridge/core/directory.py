"""The node list as this broker has last been told it: who may get new work, and at which address."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Protocol

from lemonridge import api

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Listing:
    """One line of the list with the address to dial."""

    entry: api.Entry
    address: str


class Sink(Protocol):
    """Takes events; the decider does."""

    def tell(self, event: api.Event) -> None: ...


class Directory:
    """The map from node to address, kept in step with what the decisions are told."""

    def __init__(self, sink: Sink) -> None:
        self._sink = sink
        self._nodes: dict[str, Listing] = {}
        self.listed = False

    def take(self, kind: api.ListKind, listings: list[Listing]) -> None:
        """Apply a change, or a whole list: a node that it does not name is gone."""
        if kind is not api.ListKind.PATCH:
            self._nodes = {}
        for listing in listings:
            if listing.entry.condition is api.Condition.LEFT:
                self._nodes.pop(listing.entry.node, None)
            else:
                self._nodes[listing.entry.node] = listing
            entry = listing.entry
            log.info("listed", extra={
                "node": entry.node, "condition": entry.condition.value, "shard": entry.shard,
                "started_us": entry.started_us, "address": listing.address})  # fmt: skip
        self.listed = self.listed or bool(listings) or kind is api.ListKind.WHOLE  # also an empty one is news
        self._sink.tell(api.Listed(kind, tuple(listing.entry for listing in listings)))

    def entries(self) -> tuple[api.Entry, ...]:
        return tuple(listing.entry for listing in self._nodes.values())

    def shard(self, node: str) -> int | None:
        """The shard of a node that is listed."""
        listing = self._nodes.get(node)
        return None if listing is None else listing.entry.shard

    def shards(self) -> frozenset[int]:
        """The shards that have a node which may get new work."""
        return frozenset(one.entry.shard for one in self._nodes.values()
                         if one.entry.condition is api.Condition.ACTIVE)

    def serves(self, shard: int) -> api.Condition:
        """The best condition of a shard's nodes."""
        found = {one.entry.condition for one in self._nodes.values() if one.entry.shard == shard}
        return next((one for one in (api.Condition.ACTIVE, api.Condition.LEAVING) if one in found),
                    api.Condition.LEFT)

    def address(self, node: str) -> str | None:
        """Where to send new work for `node`; None where the list forbids it."""
        listing = self._nodes.get(node)
        if listing is None or listing.entry.condition is not api.Condition.ACTIVE:
            return None
        return listing.address
