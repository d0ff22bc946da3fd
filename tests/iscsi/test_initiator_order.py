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
    """A session that notes the commands it is given, by their blocks."""

    over = ended = versioned = False
    has_room, idle_s = True, 0.0

    def __init__(self) -> None:
        self.executed: list[int] = []

    async def execute(self, command: scsi.Command, _: bytes) -> scsi.Reply:
        self.executed.append(command.length)
        return scsi.Reply(scsi.Status.GOOD)


class LoginOrder(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.login: asyncio.Future[FakeSession] = self.loop.create_future()
        self.session = FakeSession()
        config = SimpleNamespace(keepalive_us=1_000_000, connect_us=1_000_000)
        self.endpoints = IscsiEndpoints(config, self, Counters())  # type: ignore[arg-type]

        async def open_session(_: IscsiEndpoints, __: str) -> FakeSession:
            return await self.login

        patched = mock.patch.object(IscsiEndpoints, "_open", open_session)
        patched.start()
        self.addCleanup(patched.stop)

    def address(self, _: str) -> str:
        return "127.0.0.1:1/target"

    def begin(self, number: int) -> asyncio.Task[Outcome]:
        command = scsi.Command(0, bytes(16), True, False, number)
        request = Request(0, 1, 2_000_000, 2, 0, 0, 2.0, 1, command)
        return asyncio.create_task(self.endpoints.attempt(Attempt(request, 0, "n1")))

    async def test_a_command_that_comes_as_the_login_ends_stays_behind_those_that_wait(self) -> None:
        """Guards against two commands of one session that reach the node as 2, 1."""
        for turns in range(6):  # from the turn in which the login ends to one in which none waits any more
            with self.subTest(turns=turns):
                await self.asyncSetUp()
                waiting = [self.begin(1), self.begin(2)]
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                self.login.set_result(self.session)
                for _ in range(turns):
                    await asyncio.sleep(0)
                late = [self.begin(3), self.begin(4)]
                await asyncio.gather(*waiting, *late)
                self.assertEqual(self.session.executed, [1, 2, 3, 4])

    async def test_one_that_gives_up_waiting_leaves_the_order_of_the_others(self) -> None:
        waiting = [self.begin(number) for number in (1, 2, 3)]
        await asyncio.sleep(0)
        waiting[1].cancel()
        await asyncio.sleep(0)
        self.login.set_result(self.session)
        await asyncio.gather(*waiting, return_exceptions=True)
        self.assertEqual(self.session.executed, [1, 3])

    async def test_all_that_wait_are_told_that_the_login_failed(self) -> None:
        waiting = [self.begin(1), self.begin(2)]
        await asyncio.sleep(0)
        self.login.set_exception(ConnectionRefusedError())
        for ended in await asyncio.gather(*waiting, return_exceptions=True):
            self.assertIsInstance(ended, ConnectFailedError)
