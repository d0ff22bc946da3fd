"""Strict parser of HTTP/1.1 message heads; an ambiguous head is rejected.

This prevents request smuggling (RFC 9112, 11.2): forwarded requests are built from what was parsed here, and
aiohttp's parser, which is lenient where RFC 9112 allows it, receives only responses whose head has been
parsed here first.
"""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterable, Iterator
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
# RFC 9110, 5.1 and 5.5; without line folding, which RFC 9112, 5.2 deprecates. The quantifiers are possessive:
# a line that does not match must not be tried again in other divisions, whose number grows with its length.
_FIELD_LINE = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[\t\x20-\x7e\x80-\xff]*+\r\n"
FIELD_LINE = re.compile(_FIELD_LINE)
_FIELD_LINES = re.compile(rb"(?:" + _FIELD_LINE + rb")*+\r\n")
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}")

Fields = dict[bytes, list[bytes]]  # the values of each field by its lower-case name

# Kept of each field but Connection, which is a list: a second value of the others makes a head malformed.
VALUES_MAX = 2
FRAMING_FIELDS = (b"content-length", b"transfer-encoding", b"connection")  # RFC 9112, 6 and 9


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request.

    Attributes:
        method: The method.
        target: The request target in origin form, with its query.
        fields: The header fields that the caller uses, each with at most `VALUES_MAX` values. The others are
            not kept: a head may hold thousands of short fields, each of which needs more memory than its
            bytes.
        body_length: The length of the body in bytes; None if the body is chunked.
        is_http_1_0: Whether the request is HTTP/1.0.
        keeps_alive: Whether the client keeps the connection open after the response.
    """

    method: str
    target: str
    fields: Fields
    body_length: int | None
    is_http_1_0: bool
    keeps_alive: bool

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a response.

    Attributes:
        status: The status code.
        body_length: The length of the body in bytes; None if the body is chunked or ends with the connection.
        is_chunked: Whether the body is chunked.
        closes_connection: Whether the connection ends after this response.
    """

    status: int
    body_length: int | None
    is_chunked: bool
    closes_connection: bool


def parse_request_head(head: bytes, used_fields: Iterable[bytes]) -> RequestHead:
    """Parses the head of a request.

    Args:
        head: The bytes of the head, up to and including its empty line.
        used_fields: The lower-case names of the fields to keep.

    Raises:
        MessageRejectedError: The head is malformed, ambiguous, or requests something that is not supported.
    """
    start_line = _REQUEST_LINE.match(head)
    if start_line is None:
        raise MessageRejectedError(400, "the request line cannot be read")
    fields = _parse_fields(head, start_line.end(), (*FRAMING_FIELDS, b"host", *used_fields))
    length = _content_length(fields)
    transfer_coding = fields.get(b"transfer-encoding")
    if transfer_coding is not None and (length is not None or start_line[3] == b"0"):
        # RFC 9112, 6.1: with both, two programs could parse the same bytes as different requests.
        raise MessageRejectedError(400, "a body has Content-Length or, since HTTP/1.1, Transfer-Encoding")
    if transfer_coding is not None and not _is_chunked(transfer_coding):
        raise MessageRejectedError(501, "the one transfer coding is chunked")
    if start_line[3] == b"1" and len(fields.get(b"host", ())) != 1:  # RFC 9112, 3.2
        raise MessageRejectedError(400, "one Host is needed")
    if start_line[1] not in (b"GET", b"PUT"):
        raise MessageRejectedError(405, "a read is GET and a write is PUT")
    return RequestHead(
        method=start_line[1].decode(),
        target=start_line[2].decode(),
        fields={name: fields[name] for name in used_fields if name in fields},
        body_length=(length or 0) if transfer_coding is None else None,
        is_http_1_0=start_line[3] == b"0",
        keeps_alive=not _closes_connection(start_line[3], fields),
    )


def parse_response_head(head: bytes) -> ResponseHead:
    """Parses the head of a response.

    Args:
        head: The bytes of the head, up to and including its empty line.

    Raises:
        MessageRejectedError: The head is malformed, or its framing is ambiguous.
    """
    start_line = _STATUS_LINE.match(head)
    if start_line is None:
        raise MessageRejectedError(502, "malformed status line")
    fields = _parse_fields(head, start_line.end(), FRAMING_FIELDS)
    length, transfer_coding = _content_length(fields), fields.get(b"transfer-encoding")
    if transfer_coding is not None and (length is not None or not _is_chunked(transfer_coding)):
        raise MessageRejectedError(
            502,
            "ambiguous response framing: Content-Length beside Transfer-Encoding, or unknown transfer coding",
        )
    return ResponseHead(
        int(start_line[2]), length, transfer_coding is not None, _closes_connection(start_line[1], fields)
    )


def _closes_connection(minor_version: bytes, fields: Fields) -> bool:
    """Whether the connection ends after a message (RFC 9112, 9.3)."""
    options = b",".join(fields.get(b"connection", ())).lower()
    return b"close" in options or (minor_version == b"0" and b"keep-alive" not in options)


def _is_chunked(transfer_coding: list[bytes]) -> bool:
    return [value.lower() for value in transfer_coding] == [b"chunked"]


def _parse_fields(head: bytes, offset: int, names: Iterable[bytes]) -> Fields:
    """Checks all header fields from `offset` to the empty line that ends the head, and returns some of them.

    The time is proportional to the length of the head, whatever it holds.

    Args:
        head: The bytes of the head.
        offset: Where the first field begins.
        names: The lower-case names of the fields to return.
    """
    if _FIELD_LINES.fullmatch(head, offset) is None:
        raise MessageRejectedError(400, "a header field cannot be read")
    lower_case_head = head.lower()
    fields: Fields = {}
    for name in names:
        values = _field_values(head, lower_case_head, offset, name)
        kept_values = list(values if name == b"connection" else itertools.islice(values, VALUES_MAX))
        if kept_values:
            fields[name] = kept_values
    return fields


def _field_values(head: bytes, lower_case_head: bytes, offset: int, name: bytes) -> Iterator[bytes]:
    """Yields the values of a field in the order of the head."""
    line_start = b"\n%b:" % name
    position = lower_case_head.find(line_start, offset - 1)
    while position >= 0:
        value_start = position + len(line_start)
        value_end = head.index(b"\r", value_start)
        yield head[value_start:value_end].strip(b" \t")
        position = lower_case_head.find(line_start, value_end)


def _content_length(fields: Fields) -> int | None:
    """Returns the body length given by Content-Length; None without that field.

    A list of equal values, which RFC 9110, 8.6 allows, is rejected too.
    """
    values = fields.get(b"content-length")
    if values is None:
        return None
    if len(values) != 1 or not _CONTENT_LENGTH.fullmatch(values[0]):
        raise MessageRejectedError(400, "Content-Length must be one plain number")
    return int(values[0])
