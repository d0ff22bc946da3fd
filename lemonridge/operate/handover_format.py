"""The handover's messages on the socket between the two processes: one line of JSON each. Pure.

Two versions of the program read each other's messages during an upgrade, so the keys and words here stay as
they are. Each line has the version in `v` and the kind of message in `say`; a line that cannot be read
complete is an error.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import orjson

from lemonridge.operate.admin_calls import AdminCall, AdminRequest
from lemonridge.operate.errors import BadMessageError
from lemonridge.operate.handover import (
    CallAcknowledged,
    CallForwarded,
    HandedOverEndpoint,
    HandoverGranted,
    HandoverRefused,
    HandoverRequested,
    HandoverState,
    Message,
    OpenIdsChanged,
    StartTime,
)
from lemonridge.operate.maintenance import BANS_MAX, ReturnedToService
from lemonridge.scheduling.events import Endpoint, EndpointState, LimitLevel

VERSION = 1
LINE_MAX = 4 << 20  # bytes of a message with its end
ENTRIES_MAX = 65536  # endpoints, volumes or start times in one message
IDS_MAX = 65536  # request ids in one message
REASON_MAX = 200  # characters of a refusal's reason
TEXT_MAX = 1000  # characters of an id or an address
INTEGER_END = 1 << 62
VOLUME_END = 1 << 64
UNITS_END = 1e9

STATE_BY_WIRE_NAME = {
    "active": EndpointState.ACTIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
WIRE_NAME_BY_STATE = {state: word for word, state in STATE_BY_WIRE_NAME.items()}


def encode(message: Message) -> bytes:
    """The message as a line, with its end."""
    match message:
        case HandoverRequested():
            fields = _fields("take", ids=message.supports_open_ids)
        case HandoverGranted():
            fields = _fields("given", **_state_fields(message.state))
        case HandoverRefused():
            fields = _fields("no", why=message.reason)
        case CallForwarded():
            request = message.request
            fields = _fields(
                "called", number=message.number, call=request.call.value, node=request.endpoint_id
            )
        case CallAcknowledged():
            fields = _fields("done", number=message.number)
        case OpenIdsChanged():
            fields = _fields("ids", opened=message.opened, ended=message.closed)
    return orjson.dumps(fields) + b"\n"


def _fields(word: str, **fields: Any) -> dict[str, Any]:
    return {"v": VERSION, "say": word, **fields}


def _state_fields(state: HandoverState) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "out": dict(state.banned),
        "back": {
            endpoint_id: [one.banned_us, one.returned_us] for endpoint_id, one in state.returned.items()
        },
        "drained_us": state.drain_began_us,
        "levels": [[volume, level.saved] for volume, level in state.limit_levels.items()],
        "owed": [
            [volume, level.predecessor_debt, level.predecessor_debt_until_us]
            for volume, level in state.limit_levels.items()
        ],
        "rows": [
            [
                row.endpoint.endpoint_id,
                row.endpoint.shard,
                row.endpoint.zone,
                WIRE_NAME_BY_STATE[row.endpoint.state],
                row.endpoint.started_us,
                row.address,
            ]
            for row in state.endpoints
        ],
        "starts": {
            endpoint_id: [one.unix_us, one.broker_clock_us] for endpoint_id, one in state.start_times.items()
        },
        "base_us": state.clock_base_us,
    }
    if state.open_ids is not None:
        fields["ids"] = state.open_ids
    return fields


def decode(line: bytes) -> Message:
    """The message of a line.

    Raises:
        BadMessageError: The line is too long, incomplete, out of bounds, or of another version.
    """
    if len(line) > LINE_MAX:
        raise BadMessageError("it is too long")
    try:
        fields = orjson.loads(line)
        if not isinstance(fields, dict) or fields.get("v") != VERSION:
            raise BadMessageError("it is of another version")
        word = fields["say"]
        decoder = _DECODERS.get(word) if isinstance(word, str) else None
        if decoder is None:
            raise BadMessageError("it says nothing that is known")
        return decoder(fields)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadMessageError(f"{type(error).__name__}: {error}") from None


def _decode_requested(fields: Mapping[str, Any]) -> Message:
    return HandoverRequested(fields.get("ids") is True)


def _decode_refused(fields: Mapping[str, Any]) -> Message:
    return HandoverRefused(str(fields["why"])[:REASON_MAX])


def _decode_forwarded(fields: Mapping[str, Any]) -> Message:
    number = _integer(fields["number"])
    return CallForwarded(number, AdminRequest(AdminCall(fields["call"]), _text(fields["node"])))


def _decode_acknowledged(fields: Mapping[str, Any]) -> Message:
    return CallAcknowledged(_integer(fields["number"]))


def _decode_ids(fields: Mapping[str, Any]) -> Message:
    return OpenIdsChanged(_ids(fields["opened"]), _ids(fields["ended"]))


def _decode_granted(fields: Mapping[str, Any]) -> Message:
    if len(fields["out"]) > BANS_MAX or len(fields["back"]) > BANS_MAX:
        raise BadMessageError("it names too many nodes")
    if len(fields["levels"]) > ENTRIES_MAX or len(fields["rows"]) > ENTRIES_MAX:
        raise BadMessageError("it holds too many rows")
    # Earlier versions send neither start times, nor what is owed, nor ids, nor the clock's base.
    start_times = fields.get("starts", {})
    if len(start_times) > ENTRIES_MAX:
        raise BadMessageError("it holds too many start times")
    owed = fields.get("owed", [])
    if len(owed) > ENTRIES_MAX:
        raise BadMessageError("it holds too many rows")
    owed_by_volume = {
        _integer(volume, VOLUME_END): (_units(units), _integer(until_us)) for volume, units, until_us in owed
    }
    drain_began_us = fields["drained_us"]
    return HandoverGranted(
        HandoverState(
            banned={_text(endpoint_id): _integer(since) for endpoint_id, since in fields["out"].items()},
            returned={
                _text(endpoint_id): ReturnedToService(_integer(banned_us), _integer(returned_us))
                for endpoint_id, (banned_us, returned_us) in fields["back"].items()
            },
            drain_began_us=None if drain_began_us is None else _integer(drain_began_us),
            limit_levels={
                _integer(volume, VOLUME_END): LimitLevel(_units(saved), *owed_by_volume.get(volume, ()))
                for volume, saved in fields["levels"]
            },
            endpoints=tuple(_decode_endpoint(*row) for row in fields["rows"]),
            start_times={
                _text(endpoint_id): StartTime(_integer(unix_us), _integer(broker_clock_us))
                for endpoint_id, (unix_us, broker_clock_us) in start_times.items()
            },
            open_ids=None if fields.get("ids") is None else _ids(fields["ids"]),
            clock_base_us=_integer(fields.get("base_us", 0)),
        )
    )


def _decode_endpoint(
    endpoint_id: Any, shard: Any, zone: Any, state: Any, started_us: Any, address: Any
) -> HandedOverEndpoint:
    endpoint = Endpoint(
        _text(endpoint_id), int(shard), int(zone), STATE_BY_WIRE_NAME[state], _integer(started_us)
    )
    return HandedOverEndpoint(endpoint, _text(address))


_DECODERS: dict[str, Callable[[Mapping[str, Any]], Message]] = {
    "take": _decode_requested,
    "given": _decode_granted,
    "no": _decode_refused,
    "called": _decode_forwarded,
    "done": _decode_acknowledged,
    "ids": _decode_ids,
}


def _integer(value: Any, end: int = INTEGER_END) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < end:
        raise ValueError("a number is out of its bounds")
    return value


def _units(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < UNITS_END:
        raise ValueError("units are out of their bounds")
    return float(value)


def _ids(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > IDS_MAX:
        raise ValueError("it holds too many ids")
    return tuple(_text(one) for one in value)


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > TEXT_MAX:
        raise ValueError("a word is too long, or none")
    return value
