"""Runs the scheduler on the event loop: its clock, its one timer, and a mailbox for each open request."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.core.request_mailbox import RequestMailbox
from lemonridge.core.stall_detector import StallDetector
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


class DecisionObserver(Protocol):
    """Sees events before the scheduler does, and the actions that follow."""

    def on_request_arrived(self, event: RequestArrived) -> None:
        """A request is about to be given to the scheduler."""
        ...

    def on_endpoints_changed(self, endpoints: Iterable[Endpoint]) -> None:
        """Endpoints are about to be given to the scheduler."""
        ...

    def on_attempt_sent(self, endpoint_id: str, request: Request) -> None:
        """The scheduler sends an attempt to an endpoint."""
        ...

    def on_attempt_ended(self, event: AttemptEnded, request: Request | None) -> None:
        """An attempt has ended; `request` is None where the request was closed before."""
        ...

    def on_slow_start_began(self, action: SlowStartBegan) -> None:
        """The scheduler takes an endpoint for one that warms up."""
        ...

    def on_scheduler_restarted(self) -> None:
        """A new scheduler is in place of one that failed."""
        ...


class LeaseGuard(Protocol):
    """The lease on the fleet's policy, which says by which settings the scheduler decides."""

    def changed_settings(self, now_us: int) -> Settings | None:
        """New settings that are in force from now on; None where nothing changed."""

    def epoch(self, decided_at_s: float) -> str | None:
        """The epochs that an attempt names which was decided on at this loop time; None: it may not begin."""


class DecisionHost:
    """Owns the scheduler. The events of one turn of the event loop go to it together.

    Attributes:
        clock: The broker's clock.
        list_endpoints: The endpoint list for a scheduler that replaces a failed one.
        observer: Sees events and actions, where there is one.
        lease_guard: Says by which settings to decide, where a lease on a policy is needed.
        stall_detector: Pauses decisions after a stall of the process, once it is started.
    """

    def __init__(self, settings: Settings, seed: int, clock: Clock, counters: Counters) -> None:
        self._settings, self._seed = settings, seed
        self.clock, self._counters = clock, counters
        self._loop = asyncio.get_running_loop()
        self._scheduler = Scheduler(settings, seed, host_confirms_start=True)
        self._mailboxes: dict[str, RequestMailbox] = {}
        self._events: list[Event] = []
        self._decision_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._requests_received = 0
        self.list_endpoints: Callable[[], tuple[Endpoint, ...]] = tuple
        self._open_requests_max: int | None = None  # of the broker
        self._processes = 1  # that the broker has now
        self.observer: DecisionObserver | None = None
        self.lease_guard: LeaseGuard | None = None
        self.stall_detector = StallDetector(self._loop, counters)

    @property
    def open_requests(self) -> int:
        """How many requests are open: without a final answer, or with an attempt in flight."""
        return len(self._mailboxes)

    def open(self, request: Request) -> RequestMailbox:
        """Opens a request, under a name of the broker's own (r1, r2, ...).

        A client may use an id again once its request has ended.
        """
        self._requests_received += 1
        mailbox = RequestMailbox(f"r{self._requests_received}", request)
        self._mailboxes[mailbox.name] = mailbox
        arrived = RequestArrived(
            request=mailbox.name,
            shard=request.shard,
            volume=request.volume,
            deadline_us=request.deadline_us,
            key=request.key,
            cls=request.cls,
            plan=request.plan,
            units=request.units,
            hosts=request.hosts,
            repeat=request.repeat,
        )
        if self.observer is not None:
            self.observer.on_request_arrived(arrived)
        self.deliver(arrived)
        return mailbox

    def close(self, mailbox: RequestMailbox) -> None:
        """Closes a request, which has its final answer and no attempt in flight."""
        self._mailboxes.pop(mailbox.name, None)

    def configure(self, settings: Settings) -> None:
        """Puts new settings in force, for every request that arrives from now on."""
        self._settings = settings
        self.deliver(SettingsChanged(settings, False))

    def set_open_requests_max(self, open_requests_max: int) -> None:
        """Sets how many requests the broker may hold before its schedulers reject waiting ones."""
        self._open_requests_max = open_requests_max
        self._share_open_requests()

    def set_processes(self, processes: int) -> None:
        """Sets how many processes the broker has: clients hold no more connections to two than to one."""
        self._processes = processes
        self._share_open_requests()

    def _share_open_requests(self) -> None:
        if self._open_requests_max is not None:
            self._scheduler.open_requests_max = self._open_requests_max // self._processes

    def export_limits(self) -> dict[int, LimitLevel]:
        """Hands the limits over to another process of this broker, by volume."""
        return self._scheduler.export_limits()

    def import_limits(self, levels: Mapping[int, LimitLevel]) -> None:
        """Makes this the process whose limits fill, from these levels on."""
        self._scheduler.import_limits(self.clock.now_us(), levels)

    def may_begin(self, mailbox: RequestMailbox, number: int) -> bool:
        """Whether attempt `number` may begin, asked as its first byte is about to be written.

        It may not if its client has disconnected or has an answer, the lease that it was decided under has
        ended, or the scheduler has changed its mind during the connect. The operating system is asked for the
        disconnect, as the event loop may not have read it yet (STANDING: 0.1 s after the close).
        """
        if mailbox.request.has_client_disconnected():
            self._counters["attempts.abandoned"] += 1
            return False
        if mailbox.answer is not None:
            return False
        if self.lease_guard is not None and self.lease_guard.epoch(mailbox.decided_at_s) is None:
            return False
        return self._scheduler.may_begin(self.clock.now_us(), mailbox.name, number)

    def deliver(self, event: Event) -> None:
        """Queues an event for the scheduler, which gets it at the end of this turn of the loop."""
        if self.observer is not None and isinstance(event, AttemptEnded):
            mailbox = self._mailboxes.get(event.request)
            self.observer.on_attempt_ended(event, None if mailbox is None else mailbox.request)
        elif self.observer is not None and isinstance(event, EndpointsChanged):
            self.observer.on_endpoints_changed(event.entries)
        self._events.append(event)
        if not self._decision_scheduled:
            self._decision_scheduled = True
            self._loop.call_soon(self._decide)

    def recheck_lease(self) -> None:
        """Asks the lease guard again at the end of this turn of the loop."""
        self.deliver(TimerFired())

    def _decide(self) -> None:
        """Gives the queued events to the scheduler and carries its actions out.

        After a stall of the process it does so once the pause is over.
        """
        paused_until_s = self.stall_detector.paused_until_s()
        if paused_until_s is not None:
            self._loop.call_at(paused_until_s, self._decide)
            return
        events, self._events, self._decision_scheduled = self._events, [], False
        try:
            if self.lease_guard is not None:
                settings = self.lease_guard.changed_settings(self.clock.now_us())
                if settings is not None:
                    self._settings = settings
                    events.insert(0, SettingsChanged(settings, True))
            actions = self._scheduler.handle(self.clock.now_us(), events)
        except Exception:
            self._restart_scheduler()
            return
        if log.isEnabledFor(logging.DEBUG):
            self._trace(events, actions)
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case Reject() | Fail():
                self._give_answer(action)
            case Cancel():
                self._cancel(action)
            case SetTimer():
                self._set_timer(action.at_us)
            case SlowStartBegan():
                if self.observer is not None:
                    self.observer.on_slow_start_began(action)
            case Subscribe():
                pass  # the watch of the endpoint list never ends

    def _send(self, action: Send) -> None:
        mailbox = self._mailboxes.get(action.request)
        if mailbox is None:
            return
        if self.observer is not None:
            self.observer.on_attempt_sent(action.endpoint_id, mailbox.request)
        mailbox.deliver(action)

    def _give_answer(self, action: Reject | Fail) -> None:
        self._counters[f"rejected.{action.reason.value}"] += 1
        mailbox = self._mailboxes.get(action.request)
        if mailbox is not None:
            mailbox.deliver(action)

    def _cancel(self, action: Cancel) -> None:
        mailbox = self._mailboxes.get(action.request)
        if mailbox is not None:
            mailbox.deliver(action)

    def _trace(self, events: list[Event], actions: list[Action]) -> None:
        """Logs each event and action that concerns a request, a line each."""
        for item in (*events, *actions):
            if not isinstance(item, (EndpointsChanged, SettingsChanged, TimerFired, SetTimer, Subscribe)):
                log.debug(type(item).__name__.lower(), extra=dataclasses.asdict(item))

    def _set_timer(self, at_us: int) -> None:
        """Replaces the timer: the scheduler asks again at each earlier need, so the last one counts."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self.clock.loop_time(at_us), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.deliver(TimerFired())

    def _restart_scheduler(self) -> None:
        """Fails every open request and begins a new scheduler.

        An exception left the state of the old one in doubt. Attempts that are in flight go on; the new
        scheduler ignores their ends.
        """
        log.exception("scheduler failed", extra={"open_requests": len(self._mailboxes)})
        self._counters["decisions.failed"] += 1
        for mailbox in list(self._mailboxes.values()):
            mailbox.set_final_answer(Answer(AnswerKind.FAILED))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._seed += 1
        self._scheduler = Scheduler(self._settings, self._seed, host_confirms_start=True)
        self._share_open_requests()
        if self.observer is not None:
            self.observer.on_scheduler_restarted()
        self.deliver(EndpointsChanged(EndpointListUpdate.CACHED, self.list_endpoints()))
