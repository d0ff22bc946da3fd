"""Operators' bans on endpoints, applied to what the endpoint list says. Pure.

The ban and the list are kept apart: what the list says of an endpoint during a ban counts as soon as the ban
ends, and only then.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, replace

from lemonridge.scheduling.events import Endpoint, EndpointState

BANS_MAX = 4096  # endpoints banned at a time; also the most that are followed after their return


@dataclass(frozen=True, slots=True)
class ReturnedToService:
    """An endpoint whose ban was ended: the ban's begin and end, in Unix microseconds."""

    banned_us: int
    returned_us: int


@dataclass(frozen=True, slots=True)
class Bans:
    """What operators have called, for a successor process.

    Attributes:
        banned: The banned endpoints, with the begin of each ban in Unix microseconds.
        returned: The endpoints returned from a ban, which count as started with their return.
    """

    banned: Mapping[str, int]
    returned: Mapping[str, ReturnedToService]


class Maintenance:
    """The bans in force, and the endpoints returned from one whose restart the list does not show yet."""

    def __init__(self) -> None:
        self._banned: dict[str, int] = {}  # since when, in Unix microseconds
        self._returned: dict[str, ReturnedToService] = {}

    def __contains__(self, endpoint_id: str) -> bool:
        return endpoint_id in self._banned

    def export(self) -> Bans:
        """The bans in force, and the endpoints returned from one."""
        return Bans(dict(self._banned), dict(self._returned))

    def disable(self, endpoint_id: str, now_us: int) -> bool:
        """Bans an endpoint; False where too many are banned. A second call changes nothing."""
        if endpoint_id not in self._banned:
            if len(self._banned) >= BANS_MAX:
                return False
            self._banned[endpoint_id] = now_us
        return True

    def enable(self, endpoint_id: str, now_us: int) -> bool:
        """Ends the ban on an endpoint, however often it was called; False where there is none."""
        since_us = self._banned.pop(endpoint_id, None)
        if since_us is None:
            return False
        while len(self._returned) >= BANS_MAX:
            del self._returned[next(iter(self._returned))]
        self._returned[endpoint_id] = ReturnedToService(since_us, now_us)
        return True

    def replace_all(self, bans: Bans) -> None:
        """Goes by another process's bans in place of this one's."""
        self._banned, self._returned = dict(bans.banned), dict(bans.returned)

    def prune(self, known_endpoints: Container[str]) -> None:
        """Forgets the returns of endpoints that are not listed any more; a ban outlasts its endpoint's entry.

        The cost goes with the returns, not with the list.
        """
        for endpoint_id in [one for one in self._returned if one not in known_endpoints]:
            del self._returned[endpoint_id]

    def apply(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint as the scheduler is to see it, given what the list says.

        A banned endpoint drains. One that has returned was restarted during its ban, which the list shows
        late: until it does, the endpoint counts as started with its return, so that its slow start is whole.
        """
        if endpoint.endpoint_id in self._banned:
            active = endpoint.state is EndpointState.ACTIVE
            return replace(endpoint, state=EndpointState.DRAINING) if active else endpoint
        returned = self._returned.get(endpoint.endpoint_id)
        if returned is not None and endpoint.started_us < returned.banned_us:
            return replace(endpoint, started_us=returned.returned_us)
        return endpoint
