"""Decoding of chunked bodies."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lemonridge.net.errors import MessageRejectedError
from lemonridge.net.http_chunks import ChunkedBodyDecoder


class Chunked(unittest.TestCase):
    @given(st.lists(st.binary(min_size=1, max_size=40), max_size=6), st.integers(1, 7))
    def test_any_split_of_any_chunks_is_the_same_body(self, parts: list[bytes], step: int) -> None:
        text = b"".join(b"%x;a=b\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\nX: 1\r\n\r\nnext"
        chunks, data, out = ChunkedBodyDecoder(), bytearray(), bytearray()
        for at in range(0, len(text), step):
            data += text[at : at + step]
            chunks.feed(data, out)
        self.assertEqual((chunks.is_complete, bytes(out), bytes(data)), (True, b"".join(parts), b"next"))

    def test_what_is_no_chunk_is_refused(self) -> None:
        for text in (
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
            with self.subTest(text=text[:20]), self.assertRaises(MessageRejectedError):
                ChunkedBodyDecoder().feed(bytearray(text), bytearray())
