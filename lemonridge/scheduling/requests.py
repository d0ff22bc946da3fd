"""A request in the decisions, the queues it waits in, and the volume that it belongs to."""

from __future__ import annotations

from collections import deque

from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import RequestArrived
from lemonridge.scheduling.rate_estimators import InRateDemand
from lemonridge.scheduling.settings import RequestClass, Settings
from lemonridge.scheduling.token_bucket import TokenBucket

MAX_CREDIT_S = 1.0  # credit and debt are capped at this many seconds of reservation
PEER_USAGE_STALE_AFTER_US = (
    2_000_000  # told use older than this is stale: reservation falls back to an even slice
)


class Request:
    """A request from its arrival until its final answer and the end of its last attempt."""

    __slots__ = (
        "id",
        "relative_size",
        "shard",
        "volume",
        "deadline_us",
        "objective_at_us",
        "half_time_at_us",
        "may_wait_until_us",
        "key",
        "request_class",
        "units",
        "attempts_sent",
        "attempts_unstarted",
        "attempts_uncounted",
        "open_endpoint",
        "first_run_at_us",
        "first_run_endpoint",
        "drawn",
        "come",
        "unsure",
        "counted_slow_start_us",
        "done",
        "response_started",
        "queued",
        "is_client_retry",
        "response_expected",
    )

    def __init__(
        self, event: RequestArrived, cls: RequestClass, volume: Volume, due: int, now_us: int
    ) -> None:
        self.id, self.shard, self.volume = event.request, event.shard, volume
        self.relative_size = max(
            1.0, event.units / (volume.settings.mean_request_units or event.units or 1.0)
        )
        self.deadline_us, self.objective_at_us, self.request_class, self.units = (
            event.deadline_us,
            due,
            cls,
            event.units,
        )
        self.key = event.key if cls.sequential else None
        self.is_client_retry = event.repeat  # a client's, where clients mark them
        self.half_time_at_us = (
            now_us + (event.deadline_us - now_us) // 2
        )  # of its time: to be refused after that has a price
        self.may_wait_until_us = 0  # it may wait for a node up to then, though its aim is past
        self.attempts_sent = 0  # attempts made
        self.attempts_unstarted = self.attempts_uncounted = (
            0  # of these: no byte was sent; never left this host, which is none
        )
        self.open_endpoint: TrackedEndpoint | None = (
            None  # the node of the attempt in flight; never two at once
        )
        self.response_expected = False  # that attempt has time enough for its silence to tell of the node
        self.first_run_at_us = 0  # when the first attempt that may have run was sent
        self.first_run_endpoint: TrackedEndpoint | None = None
        self.drawn = self.come = self.unsure = self.done = self.response_started = self.queued = False
        self.counted_slow_start_us: int | None = None  # the slow start in which its last attempt is counted


class VolumeQueue:
    """The FIFO of one volume at one shard."""

    def __init__(self, volume: Volume, shard: int) -> None:
        self.volume, self.shard, self.virtual_time = volume, shard, 0.0
        # In its shard's rotation, or out of it until its limit has room.
        self.in_rotation = self.suspended = False
        self.on_time: deque[Request] = (
            deque()
        )  # what may still meet its aim, that which passes first in front
        self.late: deque[Request] = deque()  # what can no more, and may still be in time for its client


class Volume:
    """A volume's queues, its balance and its slice of a limit."""

    def __init__(self, born_us: int, flow: float, now_us: int, settings: Settings) -> None:
        self.plan_index, self.plan, self.hosts, self.settings = 0, settings.plans[0], 0, settings
        self.queues: dict[int, VolumeQueue] = {}
        self.queued_requests = 0
        self.balance, self.credited_us, self.peer_usage_at_us = 0.0, now_us, 0
        self.bucket, self.units_not_drawn = (
            TokenBucket(born_us, flow),
            0.0,
        )  # from the host's start, not the first request
        self.last_request_us, self.in_rate_demand = (
            now_us,
            InRateDemand(settings.largest_request_units, now_us),
        )

    def use_settings(self, place: int, hosts: int, settings: Settings, now_us: int) -> None:
        """Go by a plan of these settings, for so many hosts."""
        plan = settings.plans[place]
        self.bucket.resize(now_us, plan.limit, plan.burst + plan.slack, hosts, hosts != self.hosts)
        self.plan_index, self.plan, self.hosts, self.settings = place, plan, hosts, settings

    def credit(self, now_us: int, largest_request_units: float, waits: bool = True) -> None:
        """Add what the reservation earned since the last visit; told use was taken off already.

        Credit accrues only while the queue waits; idle time pays off a debt, in which a host with a
        request now and then, one of many, would else stay for ever.
        """
        plan = self.plan
        told = self.hosts == 1 or now_us - self.peer_usage_at_us <= PEER_USAGE_STALE_AFTER_US
        rate = plan.reserve if told else plan.reserve / self.hosts
        top = MAX_CREDIT_S * rate + largest_request_units if waits else max(0.0, self.balance)
        self.balance = min(top, self.balance + rate * (now_us - self.credited_us) / 1e6)
        self.credited_us = now_us

    def debit(self, units: float, largest_request_units: float) -> None:
        """Take off what was used, here or through other hosts."""
        top = MAX_CREDIT_S * self.plan.reserve + largest_request_units
        self.balance = max(-top, self.balance - units)

    def settle(self, request: Request, came: bool, now_us: int) -> None:
        """A limit counts what comes to a node: what never did is drawn anew, if it is sent again. What nobody
        can say of is on its way until its end, as its repeat may be the first to come.
        """
        request.come = request.drawn = came
        self.units_not_drawn += 0.0 if came or request.done else request.units
        self.bucket.settle(request.units, now_us, not came)
