"""Baseline schedulers to compare the real one with, which take the same events and return the same actions.

Each of them sends a request immediately to one of its shard's active nodes, chosen by the baseline's rule,
and retries it up to the allowed number of attempts. They ignore plans and windows.
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

NOT_EXECUTED = frozenset(
    (
        AttemptResult.QUEUE_FULL,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
        AttemptResult.DATA_MIGRATED,
    )
)


class DecisionMaker(Protocol):
    """A scheduler that the model can run."""

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Handles events and returns the resulting actions."""
        ...


class Baseline:
    """A scheduler that sends each request to one of its shard's nodes as soon as it arrives.

    The rule is `round-robin`, `least` (fewest open attempts), `two-choices` (the one with fewer open attempts
    of two random nodes) or `random`.
    """

    def __init__(self, settings: Settings, seed: int, rule: str) -> None:
        self._settings, self._random, self._rule = settings, Random(seed), rule
        self._nodes: dict[str, Endpoint] = {}
        self._shards: dict[int, list[str]] = {}
        self._all: list[str] = []
        self._outstanding: dict[str, int] = {}
        self._turns = 0
        # By request: its arrival, the number of attempts made, and whether it may have been executed.
        self._requests: dict[str, tuple[RequestArrived, int, bool]] = {}

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Handles events and returns the resulting actions."""
        actions: list[Action] = []
        for event in events:
            if isinstance(event, RequestArrived):
                self._requests[event.request] = (event, 0, False)
                self._send(event.request, actions)
            elif isinstance(event, AttemptEnded):
                self._on_attempt_ended(event, now_us, actions)
            elif isinstance(event, EndpointsChanged):
                self._update_endpoints(event)
            elif isinstance(event, ClientDisconnected):
                self._requests.pop(event.request, None)
        return actions

    def _update_endpoints(self, event: EndpointsChanged) -> None:
        if event.kind is not EndpointListUpdate.DELTA:
            self._nodes = {}
        for entry in event.entries:
            self._nodes[entry.endpoint_id] = entry
        usable = [endpoint for endpoint in self._nodes.values() if endpoint.state is EndpointState.ACTIVE]
        self._all, self._shards = [endpoint.endpoint_id for endpoint in usable], {}
        for endpoint in usable:
            self._shards.setdefault(endpoint.shard, []).append(endpoint.endpoint_id)

    def _pick(self, shard: int) -> str | None:
        nodes = self._all if shard < 0 else self._shards.get(shard, [])
        if not nodes:
            return None
        if self._rule == "round-robin":
            self._turns += 1
            return nodes[self._turns % len(nodes)]
        if self._rule == "least":
            return min(nodes, key=lambda node: self._outstanding.get(node, 0))
        if self._rule == "two-choices":
            pair = (self._random.choice(nodes), self._random.choice(nodes))
            return min(pair, key=lambda node: self._outstanding.get(node, 0))
        return self._random.choice(nodes)

    def _send(self, request: str, actions: list[Action]) -> None:
        arrived, attempts_made, may_have_run = self._requests[request]
        node = self._pick(arrived.shard)
        if node is None:
            actions.append(Reject(request, 0, RejectReason.OBJECTIVE_MISSED))
            del self._requests[request]
            return
        self._requests[request] = (arrived, attempts_made + 1, may_have_run)
        self._outstanding[node] = self._outstanding.get(node, 0) + 1
        actions.append(Send(request, node))

    def _on_attempt_ended(self, event: AttemptEnded, now_us: int, actions: list[Action]) -> None:
        self._outstanding[event.endpoint_id] = self._outstanding.get(event.endpoint_id, 1) - 1
        state = self._requests.get(event.request)
        if state is None:
            return
        arrived, attempts_made, may_have_run = state
        if event.finished:
            del self._requests[event.request]
            return
        may_have_run = may_have_run or event.result not in NOT_EXECUTED
        self._requests[event.request] = (arrived, attempts_made, may_have_run)
        is_idempotent = self._settings.classes[arrived.cls].idempotency is IdempotencyKind.IDEMPOTENT
        if (
            attempts_made < self._settings.max_attempts
            and now_us < arrived.deadline_us
            and (is_idempotent or not may_have_run)
        ):
            self._send(event.request, actions)
            return
        del self._requests[event.request]
        reason = RejectReason.ATTEMPTS_EXHAUSTED
        may_reject = is_idempotent or not may_have_run
        actions.append(Reject(event.request, 0, reason) if may_reject else Fail(event.request, reason))


def make_scheduler(policy: str, settings: Settings, seed: int) -> DecisionMaker:
    """Returns the real scheduler for policy `module`, or the baseline with that rule."""
    return Scheduler(settings, seed) if policy == "module" else Baseline(settings, seed, policy)
