"""The output of a connection to a client, and whether the client still reads it."""

from __future__ import annotations

import asyncio

from lemonridge.net.http_limits import UNSENT_BYTES
from lemonridge.net.reading_progress import ReadingProgress
from lemonridge.net.sockets import limit_unsent_bytes


class ClientOutput:
    """Writes to a client and follows how fast the client takes what is written.

    Args:
        transport: The connection.
    """

    def __init__(self, transport: asyncio.WriteTransport) -> None:
        self._transport, self._loop = transport, asyncio.get_running_loop()
        self._written_bytes = 0  # since the connection began
        self._has_ended = False
        self._progress = ReadingProgress()
        limit_unsent_bytes(transport, UNSENT_BYTES)

    @property
    def unsent_bytes(self) -> int:
        """The written bytes that remain in this process: the operating system has not accepted them yet."""
        return self._transport.get_write_buffer_size()

    @property
    def read_by_s(self) -> float:
        """See `ReadingProgress`."""
        return self._progress.read_by_s

    def write(self, data: bytes) -> bool:
        """Writes data; returns False if the client has disconnected or the output has ended."""
        if self._has_ended or self._transport.is_closing():
            return False
        if not self.unsent_bytes:
            self.restart_progress()
        self._written_bytes += len(data)
        self._transport.write(data)
        return True

    def end(self) -> None:
        """Ends the output, while input may still come; resets the connection if the client has left it."""
        if self._has_ended or self._transport.is_closing():
            return
        self._has_ended = True
        self.restart_progress()
        try:
            self._transport.write_eof()
        except OSError:  # the client's reset has not been read yet
            self._transport.abort()

    def restart_progress(self) -> None:
        """Notes that output begins to wait for the client now."""
        self._progress.restart(self._loop.time())

    def has_stopped_reading(self, now_s: float) -> bool:
        """Whether output waits and the client no longer reads it.

        The progress is noted only here, so this must be asked repeatedly while output waits.

        Args:
            now_s: The present time, in seconds of the event loop's clock.
        """
        unsent_bytes = self.unsent_bytes
        self._progress.update(self._written_bytes - unsent_bytes, now_s)
        return unsent_bytes > 0 and self._progress.has_stopped(now_s)
