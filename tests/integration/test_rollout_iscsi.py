"""One policy for brokers with the iSCSI front, which also puts the plans from etcd into force."""

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
from lemonridge.lab.links.datagrams import Network, reserve_tcp_port
from lemonridge.lab.standins.etcd import Etcd
from lemonridge.net.admin_client import CallError, call

LEASE_MS, BROKERS = 1000, 3


class LateTarget(Target):
    """Answers no login before `may_serve` is set; `connected` is set at the first connection."""

    def __init__(self) -> None:
        super().__init__()
        self.may_serve, self.connected = asyncio.Event(), asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connected.set()
        await self.may_serve.wait()
        await super()._serve(reader, writer)


class IscsiFleet(unittest.IsolatedAsyncioTestCase):
    """Three brokers with the iSCSI front in front of one target, with their nodes and plans in etcd."""

    async def asyncSetUp(self) -> None:
        self.etcd = Etcd()
        await self.etcd.start()
        self.addAsyncCleanup(self.etcd.stop)
        self.target = LateTarget()
        await self.target.start()
        self.etcd.put("/lr/nodes/n1", self.target.node_entry(0))
        self.network = await Network(BROKERS, 1).start()
        self.addCleanup(self.network.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        reserved_ports = [reserve_tcp_port() for _ in range(BROKERS)]
        self.admins = [Address("127.0.0.1", port.getsockname()[1]) for port in reserved_ports]
        for port in reserved_ports:
            self.addCleanup(port.close)
        self.programs: list[Program] = []
        self.ports = [0] * BROKERS
        for number in range(BROKERS):
            VoteStore(str(self.folder / f"votes{number}")).create()
            self.programs.append(await self.start(number))

    def write_config(self, number: int) -> Path:
        """Writes the configuration of a broker and returns its path."""
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
            f'[[fleet.member]]\nname = "b{n}"\naddress = "{address}"\n'
            for n, address in enumerate(self.network.peer_addresses(number))
        )
        path = self.folder / f"iscsi{number}.toml"
        path.write_text(
            f'{text}\n[etcd]\nendpoint = "127.0.0.1:{self.etcd.port}"\nprefix = "/lr/"\n'
            f'[fleet]\nname = "b{number}"\nlisten = "{self.network.listen_address(number)}"\n'
            f'admin = "{self.admins[number]}"\n[fleet.policy]\nstore = "{self.folder}/votes{number}"\n'
            f"lease_ms = {LEASE_MS}\n{members}"
        )
        return path

    async def start(self, number: int) -> Program:
        """Starts a broker and waits until it listens."""
        program = await Program().start("serve", "--config", str(self.write_config(number)))
        self.addAsyncCleanup(program.stop, signal.SIGKILL)
        self.ports[number] = int((await program.wait_for_line("event=listening")).rsplit(":", 1)[1])
        return program

    async def policy_view(self, number: int) -> dict[str, Any]:
        """Returns a broker's reply to the call `policy`."""
        view: dict[str, Any] = orjson.loads(await call(self.admins[number], "policy"))
        return view

    async def wait_for_epoch(self, epoch: int, *numbers: int) -> None:
        """Waits until these brokers use the policy of one epoch only."""
        timeout_at = time.monotonic() + TIMEOUT_S  # long enough for a slow disk: each vote is synced
        while [(await self.policy_view(n))["goes_by"] for n in numbers] != [[epoch, epoch]] * len(numbers):
            self.assertLess(time.monotonic(), timeout_at, [await self.policy_view(n) for n in numbers])
            await asyncio.sleep(0.02)

    def limit(self, view: dict[str, Any]) -> float:
        """Returns the limit of the plan `basic` in a broker's policy."""
        return next(float(plan["limit"]) for plan in view["policy"]["plan"] if plan["name"] == "basic")

    async def test_plan_from_etcd_is_in_force_at_all_brokers_or_none(self) -> None:
        await self.wait_for_epoch(0, 0, 1, 2)
        self.assertEqual(await call(self.admins[0], "ready"), "serving")
        old_limit = self.limit(await self.policy_view(0))
        plan = {"rate": 1000, "weight": 1, "limit": 2 * old_limit, "burst": 2 * old_limit}
        self.etcd.put("/lr/plans/basic", plan)
        await self.wait_for_epoch(1, 0, 1, 2)
        self.assertEqual([self.limit(await self.policy_view(n)) for n in range(3)], [2 * old_limit] * 3)
        self.assertIn("contracts of etcd", (await self.policy_view(2))["history"][-1])
        # A limit below the floor that every policy contains is rejected everywhere, once and with a reason.
        self.etcd.put("/lr/plans/basic", {**plan, "limit": old_limit / 100})
        line = await self.programs[0].wait_for_line("plans of etcd rejected")
        self.assertIn("under the floor", line)
        # A proposal that contradicts etcd is rejected, since etcd would change it back.
        view = await self.policy_view(0)
        with self.assertRaises(CallError) as caught:
            await call(self.admins[0], "policy-propose " + orjson.dumps({"policy": view["policy"]}).decode())
        self.assertIn("comes from etcd", str(caught.exception))
        self.assertEqual((await self.policy_view(1))["epoch"], 1)

    async def test_restarted_broker_learns_the_policy_and_partitioned_broker_uses_the_floor(self) -> None:
        await self.wait_for_epoch(0, 0, 1, 2)
        old_limit = self.limit(await self.policy_view(0))
        await self.programs[2].stop(signal.SIGKILL)
        for stretch in self.network.links.values():
            stretch.cut = True
        plan = {"rate": 1000, "weight": 1, "limit": 2 * old_limit, "burst": 2 * old_limit}
        self.etcd.put("/lr/plans/basic", plan)
        timeout_at = time.monotonic() + TIMEOUT_S
        while (await self.policy_view(0))["goes_by"] != "floor":
            self.assertLess(time.monotonic(), timeout_at)
            await asyncio.sleep(0.02)
        self.assertEqual((await self.policy_view(0))["epoch"], 0)  # there is no majority
        self.programs[2] = await self.start(2)
        reply = "Connect call failed"
        while "Connect call failed" in reply:  # the program opens the address for operators last
            self.assertLess(time.monotonic(), timeout_at + TIMEOUT_S, reply)
            try:
                reply = await call(self.admins[2], "ready")
            except CallError as error:
                reply = str(error)
        self.assertIn("no policy in force yet", reply)  # it receives no messages from other brokers
        for stretch in self.network.links.values():
            stretch.cut = False
        await self.wait_for_epoch(1, 0, 1, 2)

    async def test_attempt_decided_under_an_earlier_epoch_is_not_sent(self) -> None:
        """The policy changes during the login at the node; the scheduler then decides the attempt again."""

        await self.wait_for_epoch(0, 0, 1, 2)
        old_limit = self.limit(await self.policy_view(0))
        session = await Initiator(self.ports[0]).start()
        self.addCleanup(session.writer.close)
        read_task = asyncio.create_task(session.read(1, 4096))
        await self.target.connected.wait()
        plan = {"rate": 1000, "weight": 1, "limit": 2 * old_limit, "burst": 2 * old_limit}
        self.etcd.put("/lr/plans/basic", plan)
        await self.wait_for_epoch(1, 0, 1, 2)
        self.assertEqual(self.target.started_commands, [])
        self.target.may_serve.set()
        status, _, _ = await read_task
        self.assertEqual((status, len(self.target.started_commands)), (0, 1))
        counts = await self.programs[0].counters()
        self.assertEqual((counts.get("attempts.not_sent"), counts["attempts.ok"]), (1, 1))
