"""Measures membership: time to detect a death, false detections and bytes, by fleet size and loss.

The real `FleetMember` runs in virtual time on a network with delay and loss. It is compared with plain
heartbeats: each broker sends one to all others in each period, and declares a member dead that has sent none
for several periods.
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
DELAY_MS = (1.4, 35.0)  # shortest and longest one-way delay, as on the site
THROTTLE_PERIOD_US = 500_000  # the scheduling period of a broker that is throttled to a tenth of its CPU
THROTTLE_RUN_US = 50_000  # for how long it runs in each period
SETTLE_S = 10.0  # before the measurement
AT_REST_S = 30.0  # the time over which bytes are measured
DETECTION_MAX_S = 60.0


class Detector(Protocol):
    """The failure detector of one broker."""

    def start(self, now_us: int) -> list[FleetAction]:
        """Starts it and returns its first actions."""

    def on_datagram(self, now_us: int, source: int, data: bytes) -> list[FleetAction]:
        """Processes a datagram of another broker."""

    def on_timer(self, now_us: int) -> list[FleetAction]:
        """Processes the expiry of the timer that was set last."""

    def dead(self) -> set[int]:
        """Returns the brokers that it considers dead."""


class Swim:
    """The fleet's own membership protocol."""

    def __init__(self, number: int, count: int, seed: int) -> None:
        self._member_list, self._seed = MemberList(tuple(map(str, range(count))), number), seed

    def start(self, now_us: int) -> list[FleetAction]:
        """Starts a member with a send budget that never limits it."""
        seed = self._seed * 1009 + self._member_list.own_id
        settings = MemberSettings(send_budget_bytes_s=1e6)
        self._member = FleetMember(self._member_list, now_us // 1000, seed, now_us, settings)
        return self._member.handle(now_us, ())

    def on_datagram(self, now_us: int, source: int, data: bytes) -> list[FleetAction]:
        """Passes the datagram to the member."""
        return self._member.handle(now_us, (DatagramReceived(source, data),))

    def on_timer(self, now_us: int) -> list[FleetAction]:
        """Passes the expiry of the timer to the member."""
        return self._member.handle(now_us, (TimerFired(),))

    def dead(self) -> set[int]:
        """Returns the brokers whose state is dead at the member."""
        members = self._member.membership.members
        return {n for n in self._member_list.others if members[n].state is MemberState.DEAD}


class Heartbeats:
    """Sends a heartbeat to all brokers in each period.

    A broker is dead if none of its heartbeats arrived for SILENT_PERIODS periods.
    """

    SILENT_PERIODS = 8  # no false detection in an hour at 10% loss in each direction

    def __init__(self, number: int, count: int, seed: int) -> None:
        self._number, self._count, self._random = number, count, Random(f"{seed}/{number}/plain")
        self._received_us: dict[int, int] = {}
        self._now_us = 0

    def start(self, now_us: int) -> list[FleetAction]:
        """Starts at a random moment of the period."""
        self._now_us = now_us
        return [SetTimer(now_us + int(self._random.random() * PROBE_PERIOD_US))]

    def on_datagram(self, now_us: int, source: int, data: bytes) -> list[FleetAction]:
        """Records the time of the heartbeat."""
        self._received_us[source], self._now_us = now_us, now_us
        return []

    def on_timer(self, now_us: int) -> list[FleetAction]:
        """Sends a heartbeat, which consists of a header, to all others."""
        self._now_us = now_us
        others = (n for n in range(self._count) if n != self._number)
        return [
            *(SendDatagram(n, bytes(HEADER_BYTES)) for n in others),
            SetTimer(now_us + PROBE_PERIOD_US),
        ]

    def dead(self) -> set[int]:
        """Returns the brokers without a heartbeat for too long."""
        silence_us = self.SILENT_PERIODS * PROBE_PERIOD_US
        return {n for n, at_us in self._received_us.items() if self._now_us - at_us > silence_us}


DetectorFactory: TypeAlias = Callable[[int, int, int], Detector]
SCHEMES: dict[str, DetectorFactory] = {"swim": Swim, "plain": Heartbeats}


@dataclass
class SimulatedFleet:
    """A fleet in virtual time.

    Attributes:
        count: The number of brokers.
        seed: The seed of delays and losses.
        loss: The fraction of datagrams that are lost.
        make: Creates the detector of a broker from its number, the number of brokers and the seed.
        throttled: A broker that runs at a tenth of its CPU, if any.
        now_us: The virtual time, in microseconds.
        sent_bytes: The bytes that all brokers have sent.
        false_deaths: How often a broker declared a running broker dead.
        down: The brokers that were killed.
    """

    count: int
    seed: int
    loss: float
    make: DetectorFactory
    throttled: int | None = None
    now_us: int = START_US
    sent_bytes: int = 0
    false_deaths: int = 0
    down: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._random = Random(f"{self.seed}/simulated")
        self._heap: list[tuple[int, int, int, int, bytes | None]] = []
        self._order = 0
        self._timers_us = [0] * self.count
        self._dead: list[set[int]] = [set() for _ in range(self.count)]
        self._detectors = [self.make(n, self.count, self.seed) for n in range(self.count)]
        for n, detector in enumerate(self._detectors):
            self._carry_out(n, detector.start(self.now_us))

    def _push(self, at_us: int, receiver: int, source: int, data: bytes | None) -> None:
        """Schedules the arrival of a datagram or, for None, the expiry of a timer."""
        self._order += 1
        heapq.heappush(self._heap, (at_us, self._order, receiver, source, data))

    def _carry_out(self, number: int, actions: Iterable[FleetAction]) -> None:
        """Sends the datagrams and sets the timer of a broker's actions."""
        for action in actions:
            if isinstance(action, SetTimer):
                self._timers_us[number] = action.at_us
                self._push(action.at_us, number, -1, None)
            elif isinstance(action, SendDatagram):
                self.sent_bytes += len(action.data)
                if self._random.random() >= self.loss:
                    delay_us = int(self._random.uniform(*DELAY_MS) * 1000)
                    self._push(self.now_us + delay_us, action.to, number, action.data)

    def run(self, seconds: float, done: Callable[[], bool] = lambda: False) -> bool:
        """Runs until `done`, or for some seconds; returns whether it was done."""
        until_us = self.now_us + int(seconds * 1e6)
        while self._heap and self._heap[0][0] <= until_us:
            at_us, _, receiver, source, data = heapq.heappop(self._heap)
            phase_us = (at_us - START_US) % THROTTLE_PERIOD_US
            if receiver == self.throttled and phase_us > THROTTLE_RUN_US:
                runs_us = at_us + THROTTLE_PERIOD_US - phase_us
                if source < 0 and self._timers_us[receiver] == at_us:
                    self._timers_us[receiver] = runs_us
                self._push(runs_us, receiver, source, data)
                continue
            self.now_us = at_us
            if receiver in self.down or (source < 0 and self._timers_us[receiver] != at_us):
                continue
            self._deliver(receiver, source, data)
            if done():
                return True
        self.now_us = until_us
        return False

    def _deliver(self, receiver: int, source: int, data: bytes | None) -> None:
        """Passes a datagram or, for None, a timer expiry to a broker; counts its false detections."""
        detector, now_us = self._detectors[receiver], self.now_us
        actions = detector.on_timer(now_us) if data is None else detector.on_datagram(now_us, source, data)
        self._carry_out(receiver, actions)
        dead = detector.dead()
        self.false_deaths += len(dead - self._dead[receiver] - self.down)
        self._dead[receiver] = dead

    def detection_times_s(self, victim: int) -> list[float]:
        """Kills a broker; returns the times in s until each other broker declares it dead, in order."""
        self.down.add(victim)
        began_us, times_s = self.now_us, dict[int, float]()

        def all_know() -> bool:
            """Records the time of new detections; returns whether all running brokers have detected it."""
            for n in range(self.count):
                if n not in times_s and n not in self.down and victim in self._dead[n]:
                    times_s[n] = (self.now_us - began_us) / 1e6
            return len(times_s) == self.count - len(self.down)

        self.run(DETECTION_MAX_S, all_know)
        return sorted(times_s.values())


def measure_scheme(
    count: int, loss: float, name: str, seed: int = 1, slow: bool = False
) -> dict[str, object]:
    """Measures one setting: bytes and false detections at rest, then the detection of a death.

    Args:
        count: The number of brokers.
        loss: The fraction of datagrams that are lost.
        name: The scheme, a key of SCHEMES.
        seed: The seed of delays and losses.
        slow: Whether one broker runs at a tenth of its CPU.
    """
    fleet = SimulatedFleet(count, seed, loss, SCHEMES[name], 1 if slow else None)
    fleet.run(SETTLE_S)
    before_bytes, began_us = fleet.sent_bytes, fleet.now_us
    fleet.run(AT_REST_S)
    bytes_s = (fleet.sent_bytes - before_bytes) / count / ((fleet.now_us - began_us) / 1e6)
    false_deaths = fleet.false_deaths
    times_s = fleet.detection_times_s(0)
    return {
        "measure": "membership",
        "scheme": name,
        "brokers": count,
        "loss": loss,
        "slow": int(slow),
        "bytes_s": round(bytes_s),
        "accused": false_deaths,
        "known_to": len(times_s),
        "median_s": round(median(times_s), 2) if times_s else None,
        "all_s": round(times_s[-1], 2) if len(times_s) == count - 1 else None,
    }


def figures(
    sizes: tuple[int, ...] = (3, 16, 64, 256), losses: tuple[float, ...] = (0.0, 0.1, 0.3, 0.5)
) -> Iterable[dict[str, object]]:
    """Yields the figures of both schemes for all sizes and losses, and with one slow broker."""
    for name in ("swim", "plain"):
        for count in sizes:
            for loss in losses:
                yield measure_scheme(count, loss, name)
            yield measure_scheme(count, 0.0, name, slow=True)
