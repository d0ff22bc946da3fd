"""Shares the event loop's time among the connections whose input waits to be parsed.

A connection that has used little time is parsed in the loop iteration that reads its input. One that has used
more than its share, and all of them once an iteration has spent `ITERATION_MAX_US` on parsing, wait in a
queue, from which each later iteration takes what fits its bound: first the connections within their share,
then the others, in the order in which they came.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from lemonridge.core.counters import Counters

SHARE = 0.05  # of the event loop's time that one connection may use before others go first
CREDIT_MAX_US = 5_000.0  # unused share that a connection can save
DEBT_MAX_US = 20_000.0  # used time that is remembered, so that a connection is in its share again soon
ITERATION_MAX_US = 2_500.0  # for parsing in one loop iteration
OVER_SHARE_ITERATION_MAX_US = 1_000.0  # after that, for connections over their share


class ParsingAccount:
    """The time that one connection has used, against its share. Times are in microseconds."""

    __slots__ = ("_credit_us", "_credited_us")

    def __init__(self, now_us: float) -> None:
        self._credit_us, self._credited_us = CREDIT_MAX_US, now_us

    def charge(self, cost_us: float, now_us: float) -> None:
        """Deducts the cost of a step."""
        self._refill(now_us)
        self._credit_us = max(-DEBT_MAX_US, self._credit_us - cost_us)

    def is_over_share(self, now_us: float) -> bool:
        """Whether the connection has used up its share."""
        self._refill(now_us)
        return self._credit_us < 0

    def _refill(self, now_us: float) -> None:
        earned_us = SHARE * (now_us - self._credited_us)
        self._credit_us, self._credited_us = min(CREDIT_MAX_US, self._credit_us + earned_us), now_us


class ParsedConnection(Protocol):
    """A connection as seen by the queue.

    Attributes:
        parsing: The time that the connection has used.
        waits_for_parsing: Whether it is in the queue; set by the queue.
    """

    parsing: ParsingAccount
    waits_for_parsing: bool

    def parse(self) -> float:
        """Parses a bounded part of the input; returns the estimated cost in microseconds."""
        ...


class ParsingQueue:
    """The connections whose input waits to be parsed.

    Args:
        counters: The process's counters.
        deferred_counter: The counter of how often a connection had to wait because it was over its share.
    """

    def __init__(self, counters: Counters, deferred_counter: str = "clients.deferred") -> None:
        self._loop, self._counters = asyncio.get_running_loop(), counters
        self._deferred_counter = deferred_counter
        self._within_share: dict[ParsedConnection, None] = {}
        self._over_share: dict[ParsedConnection, None] = {}
        self._used_us = 0.0  # by parsing in this loop iteration
        self._iteration_scheduled = False

    def submit(self, connection: ParsedConnection) -> None:
        """Parses the input of a connection now, or queues the connection."""
        if connection.waits_for_parsing:
            return
        if self._used_us >= ITERATION_MAX_US or connection.parsing.is_over_share(self._now_us()):
            self.defer(connection)
        else:
            self._parse(connection)

    def defer(self, connection: ParsedConnection) -> None:
        """Queues a connection with input that may be parsed."""
        if connection.waits_for_parsing:
            return
        connection.waits_for_parsing = True
        if connection.parsing.is_over_share(self._now_us()):
            self._counters[self._deferred_counter] += 1
            self._over_share[connection] = None
        else:
            self._within_share[connection] = None
        self._schedule_iteration()

    def charge(self, connection: ParsedConnection, cost_us: float) -> None:
        """Charges time that was used beside parsing, and queues a connection that is over its share.

        The connection reads no further until it is taken from the queue.
        """
        connection.parsing.charge(cost_us, self._now_us())
        if connection.parsing.is_over_share(self._now_us()):
            self.defer(connection)

    def discard(self, connection: ParsedConnection) -> None:
        """Removes a connection, whose input is not parsed any more."""
        connection.waits_for_parsing = False
        self._within_share.pop(connection, None)
        self._over_share.pop(connection, None)

    def _now_us(self) -> float:
        return self._loop.time() * 1e6

    def _schedule_iteration(self) -> None:
        if not self._iteration_scheduled:
            self._iteration_scheduled = True
            self._loop.call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        """Resets the time used, and parses queued input within the bounds of one iteration."""
        self._iteration_scheduled = False
        self._used_us = 0.0
        self._parse_queued(self._within_share, ITERATION_MAX_US)
        self._parse_queued(self._over_share, self._used_us + OVER_SHARE_ITERATION_MAX_US)

    def _parse_queued(self, queue: dict[ParsedConnection, None], used_max_us: float) -> None:
        while queue and self._used_us < used_max_us:
            connection = next(iter(queue))
            self.discard(connection)
            self._parse(connection)
        if queue:
            self._schedule_iteration()

    def _parse(self, connection: ParsedConnection) -> None:
        cost_us = connection.parse()
        self._used_us += cost_us
        connection.parsing.charge(cost_us, self._now_us())
        self._schedule_iteration()
