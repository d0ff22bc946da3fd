"""Ignores signals before the program can act on them, and once it is about to end.

It loads nothing but `signal`, so that it can be the first thing of a start; see `signals`.
"""

from __future__ import annotations

import signal

RELOAD_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def ignore_reload_signals() -> None:
    """Ignores SIGHUP and SIGUSR1; SIGTERM ends a program that has accepted nothing yet."""
    for number in RELOAD_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def ignore_all() -> None:
    """Ignores every signal of the pages, so that none changes how an ending process ends."""
    for number in (*RELOAD_SIGNALS, *STOP_SIGNALS):
        signal.signal(number, signal.SIG_IGN)
