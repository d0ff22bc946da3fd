"""The handover between two processes of one broker over a Unix socket."""

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
from lemonridge.operate.errors import BadMessageError
from lemonridge.operate.handover import (
    CALL_TIMEOUT_US,
    STATE_TIMEOUT_US,
    CallAcknowledged,
    CallForwarded,
    HandoverGranted,
    HandoverRefused,
    HandoverRequested,
    HandoverState,
    Message,
    OpenIdsChanged,
)
from lemonridge.operate.handover_format import LINE_MAX, decode, encode

log = logging.getLogger(__name__)

RETRY_S = 0.05  # before a process that is itself in a handover is asked again
CALLS_MAX = 64  # calls that wait for the other process
BACKLOG = 4
UNIX_PATH_MAX = 100  # bytes; an address has room for 108


class HandoverHost(Protocol):
    """The broker of this process, as a handover needs it."""

    def export_state(self) -> HandoverState:
        """Stops accepting anything new, and returns what the successor goes on from."""
        ...

    def undo_handover(self) -> None:
        """Serves again, as the successor is gone."""
        ...

    def apply(self, request: AdminRequest) -> AdminReply:
        """Does what an operator asked of the other process."""
        ...

    def set_processes(self, processes: int) -> None:
        """Notes how many processes the broker has now, this one included."""
        ...


class HandoverConnection:
    """The connection to the other process, while both run.

    Attributes:
        sends_ids: Whether both sides know `OpenIdsChanged`.
    """

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
        self._waiting: dict[int, asyncio.Future[None]] = {}  # forwarded calls by number
        self._calls_forwarded = 0
        self.sends_ids = False

    async def read(self) -> Message:
        """The next message.

        Raises:
            EOFError: The other side has closed the connection.
            BadMessageError: The message cannot be read.
        """
        line = await self._reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError
        return decode(line)

    def write(self, message: Message) -> None:
        """Sends a message without waiting."""
        self._writer.write(encode(message))

    async def serve(self) -> None:
        """Handles the other process's messages until the connection ends."""
        try:
            while True:
                self._handle(await self.read())
        except (EOFError, OSError, BadMessageError, ValueError) as error:
            log.info("other process gone", extra={"error": f"{type(error).__name__}: {error}"})
        finally:
            self._open_ids.forget_remote(self)
            self.close()

    def _handle(self, message: Message) -> None:
        match message:
            case CallForwarded():
                self._host.apply(message.request)
                self.write(CallAcknowledged(message.number))
            case CallAcknowledged():
                waiter = self._waiting.pop(message.number, None)
                if waiter is not None and not waiter.done():
                    waiter.set_result(None)
            case OpenIdsChanged():
                self._open_ids.update_remote(self, message.opened, message.closed)

    async def forward(self, request: AdminRequest) -> bool:
        """Forwards a call; True once it is in force there, or the other process is gone."""
        if len(self._waiting) >= CALLS_MAX:
            return False
        self._calls_forwarded += 1
        number = self._calls_forwarded
        waiter = self._waiting[number] = asyncio.get_running_loop().create_future()
        self.write(CallForwarded(number, request))
        try:
            async with asyncio.timeout_at(self._clock.loop_time(self._clock.now_us() + CALL_TIMEOUT_US)):
                await waiter
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        """Closes the connection; calls that wait for the other process count as in force."""
        for waiter in self._waiting.values():
            if not waiter.done():
                waiter.set_result(None)
        self._waiting.clear()
        self._writer.close()


class ProcessHandover:
    """This process between its predecessor and its successor.

    Args:
        folder: Where the socket is; both processes must be given the same one.
        name: The broker's name.
        host: The broker of this process.
        clock: The broker's clock.
        counters: The broker's counters.
        open_ids: The request ids that are open in both processes.
    """

    def __init__(
        self, folder: str, name: str, host: HandoverHost, clock: Clock, counters: Counters, open_ids: OpenIds
    ) -> None:
        self._path = Path(folder) / f"{name.replace('/', '_')}.handover"
        self._host, self._clock, self._counters = host, clock, counters
        self._open_ids = open_ids
        self._id_changes: dict[str, bool] = {}  # ids that opened (True) or closed in this turn of the loop
        self._connections: set[HandoverConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._handed_over = False

    async def take_over(self) -> HandoverState | None:
        """The state of the process that serves now, which accepts nothing new from here on.

        None where there is no such process, or it does not answer as it should within `STATE_TIMEOUT_US`:
        this process then goes on alone.
        """
        if not self._path.exists():
            return None
        try:
            async with asyncio.timeout_at(self._clock.loop_time(self._clock.now_us() + STATE_TIMEOUT_US)):
                return await self._request_state()
        except (OSError, EOFError, ValueError, BadMessageError, TimeoutError) as error:
            log.warning("nothing taken over", extra={"error": f"{type(error).__name__}: {error}"})
            self._counters["handover.failed"] += 1
            return None

    async def _request_state(self) -> HandoverState:
        while True:
            connection = await self._connect()
            connection.write(HandoverRequested(supports_open_ids=True))
            message = await connection.read()
            if isinstance(message, HandoverGranted):
                connection.sends_ids = message.state.open_ids is not None
                self._open_ids.update_remote(connection, message.state.open_ids or (), ())
                self._serve_in_background(connection)
                return message.state
            connection.close()
            if not isinstance(message, HandoverRefused):
                raise BadMessageError("not what was asked for")
            await asyncio.sleep(RETRY_S)  # until the process that took over from it listens

    async def listen(self) -> None:
        """Becomes the process that the next one asks.

        The socket's name changes hands in one step, so that whoever connects meets a running process.
        """
        self._handed_over = False
        if self._server is not None:
            self._server.close()
        listener = socket.socket(socket.AF_UNIX)
        own_path = self._path.with_suffix(f".{os.getpid()}")
        try:
            own_path.unlink(missing_ok=True)
            with _short(own_path) as name:
                mask = os.umask(0o177)
                try:
                    listener.bind(name)
                finally:
                    os.umask(mask)
            self._server = await asyncio.start_unix_server(
                self._on_connection, sock=listener, limit=LINE_MAX, backlog=BACKLOG
            )
            own_path.rename(self._path)
        except OSError as error:
            listener.close()
            log.error("handover socket not available", extra={"error": str(error)})

    async def forward(self, request: AdminRequest) -> bool:
        """Forwards an operators' call; whether it is in force in every other process that runs."""
        return all(await asyncio.gather(*(one.forward(request) for one in self._connections)))

    def stop(self) -> None:
        """Closes the socket and the connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    # Ids of open requests

    def _on_id_change(self, request_id: str, opened: bool) -> None:
        """Notes an id for the end of this turn of the loop; one that opens and closes in it is not sent."""
        if not self._id_changes:
            asyncio.get_running_loop().call_soon(self._send_id_changes)
        if not opened and self._id_changes.get(request_id):
            del self._id_changes[request_id]
        else:
            self._id_changes[request_id] = opened

    def _send_id_changes(self) -> None:
        changes, self._id_changes = self._id_changes, {}
        message = OpenIdsChanged(
            tuple(request_id for request_id, opened in changes.items() if opened),
            tuple(request_id for request_id, opened in changes.items() if not opened),
        )
        for connection in self._connections:
            if changes and connection.sends_ids:
                connection.write(message)

    def _on_connections_changed(self) -> None:
        """Notes how many processes there are; follows ids only while one is there that wants them."""
        self._host.set_processes(1 + len(self._connections))
        wanted = any(connection.sends_ids for connection in self._connections)
        self._open_ids.on_change = self._on_id_change if wanted else None

    # Connections

    async def _connect(self) -> HandoverConnection:
        connecting = socket.socket(socket.AF_UNIX)
        connecting.setblocking(False)
        try:
            with _short(self._path) as name:
                await asyncio.get_running_loop().sock_connect(connecting, name)
            reader, writer = await asyncio.open_unix_connection(sock=connecting, limit=LINE_MAX)
        except BaseException:
            connecting.close()
            raise
        return HandoverConnection(reader, writer, self._host, self._clock, self._open_ids)

    def _serve_in_background(self, connection: HandoverConnection) -> None:
        """Handles the predecessor's messages while it runs."""
        self._connections.add(connection)
        self._on_connections_changed()
        task = asyncio.create_task(connection.serve())
        self._tasks.add(task)

        def on_end(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self._connections.discard(connection)
            self._on_connections_changed()

        task.add_done_callback(on_end)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A process has connected, to become the successor."""
        connection = HandoverConnection(reader, writer, self._host, self._clock, self._open_ids)
        request = await self._read_request(connection)
        if request is None:
            return
        self._handed_over = True
        self._counters["handover.given"] += 1
        connection.sends_ids = request.supports_open_ids
        open_ids = self._open_ids.own() if request.supports_open_ids else None
        connection.write(HandoverGranted(replace(self._host.export_state(), open_ids=open_ids)))
        self._connections.add(connection)
        self._on_connections_changed()
        await connection.serve()
        self._connections.discard(connection)
        self._on_connections_changed()
        self._handed_over = False
        self._host.undo_handover()

    async def _read_request(self, connection: HandoverConnection) -> HandoverRequested | None:
        """The successor's request; None where it was refused."""
        try:
            async with asyncio.timeout_at(self._clock.loop_time(self._clock.now_us() + STATE_TIMEOUT_US)):
                message = await connection.read()
            if isinstance(message, HandoverRequested) and not self._handed_over:
                return message
            connection.write(
                HandoverRefused("handed over already" if self._handed_over else "nothing was asked for")
            )
        except (EOFError, OSError, ValueError, BadMessageError, TimeoutError) as error:
            log.warning("handover request not readable", extra={"error": str(error)})
            with contextlib.suppress(OSError):
                connection.write(HandoverRefused(str(error)))
        connection.close()
        return None


@contextlib.contextmanager
def _short(path: Path) -> Iterator[str]:
    """A name of a path that fits into a Unix address, by its folder's descriptor if need be."""
    if len(os.fsencode(path)) < UNIX_PATH_MAX:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
