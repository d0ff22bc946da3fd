"""Log lines of the form key=value, written by a thread of their own."""

from __future__ import annotations

import contextlib
import logging
import queue
import re
import sys
import threading
import time
from typing import TextIO

WAITING_LINES_MAX = 10_000  # lines that wait to be written; more are dropped
LAST_LINES_WAIT_S = 1.0  # for the last lines at the end

_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}
_BARE = re.compile(r"[^\s\"=]+")


def _value(value: object) -> str:
    text = str(value)
    if _BARE.fullmatch(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """One line a record: time, level, logger, event, then the keys given as `extra`."""

    def format(self, record: logging.LogRecord) -> str:
        """The record as one line."""
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, object] = {
            "ts": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        pairs.update((key, value) for key, value in vars(record).items() if key not in _STANDARD)
        if record.exc_info:
            pairs["error"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_value(value)}" for key, value in pairs.items())


class Writer(logging.Handler):
    """Writes lines from a thread of its own.

    Guards against a reader of the log that has stopped: its pipe fills, and a write from the event loop
    would stop the whole broker with it.

    Attributes:
        dropped: How many lines were dropped, as too many waited or the stream took none.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self._stream, self.dropped = stream, 0
        self._lines: queue.Queue[str | None] = queue.Queue(WAITING_LINES_MAX)
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line without waiting."""
        try:
            self._lines.put_nowait(self.format(record))
        except queue.Full:
            self.dropped += 1

    def finish(self) -> None:
        """Writes the lines that wait, unless nobody reads them within `LAST_LINES_WAIT_S`."""
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(None)
            self._thread.join(LAST_LINES_WAIT_S)

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                self._stream.write(line + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                self.dropped += 1


def set_up(level: str, stream: TextIO | None = None) -> Writer:
    """Sends every log line of this level and above to `stream`, or standard error."""
    handler = Writer(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return handler
