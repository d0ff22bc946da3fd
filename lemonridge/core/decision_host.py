"""The host of the decision module: its clock, its one timer, and a mailbox for each request."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.model import Answer, AnswerKind, Attempt, Request
from lemonridge.scheduling import Scheduler
from lemonridge.scheduling.actions import (
    Action,
    Cancel,
    Fail,
    Reject,
    Send,
    SetTimer,
    SlowStartBegan,
    Subscribe,
)
from lemonridge.scheduling.events import (
    AttemptEnded,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    Event,
    LimitLevel,
    RequestArrived,
    SettingsChanged,
    TimerFired,
)
from lemonridge.scheduling.settings import Settings

log = logging.getLogger(__name__)


class RequestMailbox:
    """What was decided for one request, and its one final answer."""

    def __init__(self, name: str, request: Request) -> None:
        self.name, self.request = name, request
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.scope: asyncio.Timeout | None = None  # of the attempt in flight
        self.attempt: Attempt | None = None  # the one in flight
        self.cancelled = False  # it was called off
        self.decided_s = 0.0  # when the last attempt was, on the loop's clock
        self._orders: deque[Send] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def settle(self, answer: Answer) -> bool:
        """Give the final answer, unless there is one."""
        if self.answer.done():
            return False
        self.answer.set_result(answer)
        if self.attempt is not None and not self.attempt.begun:
            self._call_off()  # it would not begin any more
        self._wake()
        return True

    def deliver(self, action: Send | Cancel | Reject | Fail) -> None:
        """Take a decision. A final answer leaves at once, also while an attempt is out."""
        if isinstance(action, Send):
            self._orders.append(action)
            self.decided_s = asyncio.get_running_loop().time()
            self._wake()
        elif isinstance(action, Reject):
            self.settle(Answer(AnswerKind.REFUSED, backoff_us=action.backoff_us))
        elif isinstance(action, Fail):
            self.settle(Answer(AnswerKind.FAILED))
        elif self.attempt is not None and action.attempt == self.attempt.number:
            self._call_off()

    def _call_off(self) -> None:
        """End the attempt in flight."""
        if self.scope is not None and not self.scope.expired():
            self.cancelled = True
            self.scope.reschedule(asyncio.get_running_loop().time())

    async def next_send(self) -> Send | None:
        """The next attempt to make; None once the request is over."""
        while not self._orders:
            if self.answer.done():
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._orders.popleft()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


BEAT_S = 0.1  # how often a process that must know of its stops looks whether it ran
STALL_S = 0.3  # a look that comes so much late says that it did not: well within the time of a drain
CATCH_UP_S = 0.03  # after that nothing is decided for so long: what came meanwhile is read first


class Observer(Protocol):
    """Sees what the decisions see, before they do, and what they decide."""

    def arrived(self, event: RequestArrived) -> None: ...

    def listed(self, entries: Iterable[Endpoint]) -> None: ...

    def sent(self, endpoint: str, request: Request) -> None: ...

    def ended(self, event: AttemptEnded, request: Request | None) -> None: ...

    def acted(self, action: Action) -> None: ...

    def renewed(self) -> None: ...


class LeaseGuard(Protocol):
    """Says by which settings the decisions go, where that may end by time alone."""

    def before(self, now_us: int) -> Settings | None:
        """Settings to go by from now on; None where nothing changed."""

    def epoch(self, decided_s: float) -> str | None:
        """By which epochs an attempt begins that was decided at a time; None where it may not any more."""


class DecisionHost:
    """Owns the scheduler. The events of one turn of the event loop go to it together."""

    def __init__(self, settings: Settings, seed: int, clock: Clock, counters: Counters) -> None:
        self._settings, self._seed = settings, seed
        self.clock, self._counters = clock, counters
        self._loop = asyncio.get_running_loop()
        self._scheduler = Scheduler(settings, seed, host_confirms_start=True)
        self._mailboxes: dict[str, RequestMailbox] = {}
        self._events: list[Event] = []
        self._due = False
        self._timer: asyncio.TimerHandle | None = None
        self._taken = 0
        self.relist: Callable[[], tuple[Endpoint, ...]] = tuple
        self.observer: Observer | None = None
        self.fence: LeaseGuard | None = None
        self._beat_s: float | None = None
        self._held_until_s = 0.0

    @property
    def held(self) -> int:
        """How many requests have a life that is not over."""
        return len(self._mailboxes)

    def open(self, request: Request) -> RequestMailbox:
        """A request begins. The name is the core's own: a client may send an id twice."""
        self._taken += 1
        mailbox = RequestMailbox(f"r{self._taken}", request)
        self._mailboxes[mailbox.name] = mailbox
        arrived = RequestArrived(
            mailbox.name,
            request.shard,
            request.volume,
            request.deadline_us,
            request.key,
            request.cls,
            request.plan,
            request.units,
            request.hosts,
            request.repeat,
        )
        if self.observer is not None:
            self.observer.arrived(arrived)
        self.deliver(arrived)
        return mailbox

    def configure(self, settings: Settings) -> None:
        """New settings, for every request that comes from now on."""
        self._settings = settings
        self.deliver(SettingsChanged(settings, False))

    def export_limits(self) -> dict[int, LimitLevel]:
        """Hand the limits over to another process of this broker, by volume."""
        return self._scheduler.export_limits()

    def import_limits(self, levels: Mapping[int, LimitLevel]) -> None:
        """Be the process whose limits fill, from these levels on."""
        self._scheduler.import_limits(self.clock.now_us(), levels)

    def begins(self, mailbox: RequestMailbox, number: int) -> bool:
        """Whether an attempt may still begin: its client has not left and has no answer, and the decisions
        stand by it. Asked at its first byte, for which it may have waited. The system is asked whether the
        client has ended, as the event loop may not have read that yet (STANDING: 0.1 s after the close).
        """
        if mailbox.request.abandoned():
            self._counters["attempts.abandoned"] += 1
            return False
        if mailbox.answer.done() or (self.fence is not None and self.fence.epoch(mailbox.decided_s) is None):
            return False
        return self._scheduler.begins(self.clock.now_us(), mailbox.name, number)

    def close(self, mailbox: RequestMailbox) -> None:
        """The life of a request is over."""
        self._mailboxes.pop(mailbox.name, None)

    def deliver(self, event: Event) -> None:
        """Note an event for the end of this turn of the loop."""
        if self.observer is not None and isinstance(event, AttemptEnded):
            mailbox = self._mailboxes.get(event.request)
            self.observer.ended(event, None if mailbox is None else mailbox.request)
        elif self.observer is not None and isinstance(event, EndpointsChanged):
            self.observer.listed(event.entries)
        self._events.append(event)
        if not self._due:
            self._due = True
            self._loop.call_soon(self._decide)

    def look(self) -> None:
        """Ask the fence anew at the end of this turn of the loop."""
        self.deliver(TimerFired())

    def watch_for_stops(self) -> None:
        """Look from now on whether this process was stopped (SIGSTOP, a machine that had no time for it). One
        that goes on believes what it knew before, while drains and slices that it has not read yet hold.
        """
        beat_s, self._beat_s = self._beat_s, self._loop.time()
        if beat_s is not None:
            self._look(beat_s)
        self._loop.call_later(BEAT_S, self.watch_for_stops)

    def _look(self, beat_s: float) -> None:
        now_s = self._loop.time()
        if now_s - beat_s > BEAT_S + STALL_S and now_s > self._held_until_s:
            self._held_until_s, self._beat_s = now_s + CATCH_UP_S, now_s
            self._counters["loop.stopped"] += 1
            log.warning("did not run", extra={"for_ms": int((now_s - beat_s) * 1000)})

    def _decide(self) -> None:
        if self._beat_s is not None:
            self._look(self._beat_s)
            if self._loop.time() < self._held_until_s:
                self._loop.call_at(self._held_until_s, self._decide)
                return
        events, self._events, self._due = self._events, [], False
        try:
            if self.fence is not None and (settings := self.fence.before(self.clock.now_us())) is not None:
                self._settings = settings
                events.insert(0, SettingsChanged(settings, True))
            actions = self._scheduler.handle(self.clock.now_us(), events)
        except Exception:
            self._start_over()
            return
        if log.isEnabledFor(logging.DEBUG):
            self._trace(events, actions)
        for action in actions:
            if isinstance(action, (Reject, Fail)):
                self._counters[f"given_up.{action.reason.value}"] += 1
            if isinstance(action, SetTimer):
                self._wake_at(action.at_us)
            elif isinstance(action, SlowStartBegan):
                if self.observer is not None:
                    self.observer.acted(action)
            elif not isinstance(action, Subscribe):  # the watch of the node list never ends
                mailbox = self._mailboxes.get(action.request)
                if mailbox is not None:
                    if self.observer is not None and isinstance(action, Send):
                        self.observer.sent(action.endpoint_id, mailbox.request)
                    mailbox.deliver(action)

    def _trace(self, events: list[Event], actions: list[Action]) -> None:
        """What was told and decided, a line each: to be added up over all brokers."""
        for told in (*events, *actions):
            if not isinstance(told, (EndpointsChanged, SettingsChanged, TimerFired, SetTimer, Subscribe)):
                log.debug(type(told).__name__.lower(), extra=dataclasses.asdict(told))

    def _wake_at(self, at_us: int) -> None:
        """The module asks again at each earlier need, so the last asked for is the only one."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self.clock.loop_time(at_us), self._woke)

    def _woke(self) -> None:
        self._timer = None
        self.deliver(TimerFired())

    def _start_over(self) -> None:
        """An exception left the module's state in doubt: answer what it held, begin a new one.

        Guards against a fault in the decisions that would leave clients without an answer; the ends
        of attempts that are still out mean nothing to the new module, which ignores them.
        """
        log.exception("decisions failed", extra={"held": len(self._mailboxes)})
        self._counters["decisions.failed"] += 1
        for mailbox in list(self._mailboxes.values()):
            mailbox.settle(Answer(AnswerKind.FAILED))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._seed += 1
        self._scheduler = Scheduler(self._settings, self._seed, host_confirms_start=True)
        if self.observer is not None:
            self.observer.renewed()
        self.deliver(EndpointsChanged(EndpointListUpdate.CACHED, self.relist()))
