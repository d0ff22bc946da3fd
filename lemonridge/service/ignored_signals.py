"""Signals that must do no harm before the program can act on them, and once it is about to end.

It loads nothing but `signal`, so that it can be the first thing of a start; see `signals`.
"""

from __future__ import annotations

import signal

RELOAD_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def ignore_reload_signals() -> None:
    """Let SIGHUP and SIGUSR1 do no harm; SIGTERM ends a program that has taken nothing yet."""
    for number in RELOAD_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def ignore_all() -> None:
    """Let no signal change how the process ends, once it ends by itself."""
    for number in (*RELOAD_SIGNALS, *STOP_SIGNALS):
        signal.signal(number, signal.SIG_IGN)
