"""Calls actions in the event loop for the process's signals.

A signal without a handler ends a process, so those of the pages are ignored until the program can act on
them (`ignored_signals`), and again once it is about to end. asyncio's own handlers would go with its loop, a
moment too early. What a signal meant that came while it was ignored is found out otherwise: `process` reads
the configuration again once SIGHUP has a handler. Where a shell starts the program, the deploy file's line
ignores the signals before the program is loaded.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import Callable

from lemonridge.service.ignored_signals import ignore_all


class SignalReceiver:
    """Calls actions in turns of the running loop for the signals that come, until it is closed."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._read_end, self._write_end = socket.socketpair()
        for end in (self._read_end, self._write_end):
            end.setblocking(False)
        # The interpreter writes a byte there at once, which ends the loop's wait.
        signal.set_wakeup_fd(self._write_end.fileno(), warn_on_full_buffer=False)
        self._loop.add_reader(self._read_end, self._drain)

    def handle(self, number: signal.Signals, action: Callable[[], object]) -> None:
        """Calls `action` for each signal of this number; signals in quick series may be one."""

        def on_signal(_number: int, _frame: object) -> None:
            """Runs in the interpreter's signal handler."""
            self._loop.call_soon_threadsafe(action)

        signal.signal(number, on_signal)

    def _drain(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._read_end.recv(4096)

    def close(self) -> None:
        """Ends the handling: from here on the signals are ignored, as the process is about to end."""
        ignore_all()
        signal.set_wakeup_fd(-1)
        self._loop.remove_reader(self._read_end)
        self._read_end.close()
        self._write_end.close()
