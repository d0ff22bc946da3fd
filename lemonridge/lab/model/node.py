"""A modelled node: cores, a queue in turn of arrival, a cold start, pauses, and a fall under too much
work.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from lemonridge.lab.model.spec import NodeSpec


@dataclass(slots=True, eq=False)
class Work:
    """One attempt at a node: its work in microseconds at speed 1, and whom it tells of its end."""

    cost_us: float
    on_done: Callable[[], None]
    incarnation: int = 0


class Node:
    """Serves `cores` attempts at once, each at the speed that the node has at its start."""

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
        self.up, self.incarnation, self.started_us = True, 0, -1.0  # started long ago
        self.slowdown = 1.0  # of a gray node: times the usual work
        self.running, self.overloaded = 0, False
        self.queue: deque[Work] = deque()
        self.paused_until = 0.0
        self._recent_work: deque[tuple[float, float]] = deque()  # (when, work) within the time of a fall
        self._recent_us = 0.0
        self.served_us = 0.0

    @property
    def active(self) -> int:
        return self.running + len(self.queue)

    def warm_up_fraction(self, now_us: float) -> float:
        """Its part of its power, by the time since its start."""
        if self.started_us < 0 or not self.spec.ramp_s:
            return 1.0
        elapsed_fraction = (now_us - self.started_us) / (self.spec.ramp_s * 1e6)
        return min(
            1.0,
            self.spec.slow_start_initial_fraction
            + (1 - self.spec.slow_start_initial_fraction) * elapsed_fraction,
        )

    def offer(self, now_us: float, work: Work) -> bool:
        """Take an attempt; False turns it away unseen."""
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
        """Whether a cold node falls over: sent more than so many times what it can do within the time."""
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
            return  # it died meanwhile
        self.running -= 1
        work.on_done()
        self._start_queued(self._now())

    def pause(self, now_us: float, length_us: float) -> None:
        """Begin nothing for a while."""
        self.paused_until = now_us + length_us
        self._schedule(length_us, lambda: self._start_queued(self._now()))

    def set_clock(self, clock: Callable[[], float]) -> None:
        self._now = clock

    def kill(self) -> None:
        """What it holds is lost."""
        self.up, self.incarnation, self.running = False, self.incarnation + 1, 0
        self.queue.clear()
        self._recent_work.clear()
        self._recent_us = 0.0

    def start(self, now_us: float) -> None:
        """Come back cold."""
        if not self.overloaded:
            self.up, self.started_us = True, now_us
