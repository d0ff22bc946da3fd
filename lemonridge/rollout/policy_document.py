"""The fleet's policy as a versioned, hashed, self-contained document, with its checks and diffs. Pure.

The policy holds the settings that must be the same at all brokers of a fleet: the plans with their limits and
quotas, the latency objectives and priority weights of the classes, and the rules on attempts. The listen
addresses, the endpoints and the limits on memory and sockets belong to each machine. The document is JSON in
a canonical form (sorted keys, no spaces), so that equal policies have equal bytes. Its digest is the BLAKE2s
hash of these bytes.

The keys of the document are those of the operators' files; a field with another name maps to its key by
`rename`.
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

STATE_BYTES_MAX = 24_576  # maximum size of an encoded state, which is voted on, transferred and stored
PLANS_MAX, CLASSES_MAX = 64, 32
VOTERS_MAX = 5  # five voters tolerate two failures; more would only slow down decisions
HISTORY_MAX = 16  # newest changes in the history, one line each
NOTE_CHARACTERS_MAX = 120
HISTORY_PREFIX_CHARACTERS_MAX = 60  # of a history line, before its note
ROUNDING_TOLERANCE = 1e-9  # a value below the floor by no more than this is a rounding error

NonNegativeFloat = Annotated[float, Meta(ge=0, lt=1e9)]
Name = Annotated[str, Meta(min_length=1, max_length=40)]


class Plan(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The limits of a plan's volumes over all brokers, in request units (per second).

    A `limit` of 0 means no limit.
    """

    name: Name
    base_rate: NonNegativeFloat = 0.0
    reserve: NonNegativeFloat = 0.0
    weight: NonNegativeFloat = 1.0
    limit: NonNegativeFloat = 0.0
    burst: NonNegativeFloat = 0.0
    slack: NonNegativeFloat = 0.0


class Class(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    rename={"latency_objective_ms": "aim_ms", "priority_weight": "worth"},
):
    """One request class: its latency objective, and the priority weight of a request unit."""

    name: Name
    latency_objective_ms: Annotated[float, Meta(gt=0, le=3_600_000)]
    priority_weight: NonNegativeFloat = 1.0


class Rules(
    Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, rename={"retry_rate": "further_attempts"}
):
    """The rules for all requests.

    `retry_rate` is the number of retries per second over all brokers; 0 means that there is no retry budget,
    so the rate is not limited.
    """

    max_attempts: Annotated[int, Meta(ge=1, le=4)] = 4
    retry_rate: NonNegativeFloat = 0.0


class Policy(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, rename={"classes": "class"}):
    """The settings that all brokers decide by: plans, classes and rules."""

    plan: Annotated[tuple[Plan, ...], Meta(min_length=1, max_length=PLANS_MAX)]
    classes: Annotated[tuple[Class, ...], Meta(min_length=1, max_length=CLASSES_MAX)]
    rules: Rules = Rules()

    def __post_init__(self) -> None:
        for table, entries in (("plan", self.plan), ("class", self.classes)):
            names = [entry.name for entry in entries]
            if len(set(names)) != len(names):
                raise ValueError(f"two of '{table}' have one name")


class PolicyState(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    rename={"previous_digest": "prior", "author": "by"},
):
    """The complete state decided at an epoch, so that only the newest state is stored and transferred.

    Attributes:
        epoch: The epoch, which is the slot of the decision.
        previous_digest: The digest of the previous state, in hexadecimal.
        voters: The store ids of the voters on the next state, by member name.
        policy: The policy in force.
        floor: The policy of brokers without a lease. Every policy must allow at least as much.
        author: The member that proposed the state.
        note: The operator's note on the change.
        kind: What the change is about.
        history: The newest changes, one line each.
    """

    epoch: Annotated[int, Meta(ge=0, lt=2**31)]
    previous_digest: str
    voters: dict[str, int]
    policy: Policy
    floor: Policy
    author: str = ""
    note: Annotated[str, Meta(max_length=NOTE_CHARACTERS_MAX)] = ""
    kind: Literal["policy", "voter", "emergency"] = "policy"
    history: tuple[str, ...] = ()


def encode(state: PolicyState) -> bytes:
    """Encodes a state in the canonical form, which is voted on.

    Raises:
        PolicyError: The encoded state is too long or violates the schema.
    """
    try:  # decoding turns integers in float fields into floats, which are encoded differently
        canonical = msgspec.json.decode(msgspec.json.encode(state), type=PolicyState)
        data = msgspec.json.encode(canonical, order="sorted")
    except (msgspec.DecodeError, ValueError) as error:
        raise PolicyError(str(error)) from None
    if len(data) > STATE_BYTES_MAX:
        raise PolicyError(f"the policy takes {len(data)} bytes, {STATE_BYTES_MAX} are allowed")
    return data


def decode(data: bytes) -> PolicyState:
    """Decodes a state.

    Raises:
        PolicyError: The data is too long, violates the schema, or is not in the canonical form.
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
    """Returns the BLAKE2s hash (RFC 7693), 8 bytes long, that identifies an encoded state."""
    return hashlib.blake2s(data, digest_size=8).digest()


def parse_policy(tables: Any) -> Policy:
    """Converts the tables of a TOML file or the JSON of an admin call to a policy.

    Raises:
        PolicyError: The tables violate the schema; the text names the key.
    """
    try:
        return msgspec.convert(tables, Policy, strict=False)
    except (msgspec.ValidationError, ValueError) as error:
        raise PolicyError(str(error)) from None


def next_state(previous: PolicyState, policy: Policy, author: str, note: str) -> PolicyState:
    """Returns the state after a change of policy."""
    line = f"{previous.epoch + 1} {author}: {note}"[: NOTE_CHARACTERS_MAX + HISTORY_PREFIX_CHARACTERS_MAX]
    return PolicyState(
        epoch=previous.epoch + 1,
        previous_digest=digest(encode(previous)).hex(),
        voters=previous.voters,
        policy=policy,
        floor=previous.floor,
        author=author,
        note=note[:NOTE_CHARACTERS_MAX],
        history=(*previous.history, line)[-HISTORY_MAX:],
    )


def state_with_voter(previous: PolicyState, voter: str, store_id: int, author: str) -> PolicyState:
    """Returns the state after a member was admitted, either as a new voter or with a new store.

    The member votes from the next change on.
    """
    manner = "with a new store" if voter in previous.voters else "from now on"
    state = next_state(previous, previous.policy, author, f"{voter} votes {manner}")
    return msgspec.structs.replace(state, voters={**previous.voters, voter: store_id}, kind="voter")


def state_without_voter(previous: PolicyState, voter: str, author: str) -> PolicyState:
    """Returns the state after a voter was retired."""
    state = next_state(previous, previous.policy, author, f"{voter} votes no longer")
    voters = {name: store_id for name, store_id in previous.voters.items() if name != voter}
    return msgspec.structs.replace(state, voters=voters, kind="voter")


def emergency_state(
    previous: PolicyState, epoch: int, voters: dict[str, int], author: str, note: str
) -> PolicyState:
    """Returns the state of an emergency call, which no majority decides.

    It has the same policy and other voters.
    """
    state = next_state(previous, previous.policy, author, note)
    line = f"{epoch} {author}: EMERGENCY, only {', '.join(voters)}: {note}"
    line = line[: NOTE_CHARACTERS_MAX + HISTORY_PREFIX_CHARACTERS_MAX]
    return msgspec.structs.replace(
        state, epoch=epoch, voters=voters, kind="emergency", history=(*previous.history, line)[-HISTORY_MAX:]
    )


def check_voter_change(previous: PolicyState, new: PolicyState, members: Iterable[str]) -> None:
    """Checks that at most one voter changes, and that there are 1 to VOTERS_MAX voters, all of them members.

    Raises:
        VoterChangeError: The voters of `new` may not follow those of `previous`.
    """
    changed_voters = set(previous.voters.items()) ^ set(new.voters.items())
    if len({voter for voter, _ in changed_voters}) > 1:
        raise VoterChangeError("more than one voter changes at once")
    if not new.voters or len(new.voters) > VOTERS_MAX:
        raise VoterChangeError(f"1 to {VOTERS_MAX} vote")
    if unknown := sorted(set(new.voters) - set(members)):
        raise VoterChangeError(f"'{unknown[0]}' is no member here")


def plan_from_volume_plan(name: str, volume_plan: VolumePlan) -> Plan:
    """Converts a plan of the scheduler's settings to a plan of the document."""
    return Plan(
        name=name,
        base_rate=volume_plan.base_rate,
        reserve=volume_plan.reserve,
        weight=volume_plan.weight,
        limit=volume_plan.limit,
        burst=volume_plan.burst,
        slack=volume_plan.slack,
    )


def policy_from_settings(settings: Settings, plans: Iterable[str], classes: Iterable[str]) -> Policy:
    """Returns the policy in a broker's settings; `plans` and `classes` are the names, in order."""
    return Policy(
        plan=tuple(map(plan_from_volume_plan, plans, settings.plans)),
        classes=tuple(
            Class(
                name=name,
                latency_objective_ms=request_class.latency_objective_us / 1000,
                priority_weight=request_class.priority_weight,
            )
            for name, request_class in zip(classes, settings.classes, strict=True)
        ),
        rules=Rules(max_attempts=settings.max_attempts, retry_rate=settings.retry_rate),
    )


def apply(policy: Policy, local_settings: Settings, plans: Iterable[str], classes: Iterable[str]) -> Settings:
    """Returns a broker's own settings with the values of a policy.

    The names of plans and classes and their order stay those of the broker, since its requests refer to them
    by index.

    Raises:
        PolicyError: This broker cannot apply the policy.
    """
    plans, classes = tuple(plans), tuple(classes)
    policy_plans = {plan.name: plan for plan in policy.plan}
    policy_classes = {policy_class.name: policy_class for policy_class in policy.classes}
    _check_names("plan", plans, policy_plans)
    _check_names("class", classes, policy_classes)
    return replace(
        local_settings,
        classes=tuple(
            _apply_class(policy_classes[name], local_class)
            for name, local_class in zip(classes, local_settings.classes, strict=True)
        ),
        plans=tuple(_apply_plan(policy_plans[name], local_settings.largest_request_units) for name in plans),
        max_attempts=policy.rules.max_attempts,
        retry_rate=policy.rules.retry_rate,
    )


def _check_names(table: str, local_names: Iterable[str], policy_names: Iterable[str]) -> None:
    """Checks that a table of the policy has exactly the names that this broker serves."""
    if missing := sorted(set(local_names) - set(policy_names)):
        raise PolicyError(f"{table} '{missing[0]}' is served here and not in the policy")
    if unknown := sorted(set(policy_names) - set(local_names)):
        raise PolicyError(f"{table} '{unknown[0]}' is not served here")


def _apply_class(policy_class: Class, local_class: RequestClass) -> RequestClass:
    latency_objective_us = int(policy_class.latency_objective_ms * 1000)
    if latency_objective_us > local_class.deadline_us:
        raise PolicyError(
            f"class '{policy_class.name}' has an aim past its time of {local_class.deadline_us // 1000} ms"
        )
    return replace(
        local_class, latency_objective_us=latency_objective_us, priority_weight=policy_class.priority_weight
    )


def _apply_plan(plan: Plan, largest_request_units: float) -> VolumePlan:
    if plan.limit and plan.burst + plan.slack < largest_request_units:
        raise PolicyError(f"plan '{plan.name}' could never send a request of {largest_request_units:g} units")
    return VolumePlan(plan.base_rate, plan.reserve, plan.weight, plan.limit, plan.burst, plan.slack)


def _stricter_limit(first: float, second: float) -> float:
    """Returns the lower of two limits, where 0 means no limit."""
    return min(first, second) if first and second else first or second


def stricter(previous: Policy, current: Policy) -> Policy:
    """Returns a policy that complies with both in all limits that add up over the brokers.

    All other values are those of `current`.
    """
    previous_plans = {plan.name: plan for plan in previous.plan}
    plans = []
    for plan in current.plan:
        previous_plan = previous_plans.get(plan.name, plan)
        limited = [candidate for candidate in (previous_plan, plan) if candidate.limit]
        plans.append(
            msgspec.structs.replace(
                plan,
                limit=_stricter_limit(previous_plan.limit, plan.limit),
                reserve=min(previous_plan.reserve, plan.reserve),
                burst=min((candidate.burst for candidate in limited), default=0.0),
                slack=min((candidate.slack for candidate in limited), default=0.0),
            )
        )
    rules = Rules(
        max_attempts=min(previous.rules.max_attempts, current.rules.max_attempts),
        retry_rate=_stricter_limit(previous.rules.retry_rate, current.rules.retry_rate),
    )
    return msgspec.structs.replace(current, plan=tuple(plans), rules=rules)


def floor(local_policy: Policy, fraction: float) -> Policy:
    """Returns the policy of a broker without a lease.

    Its limits are a fraction of those in the broker's own file. Every policy must allow at least as much
    (`check_floor`).
    """
    plans = tuple(
        msgspec.structs.replace(plan, limit=plan.limit * fraction, reserve=0.0) for plan in local_policy.plan
    )
    rules = Rules(max_attempts=1, retry_rate=local_policy.rules.retry_rate * fraction)
    return msgspec.structs.replace(local_policy, plan=plans, rules=rules)


def check_floor(policy: Policy, floor_policy: Policy) -> None:
    """Checks that a policy allows no less than a floor.

    A plan without a limit in the floor must have no limit in any policy, since a partitioned broker, which
    uses the floor, would exceed it.

    Raises:
        FloorError: A value is below the floor; the text names the first one.
    """
    plans = {plan.name: plan for plan in policy.plan}
    for floor_plan in floor_policy.plan:
        plan = plans.get(floor_plan.name)
        if plan is None or not plan.limit:
            continue
        if not floor_plan.limit:
            raise FloorError(
                f"plan '{floor_plan.name}' has no limit in the brokers' own file, so none can be set"
            )
        for key in ("limit", "burst", "slack"):
            if getattr(plan, key) < getattr(floor_plan, key) - ROUNDING_TOLERANCE:
                raise FloorError(
                    f"plan '{floor_plan.name}': {key} {getattr(plan, key):g} is under the floor of "
                    f"{getattr(floor_plan, key):g}"
                )
    rate, floor_rate = policy.rules.retry_rate, floor_policy.rules.retry_rate
    if rate and not floor_rate:
        raise FloorError("further_attempts have no budget in the brokers' own file, so none can be set")
    if rate and rate < floor_rate - ROUNDING_TOLERANCE:
        raise FloorError(f"further_attempts {rate:g} are under the floor of {floor_rate:g}")


def difference(before: Policy, after: Policy) -> list[str]:
    """Lists the differences between two policies, one line each, by the keys of the document."""
    lines = []
    for table, old, new in (("plan", before.plan, after.plan), ("class", before.classes, after.classes)):
        old_entries: dict[str, Struct] = {entry.name: entry for entry in old}
        new_entries: dict[str, Struct] = {entry.name: entry for entry in new}
        lines += [f"{table} {name}: gone" for name in old_entries if name not in new_entries]
        lines += [f"{table} {name}: new" for name in new_entries if name not in old_entries]
        for name in (name for name in new_entries if name in old_entries):
            lines += _changed_fields(f"{table} {name}", old_entries[name], new_entries[name])
    return lines + _changed_fields("rules", before.rules, after.rules)


def _changed_fields(entry_label: str, old: Struct, new: Struct) -> list[str]:
    fields = zip(new.__struct_fields__, new.__struct_encode_fields__, strict=True)
    return [
        f"{entry_label}: {key} {getattr(old, field):g} -> {getattr(new, field):g}"
        for field, key in fields
        if key != "name" and getattr(old, field) != getattr(new, field)
    ]
