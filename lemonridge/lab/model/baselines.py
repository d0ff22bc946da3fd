"""Schedulers to compare the module with: they take the same events and return the same actions.

Each sends at once, by its own rule among the usable nodes of a shard, makes at most the attempts that a class
allows, and knows neither plans nor windows.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Protocol

from lemonridge.scheduling import Scheduler
from lemonridge.scheduling.actions import Action, Fail, Reject, RejectReason, Send
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
    Event,
    RequestArrived,
)
from lemonridge.scheduling.settings import IdempotencyKind, Settings

UNRUN = frozenset(
    (
        AttemptResult.QUEUE_FULL,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
        AttemptResult.DATA_MIGRATED,
    )
)


class DecisionMaker(Protocol):
    """What the model hosts."""

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]: ...


class Baseline:
    """Sends each request to one of its shard's nodes as soon as it comes."""

    def __init__(self, settings: Settings, seed: int, rule: str) -> None:
        self._settings, self._random, self._rule = settings, Random(seed), rule
        self._nodes: dict[str, Endpoint] = {}
        self._shards: dict[int, list[str]] = {}
        self._all: list[str] = []
        self._out: dict[str, int] = {}
        self._turn = 0
        self._open: dict[str, tuple[RequestArrived, int, bool]] = {}  # attempts made, whether it may have run

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            if isinstance(event, RequestArrived):
                self._open[event.request] = (event, 0, False)
                self._send(event.request, actions)
            elif isinstance(event, AttemptEnded):
                self._ended(event, now_us, actions)
            elif isinstance(event, EndpointsChanged):
                self._listed(event)
            elif isinstance(event, ClientDisconnected):
                self._open.pop(event.request, None)
        return actions

    def _listed(self, event: EndpointsChanged) -> None:
        if event.kind is not EndpointListUpdate.DELTA:
            self._nodes = {}
        for entry in event.entries:
            self._nodes[entry.endpoint_id] = entry
        usable = [one for one in self._nodes.values() if one.state is EndpointState.ACTIVE]
        self._all, self._shards = [one.endpoint_id for one in usable], {}
        for one in usable:
            self._shards.setdefault(one.shard, []).append(one.endpoint_id)

    def _pick(self, shard: int) -> str | None:
        nodes = self._all if shard < 0 else self._shards.get(shard, [])
        if not nodes:
            return None
        if self._rule == "round-robin":
            self._turn += 1
            return nodes[self._turn % len(nodes)]
        if self._rule == "least":
            return min(nodes, key=lambda node: self._out.get(node, 0))
        if self._rule == "two-choices":
            pair = (self._random.choice(nodes), self._random.choice(nodes))
            return min(pair, key=lambda node: self._out.get(node, 0))
        return self._random.choice(nodes)

    def _send(self, request: str, actions: list[Action]) -> None:
        event, made, ran = self._open[request]
        node = self._pick(event.shard)
        if node is None:
            actions.append(Reject(request, 0, RejectReason.OBJECTIVE_MISSED))
            del self._open[request]
            return
        self._open[request] = (event, made + 1, ran)
        self._out[node] = self._out.get(node, 0) + 1
        actions.append(Send(request, node))

    def _ended(self, event: AttemptEnded, now_us: int, actions: list[Action]) -> None:
        self._out[event.endpoint_id] = self._out.get(event.endpoint_id, 1) - 1
        held = self._open.get(event.request)
        if held is None:
            return
        arrived, made, ran = held
        if event.finished:
            del self._open[event.request]
            return
        ran = ran or event.result not in UNRUN
        self._open[event.request] = (arrived, made, ran)
        safe = self._settings.classes[arrived.cls].idempotency is IdempotencyKind.IDEMPOTENT
        if made < self._settings.max_attempts and now_us < arrived.deadline_us and (safe or not ran):
            self._send(event.request, actions)
            return
        del self._open[event.request]
        spent = RejectReason.ATTEMPTS_EXHAUSTED
        refusable = safe or not ran
        actions.append(Reject(event.request, 0, spent) if refusable else Fail(event.request, spent))


def make_scheduler(policy: str, settings: Settings, seed: int) -> DecisionMaker:
    """The module, or a baseline by its name."""
    return Scheduler(settings, seed) if policy == "module" else Baseline(settings, seed, policy)
