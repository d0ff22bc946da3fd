"""Where operators call: a line in, a line out, a connection for each."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from lemonridge.config.address import Address
from lemonridge.core.counters import Counters
from lemonridge.net.listener import Listener, listening_socket
from lemonridge.operate.admin_calls import AdminReply, AdminRequest, BadCallError, longest, parse

log = logging.getLogger(__name__)

OPEN_MAX = 32  # connections; one more takes the place of the longest there
OPEN_S = 6.0  # and each of them ends after that, whatever it brings
LATE_S = 0.05  # how often it is looked how late the event loop is: a caller waits for no more than 1 s

Act = Callable[[AdminRequest], Awaitable[AdminReply]]


class _Caller(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, operators: AdminServer) -> None:
        self._operators = operators
        self._data = bytearray()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._operators.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._operators.leave(self)

    def data_received(self, data: bytes) -> None:
        if self._task is not None:
            return  # one line a connection: whatever follows it is not read
        self._data += data
        line, end, _ = self._data.partition(b"\n")
        if end or len(line) > longest(bytes(line[:64])):
            self.transport.pause_reading()
            self._task = asyncio.create_task(self._answer(bytes(line)))

    def eof_received(self) -> bool:
        if self._task is None:
            self._task = asyncio.create_task(self._answer(bytes(self._data)))
        return True  # it may still read

    async def _answer(self, line: bytes) -> None:
        reply = await self._operators.answer(line)
        if not self.transport.is_closing():
            self.transport.write(reply.encode())
            self.transport.close()


class AdminServer:
    """The listener at `admin_addr`; `act` does what a call asks, and its answer is the call's."""

    def __init__(self, act: Act, counters: Counters) -> None:
        self._act, self._counters = act, counters
        self._callers: dict[_Caller, asyncio.TimerHandle] = {}
        self._loop = asyncio.get_running_loop()
        self._due = self._loop.time() + LATE_S
        self._timer = self._loop.call_at(self._due, self._look)
        self._listener: Listener | None = None

    async def start(self, address: Address) -> None:
        """Listen; `OSError` where the address cannot be had."""
        self._listener = Listener(listening_socket(address), lambda: _Caller(self), self._counters)
        self._listener.listen()
        log.info("operators call at", extra={"address": self._listener.address})

    def stop(self) -> None:
        """Take no more calls."""
        self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for caller in list(self._callers):
            caller.transport.abort()

    def admit(self, caller: _Caller) -> None:
        """A new caller. Those who finish no call are the ones that are there the longest."""
        if len(self._callers) >= OPEN_MAX:
            self._counters["calls.evicted"] += 1
            longest = next(iter(self._callers))
            self.leave(longest)
            longest.transport.abort()
        self._callers[caller] = self._loop.call_at(self._loop.time() + OPEN_S, caller.transport.abort)

    def leave(self, caller: _Caller) -> None:
        """A caller's connection has ended."""
        timer = self._callers.pop(caller, None)
        if timer is not None:
            timer.cancel()

    async def answer(self, line: bytes) -> AdminReply:
        """Do what a line asks. Whatever fails, its caller is told."""
        try:
            order = parse(line)
        except BadCallError as error:
            reply, named = AdminReply(False, str(error)), "unreadable"
        else:
            named = f"{order.call.value} {order.endpoint_id}".strip()
            try:
                reply = await self._act(order)
            except Exception:
                log.exception("call failed", extra={"call": named})
                reply = AdminReply(False, "it failed, see the log")
        self._counters["calls.done" if reply.done else "calls.declined"] += 1
        log.info("call", extra={"call": named, "done": reply.done, "why": reply.why})
        return reply

    def _look(self) -> None:
        """How late this timer comes is how long something else held the event loop."""
        late_ms = int((self._loop.time() - self._due) * 1000)
        self._counters["loop.late_ms_most"] = max(self._counters["loop.late_ms_most"], late_ms)
        self._due = self._loop.time() + LATE_S
        self._timer = self._loop.call_at(self._due, self._look)
