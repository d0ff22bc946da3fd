"""Counters of requests, attempts, answers and failures, which are written to the log."""

from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger(__name__)


class Counters(Counter[str]):
    """Counters by dotted name; a counter that was never incremented is 0."""

    def log_all(self, reason: str, front: str) -> None:
        """Logs all counters in one line.

        Args:
            reason: What triggered the log line.
            front: The name of the front that the counters belong to.
        """
        counts = {name: self[name] for name in sorted(self)}
        log.info("counters", extra={"reason": reason, "front": front, **counts})
