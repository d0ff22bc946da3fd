"""The parser of a deployment's settings, in the simulator's first message and in a broker's configuration.

The only place that knows the pages' keys: they are mapped to the fields of `lemonridge.scheduling.settings`,
of which `docs/glossary.md` has the meaning. Keys that are not known are ignored.
"""

from __future__ import annotations

from typing import Any

from lemonridge.scheduling.settings import (
    DeduplicationScope,
    IdempotencyKind,
    RequestClass,
    Settings,
    VolumePlan,
)

IDEMPOTENCY_KINDS = {
    "repeatable": IdempotencyKind.IDEMPOTENT,
    "by_key": IdempotencyKind.WITH_IDEMPOTENCY_KEY,
    "once": IdempotencyKind.NOT_IDEMPOTENT,
}

DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.SHARD,
}

# The requests at an endpoint, in a load report: in the settings' words and in the protocol's.
OUTSTANDING_FIELDS = ("busy_reqs", "inflight")


class SettingsError(Exception):
    """Settings that lack something or have an unknown word; the message is one plain line."""


def _table(facts: Any, name: str) -> dict[str, Any]:
    table = facts.get(name) if isinstance(facts, dict) else None
    if not isinstance(table, dict):
        raise SettingsError(f"settings lack the table '{name}'")
    return table


def _number(table: dict[str, Any], name: str, path: str) -> Any:
    value = table.get(name)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise SettingsError(f"settings lack the number '{path}.{name}'")
    return value


def _rows(facts: dict[str, Any], name: str) -> list[dict[str, Any]]:
    rows = facts.get(name)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise SettingsError(f"settings lack the list '{name}'")
    return rows


def _request_class(row: dict[str, Any]) -> RequestClass:
    idempotency = IDEMPOTENCY_KINDS.get(row.get("semantics", ""))
    if idempotency is None:
        raise SettingsError("settings lack a known 'classes.semantics'")
    has_key = idempotency is IdempotencyKind.WITH_IDEMPOTENCY_KEY
    try:
        scope = DEDUPLICATION_SCOPES[row["group"]] if has_key else DeduplicationScope.ALL
    except (KeyError, TypeError):
        raise SettingsError("settings lack a known 'classes.group'") from None
    return RequestClass(
        latency_objective_us=_number(row, "aim-us", "classes"),
        deadline_us=_number(row, "deadline-us", "classes"),
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window_us=_number(row, "memory-span-us", "classes") if has_key else 0,
        sequential=bool(row.get("sequential", False)),
        priority_weight=row.get("gain") or 0.0,
    )


def _plan(row: dict[str, Any]) -> VolumePlan:
    return VolumePlan(
        base_rate=row.get("base-rate") or 0.0,
        reserve=row.get("guaranteed") or 0.0,
        weight=row.get("weight") or 0.0,
        limit=row.get("cap") or 0.0,
        burst=row.get("burst") or 0.0,
        slack=row.get("limit-slack") or 0.0,
    )


def parse_settings(facts: Any) -> Settings:
    """Parses the settings.

    Args:
        facts: The parsed JSON or TOML. A rule that it does not mention is not in force.

    Returns:
        The settings of the scheduler; `retry_rate` is 0, as only the operators' file has one.

    Raises:
        SettingsError: A table, a list, a number or a word is missing or unknown.
    """
    rules, limits = _table(facts, "rules"), _table(facts, "limits")
    family = _table(facts, "family-info")
    clients = facts.get("clients")
    return Settings(
        hosts=_number(facts, "fleet-size", "facts"),
        classes=tuple(map(_request_class, _rows(facts, "classes"))),
        plans=tuple(map(_plan, _rows(facts, "grades"))),
        polls_endpoint_list=facts.get("discovery") == "ask",
        largest_request_units=family.get("units-top") or 0.0,
        mean_request_units=family.get("unit-mean") or 0.0,
        slow_start_units=family.get("cold-units") or 0.0,
        overload_multiple=rules.get("tip-multiple") or 0.0,
        reports_peer_usage=bool(family.get("tells-elsewhere")),
        usage_meter_period_us=family.get("meter-us") or 0,
        max_attempts=_number(limits, "max-attempts", "limits"),
        may_cancel=bool(limits.get("cancelling")),
        max_backoff_us=(limits.get("max-retry-after-us") or 0) if limits.get("retry-after") else 0,
        tick_us=_number(facts, "tick-us", "facts"),
        poll_within_us=rules.get("ask-within-us") or 0,
        slow_start_initial_fraction=_number(rules, "cold-share", "rules"),
        slow_start_ramp_us=_number(rules, "ramp-time-us", "rules"),
        overload_window_us=_number(rules, "fall-us", "rules"),
        drain_grace_us=_number(rules, "drain-grace-us", "rules"),
        retry_budget_window_us=rules.get("look-back-us") or 0,
        retry_budget_floor=rules.get("free-resends") or 0.0,
        retry_budget_ratio=rules.get("extra-ratio") or 0.0,
        key_quarantine_us=rules.get("key-rest-us") or 0,
        retry_rate=0.0,
        clients_mark_retries=bool(clients.get("marks-retry")) if isinstance(clients, dict) else False,
    )


def in_flight_field(facts: dict[str, Any]) -> str:
    """The field of a response's load report that says how many requests are at its endpoint.

    Empty where the settings name none, or where responses carry no reports.
    """
    report = facts.get("load-info")
    if not isinstance(report, dict) or report.get("source") != "piggyback":
        return ""
    fields = report.get("names")
    return next((one for one in fields if one in OUTSTANDING_FIELDS), "") if isinstance(fields, list) else ""


def entry_names(facts: dict[str, Any], table: str) -> tuple[str, ...]:
    """The names of a table's rows, in the order of their numbers.

    Raises:
        SettingsError: The table is missing, or a row has no name.
    """
    rows = _rows(facts, table)
    if not all(isinstance(row.get("name"), str) for row in rows):
        raise SettingsError(f"settings lack a name in '{table}'")
    return tuple(row["name"] for row in rows)
