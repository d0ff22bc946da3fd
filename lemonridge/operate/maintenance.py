"""Operators' bans on endpoints, applied on top of the endpoint list.

Bans and list are stored separately: a state that the list reports for an endpoint during a ban takes effect
when the ban ends, and not before. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, replace

from lemonridge.scheduling.events import Endpoint, EndpointState

BANS_MAX = 4096  # banned endpoints at a time; also the maximum of tracked endpoints whose ban has ended


@dataclass(frozen=True, slots=True)
class ReturnedToService:
    """The period of an ended ban on an endpoint.

    Attributes:
        banned_us: The start of the ban, in Unix microseconds.
        returned_us: The end of the ban, in Unix microseconds.
    """

    banned_us: int
    returned_us: int


@dataclass(frozen=True, slots=True)
class Bans:
    """The operators' bans in the form that is handed over to a successor process.

    Attributes:
        banned: The start of each ban in Unix microseconds, by endpoint.
        returned: The endpoints whose ban has ended, which count as started at its end.
    """

    banned: Mapping[str, int]
    returned: Mapping[str, ReturnedToService]


class Maintenance:
    """The bans in force, and the endpoints whose ban has ended but whose restart is not listed yet."""

    def __init__(self) -> None:
        self._banned: dict[str, int] = {}  # start of the ban in Unix microseconds, by endpoint
        self._returned: dict[str, ReturnedToService] = {}

    def __contains__(self, endpoint_id: str) -> bool:
        return endpoint_id in self._banned

    def export(self) -> Bans:
        """Returns the bans in force and the endpoints whose ban has ended."""
        return Bans(dict(self._banned), dict(self._returned))

    def disable(self, endpoint_id: str, now_us: int) -> bool:
        """Bans an endpoint; returns False if too many are banned. A repeated call has no effect."""
        if endpoint_id not in self._banned:
            if len(self._banned) >= BANS_MAX:
                return False
            self._banned[endpoint_id] = now_us
        return True

    def enable(self, endpoint_id: str, now_us: int) -> bool:
        """Ends the ban on an endpoint, even if it was set repeatedly; returns False if there is none."""
        banned_us = self._banned.pop(endpoint_id, None)
        if banned_us is None:
            return False
        while len(self._returned) >= BANS_MAX:
            del self._returned[next(iter(self._returned))]
        self._returned[endpoint_id] = ReturnedToService(banned_us, now_us)
        return True

    def replace_all(self, bans: Bans) -> None:
        """Replaces the bans by those of another process."""
        self._banned, self._returned = dict(bans.banned), dict(bans.returned)

    def prune(self, known_endpoints: Container[str]) -> None:
        """Drops the ended bans of endpoints that are no longer listed; bans in force are kept.

        The cost depends on the number of ended bans, not on the size of the list.
        """
        for endpoint_id in [candidate for candidate in self._returned if candidate not in known_endpoints]:
            del self._returned[endpoint_id]

    def apply(self, endpoint: Endpoint) -> Endpoint:
        """Returns a listed endpoint with its state and start time adjusted for its ban.

        A banned endpoint drains. An endpoint whose ban has ended was restarted during the ban, but the list
        reports the restart with a delay. Until then the endpoint counts as started at the end of the ban, so
        that it gets a full slow start.
        """
        if endpoint.endpoint_id in self._banned:
            active = endpoint.state is EndpointState.ACTIVE
            return replace(endpoint, state=EndpointState.DRAINING) if active else endpoint
        returned = self._returned.get(endpoint.endpoint_id)
        if returned is not None and endpoint.started_us < returned.banned_us:
            return replace(endpoint, started_us=returned.returned_us)
        return endpoint
