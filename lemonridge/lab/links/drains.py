"""Drains a node and checks that it receives no new commands after the grace period."""

from __future__ import annotations

import asyncio

from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.node import ExtentNode

DRAIN_GRACE_S = 0.5 + 0.05  # the rule's grace period, and the delay of a log line
DRAIN_S, POLL_S = 0.8, 0.02  # duration of a drain, and interval of the checks


class DrainMonitor:
    """Drains nodes and counts late commands.

    The grace period counts from the time at which the program logs that the endpoint is draining.

    Attributes:
        violations: Number of checks that found a command started after the grace period.
    """

    def __init__(self, etcd: Etcd, prefix: str) -> None:
        self._etcd, self._prefix, self.violations = etcd, prefix, 0
        self._announced_at: dict[str, float] = {}

    def on_log_line(self, logged_at: float, fields: dict[str, str]) -> None:
        """Records when the program logs an endpoint's state.

        Args:
            logged_at: The loop's time in seconds at which the line was read.
            fields: Fields of the log line.
        """
        if fields.get("event") == "endpoint listed":
            if fields["state"] == "draining":
                self._announced_at.setdefault(fields["endpoint"], logged_at)
            else:
                self._announced_at.pop(fields["endpoint"], None)

    async def drain(self, node: ExtentNode) -> None:
        """Drains a node for DRAIN_S, checks its commands meanwhile, and announces it as up again."""
        loop, key = asyncio.get_running_loop(), f"{self._prefix}nodes/{node.name}"
        self._etcd.put(key, node.etcd_entry("draining"))
        end = loop.time() + DRAIN_S
        while loop.time() < end:
            await asyncio.sleep(POLL_S)
            announced_at = self._announced_at.get(node.name)
            if (
                announced_at is not None
                and node.command_start_times
                and node.command_start_times[-1] > announced_at + DRAIN_GRACE_S
            ):
                self.violations += 1
                node.command_start_times.clear()
        self._etcd.put(key, node.etcd_entry())
