"""What this host thinks of each node: its window, its silences, its probes, and which one to send to."""

from __future__ import annotations

from lemonridge.scheduling.context import MIN_WINDOW, SMALL_FLEET_HOSTS, DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.endpoint_list import EndpointList
from lemonridge.scheduling.events import AttemptEnded, AttemptResult, EndpointState, PeerHealthReported
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.settings import IdempotencyKind
from lemonridge.scheduling.slow_start import SlowStart

DISPATCH_CYCLE_US = 10_000  # Gage's cycle: shorter reacts sooner to a refill, longer costs less CPU
MIN_CROWDED_WINDOW = (
    1 / 128
)  # at many: a window below one is a pause after each answer; lower reacts later to room
MAX_WINDOW = 8.0  # fixed ceiling: more hides waiting in the node, out of reach of the shares
SLOW_RESPONSE_FRACTION = (
    0.25  # an answer later than this share of its aim cuts the window: utilisation against delay
)
EWMA_WEIGHT = 0.125  # weight of a new answer time: steady against quick
SILENCE_MULTIPLE = 4.0  # times the usual answer time without a word: suspect; lower takes pauses for failures
PROBE_INTERVAL_US = 500_000  # a suspect node gets one request this often
RESTART_AFTER_US = 1_000_000  # not reached for so long: it restarted; shorter takes a reset connect for that
CROWDED_LOAD_RATIO = (
    4.0  # more than this held for each of this host, and late: many senders; lower rests sooner
)
CROWDED_RESTART_WINDOW = 1 / 16  # where a host goes on after the first good answer of a crowded node
MAX_CROWDED_CUT = 16.0  # the deepest single cut at a crowded node: drains a full queue against losing room
ANSWERED = frozenset(
    (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.QUEUE_FULL, AttemptResult.DATA_MIGRATED)
)


class EndpointHealth:
    """Learns from how attempts end, and picks nodes by it."""

    def __init__(self, context: DecisionContext, endpoints: EndpointList, slow_start: SlowStart) -> None:
        self._context, self._endpoints, self._slow_start = context, endpoints, slow_start

    # Choosing

    def pick(self, shard: int) -> TrackedEndpoint | None:
        """The usable node of the shard with the most room (any node for a new object)."""
        best, room = None, 0.0
        for endpoint in self._endpoints.candidates() if shard < 0 else self._endpoints.shards.get(shard, ()):
            if endpoint.state is not EndpointState.ACTIVE:
                continue
            free = self._free_slots(endpoint)
            if shard < 0 and free > room and self._skips_for_slow_start(endpoint):
                continue
            if free > room:
                best, room = endpoint, free
        return best

    def _free_slots(self, endpoint: TrackedEndpoint) -> float:
        """How many requests a node takes now, a half where it is tried with one."""
        free = endpoint.window - endpoint.open_attempts
        if self.suspect(endpoint):
            return (
                0.5
                if self._context.now_us >= max(endpoint.next_probe_us, endpoint.cooldown_until_us)
                else 0.0
            )
        if endpoint.window < MIN_WINDOW:
            return 0.0 if endpoint.open_attempts or self._context.now_us < endpoint.cooldown_until_us else 0.5
        return free if free >= 1.0 else 0.0

    def _skips_for_slow_start(self, endpoint: TrackedEndpoint) -> bool:
        """Whether a new object goes elsewhere, as a node's part of its slow start is spent: another can take
        it, and no other has what lies there.
        """
        return self._slow_start.in_slow_start(endpoint) and endpoint.slow_start_tokens < 0

    def suspect(self, endpoint: TrackedEndpoint) -> bool:
        """Silence against its own usual answer time, or connects that fail."""
        silent = (
            endpoint.silent_since_us is not None
            and self._context.now_us - endpoint.silent_since_us > self.silence_limit_us(endpoint)
        )
        return silent or endpoint.connect_failures > 0

    def silence_limit_us(self, endpoint: TrackedEndpoint) -> int:
        """How long a node may be silent before it is odd."""
        usual = (
            endpoint.expected_latency_us()
            if endpoint.latency_ewma_us
            else self._context.tightest_objective_us
        )
        return int(SILENCE_MULTIPLE * endpoint.largest_open_size * max(usual, 4.0 * DISPATCH_CYCLE_US))

    def expects_response(self, endpoint: TrackedEndpoint, request: Request) -> bool:
        """Whether a request has time enough for its silence, or its being turned away, to say something of
        its node: as long as a silence is odd there, or half of what its class has. Nodes may drop without a
        word what has very little time left (STANDING), and turn away what is over (PROTOCOL).
        """
        left_us = request.deadline_us - self._context.now_us
        return left_us >= min(self.silence_limit_us(endpoint), request.request_class.deadline_us // 2)

    def admits(self, endpoint: TrackedEndpoint, request: Request) -> bool:
        """A suspect node is tried with one safe request at a time: an answer clears it, and a
        request that may run once only would be neither resendable nor refusable there.
        """
        if not self.suspect(endpoint):
            return True
        if (
            request.request_class.idempotency is IdempotencyKind.NOT_IDEMPOTENT
            and endpoint.open_attempts
            and not endpoint.connect_failures
        ):
            return False
        self._probe_later(endpoint)
        return True

    def _probe_later(self, endpoint: TrackedEndpoint) -> None:
        """Tries thin out: those of many hosts would fill a node before it is well again."""
        times = (4 if endpoint.connect_failures else 1) << endpoint.probe_count
        most = max(1, self._context.settings.hosts * 2 // SMALL_FLEET_HOSTS)
        endpoint.next_probe_us = self._context.now_us + self._context.jitter(
            PROBE_INTERVAL_US * min(times, most)
        )
        endpoint.probe_count = min(endpoint.probe_count + 1, 16)

    # Learning

    def apply_peer_report(self, event: PeerHealthReported) -> None:
        """What others saw of a node; its own later answer or start goes before. One voice makes careful;
        where several agree the next request is a try, at once: words alone never close a node.
        """
        endpoint = self._endpoints.endpoints.get(event.endpoint_id)
        if (
            endpoint is None
            or endpoint.connect_failures
            or event.at_us
            <= max(endpoint.last_response_us, (endpoint.slow_start_began_us or 0) + RESTART_AFTER_US)
        ):
            return
        if event.agreed:
            endpoint.connect_failures, endpoint.unreachable_since_us = 1, event.at_us
        elif endpoint.window_cut_us < event.at_us and endpoint.window > MIN_WINDOW:
            endpoint.window, endpoint.window_cut_us = (
                max(MIN_WINDOW, endpoint.window / 2),
                self._context.now_us,
            )

    def observe(
        self, endpoint: TrackedEndpoint, event: AttemptEnded, request: Request, sent_us: int, awaited: bool
    ) -> None:
        """Learn from how an attempt ended: window, answer time, health, told use. Of one that was not
        `awaited` neither silence nor a refusal counts.
        """
        now_us = self._context.now_us
        if event.result is AttemptResult.CONNECT_FAILED:
            self._connect_failed(endpoint)
            return
        lag = (
            event.latency_us / request.relative_size
        )  # a large request takes longer: that is no sign of load
        # A connection that breaks tells nothing of load, and is no silence: a window cut for each would
        # close a node to all for a network that resets one connection in twenty.
        # What had little time may have been turned away as over: that is no sign of load either.
        cut = awaited and event.result in (AttemptResult.QUEUE_FULL, AttemptResult.TIMEOUT)
        if event.result is AttemptResult.RESET:
            endpoint.silent_since_us = now_us if endpoint.expected_responses else None
        if event.result in ANSWERED:
            endpoint.silent_since_us, endpoint.last_response_us = (
                now_us if endpoint.expected_responses else None,
                now_us,
            )
            if endpoint.connect_failures and now_us - endpoint.unreachable_since_us >= RESTART_AFTER_US:
                self._slow_start.begin(endpoint, now_us)  # down, then up: it restarted unseen and is cold
            endpoint.connect_failures = endpoint.probe_count = 0
        if event.result is AttemptResult.OK:
            cut = self._served(endpoint, event, request, lag)
        if event.endpoint_outstanding is not None and event.endpoint_outstanding >= 0:
            endpoint.outstanding_by_report = event.endpoint_outstanding
        self.adapt_window(endpoint, sent_us, lag, cut, event.result)

    def _connect_failed(self, endpoint: TrackedEndpoint) -> None:
        self._slow_start.usual_traffic[endpoint.shard].frozen = True
        endpoint.unreachable_since_us = (
            endpoint.unreachable_since_us if endpoint.connect_failures else self._context.now_us
        )
        endpoint.connect_failures += 1
        self._probe_later(endpoint)

    def _served(self, endpoint: TrackedEndpoint, event: AttemptEnded, request: Request, lag: float) -> bool:
        """Learn from an answer; whether it came late enough to cut the window."""
        now_us, slow_start, settings = self._context.now_us, self._slow_start, self._context.settings
        if endpoint.slow_start_began_us is None and endpoint.state is EndpointState.ACTIVE:
            usual = slow_start.usual_traffic[endpoint.shard]
            usual.has_served = True
            slow_start.warm_latency_us += (lag - slow_start.warm_latency_us) * (
                EWMA_WEIGHT / 4 if slow_start.warm_latency_us else 1.0
            )
            usual.add(request.units, now_us)
        error = lag - endpoint.latency_ewma_us
        endpoint.latency_ewma_us += error * (EWMA_WEIGHT if endpoint.latency_ewma_us else 1.0)
        endpoint.latency_deviation_us += (abs(error) - endpoint.latency_deviation_us) * EWMA_WEIGHT
        cut = lag > SLOW_RESPONSE_FRACTION * self._context.tightest_objective_us
        if not cut and 1.0 <= endpoint.window <= endpoint.open_attempts + 1:
            endpoint.window = min(MAX_WINDOW, endpoint.window + 1 / endpoint.window)
        if event.peer_units is not None and settings.reports_peer_usage:
            request.volume.peer_usage_at_us = now_us
            request.volume.debit(event.peer_units, settings.largest_request_units)
        return cut

    def adapt_window(
        self, endpoint: TrackedEndpoint, sent_us: int, lag_us: float, late: bool, result: AttemptResult
    ) -> None:
        """Cut the window, once for all that was sent before the last cut, or let it grow again.

        One request from each of many hosts floods a node. Where it told that it holds several for each
        of this host's, or turns requests away, windows go below one: a rest after each answer. It
        also meets any other node that got slow for many; it does harm where room returns suddenly.
        """
        now_us, tightest_us = self._context.now_us, self._context.tightest_objective_us
        many = (
            endpoint.outstanding_by_report > CROWDED_LOAD_RATIO * (endpoint.open_attempts + 1)
            and lag_us > tightest_us // 2
        )
        full = result is AttemptResult.QUEUE_FULL
        silent = (
            result is AttemptResult.TIMEOUT and endpoint.last_response_us < sent_us
        )  # nobody is told how full it is
        crowd = late and self._context.settings.hosts > SMALL_FLEET_HOSTS and (many or full or silent)
        if late and sent_us >= endpoint.window_cut_us and (crowd or endpoint.window > MIN_WINDOW):
            deep = MAX_CROWDED_CUT if full else min(MAX_CROWDED_CUT, lag_us * 2 / tightest_us)
            least, by = (MIN_CROWDED_WINDOW, max(2.0, deep)) if crowd else (MIN_WINDOW, 2.0)
            endpoint.window, endpoint.window_cut_us = max(least, endpoint.window / by), now_us
        elif result is AttemptResult.OK and not crowd and endpoint.window < MIN_WINDOW:
            endpoint.window = min(MIN_WINDOW, max(endpoint.window * 2, CROWDED_RESTART_WINDOW))
        if endpoint.window < MIN_WINDOW:
            endpoint.cooldown_until_us = now_us + self._context.jitter(
                int(tightest_us * (1 / endpoint.window - 1))
            )
