"""`bench`: measures a part in one run, against stand-ins on loopback."""

from __future__ import annotations

import argparse
from collections.abc import Callable

from lemonridge.cli.figures import line
from lemonridge.lab.measure import extents as bench_extents
from lemonridge.lab.measure import iscsi as bench_iscsi

CPU_RATIO_MAX = 1.1  # iscsi: CPU a command beside the other checkout's
DECISIONS_RATIO_MAX = 2  # cost of a decision at 1,000 nodes beside 8
MAP_MIB_MAX, LOOKUP_RATIO_MAX = 64, 3  # extents: memory of the large map, its look-up beside the small one's
NODES_S_MIN = 20.0  # nodes: a shorter measurement says nothing


def bench(options: argparse.Namespace) -> int:
    """Print the figures, a line each; 1 where one of them misses its bound."""
    return BENCHES[options.name](options)


def _bench_decisions(options: argparse.Namespace) -> int:
    from lemonridge.lab.measure import decisions

    figures = decisions.ratio(options.seed)
    print(line(figures))
    return 0 if float(str(figures["ratio"])) <= DECISIONS_RATIO_MAX else 1


def _bench_nodes(options: argparse.Namespace) -> int:
    from lemonridge.lab.measure import nodes

    rows = nodes.figures(max(options.seconds, NODES_S_MIN), options.seed)
    for row in rows:
        print(line(row))
    return 0 if all(row["holds"] for row in rows) else 1


def _bench_iscsi(options: argparse.Namespace) -> int:
    rows = bench_iscsi.figures(options.seconds, options.against)
    for row in rows:
        print(line(row))
    print(line(bench_iscsi.recovery()))
    cpu_ratio = float(str(rows[0].get("cpu_ratio", 0)))
    return 0 if cpu_ratio <= CPU_RATIO_MAX else 1


def _bench_extents(options: argparse.Namespace) -> int:
    rows = bench_extents.map_figures(options.seed)
    for row in [*rows, *bench_extents.wire_figures(options.seed, options.seconds)]:
        print(line(row))
    print(line(bench_extents.cpu_ratio(options.seed, options.seconds)))
    largest = rows[-1]
    small_enough = float(str(largest["mib"])) <= MAP_MIB_MAX
    return 0 if small_enough and float(str(largest["lookup_ratio"])) <= LOOKUP_RATIO_MAX else 1


def _bench_fleet(options: argparse.Namespace) -> int:
    """What docs/fleet-state.md states: 1 where a node fell, or a state passed a budget."""
    if options.part == "membership":
        from lemonridge.lab.measure import membership

        for row in membership.figures():
            print(line(row), flush=True)
        return 0
    if options.part == "cold":
        from lemonridge.lab.measure import fleet_cold

        rows = fleet_cold.figures((options.seed, options.seed + 1))
        for row in rows:
            print(line(row))
        return 1 if any(row["falls"] for row in rows) else 0
    from lemonridge.lab.checkers import escrow

    broken = False
    for bounds in escrow.STATED:
        found = escrow.search(bounds)
        broken = broken or bool(found.broken) or not found.whole
        print(
            line(
                {
                    "bench": "fleet",
                    "part": "states",
                    "asks": bounds.requests,
                    "flights": bounds.in_flight,
                    "doubles": bounds.duplicates,
                    "crashes": bounds.restarts,
                    "lags": bounds.slow_clocks,
                    "recalls": bounds.recalls,
                    "budgets": len(bounds.budgets),
                    "states": found.states,
                    "whole": int(found.whole),
                    "broken": found.broken or "none",
                }
            ),
            flush=True,
        )
        for move in found.path:
            print(f"  {move}")
    return 1 if broken else 0


def _bench_policy(options: argparse.Namespace) -> int:
    """What docs/policy-change.md states: 1 where a state is wrong."""
    if options.part in ("switch", "processes"):
        return _bench_policy_switch(options)
    from lemonridge.lab.checkers import rollout

    broken = False
    searches = [(rollout.agreement(one), "agreement", one) for one in rollout.STATED_AGREEMENT]
    searches += [(rollout.leases(one), "leases", one) for one in rollout.STATED_LEASES]  # type: ignore[misc]
    for found, part, bounds in searches:
        broken = broken or bool(found.broken) or not found.whole
        print(
            line(
                {
                    "bench": "policy",
                    "part": part,
                    "tries": sum(bounds.tries),
                    "wipes": bounds.wipes,
                    "crashes": bounds.crashes,
                    "asks": bounds.requests,
                    "ticks": bounds.ticks,
                    "flights": bounds.messages,
                    "lags": bounds.lags,
                    "restarts": bounds.restarts,
                    "epochs": bounds.epochs,
                    "states": found.states,
                    "voters": "-".join(str(len(one)) for one in bounds.sets) or "all",
                    "whole": int(found.whole),
                    "broken": found.broken or "none",
                }
            ),
            flush=True,
        )
        for move in found.path:
            print(f"  {move}")
    return 1 if broken else 0


def _bench_policy_switch(options: argparse.Namespace) -> int:
    """How long a change of policy takes, on processes and in the model; drawn with `--plot`."""
    from lemonridge.lab.measure import rollout

    rows = []
    if options.part == "processes" or options.plot:
        from lemonridge.lab.measure import rollout_live

        for size in rollout_live.SIZES:
            rows += rollout_live.figures(options.seed, (size,))
            print(line(rows[-1]), flush=True)
    if options.part == "switch":
        model = rollout.figures()
        rows += model
        for row in model:
            print(line(row), flush=True)
    if options.plot:
        rollout.plot(rows, options.plot)
    return 0


BENCHES: dict[str, Callable[[argparse.Namespace], int]] = {
    "decisions": _bench_decisions,
    "extents": _bench_extents,
    "fleet": _bench_fleet,
    "iscsi": _bench_iscsi,
    "nodes": _bench_nodes,
    "policy": _bench_policy,
}
