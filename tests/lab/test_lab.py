"""The model: against closed forms, the same to the byte, and each trouble felt."""

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
    held = spec.load_experiment(str(SMOKE)).scenario
    return read_scenario(spec.vary({**held, "troubles": [], "seconds": 6}, changes))


# Against closed forms, with no broker before the node


def sojourn(cores: int, load: float, law: str, jobs: int = 60_000) -> float:
    """The mean time of a job at a node, in parts of its mean work: Poisson arrivals, an endless queue."""
    env, streams = simpy.Environment(), Streams(7)
    row = ClassSpec(name="x", share=1, work_ms=1, aim_ms=1, deadline_ms=1, law=law, spread=0.8)

    def after(delay: float, what: object) -> None:
        env.timeout(delay).callbacks.append(lambda _: what())  # type: ignore[operator]

    node = Node("n", 0, 0, NodeSpec(count=1, cores=cores, queue=100_000), 1.0, after)
    node.set_clock(lambda: env.now)
    times: list[float] = []
    arrivals, draws = streams["arrivals"], streams["work"]

    def arrive() -> None:
        if len(times) + node.active < jobs:
            after(arrivals.exponential() / (load * cores), arrive)
            began = env.now
            node.offer(env.now, Work(draw_relative_work(row, draws), lambda: times.append(env.now - began)))

    arrive()
    env.run()
    return sum(times[jobs // 10 :]) / len(times[jobs // 10 :])


def erlang_c(cores: int, load: float) -> float:
    """The chance that a job waits in M/M/c (Erlang, 1917)."""
    offered = load * cores
    top = offered**cores / factorial(cores) / (1 - load)
    return top / (sum(offered**k / factorial(k) for k in range(cores)) + top)


@pytest.mark.parametrize("load", [0.3, 0.6, 0.8])
def test_one_core_is_m_m_1(load: float) -> None:
    assert sojourn(1, load, "exponential") == pytest.approx(1 / (1 - load), rel=0.07)


@pytest.mark.parametrize(("cores", "load"), [(2, 0.5), (4, 0.8), (8, 0.9)])
def test_several_cores_are_m_m_c(cores: int, load: float) -> None:
    want = 1 + erlang_c(cores, load) / (cores * (1 - load))
    assert sojourn(cores, load, "exponential") == pytest.approx(want, rel=0.07)


@pytest.mark.parametrize(("law", "second"), [("fixed", 1.0), ("lognormal", exp(0.64))])
def test_other_laws_are_m_g_1(law: str, second: float) -> None:
    """Pollaczek and Khinchine, with the second moment of the work."""
    load = 0.7
    assert sojourn(1, load, law) == pytest.approx(1 + load * second / (2 * (1 - load)), rel=0.08)


# The same to the byte


def test_a_seed_gives_one_outcome_and_another_seed_another() -> None:
    first, again, other = (World(scenario(), seed).run() for seed in (3, 3, 4))
    assert first.figures() == again.figures() and first.digest() == again.digest() != other.digest()


def test_what_clients_ask_for_does_not_depend_on_what_decides() -> None:
    asked = [World(scenario(policy=policy), 5).run().asked_units for policy in ("module", "random", "least")]
    assert asked[0] == asked[1] == asked[2] and sum(asked[0].values()) > 500


def test_runs_over_processes_resume_and_name_the_dead(tmp_path: Path) -> None:
    text = SMOKE.read_text().replace("seconds = 8", "seconds = 2").replace("[0.5, 0.9]", "[0.5]")
    file, out, told = tmp_path / "e.toml", tmp_path / "out", list[str]()
    file.write_text(text)
    first, died = asyncio.run(runs.run_all(str(file), 3, out, None, told.append))
    assert (len(first), died) == (4, []) and runs.count_violations(first) == 0
    kept = sorted(out.glob("*.json"))
    kept[1].unlink()
    again, _ = asyncio.run(runs.run_all(str(file), 1, out, None, told.append))
    assert runs.digest(again) == runs.digest(first) and len(sorted(out.glob("*.json"))) == 4
    alone = [runs.run_one(str(file), index, None)["digest"] for index in range(4)]
    assert alone == [result["digest"] for result in first]
    other, _ = asyncio.run(runs.run_all(str(file), 2, out, 9, told.append))
    assert runs.digest(other) != runs.digest(first)
    kept[0].unlink()
    with mock.patch.object(sys, "executable", "/bin/false"):
        left, died = asyncio.run(runs.run_all(str(file), 2, out, None, told.append))
    assert len(left) == 3 and died == ["policy=module load=0.5 seed=1"]
    figures = paired_difference(
        first[:2], [{**result, "levels": first[0]["levels"]} for result in first[2:]], "service"
    )
    assert figures["pairs"] == 2 and figures["low"] <= figures["mean"] <= figures["high"]
    plot(first, "load", "service", str(tmp_path / "p.svg"), by="policy")
    assert (tmp_path / "p.svg").read_text().startswith("<?xml")


# Each trouble is felt


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
def test_a_trouble_costs_service(kind: str) -> None:
    calm = World(scenario(), 2).run().figures()
    trouble = {"kind": kind, "at_s": 1, "for_s": 3, **TROUBLES[kind]}
    out = World(scenario(troubles=[trouble]), 2).run()
    assert out.faults == {kind: 1}
    assert out.figures()["service"] < calm["service"] - 0.01
    assert out.figures()["over_limit"] == out.figures()["fallen"] == 0


def test_a_blackout_of_the_register_hides_deaths() -> None:
    deaths = {"kind": "deaths", "at_s": 1, "for_s": 4, "share": 0.4}
    dark = {"kind": "blackout", "at_s": 0.5, "for_s": 5}
    seen, hidden = (World(scenario(troubles=troubles), 2) for troubles in ([deaths], [dark, deaths]))
    seen.run()
    hidden.run()
    condition = EndpointState.ACTIVE
    assert any(
        node.state is not condition for node in seen.brokers[0].scheduler.endpoint_list.endpoints.values()
    ) or len(seen.brokers[0].scheduler.endpoint_list.endpoints) <= len(
        hidden.brokers[0].scheduler.endpoint_list.endpoints
    )


def test_a_cold_node_falls_under_what_a_warm_one_bears() -> None:
    """Sent at once, as a baseline does it, and not by the module."""
    trouble = {"kind": "deaths", "at_s": 1, "for_s": 1, "share": 0.3}
    changes = {"troubles": [trouble], "load": 0.9, "nodes.ramp_s": 17, "nodes.cold_share": 0.1, "retries": 3}
    assert World(scenario(policy="random", **changes), 1).run().figures()["fallen"] > 0
    assert World(scenario(policy="module", **changes), 1).run().figures()["fallen"] == 0


# Bad files, and the rest


@pytest.mark.parametrize(
    ("old", "new", "word"),
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
def test_a_bad_file_is_refused_by_its_key(old: str, new: str, word: str | None, tmp_path: Path) -> None:
    text = SMOKE.read_text()
    assert old in text
    file = tmp_path / "e.toml"
    file.write_text(text.replace(old, new, 1))
    if word is None:
        spec.load_experiment(str(file))
        return
    with pytest.raises(ConfigError) as caught:
        spec.load_experiment(str(file))
    assert word in str(caught.value) and "\n" not in str(caught.value)


def test_the_baselines_pick_by_their_rules() -> None:
    settings = World(scenario(), 1).settings
    entries = tuple(Endpoint(f"n{n}", 0, 0, EndpointState.ACTIVE, 0) for n in range(4))
    for rule, want in (("round-robin", {1}), ("least", {1}), ("two-choices", None), ("random", None)):
        held = Baseline(settings, 1, rule)
        held.handle(0, [EndpointsChanged(EndpointListUpdate.SNAPSHOT, entries)])
        arrivals = [RequestArrived(f"r{n}", 0, 0, 10**6, None, 0, 0, 1.0, 1) for n in range(4)]
        sends = [one.endpoint_id for one in held.handle(1, arrivals) if isinstance(one, Send)]
        assert len(sends) == 4
        if want is not None:
            assert {sends.count(f"n{n}") for n in range(4)} == want
    refused = held.handle(
        2, [AttemptEnded("r0", 0, sends[0], AttemptResult.RESET, 1, False, None, None, None)]
    )
    assert [type(one) for one in refused] == [Send]


def test_the_cost_of_a_decision_is_measured() -> None:
    assert cost_us(8, 1, requests=500) > 0


class Slow:
    """A target that answers at once, but for a stall."""

    def __init__(self) -> None:
        self.now = asyncio.get_running_loop().time
        self.stall = (0.0, 0.0)

    async def run(self, text: bytes, lun: int, data: bytes, read: int) -> tuple[int, bytes]:
        start, end = self.stall
        if start <= self.now() < end:
            await asyncio.sleep(end - self.now())
        return 0, b""

    async def close(self) -> None: ...


def test_a_stalled_server_shows_in_the_tail() -> None:
    """Commands that were due in the stall count from when they were due: a fifth of all, not one."""

    async def whole() -> load.Tally:
        slow = Slow()
        began = slow.now()
        slow.stall = (began + 0.5, began + 0.9)
        with mock.patch("lemonridge.lab.load.iscsi.Client", lambda *_: slow):
            return await load.run(load.LoadPlan(1, "t", 300, 2.0, seed=4))

    tally = asyncio.run(whole())
    assert tally.served == tally.due > 400
    held = tally.times["read"]
    assert held.get_value_at_percentile(70) < 150_000 and held.get_value_at_percentile(90) > 100_000
    assert held.get_value_at_percentile(99) > 300_000


def test_past_the_bound_on_what_is_out_commands_are_counted_and_not_sent() -> None:
    async def whole() -> load.Tally:
        slow = Slow()
        slow.stall = (0.0, slow.now() + 1.0)
        with mock.patch("lemonridge.lab.load.iscsi.Client", lambda *_: slow):
            return await load.run(load.LoadPlan(1, "t", 400, 0.5, arrivals="bursty", outstanding=20))

    tally = asyncio.run(whole())
    assert tally.unsent > 20 and tally.served == tally.due - tally.unsent


def test_the_demo_shows_a_node_that_dies_and_comes_back() -> None:
    said: list[str] = []
    told = asyncio.run(demo.run(4.0, said.append))
    assert told["lost"] == 0 and int(str(told["after_return"])) > 0 and int(str(told["refused"])) > 0
    assert int(str(told["served"])) * 2 > int(str(told["due"])) > 400
    assert any("dies" in text for text in said) and any("cold" in text for text in said)


def test_a_broker_of_the_model_is_woken_when_its_module_asks_for_it() -> None:
    """The wait was counted from another zero than the module's clock: no timer ever came."""
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
    seen: list[tuple[int, list[Event]]] = []

    class Asks:
        def handle(self, now_us: int, events: list[Event]) -> list[Action]:
            seen.append((now_us, list(events)))
            return [SetTimer(now_us + 5000)] if len(seen) == 1 else []

    world.brokers[0].scheduler = Asks()  # type: ignore[assignment]
    world.brokers[0].add_event(ClientDisconnected("nobody"))
    world.env.run(until=20_000)
    assert [type(event) for _, events in seen for event in events] == [ClientDisconnected, TimerFired]
    assert seen[1][0] - seen[0][0] <= 7000


def test_messages_use_more_of_limits_whose_demand_is_at_one_broker() -> None:
    """On even slices a third and what was saved up; never more than is allowed and asked for."""
    made = runs.load_experiment(str(ROOT / "lab" / "fleet.toml"))
    used = []
    for peers in (False, True):
        told = spec.vary(made.scenario, {"peers": peers, "seconds": 10, "nodes.count": 5, "volumes": 12})
        figures = World(read_scenario(told), 3).run().figures()
        used.append(figures["limits_used"])
        assert 0 < figures["cold_used"] < 2.5 and not figures["over_limit"] and not figures["fallen"]
    assert 0.3 < used[0] < used[1] - 0.05 < 1


def test_a_port_that_is_kept_is_for_the_program_that_names_it() -> None:
    """A rig chooses its brokers' ports before they start; others ask the system for ports meanwhile."""
    with reserve_tcp_port() as kept:
        address = kept.getsockname()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(address)
        for _ in range(2):  # and for its next start
            with socket.create_server(address) as listener, socket.create_connection(address) as client:
                listener.accept()[0].close()
                assert client.recv(1) == b""
