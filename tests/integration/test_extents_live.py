"""The real program in front of nodes whose extents move: the hard cases, and the drill."""

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

CONFIG = """
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
MAPPED_LUN = '[[lun]]\nlun = 0\nplan = "standard"\nextents = "map"\n'
GOOD, CHECK, BUSY = 0x00, 0x02, 0x08


class ExtentCase(unittest.IsolatedAsyncioTestCase):
    """A program in front of three nodes with one LUN: four extents of 16 blocks on the nodes 0, 1, 2, 0.

    Attributes:
        extents: The table `extents` of the configuration.
        luns: The tables `lun` of the configuration.
        deadline_ms: The deadline and the latency objective of both classes.
    """

    extents = ""
    luns = MAPPED_LUN
    deadline_ms = 1000

    async def asyncSetUp(self) -> None:
        ticks = Ticks()
        self.etcd = await Etcd().start()
        self.addAsyncCleanup(self.etcd.stop)
        self.nodes = [await ExtentNode(f"n{n}", n, ticks, Random(n)).start() for n in range(3)]
        for node in self.nodes:
            self.addCleanup(node.kill)
        self.mover = Mover(self.nodes, self.etcd, "/t/", ticks, Random(1))
        self.mover.random = ScriptedRandom([self.nodes[n] for n in (0, 1, 2, 0)])  # type: ignore[assignment]
        node_entries = {f"/t/nodes/{node.name}": node.etcd_entry() for node in self.nodes}
        self.etcd.transact({**self.mover.create_lun(0, 4, 16), **node_entries})
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = Path(self.folder.name) / "t.toml"
        await self.launch()

    async def launch(self, awaited_text: str = "map replaced") -> None:
        """Starts the program, waits until it listens and has logged a text, and logs in an initiator."""
        extents = self.extents.format(folder=self.folder.name)
        text = CONFIG.format(port=self.etcd.port, deadline=self.deadline_ms)
        self.path.write_text(f"{text}{self.luns}[extents]\n{extents}\n")
        self.program = await Program().start("serve", "--config", str(self.path))
        self.addAsyncCleanup(self.program.stop, signal.SIGKILL)
        missing = {awaited_text, "event=listening"}
        while missing:
            text = await self.program.wait_for_line("event=")
            if "event=listening" in text:
                self.port = int(text.rsplit(":", 1)[1])
            missing = {event for event in missing if event not in text}
        self.session = await Initiator(self.port).start()
        self.addCleanup(self.session.close)

    async def move(self, extent: int, to: int, publish: bool = True) -> None:
        """Moves an extent to another node; without `publish` the source does not learn of it."""
        self.assertTrue(await self.mover.move((0, extent * 16), self.nodes[to], publish=publish))

    async def write(self, write_id: int, first: int, blocks: int) -> int:
        """Writes blocks stamped with `write_id`; returns the SCSI status."""
        data = b"".join(stamp(write_id, first + offset) for offset in range(blocks))
        return (await self.session.write(first, data))[0]

    async def read(self, first: int, blocks: int) -> tuple[int, bytes]:
        """Reads blocks; returns the SCSI status and the data."""
        return (await self.session.read(first, blocks * BLOCK_BYTES))[:2]

    def executed_blocks(self) -> list[tuple[str, int]]:
        """Returns the node and the number of blocks of each executed command, in order."""
        executions = sorted(
            (execution for node in self.nodes for execution in node.log), key=lambda execution: execution.tick
        )
        return [(execution.node, execution.blocks) for execution in executions]


class ScriptedRandom(Random):
    """Returns the given choices in order."""

    def __init__(self, choices: list[Any]) -> None:
        super().__init__(0)
        self._choices = choices

    def choice(self, _: Any) -> Any:
        return self._choices.pop(0)


class ExtentRouting(ExtentCase):
    async def test_command_over_several_extents_is_split_and_joined(self) -> None:
        self.assertEqual(await self.write(7, 10, 50), GOOD)
        self.assertEqual(self.executed_blocks(), [("n0", 6), ("n1", 16), ("n2", 16), ("n0", 12)])
        expected = b"".join(stamp(7, block) for block in range(10, 60))
        self.assertEqual(await self.read(10, 50), (GOOD, expected))
        self.assertEqual(await self.read(0, 1), (GOOD, bytes(BLOCK_BYTES)))

    async def test_commands_answered_from_the_map_reach_no_node(self) -> None:
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
        self.assertEqual(self.executed_blocks(), [])

    async def test_unpublished_move_costs_one_redirect(self) -> None:
        await self.move(1, 2, publish=False)
        self.assertEqual(await self.write(1, 16, 4), GOOD)
        self.assertEqual(self.executed_blocks(), [("n2", 4)])
        counts = await self.program.counters()
        self.assertEqual((counts["redirects"], counts.get("refreshes", 0)), (1, 0))

    async def test_write_to_an_extent_that_moves_away_and_back_is_served(self) -> None:
        """The first node holds the extent again, under a version that the map does not know."""
        await self.move(1, 2, publish=False)
        await self.move(1, 1, publish=False)
        self.assertEqual(await self.write(1, 16, 4), GOOD)
        self.assertEqual((self.executed_blocks(), self.nodes[1].refused), ([("n1", 4)], 1))

    async def test_write_is_served_after_a_refresh_though_the_watch_lost_the_move(self) -> None:
        """The node does not know where the extent is, and the watch has lost the change."""
        self.etcd.plan_delivery = lambda revision, events: []
        await self.move(1, 0)
        del self.nodes[1].redirects[0, 16]
        self.assertEqual(await self.write(1, 16, 4), GOOD)
        self.assertEqual(self.executed_blocks(), [("n0", 4)])
        self.assertEqual((await self.program.counters())["refreshes.news"], 1)

    async def test_lost_change_is_detected_at_the_next_change(self) -> None:
        self.etcd.plan_delivery = lambda revision, events: []
        await self.move(1, 0)
        self.etcd.plan_delivery = lambda revision, events: [(0.0, events), (0.0, events)]
        await self.move(2, 1)
        await self.program.wait_for_line("etcd watch out of step")
        await self.program.wait_for_line("map replaced")
        self.assertEqual(await self.read(16, 32), (GOOD, bytes(32 * BLOCK_BYTES)))
        self.assertEqual(sum(node.refused for node in self.nodes), 0)

    async def test_write_with_a_hanging_piece_fails_and_starts_no_later_piece(self) -> None:
        self.nodes[1].delay_s = lambda: 5.0  # past the deadline: the piece may run
        self.assertEqual(await self.write(1, 12, 30), CHECK)
        self.nodes[1].delay_s = lambda: 0.0
        self.assertEqual([entry for entry in self.executed_blocks() if entry[0] == "n2"], [])

    async def test_write_to_a_fenced_extent_is_rejected_and_not_executed(self) -> None:
        self.nodes[1].extents[0, 16].fenced = True
        self.assertEqual(await self.write(1, 16, 4), BUSY)
        self.assertEqual(
            (self.executed_blocks(), await self.read(0, 4)), ([], (GOOD, bytes(4 * BLOCK_BYTES)))
        )
        self.assertIn("routes.unconfirmed=1", " ".join(await self.lines_with_counters()))

    async def lines_with_counters(self) -> list[str]:
        """Returns the log after the program has written its counters."""
        await self.program.counters()
        return self.program.lines

    async def test_queued_read_of_a_removed_shard_is_served_after_its_extent_moves(self) -> None:
        self.etcd.delete("/t/nodes/n1")
        await self.program.wait_for_line("state=removed")
        tag = self.session.command(cdb(0x28, 16, BLOCK_BYTES), read=BLOCK_BYTES)
        while (await self.program.counters()).get("requests.taken", 0) < 1:
            await asyncio.sleep(0)
        await self.move(1, 2)
        self.assertEqual((await self.session.answer(tag))[0], GOOD)
        self.assertEqual((await self.program.counters())["redirects.queued"], 1)

    async def test_partly_executed_write_fails_and_unexecuted_write_is_rejected(self) -> None:
        self.nodes[1].kill()
        self.assertEqual(await self.write(1, 12, 8), CHECK)  # n0 executed its piece, n1 cannot
        self.assertEqual(await self.write(2, 20, 20), BUSY)  # n1 has the first piece: none was executed
        self.assertEqual((await self.read(12, 8))[0], BUSY)
        self.assertEqual(self.executed_blocks()[0], ("n0", 4))
        self.assertEqual(
            [execution.data for node in self.nodes for execution in node.log if execution.data][1:], []
        )

    async def test_growth_of_a_volume_raises_a_unit_attention(self) -> None:
        key, node = (0, 64), self.nodes[2]
        node.add_extent(key, HeldExtent(16, 1), {})
        self.mover.owners[key] = node
        self.mover.publish([key])
        async with asyncio.timeout(10):
            while (response := await self.session.read(0, BLOCK_BYTES))[0] == GOOD:
                await asyncio.sleep(0.005)
        self.assertEqual((response[0], response[2][2], response[2][12:14]), (CHECK, 0x06, b"\x2a\x09"))
        self.assertEqual(await self.read(60, 10), (GOOD, bytes(10 * BLOCK_BYTES)))

    async def test_node_without_version_checks_receives_no_commands(self) -> None:
        node = self.nodes[1]
        node.kill()
        key, versions.EXTENT_VERSION_KEY = (
            versions.EXTENT_VERSION_KEY,
            "X-org.lemonridge.Other",
        )  # only the stand-in node uses this name
        self.addCleanup(setattr, versions, "EXTENT_VERSION_KEY", key)
        await node.start()
        self.etcd.put("/t/nodes/n1", node.etcd_entry())
        await self.program.wait_for_line(f":{node.port}/")
        self.assertEqual(await self.write(1, 16, 4), BUSY)
        self.assertEqual(node.command_start_times, [])


class SynchronizedWrites(ExtentCase):
    async def synchronize(self) -> list[int]:
        """Sends SYNCHRONIZE CACHE; returns how often each node has received the command so far."""
        response = await self.session.answer(self.session.command(b"\x35" + bytes(9)))
        self.assertEqual(response[0], GOOD)
        return [node.synchronizations for node in self.nodes]

    async def move_all_extents_to_node_0(self) -> None:
        await self.move(2, 0)
        await self.move(1, 0)
        await self.program.wait_for_counter("map.applied", 2)

    async def test_redirected_write_is_synchronized_before_the_map_knows_its_shard(self) -> None:
        """Otherwise an acknowledged and synchronized write is lost with its node."""
        await self.move_all_extents_to_node_0()
        self.assertEqual(await self.synchronize(), [1, 0, 0])
        await self.move(1, 2, publish=False)
        self.assertEqual(await self.write(1, 16, 4), GOOD)
        self.assertEqual(self.executed_blocks(), [("n2", 4)])
        self.assertEqual(await self.synchronize(), [2, 0, 1])

    async def test_synchronization_fails_while_the_shard_of_a_redirected_write_is_down(self) -> None:
        await self.move_all_extents_to_node_0()
        await self.move(1, 2, publish=False)
        self.assertEqual(await self.write(1, 16, 4), GOOD)
        self.nodes[2].kill()
        response = await self.session.answer(self.session.command(b"\x35" + bytes(9)))
        self.assertNotEqual(response[0], GOOD)

    async def test_shard_is_not_synchronized_after_the_map_knows_of_a_later_handover(self) -> None:
        await self.move_all_extents_to_node_0()
        await self.move(1, 2, publish=False)
        self.assertEqual(await self.write(1, 16, 4), GOOD)
        await self.move(1, 1)
        await self.program.wait_for_counter("map.applied", 3)
        self.assertEqual(await self.synchronize(), [1, 1, 0])


class StaleRequestBurst(ExtentCase):
    deadline_ms = 9000

    async def test_thousand_stale_requests_cause_at_most_three_refreshes(self) -> None:
        """Neither the node nor the watch reports where the extent is; only a refresh from the source does."""
        self.etcd.plan_delivery = lambda revision, events: []
        await self.move(1, 0)
        del self.nodes[1].redirects[0, 16]
        tags = [self.session.command(cdb(0x28, 16, BLOCK_BYTES), read=BLOCK_BYTES) for _ in range(1000)]
        statuses = [(await self.session.answer(tag))[0] for tag in tags]
        counts = await self.program.counters()
        self.assertEqual(set(statuses), {GOOD})
        self.assertLessEqual(counts["refreshes"], 3, counts)
        self.assertEqual(set(self.session.answer_counts.values()), {1})


class MapAge(ExtentCase):
    extents = "write_age_s = 1\nread_age_s = 2.2"

    async def test_silent_source_stops_writes_first_and_then_reads(self) -> None:
        self.assertEqual(await self.write(1, 0, 4), GOOD)
        self.etcd.silent = True
        for command in (lambda: self.write(2, 0, 4), lambda: self.read(0, 4)):
            async with asyncio.timeout(10):
                while (response := await command()) not in (BUSY, (BUSY, b"")):
                    self.assertIn(response, (GOOD, (GOOD, b"".join(stamp(2, n) for n in range(4)))))
                    await asyncio.sleep(0.01)
            if command is not None and await self.read(0, 1) == (BUSY, b""):
                break
            self.assertEqual((await self.read(0, 1))[0], GOOD)  # writes stop first
        self.etcd.silent = False
        async with asyncio.timeout(10):
            while await self.write(3, 0, 4) != GOOD:
                await asyncio.sleep(0.01)


class CachedMap(ExtentCase):
    extents = 'keep = "{folder}/map"\nkeep_age_s = 60'

    async def restart_without_map(self) -> None:
        """Restarts the program while the source sends nodes and plans but no map."""
        self.session.close()
        self.assertEqual(await self.program.stop(), 0)
        self.etcd.blocked_prefix = "/t/map/"
        await self.launch()

    async def test_cached_map_serves_reads_but_no_writes_until_the_source_responds(self) -> None:
        await self.move(1, 2)
        self.assertEqual(await self.write(1, 0, 64), GOOD)  # by a redirect, if the source was slower
        await self.program.wait_for_counter("map.applied")  # only the map of the source is cached
        refused = self.nodes[1].refused  # 1 if the write came before the change from the source
        await self.restart_without_map()
        self.assertEqual((await self.read(0, 64))[0], GOOD)
        self.assertEqual((self.nodes[1].refused - refused, await self.write(2, 0, 4)), (0, BUSY))
        self.etcd.blocked_prefix = ""
        async with asyncio.timeout(10):
            while await self.write(2, 0, 4) != GOOD:
                await asyncio.sleep(0.01)

    async def test_damaged_cached_map_is_not_used(self) -> None:
        self.session.close()
        self.assertEqual(await self.program.stop(), 0)
        for path in Path(self.folder.name, "map").glob("data.mdb"):
            raw = bytearray(path.read_bytes())
            record = (0).to_bytes(4, "big") + (16).to_bytes(8, "big") + (16).to_bytes(8, "big")
            self.assertGreaterEqual(raw.find(record), 0)
            path.write_bytes(raw.replace(record, record[:-1] + b"\x11"))
        await self.launch(awaited_text="cached map not used")
        async with asyncio.timeout(10):
            while await self.write(2, 0, 64) != GOOD:
                await asyncio.sleep(0.01)

    async def test_corrupt_cache_file_is_set_aside(self) -> None:
        self.session.close()
        self.assertEqual(await self.program.stop(), 0)
        Path(self.folder.name, "map", "data.mdb").write_bytes(b"spoilt" * 4096)
        await self.launch(awaited_text="cached map corrupt")
        async with asyncio.timeout(10):
            while await self.write(2, 0, 64) != GOOD:
                await asyncio.sleep(0.01)
        self.assertTrue(Path(self.folder.name, "map", "data.mdb.spoilt").exists())


class MapInConfiguration(ExtentCase):
    """A map in the operator's configuration file."""

    luns = '[[lun]]\nlun = 0\nplan = "standard"\n' + "".join(
        f"[[lun.extent]]\nfirst = {n * 16}\nblocks = 16\nshard = {n % 3}\nversion = 1\n" for n in range(4)
    )

    async def launch(self, awaited_text: str = "map replaced") -> None:
        await super().launch(awaited_text)

    async def test_map_in_the_configuration_serves_and_follows_redirects(self) -> None:
        self.assertEqual(await self.write(1, 0, 64), GOOD)
        await self.move(1, 2, publish=False)
        self.assertEqual((await self.read(16, 4))[0], GOOD)


class MapFile(ExtentCase):
    """A map in a separate file."""

    extents = 'file = "{folder}/map.json"'

    def write_map_file(self, version: int) -> None:
        """Replaces the map file by the nodes' current extents."""
        extents = [
            (0, key[1], node.extents[key].length, node.shard, node.extents[key].version)
            for key, node in self.mover.owners.items()
        ]
        new_file = Path(self.folder.name, "map.new")
        new_file.write_bytes(msgspec.json.encode({"version": version, "extents": extents}))
        new_file.rename(Path(self.folder.name, "map.json"))

    async def launch(self, awaited_text: str = "map replaced") -> None:
        self.write_map_file(1)
        await super().launch(awaited_text)

    async def test_map_file_is_followed_and_invalid_files_change_nothing(self) -> None:
        self.assertEqual(await self.write(1, 0, 64), GOOD)
        await self.move(1, 2, publish=False)
        self.write_map_file(2)
        await self.program.wait_for_line("map replaced")
        self.assertEqual(await self.write(2, 0, 64), GOOD)
        self.write_map_file(1)
        await self.program.wait_for_line("map file is older")
        Path(self.folder.name, "map.json").write_text('{"version":9}')
        await self.program.wait_for_line("map file not read")
        self.assertEqual((await self.read(0, 64))[0], GOOD)


class ExtentsDrill(unittest.IsolatedAsyncioTestCase):
    async def test_drill_meets_every_rule(self) -> None:
        options = Options(11, seconds=4.0)
        figures, findings = await Drill(options).run()
        self.assertTrue(passed(figures, options), (figures, findings.notes))

    async def test_drill_without_version_checks_fails(self) -> None:
        """Without version checks in the nodes, writes reach nodes that no longer hold the extent."""
        options = Options(12, seconds=4.0, move_every_s=0.1, checked=False)
        figures, _ = await Drill(options).run()
        self.assertGreater(figures["misdirected_writes"], 0)
        self.assertFalse(passed(figures, options))


class VersionEncoding(unittest.TestCase):
    def test_packed_versions_and_redirects_are_unpacked_unchanged(self) -> None:
        self.assertEqual(versions.unpack_ahs(versions.pack_ahs(5, 1 << 60)), (5, 1 << 60))
        other_segment = b"\x00\x05\x02\x00" + bytes(4)  # an AHS segment of another type
        self.assertEqual(versions.unpack_ahs(other_segment + versions.pack_ahs(0, 9)), (0, 9))
        self.assertIsNone(versions.unpack_ahs(other_segment))

        with self.assertRaises(ValueError):
            versions.unpack_ahs(versions.pack_ahs(0, 9)[:-4])
        for redirect in (Redirect(), Redirect(7, 3), Redirect(-1, 3), Redirect(0, -1)):
            self.assertEqual(versions.unpack_redirect_sense(versions.pack_redirect_sense(redirect)), redirect)
        self.assertIsNone(versions.unpack_redirect_sense(b"\x72\x0b\x80\x02" + bytes(20)))
        self.assertIsNone(versions.unpack_redirect_sense(b""))
        self.assertEqual(
            versions.unpack_redirect_sense(versions.pack_redirect_sense(Redirect(7, 3))[:9]), Redirect()
        )
