"""The phases of the process: serving, draining, handed over to a successor, stopping.

`Lifecycle` determines whether the front reports ready, whether a response leaves its connection open, when
idle connections are closed, and by when a request must be answered. Times are Unix microseconds; those of
`StopSchedule` are microseconds after SIGTERM.

                keeps connections alive until    closes idle ones at    answers late requests by
    drain       1.5 s after the call             3.0 s                  3.7 s
    handover    the handover                     as in a stop           -
    stop        `close_after_answer_from_us`     `accept_until_us`      `answer_by_us`

The times of a stop are derived from the longest deadline: see `StopSchedule`, and the table in
docs/shutdown.md. This module performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# A drain must be complete 4 s after the call: no connection may remain that is idle or has a request of the
# last 2 s. The times are relative to the call.
DRAIN_KEEP_ALIVE_US = 1_500_000  # each response closes its connection from then on
DRAIN_CLOSE_IDLE_US = 3_000_000  # connections without a request are closed from then on
DRAIN_LATE_REQUESTS_US = 1_900_000  # requests that arrive from then on could still be open after the drain,
DRAIN_COMPLETE_US = 3_700_000  # so they are answered by this time

# PROTOCOL, "Figures": SIGKILL follows SIGTERM after at least the longest deadline, of which at most 3 s
# count, plus 0.7 s; new connections arrive for at most 0.4 s.
COUNTED_DEADLINE_MAX_US = 3_000_000
KILL_DELAY_US = 700_000
NEW_CONNECTIONS_PERIOD_US = 400_000
ACCEPT_MARGIN_US = 20_000  # between the last new connection and the close of the listener
KILL_MARGIN_US = 300_000  # between the last answer and SIGKILL, as the process may stall for 0.15 s
KILL_MARGIN_MIN_US = 200_000  # if the deadlines are so short that the listener must stay open longer
LAST_REQUEST_TIME_US = 900_000  # for the last accepted request, if the deadlines are long enough
CLOSE_AFTER_ANSWER_MAX_US = 500_000  # how long before the listener closes each response closes its connection

NEVER_US = 1 << 62  # a time that is never reached


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """The schedule of a stop, in microseconds after SIGTERM.

    Attributes:
        close_after_answer_from_us: Each response closes its connection from this time on.
        accept_until_us: The listener and all connections without a request are closed at this time.
        request_complete_by_us: A partially received request must be received completely by this time.
        answer_by_us: Every request accepted after the signal is answered by this time.
        kill_earliest_us: SIGKILL is sent at this time or later.
    """

    close_after_answer_from_us: int
    accept_until_us: int
    request_complete_by_us: int
    answer_by_us: int
    kill_earliest_us: int


def stop_schedule(longest_deadline_us: int) -> StopSchedule:
    """Returns the schedule for the longest deadline of all classes, in microseconds.

    New connections arrive for 0.4 s however short the deadlines are. Every accepted request gets its full
    deadline, or the time until `answer_by_us` if the deadlines are too long for that.
    """
    counted_deadline_us = min(longest_deadline_us, COUNTED_DEADLINE_MAX_US)
    kill_us = counted_deadline_us + KILL_DELAY_US
    accept_until_us = NEW_CONNECTIONS_PERIOD_US + ACCEPT_MARGIN_US
    answer_by_us = min(
        kill_us - KILL_MARGIN_MIN_US, max(kill_us - KILL_MARGIN_US, accept_until_us + counted_deadline_us)
    )
    accept_until_us = max(accept_until_us, answer_by_us - LAST_REQUEST_TIME_US)
    close_after_answer_us = min(CLOSE_AFTER_ANSWER_MAX_US, accept_until_us // 2)
    complete_by_us = (accept_until_us + answer_by_us) // 2  # the other half is reserved for the answer
    return StopSchedule(
        accept_until_us - close_after_answer_us, accept_until_us, complete_by_us, answer_by_us, kill_us
    )


class Phase(Enum):
    """The phase of the process; the value is shown to operators."""

    SERVING = "serving"
    DRAINING = "draining"
    HANDED_OVER = "handed"  # a successor accepts connections; this process closes its remaining ones
    STOPPING = "stopping"


class Lifecycle:
    """The drain, handover and stop of this process, each with its start time.

    They may overlap; the strictest applies. A change that is not possible in the current phase is not an
    error; its method returns False.

    Args:
        longest_deadline_us: The longest deadline of all classes, in microseconds.

    Attributes:
        schedule: The schedule of a stop.
    """

    def __init__(self, longest_deadline_us: int) -> None:
        self._drain_began_us: int | None = None  # applies to the broker, so it is handed over to a successor
        self._handed_over_us: int | None = None
        self._stop_began_us: int | None = None
        self.schedule = stop_schedule(longest_deadline_us)

    def configure(self, longest_deadline_us: int) -> None:
        """Changes the longest deadline; a stop that has begun keeps its schedule."""
        if self._stop_began_us is None:
            self.schedule = stop_schedule(longest_deadline_us)

    # Calls and signals

    def drain(self, now_us: int) -> bool:
        """Begins a drain; a repeated call has no effect."""
        if self.phase is Phase.STOPPING:
            return False
        if self._drain_began_us is None:
            self._drain_began_us = now_us
        return True

    def resume(self) -> bool:
        """Ends a drain; succeeds even if there is none."""
        if self.phase is Phase.STOPPING:
            return False
        self._drain_began_us = None
        return True

    def hand_over(self, now_us: int) -> bool:
        """Hands over to a successor, which accepts all new connections from now on."""
        if self.phase is Phase.STOPPING:
            return False
        self._handed_over_us = now_us
        return True

    def undo_handover(self) -> bool:
        """Returns to serving after the successor has exited; returns False if this process is stopping."""
        if self.phase is not Phase.HANDED_OVER:
            return False
        self._handed_over_us = None
        return True

    def stop(self, now_us: int) -> None:
        """Begins the stop; a repeated signal has no effect."""
        if self._stop_began_us is None:
            self._stop_began_us = now_us

    # State derived from the calls and signals

    @property
    def phase(self) -> Phase:
        """The current phase of the process."""
        if self._stop_began_us is not None:
            return Phase.STOPPING
        if self._handed_over_us is not None:
            return Phase.HANDED_OVER
        return Phase.SERVING if self._drain_began_us is None else Phase.DRAINING

    @property
    def drain_began_us(self) -> int | None:
        """When the current drain began; None if there is none."""
        return self._drain_began_us

    @property
    def ready(self) -> bool:
        """Whether the process reports ready to clients.

        After a handover both processes form one broker, so the predecessor, which only serves its remaining
        connections, must report the same as its successor.
        """
        running = self._stop_began_us is None or self._handed_over_us is not None
        return running and self._drain_began_us is None

    def allows_keep_alive(self, now_us: int) -> bool:
        """Returns whether a response sent now may leave its connection open."""
        until_us = NEVER_US if self._handed_over_us is None else 0
        if self._drain_began_us is not None:
            until_us = min(until_us, self._drain_began_us + DRAIN_KEEP_ALIVE_US)
        if self._stop_began_us is not None:
            until_us = min(until_us, self._stop_began_us + self.schedule.close_after_answer_from_us)
        return now_us < until_us

    @property
    def close_idle_from_us(self) -> int:
        """The time from which connections without a request are closed."""
        at_us = NEVER_US
        if self._drain_began_us is not None:
            at_us = self._drain_began_us + DRAIN_CLOSE_IDLE_US
        if self._stop_began_us is not None:
            at_us = min(at_us, self.accept_until_us)
        return at_us

    @property
    def accept_until_us(self) -> int:
        """The time until which new connections are accepted."""
        return (
            NEVER_US if self._stop_began_us is None else self._stop_began_us + self.schedule.accept_until_us
        )

    @property
    def request_complete_by_us(self) -> int:
        """The time by which a request partially received before `accept_until_us` must be complete."""
        if self._stop_began_us is None:
            return NEVER_US
        return self._stop_began_us + self.schedule.request_complete_by_us

    def answer_by_us(self, arrived_us: int) -> int:
        """Returns the time by which a request that arrived at `arrived_us` must be answered.

        It applies whatever the deadline of the request; `NEVER_US` if there is no such limit.
        """
        at_us = NEVER_US
        if self._drain_began_us is not None:
            complete_us = self._drain_began_us + DRAIN_COMPLETE_US
            if self._drain_began_us + DRAIN_LATE_REQUESTS_US <= arrived_us < complete_us:
                at_us = complete_us
        if self._stop_began_us is not None and arrived_us >= self._stop_began_us:
            at_us = min(at_us, self._stop_began_us + self.schedule.answer_by_us)
        return at_us
