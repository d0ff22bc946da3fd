"""Which nodes operators have taken out, laid over what discovery says. Pure.

The ban and the news are kept apart: whatever discovery says of a node meanwhile stands as soon as the ban
ends, and only then.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, replace

from lemonridge.scheduling.events import Endpoint, EndpointState

OUT_MAX = 4096  # nodes that may be out, or be watched after their return, at a time


@dataclass(frozen=True, slots=True)
class ReturnedToService:
    """A node that was called back: when it went out and when it came back, in Unix microseconds."""

    out_us: int
    back_us: int


class Maintenance:
    """The bans in force, and the nodes back from one whose restart discovery has not told yet."""

    def __init__(self) -> None:
        self._out: dict[str, int] = {}  # since when, in Unix microseconds
        self._back: dict[str, ReturnedToService] = {}

    def __contains__(self, endpoint: str) -> bool:
        return endpoint in self._out

    def out(self) -> Mapping[str, int]:
        """The nodes that are out, and since when."""
        return dict(self._out)

    def back(self) -> Mapping[str, ReturnedToService]:
        """The nodes that were called back and are taken for cold since then."""
        return dict(self._back)

    def disable(self, endpoint: str, now_us: int) -> bool:
        """Take a node out; False where too many are. A second call changes nothing."""
        if endpoint not in self._out:
            if len(self._out) >= OUT_MAX:
                return False
            self._out[endpoint] = now_us
        return True

    def enable(self, endpoint: str, now_us: int) -> bool:
        """Put a node back, however often it was taken out; whether it was out at all."""
        since = self._out.pop(endpoint, None)
        if since is None:
            return False
        while len(self._back) >= OUT_MAX:
            del self._back[next(iter(self._back))]
        self._back[endpoint] = ReturnedToService(since, now_us)
        return True

    def inherit(self, out: Mapping[str, int], back: Mapping[str, ReturnedToService]) -> None:
        """Take over another process's bans in place of one's own."""
        self._out, self._back = dict(out), dict(back)

    def prune(self, listed: Container[str]) -> None:
        """Forget the returns of nodes that are not listed any more; a ban outlives its node's listing. The
        cost goes with the returns, not with the list.
        """
        for endpoint in [one for one in self._back if one not in listed]:
            del self._back[endpoint]

    def over(self, entry: Endpoint) -> Endpoint:
        """What the decisions are told of a node, given what discovery says.

        A node that is out drains. One that is back was restarted while out, at a moment that discovery tells
        late: until it does, the node counts as started with the call back, which is the coldest it can be.
        """
        if entry.endpoint_id in self._out:
            active = entry.condition is EndpointState.ACTIVE
            return replace(entry, condition=EndpointState.DRAINING) if active else entry
        back = self._back.get(entry.endpoint_id)
        if back is not None and entry.started_us < back.out_us:
            return replace(entry, started_us=back.back_us)
        return entry
