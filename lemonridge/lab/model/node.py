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
        after: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self.name, self.shard, self.hall, self.spec, self.speed = name, shard, hall, spec, speed
        self._after = after
        self.up, self.incarnation, self.started_us = True, 0, -1.0  # started long ago
        self.slowdown = 1.0  # of a gray node: times the usual work
        self.busy, self.overloaded = 0, False
        self.queue: deque[Work] = deque()
        self.paused_until = 0.0
        self._recent: deque[tuple[float, float]] = deque()  # (when, work) within the time of a fall
        self._recent_us = 0.0
        self.served_us = 0.0

    @property
    def active(self) -> int:
        return self.busy + len(self.queue)

    def warmth(self, now_us: float) -> float:
        """Its part of its power, by the time since its start."""
        if self.started_us < 0 or not self.spec.ramp_s:
            return 1.0
        done = (now_us - self.started_us) / (self.spec.ramp_s * 1e6)
        return min(
            1.0, self.spec.slow_start_initial_fraction + (1 - self.spec.slow_start_initial_fraction) * done
        )

    def offer(self, now_us: float, work: Work) -> bool:
        """Take an attempt; False turns it away unseen."""
        if self.active >= self.spec.cores + self.spec.queue:
            return False
        if self.warmth(now_us) < 1.0 and self._tips(now_us, work.cost_us):
            self.overloaded = True
            self.kill()
            return False
        work.incarnation = self.incarnation
        self.queue.append(work)
        self._next(now_us)
        return True

    def _tips(self, now_us: float, cost_us: float) -> bool:
        """Whether a cold node falls over: sent more than so many times what it can do within the time."""
        span = self.spec.fall_s * 1e6
        self._recent.append((now_us, cost_us))
        self._recent_us += cost_us
        while self._recent[0][0] < now_us - span:
            self._recent_us -= self._recent.popleft()[1]
        bears = self.spec.overload_multiple * self.warmth(now_us) * self.speed * self.spec.cores * span
        return self._recent_us > bears

    def _next(self, now_us: float) -> None:
        if now_us < self.paused_until:
            return
        while self.queue and self.busy < self.spec.cores:
            work = self.queue.popleft()
            self.busy += 1
            took = work.cost_us * self.slowdown / (self.speed * self.warmth(now_us))
            self.served_us += took
            self._after(took, partial(self._end, work))

    def _end(self, work: Work) -> None:
        if work.incarnation != self.incarnation:
            return  # it died meanwhile
        self.busy -= 1
        work.on_done()
        self._next(self._clock())

    def pause(self, now_us: float, length_us: float) -> None:
        """Begin nothing for a while."""
        self.paused_until = now_us + length_us
        self._after(length_us, lambda: self._next(self._clock()))

    def set_clock(self, clock: Callable[[], float]) -> None:
        self._clock = clock

    def kill(self) -> None:
        """What it holds is lost."""
        self.up, self.incarnation, self.busy = False, self.incarnation + 1, 0
        self.queue.clear()
        self._recent.clear()
        self._recent_us = 0.0

    def start(self, now_us: float) -> None:
        """Come back cold."""
        if not self.overloaded:
            self.up, self.started_us = True, now_us
