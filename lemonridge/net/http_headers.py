"""Heads of HTTP/1.1 messages, parsed strictly: a head that two programs could read in two ways is rejected.

No request can be smuggled (RFC 9112, 11.2): what is forwarded is made of what was parsed here, and aiohttp's
parser, which is lenient where RFC 9112 allows it, gets responses alone that have passed here first.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from lemonridge.net.errors import MessageRejectedError

HEAD_END = b"\r\n\r\n"
# RFC 9112, 3; the target may be in absolute form (3.2.2).
_REQUEST_LINE = re.compile(
    rb"([A-Z]{1,20}) (?:http://[0-9A-Za-z.:\[\]-]{1,255})?"
    rb"(/[\x21\x22\x24-\x7e]*) HTTP/1\.([01])\r\n"
)
# RFC 9112, 4.
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\r\n")
# RFC 9110, 5.1 and 5.5; without the line folding that RFC 9112, 5.2 withdraws.
FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\r\n")
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}")

Fields = dict[bytes, list[bytes]]  # the values of each field, by its name in lower case


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request."""

    method: str
    target: str  # in origin form, with its query
    fields: Fields
    body_length: int | None  # bytes; None: the body is chunked
    is_http_1_0: bool
    keeps_alive: bool  # its client goes on with the connection behind the response

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a response."""

    status: int
    body_length: int | None  # bytes; None: the body is chunked, or ends with its connection
    is_chunked: bool
    closes_connection: bool  # the connection ends behind this response


def parse_request_head(head: bytes) -> RequestHead:
    """Parse a request's head up to and with its empty line.

    Raises:
        MessageRejectedError: it is malformed, could be read in two ways, or asks for what is not served.
    """
    line = _REQUEST_LINE.match(head)
    if line is None:
        raise MessageRejectedError(400, "the request line cannot be read")
    fields = _parse_fields(head, line.end())
    length = _content_length(fields)
    coding = fields.get(b"transfer-encoding")
    if coding is not None and (length is not None or line[3] == b"0"):
        # RFC 9112, 6.1: with both, two programs could see two different requests in the same bytes.
        raise MessageRejectedError(400, "a body has Content-Length or, since HTTP/1.1, Transfer-Encoding")
    if coding is not None and not _is_chunked(coding):
        raise MessageRejectedError(501, "the one transfer coding is chunked")
    if line[3] == b"1" and len(fields.get(b"host", ())) != 1:  # RFC 9112, 3.2
        raise MessageRejectedError(400, "one Host is needed")
    if line[1] not in (b"GET", b"PUT"):
        raise MessageRejectedError(405, "a read is GET and a write is PUT")
    return RequestHead(
        method=line[1].decode(),
        target=line[2].decode(),
        fields=fields,
        body_length=(length or 0) if coding is None else None,
        is_http_1_0=line[3] == b"0",
        keeps_alive=not _closes_connection(line[3], fields),
    )


def parse_response_head(head: bytes) -> ResponseHead:
    """Parse a response's head up to and with its empty line.

    Raises:
        MessageRejectedError: it is malformed, or its framing could be read in two ways.
    """
    line = _STATUS_LINE.match(head)
    if line is None:
        raise MessageRejectedError(502, "the status line cannot be read")
    fields = _parse_fields(head, line.end())
    length, coding = _content_length(fields), fields.get(b"transfer-encoding")
    if coding is not None and (length is not None or not _is_chunked(coding)):
        raise MessageRejectedError(502, "the framing cannot be read")
    return ResponseHead(int(line[2]), length, coding is not None, _closes_connection(line[1], fields))


def _closes_connection(minor_version: bytes, fields: Fields) -> bool:
    """Whether the connection ends behind a message (RFC 9112, 9.3)."""
    options = b",".join(fields.get(b"connection", ())).lower()
    return b"close" in options or (minor_version == b"0" and b"keep-alive" not in options)


def _is_chunked(coding: list[bytes]) -> bool:
    return [value.lower() for value in coding] == [b"chunked"]


def _parse_fields(head: bytes, offset: int) -> Fields:
    """The header fields from `offset` to the empty line that ends the head."""
    fields: Fields = {}
    while offset < len(head) - 2:
        match = FIELD_LINE.match(head, offset)
        if match is None:
            raise MessageRejectedError(400, "a header field cannot be read")
        fields.setdefault(match[1].lower(), []).append(match[2].rstrip(b" \t"))
        offset = match.end()
    return fields


def _content_length(fields: Fields) -> int | None:
    """RFC 9110, 8.6; a list of equal values is rejected too."""
    values = fields.get(b"content-length")
    if values is None:
        return None
    if len(values) != 1 or not _CONTENT_LENGTH.fullmatch(values[0]):
        raise MessageRejectedError(400, "Content-Length must be one plain number")
    return int(values[0])
