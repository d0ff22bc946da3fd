"""Tells operators which clients cause evictions, rejections and delays, in a bounded number of log lines."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

log = logging.getLogger(__name__)

PERIOD_S = 5.0  # between two log lines of the same reason
PEERS_MAX = 64  # addresses that are counted one by one for each reason in a period
OTHER_PEERS = "others"


class Reason(Enum):
    """Why a client's connection was ended or delayed, or its request rejected."""

    EVICTED = "evicted"  # ended in favour of a new connection
    TURNED_AWAY = "turned away"  # no connection could be evicted for it
    MALFORMED = "malformed"  # a request that cannot be parsed, or is too long
    BUFFERS_FULL = "buffers full"  # no memory for a body
    TOO_SLOW = "too slow"  # the request or the client's reading did not continue in time
    IDLE = "idle"
    OVER_SHARE = "over share"  # the input waits because the connection has used its share of the loop
    REQUEST_INVALID = "request invalid"  # well-formed, but not allowed by the settings, or its id is open
    REQUEST_REJECTED = "request rejected"  # by the scheduler; counters `rejected.*` have its reason
    REQUEST_FAILED = "request failed"  # no attempt succeeded; counters `attempts.*` have the outcomes
    LEFT = "left"  # the client closed the connection before the answer


@dataclass
class _Tally:
    """The events of one reason within one period."""

    peers: Counter[str] = field(default_factory=Counter)
    latest: str = ""


class PeerTally:
    """Counts events by reason and by the client's address, and logs the most frequent address of each."""

    def __init__(self) -> None:
        self._tallies: dict[Reason, _Tally] = {}
        self._period_ends_s = 0.0

    def note(self, reason: Reason, peer: tuple[str, int]) -> None:
        """Counts an event.

        Args:
            reason: The reason.
            peer: The client's address and port.
        """
        tally = self._tallies.setdefault(reason, _Tally())
        is_counted = peer[0] in tally.peers or len(tally.peers) < PEERS_MAX
        tally.peers[peer[0] if is_counted else OTHER_PEERS] += 1
        tally.latest = f"{peer[0]}:{peer[1]}"

    def log_period(self, now_s: float) -> None:
        """Logs one line for each reason, if a period has ended.

        Args:
            now_s: The present time, in seconds of the event loop's clock.
        """
        if now_s < self._period_ends_s:
            return
        self._period_ends_s = now_s + PERIOD_S
        tallies, self._tallies = self._tallies, {}
        for reason, tally in tallies.items():
            (peer, count), *_ = tally.peers.most_common(1)
            log.info(
                "clients ended, delayed or rejected",
                extra={
                    "reason": reason.value,
                    "total": tally.peers.total(),
                    "peers": len(tally.peers),
                    "most_by": peer,
                    "most": count,
                    "latest": tally.latest,
                },
            )
