"""The scheduler: a state machine that turns events into actions.

`Scheduler.handle` takes all events of one point in time. It passes each event to the handler for its type,
runs the timers that are due, and then dispatches the queues of every shard whose state has changed. The
scheduler reads no clock and performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from lemonridge.scheduling.actions import Action, RejectReason, SetTimer, Subscribe
from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint_health import DISPATCH_CYCLE_US, EndpointHealth
from lemonridge.scheduling.endpoint_list import EndpointList
from lemonridge.scheduling.events import (
    AttemptEnded,
    ClientDisconnected,
    DataMigrated,
    EndpointListUpdate,
    EndpointsChanged,
    Event,
    LimitLevel,
    PeerHealthReported,
    PeerUsageReported,
    PredecessorGone,
    PredecessorOrdersKeys,
    QuotaChanged,
    RequestArrived,
    ResponseStarted,
    SettingsChanged,
    SharedBudget,
    SuccessorGone,
    SuccessorTurnEnded,
    SuccessorTurnRequested,
    TimerFired,
    TurnGranted,
)
from lemonridge.scheduling.list_polling import ListPolling
from lemonridge.scheduling.request_lifecycle import OpenAttempt, RequestLifecycle
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.retries import RetryRules
from lemonridge.scheduling.settings import Settings
from lemonridge.scheduling.slow_start import SlowStart
from lemonridge.scheduling.timers import (
    AttemptOverdue,
    KeyQuarantineEnded,
    PollEndpointList,
    QueueResume,
    RequestDeadline,
    RetryPauseEnded,
    Timer,
)
from lemonridge.scheduling.volume_limits import VolumeLimits


class Scheduler:
    """Decides where and when each request is sent or retried, and which requests are rejected.

    The scheduler is a deterministic state machine: the same settings, seed and events produce the same
    actions.

    Args:
        settings: The initial settings.
        seed: The seed of the random number generator.
        host_confirms_start: Whether the host calls `may_begin` before it sends the first byte of each
            attempt. Otherwise an attempt starts as soon as the scheduler emits its `Send` action.

    Attributes:
        open_requests_max: The maximum number of open requests. Above it, queued requests are rejected. None
            means that there is no maximum.
    """

    def __init__(self, settings: Settings, seed: int, host_confirms_start: bool = False) -> None:
        self.open_requests_max: int | None = None
        self.context = context = DecisionContext(settings, seed, host_confirms_start)
        self.slow_start = SlowStart(context)
        self.endpoint_list = EndpointList(context, self.slow_start)
        self.health = EndpointHealth(context, self.endpoint_list, self.slow_start)
        self.retries = RetryRules(context)
        self.limits = VolumeLimits(context)
        self.lifecycle = RequestLifecycle(
            context, self.endpoint_list, self.health, self.slow_start, self.limits, self.retries
        )
        self.queues = self.lifecycle.queues
        self._list_polling = ListPolling(context)
        self._timer_set_for_us: int | None = None  # time of the last `SetTimer`, until it has passed
        self._next_cycle_us = 0  # time of the next dispatch of all shards
        self._event_handlers: dict[type[Event], Callable[..., None]] = {
            RequestArrived: self.lifecycle.handle_arrival,
            ResponseStarted: self._handle_response_started,
            AttemptEnded: self.lifecycle.end_attempt,
            DataMigrated: self.lifecycle.handle_migration,
            ClientDisconnected: self._handle_client_disconnected,
            TimerFired: self._handle_timer_fired,
            EndpointsChanged: self._handle_endpoints_changed,
            SettingsChanged: self._handle_settings_changed,
            QuotaChanged: self._handle_quota_changed,
            PeerUsageReported: self._handle_peer_usage_reported,
            PeerHealthReported: self.health.apply_peer_report,
            PredecessorOrdersKeys: self._handle_predecessor_orders_keys,
            PredecessorGone: self._handle_predecessor_gone,
            TurnGranted: self._handle_turn_granted,
            SuccessorTurnRequested: self._handle_successor_turn_requested,
            SuccessorTurnEnded: self._handle_successor_turn_ended,
            SuccessorGone: self._handle_successor_gone,
        }
        self._timer_handlers: dict[type[Timer], Callable[..., None]] = {
            PollEndpointList: self._on_poll_endpoint_list,
            RequestDeadline: self._on_request_deadline,
            RetryPauseEnded: self._on_retry_pause_ended,
            AttemptOverdue: self._on_attempt_overdue,
            KeyQuarantineEnded: self._on_key_quarantine_ended,
            QueueResume: self._on_queue_resume,
        }
        self._configure(settings)

    @property
    def volumes_max(self) -> int | None:
        """The number of volumes above which a new one evicts another; None if there is no limit."""
        return self.limits.volumes_max

    @volumes_max.setter
    def volumes_max(self, volumes_max: int | None) -> None:
        self.limits.volumes_max = volumes_max
        self.context.timers.drops_closed_requests = volumes_max is not None

    @property
    def requests(self) -> dict[str, Request]:
        """The requests that have no final answer yet, by id."""
        return self.lifecycle.requests

    @property
    def open_attempts(self) -> dict[tuple[str, int], OpenAttempt]:
        """The attempts that have not ended, by request id and attempt number."""
        return self.lifecycle.open_attempts

    # Called by the host

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Applies the events of one point in time and returns the actions for the host to perform.

        Args:
            now_us: The current time in microseconds of the host's clock. It must not be earlier than in the
                previous call.
            events: The events since the previous call, in order.

        Returns:
            The actions, in the order in which the host has to perform them.
        """
        context = self.context
        context.now_us, context.actions = now_us, []
        if context.started_us is None:
            self._start(now_us)
        for event in events:
            self._event_handlers[type(event)](event)
        if self._timer_set_for_us is not None and self._timer_set_for_us <= now_us:
            self._timer_set_for_us = None
        # All shards are dispatched at most once per cycle: every attempt sets a timer, and dispatching all
        # shards each time a timer fires would cost too much.
        if self.queues.rotation_by_shard and now_us >= self._next_cycle_us:
            self._next_cycle_us = now_us + DISPATCH_CYCLE_US
            self.queues.mark_all_for_dispatch()
        for timer in context.timers.pop_due(now_us):
            self._timer_handlers[type(timer)](timer)
        for shard in list(context.shards_to_dispatch):
            self.queues.dispatch(shard)
        context.shards_to_dispatch.clear()
        if self.open_requests_max is not None:
            self.lifecycle.shed_load(self.open_requests_max)
        self.limits.sweep()
        self._set_host_timer()
        return context.actions

    def may_begin(self, now_us: int, request: str, attempt: int) -> bool:
        """Returns whether the host may still start an attempt.

        The host calls this method immediately before it sends the first byte of the attempt.

        Args:
            now_us: The current time in microseconds of the host's clock.
            request: The id of the request.
            attempt: The number of the attempt, starting at 0.
        """
        self.context.now_us = now_us
        return self.lifecycle.may_begin(request, attempt)

    def export_limits(self) -> dict[int, LimitLevel]:
        """Returns the limit state by volume for a handover to another process of this host.

        After this call the token buckets of this process are no longer refilled.
        """
        return self.limits.export_levels()

    def import_limits(self, now_us: int, levels: Mapping[int, LimitLevel]) -> None:
        """Applies the limit state that another process of this host handed over.

        The token buckets of this process are refilled from `now_us` on.
        """
        self.context.started_us = now_us
        self.limits.import_levels(now_us, levels)

    # Events

    def _start(self, now_us: int) -> None:
        """Sets the start time of the token buckets and, if the endpoint list is polled, subscribes to it."""
        self.context.started_us = self.retries.fleet_retries.refilled_us = now_us
        self.limits.begin(now_us)
        if self.context.settings.polls_endpoint_list:
            self.context.actions.append(Subscribe())

    def _handle_response_started(self, event: ResponseStarted) -> None:
        """Marks a request as having a streaming response, so its deadline no longer applies."""
        request = self.requests.get(event.request)
        if request is not None:
            request.response_started = True

    def _handle_client_disconnected(self, event: ClientDisconnected) -> None:
        """Closes the request without a final answer, as its client no longer waits for one."""
        request = self.requests.get(event.request)
        if request is not None:
            self.lifecycle.finish(request)

    def _handle_timer_fired(self, event: TimerFired) -> None:
        """Does nothing: `handle` runs all due timers after each batch of events."""

    def _handle_endpoints_changed(self, event: EndpointsChanged) -> None:
        """Applies an endpoint list or a change to it, or schedules the next poll after a failed watch."""
        if event.kind is EndpointListUpdate.WATCH_FAILED:
            self._list_polling.watch_failed()
            return
        self._list_polling.watch_succeeded()
        self.endpoint_list.apply(event)
        self.queues.mark_all_for_dispatch()

    def _handle_settings_changed(self, event: SettingsChanged) -> None:
        self._configure(event.settings, event.indices_unchanged)

    def _handle_quota_changed(self, event: QuotaChanged) -> None:
        """Applies a new quota of a shared budget; the previous quota applies until the new one starts."""
        part = (event.part, event.until_us, event.after)
        if event.budget is SharedBudget.LIMIT:
            volume = self.limits.set_quota(event)
            if volume is not None:
                self.queues.resume_volume(volume)
        elif event.budget is SharedBudget.RETRIES:
            self.retries.fleet_retries.set_quota(event.since_us, *part)
        elif event.budget is SharedBudget.SLOW_START:
            endpoint = self.endpoint_list.endpoints.get(str(event.name))
            if endpoint is not None:
                self.slow_start.in_slow_start(endpoint)  # refills the bucket at the previous quota
                endpoint.borrowed_quota.set(*part)
                self.context.mark_for_dispatch(endpoint.shard)

    def _handle_peer_usage_reported(self, event: PeerUsageReported) -> None:
        """Debits the units that other hosts served for a volume from the volume's reservation."""
        volume = self.limits.volumes.get(event.volume)
        if volume is not None:
            volume.peer_usage_at_us = self.context.now_us
            volume.debit(event.units, self.context.settings.largest_request_units)

    # Order of keys while the process is replaced

    def _handle_predecessor_orders_keys(self, event: PredecessorOrdersKeys) -> None:
        self.lifecycle.key_order.ask_predecessor()

    def _handle_predecessor_gone(self, event: PredecessorGone) -> None:
        for request in self.lifecycle.key_order.stop_asking(event.may_still_run):
            self.queues.enqueue(request)

    def _handle_turn_granted(self, event: TurnGranted) -> None:
        self._enqueue_ready(self.lifecycle.key_order.grant(event.turn))

    def _handle_successor_turn_requested(self, event: SuccessorTurnRequested) -> None:
        self.lifecycle.key_order.add_successor_turn(event.key, event.turn)

    def _handle_successor_turn_ended(self, event: SuccessorTurnEnded) -> None:
        self._enqueue_ready(self.lifecycle.key_order.end_successor_turn(event.turn))

    def _handle_successor_gone(self, event: SuccessorGone) -> None:
        for request in self.lifecycle.key_order.drop_successor_turns():
            self.queues.enqueue(request)

    def _enqueue_ready(self, request: Request | None) -> None:
        """Queues the next request of an ordering key, if there is one."""
        if request is not None:
            self.queues.enqueue(request)

    def _configure(self, settings: Settings, indices_unchanged: bool = False) -> None:
        """Applies new settings.

        An open request keeps the class that it had at arrival. A volume switches to its new plan at its next
        request, or immediately if `indices_unchanged` is set.

        Args:
            settings: The new settings.
            indices_unchanged: Whether classes and plans have the same indices as in the previous settings.
        """
        previous_hosts = self.context.settings.hosts
        self.context.configure(settings)
        if indices_unchanged:
            for volume in self.limits.configure(settings):
                self.queues.resume_volume(volume)
        self.lifecycle.admission.configure(settings)
        self.retries.configure(settings, previous_hosts)

    # Timers

    def _on_poll_endpoint_list(self, timer: PollEndpointList) -> None:
        self.context.actions.append(Subscribe())

    def _on_request_deadline(self, timer: RequestDeadline) -> None:
        """Rejects a request that reaches its deadline, unless its response has started."""
        if not timer.request.done and not timer.request.response_started:
            self.lifecycle.reject(timer.request, RejectReason.DEADLINE_EXCEEDED)

    def _on_retry_pause_ended(self, timer: RetryPauseEnded) -> None:
        self.lifecycle.end_retry_pause(timer.request)

    def _on_attempt_overdue(self, timer: AttemptOverdue) -> None:
        self.lifecycle.handle_overdue_attempt(timer.request_id, timer.attempt)

    def _on_key_quarantine_ended(self, timer: KeyQuarantineEnded) -> None:
        self._enqueue_ready(self.lifecycle.key_order.end_quarantine(timer.key))

    def _on_queue_resume(self, timer: QueueResume) -> None:
        if timer.queue.suspended:
            self.queues.resume(timer.queue)

    def _set_host_timer(self) -> None:
        """Requests a host timer for the earliest scheduled work, unless one is already set for that time.

        Scheduled work is the earliest internal timer and, while requests are queued, the next dispatch cycle.
        """
        due_us = self.context.timers.next_us()
        if self.queues.rotation_by_shard and (due_us is None or due_us > self._next_cycle_us):
            due_us = self._next_cycle_us
        if due_us is not None and (self._timer_set_for_us is None or due_us < self._timer_set_for_us):
            self._timer_set_for_us = max(due_us, self.context.now_us + 1)
            self.context.actions.append(SetTimer(self._timer_set_for_us))
