"""The process's signals, from its first moment to its last.

A signal that nothing handles ends a process, so the ones of the pages are ignored until the program can act
on them, and again once it is about to end. Handlers of asyncio's own would go with its loop, a moment too
early. What a signal told while it was ignored is found out otherwise: a configuration is read again once
SIGHUP is handled (`app.serve`). Where `run` is started by a shell, the deploy file's line ignores them before
the program is loaded.
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
        """Call `action` for each signal of this number; signals in quick series may be one."""

        def received(_number: int, _frame: object) -> None:
            self._loop.call_soon_threadsafe(action)

        signal.signal(number, received)

    def _drain(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._read_end.recv(4096)

    def close(self) -> None:
        """The program ends: no signal does anything from here on."""
        ignore_all()
        signal.set_wakeup_fd(-1)
        self._loop.remove_reader(self._read_end)
        self._read_end.close()
        self._write_end.close()
