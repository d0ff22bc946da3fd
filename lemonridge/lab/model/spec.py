"""The schema (msgspec) of scenarios, and of experiments in TOML files that vary a scenario."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from lemonridge.config.errors import ConfigError
from lemonridge.config.operator_schema import format_validation_error

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0, lt=1e9)]
NonNegative = Annotated[float, Meta(ge=0, lt=1e9)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
REQUESTS_MAX = 20_000_000  # limit of one run; more requests could exhaust the memory


class ClassSpec(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    rename={"priority_weight": "worth"},
):
    """One request class.

    Attributes:
        name: Name of the class.
        share: Fraction of all requests.
        work_ms: Mean duration on a core of speed 1, in milliseconds.
        aim_ms: Latency objective.
        deadline_ms: Deadline of each try.
        priority_weight: Weight of the class in the service (`worth`).
        semantics: `safe` (idempotent), `keyed` (with an idempotency key) or `once` (not idempotent).
        new: Whether the requests may go to any node.
        law: Distribution of the work.
        spread: Sigma of the lognormal distribution.
    """

    name: str
    share: Share
    work_ms: Positive
    aim_ms: Positive
    deadline_ms: Positive
    priority_weight: NonNegative = 1.0
    semantics: Literal["safe", "keyed", "once"] = "safe"
    new: bool = False
    law: Literal["lognormal", "exponential", "fixed"] = "lognormal"
    spread: Annotated[float, Meta(ge=0, le=4)] = 0.5


class PlanSpec(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One plan; rates are in units per second and volume.

    Attributes:
        name: Name of the plan.
        share: Fraction of the volumes.
        rate: Base rate, which also weighs the volume's share of the load.
        reserve: Reservation.
        weight: Weight.
        limit: Limit; 0 for none.
    """

    name: str
    share: Share
    rate: Positive
    reserve: NonNegative = 0.0
    weight: NonNegative = 1.0
    limit: NonNegative = 0.0


class NodeSpec(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    rename={
        "slow_start_initial_fraction": "cold_share",
        "overload_multiple": "tip_multiple",
        "slow_start_units": "cold_units",
    },
):
    """The nodes.

    Attributes:
        count: Number of nodes.
        replicas: Number of nodes that hold the same shard.
        cores: Cores of each node.
        queue: Length of each node's queue.
        slowest: Lowest speed; the speed of each node is drawn evenly between the two.
        fastest: Highest speed.
        slow_start_initial_fraction: Fraction of its full speed at which a cold node starts (`cold_share`).
        ramp_s: Seconds from a cold start to full speed.
        overload_multiple: A cold node crashes at this multiple of the work that it can do in `fall_s`
            (`tip_multiple`).
        fall_s: Period over which a cold node's load is summed, in seconds.
        slow_start_units: Units that a cold node may be sent at first (`cold_units`).
        pause_every_s: Mean time between pauses of a node, in seconds; 0 for none.
        pause_ms: Duration of a pause.
        cached: Fraction of requests whose work is 60% less.
    """

    count: Count
    replicas: Annotated[int, Meta(ge=1, le=16)] = 1
    cores: Annotated[int, Meta(ge=1, le=256)] = 2
    queue: Count = 60
    slowest: Positive = 0.85
    fastest: Positive = 1.7
    slow_start_initial_fraction: Annotated[float, Meta(gt=0, le=1)] = 0.2
    ramp_s: NonNegative = 17
    overload_multiple: Positive = 2.5
    fall_s: Positive = 1.0
    slow_start_units: NonNegative = 8.0
    pause_every_s: NonNegative = 0
    pause_ms: NonNegative = 20
    cached: Share = 0.0


class Fault(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One fault, which lasts from `at_s` for `for_s` seconds.

    Attributes:
        kind: Kind of fault: `deaths` and `deploy` (rolling) restart nodes, `surge` raises the load, `hot`
            raises that of some volumes, `gray` slows nodes down, `blackout` stops announcements of nodes,
            `loss` drops attempts, `restart` restarts brokers, `hall` separates the two halls, and `heavy`
            makes some requests costlier.
        at_s: Start in seconds.
        for_s: Duration in seconds.
        share: Fraction of the affected nodes, brokers, volumes, requests or attempts.
        times: Factor on the load (`surge`, `hot`) or on the work (`gray`, `heavy`).
    """

    kind: Literal["deaths", "deploy", "surge", "hot", "gray", "blackout", "loss", "restart", "hall", "heavy"]
    at_s: NonNegative
    for_s: Positive
    share: Share = 0.25
    times: Positive = 2.0


class Scenario(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One simulated deployment and its load.

    Attributes:
        name: Name of the scenario.
        seconds: Duration of the load.
        load: Offered load as a fraction of the capacity of all nodes when warm.
        brokers: Number of brokers.
        policy: Scheduler: `module` is the real one, the others are baselines.
        tick_us: Time for which a broker collects events before it decides them, in microseconds.
        nodes: The nodes.
        classes: Request classes; their shares sum to 1.
        plans: Plans; their shares sum to 1.
        volumes: Number of volumes.
        hosts: Number of brokers that each volume uses.
        lead: Fraction of a volume's requests that go to one of its brokers, which changes every `lead_s`.
        lead_s: Time until the next broker, in seconds.
        delay_ms: Shortest and longest one-way delay between brokers and nodes.
        loss: Fraction of lost attempts.
        peers: Whether the brokers exchange datagrams.
        message_ms: Shortest and longest one-way delay of datagrams between brokers.
        message_loss: Fraction of lost datagrams.
        register_ms: Shortest and longest delay until a broker learns of a change of the nodes.
        retries: Number of retries of a client.
        retry_ms: Shortest delay of a retry.
        troubles: Faults.
    """

    name: str = "scenario"
    seconds: Annotated[float, Meta(gt=0, le=3600)] = 20
    load: Annotated[float, Meta(gt=0, le=20)] = 0.7
    brokers: Count = 4
    policy: Literal["module", "random", "round-robin", "least", "two-choices"] = "module"
    tick_us: Annotated[int, Meta(ge=0, le=100_000)] = 1000
    nodes: NodeSpec
    classes: Annotated[list[ClassSpec], Meta(min_length=1)]
    plans: Annotated[list[PlanSpec], Meta(min_length=1)]
    volumes: Count = 40
    hosts: Count = 2
    lead: Share = 0.0
    lead_s: Positive = 10.0
    delay_ms: tuple[NonNegative, NonNegative] = (0.2, 1.4)
    loss: Share = 0.0
    peers: bool = False
    message_ms: tuple[NonNegative, NonNegative] = (1.4, 35)
    message_loss: Share = 0.0
    register_ms: tuple[NonNegative, NonNegative] = (500, 2500)
    retries: Annotated[int, Meta(ge=0, le=5)] = 1
    retry_ms: NonNegative = 300
    troubles: list[Fault] = field(default_factory=list)

    def __post_init__(self) -> None:
        if self.hosts > self.brokers:
            raise ValueError("hosts: a volume cannot use more brokers than there are")
        if self.nodes.replicas > self.nodes.count or self.nodes.slowest > self.nodes.fastest:
            raise ValueError("nodes: replicas must not exceed count, nor slowest fastest")
        for name, specs in (("classes", self.classes), ("plans", self.plans)):
            if not 0.999 < sum(spec.share for spec in specs) < 1.001:
                raise ValueError(f"{name}: the shares sum to {sum(spec.share for spec in specs):g}, not 1")
        if self.rate() * self.seconds > REQUESTS_MAX:
            raise ValueError(f"seconds: {self.rate() * self.seconds:.0f} requests are too many for one run")

    def power(self) -> float:
        """Returns the work that all warm nodes do in a second at the mean speed, in seconds of work."""
        return self.nodes.count * self.nodes.cores * (self.nodes.slowest + self.nodes.fastest) / 2

    def work_s(self) -> float:
        """Returns the mean work of a request, in seconds at speed 1."""
        return sum(spec.share * spec.work_ms for spec in self.classes) / 1000

    def rate(self) -> float:
        """Returns the load in requests per second."""
        return self.load * self.power() / self.work_s()


class Experiment(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A scenario, the factors that vary in it, and the number of runs of each combination.

    Attributes:
        scenario: The scenario, not converted yet.
        factors: Levels of each factor, by key path; every combination is run.
        seeds: Number of seeds of each combination.
        seed_base: First seed.
    """

    scenario: dict[str, Any]
    factors: dict[str, list[Any]] = {}
    seeds: Annotated[int, Meta(ge=1, le=10_000)] = 3
    seed_base: int = 1


def read_scenario(values: dict[str, Any], path: str = "") -> Scenario:
    """Returns a scenario.

    Args:
        values: The scenario's values.
        path: Path of the scenario in its file, for error messages.

    Raises:
        ConfigError: A value is invalid; the message names its path.
    """
    try:
        return msgspec.convert(values, Scenario)
    except msgspec.ValidationError as error:
        raise ConfigError(format_validation_error(str(error), path)) from None


def load_experiment(path: str) -> Experiment:
    """Reads an experiment's file and checks every combination of its factors.

    Raises:
        ConfigError: The file cannot be read or is invalid.
    """
    try:
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        experiment = msgspec.convert(values, Experiment)
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} is not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise ConfigError(format_validation_error(str(error))) from None
    for levels in combinations(experiment):
        read_scenario(vary(experiment.scenario, levels), "scenario")
    return experiment


def combinations(experiment: Experiment) -> list[dict[str, Any]]:
    """Returns every combination of the factors' levels, in the order of the file."""
    combined: list[dict[str, Any]] = [{}]
    for name, levels in experiment.factors.items():
        combined = [{**partial, name: level} for partial in combined for level in levels]
    return combined


def vary(scenario: dict[str, Any], levels: dict[str, Any]) -> dict[str, Any]:
    """Returns a copy of a scenario in which the keys at some paths have other values."""
    varied = msgspec.json.decode(msgspec.json.encode(scenario))
    for path, level in levels.items():
        *tables, key = path.split(".")
        table = varied
        for name in tables:
            table = table.setdefault(name, {})
        table[key] = level
    return dict(varied)
