"""The order of the commands that wait for the login to their node."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from lemonridge.core.counters import Counters
from lemonridge.core.errors import ConnectFailedError
from lemonridge.core.model import Attempt, Outcome, Request
from lemonridge.iscsi import scsi
from lemonridge.iscsi.initiator import IscsiEndpoints


class FakeSession:
    """Records the commands that it executes, by their transfer length."""

    closing = is_unavailable = checks_versions = False
    has_room, idle_s = True, 0.0

    def __init__(self) -> None:
        self.executed: list[int] = []

    async def execute(self, command: scsi.Command, _: bytes) -> scsi.Reply:
        self.executed.append(command.length)
        return scsi.Reply(scsi.Status.GOOD)


class CommandOrderAfterLogin(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.login: asyncio.Future[FakeSession] = self.loop.create_future()
        self.session = FakeSession()
        config = SimpleNamespace(keepalive_us=1_000_000, connect_us=1_000_000)
        self.endpoints = IscsiEndpoints(config, self, Counters())  # type: ignore[arg-type]

        async def open_session(_: IscsiEndpoints, __: str) -> FakeSession:
            return await self.login

        open_patch = mock.patch.object(IscsiEndpoints, "_open", open_session)
        open_patch.start()
        self.addCleanup(open_patch.stop)

    def address(self, _: str) -> str:
        return "127.0.0.1:1/target"

    def start_attempt(self, number: int) -> asyncio.Task[Outcome]:
        command = scsi.Command(0, bytes(16), True, False, number)
        request = Request(0, 1, 2_000_000, 2, 0, 0, 2.0, 1, command)
        return asyncio.create_task(self.endpoints.attempt(Attempt(request, 0, "n1")))

    async def test_command_that_arrives_as_the_login_ends_is_sent_after_the_waiting_commands(self) -> None:
        """Guards against commands of one session that reach the node out of order.

        A command that arrives after the login has ended, but before the waiting commands have resumed, could
        overtake them.
        """
        for loop_turns in range(6):  # from the loop turn of the login's end until no command waits
            with self.subTest(loop_turns=loop_turns):
                await self.asyncSetUp()
                waiting = [self.start_attempt(1), self.start_attempt(2)]
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                self.login.set_result(self.session)
                for _ in range(loop_turns):
                    await asyncio.sleep(0)
                late = [self.start_attempt(3), self.start_attempt(4)]
                await asyncio.gather(*waiting, *late)
                self.assertEqual(self.session.executed, [1, 2, 3, 4])

    async def test_cancelled_waiting_command_does_not_change_the_order_of_the_others(self) -> None:
        waiting = [self.start_attempt(number) for number in (1, 2, 3)]
        await asyncio.sleep(0)
        waiting[1].cancel()
        await asyncio.sleep(0)
        self.login.set_result(self.session)
        await asyncio.gather(*waiting, return_exceptions=True)
        self.assertEqual(self.session.executed, [1, 3])

    async def test_all_waiting_commands_fail_if_the_login_fails(self) -> None:
        waiting = [self.start_attempt(1), self.start_attempt(2)]
        await asyncio.sleep(0)
        self.login.set_exception(ConnectionRefusedError())
        for error in await asyncio.gather(*waiting, return_exceptions=True):
            self.assertIsInstance(error, ConnectFailedError)
