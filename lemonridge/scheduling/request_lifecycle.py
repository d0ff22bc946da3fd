"""The life of a request: arrival, attempts, retries, migration of its data, and its final answer."""

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
    """An attempt that was sent and has not ended; `written_off` ones no longer count against the window."""

    request: Request
    endpoint: TrackedEndpoint
    sent_us: int
    written_off: bool = False


class RequestLifecycle:
    """Takes each request from its arrival to its final answer.

    Attributes:
        requests: The requests without a final answer, by id.
        open_attempts: The attempts that have not ended, by request id and number, also of requests that
            have their final answer.
        queues: The requests that wait.
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

    def arrive(self, event: RequestArrived) -> None:
        """Admits a request and queues it, or rejects it with LIMIT_EXCEEDED."""
        context = self._context
        now_us, request_class = context.now_us, context.settings.classes[event.cls]
        self._retries.record_request()
        volume = self._limits.volume_of(event)
        objective_at_us = self.admission.objective_at_us(event, request_class)
        request = Request(event, request_class, volume, objective_at_us, now_us)
        self.requests[request.id] = request
        context.set_timer(request.deadline_us, RequestDeadline(request))
        request.may_wait_until_us = self.queues.may_wait_until_us(request)
        if self.admission.exceeds_limit(request):
            self.reject(request, RejectReason.LIMIT_EXCEEDED)
            return
        volume.request_admitted(request)
        if self.key_order.add(request):
            self.queues.enqueue(request)

    def shed_load(self, open_requests_max: int) -> None:
        """Rejects waiting requests while more than so many are open.

        Each open request holds its client's connection. A surge that waits for its objectives would hold them
        all, and requests that could be served, or rejected at once, would find none.
        """
        while len(self.requests) > open_requests_max:
            request = self.queues.least_urgent()
            if request is None:
                return
            self.reject(request, RejectReason.OVERLOADED)

    # Attempts

    def send(self, request: Request, endpoint: TrackedEndpoint) -> None:
        """Sends an attempt, and counts it against limit, reservation, retry budget, window and slow start."""
        context, volume = self._context, request.volume
        now_us = context.now_us
        volume.attempt_sent(request, now_us, context.host_confirms_start)
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
        """Whether an attempt may still write its first byte.

        A connection takes time to open; since the attempt was sent its request may have ended, its
        idempotency key's window may have passed (WIRE, rule 2), and its endpoint may have started anew, in
        which case the attempt is counted in that slow start.
        """
        attempt_state = self.open_attempts.get((request_id, attempt))
        if attempt_state is None:
            return False
        request, endpoint = attempt_state.request, attempt_state.endpoint
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
        """Learns from an ended attempt, then finishes its request, retries it or rejects it."""
        attempt = self.open_attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        request, endpoint = attempt.request, attempt.endpoint
        request.open_endpoint = None
        response_expected, request.response_expected = request.response_expected, False
        if not attempt.written_off:
            endpoint.open_attempts -= 1
            endpoint.expected_responses -= response_expected
        self._health.observe(endpoint, event, request, attempt.sent_us, response_expected)
        request.attempts_unstarted += not event.begun
        request.attempts_uncounted += event.result is AttemptResult.NOT_SENT and not event.begun
        request.volume.attempt_ended(request, event, self._context.now_us)
        if event.result not in PROVEN_NOT_RUN and request.first_run_endpoint is None:
            request.first_run_endpoint = endpoint
            request.first_run_at_us = attempt.sent_us
        if event.result in MAY_STILL_RUN and request.key is not None:
            self.key_order.quarantine(request.key)
        if event.finished:
            self.finish(request)
        elif request.done:
            self._start_next_of_key(request)
        elif event.result is not AttemptResult.DATA_MIGRATED:  # that one waits for `DataMigrated`
            self._retry_or_reject(request, event.result)
        self._endpoint_list.remove_if_idle(endpoint)
        self._context.mark_for_dispatch(endpoint.shard)

    def _retry_or_reject(self, request: Request, result: AttemptResult) -> None:
        """Retries a request after a pause, where that is allowed and may be in time; rejects it otherwise.

        An attempt that timed out has used up the request's time. A request with an idempotency key that is
        known to one shard only is retried there, as only there a repeat is discarded (WIRE, rule 2).
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
        """Queues a request for its next attempt, unless it is over, or was queued as its data migrated."""
        if not request.done and not request.queued and request.open_endpoint is None:
            self.queues.enqueue(request)

    def attempt_overdue(self, request_id: str, number: int) -> None:
        """Decides about an attempt that has had no response for longer than is usual at its endpoint.

        Where requests that were sent later are answered, the request or its response is lost: the attempt
        leaves the window, which lost requests would fill until the clients' deadlines. If it is only slow,
        the endpoint is sent one request more than its window. Where nothing is answered, the window is cut
        as for a timeout, long before the client's deadline, and the attempt is examined again later.
        """
        attempt = self.open_attempts.get((request_id, number))
        if attempt is None:
            return
        context, request, endpoint = self._context, attempt.request, attempt.endpoint
        expected_us = endpoint.expected_latency_us() * request.relative_size
        if endpoint.last_response_us - attempt.sent_us > expected_us:
            attempt.written_off = True
            endpoint.open_attempts -= 1
            endpoint.expected_responses -= request.response_expected
            endpoint.restart_silence(context.now_us)
            if self._useful_to_cancel(request, endpoint, expected_us):
                context.actions.append(Cancel(request_id, number))
            context.mark_for_dispatch(endpoint.shard)
        else:
            late_us = (context.now_us - attempt.sent_us) / request.relative_size
            self._health.adapt_window(endpoint, attempt.sent_us, late_us, True, AttemptResult.TIMEOUT)
            context.set_timer(
                context.now_us + self._health.silence_limit_us(endpoint), AttemptOverdue(request_id, number)
            )

    def _useful_to_cancel(self, request: Request, endpoint: TrackedEndpoint, expected_us: float) -> bool:
        """Whether to cancel a request's lost attempt: a retry is allowed and can meet the objective.

        Args:
            request: The request, whose attempt is still open.
            endpoint: Where the attempt was sent.
            expected_us: How long an attempt of this size usually takes there.
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

    def migrate(self, event: DataMigrated) -> None:
        """Sends a request on to the shard that holds its data, as one of its attempts.

        It is rejected with ROUTE_UNKNOWN where that shard is not known or no attempt is left.
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

    # The end

    def reject(self, request: Request, reason: RejectReason) -> None:
        """Gives a request its final answer without a response: `final_answer` has the rule."""
        self._context.actions.append(final_answer(self._context, request, reason))
        self.finish(request)

    def finish(self, request: Request) -> None:
        """Closes a request with a final answer or without a client; an attempt may still be open."""
        if not request.done:
            request.done = True
            self.queues.dequeue(request)
            self.requests.pop(request.id, None)
            request.volume.request_finished(request, self._context.now_us)
            self._record_baseline_demand(request)
        self._start_next_of_key(request)

    def _record_baseline_demand(self, request: Request) -> None:
        """Counts a finished request in its shard's baseline traffic, up to its volume's base rate.

        Demand counts only where the shard has served this host nothing yet. It counts at the end of a
        request, so that none makes room for itself at an endpoint in slow start.
        """
        now_us, volume = self._context.now_us, request.volume
        baseline = self._slow_start.baseline_traffic[request.shard]
        rate = volume.plan.base_rate
        saved_units = volume.settings.largest_request_units + MAX_CREDIT_S * rate
        units = volume.in_rate_demand.take_within(request.units, now_us, rate, saved_units)
        if not baseline.has_served:
            baseline.add(units, now_us)

    def _start_next_of_key(self, request: Request) -> None:
        """Queues the next request with the same ordering key, if its turn has come."""
        following = self.key_order.next_ready(request)
        if following is not None:
            self.queues.enqueue(following)
