"""Accepting connections, through the ways in which accept(2) and setsockopt(2) may fail for a moment."""

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
ACCEPTS = 16  # in one turn of the loop: more would pass the limit on sockets before room is made
RETRY_S = 0.05  # before it is tried again to accept, where the system could not


class Accepted(Enum):
    """What a turn of accepting led to."""

    ALL = "all"  # no connection waits
    SOME = "some"  # more may wait
    FAILED = "failed"  # the system could not; connections may wait


def listening_socket(address: Address, passed: int | None = None) -> socket.socket:
    """A new listening socket, or the one that was passed down as this descriptor. Nothing is accepted from it
    yet. Raises `OSError` where it cannot be had.
    """
    if passed is None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        return socket.create_server((address.host, address.port), family=family)
    # As made by `create_server`: without a protocol told, so that no accepted connection is lost where
    # asyncio fails to set an option that it sets for those that say they are TCP's.
    plain = socket.socket(fileno=passed)
    made = socket.socket(plain.family, plain.type, 0, fileno=plain.detach())
    made.set_inheritable(True)
    if not made.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(f"descriptor {passed} is not a listening socket")
    return made


class Listener:
    """Accepts at one listening socket and gives each connection a protocol.

    asyncio's own server stops for a second after ENFILE, EMFILE, ENOBUFS and ENOMEM; this one tries again
    after `RETRY_S`. What the system has accepted is served, whatever option it lacks.
    """

    def __init__(
        self, sock: socket.socket, protocol: Callable[[], asyncio.BaseProtocol], counters: Counters
    ) -> None:
        self.socket, self._protocol, self._counters = sock, protocol, counters
        self._loop = asyncio.get_running_loop()
        self._listening: socket.socket | None = None
        self._accepting: set[asyncio.Task[object]] = set()  # connections that the loop does not have yet

    @property
    def listens(self) -> bool:
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
        """Accept from here on. A copy of the descriptor is listened at, so that to end it ends nothing for
        another process at the same socket.
        """
        if self._listening is not None:
            return
        self._listening = self.socket.dup()
        self._listening.setblocking(False)
        self._listening.listen(BACKLOG)
        self._loop.add_reader(self._listening, self._on_connections_waiting)

    def stop_accepting(self) -> None:
        """Accept no new connection; those that are there stay."""
        if self._listening is not None:
            self._loop.remove_reader(self._listening)
            self._listening.close()
            self._listening = None

    def close(self) -> None:
        """Accept no more, and let the socket go."""
        self.stop_accepting()
        self.socket.close()

    async def accept_the_rest(self, until_s: float) -> None:
        """Take all connections that wait before the listener closes, since the system would reset them. An
        accept that fails for a moment is tried again until then, on the loop's clock.
        """
        while self._listening is not None:
            result = self.accept_some()
            if result is Accepted.ALL or (result is Accepted.FAILED and self._loop.time() >= until_s):
                return
            if result is Accepted.FAILED:
                await asyncio.sleep(RETRY_S)

    def accept_some(self) -> Accepted:
        """Take some of the connections that wait. What is taken here is served, even if nothing is taken from
        the next moment on.
        """
        listening = self._listening
        assert listening is not None
        for _ in range(ACCEPTS):
            try:
                accepted, _ = listening.accept()
            except (BlockingIOError, InterruptedError):
                return Accepted.ALL
            except ConnectionAbortedError:
                continue
            except OSError as error:  # no descriptor, no memory, or an error of the network: it may pass
                log.warning("nothing accepted", extra={"error": str(error)})
                self._counters["clients.accept_failed"] += 1
                return Accepted.FAILED
            self._serve(accepted)
        return Accepted.SOME

    def _on_connections_waiting(self) -> None:
        """The listener is readable. Where the system cannot accept, it is asked again a little later: a
        listener that stays readable would keep the loop busy until then.
        """
        listening = self._listening
        if listening is not None and self.accept_some() is Accepted.FAILED:
            self._loop.remove_reader(listening)
            self._loop.call_later(RETRY_S, self._accept_again, listening)

    def _accept_again(self, listening: socket.socket) -> None:
        if listening is self._listening:
            self._loop.add_reader(listening, self._on_connections_waiting)

    def _serve(self, accepted: socket.socket) -> None:
        """Give an accepted connection its protocol, whatever option it lacks."""
        accepted.setblocking(False)
        # asyncio does it for sockets that say they are TCP's, and an accepted one says what its listener
        # was made with. What the system still held back of an answer would go with a reset.
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            log.info("no TCP_NODELAY", extra={"error": str(error)})
        making = self._loop.create_task(self._loop.connect_accepted_socket(self._protocol, accepted))
        self._accepting.add(making)
        making.add_done_callback(self._served)

    def _served(self, making: asyncio.Task[object]) -> None:
        self._accepting.discard(making)
        if not making.cancelled() and (error := making.exception()) is not None:
            log.info("connection lost at its start", extra={"error": f"{type(error).__name__}: {error}"})
