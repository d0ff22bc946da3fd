"""What a process and its successor tell each other, and when each may act. Pure.

They are one broker while both live. Every message is one line of JSON under `LINE_MAX` bytes with the
version in `v`; one that cannot be read whole is worth nothing. The successor says `take`; the one before
answers `given` with the estate, in one step with ending its own acceptance, or `no`. From then on each passes
on what operators call (`called`), and the other says when it is in force (`done`). Where both know of it,
each also tells which requests it opens and ends (`ids`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from lemonridge.core.start_times import StartTime
from lemonridge.operate.admin_calls import AdminCall, AdminRequest
from lemonridge.operate.maintenance import OUT_MAX, ReturnedToService
from lemonridge.scheduling.events import Endpoint, EndpointState, LimitLevel

VERSION = 1
LINE_MAX = 4 << 20
ROWS_MAX = 65536  # nodes or volumes
GIVE_US = 1_000_000  # the successor waits so long for the estate, then goes on alone
NEWS_US = 1_000_000  # and so long for its own first list before it takes over
CALL_US = 400_000  # a call waits so long for the other process; its caller waits for 1 s
IDS_MAX = 65536  # in one message
TOP = 1 << 62


class BadMessageError(Exception):
    """A message that cannot be read, or of another version; the text is fit for the log."""


@dataclass(frozen=True, slots=True)
class HandedOverEndpoint:
    """A node as discovery told it, with its address."""

    entry: Endpoint
    address: str


@dataclass(frozen=True, slots=True)
class HandoverState:
    """What the successor goes on from: the bans, the drain in force, what the limits have saved, the list."""

    out: Mapping[str, int] = field(default_factory=dict)
    back: Mapping[str, ReturnedToService] = field(default_factory=dict)
    drained_us: int | None = None
    levels: Mapping[int, LimitLevel] = field(default_factory=dict)  # by volume
    rows: tuple[HandedOverEndpoint, ...] = ()
    starts: Mapping[str, StartTime] = field(default_factory=dict)
    open_ids: tuple[str, ...] | None = None  # of the requests that the sender holds; None: it tells none
    base_us: int = 0  # of the clock that the times are of (`Clock.base_us`); 0: it was not told

    def on_clock(self, base_us: int) -> HandoverState:
        """The same with its times on another clock of this machine: the wall clock may have been stepped
        between the starts of the two processes, while the monotonic clock is one.
        """
        shift = base_us - self.base_us if self.base_us else 0
        return replace(
            self,
            out={endpoint: since + shift for endpoint, since in self.out.items()},
            back={
                endpoint: ReturnedToService(one.out_us + shift, one.back_us + shift)
                for endpoint, one in self.back.items()
            },
            drained_us=None if self.drained_us is None else self.drained_us + shift,
            levels={
                volume: replace(level, owed_until_us=level.owed_until_us + shift)
                for volume, level in self.levels.items()
            },
            starts={
                endpoint: StartTime(one.told_us, one.own_us + shift) for endpoint, one in self.starts.items()
            },
            base_us=base_us,
        )


@dataclass(frozen=True, slots=True)
class HandoverRequested:
    """The successor takes over; whether it wants to be told of ids."""

    ids: bool = False


@dataclass(frozen=True, slots=True)
class HandoverGranted:
    """The estate; the sender takes nothing new any more."""

    estate: HandoverState


@dataclass(frozen=True, slots=True)
class HandoverRefused:
    """Nothing is given."""

    why: str


@dataclass(frozen=True, slots=True)
class CallForwarded:
    """An operator's call that the other process has taken."""

    number: int
    order: AdminRequest


@dataclass(frozen=True, slots=True)
class CallAcknowledged:
    """That call is in force here too."""

    number: int


@dataclass(frozen=True, slots=True)
class OpenIdsChanged:
    """The ids of requests that the sender has opened, and of those that are over."""

    opened: tuple[str, ...]
    ended: tuple[str, ...]


# The states of an endpoint on the wire between the two processes.
STATE_OF_WORD = {
    "active": EndpointState.ACTIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
WORD_OF_STATE = {state: word for word, state in STATE_OF_WORD.items()}

Message = (
    HandoverRequested | HandoverGranted | HandoverRefused | CallForwarded | CallAcknowledged | OpenIdsChanged
)

# The name of each message on the wire between the two processes.
WORD_OF_MESSAGE: dict[type[Message], str] = {
    HandoverRequested: "take",
    HandoverGranted: "given",
    HandoverRefused: "no",
    CallForwarded: "called",
    CallAcknowledged: "done",
    OpenIdsChanged: "ids",
}


def encode(message: Message) -> bytes:
    """One line, its end included."""
    told: dict[str, Any] = {"v": VERSION, "say": WORD_OF_MESSAGE[type(message)]}
    if isinstance(message, HandoverGranted):
        estate = message.estate
        told["out"] = dict(estate.out)
        told["back"] = {endpoint: [one.out_us, one.back_us] for endpoint, one in estate.back.items()}
        told["drained_us"] = estate.drained_us
        told["levels"] = [[volume, level.saved] for volume, level in estate.levels.items()]
        told["owed"] = [[volume, level.owed, level.owed_until_us] for volume, level in estate.levels.items()]
        told["rows"] = [
            [
                row.entry.endpoint_id,
                row.entry.shard,
                row.entry.zone,
                WORD_OF_STATE[row.entry.condition],
                row.entry.started_us,
                row.address,
            ]
            for row in estate.rows
        ]
        told["starts"] = {endpoint: [one.told_us, one.own_us] for endpoint, one in estate.starts.items()}
        told["base_us"] = estate.base_us
        if estate.open_ids is not None:
            told["ids"] = estate.open_ids
    elif isinstance(message, HandoverRequested):
        told["ids"] = message.ids
    elif isinstance(message, OpenIdsChanged):
        told |= {"opened": message.opened, "ended": message.ended}
    elif isinstance(message, HandoverRefused):
        told["why"] = message.why
    elif isinstance(message, CallForwarded):
        told |= {
            "number": message.number,
            "call": message.order.call.value,
            "node": message.order.endpoint_id,
        }
    elif isinstance(message, CallAcknowledged):
        told["number"] = message.number
    return orjson.dumps(told) + b"\n"


def decode(line: bytes) -> Message:
    """The message of a line, checked whole; `BadMessageError` otherwise."""
    if len(line) > LINE_MAX:
        raise BadMessageError("it is too long")
    try:
        told = orjson.loads(line)
        if not isinstance(told, dict) or told.get("v") != VERSION:
            raise BadMessageError("it is of another version")
        return _message(told)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadMessageError(f"{type(error).__name__}: {error}") from None


def _message(told: dict[str, Any]) -> Message:
    say = told["say"]
    if say == "take":
        return HandoverRequested(told.get("ids") is True)
    if say == "ids":
        return OpenIdsChanged(_ids(told["opened"]), _ids(told["ended"]))
    if say == "no":
        return HandoverRefused(str(told["why"])[:200])
    if say == "done":
        return CallAcknowledged(_whole(told["number"]))
    if say == "called":
        return CallForwarded(
            _whole(told["number"]), AdminRequest(AdminCall(told["call"]), _text(told["node"]))
        )
    if say != "given":
        raise BadMessageError("it says nothing that is known")
    if len(told["out"]) > OUT_MAX or len(told["back"]) > OUT_MAX:
        raise BadMessageError("it names too many nodes")
    if len(told["levels"]) > ROWS_MAX or len(told["rows"]) > ROWS_MAX:
        raise BadMessageError("it holds too many rows")
    starts = told.get("starts", {})  # a process of an earlier version tells none
    if len(starts) > ROWS_MAX:
        raise BadMessageError("it holds too many start times")
    owed = told.get("owed", [])  # nor of what is on its way
    if len(owed) > ROWS_MAX:
        raise BadMessageError("it holds too many rows")
    ways = {_whole(volume, 1 << 64): (_units(units), _whole(until)) for volume, units, until in owed}
    drained = told["drained_us"]
    return HandoverGranted(
        HandoverState(
            out={_text(endpoint): _whole(since) for endpoint, since in told["out"].items()},
            back={
                _text(endpoint): ReturnedToService(_whole(out), _whole(back))
                for endpoint, (out, back) in told["back"].items()
            },
            drained_us=None if drained is None else _whole(drained),
            levels={
                _whole(volume, 1 << 64): LimitLevel(_units(saved), *ways.get(volume, ()))
                for volume, saved in told["levels"]
            },
            rows=tuple(
                HandedOverEndpoint(
                    Endpoint(
                        _text(endpoint), int(shard), int(zone), STATE_OF_WORD[condition], _whole(started)
                    ),
                    _text(address),
                )
                for endpoint, shard, zone, condition, started, address in told["rows"]
            ),
            starts={
                _text(endpoint): StartTime(_whole(one), _whole(own))
                for endpoint, (one, own) in starts.items()
            },
            open_ids=None if told.get("ids") is None else _ids(told["ids"]),
            base_us=_whole(told.get("base_us", 0)),
        )
    )


def _whole(value: Any, top: int = TOP) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < top:
        raise ValueError("a number is out of its bounds")
    return value


def _units(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 1e9:
        raise ValueError("units are out of their bounds")
    return float(value)


def _ids(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > IDS_MAX:
        raise ValueError("it holds too many ids")
    return tuple(_text(one) for one in value)


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > 1000:
        raise ValueError("a word is too long, or none")
    return value
