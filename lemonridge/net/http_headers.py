"""Heads of HTTP/1.1 messages, read strictly: what two programs could read in two ways is refused.

aiohttp's parser is lenient where it may be; whatever comes to it has passed here first.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

HEAD_MAX = 16 * 1024
END = b"\r\n\r\n"
# The target may be in absolute form: RFC 9112, 3.2.2.
_REQUEST = re.compile(
    rb"([A-Z]{1,20}) (?:http://[0-9A-Za-z.:\[\]-]{1,255})?"
    rb"(/[\x21\x22\x24-\x7e]*) HTTP/1\.([01])\r\n"
)
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\r\n")
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\r\n")
_LENGTH = re.compile(rb"[0-9]{1,15}")
_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
FRAMING = (b"content-length", b"transfer-encoding", b"expect", b"te", b"trailer")
LINE_MAX = 4096  # of a chunk's size with its extensions, or of a trailer's field


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


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a request; `length` None is a body in chunks."""

    start: bytes  # the request line in origin form
    fields: Fields
    length: int | None

    def bare(self) -> bytes:
        """The same request without what tells of its body, for a parser that is not to see one."""
        lines = [self.start]
        for name, values in self.fields.items():
            if name not in FRAMING:
                lines += [name + b": " + value + b"\r\n" for value in values]
        return b"".join(lines) + b"\r\n"


def request(head: bytes) -> Head:
    """The head of a request; `BadMessageError` where it could be read in two ways."""
    line = _REQUEST.match(head)
    if line is None:
        raise BadMessageError(400, "the request line cannot be read")
    fields = _fields(head, line.end())
    length = _length(fields)
    coding = fields.get(b"transfer-encoding")
    if coding is not None and (length is not None or line[3] == b"0"):
        # With both, two programs could see two different requests in the same bytes.
        raise BadMessageError(400, "a body has Content-Length or, since HTTP/1.1, Transfer-Encoding")
    if coding is not None and [one.lower() for one in coding] != [b"chunked"]:
        raise BadMessageError(501, "the one transfer coding is chunked")
    if line[3] == b"1" and len(fields.get(b"host", ())) != 1:
        raise BadMessageError(400, "one Host is needed")
    if line[1] not in (b"GET", b"PUT"):
        raise BadMessageError(405, "a read is GET and a write is PUT")
    start = line[1] + b" " + line[2] + b" HTTP/1." + line[3] + b"\r\n"
    return Head(start, fields, (length or 0) if coding is None else None)


class Chunks:
    """Takes a chunked body apart (RFC 9112, 7.1); extensions and trailers are read and left out."""

    def __init__(self) -> None:
        self._left = 0  # of the chunk that has begun
        self._ending = False  # the end of a chunk's data comes next
        self._trailer: int | None = None  # bytes of the trailer so far
        self.whole = False

    def feed(self, data: bytearray, out: bytearray) -> None:
        """Move what is whole from `data` to `out`; `BadMessageError` where it is no chunked body."""
        while not self.whole:
            if self._left:
                part = data[: self._left]
                if not part:
                    return
                out += part
                del data[: len(part)]
                self._left -= len(part)
                self._ending = not self._left
                continue
            end = data.find(b"\r\n")
            if end < 0:
                if len(data) > LINE_MAX or (self._ending and not b"\r\n".startswith(bytes(data))):
                    raise BadMessageError(400, "a chunk cannot be read")
                return
            line = bytes(data[:end])
            del data[: end + 2]
            self._line(line)

    def _line(self, line: bytes) -> None:
        if self._ending:
            if line:
                raise BadMessageError(400, "a chunk is longer than it says")
            self._ending = False
        elif self._trailer is not None:
            self._trailer += len(line)
            self.whole = not line
            if self._trailer > HEAD_MAX or (line and not _FIELD.fullmatch(line + b"\r\n")):
                raise BadMessageError(400, "a trailer cannot be read")
        else:
            size = _SIZE.fullmatch(line)
            if size is None:
                raise BadMessageError(400, "a chunk's size cannot be read")
            self._left = int(size[1], 16)
            self._trailer = None if self._left else 0


@dataclass(frozen=True, slots=True)
class Status:
    """The head of an answer; `length` None is a body in chunks, or one that its connection ends."""

    code: int
    length: int | None
    chunked: bool
    closes: bool  # the connection ends behind it


def answer(head: bytes) -> Status:
    """The head of an answer; `BadMessageError` where it cannot be read."""
    line = _STATUS.match(head)
    if line is None:
        raise BadMessageError(502, "the status line cannot be read")
    fields = _fields(head, line.end())
    length, coding = _length(fields), fields.get(b"transfer-encoding")
    if coding is not None and (length is not None or [one.lower() for one in coding] != [b"chunked"]):
        raise BadMessageError(502, "the framing cannot be read")
    said = b",".join(fields.get(b"connection", ())).lower()
    closes = b"close" in said or (line[1] == b"0" and b"keep-alive" not in said)
    return Status(int(line[2]), length, coding is not None, closes)
