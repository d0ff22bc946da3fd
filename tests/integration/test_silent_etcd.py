"""Drains that etcd has while its watches, its connections or its answers fall silent.

Guards against a drain that is not heard of since a wait on etcd has no end of its own
(docs/incidents/watch-of-etcd-without-an-end.md). A drain is heard of at the latest 6 s after etcd had it and
could be reached (STANDING, one clock for silence), so nothing new comes to the node 0.55 s later.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from harness import IscsiCase, Program, Target, cdb

from lemonridge.lab.links.tcp import AnswerFault, TcpLink

HEARD_WITHIN_S = 6.0  # after etcd had the drain and could be reached
GRACE_S = 0.5 + 0.05  # of a drain, and of every time limit
WATCHED_ON_S = 1.5  # how long the reads go on after the last moment
READ_INTERVAL_S = 0.1
QUIET_S = 20.0
OTHER_SHARDS = range(1, 5)  # one node of five drains


class SilentEtcdCase(IscsiCase):
    """A program before five nodes, a link to etcd that can fall silent, and an initiator that reads."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for shard in OTHER_SHARDS:
            other = await Target(f"other-{shard}").start()
            self.etcd.put(f"/lr/nodes/other-{shard}", other.node_entry(shard))
        await self.program.wait_for_line(f"endpoint=other-{OTHER_SHARDS[-1]}")
        self.successor = await Target("successor").start()
        self.session = await self.open_session()
        self.reading = asyncio.create_task(self.read_on())
        self.addCleanup(self.reading.cancel)
        await self.wait_until(lambda: bool(self.target.started_commands))

    async def port_to_etcd(self) -> int:
        self.link = await TcpLink(self.etcd.port).start()
        return self.link.port

    async def read_on(self) -> None:
        while True:
            self.session.command(cdb(0x28, 7, 512), read=512)
            await asyncio.sleep(READ_INTERVAL_S)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(HEARD_WITHIN_S + GRACE_S + WATCHED_ON_S):
            while not condition():
                await asyncio.sleep(0.02)

    def paths_since(self, calls_before: int) -> list[str]:
        """Returns the paths of etcd's calls but the first `calls_before`."""
        return [call.path for call in self.etcd.received_calls[calls_before:]]

    def replace_node(self) -> None:
        """Lets the node of shard 0 drain, with a successor in its place."""
        self.etcd.put("/lr/nodes/successor", self.successor.node_entry(0))
        self.etcd.put("/lr/nodes/n1", self.target.node_entry(0, "draining"))

    async def assert_drain_is_heard(self) -> None:
        """Asserts that the successor gets the reads, and the drained node none past the limit from now."""
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + HEARD_WITHIN_S + GRACE_S
        await asyncio.sleep(limit_s + WATCHED_ON_S - loop.time())
        last_at_drained_s = self.target.started_commands[-1][0]
        self.assertLess(last_at_drained_s, limit_s, "".join(self.program.lines[-40:]))
        self.assertTrue(self.successor.started_commands)
        self.assertGreater(self.successor.started_commands[-1][0], limit_s)


class SilentConnections(SilentEtcdCase):
    """Connections that are open, or that open, fall silent as a whole."""

    async def test_drain_is_heard_after_reset_connections_whose_successors_are_never_answered(self) -> None:
        self.link.swallows_new = True
        self.link.reset()
        await asyncio.sleep(3)
        self.link.swallows_new = False
        self.replace_node()
        await self.assert_drain_is_heard()

    async def test_drain_is_heard_though_all_open_connections_fall_silent(self) -> None:
        self.link.silence()
        self.replace_node()
        await self.assert_drain_is_heard()

    async def test_drain_is_heard_though_its_message_stops_in_its_middle(self) -> None:
        self.link.silence(after_bytes=40)
        self.replace_node()
        await self.assert_drain_is_heard()

    async def test_drain_is_heard_though_its_history_is_compacted_behind_silent_connections(self) -> None:
        self.link.silence()
        for number in range(200):
            self.etcd.put(f"/lr/nodes/other-{1 + number % 4}", {"number": number})
        self.replace_node()
        self.etcd.compact()
        await self.assert_drain_is_heard()

    async def test_drain_is_heard_though_all_keys_must_be_read_again_after_a_long_silence(self) -> None:
        """A key has gone, so a drain shows by a new snapshot alone, and its calls have failed for a while."""
        self.etcd.blocked_prefix = "/lr/nodes/"
        self.link.silence()  # so that a read shows the deletion, and not the watch
        self.etcd.delete("/lr/nodes/other-1")
        await self.program.wait_for_line("etcd watch out of step")
        await asyncio.sleep(8)
        self.etcd.blocked_prefix = ""
        self.replace_node()
        await self.assert_drain_is_heard()

    async def test_removal_of_a_node_is_heard_though_all_open_connections_fall_silent(self) -> None:
        """A read of the changes since shows a removed key by the number of keys alone."""
        self.link.silence()
        self.etcd.put("/lr/nodes/successor", self.successor.node_entry(0))
        self.etcd.delete("/lr/nodes/n1")
        await self.assert_drain_is_heard()


class SilentWatches(SilentEtcdCase):
    """Watches fall silent, and other calls are answered."""

    async def reopen_watches(self, fault: AnswerFault) -> None:
        """Lets all watches open anew, with a fault."""
        self.link.faulty_path, self.link.answer_fault = b"/v3/watch", fault
        self.link.reset()

    async def test_drain_is_heard_though_watches_are_never_answered(self) -> None:
        await self.reopen_watches(AnswerFault.NO_ANSWER)
        self.replace_node()
        await self.assert_drain_is_heard()

    async def test_drain_is_heard_though_a_watch_has_a_head_and_no_body(self) -> None:
        await self.reopen_watches(AnswerFault.HEAD_ONLY)
        self.replace_node()
        await self.assert_drain_is_heard()

    async def test_drain_is_heard_though_each_new_watch_falls_silent_soon(self) -> None:
        await self.reopen_watches(AnswerFault.SILENT_SOON)
        await asyncio.sleep(1)
        self.replace_node()
        await self.assert_drain_is_heard()

    async def test_watch_that_withholds_a_change_is_opened_anew(self) -> None:
        await self.reopen_watches(AnswerFault.SILENT_SOON)
        await asyncio.sleep(1)
        self.link.answer_fault = AnswerFault.NONE
        self.replace_node()
        calls_before = len(self.etcd.received_calls)
        await self.program.wait_for_counter("etcd.silent_watches")
        await self.etcd.wait_until(lambda: self.paths_since(calls_before).count("/v3/watch") > 0)
        self.assertNotIn("/v3/kv/range", self.paths_since(calls_before))


class UnreachableEtcd(SilentEtcdCase):
    """etcd cannot be reached for a while, or answers slowly."""

    async def test_drain_is_heard_after_refused_connections(self) -> None:
        self.link.refuse()
        self.replace_node()
        await asyncio.sleep(8)
        await self.link.start()
        await self.assert_drain_is_heard()

    async def test_drain_is_heard_after_a_time_without_accepted_connections(self) -> None:
        self.link.pause_accepting()
        self.link.reset()
        self.replace_node()
        await asyncio.sleep(4)
        self.link.resume_accepting()
        await self.assert_drain_is_heard()

    async def test_drain_is_heard_though_each_answer_is_late(self) -> None:
        self.link.answer_delay_s = 1.5
        self.replace_node()
        await self.assert_drain_is_heard()


class StartBesideSilentEtcd(SilentEtcdCase):
    """A program starts while etcd accepts connections and answers none of them."""

    async def start_beside_silence(self) -> Program:
        self.link.swallows_new = True
        program = await Program().start("serve", "--config", self.config)
        self.addAsyncCleanup(program.stop, signal.SIGKILL)
        await program.wait_for_line("etcd failed")
        return program

    async def test_start_goes_on_once_etcd_answers(self) -> None:
        program = await self.start_beside_silence()
        self.link.swallows_new = False
        async with asyncio.timeout(HEARD_WITHIN_S):
            await program.wait_for_line("event=listening")

    async def test_sigterm_ends_a_start_that_waits_for_a_silent_etcd(self) -> None:
        program = await self.start_beside_silence()
        self.assertEqual(await program.stop(), 0)

    async def test_sigterm_ends_a_program_beside_a_silent_etcd(self) -> None:
        self.link.swallows_new = True
        self.link.silence()
        await self.program.wait_for_line("not confirmed")
        self.reading.cancel()
        self.assertEqual(await self.program.stop(), 0)


class QuietEtcd(SilentEtcdCase):
    async def test_quiet_etcd_is_asked_little_and_a_drain_after_it_is_heard(self) -> None:
        """No new snapshot, no warning, and less than a watch a second; the reads that confirm are few."""
        calls_before, lines_before = len(self.etcd.received_calls), len(self.program.lines)
        await asyncio.sleep(QUIET_S)
        paths = self.paths_since(calls_before)
        self.assertEqual(paths.count("/v3/kv/range"), 0)
        self.assertLessEqual(paths.count("/v3/watch"), QUIET_S)
        kinds = 2  # nodes and plans
        self.assertLessEqual(paths.count("/v3/kv/txn"), kinds * (QUIET_S / 0.8 + 1))
        logged = "".join(self.program.lines[lines_before:])
        for text in ("level=warning", "level=error", "failed", "not confirmed"):
            self.assertNotIn(text, logged)
        self.replace_node()
        await self.assert_drain_is_heard()
