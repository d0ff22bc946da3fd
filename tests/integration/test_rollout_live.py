"""Changes of policy on processes: faults, the command line, and the drill."""

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
Scene = Callable[[FleetHarness], Awaitable[None]]


async def seen(rig: FleetHarness, number: int) -> dict[str, Any]:
    told: dict[str, Any] = orjson.loads(
        await call(Address("127.0.0.1", rig.brokers[number].admin_port), "policy")
    )
    return told


async def propose(
    rig: FleetHarness, number: int, limit: float = 48.0, aim_ms: float = 1000.0, note: str = "n"
) -> str:
    policy = msgspec.convert((await seen(rig, number))["policy"], Policy)
    rows = tuple(
        msgspec.structs.replace(row, limit=limit) if row.name == "basic" else row for row in policy.plan
    )
    classes = tuple(msgspec.structs.replace(row, latency_objective_ms=aim_ms) for row in policy.classes)
    told = {
        "policy": msgspec.to_builtins(msgspec.structs.replace(policy, plan=rows, classes=classes)),
        "note": note,
    }
    line = "policy-propose " + orjson.dumps(told).decode()
    return await call(Address("127.0.0.1", rig.brokers[number].admin_port), line)


async def until(true: Callable[[], Awaitable[bool]], most_s: float) -> float:
    """Seconds until something is so."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    while not await true():
        if loop.time() > begun + most_s:
            raise AssertionError(f"not so in {most_s} s")
        await asyncio.sleep(0.03)
    return loop.time() - begun


async def by(rig: FleetHarness, number: int, epoch: int) -> bool:
    return bool((await seen(rig, number))["goes_by"] == [epoch, epoch])


async def everywhere(rig: FleetHarness, epoch: int) -> bool:
    return all([await by(rig, one.number, epoch) for one in rig.brokers if one.program is not None])


def cut(rig: FleetHarness, number: int, whole: bool = False) -> None:
    for other in (one for one in range(len(rig.brokers)) if one != number):
        for pair in ((number, other), (other, number)):
            rig.network.links[pair].cut = not whole


async def _stand(scene: Scene, seconds: float, *module: str) -> tuple[FleetHarness, Clients]:
    async with running_fleet(3, 2, 1, SITE, module=module or ("lemonridge",)) as rig:
        clients = Clients([one.port for one in rig.brokers], 1, SITE.deadline_ms)
        asker = VolumeTraffic(1, "basic", 3, (0, 1), lambda t: 60.0, lambda t: int(t * 1000) % 3)
        await until(lambda: everywhere(rig, 0), 5.0)
        await asyncio.gather(clients.run([asker], seconds), scene(rig))
        await rig.stop()
    return rig, clients


def judged(rig: FleetHarness) -> Findings:
    came = [one for node in rig.nodes for one in node.received]
    limits = {
        0: 24.0,
        1: 48.0,
        2: 48.0,
        EMERGENCY_EPOCH_STEP: 24.0,
        EMERGENCY_EPOCH_STEP + 1: 48.0,
        EMERGENCY_EPOCH_STEP + 2: 48.0,
    }
    return check(came, [], [], limits, 6.0, (1,), SITE.burst, SITE.limit_slack, 1.5)


def play(case: unittest.TestCase, *scenes: Scene, seconds: float = 4.0) -> list[FleetHarness]:
    """Rigs side by side, a scene each; in none may two policies be gone by, or an answer be missed."""

    async def all_of() -> list[tuple[FleetHarness, Clients]]:
        return await asyncio.gather(*(_stand(scene, seconds) for scene in scenes))

    rigs = []
    for rig, clients in asyncio.run(all_of()):
        found = judged(rig)
        case.assertTrue(found.passed, found.notes)
        for one in clients.requests:
            down = any(
                a <= one.ended_at and one.due_at <= b + 0.05 for a, b in rig.brokers[one.broker].outages
            )
            case.assertTrue(one.end in ("served", "refused", "failed") or down, one)
        rigs.append(rig)
    return rigs


class RolloutUnderFaults(unittest.TestCase):
    def test_a_change_is_in_force_everywhere_or_nowhere_with_a_reason_and_a_sighup_proposes(self) -> None:
        async def scene(rig: FleetHarness) -> None:
            await propose(rig, 0)
            self.assertLess(await until(lambda: everywhere(rig, 1), 2.0), 2.0)
            await propose(rig, 1, 36.0, SITE.deadline_ms - 50.0)

            async def refused() -> bool:
                return bool((await seen(rig, 1))["results"])

            await until(refused, 2.0)
            end, why, _ = (await seen(rig, 1))["results"][-1]
            self.assertEqual(end, "nowhere")
            self.assertIn("b2: class", why)
            with self.assertRaises(CallError):  # the one that cannot says so itself, at once
                await propose(rig, 2, 36.0, SITE.deadline_ms - 50.0)
            broker = rig.brokers[0]
            told = json.loads(broker.config.read_text())
            told["settings"]["grades"][0]["cap"] = 30.0
            broker.config.write_text(json.dumps(told))
            broker.signal(signal.SIGHUP)
            await until(lambda: everywhere(rig, 2), 2.0)
            self.assertEqual((await seen(rig, 2))["policy"]["plan"][0]["limit"], 30.0)

        play(self, scene)

    def test_a_dead_proposer_and_a_dead_broker_delay_a_change_for_a_bounded_time(self) -> None:
        async def dies(rig: FleetHarness) -> None:
            await propose(rig, 0)
            await asyncio.sleep(0.12)
            await rig.restart_broker(rig.brokers[0], 0.2)
            epochs = {(await seen(rig, n))["epoch"] for n in (1, 2)}
            await until(lambda: everywhere(rig, max(epochs)), 5.0)
            self.assertEqual(len(epochs), 1)

        async def down(rig: FleetHarness) -> None:
            gone = rig.brokers[2]
            begun = asyncio.get_running_loop().time()
            await gone.kill()
            await propose(rig, 0)
            self.assertLess(await until(lambda: everywhere(rig, 1), 3.2), 3.1)  # a lease and two seconds
            await gone.start()
            await gone.wait_until_ready()  # by then it has the policy that is in force
            self.assertTrue(await by(rig, 2, 1))
            gone.outages.append((begun, asyncio.get_running_loop().time()))

        play(self, dies, down, seconds=6.0)

    def test_a_partitioned_broker_uses_the_floor_and_a_paused_one_nothing_old(self) -> None:
        async def apart(rig: FleetHarness) -> None:
            cut(rig, 0)
            await propose(rig, 1)
            await until(lambda: by(rig, 1, 1), 3.2)
            self.assertEqual((await seen(rig, 0))["goes_by"], "floor")
            with self.assertRaises(CallError):  # it may not know the newest
                await propose(rig, 0)
            cut(rig, 0, whole=True)
            self.assertLess(await until(lambda: everywhere(rig, 1), 2.0), 2.0)

        async def stopped(rig: FleetHarness) -> None:
            asleep = asyncio.create_task(rig.pause_broker(rig.brokers[2], 3.5))
            await asyncio.sleep(0.1)
            await propose(rig, 0)
            await until(lambda: by(rig, 0, 1), 3.2)
            await asleep
            await until(lambda: everywhere(rig, 1), 2.0)

        rigs = play(self, apart, stopped, seconds=6.5)
        late = [one for node in rigs[1].nodes for one in node.received if one.broker == 2]
        self.assertTrue(any(one.epoch == "1" for one in late))

    def test_a_lost_store_does_not_vote_and_a_broker_that_cannot_write_is_silent_to_peers(self) -> None:
        async def lost(rig: FleetHarness) -> None:
            await propose(rig, 0)
            await until(lambda: everywhere(rig, 1), 2.0)
            await rig.restart_broker(rig.brokers[1], 0.1, lambda: rig.vote_store_path(1).unlink())
            self.assertFalse((await seen(rig, 1))["votes"] and (await seen(rig, 1))["epoch"] < 2)

            async def votes() -> bool:
                return bool((await seen(rig, 1))["votes"])

            await until(votes, 5.0)
            await until(lambda: everywhere(rig, 2), 3.0)

        async def full(rig: FleetHarness) -> None:
            blocked = rig.vote_store_path(1).with_name(rig.vote_store_path(1).name + ".part")
            blocked.mkdir()  # no file can be written beside the store
            await propose(rig, 0)
            await until(lambda: by(rig, 0, 1), 3.5)  # the two others decide
            self.assertNotEqual((await seen(rig, 1))["goes_by"], [0, 0])
            blocked.rmdir()
            await until(lambda: everywhere(rig, 1), 3.0)

        play(self, lost, full, seconds=6.0)


class PolicyCommands(unittest.TestCase):
    def test_the_command_line_checks_shows_proposes_and_follows_a_change(self) -> None:
        def run(*words: str) -> tuple[int, str]:
            with redirect_stdout(StringIO()) as out:
                return main.main(["policy", *words]), out.getvalue()

        async def scene(rig: FleetHarness) -> None:
            at = [f"127.0.0.1:{one.admin_port}" for one in rig.brokers]
            file = rig.folder / "new.toml"
            file.write_text((await asyncio.to_thread(run, "show", at[0]))[1].replace("24.0", "48.0"))
            self.assertEqual((await asyncio.to_thread(run, "check", str(file)))[0], 0)
            told = await asyncio.to_thread(run, "diff", str(file), at[1])
            self.assertEqual(told, (0, "plan basic: limit 24 -> 48\n"))
            told = await asyncio.to_thread(run, "propose", str(file), at[1], "--dry-run")
            self.assertEqual(told[0], 0)
            told = await asyncio.to_thread(run, "propose", str(file), at[1], "--note", "twice", "--wait", "3")
            self.assertEqual((told[0], told[1].splitlines()[-1]), (0, "in force, epoch 1"))
            await until(lambda: everywhere(rig, 1), 2.0)
            code, table = await asyncio.to_thread(run, "status", *at)
            self.assertEqual((code, len(table.splitlines())), (0, 4))
            self.assertIn("1 b1: twice", (await asyncio.to_thread(run, "history", at[2]))[1])
            self.assertEqual((await asyncio.to_thread(run, "abort", at[0]))[0], 1)

        play(self, scene)

    def test_a_voter_is_retired_and_admitted_and_the_emergency_call_goes_on_alone(self) -> None:
        def run(*words: str) -> tuple[int, str]:
            with redirect_stdout(StringIO()) as out, redirect_stderr(out):
                return main.main(["policy", *words]), out.getvalue()

        async def ask(*words: str) -> tuple[int, str]:
            return await asyncio.to_thread(run, *words)

        async def scene(rig: FleetHarness) -> None:
            at = [f"127.0.0.1:{one.admin_port}" for one in rig.brokers]
            program = rig.brokers[0].program
            assert program is not None

            def hear(_: float, line: dict[str, str]) -> None:
                if line.get("event") == "policy epoch forced by an emergency call":
                    told.append(line)

            program.log_listeners.append(hear)
            self.assertEqual(
                await ask("retire", "b2", at[0], "--wait", "4"),
                (0, "epoch 1 is proposed\nin force, epoch 1\n"),
            )
            await until(lambda: everywhere(rig, 1), 2.0)
            self.assertFalse((await seen(rig, 2))["votes"])
            self.assertEqual((await ask("admit", at[2], "--wait", "4"))[0], 0)
            await until(lambda: everywhere(rig, 2), 2.0)
            self.assertIn("2 b2: b2 votes from now on", (await ask("history", at[1]))[1])
            lost = ("force", at[0], "--lost", "b1", "--lost", "b2")
            self.assertIn("a majority of the voters is heard", (await ask(*lost, "--accept-two-policies"))[1])
            begun = asyncio.get_running_loop().time()
            for one in rig.brokers[1:]:
                await one.kill()

            async def alone() -> bool:
                return (await seen(rig, 0))["goes_by"] == "floor"

            await until(alone, 3.0)
            code, text = await ask(*lost, "--note", "both burnt")
            self.assertEqual((code, "two policies are in force" in text), (1, True))  # not without the price

            async def forced() -> bool:
                return (await ask(*lost, "--note", "both burnt", "--accept-two-policies"))[0] == 0

            await until(forced, 4.0)  # they count as heard for two leases
            await until(lambda: by(rig, 0, EMERGENCY_EPOCH_STEP), 3.0)
            await propose(rig, 0, 48.0)  # and what is changed from now on is in force
            await until(lambda: by(rig, 0, EMERGENCY_EPOCH_STEP + 1), 3.0)
            for one in rig.brokers[1:]:
                await one.start()
                await one.wait_until_ready()
                one.outages.append((begun, asyncio.get_running_loop().time()))
            await until(lambda: everywhere(rig, EMERGENCY_EPOCH_STEP + 1), 3.0)
            self.assertEqual((await ask("admit", at[1], "--wait", "4"))[0], 0)
            self.assertEqual((await seen(rig, 0))["voters"], ["b0", "b1"])

        told: list[dict[str, str]] = []
        play(self, scene, seconds=16.0)
        self.assertEqual(
            [(one["level"], one["lost"], one["epoch"]) for one in told],
            [("critical", "b1,b2", str(EMERGENCY_EPOCH_STEP))],
        )  # loud, and once


class PolicyDrill(unittest.TestCase):
    def test_every_rule_holds(self) -> None:
        figures, found, answers = asyncio.run(drill.run(drill.Options(11, 20.0)))
        self.assertTrue(drill.passed(figures, found, answers), (figures, found.notes, answers.notes))

    def test_the_checker_finds_faults_planted_in_processes(self) -> None:
        async def apart(rig: FleetHarness) -> None:
            """One is cut off as the others change the policy (see `RolloutUnderFaults`)."""
            cut(rig, 0)
            await propose(rig, 1)
            await asyncio.sleep(2.5)

        async def both() -> list[tuple[FleetHarness, Clients]]:
            return await asyncio.gather(
                *(
                    _stand(apart, 3.0, "lemonridge.cli.mutant", f"fleet-fault={fault}")
                    for fault in ("switches-at-once", "serves-on")
                )
            )

        for rig, _ in asyncio.run(both()):
            self.assertGreater(judged(rig).mixed_epochs, 0)
