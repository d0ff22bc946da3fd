"""Converts the start times of endpoints from Unix time to the broker's clock.

An endpoint list contains start times in Unix time, and a wall clock may be stepped by seconds or by an hour,
on this machine or another, before, during or after a start. Each start time is therefore converted once, when
it is first received, by comparing both clocks at that moment, and the result is kept. A start time that is in
the future, or older than a watch event can be, was written by a clock that disagrees with this machine's:
that endpoint counts as started now and gets the longest slow start. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from lemonridge.operate.handover import StartTime

WATCH_EVENT_AGE_MAX_US = 6_000_000  # STANDING: a discovery update counts as announced after 6 s at most
START_TIMES_MAX = 16_384  # above this, start times of endpoints that are not listed are dropped


class StartTimes:
    """The received start times by endpoint.

    Start times of removed endpoints are kept as well: an endpoint that is listed again with the same start
    time has not been restarted.
    """

    def __init__(self) -> None:
        self._start_times: dict[str, StartTime] = {}

    def to_broker_clock(
        self, endpoint_id: str, unix_us: int, now_us: int, wall_us: int, age_max_us: int | None
    ) -> int:
        """Returns the start time of an endpoint on the broker's clock, in microseconds.

        Args:
            endpoint_id: The endpoint.
            unix_us: The start time as given in the endpoint list; 0 for a start long ago.
            now_us: The current time of the broker's clock.
            wall_us: The current time of the machine's wall clock, in Unix microseconds.
            age_max_us: The maximum age of a start time in a watch event; None for a first list, which may
                contain start times of any age.
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
        """Drops entries of endpoints that are not listed, oldest first, until the number is within bounds."""
        if len(self._start_times) <= START_TIMES_MAX:
            return
        for endpoint_id in [candidate for candidate in self._start_times if candidate not in known_endpoints]:
            if len(self._start_times) <= START_TIMES_MAX:
                return
            del self._start_times[endpoint_id]

    def export(self) -> Mapping[str, StartTime]:
        """Returns all start times, for the successor process."""
        return dict(self._start_times)

    def replace_all(self, start_times: Mapping[str, StartTime]) -> None:
        """Replaces all start times by those of another process, given on this process's clock."""
        self._start_times = dict(start_times)
