"""The handover between two processes of one broker, over a Unix socket.

The messages and the handed-over state are defined in `operate.handover`.
"""

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
from lemonridge.core.open_ids import RETAINED_ID_S, OpenIds
from lemonridge.net.key_turns import KeyTurnExchange
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
    KeyTurnEnded,
    KeyTurnGranted,
    KeyTurnRequested,
    KeyTurnsReset,
    Message,
    OpenIdsChanged,
)
from lemonridge.operate.handover_format import LINE_MAX, decode, encode

log = logging.getLogger(__name__)

REQUEST_RETRY_S = 0.05  # before the request is repeated to a process that is itself in a handover
PENDING_CALLS_MAX = 64  # forwarded calls that the other process has not acknowledged
BACKLOG = 4  # connections that wait to be accepted
UNIX_PATH_MAX_BYTES = 100  # a Unix socket address holds 108 bytes


class HandoverHost(Protocol):
    """The broker of this process as the handover uses it."""

    def export_state(self) -> HandoverState:
        """Stops accepting connections and returns the state for the successor."""
        ...

    def undo_handover(self) -> None:
        """Accepts connections again, because the successor is gone."""
        ...

    def apply(self, request: AdminRequest) -> AdminReply:
        """Carries out an operator's call that the other process received."""
        ...

    def set_processes(self, processes: int) -> None:
        """Sets the number of processes that the broker consists of now, including this one."""
        ...


class HandoverConnection:
    """The connection to the other process while both run.

    Args:
        reader: The reading side of the connection.
        writer: The writing side of the connection.
        host: The broker of this process.
        clock: The broker's clock.
        open_ids: The request ids that are open in both processes.
        key_turns: The exchange of turns of ordering keys.

    Attributes:
        exchanges_open_ids: Whether both sides support `OpenIdsChanged`.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: HandoverHost,
        clock: Clock,
        open_ids: OpenIds,
        key_turns: KeyTurnExchange,
    ) -> None:
        self._reader, self._writer, self._host, self._clock = reader, writer, host, clock
        self._open_ids, self._key_turns = open_ids, key_turns
        self._pending_calls: dict[int, asyncio.Future[None]] = {}  # unacknowledged forwarded calls by number
        self._calls_forwarded = 0
        self.exchanges_open_ids = False

    async def read(self) -> Message:
        """Returns the next message.

        Raises:
            EOFError: The other process has closed the connection.
            BadMessageError: The message is malformed.
        """
        line = await self._reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError
        return decode(line)

    def write(self, message: Message) -> None:
        """Sends a message; returns before it is transmitted."""
        self._writer.write(encode(message))

    async def serve(self) -> None:
        """Handles the other process's messages until the connection ends."""
        try:
            while True:
                self._handle(await self.read())
        except (EOFError, OSError, BadMessageError, ValueError) as error:
            log.info("other process gone", extra={"error": f"{type(error).__name__}: {error}"})
        finally:
            # Endpoints may still run what the other process had sent.
            asyncio.get_running_loop().call_later(RETAINED_ID_S, self._open_ids.forget_remote, self)
            self.close()

    def _handle(self, message: Message) -> None:
        """Handles one message; messages that belong to the setup of a handover are ignored."""
        match message:
            case CallForwarded():
                self._host.apply(message.request)
                self.write(CallAcknowledged(message.number))
            case CallAcknowledged():
                waiter = self._pending_calls.pop(message.number, None)
                if waiter is not None and not waiter.done():
                    waiter.set_result(None)
            case OpenIdsChanged():
                self._open_ids.update_remote(self, message.opened, message.closed)
            case KeyTurnRequested() | KeyTurnGranted() | KeyTurnEnded() | KeyTurnsReset():
                self._key_turns.handle(self, message)

    async def forward(self, request: AdminRequest) -> bool:
        """Forwards an operator's call to the other process.

        Args:
            request: The call.

        Returns:
            Whether the call is in force in the other process, or that process is gone. False if it did not
            acknowledge the call in time, or `PENDING_CALLS_MAX` calls are pending.
        """
        if len(self._pending_calls) >= PENDING_CALLS_MAX:
            return False
        self._calls_forwarded += 1
        number = self._calls_forwarded
        waiter = self._pending_calls[number] = asyncio.get_running_loop().create_future()
        self.write(CallForwarded(number, request))
        try:
            async with asyncio.timeout_at(self._clock.loop_time(self._clock.now_us() + CALL_TIMEOUT_US)):
                await waiter
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        """Closes the connection; pending calls count as in force, because the other process is gone."""
        for waiter in self._pending_calls.values():
            if not waiter.done():
                waiter.set_result(None)
        self._pending_calls.clear()
        self._writer.close()


class ProcessHandover:
    """The handovers of this process, from its predecessor and to its successor.

    Args:
        folder: The folder of the socket, which must be the same for both processes.
        name: The broker's name.
        host: The broker of this process.
        clock: The broker's clock.
        counters: The broker's counters.
        open_ids: The request ids that are open in both processes.
        key_turns: The exchange of turns of ordering keys.
    """

    def __init__(
        self,
        folder: str,
        name: str,
        host: HandoverHost,
        clock: Clock,
        counters: Counters,
        open_ids: OpenIds,
        key_turns: KeyTurnExchange,
    ) -> None:
        self._path = Path(folder) / f"{name.replace('/', '_')}.handover"
        self._host, self._clock, self._counters = host, clock, counters
        self._open_ids, self._key_turns = open_ids, key_turns
        self._id_changes: dict[str, bool] = {}  # ids opened (True) or closed (False) in this loop iteration
        self._connections: set[HandoverConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._has_handed_over = False

    async def take_over(self) -> HandoverState | None:
        """Requests the handover from the running process.

        Returns:
            The state of that process, which accepts no new connections from then on. None if there is no such
            process, or if it does not send a valid state within `STATE_TIMEOUT_US`; this process then starts
            without a state.
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
        """Connects and requests the state, and repeats both while the request is refused."""
        while True:
            connection = await self._connect()
            connection.write(HandoverRequested(supports_open_ids=True, supports_key_turns=True))
            message = await connection.read()
            if isinstance(message, HandoverGranted):
                connection.exchanges_open_ids = message.state.open_ids is not None
                self._open_ids.update_remote(connection, message.state.open_ids or (), ())
                if message.state.supports_key_turns:
                    self._key_turns.on_predecessor(connection)
                self._serve_in_background(connection)
                return message.state
            connection.close()
            if not isinstance(message, HandoverRefused):
                raise BadMessageError(
                    f"expected a reply to the handover request, received {type(message).__name__}"
                )
            await asyncio.sleep(REQUEST_RETRY_S)  # until that process's own successor listens

    async def listen(self) -> None:
        """Starts to listen for a successor.

        The socket is renamed to its final path atomically, so a process that connects always reaches a
        running process.
        """
        self._has_handed_over = False
        if self._server is not None:
            self._server.close()
        listener = socket.socket(socket.AF_UNIX)
        own_path = self._path.with_suffix(f".{os.getpid()}")
        try:
            own_path.unlink(missing_ok=True)
            with _short_path(own_path) as name:
                previous_umask = os.umask(0o177)  # the socket is for this user alone
                try:
                    listener.bind(name)
                finally:
                    os.umask(previous_umask)
            self._server = await asyncio.start_unix_server(
                self._on_connection, sock=listener, limit=LINE_MAX, backlog=BACKLOG
            )
            own_path.rename(self._path)
        except OSError as error:
            listener.close()
            log.error("cannot listen on the handover socket", extra={"error": str(error)})

    async def forward(self, request: AdminRequest) -> bool:
        """Forwards an operator's call; returns whether it is in force in all other running processes."""
        return all(await asyncio.gather(*(connection.forward(request) for connection in self._connections)))

    def stop(self) -> None:
        """Closes the socket and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    # Ids of open requests

    def _on_id_change(self, request_id: str, opened: bool) -> None:
        """Records that an id was opened or closed; sent at the end of this iteration of the event loop.

        An id that is opened and closed within one iteration is not sent.
        """
        if not self._id_changes:
            asyncio.get_running_loop().call_soon(self._send_id_changes)
        if not opened and self._id_changes.get(request_id):
            del self._id_changes[request_id]
        else:
            self._id_changes[request_id] = opened

    def _send_id_changes(self) -> None:
        """Sends the recorded changes to all processes that support `OpenIdsChanged`."""
        changes, self._id_changes = self._id_changes, {}
        message = OpenIdsChanged(
            tuple(request_id for request_id, opened in changes.items() if opened),
            tuple(request_id for request_id, opened in changes.items() if not opened),
        )
        for connection in self._connections:
            if changes and connection.exchanges_open_ids:
                connection.write(message)

    def _on_connections_changed(self) -> None:
        """Updates the number of processes, and tracks ids only while another process supports them."""
        self._host.set_processes(1 + len(self._connections))
        is_exchanged = any(connection.exchanges_open_ids for connection in self._connections)
        self._open_ids.on_change = self._on_id_change if is_exchanged else None

    # Connections

    async def _connect(self) -> HandoverConnection:
        """Returns a connection to the process that listens on the socket."""
        client_socket = socket.socket(socket.AF_UNIX)
        client_socket.setblocking(False)
        try:
            with _short_path(self._path) as name:
                await asyncio.get_running_loop().sock_connect(client_socket, name)
            reader, writer = await asyncio.open_unix_connection(sock=client_socket, limit=LINE_MAX)
        except BaseException:
            client_socket.close()
            raise
        return self._new_connection(reader, writer)

    def _new_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> HandoverConnection:
        return HandoverConnection(reader, writer, self._host, self._clock, self._open_ids, self._key_turns)

    def _serve_in_background(self, connection: HandoverConnection) -> None:
        """Handles the predecessor's messages while it runs."""
        self._connections.add(connection)
        self._on_connections_changed()
        task = asyncio.create_task(connection.serve())
        self._tasks.add(task)

        def on_end(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self._on_connection_ended(connection)

        task.add_done_callback(on_end)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Hands over to a process that has connected, and serves its messages until it ends."""
        connection = self._new_connection(reader, writer)
        request = await self._read_request(connection)
        if request is None:
            return
        self._has_handed_over = True
        self._counters["handover.given"] += 1
        connection.exchanges_open_ids = request.supports_open_ids
        open_ids = self._open_ids.own() if request.supports_open_ids else None
        state = replace(
            self._host.export_state(), open_ids=open_ids, supports_key_turns=request.supports_key_turns
        )
        connection.write(HandoverGranted(state))
        if request.supports_key_turns:
            self._key_turns.on_successor(connection)
        self._connections.add(connection)
        self._on_connections_changed()
        await connection.serve()
        self._on_connection_ended(connection)
        self._has_handed_over = False
        self._host.undo_handover()

    def _on_connection_ended(self, connection: HandoverConnection) -> None:
        """Handles the end of the other process."""
        self._connections.discard(connection)
        self._key_turns.on_connection_ended(connection, self._open_ids.has_remote(connection))
        self._on_connections_changed()

    async def _read_request(self, connection: HandoverConnection) -> HandoverRequested | None:
        """Returns the successor's request; None if it was refused."""
        try:
            async with asyncio.timeout_at(self._clock.loop_time(self._clock.now_us() + STATE_TIMEOUT_US)):
                message = await connection.read()
            if isinstance(message, HandoverRequested) and not self._has_handed_over:
                return message
            connection.write(
                HandoverRefused("handed over already" if self._has_handed_over else "nothing was asked for")
            )
        except (EOFError, OSError, ValueError, BadMessageError, TimeoutError) as error:
            log.warning("no valid handover request received", extra={"error": str(error)})
            with contextlib.suppress(OSError):
                connection.write(HandoverRefused(str(error)))
        connection.close()
        return None


@contextlib.contextmanager
def _short_path(path: Path) -> Iterator[str]:
    """Yields a path that fits into a Unix socket address, through the folder's descriptor if necessary."""
    if len(os.fsencode(path)) < UNIX_PATH_MAX_BYTES:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
