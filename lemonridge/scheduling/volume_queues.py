"""The request queues of the volumes, and the three passes that send requests from them.

The algorithm is Gage's; docs/design.md cites it and lists each departure from it. The first pass visits the
volumes with queued requests in round-robin order, credits each according to its reservation and sends its
requests until its balance is negative. The second pass distributes the free slots that remain in the
endpoint's window by reservation, or by weight for a volume without a reservation. The third pass sends
requests that can no longer meet their latency objective.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Callable, Iterable
from operator import attrgetter

from lemonridge.scheduling.actions import RejectReason
from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.endpoint_health import DISPATCH_CYCLE_US, EndpointHealth
from lemonridge.scheduling.requests import Request, TokenState, Volume, VolumeQueue
from lemonridge.scheduling.retries import RetryRules
from lemonridge.scheduling.slow_start import SlowStart
from lemonridge.scheduling.timers import QueueResume

QUEUES_KEPT = 16  # of a volume, beside those with requests: a client chooses the shard of each request

_virtual_time = attrgetter("virtual_time")
_objective_at_us = attrgetter("objective_at_us")
_priority_weight = attrgetter("request_class.priority_weight")


def _rejection_order(request: Request) -> tuple[bool, bool, float, int, int]:
    """Returns the sort key of a queued request; the request with the largest key is rejected first."""
    volume = request.volume
    return (
        request in volume.queues[request.shard].late,
        volume.balance < 0,
        -request.request_class.priority_weight,
        volume.queued_requests,
        request.objective_at_us,
    )


class VolumeQueues:
    """The requests of all volumes that are queued for an endpoint.

    Args:
        context: The state shared by all parts of the scheduler.
        health: Selects endpoints.
        slow_start: Limits the requests sent to endpoints in slow start.
        retries: The retry rules.
        send: Called to send a request to an endpoint.
        reject: Called to reject a request.

    Attributes:
        rotation_by_shard: The queues to visit, by shard; each deque starts with the queue to visit next.
    """

    def __init__(
        self,
        context: DecisionContext,
        health: EndpointHealth,
        slow_start: SlowStart,
        retries: RetryRules,
        send: Callable[[Request, TrackedEndpoint], None],
        reject: Callable[[Request, RejectReason], None],
    ) -> None:
        self._context = context
        self._health = health
        self._slow_start = slow_start
        self._retries = retries
        self._send = send
        self._reject = reject
        self._queued_by_id: dict[str, Request] = {}
        self.rotation_by_shard: dict[int, deque[VolumeQueue]] = {}
        self._virtual_time_by_shard: dict[int, float] = {}  # virtual time of the second pass

    # Queueing

    def may_wait_until_us(self, request: Request) -> int:
        """Returns until when a request may stay queued even though it cannot meet its latency objective.

        - A request with an attempt of which no byte was sent may wait for half of its time: a later rejection
          incurs a penalty (PROTOCOL, Figures).
        - A retry that is marked by its client may not wait: under load it would displace first attempts.
        - A request that arrives after its objective, or shortly before it, may wait for one latency
          objective, or for half of its time if that is shorter.

        Returns:
            The time in microseconds, or 0 if the request may not wait beyond its objective.
        """
        now_us = self._context.now_us
        extra_wait_us = (
            min(now_us + request.request_class.latency_objective_us, request.half_time_at_us) - now_us
        )
        if request.attempts_unstarted:
            return request.half_time_at_us
        if request.is_client_retry:
            return 0
        return now_us + extra_wait_us if request.objective_at_us < now_us + extra_wait_us // 2 else 0

    def enqueue(self, request: Request) -> None:
        """Adds a request to its volume's queue for its shard.

        Queues are ordered by the time at which the objectives end, so that requests with a long objective do
        not delay requests with a short one. Within a class this is the order of arrival.
        """
        volume, shard = request.volume, request.shard
        request.may_wait_until_us = self.may_wait_until_us(request)
        queue = volume.queues.get(shard) or volume.queues.setdefault(shard, VolumeQueue(volume, shard))
        if not queue.on_time and not queue.late:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time_by_shard.get(shard, 0.0))
        if volume.queued_requests == 0:
            volume.credit(
                self._context.now_us, self._context.settings.largest_request_units, requests_queued=False
            )
        volume.queued_requests += 1
        request.queued = True
        self._queued_by_id[request.id] = request
        insort(queue.on_time, request, key=_objective_at_us)
        self.resume(queue)

    def dequeue(self, request: Request) -> None:
        """Removes a request from its queue, if it is queued."""
        if request.queued:
            queue = request.volume.queues[request.shard]
            (queue.late if request in queue.late else queue.on_time).remove(request)
            request.queued = False
            del self._queued_by_id[request.id]
            request.volume.queued_requests -= 1

    def least_urgent_request(self) -> Request | None:
        """Returns the queued request with the lowest rejection cost, or None if no request is queued.

        The criteria, in this order: a request that can no longer meet its objective; a request of a volume
        that has exceeded its reservation; the lowest priority weight; the volume with the most queued
        requests; the objective that ends last.
        """
        return max(self._queued_by_id.values(), key=_rejection_order, default=None)

    # Rotation

    def resume(self, queue: VolumeQueue) -> None:
        """Adds a queue to the rotation of its shard, unless it is there already."""
        queue.suspended = False
        if not queue.in_rotation:
            queue.in_rotation = True
            self.rotation_by_shard.setdefault(queue.shard, deque()).append(queue)
        self._context.shards_to_dispatch[queue.shard] = None

    def resume_volume(self, volume: Volume) -> None:
        """Resumes all queues of a volume that are suspended because of the volume's limit."""
        for queue in [queue for queue in volume.queues.values() if queue.suspended]:
            self.resume(queue)

    def mark_all_for_dispatch(self) -> None:
        """Marks every shard with queues in its rotation for dispatch after the current events."""
        self._context.shards_to_dispatch.update(dict.fromkeys(self.rotation_by_shard))

    def _suspend(self, queue: VolumeQueue, endpoint: TrackedEndpoint, limit_wait_us: int) -> None:
        """Suspends a queue until its volume's limit has capacity or one of its requests is late or expires.

        A suspended queue leaves the rotation. Otherwise the cost of each dispatch would grow with the number
        of queues that cannot send.
        """
        queue.suspended = True
        now_us, first = self._context.now_us, queue.on_time[0]
        first_late_at_us = first.objective_at_us - int(endpoint.latency_ewma_us * first.relative_size)
        resume_us = min(
            now_us + limit_wait_us, first_late_at_us, *(request.may_wait_until_us for request in queue.late)
        )
        self._context.set_timer(max(now_us + DISPATCH_CYCLE_US, resume_us), QueueResume(queue))

    def _prune(self, shard: int) -> deque[VolumeQueue]:
        """Removes empty and suspended queues from the rotation of a shard, and returns the rotation."""
        rotation = self.rotation_by_shard.get(shard, deque())
        if any(not (queue.on_time or queue.late) or queue.suspended for queue in rotation):
            for queue in rotation:
                queue.in_rotation = bool(queue.on_time or queue.late) and not queue.suspended
                if not (queue.in_rotation or queue.suspended) and len(queue.volume.queues) > QUEUES_KEPT:
                    del queue.volume.queues[queue.shard]
            rotation = deque(queue for queue in rotation if queue.in_rotation)
            self.rotation_by_shard[shard] = rotation
        if not rotation:
            self.rotation_by_shard.pop(shard, None)
        return rotation

    # Sending

    def dispatch(self, shard: int) -> None:
        """Sends the queued requests of a shard that can be sent now, and rejects those that have expired."""
        rotation = self.rotation_by_shard.get(shard)
        if not rotation:
            return
        for queue in list(rotation):
            self.expire(queue)
        rotation = self._prune(shard)
        endpoint = self._send_by_balance(rotation, shard)
        endpoint = self._send_by_reservation(rotation, shard, endpoint)
        self._send_late(rotation, endpoint)
        self._prune(shard)

    def _send_by_balance(self, rotation: deque[VolumeQueue], shard: int) -> TrackedEndpoint | None:
        """Runs the first pass: each queue sends while the balance of its volume is not negative.

        Returns:
            An endpoint with free slots, or None if no endpoint of the shard has any left.
        """
        now_us, largest_request_units = self._context.now_us, self._context.settings.largest_request_units
        endpoint = self._health.pick(shard)
        for _ in range(len(rotation)):
            if endpoint is None:
                break
            queue = rotation[0]
            rotation.rotate(-1)
            queue.volume.credit(now_us, largest_request_units)
            while endpoint is not None and queue.volume.balance >= 0 and self._send_next(queue, endpoint):
                endpoint = self._health.pick(shard)
        return endpoint

    def _send_by_reservation(
        self, rotation: deque[VolumeQueue], shard: int, endpoint: TrackedEndpoint | None
    ) -> TrackedEndpoint | None:
        """Runs the second pass: distributes the remaining free slots by reservation or weight.

        This is start-time fair queueing: the queue with the lowest virtual time sends a request, and its
        virtual time advances by the units sent divided by the volume's reservation. For a volume without a
        reservation, the weight is used as a rate in units per second.

        Returns:
            An endpoint with free slots, or None if no endpoint of the shard has any left.
        """
        eligible = [queue for queue in rotation if queue.on_time and not queue.suspended]
        while endpoint is not None and eligible:
            queue = min(eligible, key=_virtual_time)
            units = self._send_next(queue, endpoint)
            if units:
                plan = queue.volume.plan
                shard_virtual_time = max(self._virtual_time_by_shard.get(shard, 0.0), queue.virtual_time)
                self._virtual_time_by_shard[shard] = shard_virtual_time
                queue.virtual_time += units / (plan.reserve or plan.weight or 1.0)
                endpoint = self._health.pick(shard)
                if queue.on_time:
                    continue
            eligible.remove(queue)
        return endpoint

    def _send_late(self, rotation: Iterable[VolumeQueue], endpoint: TrackedEndpoint | None) -> None:
        """Runs the third pass: requests that can no longer meet their objective use the remaining free slots.

        An answer after the objective still earns a part of the value (BRIEF). Late requests that may not wait
        any longer are rejected with OBJECTIVE_MISSED.
        """
        for queue in list(rotation):  # a copy, as a rejection may enqueue the next request of a key
            while endpoint is not None and queue.late and not queue.suspended:
                if not self._send_next(queue, endpoint, late=True):
                    break
                endpoint = self._health.pick(queue.shard)
            now_us = self._context.now_us
            for request in [late for late in queue.late if now_us >= late.may_wait_until_us]:
                self._reject(request, RejectReason.OBJECTIVE_MISSED)

    def expire(self, queue: VolumeQueue, endpoint: TrackedEndpoint | None = None) -> None:
        """Marks requests that cannot meet their objective as late, and rejects expired requests.

        A request is expired if it cannot be answered by its deadline. The method handles every cause of a
        backlog in the same way: a surge, or an endpoint that is slow, silent, lost or in slow start. A
        request is sent no later than one dispatch cycle before its deadline, because an attempt that times
        out makes a request that may not be retried fail, even if the attempt never ran.

        Queued retries that are no longer allowed are rejected as well. In both cases the reason is
        SLOW_START if the wait for the slow-start budget of the endpoint is longer than the expected latency
        of the request, and OBJECTIVE_MISSED otherwise.

        Args:
            queue: The queue to check.
            endpoint: The endpoint that the requests would be sent to, or None if it is not known yet. Its
                latency is considered only while attempts are open there: an outdated latency could prevent
                requests from ever being sent to the endpoint again.
        """
        now_us, may_send = self._context.now_us, self._retries.may_send
        latency_us = endpoint.latency_ewma_us if endpoint and endpoint.open_attempts else 0.0
        while queue.on_time:
            request = queue.on_time[0]
            wait_us = self._slow_start.wait_us(endpoint, request) if endpoint else 0
            answer_at_us = now_us + max(int(latency_us * request.relative_size), wait_us)
            in_time = answer_at_us <= min(request.objective_at_us, request.deadline_us - DISPATCH_CYCLE_US)
            if in_time and (not request.attempts_sent or may_send(request, None)):
                break
            del queue.on_time[0]
            queue.late.append(request)
        for request in list(queue.late):
            service_us = int(latency_us * request.relative_size)
            wait_us = self._slow_start.wait_us(endpoint, request) if endpoint else 0
            expired = now_us + max(service_us, wait_us) > request.deadline_us - DISPATCH_CYCLE_US
            if expired or (request.attempts_sent and not may_send(request, None)):
                slow_start = wait_us > service_us
                self._reject(
                    request, RejectReason.SLOW_START if slow_start else RejectReason.OBJECTIVE_MISSED
                )

    def _next_request(self, queue: VolumeQueue, endpoint: TrackedEndpoint, late: bool) -> Request | None:
        """Returns the request of a queue to send next: the one with the highest priority weight.

        If the requests that can meet their objective were sent in the order of their objectives alone,
        requests with a low weight and a long objective would remain queued while others expire, and take
        their slots.

        If clients mark their retries, a late request is sent to a busy endpoint only if an earlier attempt of
        it has not started.

        Args:
            queue: The queue.
            endpoint: The endpoint to send to.
            late: Whether to select from the late requests instead of those that can meet their objective.
        """
        requests: Iterable[Request] = queue.on_time
        if late:
            any_late_request = not endpoint.open_attempts or not self._context.settings.clients_mark_retries
            requests = [request for request in queue.late if any_late_request or request.attempts_unstarted]
        return max(requests, key=_priority_weight, default=None)

    def _send_next(self, queue: VolumeQueue, endpoint: TrackedEndpoint, late: bool = False) -> float:
        """Sends the next request of a queue to an endpoint, if all rules allow it.

        The rules are the slow-start budget of the endpoint, the volume's limit, the retry rules, and the
        probe schedule of a suspect endpoint. A retry that is not allowed is rejected, so that it does not
        block the requests behind it.

        Args:
            queue: The queue.
            endpoint: The endpoint to send to.
            late: Whether to send a late request instead of one that can meet its objective.

        Returns:
            The units of the request that was sent, or 0 if no request was sent.
        """
        self.expire(queue, endpoint)
        request = self._next_request(queue, endpoint, late)
        if request is None or self._slow_start.wait_us(endpoint, request):
            return 0.0
        volume = request.volume
        if volume.plan.limit and request.token_state is TokenState.NOT_DRAWN:
            limit_wait_us = volume.bucket.wait_us(request.units, self._context.now_us)
            if limit_wait_us:
                if not late:
                    self._suspend(queue, endpoint, limit_wait_us)
                return 0.0
        if not self._retries.may_send(request, endpoint):
            if request.attempts_sent:
                self._reject(request, RejectReason.ATTEMPTS_EXHAUSTED)
            return 0.0
        if not self._health.admits(endpoint, request):
            return 0.0
        self.dequeue(request)
        self._send(request, endpoint)
        return request.units
