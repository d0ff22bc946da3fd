"""The dispatch of events to the parts of the decisions. The interface is in `events.py`,
`actions.py` and `settings.py`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from lemonridge.scheduling.actions import Action, Cancel, RejectReason, Send, SetTimer, Subscribe
from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.endpoint_health import DISPATCH_CYCLE_US, EndpointHealth
from lemonridge.scheduling.endpoint_list import EndpointList
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
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
)
from lemonridge.scheduling.final_answers import final_answer
from lemonridge.scheduling.key_order import KeyOrder
from lemonridge.scheduling.requests import MAX_CREDIT_S, Request, VolumeQueue
from lemonridge.scheduling.retries import RetryRules
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind, Settings
from lemonridge.scheduling.slow_start import SlowStart
from lemonridge.scheduling.timers import TimerKind
from lemonridge.scheduling.volume_limits import VolumeLimits
from lemonridge.scheduling.volume_queues import VolumeQueues

INITIAL_POLL_BACKOFF_US = (
    250_000  # first pause after a failed call for the list, doubled up to the limit below
)
MAX_POLL_BACKOFF_US = 8_000_000  # where the settings do not say how often to ask

# These prove that an attempt never ran; after those it may be running still.
PROVEN_NOT_RUN = frozenset(
    (
        AttemptResult.QUEUE_FULL,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
        AttemptResult.DATA_MIGRATED,
    )
)
MAY_HAVE_RUN = frozenset((AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED))


class Scheduler:
    """A pure state machine: `handle` takes a time and events, and returns actions."""

    def __init__(self, settings: Settings, seed: int, host_confirms_start: bool = False) -> None:
        """`host_confirms_start`: the host asks `begins` before each first byte."""
        self.context = context = DecisionContext(settings, seed, host_confirms_start)
        self.slow_start = SlowStart(context)
        self.endpoint_list = EndpointList(context, self.slow_start)
        self.health = EndpointHealth(context, self.endpoint_list, self.slow_start)
        self.retries = RetryRules(context)
        self.limits = VolumeLimits(context)
        self.key_order = KeyOrder(context)
        self.queues = VolumeQueues(
            context, self.health, self.slow_start, self.retries, self._send, self._give_up
        )
        self.requests: dict[str, Request] = {}
        self.open_attempts: dict[
            tuple[str, int], tuple[Request, TrackedEndpoint, int]
        ] = {}  # attempts that are out
        self._written_off: set[tuple[str, int]] = set()  # attempts written off, still without an outcome
        self._longest_us: list[int] = []  # the longest wait seen granted, by class
        self._next_wake_us: int | None = None
        self._next_cycle_us = 0  # when every waiting queue is visited next
        self._poll_backoff_us = INITIAL_POLL_BACKOFF_US
        self._configure(settings)

    # Events

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Take the events of one moment and decide."""
        context = self.context
        context.now_us, context.actions = now_us, []
        if context.started_us is None:
            self._begin(now_us)
        for event in events:
            self._take(event)
        self._next_wake_us = (
            None if self._next_wake_us is not None and self._next_wake_us <= now_us else self._next_wake_us
        )
        if (
            self.queues.rotation_by_shard and now_us >= self._next_cycle_us
        ):  # not at every timer: each attempt has one
            self._next_cycle_us = now_us + DISPATCH_CYCLE_US
            self.queues.mark_all_for_dispatch()
        self._run_timers()
        for shard in list(context.shards_to_dispatch):
            self.queues.dispatch(shard)
        context.shards_to_dispatch.clear()
        self.limits.sweep()
        self._ask_wake()
        return context.actions

    def begins(self, now_us: int, request: str, attempt: int) -> bool:
        """Whether an attempt may still begin: asked right before its first byte, as connections take time."""
        self.context.now_us = now_us
        r, endpoint, _ = self.open_attempts.get((request, attempt), (None, None, 0))
        if r is None or endpoint is None or r.done or not self.retries.repeatable(r, endpoint):
            return False
        if (
            self.slow_start.in_slow_start(endpoint)
            and endpoint.slow_start_began_us != r.counted_slow_start_us
        ):  # it began meanwhile
            if self.slow_start.wait_us(endpoint, r):
                return False
            r.counted_slow_start_us = endpoint.count_slow_start_units(now_us, r.units)
        return True

    def export_limits(self) -> dict[int, LimitLevel]:
        """Hand the limits over to another process of this host, by volume."""
        return self.limits.export_levels()

    def import_limits(self, now_us: int, levels: Mapping[int, LimitLevel]) -> None:
        """Be the process whose limits fill, from now on and from these levels."""
        self.context.started_us = now_us
        self.limits.import_levels(now_us, levels)

    def _begin(self, now_us: int) -> None:
        """The first moment."""
        self.context.started_us = self.retries.fleet_retries.refilled_us = now_us
        self.limits.begin(now_us)
        if self.context.settings.polls_endpoint_list:
            self.context.actions.append(Subscribe())

    def _take(self, event: Event) -> None:
        """One event."""
        if isinstance(event, AttemptEnded):
            self._ended(event)
        elif isinstance(event, RequestArrived):
            self._arrived(event)
        elif isinstance(event, EndpointsChanged):
            self._listed(event)
        elif isinstance(event, ClientDisconnected) and event.request in self.requests:
            self._finish(self.requests[event.request])
        elif isinstance(event, ResponseStarted) and event.request in self.requests:
            self.requests[event.request].response_started = True
        elif isinstance(event, DataMigrated):
            self._moved(event)
        elif isinstance(event, SettingsChanged):
            self._configure(event.settings, event.indices_unchanged)
        elif isinstance(event, QuotaChanged):
            self._sliced(event)
        elif isinstance(event, PeerHealthReported):
            self.health.apply_peer_report(event)
        elif isinstance(event, PeerUsageReported) and event.volume in self.limits.volumes:
            volume = self.limits.volumes[event.volume]
            volume.peer_usage_at_us = self.context.now_us
            volume.debit(event.units, self.context.settings.largest_request_units)

    def _configure(self, settings: Settings, indices_unchanged: bool = False) -> None:
        """Go by new settings. What is held keeps its class; a volume its plan until it asks, or `same`."""
        hosts_before = self.context.settings.hosts
        self.context.configure(settings)
        for volume in self.limits.configure(settings) if indices_unchanged else ():
            self.queues.resume_volume(volume)
        self._longest_us = [0] * len(settings.classes)
        self.retries.configure(settings, hosts_before)

    def _sliced(self, event: QuotaChanged) -> None:
        """Another slice of what hosts share, since a moment ago: until then the one before counts."""
        part = (event.part, event.until_us, event.after)
        if event.budget is SharedBudget.LIMIT:
            if volume := self.limits.slice(event):
                self.queues.resume_volume(volume)
        elif event.budget is SharedBudget.SLOW_START and (
            endpoint := self.endpoint_list.endpoints.get(str(event.name))
        ):
            self.slow_start.in_slow_start(endpoint)  # its bucket is brought up to date by the share before
            endpoint.borrowed_quota.set(*part)
            self.context.mark_for_dispatch(endpoint.shard)
        elif event.budget is SharedBudget.RETRIES:
            self.retries.fleet_retries.set_quota(event.since_us, *part)

    def _listed(self, event: EndpointsChanged) -> None:
        context = self.context
        if event.kind is EndpointListUpdate.WATCH_FAILED:
            # Jitter and doubling: hosts that lost the list together must not return together.
            if context.settings.polls_endpoint_list:
                context.set_timer(context.now_us + context.jitter(self._poll_backoff_us), TimerKind.ASK, None)
                # Half of what the settings allow without asking: later and it counts as told.
                longest_us = context.settings.poll_within_us // 2 or MAX_POLL_BACKOFF_US
                self._poll_backoff_us = min(self._poll_backoff_us * 2, longest_us)
            return
        self._poll_backoff_us = INITIAL_POLL_BACKOFF_US
        self.endpoint_list.apply(event)
        self.queues.mark_all_for_dispatch()

    # A request

    def _arrived(self, event: RequestArrived) -> None:
        context = self.context
        cls, now_us = context.settings.classes[event.cls], context.now_us
        self.retries.retry_budget.record_request(now_us, context.settings.retry_budget_window_us)
        volume = self.limits.volume_of(event)
        # A client's repeat shows in that less than the longest wait is left: its aim is its first try's. That
        # is an estimate, as any client may give less time: it says what goes first.
        left = event.deadline_us - now_us
        longest_us = min(cls.deadline_us, max(self._longest_us[event.cls], left))
        self._longest_us[event.cls] = longest_us
        request = Request(
            event, cls, volume, event.deadline_us - longest_us + cls.latency_objective_us, now_us
        )
        self.requests[request.id] = request
        context.set_timer(request.deadline_us, TimerKind.DEADLINE, request)
        request.may_wait_until_us = self.queues.may_wait_until_us(request)
        # Over the limit, so the client hears at once: else a surge fills the queues with what waits to die.
        wait = (
            volume.bucket.wait_us(volume.units_not_drawn + request.units, now_us) if volume.plan.limit else 0
        )
        if wait > max(0, max(request.objective_at_us, request.may_wait_until_us) - now_us):
            self._give_up(request, RejectReason.LIMIT_REACHED)
            return
        volume.units_not_drawn += request.units
        if self.key_order.add(request):
            self.queues.enqueue(request)

    def _send(self, request: Request, endpoint: TrackedEndpoint) -> None:
        """Send, and book it everywhere it counts."""
        context, volume = self.context, request.volume
        now_us = context.now_us
        if not request.drawn:
            request.drawn = True
            volume.units_not_drawn = max(0.0, volume.units_not_drawn - request.units)
            if volume.plan.limit:
                volume.bucket.draw(request.units, now_us)
                volume.bucket.in_flight += request.units if context.host_confirms_start else 0.0
        self.retries.record_attempt(request)
        volume.debit(request.units, context.settings.largest_request_units)
        request.counted_slow_start_us = endpoint.count_slow_start_units(now_us, request.units)
        self.open_attempts[request.id, request.attempts_sent] = (request, endpoint, now_us)
        endpoint.largest_open_size = (
            max(endpoint.largest_open_size, request.relative_size)
            if endpoint.open_attempts
            else request.relative_size
        )
        attempt = (request.id, request.attempts_sent)
        context.set_timer(now_us + self.health.silence_limit_us(endpoint), TimerKind.OVERDUE, attempt)
        request.attempts_sent, request.open_endpoint, endpoint.open_attempts = (
            request.attempts_sent + 1,
            endpoint,
            endpoint.open_attempts + 1,
        )
        request.response_expected = self.health.expects_response(endpoint, request)
        if request.response_expected:
            endpoint.expected_responses += 1
            endpoint.silent_since_us = (
                now_us if endpoint.silent_since_us is None else endpoint.silent_since_us
            )
        context.actions.append(Send(request.id, endpoint.id))

    def _ended(self, event: AttemptEnded) -> None:
        key = (event.request, event.attempt)
        if (flight := self.open_attempts.pop(key, None)) is None:
            return
        request, endpoint, sent_us = flight
        request.open_endpoint = None
        awaited, request.response_expected = request.response_expected, False
        if key not in self._written_off:
            endpoint.open_attempts -= 1
            endpoint.expected_responses -= awaited
        self._written_off.discard(key)
        self.health.observe(endpoint, event, request, sent_us, awaited)
        self._count_end(request, event)
        if event.result not in PROVEN_NOT_RUN and request.first_run_endpoint is None:
            request.first_run_endpoint, request.first_run_at_us = endpoint, sent_us
        if event.result in MAY_HAVE_RUN and request.key is not None:
            self.key_order.quarantine(request.key)
        if event.finished:
            self._finish(request)
        elif request.done:
            self._free_key(request)
        elif (
            event.result is not AttemptResult.DATA_MIGRATED
        ):  # it waits for `DataMigrated`, or for its deadline
            self._again(request, event.result)
        self.endpoint_list.remove_if_idle(endpoint)
        self.context.mark_for_dispatch(endpoint.shard)

    def _count_end(self, request: Request, event: AttemptEnded) -> None:
        """Note whether an attempt began, and what of the limit it has used."""
        request.attempts_unstarted += not event.begun
        request.attempts_uncounted += event.result is AttemptResult.NOT_SENT and not event.begun
        if request.drawn and not request.come:
            never = event.result is AttemptResult.NOT_SENT or not event.begun
            request.unsure = request.unsure if never else event.result in MAY_HAVE_RUN
            if not request.unsure or event.finished or request.done:
                request.volume.settle(request, request.unsure or not never, self.context.now_us)

    def _again(self, request: Request, result: AttemptResult) -> None:
        """One attempt ended without an answer: try again where that is allowed and useful."""
        now_us, ran = self.context.now_us, request.first_run_endpoint
        pause_us = self.retries.retry_pause_us(request, result)
        useful = result is not AttemptResult.TIMEOUT and now_us + pause_us < request.deadline_us
        if (
            ran
            and request.request_class.idempotency is IdempotencyKind.WITH_IDEMPOTENCY_KEY
            and request.request_class.deduplication_scope is DeduplicationScope.SHARD
        ):
            request.shard = ran.shard  # only there is a repeat dropped: a new object goes back to its node
        if useful and self.retries.may_send(request, None):
            self.context.set_timer(now_us + pause_us, TimerKind.RETRY, request)
        else:
            self._give_up(request, RejectReason.ATTEMPTS_EXHAUSTED)

    def _moved(self, event: DataMigrated) -> None:
        """Go on where the data went, within the same attempts; give up where that is not known."""
        request = self.requests.get(event.request)
        if request is None or request.open_endpoint is not None:
            return
        self.queues.dequeue(request)
        if event.shard is not None:
            request.shard = event.shard
        if event.shard is not None and self.retries.may_send(request, None):
            self.queues.enqueue(request)
        else:
            self._give_up(request, RejectReason.ROUTE_UNKNOWN)

    def _give_up(self, request: Request, why: RejectReason) -> None:
        """The final answer, by the decisions."""
        self.context.actions.append(final_answer(self.context, request, why))
        self._finish(request)

    def _finish(self, request: Request) -> None:
        """Nothing more is owed for this request."""
        if not request.done:
            request.done = True
            self.queues.dequeue(request)
            self.requests.pop(request.id, None)
            now_us, volume = self.context.now_us, request.volume
            if not request.drawn:
                volume.units_not_drawn = max(0.0, volume.units_not_drawn - request.units)
            elif not request.come and request.open_endpoint is None:
                volume.settle(request, True, now_us)
            usual, rate = self.slow_start.usual_traffic[request.shard], volume.plan.base_rate
            saved = volume.settings.largest_request_units + MAX_CREDIT_S * rate
            part = volume.in_rate_demand.take_within(request.units, now_us, rate, saved)
            if not usual.has_served:  # at its end: a request must not make room for itself at a cold node
                usual.add(part, now_us)
        self._free_key(request)

    def _free_key(self, request: Request) -> None:
        """Let the next request of the key go."""
        if (following := self.key_order.next_ready(request)) is not None:
            self.queues.enqueue(following)

    def _write_off(self, attempt: tuple[str, int]) -> None:
        """Take an attempt that later answers have overtaken out of the window.

        Lost requests or answers would fill a small window until the clients' deadlines, though the
        node serves all else. It does harm where the attempt is only slow: one more is held there.
        """
        if (flight := self.open_attempts.get(attempt)) is None:
            return
        context = self.context
        request, endpoint, sent_us = flight
        if endpoint.last_response_us - sent_us > endpoint.expected_latency_us() * request.relative_size:
            self._written_off.add(attempt)
            endpoint.open_attempts -= 1
            endpoint.expected_responses -= request.response_expected
            endpoint.silent_since_us = context.now_us if endpoint.expected_responses else None
            # An answer that was lost loses the request: end the attempt while another can be in time.
            in_time = (
                context.now_us + endpoint.expected_latency_us() * request.relative_size
                < request.objective_at_us
            )
            request.open_endpoint, useful = None, in_time and context.settings.may_cancel
            if (
                useful
                and request.request_class.idempotency is not IdempotencyKind.NOT_IDEMPOTENT
                and self.retries.may_send(request, endpoint)
            ):
                context.actions.append(Cancel(*attempt))
            request.open_endpoint = endpoint
            context.mark_for_dispatch(endpoint.shard)
        else:  # an answer that does not come is late long before the client's deadline says so
            late_us = (context.now_us - sent_us) / request.relative_size
            self.health.adapt_window(endpoint, sent_us, late_us, True, AttemptResult.TIMEOUT)
            context.set_timer(
                context.now_us + self.health.silence_limit_us(endpoint), TimerKind.OVERDUE, attempt
            )

    # Time

    def _run_timers(self) -> None:
        for kind, what in self.context.timers.pop_due(self.context.now_us):
            if kind is TimerKind.ASK:
                self.context.actions.append(Subscribe())
            elif kind is TimerKind.OVERDUE and isinstance(what, tuple):
                self._write_off(what)
            elif kind is TimerKind.KEY_REST and isinstance(what, int):
                if (following := self.key_order.end_quarantine(what)) is not None:
                    self.queues.enqueue(following)
            elif isinstance(what, VolumeQueue) and what.suspended:
                self.queues.resume(what)
            elif isinstance(what, Request) and not what.done:
                if kind is TimerKind.DEADLINE and not what.response_started:
                    self._give_up(what, RejectReason.DEADLINE_EXCEEDED)
                elif (
                    kind is TimerKind.RETRY and not what.queued and what.open_endpoint is None
                ):  # or it has moved since
                    self.queues.enqueue(what)

    def _ask_wake(self) -> None:
        """One timer, for the next thing that time alone will change."""
        at = self.context.timers.next_us()
        if self.queues.rotation_by_shard and (at is None or at > self._next_cycle_us):
            at = self._next_cycle_us
        if at is not None and (self._next_wake_us is None or at < self._next_wake_us):
            self._next_wake_us = max(at, self.context.now_us + 1)
            self.context.actions.append(SetTimer(self._next_wake_us))
