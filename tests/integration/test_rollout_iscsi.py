"""One policy for brokers with the iSCSI front, and contracts of etcd that come into force through it."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

import orjson
from harness import ROOT, TIMEOUT_S, Initiator, Program, Target

from lemonridge.config.address import Address
from lemonridge.coordination.vote_store import VoteStore
from lemonridge.lab.links.datagrams import Network, kept_port
from lemonridge.lab.standins.etcd import Etcd
from lemonridge.net.admin_client import CallError, call

LEASE_MS, BROKERS = 1000, 3


class Gated(Target):
    """Answers no login before its gate is open."""

    def __init__(self) -> None:
        super().__init__()
        self.gate, self.came = asyncio.Event(), asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.came.set()
        await self.gate.wait()
        await super()._serve(reader, writer)


class Fleet(unittest.IsolatedAsyncioTestCase):
    """Three brokers with the iSCSI front before one target, with their nodes and contracts in etcd."""

    async def asyncSetUp(self) -> None:
        self.etcd = Etcd()
        await self.etcd.start()
        self.addAsyncCleanup(self.etcd.stop)
        self.target = Gated()
        await self.target.start()
        self.etcd.put("/lr/nodes/n1", self.target.node_entry(0))
        self.network = await Network(BROKERS, 1).start()
        self.addCleanup(self.network.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        kept = [kept_port() for _ in range(BROKERS)]
        self.admins = [Address("127.0.0.1", one.getsockname()[1]) for one in kept]
        for one in kept:
            self.addCleanup(one.close)
        self.programs: list[Program] = []
        self.ports = [0] * BROKERS
        for number in range(BROKERS):
            VoteStore(str(self.folder / f"votes{number}")).create()
            self.programs.append(await self.start(number))

    def file(self, number: int) -> Path:
        text = (ROOT / "deploy" / "iscsi.toml").read_text()
        text = text[: text.index("[[node]]")].replace("127.0.0.1:3260", "127.0.0.1:0")
        for old, new in (
            ("brokers = 1 ", f"brokers = {BROKERS} "),
            ("connect_timeout_ms = 250", "connect_timeout_ms = 30000"),
            ("aim_ms = 300\ndeadline_ms = 2500", "aim_ms = 30000\ndeadline_ms = 30000"),
            ('plan = "standard"\nshard = 0', 'plan = "basic"\nshard = 0'),
        ):
            assert old in text, old
            text = text.replace(old, new)
        members = "".join(
            f'[[fleet.member]]\nname = "b{n}"\naddress = "{at}"\n'
            for n, at in enumerate(self.network.told(number))
        )
        path = self.folder / f"iscsi{number}.toml"
        path.write_text(
            f'{text}\n[etcd]\nendpoint = "127.0.0.1:{self.etcd.port}"\nprefix = "/lr/"\n'
            f'[fleet]\nname = "b{number}"\nlisten = "{self.network.listen(number)}"\n'
            f'admin = "{self.admins[number]}"\n[fleet.policy]\nstore = "{self.folder}/votes{number}"\n'
            f"lease_ms = {LEASE_MS}\n{members}"
        )
        return path

    async def start(self, number: int) -> Program:
        program = await Program().start("serve", "--config", str(self.file(number)))
        self.addAsyncCleanup(program.stop, signal.SIGKILL)
        self.ports[number] = int((await program.wait_for_line("event=listening")).rsplit(":", 1)[1])
        return program

    async def seen(self, number: int) -> dict[str, Any]:
        told: dict[str, Any] = orjson.loads(await call(self.admins[number], "policy"))
        return told

    async def by(self, epoch: int, *numbers: int) -> None:
        """Until these go by an epoch alone."""
        until = time.monotonic() + TIMEOUT_S  # of a disk that takes its time, too: each vote is synced
        while [(await self.seen(n))["goes_by"] for n in numbers] != [[epoch, epoch]] * len(numbers):
            self.assertLess(time.monotonic(), until, [await self.seen(n) for n in numbers])
            await asyncio.sleep(0.02)

    def limit(self, seen: dict[str, Any]) -> float:
        return next(float(row["limit"]) for row in seen["policy"]["plan"] if row["name"] == "basic")

    async def test_a_contract_of_etcd_is_in_force_everywhere_or_nowhere(self) -> None:
        await self.by(0, 0, 1, 2)
        self.assertEqual(await call(self.admins[0], "ready"), "serving")
        before = self.limit(await self.seen(0))
        row = {"rate": 1000, "weight": 1, "limit": 2 * before, "burst": 2 * before}
        self.etcd.put("/lr/plans/basic", row)
        await self.by(1, 0, 1, 2)
        self.assertEqual([self.limit(await self.seen(n)) for n in range(3)], [2 * before] * 3)
        self.assertIn("contracts of etcd", (await self.seen(2))["history"][-1])
        # Less than the floor that every policy contains: nowhere, with a reason, and it rests.
        self.etcd.put("/lr/plans/basic", {**row, "limit": before / 100})
        line = await self.programs[0].wait_for_line("plans of etcd rejected")
        self.assertIn("under the floor", line)
        # Who contradicts etcd is told so, since it would be changed back.
        told = await self.seen(0)
        with self.assertRaises(CallError) as caught:
            await call(self.admins[0], "policy-propose " + orjson.dumps({"policy": told["policy"]}).decode())
        self.assertIn("comes from etcd", str(caught.exception))
        self.assertEqual((await self.seen(1))["epoch"], 1)

    async def test_a_restarted_broker_learns_the_policy_and_a_partitioned_one_uses_the_floor(self) -> None:
        await self.by(0, 0, 1, 2)
        before = self.limit(await self.seen(0))
        await self.programs[2].stop(signal.SIGKILL)
        for stretch in self.network.stretches.values():
            stretch.cut = True
        row = {"rate": 1000, "weight": 1, "limit": 2 * before, "burst": 2 * before}
        self.etcd.put("/lr/plans/basic", row)
        until = time.monotonic() + TIMEOUT_S
        while (await self.seen(0))["goes_by"] != "floor":
            self.assertLess(time.monotonic(), until)
            await asyncio.sleep(0.02)
        self.assertEqual((await self.seen(0))["epoch"], 0)  # nobody may decide
        self.programs[2] = await self.start(2)
        told = "Connect call failed"
        while "Connect call failed" in told:  # it listens for operators last
            self.assertLess(time.monotonic(), until + TIMEOUT_S, told)
            try:
                told = await call(self.admins[2], "ready")
            except CallError as error:
                told = str(error)
        self.assertIn("no policy in force yet", told)  # it hears nobody, so it goes by nothing
        for stretch in self.network.stretches.values():
            stretch.cut = False
        await self.by(1, 0, 1, 2)

    async def test_an_attempt_decided_under_another_epoch_is_not_sent(self) -> None:
        """Its login to the node takes as long as the change: it is withheld, and decided on again."""
        await self.by(0, 0, 1, 2)
        before = self.limit(await self.seen(0))
        session = await Initiator(self.ports[0]).start()
        self.addCleanup(session.writer.close)
        reading = asyncio.create_task(session.read(1, 4096))
        await self.target.came.wait()
        row = {"rate": 1000, "weight": 1, "limit": 2 * before, "burst": 2 * before}
        self.etcd.put("/lr/plans/basic", row)
        await self.by(1, 0, 1, 2)
        self.assertEqual(self.target.started_commands, [])
        self.target.gate.set()
        status, _, _ = await reading
        self.assertEqual((status, len(self.target.started_commands)), (0, 1))
        counts = await self.programs[0].counters()
        self.assertEqual((counts.get("attempts.not_sent"), counts["attempts.ok"]), (1, 1))
