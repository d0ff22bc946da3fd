"""Judgements on disk nodes: what this broker has seen itself, and what others say that they have seen. Pure.

Evidence is firsthand only: nobody tells on what it was told, so two voices are two observers. A voice has a
source, an age and a weight, and is worth nothing once it is older than FRESH_US. One voice alone may make a
broker careful; only AGREE of them, none of whom is this broker, are passed on as agreed. What the decisions
make of either is theirs: their own later answer from the node goes before all voices.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

RESTART_AFTER_US = 1_000_000  # not reached for so long: it restarted, as the decisions have it
REPORT_MAX_AGE_US = (
    2_000_000  # a voice counts for so long: a node that came back must not be held dead by old words
)
OBSERVATION_WINDOW_US = 2_000_000  # own observations that count
UNREACHABLE_AFTER = 1  # failed connects in a row: the decisions go by one of their own too
UNRESPONSIVE_AFTER = 2  # requests in a row that were never answered
ERRORS_MIN = 4  # errors within the window, and
ERROR_FRACTION_MIN = 0.6  # of all answers within it
AGREEMENT_MIN = 2  # voices that agree: one broker's lie or bad link is one voice
NODES_MAX = 1024  # nodes that are remembered; past it the longest without news makes room
REPORTS_PER_ENDPOINT_MAX = 16  # of one node


class ReportedCondition(IntEnum):
    """What is said of a node."""

    DOWN = 1  # it cannot be reached
    SILENT = 2  # it takes requests and says nothing
    ERRORS = 3  # it answers with errors
    COLD = 4  # it was down and came back


class ObservedOutcome(IntEnum):
    """How an attempt ended, as far as it says something of the node."""

    GOOD = 0
    ERROR = 1
    CONNECT_FAILED = 2
    SILENT = 3


@dataclass(slots=True)
class _Own:
    """This broker's own observations of a node."""

    missed: int = 0  # failed connects in a row
    down_us: int = 0
    silent: int = 0
    cold_us: int = 0
    ends: deque[tuple[int, bool]] = field(default_factory=deque)  # when, and whether it was an error
    last_us: int = 0


@dataclass(frozen=True, slots=True)
class HealthObservation:
    """One judgement of this broker's own, with the number of observations behind it."""

    endpoint_id: int
    what: ReportedCondition
    weight: int
    at_us: int


class LocalObservations:
    """What this broker has seen itself."""

    def __init__(self) -> None:
        self._own: dict[int, _Own] = {}

    def ended(self, endpoint: int, seen: ObservedOutcome, now_us: int) -> bool:
        """An attempt at a node ended. Whether others should hear of it at once: it is a first failure."""
        own = self._own.pop(endpoint, None) or _Own()
        self._own[endpoint] = own  # the latest stands last
        if len(self._own) > NODES_MAX:
            del self._own[next(iter(self._own))]
        own.last_us = now_us
        if seen is ObservedOutcome.CONNECT_FAILED:
            own.missed += 1
            own.down_us = own.down_us or now_us
            return own.missed == UNREACHABLE_AFTER
        if seen is ObservedOutcome.SILENT:
            own.silent += 1
            return own.silent == UNRESPONSIVE_AFTER
        if own.missed and now_us - own.down_us >= RESTART_AFTER_US:
            own.cold_us = now_us
        own.missed = own.down_us = own.silent = 0
        own.ends.append((now_us, seen is ObservedOutcome.ERROR))
        while own.ends[0][0] < now_us - OBSERVATION_WINDOW_US:
            own.ends.popleft()
        return False

    def observations(self, now_us: int) -> list[HealthObservation]:
        """What may be told, the worst first; old observations say nothing any more."""
        told = []
        for endpoint, own in self._own.items():
            if now_us - own.last_us > REPORT_MAX_AGE_US:
                continue
            errors = sum(bad for when, bad in own.ends if when >= now_us - OBSERVATION_WINDOW_US)
            if own.missed >= UNREACHABLE_AFTER:
                told.append(
                    HealthObservation(endpoint, ReportedCondition.DOWN, min(255, own.missed), own.last_us)
                )
            elif own.silent >= UNRESPONSIVE_AFTER:
                told.append(
                    HealthObservation(endpoint, ReportedCondition.SILENT, min(255, own.silent), own.last_us)
                )
            elif errors >= ERRORS_MIN and errors >= ERROR_FRACTION_MIN * len(own.ends):
                told.append(
                    HealthObservation(endpoint, ReportedCondition.ERRORS, min(255, errors), own.last_us)
                )
            elif own.cold_us and now_us - own.cold_us <= REPORT_MAX_AGE_US:
                told.append(HealthObservation(endpoint, ReportedCondition.COLD, 1, own.cold_us))
        return sorted(told, key=lambda one: (one.what, -one.weight, one.endpoint_id))


@dataclass(frozen=True, slots=True)
class PeerHealthReport:
    """What one other broker says that it has seen."""

    what: ReportedCondition
    weight: int
    at_us: int  # by this broker's clock


@dataclass(frozen=True, slots=True)
class PeerHealthSummary:
    """What the voices on a node come to. `at_us` is the oldest of those that agree."""

    endpoint_id: int
    what: ReportedCondition
    sources: int
    at_us: int

    @property
    def agreed(self) -> bool:
        return self.sources >= AGREEMENT_MIN


class PeerHealthReports:
    """What others say, by node and source."""

    def __init__(self) -> None:
        self._voices: dict[int, dict[int, PeerHealthReport]] = {}

    def told(
        self, source: int, endpoint: int, what: int, weight: int, at_us: int, now_us: int
    ) -> PeerHealthSummary | None:
        """A voice came; the verdict as it is now, or None where it changes nothing."""
        if (
            what not in ReportedCondition._value2member_map_
            or not weight
            or now_us - at_us > REPORT_MAX_AGE_US
        ):
            return None
        voices = self._voices.pop(endpoint, {})
        self._voices[endpoint] = voices
        if len(self._voices) > NODES_MAX:
            del self._voices[next(iter(self._voices))]
        before = voices.get(source)
        if before is not None and before.at_us >= at_us:
            return None  # told twice, or late
        voices[source] = PeerHealthReport(ReportedCondition(what), weight, at_us)
        while len(voices) > REPORTS_PER_ENDPOINT_MAX:
            del voices[min(voices, key=lambda who: voices[who].at_us)]
        return self.verdict(endpoint, now_us)

    def verdict(self, endpoint: int, now_us: int) -> PeerHealthSummary | None:
        """What most of the fresh voices say of a node. That it is down and that it is silent agree: nothing
        comes from it.
        """
        fresh = [
            one for one in self._voices.get(endpoint, {}).values() if now_us - one.at_us <= REPORT_MAX_AGE_US
        ]
        if not fresh:
            return None
        gone = [one for one in fresh if one.what in (ReportedCondition.DOWN, ReportedCondition.SILENT)]
        groups: Iterable[list[PeerHealthReport]] = [gone] + [
            [one for one in fresh if one.what is what]
            for what in (ReportedCondition.ERRORS, ReportedCondition.COLD)
        ]
        most = max(groups, key=len)
        return PeerHealthSummary(
            endpoint, min(one.what for one in most), len(most), min(one.at_us for one in most)
        )

    def voices(self, now_us: int) -> dict[int, dict[int, PeerHealthReport]]:
        """All that is fresh, by node and source, to be shown."""
        return {
            endpoint: kept
            for endpoint, voices in self._voices.items()
            if (kept := {who: one for who, one in voices.items() if now_us - one.at_us <= REPORT_MAX_AGE_US})
        }
