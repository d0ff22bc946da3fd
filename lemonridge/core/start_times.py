"""Start times of nodes, from Unix time to the broker's own clock. Pure.

A node list gives start times in Unix time, and a wall clock may be stepped by seconds or by an hour, on this
machine or another, before, during or after a start. So each start time is placed on the broker's clock once,
when it is first heard, by what both clocks say at that moment, and stays there. What lies in the future, or
is told as news and is older than news can be, was written by a clock that says something else than this one:
that node counts as started now, which is the coldest it can be.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass

NEWS_LATE_US = 6_000_000  # STANDING: whatever discovery has to tell counts as told 6 s later at the latest
KEPT_MAX = 16_384  # start times that are held; past it those of nodes that are not listed go


@dataclass(frozen=True, slots=True)
class StartTime:
    """When a node started: as the list told it, in Unix microseconds, and on the broker's own clock."""

    told_us: int
    own_us: int


class StartTimes:
    """The start times that were heard, also of nodes that have left: one that is listed again with the same
    start time has not been restarted.
    """

    def __init__(self) -> None:
        self._held: dict[str, StartTime] = {}

    def place(self, endpoint: str, told_us: int, now_us: int, wall_us: int, late_us: int | None) -> int:
        """The start of a node on the broker's clock, `now_us`, while the wall clock says `wall_us`; 0 is long
        ago. `late_us` is how late news may be; None: a first list tells what may be of any age.
        """
        if not told_us:
            self._held.pop(endpoint, None)
            return 0
        held = self._held.get(endpoint)
        if held is not None and held.told_us == told_us:
            return held.own_us
        age_us = wall_us - told_us
        believed = age_us >= 0 and (late_us is None or age_us <= late_us)
        own_us = now_us - age_us if believed else now_us
        self._held[endpoint] = StartTime(told_us, max(1, own_us))
        return max(1, own_us)

    def prune(self, listed: Container[str]) -> None:
        """Keep the bound: forget nodes that are not listed, the longest held first."""
        if len(self._held) <= KEPT_MAX:
            return
        for endpoint in [one for one in self._held if one not in listed]:
            if len(self._held) <= KEPT_MAX:
                return
            del self._held[endpoint]

    def held(self) -> Mapping[str, StartTime]:
        """All of them, for a process that takes over."""
        return dict(self._held)

    def inherit(self, held: Mapping[str, StartTime]) -> None:
        """Go by what another process of this broker heard; its own clock is this one's by now."""
        self._held = dict(held)
