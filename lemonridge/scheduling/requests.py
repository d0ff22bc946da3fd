"""The scheduler's state of a request, of the queue that holds it, and of the volume that it belongs to.

All times are integer microseconds of the host's clock; units are the work units of the settings.
"""

from __future__ import annotations

from enum import Enum

from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import AttemptEnded, AttemptResult, RequestArrived
from lemonridge.scheduling.rate_estimators import DemandRateCap
from lemonridge.scheduling.settings import RequestClass, Settings
from lemonridge.scheduling.token_bucket import TokenBucket

MAX_CREDIT_S = 1.0  # maximum credit and maximum debt, in seconds of reservation
PEER_USAGE_STALE_AFTER_US = 2_000_000  # without a newer report the reservation is split equally among hosts

PROVEN_NOT_RUN = frozenset(
    (
        AttemptResult.QUEUE_FULL,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
        AttemptResult.DATA_MIGRATED,
    )
)  # results which prove that the endpoint did not run the attempt
# Results after which the endpoint may still be running the attempt, or may run it later.
MAY_STILL_RUN = frozenset((AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED))


class TokenState(Enum):
    """The state of a request's units with respect to the limit of its volume.

    A limit counts a request when the request reaches an endpoint (PROTOCOL). The state transitions:

        NOT_DRAWN --attempt sent--> IN_FLIGHT
        IN_FLIGHT --response, or request ended while its arrival is uncertain--> CONSUMED
        IN_FLIGHT --attempt never reached an endpoint--> NOT_DRAWN
        IN_FLIGHT --attempt ended without a response--> UNCERTAIN
        UNCERTAIN --as from IN_FLIGHT-->
    """

    NOT_DRAWN = "not drawn"  # counted in `Volume.units_not_drawn`
    IN_FLIGHT = "in flight"  # drawn from the bucket; not known to have reached an endpoint
    UNCERTAIN = "uncertain"  # like IN_FLIGHT, but an ended attempt may have reached an endpoint
    CONSUMED = "consumed"  # reached an endpoint, or has to be treated as if it had


class Request:
    """A request, from its arrival until it has its final answer and its last attempt has ended.

    Attributes:
        id: The id of the request.
        shard: The shard that the request is sent to; `ANY_SHARD` for a new object.
        volume: The volume that the request belongs to.
        units: The expected cost of the request.
        relative_size: The units of the request divided by those of a mean request, at least 1.
        request_class: The class of the request.
        key: The ordering key, or None if requests of the class may run in any order.
        is_client_retry: Whether the client has marked the request as a retry.
        deadline_us: The time at which the client gives up.
        objective_at_us: The estimated time at which the latency objective ends.
        half_time_at_us: The time halfway between arrival and deadline. A later rejection incurs a penalty
            (PROTOCOL, Figures).
        may_wait_until_us: Until when the request may stay queued although it cannot meet its objective; 0 if
            it may not.
        attempts_sent: The number of attempts sent.
        attempts_unstarted: The number of attempts of which no byte was sent, including failed connects.
        attempts_uncounted: The number of attempts that this host did not start (NOT_SENT). They do not count
            towards the maximum number of attempts.
        open_endpoint: The endpoint of the open attempt, or None. A request has at most one open attempt.
        response_expected: Whether the open attempt has enough time left that a missing response counts
            against its endpoint.
        first_run_at_us: The time at which the first attempt that may have run was sent.
        first_run_endpoint: The endpoint of that attempt, or None if no attempt may have run.
        token_state: The state of the request's units with respect to the limit of its volume.
        done: Whether the request is closed: it has its final answer, or its client has disconnected.
        response_started: Whether a response has started to stream, so that the deadline no longer applies.
        queued: Whether the request is in a queue of its volume.
        counted_slow_start_us: The start time of the slow start that the last attempt is counted in, or None.
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
    """The queued requests of one volume for one shard.

    Attributes:
        volume: The volume.
        shard: The shard.
        virtual_time: The virtual time of the queue in the second dispatch pass, in units divided by
            reservation.
        in_rotation: Whether the queue is in the rotation of its shard.
        suspended: Whether the queue is out of the rotation until the limit of its volume has capacity.
        on_time: Requests that may still meet their objective, ordered by the end of their objectives.
        late: Requests that can no longer meet their objective but may still be answered before their
            deadline.
    """

    __slots__ = ("in_rotation", "late", "on_time", "shard", "suspended", "virtual_time", "volume")

    def __init__(self, volume: Volume, shard: int) -> None:
        self.volume = volume
        self.shard = shard
        self.virtual_time = 0.0
        self.in_rotation = False
        self.suspended = False
        # Lists, which need far less memory than deques while they are empty, as in most volumes.
        self.on_time: list[Request] = []
        self.late: list[Request] = []


class Volume:
    """The queues of a volume, its reservation balance and this host's share of its limit.

    Attributes:
        plan_index: The index of the volume's plan in the settings.
        plan: The plan of the volume.
        hosts: The number of hosts that serve the volume.
        settings: The settings that the plan is taken from.
        queues: The queues of the volume, by shard.
        queued_requests: The number of requests in all queues.
        balance: The unused units of the reservation; a negative balance is a debt.
        credited_us: The time at which the balance was last credited.
        peer_usage_at_us: The time of the last report of the units that other hosts served.
        bucket: The token bucket of the limit. It is refilled from the start of the host, not from the first
            request.
        units_not_drawn: The units of admitted requests that have not been drawn from the bucket yet.
        last_request_us: The arrival time of the last request.
        demand_rate_cap: The cap on the demand that counts as baseline traffic.
    """

    __slots__ = (
        "balance",
        "bucket",
        "credited_us",
        "demand_rate_cap",
        "hosts",
        "last_request_us",
        "peer_usage_at_us",
        "plan",
        "plan_index",
        "queued_requests",
        "queues",
        "settings",
        "units_not_drawn",
    )

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
        self.demand_rate_cap = DemandRateCap(settings.largest_request_units, now_us)

    def use_settings(self, plan_index: int, hosts: int, settings: Settings, now_us: int) -> None:
        """Applies a plan of the settings to the volume.

        Args:
            plan_index: The index of the plan in the settings.
            hosts: The number of hosts that serve the volume.
            settings: The settings.
            now_us: The current time.
        """
        plan = settings.plans[plan_index]
        self.bucket.resize(now_us, plan.limit, plan.burst + plan.slack, hosts, hosts != self.hosts)
        self.plan_index = plan_index
        self.plan = plan
        self.hosts = hosts
        self.settings = settings

    # Reservation

    def credit(self, now_us: int, largest_request_units: float, requests_queued: bool = True) -> None:
        """Adds the units that the reservation has earned since the last credit to the balance.

        If reports state what other hosts served, the full reservation is credited and the units served by
        other hosts are debited. Otherwise an equal share per host is credited. Credit accrues only while
        requests are queued. Idle time only pays off a debt: otherwise one of many hosts with few requests
        would stay in debt.

        Args:
            now_us: The current time.
            largest_request_units: The units of the largest request.
            requests_queued: Whether requests of the volume are queued.
        """
        plan = self.plan
        usage_known = self.hosts == 1 or now_us - self.peer_usage_at_us <= PEER_USAGE_STALE_AFTER_US
        rate = plan.reserve if usage_known else plan.reserve / self.hosts
        max_balance = (
            MAX_CREDIT_S * rate + largest_request_units if requests_queued else max(0.0, self.balance)
        )
        self.balance = min(max_balance, self.balance + rate * (now_us - self.credited_us) / 1e6)
        self.credited_us = now_us

    def debit(self, units: float, largest_request_units: float) -> None:
        """Subtracts units that were used by this host or by other hosts from the balance."""
        max_debt = MAX_CREDIT_S * self.plan.reserve + largest_request_units
        self.balance = max(-max_debt, self.balance - units)

    # Limit

    def record_admission(self, request: Request) -> None:
        """Records an admitted request, whose units will be drawn from the bucket."""
        self.units_not_drawn += request.units

    def record_attempt_sent(self, request: Request, now_us: int, host_confirms_start: bool) -> None:
        """Draws the units of a request from the bucket for an attempt, unless they are drawn already."""
        if request.token_state is not TokenState.NOT_DRAWN:
            return
        request.token_state = TokenState.IN_FLIGHT
        self.units_not_drawn = max(0.0, self.units_not_drawn - request.units)
        if self.plan.limit:
            self.bucket.draw(request.units, now_us)
            self.bucket.in_flight += request.units if host_confirms_start else 0.0

    def record_attempt_ended(self, request: Request, event: AttemptEnded, now_us: int) -> None:
        """Updates the limit accounting after the end of an attempt.

        An attempt that never started consumes nothing. An attempt that ended without a response may or may
        not have reached its endpoint: its units stay in flight until a later attempt receives a response or
        the request ends, because a retry may be the first attempt to reach an endpoint.
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

    def record_request_finished(self, request: Request, now_us: int) -> None:
        """Ends the limit accounting of a closed request; if an attempt is open, its end does so later."""
        if request.token_state is TokenState.NOT_DRAWN:
            self.units_not_drawn = max(0.0, self.units_not_drawn - request.units)
        elif request.token_state is not TokenState.CONSUMED and request.open_endpoint is None:
            self._settle(request, True, now_us)

    def _settle(self, request: Request, arrived: bool, now_us: int) -> None:
        """Removes the units of a request from the units in flight.

        Args:
            request: The request.
            arrived: Whether the units count as consumed. Otherwise they are returned to the bucket and drawn
                again for the next attempt.
            now_us: The current time.
        """
        request.token_state = TokenState.CONSUMED if arrived else TokenState.NOT_DRAWN
        if not arrived and not request.done:
            self.units_not_drawn += request.units
        self.bucket.settle(request.units, now_us, not arrived)
