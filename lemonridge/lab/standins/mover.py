"""Moves extents between nodes: fence, copy, hand over, release, and finally publish in etcd.

The ownership log records which node owned each extent; the drill's checker compares the nodes' logs with it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from lemonridge.extents.etcd_source import VERSION_KEY, extent_key
from lemonridge.extents.routing import Redirect
from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.node import ExtentKey, ExtentNode, HeldExtent
from lemonridge.lab.ticks import Ticks


@dataclass(frozen=True, slots=True)
class Ownership:
    """`node` owns an extent at `version` from this tick on."""

    tick: int
    node: str
    version: int


class Mover:
    """Moves extents between nodes.

    Attributes:
        nodes: Nodes that new extents are placed on.
        etcd: Server that the extent map is published in.
        prefix: Prefix of the keys in etcd.
        ticks: The drill's counter of events.
        random: Source of the random placement.
        ownership_log: Owners of each extent, in order.
        owners: Current owner of each extent.
        version: Version of the published map, which rises by one with each publication.
        moves: Number of completed moves.
    """

    def __init__(
        self, nodes: Sequence[ExtentNode], etcd: Etcd, prefix: str, ticks: Ticks, random: Random
    ) -> None:
        self.nodes, self.etcd, self.prefix, self.ticks, self.random = nodes, etcd, prefix, ticks, random
        self.ownership_log: dict[ExtentKey, list[Ownership]] = {}
        self.owners: dict[ExtentKey, ExtentNode] = {}
        self.version = 0
        self.moves = 0

    def create_lun(self, lun: int, count: int, length: int) -> dict[str, Any]:
        """Creates a LUN of `count` extents of `length` blocks each, placed on random nodes.

        Returns:
            The keys and values to store in etcd, including the map's version.
        """
        entries: dict[str, Any] = {}
        for number in range(count):
            key, node = (lun, number * length), self.random.choice(self.nodes)
            node.add_extent(key, HeldExtent(length, 1), {})
            self.owners[key] = node
            self.ownership_log[key] = [Ownership(self.ticks(), node.name, 1)]
            entries.update(self._etcd_entry(key))
        return {**entries, self.prefix + VERSION_KEY: {"version": self.version}}

    def _etcd_entry(self, key: ExtentKey) -> dict[str, Any]:
        node = self.owners[key]
        extent = node.extents[key]
        value = {"blocks": extent.length, "shard": node.shard, "version": extent.version}
        return {self.prefix + extent_key(*key): value}

    async def move(
        self, key: ExtentKey, target: ExtentNode, copy_s: float = 0.0, publish: bool = True
    ) -> bool:
        """Moves an extent to another node.

        Args:
            key: The extent.
            target: The new owner.
            copy_s: Duration of the copy, in seconds.
            publish: Whether to publish the new owner in etcd.

        Returns:
            Whether the extent was moved. False if `target` already owns it or if a node has died; nothing
            has changed then.
        """
        source = self.owners[key]
        if source is target or not source.alive or not target.alive:
            return False
        extent = source.extents[key]
        if not await source.fence(key):
            extent.fenced = False
            return False
        await asyncio.sleep(copy_s)
        if not source.alive or not target.alive:
            extent.fenced = False
            return False
        version = extent.version + 1
        target.add_extent(key, HeldExtent(extent.length, version), source.read_extent(key))
        self.ownership_log[key].append(Ownership(self.ticks(), target.name, version))
        await asyncio.sleep(copy_s / 4)  # both nodes hold the extent, which is fenced on the source
        source.remove_extent(key, Redirect(version, target.shard))
        self.owners[key] = target
        self.moves += 1
        if publish:
            self.publish([key])
        return True

    def publish(self, keys: Sequence[ExtentKey]) -> None:
        """Writes the owners of extents and the map's next version to etcd in one transaction."""
        self.version += 1
        entries: dict[str, Any] = {}
        for key in keys:
            entries.update(self._etcd_entry(key))
        self.etcd.transact({**entries, self.prefix + VERSION_KEY: {"version": self.version}})
