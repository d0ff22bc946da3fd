"""Start times of endpoints, from Unix time to the broker's own clock. Pure.

An endpoint list gives start times in Unix time, and a wall clock may be stepped by seconds or by an hour, on
this machine or another, before, during or after a start. So each start time is placed on the broker's clock
once, when it is first received, by what both clocks say at that moment, and stays there. A start time that
lies in the future, or is older than a watch event can be, was written by a clock that disagrees with this
one: that endpoint counts as started now, and gets the longest slow start.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from lemonridge.operate.handover import StartTime

WATCH_EVENT_AGE_MAX_US = (
    6_000_000  # STANDING: what discovery has to say counts as said 6 s later at the latest
)
START_TIMES_MAX = 16_384  # past it, those of endpoints that are not listed are dropped


class StartTimes:
    """The start times that were received.

    Those of endpoints that were removed are kept too: one that is listed again with the same start time has
    not been restarted.
    """

    def __init__(self) -> None:
        self._start_times: dict[str, StartTime] = {}

    def to_broker_clock(
        self, endpoint_id: str, unix_us: int, now_us: int, wall_us: int, age_max_us: int | None
    ) -> int:
        """The start of an endpoint on the broker's clock.

        Args:
            endpoint_id: The endpoint.
            unix_us: Its start as the list gives it; 0 is long ago.
            now_us: The broker's clock now.
            wall_us: The machine's wall clock now.
            age_max_us: How old a start may be that comes in a watch event; None for a first list, which may
                give starts of any age.
        """
        if not unix_us:
            self._start_times.pop(endpoint_id, None)
            return 0
        known = self._start_times.get(endpoint_id)
        if known is not None and known.unix_us == unix_us:
            return known.broker_clock_us
        age_us = wall_us - unix_us
        plausible = age_us >= 0 and (age_max_us is None or age_us <= age_max_us)
        broker_clock_us = max(1, now_us - age_us if plausible else now_us)
        self._start_times[endpoint_id] = StartTime(unix_us, broker_clock_us)
        return broker_clock_us

    def prune(self, known_endpoints: Container[str]) -> None:
        """Drops endpoints that are not listed, the oldest first, while there are too many."""
        if len(self._start_times) <= START_TIMES_MAX:
            return
        for endpoint_id in [one for one in self._start_times if one not in known_endpoints]:
            if len(self._start_times) <= START_TIMES_MAX:
                return
            del self._start_times[endpoint_id]

    def export(self) -> Mapping[str, StartTime]:
        """All of them, for the successor process."""
        return dict(self._start_times)

    def replace_all(self, start_times: Mapping[str, StartTime]) -> None:
        """Goes by another process's start times, on this process's clock."""
        self._start_times = dict(start_times)
