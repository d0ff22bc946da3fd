"""Parses a deployment's settings, from the simulator's `provision` event or a broker's configuration.

Maps the keys of the operators' pages to the fields of `lemonridge.scheduling.settings`; `docs/glossary.md`
explains them. The mapping of keys to fields is defined here alone. Unknown keys are ignored.
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

# Names of the load report's field with the requests at the endpoint: in the settings and in the protocol.
OUTSTANDING_FIELDS = ("busy_reqs", "inflight")


class SettingsError(Exception):
    """Settings with a missing or unknown value; the message is a single line."""


def _table(raw_settings: Any, name: str) -> dict[str, Any]:
    table = raw_settings.get(name) if isinstance(raw_settings, dict) else None
    if not isinstance(table, dict):
        raise SettingsError(f"settings lack the table '{name}'")
    return table


def _number(table: dict[str, Any], name: str, path: str) -> Any:
    value = table.get(name)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise SettingsError(f"settings lack the number '{path}.{name}'")
    return value


def _entries(raw_settings: dict[str, Any], name: str) -> list[dict[str, Any]]:
    entries = raw_settings.get(name)
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise SettingsError(f"settings lack the list '{name}'")
    return entries


def _request_class(entry: dict[str, Any]) -> RequestClass:
    idempotency = IDEMPOTENCY_KINDS.get(entry.get("semantics", ""))
    if idempotency is None:
        raise SettingsError("settings lack a known 'classes.semantics'")
    has_key = idempotency is IdempotencyKind.WITH_IDEMPOTENCY_KEY
    try:
        scope = DEDUPLICATION_SCOPES[entry["group"]] if has_key else DeduplicationScope.ALL
    except (KeyError, TypeError):
        raise SettingsError("settings lack a known 'classes.group'") from None
    return RequestClass(
        latency_objective_us=_number(entry, "aim-us", "classes"),
        deadline_us=_number(entry, "deadline-us", "classes"),
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window_us=_number(entry, "memory-span-us", "classes") if has_key else 0,
        sequential=bool(entry.get("sequential", False)),
        priority_weight=entry.get("gain") or 0.0,
    )


def _plan(entry: dict[str, Any]) -> VolumePlan:
    return VolumePlan(
        base_rate=entry.get("base-rate") or 0.0,
        reserve=entry.get("guaranteed") or 0.0,
        weight=entry.get("weight") or 0.0,
        limit=entry.get("cap") or 0.0,
        burst=entry.get("burst") or 0.0,
        slack=entry.get("limit-slack") or 0.0,
    )


def parse_settings(raw_settings: Any) -> Settings:
    """Parses the settings.

    Args:
        raw_settings: The settings as parsed from JSON or TOML. A rule that they do not mention is disabled.

    Returns:
        The scheduler's settings; `retry_rate` is 0, because only the operator's file can set it.

    Raises:
        SettingsError: A required table, list, number or keyword is missing, or a keyword is unknown.
    """
    rules, limits = _table(raw_settings, "rules"), _table(raw_settings, "limits")
    family = _table(raw_settings, "family-info")
    clients = raw_settings.get("clients")
    return Settings(
        hosts=_number(raw_settings, "fleet-size", "facts"),
        classes=tuple(map(_request_class, _entries(raw_settings, "classes"))),
        plans=tuple(map(_plan, _entries(raw_settings, "grades"))),
        polls_endpoint_list=raw_settings.get("discovery") == "ask",
        largest_request_units=family.get("units-top") or 0.0,
        mean_request_units=family.get("unit-mean") or 0.0,
        slow_start_units=family.get("cold-units") or 0.0,
        overload_multiple=rules.get("tip-multiple") or 0.0,
        reports_peer_usage=bool(family.get("tells-elsewhere")),
        usage_meter_period_us=family.get("meter-us") or 0,
        max_attempts=_number(limits, "max-attempts", "limits"),
        may_cancel=bool(limits.get("cancelling")),
        max_backoff_us=(limits.get("max-retry-after-us") or 0) if limits.get("retry-after") else 0,
        tick_us=_number(raw_settings, "tick-us", "facts"),
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


def in_flight_field(raw_settings: dict[str, Any]) -> str:
    """Returns the name of the load report's field with the number of requests at the endpoint.

    Empty if the settings name no such field, or if responses carry no load reports.
    """
    report = raw_settings.get("load-info")
    if not isinstance(report, dict) or report.get("source") != "piggyback":
        return ""
    fields = report.get("names")
    return (
        next((name for name in fields if name in OUTSTANDING_FIELDS), "") if isinstance(fields, list) else ""
    )


def entry_names(raw_settings: dict[str, Any], list_name: str) -> tuple[str, ...]:
    """Returns the names of a list's entries, in their order.

    Raises:
        SettingsError: The list is missing, or an entry has no name.
    """
    entries = _entries(raw_settings, list_name)
    if not all(isinstance(entry.get("name"), str) for entry in entries):
        raise SettingsError(f"settings lack a name in '{list_name}'")
    return tuple(entry["name"] for entry in entries)
