"""The schedule of faults of a fleet drill: drawn from a seed, or read from TOML by this schema.

A drawn schedule can be written as TOML and run again: a drill needs only a schedule and its seed.
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
MIN_GAP_S = 0.5  # between two faults of one process
# Link faults that are drawn for the whole time, in addition to the other faults.
BACKGROUND_KINDS: tuple[FaultKind, ...] = ("loss", "delay", "double", "reorder", "corrupt", "cut")
# Faults of a process; two of the same process are drawn without overlap, as far as possible.
EXCLUSIVE_KINDS = ("kill", "stop", "late", "node-death", "node-drain", "node-bad")
LINK_KINDS = ("cut", "one-way", "split", "loss", "delay", "double", "reorder", "corrupt")


class Fault(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One fault, which lasts from `at_s` for `for_s` seconds.

    Attributes:
        kind: Kind of fault. At the end of the time a killed broker is restarted under its name, a stopped
            broker is resumed and a late broker is started; a dead node restarts cold.
        at_s: Start, in seconds from the start of the load.
        for_s: Duration in seconds.
        brokers: Indexes of the affected brokers. A link fault affects the links between these and `to`, in
            both directions; `one-way` affects only the direction from `brokers` to `to`.
        to: Indexes of the brokers at the other end of the links; empty for all others.
        nodes: Indexes of the disk nodes that die, are drained, or answer with errors.
        share: Fraction of the affected datagrams, or of a node's requests that fail.
        ms: Shortest and longest delay of datagrams, in milliseconds.
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
    """All faults of a drill.

    Attributes:
        brokers: Number of brokers.
        nodes: Number of disk nodes.
        seconds: Duration of the load.
        calm_s: Time by which every fault has ended, in seconds from the start of the load.
        fault: The faults.
    """

    brokers: Annotated[int, Meta(ge=2, le=64)]
    nodes: Annotated[int, Meta(ge=1, le=64)]
    seconds: Annotated[float, Meta(gt=0, le=3600)]
    calm_s: Seconds
    fault: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        for number, fault in enumerate(self.fault):
            if fault.at_s + fault.for_s > self.calm_s + 1e-9:
                raise ValueError(f"fault[{number}] goes on past calm_s")
            if any(broker >= self.brokers for broker in (*fault.brokers, *fault.to)):
                raise ValueError(f"fault[{number}] names a broker that is not there")
            if any(node >= self.nodes for node in fault.nodes):
                raise ValueError(f"fault[{number}] names a node that is not there")

    def affected_links(self, fault: Fault) -> list[tuple[int, int]]:
        """Returns the links that a link fault affects, as (source, destination) indexes of brokers."""
        destinations = fault.to or tuple(n for n in range(self.brokers) if n not in fault.brokers)
        outgoing = [(i, j) for i in fault.brokers for j in destinations if i != j]
        return outgoing if fault.kind == "one-way" else [*outgoing, *((j, i) for i, j in outgoing)]


def read_schedule(path: str) -> Schedule:
    """Reads a schedule from a TOML file.

    Raises:
        ConfigError: The file cannot be read or is invalid; the message names the key.
    """
    try:
        return parse_schedule(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} is not TOML: {error}") from None


def parse_schedule(values: Any) -> Schedule:
    """Returns the schedule of a parsed TOML document.

    Raises:
        ConfigError: The document does not match the schema; the message names the key.
    """
    try:
        return msgspec.convert(values, Schedule, strict=False)
    except msgspec.ValidationError as error:
        raise ConfigError(format_validation_error(str(error))) from None


def format_schedule(schedule: Schedule) -> str:
    """Returns a schedule as TOML; `parse_schedule` reads an equal schedule from it."""
    lines = [f"{name} = {getattr(schedule, name)}" for name in ("brokers", "nodes", "seconds", "calm_s")]
    for fault in schedule.fault:
        lines += ["", "[[fault]]", f'kind = "{fault.kind}"']
        for name in ("at_s", "for_s", "brokers", "to", "nodes", "share", "ms"):
            value = getattr(fault, name)
            lines.append(f"{name} = {list(value) if isinstance(value, tuple) else value}")
    return "\n".join(lines) + "\n"


def draw_schedule(seed: int, seconds: float, brokers: int, nodes: int) -> Schedule:
    """Draws a schedule of overlapping faults; the last part of the time is free of faults.

    For each 20 seconds, and at least once, it contains a split of a minority of the brokers from the
    majority, a one-way cut, a broker that is stopped and resumed, two kills with restarts, a node that dies
    and restarts cold, a node that is drained and one that returns errors, and one link fault of each of
    BACKGROUND_KINDS.

    Args:
        seed: Seed of the draws.
        seconds: Duration of the load.
        brokers: Number of brokers.
        nodes: Number of disk nodes; a single node is never drained.
    """
    random = Random(f"{seed}/schedule")
    calm_s = max(4.0, seconds - max(8.0, seconds * 0.3))
    all_brokers, minority_size = list(range(brokers)), max(1, (brokers - 1) // 2)
    faults: list[Fault] = []

    def draw_times(length: float) -> tuple[float, float]:
        length = round(min(length, calm_s - 1.0), 3)
        return round(random.uniform(0.8, calm_s - length), 3), length

    def add_link_fault(
        kind: FaultKind, brokers: tuple[int, ...], shortest: float, longest: float, **more: Any
    ) -> None:
        at_s, for_s = draw_times(random.uniform(shortest, longest))
        faults.append(Fault(kind=kind, brokers=brokers, at_s=at_s, for_s=for_s, **more))

    def add_exclusive_fault(
        kind: FaultKind, targets_field: str, count: int, shortest: float, longest: float, **more: Any
    ) -> None:
        """Adds a fault that overlaps no other exclusive fault of its process, in up to 200 attempts."""
        for _ in range(200):
            target, times = random.randrange(count), draw_times(random.uniform(shortest, longest))
            if not any(
                fault.at_s - MIN_GAP_S < times[0] + times[1]
                and times[0] < fault.at_s + fault.for_s + MIN_GAP_S
                for fault in faults
                if target in getattr(fault, targets_field) and fault.kind in EXCLUSIVE_KINDS
            ):
                break
        fields: dict[str, Any] = {targets_field: (target,), **more}
        faults.append(Fault(kind=kind, at_s=times[0], for_s=times[1], **fields))

    for _ in range(max(1, int(seconds // 20))):
        add_exclusive_fault("stop", "brokers", brokers, 1.0, 3.0)
        add_exclusive_fault("kill", "brokers", brokers, 0.1, 2.0)
        add_exclusive_fault("kill", "brokers", brokers, 0.1, 2.0)
        add_exclusive_fault("node-death", "nodes", nodes, 0.5, 1.5)
        if nodes > 1:
            add_exclusive_fault("node-drain", "nodes", nodes, 1.0, 2.5)
        add_exclusive_fault("node-bad", "nodes", nodes, 3.0, 6.0, share=0.5)
        minority = tuple(sorted(random.sample(all_brokers, minority_size)))
        add_link_fault("split", minority, 1.5, 4.0)
        source, destination = random.sample(all_brokers, 2)
        add_link_fault("one-way", (source,), 1.0, 3.0, to=(destination,))
        for kind in BACKGROUND_KINDS:
            affected = tuple(sorted(random.sample(all_brokers, random.randrange(1, brokers))))
            longest_delay_ms = round(1.0 + random.choice((20.0, 100.0, 900.0, 2500.0)) * random.random(), 1)
            add_link_fault(
                kind,
                affected,
                1.0,
                calm_s / 2,
                share=round(random.uniform(0.05, 0.5), 3),
                ms=(1.0, longest_delay_ms),
            )
    return Schedule(
        brokers=brokers,
        nodes=nodes,
        seconds=seconds,
        calm_s=calm_s,
        fault=tuple(sorted(faults, key=lambda fault: fault.at_s)),
    )
