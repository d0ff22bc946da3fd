"""The scheduler: events of one moment in, actions out.

The state machine of the decisions. `Scheduler.handle` applies each event by the handler of its type, then
the timers that are due, and then dispatches the queues of the shards in which something has changed. It has
no clock, no input and no output.
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
    QuotaChanged,
    RequestArrived,
    ResponseStarted,
    SettingsChanged,
    SharedBudget,
    TimerFired,
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
    """Decides which endpoint gets which request, when and how often, and which request is rejected.

    A pure state machine: the same settings, seed and events give the same actions.

    Args:
        settings: The settings to start with.
        seed: Of its random numbers.
        host_confirms_start: The host calls `may_begin` before the first byte of each attempt; otherwise an
            attempt starts when it is sent.

    Attributes:
        open_requests_max: How many requests may be open before waiting ones are rejected; None: no bound.
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
        self._timer_set_for_us: int | None = None  # the time of the last `SetTimer`, until it has passed
        self._next_cycle_us = 0  # when the queues of all shards are dispatched next
        self._event_handlers: dict[type[Event], Callable[..., None]] = {
            RequestArrived: self.lifecycle.arrive,
            ResponseStarted: self._handle_response_started,
            AttemptEnded: self.lifecycle.end_attempt,
            DataMigrated: self.lifecycle.migrate,
            ClientDisconnected: self._handle_client_disconnected,
            TimerFired: self._handle_timer_fired,
            EndpointsChanged: self._handle_endpoints_changed,
            SettingsChanged: self._handle_settings_changed,
            QuotaChanged: self._handle_quota_changed,
            PeerUsageReported: self._handle_peer_usage_reported,
            PeerHealthReported: self.health.apply_peer_report,
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
    def requests(self) -> dict[str, Request]:
        """The requests without a final answer, by id."""
        return self.lifecycle.requests

    @property
    def open_attempts(self) -> dict[tuple[str, int], OpenAttempt]:
        """The attempts that have not ended, by request id and number."""
        return self.lifecycle.open_attempts

    # Called by the host

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Applies the events of one moment and returns what the host is to do.

        Args:
            now_us: The time, in microseconds of the host's clock; never earlier than at the last call.
            events: The events since the last call, in order.

        Returns:
            The actions, in the order in which they were decided.
        """
        context = self.context
        context.now_us, context.actions = now_us, []
        if context.started_us is None:
            self._start(now_us)
        for event in events:
            self._event_handlers[type(event)](event)
        if self._timer_set_for_us is not None and self._timer_set_for_us <= now_us:
            self._timer_set_for_us = None
        # Once in a cycle: every attempt sets a timer, and a dispatch of all shards at each would cost too
        # much.
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
        """Whether an attempt may still begin; asked right before its first byte.

        Args:
            now_us: The time, in microseconds of the host's clock.
            request: The request's id.
            attempt: The attempt's number, from 0.
        """
        self.context.now_us = now_us
        return self.lifecycle.may_begin(request, attempt)

    def export_limits(self) -> dict[int, LimitLevel]:
        """Hands the limits over to another process of this host, by volume; this one's no longer refill."""
        return self.limits.export_levels()

    def import_limits(self, now_us: int, levels: Mapping[int, LimitLevel]) -> None:
        """Takes limits over from another process of this host; they refill here from `now_us` on."""
        self.context.started_us = now_us
        self.limits.import_levels(now_us, levels)

    # Events

    def _start(self, now_us: int) -> None:
        """Starts the buckets at the time of the first events, and subscribes to a list that is polled."""
        self.context.started_us = self.retries.fleet_retries.refilled_us = now_us
        self.limits.begin(now_us)
        if self.context.settings.polls_endpoint_list:
            self.context.actions.append(Subscribe())

    def _handle_response_started(self, event: ResponseStarted) -> None:
        """The deadline no longer applies to a request whose response streams."""
        request = self.requests.get(event.request)
        if request is not None:
            request.response_started = True

    def _handle_client_disconnected(self, event: ClientDisconnected) -> None:
        """Nobody waits for this answer."""
        request = self.requests.get(event.request)
        if request is not None:
            self.lifecycle.finish(request)

    def _handle_timer_fired(self, event: TimerFired) -> None:
        """Nothing to apply: `handle` runs the timers that are due after each batch of events."""

    def _handle_endpoints_changed(self, event: EndpointsChanged) -> None:
        """Applies a list or a change of it, or schedules the next poll after a failed watch."""
        if event.kind is EndpointListUpdate.WATCH_FAILED:
            self._list_polling.watch_failed()
            return
        self._list_polling.watch_succeeded()
        self.endpoint_list.apply(event)
        self.queues.mark_all_for_dispatch()

    def _handle_settings_changed(self, event: SettingsChanged) -> None:
        self._configure(event.settings, event.indices_unchanged)

    def _handle_quota_changed(self, event: QuotaChanged) -> None:
        """Applies another part of what hosts share; the previous part counts up to its start."""
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
                self.slow_start.in_slow_start(endpoint)  # refills the bucket by the previous part
                endpoint.borrowed_quota.set(*part)
                self.context.mark_for_dispatch(endpoint.shard)

    def _handle_peer_usage_reported(self, event: PeerUsageReported) -> None:
        """Debits what other hosts served a volume from its reservation."""
        volume = self.limits.volumes.get(event.volume)
        if volume is not None:
            volume.peer_usage_at_us = self.context.now_us
            volume.debit(event.units, self.context.settings.largest_request_units)

    def _configure(self, settings: Settings, indices_unchanged: bool = False) -> None:
        """Applies new settings.

        A request keeps the class it came with. A volume keeps its plan until its next request, or takes the
        new plan at once with `indices_unchanged`: classes and plans have the same indices as before.
        """
        hosts_before = self.context.settings.hosts
        self.context.configure(settings)
        if indices_unchanged:
            for volume in self.limits.configure(settings):
                self.queues.resume_volume(volume)
        self.lifecycle.admission.configure(settings)
        self.retries.configure(settings, hosts_before)

    # Timers

    def _on_poll_endpoint_list(self, timer: PollEndpointList) -> None:
        self.context.actions.append(Subscribe())

    def _on_request_deadline(self, timer: RequestDeadline) -> None:
        """Rejects a request at its deadline, unless its response has started."""
        if not timer.request.done and not timer.request.response_started:
            self.lifecycle.reject(timer.request, RejectReason.DEADLINE_EXCEEDED)

    def _on_retry_pause_ended(self, timer: RetryPauseEnded) -> None:
        self.lifecycle.end_retry_pause(timer.request)

    def _on_attempt_overdue(self, timer: AttemptOverdue) -> None:
        self.lifecycle.attempt_overdue(timer.request_id, timer.attempt)

    def _on_key_quarantine_ended(self, timer: KeyQuarantineEnded) -> None:
        request = self.lifecycle.key_order.end_quarantine(timer.key)
        if request is not None:
            self.queues.enqueue(request)

    def _on_queue_resume(self, timer: QueueResume) -> None:
        if timer.queue.suspended:
            self.queues.resume(timer.queue)

    def _set_host_timer(self) -> None:
        """Asks for one timer, for the earliest time at which something is due without an event."""
        due_us = self.context.timers.next_us()
        if self.queues.rotation_by_shard and (due_us is None or due_us > self._next_cycle_us):
            due_us = self._next_cycle_us
        if due_us is not None and (self._timer_set_for_us is None or due_us < self._timer_set_for_us):
            self._timer_set_for_us = max(due_us, self.context.now_us + 1)
            self.context.actions.append(SetTimer(self._timer_set_for_us))
