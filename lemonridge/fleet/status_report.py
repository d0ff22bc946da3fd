"""What operators are shown of the fleet, as one broker sees it, and of several such views as one. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from lemonridge.fleet.datagrams import MemberState
from lemonridge.fleet.fleet_member import FleetMember
from lemonridge.fleet.quota_lending import WHOLE_PARTS, BudgetKind

BUDGETS_MAX, JUDGEMENTS_MAX = 64, 64  # shown at a time: the most active


def report(fleet: FleetMember, now_us: int, endpoints: Mapping[int, str]) -> dict[str, Any]:
    """Members with their links, budgets, judgements and counters; ages in milliseconds, parts of the whole.

    `nodes` are the names of nodes by their keys.
    """
    return {
        "name": fleet.member_list.names[fleet.member_list.me],
        "state": fleet.members.state.name.lower(),
        "life": fleet.members.incarnation,
        "round": fleet.members.round,
        "health": fleet.members.health,
        "accused": fleet.members.accused,
        "superseded": fleet.members.superseded,
        "floors_only_ms": max(0, fleet.ledger.floors_until_us - now_us) // 1000,
        "members": [_member(fleet, who, now_us) for who in fleet.member_list.others],
        "budgets": _budgets(fleet, now_us, endpoints),
        "judgements": _judgements(fleet, now_us, endpoints),
        "counters": {**fleet.counts, **{f"not_taken.{fault.value}": n for fault, n in fleet.faults.items()}},
    }


def _member(fleet: FleetMember, who: int, now_us: int) -> dict[str, Any]:
    member, link = fleet.members.members[who], fleet.links()[who]
    sent = link.top - link.first + 1
    return {
        "name": fleet.member_list.names[who],
        "state": member.state.name.lower(),
        "life": member.incarnation,
        "for_ms": (now_us - member.since_us) // 1000,
        "heard_ms": (now_us - member.heard_us) // 1000 if member.heard_us else None,
        "lost": round(1 - link.came / sent, 3) if link.came and sent > 0 else None,
        "clock_ms": link.behind_ms,
        "deaths": member.deaths,
        "wrongly": member.cleared,
    }


def _budgets(fleet: FleetMember, now_us: int, endpoints: Mapping[int, str]) -> list[dict[str, Any]]:
    rows = []
    active = sorted(fleet.ledger.budgets.items(), key=lambda one: -one[1].used_us)
    for key, pool in active[:BUDGETS_MAX]:
        told = fleet.ledger.slice(key, now_us)
        whole = WHOLE_PARTS if key[0] != BudgetKind.COLD else max(1, pool.base)
        rows.append(
            {
                "kind": BudgetKind(key[0]).name.lower(),
                "key": f"{key[1]:016x}",
                "hosts": pool.hosts,
                "uses": pool.holds,
                "own": pool.base / whole,
                "left": fleet.ledger.mine(pool, now_us) / whole,
                "has": told.parts / whole,
                "needs": min(1.0, pool.need / whole),
                "lent": {
                    fleet.member_list.names[who]: max(one.parts for one in loans) / whole
                    for who, loans in pool.lent.items()
                },
                "borrowed": {
                    fleet.member_list.names[who]: one.parts / whole
                    for who, one in pool.borrowed.items()
                    if one.end_us > now_us
                },
            }
        )
    return rows


def _judgements(fleet: FleetMember, now_us: int, endpoints: Mapping[int, str]) -> list[dict[str, Any]]:
    def name(endpoint: int) -> str:
        return endpoints.get(endpoint, f"{endpoint:016x}")

    rows = [
        {
            "node": name(one.endpoint_id),
            "what": one.what.name.lower(),
            "by": fleet.member_list.names[fleet.member_list.me],
            "weight": one.weight,
            "age_ms": (now_us - one.at_us) // 1000,
        }
        for one in fleet.evidence.observations(now_us)
    ]
    for endpoint, voices in fleet.peer_reports.voices(now_us).items():
        rows += [
            {
                "node": name(endpoint),
                "what": one.what.name.lower(),
                "by": fleet.member_list.names[who],
                "weight": one.weight,
                "age_ms": (now_us - one.at_us) // 1000,
            }
            for who, one in voices.items()
        ]
    return rows[:JUDGEMENTS_MAX]


def table(views: Iterable[dict[str, Any]]) -> str:
    """Several brokers' views as text: who sees whom how, what each budget comes to, what is said of nodes."""
    views = list(views)
    names = sorted({view["name"] for view in views} | {m["name"] for view in views for m in view["members"]})
    lines = ["seen by ".ljust(12) + " ".join(name[:10].rjust(10) for name in names)]
    for view in views:
        seen = {member["name"]: member for member in view["members"]}
        cells = [
            view["state"] if name == view["name"] else seen[name]["state"] if name in seen else "-"
            for name in names
        ]
        lines.append(view["name"][:11].ljust(12) + " ".join(cell.rjust(10) for cell in cells))
        lines.append("  heard ms  " + " ".join(_cell(seen.get(name), "heard_ms") for name in names))
        lines.append("  lost      " + " ".join(_cell(seen.get(name), "lost") for name in names))
    budgets: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for view in views:
        for row in view["budgets"]:
            budgets.setdefault((row["kind"], row["key"]), []).append({**row, "at": view["name"]})
    if budgets:
        lines += ["", "budget".ljust(30) + "in all  who has what"]
    for (kind, key), rows in sorted(budgets.items()):
        using = [row for row in rows if row["uses"]]
        has = " ".join(f"{row['at']}={row['has']:.2f}" for row in using)
        lines.append(f"{kind} {key}".ljust(30) + f"{sum(row['has'] for row in using):6.2f}  {has}")
    judged = [row for view in views for row in view["judgements"] if row["by"] == view["name"]]
    if judged:
        lines += ["", "node".ljust(20) + "judgement"]
    lines += [
        f"{row['node'][:19]:20}{row['what']} by {row['by']}, {row['weight']} times, {row['age_ms']} ms ago"
        for row in judged
    ]
    return "\n".join(lines)


def _cell(member: dict[str, Any] | None, what: str) -> str:
    value = None if member is None else member[what]
    return ("-" if value is None else str(value)).rjust(10)


def whole(views: Iterable[dict[str, Any]]) -> bool:
    """Whether every broker that was asked holds every other one up."""
    up = {MemberState.UP.name.lower(), MemberState.JOINING.name.lower()}
    return all(member["state"] in up for view in views for member in view["members"])
