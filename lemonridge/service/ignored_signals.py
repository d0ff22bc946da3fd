"""Ignores the process's signals before their handlers are installed and after they are removed.

Imports nothing but `signal`, so that startup can call it before any slow import; see `signals`.
"""

from __future__ import annotations

import signal

CONTROL_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def ignore_control_signals() -> None:
    """Ignores SIGHUP and SIGUSR1.

    SIGTERM keeps its default action: it ends a process that has not accepted any connection yet.
    """
    for number in CONTROL_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def ignore_all() -> None:
    """Ignores all signals that the broker handles, so that a late one does not change the exit status."""
    for number in (*CONTROL_SIGNALS, *STOP_SIGNALS):
        signal.signal(number, signal.SIG_IGN)
