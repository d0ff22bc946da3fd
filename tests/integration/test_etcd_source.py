"""The node list and the contracts from etcd, against a stand-in of its JSON gateway."""

from __future__ import annotations

import asyncio
import base64

from harness import IscsiCase, Program, Target

from lemonridge.lab.standins.etcd import Seen


class FollowingEtcd(IscsiCase):
    def calls(self) -> list[Seen]:
        """What was asked of the nodes."""
        told = ((call, call.body.get("create_request", call.body)) for call in self.etcd.seen)
        return [call for call, body in told if base64.b64decode(body["key"]) == b"/lr/nodes/"]

    async def served_by(self, target: Target) -> None:
        """The next read goes to `target`."""
        session = await self.open_session()
        before = len(target.started_commands)
        self.assertEqual((await session.read(before, 512))[0], 0)
        self.assertEqual(len(target.started_commands), before + 1)

    async def test_range_then_watch_from_the_next_revision(self) -> None:
        self.assertEqual([call.path for call in self.calls()], ["/v3/kv/range", "/v3/watch"])
        created = self.calls()[-1].body["create_request"]
        self.assertEqual(created["start_revision"], str(self.etcd.revision + 1))
        await self.served_by(self.target)
        other = await Target().start()
        self.etcd.put("/lr/nodes/n1", other.node_entry(0))
        await self.program.wait_for_line(f":{other.port}/")
        await self.served_by(other)
        self.etcd.delete("/lr/nodes/n1")
        await self.program.wait_for_line("state=removed")
        self.assertEqual((await (await self.open_session()).read(1, 512))[0], 0x08)

    async def test_a_broken_watch_goes_on_where_it_was(self) -> None:
        self.etcd.cut()
        other = await Target().start()
        self.etcd.put("/lr/nodes/n1", other.node_entry(0))
        await self.program.wait_for_line(f":{other.port}/")
        await self.served_by(other)
        self.assertEqual([call.path for call in self.calls()][1:], ["/v3/watch", "/v3/watch"])

    async def test_after_a_compaction_the_range_is_read_again(self) -> None:
        self.etcd.cut()
        other = await Target().start()
        self.etcd.put("/lr/nodes/n1", other.node_entry(0))
        self.etcd.compact()
        await self.program.wait_for_line("compacted")
        await self.program.wait_for_line(f":{other.port}/")
        await self.served_by(other)
        await self.etcd.until(lambda: "watch" in self.calls()[-1].path)
        self.assertIn("range", self.calls()[-2].path)

    async def test_a_malformed_value_changes_nothing(self) -> None:
        for value in ([], {"address": "nowhere"}, {**self.target.node_entry(0), "odd": 1}, "x"):
            self.etcd.put("/lr/nodes/n1", value)
            await self.program.wait_for_line("key ignored")
        await self.served_by(self.target)


class UnreachableEtcd(IscsiCase):
    async def test_sigterm_ends_a_start_that_waits_for_etcd(self) -> None:
        await self.etcd.stop()
        waiting = await Program().start("serve", "--config", self.config)
        await waiting.wait_for_line("etcd failed")
        self.assertEqual(await waiting.stop(), 0)


class ContractsOfEtcd(IscsiCase):
    config_replacements = {'plan = "standard"\nshard = 0': 'plan = "basic"\nshard = 0'}

    async def test_the_limit_of_a_plan_comes_from_etcd(self) -> None:
        """The file's limit of 120 units a second would refuse most of these; etcd's plan has none."""
        session = await self.open_session()
        answers = await asyncio.gather(*(session.read(n, 1 << 17) for n in range(32)))
        self.assertEqual({status for status, _, _ in answers}, {0})
