"""Formats log records as key=value lines and writes them from a background thread."""

from __future__ import annotations

import contextlib
import logging
import queue
import re
import sys
import threading
import time
from typing import TextIO

QUEUED_LINES_MAX = 10_000  # further lines are dropped while the queue is full
FLUSH_WAIT_S = 1.0  # how long `Writer.finish` waits for the queued lines

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}
_UNQUOTED_VALUE = re.compile(r"[^\s\"=]+")


def _format_value(value: object) -> str:
    """Returns a value as text; quotes it if it is empty or holds whitespace, a quote or an equals sign."""
    text = str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line: time, level, logger, event, then the keys passed as `extra`."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line."""
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, object] = {
            "ts": f"{timestamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        pairs.update((key, value) for key, value in vars(record).items() if key not in _STANDARD_ATTRIBUTES)
        if record.exc_info:
            pairs["error"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


class Writer(logging.Handler):
    """Writes log lines from a background thread.

    If the process that reads the log stops reading, the pipe fills up; a write from the event loop would then
    block the whole broker.

    Attributes:
        dropped: The number of lines dropped because the queue was full or a write failed.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self._stream, self.dropped = stream, 0
        self._lines: queue.Queue[str | None] = queue.Queue(QUEUED_LINES_MAX)
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line without blocking; drops it if the queue is full."""
        try:
            self._lines.put_nowait(self.format(record))
        except queue.Full:
            self.dropped += 1

    def finish(self) -> None:
        """Writes the queued lines; gives up after `FLUSH_WAIT_S` if the stream blocks."""
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(None)
            self._thread.join(FLUSH_WAIT_S)

    def _run(self) -> None:
        """Writes queued lines until `finish` ends the queue; runs in the background thread."""
        while (line := self._lines.get()) is not None:
            try:
                self._stream.write(line + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                self.dropped += 1


def set_up(level: str, stream: TextIO | None = None) -> Writer:
    """Configures logging: writes lines of this level and above to `stream`, by default standard error."""
    handler = Writer(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return handler
