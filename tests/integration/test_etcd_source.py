"""The node list and the plans from etcd, against a stand-in of its JSON gateway."""

from __future__ import annotations

import asyncio
import base64

from harness import IscsiCase, Program, Target

from lemonridge.lab.standins.etcd import ReceivedCall


class EtcdNodeList(IscsiCase):
    def node_calls(self) -> list[ReceivedCall]:
        """Returns the ranges and watches at etcd that concern the node list."""
        call_bodies = (
            (call, call.body.get("create_request", call.body))
            for call in self.etcd.received_calls
            if call.path in {"/v3/kv/range", "/v3/watch"}
        )
        return [call for call, body in call_bodies if base64.b64decode(body["key"]) == b"/lr/nodes/"]

    async def assert_served_by(self, target: Target) -> None:
        """Asserts that the next read goes to `target`."""
        session = await self.open_session()
        commands_before = len(target.started_commands)
        self.assertEqual((await session.read(commands_before, 512))[0], 0)
        self.assertEqual(len(target.started_commands), commands_before + 1)

    async def test_nodes_are_read_by_a_range_and_a_watch_from_the_next_revision(self) -> None:
        self.assertEqual([call.path for call in self.node_calls()], ["/v3/kv/range", "/v3/watch"])
        created = self.node_calls()[-1].body["create_request"]
        self.assertEqual(created["start_revision"], str(self.etcd.revision + 1))
        await self.assert_served_by(self.target)
        new_target = await Target().start()
        self.etcd.put("/lr/nodes/n1", new_target.node_entry(0))
        await self.program.wait_for_line(f":{new_target.port}/")
        await self.assert_served_by(new_target)
        self.etcd.delete("/lr/nodes/n1")
        await self.program.wait_for_line("state=removed")
        self.assertEqual((await (await self.open_session()).read(1, 512))[0], 0x08)

    async def test_broken_watch_is_resumed_without_a_range(self) -> None:
        self.etcd.break_watches()
        new_target = await Target().start()
        self.etcd.put("/lr/nodes/n1", new_target.node_entry(0))
        await self.program.wait_for_line(f":{new_target.port}/")
        await self.assert_served_by(new_target)
        self.assertEqual([call.path for call in self.node_calls()][1:], ["/v3/watch", "/v3/watch"])

    async def test_range_is_read_again_after_a_compaction(self) -> None:
        self.etcd.break_watches()
        new_target = await Target().start()
        self.etcd.put("/lr/nodes/n1", new_target.node_entry(0))
        self.etcd.compact()
        await self.program.wait_for_line("compacted")
        await self.program.wait_for_line(f":{new_target.port}/")
        await self.assert_served_by(new_target)
        await self.etcd.wait_until(lambda: "watch" in self.node_calls()[-1].path)
        self.assertIn("range", self.node_calls()[-2].path)

    async def test_malformed_value_changes_nothing(self) -> None:
        for value in ([], {"address": "nowhere"}, {**self.target.node_entry(0), "odd": 1}, "x"):
            self.etcd.put("/lr/nodes/n1", value)
            await self.program.wait_for_line("key ignored")
        await self.assert_served_by(self.target)


class UnreachableEtcd(IscsiCase):
    async def test_sigterm_ends_a_start_that_waits_for_etcd(self) -> None:
        await self.etcd.stop()
        starting_program = await Program().start("serve", "--config", self.config)
        await starting_program.wait_for_line("etcd failed")
        self.assertEqual(await starting_program.stop(), 0)


class EtcdPlans(IscsiCase):
    config_replacements = {'plan = "standard"\nshard = 0': 'plan = "basic"\nshard = 0'}

    async def test_limit_of_a_plan_comes_from_etcd(self) -> None:
        """The file limits the plan to 120 units a second, which would reject most reads; etcd does not."""

        session = await self.open_session()
        responses = await asyncio.gather(*(session.read(n, 1 << 17) for n in range(32)))
        self.assertEqual({status for status, _, _ in responses}, {0})
