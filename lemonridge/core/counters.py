"""Counts of what the broker takes in, sends and answers."""

from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger(__name__)


class Counters(Counter[str]):
    """Counts by dotted name; a name that was never counted is 0."""

    def print(self, why: str, front: str) -> None:
        """One log line with every count."""
        counts = {name: self[name] for name in sorted(self)}
        log.info("counters", extra={"why": why, "front": front, **counts})
