"""The ways in which a connection ends, by what becomes of its session, tasks, held PDUs and kept statuses.

The same table stands in docs/incidents/what-hangs-on-a-connection-that-ends.md.
"""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from front_cases import BLOCK_BYTES, READ_CDB, FrontCase

from lemonridge.iscsi.connection import Connection
from lemonridge.iscsi.session import (
    CID_NOT_FOUND,
    CLOSE_CONNECTION,
    CLOSE_SESSION,
    LOGOUT_DONE,
    RECOVERY_NOT_SUPPORTED,
    REMOVE_FOR_RECOVERY,
    Session,
)
from lemonridge.iscsi.task import Task
from lemonridge.lab.conform.peer import Peer


@dataclass(frozen=True)
class Expected:
    """What is left after the end of a connection.

    Attributes:
        session_with_one: Whether the session goes on if it had that connection alone.
        session_with_two: Whether the session goes on if it had two connections.
        tasks: Whether the tasks of the connection are kept, and the statuses that were not acknowledged.
        held: Whether the PDUs are kept that the connection received and that wait for an earlier CmdSN.
    """

    session_with_one: bool
    session_with_two: bool
    tasks: bool = False
    held: bool = False


@dataclass
class Scene:
    """A session with an open command, a held one and a kept status on the connection that ends.

    Attributes:
        session: The session.
        connection: The front's side of the connection that ends.
        doomed: The initiator's side of it.
        other: Another connection of the session; None if there is no other one.
        open_task: A task that a node executes.
        answered_tag: Tag of a task whose status is not acknowledged.
        held_cmd_sn: CmdSN of a command that waits for the one before it; None if there is none.
    """

    session: Session
    connection: Connection
    doomed: Peer
    other: Peer | None
    open_task: Task
    answered_tag: int
    held_cmd_sn: int | None


NOTHING = Expected(session_with_one=False, session_with_two=False)
EVERYTHING = Expected(session_with_one=True, session_with_two=True, tasks=True, held=True)


class EndingCase(FrontCase):
    """Ends connections in one way, at several recovery levels, with one connection and with two."""

    async def set_scene(self, level: int, connection_count: int) -> Scene:
        """Opens a session."""
        doomed, other = await self.open_session(level), None
        if connection_count == 2:
            other = doomed
            doomed = await self.join(other, cid=1)
        session = self.session_of(doomed)
        connection = session.allegiances[doomed.cid].connection
        assert connection is not None
        self.broker.finished.set()
        answered_tag = doomed.send_command(READ_CDB, read=BLOCK_BYTES)
        await doomed.receive_response(answered_tag)
        doomed.exp_stat_sn = 0  # the status is not acknowledged
        self.broker.finished.clear()
        open_tag = await self.start_command(doomed)
        doomed.exp_stat_sn = 0
        held_cmd_sn = None
        if level or other is not None:
            held_cmd_sn = doomed.cmd_sn + 1
            await self.start_command(doomed, cmd_sn=held_cmd_sn)
            doomed.exp_stat_sn = 0
            self.assertIn(held_cmd_sn, session.window.pending)
        if other is not None:
            other.cmd_sn = doomed.cmd_sn
        open_task = session.tasks[open_tag]
        return Scene(session, connection, doomed, other, open_task, answered_tag, held_cmd_sn)

    async def check(
        self, way: Callable[[Scene], Awaitable[None]], expected: dict[int, Expected], stays_open: bool = False
    ) -> None:
        """Ends a connection in one way at each level and compares what is left.

        Args:
            way: Ends the connection.
            expected: What is left, by recovery level.
            stays_open: Whether the connection stays open, as the way was refused.
        """
        for level, connection_count in itertools.product(expected, (1, 2)):
            with self.subTest(level=level, connections=connection_count):
                scene = await self.set_scene(level, connection_count)
                await way(scene)
                self.check_session(scene, expected[level], connection_count)
                await self.check_tasks(scene, expected[level].tasks and not scene.session.ended, level)
                if scene.held_cmd_sn is not None:
                    is_held = scene.held_cmd_sn in scene.session.window.pending
                    self.assertEqual(is_held, expected[level].held, "held command")
                self.assertEqual(scene.connection.closed, not stays_open)
                reading_timer = scene.connection._read_check_timer
                assert reading_timer is not None
                self.assertEqual(reading_timer.cancelled(), not stays_open)
                self.assertEqual(scene.connection in scene.session.connections, stays_open)

    def check_session(self, scene: Scene, expected: Expected, connection_count: int) -> None:
        """Checks the session's place in every registry, and its timers."""
        session = scene.session
        goes_on = expected.session_with_one if connection_count == 1 else expected.session_with_two
        self.assertEqual(not session.ended, goes_on, "session")
        self.assertEqual(self.front.sessions.get(session.tsih) is session, goes_on)
        self.assertEqual(session.nexus in self.front.device.nexuses, goes_on)
        if not goes_on:
            self.assertEqual((session.allegiances, session.tasks, session._retention_timers), ({}, {}, {}))

    async def check_tasks(self, scene: Scene, are_kept: bool, level: int) -> None:
        """Checks that tasks are kept or aborted, and that none refers to a closed connection."""
        session, execution = scene.session, scene.open_task.execution
        assert execution is not None
        self.assertEqual(scene.open_task.tag in session.tasks, are_kept, "open task")
        if not are_kept and not scene.open_task.status:
            await self.until(execution.done)
        if level:
            self.assertEqual(scene.answered_tag in session.tasks, are_kept, "kept status")
        for task in session.tasks.values():
            self.assertTrue(task.connection is None or task.connection in session.connections)


class WaysOfEnding(EndingCase):
    """All ways but the expiry of tasks."""

    async def test_reset(self) -> None:
        """RFC 7143, sections 7.1.4 and 7.4."""

        async def reset(scene: Scene) -> None:
            await self.lose(scene.doomed)
            await self.until(lambda: scene.connection.closed)

        await self.check(reset, {0: NOTHING, 1: NOTHING, 2: EVERYTHING})

    async def test_replacement_by_its_cid(self) -> None:
        """RFC 7143, sections 6.3.4 and 11.14."""

        async def replace(scene: Scene) -> None:
            await self.join(scene.doomed, cid=scene.doomed.cid)
            await self.until(lambda: scene.connection.closed)

        below = Expected(session_with_one=True, session_with_two=True)
        await self.check(
            replace,
            {
                0: below,
                1: below,
                2: Expected(session_with_one=True, session_with_two=True, tasks=True),
            },
        )

    async def test_replacement_by_its_cid_after_a_reset(self) -> None:
        """RFC 7143, sections 6.3.4 and 7.4."""

        async def replace(scene: Scene) -> None:
            await self.lose(scene.doomed)
            await self.join(scene.doomed, cid=scene.doomed.cid)
            await self.until(lambda: scene.connection.closed)

        await self.check(replace, {2: Expected(session_with_one=True, session_with_two=True, tasks=True)})

    async def test_logout_that_closes_the_session(self) -> None:
        """RFC 7143, sections 6.3.6 and 11.14."""

        async def log_out(scene: Scene) -> None:
            response = await self.log_out(scene.other or scene.doomed, CLOSE_SESSION, 0)
            self.assertEqual(response, LOGOUT_DONE)

        await self.check(log_out, {0: NOTHING, 1: NOTHING, 2: NOTHING})

    async def test_logout_that_closes_the_connection(self) -> None:
        """RFC 7143, sections 6.3.6 and 11.14."""

        async def log_out(scene: Scene) -> None:
            response = await self.log_out(scene.other or scene.doomed, CLOSE_CONNECTION, scene.doomed.cid)
            self.assertEqual(response, LOGOUT_DONE)

        one_of_two = Expected(session_with_one=False, session_with_two=True)
        await self.check(log_out, {0: one_of_two, 1: one_of_two, 2: one_of_two})

    async def test_logout_for_recovery(self) -> None:
        """RFC 7143, sections 7.4 and 11.14."""

        async def log_out(scene: Scene) -> None:
            response = await self.log_out(scene.other or scene.doomed, REMOVE_FOR_RECOVERY, scene.doomed.cid)
            self.assertEqual(response, LOGOUT_DONE)
            if scene.other is not None:
                response = await self.log_out(scene.other, REMOVE_FOR_RECOVERY, scene.doomed.cid)
                self.assertEqual(response, CID_NOT_FOUND)

        await self.check(log_out, {2: Expected(session_with_one=True, session_with_two=True, tasks=True)})

    async def test_logout_for_recovery_is_refused_below_level_2(self) -> None:
        """RFC 7143, section 11.15.1."""

        async def log_out(scene: Scene) -> None:
            response = await self.log_out(scene.other or scene.doomed, REMOVE_FOR_RECOVERY, scene.doomed.cid)
            self.assertEqual(response, RECOVERY_NOT_SUPPORTED)

        await self.check(log_out, {0: EVERYTHING, 1: EVERYTHING}, stays_open=True)

    async def test_session_that_is_replaced(self) -> None:
        """RFC 7143, section 6.3.5."""

        async def replace_session(scene: Scene) -> None:
            new = await self.connect(scene.doomed.isid)
            await new.login()
            await self.until(lambda: scene.connection.closed)

        await self.check(replace_session, {0: NOTHING, 1: NOTHING, 2: NOTHING})

    async def test_sigterm(self) -> None:
        """docs/iscsi.md, "At SIGTERM": what is held by a node is answered, then the session ends."""

        async def stop(scene: Scene) -> None:
            scene.session.end_when_idle()
            self.assertFalse(scene.session.ended)
            self.broker.finished.set()
            response, _ = await scene.doomed.receive_response(scene.open_task.tag)
            self.assertEqual(response.byte3, 0)
            await self.until(lambda: scene.session.ended)

        await self.check(stop, {0: NOTHING, 1: NOTHING, 2: NOTHING})


class Expiry(EndingCase):
    """Connections whose tasks were not reassigned in time."""

    time2retain_s = 1

    async def test_expiry(self) -> None:
        """RFC 7143, section 13.16."""

        async def lose(scene: Scene) -> None:
            await self.lose(scene.doomed)
            await self.until(lambda: not scene.session._retention_timers)

        await self.check(lose, {2: Expected(session_with_one=False, session_with_two=True)})

    async def test_stopping_session_waits_for_its_lost_tasks_until_they_expire(self) -> None:
        """RFC 7143, section 13.16; docs/iscsi.md, "At SIGTERM"."""
        scene = await self.set_scene(level=2, connection_count=1)
        await self.lose(scene.doomed)
        scene.session.end_when_idle()
        self.assertFalse(scene.session.ended)
        await self.until(lambda: scene.session.ended)
        self.assertEqual(self.front.counters["tasks.expired"], 2)
