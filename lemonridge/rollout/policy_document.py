"""The policy as a thing: a numbered, hashed, self-contained document, whole checks, and what differs. Pure.

Policy is what all brokers of a fleet must decide by alike: the plans with their limits and shares, the
classes' aims and worths, and the rules on attempts. Where a broker listens, its nodes, its limits on memory
and sockets are the machine's own. The document is JSON in one form only (sorted keys, no spaces), so that
equal policies have equal bytes; its name is the BLAKE2s of those.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import replace
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from lemonridge.scheduling.settings import Settings, VolumePlan

VALUE_MAX = 24_576  # bytes of a state: what is voted on, told and kept
PLANS_MAX, CLASSES_MAX = 64, 32
VOTERS_MAX = 5  # more make no change safer against two that die
HISTORY_MAX = 16  # changes that are remembered by a line each
NOTE_MAX = 120  # characters

Figure = Annotated[float, Meta(ge=0, lt=1e9)]
Name = Annotated[str, Meta(min_length=1, max_length=40)]


class Plan(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One plan, in units (a second) of a volume over all brokers; a limit of 0 is none."""

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
    rename={"priority_weight": "worth"},
):
    """One class: when an answer is wanted, and what a unit of it is worth."""

    name: Name
    aim_ms: Annotated[float, Meta(gt=0, le=3_600_000)]
    priority_weight: Figure = 1.0


class Rules(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What holds for all requests; `further_attempts` are a second, of all brokers, 0 where not counted."""

    max_attempts: Annotated[int, Meta(ge=1, le=4)] = 4
    further_attempts: Figure = 0.0


class Policy(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, rename={"classes": "class"}):
    """What all brokers decide by."""

    plan: Annotated[tuple[Plan, ...], Meta(min_length=1, max_length=PLANS_MAX)]
    classes: Annotated[tuple[Class, ...], Meta(min_length=1, max_length=CLASSES_MAX)]
    rules: Rules = Rules()

    def __post_init__(self) -> None:
        for what, rows in (("plan", self.plan), ("class", self.classes)):
            told = [row.name for row in rows]
            if len(set(told)) != len(told):
                raise ValueError(f"two of '{what}' have one name")


class PolicyState(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What is decided at an epoch, all of it: so the newest alone has to be kept and learnt.

    `prior` names the state before it; `voters` are the identities of those who vote on the next.
    """

    epoch: Annotated[int, Meta(ge=0, lt=2**31)]
    prior: str
    voters: dict[str, int]
    policy: Policy
    floor: Policy  # what a broker without a lease goes by: every policy contains it
    by: str = ""
    note: Annotated[str, Meta(max_length=NOTE_MAX)] = ""
    kind: Literal["policy", "voter", "emergency"] = "policy"
    history: tuple[str, ...] = ()


class PolicyError(ValueError):
    """A policy or a state that cannot be used; the text is fit to print."""


def encode(state: PolicyState) -> bytes:
    """The bytes that are voted on; PolicyError where they are too many, or break the schema."""
    try:  # read back once: a whole number where a figure stands is another form of the same
        again = msgspec.json.decode(msgspec.json.encode(state), type=PolicyState)
        data = msgspec.json.encode(again, order="sorted")
    except (msgspec.DecodeError, ValueError) as error:
        raise PolicyError(str(error)) from None
    if len(data) > VALUE_MAX:
        raise PolicyError(f"the policy takes {len(data)} bytes, {VALUE_MAX} are allowed")
    return data


def decode(data: bytes) -> PolicyState:
    """The state of some bytes, which must be in the one form."""
    if len(data) > VALUE_MAX:
        raise PolicyError("too long")
    try:
        state = msgspec.json.decode(data, type=PolicyState)
    except (msgspec.DecodeError, ValueError) as error:
        raise PolicyError(str(error)) from None
    if encode(state) != data:
        raise PolicyError("not in the one form")
    return state


def name(data: bytes) -> bytes:
    """Eight bytes by which a state is known: BLAKE2s (RFC 7693) of it."""
    return hashlib.blake2s(data, digest_size=8).digest()


def policy_of(values: Any) -> Policy:
    """The policy of a TOML file's tables; PolicyError names the key."""
    try:
        return msgspec.convert(values, Policy, strict=False)
    except (msgspec.ValidationError, ValueError) as error:
        raise PolicyError(str(error)) from None


def successor(before: PolicyState, policy: Policy, by: str, note: str) -> PolicyState:
    """The state after a change of policy."""
    line = f"{before.epoch + 1} {by}: {note}"[: NOTE_MAX + 60]
    return PolicyState(
        epoch=before.epoch + 1,
        prior=name(encode(before)).hex(),
        voters=before.voters,
        policy=policy,
        floor=before.floor,
        by=by,
        note=note[:NOTE_MAX],
        history=(*before.history, line)[-HISTORY_MAX:],
    )


def admitted(before: PolicyState, voter: str, ident: int, by: str) -> PolicyState:
    """The state after a member was let in, for the first time or with a new store: it votes from the next
    change on.
    """
    how = "with a new store" if voter in before.voters else "from now on"
    made = successor(before, before.policy, by, f"{voter} votes {how}")
    return msgspec.structs.replace(made, voters={**before.voters, voter: ident}, kind="voter")


def retired(before: PolicyState, voter: str, by: str) -> PolicyState:
    """The state after a voter votes no longer."""
    made = successor(before, before.policy, by, f"{voter} votes no longer")
    voters = {told: ident for told, ident in before.voters.items() if told != voter}
    return msgspec.structs.replace(made, voters=voters, kind="voter")


def forced(before: PolicyState, epoch: int, voters: dict[str, int], by: str, note: str) -> PolicyState:
    """The state of an emergency call: the policy as it was, with other voters, which no majority decided."""
    made = successor(before, before.policy, by, note)
    line = f"{epoch} {by}: EMERGENCY, only {', '.join(voters)}: {note}"[: NOTE_MAX + 60]
    return msgspec.structs.replace(
        made, epoch=epoch, voters=voters, kind="emergency", history=(*before.history, line)[-HISTORY_MAX:]
    )


def stepped(before: PolicyState, after: PolicyState, members: Iterable[str]) -> str:
    """Why who votes may not change so, or nothing: by one voter at a time, who is a member, and never to
    none.
    """
    pairs = set(before.voters.items()) ^ set(after.voters.items())
    if len({told for told, _ in pairs}) > 1:
        return "more than one voter changes at once"
    if not after.voters or len(after.voters) > VOTERS_MAX:
        return f"1 to {VOTERS_MAX} vote"
    if strange := sorted(set(after.voters) - set(members)):
        return f"'{strange[0]}' is no member here"
    return ""


# What a broker's own file says, and what it makes of a policy


def plan_of(name: str, row: VolumePlan) -> Plan:
    """A plan as the decisions know it."""
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
    """The policy in a broker's settings."""
    return Policy(
        plan=tuple(map(plan_of, plans, settings.plans)),
        classes=tuple(
            Class(
                name=label,
                aim_ms=row.latency_objective_us / 1000,
                priority_weight=row.priority_weight,
            )
            for label, row in zip(classes, settings.classes, strict=True)
        ),
        rules=Rules(max_attempts=settings.max_attempts, further_attempts=settings.retry_rate),
    )


def apply(policy: Policy, own: Settings, plans: Iterable[str], classes: Iterable[str]) -> Settings:
    """A broker's settings with a policy in force; PolicyError says why this broker cannot serve by it.

    The names and their order are the machine's own, since requests come by them.
    """
    plans, classes = tuple(plans), tuple(classes)
    told_plans = {row.name: row for row in policy.plan}
    told_classes = {row.name: row for row in policy.classes}
    for what, mine, told in (("plan", plans, told_plans), ("class", classes, told_classes)):
        if missing := sorted(set(mine) - set(told)):
            raise PolicyError(f"{what} '{missing[0]}' is served here and not in the policy")
        if unknown := sorted(set(told) - set(mine)):
            raise PolicyError(f"{what} '{unknown[0]}' is not served here")
    made_classes = []
    for label, row in zip(classes, own.classes, strict=True):
        latency_objective_us = int(told_classes[label].aim_ms * 1000)
        if latency_objective_us > row.deadline_us:
            raise PolicyError(f"class '{label}' has an aim past its time of {row.deadline_us // 1000} ms")
        made_classes.append(
            replace(
                row,
                latency_objective_us=latency_objective_us,
                priority_weight=told_classes[label].priority_weight,
            )
        )
    made_plans = tuple(
        VolumePlan(one.base_rate, one.reserve, one.weight, one.limit, one.burst, one.slack)
        for one in (told_plans[label] for label in plans)
    )
    for label, plan in zip(plans, made_plans, strict=True):
        if plan.limit and plan.burst + plan.slack < own.largest_request_units:
            raise PolicyError(
                f"plan '{label}' could never send a request of {own.largest_request_units:g} units"
            )
    return replace(
        own,
        classes=tuple(made_classes),
        plans=made_plans,
        max_attempts=policy.rules.max_attempts,
        retry_rate=policy.rules.further_attempts,
    )


def _least(one: float, other: float) -> float:
    """The stricter of two figures of which 0 is none."""
    return min(one, other) if one and other else one or other


def stricter(one: Policy, other: Policy) -> Policy:
    """A policy that keeps to both in everything that adds up over brokers; the rest is `other`'s."""
    before = {row.name: row for row in one.plan}
    plans = []
    for row in other.plan:
        old = before.get(row.name, row)
        limit = _least(old.limit, row.limit)
        lower = [plan for plan in (old, row) if plan.limit]
        plans.append(
            msgspec.structs.replace(
                row,
                limit=limit,
                reserve=min(old.reserve, row.reserve),
                burst=min((plan.burst for plan in lower), default=0.0),
                slack=min((plan.slack for plan in lower), default=0.0),
            )
        )
    rules = Rules(
        max_attempts=min(one.rules.max_attempts, other.rules.max_attempts),
        further_attempts=_least(one.rules.further_attempts, other.rules.further_attempts),
    )
    return msgspec.structs.replace(other, plan=tuple(plans), rules=rules)


def floor(own: Policy, part: float) -> Policy:
    """What a broker without a lease may go by: a part of what its file allows, which every policy contains
    (`contains`).
    """
    plans = tuple(msgspec.structs.replace(row, limit=row.limit * part, reserve=0.0) for row in own.plan)
    rules = Rules(max_attempts=1, further_attempts=own.rules.further_attempts * part)
    return msgspec.structs.replace(own, plan=plans, rules=rules)


def contains(policy: Policy, least: Policy) -> str:
    """Why a policy allows less than a floor, or nothing. A plan without a limit in the floor may have none
    in any policy: a broker that is cut off would else go past it.
    """
    told = {row.name: row for row in policy.plan}
    for row in least.plan:
        other = told.get(row.name)
        if other is None or not other.limit:
            continue
        if not row.limit:
            return f"plan '{row.name}' has no limit in the brokers' own file, so none can be set"
        for what in ("limit", "burst", "slack"):
            if getattr(other, what) < getattr(row, what) - 1e-9:
                return (
                    f"plan '{row.name}': {what} {getattr(other, what):g} is under the floor of "
                    f"{getattr(row, what):g}"
                )
    further = policy.rules.further_attempts
    if further and not least.rules.further_attempts:
        return "further_attempts have no budget in the brokers' own file, so none can be set"
    if further and further < least.rules.further_attempts - 1e-9:
        return f"further_attempts {further:g} are under the floor of {least.rules.further_attempts:g}"
    return ""


def difference(before: Policy, after: Policy) -> list[str]:
    """What differs, a line each, as people read it."""
    lines = []
    for what, old, new in (("plan", before.plan, after.plan), ("class", before.classes, after.classes)):
        olds: dict[str, Any] = {row.name: row for row in old}
        news: dict[str, Any] = {row.name: row for row in new}
        lines += [f"{what} {told}: gone" for told in olds if told not in news]
        lines += [f"{what} {told}: new" for told in news if told not in olds]
        for told in (told for told in news if told in olds):
            fields = zip(news[told].__struct_fields__, news[told].__struct_encode_fields__, strict=True)
            lines += [
                f"{what} {told}: {label} {getattr(olds[told], key):g} -> {getattr(news[told], key):g}"
                for key, label in fields
                if key != "name" and getattr(olds[told], key) != getattr(news[told], key)
            ]
    lines += [
        f"rules: {key} {getattr(before.rules, key):g} -> {getattr(after.rules, key):g}"
        for key in after.rules.__struct_fields__
        if getattr(before.rules, key) != getattr(after.rules, key)
    ]
    return lines
