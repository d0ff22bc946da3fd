"""The connection pool for the platform's endpoints."""

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
from lemonridge.net.http_limits import READ_MAX_BYTES
from lemonridge.net.http_response import ResponseReader
from lemonridge.net.parsing_queue import ParsingQueue
from lemonridge.net.sockets import input_is_empty

REUSE_DELAY_S = 0.01  # after a response: detects surplus responses, which arrive milliseconds late
IDLE_FRACTION = 0.9  # of the time after which an endpoint closes an idle connection
IDLE_MARGIN_S = 0.2  # at least this long before it: the process may stall before a write and get a reset

# The endpoint connection that carries the request of the current task.
request_connection: ContextVar[ResponseReader] = ContextVar("request_connection")


def idle_limit_s(keepalive_us: int) -> float:
    """Returns for how long an idle connection may be reused, in seconds.

    Args:
        keepalive_us: The time after which endpoints close an idle connection, in microseconds.
    """
    keepalive_s = keepalive_us / 1e6
    return max(keepalive_s / 2, min(keepalive_s * IDLE_FRACTION, keepalive_s - IDLE_MARGIN_S))


class EndpointConnector(aiohttp.TCPConnector):
    """Pools connections to endpoints; the most recently used is reused first, and connects time out.

    Counters: `connections.opened`, `connections.spoilt` (idle connections that had ended or received surplus
    data), `connections.deferred` (how often one over its share of the event loop had to wait).

    Args:
        connect_us: The connect timeout, in microseconds.
        keepalive_us: The time after which endpoints close an idle connection, in microseconds.
        counters: The process's counters.
        read_bytes: The maximum number of bytes per read.
    """

    def __init__(
        self, connect_us: int, keepalive_us: int, counters: Counters, read_bytes: int = READ_MAX_BYTES
    ) -> None:
        super().__init__(
            limit=0,
            limit_per_host=0,
            keepalive_timeout=idle_limit_s(keepalive_us),
            happy_eyeballs_delay=None,
            use_dns_cache=False,
        )
        self._connect_us, self._counters = connect_us, counters
        self._factory = functools.partial(  # type: ignore[assignment]
            ResponseReader,
            loop=self._loop,
            parsing_queue=ParsingQueue(counters, "connections.deferred"),
            read_bytes=read_bytes,
        )

    @property
    def connect_s(self) -> float:
        """The connect timeout, in seconds."""
        return self._connect_us / 1e6

    def configure(self, connect_us: int, keepalive_us: int) -> None:
        """Applies new settings to later connects and reuses.

        Args:
            connect_us: The connect timeout, in microseconds.
            keepalive_us: The time after which endpoints close an idle connection, in microseconds.
        """
        self._connect_us, self._keepalive_timeout = connect_us, idle_limit_s(keepalive_us)

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Returns a reused or a new connection for a request.

        Args:
            req: The request.
            traces: The trace callbacks of the request.
            timeout: aiohttp's timeouts of the request.

        Raises:
            ConnectFailedError: The connect timeout has passed.
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
        """Returns an idle connection past its reuse delay that has neither received data nor ended.

        Waiting for the delay takes less time than opening a connection. The operating system is asked for
        received data, because the event loop may not have read them yet.
        """
        if idle := self._conns.get(key):
            reusable = next((entry for entry in idle if _is_reusable(entry[0])), idle[0])
            idle.remove(reusable)
            idle.appendleft(reusable)
        while (connection := await super()._get(key, traces)) is not None:
            protocol = connection.protocol
            try:
                if isinstance(protocol, ResponseReader):
                    await self._wait_for_reuse_delay(protocol)
            except BaseException:
                connection.close()
                raise
            transport = None if protocol is None or protocol.should_close else protocol.transport
            if transport is not None and input_is_empty(transport):
                return connection
            self._counters["connections.spoilt"] += 1
            connection.close()
        return None

    async def _wait_for_reuse_delay(self, protocol: ResponseReader) -> None:
        """Waits until the reuse delay of a connection has passed.

        The connection's timer decides and not the clock: if an iteration of the event loop was delayed for
        longer than the reuse delay, data that arrived during it have not been read yet. The timer fires after
        the next poll of all sockets.
        """
        while not protocol.reusable:
            await asyncio.sleep(max(0.0, protocol.reusable_at_s - self._loop.time()))

    def _release(self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False) -> None:
        """Returns a connection to the left end of the pool.

        aiohttp takes connections from the left end and returns them to the right end, which keeps all of them
        in use. If they are returned to the left end, surplus connections stay idle and are closed.
        """
        if isinstance(protocol, ResponseReader):
            protocol.is_reused = True
            protocol.reusable, protocol.reusable_at_s = False, self._loop.time() + REUSE_DELAY_S
            self._loop.call_at(protocol.reusable_at_s, protocol.allow_reuse)
        super()._release(key, protocol, should_close=should_close)
        idle = self._conns.get(key)
        if idle and idle[-1][0] is protocol:
            idle.rotate(1)


def _is_reusable(protocol: ResponseHandler) -> bool:
    """Whether the reuse delay of a connection has passed."""
    return not isinstance(protocol, ResponseReader) or protocol.reusable
