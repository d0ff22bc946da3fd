"""The settings of the decisions, as the host hands them over.

All times are whole microseconds of the host's clock. The keys of the operators' pages are mapped to these
names in `lemonridge.config.scheduler_settings`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class IdempotencyKind(Enum):
    """What a class allows once an attempt may have run: any repeat, one that is discarded, or none."""

    IDEMPOTENT = "idempotent"
    WITH_IDEMPOTENCY_KEY = "with idempotency key"
    NOT_IDEMPOTENT = "not idempotent"


class DeduplicationScope(Enum):
    """Which endpoints discard a repeat of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        latency_objective_us: The time within which an answer earns the full value.
        deadline_us: The longest time that clients of the class wait.
        idempotency: What it allows once an attempt may have run.
        deduplication_scope: Which endpoints discard a repeat; for WITH_IDEMPOTENCY_KEY alone.
        deduplication_window_us: For how long they do, from the first attempt on; as above.
        sequential: Requests with one ordering key run one at a time.
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
    """One plan; its figures hold for each volume over all hosts and endpoints. A limit of 0 is none.

    Attributes:
        base_rate: The rate of a volume's usual demand, in units a second.
        reserve: The reserved rate, in units a second.
        weight: Its part of what is left, where nothing is reserved.
        limit: The rate that it may not exceed, in units a second.
        burst: The units that it may use at once beside that rate.
        slack: The units by which the limit is allowed to be passed.
    """

    base_rate: float
    reserve: float
    weight: float
    limit: float
    burst: float
    slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a host. A figure of a rule that is not in force is 0.

    Attributes:
        hosts: How many hosts there are.
        classes: The classes of requests, by their numbers.
        plans: The plans of volumes, by their numbers.
        polls_endpoint_list: The endpoint list is polled; otherwise its changes are pushed.
        largest_request_units: The units of the largest request.
        mean_request_units: The units of a mean request.
        slow_start_units: What all hosts may send an endpoint at the start of its slow start, in an overload
            window.
        overload_multiple: An endpoint in slow start fails under this many times its capacity.
        reports_peer_usage: Responses say what other hosts served the volume.
        usage_meter_period_us: How often endpoints meter that.
        max_attempts: Attempts of one request.
        may_cancel: The host can cancel an attempt.
        max_backoff_us: The longest Retry-After; 0: none is given.
        tick_us: How late the host's timers and first bytes may be.
        poll_within_us: A change of the list counts as known after this time; 0: the settings do not say.
        slow_start_initial_fraction: The capacity of an endpoint that has just started, of its full one.
        slow_start_ramp_us: How long an endpoint takes to its full capacity.
        overload_window_us: The window in which the load of an endpoint in slow start is counted.
        drain_grace_us: How long a draining endpoint still answers.
        retry_budget_window_us: The window of a host's retry budget.
        retry_budget_floor: Retries that each window allows without requests.
        retry_budget_ratio: Retries that each request of a window allows beside these.
        key_quarantine_us: How long the next request of a key waits after an attempt that may still run.
        retry_rate: Retries a second of all hosts; 0: they are not limited together.
        clients_mark_retries: Clients mark their retries.
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
