"""Misbehaving initiators, persistent reservations, and authentication at nodes."""

from __future__ import annotations

import asyncio
import signal
import struct
import tempfile
import unittest
from pathlib import Path
from random import Random

from harness import Program

from lemonridge.iscsi.pdu import FINAL, Op, Pdu
from lemonridge.lab.conform.cases import STORE_TARGET
from lemonridge.lab.conform.peer import CaseError, Peer
from lemonridge.lab.measure.iscsi import BLOCKS, CONFIG
from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.mover import Mover
from lemonridge.lab.standins.node import ExtentNode
from lemonridge.lab.ticks import Ticks

INITIATOR_NAME = "iqn.2026-12.org.lemonridge:us"
READ_CDB = b"\x28" + bytes(6) + b"\0\x08\0"
ROUNDS = 400


class IscsiFrontCase(unittest.IsolatedAsyncioTestCase):
    """A program with the iSCSI front in front of one stand-in node.

    Attributes:
        front: Settings of the front in the program's configuration.
        environment: Environment variables of the program.
    """

    front = "ping_s = 0\nmax_connections = 60\nmax_sessions = 30\nstatuses_kept = 16\n"
    environment: dict[str, str] = {}

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.node = await ExtentNode("n0", 0, Ticks(), Random(0), accepts_unversioned=True).start()
        self.addCleanup(self.node.kill)
        Mover([self.node], Etcd(), "/", self.node.ticks, Random(0)).create_lun(0, 1, BLOCKS)
        self.program, self.port = await self.launch("a", self.node.port, self.front)

    async def launch(
        self, name: str, node_port: int, front: str = "", initiator: str = "", node: str = "n0"
    ) -> tuple[Program, int]:
        """Starts a program and returns it and its port.

        Args:
            name: The name of the configuration file.
            node_port: The port of the node.
            front: Settings of the front.
            initiator: Settings of the program as an initiator at the node.
            node: The last part of the node's target name.
        """
        text = CONFIG.format(store=STORE_TARGET, port=node_port, front=front)
        for old, new in (
            ("[classes.read]", f"{initiator}\n[classes.read]"),
            ('target = "iqn.2026-12.org.lemonridge:n0"', f'target = "iqn.2026-12.org.lemonridge:{node}"'),
        ):
            text = text.replace(old, new)
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        program = await Program().start("serve", "--config", str(path), **self.environment)
        self.addAsyncCleanup(program.stop, signal.SIGKILL)
        return program, int((await program.wait_for_line("event=listening")).rsplit(":", 1)[1])

    async def peer(self, **keys: str) -> Peer:
        """Returns an initiator that has logged in with these keys."""
        peer = await Peer("127.0.0.1", self.port, STORE_TARGET, INITIATOR_NAME).open()
        self.addCleanup(peer.close)
        return await peer.login(**keys)


class MisbehavingInitiators(IscsiFrontCase):
    async def test_random_pdus_and_bytes_do_not_disturb_another_session(self) -> None:
        """Sends random PDUs and random bytes; a well-behaved session is served in between."""
        random = Random(8)
        well_behaved = await self.peer()
        for round_ in range(ROUNDS):
            peer = await Peer("127.0.0.1", self.port, STORE_TARGET, INITIATOR_NAME).open()
            try:
                if random.random() < 0.8:
                    await peer.login(ErrorRecoveryLevel=str(random.randrange(3)))
                for _ in range(random.randrange(1, 6)):
                    if random.random() < 0.2:
                        peer.send_bytes(random.randbytes(random.randrange(1, 200)))
                        continue
                    words = [
                        random.choice((0, 1, peer.cmd_sn, 512, 0xFFFFFFFF, random.randrange(1 << 32)))
                        for _ in range(7)
                    ]
                    pdu = Pdu(
                        random.choice([*Op, random.randrange(64)]),
                        random.randrange(256),
                        random.randrange(256),
                        random.randrange(256),
                        random.choice((bytes(8), random.randbytes(8))),
                        random.choice((1, 2, 0xFFFFFFFF)),
                        words,
                        random.randbytes(random.choice((0, 0, 5, 512))),
                        random.random() < 0.5,
                    )
                    peer.send(pdu, assign_numbers=random.random() < 0.5)
                await peer.writer.drain()
            except (CaseError, ConnectionError):
                pass  # the login was rejected, or the connection was closed
            if round_ % 20 == 0:
                await asyncio.sleep(0.02)
                self.assertEqual(len(await well_behaved.expect_good(READ_CDB, read=4096)), 4096)
            peer.close(reset=True)
        counts = await self.program.counters()
        self.assertNotIn("failed", " ".join(line for line in self.program.lines if "Traceback" in line))
        self.assertGreater(counts["pdus.rejected"], 50)
        while (await self.program.counters()).get("connections.taken", 0) < ROUNDS:
            await asyncio.sleep(0.01)
        self.assertEqual(len(await well_behaved.expect_good(READ_CDB, read=4096)), 4096)

    async def test_hundreds_of_stalled_logins_do_not_disturb_another_session(self) -> None:
        well_behaved = await self.peer()
        stalled_peers = []
        for _ in range(300):
            try:
                peer = await Peer("127.0.0.1", self.port, STORE_TARGET, INITIATOR_NAME).open()
                peer.send_bytes(b"\x43")  # the first byte of a login
                stalled_peers.append(peer)
            except ConnectionError:
                pass
        self.assertEqual(len(await well_behaved.expect_good(READ_CDB, read=4096)), 4096)
        counts = await self.program.counters()
        self.assertGreater(counts["connections.refused"], 200)
        for peer in stalled_peers:
            peer.close(reset=True)

    async def test_stalled_and_unread_connections_do_not_delay_another_session(self) -> None:
        stalled, unread, well_behaved = await self.peer(), await self.peer(), await self.peer()
        stalled.send_bytes(b"\x01\x81" + bytes(10))  # a quarter of a header
        for number in range(200):
            words = list(struct.unpack(">4I", (b"\x28" + bytes(6) + b"\0\x80\0").ljust(16, b"\0")))
            unread.send(Pdu(Op.SCSI_COMMAND, FINAL | 0x41, tag=number + 1, words=[65536, 0, 0, *words]))
        for _ in range(50):
            self.assertEqual(len(await well_behaved.expect_good(READ_CDB, read=4096)), 4096)

    async def test_command_window_of_an_initiator_that_acknowledges_no_status_closes(self) -> None:
        """At ErrorRecoveryLevel 1 unacknowledged statuses are kept up to a limit; then the window closes."""
        peer = await self.peer(ErrorRecoveryLevel="1")
        first_stat_sn = peer.exp_stat_sn
        answered = 0
        for _ in range(200):
            peer.send_command(bytes(6))
            peer.exp_stat_sn = 0
            try:
                async with asyncio.timeout(0.3):
                    await peer.receive(Op.SCSI_RESPONSE)
            except TimeoutError:
                break
            answered += 1
            peer.exp_stat_sn = first_stat_sn
        self.assertLess(answered, 90)
        other = await self.peer()
        self.assertEqual(len(await other.expect_good(READ_CDB, read=4096)), 4096)


class SilentInitiators(IscsiFrontCase):
    front = "ping_s = 0.5\n"

    async def test_silent_initiator_is_pinged_and_then_disconnected(self) -> None:
        peer, other = await self.peer(), await self.peer()
        ping = await peer.receive(Op.NOP_IN)
        self.assertNotEqual(ping.words[0], 0xFFFFFFFF)
        peer.send(Pdu(Op.NOP_OUT, FINAL, immediate=True, words=[ping.words[0]] + [0] * 6))
        second_ping = await peer.receive(Op.NOP_IN)
        self.assertNotEqual(second_ping.words[0], ping.words[0])
        await peer.expect_close()
        del other
        await self.program.wait_for_line("initiator silent")


class PersistentReservations(IscsiFrontCase):
    """Persistent reservations across a restart, stored in a file that the operator configured."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "reservations.json"
        self.front = f'reservations = "{self.file}"\n'
        await super().asyncSetUp()

    async def reserve_out(
        self, peer: Peer, action: int, key: int, new_key: int, reservation_type: int = 0, aptpl: int = 0
    ) -> int:
        """Sends PERSISTENT RESERVE OUT and returns the SCSI status."""
        cdb = bytes([0x5F, action, reservation_type, 0, 0, 0, 0, 0, 24, 0])
        return (await peer.execute(cdb, data=struct.pack(">QQ4xBxxx", key, new_key, aptpl)))[0]

    async def test_only_reservations_with_aptpl_survive_a_restart(self) -> None:
        holder, other = await self.peer(), await self.peer()
        self.assertEqual(await self.reserve_out(holder, 6, 0, 11, aptpl=1), 0)
        self.assertEqual(await self.reserve_out(holder, 1, 11, 0, reservation_type=3), 0)
        self.assertEqual((await other.execute(READ_CDB, read=4096))[0], 0x18)
        self.assertEqual(await self.program.stop(signal.SIGKILL), -9)
        self.program, self.port = await self.launch("a", self.node.port, self.front)
        other, new_holder = (
            await self.peer(),
            Peer("127.0.0.1", self.port, STORE_TARGET, INITIATOR_NAME, holder.isid),
        )
        await (await new_holder.open()).login()
        self.assertEqual((await other.execute(READ_CDB, read=4096))[0], 0x18)
        self.assertEqual(len(await new_holder.expect_good(READ_CDB, read=4096)), 4096)
        self.assertEqual(await self.reserve_out(new_holder, 6, 0, 11, aptpl=0), 0)
        await self.program.stop(signal.SIGKILL)
        self.file.write_text(self.file.read_text() + "x")  # a corrupt file is set aside
        self.program, self.port = await self.launch("a", self.node.port, self.front)
        self.assertEqual(len(await (await self.peer()).expect_good(READ_CDB, read=4096)), 4096)
        self.assertTrue(self.file.with_suffix(".spoilt").exists())


class ChainedPrograms(IscsiFrontCase):
    """Two programs in a chain: the first one is an initiator at the second one, which requires CHAP."""

    front = 'secrets = "{folder}/secrets.toml"\nchap = ["front"]\n'

    async def asyncSetUp(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.front = self.front.format(folder=folder)
            path = Path(folder) / "secrets.toml"
            path.write_text(
                '[[account]]\nname = "front"\nsecret = "a secret of ours"\nown_name = "back"\n'
                'own_secret = "a secret of theirs"\n'
            )
            path.chmod(0o600)
            self.text = path.read_text()
            await super().asyncSetUp()

    async def launch_in_front(self, secret_prefix: str = "") -> int:
        """Starts a program in front of the first one, by default with its secrets; returns its port."""
        path = self.folder / f"secrets{len(secret_prefix)}.toml"
        path.write_text(self.text.replace("a secret of", secret_prefix) if secret_prefix else self.text)
        path.chmod(0o600)
        _, port = await self.launch(
            "b", self.port, f'secrets = "{path}"\n', 'chap = "front"\ndigests = ["CRC32C"]', "store"
        )
        return port

    async def test_commands_are_served_with_mutual_chap_and_digests_at_the_node(self) -> None:
        self.port = await self.launch_in_front()
        peer = await self.peer()
        data = Random(3).randbytes(65536)
        status, _, _ = await peer.execute(b"\x2a" + bytes(6) + b"\0\x10\0", data=data[:8192])
        self.assertEqual(status, 0)
        self.assertEqual(await peer.expect_good(b"\x28" + bytes(6) + b"\0\x10\0", read=8192), data[:8192])

    async def test_no_command_is_sent_with_a_wrong_chap_secret(self) -> None:
        self.port = await self.launch_in_front("another secret of")

        peer = await self.peer()
        self.assertEqual((await peer.execute(READ_CDB, read=4096))[0], 0x08)
        self.assertEqual(self.node.command_start_times, [])
        self.assertGreater((await self.program.counters())["logins.unauthenticated"], 0)
