"""Which endpoint to send to, by what this host has seen of each: its window, its silence, its probes."""

from __future__ import annotations

from lemonridge.scheduling.context import MIN_WINDOW, SMALL_FLEET_HOSTS, DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.endpoint_list import EndpointList
from lemonridge.scheduling.events import AttemptEnded, AttemptResult, EndpointState, PeerHealthReported
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.settings import IdempotencyKind
from lemonridge.scheduling.slow_start import SlowStart

DISPATCH_CYCLE_US = 10_000  # Gage's scheduling cycle
MIN_CROWDED_WINDOW = 1 / 128  # requests; a window below 1 is a pause after each response
MAX_WINDOW = 8.0  # requests; more would queue in the endpoint, where reservations have no effect
SLOW_RESPONSE_FRACTION = 0.25  # of the tightest objective: a later response cuts the window
EWMA_WEIGHT = 0.125  # of a new latency in the average
SILENCE_MULTIPLE = 4.0  # of the usual latency: a longer silence makes an endpoint suspect
MIN_EXPECTED_LATENCY_US = 4.0 * DISPATCH_CYCLE_US  # a shorter usual latency counts as this
MIN_SILENCE_LIMIT_US = int(SILENCE_MULTIPLE * MIN_EXPECTED_LATENCY_US)
PROBE_INTERVAL_US = 500_000  # between the probes of a suspect endpoint
MAX_PROBE_COUNT = 16
RESTART_AFTER_US = 1_000_000  # an endpoint not reached for this long has restarted
CROWDED_LOAD_RATIO = 4.0  # requests at the endpoint for each of this host's: it has many senders
CROWDED_RESTART_WINDOW = 1 / 16  # requests; the window after a crowded endpoint's first good response
MAX_CROWDED_REDUCTION = 16.0  # the window of a crowded endpoint is divided by this at most
PROBE_SLOTS = 0.5  # free slots of an endpoint that is tried with one request: less than of any other

RESPONSES = frozenset(
    (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.QUEUE_FULL, AttemptResult.DATA_MIGRATED)
)


class EndpointHealth:
    """Learns from how attempts end, and picks endpoints by it."""

    def __init__(self, context: DecisionContext, endpoints: EndpointList, slow_start: SlowStart) -> None:
        self._context, self._endpoints, self._slow_start = context, endpoints, slow_start

    # Choice

    def pick(self, shard: int) -> TrackedEndpoint | None:
        """Picks the active endpoint with the most free slots, None where none has any.

        Of the shard's endpoints; of all, or some at random, for a new object (`ANY_SHARD`). A new object
        skips an endpoint in slow start whose budget is used up, as any other can take it.
        """
        new_object = shard < 0
        best, most = None, 0.0
        candidates = self._endpoints.candidates() if new_object else self._endpoints.shards.get(shard, ())
        for endpoint in candidates:
            if endpoint.state is not EndpointState.ACTIVE:
                continue
            free = self._free_slots(endpoint)
            if free > most and not (new_object and self._skips_for_slow_start(endpoint)):
                best, most = endpoint, free
        return best

    def _free_slots(self, endpoint: TrackedEndpoint) -> float:
        """How many requests an endpoint may be sent now; `PROBE_SLOTS` where it is tried with one."""
        free = endpoint.window - endpoint.open_attempts
        now_us = self._context.now_us
        if self.suspect(endpoint):
            probe_is_due = now_us >= max(endpoint.next_probe_us, endpoint.cooldown_until_us)
            return PROBE_SLOTS if probe_is_due else 0.0
        if endpoint.window < MIN_WINDOW:
            pauses = endpoint.open_attempts or now_us < endpoint.cooldown_until_us
            return 0.0 if pauses else PROBE_SLOTS
        return free if free >= 1.0 else 0.0

    def _skips_for_slow_start(self, endpoint: TrackedEndpoint) -> bool:
        return self._slow_start.in_slow_start(endpoint) and endpoint.slow_start_tokens < 0

    # Suspicion

    def suspect(self, endpoint: TrackedEndpoint) -> bool:
        """Whether an endpoint is silent for longer than is usual there, or connects to it fail."""
        if endpoint.connect_failures:
            return True
        if endpoint.silent_since_us is None:
            return False
        silent_us = self._context.now_us - endpoint.silent_since_us
        return silent_us > MIN_SILENCE_LIMIT_US and silent_us > self.silence_limit_us(endpoint)

    def silence_limit_us(self, endpoint: TrackedEndpoint) -> int:
        """How long an endpoint may be silent, by its usual latency and its largest open request.

        Before its first response the tightest objective stands for the latency.
        """
        expected_us: float = self._context.tightest_objective_us
        if endpoint.latency_ewma_us:
            expected_us = endpoint.expected_latency_us()
        return int(SILENCE_MULTIPLE * endpoint.largest_open_size * max(expected_us, MIN_EXPECTED_LATENCY_US))

    def expects_response(self, endpoint: TrackedEndpoint, request: Request) -> bool:
        """Whether a missing response to a request, or a rejection of it, counts against its endpoint.

        It has time left for a silence that makes the endpoint suspect, or half of its class's time.
        Endpoints may drop a request with very little time left without a response (STANDING), and reject
        one whose deadline has passed (PROTOCOL).
        """
        left_us = request.deadline_us - self._context.now_us
        return left_us >= min(self.silence_limit_us(endpoint), request.request_class.deadline_us // 2)

    def admits(self, endpoint: TrackedEndpoint, request: Request) -> bool:
        """Whether an endpoint may be sent a request; for a suspect one this is a probe.

        A silent endpoint is probed with one request at a time, and with none that is not idempotent while
        another is open: such a request could be neither retried nor rejected if the endpoint is dead.
        """
        if not self.suspect(endpoint):
            return True
        if (
            request.request_class.idempotency is IdempotencyKind.NOT_IDEMPOTENT
            and endpoint.open_attempts
            and not endpoint.connect_failures
        ):
            return False
        self._schedule_probe(endpoint)
        return True

    def _schedule_probe(self, endpoint: TrackedEndpoint) -> None:
        """Sets the time of the next probe, with exponential backoff up to a bound by the number of hosts.

        The probes of many hosts would otherwise fill an endpoint before it has recovered.
        """
        multiple = (4 if endpoint.connect_failures else 1) << endpoint.probe_count
        most = max(1, self._context.settings.hosts * 2 // SMALL_FLEET_HOSTS)
        interval_us = self._context.jitter(PROBE_INTERVAL_US * min(multiple, most))
        endpoint.next_probe_us = self._context.now_us + interval_us
        endpoint.probe_count = min(endpoint.probe_count + 1, MAX_PROBE_COUNT)

    # Learning

    def apply_peer_report(self, event: PeerHealthReported) -> None:
        """Applies what other hosts report of an endpoint; this host's own later response or start prevails.

        One report halves the window. Where several agree, the next request is a probe, at once: reports
        alone never eject an endpoint.
        """
        endpoint = self._endpoints.endpoints.get(event.endpoint_id)
        if endpoint is None or endpoint.connect_failures:
            return
        recovered_us = (endpoint.slow_start_began_us or 0) + RESTART_AFTER_US
        if event.at_us <= max(endpoint.last_response_us, recovered_us):
            return
        if event.agreed:
            endpoint.connect_failures = 1
            endpoint.unreachable_since_us = event.at_us
        elif endpoint.window_reduced_us < event.at_us and endpoint.window > MIN_WINDOW:
            endpoint.window = max(MIN_WINDOW, endpoint.window / 2)
            endpoint.window_reduced_us = self._context.now_us

    def observe(
        self,
        endpoint: TrackedEndpoint,
        event: AttemptEnded,
        request: Request,
        sent_us: int,
        response_expected: bool,
    ) -> None:
        """Learns from how an attempt ended: window, latency, silence, restarts, use by other hosts.

        The latency counts by the request's size, as a large request takes longer without any load. A reset
        is no sign of load and no silence: cutting the window for each would close an endpoint for all behind
        a network that resets one connection in twenty.

        Args:
            endpoint: Where it was sent.
            event: How it ended.
            request: Its request.
            sent_us: When it was sent.
            response_expected: Its silence or rejection counts (`expects_response`).
        """
        now_us = self._context.now_us
        if event.result is AttemptResult.CONNECT_FAILED:
            self._connect_failed(endpoint)
            return
        latency_us = event.latency_us / request.relative_size
        overloaded = response_expected and event.result in (AttemptResult.QUEUE_FULL, AttemptResult.TIMEOUT)
        if event.result is AttemptResult.RESET:
            endpoint.restart_silence(now_us)
        if event.result in RESPONSES:
            self._responded(endpoint)
        if event.result is AttemptResult.OK:
            overloaded = self._served(endpoint, event, request, latency_us)
        if event.endpoint_outstanding is not None and event.endpoint_outstanding >= 0:
            endpoint.outstanding_by_report = event.endpoint_outstanding
        self.adapt_window(endpoint, sent_us, latency_us, overloaded, event.result)

    def _connect_failed(self, endpoint: TrackedEndpoint) -> None:
        """Makes an endpoint suspect until its next response."""
        self._slow_start.baseline_traffic[endpoint.shard].frozen = True
        if not endpoint.connect_failures:
            endpoint.unreachable_since_us = self._context.now_us
        endpoint.connect_failures += 1
        self._schedule_probe(endpoint)

    def _responded(self, endpoint: TrackedEndpoint) -> None:
        """Clears suspicion. An endpoint not reached for a while has restarted, and begins its slow start."""
        now_us = self._context.now_us
        endpoint.restart_silence(now_us)
        endpoint.last_response_us = now_us
        if endpoint.connect_failures and now_us - endpoint.unreachable_since_us >= RESTART_AFTER_US:
            self._slow_start.begin(endpoint, now_us)
        endpoint.connect_failures = endpoint.probe_count = 0

    def _served(
        self, endpoint: TrackedEndpoint, event: AttemptEnded, request: Request, latency_us: float
    ) -> bool:
        """Learns from a good response; returns whether it came late enough to cut the window."""
        now_us, slow_start, settings = self._context.now_us, self._slow_start, self._context.settings
        if endpoint.slow_start_began_us is None and endpoint.state is EndpointState.ACTIVE:
            baseline = slow_start.baseline_traffic[endpoint.shard]
            baseline.has_served = True
            weight = EWMA_WEIGHT / 4 if slow_start.warm_latency_us else 1.0
            slow_start.warm_latency_us += (latency_us - slow_start.warm_latency_us) * weight
            baseline.add(request.units, now_us)
        error_us = latency_us - endpoint.latency_ewma_us
        endpoint.latency_ewma_us += error_us * (EWMA_WEIGHT if endpoint.latency_ewma_us else 1.0)
        endpoint.latency_deviation_us += (abs(error_us) - endpoint.latency_deviation_us) * EWMA_WEIGHT
        slow = latency_us > SLOW_RESPONSE_FRACTION * self._context.tightest_objective_us
        if not slow and 1.0 <= endpoint.window <= endpoint.open_attempts + 1:
            endpoint.window = min(MAX_WINDOW, endpoint.window + 1 / endpoint.window)
        if event.peer_units is not None and settings.reports_peer_usage:
            request.volume.peer_usage_at_us = now_us
            request.volume.debit(event.peer_units, settings.largest_request_units)
        return slow

    def adapt_window(
        self,
        endpoint: TrackedEndpoint,
        sent_us: int,
        latency_us: float,
        overloaded: bool,
        result: AttemptResult,
    ) -> None:
        """Cuts the window, once for all that was sent before the last cut, or lets it recover.

        Halved down to one request; in a large fleet, where one request of each host overloads an endpoint,
        down to a pause after each response, and deeper the later the response was. An endpoint counts as
        crowded there if its report says that it has several requests for each of this host's, if it rejects
        requests as its queue is full, or if it is silent, as nobody knows then how full it is.

        Args:
            endpoint: The endpoint.
            sent_us: When the attempt was sent.
            latency_us: Its latency, or how long it is out, for a request of mean size.
            overloaded: It shows that the endpoint has too much load.
            result: How it ended.
        """
        now_us, tightest_us = self._context.now_us, self._context.tightest_objective_us
        rejected = result is AttemptResult.QUEUE_FULL
        silent = result is AttemptResult.TIMEOUT and endpoint.last_response_us < sent_us
        many_senders = (
            endpoint.outstanding_by_report > CROWDED_LOAD_RATIO * (endpoint.open_attempts + 1)
            and latency_us > tightest_us // 2
        )
        large_fleet = self._context.settings.hosts > SMALL_FLEET_HOSTS
        crowded = overloaded and large_fleet and (many_senders or rejected or silent)
        if overloaded and sent_us >= endpoint.window_reduced_us and (crowded or endpoint.window > MIN_WINDOW):
            least, divisor = MIN_WINDOW, 2.0
            if crowded:
                least = MIN_CROWDED_WINDOW
                reduction = (
                    MAX_CROWDED_REDUCTION
                    if rejected
                    else min(MAX_CROWDED_REDUCTION, latency_us * 2 / tightest_us)
                )
                divisor = max(2.0, reduction)
            endpoint.window = max(least, endpoint.window / divisor)
            endpoint.window_reduced_us = now_us
        elif result is AttemptResult.OK and not crowded and endpoint.window < MIN_WINDOW:
            endpoint.window = min(MIN_WINDOW, max(endpoint.window * 2, CROWDED_RESTART_WINDOW))
        if endpoint.window < MIN_WINDOW:
            pause_us = int(tightest_us * (1 / endpoint.window - 1))
            endpoint.cooldown_until_us = now_us + self._context.jitter(pause_us)
