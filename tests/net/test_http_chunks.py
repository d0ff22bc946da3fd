"""Tests of the decoder of chunked bodies."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lemonridge.net.errors import MessageRejectedError
from lemonridge.net.http_chunks import ChunkedBodyDecoder


class ChunkedBodyDecoderTest(unittest.TestCase):
    @given(st.lists(st.binary(min_size=1, max_size=40), max_size=6), st.integers(1, 7))
    def test_any_chunks_in_any_split_decode_to_same_body(self, parts: list[bytes], step_bytes: int) -> None:
        encoded = (
            b"".join(b"%x;a=b\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\nX: 1\r\n\r\nnext"
        )
        decoder, data, body = ChunkedBodyDecoder(), bytearray(), bytearray()
        for offset in range(0, len(encoded), step_bytes):
            data += encoded[offset : offset + step_bytes]
            decoder.feed(data, body)
        self.assertEqual((decoder.is_complete, bytes(body), bytes(data)), (True, b"".join(parts), b"next"))

    def test_malformed_chunks_are_rejected(self) -> None:
        for encoded in (
            b"-1\r\n",
            b"+1\r\n",
            b"0x1\r\n",
            b"\r\n",
            b"1\r\nab\r\n",
            b"1\r\na\n",
            b"fffffffff\r\n",
            b"1" * 5000,
            b"0\r\nbad trailer\r\n\r\n",
            b"0\r\n" + b"X: 1\r\n" * 5000,
        ):
            with self.subTest(encoded=encoded[:20]), self.assertRaises(MessageRejectedError):
                ChunkedBodyDecoder().feed(bytearray(encoded), bytearray())
