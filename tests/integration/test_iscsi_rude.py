"""Initiators that misbehave harm no other, noise breaks nothing, and the nodes' side proves itself."""

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
from lemonridge.lab.conform.cases import STORE
from lemonridge.lab.conform.peer import CaseError, Peer
from lemonridge.lab.measure.iscsi import BLOCKS, CONFIG
from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.mover import Mover
from lemonridge.lab.standins.node import ExtentNode
from lemonridge.lab.ticks import Ticks

US = "iqn.2026-12.org.lemonridge:us"
READ = b"\x28" + bytes(6) + b"\0\x08\0"
ROUNDS = 400


class IscsiFrontCase(unittest.IsolatedAsyncioTestCase):
    """One program before one stand-in node."""

    front = "ping_s = 0\nmax_connections = 60\nmax_sessions = 30\nstatuses_kept = 16\n"
    environment: dict[str, str] = {}

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.node = await ExtentNode("n0", 0, Ticks(), Random(0), plain=True).start()
        self.addCleanup(self.node.kill)
        Mover([self.node], Etcd(), "/", self.node.ticks, Random(0)).lay(0, 1, BLOCKS)
        self.program, self.port = await self.launch("a", self.node.port, self.front)

    async def launch(
        self, name: str, behind: int, front: str = "", initiator: str = "", node: str = "n0"
    ) -> tuple[Program, int]:
        text = CONFIG.format(store=STORE, port=behind, front=front)
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
        made = await Peer("127.0.0.1", self.port, STORE, US).open()
        self.addCleanup(made.close)
        return await made.login(**keys)


class Rude(IscsiFrontCase):
    async def test_noise_breaks_nothing(self) -> None:
        """PDUs of random fields and bytes at random; now and then a good session must be served at once."""
        random = Random(8)
        good = await self.peer()
        for round_ in range(ROUNDS):
            peer = await Peer("127.0.0.1", self.port, STORE, US).open()
            try:
                if random.random() < 0.8:
                    await peer.login(ErrorRecoveryLevel=str(random.randrange(3)))
                for _ in range(random.randrange(1, 6)):
                    if random.random() < 0.2:
                        peer.raw(random.randbytes(random.randrange(1, 200)))
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
                    peer.put(pdu, number=random.random() < 0.5)
                await peer.writer.drain()
            except (CaseError, ConnectionError):
                pass  # the login was refused, or the connection is over
            if round_ % 20 == 0:
                await asyncio.sleep(0.02)
                self.assertEqual(len(await good.good(READ, read=4096)), 4096)
            peer.close(reset=True)
        counts = await self.program.counters()
        self.assertNotIn("failed", " ".join(line for line in self.program.lines if "Traceback" in line))
        self.assertGreater(counts["pdus.rejected"], 50)
        while (await self.program.counters()).get("connections.taken", 0) < ROUNDS:
            await asyncio.sleep(0.01)
        self.assertEqual(len(await good.good(READ, read=4096)), 4096)

    async def test_connections_by_hundreds_and_stalled_logins_leave_room(self) -> None:
        good = await self.peer()
        opened = []
        for _ in range(300):
            try:
                peer = await Peer("127.0.0.1", self.port, STORE, US).open()
                peer.raw(b"\x43")  # the first byte of a login
                opened.append(peer)
            except ConnectionError:
                pass
        self.assertEqual(len(await good.good(READ, read=4096)), 4096)
        counts = await self.program.counters()
        self.assertGreater(counts["connections.refused"], 200)
        for peer in opened:
            peer.close(reset=True)

    async def test_one_that_stalls_or_reads_nothing_holds_up_no_other(self) -> None:
        stalled, deaf, good = await self.peer(), await self.peer(), await self.peer()
        stalled.raw(b"\x01\x81" + bytes(10))  # a quarter of a header
        for number in range(200):
            words = list(struct.unpack(">4I", (b"\x28" + bytes(6) + b"\0\x80\0").ljust(16, b"\0")))
            deaf.put(Pdu(Op.SCSI_COMMAND, FINAL | 0x41, tag=number + 1, words=[65536, 0, 0, *words]))
        for _ in range(50):
            self.assertEqual(len(await good.good(READ, read=4096)), 4096)

    async def test_one_that_acknowledges_nothing_stops_itself(self) -> None:
        """At level 1 its statuses are kept up to the bound; then its window is closed."""
        peer = await self.peer(ErrorRecoveryLevel="1")
        held = peer.exp_stat_sn
        answered = 0
        for _ in range(200):
            peer.command(bytes(6))
            peer.exp_stat_sn = 0
            try:
                async with asyncio.timeout(0.3):
                    await peer.get(Op.SCSI_RESPONSE)
            except TimeoutError:
                break
            answered += 1
            peer.exp_stat_sn = held
        self.assertLess(answered, 90)
        other = await self.peer()
        self.assertEqual(len(await other.good(READ, read=4096)), 4096)


class Silent(IscsiFrontCase):
    front = "ping_s = 0.5\n"

    async def test_a_silent_initiator_is_pinged_and_then_given_up(self) -> None:
        peer, good = await self.peer(), await self.peer()
        ping = await peer.get(Op.NOP_IN)
        self.assertNotEqual(ping.words[0], 0xFFFFFFFF)
        peer.put(Pdu(Op.NOP_OUT, FINAL, immediate=True, words=[ping.words[0]] + [0] * 6))
        again = await peer.get(Op.NOP_IN)
        self.assertNotEqual(again.words[0], ping.words[0])
        await peer.ended()
        del good
        await self.program.wait_for_line("initiator silent")


class PersistentReservations(IscsiFrontCase):
    """Reservations through a restart, where the operator gave them a place."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "reservations.json"
        self.front = f'reservations = "{self.file}"\n'
        await super().asyncSetUp()

    async def out(self, peer: Peer, action: int, key: int, new: int, kind: int = 0, flags: int = 0) -> int:
        cdb = bytes([0x5F, action, kind, 0, 0, 0, 0, 0, 24, 0])
        return (await peer.do(cdb, data=struct.pack(">QQ4xBxxx", key, new, flags)))[0]

    async def test_what_was_asked_to_last_does_and_the_rest_does_not(self) -> None:
        one, two = await self.peer(), await self.peer()
        self.assertEqual(await self.out(one, 6, 0, 11, flags=1), 0)
        self.assertEqual(await self.out(one, 1, 11, 0, kind=3), 0)
        self.assertEqual((await two.do(READ, read=4096))[0], 0x18)
        self.assertEqual(await self.program.stop(signal.SIGKILL), -9)
        self.program, self.port = await self.launch("a", self.node.port, self.front)
        two, again = await self.peer(), Peer("127.0.0.1", self.port, STORE, US, one.isid)
        await (await again.open()).login()
        self.assertEqual((await two.do(READ, read=4096))[0], 0x18)
        self.assertEqual(len(await again.good(READ, read=4096)), 4096)
        self.assertEqual(await self.out(again, 6, 0, 11, flags=0), 0)  # no longer asked for
        await self.program.stop(signal.SIGKILL)
        self.file.write_text(self.file.read_text() + "x")  # and what is spoilt is put aside
        self.program, self.port = await self.launch("a", self.node.port, self.front)
        self.assertEqual(len(await (await self.peer()).good(READ, read=4096)), 4096)
        self.assertTrue(self.file.with_suffix(".spoilt").exists())


class Behind(IscsiFrontCase):
    """Two programs, one behind the other: what one asks for as an initiator, the other wants as a target."""

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

    async def before(self, change: str = "") -> int:
        """The port of a program before the first one."""
        path = self.folder / f"secrets{len(change)}.toml"
        path.write_text(self.text.replace("a secret of", change) if change else self.text)
        path.chmod(0o600)
        _, port = await self.launch(
            "b", self.port, f'secrets = "{path}"\n', 'chap = "front"\ndigests = ["CRC32C"]', "store"
        )
        return port

    async def test_mutual_chap_and_digests_towards_a_node(self) -> None:
        self.port = await self.before()
        peer = await self.peer()
        data = Random(3).randbytes(65536)
        status, _, _ = await peer.do(b"\x2a" + bytes(6) + b"\0\x10\0", data=data[:8192])
        self.assertEqual(status, 0)
        self.assertEqual(await peer.good(b"\x28" + bytes(6) + b"\0\x10\0", read=8192), data[:8192])

    async def test_a_wrong_secret_reaches_no_node(self) -> None:
        self.port = await self.before("another secret of")
        peer = await self.peer()
        self.assertEqual((await peer.do(READ, read=4096))[0], 0x08)
        self.assertEqual(self.node.begun, [])
        self.assertGreater((await self.program.counters())["logins.unauthenticated"], 0)
