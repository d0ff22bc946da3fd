"""Policy rollouts between real processes: faults, the command line, and the drill."""

from __future__ import annotations

import asyncio
import json
import signal
import unittest
from collections.abc import Awaitable, Callable
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from typing import Any

import msgspec
import orjson

from lemonridge.cli import main
from lemonridge.config.address import Address
from lemonridge.lab.checkers.policy import Findings, check
from lemonridge.lab.drills import policy as drill
from lemonridge.lab.load.fleet import Clients, VolumeTraffic
from lemonridge.lab.rig import FleetHarness, SiteSettings, running_fleet
from lemonridge.net.admin_client import CallError, call
from lemonridge.rollout.lease_exchange import EMERGENCY_EPOCH_STEP
from lemonridge.rollout.policy_document import Policy

SITE = SiteSettings(lease_ms=1000.0, short_deadline_broker=2)
Scenario = Callable[[FleetHarness], Awaitable[None]]


async def policy_view(rig: FleetHarness, number: int) -> dict[str, Any]:
    """Returns a broker's reply to the call `policy`."""
    view: dict[str, Any] = orjson.loads(
        await call(Address("127.0.0.1", rig.brokers[number].admin_port), "policy")
    )
    return view


async def propose(
    rig: FleetHarness, number: int, limit: float = 48.0, objective_ms: float = 1000.0, note: str = "n"
) -> str:
    """Proposes a limit of the plan `basic` and a latency objective of all classes; returns the reply."""
    policy = msgspec.convert((await policy_view(rig, number))["policy"], Policy)
    plans = tuple(
        msgspec.structs.replace(plan, limit=limit) if plan.name == "basic" else plan for plan in policy.plan
    )
    classes = tuple(msgspec.structs.replace(cls, latency_objective_ms=objective_ms) for cls in policy.classes)
    proposal = {
        "policy": msgspec.to_builtins(msgspec.structs.replace(policy, plan=plans, classes=classes)),
        "note": note,
    }
    line = "policy-propose " + orjson.dumps(proposal).decode()
    return await call(Address("127.0.0.1", rig.brokers[number].admin_port), line)


async def wait_until(condition: Callable[[], Awaitable[bool]], timeout_s: float) -> float:
    """Waits until a condition holds; returns the seconds it took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not await condition():
        if loop.time() > started_at + timeout_s:
            raise AssertionError(f"the condition does not hold within {timeout_s} s")
        await asyncio.sleep(0.03)
    return loop.time() - started_at


async def uses_epoch(rig: FleetHarness, number: int, epoch: int) -> bool:
    """Returns whether a broker uses the policy of this epoch only."""
    return bool((await policy_view(rig, number))["goes_by"] == [epoch, epoch])


async def all_use_epoch(rig: FleetHarness, epoch: int) -> bool:
    """Returns whether all running brokers use the policy of this epoch only."""
    return all(
        [await uses_epoch(rig, broker.number, epoch) for broker in rig.brokers if broker.program is not None]
    )


def partition(rig: FleetHarness, number: int, heal: bool = False) -> None:
    """Cuts the links between a broker and all others, or restores them."""
    for other in (other for other in range(len(rig.brokers)) if other != number):
        for link in ((number, other), (other, number)):
            rig.network.links[link].cut = not heal


async def _run_scenario(scenario: Scenario, seconds: float, *module: str) -> tuple[FleetHarness, Clients]:
    """Runs a scenario with three brokers under load."""
    async with running_fleet(3, 2, 1, SITE, module=module or ("lemonridge",)) as rig:
        clients = Clients([broker.port for broker in rig.brokers], 1, SITE.deadline_ms)
        traffic = VolumeTraffic(1, "basic", 3, (0, 1), lambda t: 60.0, lambda t: int(t * 1000) % 3)
        await wait_until(lambda: all_use_epoch(rig, 0), 5.0)
        await asyncio.gather(clients.run([traffic], seconds), scenario(rig))
        await rig.stop()
    return rig, clients


def check_attempts(rig: FleetHarness) -> Findings:
    """Checks that no two policies were used at the same time and that limits were kept."""
    attempts = [attempt for node in rig.nodes for attempt in node.received]
    limits = {
        0: 24.0,
        1: 48.0,
        2: 48.0,
        EMERGENCY_EPOCH_STEP: 24.0,
        EMERGENCY_EPOCH_STEP + 1: 48.0,
        EMERGENCY_EPOCH_STEP + 2: 48.0,
    }
    return check(attempts, [], [], limits, 6.0, (1,), SITE.burst, SITE.limit_slack, 1.5)


def run_scenarios(case: unittest.TestCase, *scenarios: Scenario, seconds: float = 4.0) -> list[FleetHarness]:
    """Runs scenarios at the same time, each with its own rig.

    Asserts that no rig used two policies at once, and that each request to a running broker was answered.
    """

    async def run_all() -> list[tuple[FleetHarness, Clients]]:
        return await asyncio.gather(*(_run_scenario(scenario, seconds) for scenario in scenarios))

    rigs = []
    for rig, clients in asyncio.run(run_all()):
        findings = check_attempts(rig)
        case.assertTrue(findings.passed, findings.notes)
        for request in clients.requests:
            down = any(
                start <= request.ended_at and request.due_at <= end + 0.05
                for start, end in rig.brokers[request.broker].outages
            )
            case.assertTrue(request.end in ("served", "refused", "failed") or down, request)
        rigs.append(rig)
    return rigs


class RolloutUnderFaults(unittest.TestCase):
    def test_change_is_in_force_at_all_brokers_or_rejected_and_sighup_proposes_one(self) -> None:
        async def scenario(rig: FleetHarness) -> None:
            await propose(rig, 0)
            self.assertLess(await wait_until(lambda: all_use_epoch(rig, 1), 2.0), 2.0)
            await propose(rig, 1, 36.0, SITE.deadline_ms - 50.0)

            async def has_result() -> bool:
                return bool((await policy_view(rig, 1))["results"])

            await wait_until(has_result, 2.0)
            result, reason, _ = (await policy_view(rig, 1))["results"][-1]
            self.assertEqual(result, "nowhere")
            self.assertIn("b2: class", reason)
            with self.assertRaises(CallError):  # a broker that cannot use the policy rejects it at once
                await propose(rig, 2, 36.0, SITE.deadline_ms - 50.0)
            broker = rig.brokers[0]
            config = json.loads(broker.config.read_text())
            config["settings"]["grades"][0]["cap"] = 30.0
            broker.config.write_text(json.dumps(config))
            broker.signal(signal.SIGHUP)
            await wait_until(lambda: all_use_epoch(rig, 2), 2.0)
            self.assertEqual((await policy_view(rig, 2))["policy"]["plan"][0]["limit"], 30.0)

        run_scenarios(self, scenario)

    def test_dead_proposer_and_dead_broker_delay_a_change_for_a_bounded_time(self) -> None:
        async def proposer_dies(rig: FleetHarness) -> None:
            await propose(rig, 0)
            await asyncio.sleep(0.12)
            await rig.restart_broker(rig.brokers[0], 0.2)
            epochs = {(await policy_view(rig, n))["epoch"] for n in (1, 2)}
            await wait_until(lambda: all_use_epoch(rig, max(epochs)), 5.0)
            self.assertEqual(len(epochs), 1)

        async def broker_is_down(rig: FleetHarness) -> None:
            broker = rig.brokers[2]
            killed_at = asyncio.get_running_loop().time()
            await broker.kill()
            await propose(rig, 0)
            self.assertLess(await wait_until(lambda: all_use_epoch(rig, 1), 3.2), 3.1)  # a lease and 2 s
            await broker.start()
            await broker.wait_until_ready()  # a ready broker has the policy in force
            self.assertTrue(await uses_epoch(rig, 2, 1))
            broker.outages.append((killed_at, asyncio.get_running_loop().time()))

        run_scenarios(self, proposer_dies, broker_is_down, seconds=6.0)

    def test_partitioned_broker_uses_the_floor_and_paused_broker_no_old_policy(self) -> None:
        async def broker_is_partitioned(rig: FleetHarness) -> None:
            partition(rig, 0)
            await propose(rig, 1)
            await wait_until(lambda: uses_epoch(rig, 1, 1), 3.2)
            self.assertEqual((await policy_view(rig, 0))["goes_by"], "floor")
            with self.assertRaises(CallError):  # it may not know the latest policy
                await propose(rig, 0)
            partition(rig, 0, heal=True)
            self.assertLess(await wait_until(lambda: all_use_epoch(rig, 1), 2.0), 2.0)

        async def broker_is_paused(rig: FleetHarness) -> None:
            pause_task = asyncio.create_task(rig.pause_broker(rig.brokers[2], 3.5))
            await asyncio.sleep(0.1)
            await propose(rig, 0)
            await wait_until(lambda: uses_epoch(rig, 0, 1), 3.2)
            await pause_task
            await wait_until(lambda: all_use_epoch(rig, 1), 2.0)

        rigs = run_scenarios(self, broker_is_partitioned, broker_is_paused, seconds=6.5)
        attempts = [attempt for node in rigs[1].nodes for attempt in node.received if attempt.broker == 2]
        self.assertTrue(any(attempt.epoch == "1" for attempt in attempts))

    def test_broker_with_a_lost_or_unwritable_store_does_not_vote(self) -> None:
        async def store_is_lost(rig: FleetHarness) -> None:
            await propose(rig, 0)
            await wait_until(lambda: all_use_epoch(rig, 1), 2.0)
            await rig.restart_broker(rig.brokers[1], 0.1, lambda: rig.vote_store_path(1).unlink())
            self.assertFalse(
                (await policy_view(rig, 1))["votes"] and (await policy_view(rig, 1))["epoch"] < 2
            )

            async def votes() -> bool:
                return bool((await policy_view(rig, 1))["votes"])

            await wait_until(votes, 5.0)
            await wait_until(lambda: all_use_epoch(rig, 2), 3.0)

        async def store_is_unwritable(rig: FleetHarness) -> None:
            temporary_file = rig.vote_store_path(1).with_name(rig.vote_store_path(1).name + ".part")
            temporary_file.mkdir()  # a folder in its place makes each write of the store fail
            await propose(rig, 0)
            await wait_until(lambda: uses_epoch(rig, 0, 1), 3.5)  # the two others decide
            self.assertNotEqual((await policy_view(rig, 1))["goes_by"], [0, 0])
            temporary_file.rmdir()
            await wait_until(lambda: all_use_epoch(rig, 1), 3.0)

        run_scenarios(self, store_is_lost, store_is_unwritable, seconds=6.0)


class PolicyCommands(unittest.TestCase):
    def test_command_line_checks_shows_proposes_and_follows_a_change(self) -> None:
        def run(*arguments: str) -> tuple[int, str]:
            with redirect_stdout(StringIO()) as output:
                return main.main(["policy", *arguments]), output.getvalue()

        async def scenario(rig: FleetHarness) -> None:
            addresses = [f"127.0.0.1:{broker.admin_port}" for broker in rig.brokers]
            file = rig.folder / "new.toml"
            file.write_text((await asyncio.to_thread(run, "show", addresses[0]))[1].replace("24.0", "48.0"))
            self.assertEqual((await asyncio.to_thread(run, "check", str(file)))[0], 0)
            result = await asyncio.to_thread(run, "diff", str(file), addresses[1])
            self.assertEqual(result, (0, "plan basic: limit 24 -> 48\n"))
            result = await asyncio.to_thread(run, "propose", str(file), addresses[1], "--dry-run")
            self.assertEqual(result[0], 0)
            result = await asyncio.to_thread(
                run, "propose", str(file), addresses[1], "--note", "twice", "--wait", "3"
            )
            self.assertEqual((result[0], result[1].splitlines()[-1]), (0, "in force, epoch 1"))
            await wait_until(lambda: all_use_epoch(rig, 1), 2.0)
            code, table = await asyncio.to_thread(run, "status", *addresses)
            self.assertEqual((code, len(table.splitlines())), (0, 4))
            self.assertIn("1 b1: twice", (await asyncio.to_thread(run, "history", addresses[2]))[1])
            self.assertEqual((await asyncio.to_thread(run, "abort", addresses[0]))[0], 1)

        run_scenarios(self, scenario)

    def test_voter_is_retired_and_admitted_and_an_emergency_call_forces_an_epoch(self) -> None:
        def run(*arguments: str) -> tuple[int, str]:
            with redirect_stdout(StringIO()) as output, redirect_stderr(output):
                return main.main(["policy", *arguments]), output.getvalue()

        async def run_command(*arguments: str) -> tuple[int, str]:
            return await asyncio.to_thread(run, *arguments)

        async def scenario(rig: FleetHarness) -> None:
            addresses = [f"127.0.0.1:{broker.admin_port}" for broker in rig.brokers]
            program = rig.brokers[0].program
            assert program is not None

            def record_warning(_: float, line: dict[str, str]) -> None:
                if line.get("event") == "policy epoch forced by an emergency call":
                    warnings.append(line)

            program.log_listeners.append(record_warning)
            self.assertEqual(
                await run_command("retire", "b2", addresses[0], "--wait", "4"),
                (0, "epoch 1 is proposed\nin force, epoch 1\n"),
            )
            await wait_until(lambda: all_use_epoch(rig, 1), 2.0)
            self.assertFalse((await policy_view(rig, 2))["votes"])
            self.assertEqual((await run_command("admit", addresses[2], "--wait", "4"))[0], 0)
            await wait_until(lambda: all_use_epoch(rig, 2), 2.0)
            self.assertIn("2 b2: b2 votes from now on", (await run_command("history", addresses[1]))[1])
            force = ("force", addresses[0], "--lost", "b1", "--lost", "b2")
            self.assertIn(
                "a majority of the voters is heard", (await run_command(*force, "--accept-two-policies"))[1]
            )
            killed_at = asyncio.get_running_loop().time()
            for broker in rig.brokers[1:]:
                await broker.kill()

            async def uses_floor() -> bool:
                return (await policy_view(rig, 0))["goes_by"] == "floor"

            await wait_until(uses_floor, 3.0)
            code, text = await run_command(*force, "--note", "both burnt")
            # Without --accept-two-policies the call only states the consequence.
            self.assertEqual((code, "two policies are in force" in text), (1, True))

            async def force_succeeds() -> bool:
                return (await run_command(*force, "--note", "both burnt", "--accept-two-policies"))[0] == 0

            await wait_until(force_succeeds, 4.0)  # the killed brokers count as heard for two leases
            await wait_until(lambda: uses_epoch(rig, 0, EMERGENCY_EPOCH_STEP), 3.0)
            await propose(rig, 0, 48.0)  # further changes come into force
            await wait_until(lambda: uses_epoch(rig, 0, EMERGENCY_EPOCH_STEP + 1), 3.0)
            for broker in rig.brokers[1:]:
                await broker.start()
                await broker.wait_until_ready()
                broker.outages.append((killed_at, asyncio.get_running_loop().time()))
            await wait_until(lambda: all_use_epoch(rig, EMERGENCY_EPOCH_STEP + 1), 3.0)
            self.assertEqual((await run_command("admit", addresses[1], "--wait", "4"))[0], 0)
            self.assertEqual((await policy_view(rig, 0))["voters"], ["b0", "b1"])

        warnings: list[dict[str, str]] = []
        run_scenarios(self, scenario, seconds=16.0)
        # The emergency call is logged once, at the level critical.
        self.assertEqual(
            [(line["level"], line["lost"], line["epoch"]) for line in warnings],
            [("critical", "b1,b2", str(EMERGENCY_EPOCH_STEP))],
        )


class PolicyDrill(unittest.TestCase):
    def test_drill_meets_every_rule(self) -> None:
        figures, findings, answers = asyncio.run(drill.run(drill.Options(11, 20.0)))
        self.assertTrue(drill.passed(figures, findings, answers), (figures, findings.notes, answers.notes))

    def test_checker_finds_faults_planted_in_processes(self) -> None:
        async def broker_is_partitioned(rig: FleetHarness) -> None:
            """Partitions a broker while the others change the policy (see `RolloutUnderFaults`)."""
            partition(rig, 0)
            await propose(rig, 1)
            await asyncio.sleep(2.5)

        async def run_with_each_fault() -> list[tuple[FleetHarness, Clients]]:
            return await asyncio.gather(
                *(
                    _run_scenario(broker_is_partitioned, 3.0, "lemonridge.cli.mutant", f"fleet-fault={fault}")
                    for fault in ("switches-at-once", "serves-on")
                )
            )

        for rig, _ in asyncio.run(run_with_each_fault()):
            self.assertGreater(check_attempts(rig).mixed_epochs, 0)
