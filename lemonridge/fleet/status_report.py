"""The operators' view of the fleet: one broker's report as JSON, and several reports as one text table.

The keys and labels are the operators' interface (docs/operate/fleet-state.md). This module maps the terms of
the code to them. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from lemonridge.fleet.datagrams import MemberState
from lemonridge.fleet.fleet_member import FleetMember
from lemonridge.fleet.health_gossip import ReportedCondition
from lemonridge.fleet.quota_ledger import TOTAL_PARTS, BudgetKind

BUDGETS_SHOWN_MAX = 64  # the most recently used ones
HEALTH_REPORTS_SHOWN_MAX = 64
STATE_LABELS = {
    MemberState.ABSENT: "absent",
    MemberState.JOINING: "joining",
    MemberState.UP: "up",
    MemberState.DRAINING: "leaving",
    MemberState.SUSPECT: "suspect",
    MemberState.DEAD: "dead",
    MemberState.LEFT: "left",
}
BUDGET_LABELS = {BudgetKind.LIMIT: "limit", BudgetKind.SLOW_START: "cold", BudgetKind.RETRIES: "further"}
CONDITION_LABELS = {
    ReportedCondition.UNREACHABLE: "down",
    ReportedCondition.UNRESPONSIVE: "silent",
    ReportedCondition.ERRORS: "errors",
    ReportedCondition.RESTARTED: "cold",
}


def member_report(fleet_member: FleetMember, now_us: int, endpoints: Mapping[int, str]) -> dict[str, Any]:
    """Returns one broker's view: members with their links, budgets, endpoint health reports and counters.

    Ages are in milliseconds; parts of budgets are fractions of the whole.

    Args:
        fleet_member: The broker's fleet member.
        now_us: The current time.
        endpoints: The endpoint ids by key.
    """
    membership = fleet_member.membership
    faults = {f"not_taken.{fault.value}": count for fault, count in fleet_member.receiver.faults.items()}
    return {
        "name": fleet_member.member_list.names[fleet_member.member_list.own_id],
        "state": STATE_LABELS[membership.state],
        "life": membership.incarnation,
        "round": membership.state_version,
        "health": membership.local_health,
        "accused": membership.suspicions_of_self,
        "superseded": membership.superseded,
        "floors_only_ms": max(0, fleet_member.ledger.floors_until_us - now_us) // 1000,
        "members": [
            _peer_report(fleet_member, member_id, now_us) for member_id in fleet_member.member_list.others
        ],
        "budgets": _budget_reports(fleet_member, now_us),
        "judgements": _health_reports(fleet_member, now_us, endpoints),
        "counters": {**fleet_member.counts, **faults},
    }


def _peer_report(fleet_member: FleetMember, member_id: int, now_us: int) -> dict[str, Any]:
    peer, window = fleet_member.membership.members[member_id], fleet_member.receiver.windows[member_id]
    loss = window.loss_fraction()
    return {
        "name": fleet_member.member_list.names[member_id],
        "state": STATE_LABELS[peer.state],
        "life": peer.incarnation,
        "for_ms": (now_us - peer.state_since_us) // 1000,
        "heard_ms": (now_us - peer.last_received_us) // 1000 if peer.last_received_us else None,
        "lost": round(loss, 3) if loss is not None else None,
        "clock_ms": window.min_age_ms,
        "deaths": peer.deaths,
        "wrongly": peer.refutations,
    }


def _budget_reports(fleet_member: FleetMember, now_us: int) -> list[dict[str, Any]]:
    reports, names = [], fleet_member.member_list.names
    by_use = sorted(fleet_member.ledger.budgets.items(), key=lambda entry: -entry[1].used_us)
    for key, budget in by_use[:BUDGETS_SHOWN_MAX]:
        total = TOTAL_PARTS if key.kind != BudgetKind.SLOW_START else max(1, budget.owned)
        reports.append(
            {
                "kind": BUDGET_LABELS[BudgetKind(key.kind)],
                "key": f"{key.key:016x}",
                "hosts": budget.hosts,
                "uses": budget.used_here,
                "own": budget.owned / total,
                "left": fleet_member.ledger.available_own_parts(budget, now_us) / total,
                "has": fleet_member.ledger.quota(key, now_us).parts / total,
                "needs": min(1.0, budget.demand / total),
                "lent": {
                    names[borrower]: max(loan.parts for loan in loans) / total
                    for borrower, loans in budget.loans_out.items()
                },
                "borrowed": {
                    names[lender]: loan.parts / total
                    for lender, loan in budget.loans_in.items()
                    if loan.end_us > now_us
                },
            }
        )
    return reports


def _health_reports(
    fleet_member: FleetMember, now_us: int, endpoints: Mapping[int, str]
) -> list[dict[str, Any]]:
    """Returns this broker's own observations, followed by the reports of other members."""
    names, own_id = fleet_member.member_list.names, fleet_member.member_list.own_id

    def view(endpoint_key: int, condition: ReportedCondition, source: int, weight: int, at_us: int) -> Any:
        """Returns the operators' view of one report."""
        return {
            "node": endpoints.get(endpoint_key, f"{endpoint_key:016x}"),
            "what": CONDITION_LABELS[condition],
            "by": names[source],
            "weight": weight,
            "age_ms": (now_us - at_us) // 1000,
        }

    views = [
        view(
            observation.endpoint_id,
            observation.condition,
            own_id,
            observation.weight,
            observation.at_us,
        )
        for observation in fleet_member.gossip.observations.reportable(now_us)
    ]
    views += [
        view(endpoint_key, report.condition, source, report.weight, report.at_us)
        for endpoint_key, reports in fleet_member.gossip.peer_reports.current(now_us).items()
        for source, report in reports.items()
    ]
    return views[:HEALTH_REPORTS_SHOWN_MAX]


def format_table(reports: Iterable[dict[str, Any]]) -> str:
    """Formats the reports of several brokers as text: member states, budgets and endpoint health."""
    reports = list(reports)
    names = sorted(
        {report["name"] for report in reports}
        | {peer["name"] for report in reports for peer in report["members"]}
    )
    lines = ["seen by ".ljust(12) + " ".join(name[:10].rjust(10) for name in names)]
    for report in reports:
        lines += _member_lines(report, names)
    lines += _budget_lines(reports)
    own_observations = [
        observation
        for report in reports
        for observation in report["judgements"]
        if observation["by"] == report["name"]
    ]
    if own_observations:
        lines += ["", "node".ljust(20) + "judgement"]
    lines += [
        f"{health['node'][:19]:20}{health['what']} by {health['by']}, "
        f"{health['weight']} times, {health['age_ms']} ms ago"
        for health in own_observations
    ]
    return "\n".join(lines)


def _member_lines(report: dict[str, Any], names: list[str]) -> list[str]:
    peers = {peer["name"]: peer for peer in report["members"]}
    states = [
        report["state"] if name == report["name"] else peers[name]["state"] if name in peers else "-"
        for name in names
    ]
    return [
        report["name"][:11].ljust(12) + " ".join(state.rjust(10) for state in states),
        "  heard ms  " + " ".join(_format_cell(peers.get(name), "heard_ms") for name in names),
        "  lost      " + " ".join(_format_cell(peers.get(name), "lost") for name in names),
    ]


def _budget_lines(reports: list[dict[str, Any]]) -> list[str]:
    budgets: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for report in reports:
        for budget in report["budgets"]:
            budgets.setdefault((budget["kind"], budget["key"]), []).append({**budget, "at": report["name"]})
    lines = ["", "budget".ljust(30) + "in all  who has what"] if budgets else []
    for (kind, key), entries in sorted(budgets.items()):
        users = [entry for entry in entries if entry["uses"]]
        quotas = " ".join(f"{entry['at']}={entry['has']:.2f}" for entry in users)
        lines.append(f"{kind} {key}".ljust(30) + f"{sum(entry['has'] for entry in users):6.2f}  {quotas}")
    return lines


def _format_cell(peer: dict[str, Any] | None, key: str) -> str:
    value = None if peer is None else peer[key]
    return ("-" if value is None else str(value)).rjust(10)


def all_members_up(reports: Iterable[dict[str, Any]]) -> bool:
    """Returns whether each of these reports shows every other member as up or joining."""
    up = {STATE_LABELS[MemberState.UP], STATE_LABELS[MemberState.JOINING]}
    return all(peer["state"] in up for report in reports for peer in report["members"])
