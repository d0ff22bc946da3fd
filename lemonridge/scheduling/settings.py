"""The settings of the scheduler, as the host passes them.

All times are integer microseconds of the host's clock. `lemonridge.config.scheduler_settings` maps the keys
of the operators' pages to these names.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class IdempotencyKind(Enum):
    """Which retries a class allows after an attempt that may have run.

    Attributes:
        IDEMPOTENT: Any retry.
        WITH_IDEMPOTENCY_KEY: A retry that endpoints recognize as a duplicate by its key and discard.
        NOT_IDEMPOTENT: No retry.
    """

    IDEMPOTENT = "idempotent"
    WITH_IDEMPOTENCY_KEY = "with idempotency key"
    NOT_IDEMPOTENT = "not idempotent"


class DeduplicationScope(Enum):
    """Which endpoints discard a duplicate of a request with an idempotency key.

    Attributes:
        ALL: All endpoints.
        ZONE: The endpoints in the zone of the first attempt.
        SHARD: The endpoints of the shard of the first attempt.
    """

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        latency_objective_us: The latency within which an answer earns its full value.
        deadline_us: The longest time that clients of the class wait for an answer.
        idempotency: Which retries are allowed after an attempt that may have run.
        deduplication_scope: Which endpoints discard a duplicate; used for WITH_IDEMPOTENCY_KEY only.
        deduplication_window_us: How long after the first attempt they discard a duplicate; used for
            WITH_IDEMPOTENCY_KEY only.
        sequential: Whether requests with the same ordering key run one at a time.
        priority_weight: The value of one unit.
    """

    latency_objective_us: int
    deadline_us: int
    idempotency: IdempotencyKind
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int
    sequential: bool
    priority_weight: float


@dataclass(frozen=True, slots=True)
class VolumePlan:
    """A plan. Its values apply to each volume of the plan, in total over all hosts and endpoints.

    Attributes:
        base_rate: The rate of a volume's normal demand, in units per second.
        reserve: The reserved rate, in units per second; 0 if nothing is reserved.
        weight: The volume's share of the unreserved capacity, relative to other volumes, if nothing is
            reserved.
        limit: The maximum rate, in units per second; 0 if there is no limit.
        burst: The units that may be used at once in addition to that rate.
        slack: The units by which the limit may be exceeded.
    """

    base_rate: float
    reserve: float
    weight: float
    limit: float
    burst: float
    slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a host. Values that belong to a disabled rule are 0.

    Attributes:
        hosts: The number of hosts.
        classes: The request classes, by index.
        plans: The volume plans, by index.
        polls_endpoint_list: Whether the endpoint list is polled. Otherwise its changes are pushed.
        largest_request_units: The units of the largest request.
        mean_request_units: The units of a mean request.
        slow_start_units: The units that all hosts together may send to an endpoint per overload window at the
            beginning of its slow start.
        overload_multiple: The multiple of its current capacity at which an endpoint in slow start fails.
        reports_peer_usage: Whether responses report the units that other hosts served for the volume.
        usage_meter_period_us: The period at which endpoints measure that usage.
        max_attempts: The maximum number of attempts of one request.
        may_cancel: Whether the host can cancel an attempt.
        max_backoff_us: The maximum Retry-After; 0 if none is given.
        tick_us: The maximum delay of the host's timers and first bytes.
        poll_within_us: The time after which a change to the endpoint list counts as known; 0 if not
            specified.
        slow_start_initial_fraction: The capacity of an endpoint that has just started, as a fraction of its
            full capacity.
        slow_start_ramp_us: The time that an endpoint takes to reach its full capacity.
        overload_window_us: The window over which the load of an endpoint in slow start is measured.
        drain_grace_us: How long a draining endpoint still responds.
        retry_budget_window_us: The window of the host's retry budget.
        retry_budget_floor: The number of retries allowed per window regardless of requests.
        retry_budget_ratio: The number of additional retries allowed per request in the window.
        key_quarantine_us: How long the next request of an ordering key is delayed after an attempt that may
            still be running.
        retry_rate: The maximum number of retries per second of all hosts; 0 if there is no common limit.
        clients_mark_retries: Whether clients mark their retries.
    """

    hosts: int
    classes: tuple[RequestClass, ...]
    plans: tuple[VolumePlan, ...]
    polls_endpoint_list: bool
    largest_request_units: float
    mean_request_units: float
    slow_start_units: float
    overload_multiple: float
    reports_peer_usage: bool
    usage_meter_period_us: int
    max_attempts: int
    may_cancel: bool
    max_backoff_us: int
    tick_us: int
    poll_within_us: int
    slow_start_initial_fraction: float
    slow_start_ramp_us: int
    overload_window_us: int
    drain_grace_us: int
    retry_budget_window_us: int
    retry_budget_floor: float
    retry_budget_ratio: float
    key_quarantine_us: int
    retry_rate: float
    clients_mark_retries: bool = False
