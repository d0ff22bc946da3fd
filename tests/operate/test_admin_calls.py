"""Tests of the parser of operators' calls."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lemonridge.operate.admin_calls import LINE_MAX, AdminCall, AdminRequest, parse
from lemonridge.operate.errors import BadCallError


class AdminCallParsingTest(unittest.TestCase):
    def test_valid_calls_are_parsed_and_invalid_calls_raise_error(self) -> None:
        for call in (AdminCall.READY, AdminCall.DRAIN, AdminCall.RESUME):
            self.assertEqual(parse(call.value.encode() + b"\r\n"), AdminRequest(call))
        self.assertEqual(parse(b"disable-server  s-5be2a07c"), AdminRequest(AdminCall.DISABLE, "s-5be2a07c"))
        for line, expected_text in (
            (b"", "empty"),
            (b"stop", "unknown"),
            (b"READY", "unknown"),
            (b"drain now", "further"),
            (b"disable-server", "one node id"),
            (b"enable-server a b", "one node id"),
            (b"ready \xff", "plain"),
            (b"disable-server \x01", "read"),
            (b"x" * (LINE_MAX + 1), "long"),
        ):
            with self.subTest(line=line), self.assertRaisesRegex(BadCallError, expected_text):
                parse(line)

    @given(st.binary(max_size=2 * LINE_MAX))
    def test_any_bytes_give_call_or_single_line_error(self, line: bytes) -> None:
        try:
            parse(line)
        except BadCallError as error:
            self.assertNotIn("\n", str(error))
