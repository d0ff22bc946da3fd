"""Pins the handover messages between a process and its successor byte for byte.

During an upgrade the two processes run different versions. The builders below use names of the code; the
expected lines are literals. Every key and every fixed value of a message is a literal in
`operate.handover_format`.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.open_ids import OpenIds
from lemonridge.net.key_turns import KeyTurnExchange
from lemonridge.net.process_handover import ProcessHandover
from lemonridge.operate import handover, handover_format
from lemonridge.operate.admin_calls import AdminCall, AdminReply, AdminRequest
from lemonridge.operate.maintenance import ReturnedToService
from lemonridge.scheduling.events import Endpoint, EndpointState, LimitLevel


def build_endpoint(number: int, state: EndpointState) -> handover.HandedOverEndpoint:
    """Builds the endpoint `s-NUMBER`, whose port is the number too."""
    endpoint = Endpoint(endpoint_id=f"s-{number}", shard=3, zone=1, state=state, started_us=9)
    return handover.HandedOverEndpoint(endpoint=endpoint, address=f"127.0.0.1:{number}")


STATE = handover.HandoverState(
    banned={"s-1": 5, "s-9": 6},
    returned={"s-2": ReturnedToService(banned_us=1, returned_us=4)},
    drain_began_us=7,
    limit_levels={
        2**64 - 1: LimitLevel(saved=2.5, predecessor_debt=3.25, predecessor_debt_until_us=11),
        4: LimitLevel(saved=1.0),
    },
    endpoints=(
        build_endpoint(1, EndpointState.ACTIVE),
        build_endpoint(2, EndpointState.DRAINING),
        build_endpoint(3, EndpointState.REMOVED),
    ),
    start_times={"s-1": handover.StartTime(unix_us=9, broker_clock_us=8)},
    open_ids=("a", "b"),
    clock_base_us=3,
)
EMPTY_STATE = handover.HandoverState()

MESSAGES_AND_LINES = {
    "take": (handover.HandoverRequested(supports_open_ids=True), b'{"v":1,"say":"take","ids":true}\n'),
    "take, no ids": (handover.HandoverRequested(), b'{"v":1,"say":"take","ids":false}\n'),
    "take, turns": (
        handover.HandoverRequested(supports_open_ids=True, supports_key_turns=True),
        b'{"v":1,"say":"take","ids":true,"turns":true}\n',
    ),
    "turn": (
        handover.KeyTurnRequested(key=2**64 - 1, turn=3),
        b'{"v":1,"say":"turn","key":18446744073709551615,"turn":3}\n',
    ),
    "turn given": (handover.KeyTurnGranted(turn=3), b'{"v":1,"say":"turn given","turn":3}\n'),
    "turn ended": (handover.KeyTurnEnded(turn=3), b'{"v":1,"say":"turn ended","turn":3}\n'),
    "turns lost": (handover.KeyTurnsReset(), b'{"v":1,"say":"turns lost"}\n'),
    "given": (
        handover.HandoverGranted(state=STATE),
        b'{"v":1,"say":"given","out":{"s-1":5,"s-9":6},"back":{"s-2":[1,4]},"drained_us":7,'
        b'"levels":[[18446744073709551615,2.5],[4,1.0]],'
        b'"owed":[[18446744073709551615,3.25,11],[4,0.0,0]],'
        b'"rows":[["s-1",3,1,"active",9,"127.0.0.1:1"],["s-2",3,1,"leaving",9,"127.0.0.1:2"],'
        b'["s-3",3,1,"left",9,"127.0.0.1:3"]],'
        b'"starts":{"s-1":[9,8]},"base_us":3,"ids":["a","b"]}\n',
    ),
    "given, empty": (
        handover.HandoverGranted(state=EMPTY_STATE),
        b'{"v":1,"say":"given","out":{},"back":{},"drained_us":null,"levels":[],"owed":[],"rows":[],'
        b'"starts":{},"base_us":0}\n',
    ),
    "no": (
        handover.HandoverRefused(reason="handed over already"),
        b'{"v":1,"say":"no","why":"handed over already"}\n',
    ),
    "called, a node": (
        handover.CallForwarded(number=4, request=AdminRequest(call=AdminCall.DISABLE, endpoint_id="s-1")),
        b'{"v":1,"say":"called","number":4,"call":"disable-server","node":"s-1"}\n',
    ),
    "called back, a node": (
        handover.CallForwarded(number=6, request=AdminRequest(call=AdminCall.ENABLE, endpoint_id="s-1")),
        b'{"v":1,"say":"called","number":6,"call":"enable-server","node":"s-1"}\n',
    ),
    "called, a drain": (
        handover.CallForwarded(number=5, request=AdminRequest(call=AdminCall.DRAIN)),
        b'{"v":1,"say":"called","number":5,"call":"drain","node":""}\n',
    ),
    "called, its end": (
        handover.CallForwarded(number=7, request=AdminRequest(call=AdminCall.RESUME)),
        b'{"v":1,"say":"called","number":7,"call":"resume","node":""}\n',
    ),
    "done": (handover.CallAcknowledged(number=3), b'{"v":1,"say":"done","number":3}\n'),
    "ids": (
        handover.OpenIdsChanged(opened=("a",), closed=("b", "c")),
        b'{"v":1,"say":"ids","opened":["a"],"ended":["b","c"]}\n',
    ),
}


@pytest.mark.parametrize("name", MESSAGES_AND_LINES)
def test_message_is_encoded_and_decoded_as_recorded(name: str) -> None:
    message, line = MESSAGES_AND_LINES[name]

    encoded, decoded = handover_format.encode(message), handover_format.decode(line)

    assert encoded == line
    assert decoded == message


def test_state_of_earlier_version_without_later_keys_is_decoded() -> None:
    line = (
        b'{"v":1,"say":"given","out":{"s-1":5},"back":{"s-2":[1,4]},"drained_us":null,'
        b'"levels":[[4,1.5]],"rows":[]}\n'
    )

    decoded = handover_format.decode(line)

    assert decoded == handover.HandoverGranted(
        handover.HandoverState(
            banned={"s-1": 5},
            returned={"s-2": ReturnedToService(1, 4)},
            limit_levels={4: LimitLevel(saved=1.5)},
        )
    )
    assert handover_format.decode(b'{"v":1,"say":"take"}\n') == handover.HandoverRequested(
        supports_open_ids=False
    )


def test_version_and_bounds_of_messages_are_unchanged() -> None:
    assert (handover_format.VERSION, handover_format.LINE_MAX) == (1, 4_194_304)
    assert (handover_format.ENTRIES_MAX, handover_format.IDS_MAX) == (65_536, 65_536)


def test_wire_names_of_endpoint_states_and_calls_are_unchanged() -> None:
    assert [handover_format.WIRE_NAME_BY_STATE[state] for state in EndpointState] == [
        "active",
        "leaving",
        "left",
    ]
    assert [
        call.value for call in (AdminCall.DISABLE, AdminCall.ENABLE, AdminCall.DRAIN, AdminCall.RESUME)
    ] == [
        "disable-server",
        "enable-server",
        "drain",
        "resume",
    ]


class HandoverHostStandin:
    """A stand-in for the broker that hands over STATE and acknowledges every forwarded call.

    Attributes:
        applied: The forwarded calls.
    """

    def __init__(self) -> None:
        self.applied: list[AdminRequest] = []

    def export_state(self) -> handover.HandoverState:
        return STATE

    def undo_handover(self) -> None:
        pass

    def set_processes(self, processes: int) -> None:
        pass

    def apply(self, request: AdminRequest) -> AdminReply:
        self.applied.append(request)
        return AdminReply(True)


async def replies_to_successors(folder: Path) -> list[bytes]:
    """Returns the lines that a process sends over its socket in reply to literal lines of successors.

    Every successor has its own connection.
    """
    open_ids, counters = OpenIds(), Counters()
    open_ids.open("request-1")
    clock, turns = Clock(asyncio.get_running_loop()), KeyTurnExchange(lambda _: None)
    process_handover = ProcessHandover(
        str(folder), "n/1", HandoverHostStandin(), clock, counters, open_ids, turns
    )
    await process_handover.listen()
    answers = []
    path = str(folder / "n_1.handover")  # both versions must use the same socket name
    try:
        reader, writer = await asyncio.open_unix_connection(path)
        writer.write(b'{"v":1,"say":"done","number":1}\n')
        answers.append(await reader.readline())
        writer.close()
        reader, writer = await asyncio.open_unix_connection(path)
        writer.write(b'{"v":2,"say":"take"}\n')
        answers.append(await reader.readline())
        writer.close()
        first, first_writer = await asyncio.open_unix_connection(path)
        first_writer.write(b'{"v":1,"say":"take","ids":true}\n')
        answers.append(await first.readline())
        first_writer.write(b'{"v":1,"say":"turn","key":5,"turn":1}\n')  # not offered, so it is ignored
        second, second_writer = await asyncio.open_unix_connection(path)
        second_writer.write(b'{"v":1,"say":"take","ids":true}\n')
        answers.append(await second.readline())
        second_writer.close()
        first_writer.write(b'{"v":1,"say":"called","number":9,"call":"drain","node":""}\n')
        answers.append(await first.readline())
        open_ids.open("request-2")
        open_ids.close("request-1")
        answers.append(await first.readline())
        first_writer.close()
    finally:
        process_handover.stop()
    return answers


def test_process_replies_to_successors_with_recorded_lines(tmp_path: Path) -> None:
    answers = asyncio.run(asyncio.wait_for(replies_to_successors(tmp_path), 10))

    assert answers == [
        b'{"v":1,"say":"no","why":"nothing was asked for"}\n',
        b'{"v":1,"say":"no","why":"it is of another version"}\n',
        b'{"v":1,"say":"given","out":{"s-1":5,"s-9":6},"back":{"s-2":[1,4]},"drained_us":7,'
        b'"levels":[[18446744073709551615,2.5],[4,1.0]],'
        b'"owed":[[18446744073709551615,3.25,11],[4,0.0,0]],'
        b'"rows":[["s-1",3,1,"active",9,"127.0.0.1:1"],["s-2",3,1,"leaving",9,"127.0.0.1:2"],'
        b'["s-3",3,1,"left",9,"127.0.0.1:3"]],'
        b'"starts":{"s-1":[9,8]},"base_us":3,"ids":["request-1"]}\n',
        b'{"v":1,"say":"no","why":"handed over already"}\n',
        b'{"v":1,"say":"done","number":9}\n',
        b'{"v":1,"say":"ids","opened":["request-2"],"ended":["request-1"]}\n',
    ]


async def request_state(folder: Path) -> tuple[bytes, handover.HandoverState | None]:
    """Runs a successor against a process that replies with a literal line.

    Returns:
        The first line that the successor sends, and the state that it decodes from the reply.
    """
    received_lines = []

    async def reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received_lines.append(await reader.readline())
        writer.write(MESSAGES_AND_LINES["given"][1])

    server = await asyncio.start_unix_server(reply, str(folder / "n1.handover"))
    clock, turns = Clock(asyncio.get_running_loop()), KeyTurnExchange(lambda _: None)
    process_handover = ProcessHandover(
        str(folder), "n1", HandoverHostStandin(), clock, Counters(), OpenIds(), turns
    )
    state = await process_handover.take_over()
    process_handover.stop()
    server.close()
    return received_lines[0], state


def test_successor_sends_recorded_request_and_decodes_state(tmp_path: Path) -> None:
    request_line, state = asyncio.run(asyncio.wait_for(request_state(tmp_path), 10))

    assert request_line == b'{"v":1,"say":"take","ids":true,"turns":true}\n'
    assert state == STATE
