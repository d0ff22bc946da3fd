"""Base class of tests that run a broker with a scripted scheduler and endpoints, without a protocol."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

from conftest import SETTINGS

from lemonridge.core.broker import Broker
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.decision_host import DecisionHost
from lemonridge.core.model import Attempt, Outcome, Request
from lemonridge.scheduling.actions import Action, Send
from lemonridge.scheduling.events import Event, RequestArrived


class ScriptedScheduler:
    """Replaces the scheduler: records each batch of events and returns the actions that `react` returns."""

    def __init__(self) -> None:
        self.batches: list[list[Event]] = []
        self.react: Callable[[Event], list[Action]] = lambda event: []
        self.allows_begin = True
        self.open_requests_max: int | None = None

    def handle(self, _now_us: int, events: list[Event]) -> list[Action]:
        self.batches.append(events)
        return [action for event in events for action in self.react(event)]

    def may_begin(self, _now_us: int, _request: str, _attempt: int) -> bool:
        return self.allows_begin

    def events_of_type(self, kind: type) -> list[Event]:
        return [event for batch in self.batches for event in batch if isinstance(event, kind)]


class BrokerTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a broker with a scripted scheduler that sends each request to endpoint "a" by default.

    Tests set `make_attempt` to the behavior of the endpoints.
    """

    async def asyncSetUp(self) -> None:
        self.counters = Counters()
        self.host = DecisionHost(replace(SETTINGS), 1, Clock(asyncio.get_running_loop()), self.counters)
        self.scheduler = ScriptedScheduler()
        self.host._scheduler = self.scheduler  # type: ignore[assignment]
        self.make_attempt: Callable[[Attempt], Awaitable[Outcome]]
        self.broker = Broker(self.host, self, self.counters)  # type: ignore[arg-type]
        self.scheduler.react = lambda event: (
            [Send(event.request, "a")] if isinstance(event, RequestArrived) else []
        )

    async def attempt(self, attempt: Attempt) -> Outcome:
        return await self.make_attempt(attempt)

    def new_request(self, deadline_in_us: int = 2_000_000) -> Request:
        return Request(0, 1, self.host.clock.now_us() + deadline_in_us, 2, 0, 0, 1.0, 1, None)

    async def wait_until_all_requests_are_closed(self) -> None:
        while self.host.open_requests:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
