"""Hands extents from node to node: copy, fence, hand over, release, and tell etcd last.

The ledger is the truth of who owned what; the drill's checker holds the nodes' logs against it.
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
    """From this tick on `node` owns the extent under `version`."""

    tick: int
    node: str
    version: int


class Mover:
    """Moves one extent at a time; the map's version rises by one with each."""

    def __init__(
        self, nodes: Sequence[ExtentNode], etcd: Etcd, prefix: str, ticks: Ticks, random: Random
    ) -> None:
        self.nodes, self.etcd, self.prefix, self.ticks, self.random = nodes, etcd, prefix, ticks, random
        self.ownership_log: dict[ExtentKey, list[Ownership]] = {}
        self.owners: dict[ExtentKey, ExtentNode] = {}
        self.version = 0
        self.moves = 0

    def create_lun(self, lun: int, count: int, length: int) -> dict[str, Any]:
        """Lay out a LUN in `count` extents of `length` blocks over the nodes; its keys for etcd."""
        rows: dict[str, Any] = {}
        for number in range(count):
            key, node = (lun, number * length), self.random.choice(self.nodes)
            node.add_extent(key, HeldExtent(length, 1), {})
            self.owners[key] = node
            self.ownership_log[key] = [Ownership(self.ticks(), node.name, 1)]
            rows.update(self._row(key))
        return {**rows, self.prefix + VERSION_KEY: {"version": self.version}}

    def _row(self, key: ExtentKey) -> dict[str, Any]:
        node = self.owners[key]
        hold = node.extents[key]
        value = {"blocks": hold.length, "shard": node.shard, "version": hold.version}
        return {self.prefix + extent_key(*key): value}

    async def move(self, key: ExtentKey, to: ExtentNode, copy_s: float = 0.0, publish: bool = True) -> bool:
        """One hand-over; False if a node died on the way, and then nothing has moved."""
        source = self.owners[key]
        if source is to or not source.alive or not to.alive:
            return False
        hold = source.extents[key]
        if not await source.fence(key):
            hold.fenced = False
            return False
        await asyncio.sleep(copy_s)
        if not source.alive or not to.alive:
            hold.fenced = False
            return False
        version = hold.version + 1
        to.add_extent(key, HeldExtent(hold.length, version), source.read_extent(key))
        self.ownership_log[key].append(Ownership(self.ticks(), to.name, version))
        await asyncio.sleep(copy_s / 4)  # here both claim it, and the old one is fenced
        source.remove_extent(key, Redirect(version, to.shard))
        self.owners[key] = to
        self.moves += 1
        if publish:
            self.publish([key])
        return True

    def publish(self, keys: Sequence[ExtentKey]) -> None:
        """Tell etcd: the extents and the map's next version in one transaction."""
        self.version += 1
        rows: dict[str, Any] = {}
        for key in keys:
            rows.update(self._row(key))
        self.etcd.transact({**rows, self.prefix + VERSION_KEY: {"version": self.version}})
