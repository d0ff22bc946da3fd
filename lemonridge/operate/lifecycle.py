"""The phases of the process: serving, draining, handed over to a successor, stopping. Pure.

`Lifecycle` says whether the front reports ready, whether a response leaves its connection open, until when an
idle connection is kept, and by when a request must have its answer. Times are Unix microseconds,
those of `StopSchedule` microseconds after SIGTERM.

                keeps connections alive until      closes idle ones      answers young requests by
    drain       1.5 s after the call               3.0 s                 3.7 s
    handover    at once no more                    at the stop signal    -
    stop        `close_after_answer_from_us`       `accept_until_us`     `answer_by_us`

The times of a stop are worked out from the longest deadline: `StopSchedule`, and as a table docs/shutdown.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# A drain has to be complete 4 s after the call: no connection that is idle, or has a request of the last 2 s.
DRAIN_KEEP_ALIVE_US = 1_500_000  # from here on each response closes its connection
DRAIN_CLOSE_IDLE_US = 3_000_000  # and connections without a request are closed from here on
DRAIN_YOUNG_REQUESTS_US = 1_900_000  # a request that arrives later may still be open when the drain ends,
DRAIN_COMPLETE_US = 3_700_000  # so it is answered by then

# PROTOCOL, "Figures": SIGKILL comes no sooner than the longest deadline, of which no more than 3 s counts,
# and 0.7 s after SIGTERM; new connections keep coming for 0.4 s at most.
COUNTED_DEADLINE_MAX_US = 3_000_000
KILL_DELAY_US = 700_000
NEW_CONNECTIONS_US = 400_000
ACCEPT_MARGIN_US = 20_000  # past the last new connection, before the listener closes
KILL_MARGIN_US = 300_000  # answers are out so long before SIGKILL: the process may be held up for 0.15 s
KILL_MARGIN_MIN_US = 200_000  # where the deadlines are so short that the listener must stay open longer
LAST_REQUEST_US = 900_000  # time for the last request that is accepted, where the deadlines leave it
TAIL_US = 500_000  # before the listener closes, each response closes its connection for so long at most

NEVER_US = 1 << 62  # a time that does not come


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """What the process does when, in microseconds after SIGTERM.

    Attributes:
        close_after_answer_from_us: From here on each response closes its connection.
        accept_until_us: Then the listener closes, and so do connections without a request.
        request_complete_by_us: A request of which a part had been received must be complete by then.
        answer_by_us: Every request accepted after the signal has its answer.
        kill_earliest_us: SIGKILL comes no sooner.
    """

    close_after_answer_from_us: int
    accept_until_us: int
    request_complete_by_us: int
    answer_by_us: int
    kill_earliest_us: int


def stop_schedule(longest_deadline_us: int) -> StopSchedule:
    """The schedule for the longest deadline of a class, in microseconds.

    New connections keep coming for 0.4 s however short the deadlines are. Every request that is accepted has
    its whole deadline, or the time up to `answer_by_us` where the deadlines are longer than that allows.
    """
    counted_us = min(longest_deadline_us, COUNTED_DEADLINE_MAX_US)
    kill_us = counted_us + KILL_DELAY_US
    accept_until_us = NEW_CONNECTIONS_US + ACCEPT_MARGIN_US
    answer_by_us = min(
        kill_us - KILL_MARGIN_MIN_US, max(kill_us - KILL_MARGIN_US, accept_until_us + counted_us)
    )
    accept_until_us = max(accept_until_us, answer_by_us - LAST_REQUEST_US)
    tail_us = min(TAIL_US, accept_until_us // 2)
    complete_by_us = (accept_until_us + answer_by_us) // 2  # half of the rest is for the answer
    return StopSchedule(accept_until_us - tail_us, accept_until_us, complete_by_us, answer_by_us, kill_us)


class Phase(Enum):
    """What the process does; the value is what operators see."""

    SERVING = "serving"
    DRAINING = "draining"
    HANDED_OVER = "handed"  # a successor accepts connections; kept connections end here
    STOPPING = "stopping"


class Lifecycle:
    """The calls and signals that this process has had, each with its time.

    A drain, a handover and a stop may overlap; the strictest of them holds. A change that does not fit the
    phase is no error, it returns False.

    Args:
        longest_deadline_us: The longest deadline of a class.
    """

    def __init__(self, longest_deadline_us: int) -> None:
        self._drain_began_us: int | None = None  # holds for the broker, so it outlives this process
        self._handed_over_us: int | None = None
        self._stop_began_us: int | None = None
        self.schedule = stop_schedule(longest_deadline_us)

    def configure(self, longest_deadline_us: int) -> None:
        """Goes by another longest deadline; a stop that has begun keeps its times."""
        if self._stop_began_us is None:
            self.schedule = stop_schedule(longest_deadline_us)

    # Calls and signals

    def drain(self, now_us: int) -> bool:
        """Begins a drain; a second call changes nothing."""
        if self.phase is Phase.STOPPING:
            return False
        if self._drain_began_us is None:
            self._drain_began_us = now_us
        return True

    def resume(self) -> bool:
        """Ends a drain, also one that was never begun."""
        if self.phase is Phase.STOPPING:
            return False
        self._drain_began_us = None
        return True

    def hand_over(self, now_us: int) -> bool:
        """Hands over to a successor, which accepts what is new from here on."""
        if self.phase is Phase.STOPPING:
            return False
        self._handed_over_us = now_us
        return True

    def undo_handover(self) -> bool:
        """Serves again, as the successor is gone; False if this process is to stop."""
        if self.phase is not Phase.HANDED_OVER:
            return False
        self._handed_over_us = None
        return True

    def stop(self, now_us: int) -> None:
        """Begins the stop; a second signal changes nothing."""
        if self._stop_began_us is None:
            self._stop_began_us = now_us

    # What follows from them

    @property
    def phase(self) -> Phase:
        """What the process does now."""
        if self._stop_began_us is not None:
            return Phase.STOPPING
        if self._handed_over_us is not None:
            return Phase.HANDED_OVER
        return Phase.SERVING if self._drain_began_us is None else Phase.DRAINING

    @property
    def drain_began_us(self) -> int | None:
        """When the drain in force began."""
        return self._drain_began_us

    @property
    def ready(self) -> bool:
        """Whether clients are to be sent here.

        After a handover the two processes are one broker, and the one that is left with old connections must
        not report otherwise than its successor does.
        """
        running = self._stop_began_us is None or self._handed_over_us is not None
        return running and self._drain_began_us is None

    def allows_keep_alive(self, now_us: int) -> bool:
        """Whether a response may leave its connection open."""
        until_us = NEVER_US if self._handed_over_us is None else 0
        if self._drain_began_us is not None:
            until_us = min(until_us, self._drain_began_us + DRAIN_KEEP_ALIVE_US)
        if self._stop_began_us is not None:
            until_us = min(until_us, self._stop_began_us + self.schedule.close_after_answer_from_us)
        return now_us < until_us

    @property
    def close_idle_from_us(self) -> int:
        """When connections without a request are closed."""
        at_us = NEVER_US
        if self._drain_began_us is not None:
            at_us = self._drain_began_us + DRAIN_CLOSE_IDLE_US
        if self._stop_began_us is not None:
            at_us = min(at_us, self.accept_until_us)
        return at_us

    @property
    def accept_until_us(self) -> int:
        """When nothing new is accepted any more."""
        return (
            NEVER_US if self._stop_began_us is None else self._stop_began_us + self.schedule.accept_until_us
        )

    @property
    def request_complete_by_us(self) -> int:
        """By when a request of which a part was received before `accept_until_us` must be complete."""
        if self._stop_began_us is None:
            return NEVER_US
        return self._stop_began_us + self.schedule.request_complete_by_us

    def answer_by_us(self, arrived_us: int) -> int:
        """By when a request that arrived at `arrived_us` must have its answer, whatever its own deadline."""
        at_us = NEVER_US
        if self._drain_began_us is not None:
            complete_us = self._drain_began_us + DRAIN_COMPLETE_US
            if self._drain_began_us + DRAIN_YOUNG_REQUESTS_US <= arrived_us < complete_us:
                at_us = complete_us
        if self._stop_began_us is not None and arrived_us >= self._stop_began_us:
            at_us = min(at_us, self._stop_began_us + self.schedule.answer_by_us)
        return at_us
