"""A connection's share of the event loop: it processes PDUs in short turns, and waits while over its share.

Input that has arrived is processed without a wait, so a connection with much of it would otherwise hold the
event loop. The order of the turns is that of `net.parsing_queue`.
"""

from __future__ import annotations

import asyncio

from lemonridge.net.parsing_queue import ParsingAccount, ParsingQueue

TURN_US = 250.0  # of processing before the event loop goes on
PDU_US = 30.0  # for reading one PDU, beside what is measured
COMMAND_US = 500.0  # for a command that a node executes, after its PDU was processed


class LoopShare:
    """The share of one connection; implements `ParsedConnection`.

    Args:
        queue: The queue of all connections of the front.

    Attributes:
        parsing: The time that the connection has used.
        waits_for_parsing: Whether it waits for its next turn; set by the queue.
    """

    def __init__(self, queue: ParsingQueue) -> None:
        self._queue, self._loop = queue, asyncio.get_running_loop()
        self.parsing = ParsingAccount(self._loop.time() * 1e6)
        self.waits_for_parsing = False
        self._left_us = 0.0  # of the present turn
        self._next_turn: asyncio.Future[None] | None = None

    def parse(self) -> float:
        """Begins a turn; returns its length in microseconds, which the queue charges to the connection."""
        self._left_us = TURN_US
        self._wake()
        return TURN_US

    async def spend(self, used_us: float) -> None:
        """Deducts time from the present turn, and waits for the next one if it is over.

        Args:
            used_us: The time used, in microseconds.
        """
        self._left_us -= used_us
        if self._left_us > 0:
            return
        self.parsing.charge(-self._left_us, self._loop.time() * 1e6)
        self._queue.submit(self)
        if self.waits_for_parsing:
            self._next_turn = self._loop.create_future()
            await self._next_turn

    def end(self) -> None:
        """Ends the wait for a turn, since the connection is closed."""
        self._queue.discard(self)
        self._wake()

    def _wake(self) -> None:
        if self._next_turn is not None and not self._next_turn.done():
            self._next_turn.set_result(None)
