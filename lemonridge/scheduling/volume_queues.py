"""The queues of the volumes, and the three passes that send from them.

The mechanism is Gage's (docs/design.md cites it and lists each departure): a cycle visits the waiting volumes
in rotation, credits each by its reservation and sends until its balance is negative; a second pass shares
out the rest of the endpoint's window by reservation, or by weight for a volume without one. A third pass
sends what can no longer meet its objective.
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

_virtual_time = attrgetter("virtual_time")
_objective_at_us = attrgetter("objective_at_us")
_priority_weight = attrgetter("request_class.priority_weight")


def _rejection_order(request: Request) -> tuple[bool, bool, float, int, int]:
    """Sorts waiting requests: the first to reject last."""
    volume = request.volume
    return (
        request in volume.queues[request.shard].late,
        volume.balance < 0,
        -request.request_class.priority_weight,
        volume.queued_requests,
        request.objective_at_us,
    )


class VolumeQueues:
    """The requests that wait for an endpoint.

    Args:
        context: The shared state.
        health: Picks endpoints.
        slow_start: Paces endpoints in slow start.
        retries: The rules of retries.
        send: Carries out the decision to send a request to an endpoint.
        reject: Carries out the decision to reject a request.

    Attributes:
        rotation_by_shard: The queues that are visited in each shard, the next one first.
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
        self._waiting: dict[str, Request] = {}
        self.rotation_by_shard: dict[int, deque[VolumeQueue]] = {}
        self._virtual_time_by_shard: dict[int, float] = {}  # of the second pass

    # Queueing

    def may_wait_until_us(self, request: Request) -> int:
        """Until when a request may wait for an endpoint though it cannot meet its objective; 0: not at all.

        One of which no byte was sent may wait for half of its time: a rejection after that has a price
        (PROTOCOL, Figures). One that arrives when its objective has passed, or is about to, may wait for as
        long as an objective, or half of its time if that is shorter. A retry that its client has marked may
        not: under load it would take the place of first attempts.
        """
        now_us = self._context.now_us
        patience_us = (
            min(now_us + request.request_class.latency_objective_us, request.half_time_at_us) - now_us
        )
        if request.attempts_unstarted:
            return request.half_time_at_us
        if request.is_client_retry:
            return 0
        return now_us + patience_us if request.objective_at_us < now_us + patience_us // 2 else 0

    def enqueue(self, request: Request) -> None:
        """Puts a request into its volume's queue for its shard.

        The earliest objective goes first, so a class with a long objective does not make one with a short
        objective late; within a class this is the order of arrival.
        """
        volume, shard = request.volume, request.shard
        request.may_wait_until_us = self.may_wait_until_us(request)
        queue = volume.queues.get(shard) or volume.queues.setdefault(shard, VolumeQueue(volume, shard))
        if not queue.on_time and not queue.late:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time_by_shard.get(shard, 0.0))
        if volume.queued_requests == 0:
            volume.credit(self._context.now_us, self._context.settings.largest_request_units, waits=False)
        volume.queued_requests += 1
        request.queued = True
        self._waiting[request.id] = request
        insort(queue.on_time, request, key=_objective_at_us)
        self.resume(queue)

    def dequeue(self, request: Request) -> None:
        """Takes a request out of its queue, if it is in one."""
        if request.queued:
            queue = request.volume.queues[request.shard]
            (queue.late if request in queue.late else queue.on_time).remove(request)
            request.queued = False
            del self._waiting[request.id]
            request.volume.queued_requests -= 1

    def least_urgent(self) -> Request | None:
        """The waiting request whose rejection costs least; None where none waits.

        One that is late goes before one that can meet its objective, one of a volume that has used its
        reservation up before one inside it, one of low priority weight, of a volume with many waiting
        requests, and the one whose objective ends last.
        """
        return max(self._waiting.values(), key=_rejection_order, default=None)

    # The rotation

    def resume(self, queue: VolumeQueue) -> None:
        """Puts a queue into its shard's rotation."""
        queue.suspended = False
        if not queue.in_rotation:
            queue.in_rotation = True
            self.rotation_by_shard.setdefault(queue.shard, deque()).append(queue)
        self._context.shards_to_dispatch[queue.shard] = None

    def resume_volume(self, volume: Volume) -> None:
        """Puts those of a volume's queues into the rotation that wait for its limit."""
        for queue in [queue for queue in volume.queues.values() if queue.suspended]:
            self.resume(queue)

    def mark_all_for_dispatch(self) -> None:
        """Dispatches every shard for which something waits, after the events of this moment."""
        self._context.shards_to_dispatch.update(dict.fromkeys(self.rotation_by_shard))

    def _suspend(self, queue: VolumeQueue, endpoint: TrackedEndpoint, limit_wait_us: int) -> None:
        """Takes a queue out of the rotation until its limit has capacity, or a request of it expires.

        Visits to queues that cannot send would make a decision cost more the more there are.
        """
        queue.suspended = True
        now_us, first = self._context.now_us, queue.on_time[0]
        first_is_late_us = first.objective_at_us - int(endpoint.latency_ewma_us * first.relative_size)
        resume_us = min(
            now_us + limit_wait_us, first_is_late_us, *(request.may_wait_until_us for request in queue.late)
        )
        self._context.set_timer(max(now_us + DISPATCH_CYCLE_US, resume_us), QueueResume(queue))

    def _prune(self, shard: int) -> deque[VolumeQueue]:
        """Takes empty and suspended queues out of a shard's rotation, which it returns."""
        rotation = self.rotation_by_shard.get(shard, deque())
        if any(not (queue.on_time or queue.late) or queue.suspended for queue in rotation):
            for queue in rotation:
                queue.in_rotation = bool(queue.on_time or queue.late) and not queue.suspended
            rotation = deque(queue for queue in rotation if queue.in_rotation)
            self.rotation_by_shard[shard] = rotation
        if not rotation:
            self.rotation_by_shard.pop(shard, None)
        return rotation

    # Sending

    def dispatch(self, shard: int) -> None:
        """Sends what can be sent to a shard now, in three passes, and rejects what waits in vain."""
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
        """The first pass: each queue sends while its volume's balance is not negative.

        Returns:
            The endpoint that has free slots left, or None.
        """
        now_us, largest_request_units = self._context.now_us, self._context.settings.largest_request_units
        endpoint = self._health.pick(shard)
        for _ in range(len(rotation)):
            if endpoint is None:
                break
            queue = rotation[0]
            rotation.rotate(-1)
            queue.volume.credit(now_us, largest_request_units)
            while endpoint is not None and queue.volume.balance >= 0 and self._send_first(queue, endpoint):
                endpoint = self._health.pick(shard)
        return endpoint

    def _send_by_reservation(
        self, rotation: deque[VolumeQueue], shard: int, endpoint: TrackedEndpoint | None
    ) -> TrackedEndpoint | None:
        """The second pass: shares out the free slots that are left by reservation, or weight without one.

        Start-time fair queueing: the queue with the least virtual time sends, which advances that by the
        units sent, divided by its reservation; a volume without one counts by its weight as units a second.

        Returns:
            The endpoint that has free slots left, or None.
        """
        waiting = [queue for queue in rotation if queue.on_time and not queue.suspended]
        while endpoint is not None and waiting:
            queue = min(waiting, key=_virtual_time)
            units = self._send_first(queue, endpoint)
            if units:
                plan = queue.volume.plan
                shard_time = max(self._virtual_time_by_shard.get(shard, 0.0), queue.virtual_time)
                self._virtual_time_by_shard[shard] = shard_time
                queue.virtual_time += units / (plan.reserve or plan.weight or 1.0)
                endpoint = self._health.pick(shard)
                if queue.on_time:
                    continue
            waiting.remove(queue)
        return endpoint

    def _send_late(self, rotation: Iterable[VolumeQueue], endpoint: TrackedEndpoint | None) -> None:
        """The third pass: what can no longer meet its objective takes the slots that are left.

        An answer after the objective still earns a part (BRIEF). What may not wait longer is rejected with
        OBJECTIVE_MISSED.
        """
        for queue in list(rotation):  # a copy, as a rejection may queue the next request of a key
            while endpoint is not None and queue.late and not queue.suspended:
                if not self._send_first(queue, endpoint, late=True):
                    break
                endpoint = self._health.pick(queue.shard)
            now_us = self._context.now_us
            for request in [late for late in queue.late if now_us >= late.may_wait_until_us]:
                self._reject(request, RejectReason.OBJECTIVE_MISSED)

    def expire(self, queue: VolumeQueue, endpoint: TrackedEndpoint | None = None) -> None:
        """Sets aside what cannot meet its objective, and rejects what cannot be answered by its deadline.

        This serves every cause of a backlog alike: a surge, or an endpoint that is slow, silent, lost or in
        slow start. A request is sent one dispatch cycle before its deadline at the latest: an attempt that
        times out fails what may not be retried, though it never ran.

        A queued retry that is no longer allowed is rejected here too. The reason is SLOW_START where the wait
        for the endpoint's slow start is longer than its latency, and OBJECTIVE_MISSED otherwise.

        Args:
            queue: The queue.
            endpoint: Where its requests would be sent, or None while that is not known. Its latency counts
                only while attempts are open there: an old one could keep it from ever being sent to again.
        """
        now_us, may_send = self._context.now_us, self._retries.may_send
        latency_us = endpoint.latency_ewma_us if endpoint and endpoint.open_attempts else 0.0
        while queue.on_time:
            request = queue.on_time[0]
            wait_us = self._slow_start.wait_us(endpoint, request) if endpoint else 0
            answered_us = now_us + max(int(latency_us * request.relative_size), wait_us)
            in_time = answered_us <= min(request.objective_at_us, request.deadline_us - DISPATCH_CYCLE_US)
            if in_time and (not request.attempts_sent or may_send(request, None)):
                break
            queue.on_time.popleft()
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

    def _first(self, queue: VolumeQueue, endpoint: TrackedEndpoint, late: bool) -> Request | None:
        """The request of a queue that is sent next: the one with the highest priority weight.

        Of requests that can be in time: with a longer objective, those of low weight would outlast the
        others in the queue and take their slots. Where clients mark their retries, late requests are sent to
        an endpoint only if it is idle, unless they are late because no attempt has started.
        """
        requests: Iterable[Request] = queue.on_time
        if late:
            any_late = not endpoint.open_attempts or not self._context.settings.clients_mark_retries
            requests = [request for request in queue.late if any_late or request.attempts_unstarted]
        return max(requests, key=_priority_weight, default=None)

    def _send_first(self, queue: VolumeQueue, endpoint: TrackedEndpoint, late: bool = False) -> float:
        """Sends one of a queue's requests to an endpoint, unless a rule holds it back.

        The rules: slow start, the volume's limit, retries (a retry that is not allowed is rejected, so that
        it does not hold up the others), and the probes of a suspect endpoint.

        Args:
            queue: The queue.
            endpoint: Where to.
            late: Sends one of those that cannot meet their objective.

        Returns:
            The units sent; 0 where nothing was.
        """
        self.expire(queue, endpoint)
        request = self._first(queue, endpoint, late)
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
