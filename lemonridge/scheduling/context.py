"""What the parts of the decisions share: the settings, the time, the random numbers and the actions."""

from __future__ import annotations

import random
from collections.abc import Hashable

from lemonridge.scheduling.actions import Action
from lemonridge.scheduling.settings import Settings
from lemonridge.scheduling.timers import TimerKind, Timers

FEW = 8  # up to so many hosts, one request or try of each floods no node: load against late discovery
WINDOW_START = 2.0  # a host's first guess for a node: few, since others send there too
WINDOW_MIN = 1.0  # at few senders
HOLD_UP_US = 150_000  # a real host may be held up for so long between its clock and a write (STANDING)
ANY_SHARD = -1  # of a request for a new object, which any node takes


class DecisionContext:
    """Shared by all parts of one scheduler. Times are in microseconds."""

    def __init__(self, settings: Settings, seed: int, asked: bool) -> None:
        """`asked`: the host asks before each first byte; else an attempt begins as it is sent."""
        self.settings, self.random, self.asked = settings, random.Random(seed), asked
        self.seed = seed
        self.late_us = HOLD_UP_US if asked else settings.tick_us  # how late the first byte may follow
        self.now = 0
        self.born: int | None = None  # the host's start
        self.actions: list[Action] = []
        self.touched: dict[int, None] = {}  # shards whose queues are visited at the end of this moment
        self.timers = Timers()
        self.tightest_us = 0  # the shortest aim of a class
        self.first_window = WINDOW_START

    def configure(self, settings: Settings) -> None:
        """Go by new settings."""
        self.settings = settings
        # All classes wait in one queue at a node, so the tightest aim bounds it for every class.
        self.tightest_us = min(cls.latency_objective_us for cls in settings.classes)
        self.first_window = WINDOW_START if settings.hosts <= FEW else WINDOW_MIN

    def at(self, at_us: int, kind: TimerKind, what: Hashable) -> None:
        """Look at something at its time."""
        self.timers.add(at_us, kind, what)

    def touch(self, shard: int) -> None:
        """Visit a shard's queues, and those for new objects, at the end of this moment."""
        self.touched[shard] = None
        self.touched[ANY_SHARD] = None

    def jitter(self, span: int) -> int:
        """About a span: hosts that began together must not go on together."""
        return int(span * self.random.uniform(0.75, 1.25))
