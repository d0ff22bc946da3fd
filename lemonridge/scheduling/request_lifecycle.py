"""The lifecycle of a request: arrival, attempts, retries, migration of its data, and the final answer."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.scheduling.actions import Cancel, RejectReason, Send
from lemonridge.scheduling.admission import Admission
from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.endpoint_health import EndpointHealth
from lemonridge.scheduling.endpoint_list import EndpointList
from lemonridge.scheduling.events import AttemptEnded, AttemptResult, DataMigrated, RequestArrived
from lemonridge.scheduling.final_answers import final_answer
from lemonridge.scheduling.key_order import KeyOrder
from lemonridge.scheduling.requests import MAX_CREDIT_S, MAY_STILL_RUN, PROVEN_NOT_RUN, Request
from lemonridge.scheduling.retries import RetryRules
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind
from lemonridge.scheduling.slow_start import SlowStart
from lemonridge.scheduling.timers import AttemptOverdue, RequestDeadline, RetryPauseEnded
from lemonridge.scheduling.volume_limits import VolumeLimits
from lemonridge.scheduling.volume_queues import VolumeQueues


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that was sent and has not ended.

    Attributes:
        request: The request that the attempt belongs to.
        endpoint: The endpoint that the attempt was sent to.
        sent_us: The time at which the attempt was sent.
        presumed_lost: Whether the request or its response is presumed lost. Such an attempt no longer counts
            against the window of its endpoint.
    """

    request: Request
    endpoint: TrackedEndpoint
    sent_us: int
    presumed_lost: bool = False


class RequestLifecycle:
    """Manages each request from its arrival to its final answer.

    Attributes:
        admission: The rules for arriving requests.
        key_order: The order of requests with the same ordering key.
        queues: The queued requests of all volumes.
        requests: The requests that have no final answer yet, by id.
        open_attempts: The attempts that have not ended, by request id and attempt number. They include
            attempts of requests that already have their final answer.
    """

    def __init__(
        self,
        context: DecisionContext,
        endpoint_list: EndpointList,
        health: EndpointHealth,
        slow_start: SlowStart,
        limits: VolumeLimits,
        retries: RetryRules,
    ) -> None:
        self._context = context
        self._endpoint_list = endpoint_list
        self._health = health
        self._slow_start = slow_start
        self._limits = limits
        self._retries = retries
        self.admission = Admission(context)
        self.key_order = KeyOrder(context)
        self.queues = VolumeQueues(context, health, slow_start, retries, self.send, self.reject)
        self.requests: dict[str, Request] = {}
        self.open_attempts: dict[tuple[str, int], OpenAttempt] = {}

    # Arrival

    def handle_arrival(self, event: RequestArrived) -> None:
        """Admits and queues an arriving request, or rejects it with LIMIT_EXCEEDED."""
        context = self._context
        now_us, request_class = context.now_us, context.settings.classes[event.cls]
        self._retries.record_request()
        volume = self._limits.volume_for_request(event)
        objective_at_us = self.admission.objective_at_us(event, request_class)
        request = Request(event, request_class, volume, objective_at_us, now_us)
        self.requests[request.id] = request
        context.set_timer(request.deadline_us, RequestDeadline(request))
        request.may_wait_until_us = self.queues.may_wait_until_us(request)
        if self.admission.exceeds_limit(request):
            self.reject(request, RejectReason.LIMIT_EXCEEDED)
            return
        volume.record_admission(request)
        if self.key_order.add(request):
            self.queues.enqueue(request)

    def shed_load(self, open_requests_max: int) -> None:
        """Rejects queued requests until at most `open_requests_max` requests are open.

        Each open request occupies a client connection. In a surge, requests that stay queued until their
        objectives pass would occupy all connections, leaving none for requests that could be served or
        rejected immediately.
        """
        while len(self.requests) > open_requests_max:
            request = self.queues.least_urgent_request()
            if request is None:
                return
            self.reject(request, RejectReason.OVERLOADED)

    # Attempts

    def send(self, request: Request, endpoint: TrackedEndpoint) -> None:
        """Sends an attempt of a request to an endpoint.

        The attempt is counted against the volume's limit and reservation, the retry budget, the endpoint's
        window and, if the endpoint is in slow start, against its slow-start budget.
        """
        context, volume = self._context, request.volume
        now_us = context.now_us
        volume.record_attempt_sent(request, now_us, context.host_confirms_start)
        self._retries.record_attempt(request)
        volume.debit(request.units, context.settings.largest_request_units)
        request.counted_slow_start_us = endpoint.count_slow_start_units(now_us, request.units)
        number = request.attempts_sent
        self.open_attempts[request.id, number] = OpenAttempt(request, endpoint, now_us)
        if endpoint.open_attempts:
            endpoint.largest_open_size = max(endpoint.largest_open_size, request.relative_size)
        else:
            endpoint.largest_open_size = request.relative_size
        context.set_timer(
            now_us + self._health.silence_limit_us(endpoint), AttemptOverdue(request.id, number)
        )
        request.attempts_sent = number + 1
        request.open_endpoint = endpoint
        endpoint.open_attempts += 1
        request.response_expected = self._health.expects_response(endpoint, request)
        if request.response_expected:
            endpoint.expect_response(now_us)
        context.actions.append(Send(request.id, endpoint.id))

    def may_begin(self, request_id: str, attempt: int) -> bool:
        """Returns whether the host may still send the first byte of an attempt.

        Opening a connection takes time. Meanwhile the request may have ended, the deduplication window of its
        idempotency key may have passed (WIRE, rule 2), or its endpoint may have restarted. After a restart
        the attempt is counted against the budget of the new slow start.
        """
        open_attempt = self.open_attempts.get((request_id, attempt))
        if open_attempt is None:
            return False
        request, endpoint = open_attempt.request, open_attempt.endpoint
        if request.done or not self._retries.repeatable(request, endpoint):
            return False
        if (
            self._slow_start.in_slow_start(endpoint)
            and endpoint.slow_start_began_us != request.counted_slow_start_us
        ):
            if self._slow_start.wait_us(endpoint, request):
                return False
            request.counted_slow_start_us = endpoint.count_slow_start_units(
                self._context.now_us, request.units
            )
        return True

    def end_attempt(self, event: AttemptEnded) -> None:
        """Records the result of an ended attempt, then finishes, retries or rejects its request."""
        attempt = self.open_attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        request, endpoint = attempt.request, attempt.endpoint
        request.open_endpoint = None
        response_expected, request.response_expected = request.response_expected, False
        if not attempt.presumed_lost:
            endpoint.open_attempts -= 1
            endpoint.expected_responses -= response_expected
        self._health.observe(endpoint, event, request, attempt.sent_us, response_expected)
        request.attempts_unstarted += not event.begun
        request.attempts_uncounted += event.result is AttemptResult.NOT_SENT and not event.begun
        request.volume.record_attempt_ended(request, event, self._context.now_us)
        if event.result not in PROVEN_NOT_RUN and request.first_run_endpoint is None:
            request.first_run_endpoint = endpoint
            request.first_run_at_us = attempt.sent_us
        if event.result in MAY_STILL_RUN and request.key is not None:
            self.key_order.quarantine(request.key)
        if event.finished:
            self.finish(request)
        elif request.done:
            self._enqueue_next_of_key(request)
        elif event.result is not AttemptResult.DATA_MIGRATED:  # after this result, `DataMigrated` follows
            self._retry_or_reject(request, event.result)
        self._endpoint_list.remove_if_idle(endpoint)
        self._context.mark_for_dispatch(endpoint.shard)

    def _retry_or_reject(self, request: Request, result: AttemptResult) -> None:
        """Schedules a retry of a request, or rejects the request.

        The request is retried if the retry rules allow it and the retry pause ends before the deadline. There
        is no retry after a timeout, as the attempt has used up the request's time. If the deduplication scope
        of the request's class is SHARD, the retry goes to the shard of the first attempt that may have run,
        as only that shard discards the duplicate (WIRE, rule 2).
        """
        context, request_class = self._context, request.request_class
        pause_us = self._retries.pause_us(request, result)
        in_time = result is not AttemptResult.TIMEOUT and context.now_us + pause_us < request.deadline_us
        if (
            request.first_run_endpoint
            and request_class.idempotency is IdempotencyKind.WITH_IDEMPOTENCY_KEY
            and request_class.deduplication_scope is DeduplicationScope.SHARD
        ):
            request.shard = request.first_run_endpoint.shard
        if in_time and self._retries.may_send(request, None):
            context.set_timer(context.now_us + pause_us, RetryPauseEnded(request))
        else:
            self.reject(request, RejectReason.ATTEMPTS_EXHAUSTED)

    def end_retry_pause(self, request: Request) -> None:
        """Queues a request for its next attempt when its retry pause ends.

        Does nothing if the request has its final answer, or if the migration of its data has already caused
        it to be queued or sent.
        """
        if not request.done and not request.queued and request.open_endpoint is None:
            self.queues.enqueue(request)

    def handle_overdue_attempt(self, request_id: str, number: int) -> None:
        """Handles an attempt without a response for longer than the silence limit of its endpoint.

        If the endpoint has sent any response since the response to this attempt was expected, the request or
        its response is presumed lost and the attempt no longer counts against the window. If lost requests
        still counted, they would fill the window until the clients' deadlines. If the attempt is only slow,
        the endpoint receives one request more than its window allows.

        If the endpoint has sent no response since then, its window is reduced as after a timeout, long before
        the client's deadline, and the attempt is checked again later.
        """
        attempt = self.open_attempts.get((request_id, number))
        if attempt is None:
            return
        context, request, endpoint = self._context, attempt.request, attempt.endpoint
        expected_us = endpoint.expected_latency_us() * request.relative_size
        if endpoint.last_response_us - attempt.sent_us > expected_us:
            attempt.presumed_lost = True
            endpoint.open_attempts -= 1
            endpoint.expected_responses -= request.response_expected
            endpoint.restart_silence(context.now_us)
            if self._useful_to_cancel(request, endpoint, expected_us):
                context.actions.append(Cancel(request_id, number))
            context.mark_for_dispatch(endpoint.shard)
        else:
            elapsed_us = (context.now_us - attempt.sent_us) / request.relative_size
            self._health.adapt_window(endpoint, attempt.sent_us, elapsed_us, True, AttemptResult.TIMEOUT)
            context.set_timer(
                context.now_us + self._health.silence_limit_us(endpoint), AttemptOverdue(request_id, number)
            )

    def _useful_to_cancel(self, request: Request, endpoint: TrackedEndpoint, expected_us: float) -> bool:
        """Returns whether to cancel an attempt that is presumed lost.

        The attempt is cancelled if a retry is allowed and can still meet the latency objective.

        Args:
            request: The request, whose attempt is still open.
            endpoint: The endpoint that the attempt was sent to.
            expected_us: The expected latency of a request of this size at the endpoint, in microseconds.
        """
        context = self._context
        return (
            context.now_us + expected_us < request.objective_at_us
            and context.settings.may_cancel
            and request.request_class.idempotency is not IdempotencyKind.NOT_IDEMPOTENT
            and not request.done
            and self._retries.another_attempt_allowed(request, endpoint)
        )

    # Migration

    def handle_migration(self, event: DataMigrated) -> None:
        """Queues a request for the shard that its data has migrated to.

        Sending it there counts as one of the request's attempts. The request is rejected with ROUTE_UNKNOWN
        if the new shard is unknown or the retry rules allow no further attempt.
        """
        request = self.requests.get(event.request)
        if request is None or request.open_endpoint is not None:
            return
        self.queues.dequeue(request)
        if event.shard is not None:
            request.shard = event.shard
        if event.shard is not None and self._retries.may_send(request, None):
            self.queues.enqueue(request)
        else:
            self.reject(request, RejectReason.ROUTE_UNKNOWN)

    # Final answer

    def reject(self, request: Request, reason: RejectReason) -> None:
        """Closes a request with a rejection or a failure; `final_answer` decides which of the two."""
        self._context.actions.append(final_answer(self._context, request, reason))
        self.finish(request)

    def finish(self, request: Request) -> None:
        """Closes a request that has its final answer or whose client has disconnected.

        An attempt of the request may still be open.
        """
        if not request.done:
            request.done = True
            self.queues.dequeue(request)
            self.requests.pop(request.id, None)
            self._context.timers.note_closed_request()
            request.volume.record_request_finished(request, self._context.now_us)
            self._record_baseline_demand(request)
        self._enqueue_next_of_key(request)

    def _record_baseline_demand(self, request: Request) -> None:
        """Adds a finished request to the baseline traffic of its shard, up to the volume's base rate.

        Demand counts only while the shard has not served any request of this host. It is recorded when the
        request finishes, so that a request does not raise its own slow-start budget at an endpoint.
        """
        now_us, volume = self._context.now_us, request.volume
        baseline = self._slow_start.baseline_traffic[request.shard]
        rate = volume.plan.base_rate
        capacity_units = volume.settings.largest_request_units + MAX_CREDIT_S * rate
        units = volume.demand_rate_cap.take_within_rate(request.units, now_us, rate, capacity_units)
        if not baseline.was_served:
            baseline.add(units, now_us)

    def _enqueue_next_of_key(self, request: Request) -> None:
        """Queues the next request with the same ordering key, if it may be sent now."""
        next_request = self.key_order.next_ready(request)
        if next_request is not None:
            self.queues.enqueue(next_request)
