"""A request in the decisions, the queue it waits in, and the volume that it belongs to.

All times are whole microseconds of the host's clock; units are the work units of the settings.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import AttemptEnded, AttemptResult, RequestArrived
from lemonridge.scheduling.rate_estimators import InRateDemand
from lemonridge.scheduling.settings import RequestClass, Settings
from lemonridge.scheduling.token_bucket import TokenBucket

MAX_CREDIT_S = 1.0  # credit and debt are at most this many seconds of reservation
PEER_USAGE_STALE_AFTER_US = 2_000_000  # without a newer report the reservation is split evenly by hosts

PROVEN_NOT_RUN = frozenset(
    (
        AttemptResult.QUEUE_FULL,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
        AttemptResult.DATA_MIGRATED,
    )
)  # results that prove that the endpoint did not run the attempt
MAY_STILL_RUN = frozenset((AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED))


class TokenState(Enum):
    """Where the units of a request stand against the limit of its volume.

    A limit counts a request when it reaches an endpoint (PROTOCOL). The states and their changes:

        NOT_DRAWN --attempt sent--> IN_FLIGHT --response, or not known at the end--> CONSUMED
                                    IN_FLIGHT --the attempt never reached an endpoint--> NOT_DRAWN
                                    IN_FLIGHT --ended without a response--> UNCERTAIN --as IN_FLIGHT-->
    """

    NOT_DRAWN = "not drawn"  # counted in `Volume.units_not_drawn`
    IN_FLIGHT = "in flight"  # drawn from the bucket; not known to have reached an endpoint
    UNCERTAIN = "uncertain"  # as IN_FLIGHT, and an ended attempt may have reached one
    CONSUMED = "consumed"  # reached an endpoint, or must be assumed to have


class Request:
    """A request, from its arrival until its final answer and the end of its last attempt.

    Attributes:
        relative_size: Its units by those of a mean request, at least 1.
        objective_at_us: When its latency objective ends.
        half_time_at_us: When half of its time has passed; a rejection later than this has a price
            (PROTOCOL, Figures).
        may_wait_until_us: Until when it may wait although its objective cannot be met; 0: not at all.
        key: Its ordering key, None where its class has no order.
        attempts_sent: Attempts that were sent.
        attempts_unstarted: Of these, those of which no byte was sent, failed connects included.
        attempts_uncounted: Of these, those that this host itself held back (NOT_SENT); they do not count
            against the number of attempts.
        open_endpoint: The endpoint of the open attempt; a request has one at most.
        response_expected: The open attempt has time enough that a missing response counts against its
            endpoint.
        first_run_at_us: When the first attempt that may have run was sent.
        first_run_endpoint: The endpoint of that attempt.
        counted_slow_start_us: The start of the slow start in which the last attempt is counted.
        done: It has its final answer.
        response_started: A response has started to stream, so the deadline no longer applies.
        queued: It waits in a queue of its volume.
        is_client_retry: The client has marked it as a retry.
    """

    __slots__ = (
        "attempts_sent",
        "attempts_uncounted",
        "attempts_unstarted",
        "counted_slow_start_us",
        "deadline_us",
        "done",
        "first_run_at_us",
        "first_run_endpoint",
        "half_time_at_us",
        "id",
        "is_client_retry",
        "key",
        "may_wait_until_us",
        "objective_at_us",
        "open_endpoint",
        "queued",
        "relative_size",
        "request_class",
        "response_expected",
        "response_started",
        "shard",
        "token_state",
        "units",
        "volume",
    )

    def __init__(
        self,
        event: RequestArrived,
        request_class: RequestClass,
        volume: Volume,
        objective_at_us: int,
        now_us: int,
    ) -> None:
        self.id = event.request
        self.shard = event.shard
        self.volume = volume
        self.units = event.units
        self.relative_size = max(
            1.0, event.units / (volume.settings.mean_request_units or event.units or 1.0)
        )
        self.request_class = request_class
        self.key = event.key if request_class.sequential else None
        self.is_client_retry = event.repeat
        self.deadline_us = event.deadline_us
        self.objective_at_us = objective_at_us
        self.half_time_at_us = now_us + (event.deadline_us - now_us) // 2
        self.may_wait_until_us = 0
        self.attempts_sent = 0
        self.attempts_unstarted = 0
        self.attempts_uncounted = 0
        self.open_endpoint: TrackedEndpoint | None = None
        self.response_expected = False
        self.first_run_at_us = 0
        self.first_run_endpoint: TrackedEndpoint | None = None
        self.token_state = TokenState.NOT_DRAWN
        self.done = False
        self.response_started = False
        self.queued = False
        self.counted_slow_start_us: int | None = None


class VolumeQueue:
    """The requests of one volume that wait for one shard.

    Attributes:
        virtual_time: Where the queue stands in the second pass, in units by reservation.
        in_rotation: It is in its shard's rotation.
        suspended: It is out of the rotation until its limit has capacity.
        on_time: Requests that may still meet their objective, the earliest objective first.
        late: Requests that cannot, and may still be answered before their deadline.
    """

    def __init__(self, volume: Volume, shard: int) -> None:
        self.volume = volume
        self.shard = shard
        self.virtual_time = 0.0
        self.in_rotation = False
        self.suspended = False
        self.on_time: deque[Request] = deque()
        self.late: deque[Request] = deque()


class Volume:
    """A volume's queues, the balance of its reservation and its part of its limit.

    Attributes:
        plan_index: The place of its plan in the settings.
        hosts: The hosts that serve the volume.
        queues: Its queues by shard.
        queued_requests: Requests in all of them.
        balance: Units of reservation not used yet; negative is a debt.
        credited_us: When the balance was last credited.
        peer_usage_at_us: When the last report of what other hosts served has come.
        bucket: The bucket of its limit, which fills from the host's start, not from the first request.
        units_not_drawn: Units of its requests that the bucket has yet to give.
        last_request_us: When its last request came.
    """

    def __init__(self, bucket_since_us: int, refill_sign: float, now_us: int, settings: Settings) -> None:
        self.plan_index = 0
        self.plan = settings.plans[0]
        self.hosts = 0
        self.settings = settings
        self.queues: dict[int, VolumeQueue] = {}
        self.queued_requests = 0
        self.balance = 0.0
        self.credited_us = now_us
        self.peer_usage_at_us = 0
        self.bucket = TokenBucket(bucket_since_us, refill_sign)
        self.units_not_drawn = 0.0
        self.last_request_us = now_us
        self.in_rate_demand = InRateDemand(settings.largest_request_units, now_us)

    def use_settings(self, plan_index: int, hosts: int, settings: Settings, now_us: int) -> None:
        """Applies the plan at `plan_index` of these settings, for so many hosts."""
        plan = settings.plans[plan_index]
        self.bucket.resize(now_us, plan.limit, plan.burst + plan.slack, hosts, hosts != self.hosts)
        self.plan_index = plan_index
        self.plan = plan
        self.hosts = hosts
        self.settings = settings

    # The reservation

    def credit(self, now_us: int, largest_request_units: float, waits: bool = True) -> None:
        """Adds what the reservation has earned since the last credit.

        The full reservation is earned where reports say what other hosts served, which is debited, and an
        even part by hosts otherwise. Credit accrues only while requests wait. Idle time pays off a debt:
        one of many hosts, with few requests, would otherwise stay in debt.

        Args:
            now_us: The present time.
            largest_request_units: The units of the largest request.
            waits: Requests of the volume wait.
        """
        plan = self.plan
        usage_known = self.hosts == 1 or now_us - self.peer_usage_at_us <= PEER_USAGE_STALE_AFTER_US
        rate = plan.reserve if usage_known else plan.reserve / self.hosts
        most = MAX_CREDIT_S * rate + largest_request_units if waits else max(0.0, self.balance)
        self.balance = min(most, self.balance + rate * (now_us - self.credited_us) / 1e6)
        self.credited_us = now_us

    def debit(self, units: float, largest_request_units: float) -> None:
        """Subtracts units that were used, by this host or by others."""
        most = MAX_CREDIT_S * self.plan.reserve + largest_request_units
        self.balance = max(-most, self.balance - units)

    # The limit

    def request_admitted(self, request: Request) -> None:
        """Counts the units of a request that are to be drawn."""
        self.units_not_drawn += request.units

    def attempt_sent(self, request: Request, now_us: int, host_confirms_start: bool) -> None:
        """Draws a request's units for an attempt, unless they are drawn already."""
        if request.token_state is not TokenState.NOT_DRAWN:
            return
        request.token_state = TokenState.IN_FLIGHT
        self.units_not_drawn = max(0.0, self.units_not_drawn - request.units)
        if self.plan.limit:
            self.bucket.draw(request.units, now_us)
            self.bucket.in_flight += request.units if host_confirms_start else 0.0

    def attempt_ended(self, request: Request, event: AttemptEnded, now_us: int) -> None:
        """Decides what an ended attempt means for the limit.

        An attempt that never started consumes nothing. One that ended without a response may have reached
        its endpoint: its units stay in flight until a later attempt answers or the request ends, as its
        retry may be the first to arrive.
        """
        if request.token_state in (TokenState.NOT_DRAWN, TokenState.CONSUMED):
            return
        never_started = event.result is AttemptResult.NOT_SENT or not event.begun
        if never_started:
            uncertain = request.token_state is TokenState.UNCERTAIN
        else:
            uncertain = event.result in MAY_STILL_RUN
        if uncertain and not event.finished and not request.done:
            request.token_state = TokenState.UNCERTAIN
        else:
            self._settle(request, uncertain or not never_started, now_us)

    def request_finished(self, request: Request, now_us: int) -> None:
        """Ends the accounting of a request that has its final answer; an open attempt ends it later."""
        if request.token_state is TokenState.NOT_DRAWN:
            self.units_not_drawn = max(0.0, self.units_not_drawn - request.units)
        elif request.token_state is not TokenState.CONSUMED and request.open_endpoint is None:
            self._settle(request, True, now_us)

    def _settle(self, request: Request, arrived: bool, now_us: int) -> None:
        """Takes a request's units out of flight: consumed, or returned and drawn anew at the next attempt."""
        request.token_state = TokenState.CONSUMED if arrived else TokenState.NOT_DRAWN
        if not arrived and not request.done:
            self.units_not_drawn += request.units
        self.bucket.settle(request.units, now_us, not arrived)
