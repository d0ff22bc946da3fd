"""The dispatch of events to the parts of the decisions. The interface is in `events.py`,
`actions.py` and `settings.py`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from lemonridge.scheduling.actions import Action, Cancel, RejectReason, Send, SetTimer, Subscribe
from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.endpoint_health import CYCLE_US, EndpointHealth
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
from lemonridge.scheduling.requests import CREDIT_S, Request, VolumeQueue
from lemonridge.scheduling.retries import RetryRules
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind, Settings
from lemonridge.scheduling.slow_start import SlowStart
from lemonridge.scheduling.timers import TimerKind
from lemonridge.scheduling.volume_limits import VolumeLimits
from lemonridge.scheduling.volume_queues import VolumeQueues

ASK_US = 250_000  # first pause after a failed call for the list, doubled up to the limit below
ASK_TOP_US = 8_000_000  # where the settings do not say how often to ask

# These prove that an attempt never ran; after those it may be running still.
UNRUN = frozenset(
    (
        AttemptResult.QUEUE_FULL,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
        AttemptResult.DATA_MIGRATED,
    )
)
UNSURE = frozenset((AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED))


class Scheduler:
    """A pure state machine: `handle` takes a time and events, and returns actions."""

    def __init__(self, settings: Settings, seed: int, asked: bool = False) -> None:
        """`asked`: the host asks `begins` before each first byte; else an attempt begins as it is sent."""
        self.context = context = DecisionContext(settings, seed, asked)
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
        self.flights: dict[
            tuple[str, int], tuple[Request, TrackedEndpoint, int]
        ] = {}  # attempts that are out
        self._lost: set[tuple[str, int]] = set()  # attempts written off, still without an outcome
        self._longest_us: list[int] = []  # the longest wait seen granted, by class
        self._wake_us: int | None = None
        self._cycle_us = 0  # when every waiting queue is visited next
        self._ask_pause_us = ASK_US
        self._configure(settings)

    # Events

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Take the events of one moment and decide."""
        context = self.context
        context.now, context.actions = now_us, []
        if context.born is None:
            self._begin(now_us)
        for event in events:
            self._take(event)
        self._wake_us = None if self._wake_us is not None and self._wake_us <= now_us else self._wake_us
        if self.queues.rotations and now_us >= self._cycle_us:  # not at every timer: each attempt has one
            self._cycle_us = now_us + CYCLE_US
            self.queues.visit_all()
        self._run_timers()
        for shard in list(context.touched):
            self.queues.visit(shard)
        context.touched.clear()
        self.limits.sweep()
        self._ask_wake()
        return context.actions

    def begins(self, now_us: int, request: str, attempt: int) -> bool:
        """Whether an attempt may still begin: asked right before its first byte, as connections take time."""
        self.context.now = now_us
        r, endpoint, _ = self.flights.get((request, attempt), (None, None, 0))
        if r is None or endpoint is None or r.done or not self.retries.repeatable(r, endpoint):
            return False
        if (
            self.slow_start.in_slow_start(endpoint) and endpoint.born_us != r.slow_start_id
        ):  # it began meanwhile
            if self.slow_start.wait_us(endpoint, r):
                return False
            r.slow_start_id = endpoint.count(now_us, r.units)
        return True

    def export_limits(self) -> dict[int, LimitLevel]:
        """Hand the limits over to another process of this host, by volume."""
        return self.limits.export_levels()

    def import_limits(self, now_us: int, levels: Mapping[int, LimitLevel]) -> None:
        """Be the process whose limits fill, from now on and from these levels."""
        self.context.born = now_us
        self.limits.import_levels(now_us, levels)

    def _begin(self, now_us: int) -> None:
        """The first moment."""
        self.context.born = self.retries.further.filled_us = now_us
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
            self.requests[event.request].started = True
        elif isinstance(event, DataMigrated):
            self._moved(event)
        elif isinstance(event, SettingsChanged):
            self._configure(event.settings, event.same)
        elif isinstance(event, QuotaChanged):
            self._sliced(event)
        elif isinstance(event, PeerHealthReported):
            self.health.judged(event)
        elif isinstance(event, PeerUsageReported) and event.volume in self.limits.volumes:
            volume = self.limits.volumes[event.volume]
            volume.told_us = self.context.now
            volume.debit(event.units, self.context.settings.largest_request_units)

    def _configure(self, settings: Settings, same: bool = False) -> None:
        """Go by new settings. What is held keeps its class; a volume its plan until it asks, or `same`."""
        hosts_before = self.context.settings.hosts
        self.context.configure(settings)
        for volume in self.limits.configure(settings) if same else ():
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
            endpoint.lent.tell(*part)
            self.context.touch(endpoint.shard)
        elif event.budget is SharedBudget.RETRIES:
            self.retries.further.tell(event.since_us, *part)

    def _listed(self, event: EndpointsChanged) -> None:
        context = self.context
        if event.kind is EndpointListUpdate.WATCH_FAILED:
            # Jitter and doubling: hosts that lost the list together must not return together.
            if context.settings.polls_endpoint_list:
                context.at(context.now + context.jitter(self._ask_pause_us), TimerKind.ASK, None)
                # Half of what the settings allow without asking: later and it counts as told.
                longest_us = context.settings.poll_within_us // 2 or ASK_TOP_US
                self._ask_pause_us = min(self._ask_pause_us * 2, longest_us)
            return
        self._ask_pause_us = ASK_US
        self.endpoint_list.take(event)
        self.queues.visit_all()

    # A request

    def _arrived(self, event: RequestArrived) -> None:
        context = self.context
        cls, now = context.settings.classes[event.cls], context.now
        self.retries.ration.took(now, context.settings.retry_budget_window_us)
        volume = self.limits.volume_of(event)
        # A client's repeat shows in that less than the longest wait is left: its aim is its first try's. That
        # is an estimate, as any client may give less time: it says what goes first.
        left = event.deadline_us - now
        longest_us = min(cls.deadline_us, max(self._longest_us[event.cls], left))
        self._longest_us[event.cls] = longest_us
        request = Request(event, cls, volume, event.deadline_us - longest_us + cls.latency_objective_us, now)
        self.requests[request.id] = request
        context.at(request.deadline, TimerKind.DEADLINE, request)
        request.until = self.queues.patient_until(request)
        # Over the limit, so the client hears at once: else a surge fills the queues with what waits to die.
        wait = volume.store.wait_us(volume.undrawn + request.units, now) if volume.plan.limit else 0
        if wait > max(0, max(request.due, request.until) - now):
            self._give_up(request, RejectReason.LIMIT_REACHED)
            return
        volume.undrawn += request.units
        if self.key_order.arrive(request):
            self.queues.enqueue(request)

    def _send(self, request: Request, endpoint: TrackedEndpoint) -> None:
        """Send, and book it everywhere it counts."""
        context, volume = self.context, request.volume
        now = context.now
        if not request.drawn:
            request.drawn = True
            volume.undrawn = max(0.0, volume.undrawn - request.units)
            if volume.plan.limit:
                volume.store.draw(request.units, now)
                volume.store.away += request.units if context.asked else 0.0
        self.retries.count(request)
        volume.debit(request.units, context.settings.largest_request_units)
        request.slow_start_id = endpoint.count(now, request.units)
        self.flights[request.id, request.sent] = (request, endpoint, now)
        endpoint.size = max(endpoint.size, request.size) if endpoint.open else request.size
        attempt = (request.id, request.sent)
        context.at(now + self.health.patience_us(endpoint), TimerKind.OVERDUE, attempt)
        request.sent, request.open, endpoint.open = request.sent + 1, endpoint, endpoint.open + 1
        request.awaited = self.health.awaits(endpoint, request)
        if request.awaited:
            endpoint.awaited += 1
            endpoint.quiet_us = now if endpoint.quiet_us is None else endpoint.quiet_us
        context.actions.append(Send(request.id, endpoint.id))

    def _ended(self, event: AttemptEnded) -> None:
        key = (event.request, event.attempt)
        if (flight := self.flights.pop(key, None)) is None:
            return
        request, endpoint, sent_us = flight
        request.open = None
        awaited, request.awaited = request.awaited, False
        if key not in self._lost:
            endpoint.open -= 1
            endpoint.awaited -= awaited
        self._lost.discard(key)
        self.health.observe(endpoint, event, request, sent_us, awaited)
        self._count_end(request, event)
        if event.result not in UNRUN and request.ran_endpoint is None:
            request.ran_endpoint, request.ran_us = endpoint, sent_us
        if event.result in UNSURE and request.key is not None:
            self.key_order.rest(request.key)
        if event.finished:
            self._finish(request)
        elif request.done:
            self._free_key(request)
        elif (
            event.result is not AttemptResult.DATA_MIGRATED
        ):  # it waits for `DataMigrated`, or for its deadline
            self._again(request, event.result)
        self.endpoint_list.drop(endpoint)
        self.context.touch(endpoint.shard)

    def _count_end(self, request: Request, event: AttemptEnded) -> None:
        """Note whether an attempt began, and what of the limit it has used."""
        request.unbegun += not event.begun
        request.uncounted += event.result is AttemptResult.NOT_SENT and not event.begun
        if request.drawn and not request.come:
            never = event.result is AttemptResult.NOT_SENT or not event.begun
            request.unsure = request.unsure if never else event.result in UNSURE
            if not request.unsure or event.finished or request.done:
                request.volume.arrive(request, request.unsure or not never, self.context.now)

    def _again(self, request: Request, result: AttemptResult) -> None:
        """One attempt ended without an answer: try again where that is allowed and useful."""
        now, ran = self.context.now, request.ran_endpoint
        pause_us = self.retries.pause_us(request, result)
        useful = result is not AttemptResult.TIMEOUT and now + pause_us < request.deadline
        if (
            ran
            and request.cls.idempotency is IdempotencyKind.WITH_IDEMPOTENCY_KEY
            and request.cls.deduplication_scope is DeduplicationScope.SHARD
        ):
            request.shard = ran.shard  # only there is a repeat dropped: a new object goes back to its node
        if useful and self.retries.may_send(request, None):
            self.context.at(now + pause_us, TimerKind.RETRY, request)
        else:
            self._give_up(request, RejectReason.ATTEMPTS_EXHAUSTED)

    def _moved(self, event: DataMigrated) -> None:
        """Go on where the data went, within the same attempts; give up where that is not known."""
        request = self.requests.get(event.request)
        if request is None or request.open is not None:
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
            now, volume = self.context.now, request.volume
            if not request.drawn:
                volume.undrawn = max(0.0, volume.undrawn - request.units)
            elif not request.come and request.open is None:
                volume.arrive(request, True, now)
            usual, rate = self.slow_start.usual[request.shard], volume.plan.base_rate
            saved = volume.settings.largest_request_units + CREDIT_S * rate
            part = volume.regular.inside(request.units, now, rate, saved)
            if not usual.served:  # at its end: a request must not make room for itself at a cold node
                usual.add(part, now)
        self._free_key(request)

    def _free_key(self, request: Request) -> None:
        """Let the next request of the key go."""
        if (following := self.key_order.next(request)) is not None:
            self.queues.enqueue(following)

    def _write_off(self, attempt: tuple[str, int]) -> None:
        """Take an attempt that later answers have overtaken out of the window.

        Lost requests or answers would fill a small window until the clients' deadlines, though the
        node serves all else. It does harm where the attempt is only slow: one more is held there.
        """
        if (flight := self.flights.get(attempt)) is None:
            return
        context = self.context
        request, endpoint, sent_us = flight
        if endpoint.heard_us - sent_us > endpoint.usual() * request.size:
            self._lost.add(attempt)
            endpoint.open -= 1
            endpoint.awaited -= request.awaited
            endpoint.quiet_us = context.now if endpoint.awaited else None
            # An answer that was lost loses the request: end the attempt while another can be in time.
            in_time = context.now + endpoint.usual() * request.size < request.due
            request.open, useful = None, in_time and context.settings.may_cancel
            if (
                useful
                and request.cls.idempotency is not IdempotencyKind.NOT_IDEMPOTENT
                and self.retries.may_send(request, endpoint)
            ):
                context.actions.append(Cancel(*attempt))
            request.open = endpoint
            context.touch(endpoint.shard)
        else:  # an answer that does not come is late long before the client's deadline says so
            late_us = (context.now - sent_us) / request.size
            self.health.adapt(endpoint, sent_us, late_us, True, AttemptResult.TIMEOUT)
            context.at(context.now + self.health.patience_us(endpoint), TimerKind.OVERDUE, attempt)

    # Time

    def _run_timers(self) -> None:
        for kind, what in self.context.timers.due(self.context.now):
            if kind is TimerKind.ASK:
                self.context.actions.append(Subscribe())
            elif kind is TimerKind.OVERDUE and isinstance(what, tuple):
                self._write_off(what)
            elif kind is TimerKind.KEY_REST and isinstance(what, int):
                if (following := self.key_order.rested(what)) is not None:
                    self.queues.enqueue(following)
            elif isinstance(what, VolumeQueue) and what.suspended:
                self.queues.resume(what)
            elif isinstance(what, Request) and not what.done:
                if kind is TimerKind.DEADLINE and not what.started:
                    self._give_up(what, RejectReason.DEADLINE_EXCEEDED)
                elif (
                    kind is TimerKind.RETRY and not what.queued and what.open is None
                ):  # or it has moved since
                    self.queues.enqueue(what)

    def _ask_wake(self) -> None:
        """One timer, for the next thing that time alone will change."""
        at = self.context.timers.next_us()
        if self.queues.rotations and (at is None or at > self._cycle_us):
            at = self._cycle_us
        if at is not None and (self._wake_us is None or at < self._wake_us):
            self._wake_us = max(at, self.context.now + 1)
            self.context.actions.append(SetTimer(self._wake_us))
