"""The pool of connections to the platform's endpoints."""

from __future__ import annotations

import asyncio
import functools
from contextvars import ContextVar

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from lemonridge.core.counters import Counters
from lemonridge.core.errors import ConnectFailedError
from lemonridge.net.http_response import ResponseReader
from lemonridge.net.sockets import input_is_empty

REUSE_DELAY_S = 0.01  # after a response: a surplus one, milliseconds late, must be seen before the reuse
IDLE_FRACTION = 0.9  # of the time after which an endpoint closes an idle connection
IDLE_MARGIN_S = 0.2  # at least that much before: the process may be held up before it writes, and get a reset

# The connection that the request of the running task goes out on.
request_connection: ContextVar[ResponseReader] = ContextVar("request_connection")


def idle_limit_s(keepalive_us: int) -> float:
    """How long an idle connection is reused, in seconds, where endpoints close it after `keepalive_us`."""
    keepalive_s = keepalive_us / 1e6
    return max(keepalive_s / 2, min(keepalive_s * IDLE_FRACTION, keepalive_s - IDLE_MARGIN_S))


class EndpointConnector(aiohttp.TCPConnector):
    """Connections to endpoints: the latest used is reused first, and a connect has a deadline of its own.

    Counters: `connections.opened`, `connections.spoilt` (idle ones that were found closed or with surplus
    data).
    """

    def __init__(self, connect_us: int, keepalive_us: int, counters: Counters) -> None:
        super().__init__(
            limit=0,
            limit_per_host=0,
            keepalive_timeout=idle_limit_s(keepalive_us),
            happy_eyeballs_delay=None,
            use_dns_cache=False,
        )
        self._connect_us, self._counters = connect_us, counters
        self._factory = functools.partial(ResponseReader, loop=self._loop)  # type: ignore[assignment]

    @property
    def connect_s(self) -> float:
        """How long a connect may take, in seconds."""
        return self._connect_us / 1e6

    def configure(self, connect_us: int, keepalive_us: int) -> None:
        """Apply new settings to the connects and reuses to come."""
        self._connect_us, self._keepalive_timeout = connect_us, idle_limit_s(keepalive_us)

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """A reused or a new connection.

        Raises:
            ConnectFailedError: it took longer than the settings allow.
        """
        try:
            async with asyncio.timeout_at(self._loop.time() + self._connect_us / 1e6):
                connection = await super().connect(req, traces, timeout)
        except TimeoutError:
            raise ConnectFailedError from None
        if isinstance(connection.protocol, ResponseReader):
            request_connection.set(connection.protocol)
        return connection

    async def _create_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        self._counters["connections.opened"] += 1
        return await super()._create_connection(req, traces, timeout)

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        """An idle connection past its reuse delay, on which nothing arrived and which has not ended.

        The delay is shorter than making a connection. The system is asked for what arrived, since the event
        loop may not have read it yet.
        """
        if idle := self._conns.get(key):
            reusable = next((one for one in idle if _reusable(one[0])), idle[0])
            idle.remove(reusable)
            idle.appendleft(reusable)
        while (connection := await super()._get(key, traces)) is not None:
            protocol = connection.protocol
            try:
                if isinstance(protocol, ResponseReader):
                    await self._reuse_delay_over(protocol)
            except BaseException:
                connection.close()
                raise
            transport = None if protocol is None or protocol.should_close else protocol.transport
            if transport is not None and input_is_empty(transport):
                return connection
            self._counters["connections.spoilt"] += 1
            connection.close()
        return None

    async def _reuse_delay_over(self, protocol: ResponseReader) -> None:
        """Wait until the connection may be reused.

        Its timer decides and not the clock: in a turn of the loop that was held up for longer than the delay,
        nothing that arrived meanwhile has been read. The timer fires after the next look at all sockets.
        """
        while not protocol.reusable:
            await asyncio.sleep(max(0.0, protocol.reusable_at_s - self._loop.time()))

    def _release(self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False) -> None:
        """Give a connection back, on the left.

        Aiohttp takes from the left and gives back on the right, so that every connection stays in use; given
        back on the left, the ones that are not needed grow old and are closed.
        """
        if isinstance(protocol, ResponseReader):
            protocol.is_reused = True
            protocol.reusable, protocol.reusable_at_s = False, self._loop.time() + REUSE_DELAY_S
            self._loop.call_at(protocol.reusable_at_s, protocol.allow_reuse)
        super()._release(key, protocol, should_close=should_close)
        idle = self._conns.get(key)
        if idle and idle[-1][0] is protocol:
            idle.rotate(1)


def _reusable(protocol: ResponseHandler) -> bool:
    """Whether a connection is past its reuse delay."""
    return not isinstance(protocol, ResponseReader) or protocol.reusable
