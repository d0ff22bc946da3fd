"""Log lines of the form key=value."""

from __future__ import annotations

import logging
import re
import sys
import time
from typing import TextIO

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


def set_up(level: str, stream: TextIO | None = None) -> None:
    """Send every log line to standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
