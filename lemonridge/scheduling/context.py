"""What the parts of the decisions share: the settings, the time, the random numbers and the actions."""

from __future__ import annotations

import random
from collections.abc import Hashable

from lemonridge.scheduling.actions import Action
from lemonridge.scheduling.settings import Settings
from lemonridge.scheduling.timers import TimerKind, Timers

SMALL_FLEET_HOSTS = (
    8  # up to so many hosts, one request or try of each floods no node: load against late discovery
)
INITIAL_WINDOW = 2.0  # a host's first guess for a node: few, since others send there too
MIN_WINDOW = 1.0  # at few senders
MAX_PROCESS_STALL_US = (
    150_000  # a real host may be held up for so long between its clock and a write (STANDING)
)
ANY_SHARD = -1  # of a request for a new object, which any node takes


class DecisionContext:
    """Shared by all parts of one scheduler. Times are in microseconds."""

    def __init__(self, settings: Settings, seed: int, host_confirms_start: bool) -> None:
        """`host_confirms_start`: the host asks before each first byte."""
        self.settings, self.random, self.host_confirms_start = (
            settings,
            random.Random(seed),
            host_confirms_start,
        )
        self.seed = seed
        self.first_byte_delay_us = (
            MAX_PROCESS_STALL_US if host_confirms_start else settings.tick_us
        )  # how late the first byte may follow
        self.now_us = 0
        self.started_us: int | None = None  # the host's start
        self.actions: list[Action] = []
        self.shards_to_dispatch: dict[
            int, None
        ] = {}  # shards whose queues are visited at the end of this moment
        self.timers = Timers()
        self.tightest_objective_us = 0  # the shortest aim of a class
        self.initial_window = INITIAL_WINDOW

    def configure(self, settings: Settings) -> None:
        """Go by new settings."""
        self.settings = settings
        # All classes wait in one queue at a node, so the tightest aim bounds it for every class.
        self.tightest_objective_us = min(cls.latency_objective_us for cls in settings.classes)
        self.initial_window = INITIAL_WINDOW if settings.hosts <= SMALL_FLEET_HOSTS else MIN_WINDOW

    def set_timer(self, at_us: int, kind: TimerKind, what: Hashable) -> None:
        """Look at something at its time."""
        self.timers.add(at_us, kind, what)

    def mark_for_dispatch(self, shard: int) -> None:
        """Visit a shard's queues, and those for new objects, at the end of this moment."""
        self.shards_to_dispatch[shard] = None
        self.shards_to_dispatch[ANY_SHARD] = None

    def jitter(self, span: int) -> int:
        """About a span: hosts that began together must not go on together."""
        return int(span * self.random.uniform(0.75, 1.25))
