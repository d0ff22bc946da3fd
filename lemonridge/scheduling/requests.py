"""A request in the decisions, the queues it waits in, and the volume that it belongs to."""

from __future__ import annotations

from collections import deque

from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import RequestArrived
from lemonridge.scheduling.rate_estimators import InRateDemand
from lemonridge.scheduling.settings import RequestClass, Settings
from lemonridge.scheduling.token_bucket import TokenBucket

CREDIT_S = 1.0  # credit and debt are capped at this many seconds of reservation
TOLD_US = 2_000_000  # told use older than this is stale: reservation falls back to an even slice


class Request:
    """A request from its arrival until its final answer and the end of its last attempt."""

    __slots__ = (
        "id",
        "size",
        "shard",
        "volume",
        "deadline",
        "due",
        "half",
        "until",
        "key",
        "cls",
        "units",
        "sent",
        "unbegun",
        "uncounted",
        "open",
        "ran_us",
        "ran_endpoint",
        "drawn",
        "come",
        "unsure",
        "slow_start_id",
        "done",
        "started",
        "queued",
        "repeat",
        "awaited",
    )

    def __init__(self, event: RequestArrived, cls: RequestClass, volume: Volume, due: int, now: int) -> None:
        self.id, self.shard, self.volume = event.request, event.shard, volume
        self.size = max(1.0, event.units / (volume.settings.mean_request_units or event.units or 1.0))
        self.deadline, self.due, self.cls, self.units = event.deadline_us, due, cls, event.units
        self.key = event.key if cls.sequential else None
        self.repeat = event.repeat  # a client's, where clients mark them
        self.half = now + (event.deadline_us - now) // 2  # of its time: to be refused after that has a price
        self.until = 0  # it may wait for a node up to then, though its aim is past
        self.sent = 0  # attempts made
        self.unbegun = self.uncounted = 0  # of these: no byte was sent; never left this host, which is none
        self.open: TrackedEndpoint | None = None  # the node of the attempt in flight; never two at once
        self.awaited = False  # that attempt has time enough for its silence to tell of the node
        self.ran_us = 0  # when the first attempt that may have run was sent
        self.ran_endpoint: TrackedEndpoint | None = None
        self.drawn = self.come = self.unsure = self.done = self.started = self.queued = False
        self.slow_start_id: int | None = None  # the slow start in which its last attempt is counted


class VolumeQueue:
    """The FIFO of one volume at one shard."""

    def __init__(self, volume: Volume, shard: int) -> None:
        self.volume, self.shard, self.tag = volume, shard, 0.0
        # In its shard's rotation, or out of it until its limit has room.
        self.in_rotation = self.suspended = False
        self.line: deque[Request] = deque()  # what may still meet its aim, that which passes first in front
        self.late: deque[Request] = deque()  # what can no more, and may still be in time for its client


class Volume:
    """A volume's queues, its balance and its slice of a limit."""

    def __init__(self, born_us: int, flow: float, now: int, settings: Settings) -> None:
        self.place, self.plan, self.hosts, self.settings = 0, settings.plans[0], 0, settings
        self.queues: dict[int, VolumeQueue] = {}
        self.waiting = 0
        self.balance, self.credited_us, self.told_us = 0.0, now, 0
        self.store, self.undrawn = (
            TokenBucket(born_us, flow),
            0.0,
        )  # from the host's start, not the first request
        self.seen_us, self.regular = now, InRateDemand(settings.largest_request_units, now)

    def go_by(self, place: int, hosts: int, settings: Settings, now: int) -> None:
        """Go by a plan of these settings, for so many hosts."""
        plan = settings.plans[place]
        self.store.size(now, plan.limit, plan.burst + plan.slack, hosts, hosts != self.hosts)
        self.place, self.plan, self.hosts, self.settings = place, plan, hosts, settings

    def credit(self, now: int, largest_request_units: float, waits: bool = True) -> None:
        """Add what the reservation earned since the last visit; told use was taken off already.

        Credit accrues only while the queue waits; idle time pays off a debt, in which a host with a
        request now and then, one of many, would else stay for ever.
        """
        plan = self.plan
        told = self.hosts == 1 or now - self.told_us <= TOLD_US
        rate = plan.reserve if told else plan.reserve / self.hosts
        top = CREDIT_S * rate + largest_request_units if waits else max(0.0, self.balance)
        self.balance = min(top, self.balance + rate * (now - self.credited_us) / 1e6)
        self.credited_us = now

    def debit(self, units: float, largest_request_units: float) -> None:
        """Take off what was used, here or through other hosts."""
        top = CREDIT_S * self.plan.reserve + largest_request_units
        self.balance = max(-top, self.balance - units)

    def arrive(self, request: Request, came: bool, now: int) -> None:
        """A limit counts what comes to a node: what never did is drawn anew, if it is sent again. What nobody
        can say of is on its way until its end, as its repeat may be the first to come.
        """
        request.come = request.drawn = came
        self.undrawn += 0.0 if came or request.done else request.units
        self.store.arrive(request.units, now, not came)
