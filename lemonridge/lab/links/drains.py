"""Drains a node and watches that it gets nothing new once the rule's time is over."""

from __future__ import annotations

import asyncio

from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.node import ExtentNode

GRACE_S = 0.5 + 0.05  # the rule, and what a log line may take
FOR_S, LOOK_S = 0.8, 0.02


class DrainMonitor:
    """Judges by when the program says that it was told; `late` counts drains that it broke."""

    def __init__(self, etcd: Etcd, prefix: str) -> None:
        self._etcd, self._prefix, self.violations = etcd, prefix, 0
        self._told: dict[str, float] = {}

    def on_log_line(self, at_s: float, pairs: dict[str, str]) -> None:
        """A log line of the program."""
        if pairs.get("event") == "endpoint listed":
            if pairs["state"] == "draining":
                self._told.setdefault(pairs["endpoint"], at_s)
            else:
                self._told.pop(pairs["endpoint"], None)

    async def drain(self, node: ExtentNode) -> None:
        """Drain a node for a while, and take it back."""
        loop, key = asyncio.get_running_loop(), f"{self._prefix}nodes/{node.name}"
        self._etcd.put(key, node.etcd_entry("draining"))
        end = loop.time() + FOR_S
        while loop.time() < end:
            await asyncio.sleep(LOOK_S)
            told = self._told.get(node.name)
            if (
                told is not None
                and node.command_start_times
                and node.command_start_times[-1] > told + GRACE_S
            ):
                self.violations += 1
                node.command_start_times.clear()
        self._etcd.put(key, node.etcd_entry())
