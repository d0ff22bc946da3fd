"""Log lines of the form key=value."""

from __future__ import annotations

import contextlib
import logging
import queue
import re
import sys
import threading
import time
from typing import TextIO

LINES_MAX = 10_000  # that wait to be written
LAST_S = 1.0  # for the last lines at the end

_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}
_BARE = re.compile(r"[^\s\"=]+")


def _value(value: object) -> str:
    text = str(value)
    if _BARE.fullmatch(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """One line a record: time, level, logger, event, then what was given as `extra`."""

    def format(self, record: logging.LogRecord) -> str:
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
    would stop the whole broker with it. Lines beyond the room are counted and dropped.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self._stream, self.dropped = stream, 0
        self._lines: queue.Queue[str | None] = queue.Queue(LINES_MAX)
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        try:
            self._lines.put_nowait(self.format(record))
        except queue.Full:
            self.dropped += 1

    def finish(self) -> None:
        """Write out what is left, unless no one reads it."""
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(None)
            self._thread.join(LAST_S)

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                self._stream.write(line + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                self.dropped += 1


def set_up(level: str, stream: TextIO | None = None) -> Writer:
    """Send every log line to standard error."""
    handler = Writer(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return handler
