"""Accepting connections, though accept(2) and setsockopt(2) may fail for a moment."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from enum import Enum

from lemonridge.config.address import Address
from lemonridge.core.counters import Counters

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that wait to be accepted
ACCEPT_BATCH = 16  # in one turn of the loop: more would exceed the limit on sockets before any is evicted
ACCEPT_RETRY_S = 0.05  # after the system could not accept


class AcceptResult(Enum):
    """How a batch of accepts ended."""

    QUEUE_EMPTY = "queue empty"
    MORE_WAITING = "more waiting"  # possibly
    FAILED = "failed"  # the system could not accept; connections may wait


def listening_socket(address: Address, inherited_fd: int | None = None) -> socket.socket:
    """A listening socket, from which nothing is accepted yet.

    Args:
        address: where a new one listens.
        inherited_fd: the descriptor of one that this process inherited, in place of a new one.

    Raises:
        OSError: the address cannot be listened at, or the descriptor is no listening socket.
    """
    if inherited_fd is None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        return socket.create_server((address.host, address.port), family=family)
    # With protocol 0, as `create_server` makes it: for sockets that say they are TCP's asyncio sets an
    # option, and where that fails it would lose the accepted connection.
    inherited = socket.socket(fileno=inherited_fd)
    listening = socket.socket(inherited.family, inherited.type, 0, fileno=inherited.detach())
    listening.set_inheritable(True)
    if not listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(f"descriptor {inherited_fd} is not a listening socket")
    return listening


class Listener:
    """Accepts at one listening socket and gives each connection a protocol.

    asyncio's own server stops for a second after ENFILE, EMFILE, ENOBUFS and ENOMEM; this one retries after
    `ACCEPT_RETRY_S`. A connection that the system has accepted is served, whatever option cannot be set.

    Counter: `clients.accept_failed`.
    """

    def __init__(
        self, sock: socket.socket, protocol: Callable[[], asyncio.BaseProtocol], counters: Counters
    ) -> None:
        self.socket, self._protocol, self._counters = sock, protocol, counters
        self._loop = asyncio.get_running_loop()
        self._listening: socket.socket | None = None
        self._accepting: set[asyncio.Task[object]] = set()  # connections that the loop does not have yet

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._listening is not None

    @property
    def accepting(self) -> bool:
        """Whether an accepted connection has no protocol yet."""
        return bool(self._accepting)

    @property
    def address(self) -> str:
        """Where it listens, as `host:port`."""
        return "{}:{}".format(*self.socket.getsockname())

    def listen(self) -> None:
        """Accept from here on.

        It listens at a copy of the descriptor, so that closing it ends nothing for another process at the
        same socket.
        """
        if self._listening is not None:
            return
        self._listening = self.socket.dup()
        self._listening.setblocking(False)
        self._listening.listen(BACKLOG)
        self._loop.add_reader(self._listening, self._on_connections_waiting)

    def stop_accepting(self) -> None:
        """Accept no new connection; the accepted ones stay."""
        if self._listening is not None:
            self._loop.remove_reader(self._listening)
            self._listening.close()
            self._listening = None

    def close(self) -> None:
        """Accept no new connection, and close the socket."""
        self.stop_accepting()
        self.socket.close()

    async def accept_pending(self, until_s: float) -> None:
        """Accept all connections that wait before the listener closes, since the system would reset them.

        Args:
            until_s: how long an accept that fails is retried, on the loop's clock.
        """
        while self._listening is not None:
            result = self.accept_batch()
            if result is AcceptResult.QUEUE_EMPTY or (
                result is AcceptResult.FAILED and self._loop.time() >= until_s
            ):
                return
            if result is AcceptResult.FAILED:
                await asyncio.sleep(ACCEPT_RETRY_S)

    def accept_batch(self) -> AcceptResult:
        """Accept some of the waiting connections; they are served also if the listener closes now."""
        listening = self._listening
        assert listening is not None
        for _ in range(ACCEPT_BATCH):
            try:
                accepted, _ = listening.accept()
            except (BlockingIOError, InterruptedError):
                return AcceptResult.QUEUE_EMPTY
            except ConnectionAbortedError:
                continue
            except OSError as error:  # no descriptor, no memory, or an error of the network: it may pass
                log.warning("accept failed, retried", extra={"error": str(error)})
                self._counters["clients.accept_failed"] += 1
                return AcceptResult.FAILED
            self._serve(accepted)
        return AcceptResult.MORE_WAITING

    def _on_connections_waiting(self) -> None:
        """Accept a batch; where the system cannot, pause before the next.

        A listener that stays readable would keep the loop busy until then.
        """
        listening = self._listening
        if listening is not None and self.accept_batch() is AcceptResult.FAILED:
            self._loop.remove_reader(listening)
            self._loop.call_later(ACCEPT_RETRY_S, self._resume_accepting, listening)

    def _resume_accepting(self, listening: socket.socket) -> None:
        if listening is self._listening:
            self._loop.add_reader(listening, self._on_connections_waiting)

    def _serve(self, accepted: socket.socket) -> None:
        """Give an accepted connection its protocol, also where an option cannot be set."""
        accepted.setblocking(False)
        # asyncio sets it for sockets that say they are TCP's, and an accepted one says what its listener was
        # made with. Bytes of an answer that the system still holds back would be lost with a reset.
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            log.info("TCP_NODELAY not set", extra={"error": str(error)})
        starting = self._loop.create_task(self._loop.connect_accepted_socket(self._protocol, accepted))
        self._accepting.add(starting)
        starting.add_done_callback(self._started)

    def _started(self, starting: asyncio.Task[object]) -> None:
        self._accepting.discard(starting)
        if not starting.cancelled() and (error := starting.exception()) is not None:
            log.info(
                "accepted connection lost before it was served",
                extra={"error": f"{type(error).__name__}: {error}"},
            )
