"""The listener for operators' calls: one call and one reply per connection, each a single line."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from lemonridge.config.address import Address
from lemonridge.core.counters import Counters
from lemonridge.net.listener import Listener, listening_socket
from lemonridge.operate.admin_calls import AdminReply, AdminRequest, ReplyText, line_max, parse
from lemonridge.operate.errors import BadCallError

log = logging.getLogger(__name__)

CONNECTIONS_MAX = 32  # a further connection evicts the oldest
CONNECTION_LIFETIME_S = 6.0  # after this time a connection is closed in any case
LOOP_DELAY_PERIOD_S = 0.05  # interval of measurements of the event loop's delay; callers wait 1 s at most

CallHandler = Callable[[AdminRequest], Awaitable[AdminReply]]


class _AdminConnection(asyncio.Protocol):
    """One caller's connection.

    Args:
        server: The server that accepted the connection.
    """

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._received = bytearray()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._server.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._server.remove(self)

    def data_received(self, data: bytes) -> None:
        if self._task is not None:
            return  # one call per connection: further bytes are ignored
        self._received += data
        line, newline, _ = self._received.partition(b"\n")
        if newline or len(line) > line_max(bytes(line[:64])):
            self.transport.pause_reading()
            self._task = asyncio.create_task(self._reply(bytes(line)))

    def eof_received(self) -> bool:
        if self._task is None:
            self._task = asyncio.create_task(self._reply(bytes(self._received)))
        return True  # keep the connection open for the reply

    async def _reply(self, line: bytes) -> None:
        """Sends the reply to a call and ends the connection."""
        reply = await self._server.reply(line)
        if not self.transport.is_closing():
            self.transport.write(reply.encode())
            self.transport.close()


class AdminServer:
    """The listener at `admin_addr`.

    Args:
        handler: Carries out a call and returns its reply.
        counters: The broker's counters.
    """

    def __init__(self, handler: CallHandler, counters: Counters) -> None:
        self._handler, self._counters = handler, counters
        self._connections: dict[_AdminConnection, asyncio.TimerHandle] = {}  # lifetime timers, oldest first
        self._loop = asyncio.get_running_loop()
        self._next_measurement_s = self._loop.time() + LOOP_DELAY_PERIOD_S
        self._timer = self._loop.call_at(self._next_measurement_s, self._measure_loop_delay)
        self._listener: Listener | None = None

    async def start(self, address: Address) -> None:
        """Starts to listen.

        Args:
            address: The address to listen on.

        Raises:
            OSError: The address cannot be bound.
        """
        self._listener = Listener(listening_socket(address), lambda: _AdminConnection(self), self._counters)
        self._listener.listen()
        log.info("operators call at", extra={"address": self._listener.address})

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.transport.abort()

    def admit(self, connection: _AdminConnection) -> None:
        """Adds a connection; above the limit, aborts the oldest, whose call then gets no reply."""
        if len(self._connections) >= CONNECTIONS_MAX:
            self._counters["calls.evicted"] += 1
            oldest = next(iter(self._connections))
            self.remove(oldest)
            oldest.transport.abort()
        self._connections[connection] = self._loop.call_at(
            self._loop.time() + CONNECTION_LIFETIME_S, connection.transport.abort
        )

    def remove(self, connection: _AdminConnection) -> None:
        """Removes a connection that has ended."""
        timer = self._connections.pop(connection, None)
        if timer is not None:
            timer.cancel()

    async def reply(self, line: bytes) -> AdminReply:
        """Carries out the call in a line and returns its reply, which also reports an internal error."""
        try:
            request = parse(line)
        except BadCallError as error:
            reply, call_text = AdminReply(False, str(error)), "unreadable"
        else:
            call_text = f"{request.call.value} {request.endpoint_id}".strip()
            try:
                reply = await self._handler(request)
            except Exception:
                log.exception("call failed: internal error", extra={"call": call_text})
                reply = AdminReply(False, ReplyText.CALL_FAILED)
        self._counters["calls.done" if reply.done else "calls.declined"] += 1
        log.info("call", extra={"call": call_text, "done": reply.done, "reply": reply.text})
        return reply

    def _measure_loop_delay(self) -> None:
        """Records the delay of this timer, which is the time for which the event loop was blocked."""
        delay_ms = int((self._loop.time() - self._next_measurement_s) * 1000)
        self._counters["loop.late_ms_most"] = max(self._counters["loop.late_ms_most"], delay_ms)
        self._next_measurement_s = self._loop.time() + LOOP_DELAY_PERIOD_S
        self._timer = self._loop.call_at(self._next_measurement_s, self._measure_loop_delay)
