"""The fleet's policy as a numbered, hashed, self-contained document; its checks; what differs. Pure.

Policy is what all brokers of a fleet must decide by alike: the plans with their limits and quotas, the
classes' latency objectives and priority weights, and the rules on attempts. Where a broker listens, its
endpoints, its limits on memory and sockets are the machine's own. The document is JSON in one canonical form
(sorted keys, no spaces), so that equal policies have equal bytes; its digest is the BLAKE2s of those.

The keys of the document are the operators' words; a field with another name maps it by `rename`.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import replace
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from lemonridge.rollout.errors import FloorError, PolicyError, VoterChangeError
from lemonridge.scheduling.settings import RequestClass, Settings, VolumePlan

STATE_BYTES_MAX = 24_576  # of an encoded state, which is voted on, transferred and stored
PLANS_MAX, CLASSES_MAX = 64, 32
VOTERS_MAX = 5  # tolerates two failures, and more voters only slow a decision
HISTORY_MAX = 16  # changes that are kept, a line each
NOTE_CHARACTERS_MAX = 120
HISTORY_PREFIX_CHARACTERS_MAX = 60  # of a line before its note
FIGURE_TOLERANCE = 1e-9  # a figure under the floor by less is a rounding error

Figure = Annotated[float, Meta(ge=0, lt=1e9)]
Name = Annotated[str, Meta(min_length=1, max_length=40)]


class Plan(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The limits of a plan's volumes over all brokers, in request units (a second); a limit of 0 is none."""

    name: Name
    base_rate: Figure = 0.0
    reserve: Figure = 0.0
    weight: Figure = 1.0
    limit: Figure = 0.0
    burst: Figure = 0.0
    slack: Figure = 0.0


class Class(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    rename={"latency_objective_ms": "aim_ms", "priority_weight": "worth"},
):
    """One class: its latency objective, and the priority weight of a request unit."""

    name: Name
    latency_objective_ms: Annotated[float, Meta(gt=0, le=3_600_000)]
    priority_weight: Figure = 1.0


class Rules(
    Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, rename={"retry_rate": "further_attempts"}
):
    """The rules for all requests; `retry_rate` is a second, of all brokers, 0 where there is no budget."""

    max_attempts: Annotated[int, Meta(ge=1, le=4)] = 4
    retry_rate: Figure = 0.0


class Policy(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, rename={"classes": "class"}):
    """What all brokers decide by: plans, classes and rules."""

    plan: Annotated[tuple[Plan, ...], Meta(min_length=1, max_length=PLANS_MAX)]
    classes: Annotated[tuple[Class, ...], Meta(min_length=1, max_length=CLASSES_MAX)]
    rules: Rules = Rules()

    def __post_init__(self) -> None:
        for table, rows in (("plan", self.plan), ("class", self.classes)):
            names = [row.name for row in rows]
            if len(set(names)) != len(names):
                raise ValueError(f"two of '{table}' have one name")


class PolicyState(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    rename={"previous_digest": "prior", "author": "by"},
):
    """All that is decided at an epoch, so that the newest state alone has to be stored and transferred.

    `previous_digest` is that of the state before it, in hexadecimal; `voters` are the store ids, by member
    name, of those who vote on the next.
    """

    epoch: Annotated[int, Meta(ge=0, lt=2**31)]
    previous_digest: str
    voters: dict[str, int]
    policy: Policy
    floor: Policy  # decided by without a lease: every policy contains it
    author: str = ""
    note: Annotated[str, Meta(max_length=NOTE_CHARACTERS_MAX)] = ""
    kind: Literal["policy", "voter", "emergency"] = "policy"
    history: tuple[str, ...] = ()


def encode(state: PolicyState) -> bytes:
    """The bytes that are voted on, in the canonical form.

    Raises:
        PolicyError: They are too many, or break the schema.
    """
    try:  # decoded once: a whole number in place of a float would be another form of the same state
        canonical = msgspec.json.decode(msgspec.json.encode(state), type=PolicyState)
        data = msgspec.json.encode(canonical, order="sorted")
    except (msgspec.DecodeError, ValueError) as error:
        raise PolicyError(str(error)) from None
    if len(data) > STATE_BYTES_MAX:
        raise PolicyError(f"the policy takes {len(data)} bytes, {STATE_BYTES_MAX} are allowed")
    return data


def decode(data: bytes) -> PolicyState:
    """The state of some bytes.

    Raises:
        PolicyError: They are too many, break the schema, or are not in the canonical form.
    """
    if len(data) > STATE_BYTES_MAX:
        raise PolicyError("too long")
    try:
        state = msgspec.json.decode(data, type=PolicyState)
    except (msgspec.DecodeError, ValueError) as error:
        raise PolicyError(str(error)) from None
    if encode(state) != data:
        raise PolicyError("not in the one form")
    return state


def digest(data: bytes) -> bytes:
    """The eight bytes that identify an encoded state: its BLAKE2s (RFC 7693)."""
    return hashlib.blake2s(data, digest_size=8).digest()


def parse_policy(tables: Any) -> Policy:
    """The policy of a TOML file's tables, or of an operators' call.

    Raises:
        PolicyError: It breaks the schema; the text names the key.
    """
    try:
        return msgspec.convert(tables, Policy, strict=False)
    except (msgspec.ValidationError, ValueError) as error:
        raise PolicyError(str(error)) from None


def next_state(before: PolicyState, policy: Policy, author: str, note: str) -> PolicyState:
    """The state after a change of policy."""
    line = f"{before.epoch + 1} {author}: {note}"[: NOTE_CHARACTERS_MAX + HISTORY_PREFIX_CHARACTERS_MAX]
    return PolicyState(
        epoch=before.epoch + 1,
        previous_digest=digest(encode(before)).hex(),
        voters=before.voters,
        policy=policy,
        floor=before.floor,
        author=author,
        note=note[:NOTE_CHARACTERS_MAX],
        history=(*before.history, line)[-HISTORY_MAX:],
    )


def state_with_voter(before: PolicyState, voter: str, store_id: int, author: str) -> PolicyState:
    """The state after a member was admitted, for the first time or with a new store.

    It votes from the next change on.
    """
    how = "with a new store" if voter in before.voters else "from now on"
    state = next_state(before, before.policy, author, f"{voter} votes {how}")
    return msgspec.structs.replace(state, voters={**before.voters, voter: store_id}, kind="voter")


def state_without_voter(before: PolicyState, voter: str, author: str) -> PolicyState:
    """The state after a voter was retired."""
    state = next_state(before, before.policy, author, f"{voter} votes no longer")
    voters = {name: store_id for name, store_id in before.voters.items() if name != voter}
    return msgspec.structs.replace(state, voters=voters, kind="voter")


def emergency_state(
    before: PolicyState, epoch: int, voters: dict[str, int], author: str, note: str
) -> PolicyState:
    """The state of an emergency call: the policy as it was, with other voters, which no majority decided."""
    state = next_state(before, before.policy, author, note)
    line = f"{epoch} {author}: EMERGENCY, only {', '.join(voters)}: {note}"
    line = line[: NOTE_CHARACTERS_MAX + HISTORY_PREFIX_CHARACTERS_MAX]
    return msgspec.structs.replace(
        state, epoch=epoch, voters=voters, kind="emergency", history=(*before.history, line)[-HISTORY_MAX:]
    )


def check_voter_change(before: PolicyState, after: PolicyState, members: Iterable[str]) -> None:
    """Checks that the voters change by one at a time, who is a member, and never to none.

    Raises:
        VoterChangeError: They do not.
    """
    pairs = set(before.voters.items()) ^ set(after.voters.items())
    if len({voter for voter, _ in pairs}) > 1:
        raise VoterChangeError("more than one voter changes at once")
    if not after.voters or len(after.voters) > VOTERS_MAX:
        raise VoterChangeError(f"1 to {VOTERS_MAX} vote")
    if unknown := sorted(set(after.voters) - set(members)):
        raise VoterChangeError(f"'{unknown[0]}' is no member here")


def plan_of(name: str, row: VolumePlan) -> Plan:
    """A plan of the scheduler's settings as one of the document."""
    return Plan(
        name=name,
        base_rate=row.base_rate,
        reserve=row.reserve,
        weight=row.weight,
        limit=row.limit,
        burst=row.burst,
        slack=row.slack,
    )


def policy_from(settings: Settings, plans: Iterable[str], classes: Iterable[str]) -> Policy:
    """The policy in a broker's settings, whose plans and classes have these names, in order."""
    return Policy(
        plan=tuple(map(plan_of, plans, settings.plans)),
        classes=tuple(
            Class(
                name=label,
                latency_objective_ms=row.latency_objective_us / 1000,
                priority_weight=row.priority_weight,
            )
            for label, row in zip(classes, settings.classes, strict=True)
        ),
        rules=Rules(max_attempts=settings.max_attempts, retry_rate=settings.retry_rate),
    )


def apply(policy: Policy, own: Settings, plans: Iterable[str], classes: Iterable[str]) -> Settings:
    """A broker's own settings with a policy put in.

    The names of plans and classes and their order are the machine's own, since requests name them by number.

    Raises:
        PolicyError: This broker cannot serve by the policy.
    """
    plans, classes = tuple(plans), tuple(classes)
    policy_plans = {row.name: row for row in policy.plan}
    policy_classes = {row.name: row for row in policy.classes}
    _check_names("plan", plans, policy_plans)
    _check_names("class", classes, policy_classes)
    return replace(
        own,
        classes=tuple(
            _apply_class(policy_classes[name], row) for name, row in zip(classes, own.classes, strict=True)
        ),
        plans=tuple(_apply_plan(policy_plans[name], own.largest_request_units) for name in plans),
        max_attempts=policy.rules.max_attempts,
        retry_rate=policy.rules.retry_rate,
    )


def _check_names(table: str, own: Iterable[str], in_policy: Iterable[str]) -> None:
    if missing := sorted(set(own) - set(in_policy)):
        raise PolicyError(f"{table} '{missing[0]}' is served here and not in the policy")
    if unknown := sorted(set(in_policy) - set(own)):
        raise PolicyError(f"{table} '{unknown[0]}' is not served here")


def _apply_class(row: Class, own: RequestClass) -> RequestClass:
    latency_objective_us = int(row.latency_objective_ms * 1000)
    if latency_objective_us > own.deadline_us:
        raise PolicyError(f"class '{row.name}' has an aim past its time of {own.deadline_us // 1000} ms")
    return replace(own, latency_objective_us=latency_objective_us, priority_weight=row.priority_weight)


def _apply_plan(row: Plan, largest_request_units: float) -> VolumePlan:
    if row.limit and row.burst + row.slack < largest_request_units:
        raise PolicyError(f"plan '{row.name}' could never send a request of {largest_request_units:g} units")
    return VolumePlan(row.base_rate, row.reserve, row.weight, row.limit, row.burst, row.slack)


def _stricter_limit(one: float, other: float) -> float:
    """The lower of two limits of which 0 is none."""
    return min(one, other) if one and other else one or other


def stricter(one: Policy, other: Policy) -> Policy:
    """A policy that keeps to both in everything that adds up over brokers; the rest is `other`'s."""
    rows = {row.name: row for row in one.plan}
    plans = []
    for row in other.plan:
        old = rows.get(row.name, row)
        limited = [plan for plan in (old, row) if plan.limit]
        plans.append(
            msgspec.structs.replace(
                row,
                limit=_stricter_limit(old.limit, row.limit),
                reserve=min(old.reserve, row.reserve),
                burst=min((plan.burst for plan in limited), default=0.0),
                slack=min((plan.slack for plan in limited), default=0.0),
            )
        )
    rules = Rules(
        max_attempts=min(one.rules.max_attempts, other.rules.max_attempts),
        retry_rate=_stricter_limit(one.rules.retry_rate, other.rules.retry_rate),
    )
    return msgspec.structs.replace(other, plan=tuple(plans), rules=rules)


def floor(own: Policy, fraction: float) -> Policy:
    """What a broker without a lease may decide by.

    A fraction of its own file's limits, which every policy contains (`check_floor`).
    """
    plans = tuple(msgspec.structs.replace(row, limit=row.limit * fraction, reserve=0.0) for row in own.plan)
    rules = Rules(max_attempts=1, retry_rate=own.rules.retry_rate * fraction)
    return msgspec.structs.replace(own, plan=plans, rules=rules)


def check_floor(policy: Policy, floor_policy: Policy) -> None:
    """Checks that a policy allows no less than a floor.

    A plan without a limit in the floor may have none in any policy: a broker that is cut off would otherwise
    exceed it.

    Raises:
        FloorError: The first figure that is under the floor.
    """
    rows = {row.name: row for row in policy.plan}
    for row in floor_policy.plan:
        other = rows.get(row.name)
        if other is None or not other.limit:
            continue
        if not row.limit:
            raise FloorError(f"plan '{row.name}' has no limit in the brokers' own file, so none can be set")
        for key in ("limit", "burst", "slack"):
            if getattr(other, key) < getattr(row, key) - FIGURE_TOLERANCE:
                raise FloorError(
                    f"plan '{row.name}': {key} {getattr(other, key):g} is under the floor of "
                    f"{getattr(row, key):g}"
                )
    rate, floor_rate = policy.rules.retry_rate, floor_policy.rules.retry_rate
    if rate and not floor_rate:
        raise FloorError("further_attempts have no budget in the brokers' own file, so none can be set")
    if rate and rate < floor_rate - FIGURE_TOLERANCE:
        raise FloorError(f"further_attempts {rate:g} are under the floor of {floor_rate:g}")


def difference(before: Policy, after: Policy) -> list[str]:
    """What differs, a line each, by the names of the document's keys."""
    lines = []
    for table, old, new in (("plan", before.plan, after.plan), ("class", before.classes, after.classes)):
        old_rows: dict[str, Struct] = {row.name: row for row in old}
        new_rows: dict[str, Struct] = {row.name: row for row in new}
        lines += [f"{table} {row}: gone" for row in old_rows if row not in new_rows]
        lines += [f"{table} {row}: new" for row in new_rows if row not in old_rows]
        for row in (row for row in new_rows if row in old_rows):
            lines += _changed_figures(f"{table} {row}", old_rows[row], new_rows[row])
    return lines + _changed_figures("rules", before.rules, after.rules)


def _changed_figures(where: str, old: Struct, new: Struct) -> list[str]:
    fields = zip(new.__struct_fields__, new.__struct_encode_fields__, strict=True)
    return [
        f"{where}: {key} {getattr(old, field):g} -> {getattr(new, field):g}"
        for field, key in fields
        if key != "name" and getattr(old, field) != getattr(new, field)
    ]
