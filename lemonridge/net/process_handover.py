"""Two processes, one broker: the Unix socket over which a process hands over to its successor."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Protocol

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.open_ids import OpenIds
from lemonridge.operate.admin_calls import AdminReply, AdminRequest
from lemonridge.operate.handover import (
    CALL_US,
    GIVE_US,
    LINE_MAX,
    BadMessageError,
    CallAcknowledged,
    CallForwarded,
    HandoverGranted,
    HandoverRefused,
    HandoverRequested,
    HandoverState,
    Message,
    OpenIdsChanged,
    decode,
    encode,
)

log = logging.getLogger(__name__)

AGAIN_S = 0.05  # before a process that has itself just handed over, or not yet taken over, is asked again
CALLS_MAX = 64  # calls that wait for the other process
BACKLOG = 4


class HandoverHost(Protocol):
    """The broker of this process, as a handover needs it."""

    def export_state(self) -> HandoverState:
        """Take nothing new any more, and say what the successor goes on from."""
        ...

    def take_back(self) -> None:
        """The successor is gone: go on as before."""
        ...

    def obey(self, order: AdminRequest) -> AdminReply:
        """Do what an operator asked of the other process."""
        ...


class HandoverConnection:
    """The connection of the two, while both live."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: HandoverHost,
        clock: Clock,
        open_ids: OpenIds,
    ) -> None:
        self._reader, self._writer, self._host, self._clock = reader, writer, host, clock
        self._open_ids = open_ids
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._count = 0
        self.tells_ids = False  # both sides know of such messages

    async def read(self) -> Message:
        """The next message; `EOFError` at the end."""
        line = await self._reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError
        return decode(line)

    def write(self, message: Message) -> None:
        self._writer.write(encode(message))

    async def serve(self) -> None:
        """Do what the other passes on, until one of the two ends."""
        try:
            while True:
                message = await self.read()
                if isinstance(message, CallForwarded):
                    self._host.obey(message.order)
                    self.write(CallAcknowledged(message.number))
                elif isinstance(message, CallAcknowledged):
                    waiter = self._waiting.pop(message.number, None)
                    if waiter is not None and not waiter.done():
                        waiter.set_result(None)
                elif isinstance(message, OpenIdsChanged):
                    self._open_ids.told(self, message.opened, message.ended)
        except (EOFError, OSError, BadMessageError, ValueError) as error:
            log.info("other process gone", extra={"error": f"{type(error).__name__}: {error}"})
        finally:
            self._open_ids.gone(self)
            self.close()

    async def share(self, order: AdminRequest) -> bool:
        """Pass a call on; whether it is in force there too, also by there being nobody any more."""
        if len(self._waiting) >= CALLS_MAX:
            return False
        self._count += 1
        waiter = self._waiting[self._count] = asyncio.get_running_loop().create_future()
        self.write(CallForwarded(self._count, order))
        try:
            async with asyncio.timeout_at(self._clock.loop_time(self._clock.now_us() + CALL_US)):
                await waiter
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        for waiter in self._waiting.values():
            if not waiter.done():
                waiter.set_result(None)
        self._waiting.clear()
        self._writer.close()


class ProcessHandover:
    """This process between the one before it and the one after it."""

    def __init__(
        self, folder: str, name: str, host: HandoverHost, clock: Clock, counters: Counters, open_ids: OpenIds
    ) -> None:
        self._path = Path(folder) / f"{name.replace('/', '_')}.handover"
        self._host, self._clock, self._counters = host, clock, counters
        self._open_ids = open_ids
        self._id_news: dict[str, bool] = {}  # ids that opened (True) or ended in this turn of the loop
        self._connections: set[HandoverConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._given = False

    async def take_over(self) -> HandoverState | None:
        """The estate of the process that serves now, which takes nothing new from here on; None where there
        is none, or it does not answer as it should in time: then this one goes on alone.
        """
        if not self._path.exists():
            return None
        try:
            async with asyncio.timeout_at(self._clock.loop_time(self._clock.now_us() + GIVE_US)):
                while True:
                    connection = await self._connect()
                    connection.write(HandoverRequested(ids=True))
                    message = await connection.read()
                    if isinstance(message, HandoverGranted):
                        connection.tells_ids = message.estate.open_ids is not None
                        self._open_ids.told(connection, message.estate.open_ids or (), ())
                        self._keep(connection)
                        return message.estate
                    connection.close()
                    if not isinstance(message, HandoverRefused):
                        raise BadMessageError("not what was asked for")
                    await asyncio.sleep(AGAIN_S)  # the one that took over from it will be there
        except (OSError, EOFError, ValueError, BadMessageError, TimeoutError) as error:
            log.warning("nothing taken over", extra={"error": f"{type(error).__name__}: {error}"})
            self._counters["handover.failed"] += 1
            return None

    async def listen(self) -> None:
        """Be the one whom the next process asks. The name changes hands in one step, so that whoever asks
        meets a living process.
        """
        self._given = False
        if self._server is not None:
            self._server.close()
        made = socket.socket(socket.AF_UNIX)
        fresh = self._path.with_suffix(f".{os.getpid()}")
        try:
            fresh.unlink(missing_ok=True)
            with _short(fresh) as name:
                mask = os.umask(0o177)
                try:
                    made.bind(name)
                finally:
                    os.umask(mask)
            self._server = await asyncio.start_unix_server(
                self._asked, sock=made, limit=LINE_MAX, backlog=BACKLOG
            )
            fresh.rename(self._path)
        except OSError as error:
            made.close()
            log.error("no handover from here", extra={"error": str(error)})

    async def share(self, order: AdminRequest) -> bool:
        """Pass an operator's call on to the other process; whether it is in force wherever one lives."""
        return all(await asyncio.gather(*(connection.share(order) for connection in self._connections)))

    def _id_changed(self, ident: str, opened: bool) -> None:
        """Tell the other processes of an id at the end of this turn of the loop; of one that opened and ended
        in it, nothing was sent.
        """
        if not self._id_news:
            asyncio.get_running_loop().call_soon(self._tell_ids)
        if not opened and self._id_news.get(ident):
            del self._id_news[ident]
        else:
            self._id_news[ident] = opened

    def _tell_ids(self) -> None:
        news, self._id_news = self._id_news, {}
        message = OpenIdsChanged(
            tuple(ident for ident, opened in news.items() if opened),
            tuple(ident for ident, opened in news.items() if not opened),
        )
        for connection in self._connections:
            if news and connection.tells_ids:
                connection.write(message)

    def _connections_changed(self) -> None:
        """Hear of ids only while there is somebody to tell."""
        told = any(connection.tells_ids for connection in self._connections)
        self._open_ids.changed = self._id_changed if told else None

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    async def _connect(self) -> HandoverConnection:
        made = socket.socket(socket.AF_UNIX)
        made.setblocking(False)
        try:
            with _short(self._path) as name:
                await asyncio.get_running_loop().sock_connect(made, name)
            reader, writer = await asyncio.open_unix_connection(sock=made, limit=LINE_MAX)
        except BaseException:
            made.close()
            raise
        return HandoverConnection(reader, writer, self._host, self._clock, self._open_ids)

    def _keep(self, connection: HandoverConnection) -> None:
        """Serve the other process while it lives."""
        self._connections.add(connection)
        self._connections_changed()
        task = asyncio.create_task(connection.serve())
        self._tasks.add(task)

        def over(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self._connections.discard(connection)
            self._connections_changed()

        task.add_done_callback(over)

    async def _asked(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A process has connected that would be the successor."""
        connection = HandoverConnection(reader, writer, self._host, self._clock, self._open_ids)
        try:
            async with asyncio.timeout_at(self._clock.loop_time(self._clock.now_us() + GIVE_US)):
                message = await connection.read()
            if not isinstance(message, HandoverRequested) or self._given:
                connection.write(
                    HandoverRefused("handed over already" if self._given else "nothing was asked for")
                )
                connection.close()
                return
        except (EOFError, OSError, ValueError, BadMessageError, TimeoutError) as error:
            log.warning("handover not asked for as it should", extra={"error": str(error)})
            with contextlib.suppress(OSError):
                connection.write(HandoverRefused(str(error)))
            connection.close()
            return
        self._given = True
        self._counters["handover.given"] += 1
        connection.tells_ids = message.ids
        open_ids = self._open_ids.own() if message.ids else None
        connection.write(HandoverGranted(replace(self._host.export_state(), open_ids=open_ids)))
        self._connections.add(connection)
        self._connections_changed()
        await connection.serve()
        self._connections.discard(connection)
        self._connections_changed()
        self._given = False
        self._host.take_back()


@contextlib.contextmanager
def _short(path: Path) -> Iterator[str]:
    """A name of a path that fits into a Unix address (108 bytes), by its folder's descriptor if need be."""
    if len(os.fsencode(path)) < 100:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
