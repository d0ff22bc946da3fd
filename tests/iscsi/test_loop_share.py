"""Tests of how a connection's time in the event loop is bounded."""

from __future__ import annotations

import asyncio
import unittest

from front_cases import FrontCase

from lemonridge.core.counters import Counters
from lemonridge.iscsi.loop_share import TURN_US, LoopShare
from lemonridge.net.parsing_queue import CREDIT_MAX_US, ParsingQueue

INQUIRY_CDB = bytes((0x12, 0, 0, 0, 96, 0))
COMMANDS = 1_000


class LoopShareTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.queue = ParsingQueue(Counters())

    async def test_connection_within_its_share_does_not_wait(self) -> None:
        share = LoopShare(self.queue)
        for _ in range(4):
            await share.spend(TURN_US / 5)
        self.assertFalse(share.waits_for_parsing)

    async def test_connection_over_its_share_waits_while_another_one_is_served(self) -> None:
        busy, ordinary = LoopShare(self.queue), LoopShare(self.queue)
        waiting = asyncio.create_task(busy.spend(2 * CREDIT_MAX_US))
        await asyncio.sleep(0)
        self.assertTrue(busy.waits_for_parsing)
        async with asyncio.timeout(1):
            await ordinary.spend(TURN_US)
            await waiting  # it gets a turn when others have had theirs
        self.assertFalse(busy.waits_for_parsing)

    async def test_closed_connection_does_not_wait_for_its_turn(self) -> None:
        share = LoopShare(self.queue)
        waiting = asyncio.create_task(share.spend(2 * CREDIT_MAX_US))
        await asyncio.sleep(0)
        share.end()
        await asyncio.wait_for(waiting, 1)
        self.assertFalse(share.waits_for_parsing)


class Connections(FrontCase):
    # Guards against a connection that holds the event loop for as long as it has input.
    async def test_other_connection_is_answered_before_all_input_of_a_busy_one_is_processed(self) -> None:
        busy, ordinary = await self.open_session(level=0), await self.open_session(level=0)
        for tag in range(COMMANDS):
            busy.send_command(INQUIRY_CDB, read=96, tag=tag + 1, immediate=True)
        await self.until(lambda: self.front.counters["commands.taken"])
        await self.receipt(ordinary)
        self.assertLess(self.front.counters["commands.taken"], COMMANDS / 2)
        await self.until(lambda: self.front.counters["commands.taken"] == COMMANDS)
