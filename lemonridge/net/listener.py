"""Accepts connections; retries temporary failures of accept(2) and tolerates those of setsockopt(2)."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from enum import Enum

from lemonridge.config.address import Address
from lemonridge.core.counters import Counters

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections waiting to be accepted
ACCEPT_BATCH = 16  # per loop iteration: more would exceed the socket limit before any is evicted
ACCEPT_RETRY_S = 0.05  # pause after a failed accept
ROOM_RETRY_S = 0.005  # pause while there is no room for another connection


class AcceptResult(Enum):
    """The result of accepting a batch of connections."""

    QUEUE_EMPTY = "queue empty"
    MORE_WAITING = "more waiting"  # further connections may be waiting
    NO_ROOM = "no room"  # the process has no room for another connection at the moment
    FAILED = "failed"  # the operating system could not accept; connections may be waiting


PAUSES_S = {AcceptResult.NO_ROOM: ROOM_RETRY_S, AcceptResult.FAILED: ACCEPT_RETRY_S}  # before the next accept


def _always_has_room() -> bool:
    """Returns whether there is room for another connection, where nothing bounds their number."""
    return True


def listening_socket(address: Address, inherited_fd: int | None = None) -> socket.socket:
    """Returns a listening socket without accepting connections from it.

    Args:
        address: The address to listen on, if a new socket is opened.
        inherited_fd: The descriptor of a listening socket inherited by this process; None opens a new socket.

    Raises:
        OSError: The address cannot be bound, or the descriptor is not a listening socket.
    """
    if inherited_fd is None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        return socket.create_server((address.host, address.port), family=family)
    # The protocol number is 0, as in `create_server`: on sockets whose protocol is TCP asyncio sets an
    # option, and if that fails, it drops the accepted connection.
    inherited = socket.socket(fileno=inherited_fd)
    listening = socket.socket(inherited.family, inherited.type, 0, fileno=inherited.detach())
    listening.set_inheritable(True)
    if not listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(f"descriptor {inherited_fd} is not a listening socket")
    return listening


class Listener:
    """Accepts connections on one listening socket and gives each a protocol.

    asyncio's own server pauses for a second after ENFILE, EMFILE, ENOBUFS and ENOMEM; this one retries after
    `ACCEPT_RETRY_S`. An accepted connection is served even if a socket option cannot be set.

    Counters: `clients.accept_failed`, `clients.accept_paused` (there was no room).

    Args:
        sock: The listening socket.
        protocol_factory: Returns a protocol for a new connection.
        counters: The process's counters.
        has_room: Returns whether another connection may be accepted now; otherwise it waits in the backlog.

    Attributes:
        socket: The listening socket.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        counters: Counters,
        has_room: Callable[[], bool] = _always_has_room,
    ) -> None:
        self.socket, self._protocol_factory, self._counters = sock, protocol_factory, counters
        self._has_room = has_room
        self._loop = asyncio.get_running_loop()
        self._listening: socket.socket | None = None
        self._starting_tasks: set[asyncio.Task[object]] = set()  # accepted connections without a protocol

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._listening is not None

    @property
    def has_starting_connections(self) -> bool:
        """Whether an accepted connection has no protocol yet."""
        return bool(self._starting_tasks)

    @property
    def address(self) -> str:
        """The address of the socket, as `host:port`."""
        return "{}:{}".format(*self.socket.getsockname())

    def listen(self) -> None:
        """Starts to accept connections.

        It uses a duplicate of the descriptor, so that closing it does not affect another process that uses
        the same socket.
        """
        if self._listening is not None:
            return
        self._listening = self.socket.dup()
        self._listening.setblocking(False)
        self._listening.listen(BACKLOG)
        self._loop.add_reader(self._listening, self._on_connections_waiting)

    def stop_accepting(self) -> None:
        """Stops accepting connections; accepted ones stay open."""
        if self._listening is not None:
            self._loop.remove_reader(self._listening)
            self._listening.close()
            self._listening = None

    def close(self) -> None:
        """Stops accepting connections and closes the socket."""
        self.stop_accepting()
        self.socket.close()

    async def accept_pending(self, give_up_at_s: float) -> None:
        """Accepts all pending connections; the operating system would reset them when the listener closes.

        Args:
            give_up_at_s: Until when a failed accept is retried, in seconds of the event loop's clock.
        """
        while self._listening is not None:
            result = self.accept_batch()
            pause_s = PAUSES_S.get(result)
            if result is AcceptResult.QUEUE_EMPTY or (pause_s and self._loop.time() >= give_up_at_s):
                return
            if pause_s:
                await asyncio.sleep(pause_s)

    def accept_batch(self) -> AcceptResult:
        """Accepts up to `ACCEPT_BATCH` connections; they are served even if the listener closes now."""
        listening = self._listening
        assert listening is not None
        for _ in range(ACCEPT_BATCH):
            if not self._has_room():
                self._counters["clients.accept_paused"] += 1
                return AcceptResult.NO_ROOM
            try:
                accepted, _ = listening.accept()
            except (BlockingIOError, InterruptedError):
                return AcceptResult.QUEUE_EMPTY
            except ConnectionAbortedError:
                continue
            except OSError as error:  # no descriptor or memory, or a network error: may be temporary
                log.warning("accept failed, will be retried", extra={"error": str(error)})
                self._counters["clients.accept_failed"] += 1
                return AcceptResult.FAILED
            self._start_serving(accepted)
        return AcceptResult.MORE_WAITING

    def _on_connections_waiting(self) -> None:
        """Accepts a batch, and pauses after a failure and while there is no room.

        Without the pause, the socket would stay readable and keep the event loop busy.
        """
        listening = self._listening
        pause_s = None if listening is None else PAUSES_S.get(self.accept_batch())
        if listening is not None and pause_s:
            self._loop.remove_reader(listening)
            self._loop.call_later(pause_s, self._resume_accepting, listening)

    def _resume_accepting(self, listening: socket.socket) -> None:
        """Continues after the pause, unless the listener has been closed meanwhile."""
        if listening is self._listening:
            self._loop.add_reader(listening, self._on_connections_waiting)

    def _start_serving(self, accepted: socket.socket) -> None:
        """Gives an accepted connection its protocol, even if a socket option cannot be set."""
        accepted.setblocking(False)
        # asyncio sets TCP_NODELAY only on sockets whose protocol is TCP, and an accepted socket has the
        # protocol number of its listener. Without the option, bytes of a response that the operating system
        # delays would be lost on a reset.
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            log.info("cannot set TCP_NODELAY", extra={"error": str(error)})
        task = self._loop.create_task(self._loop.connect_accepted_socket(self._protocol_factory, accepted))
        self._starting_tasks.add(task)
        task.add_done_callback(self._on_serving_started)

    def _on_serving_started(self, task: asyncio.Task[object]) -> None:
        """Logs a connection that was lost before it got its protocol."""
        self._starting_tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.info(
                "accepted connection lost before it was served",
                extra={"error": f"{type(error).__name__}: {error}"},
            )
