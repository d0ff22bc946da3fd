"""What goes wrong in a fleet, and when: a schedule, drawn from a seed or read from TOML by this schema.

A schedule that was drawn can be written as TOML and played again: with its seed it is all that a drill needs.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from lemonridge.config.errors import ConfigError
from lemonridge.config.operator_schema import format_validation_error

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Index = Annotated[int, Meta(ge=0, lt=256)]
FaultKind = Literal[
    "cut",
    "one-way",
    "split",
    "loss",
    "delay",
    "double",
    "reorder",
    "corrupt",
    "kill",
    "stop",
    "late",
    "node-death",
    "node-drain",
    "node-bad",
]
GAP_S = 0.5  # between two faults of one process
THIN: tuple[FaultKind, ...] = ("loss", "delay", "double", "reorder", "corrupt", "cut")
ALONE = ("kill", "stop", "late", "node-death", "node-drain", "node-bad")
LINKS = ("cut", "one-way", "split", "loss", "delay", "double", "reorder", "corrupt")


class Fault(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Something that is wrong from `at_s` on, for `for_s`.

    `brokers` are those that it meets: of a cut, loss and the like every stretch between one of them and one
    of `to` (all others, where that is empty); `one-way` only from the first to the second. A broker that is
    killed starts again under its name when the time is over, one that is stopped goes on, one that is late
    starts only then. `nodes` are the disk nodes that die and come back cold, are drained, or answer a `share`
    of what they run with errors.
    """

    kind: FaultKind
    at_s: Seconds
    for_s: Seconds
    brokers: tuple[Index, ...] = ()
    to: tuple[Index, ...] = ()
    nodes: tuple[Index, ...] = ()
    share: Share = 0.0
    ms: tuple[float, float] = (0.0, 0.0)


class Schedule(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """All of a drill's faults; by `calm_s` every one of them is over."""

    brokers: Annotated[int, Meta(ge=2, le=64)]
    nodes: Annotated[int, Meta(ge=1, le=64)]
    seconds: Annotated[float, Meta(gt=0, le=3600)]
    calm_s: Seconds
    fault: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        for number, one in enumerate(self.fault):
            if one.at_s + one.for_s > self.calm_s + 1e-9:
                raise ValueError(f"fault[{number}] goes on past calm_s")
            if any(broker >= self.brokers for broker in (*one.brokers, *one.to)):
                raise ValueError(f"fault[{number}] names a broker that is not there")
            if any(node >= self.nodes for node in one.nodes):
                raise ValueError(f"fault[{number}] names a node that is not there")

    def affected_links(self, one: Fault) -> list[tuple[int, int]]:
        """The ordered pairs of brokers whose stretch a fault of the links meets."""
        to = one.to or tuple(n for n in range(self.brokers) if n not in one.brokers)
        there = [(i, j) for i in one.brokers for j in to if i != j]
        return there if one.kind == "one-way" else [*there, *((j, i) for i, j in there)]


def read_schedule(path: str) -> Schedule:
    """A schedule of a TOML file; ConfigError names the key."""
    try:
        return parse_schedule(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} is not TOML: {error}") from None


def parse_schedule(values: Any) -> Schedule:
    try:
        return msgspec.convert(values, Schedule, strict=False)
    except msgspec.ValidationError as error:
        raise ConfigError(format_validation_error(str(error))) from None


def format_schedule(schedule: Schedule) -> str:
    """The schedule as TOML, which `parse` reads back alike."""
    lines = [f"{name} = {getattr(schedule, name)}" for name in ("brokers", "nodes", "seconds", "calm_s")]
    for one in schedule.fault:
        lines += ["", "[[fault]]", f'kind = "{one.kind}"']
        for name in ("at_s", "for_s", "brokers", "to", "nodes", "share", "ms"):
            value = getattr(one, name)
            lines.append(f"{name} = {list(value) if isinstance(value, tuple) else value}")
    return "\n".join(lines) + "\n"


def draw_schedule(seed: int, seconds: float, brokers: int, nodes: int) -> Schedule:
    """Overlapping faults over all but the last part of the time: at least one split of a minority from the
    majority, one one-way cut, one stop that goes on, two kills with a restart, nodes that die and come back
    cold and one that is drained; and thinner faults of the links all the while.
    """
    random = Random(f"{seed}/schedule")
    calm = max(4.0, seconds - max(8.0, seconds * 0.3))
    everyone, small = list(range(brokers)), max(1, (brokers - 1) // 2)
    faults: list[Fault] = []

    def times(length: float) -> tuple[float, float]:
        length = round(min(length, calm - 1.0), 3)
        return round(random.uniform(0.8, calm - length), 3), length

    def link(kind: FaultKind, brokers: tuple[int, ...], shortest: float, longest: float, **more: Any) -> None:
        at_s, for_s = times(random.uniform(shortest, longest))
        faults.append(Fault(kind=kind, brokers=brokers, at_s=at_s, for_s=for_s, **more))

    def place(kind: FaultKind, who: str, count: int, shortest: float, longest: float, **more: Any) -> None:
        """One thing at a time for a process: it is drawn again until it finds room."""
        for _ in range(200):
            number, when = random.randrange(count), times(random.uniform(shortest, longest))
            if not any(
                one.at_s - GAP_S < when[0] + when[1] and when[0] < one.at_s + one.for_s + GAP_S
                for one in faults
                if number in getattr(one, who) and one.kind in ALONE
            ):
                break
        there: dict[str, Any] = {who: (number,), **more}
        faults.append(Fault(kind=kind, at_s=when[0], for_s=when[1], **there))

    for _ in range(max(1, int(seconds // 20))):
        place("stop", "brokers", brokers, 1.0, 3.0)
        place("kill", "brokers", brokers, 0.1, 2.0)
        place("kill", "brokers", brokers, 0.1, 2.0)
        place("node-death", "nodes", nodes, 0.5, 1.5)
        if nodes > 1:
            place("node-drain", "nodes", nodes, 1.0, 2.5)
        place("node-bad", "nodes", nodes, 3.0, 6.0, share=0.5)
        minority = tuple(sorted(random.sample(everyone, small)))
        link("split", minority, 1.5, 4.0)
        one, other = random.sample(everyone, 2)
        link("one-way", (one,), 1.0, 3.0, to=(other,))
        for kind in THIN:
            some = tuple(sorted(random.sample(everyone, random.randrange(1, brokers))))
            late = round(1.0 + random.choice((20.0, 100.0, 900.0, 2500.0)) * random.random(), 1)
            link(kind, some, 1.0, calm / 2, share=round(random.uniform(0.05, 0.5), 3), ms=(1.0, late))
    return Schedule(
        brokers=brokers,
        nodes=nodes,
        seconds=seconds,
        calm_s=calm,
        fault=tuple(sorted(faults, key=lambda one: one.at_s)),
    )
