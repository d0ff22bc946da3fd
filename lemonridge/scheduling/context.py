"""The state shared by the parts of one scheduler: settings, time, random numbers, timers and pending actions.

All times are integer microseconds of the host's clock.
"""

from __future__ import annotations

import random

from lemonridge.scheduling.actions import Action
from lemonridge.scheduling.settings import Settings
from lemonridge.scheduling.timers import Timer, Timers

SMALL_FLEET_HOSTS = 8  # up to this many hosts, one concurrent request of each does not overload an endpoint
INITIAL_WINDOW = 2.0  # requests; initial window of an endpoint in a small fleet
MIN_WINDOW = 1.0  # requests; minimum window in a small fleet, initial window in a large fleet
MAX_PROCESS_STALL_US = 150_000  # longest pause of a process between reading its clock and a write (STANDING)
ANY_SHARD = -1  # shard of a request for a new object, which any endpoint can store


class DecisionContext:
    """The state shared by all parts of one scheduler.

    Attributes:
        settings: The current settings.
        seed: The seed of the random number generator.
        random: The random number generator.
        host_confirms_start: Whether the host calls `Scheduler.may_begin` before the first byte of each
            attempt. Otherwise an attempt starts when it is sent.
        first_byte_delay_us: The longest delay between the start of an attempt and its first byte.
        now_us: The time of the events that are being handled.
        started_us: The time of the first events, or None before them.
        actions: The actions for the events that are being handled.
        shards_to_dispatch: The shards whose queues are dispatched after the events, in this order.
        timers: The pending timers.
        tightest_objective_us: The shortest latency objective of all classes.
        initial_window: The initial window of a new endpoint, in requests.
    """

    def __init__(self, settings: Settings, seed: int, host_confirms_start: bool) -> None:
        self.settings = settings
        self.seed = seed
        self.random = random.Random(seed)
        self.host_confirms_start = host_confirms_start
        self.first_byte_delay_us = MAX_PROCESS_STALL_US if host_confirms_start else settings.tick_us
        self.now_us = 0
        self.started_us: int | None = None
        self.actions: list[Action] = []
        self.shards_to_dispatch: dict[int, None] = {}
        self.timers = Timers()
        self.tightest_objective_us = 0
        self.initial_window = INITIAL_WINDOW

    def configure(self, settings: Settings) -> None:
        """Applies new settings.

        Requests of all classes share one queue at an endpoint, so the tightest objective limits the time in
        that queue for every class.
        """
        self.settings = settings
        self.tightest_objective_us = min(cls.latency_objective_us for cls in settings.classes)
        self.initial_window = INITIAL_WINDOW if settings.hosts <= SMALL_FLEET_HOSTS else MIN_WINDOW

    def set_timer(self, at_us: int, timer: Timer) -> None:
        """Schedules a timer for the given time."""
        self.timers.add(at_us, timer)

    def mark_for_dispatch(self, shard: int) -> None:
        """Marks a shard, and the queues for new objects, for dispatch after the current events."""
        self.shards_to_dispatch[shard] = None
        self.shards_to_dispatch[ANY_SHARD] = None

    def jitter(self, span_us: int) -> int:
        """Returns a random duration within 25 percent of `span_us`, so that hosts do not all act at once."""
        return int(span_us * self.random.uniform(0.75, 1.25))
