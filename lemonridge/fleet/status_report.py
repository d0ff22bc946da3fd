"""What operators are shown of the fleet: one broker's view as JSON, and several views as one text. Pure.

The keys and the words are the operators' interface (docs/operate/fleet-state.md); the code's terms are mapped
to them here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from lemonridge.fleet.datagrams import MemberState
from lemonridge.fleet.fleet_member import FleetMember
from lemonridge.fleet.health_gossip import ReportedCondition
from lemonridge.fleet.quota_ledger import TOTAL_PARTS, BudgetKind

BUDGETS_SHOWN_MAX = 64  # those used last
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


def member_report(fleet: FleetMember, now_us: int, endpoints: Mapping[int, str]) -> dict[str, Any]:
    """One broker's view: members with their links, budgets, reports on endpoints, counters.

    Ages are in milliseconds, parts of budgets are fractions of the whole. `endpoints` are names by key.
    """
    membership = fleet.membership
    faults = {f"not_taken.{fault.value}": count for fault, count in fleet.receiver.faults.items()}
    return {
        "name": fleet.member_list.names[fleet.member_list.own_id],
        "state": STATE_LABELS[membership.state],
        "life": membership.incarnation,
        "round": membership.state_version,
        "health": membership.local_health,
        "accused": membership.suspicions_of_self,
        "superseded": membership.superseded,
        "floors_only_ms": max(0, fleet.ledger.floors_until_us - now_us) // 1000,
        "members": [_member(fleet, member_id, now_us) for member_id in fleet.member_list.others],
        "budgets": _budgets(fleet, now_us),
        "judgements": _health_reports(fleet, now_us, endpoints),
        "counters": {**fleet.counts, **faults},
    }


def _member(fleet: FleetMember, member_id: int, now_us: int) -> dict[str, Any]:
    member, window = fleet.membership.members[member_id], fleet.receiver.windows[member_id]
    loss = window.loss_fraction()
    return {
        "name": fleet.member_list.names[member_id],
        "state": STATE_LABELS[member.state],
        "life": member.incarnation,
        "for_ms": (now_us - member.state_since_us) // 1000,
        "heard_ms": (now_us - member.last_received_us) // 1000 if member.last_received_us else None,
        "lost": round(loss, 3) if loss is not None else None,
        "clock_ms": window.min_age_ms,
        "deaths": member.deaths,
        "wrongly": member.refutations,
    }


def _budgets(fleet: FleetMember, now_us: int) -> list[dict[str, Any]]:
    rows, names = [], fleet.member_list.names
    by_use = sorted(fleet.ledger.budgets.items(), key=lambda one: -one[1].used_us)
    for key, budget in by_use[:BUDGETS_SHOWN_MAX]:
        total = TOTAL_PARTS if key.kind != BudgetKind.SLOW_START else max(1, budget.owned)
        rows.append(
            {
                "kind": BUDGET_LABELS[BudgetKind(key.kind)],
                "key": f"{key.key:016x}",
                "hosts": budget.hosts,
                "uses": budget.used_here,
                "own": budget.owned / total,
                "left": fleet.ledger.available_own_parts(budget, now_us) / total,
                "has": fleet.ledger.quota(key, now_us).parts / total,
                "needs": min(1.0, budget.demand / total),
                "lent": {
                    names[borrower]: max(one.parts for one in loans) / total
                    for borrower, loans in budget.loans_out.items()
                },
                "borrowed": {
                    names[lender]: one.parts / total
                    for lender, one in budget.loans_in.items()
                    if one.end_us > now_us
                },
            }
        )
    return rows


def _health_reports(fleet: FleetMember, now_us: int, endpoints: Mapping[int, str]) -> list[dict[str, Any]]:
    """This broker's own observations first, then what others report."""
    names, own_id = fleet.member_list.names, fleet.member_list.own_id

    def row(endpoint_key: int, condition: ReportedCondition, source: int, weight: int, at_us: int) -> Any:
        """One report, as it is shown."""
        return {
            "node": endpoints.get(endpoint_key, f"{endpoint_key:016x}"),
            "what": CONDITION_LABELS[condition],
            "by": names[source],
            "weight": weight,
            "age_ms": (now_us - at_us) // 1000,
        }

    rows = [
        row(one.endpoint_id, one.condition, own_id, one.weight, one.at_us)
        for one in fleet.gossip.observations.reportable(now_us)
    ]
    rows += [
        row(endpoint_key, one.condition, source, one.weight, one.at_us)
        for endpoint_key, reports in fleet.gossip.peer_reports.current(now_us).items()
        for source, one in reports.items()
    ]
    return rows[:HEALTH_REPORTS_SHOWN_MAX]


def format_table(views: Iterable[dict[str, Any]]) -> str:
    """Several brokers' views as text: who sees whom in what state, all budgets, reports on endpoints."""
    views = list(views)
    names = sorted(
        {view["name"] for view in views} | {one["name"] for view in views for one in view["members"]}
    )
    lines = ["seen by ".ljust(12) + " ".join(name[:10].rjust(10) for name in names)]
    for view in views:
        lines += _view_lines(view, names)
    lines += _budget_lines(views)
    own = [row for view in views for row in view["judgements"] if row["by"] == view["name"]]
    if own:
        lines += ["", "node".ljust(20) + "judgement"]
    lines += [
        f"{row['node'][:19]:20}{row['what']} by {row['by']}, {row['weight']} times, {row['age_ms']} ms ago"
        for row in own
    ]
    return "\n".join(lines)


def _view_lines(view: dict[str, Any], names: list[str]) -> list[str]:
    members = {member["name"]: member for member in view["members"]}
    cells = [
        view["state"] if name == view["name"] else members[name]["state"] if name in members else "-"
        for name in names
    ]
    return [
        view["name"][:11].ljust(12) + " ".join(cell.rjust(10) for cell in cells),
        "  heard ms  " + " ".join(_cell(members.get(name), "heard_ms") for name in names),
        "  lost      " + " ".join(_cell(members.get(name), "lost") for name in names),
    ]


def _budget_lines(views: list[dict[str, Any]]) -> list[str]:
    budgets: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for view in views:
        for row in view["budgets"]:
            budgets.setdefault((row["kind"], row["key"]), []).append({**row, "at": view["name"]})
    lines = ["", "budget".ljust(30) + "in all  who has what"] if budgets else []
    for (kind, key), rows in sorted(budgets.items()):
        using = [row for row in rows if row["uses"]]
        has = " ".join(f"{row['at']}={row['has']:.2f}" for row in using)
        lines.append(f"{kind} {key}".ljust(30) + f"{sum(row['has'] for row in using):6.2f}  {has}")
    return lines


def _cell(member: dict[str, Any] | None, key: str) -> str:
    value = None if member is None else member[key]
    return ("-" if value is None else str(value)).rjust(10)


def all_members_up(views: Iterable[dict[str, Any]]) -> bool:
    """Whether every broker that was asked holds every other one for up."""
    up = {STATE_LABELS[MemberState.UP], STATE_LABELS[MemberState.JOINING]}
    return all(member["state"] in up for view in views for member in view["members"])
