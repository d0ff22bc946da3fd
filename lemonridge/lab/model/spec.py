"""Scenarios: what is modelled, as one schema (msgspec); a TOML file holds one, and an experiment varies
it.
"""

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
REQUESTS_MAX = 20_000_000  # of one run: past it the file is refused rather than the memory filled


class ClassSpec(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    rename={"priority_weight": "worth"},
):
    """One class of request; `work_ms` is the mean time on a core of speed 1."""

    name: str
    share: Share
    work_ms: Positive
    aim_ms: Positive
    deadline_ms: Positive
    priority_weight: NonNegative = 1.0
    semantics: Literal["safe", "keyed", "once"] = "safe"
    new: bool = False  # may go to any node
    law: Literal["lognormal", "exponential", "fixed"] = "lognormal"  # of the work
    spread: Annotated[float, Meta(ge=0, le=4)] = 0.5  # sigma of the lognormal


class PlanSpec(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One plan: its part of the volumes, and figures a volume in units a second."""

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
    """Every node; its speed is drawn once, evenly."""

    count: Count
    replicas: Annotated[int, Meta(ge=1, le=16)] = 1  # nodes that hold the same shard
    cores: Annotated[int, Meta(ge=1, le=256)] = 2
    queue: Count = 60
    slowest: Positive = 0.85
    fastest: Positive = 1.7
    slow_start_initial_fraction: Annotated[float, Meta(gt=0, le=1)] = 0.2
    ramp_s: NonNegative = 17
    overload_multiple: Positive = 2.5
    fall_s: Positive = 1.0
    slow_start_units: NonNegative = 8.0
    pause_every_s: NonNegative = 0  # 0: it never pauses
    pause_ms: NonNegative = 20
    cached: Share = 0.0  # of requests that cost 60% less


class Fault(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Something that goes wrong from `at_s` on, for `for_s`."""

    kind: Literal["deaths", "deploy", "surge", "hot", "gray", "blackout", "loss", "restart", "hall", "heavy"]
    at_s: NonNegative
    for_s: Positive
    share: Share = 0.25  # of the nodes, brokers, volumes or requests that it meets
    times: Positive = 2.0  # of a surge, of hot volumes' traffic, of gray nodes' and heavy requests' work


class Scenario(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One modelled deployment and its day."""

    name: str = "scenario"
    seconds: Annotated[float, Meta(gt=0, le=3600)] = 20
    load: Annotated[float, Meta(gt=0, le=20)] = 0.7  # of what all nodes can do, warm
    brokers: Count = 4
    policy: Literal["module", "random", "round-robin", "least", "two-choices"] = "module"
    tick_us: Annotated[int, Meta(ge=0, le=100_000)] = 1000  # how long events gather before they are decided
    nodes: NodeSpec
    classes: Annotated[list[ClassSpec], Meta(min_length=1)]
    plans: Annotated[list[PlanSpec], Meta(min_length=1)]
    volumes: Count = 40
    hosts: Count = 2  # brokers that a volume works through
    lead: Share = 0.0  # part of its requests that come through one of them, the next after `lead_s`
    lead_s: Positive = 10.0
    delay_ms: tuple[NonNegative, NonNegative] = (0.2, 1.4)  # one way
    loss: Share = 0.0
    peers: bool = False  # brokers speak to each other
    message_ms: tuple[NonNegative, NonNegative] = (1.4, 35)  # one way, between brokers
    message_loss: Share = 0.0
    register_ms: tuple[NonNegative, NonNegative] = (500, 2500)  # until a broker hears of a change
    retries: Annotated[int, Meta(ge=0, le=5)] = 1  # of a client
    retry_ms: NonNegative = 300
    troubles: list[Fault] = field(default_factory=list)

    def __post_init__(self) -> None:
        if self.hosts > self.brokers:
            raise ValueError("hosts: a volume cannot work through more brokers than there are")
        if self.nodes.replicas > self.nodes.count or self.nodes.slowest > self.nodes.fastest:
            raise ValueError("nodes: replicas or speeds are impossible")
        for name, specs in (("classes", self.classes), ("plans", self.plans)):
            if not 0.999 < sum(spec.share for spec in specs) < 1.001:
                raise ValueError(f"{name}: the shares add up to {sum(spec.share for spec in specs):g}, not 1")
        if self.rate() * self.seconds > REQUESTS_MAX:
            raise ValueError(f"seconds: {self.rate() * self.seconds:.0f} requests are too many for one run")

    def power(self) -> float:
        """Seconds of work that all nodes do in a second, warm, by the mean speed."""
        return self.nodes.count * self.nodes.cores * (self.nodes.slowest + self.nodes.fastest) / 2

    def work_s(self) -> float:
        """The mean work of a request."""
        return sum(row.share * row.work_ms for row in self.classes) / 1000

    def rate(self) -> float:
        """Requests a second."""
        return self.load * self.power() / self.work_s()


class Experiment(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A scenario, what is varied in it, and how often each is run."""

    scenario: dict[str, Any]
    factors: dict[str, list[Any]] = {}  # key path -> levels; every combination is run
    seeds: Annotated[int, Meta(ge=1, le=10_000)] = 3
    seed_base: int = 1


def read_scenario(values: dict[str, Any], path: str = "") -> Scenario:
    """ConfigError names the key by its path."""
    try:
        return msgspec.convert(values, Scenario)
    except msgspec.ValidationError as error:
        raise ConfigError(format_validation_error(str(error), path)) from None


def load_experiment(path: str) -> Experiment:
    """Read an experiment's file; every combination of its factors is checked before any is run."""
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
    """Every combination of the factors' levels, in the order of the file."""
    made: list[dict[str, Any]] = [{}]
    for name, levels in experiment.factors.items():
        made = [{**one, name: level} for one in made for level in levels]
    return made


def vary(scenario: dict[str, Any], levels: dict[str, Any]) -> dict[str, Any]:
    """A scenario with some keys, given by their paths, set to other values."""
    varied = msgspec.json.decode(msgspec.json.encode(scenario))
    for path, level in levels.items():
        *tables, key = path.split(".")
        table = varied
        for name in tables:
            table = table.setdefault(name, {})
        table[key] = level
    return dict(varied)
