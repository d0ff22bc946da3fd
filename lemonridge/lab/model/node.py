"""A simulated node with cores, a FIFO queue, cold starts, pauses, and crashes under overload."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from lemonridge.lab.model.spec import NodeSpec


@dataclass(slots=True, eq=False)
class Work:
    """One attempt at a node.

    Attributes:
        cost_us: Its work, in microseconds at speed 1.
        on_done: Called when the work is complete.
        incarnation: Incarnation of the node that accepted it.
    """

    cost_us: float
    on_done: Callable[[], None]
    incarnation: int = 0


class Node:
    """A node that serves `cores` attempts at once, each at the node's speed when the attempt starts.

    Attributes:
        name: Name of the node.
        shard: Shard that the node holds.
        hall: Hall of the node, 0 or 1.
        spec: Settings of all nodes.
        speed: Speed of this node.
        up: Whether the node is running.
        incarnation: Number of kills so far.
        started_us: Time of the latest cold start; negative if the node is warm from the beginning.
        slowdown: Factor on the duration of work, above 1 for a gray node.
        running: Number of running attempts.
        overloaded: Whether the node has crashed under overload; it never restarts then.
        queue: Waiting attempts.
        paused_until: Time at which the current pause ends, in microseconds.
        served_us: Duration of all started work, in microseconds.
    """

    def __init__(
        self,
        name: str,
        shard: int,
        hall: int,
        spec: NodeSpec,
        speed: float,
        schedule: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self.name, self.shard, self.hall, self.spec, self.speed = name, shard, hall, spec, speed
        self._schedule = schedule
        self.up, self.incarnation, self.started_us = True, 0, -1.0
        self.slowdown = 1.0
        self.running, self.overloaded = 0, False
        self.queue: deque[Work] = deque()
        self.paused_until = 0.0
        self._recent_work: deque[tuple[float, float]] = deque()  # (time, work) in the overload window
        self._recent_us = 0.0
        self.served_us = 0.0

    @property
    def active(self) -> int:
        """Number of running and waiting attempts."""
        return self.running + len(self.queue)

    def warm_up_fraction(self, now_us: float) -> float:
        """Returns the current speed as a fraction of the full speed."""
        if self.started_us < 0 or not self.spec.ramp_s:
            return 1.0
        elapsed_fraction = (now_us - self.started_us) / (self.spec.ramp_s * 1e6)
        return min(
            1.0,
            self.spec.slow_start_initial_fraction
            + (1 - self.spec.slow_start_initial_fraction) * elapsed_fraction,
        )

    def offer(self, now_us: float, work: Work) -> bool:
        """Offers an attempt to the node and returns whether the node accepts it.

        The node rejects an attempt if its queue is full, or if the attempt overloads it and it crashes.
        """
        if self.active >= self.spec.cores + self.spec.queue:
            return False
        if self.warm_up_fraction(now_us) < 1.0 and self._is_overloaded_by(now_us, work.cost_us):
            self.overloaded = True
            self.kill()
            return False
        work.incarnation = self.incarnation
        self.queue.append(work)
        self._start_queued(now_us)
        return True

    def _is_overloaded_by(self, now_us: float, cost_us: float) -> bool:
        """Returns whether new work exceeds a cold node's overload threshold, and adds it to the window.

        The threshold is `overload_multiple` times the work that the node can do in `fall_s` at its current
        speed.
        """
        window_us = self.spec.fall_s * 1e6
        self._recent_work.append((now_us, cost_us))
        self._recent_us += cost_us
        while self._recent_work[0][0] < now_us - window_us:
            self._recent_us -= self._recent_work.popleft()[1]
        limit_us = (
            self.spec.overload_multiple
            * self.warm_up_fraction(now_us)
            * self.speed
            * self.spec.cores
            * window_us
        )
        return self._recent_us > limit_us

    def _start_queued(self, now_us: float) -> None:
        if now_us < self.paused_until:
            return
        while self.queue and self.running < self.spec.cores:
            work = self.queue.popleft()
            self.running += 1
            duration_us = work.cost_us * self.slowdown / (self.speed * self.warm_up_fraction(now_us))
            self.served_us += duration_us
            self._schedule(duration_us, partial(self._finish, work))

    def _finish(self, work: Work) -> None:
        if work.incarnation != self.incarnation:
            return  # the node was killed meanwhile
        self.running -= 1
        work.on_done()
        self._start_queued(self._now())

    def pause(self, now_us: float, length_us: float) -> None:
        """Starts no waiting attempts for `length_us`; running ones continue."""
        self.paused_until = now_us + length_us
        self._schedule(length_us, lambda: self._start_queued(self._now()))

    def set_clock(self, clock: Callable[[], float]) -> None:
        """Sets the function that returns the current time in microseconds."""
        self._now = clock

    def kill(self) -> None:
        """Stops the node; its attempts are lost."""
        self.up, self.incarnation, self.running = False, self.incarnation + 1, 0
        self.queue.clear()
        self._recent_work.clear()
        self._recent_us = 0.0

    def start(self, now_us: float) -> None:
        """Starts the node cold, unless it has crashed under overload."""
        if not self.overloaded:
            self.up, self.started_us = True, now_us
