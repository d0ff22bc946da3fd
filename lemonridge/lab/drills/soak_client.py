"""A client of the soak drill that reads the responses to pipelined requests, and may disconnect meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random

from lemonridge.lab.checkers.soak import GRACE_S
from lemonridge.lab.standins.soak_record import SoakRequest

DISCONNECT_PROBABILITY = 0.08  # of a client, for each response
DISCONNECT_WITHIN_S = 0.1
WAIT_BEYOND_DEADLINE_S = 4 * GRACE_S  # for a response, before it counts as missing


class SoakClient:
    """The reading side of one connection; it records what becomes of each request.

    Args:
        reader: The connection's reader.
        writer: The connection's writer.
        random: Decides when the client disconnects.
        disconnect_probability: How likely the client disconnects instead of waiting for a response.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        random: Random,
        disconnect_probability: float = DISCONNECT_PROBABILITY,
    ) -> None:
        self._reader, self._writer, self._random = reader, writer, random
        self._disconnect_probability = disconnect_probability

    async def read_responses(self, requests: Sequence[SoakRequest]) -> bool:
        """Reads the responses to requests that were sent one behind the other.

        Requests behind the one at which the connection ended end with it, and were left by the client if that
        one was.

        Returns:
            Whether the connection can be reused.
        """
        loop = asyncio.get_running_loop()
        last_read: SoakRequest | None = None  # the request at which the connection ended
        for number, request in enumerate(requests):
            request.is_pipelined = number > 0
            request.previous_answered_at = loop.time() if request.is_pipelined else 0.0
            if last_read is not None:
                request.disconnected_at, request.ended_at = last_read.disconnected_at, loop.time()
            elif not await self._read_response(request):
                last_read = request
        return last_read is None

    async def _read_response(self, request: SoakRequest) -> bool:
        """Reads a response and records it; returns whether the connection can be reused."""
        loop = asyncio.get_running_loop()
        disconnects = self._random.random() < self._disconnect_probability
        wait_s = request.deadline_s + WAIT_BEYOND_DEADLINE_S
        if disconnects:
            wait_s = self._random.uniform(0, DISCONNECT_WITHIN_S)
        try:
            async with asyncio.timeout_at(loop.time() + wait_s):
                head = (await self._reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.partition(b"content-length: ")[2].split(b"\r")[0])
                await self._reader.readexactly(length)
        except TimeoutError:
            if disconnects:
                request.disconnected_at = loop.time()
                self._writer.transport.abort()
            return False
        except (asyncio.IncompleteReadError, ConnectionError):
            request.ended_at = loop.time()
            return False
        request.status, request.ended_at = int(head.split()[1]), loop.time()
        return b"connection: close" not in head
