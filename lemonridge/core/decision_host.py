"""Runs the scheduler on the event loop.

Batches the events for the scheduler, carries out its actions, and manages its clock, its single timer and a
mailbox for each open request.
"""

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
    EndTurn,
    Fail,
    GrantTurn,
    Reject,
    RequestTurn,
    Send,
    SetTimer,
    SlowStartBegan,
    Subscribe,
    Turn,
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
from lemonridge.scheduling.settings import IdempotencyKind, Settings

log = logging.getLogger(__name__)


class DecisionObserver(Protocol):
    """Is notified of events before the scheduler handles them, and of the actions that follow."""

    def on_request_arrived(self, event: RequestArrived) -> None:
        """Called before an arriving request is passed to the scheduler."""
        ...

    def on_endpoints_changed(self, endpoints: Iterable[Endpoint]) -> None:
        """Called before a change of the endpoint list is passed to the scheduler."""
        ...

    def on_attempt_sent(self, endpoint_id: str, request: Request) -> None:
        """Called when the scheduler has decided to send an attempt to an endpoint."""
        ...

    def on_attempt_ended(self, event: AttemptEnded, request: Request | None) -> None:
        """Called when an attempt has ended; `request` is None if the request is already closed."""
        ...

    def on_slow_start_began(self, action: SlowStartBegan) -> None:
        """Called when the scheduler has put an endpoint into slow start."""
        ...

    def on_scheduler_restarted(self) -> None:
        """Called when a failed scheduler has been replaced by a new one."""
        ...


class LeaseGuard(Protocol):
    """The lease on the fleet's policy, which determines the settings that the scheduler uses."""

    def changed_settings(self, now_us: int) -> Settings | None:
        """Returns new settings that are in force from now on; None if nothing changed."""

    def epoch(self, decided_at_s: float) -> str | None:
        """Returns the policy epochs to send with an attempt.

        Args:
            decided_at_s: When the attempt was decided on, in seconds of the event loop's clock.

        Returns:
            The epochs, or None if the attempt may not begin because the lease it was decided under has ended.
        """


class TurnExchange(Protocol):
    """Exchanges the turns of ordering keys with the other processes of the broker."""

    def carry_out(self, action: Turn) -> None:
        """Sends a scheduler's decision about a turn to the process that it concerns."""
        ...

    def on_scheduler_restarted(self) -> None:
        """Handles a new scheduler that replaces a failed one and knows of no turn."""
        ...


class DecisionHost:
    """Owns the scheduler and passes it all events of one event loop iteration as one batch.

    Args:
        settings: The settings to start with.
        seed: The seed of the scheduler's random numbers.
        clock: The broker's clock.
        counters: Counts rejections, abandoned attempts and failures of the scheduler.

    Attributes:
        clock: The broker's clock.
        list_endpoints: Returns the endpoint list for a scheduler that replaces a failed one.
        observer: Is notified of events and actions; None if there is no observer.
        turn_exchange: Exchanges the turns of ordering keys with the other processes; None without any.
        lease_guard: Determines the settings to use; None if no lease on a policy is needed.
        stall_detector: Pauses decisions after a stall of the process, once it has been started.
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
        # For all processes of the broker together.
        self._open_requests_max: int | None = None
        self._volumes_max: int | None = None
        self._processes = 1  # current number of processes of the broker
        self.observer: DecisionObserver | None = None
        self.turn_exchange: TurnExchange | None = None
        self.lease_guard: LeaseGuard | None = None
        self.stall_detector = StallDetector(self._loop, counters)

    @property
    def open_requests(self) -> int:
        """The number of open requests: those without a final answer or with an attempt in flight."""
        return len(self._mailboxes)

    def open(self, request: Request) -> RequestMailbox:
        """Opens a request and passes it to the scheduler under a generated name (r1, r2, ...).

        The client's request id is not used as the name, because a client may reuse an id once its request has
        ended.
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
        """Closes a request that has its final answer and no attempt in flight."""
        self._mailboxes.pop(mailbox.name, None)

    def configure(self, settings: Settings) -> None:
        """Applies new settings to every request that arrives from now on."""
        self._settings = settings
        self.deliver(SettingsChanged(settings, False))

    def set_maxima(self, open_requests_max: int, volumes_max: int) -> None:
        """Sets the maxima of the broker's schedulers.

        Args:
            open_requests_max: How many requests may be open before queued requests are rejected.
            volumes_max: How many volumes are remembered before idle ones are evicted.
        """
        self._open_requests_max, self._volumes_max = open_requests_max, volumes_max
        self._apply_maxima()

    def set_processes(self, processes: int) -> None:
        """Sets the number of processes of the broker, which share its maxima.

        Clients open no more connections to two processes of a broker than to one.
        """
        self._processes = processes
        self._apply_maxima()

    def _apply_maxima(self) -> None:
        """Gives the scheduler this process's share of the maxima."""
        if self._open_requests_max is not None:
            self._scheduler.open_requests_max = self._open_requests_max // self._processes
        if self._volumes_max is not None:
            self._scheduler.volumes_max = self._volumes_max // self._processes

    def update_counters(self) -> None:
        """Copies the scheduler's counts to the process's counters."""
        self._counters["volumes.kept"] = len(self._scheduler.limits.volumes)
        self._counters["volumes.evicted"] = self._scheduler.limits.evicted

    def export_limits(self) -> dict[int, LimitLevel]:
        """Hands the volume limits over to another process of this broker; returns their levels by volume."""
        return self._scheduler.export_limits()

    def import_limits(self, levels: Mapping[int, LimitLevel]) -> None:
        """Takes over the volume limits: from these levels on they refill in this process."""
        self._scheduler.import_limits(self.clock.now_us(), levels)

    def may_repeat(self, request: Request) -> bool:
        """Returns whether a request may run any number of times, by its class in the present settings."""
        classes = self._settings.classes
        repeatable = IdempotencyKind.IDEMPOTENT
        return request.cls < len(classes) and classes[request.cls].idempotency is repeatable

    def may_begin(self, mailbox: RequestMailbox, number: int) -> bool:
        """Returns whether attempt `number` may begin; called just before its first byte is written.

        An attempt may not begin if the client has disconnected, the request has its final answer, the lease
        that the attempt was decided under has ended, or the scheduler has reversed its decision during the
        connect. The operating system is asked whether the client has disconnected, because the event loop may
        not have read the close yet (STANDING: 0.1 s after the close).
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
        """Queues an event, which is passed to the scheduler at the end of this event loop iteration."""
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
        """Schedules a check of the lease at the end of this event loop iteration."""
        self.deliver(TimerFired())

    def _decide(self) -> None:
        """Passes the queued events to the scheduler and carries out its actions.

        After a stall of the process this is postponed until the pause is over.
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
        """Carries out one action of the scheduler."""
        match action:
            case Send():
                self._send(action)
            case Reject() | Fail():
                self._deliver_answer(action)
            case Cancel():
                self._cancel(action)
            case SetTimer():
                self._set_timer(action.at_us)
            case SlowStartBegan():
                if self.observer is not None:
                    self.observer.on_slow_start_began(action)
            case Subscribe():
                pass  # the endpoint list is watched permanently
            case RequestTurn() | EndTurn() | GrantTurn():
                if self.turn_exchange is not None:
                    self.turn_exchange.carry_out(action)

    def _send(self, action: Send) -> None:
        """Passes the decision to send an attempt to the request's mailbox, if the request is still open."""
        mailbox = self._mailboxes.get(action.request)
        if mailbox is None:
            return
        if self.observer is not None:
            self.observer.on_attempt_sent(action.endpoint_id, mailbox.request)
        mailbox.deliver(action)

    def _deliver_answer(self, action: Reject | Fail) -> None:
        """Counts a rejection or failure and passes it to the request's mailbox."""
        self._counters[f"rejected.{action.reason.value}"] += 1
        mailbox = self._mailboxes.get(action.request)
        if mailbox is not None:
            mailbox.deliver(action)

    def _cancel(self, action: Cancel) -> None:
        mailbox = self._mailboxes.get(action.request)
        if mailbox is not None:
            mailbox.deliver(action)

    def _trace(self, events: list[Event], actions: list[Action]) -> None:
        """Logs each event and action that concerns a request, one line each."""
        for item in (*events, *actions):
            if not isinstance(item, (EndpointsChanged, SettingsChanged, TimerFired, SetTimer, Subscribe)):
                log.debug(type(item).__name__.lower(), extra=dataclasses.asdict(item))

    def _set_timer(self, at_us: int) -> None:
        """Replaces the timer; the scheduler requests a new one whenever it needs an earlier time."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self.clock.loop_time(at_us), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.deliver(TimerFired())

    def _restart_scheduler(self) -> None:
        """Fails every open request and replaces the scheduler after an exception.

        The exception may have left the old scheduler in an inconsistent state. Attempts in flight continue;
        the new scheduler ignores their results.
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
        self._apply_maxima()
        if self.observer is not None:
            self.observer.on_scheduler_restarted()
        if self.turn_exchange is not None:
            self.turn_exchange.on_scheduler_restarted()
        self.deliver(EndpointsChanged(EndpointListUpdate.CACHED, self.list_endpoints()))
