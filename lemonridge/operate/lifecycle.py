"""The life of the process: serving, draining, handed over to a successor, stopping. Pure.

It says whether the front reports ready, whether an answer leaves its connection open, whether an idle
connection may stay, and by when a young request must have its answer. Times are Unix microseconds.

                leaves connections open until    holds idle ones until    answers what is young by
    drain       1.5 s after the call             3.0 s                    3.7 s
    handed      at once no more                  the signal to stop       -
    stop        a tail before the next           `ends_us`                `whole_by_us`

The times of a stop are worked out from the longest deadline: `StopSchedule`, and as a table docs/shutdown.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# A drain has to be over 4 s after the call: no connection idle, or held with a request of the last 2 s.
DRAIN_KEEP_US = 1_500_000  # connections stay of use for so long: whoever keeps one may reach nobody else
DRAIN_HOLD_US = 3_000_000  # and one that nobody asked on since is closed
DRAIN_YOUNG_US = 1_900_000  # requests that come later are young when the drain has to be over
DRAIN_OVER_US = 3_700_000

# PROTOCOL, "Figures": SIGKILL comes no sooner than the longest deadline, of which no more than 3 s counts,
# and 0.7 s after SIGTERM; new connections keep coming for 0.4 s at most.
COUNTED_DEADLINE_MAX_US = 3_000_000
KILL_DELAY_US = 700_000
NEW_CONNECTIONS_US = 400_000
ACCEPT_SPARE_US = 20_000  # past the last new connection, before the listener closes
# Every answer is out so long before SIGKILL: a process may be held up for 0.15 s, and answers take their way.
KILL_SPARE_US = 300_000
KILL_SPARE_MIN_US = 200_000  # where the deadlines are so short that the listener must stay open past that
FINISH_US = 900_000  # what was taken last has so long to be answered, where the deadlines leave it
TAIL_US = 500_000  # before the end, each answer ends its connection for so long, or for half of the time


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """When the process does what after SIGTERM, in microseconds from the signal."""

    closes_answered_us: int  # from here on each answer ends its connection
    accepts_until_us: int  # then the listener closes, and so do connections without a request
    begun_by_us: int  # a request whose bytes had begun to come by the end must be whole by then
    answered_by_us: int  # every request taken after the signal has its answer
    killed_us: int  # SIGKILL comes no sooner


def stop_schedule(longest_us: int) -> StopSchedule:
    """The schedule for the longest deadline of a class.

    New connections keep coming for 0.4 s however short the deadlines are, and every request that is taken has
    its whole deadline, or the time up to the answers' end where the deadlines are longer than that leaves.
    """
    counted_us = min(longest_us, COUNTED_DEADLINE_MAX_US)
    killed_us = counted_us + KILL_DELAY_US
    accepts_until_us = NEW_CONNECTIONS_US + ACCEPT_SPARE_US
    answered_by_us = min(
        killed_us - KILL_SPARE_MIN_US, max(killed_us - KILL_SPARE_US, accepts_until_us + counted_us)
    )
    accepts_until_us = max(accepts_until_us, answered_by_us - FINISH_US)
    tail_us = min(TAIL_US, accepts_until_us // 2)
    begun_by_us = (accepts_until_us + answered_by_us) // 2
    return StopSchedule(accepts_until_us - tail_us, accepts_until_us, begun_by_us, answered_by_us, killed_us)


class Phase(Enum):
    """What the process does."""

    SERVING = "serving"
    DRAINING = "draining"
    HANDED_OVER = "handed"  # a successor has taken over; kept connections end here
    STOPPING = "stopping"


FAR_US = 1 << 62  # a time that does not come


class Lifecycle:
    """The state of one process: what was told, each with its time. A change that does not fit is no error, it
    answers False. A drain, a handover and an end may overlap; whichever is strictest holds.
    """

    def __init__(self, longest_us: int) -> None:
        self._drained_us: int | None = None  # the broker's word, which outlives a replacement
        self._handed_us: int | None = None
        self._stopped_us: int | None = None
        self.schedule = stop_schedule(longest_us)

    def configure(self, longest_us: int) -> None:
        """The longest deadline of a class; an end that has begun keeps its times."""
        if self._stopped_us is None:
            self.schedule = stop_schedule(longest_us)

    # What happens

    def drain(self, now_us: int) -> bool:
        """An operator's call. A second one changes nothing: the first set the times."""
        if self.phase is Phase.STOPPING:
            return False
        if self._drained_us is None:
            self._drained_us = now_us
        return True

    def resume(self) -> bool:
        """The end of a drain, also of one that was never called."""
        if self.phase is Phase.STOPPING:
            return False
        self._drained_us = None
        return True

    def hand_over(self, now_us: int) -> bool:
        """A successor takes over: it takes what is new from here on."""
        if self.phase is Phase.STOPPING:
            return False
        self._handed_us = now_us
        return True

    def take_back(self) -> bool:
        """The successor is gone, and this process has not been told to end."""
        if self.phase is not Phase.HANDED_OVER:
            return False
        self._handed_us = None
        return True

    def stop(self, now_us: int) -> None:
        """The signal to end; a second one changes nothing."""
        if self._stopped_us is None:
            self._stopped_us = now_us

    # What it means

    @property
    def phase(self) -> Phase:
        if self._stopped_us is not None:
            return Phase.STOPPING
        if self._handed_us is not None:
            return Phase.HANDED_OVER
        return Phase.SERVING if self._drained_us is None else Phase.DRAINING

    @property
    def drained_us(self) -> int | None:
        """When the drain in force was called."""
        return self._drained_us

    @property
    def ready(self) -> bool:
        """Whether clients are to be sent here. After a handover the two processes are one broker, and the
        one that is left with old connections must not speak for it otherwise than its successor does.
        """
        alive = self._stopped_us is None or self._handed_us is not None
        return alive and self._drained_us is None

    def allows_keep_alive(self, now_us: int) -> bool:
        """Whether an answer may leave its connection open."""
        until = FAR_US if self._handed_us is None else 0
        if self._drained_us is not None:
            until = min(until, self._drained_us + DRAIN_KEEP_US)
        if self._stopped_us is not None:
            until = min(until, self._stopped_us + self.schedule.closes_answered_us)
        return now_us < until

    @property
    def closes_us(self) -> int:
        """When the connections that have no request are closed."""
        at = FAR_US
        if self._drained_us is not None:
            at = self._drained_us + DRAIN_HOLD_US
        if self._stopped_us is not None:
            at = min(at, self.ends_us)
        return at

    @property
    def ends_us(self) -> int:
        """When nothing new is taken any more."""
        return FAR_US if self._stopped_us is None else self._stopped_us + self.schedule.accepts_until_us

    @property
    def whole_by_us(self) -> int:
        """By when a request that had begun at the end must be whole: half of the rest is for its answer."""
        return FAR_US if self._stopped_us is None else self._stopped_us + self.schedule.begun_by_us

    def due(self, arrived_us: int) -> int:
        """By when a request that came then must have its answer, whatever its own deadline."""
        due = FAR_US
        if self._drained_us is not None:
            over_us = self._drained_us + DRAIN_OVER_US
            if self._drained_us + DRAIN_YOUNG_US <= arrived_us < over_us:
                due = over_us
        if self._stopped_us is not None and arrived_us >= self._stopped_us:
            due = min(due, self._stopped_us + self.schedule.answered_by_us)
        return due
