"""The results of a run: service, refusals, reservations, limits, overloaded nodes, and a digest of them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

import orjson

from lemonridge.lab.model.node import Node
from lemonridge.lab.model.request import Request
from lemonridge.lab.model.spec import Scenario


class BrokerCost(Protocol):
    """The cost of a broker's decisions.

    Attributes:
        cpu_s: Time spent in decisions, in seconds.
        decided: Number of decided events.
    """

    cpu_s: float
    decided: int


LIMIT_WARM_UP_S = 3  # seconds at the start of a run in which the use of limits is not counted


@dataclass(slots=True)
class ClassCounts:
    """The counts of one request class.

    Attributes:
        asked: Number of requests.
        in_time: Number of requests served within the class's objective.
        late: Number of requests served after the objective.
        refused: Number of rejected tries.
        failed: Number of failed tries.
        lost: Number of tries lost with a broker.
        latencies_ms: Latencies of served requests in milliseconds.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    latencies_ms: list[float] = field(default_factory=list)


def _quantile(ordered: list[float], fraction: float) -> float:
    return round(ordered[int(len(ordered) * fraction)], 3) if ordered else 0.0


class Outcome:
    """The counts of a run; `figures` returns the compared results.

    Attributes:
        class_counts: Counts of each class.
        attempts: Number of attempts.
        overloaded_nodes: Number of nodes that crashed under overload.
        message_bytes: Bytes of datagrams between brokers.
        faults: Number of injected faults, by kind.
        asked_units: Requested units, by volume and second.
        served_units: Units served within the objective, by volume and second of the request.
        over_limit: Number of attempts that exceeded a volume's limit.
        sent_units: Units sent for volumes with a limit, by volume and second.
        cold_work_us: Work sent to cold nodes, in microseconds.
        cold_capacity_us: Work that the nodes could do while they were cold, in microseconds.
        cpu_us: Time spent in the brokers' decisions, in microseconds.
        decided: Number of events that the brokers decided.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self.class_counts = [ClassCounts() for _ in scenario.classes]
        self.attempts = self.wasted = self.overloaded_nodes = 0
        self.message_bytes = 0
        self.faults: dict[str, int] = {}
        self.asked_units: dict[tuple[int, int], float] = {}
        self.served_units: dict[tuple[int, int], float] = {}
        self._buckets: dict[int, tuple[float, float]] = {}
        self.over_limit = 0
        self.sent_units: dict[tuple[int, int], float] = {}
        self.cold_work_us = self.cold_capacity_us = 0.0
        self.cpu_us = 0.0
        self.decided = 0

    def record_arrival(self, request: Request, now_us: float) -> None:
        """Records a new request of a client."""
        self.class_counts[request.cls].asked += 1
        volume_second = (request.volume.number, int(now_us // 1_000_000))
        self.asked_units[volume_second] = self.asked_units.get(volume_second, 0.0) + request.units

    def record_attempt(self, request: Request, number: int, node: Node, now_us: float) -> None:
        """Records an attempt, and checks a request's first attempt against its volume's limit."""
        self.attempts += 1
        if node.warm_up_fraction(now_us) < 1.0:
            self.cold_work_us += request.cost_us
        plan = self._scenario.plans[request.volume.plan]
        if number or not plan.limit:
            return
        volume_second = (request.volume.number, int(now_us // 1_000_000))
        self.sent_units[volume_second] = self.sent_units.get(volume_second, 0.0) + request.units
        # The limit over all brokers: a token bucket that refills at the limit's rate, with the tolerance of
        # one largest request.
        capacity = max(plan.limit, 12.0)
        level, at = self._buckets.get(request.volume.number, (capacity, now_us))
        level = min(capacity, level + plan.limit * (now_us - at) / 1e6) - request.units
        self._buckets[request.volume.number] = (level, now_us)
        self.over_limit += level < -max(6.0, plan.limit * 0.1)

    def slow_start_began(self, node: Node, now_us: float) -> None:
        """Adds the work that a node can do during its slow start, as far as that lies within the run."""
        spec = node.spec
        duration_s = max(0.0, min(spec.ramp_s, self._scenario.seconds - now_us / 1e6))
        warmest = spec.slow_start_initial_fraction + (1 - spec.slow_start_initial_fraction) * (
            duration_s / spec.ramp_s if spec.ramp_s else 1.0
        )
        self.cold_capacity_us += (
            duration_s * 1e6 * spec.cores * node.speed * (spec.slow_start_initial_fraction + warmest) / 2
        )

    def record_served(self, request: Request, now_us: float) -> None:
        """Records a served request and its latency since its first try."""
        counts, class_spec = self.class_counts[request.cls], self._scenario.classes[request.cls]
        latency_ms = (now_us - request.first_sent_us) / 1000
        counts.latencies_ms.append(latency_ms)
        if latency_ms <= class_spec.aim_ms:
            counts.in_time += 1
            volume_second = (request.volume.number, int(request.first_sent_us // 1_000_000))
            self.served_units[volume_second] = self.served_units.get(volume_second, 0.0) + request.units
        else:
            counts.late += 1

    def record_unserved(self, request: Request, result: str) -> None:
        """Records a try that was `refused`, `failed` or `lost`."""
        counts = self.class_counts[request.cls]
        setattr(counts, result, getattr(counts, result) + 1)

    def close(self, nodes: Iterable[Node], brokers: Iterable[BrokerCost]) -> None:
        """Records the overloaded nodes and the brokers' costs at the end of a run."""
        brokers = list(brokers)
        self.overloaded_nodes = sum(node.overloaded for node in nodes)
        self.cpu_us = sum(broker.cpu_s for broker in brokers) * 1e6
        self.decided = sum(broker.decided for broker in brokers)

    def reservations(self) -> float:
        """Returns the fraction of the demand within reservations that was served in time; 1 without any."""
        due = served = 0.0
        for (volume, second), asked in self.asked_units.items():
            plan = self._scenario.plans[self._plan_index(volume)]
            reserved = min(asked, plan.reserve)
            due += reserved
            served += min(reserved, self.served_units.get((volume, second), 0.0))
        return served / due if due else 1.0

    def limits_used(self) -> float:
        """Returns the fraction of the demand within limits that was sent, summed over volumes and seconds."""
        allowed = used = 0.0
        for (volume, second), asked in self.asked_units.items():
            limit = self._scenario.plans[self._plan_index(volume)].limit
            if limit and second >= LIMIT_WARM_UP_S:
                sent = self.sent_units.get((volume, second), 0.0)
                allowed, used = allowed + min(asked, limit), used + min(asked, limit, sent)
        return used / allowed if allowed else 1.0

    def _plan_index(self, volume: int) -> int:
        position, total = (volume + 0.5) / self._scenario.volumes, 0.0
        for index, plan in enumerate(self._scenario.plans):
            total += plan.share
            if position <= total + 1e-9:
                return index
        return len(self._scenario.plans) - 1

    def figures(self) -> dict[str, float]:
        """Returns the results that depend only on the scenario and the seed."""
        asked = sum(counts.asked for counts in self.class_counts)
        weighted_counts = [
            (counts, class_spec.priority_weight)
            for counts, class_spec in zip(self.class_counts, self._scenario.classes, strict=True)
        ]
        priority_weight = sum(counts.asked * weight for counts, weight in weighted_counts)
        in_time = sum(counts.in_time * weight for counts, weight in weighted_counts)
        latencies = sorted(value for counts in self.class_counts for value in counts.latencies_ms)
        return {
            "asked": asked,
            "service": round(in_time / priority_weight, 6) if priority_weight else 0.0,
            **{
                name: sum(getattr(counts, name) for counts in self.class_counts)
                for name in ("in_time", "late", "refused", "failed", "lost")
            },
            "attempts": self.attempts,
            "p50_ms": _quantile(latencies, 0.5),
            "p99_ms": _quantile(latencies, 0.99),
            "reserves": round(self.reservations(), 6),
            "over_limit": self.over_limit,
            "fallen": self.overloaded_nodes,
            **({"message_bytes": self.message_bytes} if self._scenario.peers else {}),
            **(
                {
                    "limits_used": round(self.limits_used(), 4),
                    "cold_used": round(self.cold_work_us / self.cold_capacity_us, 4)
                    if self.cold_capacity_us
                    else 0.0,
                }
                if self._scenario.lead
                else {}
            ),
        }

    def digest(self) -> str:
        """Returns a digest of the figures."""
        return hashlib.sha256(orjson.dumps(self.figures(), option=orjson.OPT_SORT_KEYS)).hexdigest()[:16]
