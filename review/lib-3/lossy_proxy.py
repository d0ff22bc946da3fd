"""A proxy on loopback that loses answers, resets connections or lets them fall silent."""

from __future__ import annotations

import asyncio
import contextlib


class LossyProxy:
    """Passes bytes between its port and another one.

    Attributes:
        port: Its own port, once started.
        loses_answers: Whether what comes from the other port is dropped.
        is_silent: Whether nothing is passed on either way; the connections stay open.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port, self.port = target_port, 0
        self.loses_answers = self.is_silent = False
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> LossyProxy:
        """Starts to listen."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]
        return self

    def reset(self) -> None:
        """Resets all connections, on both sides."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        self._writers += [writer, far_writer]
        await asyncio.gather(
            self._copy(reader, far_writer, is_answer=False), self._copy(far_reader, writer, is_answer=True)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not self.is_silent and not (is_answer and self.loses_answers):
                    writer.write(data)
        if not self.is_silent:
            writer.close()
