"""The real program before nodes whose extents move: each hard case on the wire, and the drill."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from harness import Program

from lemonridge.extents.routing import Redirect
from lemonridge.iscsi import versions
from lemonridge.lab.checkers.extents import stamp
from lemonridge.lab.drills.extents import Drill, Options, passed
from lemonridge.lab.load.initiator import Initiator, cdb
from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.mover import Mover
from lemonridge.lab.standins.node import BLOCK_BYTES, ExtentNode, HeldExtent
from lemonridge.lab.ticks import Ticks

TEXT = """
[iscsi]
listen = "127.0.0.1:0"
target = "iqn.2026-12.org.lemonridge:store"
queue_depth = 1024
[initiator]
name = "iqn.2026-12.org.lemonridge:broker"
[classes.read]
aim_ms = {deadline}
deadline_ms = {deadline}
[classes.write]
aim_ms = {deadline}
deadline_ms = {deadline}
[rules]
cold_units = 1000000
[[plan]]
name = "standard"
rate = 100000
reserve = 100000
[etcd]
endpoint = "127.0.0.1:{port}"
prefix = "/t/"
"""
MAP = '[[lun]]\nlun = 0\nplan = "standard"\nextents = "map"\n'
GOOD, CHECK, BUSY = 0x00, 0x02, 0x08


class ExtentCase(unittest.IsolatedAsyncioTestCase):
    """Three nodes, one LUN of four extents of 16 blocks, laid out as 0, 1, 2, 0."""

    extents = ""
    luns = MAP
    deadline_ms = 1000

    async def asyncSetUp(self) -> None:
        ticks = Ticks()
        self.etcd = await Etcd().start()
        self.addAsyncCleanup(self.etcd.stop)
        self.nodes = [await ExtentNode(f"n{n}", n, ticks, Random(n)).start() for n in range(3)]
        for node in self.nodes:
            self.addCleanup(node.kill)
        self.mover = Mover(self.nodes, self.etcd, "/t/", ticks, Random(1))
        self.mover.random = Scripted([self.nodes[n] for n in (0, 1, 2, 0)])  # type: ignore[assignment]
        nodes = {f"/t/nodes/{one.name}": one.etcd_entry() for one in self.nodes}
        self.etcd.transact({**self.mover.create_lun(0, 4, 16), **nodes})
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = Path(self.folder.name) / "t.toml"
        await self.launch()

    async def launch(self, wait: str = "map replaced") -> None:
        extents = self.extents.format(folder=self.folder.name)
        text = TEXT.format(port=self.etcd.port, deadline=self.deadline_ms)
        self.path.write_text(f"{text}{self.luns}[extents]\n{extents}\n")
        self.program = await Program().start("serve", "--config", str(self.path))
        self.addAsyncCleanup(self.program.end, signal.SIGKILL)
        waiting = {wait, "event=listening"}
        while waiting:
            text = await self.program.line("event=")
            if "event=listening" in text:
                self.port = int(text.rsplit(":", 1)[1])
            waiting = {word for word in waiting if word not in text}
        self.session = await Initiator(self.port).start()
        self.addCleanup(self.session.close)

    async def move(self, extent: int, to: int, publish: bool = True) -> None:
        self.assertTrue(await self.mover.move((0, extent * 16), self.nodes[to], publish=publish))

    async def write(self, ident: int, first: int, blocks: int) -> int:
        data = b"".join(stamp(ident, first + place) for place in range(blocks))
        return (await self.session.write(first, data))[0]

    async def read(self, first: int, blocks: int) -> tuple[int, bytes]:
        return (await self.session.read(first, blocks * BLOCK_BYTES))[:2]

    def ran(self) -> list[tuple[str, int]]:
        """Which node ran how many blocks, in order."""
        lines = sorted((one for node in self.nodes for one in node.log), key=lambda one: one.tick)
        return [(one.node, one.blocks) for one in lines]


class Scripted(Random):
    """Chooses what it was given, in order."""

    def __init__(self, choices: list[Any]) -> None:
        super().__init__(0)
        self._choices = choices

    def choice(self, _: Any) -> Any:
        return self._choices.pop(0)


class Routing(ExtentCase):
    async def test_a_command_over_extents_is_split_and_joined(self) -> None:
        self.assertEqual(await self.write(7, 10, 50), GOOD)
        self.assertEqual(self.ran(), [("n0", 6), ("n1", 16), ("n2", 16), ("n0", 12)])
        want = b"".join(stamp(7, block) for block in range(10, 60))
        self.assertEqual(await self.read(10, 50), (GOOD, want))
        self.assertEqual(await self.read(0, 1), (GOOD, bytes(BLOCK_BYTES)))

    async def test_what_the_map_answers_itself(self) -> None:
        _, data, _ = await self.session.answer(self.session.command(b"\x25" + bytes(9), read=8))
        self.assertEqual(data, (63).to_bytes(4, "big") + (512).to_bytes(4, "big"))
        command = b"\x9e\x10" + bytes(8) + (32).to_bytes(4, "big")
        _, data, _ = await self.session.answer(self.session.command(command, read=32))
        self.assertEqual(data[:12], (63).to_bytes(8, "big") + (512).to_bytes(4, "big"))
        status, _, sense = await self.session.read(60, 5 * BLOCK_BYTES)
        self.assertEqual((status, sense[2:3] + sense[12:13]), (CHECK, b"\x05\x21"))
        self.assertEqual((await self.session.answer(self.session.command(cdb(0x28, 3, 0))))[0], GOOD)
        short = self.session.command(cdb(0x2A, 0, 4 * BLOCK_BYTES), data=bytes(BLOCK_BYTES))
        self.assertEqual((await self.session.answer(short))[0], CHECK)
        self.assertEqual((await self.session.answer(self.session.command(b"\x35" + bytes(9))))[0], GOOD)
        self.assertEqual(self.ran(), [])

    async def test_a_move_that_the_map_has_not_heard_of_costs_one_redirect(self) -> None:
        await self.move(1, 2, publish=False)
        self.assertEqual(await self.write(1, 16, 4), GOOD)
        self.assertEqual(self.ran(), [("n2", 4)])
        counts = await self.program.counters()
        self.assertEqual((counts["redirects"], counts.get("refreshes", 0)), (1, 0))

    async def test_an_extent_that_moves_twice_while_a_write_is_on_its_way(self) -> None:
        """It goes away and comes back: the first node holds it again, under a version that is news."""
        await self.move(1, 2, publish=False)
        await self.move(1, 1, publish=False)
        self.assertEqual(await self.write(1, 16, 4), GOOD)
        self.assertEqual((self.ran(), self.nodes[1].refused), ([("n1", 4)], 1))

    async def test_a_lost_refresh_is_asked_for_again_and_the_write_is_not_lost(self) -> None:
        """The node knows nothing of where the extent went, and the watch has lost the change."""
        self.etcd.plan_delivery = lambda revision, events: []
        await self.move(1, 0)
        del self.nodes[1].redirects[0, 16]
        self.assertEqual(await self.write(1, 16, 4), GOOD)
        self.assertEqual(self.ran(), [("n0", 4)])
        self.assertEqual((await self.program.counters())["refreshes.news"], 1)

    async def test_a_change_that_was_lost_shows_at_the_next_one(self) -> None:
        self.etcd.plan_delivery = lambda revision, events: []
        await self.move(1, 0)
        self.etcd.plan_delivery = lambda revision, events: [(0.0, events), (0.0, events)]
        await self.move(2, 1)
        await self.program.line("etcd watch out of step")
        await self.program.line("map replaced")
        self.assertEqual(await self.read(16, 32), (GOOD, bytes(32 * BLOCK_BYTES)))
        self.assertEqual(sum(node.refused for node in self.nodes), 0)

    async def test_refused_and_failed_pieces_are_told_apart(self) -> None:
        self.nodes[1].delay_s = lambda: 5.0  # a write that hangs there may run
        self.assertEqual(await self.write(1, 12, 30), CHECK)
        self.nodes[1].delay_s = lambda: 0.0
        self.assertEqual([one for one in self.ran() if one[0] == "n2"], [])  # the later piece was not begun

    async def test_a_fence_that_nobody_lifts_is_refused_and_never_ran(self) -> None:
        self.nodes[1].extents[0, 16].fenced = True
        self.assertEqual(await self.write(1, 16, 4), BUSY)
        self.assertEqual((self.ran(), await self.read(0, 4)), ([], (GOOD, bytes(4 * BLOCK_BYTES))))
        self.assertIn("routes.unconfirmed=1", " ".join(await self.lines()))

    async def lines(self) -> list[str]:
        await self.program.counters()
        return self.program.lines

    async def test_what_waits_for_a_dead_shard_goes_on_when_its_extent_moves(self) -> None:
        self.etcd.delete("/t/nodes/n1")
        await self.program.line("state=removed")
        tag = self.session.command(cdb(0x28, 16, BLOCK_BYTES), read=BLOCK_BYTES)
        while (await self.program.counters()).get("requests.taken", 0) < 1:
            await asyncio.sleep(0)
        await self.move(1, 2)
        self.assertEqual((await self.session.answer(tag))[0], GOOD)
        self.assertEqual((await self.program.counters())["redirects.queued"], 1)

    async def test_a_write_of_which_one_piece_ran_is_failed_and_one_that_did_not_run_is_refused(self) -> None:
        self.nodes[1].kill()
        self.assertEqual(await self.write(1, 12, 8), CHECK)  # n0 ran, n1 cannot
        self.assertEqual(await self.write(2, 20, 20), BUSY)  # n1 comes first: nothing ran
        self.assertEqual((await self.read(12, 8))[0], BUSY)
        self.assertEqual(self.ran()[0], ("n0", 4))
        self.assertEqual([one.data for node in self.nodes for one in node.log if one.data][1:], [])

    async def test_a_volume_that_grows_is_told_to_its_initiators(self) -> None:
        key, node = (0, 64), self.nodes[2]
        node.add_extent(key, HeldExtent(16, 1), {})
        self.mover.owners[key] = node
        self.mover.publish([key])
        async with asyncio.timeout(10):
            while (told := await self.session.read(0, BLOCK_BYTES))[0] == GOOD:
                await asyncio.sleep(0.005)
        self.assertEqual((told[0], told[2][2], told[2][12:14]), (CHECK, 0x06, b"\x2a\x09"))
        self.assertEqual(await self.read(60, 10), (GOOD, bytes(10 * BLOCK_BYTES)))

    async def test_a_node_that_checks_no_versions_gets_nothing(self) -> None:
        other = self.nodes[1]
        other.kill()
        key, versions.EXTENT_VERSION_KEY = (
            versions.EXTENT_VERSION_KEY,
            "X-org.lemonridge.Other",
        )  # of the stand-in's side only
        self.addCleanup(setattr, versions, "KEY", key)
        await other.start()
        self.etcd.put("/t/nodes/n1", other.etcd_entry())
        await self.program.line(f":{other.port}/")
        self.assertEqual(await self.write(1, 16, 4), BUSY)
        self.assertEqual(other.command_start_times, [])


class Burst(ExtentCase):
    deadline_ms = 9000

    async def test_a_thousand_stale_requests_cause_a_handful_of_refreshes(self) -> None:
        """Nobody tells where the extent went until the source does."""
        self.etcd.plan_delivery = lambda revision, events: []
        await self.move(1, 0)
        del self.nodes[1].redirects[0, 16]
        tags = [self.session.command(cdb(0x28, 16, BLOCK_BYTES), read=BLOCK_BYTES) for _ in range(1000)]
        ends = [(await self.session.answer(tag))[0] for tag in tags]
        counts = await self.program.counters()
        self.assertEqual(set(ends), {GOOD})
        self.assertLessEqual(counts["refreshes"], 3, counts)
        self.assertEqual(set(self.session.answer_counts.values()), {1})


class Aging(ExtentCase):
    extents = "write_age_s = 1\nread_age_s = 2.2"

    async def test_a_source_that_is_silent_for_long_stops_writes_then_reads(self) -> None:
        self.assertEqual(await self.write(1, 0, 4), GOOD)
        self.etcd.silent = True
        for command in (lambda: self.write(2, 0, 4), lambda: self.read(0, 4)):
            async with asyncio.timeout(10):
                while (end := await command()) not in (BUSY, (BUSY, b"")):
                    self.assertIn(end, (GOOD, (GOOD, b"".join(stamp(2, n) for n in range(4)))))
                    await asyncio.sleep(0.01)
            if command is not None and await self.read(0, 1) == (BUSY, b""):
                break
            self.assertEqual((await self.read(0, 1))[0], GOOD)  # writes stop first
        self.etcd.silent = False
        async with asyncio.timeout(10):
            while await self.write(3, 0, 4) != GOOD:
                await asyncio.sleep(0.01)


class Keeping(ExtentCase):
    extents = 'keep = "{folder}/map"\nkeep_age_s = 60'

    async def again(self) -> None:
        """Start anew while the source tells nodes and plans, and hangs with the map."""
        self.session.close()
        self.assertEqual(await self.program.end(), 0)
        self.etcd.blocked_prefix = "/t/map/"
        await self.launch()

    async def test_a_kept_map_serves_reads_and_no_writes_until_the_source_has_spoken(self) -> None:
        await self.move(1, 2)
        self.assertEqual(await self.write(1, 0, 64), GOOD)  # by the node's word, whoever is first to tell
        await self.program.counted("map.applied")  # now by the source's too, which is what is kept
        refused = self.nodes[1].refused  # one, where the write came before the source's word
        await self.again()
        self.assertEqual((await self.read(0, 64))[0], GOOD)
        self.assertEqual((self.nodes[1].refused - refused, await self.write(2, 0, 4)), (0, BUSY))
        self.etcd.blocked_prefix = ""
        async with asyncio.timeout(10):
            while await self.write(2, 0, 4) != GOOD:
                await asyncio.sleep(0.01)

    async def test_a_damaged_map_is_not_used(self) -> None:
        self.session.close()
        self.assertEqual(await self.program.end(), 0)
        for path in Path(self.folder.name, "map").glob("data.mdb"):
            raw = bytearray(path.read_bytes())
            record = (0).to_bytes(4, "big") + (16).to_bytes(8, "big") + (16).to_bytes(8, "big")
            self.assertGreaterEqual(raw.find(record), 0)
            path.write_bytes(raw.replace(record, record[:-1] + b"\x11"))
        await self.launch(wait="cached map not used")
        async with asyncio.timeout(10):
            while await self.write(2, 0, 64) != GOOD:
                await asyncio.sleep(0.01)

    async def test_a_file_that_is_no_store_is_put_aside(self) -> None:
        self.session.close()
        self.assertEqual(await self.program.end(), 0)
        Path(self.folder.name, "map", "data.mdb").write_bytes(b"spoilt" * 4096)
        await self.launch(wait="cached map corrupt")
        async with asyncio.timeout(10):
            while await self.write(2, 0, 64) != GOOD:
                await asyncio.sleep(0.01)
        self.assertTrue(Path(self.folder.name, "map", "data.mdb.spoilt").exists())


class Standing(ExtentCase):
    """A map that stands in the operator's file."""

    luns = '[[lun]]\nlun = 0\nplan = "standard"\n' + "".join(
        f"[[lun.extent]]\nfirst = {n * 16}\nblocks = 16\nshard = {n % 3}\nversion = 1\n" for n in range(4)
    )

    async def launch(self, wait: str = "map replaced") -> None:
        await super().launch(wait)

    async def test_it_serves_and_follows_the_nodes_word(self) -> None:
        self.assertEqual(await self.write(1, 0, 64), GOOD)
        await self.move(1, 2, publish=False)
        self.assertEqual((await self.read(16, 4))[0], GOOD)


class InFile(ExtentCase):
    """A map in a file of its own."""

    extents = 'file = "{folder}/map.json"'

    def put(self, version: int) -> None:
        rows = [
            (0, key[1], node.extents[key].length, node.shard, node.extents[key].version)
            for key, node in self.mover.owners.items()
        ]
        made = Path(self.folder.name, "map.new")
        made.write_bytes(msgspec.json.encode({"version": version, "extents": rows}))
        made.rename(Path(self.folder.name, "map.json"))

    async def launch(self, wait: str = "map replaced") -> None:
        self.put(1)
        await super().launch(wait)

    async def test_it_is_followed_and_what_cannot_be_read_changes_nothing(self) -> None:
        self.assertEqual(await self.write(1, 0, 64), GOOD)
        await self.move(1, 2, publish=False)
        self.put(2)
        await self.program.line("map replaced")
        self.assertEqual(await self.write(2, 0, 64), GOOD)
        self.put(1)
        await self.program.line("map file is older")
        Path(self.folder.name, "map.json").write_text('{"version":9}')
        await self.program.line("map file not read")
        self.assertEqual((await self.read(0, 64))[0], GOOD)


class Drilling(unittest.IsolatedAsyncioTestCase):
    async def test_the_drill_holds(self) -> None:
        options = Options(11, seconds=4.0)
        figures, found = await Drill(options).run()
        self.assertTrue(passed(figures, options), (figures, found.notes))

    async def test_the_drill_can_fail(self) -> None:
        """Without version checks in the nodes, writes land on nodes that gave the extent away."""
        options = Options(12, seconds=4.0, move_every_s=0.1, checked=False)
        figures, _ = await Drill(options).run()
        self.assertGreater(figures["misdirected_writes"], 0)
        self.assertFalse(passed(figures, options))


class Versions(unittest.TestCase):
    def test_what_is_packed_is_what_is_read(self) -> None:
        self.assertEqual(versions.unpack_ahs(versions.pack_ahs(5, 1 << 60)), (5, 1 << 60))
        other = b"\x00\x05\x02\x00" + bytes(4)  # a segment of another type before it
        self.assertEqual(versions.unpack_ahs(other + versions.pack_ahs(0, 9)), (0, 9))
        self.assertIsNone(versions.unpack_ahs(other))
        with self.assertRaises(ValueError):
            versions.unpack_ahs(versions.pack_ahs(0, 9)[:-4])
        for told in (Redirect(), Redirect(7, 3), Redirect(-1, 3), Redirect(0, -1)):
            self.assertEqual(versions.unpack_redirect_sense(versions.pack_redirect_sense(told)), told)
        self.assertIsNone(versions.unpack_redirect_sense(b"\x72\x0b\x80\x02" + bytes(20)))
        self.assertIsNone(versions.unpack_redirect_sense(b""))
        self.assertEqual(
            versions.unpack_redirect_sense(versions.pack_redirect_sense(Redirect(7, 3))[:9]), Redirect()
        )
