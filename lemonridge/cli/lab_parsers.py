"""The options of `drill`, `bench`, `conform`, `demo`, `load` and `lab`.

What they run is loaded when one of them is called: the lab's libraries are heavy, and `serve` needs none.
"""

from __future__ import annotations

import argparse
import os


def add_parsers(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the commands of the lab."""
    _add_drill(commands)
    _add_bench(commands)
    _add_conform(commands)
    _add_demo(commands)
    _add_load(commands)


def _add_drill(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    drill = commands.add_parser("drill", help="rehearse failures against the real program, on loopback")
    drill.add_argument("name", choices=("extents", "iscsi", "fleet", "policy", "soak"))
    drill.add_argument("--seed", type=int, default=1)
    drill.add_argument("--seconds", type=float, default=10.0)
    drill.add_argument("--move-every-ms", type=float, default=250.0, help="0: nothing moves")
    drill.add_argument("--calm", action="store_true", help="no faults, only moves")
    drill.add_argument(
        "--mutation",
        choices=(
            *("unchecked", "lends-unlowered", "keeps-for-ever", "forgets-its-loans", "spends-further"),
            *("serves-on", "switches-at-once", "loses-answers", "repeats-anything", "sends-to-draining"),
            *("floods-cold-nodes", "knows-no-limit", "sends-for-the-gone", "tells-the-whole-deadline"),
            *("refuses-anything", "dies-of-a-signal"),
        ),
        help="break a rule on purpose: the drill must fail (the first: extents; the next four: fleet; then "
        "two of policy; the rest: soak)",
    )
    drill.add_argument("--brokers", type=int, default=5, help="fleet: how many processes")
    drill.add_argument("--even", action="store_true", help="fleet: without messages, on even slices")
    drill.add_argument("--schedule", metavar="FILE", help="fleet: faults from a TOML file, not from the seed")
    drill.add_argument("--write-schedule", metavar="FILE", help="fleet: write the faults as TOML, and end")
    drill.add_argument("--json", action="store_true", help="the last line as JSON")
    drill.set_defaults(run=_drill)


def _add_bench(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    bench = commands.add_parser("bench", help="measure a part in one run, against stand-ins on loopback")
    bench.add_argument("name", choices=("extents", "iscsi", "decisions", "fleet", "policy", "nodes"))
    bench.add_argument(
        "--part",
        choices=("membership", "cold", "states", "switch", "processes"),
        default="cold",
        help="fleet: in virtual time, on processes, or every state of a small one; policy: "
        "states, switch or processes",
    )
    bench.add_argument("--plot", metavar="FILE", help="policy, switch: draw it, processes too")
    bench.add_argument("--against", metavar="DIR", help="iscsi: another checkout, for CPU a command in turns")
    bench.add_argument("--seed", type=int, default=1)
    bench.add_argument("--seconds", type=float, default=4.0, help="of each setting")
    bench.set_defaults(run=_bench)


def _add_conform(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    conform = commands.add_parser("conform", help="hold a front against its protocol, case by case")
    conform.add_argument("name", choices=("iscsi",))
    conform.add_argument("--target", metavar="HOST:PORT", help="one that is there already")
    conform.add_argument("--case", default="*", metavar="PATTERN", help="which cases, as a file pattern")
    conform.add_argument("--seed", type=int, default=1)
    conform.add_argument("--json", action="store_true", help="every result as a line of JSON")
    conform.set_defaults(run=_conform)


def _add_demo(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    demo = commands.add_parser("demo", help="the broker at work before stand-in nodes, one of which dies")
    demo.add_argument("--seconds", type=float, default=20.0)
    demo.set_defaults(run=_demo)


def _add_load(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    load = commands.add_parser("load", help="open-loop load on a front, on loopback")
    load.add_argument("name", choices=("iscsi", "http"))
    load.add_argument("--target", metavar="HOST:PORT", help="where; else before stand-in nodes")
    load.add_argument(
        "--serve-standins",
        type=int,
        default=2,
        metavar="N",
        help="http without --target: a broker before N stand-in nodes and discovery",
    )
    load.add_argument("--deadline-ms", type=int, default=1500, help="http: each request's X-Deadline-Ms")
    load.add_argument("--connections", type=int, default=64, help="http: held at most, as clients hold them")
    load.add_argument("--iqn", default="iqn.2026-12.org.lemonridge:store")
    load.add_argument("--rate", type=float, default=200.0, help="commands a second")
    load.add_argument("--seconds", type=float, default=10.0)
    load.add_argument("--size-kib", type=int, default=4)
    load.add_argument("--writes", type=float, default=0.3, help="their share")
    load.add_argument("--arrivals", choices=("poisson", "even", "bursty"), default="poisson")
    load.add_argument("--seed", type=int, default=1)
    load.add_argument("--hdr", metavar="FILE", help="write the times as HdrHistograms, a line a kind")
    load.set_defaults(run=_load)


def add_lab(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add `lab`; it needs the extra of that name."""
    lab = commands.add_parser("lab", help="try designs in a model, at sizes that sockets don't reach")
    parts = lab.add_subparsers(required=True, metavar="PART")
    run = parts.add_parser("run", help="run an experiment's file, or go on where a stop left it")
    run.add_argument("file")
    run.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    run.add_argument("--out", help="where the results go; FILE.results by default")
    one = parts.add_parser("one", help="one run of a file, as JSON")
    one.add_argument("file")
    one.add_argument("index", type=int)
    for part in (run, one):
        part.add_argument("--seed-base", type=int)
    compare = parts.add_parser("compare", help="paired differences between two folders of results")
    compare.add_argument("before")
    compare.add_argument("after")
    compare.add_argument("--figure", default="service")
    plot = parts.add_parser("plot", help="draw a figure against a factor")
    plot.add_argument("results")
    plot.add_argument("output", help="a PNG or SVG file")
    plot.add_argument("--factor", required=True)
    plot.add_argument("--figure", default="service")
    plot.add_argument("--by", help="a line for each level of this factor")
    validate = parts.add_parser("validate", help="the model against the real program before stand-ins")
    validate.add_argument("--nodes", type=int, default=4)
    validate.add_argument("--work-ms", type=float, default=50.0, help="of a mean request on a core")
    validate.add_argument("--load", type=float, default=0.6, help="of what the nodes can do")
    validate.add_argument("--seconds", type=float, default=10.0)
    validate.add_argument("--seed", type=int, default=1)
    parts_named = (("run", run), ("one", one), ("compare", compare), ("plot", plot), ("validate", validate))
    for name, part in parts_named:
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
