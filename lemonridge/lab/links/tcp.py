"""A stretch of network for TCP connections to one server, which can reset, delay and silence them."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import deque
from enum import Enum, auto

READ_BYTES = 65536
HEAD_END = b"\r\n\r\n"


class AnswerFault(Enum):
    """What happens to the answer to a request that is sent while the fault is set."""

    NONE = auto()  # the answer is delivered
    NO_ANSWER = auto()  # nothing of it is delivered
    HEAD_ONLY = auto()  # nothing behind its head is delivered
    SILENT_SOON = auto()  # nothing is delivered SILENT_SOON_S after its first byte


SILENT_SOON_S = 0.3


class TcpLink:
    """Passes bytes between its port and a server on loopback.

    Attributes:
        port: The link's port, once started.
        swallows_new: Whether a connection that opens now is read and never passed on, also later.
        answer_delay_s: How late the server's bytes are delivered.
        faulty_path: The text in a request's first bytes that `answer_fault` applies to.
        answer_fault: What happens to the answers to such requests.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port, self.port = target_port, 0
        self.swallows_new = False
        self.answer_delay_s = 0.0
        self.faulty_path, self.answer_fault = b"", AnswerFault.NONE
        self._connections: set[_Connection] = set()
        self._serves = asyncio.Event()
        self._serves.set()

    async def start(self) -> TcpLink:
        """Starts to listen, at the same port as before if the link was already started once."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def refuse(self) -> None:
        """Refuses new connections until the next `start`, and resets the open ones."""
        self._server.close()
        self.reset()

    def pause_accepting(self) -> None:
        """Serves no new connection until `resume_accepting`; to its client it looks open."""
        self._serves.clear()

    def resume_accepting(self) -> None:
        """Serves the connections that have waited, and new ones."""
        self._serves.set()

    def reset(self) -> None:
        """Resets all open connections, on both sides."""
        for connection in list(self._connections):
            connection.reset()

    def silence(self, after_bytes: int = 0) -> None:
        """Stops the open connections, which stay open.

        Args:
            after_bytes: How many more bytes of the server each of them delivers.
        """
        for connection in self._connections:
            connection.allowed_bytes = after_bytes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection(self, writer)
        self._connections.add(connection)
        try:
            if self.swallows_new:
                while await reader.read(READ_BYTES):
                    pass
                return
            await self._serves.wait()
            await connection.run(reader, self._target_port)
        except OSError:
            connection.reset()
        finally:
            self._connections.discard(connection)
            writer.close()


class _Connection:
    """One connection through a link.

    Attributes:
        allowed_bytes: How many more bytes of the server are delivered.
    """

    def __init__(self, link: TcpLink, client: asyncio.StreamWriter) -> None:
        self._link, self._client = link, client
        self._server: asyncio.StreamWriter | None = None
        self.allowed_bytes: float = math.inf
        self._fault = AnswerFault.NONE
        self._delayed: deque[bytes] = deque()

    def reset(self) -> None:
        """Resets the connection on both sides."""
        for writer in (self._client, self._server):
            if writer is not None:
                writer.transport.abort()

    async def run(self, client_reader: asyncio.StreamReader, target_port: int) -> None:
        """Passes bytes until either side ends."""
        server_reader, self._server = await asyncio.open_connection("127.0.0.1", target_port)
        passing = [
            asyncio.create_task(self._pass_requests(client_reader, self._server)),
            asyncio.create_task(self._pass_answers(server_reader)),
        ]
        try:
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in passing:
                task.cancel()
            await asyncio.gather(*passing, return_exceptions=True)
            self._server.close()

    async def _pass_requests(self, reader: asyncio.StreamReader, server: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self._link.answer_fault is not AnswerFault.NONE and self._link.faulty_path in data:
                    self._fault = self._link.answer_fault
                if self.allowed_bytes:
                    server.write(data)

    async def _pass_answers(self, reader: asyncio.StreamReader) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                self._apply_fault(data)
                self._delayed.append(data)
                loop.call_later(self._link.answer_delay_s, self._deliver_next)

    def _apply_fault(self, data: bytes) -> None:
        """Limits what is delivered, from the first byte of an answer with a fault."""
        fault, self._fault = self._fault, AnswerFault.NONE
        if fault is AnswerFault.NO_ANSWER:
            self.allowed_bytes = 0
        elif fault is AnswerFault.HEAD_ONLY:
            self.allowed_bytes = data.index(HEAD_END) + len(HEAD_END)
        elif fault is AnswerFault.SILENT_SOON:
            asyncio.get_running_loop().call_later(SILENT_SOON_S, setattr, self, "allowed_bytes", 0)

    def _deliver_next(self) -> None:
        data = self._delayed.popleft()
        allowed = data if self.allowed_bytes >= len(data) else data[: int(self.allowed_bytes)]
        self.allowed_bytes -= len(allowed)
        if allowed and not self._client.is_closing():
            self._client.write(allowed)
