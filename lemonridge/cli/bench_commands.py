"""The command `bench`: measures one component, against stand-ins on loopback where it needs peers."""

from __future__ import annotations

import argparse
from collections.abc import Callable

from lemonridge.cli.figures import format_figures
from lemonridge.lab.measure import extents as bench_extents
from lemonridge.lab.measure import iscsi as bench_iscsi

CPU_RATIO_MAX = 1.1  # iscsi: CPU time per command, relative to the checkout given by --against
DECISIONS_RATIO_MAX = 2  # decisions: cost of a decision with 1,000 nodes, relative to 8 nodes
# extents: memory of the largest map in MiB, and its lookup time relative to the smallest map
MAP_MIB_MAX, LOOKUP_RATIO_MAX = 64, 3
NODES_S_MIN = 20.0  # nodes: a shorter measurement is not meaningful


def bench(options: argparse.Namespace) -> int:
    """Runs a benchmark and prints its figures; returns 1 if one of them misses its bound, else 0."""
    return BENCHES[options.name](options)


def _bench_decisions(options: argparse.Namespace) -> int:
    from lemonridge.lab.measure import decisions

    figures = decisions.ratio(options.seed)
    print(format_figures(figures))
    return 0 if float(str(figures["ratio"])) <= DECISIONS_RATIO_MAX else 1


def _bench_nodes(options: argparse.Namespace) -> int:
    from lemonridge.lab.measure import nodes

    rows = nodes.figures(max(options.seconds, NODES_S_MIN), options.seed)
    for row in rows:
        print(format_figures(row))
    return 0 if all(row["holds"] for row in rows) else 1


def _bench_iscsi(options: argparse.Namespace) -> int:
    rows = bench_iscsi.figures(options.seconds, options.against)
    for row in rows:
        print(format_figures(row))
    print(format_figures(bench_iscsi.recovery()))
    cpu_ratio = float(str(rows[0].get("cpu_ratio", 0)))
    return 0 if cpu_ratio <= CPU_RATIO_MAX else 1


def _bench_extents(options: argparse.Namespace) -> int:
    rows = bench_extents.map_figures(options.seed)
    for row in [*rows, *bench_extents.wire_figures(options.seed, options.seconds)]:
        print(format_figures(row))
    print(format_figures(bench_extents.cpu_ratio(options.seed, options.seconds)))
    largest = rows[-1]
    small_enough = float(str(largest["mib"])) <= MAP_MIB_MAX
    return 0 if small_enough and float(str(largest["lookup_ratio"])) <= LOOKUP_RATIO_MAX else 1


def _bench_fleet(options: argparse.Namespace) -> int:
    """Measures the figures of docs/fleet-state.md; returns 1 if a node failed or a budget was exceeded."""
    if options.part == "membership":
        from lemonridge.lab.measure import membership

        for row in membership.figures():
            print(format_figures(row), flush=True)
        return 0
    if options.part == "cold":
        from lemonridge.lab.measure import fleet_cold

        rows = fleet_cold.figures((options.seed, options.seed + 1))
        for row in rows:
            print(format_figures(row))
        return 1 if any(row["falls"] for row in rows) else 0
    from lemonridge.lab.checkers import escrow

    failed = False
    for bounds in escrow.STATED:
        search = escrow.search(bounds)
        failed = failed or bool(search.violation) or not search.complete
        print(
            format_figures(
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
                    "states": search.states,
                    "whole": int(search.complete),
                    "broken": search.violation or "none",
                }
            ),
            flush=True,
        )
        for step in search.trace:
            print(f"  {step}")
    return 1 if failed else 0


def _bench_policy(options: argparse.Namespace) -> int:
    """Measures the figures of docs/policy-change.md; returns 1 if a state breaks the invariant."""
    if options.part in ("switch", "processes"):
        return _bench_policy_switch(options)
    from lemonridge.lab.checkers import rollout

    failed = False
    searches = [
        (rollout.search_agreement(bounds), "agreement", bounds) for bounds in rollout.STATED_AGREEMENT
    ]
    searches += [(rollout.search_leases(bounds), "leases", bounds) for bounds in rollout.STATED_LEASES]  # type: ignore[misc]
    for search, part, bounds in searches:
        failed = failed or bool(search.violation) or not search.complete
        print(
            format_figures(
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
                    "states": search.states,
                    "voters": "-".join(str(len(voters)) for voters in bounds.voter_sets) or "all",
                    "whole": int(search.complete),
                    "broken": search.violation or "none",
                }
            ),
            flush=True,
        )
        for step in search.trace:
            print(f"  {step}")
    return 1 if failed else 0


def _bench_policy_switch(options: argparse.Namespace) -> int:
    """Measures how long a policy change takes, on real processes and in the model; `--plot` draws it."""
    from lemonridge.lab.measure import rollout

    rows = []
    if options.part == "processes" or options.plot:
        from lemonridge.lab.measure import rollout_live

        for size in rollout_live.SIZES:
            rows += rollout_live.figures(options.seed, (size,))
            print(format_figures(rows[-1]), flush=True)
    if options.part == "switch":
        model_rows = rollout.figures()
        rows += model_rows
        for row in model_rows:
            print(format_figures(row), flush=True)
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
