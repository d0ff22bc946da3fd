"""Tests of the model (closed forms, reproducibility, effects of troubles) and of other tools of the lab."""

from __future__ import annotations

import asyncio
import socket
import sys
from math import exp, factorial
from pathlib import Path
from unittest import mock

import pytest
import simpy

from lemonridge.config.errors import ConfigError
from lemonridge.lab import demo
from lemonridge.lab.links.datagrams import reserve_tcp_port
from lemonridge.lab.load import iscsi as load
from lemonridge.lab.measure.decisions import cost_us
from lemonridge.lab.model import runs, spec
from lemonridge.lab.model.baselines import Baseline
from lemonridge.lab.model.node import Node, Work
from lemonridge.lab.model.report import paired_difference, plot
from lemonridge.lab.model.spec import ClassSpec, NodeSpec, Scenario, read_scenario
from lemonridge.lab.model.streams import Streams
from lemonridge.lab.model.world import World, draw_relative_work
from lemonridge.scheduling.actions import Action, Send, SetTimer
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
    Event,
    RequestArrived,
    TimerFired,
)

ROOT = Path(__file__).resolve().parents[2]
SMOKE = ROOT / "lab" / "smoke.toml"


def scenario(**changes: object) -> Scenario:
    """Returns the scenario of the smoke experiment for 6 seconds and without troubles, with these changes."""
    values = spec.load_experiment(str(SMOKE)).scenario
    return read_scenario(spec.vary({**values, "troubles": [], "seconds": 6}, changes))


# Closed forms of queueing theory, for a node without a broker


def mean_sojourn_time(cores: int, load: float, law: str, jobs: int = 60_000) -> float:
    """Returns the mean time of a job at a node, in multiples of the mean work of a job.

    Jobs arrive in a Poisson process, and the queue is long enough to count as unbounded.
    """
    env, streams = simpy.Environment(), Streams(7)
    class_spec = ClassSpec(name="x", share=1, work_ms=1, aim_ms=1, deadline_ms=1, law=law, spread=0.8)

    def after(delay: float, callback: object) -> None:
        env.timeout(delay).callbacks.append(lambda _: callback())  # type: ignore[operator]

    node = Node("n", 0, 0, NodeSpec(count=1, cores=cores, queue=100_000), 1.0, after)
    node.set_clock(lambda: env.now)
    times: list[float] = []
    arrivals, draws = streams["arrivals"], streams["work"]

    def arrive() -> None:
        if len(times) + node.active < jobs:
            after(arrivals.exponential() / (load * cores), arrive)
            arrived_at = env.now
            node.offer(
                env.now,
                Work(draw_relative_work(class_spec, draws), lambda: times.append(env.now - arrived_at)),
            )

    arrive()
    env.run()
    return sum(times[jobs // 10 :]) / len(times[jobs // 10 :])


def erlang_c(cores: int, load: float) -> float:
    """Returns the probability that a job waits in M/M/c (Erlang, 1917)."""
    offered_load = load * cores
    waiting_term = offered_load**cores / factorial(cores) / (1 - load)
    return waiting_term / (sum(offered_load**k / factorial(k) for k in range(cores)) + waiting_term)


@pytest.mark.parametrize("load", [0.3, 0.6, 0.8])
def test_node_with_one_core_matches_m_m_1(load: float) -> None:
    assert mean_sojourn_time(1, load, "exponential") == pytest.approx(1 / (1 - load), rel=0.07)


@pytest.mark.parametrize(("cores", "load"), [(2, 0.5), (4, 0.8), (8, 0.9)])
def test_node_with_several_cores_matches_m_m_c(cores: int, load: float) -> None:
    expected = 1 + erlang_c(cores, load) / (cores * (1 - load))
    assert mean_sojourn_time(cores, load, "exponential") == pytest.approx(expected, rel=0.07)


@pytest.mark.parametrize(("law", "second_moment"), [("fixed", 1.0), ("lognormal", exp(0.64))])
def test_node_with_other_laws_of_work_matches_m_g_1(law: str, second_moment: float) -> None:
    """The Pollaczek-Khinchine formula, with the second moment of the work."""
    load = 0.7
    assert mean_sojourn_time(1, load, law) == pytest.approx(
        1 + load * second_moment / (2 * (1 - load)), rel=0.08
    )


# Reproducibility


def test_same_seed_gives_same_outcome_and_other_seed_another() -> None:
    first, repeated, other_seed = (World(scenario(), seed).run() for seed in (3, 3, 4))
    assert (
        first.figures() == repeated.figures() and first.digest() == repeated.digest() != other_seed.digest()
    )


def test_units_asked_by_clients_do_not_depend_on_policy() -> None:
    asked_units = [
        World(scenario(policy=policy), 5).run().asked_units for policy in ("module", "random", "least")
    ]
    assert asked_units[0] == asked_units[1] == asked_units[2] and sum(asked_units[0].values()) > 500


def test_runs_in_several_processes_are_resumed_and_failed_runs_are_named(tmp_path: Path) -> None:
    text = SMOKE.read_text().replace("seconds = 8", "seconds = 2").replace("[0.5, 0.9]", "[0.5]")
    experiment_file, folder, progress_lines = tmp_path / "e.toml", tmp_path / "out", list[str]()
    experiment_file.write_text(text)
    first, failed_runs = asyncio.run(
        runs.run_all(str(experiment_file), 3, folder, None, progress_lines.append)
    )
    assert (len(first), failed_runs) == (4, []) and runs.count_violations(first) == 0
    result_files = sorted(folder.glob("*.json"))
    result_files[1].unlink()
    resumed, _ = asyncio.run(runs.run_all(str(experiment_file), 1, folder, None, progress_lines.append))
    assert runs.digest(resumed) == runs.digest(first) and len(sorted(folder.glob("*.json"))) == 4
    digests_in_one_process = [runs.run_one(str(experiment_file), index, None)["digest"] for index in range(4)]
    assert digests_in_one_process == [result["digest"] for result in first]
    with_other_seeds, _ = asyncio.run(runs.run_all(str(experiment_file), 2, folder, 9, progress_lines.append))
    assert runs.digest(with_other_seeds) != runs.digest(first)
    result_files[0].unlink()
    with mock.patch.object(sys, "executable", "/bin/false"):
        completed, failed_runs = asyncio.run(
            runs.run_all(str(experiment_file), 2, folder, None, progress_lines.append)
        )
    assert len(completed) == 3 and failed_runs == ["policy=module load=0.5 seed=1"]
    figures = paired_difference(
        first[:2], [{**result, "levels": first[0]["levels"]} for result in first[2:]], "service"
    )
    assert figures["pairs"] == 2 and figures["low"] <= figures["mean"] <= figures["high"]
    plot(first, "load", "service", str(tmp_path / "p.svg"), by="policy")
    assert (tmp_path / "p.svg").read_text().startswith("<?xml")


# Effects of troubles


TROUBLES = {
    "deaths": {"share": 0.4},
    "deploy": {"share": 0.9, "for_s": 3},
    "surge": {"times": 3},
    "gray": {"times": 12},
    "hot": {"share": 0.05, "times": 30},
    "loss": {"share": 0.3},
    "restart": {"share": 0.5},
    "hall": {},
    "heavy": {"share": 0.3, "times": 10},
}


@pytest.mark.parametrize("kind", TROUBLES)
def test_trouble_reduces_service(kind: str) -> None:
    without_trouble = World(scenario(), 2).run().figures()
    trouble = {"kind": kind, "at_s": 1, "for_s": 3, **TROUBLES[kind]}
    outcome = World(scenario(troubles=[trouble]), 2).run()
    assert outcome.faults == {kind: 1}
    assert outcome.figures()["service"] < without_trouble["service"] - 0.01
    assert outcome.figures()["over_limit"] == outcome.figures()["fallen"] == 0


def test_blackout_of_register_hides_deaths_from_brokers() -> None:
    deaths = {"kind": "deaths", "at_s": 1, "for_s": 4, "share": 0.4}
    blackout = {"kind": "blackout", "at_s": 0.5, "for_s": 5}
    without_blackout, with_blackout = (
        World(scenario(troubles=troubles), 2) for troubles in ([deaths], [blackout, deaths])
    )
    without_blackout.run()
    with_blackout.run()
    active = EndpointState.ACTIVE
    assert any(
        node.state is not active
        for node in without_blackout.brokers[0].scheduler.endpoint_list.endpoints.values()
    ) or len(without_blackout.brokers[0].scheduler.endpoint_list.endpoints) <= len(
        with_blackout.brokers[0].scheduler.endpoint_list.endpoints
    )


def test_cold_node_fails_under_baseline_and_not_under_module() -> None:
    """A warm node bears the load. A baseline sends it to the cold node at once; the module does not."""
    trouble = {"kind": "deaths", "at_s": 1, "for_s": 1, "share": 0.3}
    changes = {"troubles": [trouble], "load": 0.9, "nodes.ramp_s": 17, "nodes.cold_share": 0.1, "retries": 3}
    assert World(scenario(policy="random", **changes), 1).run().figures()["fallen"] > 0
    assert World(scenario(policy="module", **changes), 1).run().figures()["fallen"] == 0


# Invalid files, and other tools of the lab


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        ("brokers = 4", "broker = 4", "unknown key scenario.broker"),
        ("share = 0.7\nwork", "share = 0.9\nwork", "classes"),
        ("count = 10", "count = 0", "scenario.nodes.count"),
        ("seconds = 8", "seconds = 3600", None),
        ("brokers = 4", "brokers = 1", "hosts"),
        ('"two-choices"', '"best"', "scenario.policy"),
        ("[0.5, 0.9]", "[0.5, 99]", "scenario.load"),
        ('kind = "deaths"', 'kind = "death"', "scenario.troubles[0].kind"),
        ("count = 10", "count = 100000", "too many"),
    ],
)
def test_invalid_experiment_file_is_rejected_with_name_of_key(
    old: str, new: str, expected_text: str | None, tmp_path: Path
) -> None:
    text = SMOKE.read_text()
    assert old in text
    experiment_file = tmp_path / "e.toml"
    experiment_file.write_text(text.replace(old, new, 1))
    if expected_text is None:
        spec.load_experiment(str(experiment_file))
        return
    with pytest.raises(ConfigError) as caught:
        spec.load_experiment(str(experiment_file))
    assert expected_text in str(caught.value) and "\n" not in str(caught.value)


def test_baselines_choose_endpoints_by_their_rules() -> None:
    settings = World(scenario(), 1).settings
    entries = tuple(Endpoint(f"n{n}", 0, 0, EndpointState.ACTIVE, 0) for n in range(4))
    for rule, expected_counts in (
        ("round-robin", {1}),
        ("least", {1}),
        ("two-choices", None),
        ("random", None),
    ):
        baseline = Baseline(settings, 1, rule)
        baseline.handle(0, [EndpointsChanged(EndpointListUpdate.SNAPSHOT, entries)])
        arrivals = [RequestArrived(f"r{n}", 0, 0, 10**6, None, 0, 0, 1.0, 1) for n in range(4)]
        sends = [action.endpoint_id for action in baseline.handle(1, arrivals) if isinstance(action, Send)]
        assert len(sends) == 4
        if expected_counts is not None:
            assert {sends.count(f"n{n}") for n in range(4)} == expected_counts
    actions = baseline.handle(
        2, [AttemptEnded("r0", 0, sends[0], AttemptResult.RESET, 1, False, None, None, None)]
    )
    assert [type(action) for action in actions] == [Send]


def test_measured_cost_of_decision_is_positive() -> None:
    assert cost_us(8, 1, requests=500) > 0


class StallingClient:
    """A stand-in for a client whose target answers at once, except during a stall.

    Attributes:
        now: Returns the time of the event loop, in seconds.
        stall: Begin and end of the stall on this clock.
    """

    def __init__(self) -> None:
        self.now = asyncio.get_running_loop().time
        self.stall = (0.0, 0.0)

    async def run(self, cdb: bytes, lun: int, data: bytes, read_length: int) -> tuple[int, bytes]:
        start, end = self.stall
        if start <= self.now() < end:
            await asyncio.sleep(end - self.now())
        return 0, b""

    async def close(self) -> None: ...


def test_stall_of_server_shows_in_latency_percentiles() -> None:
    """Latency counts from when a command was due, so a stall shows in a fifth of all commands, not in one."""

    async def run_load() -> load.Tally:
        client = StallingClient()
        began_at = client.now()
        client.stall = (began_at + 0.5, began_at + 0.9)
        with mock.patch("lemonridge.lab.load.iscsi.Client", lambda *_: client):
            return await load.run(load.LoadPlan(1, "t", 300, 2.0, seed=4))

    tally = asyncio.run(run_load())
    assert tally.served == tally.due > 400
    latencies = tally.times["read"]
    assert latencies.get_value_at_percentile(70) < 150_000 and latencies.get_value_at_percentile(90) > 100_000
    assert latencies.get_value_at_percentile(99) > 300_000


def test_commands_above_outstanding_bound_are_counted_and_not_sent() -> None:
    async def run_load() -> load.Tally:
        client = StallingClient()
        client.stall = (0.0, client.now() + 1.0)
        with mock.patch("lemonridge.lab.load.iscsi.Client", lambda *_: client):
            return await load.run(load.LoadPlan(1, "t", 400, 0.5, arrivals="bursty", outstanding=20))

    tally = asyncio.run(run_load())
    assert tally.unsent > 20 and tally.served == tally.due - tally.unsent


def test_demo_reports_node_that_dies_and_returns_cold() -> None:
    lines: list[str] = []
    summary = asyncio.run(demo.run(4.0, lines.append))
    assert summary["lost"] == 0 and int(str(summary["after_return"])) > 0 and int(str(summary["refused"])) > 0
    assert int(str(summary["served"])) * 2 > int(str(summary["due"])) > 400
    assert any("dies" in line for line in lines) and any("cold" in line for line in lines)


def test_modelled_broker_is_woken_when_its_timer_is_due() -> None:
    """Guards against a wait counted from another origin than the scheduler's clock: no timer fired."""
    world = World(
        read_scenario(
            {
                "nodes": {"count": 2},
                "brokers": 1,
                "hosts": 1,
                "volumes": 2,
                "classes": [
                    {"name": "read", "share": 1.0, "work_ms": 20, "aim_ms": 300, "deadline_ms": 1000}
                ],
                "plans": [{"name": "basic", "share": 1.0, "rate": 10}],
            }
        ),
        1,
    )
    handled: list[tuple[int, list[Event]]] = []

    class SchedulerWithTimer:
        def handle(self, now_us: int, events: list[Event]) -> list[Action]:
            handled.append((now_us, list(events)))
            return [SetTimer(now_us + 5000)] if len(handled) == 1 else []

    world.brokers[0].scheduler = SchedulerWithTimer()  # type: ignore[assignment]
    world.brokers[0].add_event(ClientDisconnected("nobody"))
    world.env.run(until=20_000)
    assert [type(event) for _, events in handled for event in events] == [ClientDisconnected, TimerFired]
    assert handled[1][0] - handled[0][0] <= 7000


def test_messages_between_brokers_use_more_of_limits_with_demand_at_one_broker() -> None:
    """Without messages the brokers have equal shares: a third of the limit and the saved-up units are used.

    With or without messages, never more is used than is allowed and demanded.
    """
    experiment = runs.load_experiment(str(ROOT / "lab" / "fleet.toml"))
    limits_used = []
    for peers in (False, True):
        values = spec.vary(
            experiment.scenario, {"peers": peers, "seconds": 10, "nodes.count": 5, "volumes": 12}
        )
        figures = World(read_scenario(values), 3).run().figures()
        limits_used.append(figures["limits_used"])
        assert 0 < figures["cold_used"] < 2.5 and not figures["over_limit"] and not figures["fallen"]
    assert 0.3 < limits_used[0] < limits_used[1] - 0.05 < 1


def test_reserved_port_can_be_bound_only_with_address_reuse() -> None:
    """A rig chooses its brokers' ports before they start; other programs ask for free ports meanwhile."""
    with reserve_tcp_port() as reserved:
        address = reserved.getsockname()
        with socket.socket() as other_socket, pytest.raises(OSError, match="in use"):
            other_socket.bind(address)
        for _ in range(2):  # the second time as after a restart
            with socket.create_server(address) as listener, socket.create_connection(address) as client:
                listener.accept()[0].close()
                assert client.recv(1) == b""
