"""Tests of the encoding and decoding of handover messages."""

from __future__ import annotations

import contextlib
import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

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
    OpenIdsChanged,
    StartTime,
)
from lemonridge.operate.handover_format import ENTRIES_MAX, IDS_MAX, decode, encode
from lemonridge.operate.maintenance import ReturnedToService
from lemonridge.scheduling.events import (
    Endpoint,
    EndpointState,
    LimitLevel,
)

STATE = HandoverState(
    banned={"s-1": 5},
    returned={"s-2": ReturnedToService(1, 4)},
    drain_began_us=7,
    limit_levels={2**64 - 1: LimitLevel(2.5, 3.0, 11)},
    endpoints=(HandedOverEndpoint(Endpoint("s-1", 3, 1, EndpointState.DRAINING, 9), "127.0.0.1:1"),),
    start_times={"s-1": StartTime(9, 8)},
    open_ids=("a", "b"),
    clock_base_us=3,
)
MESSAGES = (
    HandoverRequested(),
    HandoverRequested(supports_open_ids=True),
    HandoverRequested(supports_open_ids=True, supports_key_turns=True),
    HandoverGranted(HandoverState(supports_key_turns=True)),
    KeyTurnRequested(2**64 - 1, 1),
    KeyTurnGranted(1),
    KeyTurnEnded(1),
    KeyTurnsReset(),
    OpenIdsChanged(("a",), ("b", "c")),
    HandoverRefused("so"),
    HandoverGranted(STATE),
    HandoverGranted(HandoverState()),
    CallAcknowledged(3),
    CallForwarded(4, AdminRequest(AdminCall.DISABLE, "s-1")),
    CallForwarded(5, AdminRequest(AdminCall.DRAIN)),
)


class HandoverMessageTest(unittest.TestCase):
    def test_encoded_message_decodes_to_equal_message(self) -> None:
        for message in MESSAGES:
            self.assertEqual(decode(encode(message)), message)

    def test_times_are_rebased_after_wall_clock_step_between_process_starts(self) -> None:
        for step_us in (-3_600_000_000, -2_000_000, 2_000_000, 3_600_000_000):
            base_us = 10**13
            sent = HandoverState(
                banned={"a": base_us + 5},
                returned={"b": ReturnedToService(base_us + 1, base_us + 4)},
                drain_began_us=base_us + 7,
                limit_levels={1: LimitLevel(2.0, 3.0, base_us + 8)},
                start_times={"a": StartTime(123, base_us + 9)},
                clock_base_us=base_us,
            )
            received = sent.rebased(base_us + step_us)
            self.assertEqual(
                (received.banned["a"], received.returned["b"]),
                (base_us + step_us + 5, ReturnedToService(base_us + step_us + 1, base_us + step_us + 4)),
            )
            self.assertEqual(
                (received.drain_began_us, received.start_times["a"]),
                (base_us + step_us + 7, StartTime(123, base_us + step_us + 9)),
            )
            self.assertEqual(received.limit_levels[1], LimitLevel(2.0, 3.0, base_us + step_us + 8))

    def test_fields_missing_from_earlier_version_get_defaults(self) -> None:
        sent = json.loads(encode(HandoverGranted(STATE)))
        for name in ("owed", "ids", "starts", "base_us"):
            del sent[name]
        received = decode(json.dumps(sent).encode())
        assert isinstance(received, HandoverGranted)
        self.assertEqual(received.state.limit_levels, {2**64 - 1: LimitLevel(2.5)})
        self.assertEqual(
            (received.state.open_ids, received.state.start_times, received.state.clock_base_us), (None, {}, 0)
        )
        self.assertEqual(decode(b'{"v":1,"say":"take"}\n'), HandoverRequested(supports_open_ids=False))

    def test_incomplete_or_malformed_message_or_other_version_raises_error(self) -> None:
        line = encode(HandoverGranted(STATE))
        for end in range(len(line) - 1):
            with self.assertRaises(BadMessageError):
                decode(line[:end])
        for change in (
            {"v": 2},
            {"v": None},
            {"say": "give"},
            {"out": [1]},
            {"out": {"s": -1}},
            {"levels": [[1, -1]]},
            {"levels": [[1, True]]},
            {"rows": [["s"]]},
            {"ids": "a"},
            {"ids": [1]},
            {"ids": ["a"] * (IDS_MAX + 1)},
            {"owed": [[1, -1, 2]]},
            {"owed": [[1, 1]]},
            {"owed": [[1, 1, 2]] * (ENTRIES_MAX + 1)},
            {"rows": [["s", 1, 1, "odd", 0, ""]]},
            {"back": {"s": [1]}},
            {"drained_us": "x"},
            {"levels": [[1, 1]] * (ENTRIES_MAX + 1)},
        ):
            with self.subTest(change=list(change)), self.assertRaises(BadMessageError):
                decode(json.dumps({**json.loads(line), **change}).encode())

    @given(
        st.binary(max_size=200)
        | st.recursive(
            st.none() | st.integers() | st.text(max_size=5),
            lambda values: (
                st.lists(values, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["v", "say", "out", "rows", "levels", "owed"]), values, max_size=5
                )
            ),
        ).map(lambda fields: json.dumps(fields).encode())
    )
    def test_any_bytes_give_message_or_error(self, line: bytes) -> None:
        with contextlib.suppress(BadMessageError):
            decode(line)
