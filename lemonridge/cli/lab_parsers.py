"""The argument parsers of `drill`, `bench`, `conform`, `demo`, `load` and `lab`.

The modules that implement the commands are imported when a command runs: the lab's libraries are slow to load
and `serve` needs none of them.
"""

from __future__ import annotations

import argparse
import os


def add_parsers(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the parsers of `drill`, `bench`, `conform`, `demo` and `load`."""
    _add_drill(commands)
    _add_bench(commands)
    _add_conform(commands)
    _add_demo(commands)
    _add_load(commands)


def _add_drill(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    drill = commands.add_parser("drill", help="inject failures into the real program, on loopback")
    drill.add_argument("name", choices=("extents", "iscsi", "fleet", "policy", "soak"))
    drill.add_argument("--seed", type=int, default=1)
    drill.add_argument("--seconds", type=float, default=10.0)
    drill.add_argument(
        "--move-every-ms", type=float, default=250.0, help="extents: interval of moves; 0: no moves"
    )
    drill.add_argument("--calm", action="store_true", help="inject no faults; extents: data still moves")
    drill.add_argument(
        "--mutation",
        choices=(
            *("unchecked", "lends-unlowered", "keeps-for-ever", "forgets-its-loans", "spends-further"),
            *("serves-on", "switches-at-once", "loses-answers", "repeats-anything", "sends-to-draining"),
            *("floods-cold-nodes", "knows-no-limit", "sends-for-the-gone", "tells-the-whole-deadline"),
            *("refuses-anything", "dies-of-a-signal"),
        ),
        help="plant a bug, which must make the drill fail (the first is for extents, the next four for "
        "fleet, then two for policy, the rest for soak)",
    )
    drill.add_argument("--brokers", type=int, default=5, help="fleet, policy: number of broker processes")
    drill.add_argument("--even", action="store_true", help="fleet: no datagrams, even shares of each limit")
    drill.add_argument(
        "--schedule",
        metavar="FILE",
        help="fleet: read the faults from a TOML file instead of drawing them from the seed",
    )
    drill.add_argument("--write-schedule", metavar="FILE", help="fleet: write the faults as TOML and exit")
    drill.add_argument("--json", action="store_true", help="print the figures as JSON")
    drill.set_defaults(run=_drill)


def _add_bench(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    bench = commands.add_parser("bench", help="measure one component, against stand-ins on loopback")
    bench.add_argument("name", choices=("extents", "iscsi", "decisions", "fleet", "policy", "nodes"))
    bench.add_argument(
        "--part",
        choices=("membership", "cold", "states", "switch", "processes"),
        default="cold",
        help="fleet: membership (virtual time), cold (processes) or states (all states of a small fleet); "
        "policy: states, switch or processes",
    )
    bench.add_argument(
        "--plot", metavar="FILE", help="policy, switch: draw the results, including those of processes"
    )
    bench.add_argument(
        "--against", metavar="DIR", help="iscsi: another checkout, to compare CPU time per command, by turns"
    )
    bench.add_argument("--seed", type=int, default=1)
    bench.add_argument("--seconds", type=float, default=4.0, help="duration of each measurement")
    bench.set_defaults(run=_bench)


def _add_conform(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    conform = commands.add_parser("conform", help="test a front for protocol conformance, case by case")
    conform.add_argument("name", choices=("iscsi",))
    conform.add_argument("--target", metavar="HOST:PORT", help="a running target; default: a new broker")
    conform.add_argument("--case", default="*", metavar="PATTERN", help="the cases to run, as a glob pattern")
    conform.add_argument("--seed", type=int, default=1)
    conform.add_argument("--json", action="store_true", help="print every result as a line of JSON")
    conform.set_defaults(run=_conform)


def _add_demo(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    demo = commands.add_parser("demo", help="run the broker with stand-in nodes, one of which fails")
    demo.add_argument("--seconds", type=float, default=20.0)
    demo.set_defaults(run=_demo)


def _add_load(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    load = commands.add_parser("load", help="generate open-loop load on a front, on loopback")
    load.add_argument("name", choices=("iscsi", "http"))
    load.add_argument(
        "--target", metavar="HOST:PORT", help="a running front; default: a new broker with stand-in nodes"
    )
    load.add_argument(
        "--serve-standins",
        type=int,
        default=2,
        metavar="N",
        help="http without --target: number of stand-in nodes, beside a stand-in for discovery",
    )
    load.add_argument("--deadline-ms", type=int, default=1500, help="http: X-Deadline-Ms of each request")
    load.add_argument(
        "--connections", type=int, default=64, help="http: maximum number of client connections"
    )
    load.add_argument("--iqn", default="iqn.2026-12.org.lemonridge:store")
    load.add_argument("--rate", type=float, default=200.0, help="commands or requests per second")
    load.add_argument("--seconds", type=float, default=10.0)
    load.add_argument("--size-kib", type=int, default=4)
    load.add_argument("--writes", type=float, default=0.3, help="fraction of writes, 0 to 1")
    load.add_argument("--arrivals", choices=("poisson", "even", "bursty"), default="poisson")
    load.add_argument("--seed", type=int, default=1)
    load.add_argument("--hdr", metavar="FILE", help="write the latencies as HdrHistograms, one line per kind")
    load.set_defaults(run=_load)


def add_lab(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the parser of `lab`; running it needs the extra `lab`."""
    lab = commands.add_parser(
        "lab", help="simulate designs in a model, at sizes that real sockets cannot reach"
    )
    parts = lab.add_subparsers(required=True, metavar="PART")
    run = parts.add_parser("run", help="run an experiment's file, or resume an interrupted run")
    run.add_argument("file")
    run.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    run.add_argument("--out", help="directory of the results; default: FILE.results")
    one = parts.add_parser("one", help="print one run of a file as JSON")
    one.add_argument("file")
    one.add_argument("index", type=int)
    for part in (run, one):
        part.add_argument("--seed-base", type=int)
    compare = parts.add_parser("compare", help="print paired differences between two directories of results")
    compare.add_argument("before")
    compare.add_argument("after")
    compare.add_argument("--figure", default="service")
    plot = parts.add_parser("plot", help="plot a figure against a factor")
    plot.add_argument("results")
    plot.add_argument("output", help="a PNG or SVG file")
    plot.add_argument("--factor", required=True)
    plot.add_argument("--figure", default="service")
    plot.add_argument("--by", help="draw one line for each level of this factor")
    validate = parts.add_parser("validate", help="compare the model with the real program and stand-in nodes")
    validate.add_argument("--nodes", type=int, default=4)
    validate.add_argument(
        "--work-ms", type=float, default=50.0, help="CPU time of a mean request on one core"
    )
    validate.add_argument(
        "--load", type=float, default=0.6, help="offered load as a fraction of the nodes' capacity"
    )
    validate.add_argument("--seconds", type=float, default=10.0)
    validate.add_argument("--seed", type=int, default=1)
    subcommands = (("run", run), ("one", one), ("compare", compare), ("plot", plot), ("validate", validate))
    for name, part in subcommands:
        part.set_defaults(run=_lab, part=name)


def _drill(options: argparse.Namespace) -> int:
    from lemonridge.cli.drill_commands import drill

    return drill(options)


def _bench(options: argparse.Namespace) -> int:
    from lemonridge.cli.bench_commands import bench

    return bench(options)


def _conform(options: argparse.Namespace) -> int:
    from lemonridge.cli.lab_commands import conform

    return conform(options)


def _demo(options: argparse.Namespace) -> int:
    from lemonridge.cli.lab_commands import demo

    return demo(options)


def _load(options: argparse.Namespace) -> int:
    from lemonridge.cli.load_commands import load

    return load(options)


def _lab(options: argparse.Namespace) -> int:
    from lemonridge.cli.lab_commands import lab

    return lab(options)
