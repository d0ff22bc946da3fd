"""State and messages of the handover from a running broker process to its successor process.

The two processes form one broker while both run. The successor sends `HandoverRequested`. The predecessor
replies with `HandoverRefused`, or it stops accepting connections and, in the same step, replies with its
state in `HandoverGranted`. From then on each process forwards the operators' calls that it receives
(`CallForwarded`), and the other acknowledges a call once it is in force there (`CallAcknowledged`). If both
support it, each process also reports the request ids that it opens and closes (`OpenIdsChanged`), and the
predecessor keeps the order of requests with the same ordering key for both (`TurnMessage`). This module
performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from lemonridge.operate.admin_calls import AdminRequest
from lemonridge.operate.maintenance import ReturnedToService
from lemonridge.scheduling.events import Endpoint, LimitLevel

FIRST_LIST_TIMEOUT_US = 1_000_000  # for the successor's own endpoint list, before it takes over
STATE_TIMEOUT_US = 1_000_000  # for the exchange of the state; without a state the successor starts alone
CALL_TIMEOUT_US = 400_000  # for the acknowledgement of a forwarded call; the caller's own timeout is 1 s


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
    """An endpoint as listed by the source, with its address.

    Attributes:
        endpoint: The endpoint.
        address: Its network address, as HOST:PORT.
    """

    endpoint: Endpoint
    address: str


@dataclass(frozen=True, slots=True)
class HandoverState:
    """The state that the successor takes over, with times in microseconds of the sender's clock.

    Attributes:
        banned: The start of each operators' ban, by endpoint.
        returned: The endpoints whose ban has ended.
        drain_began_us: When the current drain began; None if there is none.
        limit_levels: The levels of the volume limits, by volume.
        endpoints: The endpoint list, without the bans applied.
        start_times: The start times of endpoints, by endpoint.
        open_ids: Ids of the sender's open requests; None from a version that does not send them.
        clock_base_us: `Clock.base_us` of the sender; 0 from a version that does not send it.
        supports_key_turns: Whether the sender keeps the order of requests with the same ordering key.
    """

    banned: Mapping[str, int] = field(default_factory=dict)
    returned: Mapping[str, ReturnedToService] = field(default_factory=dict)
    drain_began_us: int | None = None
    limit_levels: Mapping[int, LimitLevel] = field(default_factory=dict)
    endpoints: tuple[HandedOverEndpoint, ...] = ()
    start_times: Mapping[str, StartTime] = field(default_factory=dict)
    open_ids: tuple[str, ...] | None = None
    clock_base_us: int = 0
    supports_key_turns: bool = False

    def rebased(self, base_us: int) -> HandoverState:
        """Returns a copy with its times on another process's clock.

        The wall clock may have been stepped between the starts of the two processes, but both share the
        monotonic clock.

        Args:
            base_us: `Clock.base_us` of the other process.
        """
        shift_us = base_us - self.clock_base_us if self.clock_base_us else 0
        return replace(
            self,
            banned={endpoint_id: banned_us + shift_us for endpoint_id, banned_us in self.banned.items()},
            returned={
                endpoint_id: ReturnedToService(period.banned_us + shift_us, period.returned_us + shift_us)
                for endpoint_id, period in self.returned.items()
            },
            drain_began_us=None if self.drain_began_us is None else self.drain_began_us + shift_us,
            limit_levels={
                volume: replace(level, predecessor_debt_until_us=level.predecessor_debt_until_us + shift_us)
                for volume, level in self.limit_levels.items()
            },
            start_times={
                endpoint_id: StartTime(start_time.unix_us, start_time.broker_clock_us + shift_us)
                for endpoint_id, start_time in self.start_times.items()
            },
            clock_base_us=base_us,
        )


@dataclass(frozen=True, slots=True)
class HandoverRequested:
    """Asks the predecessor for the handover.

    Attributes:
        supports_open_ids: Whether the successor supports `OpenIdsChanged`.
        supports_key_turns: Whether the successor asks for turns of ordering keys.
    """

    supports_open_ids: bool = False
    supports_key_turns: bool = False


@dataclass(frozen=True, slots=True)
class HandoverGranted:
    """Grants the handover; the predecessor accepts no new connections from then on.

    Attributes:
        state: The predecessor's state.
    """

    state: HandoverState


@dataclass(frozen=True, slots=True)
class HandoverRefused:
    """Refuses the handover.

    Attributes:
        reason: Why it is refused.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class CallForwarded:
    """Forwards an operators' call that the sender has received, with a number chosen by the sender."""

    number: int
    request: AdminRequest


@dataclass(frozen=True, slots=True)
class CallAcknowledged:
    """Acknowledges that the forwarded call with this number is in force in the sender's process."""

    number: int


@dataclass(frozen=True, slots=True)
class OpenIdsChanged:
    """Reports the request ids that the sender has opened and closed since its last message."""

    opened: tuple[str, ...]
    closed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KeyTurnRequested:
    """Asks the predecessor for the turn of a request with an ordering key.

    Attributes:
        key: The ordering key.
        turn: The number of the turn, chosen by the successor.
    """

    key: int
    turn: int


@dataclass(frozen=True, slots=True)
class KeyTurnGranted:
    """Grants the successor a turn."""

    turn: int


@dataclass(frozen=True, slots=True)
class KeyTurnEnded:
    """Reports that a turn of the successor has ended, or is not needed any more."""

    turn: int


@dataclass(frozen=True, slots=True)
class KeyTurnsReset:
    """Reports that the successor has lost its turns, as its scheduler was replaced; it numbers them anew."""


TurnMessage = KeyTurnRequested | KeyTurnGranted | KeyTurnEnded | KeyTurnsReset
Message = (
    HandoverRequested
    | HandoverGranted
    | HandoverRefused
    | CallForwarded
    | CallAcknowledged
    | OpenIdsChanged
    | TurnMessage
)
