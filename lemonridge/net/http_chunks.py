"""Strict decoder of the chunked transfer coding (RFC 9112, 7.1)."""

from __future__ import annotations

import re

from lemonridge.net.errors import MessageRejectedError
from lemonridge.net.http_headers import FIELD_LINE
from lemonridge.net.http_limits import CHUNK_LINE_MAX_BYTES, HEAD_MAX_BYTES

UNLIMITED_LINES = 1 << 62
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")


class ChunkedBodyDecoder:
    """Decodes one chunked body; chunk extensions and trailer fields are validated and dropped.

    Attributes:
        is_complete: Whether the body, including its trailer, has been decoded.
        has_reached_bound: Whether the last call of `feed` stopped at its bound, so that more can be decoded.
    """

    def __init__(self) -> None:
        self._chunk_bytes_left = 0
        self._expects_chunk_end = False  # whether the CRLF after a chunk's data is next
        self._trailer_bytes: int | None = None  # received so far; None before the last chunk
        self.is_complete = False
        self.has_reached_bound = False

    def feed(self, data: bytearray, body: bytearray, lines_max: int = UNLIMITED_LINES) -> int:
        """Moves decoded bytes from `data` to `body`; an incomplete line stays in `data`.

        Args:
            data: The received bytes, from which the consumed ones are removed.
            body: The decoded body, to which bytes are appended.
            lines_max: The number of lines after which decoding stops.

        Returns:
            The number of lines that were decoded.

        Raises:
            MessageRejectedError: `data` does not continue a valid chunked body.
        """
        lines = 0
        self.has_reached_bound = False
        while not self.is_complete:
            if self._chunk_bytes_left:
                part = data[: self._chunk_bytes_left]
                if not part:
                    return lines
                body += part
                del data[: len(part)]
                self._chunk_bytes_left -= len(part)
                self._expects_chunk_end = not self._chunk_bytes_left
                continue
            if lines >= lines_max:
                self.has_reached_bound = True
                return lines
            end = data.find(b"\r\n", 0, CHUNK_LINE_MAX_BYTES + 2)
            if end < 0:
                lacks_chunk_end = self._expects_chunk_end and not b"\r\n".startswith(bytes(data[:2]))
                if len(data) > CHUNK_LINE_MAX_BYTES or lacks_chunk_end:
                    raise MessageRejectedError(400, "a chunk cannot be read")
                return lines
            lines += 1
            line = bytes(data[:end])
            del data[: end + 2]
            self._handle_line(line)
        return lines

    def _handle_line(self, line: bytes) -> None:
        """Handles a chunk size, the end of a chunk's data or a trailer field."""
        if self._expects_chunk_end:
            if line:
                raise MessageRejectedError(400, "a chunk is longer than it says")
            self._expects_chunk_end = False
        elif self._trailer_bytes is not None:
            self._trailer_bytes += len(line)
            self.is_complete = not line
            if self._trailer_bytes > HEAD_MAX_BYTES or (line and not FIELD_LINE.fullmatch(line + b"\r\n")):
                raise MessageRejectedError(400, "a trailer cannot be read")
        else:
            size = _CHUNK_SIZE.fullmatch(line)
            if size is None:
                raise MessageRejectedError(400, "a chunk's size cannot be read")
            self._chunk_bytes_left = int(size[1], 16)
            self._trailer_bytes = None if self._chunk_bytes_left else 0
