"""The settings of the decisions, as the host hands them over.

All times are whole microseconds of the host's clock. The keys of the operators' pages are mapped to these
names in `lemonridge.config.scheduler_settings`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class IdempotencyKind(Enum):
    """What a class allows once an attempt may have run."""

    IDEMPOTENT = "idempotent"
    WITH_IDEMPOTENCY_KEY = "with idempotency key"
    NOT_IDEMPOTENT = "not idempotent"


class DeduplicationScope(Enum):
    """Which nodes discard a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request.

    `deduplication_window_us` and `deduplication_scope` matter for WITH_IDEMPOTENCY_KEY only;
    `priority_weight` is of one unit.
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
    """One plan; its figures hold per volume over all hosts and nodes, in units (a second)."""

    base_rate: float
    reserve: float
    weight: float
    limit: float
    burst: float
    slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a host is told at its start. A figure of a rule that is not in force is 0."""

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
    retry_rate: float  # further attempts a second, of all hosts; 0: they are not counted together
    clients_mark_retries: bool = False  # clients mark their repeats
