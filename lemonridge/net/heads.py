"""Heads of HTTP/1.1 messages, read strictly: what two programs could read in two ways is refused.

aiohttp's parser is lenient where it may be; whatever comes to it has passed here first.
"""

from __future__ import annotations

import re

HEAD_MAX = 16 * 1024
END = b"\r\n\r\n"
_REQUEST = re.compile(rb"([A-Z]{1,20}) (/[\x21\x22\x24-\x7e]*) HTTP/1\.([01])\r\n")
_STATUS = re.compile(rb"HTTP/1\.[01] ([1-9][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\r\n")
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\r\n")
_LENGTH = re.compile(rb"[0-9]{1,15}")


class BadMessageError(Exception):
    """A message that must not go further; a client is answered with its status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


Fields = dict[bytes, list[bytes]]


def _fields(head: bytes, at: int) -> Fields:
    """The header fields from `at` to the empty line that ends the head."""
    fields: Fields = {}
    while at < len(head) - 2:
        match = _FIELD.match(head, at)
        if match is None:
            raise BadMessageError(400, "a header field cannot be read")
        fields.setdefault(match[1].lower(), []).append(match[2].rstrip(b" \t"))
        at = match.end()
    return fields


def _length(fields: Fields) -> int | None:
    told = fields.get(b"content-length")
    if told is None:
        return None
    if len(told) != 1 or not _LENGTH.fullmatch(told[0]):
        raise BadMessageError(400, "Content-Length must be one plain number")
    return int(told[0])


def request(head: bytes) -> tuple[int, Fields]:
    """The length of a request's body, and its header fields."""
    line = _REQUEST.match(head)
    if line is None:
        raise BadMessageError(400, "the request line cannot be read")
    fields = _fields(head, line.end())
    length = _length(fields)
    if b"transfer-encoding" in fields:
        # With both, two programs could see two different requests in the same bytes.
        raise BadMessageError(411 if length is None else 400, "a body needs Content-Length, and nothing else")
    if line[3] == b"1" and len(fields.get(b"host", ())) != 1:
        raise BadMessageError(400, "one Host is needed")
    if line[1] not in (b"GET", b"PUT"):
        raise BadMessageError(405, "a read is GET and a write is PUT")
    return length or 0, fields


def answer(head: bytes) -> tuple[int, int | None, bool]:
    """The status of an answer, the length of its body (None: not told), and whether it is chunked."""
    line = _STATUS.match(head)
    if line is None:
        raise BadMessageError(502, "the status line cannot be read")
    fields = _fields(head, line.end())
    length, coding = _length(fields), fields.get(b"transfer-encoding")
    if coding is not None and (length is not None or [one.lower() for one in coding] != [b"chunked"]):
        raise BadMessageError(502, "the framing cannot be read")
    return int(line[1]), length, coding is not None
