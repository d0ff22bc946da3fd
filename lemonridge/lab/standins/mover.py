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
from lemonridge.lab.standins.node import ExtentNode, Hold, Key
from lemonridge.lab.ticks import Ticks


@dataclass(frozen=True, slots=True)
class Owned:
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
        self.ledger: dict[Key, list[Owned]] = {}
        self.owner: dict[Key, ExtentNode] = {}
        self.version = 0
        self.moves = 0

    def lay(self, lun: int, count: int, length: int) -> dict[str, Any]:
        """Lay out a LUN in `count` extents of `length` blocks over the nodes; its keys for etcd."""
        rows: dict[str, Any] = {}
        for number in range(count):
            key, node = (lun, number * length), self.random.choice(self.nodes)
            node.take(key, Hold(length, 1), {})
            self.owner[key] = node
            self.ledger[key] = [Owned(self.ticks(), node.name, 1)]
            rows.update(self._row(key))
        return {**rows, self.prefix + VERSION_KEY: {"version": self.version}}

    def _row(self, key: Key) -> dict[str, Any]:
        node = self.owner[key]
        hold = node.holds[key]
        value = {"blocks": hold.length, "shard": node.shard, "version": hold.version}
        return {self.prefix + extent_key(*key): value}

    async def move(self, key: Key, to: ExtentNode, copy_s: float = 0.0, publish: bool = True) -> bool:
        """One hand-over; False if a node died on the way, and then nothing has moved."""
        source = self.owner[key]
        if source is to or not source.alive or not to.alive:
            return False
        hold = source.holds[key]
        if not await source.fence(key):
            hold.fenced = False
            return False
        await asyncio.sleep(copy_s)
        if not source.alive or not to.alive:
            hold.fenced = False
            return False
        version = hold.version + 1
        to.take(key, Hold(hold.length, version), source.content(key))
        self.ledger[key].append(Owned(self.ticks(), to.name, version))
        await asyncio.sleep(copy_s / 4)  # here both claim it, and the old one is fenced
        source.release(key, Redirect(version, to.shard))
        self.owner[key] = to
        self.moves += 1
        if publish:
            self.publish([key])
        return True

    def publish(self, keys: Sequence[Key]) -> None:
        """Tell etcd: the extents and the map's next version in one transaction."""
        self.version += 1
        rows: dict[str, Any] = {}
        for key in keys:
            rows.update(self._row(key))
        self.etcd.txn({**rows, self.prefix + VERSION_KEY: {"version": self.version}})
