"""Membership weighed: how soon a death is known, who is accused wrongly, and what it costs, by size and loss.

The real `FleetMember` runs in virtual time on a network with delay and loss; beside it stands the plain
thing: each broker sends a heartbeat to all others, and holds dead whom it has not heard for some periods.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from statistics import median
from typing import Protocol, TypeAlias

from lemonridge.fleet.actions import FleetAction, SendDatagram, SetTimer
from lemonridge.fleet.datagrams import HEADER_BYTES, MemberState
from lemonridge.fleet.events import DatagramReceived, TimerFired
from lemonridge.fleet.fleet_member import FleetMember
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.membership import PROBE_PERIOD_US
from lemonridge.fleet.settings import MemberSettings

START_US = 1_800_000_000_000_000
DELAY_MS = (1.4, 35.0)  # one way, as the site's messages take
THROTTLE_US, RUNS_US = 500_000, 50_000  # a broker at a tenth of its CPU runs for so long of each


class Speaker(Protocol):
    """One broker, whatever scheme it runs."""

    def start(self, now_us: int) -> list[FleetAction]: ...

    def take(self, now_us: int, source: int, data: bytes) -> list[FleetAction]: ...

    def wake(self, now_us: int) -> list[FleetAction]: ...

    def dead(self) -> set[int]: ...


class Swim:
    """The fleet's own."""

    def __init__(self, number: int, count: int, seed: int, incarnation: int) -> None:
        self._member_list, self._seed, self._life = (
            MemberList(tuple(map(str, range(count))), number),
            seed,
            incarnation,
        )

    def start(self, now_us: int) -> list[FleetAction]:
        seed = self._seed * 1009 + self._member_list.me
        self.fleet = FleetMember(
            self._member_list,
            now_us // 1000 + self._life,
            seed,
            now_us,
            MemberSettings(send_budget_bytes_s=1e6),
        )
        return self.fleet.handle(now_us, ())

    def take(self, now_us: int, source: int, data: bytes) -> list[FleetAction]:
        return self.fleet.handle(now_us, (DatagramReceived(source, data),))

    def wake(self, now_us: int) -> list[FleetAction]:
        return self.fleet.handle(now_us, (TimerFired(),))

    def dead(self) -> set[int]:
        return {
            n for n in self._member_list.others if self.fleet.membership.members[n].state is MemberState.DEAD
        }


class Plain:
    """A heartbeat to all each period; dead is who is unheard for `PATIENCE` of them."""

    PATIENCE = 8  # at 10% loss of each way nobody is accused in an hour

    def __init__(self, number: int, count: int, seed: int, incarnation: int) -> None:
        self._me, self._count, self._random = number, count, Random(f"{seed}/{number}/plain")
        self._heard: dict[int, int] = {}
        self._now = 0

    def start(self, now_us: int) -> list[FleetAction]:
        self._now = now_us
        return [SetTimer(now_us + int(self._random.random() * PROBE_PERIOD_US))]

    def take(self, now_us: int, source: int, data: bytes) -> list[FleetAction]:
        self._heard[source], self._now = now_us, now_us
        return []

    def wake(self, now_us: int) -> list[FleetAction]:
        self._now = now_us
        return [
            *(SendDatagram(n, bytes(HEADER_BYTES)) for n in range(self._count) if n != self._me),
            SetTimer(now_us + PROBE_PERIOD_US),
        ]

    def dead(self) -> set[int]:
        return {n for n, at in self._heard.items() if self._now - at > self.PATIENCE * PROBE_PERIOD_US}


Make: TypeAlias = Callable[[int, int, int, int], Speaker]
SCHEMES: dict[str, Make] = {"swim": Swim, "plain": Plain}


@dataclass
class Simulated:
    """A fleet in virtual time."""

    count: int
    seed: int
    loss: float
    make: Make
    slow: int | None = None  # a broker at a tenth of its CPU
    now_us: int = START_US
    told_bytes: int = 0
    accused: int = 0  # times that one that runs was held dead
    down: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._random = Random(f"{self.seed}/simulated")
        self._heap: list[tuple[int, int, int, int, bytes | None]] = []
        self._order = 0
        self._wakes = [0] * self.count
        self._held: list[set[int]] = [set() for _ in range(self.count)]
        self.speakers = [self.make(n, self.count, self.seed, 0) for n in range(self.count)]
        for n, speaker in enumerate(self.speakers):
            self._act(n, speaker.start(self.now_us))

    def _push(self, at_us: int, to: int, source: int, data: bytes | None) -> None:
        self._order += 1
        heapq.heappush(self._heap, (at_us, self._order, to, source, data))

    def _act(self, who: int, actions: Iterable[FleetAction]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self._wakes[who] = action.at_us
                self._push(action.at_us, who, -1, None)
            elif isinstance(action, SendDatagram):
                self.told_bytes += len(action.data)
                if self._random.random() >= self.loss:
                    delay_us = int(self._random.uniform(*DELAY_MS) * 1000)
                    self._push(self.now_us + delay_us, action.to, who, action.data)

    def run(self, seconds: float, done: Callable[[], bool] = lambda: False) -> bool:
        """Until `done`, or for so long; whether it was done."""
        until = self.now_us + int(seconds * 1e6)
        while self._heap and self._heap[0][0] <= until:
            at_us, _, to, source, data = heapq.heappop(self._heap)
            if to == self.slow and (at_us - START_US) % THROTTLE_US > RUNS_US:
                again = at_us + THROTTLE_US - (at_us - START_US) % THROTTLE_US
                if source < 0 and self._wakes[to] == at_us:
                    self._wakes[to] = again
                self._push(again, to, source, data)
                continue
            self.now_us = at_us
            if to in self.down or (source < 0 and self._wakes[to] != at_us):
                continue
            speaker = self.speakers[to]
            self._act(to, speaker.wake(at_us) if data is None else speaker.take(at_us, source, data))
            held = speaker.dead()
            self.accused += len(held - self._held[to] - self.down)
            self._held[to] = held
            if done():
                return True
        self.now_us = until
        return False

    def detect(self, victim: int) -> list[float]:
        """Kill a broker; seconds until each other one holds it dead, in the order in which they do."""
        self.down.add(victim)
        begun, times = self.now_us, dict[int, float]()

        def done() -> bool:
            for n in range(self.count):
                if n not in times and n not in self.down and victim in self._held[n]:
                    times[n] = (self.now_us - begun) / 1e6
            return len(times) == self.count - len(self.down)

        self.run(60.0, done)
        return sorted(times.values())


def row(count: int, loss: float, name: str, seed: int = 1, slow: bool = False) -> dict[str, object]:
    """One setting: 30 s at rest, then a death."""
    made = Simulated(count, seed, loss, SCHEMES[name], 1 if slow else None)
    made.run(10.0)
    before, at_us = made.told_bytes, made.now_us
    made.run(30.0)
    bytes_s = (made.told_bytes - before) / count / ((made.now_us - at_us) / 1e6)
    accused = made.accused
    times = made.detect(0)
    return {
        "measure": "membership",
        "scheme": name,
        "brokers": count,
        "loss": loss,
        "slow": int(slow),
        "bytes_s": round(bytes_s),
        "accused": accused,
        "known_to": len(times),
        "median_s": round(median(times), 2) if times else None,
        "all_s": round(times[-1], 2) if len(times) == count - 1 else None,
    }


def figures(
    sizes: tuple[int, ...] = (3, 16, 64, 256), losses: tuple[float, ...] = (0.0, 0.1, 0.3, 0.5)
) -> Iterable[dict[str, object]]:
    """Both schemes over sizes and losses, and with one slow broker."""
    for name in ("swim", "plain"):
        for count in sizes:
            for loss in losses:
                yield row(count, loss, name)
            yield row(count, 0.0, name, slow=True)
