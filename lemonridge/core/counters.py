"""Counts of requests, attempts, answers and faults, for the log."""

from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger(__name__)


class Counters(Counter[str]):
    """Counts by dotted name; a name that was never counted is 0."""

    def log_all(self, reason: str, front: str) -> None:
        """Logs every count in one line; `reason` says what asked for it."""
        counts = {name: self[name] for name in sorted(self)}
        log.info("counters", extra={"reason": reason, "front": front, **counts})
