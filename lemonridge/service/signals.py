"""Runs callbacks in the event loop for the process's signals.

Without a handler, a signal's default action ends the process. So the broker ignores its signals until their
handlers are installed (`ignored_signals`), and again once it is about to exit. asyncio's own signal handlers
are not used: they are removed with the event loop, before the process exits. A SIGHUP that is ignored during
startup is not lost: `process` rereads the configuration once the handler is installed. Where a shell starts
the broker, the command line in the deploy file ignores the signals before Python starts.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import Callable

from lemonridge.service.ignored_signals import ignore_all


class SignalReceiver:
    """Runs a callback in the running event loop for each received signal, until it is closed."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._read_end, self._write_end = socket.socketpair()
        for end in (self._read_end, self._write_end):
            end.setblocking(False)
        # On a signal, the interpreter writes a byte to this socket, which wakes the event loop.
        signal.set_wakeup_fd(self._write_end.fileno(), warn_on_full_buffer=False)
        self._loop.add_reader(self._read_end, self._drain)

    def handle(self, number: signal.Signals, action: Callable[[], object]) -> None:
        """Installs `action` for this signal; several signals in quick succession may cause a single call."""

        def on_signal(_number: int, _frame: object) -> None:
            """Runs in the interpreter's signal handler."""
            self._loop.call_soon_threadsafe(action)

        signal.signal(number, on_signal)

    def _drain(self) -> None:
        """Reads and discards the bytes that the interpreter has written for signals."""
        with contextlib.suppress(BlockingIOError):
            self._read_end.recv(4096)

    def close(self) -> None:
        """Stops handling signals and ignores them from here on, because the process is about to exit."""
        ignore_all()
        signal.set_wakeup_fd(-1)
        self._loop.remove_reader(self._read_end)
        self._read_end.close()
        self._write_end.close()
