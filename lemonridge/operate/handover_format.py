"""Encodes and decodes the handover messages between the two processes: one line of JSON per message.

Two versions of the program exchange these messages during an upgrade, so the keys and values must not change.
Each line has the format version in `v` and the kind of message in `say`; a line that cannot be decoded
completely is an error. This module performs no I/O.
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
    KeyTurnEnded,
    KeyTurnGranted,
    KeyTurnRequested,
    KeyTurnsReset,
    Message,
    OpenIdsChanged,
    StartTime,
    TurnMessage,
)
from lemonridge.operate.maintenance import BANS_MAX, ReturnedToService
from lemonridge.scheduling.events import Endpoint, EndpointState, LimitLevel

VERSION = 1
LINE_MAX = 4 << 20  # bytes of a message, including the line end
ENTRIES_MAX = 65536  # per list of endpoints, volumes or start times in one message
IDS_MAX = 65536  # request ids in one message
REASON_MAX = 200  # characters of a refusal's reason
TEXT_MAX = 1000  # characters of an id or an address
INTEGER_END = 1 << 62  # exclusive upper bound of integers other than volume numbers and ordering keys
VOLUME_END = 1 << 64  # exclusive upper bound of volume numbers and ordering keys
UNITS_END = 1e9  # exclusive upper bound of units

STATE_BY_WIRE_NAME = {
    "active": EndpointState.ACTIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
WIRE_NAME_BY_STATE = {state: name for name, state in STATE_BY_WIRE_NAME.items()}


def encode(message: Message) -> bytes:
    """Encodes a message as a line, including the line end."""
    match message:
        case HandoverRequested():
            fields = _fields("take", ids=message.supports_open_ids)
            if message.supports_key_turns:
                fields["turns"] = True
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
        case KeyTurnRequested() | KeyTurnGranted() | KeyTurnEnded() | KeyTurnsReset():
            fields = _turn_fields(message)
    return orjson.dumps(fields) + b"\n"


def _fields(kind: str, **fields: Any) -> dict[str, Any]:
    return {"v": VERSION, "say": kind, **fields}


def _turn_fields(message: TurnMessage) -> dict[str, Any]:
    match message:
        case KeyTurnRequested():
            return _fields("turn", key=message.key, turn=message.turn)
        case KeyTurnGranted():
            return _fields("turn given", turn=message.turn)
        case KeyTurnEnded():
            return _fields("turn ended", turn=message.turn)
        case KeyTurnsReset():
            return _fields("turns lost")


def _state_fields(state: HandoverState) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "out": dict(state.banned),
        "back": {
            endpoint_id: [period.banned_us, period.returned_us]
            for endpoint_id, period in state.returned.items()
        },
        "drained_us": state.drain_began_us,
        "levels": [[volume, level.saved] for volume, level in state.limit_levels.items()],
        "owed": [
            [volume, level.predecessor_debt, level.predecessor_debt_until_us]
            for volume, level in state.limit_levels.items()
        ],
        "rows": [
            [
                entry.endpoint.endpoint_id,
                entry.endpoint.shard,
                entry.endpoint.zone,
                WIRE_NAME_BY_STATE[entry.endpoint.state],
                entry.endpoint.started_us,
                entry.address,
            ]
            for entry in state.endpoints
        ],
        "starts": {
            endpoint_id: [start_time.unix_us, start_time.broker_clock_us]
            for endpoint_id, start_time in state.start_times.items()
        },
        "base_us": state.clock_base_us,
    }
    if state.open_ids is not None:
        fields["ids"] = state.open_ids
    if state.supports_key_turns:
        fields["turns"] = True
    return fields


def decode(line: bytes) -> Message:
    """Decodes a line.

    Raises:
        BadMessageError: The line is too long, incomplete, out of bounds, or of another version.
    """
    if len(line) > LINE_MAX:
        raise BadMessageError("it is too long")
    try:
        fields = orjson.loads(line)
        if not isinstance(fields, dict) or fields.get("v") != VERSION:
            raise BadMessageError("it is of another version")
        kind = fields["say"]
        decoder = _DECODERS.get(kind) if isinstance(kind, str) else None
        if decoder is None:
            raise BadMessageError("it says nothing that is known")
        return decoder(fields)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadMessageError(f"{type(error).__name__}: {error}") from None


def _decode_requested(fields: Mapping[str, Any]) -> Message:
    return HandoverRequested(fields.get("ids") is True, fields.get("turns") is True)


def _decode_refused(fields: Mapping[str, Any]) -> Message:
    return HandoverRefused(str(fields["why"])[:REASON_MAX])


def _decode_forwarded(fields: Mapping[str, Any]) -> Message:
    number = _integer(fields["number"])
    return CallForwarded(number, AdminRequest(AdminCall(fields["call"]), _text(fields["node"])))


def _decode_acknowledged(fields: Mapping[str, Any]) -> Message:
    return CallAcknowledged(_integer(fields["number"]))


def _decode_ids(fields: Mapping[str, Any]) -> Message:
    return OpenIdsChanged(_ids(fields["opened"]), _ids(fields["ended"]))


def _decode_turn_requested(fields: Mapping[str, Any]) -> Message:
    return KeyTurnRequested(_integer(fields["key"], VOLUME_END), _integer(fields["turn"]))


def _decode_turn_granted(fields: Mapping[str, Any]) -> Message:
    return KeyTurnGranted(_integer(fields["turn"]))


def _decode_turn_ended(fields: Mapping[str, Any]) -> Message:
    return KeyTurnEnded(_integer(fields["turn"]))


def _decode_turns_reset(_: Mapping[str, Any]) -> Message:
    return KeyTurnsReset()


def _decode_granted(fields: Mapping[str, Any]) -> Message:
    if len(fields["out"]) > BANS_MAX or len(fields["back"]) > BANS_MAX:
        raise BadMessageError("it names too many nodes")
    if len(fields["levels"]) > ENTRIES_MAX or len(fields["rows"]) > ENTRIES_MAX:
        raise BadMessageError("it holds too many rows")
    # Earlier versions send no start times, no debts ("owed"), no ids and no clock base.
    start_times = fields.get("starts", {})
    if len(start_times) > ENTRIES_MAX:
        raise BadMessageError("it holds too many start times")
    debts = fields.get("owed", [])
    if len(debts) > ENTRIES_MAX:
        raise BadMessageError("it holds too many rows")
    debt_by_volume = {
        _integer(volume, VOLUME_END): (_units(units), _integer(until_us)) for volume, units, until_us in debts
    }
    drain_began_us = fields["drained_us"]
    return HandoverGranted(
        HandoverState(
            banned={
                _text(endpoint_id): _integer(banned_us) for endpoint_id, banned_us in fields["out"].items()
            },
            returned={
                _text(endpoint_id): ReturnedToService(_integer(banned_us), _integer(returned_us))
                for endpoint_id, (banned_us, returned_us) in fields["back"].items()
            },
            drain_began_us=None if drain_began_us is None else _integer(drain_began_us),
            limit_levels={
                _integer(volume, VOLUME_END): LimitLevel(_units(saved), *debt_by_volume.get(volume, ()))
                for volume, saved in fields["levels"]
            },
            endpoints=tuple(_decode_endpoint(*row) for row in fields["rows"]),
            start_times={
                _text(endpoint_id): StartTime(_integer(unix_us), _integer(broker_clock_us))
                for endpoint_id, (unix_us, broker_clock_us) in start_times.items()
            },
            open_ids=None if fields.get("ids") is None else _ids(fields["ids"]),
            clock_base_us=_integer(fields.get("base_us", 0)),
            supports_key_turns=fields.get("turns") is True,
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
    "turn": _decode_turn_requested,
    "turn given": _decode_turn_granted,
    "turn ended": _decode_turn_ended,
    "turns lost": _decode_turns_reset,
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
    return tuple(_text(request_id) for request_id in value)


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > TEXT_MAX:
        raise ValueError("a word is too long, or none")
    return value
