"""Proxies on loopback that reset connections or let them fall silent."""

from __future__ import annotations

import asyncio
import contextlib


class ResettableProxy:
    """Passes bytes in both directions between its port and another one.

    Attributes:
        port: Its own port.
        silent: Whether a new connection is accepted and never served, also later.
        resets: Number of connections that were reset.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port, self.port, self.silent, self.resets = target_port, 0, False, 0
        self._pairs: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = []
        self._ignored: list[asyncio.StreamWriter] = []

    async def start(self) -> ResettableProxy:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def reset(self) -> None:
        """Resets all connections, on both sides."""
        for pair in self._pairs:
            for writer in pair:
                writer.transport.abort()
            self.resets += 1
        self._pairs.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.silent:
            self._ignored.append(writer)
            with contextlib.suppress(OSError):
                while await reader.read(65536):  # read, as a machine's system does, and not passed on
                    pass
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = writer, far_writer
        self._pairs.append(pair)
        await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))
        if pair in self._pairs:
            self._pairs.remove(pair)


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(OSError):
        writer.close()
