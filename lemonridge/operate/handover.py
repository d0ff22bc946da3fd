"""The handover of a running broker to its successor process: state and messages. Pure.

The two processes are one broker while both run. The successor sends `HandoverRequested`; the predecessor
answers `HandoverGranted` with its state, in one step with ending its own acceptance of connections, or
`HandoverRefused`. From then on each forwards the operators' calls that it gets (`CallForwarded`), and the
other says when one is in force there (`CallAcknowledged`). Where both know the message, each also says which
request ids it opens and closes (`OpenIdsChanged`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from lemonridge.operate.admin_calls import AdminRequest
from lemonridge.operate.maintenance import ReturnedToService
from lemonridge.scheduling.events import Endpoint, LimitLevel

FIRST_LIST_TIMEOUT_US = 1_000_000  # how long a successor waits for its own endpoint list before it takes over
STATE_TIMEOUT_US = 1_000_000  # then so long for the predecessor's state, or it goes on alone
CALL_TIMEOUT_US = 400_000  # a forwarded call waits so long; its caller waits for 1 s


@dataclass(frozen=True, slots=True)
class StartTime:
    """The start time of an endpoint.

    Attributes:
        unix_us: As given in the endpoint list, in Unix microseconds.
        broker_clock_us: On the broker's clock, in microseconds.
    """

    unix_us: int
    broker_clock_us: int


@dataclass(frozen=True, slots=True)
class HandedOverEndpoint:
    """An endpoint as the source listed it, with its address."""

    endpoint: Endpoint
    address: str


@dataclass(frozen=True, slots=True)
class HandoverState:
    """What the successor goes on from. Times are microseconds of the sender's clock.

    Attributes:
        banned: Operators' bans, by endpoint, with their begin.
        returned: Endpoints whose ban has ended.
        drain_began_us: When the drain in force began.
        limit_levels: What the limits have saved, by volume.
        endpoints: The endpoint list, without the bans.
        start_times: Start times of endpoints, by endpoint.
        open_ids: Ids of the requests that the sender has open; None from a version that does not say.
        clock_base_us: `Clock.base_us` of the sender; 0 from a version that does not say.
    """

    banned: Mapping[str, int] = field(default_factory=dict)
    returned: Mapping[str, ReturnedToService] = field(default_factory=dict)
    drain_began_us: int | None = None
    limit_levels: Mapping[int, LimitLevel] = field(default_factory=dict)
    endpoints: tuple[HandedOverEndpoint, ...] = ()
    start_times: Mapping[str, StartTime] = field(default_factory=dict)
    open_ids: tuple[str, ...] | None = None
    clock_base_us: int = 0

    def rebased(self, base_us: int) -> HandoverState:
        """The same with its times on another process's clock, given that clock's `base_us`.

        The wall clock may have been stepped between the starts of the two processes, while the monotonic
        clock is one.
        """
        shift_us = base_us - self.clock_base_us if self.clock_base_us else 0
        return replace(
            self,
            banned={endpoint_id: since_us + shift_us for endpoint_id, since_us in self.banned.items()},
            returned={
                endpoint_id: ReturnedToService(one.banned_us + shift_us, one.returned_us + shift_us)
                for endpoint_id, one in self.returned.items()
            },
            drain_began_us=None if self.drain_began_us is None else self.drain_began_us + shift_us,
            limit_levels={
                volume: replace(level, predecessor_debt_until_us=level.predecessor_debt_until_us + shift_us)
                for volume, level in self.limit_levels.items()
            },
            start_times={
                endpoint_id: StartTime(one.unix_us, one.broker_clock_us + shift_us)
                for endpoint_id, one in self.start_times.items()
            },
            clock_base_us=base_us,
        )


@dataclass(frozen=True, slots=True)
class HandoverRequested:
    """The successor takes over; `supports_open_ids` says whether it knows `OpenIdsChanged`."""

    supports_open_ids: bool = False


@dataclass(frozen=True, slots=True)
class HandoverGranted:
    """The predecessor's state; it accepts nothing new from here on."""

    state: HandoverState


@dataclass(frozen=True, slots=True)
class HandoverRefused:
    """The predecessor does not hand over."""

    reason: str


@dataclass(frozen=True, slots=True)
class CallForwarded:
    """An operators' call that the other process has received, numbered by the sender."""

    number: int
    request: AdminRequest


@dataclass(frozen=True, slots=True)
class CallAcknowledged:
    """The forwarded call of this number is in force in the sender's process."""

    number: int


@dataclass(frozen=True, slots=True)
class OpenIdsChanged:
    """Ids of requests that the sender has opened and closed since its last message."""

    opened: tuple[str, ...]
    closed: tuple[str, ...]


Message = (
    HandoverRequested | HandoverGranted | HandoverRefused | CallForwarded | CallAcknowledged | OpenIdsChanged
)
