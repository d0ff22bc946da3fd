"""Tracks the health of endpoints and selects the endpoint for each request.

Health is derived from the results of this host's attempts: the window of an endpoint, how long it has been
silent, and the probes that are sent to a suspect endpoint.
"""

from __future__ import annotations

from lemonridge.scheduling.context import MIN_WINDOW, SMALL_FLEET_HOSTS, DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.endpoint_list import EndpointList
from lemonridge.scheduling.events import AttemptEnded, AttemptResult, EndpointState, PeerHealthReported
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.settings import IdempotencyKind
from lemonridge.scheduling.slow_start import SlowStart

DISPATCH_CYCLE_US = 10_000  # Gage's scheduling cycle
MIN_CROWDED_WINDOW = 1 / 128  # requests; a window below 1 means a pause after each response
MAX_WINDOW = 8.0  # requests; more would queue at the endpoint, where reservations have no effect
SLOW_RESPONSE_FRACTION = 0.25  # fraction of the tightest objective above which a latency is slow
EWMA_WEIGHT = 0.125  # weight of a new latency in the moving average
SILENCE_MULTIPLE = 4.0  # multiple of the expected latency after which a silent endpoint is suspect
MIN_EXPECTED_LATENCY_US = 4.0 * DISPATCH_CYCLE_US  # lower bound of the expected latency
MIN_SILENCE_LIMIT_US = int(SILENCE_MULTIPLE * MIN_EXPECTED_LATENCY_US)
PROBE_INTERVAL_US = 500_000  # base interval between probes of a suspect endpoint
MAX_PROBE_COUNT = 16
RESTART_AFTER_US = 1_000_000  # an endpoint that was unreachable for this long counts as restarted
CROWDED_LOAD_RATIO = 4.0  # outstanding requests of all hosts per request of this host
CROWDED_RESTART_WINDOW = 1 / 16  # requests; window after the first good response of a crowded endpoint
MAX_CROWDED_REDUCTION = 16.0  # maximum divisor when the window of a crowded endpoint is reduced
PROBE_SLOTS = 0.5  # free slots of an endpoint that may receive a single request; ranks below any free slot

RESPONSES = frozenset(
    (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.QUEUE_FULL, AttemptResult.DATA_MIGRATED)
)


class EndpointHealth:
    """Updates the state of endpoints from the results of attempts, and selects endpoints by that state."""

    def __init__(self, context: DecisionContext, endpoints: EndpointList, slow_start: SlowStart) -> None:
        self._context, self._endpoints, self._slow_start = context, endpoints, slow_start

    # Selection

    def pick(self, shard: int) -> TrackedEndpoint | None:
        """Returns the active endpoint with the most free slots, or None if no endpoint has a free slot.

        The candidates are the endpoints of the shard. For a new object (`ANY_SHARD`) they are all endpoints,
        or a random sample of them; endpoints in slow start whose budget is exhausted are skipped, as any
        other endpoint can store the object.

        Args:
            shard: The shard, or `ANY_SHARD`.
        """
        new_object = shard < 0
        best, most_free = None, 0.0
        candidates = (
            self._endpoints.candidates() if new_object else self._endpoints.endpoints_by_shard.get(shard, ())
        )
        for endpoint in candidates:
            if endpoint.state is not EndpointState.ACTIVE:
                continue
            free = self._free_slots(endpoint)
            if free > most_free and not (new_object and self._slow_start_exhausted(endpoint)):
                best, most_free = endpoint, free
        return best

    def _free_slots(self, endpoint: TrackedEndpoint) -> float:
        """Returns how many requests may be sent to an endpoint now, or `PROBE_SLOTS`.

        `PROBE_SLOTS` stands for a single request: a probe of a suspect endpoint that is due, or the next
        request to an endpoint with a window below one after its pause.
        """
        free = endpoint.window - endpoint.open_attempts
        now_us = self._context.now_us
        if self.is_suspect(endpoint):
            probe_is_due = now_us >= max(endpoint.next_probe_us, endpoint.cooldown_until_us)
            return PROBE_SLOTS if probe_is_due else 0.0
        if endpoint.window < MIN_WINDOW:
            paused = endpoint.open_attempts or now_us < endpoint.cooldown_until_us
            return 0.0 if paused else PROBE_SLOTS
        return free if free >= 1.0 else 0.0

    def _slow_start_exhausted(self, endpoint: TrackedEndpoint) -> bool:
        return self._slow_start.in_slow_start(endpoint) and endpoint.slow_start_tokens < 0

    # Suspicion

    def is_suspect(self, endpoint: TrackedEndpoint) -> bool:
        """Returns whether an endpoint has been silent for too long or connection attempts to it fail."""
        if endpoint.connect_failures:
            return True
        if endpoint.silent_since_us is None:
            return False
        silent_us = self._context.now_us - endpoint.silent_since_us
        return silent_us > MIN_SILENCE_LIMIT_US and silent_us > self.silence_limit_us(endpoint)

    def silence_limit_us(self, endpoint: TrackedEndpoint) -> int:
        """Returns how long an endpoint may be silent before it is suspect, in microseconds.

        The limit depends on the expected latency of the endpoint and on its largest open request. Before the
        first response of the endpoint, the tightest objective is used as the expected latency.
        """
        expected_us: float = self._context.tightest_objective_us
        if endpoint.latency_ewma_us:
            expected_us = endpoint.expected_latency_us()
        return int(SILENCE_MULTIPLE * endpoint.largest_open_size * max(expected_us, MIN_EXPECTED_LATENCY_US))

    def expects_response(self, endpoint: TrackedEndpoint, request: Request) -> bool:
        """Returns whether a missing response, or a rejection by the endpoint, counts against the endpoint.

        It counts if the time left until the deadline is at least the silence limit of the endpoint, or at
        least half of the deadline of the request's class. Endpoints may drop a request with very little time
        left without a response (STANDING), and reject a request whose deadline has passed (PROTOCOL).
        """
        time_left_us = request.deadline_us - self._context.now_us
        return time_left_us >= min(self.silence_limit_us(endpoint), request.request_class.deadline_us // 2)

    def admits(self, endpoint: TrackedEndpoint, request: Request) -> bool:
        """Returns whether a request may be sent to an endpoint.

        A request to a suspect endpoint is a probe; if it may be sent, the next probe is scheduled. A silent
        endpoint receives one probe at a time. A request that is not idempotent is not used as a probe while
        another attempt is open there, because it could be neither retried nor rejected if the endpoint is
        down.
        """
        if not self.is_suspect(endpoint):
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
        """Sets the time of the next probe, with exponential backoff.

        The maximum interval grows with the number of hosts. Otherwise the probes of many hosts would saturate
        the endpoint before it has recovered.
        """
        multiple = (4 if endpoint.connect_failures else 1) << endpoint.probe_count
        max_multiple = max(1, self._context.settings.hosts * 2 // SMALL_FLEET_HOSTS)
        interval_us = self._context.jitter(PROBE_INTERVAL_US * min(multiple, max_multiple))
        endpoint.next_probe_us = self._context.now_us + interval_us
        endpoint.probe_count = min(endpoint.probe_count + 1, MAX_PROBE_COUNT)

    # Observations

    def apply_peer_report(self, event: PeerHealthReported) -> None:
        """Applies a health report of other hosts about an endpoint.

        The report is ignored if this host has since received a response from the endpoint or seen it restart.
        A single report halves the window. If several hosts agree, the endpoint becomes suspect and the next
        request is sent to it immediately as a probe: reports alone never eject an endpoint.
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
        """Updates the state of an endpoint from the result of an attempt.

        This covers the window, latency, silence, restarts and the usage reported by other hosts. The latency
        is divided by the relative size of the request, as a large request takes longer even without load. A
        reset indicates neither load nor silence: if each reset reduced the window, a network that resets one
        connection in twenty would make its endpoints unusable.

        Args:
            endpoint: The endpoint that the attempt was sent to.
            event: The result of the attempt.
            request: The request of the attempt.
            sent_us: The time at which the attempt was sent.
            response_expected: Whether a missing response or a rejection counts against the endpoint
                (`expects_response`).
        """
        now_us = self._context.now_us
        if event.result is AttemptResult.CONNECT_FAILED:
            self._record_connect_failure(endpoint)
            return
        latency_us = event.latency_us / request.relative_size
        overloaded = response_expected and event.result in (AttemptResult.QUEUE_FULL, AttemptResult.TIMEOUT)
        if event.result is AttemptResult.RESET:
            endpoint.restart_silence(now_us)
        if event.result in RESPONSES:
            self._record_response(endpoint)
        if event.result is AttemptResult.OK:
            overloaded = self._record_success(endpoint, event, request, latency_us)
        if event.endpoint_outstanding is not None and event.endpoint_outstanding >= 0:
            endpoint.reported_outstanding = event.endpoint_outstanding
        self.adapt_window(endpoint, sent_us, latency_us, overloaded, event.result)

    def _record_connect_failure(self, endpoint: TrackedEndpoint) -> None:
        """Records a failed connect, which makes the endpoint suspect until its next response."""
        self._slow_start.baseline_traffic[endpoint.shard].frozen = True
        if not endpoint.connect_failures:
            endpoint.unreachable_since_us = self._context.now_us
        endpoint.connect_failures += 1
        self._schedule_probe(endpoint)

    def _record_response(self, endpoint: TrackedEndpoint) -> None:
        """Records a response: the endpoint is no longer suspect.

        If connects had failed for `RESTART_AFTER_US` or longer, the endpoint counts as restarted and its slow
        start begins.
        """
        now_us = self._context.now_us
        endpoint.restart_silence(now_us)
        endpoint.last_response_us = now_us
        if endpoint.connect_failures and now_us - endpoint.unreachable_since_us >= RESTART_AFTER_US:
            self._slow_start.begin(endpoint, now_us)
        endpoint.connect_failures = endpoint.probe_count = 0

    def _record_success(
        self, endpoint: TrackedEndpoint, event: AttemptEnded, request: Request, latency_us: float
    ) -> bool:
        """Records a successful response; returns whether it was slow enough to reduce the window."""
        now_us, slow_start, settings = self._context.now_us, self._slow_start, self._context.settings
        if endpoint.slow_start_began_us is None and endpoint.state is EndpointState.ACTIVE:
            baseline = slow_start.baseline_traffic[endpoint.shard]
            baseline.was_served = True
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
        """Reduces the window of an endpoint after a sign of overload, or lets the window recover.

        Attempts that were sent before the last reduction do not reduce the window again. The window is
        halved, down to one request. In a large fleet, one request of each host can overload an endpoint, so
        the window of a crowded endpoint is reduced below one, which means a pause after each response; the
        slower the response, the larger the reduction.

        An endpoint counts as crowded if its load report shows several outstanding requests for each request
        of this host, if it rejects requests because its queue is full, or if it is silent, as its load is
        then unknown.

        Args:
            endpoint: The endpoint.
            sent_us: The time at which the attempt was sent.
            latency_us: The latency of the attempt, or the time since it was sent if it is still open, scaled
                to a request of mean size.
            overloaded: Whether the attempt indicates that the endpoint is overloaded.
            result: The result of the attempt.
        """
        now_us, tightest_us = self._context.now_us, self._context.tightest_objective_us
        rejected = result is AttemptResult.QUEUE_FULL
        silent = result is AttemptResult.TIMEOUT and endpoint.last_response_us < sent_us
        many_senders = (
            endpoint.reported_outstanding > CROWDED_LOAD_RATIO * (endpoint.open_attempts + 1)
            and latency_us > tightest_us // 2
        )
        large_fleet = self._context.settings.hosts > SMALL_FLEET_HOSTS
        crowded = overloaded and large_fleet and (many_senders or rejected or silent)
        if overloaded and sent_us >= endpoint.window_reduced_us and (crowded or endpoint.window > MIN_WINDOW):
            min_window, divisor = MIN_WINDOW, 2.0
            if crowded:
                min_window = MIN_CROWDED_WINDOW
                reduction = (
                    MAX_CROWDED_REDUCTION
                    if rejected
                    else min(MAX_CROWDED_REDUCTION, latency_us * 2 / tightest_us)
                )
                divisor = max(2.0, reduction)
            endpoint.window = max(min_window, endpoint.window / divisor)
            endpoint.window_reduced_us = now_us
        elif result is AttemptResult.OK and not crowded and endpoint.window < MIN_WINDOW:
            endpoint.window = min(MIN_WINDOW, max(endpoint.window * 2, CROWDED_RESTART_WINDOW))
        if endpoint.window < MIN_WINDOW:
            pause_us = int(tightest_us * (1 / endpoint.window - 1))
            endpoint.cooldown_until_us = now_us + self._context.jitter(pause_us)
